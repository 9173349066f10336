//! Changes: their ids, and the wait until they are in force everywhere.

use std::io::IsTerminal;
use std::time::Duration;
use std::time::Instant;

use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::ChangeId;
use chicoryford_types::Position;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use serde::Serialize;

use crate::cli::ChangeArgs;
use crate::connect::Connection;
use crate::error::Behind;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::View;

const LOOK: Duration = Duration::from_millis(250);

/// What became of a change.
#[derive(Clone, Debug, Serialize)]
pub struct Done {
    /// What changed.
    pub what: String,
    /// The change's id.
    pub change: String,
    /// Where it was accepted.
    pub position: Option<Position>,
    /// The template's version, if it has one.
    pub version: u64,
    /// Whether it is in force everywhere; none if nobody waited for that.
    pub everywhere: Option<bool>,
}

/// Gives the id of the change: the one to send again, or a new one.
pub fn id(args: &ChangeArgs) -> ChangeId {
    let drawn = || format!("{}.{:016x}", chicoryford_kernel::unix().0, rand::random::<u64>());
    ChangeId(args.change.clone().unwrap_or_else(drawn))
}

/// Submits a change, and waits until it is in force everywhere if that is asked for.
///
/// # Errors
///
/// [`CmdError`] if it was refused, no answer came, or the wait was too short.
pub async fn submit(
    to: &Connection,
    what: String,
    id: &ChangeId,
    command: &Command,
    args: &ChangeArgs,
) -> Result<Done, CmdError> {
    let reply = to.command(command, Some(id.as_str())).await?;
    let mut done =
        Done { what, change: id.0.clone(), position: None, version: 0, everywhere: None };
    if let Reply::Accepted { at, version } = reply {
        done.position = Some(at);
        done.version = version;
        if args.wait {
            wait(to, at, args.wait_timeout).await?;
            done.everywhere = Some(true);
        }
    }
    Ok(done)
}

/// Submits one change and prints what became of it.
///
/// # Errors
///
/// As [`submit`].
pub async fn run(
    to: &Connection,
    what: String,
    args: &ChangeArgs,
    format: Format,
    command: impl FnOnce(ChangeId) -> Command,
) -> Result<(), CmdError> {
    let id = id(args);
    let done = submit(to, what, &id, &command(id.clone()), args).await?;
    print(&[done], format);
    Ok(())
}

/// Waits until every process that is present has `at` in force.
///
/// # Errors
///
/// [`CmdError::TimedOut`] if some process is behind after `seconds`.
pub async fn wait(to: &Connection, at: Position, seconds: u64) -> Result<(), CmdError> {
    let begun = Instant::now();
    let bar = bar(&format!("until {at} is in force everywhere"));
    loop {
        // The change is accepted already: a process that does not answer now must not end the
        // wait with an error that reads as if the change had not run.
        let told = to.in_force(at).await;
        if told.as_ref().is_ok_and(|told| told.everywhere) {
            bar.finish_and_clear();
            return Ok(());
        }
        if let Ok(told) = &told {
            bar.set_length(told.processes as u64);
            bar.set_position(told.processes.saturating_sub(told.behind) as u64);
        }
        if begun.elapsed() >= Duration::from_secs(seconds) {
            bar.finish_and_clear();
            let behind = told.map_or_else(Behind::Unknown, Behind::Known);
            return Err(CmdError::TimedOut { seconds, behind: Box::new(behind) });
        }
        actix_rt::time::sleep(LOOK).await;
    }
}

/// Makes a bar that shows only on a terminal, so that logs of scripts stay clean.
pub fn bar(message: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{spinner} {msg} {pos}/{len} {elapsed}");
    let bar = ProgressBar::new(0);
    bar.set_message(message.to_owned());
    bar.with_style(style.expect("the template is well formed"))
}

/// Prints changes.
pub fn print(done: &[Done], format: Format) {
    let row = |done: &Done| {
        let position = done.position.map_or("-".to_owned(), |at| at.to_string());
        let everywhere = done.everywhere.map_or("not waited for", |_| "yes").to_owned();
        let version = if done.version == 0 { "-".to_owned() } else { done.version.to_string() };
        vec![done.what.clone(), version, position, everywhere, done.change.clone()]
    };
    let head = ["what", "version", "position", "everywhere", "change"];
    View::new(&done, &head, done.iter().map(row).collect()).print(format);
}
