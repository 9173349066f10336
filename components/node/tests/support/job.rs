//! A run that is assigned to a host.

use std::net::SocketAddr;

use chicoryford_fleet::Sample;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::Job;

/// Creates a run of the sample "s" at an engine.
pub fn job(address: SocketAddr) -> Job {
    let sample = Sample { id: "s".to_owned(), path: "/x".to_owned(), ..Sample::default() };
    Job {
        run: 1,
        step: "step".to_owned(),
        index: 0,
        host: "h".to_owned(),
        sample,
        workspace: None,
        endpoint: "e".to_owned(),
        address,
        version: 1,
        min_version: 1,
        single_version: false,
        remaining_ms: 10_000,
        output: SampleOutput::default(),
        cost: Cost::default(),
    }
}
