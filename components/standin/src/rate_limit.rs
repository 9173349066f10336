//! Response bodies that are sent at a rate which all readers share.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_wire::Reply;
use chicoryford_wire::reply;
use futures_util::stream;
use tokio::time::Instant;

/// Size of one chunk of a body.
const CHUNK_BYTES: usize = 64 << 10;

/// Limits the total rate of all bodies that it creates.
#[derive(Clone, Default)]
pub struct RateLimiter(Arc<Mutex<Option<Instant>>>);

impl RateLimiter {
    /// Responds with `size` zero bytes. All bodies together are sent at `rate` bytes per second.
    /// `guard` is dropped when the last byte has been sent or the reader has disconnected.
    pub fn body<T: 'static>(&self, size: usize, rate: u64, guard: T) -> Reply {
        let (limiter, rate) = (self.clone(), rate.max(1));
        let next_chunk = move |(left, guard): (usize, T)| {
            let limiter = limiter.clone();
            async move {
                let size = left.min(CHUNK_BYTES);
                if size == 0 {
                    return None;
                }
                tokio::time::sleep_until(limiter.reserve(size, rate)).await;
                let bytes = Bytes::from_static(&[0; CHUNK_BYTES]).slice(..size);
                Some((Ok::<_, std::io::Error>(bytes), (left - size, guard)))
            }
        };
        reply::stream("application/octet-stream", stream::unfold((size, guard), next_chunk))
    }

    /// Reserves time for sending `size` bytes after those reserved before. Returns when it ends.
    fn reserve(&self, size: usize, rate: u64) -> Instant {
        let mut next = self.0.lock().expect("nothing panics while it holds this lock");
        let now = Instant::now();
        let start = next.map_or(now, |at| at.max(now));
        let end = start + Duration::from_secs_f64(size as f64 / rate as f64);
        *next = Some(end);
        end
    }
}
