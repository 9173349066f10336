//! Tests of the parser of server-sent events with chunks of any size.

use chicoryford_fleet::sse::SseReader;
use quickcheck::quickcheck;

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\n: a comment\nx-version: 2\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata:\n\n";

fn read(chunks: &[&[u8]]) -> (Vec<Vec<(String, String)>>, bool) {
    let mut reader = SseReader::default();
    let events = chunks.iter().flat_map(|chunk| reader.feed(chunk)).collect();
    (events, reader.is_at_boundary())
}

#[test]
fn events_have_their_fields_in_order() {
    let (events, at_boundary) = read(&[STREAM]);
    assert!(at_boundary);
    let pair = |a: &str, b: &str| (a.to_owned(), b.to_owned());
    assert_eq!(events[0], [pair("id", "1"), pair("data", "one")]);
    assert_eq!(events[1], [pair("x-version", "2"), pair("id", "2"), pair("data", "two")]);
    assert_eq!(events[2], [pair("id", "3"), pair("data", "")]);
}

/// Guards against an event that is lost or duplicated in a sample because a chunk ended in the
/// middle of a line.
#[test]
fn chunks_may_end_anywhere() {
    let expected = read(&[STREAM]).0;
    for cut in 0..=STREAM.len() {
        let (events, _) = read(&[&STREAM[..cut], &STREAM[cut..]]);
        assert_eq!(events, expected, "cut at {cut}");
    }
}

#[test]
fn an_incomplete_event_is_not_returned() {
    for cut in 0..STREAM.len() {
        let (events, at_boundary) = read(&[&STREAM[..cut]]);
        let complete = STREAM[..cut].windows(2).filter(|two| *two == b"\n\n").count()
            + STREAM[..cut].windows(4).filter(|four| *four == b"\r\n\r\n").count();
        assert_eq!(events.len(), complete);
        let ends_with_event =
            STREAM[..cut].ends_with(b"\n\n") || STREAM[..cut].ends_with(b"\r\n\r\n");
        assert!(
            !at_boundary || cut == 0 || ends_with_event || STREAM[..cut].ends_with(b"comment\n"),
            "cut at {cut}"
        );
    }
}

quickcheck! {
    fn the_chunks_of_a_stream_do_not_affect_its_events(bytes: Vec<u8>, cut: usize) -> bool {
        let cut = cut.checked_rem(bytes.len() + 1).unwrap_or(0);
        read(&[&bytes]).0 == read(&[&bytes[..cut], &bytes[cut..]]).0
    }
}
