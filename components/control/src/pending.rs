//! The callers that wait for entries or reads of the replica.

use std::collections::BTreeMap;

use chicoryford_agreement::Token;
use chicoryford_state::Reply;
use chicoryford_types::Config;

use crate::handle::Answer;
use crate::handle::RequestError;

/// A caller that waits for an entry or a read.
pub enum Waiter {
    /// The caller that proposed a command.
    Reply(Answer<Reply>),
    /// The caller that requested a change of the replicas.
    ChangeMembers(Answer<()>),
    /// The caller of a linearizable read.
    Read(Answer<Config>),
    /// No caller: the leader itself proposed the command.
    Internal,
}

/// The waiters by token.
#[derive(Default)]
pub struct Pending {
    last: u64,
    waiters: BTreeMap<Token, Waiter>,
}

impl Pending {
    /// Adds a waiter and returns its token.
    pub fn add(&mut self, waiter: Waiter) -> Token {
        self.last += 1;
        let token = Token(self.last);
        self.waiters.insert(token, waiter);
        token
    }

    /// Answers a waiter whose entry was applied.
    pub fn applied(&mut self, token: Token, reply: Option<Reply>) {
        match self.waiters.remove(&token) {
            // A failed send means that the caller stopped waiting, which is not an error.
            Some(Waiter::Reply(answer)) => {
                let _ = answer.send(Ok(reply.unwrap_or(Reply::Done)));
            }
            Some(Waiter::ChangeMembers(answer)) => {
                let _ = answer.send(Ok(()));
            }
            Some(Waiter::Read(_) | Waiter::Internal) | None => {}
        }
    }

    /// Answers a read.
    pub fn read(&mut self, token: Token, config: &Config) {
        if let Some(Waiter::Read(answer)) = self.waiters.remove(&token) {
            let _ = answer.send(Ok(config.clone()));
        }
    }

    /// Answers a waiter whose entry or read was refused.
    pub fn refuse(&mut self, token: Token, error: RequestError) {
        match self.waiters.remove(&token) {
            Some(Waiter::Reply(answer)) => {
                let _ = answer.send(Err(error));
            }
            Some(Waiter::ChangeMembers(answer)) => {
                let _ = answer.send(Err(error));
            }
            Some(Waiter::Read(answer)) => {
                let _ = answer.send(Err(error));
            }
            Some(Waiter::Internal) | None => {}
        }
    }

    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether there are no waiters.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
