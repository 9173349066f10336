//! Frames bring back what was put into them, and damage is noticed.

use chicoryford_node::frame::FrameError;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use quickcheck::quickcheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Bytes of a long text, such as samples bring: letters drawn at random compress the least.
const TEXT: usize = 6_000;

/// Bytes that a message may have at most.
const FRAME: usize = 96 << 20;

fn text() -> String {
    let mut rng = SmallRng::seed_from_u64(1);
    (0..TEXT).map(|_| rng.random_range('a'..='z')).collect()
}

#[test]
fn a_long_text_takes_two_thirds_of_its_bytes_at_most() {
    let frame = encode(&text());

    assert!(frame.len() * 3 <= TEXT * 2, "{} bytes", frame.len());
    assert_eq!(decode::<String>(&frame).unwrap(), text());
}

#[test]
fn what_does_not_compress_grows_by_a_byte() {
    let mut rng = SmallRng::seed_from_u64(1);
    let bytes: Vec<u8> = (0..TEXT).map(|_| rng.random()).collect();
    let plain = rmp_serde::to_vec(&bytes).unwrap();

    assert!(encode(&bytes).len() <= plain.len() + 1);
}

/// Symptom: a process is killed for its memory after one damaged frame. Sequence: the length in the
/// frame says gigabytes, and room for them is made. Cause: a length taken on trust.
#[test]
fn a_length_beyond_all_bounds_is_refused_before_room_is_made() {
    let mut frame = encode(&text()).to_vec();
    frame[1..5].copy_from_slice(&u32::MAX.to_be_bytes());

    assert!(matches!(decode::<String>(&frame), Err(FrameError::Long(_))));
}

quickcheck! {
    fn any_message_comes_back(message: Vec<String>, repeated: u8) -> bool {
        let message: Vec<String> =
            std::iter::repeat_n(message, usize::from(repeated)).flatten().collect();
        decode::<Vec<String>>(&encode(&message)).is_ok_and(|read| read == message)
    }

    // Whatever is damaged, reading it ends, without a panic and within the bound of a frame.
    fn a_damaged_frame_is_refused_or_read(damage: Vec<(u16, u8)>) -> bool {
        let mut frame = encode(&text()).to_vec();
        for (place, byte) in damage {
            let place = usize::from(place) % frame.len();
            frame[place] = byte;
        }
        decode::<String>(&frame).map_or(true, |read| read.len() <= FRAME)
    }
}
