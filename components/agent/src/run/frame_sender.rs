//! Sends the frames of one attempt to the entry.

use std::time::Duration;

use actix_rt::time::Instant;
use actix_rt::time::sleep_until;
use bytes::Bytes;
use chicoryford_types::Frame;
use chicoryford_types::frame::Event;
use chicoryford_wire::framing;
use tokio::sync::mpsc;

use crate::gate::Id;

/// The time without a frame after which [`Event::Alive`] is sent as a heartbeat. The entry gives up
/// a stream after a few times this interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How a wait without frames ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleEvent {
    /// A heartbeat was sent.
    Heartbeat,
    /// The entry no longer reads the frames.
    Disconnected,
}

/// Numbers and sends the frames of one attempt.
pub struct FrameSender {
    id: Id,
    seq: u32,
    sent: Instant,
    frames: mpsc::Sender<Bytes>,
}

impl FrameSender {
    /// Creates a sender whose first frame has the number 0.
    pub fn new(id: Id, frames: mpsc::Sender<Bytes>) -> Self {
        Self { id, seq: 0, sent: Instant::now(), frames }
    }

    /// Sends a frame, waiting while the channel is full. A broken connection is ignored here and
    /// reported by [`FrameSender::wait_idle`].
    pub async fn send(&mut self, event: Event) {
        let Id { request, attempt } = self.id;
        let frame = Frame { request, attempt, seq: self.seq, event };
        self.seq += 1;
        self.sent = Instant::now();
        let _ = self.frames.send(framing::encode(&frame)).await;
    }

    /// Waits until a heartbeat is due and sends it, or until the entry disconnects. While the
    /// channel is full, unread frames are pending and no heartbeat is sent. Cancel-safe.
    pub async fn wait_idle(&mut self) -> IdleEvent {
        tokio::select! {
            () = self.frames.closed() => return IdleEvent::Disconnected,
            () = sleep_until(self.sent + HEARTBEAT_INTERVAL) => {}
        }
        self.sent = Instant::now();
        if let Ok(permit) = self.frames.try_reserve() {
            let Id { request, attempt } = self.id;
            let frame = Frame { request, attempt, seq: self.seq, event: Event::Alive };
            self.seq += 1;
            permit.send(framing::encode(&frame));
        }
        IdleEvent::Heartbeat
    }
}
