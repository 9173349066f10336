//! Checks that frames belong to the attempt that is read, in order and without a gap.

use chicoryford_types::Attempt;
use chicoryford_types::Frame;
use chicoryford_types::RequestId;
use chicoryford_types::frame::Event;
use thiserror::Error;

/// A stream is not the answer to its attempt.
///
/// A connection that is used again, or a late answer to a cancelled attempt, could otherwise put
/// another caller's tokens into this answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FrameError {
    /// A frame names another request or attempt.
    #[error("a frame of request {request}, attempt {attempt}, came on this stream")]
    Other {
        /// The request that the frame names.
        request: RequestId,
        /// The attempt that the frame names.
        attempt: Attempt,
    },
    /// A frame is missing, repeated or out of order.
    #[error("frame {got} came where {expected} was due")]
    Gap {
        /// The number that was due.
        expected: u32,
        /// The number that came.
        got: u32,
    },
    /// The count of tokens at the end differs from the sum of the frames.
    #[error("the end counts {counted} tokens, the frames {seen}")]
    Count {
        /// What the end says.
        counted: u32,
        /// What came.
        seen: u32,
    },
    /// A frame came after the end.
    #[error("a frame came after the end")]
    AfterEnd,
}

/// Checks the frames of one attempt.
#[derive(Clone, Debug)]
pub struct FrameCheck {
    request: RequestId,
    attempt: Attempt,
    next: u32,
    seen: u32,
    ended: bool,
}

impl FrameCheck {
    /// Starts before the first frame.
    pub fn new(request: RequestId, attempt: Attempt) -> Self {
        Self { request, attempt, next: 0, seen: 0, ended: false }
    }

    /// Takes one frame and gives its event.
    ///
    /// # Errors
    ///
    /// [`FrameError`]; the stream must not be read further.
    pub fn take(&mut self, frame: Frame) -> Result<Event, FrameError> {
        let Frame { request, attempt, seq, event } = frame;
        if request != self.request || attempt != self.attempt {
            return Err(FrameError::Other { request, attempt });
        }
        if seq != self.next {
            return Err(FrameError::Gap { expected: self.next, got: seq });
        }
        if self.ended {
            return Err(FrameError::AfterEnd);
        }
        self.next += 1;
        match &event {
            Event::Tokens(tokens) => self.seen += tokens.count,
            Event::Finished(finish) => {
                self.ended = true;
                if finish.tokens != self.seen {
                    return Err(FrameError::Count { counted: finish.tokens, seen: self.seen });
                }
            }
            Event::Failed(_) => self.ended = true,
            Event::Accepted | Event::Alive | Event::Answer(_) => {}
        }
        Ok(event)
    }
}
