//! Counts the bytes of TCP connections between the processes of a deployment, by `ss`, which
//! shows what the operating system counted for each socket.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::process::Command;

use eyre::Result;

/// Bytes of the headers of IP and TCP, with the timestamps that are usual.
const HEADER: u64 = 52;

/// One end of a connection as the system shows it.
#[derive(Clone, Debug)]
struct End {
    process: u32,
    local: String,
    peer: String,
    bytes: u64,
    segments: u64,
}

/// Follows connections from a first look on. One that closes between two looks loses what it
/// carried after the last of them.
#[derive(Default)]
pub struct Sockets {
    first: BTreeMap<(String, String), (u64, u64)>,
    last: BTreeMap<(String, String), End>,
    started: bool,
}

/// What a process's connections carried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    /// Bytes both ways, headers included.
    pub bytes: f64,
    /// Segments both ways.
    pub segments: f64,
}

impl Sockets {
    /// Looks at the connections between `processes`. Those with this one, which drives the
    /// deployment and holds its stand-in engine, are not control traffic.
    pub fn look(&mut self, processes: &BTreeSet<u32>) -> Result<()> {
        let output = Command::new("ss").args(["-tnpiHO", "state", "established"]).output()?;
        let text = String::from_utf8_lossy(&output.stdout);
        let ends: Vec<End> =
            text.lines().filter_map(read).filter(|end| processes.contains(&end.process)).collect();
        let locals: BTreeSet<String> = ends.iter().map(|end| end.local.clone()).collect();
        for end in ends.into_iter().filter(|end| locals.contains(&end.peer)) {
            let key = (end.local.clone(), end.peer.clone());
            if !self.started {
                self.first.insert(key.clone(), (end.bytes, end.segments));
            }
            self.last.insert(key, end);
        }
        self.started = true;
        Ok(())
    }

    /// Gives what each process's connections carried since the first look.
    pub fn carried(&self) -> BTreeMap<u32, Carried> {
        let mut carried: BTreeMap<u32, Carried> = BTreeMap::new();
        for (key, end) in &self.last {
            let (bytes, segments) = self.first.get(key).copied().unwrap_or_default();
            let segments = end.segments.saturating_sub(segments);
            let bytes = end.bytes.saturating_sub(bytes) + HEADER * segments;
            let sum = carried.entry(end.process).or_default();
            sum.bytes += bytes as f64;
            sum.segments += segments as f64;
        }
        carried
    }
}

fn read(line: &str) -> Option<End> {
    let mut words = line.split_whitespace().skip(2);
    let (local, peer) = (words.next()?.to_owned(), words.next()?.to_owned());
    let process = number(line, "pid=")? as u32;
    // A side that never sent has no count of bytes sent.
    let sent = number(line, " bytes_sent:").unwrap_or_default();
    let received = number(line, " bytes_received:").unwrap_or_default();
    let out = number(line, " segs_out:").unwrap_or_default();
    let into = number(line, " segs_in:").unwrap_or_default();
    Some(End { process, local, peer, bytes: sent + received, segments: out + into })
}

fn number(line: &str, before: &str) -> Option<u64> {
    let (_, rest) = line.split_once(before)?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}
