//! Bounded rings between duties.
//!
//! A full ring refuses instead of growing, so that overload shows where it starts and memory
//! stays bounded; the sender decides what a refusal means.

use thiserror::Error;
use tokio::sync::mpsc;

/// Why a ring did not take an item; the item comes back.
#[derive(Debug, Error)]
pub enum RingError<T> {
    /// The ring is full: the receiving duty does not keep up.
    #[error("the ring is full")]
    Full(T),
    /// The receiving duty has ended.
    #[error("the receiving duty has ended")]
    Closed(T),
}

/// The sending end of a ring.
pub struct Sender<T>(mpsc::Sender<T>);

/// The receiving end of a ring; one duty holds it.
pub struct Receiver<T>(mpsc::Receiver<T>);

/// Makes a ring that holds at most `capacity` items.
pub fn ring<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::channel(capacity);
    (Sender(sender), Receiver(receiver))
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Sender<T> {
    /// Puts an item into the ring without waiting.
    ///
    /// # Errors
    ///
    /// [`RingError`] with the item if the ring is full or its receiver is gone.
    pub fn offer(&self, item: T) -> Result<(), RingError<T>> {
        self.0.try_send(item).map_err(|error| match error {
            mpsc::error::TrySendError::Full(item) => RingError::Full(item),
            mpsc::error::TrySendError::Closed(item) => RingError::Closed(item),
        })
    }

    /// Puts an item into the ring, waiting for room.
    ///
    /// # Errors
    ///
    /// [`RingError::Closed`] with the item if the receiver is gone.
    pub async fn send(&self, item: T) -> Result<(), RingError<T>> {
        self.0.send(item).await.map_err(|error| RingError::Closed(error.0))
    }

    /// Puts an item into the ring from a thread that has no async runtime, waiting for room.
    ///
    /// # Errors
    ///
    /// [`RingError::Closed`] with the item if the receiver is gone.
    pub fn send_blocking(&self, item: T) -> Result<(), RingError<T>> {
        self.0.blocking_send(item).map_err(|error| RingError::Closed(error.0))
    }

    /// Counts the free places.
    pub fn room(&self) -> usize {
        self.0.capacity()
    }
}

impl<T> Receiver<T> {
    /// Takes the next item, or none when all senders are gone.
    pub async fn next(&mut self) -> Option<T> {
        self.0.recv().await
    }

    /// Takes the next item on a thread that has no async runtime.
    pub fn next_blocking(&mut self) -> Option<T> {
        self.0.blocking_recv()
    }

    /// Tells whether nobody sends any more; what was sent before may still be there.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Takes an item if one is there.
    pub fn take(&mut self) -> Option<T> {
        self.0.try_recv().ok()
    }
}
