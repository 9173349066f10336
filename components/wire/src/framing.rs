//! Frames within a streamed body: four bytes of length, big-endian, then MessagePack.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bound on one frame; a longer length means that the stream is garbled.
const FRAME_BOUND: usize = 16 << 20;
const HEADER: usize = 4;

/// A stream is not made of frames.
#[derive(Debug, Error)]
pub enum FramingError {
    /// A frame claims to be longer than any may be.
    #[error("a frame of {0} bytes exceeds the bound")]
    TooLong(usize),
    /// A frame's content is not what it should be.
    #[error("a frame cannot be read")]
    Content(#[from] rmp_serde::decode::Error),
}

/// Encodes one frame.
pub fn encode<T: Serialize>(item: &T) -> Bytes {
    pack(&rmp_serde::to_vec_named(item).expect("frames are plain data"))
}

/// Encodes one frame without the names of fields, for what is sent all the time. A decoder reads
/// both; new fields of such a type may only be added at its end, with a default.
pub fn encode_compact<T: Serialize>(item: &T) -> Bytes {
    pack(&rmp_serde::to_vec(item).expect("frames are plain data"))
}

fn pack(body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEADER + body.len());
    frame.put_u32(body.len() as u32);
    frame.put_slice(body);
    frame.freeze()
}

/// Collects the chunks of a stream and gives back the frames in it.
#[derive(Default)]
pub struct Decoder {
    pending: BytesMut,
}

impl Decoder {
    /// Adds a chunk as it came from the connection; chunks and frames need not coincide.
    pub fn push(&mut self, chunk: &[u8]) {
        self.pending.extend_from_slice(chunk);
    }

    /// Takes the next whole frame, or none until more chunks come.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if the stream is garbled; it cannot be read further.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FramingError> {
        if self.pending.len() < HEADER {
            return Ok(None);
        }
        let length = u32::from_be_bytes(self.pending[..HEADER].try_into().expect("four bytes"));
        let length = length as usize;
        if length > FRAME_BOUND {
            return Err(FramingError::TooLong(length));
        }
        if self.pending.len() < HEADER + length {
            return Ok(None);
        }
        self.pending.advance(HEADER);
        let body = self.pending.split_to(length);
        Ok(Some(rmp_serde::from_slice(&body)?))
    }
}
