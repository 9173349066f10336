//! Requests of this process that wait because all endpoints of their service are full.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use chicoryford_fleet::line::Line;
use chicoryford_fleet::line::Place;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use crate::clock;

/// The lines of all services.
#[derive(Default)]
pub struct WaitQueues {
    all: RefCell<BTreeMap<String, Line>>,
    moved: Notify,
}

impl WaitQueues {
    /// Tells whether a request that comes now waits.
    pub fn is_closed(&self, service: &str) -> bool {
        self.all.borrow().get(service).is_some_and(|line| line.is_closed(clock::now()))
    }

    /// Takes in that a request found all endpoints of a service full.
    pub fn found_full(&self, service: &str) {
        self.all.borrow_mut().entry(service.to_owned()).or_default().found_full(clock::now());
    }

    /// Waits for the turn of a request, or until a time; then there is no place. `before` is the place
    /// that it had, if it was first and found all endpoints full again.
    pub async fn turn(
        &self,
        service: &str,
        (workspace, rank): (&str, u32),
        before: Option<Place>,
        until: Millis,
    ) -> Option<Place> {
        let place = {
            let mut all = self.all.borrow_mut();
            let line = all.entry(service.to_owned()).or_default();
            match before {
                Some(place) => {
                    line.rejoin(place);
                    place
                }
                None => line.join(workspace, rank),
            }
        };
        let stay = Stay { lines: self, service, place };
        loop {
            let now = clock::now();
            let left = until.since(now);
            let turn = self.all.borrow()[service].turn_ms(place, now);
            if turn == Some(0) {
                stay.go();
                return Some(place);
            }
            if left == 0 {
                return None;
            }
            let pause = Duration::from_millis(turn.unwrap_or(left).min(left));
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.moved.notified() => {}
            }
        }
    }
}

/// A request in its line; dropped, it leaves.
struct Stay<'a> {
    lines: &'a WaitQueues,
    service: &'a str,
    place: Place,
}

impl Stay<'_> {
    fn go(&self) {
        if let Some(line) = self.lines.all.borrow_mut().get_mut(self.service) {
            line.go(self.place);
        }
    }
}

impl Drop for Stay<'_> {
    fn drop(&mut self) {
        if let Some(line) = self.lines.all.borrow_mut().get_mut(self.service) {
            line.leave(self.place);
        }
        self.lines.moved.notify_waiters();
    }
}
