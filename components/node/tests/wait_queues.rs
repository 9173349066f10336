//! Tests of the queues of requests that wait while all endpoints of a service are full.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_node::clock;
use chicoryford_node::wait_queues::WaitQueues;
use chicoryford_types::Millis;

/// Slots of the endpoints of the service.
const SLOTS: usize = 2;
/// Requests of each workspace, and of the one that sends 20 times as many.
const SHARE: usize = 3;
const EXCESS: usize = 20 * SHARE;
/// Workspaces that send their share.
const WORKSPACES: usize = 5;

#[derive(Default)]
struct Service {
    queues: WaitQueues,
    busy: Cell<usize>,
    /// The workspaces of the requests that got a slot, in order.
    served: RefCell<Vec<String>>,
    refused: RefCell<BTreeMap<String, usize>>,
}

impl Service {
    /// Waits for a slot, as the forwarder does, and uses it for a moment.
    async fn request(&self, workspace: &str, until: Millis) {
        let mut place = None;
        loop {
            place = self.queues.wait_for_turn("desk", (workspace, 1), place, until).await;
            if place.is_none() {
                *self.refused.borrow_mut().entry(workspace.to_owned()).or_default() += 1;
                return;
            }
            if self.busy.get() < SLOTS {
                break;
            }
            self.queues.record_full("desk");
        }
        self.busy.set(self.busy.get() + 1);
        self.served.borrow_mut().push(workspace.to_owned());
        tokio::time::sleep(Duration::from_millis(5)).await;
        self.busy.set(self.busy.get() - 1);
    }
}

/// Guards against workspaces whose requests wait behind, or are refused because of, those of one
/// that sends 20 times as many.
#[actix_rt::test]
async fn the_excess_of_one_workspace_waits_or_is_refused() {
    let service = Rc::new(Service::default());
    service.queues.record_full("desk");
    let now = clock::now();
    let mut tasks = Vec::new();
    let mut start = |workspace: String, until: Millis| {
        let service = service.clone();
        tasks.push(actix_rt::spawn(async move { service.request(&workspace, until).await }));
    };
    // At most two requests start each 30 ms, so not all of the excess is served in this time.
    (0..EXCESS).for_each(|_| start("w0".to_owned(), now + 450));
    for number in 1..=WORKSPACES {
        (0..SHARE).for_each(|_| start(format!("w{number}"), now + 60_000));
    }
    for task in tasks {
        task.await.expect("the request ends");
    }
    let served = service.served.borrow();
    let last = served.iter().rposition(|workspace| workspace != "w0").expect("they are served");
    let others = served.iter().filter(|workspace| *workspace != "w0").count();
    assert_eq!(others, WORKSPACES * SHARE, "{:?}", service.refused);
    // Each turn has one request of each workspace.
    assert!(last < (WORKSPACES + 1) * SHARE, "{served:?}");
    let refused = service.refused.borrow();
    assert_eq!(refused.keys().collect::<Vec<_>>(), ["w0"], "{refused:?}");
    assert_eq!(refused["w0"] + served.len() - others, EXCESS);
}
