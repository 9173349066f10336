//! The framing of messages: a length, then the content, which is compressed if that makes it
//! shorter.
//!
//! Texts of results are most of the traffic between data centres, and each is sent several times.
//! docs/POLICY.md describes how much compression saves, and what it costs.
//!
//! A submitted step may take a tenth of the memory of a process, so large frames are not copied into
//! a buffer when they are sent, and no connection keeps their memory (docs/CLIENTS.md).

use std::cell::RefCell;
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedParts;
use tokio_util::codec::LengthDelimitedCodec;
use zstd::bulk::Compressor;
use zstd::bulk::Decompressor;

/// Maximum size of a frame in bytes. A submitted step may be as large as the largest body, and
/// slightly larger in this encoding.
const MAX_FRAME_BYTES: usize = 96 << 20;
/// Size in bytes below which a message is not compressed. For heartbeats and acknowledgements,
/// saving a few bytes is not worth the microseconds.
const MIN_COMPRESSED_BYTES: usize = 256;
/// Size in bytes above which a message is not compressed: only submitted steps are as large, and compressing
/// one would hold up the thread, and take its memory once more.
const MAX_COMPRESSED_BYTES: usize = 2 << 20;
/// The zstd compression level. Random letters shrink to 0.6 of their size at this level and at all
/// higher ones; a megabyte takes about 3 ms of a whole core.
const COMPRESSION_LEVEL: i32 = 1;

/// Bytes of a buffer that a connection keeps. A larger one is released once its frames are sent or
/// read.
const KEPT_BUFFER_BYTES: usize = 64 << 10;
/// Bytes of buffered frames from which on they are sent without waiting for further ones.
const FULL_BUFFER_BYTES: usize = 8 << 10;

/// The first byte of uncompressed content.
const PLAIN_TAG: u8 = 0;
/// The first byte of compressed content; four bytes with the uncompressed length follow.
const COMPRESSED_TAG: u8 = 1;
/// Bytes of a length.
const LENGTH_BYTES: usize = 4;
/// An empty byte string in MessagePack.
const EMPTY_BYTES: [u8; 2] = [0xc4, 0];
/// The first byte of a byte string in MessagePack whose length has four bytes, which follow.
const LONG_BYTES_TAG: u8 = 0xc6;

/// Whether sent frames are compressed; received frames are read either way.
static COMPRESSION: AtomicBool = AtomicBool::new(true);

thread_local! {
    // A context takes some hundred kilobytes, more than most messages, so it is reused.
    static COMPRESSOR: RefCell<Option<Compressor<'static>>> = const { RefCell::new(None) };
    static DECOMPRESSOR: RefCell<Option<Decompressor<'static>>> = const { RefCell::new(None) };
}

