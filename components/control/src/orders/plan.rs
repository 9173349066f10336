//! Decides which sampler loads which version when.
//!
//! At most a share of a model's samplers is out of service at once. A newer version overtakes:
//! whoever has not begun the older one skips it. A failed order is given again, each time after
//! a longer pause, and after those that have not failed.

use std::collections::BTreeMap;

use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Order;
use chicoryford_types::Version;
use chicoryford_types::config::Published;
use chicoryford_types::order::OrderAction;
use chicoryford_types::order::OrderReply;
use serde::Deserialize;
use serde::Serialize;

/// Milliseconds between two questions about an order that is being carried out.
const POLL_MS: u64 = 100;
/// Milliseconds of the first pause after a failure; each further one doubles it.
const PAUSE_MS: u64 = 250;
/// Milliseconds of the longest pause.
const PAUSE_LONGEST_MS: u64 = 8_000;
/// Milliseconds without any word of a sampler after which its order no longer counts as out of
/// service. Otherwise a few silent agents would use up the share, and the others would wait.
const SILENT_MS: u64 = 5_000;
/// Milliseconds after which an order may take no longer. An engine that hangs in a swap would
/// otherwise use up the share for ever.
const LONGEST_MS: u64 = 120_000;
/// Milliseconds for which a success counts although the announcements do not show it yet. If
/// they still do not, the engine has lost the swap, and it is ordered again.
const TRUST_MS: u64 = 10_000;

/// A sampler as the members show it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sampler {
    /// Its agent.
    pub agent: Node,
    /// The agent's start.
    pub incarnation: Incarnation,
    /// Where the agent answers HTTP.
    pub address: String,
    /// The models that it serves, with the version that it runs.
    pub models: BTreeMap<Model, Version>,
}

/// An order to be sent now.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// To which agent.
    pub agent: Node,
    /// Where it answers HTTP.
    pub address: String,
    /// The order.
    pub order: Order,
}

/// How far a version has come at one sampler, for operators.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct OrderStatus {
    /// The sampler's agent.
    pub agent: Node,
    /// The model.
    pub model: Model,
    /// The version that was ordered last.
    pub version: Version,
    /// Whether it is being carried out.
    pub running: bool,
    /// How often it failed.
    pub failures: u32,
    /// Why it failed last.
    pub error: Option<String>,
}

#[derive(Clone, Debug)]
struct Work {
    incarnation: Incarnation,
    model: Model,
    version: Version,
    number: u64,
    stage: Stage,
    begun: Millis,
    heard: Millis,
    next: Millis,
    failures: u32,
    error: Option<String>,
    /// Whether a call is under way.
    called: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Running,
    Failed,
    Done,
}

/// The orders of one epoch.
#[derive(Clone, Debug)]
pub struct Orders {
    epoch: Epoch,
    percent: u32,
    number: u64,
    works: BTreeMap<Node, Work>,
    fenced: Option<Epoch>,
}

impl Orders {
    /// Begins an epoch, in which `percent` of a model's samplers may be out of service at once.
    pub fn new(epoch: Epoch, percent: u32) -> Self {
        Self { epoch, percent, number: 0, works: BTreeMap::new(), fenced: None }
    }

    /// Gives the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Gives the orders to send now.
    pub fn due(
        &mut self,
        now: Millis,
        weights: &BTreeMap<Model, Published>,
        samplers: &[Sampler],
    ) -> Vec<Dispatch> {
        if self.fenced.is_some() {
            return Vec::new();
        }
        self.forget(now, samplers);
        let mut due = Vec::new();
        for (model, published) in weights {
            due.extend(self.begin(now, model, published.version, samplers));
        }
        for sampler in samplers {
            let asked = self.works.get_mut(&sampler.agent).filter(|work| work.is_due(now));
            if let Some(work) = asked {
                work.called = true;
                due.push(sampler.agent.clone());
            }
        }
        due.sort();
        due.dedup();
        let samplers = samplers.iter().filter(|sampler| due.contains(&sampler.agent));
        samplers.filter_map(|sampler| self.dispatch(weights, sampler)).collect()
    }

    /// Takes an agent's answer; none if none came.
    pub fn answered(&mut self, now: Millis, agent: &Node, number: u64, reply: Option<OrderReply>) {
        let Some(work) = self.works.get_mut(agent).filter(|work| work.number == number) else {
            return;
        };
        work.called = false;
        work.next = now + POLL_MS;
        let Some(reply) = reply else { return };
        work.heard = now;
        match reply {
            OrderReply::Busy => {}
            OrderReply::Done => {
                work.stage = Stage::Done;
                work.error = None;
                work.failures = 0;
            }
            OrderReply::Failed(error) => work.fail(now, error),
            OrderReply::Fenced(epoch) => {
                tracing::warn!(event = "orders_fenced", own = self.epoch.0, newer = epoch.0);
                self.fenced = Some(epoch);
            }
        }
    }

