//! Snapshots: taking, sending in pieces, installing.

use bytes::Bytes;

use crate::action::Action;
use crate::entry::EntryId;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::message::Body;
use crate::progress::Transfer;
use crate::replica::Replica;
use crate::saved::Snapshot;
use crate::saved::SnapshotMeta;

/// A snapshot that is coming in.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Replica {
    /// Takes note of a snapshot and forgets entries that it covers, but for a tail.
    pub(crate) fn snapshot_taken(&mut self, snapshot: Snapshot) {
        let last = snapshot.meta.last;
        if last.index <= self.snapshot.meta.last.index {
            return;
        }
        let right = last.index <= self.commit && self.log.has(last);
        self.check(right, Invariant::LogMatching);
        if !right {
            return;
        }
        self.snapshot = snapshot;
        self.compact(last.index.saturating_sub(self.settings.retained_entries));
    }

    fn compact(&mut self, to: u64) {
        self.log.compact(to);
        let keep = self.changes.iter().rposition(|(index, _)| *index <= to).unwrap_or(0);
        self.changes.drain(..keep);
    }

    /// Sends the next pieces of a snapshot, as far as the window allows. A heartbeat sends at
    /// least an empty one, and starts again from what was acknowledged when nothing moves.
    pub(crate) fn send_snapshot_chunks(&mut self, id: &ReplicaId, heartbeat: bool) {
        let patience = 2 * self.settings.heartbeat_ms;
        let (piece, window) = (self.settings.chunk_bytes.max(1), self.settings.max_in_flight);
        let newest = self.snapshot.clone();
        let now = self.now;
        let Some(lead) = &mut self.lead else { return };
        let round = lead.round;
        let Some(peer) = lead.peers.get_mut(id) else { return };
        let mut begins = peer.transfer.is_none();
        let transfer =
            peer.transfer.get_or_insert(Transfer { snapshot: newest, acked: 0, sent: 0, round });
        if heartbeat && now.since(peer.moved) >= patience {
            transfer.sent = transfer.acked;
            transfer.round = round;
            peer.moved = now;
            begins = true;
        }
        let total = transfer.snapshot.data.len() as u64;
        let limit = (transfer.acked + (piece * window) as u64).min(total);
        let mut bodies = Vec::new();
        let mut empty = heartbeat || begins;
        while transfer.sent < limit || empty {
            empty = false;
            let end = (transfer.sent + piece as u64).min(limit);
            let data = transfer.snapshot.data.slice(transfer.sent as usize..end as usize);
            let meta = transfer.snapshot.meta.clone();
            bodies.push(Body::SnapshotChunk { meta, total, offset: transfer.sent, data, round });
            transfer.sent = end;
        }
        for body in bodies {
            self.send(id.clone(), body);
        }
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        total: u64,
        offset: u64,
        data: &Bytes,
        round: u64,
    ) {
        self.round = self.round.max(round);
        let last = meta.last;
        if last.index <= self.commit || self.log.has(last) {
            // What it would bring is here already. Entries beyond it must stay, because the leader
            // may have been told of them; to start anew after the snapshot would lose them.
            self.verified = self.verified.max(last.index);
            self.commit_to(last.index);
            self.send(from, Body::SnapshotChunkReply { last, received: total, round });
            self.reply_append_to_leader();
            return;
        }
        let received = self.gather(&meta, offset, data);
        if received >= total {
            self.install();
        }
        self.send_synced(from, Body::SnapshotChunkReply { last, received, round });
    }

    /// Adds a piece if it is the next; gives the bytes that are here. Doubled and early pieces
    /// change nothing, and the answer tells the leader where to go on.
    fn gather(&mut self, meta: &SnapshotMeta, offset: u64, data: &Bytes) -> u64 {
        let known = self.incoming.as_ref().is_some_and(|incoming| incoming.meta == *meta);
        if !known {
            self.incoming = Some(Incoming { meta: meta.clone(), data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install(&mut self) {
        let Some(Incoming { meta, data }) = self.incoming.take() else { return };
        let last = meta.last;
        self.check(last.index > self.commit, Invariant::CommitGrows);
        let snapshot = Snapshot { meta, data: Bytes::from(data) };
        self.log.reset(last);
        self.durable.cut(0);
        self.changes = vec![(last.index, snapshot.meta.members.clone())];
        self.commit = last.index;
        self.verified = self.verified.max(last.index);
        self.write.truncate = None;
        self.write.entries.clear();
        self.write.snapshot = Some(snapshot.clone());
        self.snapshot = snapshot.clone();
        tracing::info!(event = "snapshot_installed", index = last.index);
        self.out.push(Action::ApplySnapshot(snapshot));
    }

    pub(crate) fn on_snapshot_chunk_reply(
        &mut self,
        from: &ReplicaId,
        last: EntryId,
        received: u64,
        round: u64,
    ) {
        let now = self.now;
        let Some(peer) = self.peer(from) else { return };
        peer.heard = now;
        peer.round = peer.round.max(round);
        let Some(transfer) = &mut peer.transfer else { return };
        if transfer.snapshot.meta.last != last {
            return;
        }
        if received > transfer.acked {
            transfer.acked = received;
            transfer.sent = transfer.sent.max(received);
            peer.moved = now;
        } else if received < transfer.acked && round >= transfer.round {
            // A receiver that restarted has lost the pieces that it held.
            transfer.acked = received;
            transfer.sent = received;
        }
    }
}
