//! Steps whose trainers need a key, or need none any more, because the configuration has changed.

use std::sync::Arc;

use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::StepSummary;
use chicoryford_http::message::Method;
use chicoryford_node::message::Answer;

use crate::fleet::config_with_desk;
use crate::fleet::wait_until;
use crate::keys::LENIENT;
use crate::keys::Rig;
use crate::keys::config_with_keys;
use crate::member::Member;
use crate::member::StoredParts;

/// The keys of the workspaces "w" and "x".
const KEYS: [&[&str]; 2] = [&["k1"], &["k2"]];
/// A caller without a key.
const NO_KEY: &str = "";
/// A step, and another one that is submitted under the same id.
const BODY: &str = r#"{"Items":[{"Id":"a","Path":"/s/1"}]}"#;
const OTHER_BODY: &str = r#"{"Items":[{"Id":"b","Path":"/s/1"}]}"#;

/// Returns a configuration with the workspaces "w" and "x", on whose route for steps no key is
/// required.
fn open_config(version: u64) -> Config {
    let mut config = config_with_keys(version, KEYS);
    config.routes[0].open = true;
    config
}

struct Trainers {
    rig: Rig,
    _store: Member,
}

impl Trainers {
    async fn start(config: Config) -> Self {
        let rig = Rig::start_with(LENIENT, config).await;
        let _store = rig.fleet.store(&StoredParts::default()).await;
        Self { rig, _store }
    }

    async fn submit(&self, key: &str, body: &str) -> u16 {
        self.rig.ask(Method::POST, "/s/1", key, body).await.0
    }

    async fn read(&self, key: &str) -> u16 {
        self.rig.ask(Method::GET, "/lots/job?After=0", key, "").await.0
    }

    async fn body(&self, key: &str, sample: &str) -> u16 {
        self.rig.ask(Method::GET, &format!("/items/job?Id={sample}"), key, "").await.0
    }

    async fn end(&self, key: &str) -> u16 {
        self.rig.ask(Method::DELETE, "/lots/job", key, "").await.0
    }

    /// Returns the ids of the steps within the fleet.
    fn steps(&self) -> Vec<String> {
        self.rig.fleet.replica.state().steps.keys().cloned().collect()
    }

    /// Replaces the step by one whose summary does not have its content.
    async fn store_as_earlier_release(&self) {
        let (step, placement) = {
            let state = self.rig.fleet.replica.state();
            let step = StepSummary { content: None, ..(*state.steps["job"].step).clone() };
            (Arc::new(step), state.parts[&state.steps["job"].step.part].placement.clone())
        };
        let leader = self.rig.fleet.leader();
        let forget = Command::Forget { steps: vec!["job".to_owned()] };
        for command in [forget, Command::Submit { step, placement }] {
            assert!(matches!(leader.commit(command).await, Answer::Done));
        }
    }

    fn is_open(&self, step: &str) -> bool {
        self.rig.fleet.replica.state().steps[step].is_open()
    }
}

/// Guards against a trainer that gets 404 for its step because its calls need a key since the
/// submission: the workspace was a part of the id by which they looked for it.
#[actix_rt::test]
async fn a_step_is_read_and_ended_with_a_key_after_the_first_workspaces_appear() {
    let trainers = Trainers::start(config_with_desk(2)).await;
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    assert_eq!(trainers.read(NO_KEY).await, 200);
    trainers.rig.configure(config_with_keys(3, KEYS)).await;
    assert_eq!((trainers.read("k1").await, trainers.body("k1", "a").await), (200, 200));
    let others = (trainers.read("k2").await, trainers.body("k2", "a").await);
    assert_eq!((others, trainers.end("k2").await), ((404, 404), 404));
    assert_eq!((trainers.read(NO_KEY).await, trainers.end(NO_KEY).await), (401, 401));
    assert!(trainers.is_open("job"));
    assert_eq!(trainers.end("k1").await, 200);
    assert!(!trainers.is_open("job"));
}

/// Guards against running all samples twice: the 202 was lost, and the trainer submits its step
/// again when its calls need a key.
#[actix_rt::test]
async fn a_step_that_is_submitted_again_with_a_key_is_the_same_step() {
    let trainers = Trainers::start(config_with_desk(2)).await;
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    trainers.rig.configure(config_with_keys(3, KEYS)).await;
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    assert_eq!(trainers.steps(), ["job"]);
    assert_eq!((trainers.read("k2").await, trainers.read("k1").await), (404, 200));
}

/// Guards against the same for a step that an earlier release stored without its content.
#[actix_rt::test]
async fn a_step_of_an_earlier_release_is_compared_when_it_is_submitted_again() {
    let trainers = Trainers::start(config_with_desk(2)).await;
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    trainers.store_as_earlier_release().await;
    trainers.rig.configure(config_with_keys(3, KEYS)).await;
    assert_eq!(trainers.submit("k2", OTHER_BODY).await, 202);
    assert_eq!(trainers.steps(), ["job", "x/job"]);
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    assert_eq!(trainers.steps(), ["job", "x/job"]);
}

/// Guards against giving a workspace the step of another one that has the same id: it submits a
/// step of its own.
#[actix_rt::test]
async fn another_step_with_the_id_of_an_unclaimed_one_is_a_step_of_its_own() {
    let trainers = Trainers::start(config_with_desk(2)).await;
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    trainers.rig.configure(config_with_keys(3, KEYS)).await;
    assert_eq!(trainers.submit("k2", OTHER_BODY).await, 202);
    assert_eq!(trainers.steps(), ["job", "x/job"]);
    assert_eq!((trainers.body("k2", "a").await, trainers.body("k2", "b").await), (404, 200));
    assert_eq!((trainers.body("k1", "a").await, trainers.body("k1", "b").await), (200, 404));
}

