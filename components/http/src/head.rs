//! Decodes the heads of requests. The codec of the library takes 96 fields at most; a head within its
//! limit in bytes may have thousands.

use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

use crate::message::Headers;
use crate::message::Request;

/// The fields that determine the length of a body and the use of the connection. The codec needs no
/// others.
const FRAMING_FIELDS: &[&str] =
    &["connection", "content-length", "expect", "host", "transfer-encoding", "upgrade"];
/// Bytes that a decoded field takes beyond its text, in the request and in the copy that is forwarded.
const FIELD_BYTES: usize = 640;
/// Bytes of a head up to which the number of its fields does not matter.
const FEW_FIELDS_BYTES: usize = 1 << 10;

/// Returns the bytes that a head takes when it is decoded.
pub(crate) fn decoded_bytes(head: &[u8]) -> usize {
    if head.len() <= FEW_FIELDS_BYTES {
        return head.len();
    }
    let lines = head.iter().filter(|byte| **byte == b'\n').count();
    head.len() + lines * FIELD_BYTES
}

/// Finds the ends of heads in the bytes of a connection as they arrive, so that a head that arrives in
/// many pieces is not decoded again for each of them.
#[derive(Default)]
pub(crate) struct EndFinder {
    scanned: usize,
    /// Length at which the bytes are decoded although no end was found, since they may be invalid.
    next_attempt: usize,
}

impl EndFinder {
    /// Returns the length of the first head, if it is complete.
    fn find(&mut self, input: &[u8]) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        self.scanned = input.len();
        let end = |at: usize| {
            let rest = &input[at..];
            if rest.starts_with(b"\n\n") {
                Some(at + 2)
            } else {
                rest.starts_with(b"\n\r\n").then_some(at + 3)
            }
        };
        (start..input.len()).find_map(end)
    }

    /// Returns whether decoding the bytes may give a result.
    pub(crate) fn is_due(&mut self, input: &[u8]) -> bool {
        let is_due = self.find(input).is_some() || input.len() >= self.next_attempt;
        if is_due {
            self.next_attempt = 2 * input.len();
        }
        is_due
    }
}

/// Decodes a request without its body. Returns none if the head is incomplete.
pub(crate) fn decode(
    codec: &mut Codec,
    input: &mut BytesMut,
) -> Result<Option<Request>, ParseError> {
    match codec.decode(input) {
        Ok(Some(Message::Item(read))) => Ok(Some(Request {
            method: read.method().clone(),
            target: target(read.uri()),
            headers: Headers(read.head().headers().clone()),
            body: Bytes::new(),
        })),
        Ok(_) => Ok(None),
        Err(ParseError::TooLarge) => decode_many_fields(codec, input),
        Err(error) => Err(error),
    }
}

fn target(uri: &actix_http::Uri) -> String {
    uri.path_and_query().map_or("/", |target| target.as_str()).to_owned()
}

/// Decodes a head with more fields than the codec takes. The codec gets those that it needs, and
/// validates them as usual.
fn decode_many_fields(
    codec: &mut Codec,
    input: &mut BytesMut,
) -> Result<Option<Request>, ParseError> {
    let lines = input.iter().filter(|byte| **byte == b'\n').count();
    let mut fields = vec![httparse::EMPTY_HEADER; lines];
    let mut parsed = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = parsed.parse(input)? else { return Ok(None) };
    let (Some(method), Some(path), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Ok(None);
    };
    let mut framing = BytesMut::from(format!("{method} {path} HTTP/1.{version}\r\n").as_bytes());
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| ParseError::Header)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| ParseError::Header)?;
        if FRAMING_FIELDS.contains(&name.as_str()) {
            framing.extend_from_slice(format!("{name}: ").as_bytes());
            framing.extend_from_slice(field.value);
            framing.extend_from_slice(b"\r\n");
        }
        headers.append(name, value);
    }
    framing.extend_from_slice(b"\r\n");
    let Some(Message::Item(read)) = codec.decode(&mut framing)? else {
        return Err(ParseError::Header);
    };
    let request = Request {
        method: read.method().clone(),
        target: target(read.uri()),
        headers: Headers(headers),
        body: Bytes::new(),
    };
    input.advance(length);
    Ok(Some(request))
}
