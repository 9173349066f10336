//! Bodies that leave at a rate which all readers share.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_wire::Reply;
use chicoryford_wire::reply;
use futures_util::stream;
use tokio::time::Instant;

/// Bytes of one piece of a stream.
const PIECE: usize = 64 << 10;

/// Shares a rate among all readers.
#[derive(Clone, Default)]
pub struct Meter(Arc<Mutex<Option<Instant>>>);

impl Meter {
    /// Answers with `size` bytes at `rate` bytes a second, less what others read meanwhile. What
    /// `held` holds is let go when the last byte has left or the reader is gone.
    pub fn body<T: 'static>(&self, size: usize, rate: u64, held: T) -> Reply {
        let (meter, rate) = (self.clone(), rate.max(1));
        let piece = move |(left, held): (usize, T)| {
            let meter = meter.clone();
            async move {
                let size = left.min(PIECE);
                if size == 0 {
                    return None;
                }
                tokio::time::sleep_until(meter.turn(size, rate)).await;
                let bytes = Bytes::from_static(&[0; PIECE]).slice(..size);
                Some((Ok::<_, std::io::Error>(bytes), (left - size, held)))
            }
        };
        reply::stream("application/octet-stream", stream::unfold((size, held), piece))
    }

    /// Gives the moment at which `size` more bytes have been read, and moves the next one back.
    fn turn(&self, size: usize, rate: u64) -> Instant {
        let mut next = self.0.lock().expect("nothing panics while it holds this lock");
        let now = Instant::now();
        let at = next.map_or(now, |at| at.max(now));
        let after = at + Duration::from_secs_f64(size as f64 / rate as f64);
        *next = Some(after);
        after
    }
}
