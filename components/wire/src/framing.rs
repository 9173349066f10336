//! Frames of a streamed body: a length of four bytes, big-endian, followed by MessagePack.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The maximum size of a frame. A greater length means that the stream is corrupt.
const MAX_FRAME_BYTES: usize = 16 << 20;
const HEADER_BYTES: usize = 4;

/// A stream does not consist of valid frames.
#[derive(Debug, Error)]
pub enum FramingError {
    /// The length of a frame exceeds the maximum.
    #[error("a frame of {0} bytes exceeds the maximum")]
    TooLong(usize),
    /// The content of a frame cannot be decoded.
    #[error("a frame cannot be decoded")]
    Content(#[from] rmp_serde::decode::Error),
}

/// Encodes a frame.
pub fn encode<T: Serialize>(item: &T) -> Bytes {
    frame_body(&rmp_serde::to_vec_named(item).expect("frames can be serialized"))
}

/// Encodes a frame without field names, for frequent messages. The decoder accepts both forms. New
/// fields of a type that is sent in this form may only be added at its end, with a default.
pub fn encode_compact<T: Serialize>(item: &T) -> Bytes {
    frame_body(&rmp_serde::to_vec(item).expect("frames can be serialized"))
}

fn frame_body(body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(HEADER_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.put_slice(body);
    frame.freeze()
}

/// Decodes the frames of a stream from its chunks.
#[derive(Default)]
pub struct Decoder {
    pending: BytesMut,
}

impl Decoder {
    /// Adds a chunk as received from the connection. Chunks and frames need not be aligned.
    pub fn push(&mut self, chunk: &[u8]) {
        self.pending.extend_from_slice(chunk);
    }

    /// Removes and returns the next complete frame, or `None` if more chunks are needed.
    ///
    /// # Errors
    ///
    /// Returns [`FramingError`] if the stream is corrupt. It cannot be read any further.
    pub fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FramingError> {
        if self.pending.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length =
            u32::from_be_bytes(self.pending[..HEADER_BYTES].try_into().expect("four bytes"));
        let length = length as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FramingError::TooLong(length));
        }
        if self.pending.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.pending.advance(HEADER_BYTES);
        let body = self.pending.split_to(length);
        Ok(Some(rmp_serde::from_slice(&body)?))
    }
}
