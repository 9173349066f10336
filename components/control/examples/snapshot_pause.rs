//! Benchmarks how long a snapshot blocks the replica's task, which clones the state, and how long
//! the encoding takes in the snapshot task.
//!
//! `cargo run --release -p chicoryford-control --example snapshot_pause`

use std::time::Instant;

use chicoryford_state::AgentAssignment;
use chicoryford_state::Command;
use chicoryford_state::State;
use chicoryford_types::Digest;
use chicoryford_types::Epoch;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Position;
use chicoryford_types::RequestId;
use chicoryford_types::Revision;
use chicoryford_types::Unix;
use chicoryford_types::Workspace;

const STAMP: Unix = Unix(1_800_000_000_000);
const ROUNDS: usize = 5;
/// The numbers of claims. The last one is the maximum for a workspace.
const CLAIMS: [u64; 3] = [10_000, 50_000, 100_000];

fn main() {
    println!("claims  bytes  clone_ms_median  clone_ms_max  encode_ms");
    for claims in CLAIMS {
        let state = state_with_claims(claims);
        let mut clones: Vec<f64> = (0..ROUNDS).map(|_| clone_millis(&state)).collect();
        clones.sort_by(f64::total_cmp);
        let mut bytes = 0;
        let encode = millis(|| bytes = rmp_serde::to_vec_named(&state).map_or(0, |d| d.len()));
        let (median, max) = (clones[ROUNDS / 2], clones[ROUNDS - 1]);
        println!("{claims} {bytes} {median:.1} {max:.1} {encode:.1}");
    }
}

fn state_with_claims(claims: u64) -> State {
    let mut state = State::default();
    for n in 0..claims {
        let command = Command::Claim {
            workspace: Workspace::from("w"),
            key: IdempotencyKey(format!("{}.{n}", STAMP.0)),
            digest: Digest::of(&n.to_be_bytes()),
            request: RequestId(1, n),
            to: AgentAssignment::default(),
        };
        let at = Position { epoch: Epoch(1), revision: Revision(n + 1) };
        state.apply(at, STAMP, command);
    }
    state
}

/// Measures the clone alone. The snapshot task drops the copy.
fn clone_millis(state: &State) -> f64 {
    let mut copy = None;
    millis(|| copy = Some(state.clone()))
}

fn millis(run: impl FnOnce()) -> f64 {
    let begun = Instant::now();
    run();
    begun.elapsed().as_secs_f64() * 1_000.0
}
