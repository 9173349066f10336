//! Linearizable reads.
//!
//! A leader that was replaced without knowing would answer from the past. Before it answers, a
//! majority therefore confirms a round of heartbeats that was sent after the read came.

use crate::action::Action;
use crate::event::Token;
use crate::leader::Read;
use crate::replica::Replica;

impl Replica {
    pub(crate) fn read(&mut self, token: Token) {
        let index = self.is_ready().then_some(self.commit);
        match &mut self.lead {
            Some(lead) => lead.reads.push(Read { token, index, round: None }),
            None => self.refuse_not_leader(token),
        }
    }

    /// Starts a round for reads that have none, one round at a time, so that many reads share
    /// one, and answers those that are confirmed.
    pub(crate) fn advance_reads(&mut self) {
        let (ready, commit) = (self.is_ready(), self.commit);
        let Some(lead) = &mut self.lead else { return };
        if !ready || lead.reads.is_empty() {
            return;
        }
        let busy = lead.reads.iter().filter_map(|read| read.round).max() > Some(lead.confirmed);
        let waits = lead.reads.iter().any(|read| read.round.is_none());
        if waits && !busy {
            let round = lead.round + 1;
            for read in lead.reads.iter_mut().filter(|read| read.round.is_none()) {
                read.round = Some(round);
                read.index.get_or_insert(commit);
            }
            self.start_round();
        }
        self.answer_reads();
    }

    fn answer_reads(&mut self) {
        let confirm = self.settings.protections.read_confirm;
        let alone = self.members().quorum() == 1;
        let Some(lead) = &mut self.lead else { return };
        let confirmed = if alone || !confirm { lead.round } else { lead.confirmed };
        let (done, left) = std::mem::take(&mut lead.reads)
            .into_iter()
            .partition(|read| read.round.is_some_and(|round| round <= confirmed));
        lead.reads = left;
        let done: Vec<Read> = done;
        for read in done {
            let index = read.index.unwrap_or(self.commit);
            self.out.push(Action::ReadReady { token: read.token, index });
        }
    }
}
