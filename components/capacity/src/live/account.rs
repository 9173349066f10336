//! Reads what the operating system counts of a process.

use eyre::Result;
use eyre::eyre;

/// Clock ticks a second in which the system counts processor time.
const TICKS: f64 = 100.0;

/// Gives the seconds of processor time that a process has used.
pub fn cpu(process: u32) -> Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name, in parentheses, may hold spaces.
    let (_, rest) = text.rsplit_once(')').ok_or_else(|| eyre!("malformed stat"))?;
    let mut words = rest.split_whitespace().skip(11);
    let mut next = || words.next().and_then(|word| word.parse::<f64>().ok());
    let (user, system) = (next(), next());
    Ok((user.unwrap_or_default() + system.unwrap_or_default()) / TICKS)
}

/// Gives the mebibytes of memory that a process has resident.
pub fn memory(process: u32) -> Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let word = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = word.ok_or_else(|| eyre!("no VmRSS"))?.parse()?;
    Ok(kib / 1_024.0)
}

/// Gives the machine's load average over the last minute.
pub fn load() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let word = text.split_whitespace().next().ok_or_else(|| eyre!("no load average"))?;
    Ok(word.parse()?)
}

/// Gives the machine's memory in mebibytes.
pub fn installed() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let word = line.and_then(|line| line.split_whitespace().next());
    Ok(word.ok_or_else(|| eyre!("no MemTotal"))?.parse::<u64>()? / 1_024)
}
