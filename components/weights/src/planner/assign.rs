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

/// A source of one version that can serve further endpoints.
struct Holder {
    endpoint: Endpoint,
    data_centre: DataCentre,
    source: String,
    free_places: usize,
}

/// How many of a model's samplers may be out of service.
struct SwapBudget {
    samplers: usize,
    serving: usize,
    swapping: usize,
    allowed: usize,
}

impl Planner {
    /// Sends new orders, for the earliest published version first.
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
        let mut budget = self.swap_budget(model);
        let is_bounded = self.settings.protections.share;
        if budget.swapping >= budget.allowed && is_bounded {
            return;
        }
        let waiting = self.waiting(model, &target, now);
        if waiting.is_empty() {
            return;
        }
        let mut holders = self.holders(model, &target);
        let mut store_fetches = self.free_fetches(now);
        for endpoint in waiting {
            // The model's own budget is counted once and checked first: checking every waiting
            // endpoint against all samplers would take quadratic time.
            if budget.swapping >= budget.allowed && is_bounded {
                return;
            }
            if is_bounded && !self.may_swap(&endpoint) {
                continue;
            }
            budget.swapping += 1;
            let data_centre = self.samplers[&endpoint].status.data_centre.clone();
            let (fetch_from, sources) = match take_holder(&mut holders, &data_centre) {
                Some(holder) => holder,
                None if store_fetches > 0 => {
                    store_fetches -= 1;
                    (LoadSource::Store, vec![target.source.clone()])
                }
                None => return,
            };
            self.order_load(
                &endpoint,
                model,
                &target,
                (fetch_from, sources),
                (epoch, now),
                actions,
            );
        }
    }

    /// Lists the endpoints that may be ordered to load the version: those with the fewest failures
    /// first, then those in data centres where no endpoint has or loads it yet, then those with the
    /// oldest version.
    fn waiting(&self, model: &Model, target: &Target, now: Millis) -> Vec<Endpoint> {
        let reached_centres: BTreeSet<&DataCentre> = self
            .samplers
            .values()
            .filter(|sampler| {
                sampler.version_of(model) >= target.version || is_loading(sampler, model, target)
            })
            .map(|sampler| &sampler.status.data_centre)
            .collect();
        let protections = self.settings.protections;
        let outdated = self.samplers.iter().filter(|(_, sampler)| {
            sampler.versions.contains_key(model)
                && sampler.status.ready
                && (sampler.order.is_none() || !protections.single)
                && (sampler.version_of(model) < target.version || !protections.newer)
                && now >= sampler.retry_at
                && !is_given_up(sampler, model, target)
        });
        let mut first_in_centre: BTreeSet<&DataCentre> = BTreeSet::new();
        let mut ranked: Vec<_> = outdated
            .map(|(endpoint, sampler)| {
                let data_centre = &sampler.status.data_centre;
                let is_first_there =
                    !reached_centres.contains(data_centre) && first_in_centre.insert(data_centre);
                (sampler.failures, !is_first_there, sampler.version_of(model), endpoint)
            })
            .collect();
        ranked.sort();
        ranked.into_iter().map(|(.., endpoint)| endpoint.clone()).collect()
    }

    fn holders(&self, model: &Model, target: &Target) -> Vec<Holder> {
        if !self.settings.relay {
            return Vec::new();
        }
        let mut fetches_by_holder: BTreeMap<&Endpoint, usize> = BTreeMap::new();
        for sampler in self.samplers.values() {
            if let Some(RunningOrder { fetch_from: LoadSource::Holder(holder), .. }) =
                &sampler.order
            {
                *fetches_by_holder.entry(holder).or_default() += 1;
            }
        }
        let holding = self.samplers.iter().filter(|(_, sampler)| {
            sampler.is_serving() && sampler.version_of(model) == target.version
        });
        holding
            .filter_map(|(endpoint, sampler)| {
                let source = sampler.status.source.clone()?;
                let used = fetches_by_holder.get(endpoint).copied().unwrap_or_default();
                let free_places = self.settings.feeds.saturating_sub(used);
                let data_centre = sampler.status.data_centre.clone();
                let holder =
                    Holder { endpoint: endpoint.clone(), data_centre, source, free_places };
                (free_places > 0).then_some(holder)
            })
            .collect()
    }

    /// Returns how many more fetches the store can serve.
    fn free_fetches(&self, now: Millis) -> usize {
        if !self.settings.protections.store {
            return usize::MAX;
        }
        let fetches = if now < self.store_free_at { 0 } else { self.settings.store_fetches };
        let orders = self.samplers.values().filter_map(|sampler| sampler.order.as_ref());
        fetches.saturating_sub(orders.filter(|order| order.fetch_from == LoadSource::Store).count())
    }

    /// Returns whether an endpoint may be taken out of service without exceeding the budget of any
    /// model that it serves.
    fn may_swap(&self, endpoint: &Endpoint) -> bool {
        let models = self.samplers[endpoint].versions.keys();
        models.into_iter().all(|model| {
            let budget = self.swap_budget(model);
            // The only sampler of a model must be taken out, or it would never be updated.
            let is_only = budget.samplers == 1;
            let is_last_serving = budget.serving == 1 && self.samplers[endpoint].is_serving();
            budget.swapping < budget.allowed && (is_only || !is_last_serving)
        })
    }

    /// Counts a model's samplers and computes its budget. Broken samplers count against the share,
    /// but one more sampler may always be taken out, because otherwise a few broken ones would keep
    /// all others on old weights.
    fn swap_budget(&self, model: &Model) -> SwapBudget {
        let serving_model =
            self.samplers.values().filter(|sampler| sampler.versions.contains_key(model));
        let mut budget = SwapBudget { samplers: 0, serving: 0, swapping: 0, allowed: 0 };
        let mut broken = 0;
        for sampler in serving_model {
            budget.samplers += 1;
            budget.serving += usize::from(sampler.is_serving());
            budget.swapping += usize::from(sampler.order.is_some());
            broken += usize::from(sampler.order.is_none() && !sampler.is_serving());
        }
        let share = budget.samplers * self.settings.swap_percent as usize / 100;
        budget.allowed = share.saturating_sub(broken).max(1);
        budget
    }

    fn order_load(
        &mut self,
        endpoint: &Endpoint,
        model: &Model,
        target: &Target,
        (fetch_from, sources): (LoadSource, Vec<String>),
        (epoch, now): (Epoch, Millis),
        actions: &mut Vec<Action>,
    ) {
        self.check_invariants(endpoint, model, target);
        let number = self.next_number();
        let version = target.version;
        let Some(sampler) = self.samplers.get_mut(endpoint) else { return };
        let running_order = RunningOrder {
            number,
            model: model.clone(),
            version,
            sources,
            fetch_from,
            deadline: now + self.settings.order_ms,
            poll_at: None,
        };
        let order = load_order(epoch, sampler.status.incarnation, &running_order);
        sampler.order = Some(running_order);
        tracing::debug!(event = "load_ordered", %endpoint, %model, %version, number);
        actions.push(Action::SendOrder { endpoint: endpoint.clone(), order });
    }

    /// Checks the invariants of a new order.
    fn check_invariants(&mut self, endpoint: &Endpoint, model: &Model, target: &Target) {
        let sampler = &self.samplers[endpoint];
        let (is_not_newer, has_order) =
            (sampler.version_of(model) >= target.version, sampler.order.is_some());
        let budget = self.swap_budget(model);
        if is_not_newer {
            self.report_violation("never_an_older_version", endpoint);
        }
        if has_order {
            self.report_violation("one_order_at_a_time", endpoint);
        }
        let share = (budget.samplers * self.settings.swap_percent as usize / 100).max(1);
        if budget.swapping + 1 > share
            || (budget.samplers > 1 && budget.swapping + 1 >= budget.samplers)
        {
            self.report_violation("share_out_of_service", endpoint);
        }
    }
}

fn is_loading(sampler: &Sampler, model: &Model, target: &Target) -> bool {
    let order = sampler.order.as_ref();
    order.is_some_and(|order| order.model == *model && order.version == target.version)
}

/// Takes a holder with a free place, in the same data centre if there is one. The store is not
/// added as a fallback, because uncounted fetches would exceed its rate limit; a failed load is
/// ordered again instead.
fn take_holder(
    holders: &mut Vec<Holder>,
    data_centre: &DataCentre,
) -> Option<(LoadSource, Vec<String>)> {
    let same_centre = holders.iter().position(|holder| holder.data_centre == *data_centre);
    let index = same_centre.or_else(|| holders.len().checked_sub(1))?;
    let holder = &mut holders[index];
    holder.free_places -= 1;
    let (fetch_from, source) = (LoadSource::Holder(holder.endpoint.clone()), holder.source.clone());
    if holder.free_places == 0 {
        holders.swap_remove(index);
    }
    Some((fetch_from, vec![source]))
}
