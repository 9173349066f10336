//! `chicoryford control`.

use chicoryford_control::Action;
use chicoryford_types::Node;
use chicoryford_wire::paths;
use serde_json::Value;

use crate::cli::ControlCommand;
use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::yaml;

/// Prints or changes the state of the control processes.
///
/// # Errors
///
/// Returns [`CmdError`] if the change was refused or no process answers.
pub async fn run(
    to: &Connection,
    command: &ControlCommand,
    format: Format,
) -> Result<(), CmdError> {
    let name = |text: &String| Node::from(text.as_str());
    let action = match command {
        ControlCommand::Status => {
            print(&to.get(paths::CONTROL_STATUS).await?, format);
            return Ok(());
        }
        ControlCommand::Add { node, replica } => {
            Action::Add { node: name(node), address: replica.clone() }
        }
        ControlCommand::Promote { node } => Action::Promote(name(node)),
        ControlCommand::Remove { node } => Action::Remove(name(node)),
        ControlCommand::Replace { lost, node, replica } => {
            Action::Replace { node: name(lost), by: name(node), address: replica.clone() }
        }
        ControlCommand::HandOver { node } => Action::HandOver(node.as_ref().map(name)),
    };
    print(&to.post(paths::CONTROL_STATUS, &action).await?, format);
    Ok(())
}

fn print(status: &Value, format: Format) {
    match format {
        Format::Json => println!("{status:#}"),
        Format::Table | Format::Yaml => print!("{}", yaml(status)),
    }
}
