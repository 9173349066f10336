//! Judges the endpoint by its answers: does it work, and did it crash (docs/AGENT.md).

use serde::Serialize;

/// Failures in a row after which the endpoint counts as not working.
const FAILURES: u32 = 2;

/// What a look at the endpoint gave.
#[derive(Clone, Debug, PartialEq)]
pub enum Look {
    /// It answered.
    Answered {
        /// Its instance; empty for a plain service, which does not say.
        instance: String,
        /// Whether it says that it can serve.
        healthy: bool,
    },
    /// No connection came about: no process listens there.
    Refused,
    /// A connection came about, but no whole answer.
    Silent,
}

/// What follows from a look.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Finding {
    /// Whether the endpoint works.
    pub healthy: bool,
    /// Whether it crashed since the look before.
    pub crashed: bool,
    /// Whether it certainly did not crash: connections that broke did so for another reason.
    pub alive: bool,
}

/// What is known from the looks so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Pulse {
    instance: Option<String>,
    failures: u32,
    refusals: u32,
    healthy: bool,
    down: bool,
    crashes: u64,
}

impl Pulse {
    /// Takes a look's result.
    ///
    /// A crash is told once: when nothing listens any more, or, if the endpoint was back before
    /// that was seen, when it answers as another instance.
    pub fn take(&mut self, look: Look) -> Finding {
        let crashed = match &look {
            Look::Answered { instance, .. } => self.is_other(instance) && !self.down,
            Look::Refused => self.refusals + 1 >= FAILURES && self.instance.is_some() && !self.down,
            Look::Silent => false,
        };
        let alive = matches!(&look, Look::Answered { .. }) && !crashed && !self.down;
        match look {
            Look::Answered { instance, healthy } => {
                (self.failures, self.refusals, self.down) = (0, 0, false);
                self.instance = Some(instance);
                self.healthy = healthy;
            }
            Look::Refused => {
                self.refusals += 1;
                self.failures += 1;
                self.down |= crashed;
            }
            Look::Silent => {
                self.refusals = 0;
                self.failures += 1;
            }
        }
        if self.failures >= FAILURES {
            self.healthy = false;
        }
        if crashed {
            self.crashes += 1;
        }
        Finding { healthy: self.healthy, crashed, alive }
    }

    /// Counts the crashes seen.
    pub fn crashes(&self) -> u64 {
        self.crashes
    }

    /// Tells whether the last look failed, so that the next one should come soon.
    pub fn doubts(&self) -> bool {
        self.failures > 0 && self.failures < FAILURES
    }

    fn is_other(&self, instance: &str) -> bool {
        self.instance.as_ref().is_some_and(|known| known != instance)
    }
}
