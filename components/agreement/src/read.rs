//! Linearizable reads.
//!
//! A leader that was replaced without noticing would answer with stale state. Before it answers, a
//! majority must therefore confirm a heartbeat round that was started after the read was received.

use crate::action::Action;
use crate::event::Token;
use crate::leader::PendingRead;
use crate::replica::Replica;

impl Replica {
    pub(crate) fn read(&mut self, token: Token) {
        let index = self.is_ready().then_some(self.commit);
        match &mut self.leader_state {
            Some(lead) => lead.pending_reads.push(PendingRead { token, index, round: None }),
            None => self.refuse_not_leader(token),
        }
    }

    /// Starts a heartbeat round for reads that have none, and answers those that are confirmed.
    /// Only one round for reads is in flight at a time, so that many reads share it.
    pub(crate) fn advance_reads(&mut self) {
        let (ready, commit) = (self.is_ready(), self.commit);
        let Some(lead) = &mut self.leader_state else { return };
        if !ready || lead.pending_reads.is_empty() {
            return;
        }
        let in_flight = lead.pending_reads.iter().filter_map(|read| read.round).max()
            > Some(lead.confirmed_round);
        let unassigned = lead.pending_reads.iter().any(|read| read.round.is_none());
        if unassigned && !in_flight {
            let round = lead.round + 1;
            for read in lead.pending_reads.iter_mut().filter(|read| read.round.is_none()) {
                read.round = Some(round);
                read.index.get_or_insert(commit);
            }
            self.start_round();
        }
        self.answer_reads();
    }

    fn answer_reads(&mut self) {
        let confirm = self.settings.protections.read_confirm;
        let single = self.members().quorum() == 1;
        let Some(lead) = &mut self.leader_state else { return };
        let confirmed = if single || !confirm { lead.round } else { lead.confirmed_round };
        let (done, left) = std::mem::take(&mut lead.pending_reads)
            .into_iter()
            .partition(|read| read.round.is_some_and(|round| round <= confirmed));
        lead.pending_reads = left;
        let done: Vec<PendingRead> = done;
        for read in done {
            let index = read.index.unwrap_or(self.commit);
            self.actions.push(Action::ReadReady { token: read.token, index });
        }
    }
}
