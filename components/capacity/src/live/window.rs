//! What each process of a deployment spends in a stretch of time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use serde::Deserialize;

use super::account;
use super::cluster::Cluster;
use super::cluster::Role;
use super::sockets::Sockets;

const LOOK: Duration = Duration::from_secs(1);
/// Bytes of the headers of IP and UDP.
const HEADER: f64 = 28.0;

/// What one process spent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Percent of a core.
    pub cpu: f64,
    /// Mebibytes resident at the end.
    pub memory: f64,
    /// Bytes a second between the system's processes, both ways, headers included.
    pub bytes: f64,
    /// Datagrams and segments a second, both ways.
    pub messages: f64,
}

#[derive(Clone, Copy, Default, Deserialize)]
struct Gossip {
    sent: f64,
    sent_bytes: f64,
    received: f64,
    received_bytes: f64,
}

#[derive(Deserialize)]
struct Dump {
    gossip: Gossip,
}

/// A stretch of time that has begun.
pub struct Window {
    began: Instant,
    cpu: BTreeMap<u32, f64>,
    gossip: BTreeMap<u32, Gossip>,
    sockets: Sockets,
    ids: BTreeSet<u32>,
}

impl Window {
    /// Begins one. The dumps are taken first, so that what they cost is outside.
    pub async fn open(cluster: &Cluster) -> Result<Self> {
        let ids: BTreeSet<u32> = cluster.processes.iter().map(|process| process.id()).collect();
        let gossip = gossip(cluster).await?;
        let mut sockets = Sockets::default();
        sockets.look(&ids)?;
        let mut cpu = BTreeMap::new();
        for id in &ids {
            cpu.insert(*id, account::cpu(*id)?);
        }
        Ok(Self { began: Instant::now(), cpu, gossip, sockets, ids })
    }

    /// Lets time pass and looks at the connections every second.
    pub async fn pass(&mut self, time: Duration) -> Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let rest = until.saturating_duration_since(Instant::now());
            actix_rt::time::sleep(rest.min(LOOK)).await;
            self.sockets.look(&self.ids)?;
        }
        Ok(())
    }

    /// Ends it and gives what each process spent.
    pub async fn close(mut self, cluster: &Cluster) -> Result<Vec<(Role, Spent)>> {
        self.sockets.look(&self.ids)?;
        let seconds = self.began.elapsed().as_secs_f64();
        let mut cpu = BTreeMap::new();
        for id in &self.ids {
            cpu.insert(*id, account::cpu(*id)?);
        }
        let carried = self.sockets.carried();
        let gossip = gossip(cluster).await?;
        let since = self.began.elapsed().as_secs_f64();
        let mut spent = Vec::new();
        for process in &cluster.processes {
            let id = process.id();
            let tcp = carried.get(&id).copied().unwrap_or_default();
            let (before, after) = (self.gossip[&id], gossip[&id]);
            let datagrams = after.sent + after.received - before.sent - before.received;
            let content =
                after.sent_bytes + after.received_bytes - before.sent_bytes - before.received_bytes;
            spent.push((
                process.role,
                Spent {
                    cpu: (cpu[&id] - self.cpu[&id]) / seconds * 100.0,
                    memory: account::memory(id)?,
                    bytes: tcp.bytes / seconds + (content + HEADER * datagrams) / since,
                    messages: tcp.segments / seconds + datagrams / since,
                },
            ));
        }
        Ok(spent)
    }
}

async fn gossip(cluster: &Cluster) -> Result<BTreeMap<u32, Gossip>> {
    let mut all = BTreeMap::new();
    for process in &cluster.processes {
        let address: SocketAddr = process.address;
        let dump: Dump = cluster.operator.get(address, "/dump").await?;
        all.insert(process.id(), dump.gossip);
    }
    Ok(all)
}

/// Gives the mean over a role's processes; for the control role the most, which is the leader's.
pub fn of(spent: &[(Role, Spent)], role: Role) -> Spent {
    let own: Vec<Spent> = spent.iter().filter(|(r, _)| *r == role).map(|(_, s)| *s).collect();
    let pick = |take: fn(&Spent) -> f64| {
        let values = own.iter().map(take);
        match role {
            Role::Control => values.fold(0.0, f64::max),
            _ => values.sum::<f64>() / own.len().max(1) as f64,
        }
    };
    Spent {
        cpu: pick(|s| s.cpu),
        memory: pick(|s| s.memory),
        bytes: pick(|s| s.bytes),
        messages: pick(|s| s.messages),
    }
}
