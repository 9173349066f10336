//! Overload protection of an entry: from what the entry holds, decides whether it diverts new
//! connections to other entries, or refuses new requests (docs/design/overloaded-entries.md).

use std::collections::VecDeque;

use chicoryford_types::Millis;

/// Retry delay of a refused request in milliseconds. Another entry can serve it immediately.
pub const RETRY_AFTER_MS: u64 = 100;
/// Bytes of the process itself: program, configuration, caches and connections without requests.
const PROCESS_BYTES: u64 = 32 * BYTES_PER_MB;
/// The smallest memory budget, so that a small VM still serves requests.
const MIN_BUDGET_BYTES: u64 = 4 * BYTES_PER_MB;
const BYTES_PER_MB: u64 = 1_000_000;
/// Percentages of the memory budget at which the levels are entered. The half of the memory that is
/// not in the budget is for copies of bodies that are sent to endpoints.
const MEMORY_PERCENT: Percentages = Percentages { divert: 50, refuse: 80 };
/// Percentages of the descriptors for callers at which the levels are entered.
const CONNECTIONS_PERCENT: Percentages = Percentages { divert: 80, refuse: 95 };
/// Lag in milliseconds that is never overload. A thread with a fraction of a core stands still for
/// 100 ms again and again, which is measured as a lag of 50 ms at most.
const MIN_LAG_MS: u64 = 60;
/// Milliseconds for which lag must exceed a threshold.
const LAG_HOLD_MS: u64 = 1_000;
/// Milliseconds for which usage must be below the threshold for leaving a level.
const LEAVE_HOLD_MS: u64 = 1_000;
/// The period and the milliseconds in it for which lag alone may raise the level. Entries that all
/// lag would otherwise all leave the rotation permanently.
const LAG_PERIOD_MS: u64 = 60_000;
const MAX_LAG_MS_PER_PERIOD: u64 = 10_000;
/// Milliseconds without progress after which a reply may be cut.
const STALLED_REPLY_MS: u64 = 5_000;

struct Percentages {
    divert: u64,
    refuse: u64,
}

/// Limits of the process. A missing limit has no effect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Memory in MB (10^6 bytes).
    pub memory_mb: Option<u64>,
    /// File descriptors.
    pub descriptors: Option<u64>,
}

/// What an entry uses at a moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Bytes of requests and replies that are held for callers.
    pub held_bytes: u64,
    /// Open connections of callers.
    pub connections: u64,
    /// Mean delay of the thread over the last second in milliseconds.
    pub lag_ms: u64,
}

/// How an entry protects itself.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// All requests are served.
    #[default]
    Normal,
    /// Readiness checks fail, and replies close their connections.
    Divert,
    /// In addition, new requests are refused.
    Refuse,
}

impl Level {
    /// Returns the name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Divert => "divert",
            Self::Refuse => "refuse",
        }
    }
}

/// The resource that raises the level.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Bytes held for callers.
    Memory,
    /// Connections of callers.
    Connections,
    /// The delay of the thread.
    Lag,
}

impl Cause {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Lag => "lag",
        }
    }

    /// Returns the reason that is given to a refused caller.
    pub fn refusal_reason(self) -> &'static str {
        match self {
            Self::Memory => "overloaded: memory",
            Self::Connections => "overloaded: connections",
            Self::Lag => "overloaded: lag",
        }
    }
}

/// The level and its cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Decision {
    /// The level.
    pub level: Level,
    /// The cause, unless the level is normal. Memory takes precedence over connections, and these
    /// over lag, if several cause the same level.
    pub cause: Option<Cause>,
}

/// A reply that its caller has not read completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnreadReply {
    /// Identifies the reply.
    pub id: u64,
    /// Bytes that the caller has not read.
    pub bytes: u64,
    /// Milliseconds since the caller last read any of them.
    pub stalled_ms: u64,
}

/// Decides about the level of an entry.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    limits: Limits,
    memory: Levels,
    connections: Levels,
    lag: Levels,
    lag_allowance: LagAllowance,
}

impl Overload {
    /// Starts at the normal level.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Decides about the level. `target_ms` is the shortest target time of all routes, without
    /// which lag has no effect.
    pub fn update(&mut self, usage: Usage, target_ms: Option<u64>, now: Millis) -> Decision {
        let memory = self.memory.update(usage.held_bytes, self.memory_thresholds(), 0, now);
        let thresholds = self.connection_thresholds();
        let connections = self.connections.update(usage.connections, thresholds, 0, now);
        let lag = self.lag.update(usage.lag_ms, target_ms.map(lag_thresholds), LAG_HOLD_MS, now);
        let lag_alone = lag > memory.max(connections);
        let lag = if self.lag_allowance.permits(lag_alone, now) { lag } else { Level::Normal };
        let levels =
            [(memory, Cause::Memory), (connections, Cause::Connections), (lag, Cause::Lag)];
        levels.into_iter().fold(Decision::default(), |highest, (level, cause)| {
            if level > highest.level { Decision { level, cause: Some(cause) } } else { highest }
        })
    }

