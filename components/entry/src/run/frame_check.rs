//! Checks that the frames of a stream belong to its attempt and arrive in order without gaps.

use chicoryford_types::Attempt;
use chicoryford_types::Frame;
use chicoryford_types::RequestId;
use chicoryford_types::frame::Event;
use thiserror::Error;

/// A stream contains a frame that does not belong there.
///
/// Without this check, a reused connection or a late answer to a cancelled attempt could insert
/// another caller's tokens into the answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FrameError {
    /// A frame names another request or attempt.
    #[error("the stream contains a frame of request {request}, attempt {attempt}")]
    WrongAttempt {
        /// The request that the frame names.
        request: RequestId,
        /// The attempt that the frame names.
        attempt: Attempt,
    },
    /// A frame is missing, repeated or out of order.
    #[error("received frame {got}, expected frame {expected}")]
    OutOfOrder {
        /// The expected sequence number.
        expected: u32,
        /// The received sequence number.
        got: u32,
    },
    /// The token count of the final frame differs from the number of tokens received.
    #[error("the final frame counts {counted} tokens, but {received} were received")]
    TokenCount {
        /// The count in the final frame.
        counted: u32,
        /// The number of tokens received.
        received: u32,
    },
    /// A frame follows the final frame.
    #[error("a frame follows the final frame")]
    AfterEnd,
}

/// Checks the frames of one attempt.
#[derive(Clone, Debug)]
pub struct FrameCheck {
    request: RequestId,
    attempt: Attempt,
    next_seq: u32,
    received: u32,
    ended: bool,
}

impl FrameCheck {
    /// Creates a check that expects the first frame of the attempt.
    pub fn new(request: RequestId, attempt: Attempt) -> Self {
        Self { request, attempt, next_seq: 0, received: 0, ended: false }
    }

    /// Checks one frame and returns its event.
    ///
    /// # Errors
    ///
    /// Returns a [`FrameError`], after which the stream must not be read further.
    pub fn accept(&mut self, frame: Frame) -> Result<Event, FrameError> {
        let Frame { request, attempt, seq, event } = frame;
        if request != self.request || attempt != self.attempt {
            return Err(FrameError::WrongAttempt { request, attempt });
        }
        if seq != self.next_seq {
            return Err(FrameError::OutOfOrder { expected: self.next_seq, got: seq });
        }
        if self.ended {
            return Err(FrameError::AfterEnd);
        }
        self.next_seq += 1;
        match &event {
            Event::Tokens(tokens) => self.received += tokens.count,
            Event::Finished(finish) => {
                self.ended = true;
                if finish.tokens != self.received {
                    return Err(FrameError::TokenCount {
                        counted: finish.tokens,
                        received: self.received,
                    });
                }
            }
            Event::Failed(_) => self.ended = true,
            Event::Accepted | Event::Alive | Event::Answer(_) => {}
        }
        Ok(event)
    }
}
