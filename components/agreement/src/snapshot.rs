//! Snapshots: taking, sending in pieces, installing.

use bytes::Bytes;

use crate::action::Action;
use crate::entry::Mark;
use crate::identity::ReplicaId;
use crate::message::Body;
use crate::progress::Transfer;
use crate::promise::Promise;
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
        let mark = snapshot.meta.mark;
        if mark.index <= self.snapshot.meta.mark.index {
            return;
        }
        let right = mark.index <= self.commit && self.log.has(mark);
        self.check(right, Promise::LogMatching);
        if !right {
            return;
        }
        self.snapshot = snapshot;
        self.compact(mark.index.saturating_sub(self.settings.tail));
    }

    fn compact(&mut self, to: u64) {
        self.log.compact(to);
        let keep = self.changes.iter().rposition(|(index, _)| *index <= to).unwrap_or(0);
        self.changes.drain(..keep);
    }

    /// Sends the next pieces of a snapshot, as far as the window allows. A heartbeat sends at
    /// least an empty one, and starts again from what was acknowledged when nothing moves.
    pub(crate) fn send_pieces(&mut self, id: &ReplicaId, heartbeat: bool) {
        let patience = 2 * self.settings.heartbeat_ms;
        let (piece, window) = (self.settings.piece_bytes.max(1), self.settings.window);
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
            bodies.push(Body::Piece { meta, total, offset: transfer.sent, data, round });
            transfer.sent = end;
        }
        for body in bodies {
            self.send(id.clone(), body);
        }
    }

    pub(crate) fn on_piece(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        total: u64,
        offset: u64,
        data: &Bytes,
        round: u64,
    ) {
        self.round = self.round.max(round);
        let mark = meta.mark;
        if mark.index <= self.commit || self.log.has(mark) {
            // What it would bring is here already. Entries beyond it must stay, because the leader
            // may have been told of them; to start anew after the snapshot would lose them.
            self.verified = self.verified.max(mark.index);
            self.commit_to(mark.index);
            self.send(from, Body::PieceReply { mark, received: total, round });
            self.reply_append_to_leader();
            return;
        }
        let received = self.gather(&meta, offset, data);
        if received >= total {
            self.install();
        }
        self.send_synced(from, Body::PieceReply { mark, received, round });
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
        let mark = meta.mark;
        self.check(mark.index > self.commit, Promise::CommitGrows);
        let snapshot = Snapshot { meta, data: Bytes::from(data) };
        self.log.reset(mark);
        self.durable.cut(0);
        self.changes = vec![(mark.index, snapshot.meta.members.clone())];
        self.commit = mark.index;
        self.verified = self.verified.max(mark.index);
        self.write.truncate = None;
        self.write.entries.clear();
        self.write.snapshot = Some(snapshot.clone());
        self.snapshot = snapshot.clone();
        tracing::info!(event = "snapshot_installed", index = mark.index);
        self.out.push(Action::ApplySnapshot(snapshot));
    }

    pub(crate) fn on_piece_reply(
        &mut self,
        from: &ReplicaId,
        mark: Mark,
        received: u64,
        round: u64,
    ) {
        let now = self.now;
        let Some(peer) = self.peer(from) else { return };
        peer.heard = now;
        peer.round = peer.round.max(round);
        let Some(transfer) = &mut peer.transfer else { return };
        if transfer.snapshot.meta.mark != mark {
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
