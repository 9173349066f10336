//! Bounded channels between duties, called rings.
//!
//! A full ring refuses items instead of growing, so that overload is visible where it starts and
//! memory stays bounded. The sender decides how to handle a refusal.

use thiserror::Error;
use tokio::sync::mpsc;

/// Why an item was not sent; it is returned to the sender.
#[derive(Debug, Error)]
pub enum RingError<T> {
    /// The ring is full: the receiving duty is too slow.
    #[error("the ring is full")]
    Full(T),
    /// The receiving duty has ended.
    #[error("the receiving duty has ended")]
    Closed(T),
}

/// The sending half of a ring.
pub struct Sender<T>(mpsc::Sender<T>);

/// The receiving half of a ring, owned by one duty.
pub struct Receiver<T>(mpsc::Receiver<T>);

/// Creates a ring with a capacity in items.
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
    /// Sends an item without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`RingError`] with the item if the ring is full or its receiver was dropped.
    pub fn offer(&self, item: T) -> Result<(), RingError<T>> {
        self.0.try_send(item).map_err(|error| match error {
            mpsc::error::TrySendError::Full(item) => RingError::Full(item),
            mpsc::error::TrySendError::Closed(item) => RingError::Closed(item),
        })
    }

    /// Sends an item, waiting while the ring is full.
    ///
    /// # Errors
    ///
    /// Returns [`RingError::Closed`] with the item if the receiver was dropped.
    pub async fn send(&self, item: T) -> Result<(), RingError<T>> {
        self.0.send(item).await.map_err(|error| RingError::Closed(error.0))
    }

    /// Sends an item from a thread without an async runtime, waiting while the ring is full.
    ///
    /// # Errors
    ///
    /// Returns [`RingError::Closed`] with the item if the receiver was dropped.
    pub fn send_blocking(&self, item: T) -> Result<(), RingError<T>> {
        self.0.blocking_send(item).map_err(|error| RingError::Closed(error.0))
    }

    /// Returns the free capacity.
    pub fn room(&self) -> usize {
        self.0.capacity()
    }
}

impl<T> Receiver<T> {
    /// Receives the next item, or none once all senders are dropped.
    pub async fn next(&mut self) -> Option<T> {
        self.0.recv().await
    }

    /// Receives the next item on a thread without an async runtime.
    pub fn next_blocking(&mut self) -> Option<T> {
        self.0.blocking_recv()
    }

    /// Returns whether all senders are dropped. Items that were sent before may still be queued.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }

    /// Receives an item if one is queued.
    pub fn take(&mut self) -> Option<T> {
        self.0.try_recv().ok()
    }
}
