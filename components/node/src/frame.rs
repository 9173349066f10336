//! How messages are framed: their length, then their content, compressed where that pays.
//!
//! Texts of results are most of what links carry between data centres, and each crosses several
//! times. docs/POLICY.md has what compression takes off, and what it costs.

use std::cell::RefCell;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio_util::codec::LengthDelimitedCodec;
use zstd::bulk::Compressor;
use zstd::bulk::Decompressor;

/// Bytes of one frame. A submitted step may have the size of the largest body, and a little more
/// in this form.
const FRAME: usize = 96 << 20;
/// Bytes below which a message is sent as it is: heartbeats and acknowledgements, of which a few
/// bytes would be saved for the microseconds that each costs.
const SMALL: usize = 256;
/// The compression level. Letters drawn at random become 0.6 times as long at this one and at all
/// higher ones; it takes about 3 ms of a whole core for a megabyte.
const LEVEL: i32 = 1;

/// The first byte of a content that is sent as it is.
const PLAIN: u8 = 0;
/// The first byte of one that is compressed; four bytes with its length follow.
const COMPRESSED: u8 = 1;
/// Bytes of the length.
const LENGTH: usize = 4;

/// Whether frames are compressed; those that come are read either way.
static COMPRESSION: AtomicBool = AtomicBool::new(true);

thread_local! {
    // A context takes some hundred kilobytes to set up, which is more than most messages.
    static COMPRESSOR: RefCell<Option<Compressor<'static>>> = const { RefCell::new(None) };
    static DECOMPRESSOR: RefCell<Option<Decompressor<'static>>> = const { RefCell::new(None) };
}

/// The content of a frame cannot be read; the connection is then of no use any more.
#[derive(Debug, Error)]
pub enum FrameError {
    /// It is neither plain nor compressed.
    #[error("a frame of an unknown form")]
    Form,
    /// It would become longer than a frame may be.
    #[error("a frame of {0} bytes")]
    Long(usize),
    /// It cannot be decompressed.
    #[error("a damaged frame")]
    Damaged(#[source] std::io::Error),
    /// It holds no such message.
    #[error(transparent)]
    Message(#[from] rmp_serde::decode::Error),
}

/// Makes the codec of frames.
pub fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME).new_codec()
}

/// Switches the compression of this process's frames on or off.
pub fn set_compression(on: bool) {
    COMPRESSION.store(on, Ordering::Relaxed);
}

/// Writes a value as the content of a frame.
pub fn encode(value: &impl Serialize) -> Bytes {
    let mut content = vec![PLAIN];
    rmp_serde::encode::write(&mut content, value).expect("messages are plain data");
    compress(&content[1..]).unwrap_or(content).into()
}

/// Gives the compressed form, if it is shorter.
fn compress(message: &[u8]) -> Option<Vec<u8>> {
    if message.len() < SMALL || !COMPRESSION.load(Ordering::Relaxed) {
        return None;
    }
    let length = u32::try_from(message.len()).ok()?;
    let packed = COMPRESSOR.with_borrow_mut(|slot| {
        if slot.is_none() {
            *slot = Compressor::new(LEVEL).ok();
        }
        slot.as_mut()?.compress(message).ok()
    })?;
    if packed.len() + LENGTH >= message.len() {
        return None;
    }
    let mut content = Vec::with_capacity(1 + LENGTH + packed.len());
    content.push(COMPRESSED);
    content.extend_from_slice(&length.to_be_bytes());
    content.extend_from_slice(&packed);
    Some(content)
}

/// Reads a value from the content of a frame.
///
/// # Errors
///
/// [`FrameError`]; the connection is then of no use any more.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    match frame.split_first() {
        Some((&PLAIN, message)) => Ok(rmp_serde::from_slice(message)?),
        Some((&COMPRESSED, content)) => {
            let (length, packed) = content.split_first_chunk().ok_or(FrameError::Form)?;
            let message = decompress(u32::from_be_bytes(*length) as usize, packed)?;
            Ok(rmp_serde::from_slice(&message)?)
        }
        _ => Err(FrameError::Form),
    }
}

/// Decompresses a message of a length that is known. The bound is checked first, so that a damaged
/// length does not take all memory.
fn decompress(length: usize, packed: &[u8]) -> Result<Vec<u8>, FrameError> {
    if length > FRAME {
        return Err(FrameError::Long(length));
    }
    DECOMPRESSOR.with_borrow_mut(|slot| {
        let decompressor = match slot {
            Some(decompressor) => decompressor,
            None => slot.insert(Decompressor::new().map_err(FrameError::Damaged)?),
        };
        decompressor.decompress(packed, length).map_err(FrameError::Damaged)
    })
}
