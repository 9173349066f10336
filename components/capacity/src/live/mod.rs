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
use std::thread::JoinHandle;

use eyre::Result;

use crate::data::Data;

type Sweeps = fn(&mut Data, &Path) -> Result<()>;

/// What can be measured apart from the rest.
pub const PARTS: [(&str, Sweeps); 4] =
    [("agents", agents), ("entries", entries), ("changes", changes), ("load", load)];

/// Measures all parts, one after the other, or `together`, each on a thread with a deployment of
/// its own. At most some 250 processes run at once. What a part gave before it failed is kept,
/// and the part is named in the data, so that the page can say so.
pub fn measure(data: &mut Data, daemon: &Path, together: bool) {
    if !together {
        for part in PARTS {
            finish(data, part.0, begin(part, data.seed, daemon));
        }
        return;
    }
    let threads = PARTS.map(|part| begin(part, data.seed, daemon));
    for ((name, _), thread) in PARTS.iter().zip(threads) {
        finish(data, name, thread);
    }
}

type Part = JoinHandle<(Data, Result<()>)>;

fn begin((_, part): (&'static str, Sweeps), seed: u64, daemon: &Path) -> Part {
    let (mut own, daemon) = (Data { seed, ..Data::default() }, daemon.to_owned());
    std::thread::spawn(move || {
        let result = part(&mut own, &daemon);
        (own, result)
    })
}

fn finish(data: &mut Data, name: &str, thread: Part) {
    match thread.join() {
        Ok((own, result)) => {
            data.sweeps.extend(own.sweeps);
            if let Err(error) = result {
                eprintln!("{name} failed: {error}");
                data.failed.push(format!("{name}: {error}"));
            }
        }
        Err(_) => data.failed.push(format!("{name}: the thread panicked")),
    }
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
