//! Failures and planned stops in the middle of the run.

use std::time::Duration;

use chicoryford_standin::record::unix;
use eyre::Result;

use crate::Args;
use crate::KillTarget;
use crate::deployment::Deployment;

/// The sampler that is killed or stopped.
const SAMPLER: &str = "route-sampler-1";
const DOWNTIME: Duration = Duration::from_secs(1);
const STOP_ID: &str = "demo";

/// The disruptions of a run.
#[derive(Debug, Default)]
pub struct Disruptions {
    /// The sampler for which a stop was planned, the time from which the stop was in force
    /// everywhere, and the time of its cancellation, both in Unix milliseconds.
    pub stopped: Option<(String, u64, u64)>,
}

/// Waits for the middle of the run and runs the disruptions that the options ask for.
pub fn run(deployment: &mut Deployment, args: &Args) -> Result<Disruptions> {
    let mut disruptions = Disruptions::default();
    std::thread::sleep(Duration::from_secs(args.seconds) / 2);
    if let Some(target) = args.kill {
        kill(deployment, target)?;
    }
    if args.plan_stop {
        disruptions.stopped = Some(plan_stop(deployment, Duration::from_secs(args.seconds) / 4)?);
    }
    Ok(disruptions)
}

fn kill(deployment: &mut Deployment, target: KillTarget) -> Result<()> {
    let process = match target {
        KillTarget::Agent => &mut deployment.endpoint_mut(SAMPLER)?.agent,
        KillTarget::Engine => &mut deployment.endpoint_mut(SAMPLER)?.standin,
        KillTarget::Daemon => &mut deployment.daemon,
    };
    println!("killed {} by SIGKILL", process.name);
    process.kill()?;
    std::thread::sleep(DOWNTIME);
    process.restart()?;
    println!("started {} again", process.name);
    Ok(())
}

fn plan_stop(deployment: &Deployment, pause: Duration) -> Result<(String, u64, u64)> {
    let plan =
        ["stop", "plan", "--endpoint", SAMPLER, "--id", STOP_ID, "--reason", "demo", "--wait"];
    deployment.operate(&plan)?;
    let from = unix();
    println!("planned a stop of {SAMPLER}; in force everywhere");
    std::thread::sleep(pause);
    print!("{}", deployment.operate(&["stop", "status", STOP_ID])?);
    deployment.operate(&["stop", "cancel", STOP_ID])?;
    println!("cancelled the stop");
    Ok((SAMPLER.to_owned(), from, unix()))
}
