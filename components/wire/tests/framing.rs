//! Frames survive any division into chunks; garbled ones are refused.

use chicoryford_wire::framing::Decoder;
use chicoryford_wire::framing::FramingError;
use chicoryford_wire::framing::encode;

#[test]
fn can_read_frames_from_any_chunks() {
    let mut stream = encode(&"one").to_vec();
    stream.extend_from_slice(&encode(&"two"));
    let mut decoder = Decoder::default();
    let mut read = Vec::<String>::new();
    for byte in stream {
        decoder.push(&[byte]);
        read.extend(decoder.take::<String>().unwrap());
    }
    assert_eq!(read, ["one", "two"]);
}

#[test]
fn errors_on_a_garbled_length() {
    let mut decoder = Decoder::default();
    decoder.push(&[0xff; 8]);
    assert!(matches!(decoder.take::<String>(), Err(FramingError::TooLong(_))));
}