    /// Returns the replies to cut, the largest first. Replies are only cut while requests are
    /// refused because of memory, only if their callers have stopped reading, and only until the
    /// bytes held are below the threshold for refusals.
    pub fn replies_to_cut(&self, held_bytes: u64, replies: &[UnreadReply]) -> Vec<UnreadReply> {
        let Some(thresholds) = self.memory_thresholds() else { return Vec::new() };
        if self.memory.level() != Level::Refuse {
            return Vec::new();
        }
        let is_stalled = |reply: &&UnreadReply| reply.stalled_ms >= STALLED_REPLY_MS;
        let mut stalled: Vec<UnreadReply> = replies.iter().filter(is_stalled).copied().collect();
        stalled.sort_by_key(|reply| std::cmp::Reverse(reply.bytes));
        let mut left_bytes = held_bytes;
        stalled.retain(|reply| {
            let cut = left_bytes >= thresholds.refuse;
            if cut {
                left_bytes = left_bytes.saturating_sub(reply.bytes);
            }
            cut
        });
        stalled
    }

    fn memory_thresholds(&self) -> Option<Thresholds> {
        let bytes = self.limits.memory_mb?.saturating_mul(BYTES_PER_MB) / 2;
        let budget = bytes.saturating_sub(PROCESS_BYTES).max(MIN_BUDGET_BYTES);
        Some(Thresholds::new(budget, &MEMORY_PERCENT))
    }

    /// Half of the descriptors is for callers, the rest for endpoints, stores and files.
    fn connection_thresholds(&self) -> Option<Thresholds> {
        Some(Thresholds::new(self.limits.descriptors? / 2, &CONNECTIONS_PERCENT))
    }
}

fn lag_thresholds(target_ms: u64) -> Thresholds {
    // A level is entered when lag exceeds its threshold, thus from the next millisecond on.
    let above = |ms: u64| ms.max(MIN_LAG_MS) + 1;
    Thresholds { divert: above(target_ms / 2), refuse: above(target_ms) }
}

/// The values from which on the levels are entered.
#[derive(Clone, Copy)]
struct Thresholds {
    divert: u64,
    refuse: u64,
}

impl Thresholds {
    fn new(limit: u64, percentages: &Percentages) -> Self {
        // No usage at all is never overload, not even with a limit of zero.
        let part = |percent: u64| (limit / 100 * percent + limit % 100 * percent / 100).max(1);
        Self { divert: part(percentages.divert), refuse: part(percentages.refuse) }
    }
}

/// The levels of one cause.
#[derive(Clone, Debug, Default)]
struct Levels {
    divert: Switch,
    refuse: Switch,
}

impl Levels {
    fn update(
        &mut self,
        value: u64,
        thresholds: Option<Thresholds>,
        enter_hold_ms: u64,
        now: Millis,
    ) -> Level {
        match thresholds {
            Some(thresholds) => {
                self.divert.update(value, thresholds.divert, enter_hold_ms, now);
                self.refuse.update(value, thresholds.refuse, enter_hold_ms, now);
            }
            None => *self = Self::default(),
        }
        self.level()
    }

    fn level(&self) -> Level {
        if self.refuse.active {
            Level::Refuse
        } else if self.divert.active {
            Level::Divert
        } else {
            Level::Normal
        }
    }
}

/// Hysteresis of one level: without it, readiness would change with each reply.
#[derive(Clone, Debug, Default)]
struct Switch {
    active: bool,
    /// Since when the condition for a change has held.
    since: Option<Millis>,
}

impl Switch {
    /// Enters the level when `value` has reached the threshold for `enter_hold_ms`, and leaves it
    /// when `value` has been below three quarters of the threshold for [`LEAVE_HOLD_MS`].
    fn update(&mut self, value: u64, threshold: u64, enter_hold_ms: u64, now: Millis) {
        let (changes, hold_ms) = if self.active {
            (value.saturating_mul(4) < threshold.saturating_mul(3), LEAVE_HOLD_MS)
        } else {
            (value >= threshold, enter_hold_ms)
        };
        if !changes {
            self.since = None;
            return;
        }
        let since = *self.since.get_or_insert(now);
        if now.since(since) >= hold_ms {
            self.active = !self.active;
            self.since = None;
        }
    }
}

/// Limits the time for which lag alone raises the level.
#[derive(Clone, Debug, Default)]
struct LagAllowance {
    /// Intervals in which lag alone raised the level.
    spent: VecDeque<(Millis, Millis)>,
    /// The last evaluation, if lag alone raised the level then.
    raised_at: Option<Millis>,
    /// Until when lag has no effect, after it has used up its time.
    suspended_until: Millis,
}

impl LagAllowance {
    /// Returns whether lag may raise the level now. `raises` says whether it would do so alone.
    fn permits(&mut self, raises: bool, now: Millis) -> bool {
        if let Some(since) = self.raised_at.take() {
            match self.spent.back_mut() {
                Some((_, end)) if *end == since => *end = now,
                _ => self.spent.push_back((since, now)),
            }
            if self.spent_ms(now) >= MAX_LAG_MS_PER_PERIOD {
                // Any period that extends beyond the suspension has only its remainder before it.
                self.suspended_until = now + (LAG_PERIOD_MS - MAX_LAG_MS_PER_PERIOD);
                self.spent.clear();
            }
        }
        if now < self.suspended_until {
            return false;
        }
        self.raised_at = raises.then_some(now);
        true
    }

    fn spent_ms(&mut self, now: Millis) -> u64 {
        while self.spent.front().is_some_and(|(_, end)| now.since(*end) >= LAG_PERIOD_MS) {
            self.spent.pop_front();
        }
        let in_period = |since: Millis| now.since(since).min(LAG_PERIOD_MS);
        self.spent.iter().map(|(start, end)| in_period(*start) - in_period(*end)).sum()
    }
}
