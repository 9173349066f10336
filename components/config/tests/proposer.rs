//! Proposing commands to the control processes.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_config::Proposer;
use chicoryford_config::ProposerClient;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::Outcome;
use chicoryford_types::Roles;
use chicoryford_wire::Caller;
use chicoryford_wire::Keys;
use chicoryford_wire::Kind;
use chicoryford_wire::Routes;
use chicoryford_wire::paths;
use chicoryford_wire::reply;
use chicoryford_wire::server::Bounds;
use chicoryford_wire::server::Running;
use chicoryford_wire::server::serve;
use tokio::sync::watch;

const MAX_WAIT: Duration = Duration::from_secs(20);

fn keys() -> Arc<Keys> {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "process node secret\n").unwrap();
    Arc::new(Keys::load(file.path()).unwrap())
}

/// Runs a control process that answers each proposal with the result of `answer` for its number.
fn control(answer: fn(u32) -> Result<Reply, Failure>) -> Running {
    let bounds = Bounds { workers: 1, ..Bounds::default() };
    let any = "127.0.0.1:0".parse().unwrap();
    let running = serve(any, &bounds, keys(), None, move || {
        let mut routes = Routes::default();
        let seen = Rc::new(Cell::new(0));
        routes.add(paths::PROPOSE, &[Kind::Process], move |call| {
            let seen = seen.clone();
            async move {
                assert_eq!(call.msgpack::<Command>(), Ok(Command::Nothing));
                seen.set(seen.get() + 1);
                match answer(seen.get()) {
                    Ok(answer) => reply::msgpack(&answer),
                    Err(failure) => reply::peer_failure(&failure),
                }
            }
        });
        routes
    });
    running.unwrap()
}

fn client(addresses: &[String]) -> ProposerClient {
    let known = addresses.iter().enumerate().map(|(number, address)| {
        let roles = Roles { control: true, ..Roles::default() };
        let node = Node(format!("control-{number}"));
        let member = Member { node, address: address.clone(), roles, ..Member::default() };
        (member.node.clone(), Known { member, ..Known::default() })
    });
    let view = watch::Sender::new(Arc::new(Members { known: known.collect() }));
    let own = Arc::new(watch::Sender::new(Member::default()));
    let members = chicoryford_membership::Handle::new(view.subscribe(), own);
    let caller = Caller { token: Some("secret".to_owned()), tls: None };
    Proposer::new(Arc::new(caller), Arc::new(members)).client()
}

#[test]
fn tries_others_while_there_is_no_leader() {
    // Guards against a change of an operator that fails although a majority of the control
    // processes works. One control process is dead, and one temporarily has no quorum. Neither
    // failure says anything about the others, so all must be tried until the timeout.
    actix_rt::System::new().block_on(async {
        let running = control(|number| match number {
            1 => Err(Failure::not_run(Code::NoQuorum, "an election runs")),
            2 => Ok(Reply::Failed(Failure::not_run(Code::NoQuorum, "an election runs"))),
            _ => Ok(Reply::Done),
        });
        let dead = "127.0.0.1:1".to_owned();
        let client = client(&[dead, running.address.to_string()]);
        assert_eq!(client.propose(&Command::Nothing, MAX_WAIT).await, Ok(Reply::Done));
        running.handle.stop(false).await;
    });
}

#[test]
fn reports_not_run_only_if_no_try_can_have_arrived() {
    actix_rt::System::new().block_on(async {
        let short = Duration::from_millis(400);
        let unreachable = client(&["127.0.0.1:1".to_owned()]);
        let failure = unreachable.propose(&Command::Nothing, short).await.unwrap_err();
        assert_eq!((failure.code, failure.outcome), (Code::NoQuorum, Outcome::NotRun));
        let running = control(|_| Err(Failure::unknown(Code::NoQuorum, "the leader was lost")));
        let uncertain = client(&[running.address.to_string()]);
        let failure = uncertain.propose(&Command::Nothing, short).await.unwrap_err();
        assert_eq!((failure.code, failure.outcome), (Code::NoQuorum, Outcome::Unknown));
        running.handle.stop(false).await;
    });
}

#[test]
fn fails_at_once_on_a_command_that_every_control_process_would_refuse() {
    actix_rt::System::new().block_on(async {
        let running = control(|number| match number {
            1 => Err(Failure::not_run(Code::BadRequest, "malformed")),
            _ => Ok(Reply::Done),
        });
        let client = client(&[running.address.to_string()]);
        let failure = client.propose(&Command::Nothing, MAX_WAIT).await.unwrap_err();
        assert_eq!(failure.code, Code::BadRequest);
        running.handle.stop(false).await;
    });
}
