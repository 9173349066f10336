//! Streams of events that come in pieces of any size.

use chicoryford_fleet::sse::SseReader;
use quickcheck::quickcheck;

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\n: a comment\nx-version: 2\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata:\n\n";

fn read(pieces: &[&[u8]]) -> (Vec<Vec<(String, String)>>, bool) {
    let mut reader = SseReader::default();
    let events = pieces.iter().flat_map(|piece| reader.feed(piece)).collect();
    (events, reader.is_at_boundary())
}

#[test]
fn events_are_read_with_their_fields_in_order() {
    let (events, between) = read(&[STREAM]);
    assert!(between);
    let pair = |a: &str, b: &str| (a.to_owned(), b.to_owned());
    assert_eq!(events[0], [pair("id", "1"), pair("data", "one")]);
    assert_eq!(events[1], [pair("x-version", "2"), pair("id", "2"), pair("data", "two")]);
    assert_eq!(events[2], [pair("id", "3"), pair("data", "")]);
}

/// Symptom: an event is lost or stands twice in a sample.
/// Sequence: a piece of the stream ends in the middle of a line.
/// Cause: pieces of the network were taken for events.
#[test]
fn pieces_may_end_anywhere() {
    let whole = read(&[STREAM]).0;
    for cut in 0..=STREAM.len() {
        let (events, _) = read(&[&STREAM[..cut], &STREAM[cut..]]);
        assert_eq!(events, whole, "cut at {cut}");
    }
}

#[test]
fn an_event_that_is_cut_off_is_none() {
    for cut in 0..STREAM.len() {
        let (events, between) = read(&[&STREAM[..cut]]);
        let whole = STREAM[..cut].windows(2).filter(|two| *two == b"\n\n").count()
            + STREAM[..cut].windows(4).filter(|four| *four == b"\r\n\r\n").count();
        assert_eq!(events.len(), whole);
        let ends = STREAM[..cut].ends_with(b"\n\n") || STREAM[..cut].ends_with(b"\r\n\r\n");
        assert!(
            !between || cut == 0 || ends || STREAM[..cut].ends_with(b"comment\n"),
            "cut at {cut}"
        );
    }
}

quickcheck! {
    fn any_bytes_in_any_pieces_read_alike(bytes: Vec<u8>, cut: usize) -> bool {
        let cut = cut.checked_rem(bytes.len() + 1).unwrap_or(0);
        read(&[&bytes]).0 == read(&[&bytes[..cut], &bytes[cut..]]).0
    }
}