/// Guards against losing whose step it is with the leader.
#[actix_rt::test]
async fn a_claimed_step_stays_with_its_workspace_under_the_next_leader() {
    let trainers = Trainers::start(config_with_desk(2)).await;
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    trainers.rig.configure(config_with_keys(3, KEYS)).await;
    assert_eq!(trainers.read("k1").await, 200);
    trainers.rig.fleet.next_leader();
    let link = &trainers.rig.entry.link;
    wait_until("a leader is found", || link.is_connected()).await;
    assert_eq!((trainers.read("k2").await, trainers.read("k1").await), (404, 200));
}

/// Guards against a caller of another workspace that asks first: the trainer sent its key before
/// one was required.
#[actix_rt::test]
async fn a_key_that_came_with_the_submission_shows_whose_step_it_is() {
    let trainers = Trainers::start(config_with_desk(2)).await;
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    trainers.rig.configure(config_with_keys(3, KEYS)).await;
    assert_eq!((trainers.read("k2").await, trainers.end("k2").await), (404, 404));
    assert_eq!((trainers.read("k1").await, trainers.end("k1").await), (200, 200));
}

/// Guards against a trainer that gets 404 for its step, and whose step runs twice, once no caller
/// needs a key any more.
#[actix_rt::test]
async fn a_step_is_read_without_a_key_after_the_workspaces_have_gone() {
    let trainers = Trainers::start(config_with_keys(2, KEYS)).await;
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    trainers.rig.configure(config_with_desk(3)).await;
    assert_eq!((trainers.read(NO_KEY).await, trainers.read("k1").await), (200, 200));
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    assert_eq!(trainers.steps(), ["w/job"]);
    // The workspaces return, and the step is still that of the first one.
    trainers.rig.configure(config_with_keys(4, KEYS)).await;
    let read = (trainers.read("k1").await, trainers.read("k2").await, trainers.read(NO_KEY).await);
    assert_eq!(read, (200, 404, 401));
    trainers.rig.configure(config_with_desk(5)).await;
    assert_eq!(trainers.end(NO_KEY).await, 200);
    assert!(!trainers.is_open("w/job"));
}

/// Two workspaces used the same id, and there are no workspaces any more. Guards against the reply
/// that no such step exists, and against one workspace's results for the other's trainer.
#[actix_rt::test]
async fn steps_of_two_workspaces_with_the_same_id_are_not_confused_without_workspaces() {
    let trainers = Trainers::start(config_with_keys(2, KEYS)).await;
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    assert_eq!(trainers.submit("k2", OTHER_BODY).await, 202);
    trainers.rig.configure(config_with_desk(3)).await;
    let refused = (trainers.read(NO_KEY).await, trainers.end(NO_KEY).await);
    assert_eq!(refused, (503, 503));
    assert_eq!(trainers.submit(NO_KEY, OTHER_BODY).await, 202, "it was accepted before");
    let third = r#"{"Items":[{"Id":"c","Path":"/s/1"}]}"#;
    assert_eq!(trainers.submit(NO_KEY, third).await, 503);
    assert_eq!(trainers.steps(), ["w/job", "x/job"]);
    assert!(trainers.is_open("w/job") && trainers.is_open("x/job"));
}

/// Guards against a trainer that gets 404 for its step because its route requires a key since the
/// submission.
#[actix_rt::test]
async fn a_step_of_an_open_route_is_read_with_a_key_after_the_route_has_closed() {
    let trainers = Trainers::start(open_config(2)).await;
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    let read = (trainers.read(NO_KEY).await, trainers.read("k2").await, trainers.read("k1").await);
    assert_eq!(read, (200, 200, 200), "all callers may use an open route");
    trainers.rig.configure(config_with_keys(3, KEYS)).await;
    assert_eq!(trainers.read("k1").await, 200);
    assert_eq!((trainers.read("k2").await, trainers.read(NO_KEY).await), (404, 401));
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    assert_eq!(trainers.steps(), ["job"]);
}

/// Guards against a caller without a key that reads a workspace's step because some route for steps
/// is open, and against the reply to the trainer that no such step exists.
#[actix_rt::test]
async fn a_step_of_a_workspace_needs_its_key_also_after_its_route_has_opened() {
    let trainers = Trainers::start(config_with_keys(2, KEYS)).await;
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    trainers.rig.configure(open_config(3)).await;
    let read = (trainers.read("k1").await, trainers.read("k2").await, trainers.read(NO_KEY).await);
    assert_eq!(read, (200, 404, 401));
    assert_eq!(trainers.submit("k1", BODY).await, 202);
    assert_eq!(trainers.steps(), ["w/job"], "it was submitted again on the open route");
}

/// Guards against a step without a workspace that can be read without a key because another route
/// for steps is open.
#[actix_rt::test]
async fn a_step_of_a_closed_route_is_not_open_with_another_route() {
    let trainers = Trainers::start(config_with_desk(2)).await;
    assert_eq!(trainers.submit(NO_KEY, BODY).await, 202);
    let mut config = config_with_keys(3, KEYS);
    let mut other = config.routes[0].clone();
    (other.name, other.prefix, other.open) = ("other".to_owned(), "/o/".to_owned(), true);
    config.routes.push(other);
    trainers.rig.configure(config).await;
    assert_eq!((trainers.read(NO_KEY).await, trainers.read("k1").await), (401, 200));
}
