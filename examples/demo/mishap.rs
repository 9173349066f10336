//! What goes wrong, or is planned, in the middle of the run.

use std::time::Duration;

use chicoryford_standin::record::unix;
use eyre::Result;

use crate::Args;
use crate::Victim;
use crate::layout::Layout;

/// The sampler that is killed or stopped.
const SAMPLER: &str = "route-sampler-1";
const DOWN: Duration = Duration::from_secs(1);
const STOP_ID: &str = "demo";

/// When what happened.
#[derive(Debug, Default)]
pub struct Mishaps {
    /// The sampler for which a stop was planned, and when the stop was in force everywhere and
    /// when it was cancelled, both in Unix milliseconds.
    pub stopped: Option<(String, u64, u64)>,
}

/// Waits for the middle of the run and does what the options say.
pub fn run(layout: &mut Layout, args: &Args) -> Result<Mishaps> {
    let mut mishaps = Mishaps::default();
    std::thread::sleep(Duration::from_secs(args.seconds) / 2);
    if let Some(victim) = args.kill {
        kill(layout, victim)?;
    }
    if args.plan_stop {
        mishaps.stopped = Some(plan_stop(layout, Duration::from_secs(args.seconds) / 4)?);
    }
    Ok(mishaps)
}

fn kill(layout: &mut Layout, victim: Victim) -> Result<()> {
    let process = match victim {
        Victim::Agent => &mut layout.place(SAMPLER)?.agent,
        Victim::Engine => &mut layout.place(SAMPLER)?.standin,
        Victim::Daemon => &mut layout.daemon,
    };
    println!("killed {} by SIGKILL", process.name);
    process.kill()?;
    std::thread::sleep(DOWN);
    process.restart()?;
    println!("started {} again", process.name);
    Ok(())
}

fn plan_stop(layout: &Layout, pause: Duration) -> Result<(String, u64, u64)> {
    let plan =
        ["stop", "plan", "--endpoint", SAMPLER, "--id", STOP_ID, "--reason", "demo", "--wait"];
    layout.operate(&plan)?;
    let from = unix();
    println!("planned a stop of {SAMPLER}; in force everywhere");
    std::thread::sleep(pause);
    print!("{}", layout.operate(&["stop", "status", STOP_ID])?);
    layout.operate(&["stop", "cancel", STOP_ID])?;
    println!("cancelled the stop");
    Ok((SAMPLER.to_owned(), from, unix()))
}
