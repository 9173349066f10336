//! Frames decode to what was encoded, and damage is detected.

use chicoryford_node::frame::FrameError;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::message::Answer;
use quickcheck::quickcheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

/// Bytes of a long text, such as that of a sample. Random letters compress the least.
const TEXT_BYTES: usize = 6_000;

/// Maximum size of a message in bytes.
const MAX_FRAME_BYTES: usize = 96 << 20;

fn text() -> String {
    let mut rng = SmallRng::seed_from_u64(1);
    (0..TEXT_BYTES).map(|_| rng.random_range('a'..='z')).collect()
}

#[test]
fn a_long_text_is_compressed_to_two_thirds_at_most() {
    let frame = encode(&text());

    assert!(frame.len() * 3 <= TEXT_BYTES * 2, "{} bytes", frame.len());
    assert_eq!(decode::<String>(&frame).unwrap(), text());
}

#[test]
fn an_incompressible_message_grows_by_one_byte() {
    let mut rng = SmallRng::seed_from_u64(1);
    let bytes: Vec<u8> = (0..TEXT_BYTES).map(|_| rng.random()).collect();
    let plain = rmp_serde::to_vec(&bytes).unwrap();

    assert!(encode(&bytes).len() <= plain.len() + 1);
}

/// Guards against an answer of an earlier release that closes the connection, because its form was
/// changed and it cannot be decoded.
#[test]
fn a_refused_retirement_of_an_earlier_release_is_decoded() {
    #[derive(Serialize)]
    enum EarlierAnswer {
        TooFew,
    }

    let answer = decode::<Answer>(&encode(&EarlierAnswer::TooFew)).unwrap();
    assert!(matches!(answer, Answer::TooFew), "{answer:?}");
}

/// Guards against allocating memory for a damaged length of gigabytes, after which the process was
/// killed.
#[test]
fn an_excessive_length_is_refused_before_allocation() {
    let mut frame = encode(&text()).to_vec();
    frame[1..5].copy_from_slice(&u32::MAX.to_be_bytes());

    assert!(matches!(decode::<String>(&frame), Err(FrameError::Long(_))));
}

quickcheck! {
    fn any_message_decodes_to_itself(message: Vec<String>, repeated: u8) -> bool {
        let message: Vec<String> =
            std::iter::repeat_n(message, usize::from(repeated)).flatten().collect();
        decode::<Vec<String>>(&encode(&message)).is_ok_and(|read| read == message)
    }

    // Reading a damaged frame ends without a panic and within the size limit of a frame.
    fn a_damaged_frame_is_refused_or_read(damage: Vec<(u16, u8)>) -> bool {
        let mut frame = encode(&text()).to_vec();
        for (index, byte) in damage {
            let index = usize::from(index) % frame.len();
            frame[index] = byte;
        }
        decode::<String>(&frame).map_or(true, |read| read.len() <= MAX_FRAME_BYTES)
    }
}
