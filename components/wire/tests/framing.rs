//! Frames are decoded from chunks of any size, and corrupt ones are rejected.

use chicoryford_wire::framing::Decoder;
use chicoryford_wire::framing::FramingError;
use chicoryford_wire::framing::encode;

#[test]
fn can_decode_frames_from_any_chunks() {
    let mut stream = encode(&"one").to_vec();
    stream.extend_from_slice(&encode(&"two"));
    let mut decoder = Decoder::default();
    let mut frames = Vec::<String>::new();
    for byte in stream {
        decoder.push(&[byte]);
        frames.extend(decoder.take::<String>().unwrap());
    }
    assert_eq!(frames, ["one", "two"]);
}

#[test]
fn errors_on_a_corrupt_length() {
    let mut decoder = Decoder::default();
    decoder.push(&[0xff; 8]);
    assert!(matches!(decoder.take::<String>(), Err(FramingError::TooLong(_))));
}