/// The content of a frame cannot be read; the connection must be closed.
#[derive(Debug, Error)]
pub enum FrameError {
    /// It starts with an unknown tag.
    #[error("a frame of an unknown form")]
    Form,
    /// Its uncompressed length exceeds the limit.
    #[error("a frame of {0} bytes")]
    Long(usize),
    /// It cannot be decompressed.
    #[error("a damaged frame")]
    Damaged(#[source] std::io::Error),
    /// It cannot be decoded as a message of the expected type.
    #[error(transparent)]
    Message(#[from] rmp_serde::decode::Error),
}

/// The codec of frames.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

/// Creates the codec of frames.
pub fn frames() -> FrameCodec {
    FrameCodec(LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let frame = self.0.decode(buffer)?;
        if frame.as_ref().is_some_and(|frame| frame.len() > KEPT_BUFFER_BYTES) {
            // What follows the frame shares its memory, and would keep it.
            *buffer = BytesMut::from(&buffer[..]);
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, buffer: &mut BytesMut) -> io::Result<()> {
        if buffer.is_empty() && buffer.capacity() > KEPT_BUFFER_BYTES {
            *buffer = BytesMut::new();
        }
        self.0.encode(frame, buffer)
    }
}

/// The content of a frame to be sent, whose body may be shared by several frames.
#[derive(Clone, Debug, Default)]
pub struct Frame {
    head: Bytes,
    body: Bytes,
}

impl From<Bytes> for Frame {
    fn from(head: Bytes) -> Self {
        Self { head, body: Bytes::new() }
    }
}

impl Frame {
    /// Returns the size of the content in bytes.
    pub fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns whether the content is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Sends frames. Large ones are written from where they are.
pub struct FrameWriter {
    socket: OwnedWriteHalf,
    buffer: Vec<u8>,
}

impl FrameWriter {
    /// Sends a frame, or buffers a small one until [`FrameWriter::flush`].
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; the connection must be closed then.
    pub async fn feed(&mut self, frame: &Frame) -> io::Result<()> {
        let length = u32::try_from(frame.len()).map_err(|_| io::ErrorKind::InvalidInput)?;
        if frame.len() > MAX_FRAME_BYTES {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        self.buffer.extend_from_slice(&length.to_be_bytes());
        for part in [&frame.head, &frame.body] {
            if part.len() <= KEPT_BUFFER_BYTES {
                self.buffer.extend_from_slice(part);
            } else {
                self.flush().await?;
                self.socket.write_all(part).await?;
            }
        }
        if self.buffer.len() < FULL_BUFFER_BYTES { Ok(()) } else { self.flush().await }
    }

    /// Sends what is buffered.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error; the connection must be closed then.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.socket.write_all(&self.buffer).await?;
        self.buffer.clear();
        self.buffer.shrink_to(KEPT_BUFFER_BYTES);
        Ok(())
    }
}

/// Splits a connection into its two directions.
pub fn split(
    socket: Framed<TcpStream, FrameCodec>,
) -> (FrameWriter, Framed<OwnedReadHalf, FrameCodec>) {
    let parts = socket.into_parts();
    let (reader, writer) = parts.io.into_split();
    let mut rest = FramedParts::new::<Bytes>(reader, parts.codec);
    rest.read_buf = parts.read_buf;
    let buffer = parts.write_buf.to_vec();
    (FrameWriter { socket: writer, buffer }, Framed::from_parts(rest))
}

/// Switches the compression of sent frames on or off.
pub fn set_compression(on: bool) {
    COMPRESSION.store(on, Ordering::Relaxed);
}

/// Encodes a value as the content of a frame.
pub fn encode(value: &impl Serialize) -> Bytes {
    let content = encode_uncompressed(value);
    compress(&content[1..]).map_or(content, Bytes::from)
}

/// Encodes a value whose parts are compressed already.
pub fn encode_uncompressed(value: &impl Serialize) -> Bytes {
    let mut content = vec![PLAIN_TAG];
    rmp_serde::encode::write(&mut content, value).expect("messages are plain data");
    content.into()
}

/// Encodes a value whose last field is a byte string, given as an empty one, with `body` in its place.
/// A long body is not copied.
pub fn encode_with_body(value: &impl Serialize, body: &Bytes) -> Frame {
    let mut head = vec![PLAIN_TAG];
    rmp_serde::encode::write(&mut head, value).expect("messages are plain data");
    debug_assert!(head.ends_with(&EMPTY_BYTES), "the last field is an empty byte string");
    head.truncate(head.len() - EMPTY_BYTES.len());
    head.push(LONG_BYTES_TAG);
    head.extend_from_slice(&(body.len() as u32).to_be_bytes());
    Frame { head: head.into(), body: body.clone() }
}

/// Returns whether a message of this size is never compressed, because it is too long.
pub fn is_long(bytes: usize) -> bool {
    bytes > MAX_COMPRESSED_BYTES
}

/// Returns the compressed content, if it is shorter.
fn compress(message: &[u8]) -> Option<Vec<u8>> {
    let is_suitable = message.len() >= MIN_COMPRESSED_BYTES && !is_long(message.len());
    if !is_suitable || !COMPRESSION.load(Ordering::Relaxed) {
        return None;
    }
    let length = u32::try_from(message.len()).ok()?;
    let packed = COMPRESSOR.with_borrow_mut(|slot| {
        if slot.is_none() {
            *slot = Compressor::new(COMPRESSION_LEVEL).ok();
        }
        slot.as_mut()?.compress(message).ok()
    })?;
    if packed.len() + LENGTH_BYTES >= message.len() {
        return None;
    }
    let mut content = Vec::with_capacity(1 + LENGTH_BYTES + packed.len());
    content.push(COMPRESSED_TAG);
    content.extend_from_slice(&length.to_be_bytes());
    content.extend_from_slice(&packed);
    Some(content)
}

/// Decodes a value from the content of a frame.
///
/// # Errors
///
/// [`FrameError`]; the connection must be closed then.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, FrameError> {
    match frame.split_first() {
        Some((&PLAIN_TAG, message)) => Ok(rmp_serde::from_slice(message)?),
        Some((&COMPRESSED_TAG, content)) => {
            let (length, packed) = content.split_first_chunk().ok_or(FrameError::Form)?;
            let message = decompress(u32::from_be_bytes(*length) as usize, packed)?;
            Ok(rmp_serde::from_slice(&message)?)
        }
        _ => Err(FrameError::Form),
    }
}

/// Decompresses a message of known length. The limit is checked first, so that a damaged length
/// does not exhaust the memory.
fn decompress(length: usize, packed: &[u8]) -> Result<Vec<u8>, FrameError> {
    if length > MAX_FRAME_BYTES {
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
