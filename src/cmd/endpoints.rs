//! `chicoryford endpoints`.

use chicoryford_types::EndpointInfo;
use chicoryford_types::Known;
use chicoryford_types::Member;

use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::View;

const HEADER: [&str; 8] =
    ["endpoint", "kind", "models", "slots", "state", "data centre", "agent", "standing"];

/// Prints the endpoints that announced themselves.
///
/// # Errors
///
/// Returns [`CmdError`] if no process answers.
pub async fn run(to: &Connection, format: Format) -> Result<(), CmdError> {
    let members = to.members().await?;
    let with_endpoint = members.known.values().filter(|k| k.member.endpoint.is_some());
    let known: Vec<&Known> = with_endpoint.collect();
    let rows = known.iter().filter_map(|k| row(k)).collect();
    View::new(&known, &HEADER, rows).print(format);
    Ok(())
}

fn row(known: &Known) -> Option<Vec<String>> {
    let Member { node, data_centre, endpoint, .. } = &known.member;
    let info = endpoint.as_ref()?;
    Some(vec![
        info.name.to_string(),
        format!("{:?}", info.kind).to_lowercase(),
        models(info),
        info.slots.to_string(),
        state(info).to_owned(),
        data_centre.to_string(),
        node.to_string(),
        format!("{:?}", known.standing).to_lowercase(),
    ])
}

fn models(info: &EndpointInfo) -> String {
    let models = info.models.iter().map(|(model, version)| format!("{model}@{version}"));
    models.collect::<Vec<_>>().join(" ")
}

fn state(info: &EndpointInfo) -> &'static str {
    match (info.healthy, info.draining) {
        (false, _) => "unhealthy",
        (true, true) => "draining",
        (true, false) => "serving",
    }
}
