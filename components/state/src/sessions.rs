//! Sessions of entries: who may hold steps.

use std::collections::BTreeMap;

use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_types::Incarnation;
use chicoryford_types::Node;
use chicoryford_types::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Refusal;
use crate::command::Reply;
use crate::machine::State;

/// Sessions that may be open at once.
pub const SESSIONS: usize = 4_096;

/// The open sessions, one an entry at most.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Sessions {
    last: u64,
    open: BTreeMap<u64, Session>,
}

/// An open session.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Session {
    /// The entry.
    pub node: Node,
    /// The start of the entry that opened it.
    pub incarnation: Incarnation,
}

impl State {
    /// Lists the open sessions by number; the leader closes those that are not renewed.
    pub fn sessions(&self) -> impl Iterator<Item = (u64, &Session)> {
        self.sessions.open.iter().map(|(number, session)| (*number, session))
    }

    /// Finds an open session.
    pub fn session(&self, number: u64) -> Option<&Session> {
        self.sessions.open.get(&number)
    }

    pub(crate) fn open_session(&mut self, node: Node, incarnation: Incarnation) -> Reply {
        let known = self.sessions.open.iter().find(|(_, session)| session.node == node);
        if let Some((&number, session)) = known {
            if session.incarnation == incarnation {
                return Reply::Session { session: number };
            }
            if session.incarnation > incarnation {
                return Refusal::Moved.into();
            }
            self.close_session(number);
        }
        if self.sessions.open.len() >= SESSIONS {
            return Refusal::Full.into();
        }
        self.sessions.last += 1;
        self.sessions.open.insert(self.sessions.last, Session { node, incarnation });
        Reply::Session { session: self.sessions.last }
    }

    pub(crate) fn close_session(&mut self, number: u64) -> Reply {
        if self.sessions.open.remove(&number).is_some() {
            self.ledger.release(number);
        }
        Reply::Done
    }

    /// Moves the ledger, which learns here what only the state knows: whether a session is
    /// open, and the newest version that was published.
    pub(crate) fn ledger_command(&mut self, command: LedgerCommand) -> Reply {
        if let LedgerCommand::Take { session, .. } = &command
            && self.session(*session).is_none()
        {
            return Reply::Ledger(Box::new(LedgerReply::Fenced));
        }
        let weights = &self.config.weights;
        let newest = |model: &_| weights.get(model).map_or(Version(0), |newest| newest.version);
        Reply::Ledger(Box::new(self.ledger.apply(command, newest)))
    }
}
