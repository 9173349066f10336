//! `chicoryford pardon`.

use chicoryford_state::Command;
use chicoryford_types::Fingerprint;

use crate::change;
use crate::cli::ChangeArgs;
use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;

/// Removes the conviction of a content, so that it may run again.
///
/// # Errors
///
/// Returns [`CmdError`] if the fingerprint is not a number or the change was not accepted.
pub async fn run(
    to: &Connection,
    text: &str,
    args: &ChangeArgs,
    format: Format,
) -> Result<(), CmdError> {
    let fingerprint = parse(text)?;
    let what = format!("pardon {text}");
    change::run(to, what, args, format, |change| Command::Pardon { change, fingerprint }).await
}

fn parse(text: &str) -> Result<Fingerprint, CmdError> {
    let number = match text.strip_prefix("0x") {
        Some(digits) => u64::from_str_radix(digits, 16),
        None => text.parse(),
    };
    number.map(Fingerprint).map_err(|_| CmdError::Fingerprint(text.to_owned()))
}