    /// Tells how far the orders are.
    pub fn status(&self) -> Vec<OrderStatus> {
        let works = self.works.iter().map(|(agent, work)| OrderStatus {
            agent: agent.clone(),
            model: work.model.clone(),
            version: work.version,
            running: work.stage == Stage::Running,
            failures: work.failures,
            error: work.error.clone(),
        });
        works.collect()
    }

    /// Drops the orders of agents that are gone or were restarted, and fails those that take too
    /// long or went silent.
    fn forget(&mut self, now: Millis, samplers: &[Sampler]) {
        let there: BTreeMap<&Node, Incarnation> =
            samplers.iter().map(|sampler| (&sampler.agent, sampler.incarnation)).collect();
        self.works.retain(|agent, work| there.get(agent) == Some(&work.incarnation));
        for work in self.works.values_mut().filter(|work| work.stage == Stage::Running) {
            if now.since(work.heard) > SILENT_MS {
                work.fail(now, "the agent does not answer".to_owned());
            } else if now.since(work.begun) > LONGEST_MS {
                work.fail(now, "the order takes too long".to_owned());
            }
        }
    }

    /// Begins as many orders of a version as the share allows.
    fn begin(
        &mut self,
        now: Millis,
        model: &Model,
        version: Version,
        samplers: &[Sampler],
    ) -> Vec<Node> {
        let serving: Vec<_> = samplers.iter().filter(|s| s.models.contains_key(model)).collect();
        let share = (serving.len() * self.percent as usize / 100).max(1);
        let out = self.works.values().filter(|w| w.model == *model && w.stage == Stage::Running);
        let room = share.saturating_sub(out.count());
        let mut wanted: Vec<_> =
            serving.into_iter().filter(|s| self.wants(now, s, model, version)).collect();
        wanted.sort_by_key(|s| self.works.get(&s.agent).map_or(0, |work| work.failures));
        wanted.truncate(room);
        let begun: Vec<Node> = wanted.iter().map(|sampler| sampler.agent.clone()).collect();
        for sampler in wanted {
            self.start(now, sampler, model, version);
        }
        begun
    }

    fn wants(&self, now: Millis, sampler: &Sampler, model: &Model, version: Version) -> bool {
        if sampler.models.get(model).is_none_or(|runs| *runs >= version) {
            return false;
        }
        let Some(work) = self.works.get(&sampler.agent) else { return true };
        match work.stage {
            Stage::Running => false,
            Stage::Failed => now >= work.next && !work.called,
            Stage::Done => {
                let same = work.model == *model && work.version >= version;
                !same || now.since(work.heard) > TRUST_MS
            }
        }
    }

    fn start(&mut self, now: Millis, sampler: &Sampler, model: &Model, version: Version) {
        self.number += 1;
        let before = self.works.get(&sampler.agent);
        let same = before.filter(|work| work.model == *model && work.version == version);
        let work = Work {
            incarnation: sampler.incarnation,
            model: model.clone(),
            version,
            number: self.number,
            stage: Stage::Running,
            begun: now,
            heard: now,
            next: now,
            failures: same.map_or(0, |work| work.failures),
            error: same.and_then(|work| work.error.clone()),
            called: true,
        };
        self.works.insert(sampler.agent.clone(), work);
    }

    fn dispatch(
        &self,
        weights: &BTreeMap<Model, Published>,
        sampler: &Sampler,
    ) -> Option<Dispatch> {
        let work = self.works.get(&sampler.agent)?;
        let source = weights.get(&work.model)?.source.clone();
        let action = OrderAction::Load {
            model: work.model.clone(),
            version: work.version,
            sources: vec![source],
        };
        let order = Order { epoch: self.epoch, number: work.number, action };
        Some(Dispatch { agent: sampler.agent.clone(), address: sampler.address.clone(), order })
    }
}

impl Work {
    fn is_due(&self, now: Millis) -> bool {
        self.stage == Stage::Running && !self.called && now >= self.next
    }

    fn fail(&mut self, now: Millis, error: String) {
        let pause = PAUSE_MS << self.failures.min(10);
        self.stage = Stage::Failed;
        self.failures += 1;
        self.next = now + pause.min(PAUSE_LONGEST_MS);
        self.error = Some(error);
        self.called = false;
    }
}
