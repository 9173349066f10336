//! Which VM hosts the next run, and when a disconnected host is considered gone.

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

/// Longer than a host may take to reconnect.
const LONGER_THAN_GRACE: Duration = Duration::from_millis(400);

/// Two hosts in two data centres, with the connection numbers 1 and 2.
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

/// A host that is too slow refuses orders as too old, so it has the fewest runs. Guards against
/// choosing hosts by the number of runs alone: samples waited for seconds although another host was
/// idle.
#[test]
fn an_overloaded_host_gets_no_runs_while_another_is_available() {
    let hosts = hosts();
    assert_eq!(chosen(&hosts), BTreeSet::from(["a".to_owned()]), "the nearest one");
    hosts.mark_overloaded("a");
    assert_eq!(chosen(&hosts), BTreeSet::from(["b".to_owned()]));
    hosts.mark_overloaded("b");
    let both = BTreeSet::from(["a".to_owned(), "b".to_owned()]);
    assert!(chosen(&hosts).is_subset(&both), "an overloaded host is better than none");
}

/// A host that is reporting its runs on a new connection is not gone, however long that takes. It
/// is gone if the new connection is lost as well.
#[tokio::test]
async fn a_host_that_is_telling_of_its_runs_is_not_gone() {
    let hosts = hosts();
    hosts.disconnected("a", 1, false);
    hosts.connecting("a", 3);
    tokio::time::sleep(LONGER_THAN_GRACE).await;
    assert_eq!(hosts.take_expired(), Vec::<String>::new());
    hosts.disconnected("a", 3, false);
    tokio::time::sleep(LONGER_THAN_GRACE).await;
    assert_eq!(hosts.take_expired(), ["a".to_owned()]);
}

/// Guards against a new leader that takes the hosts which have reported so far for all of them.
#[test]
fn the_number_of_hosts_is_known_once_all_expected_ones_have_reported() {
    let hosts = hosts();
    let reported =
        |names: &[&str]| hosts.all_reported(names.iter().map(|name| (*name).to_owned()).collect());
    assert!(reported(&["a", "b"]) && !reported(&["a", "c"]));
    assert!(!reported(&[]), "a new leader does not know yet which hosts there are");
}

/// Hosts share the endpoints of scorers. Guards against a share that is too large while a host that
/// was disconnected for a moment still calls scorers, or too small after its loss.
#[tokio::test]
async fn a_lost_host_counts_until_its_runs_are_moved() {
    let hosts = hosts();
    assert_eq!(hosts.count(), 2);
    hosts.disconnected("a", 1, false);
    assert_eq!((hosts.take_expired().len(), hosts.count()), (0, 2));
    tokio::time::sleep(LONGER_THAN_GRACE).await;
    assert_eq!((hosts.take_expired().len(), hosts.count()), (1, 1));
    hosts.disconnected("b", 2, true);
    hosts.take_expired();
    assert_eq!(hosts.count(), 1, "the leader's own process");
}
