//! How orders in progress end.

use chicoryford_types::Endpoint;
use chicoryford_types::Millis;
use chicoryford_types::order::OrderReply;

use super::Action;
use super::Planner;
use super::load;

/// The longest wait after a failure, as a multiple of the first.
const LONGEST: u64 = 16;

impl Planner {
    pub(super) fn take_reply(
        &mut self,
        endpoint: &Endpoint,
        number: u64,
        reply: OrderReply,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if let OrderReply::Fenced(epoch) = reply {
            self.step_down(epoch, actions);
            return;
        }
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        // An answer to an earlier order says nothing of the one in progress.
        let current = sampler.running.as_ref().is_some_and(|running| running.number == number);
        if !current {
            return;
        }
        match reply {
            OrderReply::Done => {
                let Some(running) = sampler.running.take() else { return };
                let held = sampler.held.entry(running.model).or_default();
                *held = running.version.max(*held);
                sampler.trusted = Some(now + self.settings.trust_ms);
                sampler.failures = 0;
                sampler.lost = false;
            }
            OrderReply::Busy => self.ask_again(endpoint, number, now),
            OrderReply::Failed(reason) => self.fail(endpoint, reason, false, now, actions),
            OrderReply::Fenced(_) => {}
        }
    }

    /// A leader that was replaced while it could not hear anyone must stop as soon as an agent
    /// tells it so; the agents refuse its orders in any case.
    fn step_down(&mut self, epoch: chicoryford_types::Epoch, actions: &mut Vec<Action>) {
        if self.epoch.is_some_and(|held| held < epoch) {
            self.epoch = None;
            self.samplers.values_mut().for_each(|sampler| sampler.running = None);
            tracing::warn!(event = "orders_fenced", %epoch);
            actions.push(Action::Fenced(epoch));
        }
    }

    pub(super) fn ask_again(&mut self, endpoint: &Endpoint, number: u64, now: Millis) {
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        if let Some(running) = sampler.running.as_mut().filter(|r| r.number == number) {
            running.ask = Some(now + self.settings.poll_ms);
        }
    }

    /// Asks again how orders go, by sending them again under their numbers.
    pub(super) fn ask(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(epoch) = self.epoch else { return };
        for (endpoint, sampler) in &mut self.samplers {
            let Some(running) = &mut sampler.running else { continue };
            if running.ask.is_some_and(|ask| now >= ask) {
                running.ask = None;
                let order = load(epoch, sampler.offer.incarnation, running);
                actions.push(Action::Give { endpoint: endpoint.clone(), order });
            }
        }
    }

    /// Ends orders that took too long. The endpoint may still be loading, so it goes on counting
    /// as out of service until it answers an order or is announced anew.
    pub(super) fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.samplers.values_mut().for_each(|sampler| sampler.doubt(now));
        let late = self.samplers.iter().filter(|(_, sampler)| {
            sampler.running.as_ref().is_some_and(|running| now >= running.deadline)
        });
        let late: Vec<Endpoint> = late.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in late {
            self.fail(&endpoint, "no end in time".to_owned(), true, now, actions);
        }
    }

    fn fail(
        &mut self,
        endpoint: &Endpoint,
        reason: String,
        lost: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        let Some(running) = sampler.running.take() else { return };
        sampler.failures += 1;
        sampler.lost = lost;
        sampler.reason.clone_from(&reason);
        let factor = 1 << (sampler.failures - 1).min(LONGEST.ilog2());
        sampler.retry = now + self.settings.backoff_ms * factor;
        let (model, version) = (running.model, running.version);
        tracing::warn!(event = "load_failed", %endpoint, %model, %version, reason);
        let newest = self.targets.get(&model).is_some_and(|target| target.version == version);
        if newest && sampler.failures >= self.settings.failures {
            sampler.given_up = Some((model.clone(), version));
            let endpoint = endpoint.clone();
            actions.push(Action::GiveUp { endpoint, model, version, reason });
        }
    }
}
