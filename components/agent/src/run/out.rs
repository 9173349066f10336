//! The frames of one attempt on their way to the entry.

use std::time::Duration;

use actix_rt::time::Instant;
use actix_rt::time::sleep_until;
use bytes::Bytes;
use chicoryford_types::Frame;
use chicoryford_types::frame::Event;
use chicoryford_wire::framing;
use tokio::sync::mpsc;

use crate::gate::Id;

/// Time without a frame after which [`Event::Alive`] is sent. The entry gives a stream up after
/// a few times as long.
const ALIVE: Duration = Duration::from_secs(1);

/// How a time without frames ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rest {
    /// A heartbeat was sent.
    Alive,
    /// Nobody reads the frames any more.
    Gone,
}

/// Numbers and sends the frames of one attempt.
pub struct Out {
    id: Id,
    seq: u32,
    sent: Instant,
    frames: mpsc::Sender<Bytes>,
}

impl Out {
    /// Starts before the first frame.
    pub fn new(id: Id, frames: mpsc::Sender<Bytes>) -> Self {
        Self { id, seq: 0, sent: Instant::now(), frames }
    }

    /// Sends a frame, waiting while the entry does not keep up. That the connection is gone
    /// shows in [`Out::rest`].
    pub async fn put(&mut self, event: Event) {
        let Id { request, attempt } = self.id;
        let frame = Frame { request, attempt, seq: self.seq, event };
        self.seq += 1;
        self.sent = Instant::now();
        let _ = self.frames.send(framing::encode(&frame)).await;
    }

    /// Waits until a heartbeat is due and sends it, or the entry's connection is gone. May be
    /// dropped while it waits; a full channel holds unread frames and needs no heartbeat.
    pub async fn rest(&mut self) -> Rest {
        tokio::select! {
            () = self.frames.closed() => return Rest::Gone,
            () = sleep_until(self.sent + ALIVE) => {}
        }
        self.sent = Instant::now();
        if let Ok(place) = self.frames.try_reserve() {
            let Id { request, attempt } = self.id;
            let frame = Frame { request, attempt, seq: self.seq, event: Event::Alive };
            self.seq += 1;
            place.send(framing::encode(&frame));
        }
        Rest::Alive
    }
}
