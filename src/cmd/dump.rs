//! `chicoryford dump`.

use std::net::SocketAddr;

use chicoryford_types::Node;

use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::yaml;

/// Prints the state dump of the process with this name or address.
///
/// # Errors
///
/// Returns [`CmdError`] if no process has this name, or if it does not answer.
pub async fn run(to: &Connection, process: &str, format: Format) -> Result<(), CmdError> {
    let address = match process.parse::<SocketAddr>() {
        Ok(_) => process.to_owned(),
        Err(_) => find_address(to, process).await?,
    };
    let dump = to.dump(&address).await?;
    match format {
        Format::Table | Format::Json => println!("{dump:#}"),
        Format::Yaml => print!("{}", yaml(&dump)),
    }
    Ok(())
}

async fn find_address(to: &Connection, process: &str) -> Result<String, CmdError> {
    let members = to.members().await?;
    let known = members.known.get(&Node::from(process));
    let missing = || CmdError::Missing { kind: "process", name: process.to_owned() };
    known.map(|known| known.member.address.clone()).ok_or_else(missing)
}
