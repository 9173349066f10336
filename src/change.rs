//! Submission of changes: change ids, and the wait until a change is in force everywhere.

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

const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The result of a change.
#[derive(Clone, Debug, Serialize)]
pub struct Done {
    /// What changed.
    pub what: String,
    /// The change's id.
    pub change: String,
    /// The position at which it was accepted.
    pub position: Option<Position>,
    /// The new version of the template; zero if the change is not one of a template.
    pub version: u64,
    /// Whether it is in force everywhere; `None` if the command did not wait for that.
    pub everywhere: Option<bool>,
}

/// Returns the id of the change: the one given for a resend, or a new random one.
pub fn id(args: &ChangeArgs) -> ChangeId {
    let generate = || format!("{}.{:016x}", chicoryford_kernel::unix().0, rand::random::<u64>());
    ChangeId(args.change.clone().unwrap_or_else(generate))
}

/// Submits a change and, if requested, waits until it is in force everywhere.
///
/// # Errors
///
/// Returns [`CmdError`] if the change was refused, no answer was received, or the wait timed out.
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

/// Submits a change and prints its result.
///
/// # Errors
///
/// Returns the errors of [`submit`].
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

/// Waits until all processes that are present have `at` in force.
///
/// # Errors
///
/// Returns [`CmdError::TimedOut`] if a process is still behind after `seconds`.
pub async fn wait(to: &Connection, at: Position, seconds: u64) -> Result<(), CmdError> {
    let started = Instant::now();
    let bar = progress_bar(&format!("until {at} is in force everywhere"));
    loop {
        // The change is already accepted. If a process does not answer now, the wait must not end
        // with an error that suggests that the change did not run.
        let status = to.in_force(at).await;
        if status.as_ref().is_ok_and(|status| status.everywhere) {
            bar.finish_and_clear();
            return Ok(());
        }
        if let Ok(status) = &status {
            bar.set_length(status.processes as u64);
            bar.set_position(status.processes.saturating_sub(status.behind) as u64);
        }
        if started.elapsed() >= Duration::from_secs(seconds) {
            bar.finish_and_clear();
            let behind = status.map_or_else(Behind::Unknown, Behind::Known);
            return Err(CmdError::TimedOut { seconds, behind: Box::new(behind) });
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Creates a progress bar. It is hidden unless stderr is a terminal, to keep the logs of scripts
/// clean.
pub fn progress_bar(message: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{spinner} {msg} {pos}/{len} {elapsed}");
    let bar = ProgressBar::new(0);
    bar.set_message(message.to_owned());
    bar.with_style(style.expect("the template is valid"))
}

/// Prints the results of changes.
pub fn print(done: &[Done], format: Format) {
    let row = |done: &Done| {
        let position = done.position.map_or("-".to_owned(), |at| at.to_string());
        let everywhere = done.everywhere.map_or("not waited for", |_| "yes").to_owned();
        let version = if done.version == 0 { "-".to_owned() } else { done.version.to_string() };
        vec![done.what.clone(), version, position, everywhere, done.change.clone()]
    };
    let header = ["what", "version", "position", "everywhere", "change"];
    View::new(&done, &header, done.iter().map(row).collect()).print(format);
}
