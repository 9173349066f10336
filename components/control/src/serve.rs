//! Handles the requests of the HTTP threads in the replica's task.

use chicoryford_agreement::Event;
use chicoryford_agreement::MembershipChange;
use chicoryford_agreement::Message;
use chicoryford_agreement::Proposal;
use chicoryford_agreement::Refusal;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Role;
use chicoryford_kernel::unix;
use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_state::Command;
use chicoryford_state::SessionRenewal;
use chicoryford_state::SessionRenewalReply;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Node;

use crate::body::Body;
use crate::handle::Answer;
use crate::handle::MembershipRequest;
use crate::handle::RETRY_AFTER_MS;
use crate::handle::Request;
use crate::handle::RequestError;
use crate::pending::Waiter;
use crate::replica::Driver;

/// Maximum size of one command in bytes. With its framing it must fit into one call between
/// replicas.
const MAX_COMMAND_BYTES: usize = 4 << 20;

impl Driver {
    pub(crate) fn handle_requests(&mut self, first: Request) {
        let mut proposals = Vec::new();
        let mut next = Some(first);
        let mut count = 0;
        while let Some(request) = next {
            match request {
                Request::Propose(command, answer) => {
                    proposals.push((*command, Waiter::Reply(answer)));
                }
                Request::Deliver(envelope) => {
                    for message in envelope.messages {
                        self.receive(&envelope.address, message);
                    }
                }
                Request::Renew(renew, answer) => {
                    let _ = answer.send(self.renew(&renew));
                }
                Request::Read(answer) => {
                    let token = self.pending.add(Waiter::Read(answer));
                    self.handle_event(Event::Read { token });
                }
                Request::ChangeMembers(request, answer) => self.change_members(request, answer),
                Request::Status(answer) => {
                    let _ = answer.send(self.status());
                }
            }
            count += 1;
            next = if count < self.max_batch { self.rings.requests.take() } else { None };
        }
        self.propose(proposals);
    }

    /// Records the sender's address and passes the message to the replica.
    fn receive(&mut self, address: &str, message: Message) {
        let node = &message.from.node;
        if self.extra_addresses.get(node).is_none_or(|known| known != address) {
            self.extra_addresses.insert(node.clone(), address.to_owned());
        }
        self.handle_event(Event::Message(message));
    }

    pub(crate) fn propose(&mut self, commands: Vec<(Command, Waiter)>) {
        let mut proposals = Vec::new();
        for (command, waiter) in commands {
            let data = Body { stamp: unix(), command }.encode();
            let size = data.len();
            let token = self.pending.add(waiter);
            if size > MAX_COMMAND_BYTES {
                let detail = format!("the command takes {size} of {MAX_COMMAND_BYTES} bytes");
                let failure = Failure::not_run(Code::TooLarge, detail);
                self.pending.refuse(token, failure.into());
                continue;
            }
            proposals.push(Proposal { token, data });
        }
        if !proposals.is_empty() {
            self.handle_event(Event::Propose(proposals));
        }
    }

    fn renew(&mut self, renew: &SessionRenewal) -> Result<SessionRenewalReply, RequestError> {
        // Without a valid lease, another leader may be closing sessions.
        if !self.has_lease() {
            return Err(self.not_leader_error());
        }
        let open = self.applied.state.session(renew.session);
        let is_owner = open.is_some_and(|session| session.node == renew.node);
        let now = self.kernel.now();
        self.sessions.set_open(self.applied.state.sessions().map(|(number, _)| number), now);
        let held = is_owner && self.sessions.renew(renew.session, now);
        let orphans = self.orphans();
        let audit = renew.audit.as_ref().filter(|_| held);
        let audited = audit.map(|audit| self.applied.state.ledger.audit(audit));
        Ok(SessionRenewalReply { held, lasts_ms: self.sessions.period(), orphans, audited })
    }

    fn orphans(&mut self) -> Vec<chicoryford_ledger::StepKey> {
        // This query changes nothing, so it need not go through the log.
        let reply = self.applied.state.ledger.apply(LedgerCommand::Orphans, |_| Default::default());
        match reply {
            LedgerReply::Orphans(orphans) => orphans,
            _ => Vec::new(),
        }
    }

    fn change_members(&mut self, request: MembershipRequest, answer: Answer<()>) {
        if self.replica.role() != Role::Leader {
            let _ = answer.send(Err(self.not_leader_error()));
            return;
        }
        if let MembershipRequest::HandOver(to) = &request {
            let to = to.as_ref().and_then(|node| self.find(node));
            self.handle_event(Event::HandOver { to });
            let _ = answer.send(Ok(()));
            return;
        }
        let Some(change) = self.membership_change(request) else {
            let failure = Failure::not_run(Code::NotFound, "no replica has that name");
            let _ = answer.send(Err(failure.into()));
            return;
        };
        let token = self.pending.add(Waiter::ChangeMembers(answer));
        self.handle_event(Event::ChangeMembers { token, change });
    }

    fn membership_change(&self, request: MembershipRequest) -> Option<MembershipChange> {
        match request {
            MembershipRequest::Add { id, address, replaces } => {
                let replaces = match replaces {
                    Some(node) => Some(self.find(&node)?),
                    None => None,
                };
                Some(MembershipChange::Add { id, address, replaces })
            }
            MembershipRequest::Promote(node) => self.find(&node).map(MembershipChange::Promote),
            MembershipRequest::Remove(node) => self.find(&node).map(MembershipChange::Remove),
            MembershipRequest::HandOver(_) => None,
        }
    }

    /// Finds the replica of a node. If the node has several identities, returns the oldest, which
    /// is the one whose disk was lost.
    fn find(&self, node: &Node) -> Option<ReplicaId> {
        self.replica.members().replicas.keys().find(|id| id.node == *node).cloned()
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.replica.leader()?;
        if leader == self.replica.id() {
            return None;
        }
        self.replica.members().replicas.get(leader).map(|seat| seat.address.clone())
    }

    fn not_leader_error(&self) -> RequestError {
        match &self.storage.failure {
            Some(failure) => self.storage_error(failure),
            None => RequestError::NotLeader(self.leader_address()),
        }
    }

    fn storage_error(&self, failure: &str) -> RequestError {
        Failure::not_run(Code::StorageFailed, failure).into()
    }

    pub(crate) fn request_error(&self, why: Refusal) -> RequestError {
        let detail = why.to_string();
        let retryable = |code| Failure::not_run(code, detail.clone()).retry_after(RETRY_AFTER_MS);
        match why {
            Refusal::NotLeader { .. } => self.not_leader_error(),
            Refusal::Unknown { .. } => {
                Failure::unknown(Code::NoQuorum, detail).retry_after(RETRY_AFTER_MS).into()
            }
            Refusal::Full => retryable(Code::Overloaded).into(),
            Refusal::HandingOver => retryable(Code::NoQuorum).into(),
            Refusal::StorageFailed => {
                self.storage_error(self.storage.failure.as_deref().unwrap_or_default())
            }
            Refusal::ChangePending | Refusal::NotCaughtUp | Refusal::WouldLoseQuorum => {
                retryable(Code::Conflict).into()
            }
            Refusal::InvalidChange => Failure::not_run(Code::BadRequest, detail).into(),
        }
    }
}
