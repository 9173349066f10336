//! Who waits for what the replica was asked to commit.

use std::collections::BTreeMap;

use chicoryford_agreement::Token;
use chicoryford_state::Reply;
use chicoryford_types::Config;

use crate::handle::Answer;
use crate::handle::RequestError;

/// Whoever waits for an entry.
pub enum Waiter {
    /// A proposed command.
    Reply(Answer<Reply>),
    /// A change of the replicas.
    ChangeMembers(Answer<()>),
    /// A linearizable read.
    Read(Answer<Config>),
    /// Nobody: the leader itself proposed it.
    Nobody,
}

/// The waiters by token.
#[derive(Default)]
pub struct Pending {
    last: u64,
    waiters: BTreeMap<Token, Waiter>,
}

impl Pending {
    /// Draws a token for a waiter.
    pub fn add(&mut self, waiter: Waiter) -> Token {
        self.last += 1;
        let token = Token(self.last);
        self.waiters.insert(token, waiter);
        token
    }

    /// Tells a waiter that its entry was applied.
    pub fn applied(&mut self, token: Token, reply: Option<Reply>) {
        match self.waiters.remove(&token) {
            // A waiter that has given up meanwhile is no fault.
            Some(Waiter::Reply(answer)) => {
                let _ = answer.send(Ok(reply.unwrap_or(Reply::Done)));
            }
            Some(Waiter::ChangeMembers(answer)) => {
                let _ = answer.send(Ok(()));
            }
            Some(Waiter::Read(_) | Waiter::Nobody) | None => {}
        }
    }

    /// Answers a read.
    pub fn read(&mut self, token: Token, config: &Config) {
        if let Some(Waiter::Read(answer)) = self.waiters.remove(&token) {
            let _ = answer.send(Ok(config.clone()));
        }
    }

    /// Tells a waiter that its entry or read was refused.
    pub fn refuse(&mut self, token: Token, why: RequestError) {
        match self.waiters.remove(&token) {
            Some(Waiter::Reply(answer)) => {
                let _ = answer.send(Err(why));
            }
            Some(Waiter::ChangeMembers(answer)) => {
                let _ = answer.send(Err(why));
            }
            Some(Waiter::Read(answer)) => {
                let _ = answer.send(Err(why));
            }
            Some(Waiter::Nobody) | None => {}
        }
    }

    /// Counts the waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
