//! How orders in progress end.

use chicoryford_types::Endpoint;
use chicoryford_types::Millis;
use chicoryford_types::order::OrderReply;

use super::Action;
use super::Planner;
use super::load_order;

/// The longest wait after a failure, as a multiple of the first.
const MAX_BACKOFF_FACTOR: u64 = 16;

impl Planner {
    pub(super) fn handle_reply(
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
        let current = sampler.order.as_ref().is_some_and(|running| running.number == number);
        if !current {
            return;
        }
        match reply {
            OrderReply::Done => {
                let Some(running) = sampler.order.take() else { return };
                let held = sampler.versions.entry(running.model).or_default();
                *held = running.version.max(*held);
                sampler.confirmed_until = Some(now + self.settings.trust_ms);
                sampler.failures = 0;
                sampler.timed_out = false;
            }
            OrderReply::Busy => self.schedule_poll(endpoint, number, now),
            OrderReply::Failed(reason) => {
                self.record_failure(endpoint, reason, false, now, actions)
            }
            OrderReply::Fenced(_) => {}
        }
    }

    /// A leader that was replaced while it could not hear anyone must stop as soon as an agent
    /// tells it so; the agents refuse its orders in any case.
    fn step_down(&mut self, epoch: chicoryford_types::Epoch, actions: &mut Vec<Action>) {
        if self.epoch.is_some_and(|held| held < epoch) {
            self.epoch = None;
            self.samplers.values_mut().for_each(|sampler| sampler.order = None);
            tracing::warn!(event = "orders_fenced", %epoch);
            actions.push(Action::Fenced(epoch));
        }
    }

    pub(super) fn schedule_poll(&mut self, endpoint: &Endpoint, number: u64, now: Millis) {
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        if let Some(running) = sampler.order.as_mut().filter(|r| r.number == number) {
            running.poll_at = Some(now + self.settings.poll_ms);
        }
    }

    /// Asks again how orders go, by sending them again under their numbers.
    pub(super) fn poll_orders(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(epoch) = self.epoch else { return };
        for (endpoint, sampler) in &mut self.samplers {
            let Some(running) = &mut sampler.order else { continue };
            if running.poll_at.is_some_and(|ask| now >= ask) {
                running.poll_at = None;
                let order = load_order(epoch, sampler.status.incarnation, running);
                actions.push(Action::SendOrder { endpoint: endpoint.clone(), order });
            }
        }
    }

    /// Ends orders that took too long. The endpoint may still be loading, so it goes on counting
    /// as out of service until it answers an order or is announced anew.
    pub(super) fn expire_orders(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.samplers.values_mut().for_each(|sampler| sampler.expire_confirmed(now));
        let late = self.samplers.iter().filter(|(_, sampler)| {
            sampler.order.as_ref().is_some_and(|running| now >= running.deadline)
        });
        let late: Vec<Endpoint> = late.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in late {
            self.record_failure(&endpoint, "no end in time".to_owned(), true, now, actions);
        }
    }

    fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        reason: String,
        lost: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        let Some(running) = sampler.order.take() else { return };
        sampler.failures += 1;
        sampler.timed_out = lost;
        sampler.reason.clone_from(&reason);
        let factor = 1 << (sampler.failures - 1).min(MAX_BACKOFF_FACTOR.ilog2());
        sampler.retry_at = now + self.settings.backoff_ms * factor;
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
