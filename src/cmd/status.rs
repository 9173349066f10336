//! `chicoryford status`.

use chicoryford_types::Known;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Position;
use chicoryford_wire::paths;
use serde::Serialize;
use serde_json::Value;

use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::View;

const HEADER: [&str; 5] = ["process", "roles", "data centre", "address", "standing"];

/// The output of `status`.
#[derive(Debug, Serialize)]
struct Status {
    position: Position,
    control: Value,
    members: Members,
}

/// Prints the processes, the leader and the position of the configuration in force.
///
/// # Errors
///
/// Returns [`CmdError`] if no process answers.
pub async fn run(to: &Connection, format: Format) -> Result<(), CmdError> {
    let position = to.config().await?.at;
    let members = to.members().await?;
    // The rest of the status is still printed when the control processes are unavailable.
    let control = to.get(paths::CONTROL_STATUS).await.unwrap_or(Value::Null);
    let status = Status { position, control, members };
    let rows = status.members.known.values().map(row).collect();
    View::new(&status, &HEADER, rows).print(format);
    if format == Format::Table {
        let leader = status.control["leader"].as_str().unwrap_or("none known");
        println!("\nposition {position}, leader {leader}");
    }
    Ok(())
}

fn row(known: &Known) -> Vec<String> {
    let member = &known.member;
    vec![
        member.node.to_string(),
        roles(member),
        member.data_centre.to_string(),
        member.address.clone(),
        format!("{:?}", known.standing).to_lowercase(),
    ]
}

fn roles(member: &Member) -> String {
    let roles = member.roles;
    let named = [("entry", roles.entry), ("control", roles.control), ("agent", roles.agent)];
    let held = named.iter().filter(|(_, held)| *held).map(|(name, _)| *name);
    held.collect::<Vec<_>>().join(" ")
}
