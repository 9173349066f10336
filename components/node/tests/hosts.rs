//! Which VM hosts the next run, and when one that was lost is gone.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Policy;
use chicoryford_node::followers::Followers;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::hosts::Hosts;
use chicoryford_node::runner::Runner;
use chicoryford_node::traffic::Traffic;
use chicoryford_node::view::View;

/// Longer than a host that was lost may be absent.
const ABSENT: Duration = Duration::from_millis(400);

/// Two hosts in two data centres; the number of their connections is 1 and 2.
fn hosts() -> Hosts {
    let followers = Rc::new(Followers::new(Traffic::new("here")));
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let hosts = Hosts::new(followers, runner, true);
    hosts.reported("a", "here", 1);
    hosts.reported("b", "there", 2);
    hosts
}

fn chosen(hosts: &Hosts) -> BTreeSet<String> {
    (0..8).map(|_| hosts.choose("here")).collect()
}

/// Symptom: samples wait for seconds though another host is idle.
/// Sequence: a host is so slow that it refuses orders as too old; each refused run makes it the idlest.
/// Cause: the number of runs alone said which host is fit for more.
#[test]
fn a_host_that_is_behind_is_given_nothing_while_another_is_not() {
    let hosts = hosts();
    assert_eq!(chosen(&hosts), BTreeSet::from(["a".to_owned()]), "the nearest one");
    hosts.mark_overloaded("a");
    assert_eq!(chosen(&hosts), BTreeSet::from(["b".to_owned()]));
    hosts.mark_overloaded("b");
    let both = BTreeSet::from(["a".to_owned(), "b".to_owned()]);
    assert!(chosen(&hosts).is_subset(&both), "one that is behind is better than none");
}

/// A host that is telling of its runs on a new connection is not gone, however long it takes; one whose
/// new connection is lost as well is.
#[tokio::test]
async fn a_host_that_is_telling_is_not_gone() {
    let hosts = hosts();
    hosts.disconnected("a", 1, false);
    hosts.connecting("a", 3);
    tokio::time::sleep(ABSENT).await;
    assert_eq!(hosts.take_expired(), Vec::<String>::new());
    hosts.disconnected("a", 3, false);
    tokio::time::sleep(ABSENT).await;
    assert_eq!(hosts.take_expired(), ["a".to_owned()]);
}
