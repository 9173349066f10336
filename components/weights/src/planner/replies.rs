//! Replies to orders, and orders that time out.

use chicoryford_types::Endpoint;
use chicoryford_types::Millis;
use chicoryford_types::order::OrderReply;

use super::Action;
use super::Planner;
use super::load_order;

/// The longest delay after a failure, as a multiple of the first.
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
        // A reply to an earlier order does not concern the one in progress.
        let is_current = sampler.order.as_ref().is_some_and(|order| order.number == number);
        if !is_current {
            return;
        }
        match reply {
            OrderReply::Done => {
                let Some(order) = sampler.order.take() else { return };
                let version = sampler.versions.entry(order.model).or_default();
                *version = order.version.max(*version);
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

    /// Stops sending orders, because an agent reported a newer epoch. A leader may have been
    /// replaced while it was partitioned; the agents refuse its orders in any case.
    fn step_down(&mut self, epoch: chicoryford_types::Epoch, actions: &mut Vec<Action>) {
        if self.epoch.is_some_and(|current| current < epoch) {
            self.epoch = None;
            self.samplers.values_mut().for_each(|sampler| sampler.order = None);
            tracing::warn!(event = "orders_fenced", %epoch);
            actions.push(Action::Fenced(epoch));
        }
    }

    pub(super) fn schedule_poll(&mut self, endpoint: &Endpoint, number: u64, now: Millis) {
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        if let Some(order) = sampler.order.as_mut().filter(|order| order.number == number) {
            order.poll_at = Some(now + self.settings.poll_ms);
        }
    }

    /// Polls the orders in progress by sending them again under their numbers.
    pub(super) fn poll_orders(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(epoch) = self.epoch else { return };
        for (endpoint, sampler) in &mut self.samplers {
            let Some(running_order) = &mut sampler.order else { continue };
            if running_order.poll_at.is_some_and(|poll_at| now >= poll_at) {
                running_order.poll_at = None;
                let order = load_order(epoch, sampler.status.incarnation, running_order);
                actions.push(Action::SendOrder { endpoint: endpoint.clone(), order });
            }
        }
    }

    /// Ends orders that timed out. The endpoint may still be loading, so it counts as out of
    /// service until it replies to an order or recovers according to an announcement.
    pub(super) fn expire_orders(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.samplers.values_mut().for_each(|sampler| sampler.expire_confirmed(now));
        let expired = self.samplers.iter().filter(|(_, sampler)| {
            sampler.order.as_ref().is_some_and(|order| now >= order.deadline)
        });
        let expired: Vec<Endpoint> = expired.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in expired {
            self.record_failure(&endpoint, "the order timed out".to_owned(), true, now, actions);
        }
    }

    fn record_failure(
        &mut self,
        endpoint: &Endpoint,
        reason: String,
        timed_out: bool,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        let Some(order) = sampler.order.take() else { return };
        sampler.failures += 1;
        sampler.timed_out = timed_out;
        sampler.reason.clone_from(&reason);
        let factor = 1 << (sampler.failures - 1).min(MAX_BACKOFF_FACTOR.ilog2());
        sampler.retry_at = now + self.settings.backoff_ms * factor;
        let (model, version) = (order.model, order.version);
        tracing::warn!(event = "load_failed", %endpoint, %model, %version, reason);
        let is_newest = self.targets.get(&model).is_some_and(|target| target.version == version);
        if is_newest && sampler.failures >= self.settings.failures {
            sampler.given_up = Some((model.clone(), version));
            let endpoint = endpoint.clone();
            actions.push(Action::GiveUp { endpoint, model, version, reason });
        }
    }
}
