//! Snapshots: recording, sending in chunks, installing.

use bytes::Bytes;

use crate::action::Action;
use crate::entry::EntryId;
use crate::identity::ReplicaId;
use crate::invariant::Invariant;
use crate::message::Body;
use crate::progress::SnapshotTransfer;
use crate::replica::Replica;
use crate::saved::Snapshot;
use crate::saved::SnapshotMeta;

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Replica {
    /// Records a snapshot taken by the state machine and compacts the log, except for the most
    /// recent entries that it covers.
    pub(crate) fn snapshot_taken(&mut self, snapshot: Snapshot) {
        let last = snapshot.meta.last;
        if last.index <= self.snapshot.meta.last.index {
            return;
        }
        let valid = last.index <= self.commit && self.log.contains(last);
        self.check(valid, Invariant::LogMatching);
        if !valid {
            return;
        }
        self.snapshot = snapshot;
        self.compact(last.index.saturating_sub(self.settings.retained_entries));
    }

    fn compact(&mut self, to: u64) {
        self.log.compact(to);
        let keep = self.memberships.iter().rposition(|(index, _)| *index <= to).unwrap_or(0);
        self.memberships.drain(..keep);
    }

    /// Sends the next chunks of a snapshot, as far as the window allows. A heartbeat sends at least
    /// an empty chunk, and resumes from the acknowledged offset when the transfer has stalled.
    pub(crate) fn send_snapshot_chunks(&mut self, id: &ReplicaId, heartbeat: bool) {
        let stall_timeout = 2 * self.settings.heartbeat_ms;
        let (chunk, max_in_flight) =
            (self.settings.chunk_bytes.max(1), self.settings.max_in_flight);
        let newest = self.snapshot.clone();
        let now = self.now;
        let Some(lead) = &mut self.leader_state else { return };
        let round = lead.round;
        let Some(peer) = lead.peers.get_mut(id) else { return };
        let mut starts = peer.snapshot.is_none();
        let transfer = peer.snapshot.get_or_insert(SnapshotTransfer {
            snapshot: newest,
            acked: 0,
            sent: 0,
            round,
        });
        if heartbeat && now.since(peer.last_progress) >= stall_timeout {
            transfer.sent = transfer.acked;
            transfer.round = round;
            peer.last_progress = now;
            starts = true;
        }
        let total = transfer.snapshot.data.len() as u64;
        let limit = (transfer.acked + (chunk * max_in_flight) as u64).min(total);
        let mut bodies = Vec::new();
        let mut send_empty = heartbeat || starts;
        while transfer.sent < limit || send_empty {
            send_empty = false;
            let end = (transfer.sent + chunk as u64).min(limit);
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
        if last.index <= self.commit || self.log.contains(last) {
            // The log already contains everything that the snapshot covers. Later entries must
            // stay, because they may have been acknowledged to the leader; replacing the log by the
            // snapshot would lose them.
            self.verified = self.verified.max(last.index);
            self.commit_to(last.index);
            self.send(from, Body::SnapshotChunkReply { last, received: total, round });
            self.reply_append_to_leader();
            return;
        }
        let received = self.append_chunk(&meta, offset, data);
        if received >= total {
            self.install_snapshot();
        }
        self.send_synced(from, Body::SnapshotChunkReply { last, received, round });
    }

    /// Appends a chunk if it is the next one and returns the number of bytes received. Duplicate
    /// and early chunks change nothing; the reply tells the leader where to continue.
    fn append_chunk(&mut self, meta: &SnapshotMeta, offset: u64, data: &Bytes) -> u64 {
        let known = self.incoming_snapshot.as_ref().is_some_and(|incoming| incoming.meta == *meta);
        if !known {
            self.incoming_snapshot =
                Some(IncomingSnapshot { meta: meta.clone(), data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return 0 };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install_snapshot(&mut self) {
        let Some(IncomingSnapshot { meta, data }) = self.incoming_snapshot.take() else { return };
        let last = meta.last;
        self.check(last.index > self.commit, Invariant::CommitGrows);
        let snapshot = Snapshot { meta, data: Bytes::from(data) };
        self.log.reset(last);
        self.durable.truncate(0);
        self.memberships = vec![(last.index, snapshot.meta.members.clone())];
        self.commit = last.index;
        self.verified = self.verified.max(last.index);
        self.pending_write.truncate = None;
        self.pending_write.entries.clear();
        self.pending_write.snapshot = Some(snapshot.clone());
        self.snapshot = snapshot.clone();
        tracing::info!(event = "snapshot_installed", index = last.index);
        self.actions.push(Action::ApplySnapshot(snapshot));
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
        peer.last_contact = now;
        peer.round = peer.round.max(round);
        let Some(transfer) = &mut peer.snapshot else { return };
        if transfer.snapshot.meta.last != last {
            return;
        }
        if received > transfer.acked {
            transfer.acked = received;
            transfer.sent = transfer.sent.max(received);
            peer.last_progress = now;
        } else if received < transfer.acked && round >= transfer.round {
            // A receiver that restarted has lost the chunks that it had received.
            transfer.acked = received;
            transfer.sent = received;
        }
    }
}
