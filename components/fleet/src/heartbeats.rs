//! Announcements that change nothing, heard by any control process.
//!
//! Each endpoint announces itself about every second, and nearly all of it is what everybody knows.
//! Were each passed on to the leader, that one process would take 2,500 of them a second from 3,000
//! endpoints, and have no time left to lead. So a control process answers those itself and tells the
//! leader once a second whom it heard ([`HeartbeatBuffer::signs`]); docs/SCALE.md has the figures.

use std::collections::BTreeMap;

use chicoryford_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::Announcement;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointStatus;

/// That an endpoint was heard, as a control process tells the leader.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The endpoint's incarnation.
    pub id: String,
    /// Its start.
    pub started_ms: u64,
    /// The number of its newest announcement.
    pub sequence: u64,
    /// Milliseconds since that was heard, by the hearer's own clock. No clocks of two VMs are
    /// compared, and a sign that waited for a leader does not look fresh.
    pub age_ms: u64,
}

struct Noted {
    born: u64,
    sequence: u64,
    at: Millis,
}

/// What a control process has heard and not told the leader yet: one entry an endpoint at most.
#[derive(Default)]
pub struct HeartbeatBuffer {
    noted: BTreeMap<String, Noted>,
}

impl HeartbeatBuffer {
    /// Takes in an announcement if it changes nothing of what is `known`; tells whether it did. All
    /// others are the leader's: new endpoints, those that leave or have left, and those that it
    /// took for silent.
    pub fn record(&mut self, known: Option<&Endpoint>, said: &Announcement, now: Millis) -> bool {
        let Some(known) = known.filter(|known| known.status == EndpointStatus::Ready) else {
            return false;
        };
        if !said.is_repeat_of(&known.announcement) {
            return false;
        }
        let (born, sequence) = (said.started_ms, said.sequence);
        // One that was overtaken on its way is no sign of life of now.
        let noted = self.noted.get(&said.id);
        if noted.is_none_or(|noted| (noted.born, noted.sequence) < (born, sequence)) {
            self.noted.insert(said.id.clone(), Noted { born, sequence, at: now });
        }
        true
    }

    /// Gives what the leader is to be told.
    pub fn pending(&self, now: Millis) -> Vec<Heartbeat> {
        let sign = |(id, noted): (&String, &Noted)| Heartbeat {
            id: id.clone(),
            started_ms: noted.born,
            sequence: noted.sequence,
            age_ms: now.since(noted.at),
        };
        self.noted.iter().map(sign).collect()
    }

    /// Forgets what the leader was told.
    pub fn clear(&mut self) {
        self.noted.clear();
    }
}
