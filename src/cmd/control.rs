//! `chicoryford control`.

use chicoryford_wire::paths;
use serde_json::Value;
use serde_json::json;

use crate::cli::ControlCommand;
use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::yaml;

/// Shows or changes the control processes.
///
/// # Errors
///
/// [`CmdError`] if the change was refused or no process answers.
pub async fn run(
    to: &Connection,
    command: &ControlCommand,
    format: Format,
) -> Result<(), CmdError> {
    let question = match command {
        ControlCommand::Status => {
            show(&to.get(paths::CONTROL_STATUS).await?, format);
            return Ok(());
        }
        ControlCommand::Add { node, replica } => json!({"add": {"node": node, "address": replica}}),
        ControlCommand::Promote { node } => json!({"promote": node}),
        ControlCommand::Remove { node } => json!({"remove": node}),
        ControlCommand::HandOver { node } => json!({"hand_over": node}),
    };
    show(&to.post(paths::CONTROL_STATUS, &question).await?, format);
    Ok(())
}

fn show(status: &Value, format: Format) {
    match format {
        Format::Json => println!("{status:#}"),
        Format::Table | Format::Yaml => print!("{}", yaml(status)),
    }
}
