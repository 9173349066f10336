//! Measures real processes, as they are released, with small stand-ins for engines.

pub mod account;
mod caller;
mod changes;
mod cluster;
mod load;
mod operator;
mod size;
mod sockets;
mod window;

use std::path::Path;

use eyre::Result;
use eyre::eyre;

use crate::data::Data;

type Sweeps = fn(&mut Data, &Path) -> Result<()>;

/// What can be measured apart from the rest.
pub const PARTS: [(&str, Sweeps); 4] =
    [("agents", agents), ("entries", entries), ("changes", changes), ("load", load)];

/// Measures all parts, one after the other, or `together`, each on a thread with a deployment of
/// its own. At most some 250 processes run at once.
///
/// # Errors
///
/// Whatever kept a process from starting or answering.
pub fn measure(data: &mut Data, daemon: &Path, together: bool) -> Result<()> {
    if !together {
        return PARTS.iter().try_for_each(|(_, part)| part(data, daemon));
    }
    let threads = PARTS.map(|(_, part)| {
        let (mut own, daemon) = (Data { seed: data.seed, ..Data::default() }, daemon.to_owned());
        std::thread::spawn(move || part(&mut own, &daemon).map(|()| own))
    });
    for thread in threads {
        let measured = thread.join().map_err(|_| eyre!("a thread panicked"))??;
        data.sweeps.extend(measured.sweeps);
    }
    Ok(())
}

fn agents(data: &mut Data, daemon: &Path) -> Result<()> {
    actix_rt::System::new().block_on(size::agents(data, daemon))
}

fn entries(data: &mut Data, daemon: &Path) -> Result<()> {
    actix_rt::System::new().block_on(size::entries(data, daemon))
}

fn changes(data: &mut Data, daemon: &Path) -> Result<()> {
    actix_rt::System::new().block_on(changes::measure(data, daemon))
}

fn load(data: &mut Data, daemon: &Path) -> Result<()> {
    actix_rt::System::new().block_on(load::measure(data, daemon))
}
