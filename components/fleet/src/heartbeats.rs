//! Collects announcements that change nothing, which any control process may receive.
//!
//! Every endpoint announces itself about every second, and nearly all announcements repeat what is
//! known. If each were forwarded to the leader, it would receive 2,500 of them a second from 3,000
//! endpoints and have no time left for its other work. A control process therefore answers them
//! itself and sends the leader one list of heartbeats a second ([`HeartbeatBuffer::pending`]);
//! docs/SCALE.md has the figures.

use std::collections::BTreeMap;

use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::Announcement;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;

/// A heartbeat of an endpoint, as sent by a control process to the leader.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The endpoint id.
    pub id: String,
    /// The start time of the endpoint, as in its announcement.
    pub started_ms: u64,
    /// The sequence number of its newest announcement.
    pub sequence: u64,
    /// Milliseconds since that announcement arrived, by the clock of the receiver. This avoids
    /// comparing clocks of two VMs, and a heartbeat that was delayed until a leader was found does
    /// not seem recent.
    pub age_ms: u64,
}

/// The newest announcement received from an endpoint.
struct Received {
    started_ms: u64,
    sequence: u64,
    at: Millis,
}

/// The heartbeats that a control process has not sent to the leader yet, at most one per endpoint.
#[derive(Default)]
pub struct HeartbeatBuffer {
    received: BTreeMap<String, Received>,
}

impl HeartbeatBuffer {
    /// Records an announcement that repeats what is `known` about a ready endpoint. Returns whether
    /// it was recorded. All others must go to the leader: those of new, draining, gone or silent
    /// endpoints, and changes.
    pub fn record(
        &mut self,
        known: Option<&Endpoint>,
        announcement: &Announcement,
        now: Millis,
    ) -> bool {
        let Some(known) = known.filter(|known| known.status == EndpointStatus::Ready) else {
            return false;
        };
        if !announcement.is_repeat_of(&known.announcement) {
            return false;
        }
        let (started_ms, sequence) = (announcement.started_ms, announcement.sequence);
        // An announcement that arrives after a newer one does not show that the endpoint is alive
        // now.
        let received = self.received.get(&announcement.id);
        if received.is_none_or(|received| {
            (received.started_ms, received.sequence) < (started_ms, sequence)
        }) {
            self.received
                .insert(announcement.id.clone(), Received { started_ms, sequence, at: now });
        }
        true
    }

    /// Returns the recorded heartbeats.
    pub fn pending(&self, now: Millis) -> Vec<Heartbeat> {
        let heartbeat = |(id, received): (&String, &Received)| Heartbeat {
            id: id.clone(),
            started_ms: received.started_ms,
            sequence: received.sequence,
            age_ms: now.since(received.at),
        };
        self.received.iter().map(heartbeat).collect()
    }

    /// Removes all recorded heartbeats after they were sent.
    pub fn clear(&mut self) {
        self.received.clear();
    }
}
