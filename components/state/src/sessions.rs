//! Sessions of entries, which own the leases on steps.

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

/// Maximum number of open sessions.
pub const MAX_SESSIONS: usize = 4_096;

/// The open sessions, at most one per entry.
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
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
}

impl State {
    /// Returns the open sessions by number. The leader closes those that are not renewed.
    pub fn sessions(&self) -> impl Iterator<Item = (u64, &Session)> {
        self.sessions.open.iter().map(|(number, session)| (*number, session))
    }

    /// Returns an open session.
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
        if self.sessions.open.len() >= MAX_SESSIONS {
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

    /// Applies a command to the ledger and supplies what only the state contains: whether a session
    /// is open, and the newest published version.
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
