//! Which endpoint loads next, and from where.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;
use chicoryford_types::Model;

use super::Action;
use super::Planner;
use super::Target;
use super::is_given_up;
use super::load_order;
use crate::sampler::LoadSource;
use crate::sampler::RunningOrder;
use crate::sampler::Sampler;

/// A source of one version with places that are free.
struct Holder {
    endpoint: Endpoint,
    data_centre: DataCentre,
    source: String,
    free: usize,
}

/// How many of a model's samplers may be taken out of service now.
struct SwapBudget {
    samplers: usize,
    serving: usize,
    swapping: usize,
    allowed: usize,
}

impl Planner {
    /// Gives new orders, the version published first served first.
    pub(super) fn assign(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let Some(epoch) = self.epoch else { return };
        let mut models: Vec<(Millis, Model)> = self
            .targets
            .iter()
            .map(|(model, target)| (target.published_at, model.clone()))
            .collect();
        models.sort();
        for (_, model) in models {
            self.assign_model(&model, epoch, now, actions);
        }
    }

    fn assign_model(
        &mut self,
        model: &Model,
        epoch: Epoch,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(target) = self.targets.get(model).cloned() else { return };
        let mut room = self.swap_budget(model);
        let bounded = self.settings.protections.share;
        if room.swapping >= room.allowed && bounded {
            return;
        }
        let waiting = self.waiting(model, &target, now);
        if waiting.is_empty() {
            return;
        }
        let mut holders = self.holders(model, &target);
        let mut store = self.free_fetches(now);
        for endpoint in waiting {
            // Looked at first and once: with many waiting for room, weighing each of them
            // against all others would cost the square of the number of samplers.
            if room.swapping >= room.allowed && bounded {
                return;
            }
            if bounded && !self.may_swap(&endpoint) {
                continue;
            }
            room.swapping += 1;
            let place = self.samplers[&endpoint].status.data_centre.clone();
            let (feed, sources) = match take_holder(&mut holders, &place) {
                Some(found) => found,
                None if store > 0 => {
                    store -= 1;
                    (LoadSource::Store, vec![target.source.clone()])
                }
                None => return,
            };
            self.order_load(&endpoint, model, &target, (feed, sources), (epoch, now), actions);
        }
    }

