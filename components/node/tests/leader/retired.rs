//! Stores that are emptied while parts are being written.

use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::copies::Placement;
use chicoryford_fleet::copies::StoreShortage;
use chicoryford_node::Settings;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;

use crate::fleet::Fleet;
use crate::fleet::pause;
use crate::fleet::step;
use crate::fleet::wait_until;
use crate::member::Member;
use crate::member::StoredParts;
use crate::member::connect_store;

/// Returns the names of the stores that hold a part.
fn holders(fleet: &Fleet, part: PartId) -> Vec<String> {
    match &fleet.replica.state().parts[&part].placement {
        Placement::Inline(_) => Vec::new(),
        Placement::Stores(stores) => stores.iter().map(|store| store.node.clone()).collect(),
    }
}

/// Guards against an operator who retires a store, is refused, and does not learn what to do: the
/// answer must say how many stores are left and needed, and retiring must work once another one
/// runs.
#[actix_rt::test]
async fn a_store_that_is_needed_is_not_retired_until_another_one_runs() {
    let fleet = Fleet::start_with(|settings| Settings { tolerated: 1, ..settings }).await;
    let parts = StoredParts::default();
    let mut stores = Vec::new();
    for name in ["s1", "s2"] {
        stores.push(Member::connect(fleet.links, name, parts.clone(), Vec::new()).await);
    }
    let leader = fleet.leader();
    wait_until("the stores are connected", || leader.copies.count(|_| true) == 2).await;
    let refused = leader.answer(Call::Retire("s1".to_owned())).await;
    let Answer::Shortage(shortage) = refused else { panic!("{refused:?}") };
    assert_eq!(shortage, StoreShortage { left: 1, needed: 2 });
    assert!(fleet.replica.state().retired.is_empty());
    stores.push(Member::connect(fleet.links, "s3", parts.clone(), Vec::new()).await);
    wait_until("another store is connected", || leader.copies.count(|_| true) == 3).await;
    let retired = leader.answer(Call::Retire("s1".to_owned())).await;
    assert!(matches!(retired, Answer::Done), "{retired:?}");
}

/// Guards against an accepted step that is lost with one disk. A store has taken the step's part
/// when it is emptied, another one does not answer, and the part is recorded after the emptied store
/// was reported to be empty, and was removed.
#[actix_rt::test]
async fn a_step_is_not_recorded_on_a_store_that_was_emptied_meanwhile() {
    let fleet = Fleet::start_with(|settings| Settings { tolerated: 1, ..settings }).await;
    let parts = StoredParts::default();
    let _emptied = Member::connect(fleet.links, "s1", parts.clone(), Vec::new()).await;
    let _silent = connect_store(fleet.links, "s2").await;
    let _others = (
        Member::connect(fleet.links, "s3", parts.clone(), Vec::new()).await,
        Member::connect(fleet.links, "s4", parts.clone(), Vec::new()).await,
    );
    let leader = fleet.leader();
    wait_until("the stores are connected", || leader.copies.count(|_| true) == 4).await;
    let submitted = actix_rt::spawn({
        let leader = leader.clone();
        async move { leader.answer(Call::Submit(step("a"))).await }
    });
    wait_until("the step is written", || !parts.borrow().is_empty()).await;
    let retired = leader.answer(Call::Retire("s1".to_owned())).await;
    assert!(matches!(retired, Answer::Done), "{retired:?}");
    let empty = leader.answer(Call::Retired("s1".to_owned())).await;
    assert!(matches!(empty, Answer::Retired(true)), "{empty:?}");
    assert!(matches!(submitted.await.unwrap(), Answer::Done));
    let part = fleet.replica.state().steps["a"].step.part;
    assert_eq!(holders(&fleet, part), ["s3", "s4"]);
    pause(300).await;
    assert!(!holders(&fleet, part).contains(&"s1".to_owned()));
}
