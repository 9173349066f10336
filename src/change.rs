//! Changes: their ids, and the wait until they are in force everywhere.

use std::collections::BTreeSet;
use std::io::IsTerminal;
use std::time::Duration;
use std::time::Instant;

use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::ChangeId;
use chicoryford_types::Node;
use chicoryford_types::Position;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use serde::Serialize;

use crate::cli::ChangeArgs;
use crate::connect::Connection;
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
        let (behind, known) = behind(to, at).await.unwrap_or_else(|error| {
            let nobody = format!("nobody could be asked: {error}");
            (vec![nobody], 0)
        });
        if behind.is_empty() {
            bar.finish_and_clear();
            return Ok(());
        }
        bar.set_length(known as u64);
        bar.set_position(known.saturating_sub(behind.len()) as u64);
        if begun.elapsed() >= Duration::from_secs(seconds) {
            bar.finish_and_clear();
            return Err(CmdError::TimedOut { seconds, behind });
        }
        actix_rt::time::sleep(LOOK).await;
    }
}

/// Names the processes that are not known to have `at` in force, and counts all processes.
///
/// Each control process knows of itself and of those that follow it, directly or through an
/// entry. A process is behind if no control process knows that it has reached `at`.
async fn behind(to: &Connection, at: Position) -> Result<(Vec<String>, usize), CmdError> {
    let members = to.members().await?;
    let present: BTreeSet<Node> = members.present().map(|member| member.node.clone()).collect();
    let mut behind = present.clone();
    for control in members.present().filter(|member| member.roles.control) {
        let Ok(told) = to.in_force(&control.address).await else { continue };
        let named_all = told.behind == told.lagging.len();
        if told.at >= at && named_all {
            let lagging: BTreeSet<Node> = told.lagging.into_iter().collect();
            behind.retain(|node| lagging.contains(node));
        }
    }
    Ok((behind.iter().map(|node| node.0.clone()).collect(), present.len()))
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