    /// Lists who lacks the version and may be ordered it: the most failed last, then those in
    /// data centres where nobody has it or loads it yet, then those furthest behind.
    fn waiting(&self, model: &Model, target: &Target, now: Millis) -> Vec<Endpoint> {
        let reached: BTreeSet<&DataCentre> = self
            .samplers
            .values()
            .filter(|s| s.version_of(model) >= target.version || is_loading(s, model, target))
            .map(|s| &s.status.data_centre)
            .collect();
        let protections = self.settings.protections;
        let lacking = self.samplers.iter().filter(|(_, s)| {
            s.versions.contains_key(model)
                && s.status.ready
                && (s.order.is_none() || !protections.single)
                && (s.version_of(model) < target.version || !protections.newer)
                && now >= s.retry_at
                && !is_given_up(s, model, target)
        });
        let mut first: BTreeSet<&DataCentre> = BTreeSet::new();
        let mut ranked: Vec<_> = lacking
            .map(|(endpoint, s)| {
                let place = &s.status.data_centre;
                let opens = !reached.contains(place) && first.insert(place);
                (s.failures, !opens, s.version_of(model), endpoint)
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(.., endpoint)| endpoint.clone()).collect()
    }

    fn holders(&self, model: &Model, target: &Target) -> Vec<Holder> {
        if !self.settings.relay {
            return Vec::new();
        }
        let mut feeding: BTreeMap<&Endpoint, usize> = BTreeMap::new();
        for sampler in self.samplers.values() {
            if let Some(RunningOrder { fetch_from: LoadSource::Holder(holder), .. }) =
                &sampler.order
            {
                *feeding.entry(holder).or_default() += 1;
            }
        }
        let holding = self
            .samplers
            .iter()
            .filter(|(_, s)| s.is_serving() && s.version_of(model) == target.version);
        holding
            .filter_map(|(endpoint, s)| {
                let source = s.status.source.clone()?;
                let used = feeding.get(endpoint).copied().unwrap_or_default();
                let free = self.settings.feeds.saturating_sub(used);
                let data_centre = s.status.data_centre.clone();
                let holder = Holder { endpoint: endpoint.clone(), data_centre, source, free };
                (free > 0).then_some(holder)
            })
            .collect()
    }

    /// Counts the fetches that the store bears beside those that it serves.
    fn free_fetches(&self, now: Millis) -> usize {
        if !self.settings.protections.store {
            return usize::MAX;
        }
        let fetches = if now < self.store_free_at { 0 } else { self.settings.store_fetches };
        let running = self.samplers.values().filter_map(|sampler| sampler.order.as_ref());
        fetches.saturating_sub(
            running.filter(|running| running.fetch_from == LoadSource::Store).count(),
        )
    }

    /// Tells whether an endpoint may be taken out of service without taking too many of any
    /// model that it serves.
    fn may_swap(&self, endpoint: &Endpoint) -> bool {
        let models = self.samplers[endpoint].versions.keys();
        models.into_iter().all(|model| {
            let room = self.swap_budget(model);
            // The only sampler of a model must be taken out, or it would never be renewed.
            let alone = room.samplers == 1;
            let last = room.serving == 1 && self.samplers[endpoint].is_serving();
            room.swapping < room.allowed && (alone || !last)
        })
    }

    /// Counts a model's samplers. Those that do not work count against the share, but one more
    /// may always be taken, or a few broken ones would keep all others on old weights.
    fn swap_budget(&self, model: &Model) -> SwapBudget {
        let serving_model = self.samplers.values().filter(|s| s.versions.contains_key(model));
        let mut room = SwapBudget { samplers: 0, serving: 0, swapping: 0, allowed: 0 };
        let mut broken = 0;
        for sampler in serving_model {
            room.samplers += 1;
            room.serving += usize::from(sampler.is_serving());
            room.swapping += usize::from(sampler.order.is_some());
            broken += usize::from(sampler.order.is_none() && !sampler.is_serving());
        }
        let share = room.samplers * self.settings.swap_percent as usize / 100;
        room.allowed = share.saturating_sub(broken).max(1);
        room
    }

    fn order_load(
        &mut self,
        endpoint: &Endpoint,
        model: &Model,
        target: &Target,
        (feed, sources): (LoadSource, Vec<String>),
        (epoch, now): (Epoch, Millis),
        actions: &mut Vec<Action>,
    ) {
        self.check_invariants(endpoint, model, target);
        let number = self.next_number();
        let version = target.version;
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        let running = RunningOrder {
            number,
            model: model.clone(),
            version,
            sources,
            fetch_from: feed,
            deadline: now + self.settings.order_ms,
            poll_at: None,
        };
        let order = load_order(epoch, sampler.status.incarnation, &running);
        sampler.order = Some(running);
        tracing::debug!(event = "load_ordered", %endpoint, %model, %version, number);
        actions.push(Action::SendOrder { endpoint: endpoint.clone(), order });
    }

    /// Asserts what must hold of each new order.
    fn check_invariants(&mut self, endpoint: &Endpoint, model: &Model, target: &Target) {
        let sampler = &self.samplers[endpoint];
        let (older, second) =
            (sampler.version_of(model) >= target.version, sampler.order.is_some());
        let room = self.swap_budget(model);
        if older {
            self.report_violation("never_an_older_version", endpoint);
        }
        if second {
            self.report_violation("one_order_at_a_time", endpoint);
        }
        let share = (room.samplers * self.settings.swap_percent as usize / 100).max(1);
        if room.swapping + 1 > share || (room.samplers > 1 && room.swapping + 1 >= room.samplers) {
            self.report_violation("share_out_of_service", endpoint);
        }
    }
}

fn is_loading(sampler: &Sampler, model: &Model, target: &Target) -> bool {
    let running = sampler.order.as_ref();
    running.is_some_and(|r| r.model == *model && r.version == target.version)
}

/// Takes a free holder, one of the same data centre if there is one. The store is not named as a
/// way out, because fetches that nobody counted would break its rate; a failed load is ordered
/// anew instead.
fn take_holder(holders: &mut Vec<Holder>, place: &DataCentre) -> Option<(LoadSource, Vec<String>)> {
    let near = holders.iter().position(|holder| holder.data_centre == *place);
    let index = near.or_else(|| holders.len().checked_sub(1))?;
    let holder = &mut holders[index];
    holder.free -= 1;
    let (feed, source) = (LoadSource::Holder(holder.endpoint.clone()), holder.source.clone());
    if holder.free == 0 {
        holders.swap_remove(index);
    }
    Some((feed, vec![source]))
}
