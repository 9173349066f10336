//! The leader's grants of endpoints to scorers' calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use chicoryford_fleet::Command;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Grant;
use chicoryford_fleet::Step;
use chicoryford_fleet::endpoint;
use chicoryford_fleet::grant::Standing;
use chicoryford_fleet::run::Cost;
use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::run::RunReport;
use rand::seq::SliceRandom;

use crate::clock;
use crate::leader::Leader;
use crate::message::Answer;

impl Leader {
    /// Grants endpoints to the scorers' calls of a new step. The calls are spread evenly over the
    /// endpoints of their services. A sample that was part of an earlier step keeps its endpoints.
    pub(super) fn grant_scorers(&self, step: Arc<Step>) -> Arc<Step> {
        let Some(config) = self.config() else { return step };
        let mut step = Arc::unwrap_or_clone(step);
        let state = self.context.replica.state();
        let mut services: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (number, sample) in step.samples.iter_mut().enumerate() {
            let Some(scorer) = &mut sample.scorer else { continue };
            if let Some(known) = state.costs.get(&sample.id)
                && !known.cost.grant.endpoints.is_empty()
            {
                scorer.endpoints.clone_from(&known.cost.grant.endpoints);
                continue;
            }
            let Some(route) = config.find(&scorer.host, &scorer.path) else { continue };
            let Some(service) = route.service(rand::random()) else { continue };
            let ready =
                services.entry(service.to_owned()).or_insert_with(|| self.ready_of(service));
            let count = ready.len().min(route.attempts.max(1) as usize);
            let chosen = ready.iter().cycle().skip(number * count % ready.len().max(1)).take(count);
            scorer.endpoints = chosen.cloned().collect();
        }
        Arc::new(step)
    }

    /// Returns the ready endpoints of a service that no host found to have ended, in random order.
    fn ready_of(&self, service: &str) -> Vec<String> {
        let (registry, ended) = (self.registry.borrow(), self.found_ended.borrow());
        let ready = registry.all().filter(|endpoint| {
            endpoint.status == EndpointStatus::Ready
                && endpoint.announcement.service == service
                && !ended.contains(&endpoint.announcement.id)
        });
        let mut ready: Vec<String> =
            ready.map(|endpoint| endpoint.announcement.id.clone()).collect();
        ready.shuffle(&mut rand::rng());
        ready
    }

    /// Extends the grant of a sample whose scorer is being called if too few of its endpoints are
    /// usable. The log records the extension before the host receives it.
    pub(super) fn extend_grant(self: &Rc<Self>, step: &str, index: u32) {
        if !self.plan.borrow().is_scoring(step, index) {
            return;
        }
        let Some((sample, mut cost, added)) = self.missing_endpoints(step, index) else { return };
        if !self.extending.borrow_mut().insert(sample.clone()) {
            return;
        }
        let (endpoints, ended) = (&added.endpoints, &added.ended);
        tracing::info!(event = "grant_extended", step, index, sample, ?endpoints, ?ended);
        cost.grant.merge(&added);
        let leader = self.clone();
        actix_rt::spawn(async move {
            leader.commit(Command::Spend(vec![(sample.clone(), cost)])).await;
            leader.extending.borrow_mut().remove(&sample);
        });
    }

    /// Records endpoints that a host found to have ended. Until they are noticed to be silent, they
    /// appear to be ready. Those that are not called any more because the route of the call was changed
    /// are alive.
    pub(super) fn record_ended(&self, report: &RunReport) {
        let config = self.config();
        let plan = self.plan.borrow();
        let known = plan.scorer(&report.step, report.index).zip(config.as_deref());
        let route = known.and_then(|((scorer, _), config)| config.find(&scorer.host, &scorer.path));
        let registry = self.registry.borrow();
        let is_withdrawn = |id: &str| {
            let service = registry.get(id).map(|known| &known.announcement.service);
            let leads_there = service.zip(route).map(|(service, route)| route.leads_to(service));
            let is_known = known.is_some_and(|((_, cost), _)| cost.grant.ended.contains(id));
            is_known && leads_there == Some(false)
        };
        let found = report.cost.grant.ended.iter().filter(|id| !is_withdrawn(id));
        self.found_ended.borrow_mut().extend(found.cloned());
    }

    /// Returns a sample's id, its cost, and what has to be added to its grant.
    fn missing_endpoints(&self, step: &str, index: u32) -> Option<(String, Cost, Grant)> {
        let config = self.config()?;
        let plan = self.plan.borrow();
        let (scorer, cost) = plan.scorer(step, index)?;
        let route = config.find(&scorer.host, &scorer.path)?;
        let grant = Grant::of(scorer, &cost.grant);
        let registry = self.registry.borrow();
        let serves =
            |id: &str| registry.get(id).map(|known| route.leads_to(&known.announcement.service));
        let is_called = |id: &str| cost.scorer.endpoints.contains(id);
        // Endpoints that are not called any more, because the route does not lead to them now or did
        // not when the grant was last extended, may still execute a call that was made before.
        let is_left = |id: &str| {
            !self.is_endpoint_gone(id) && (!grant.allows(id) || serves(id) == Some(false))
        };
        let left = grant.endpoints.iter().filter(|id| is_left(id));
        let (called, uncalled): (Vec<&String>, Vec<&String>) = left.partition(|id| is_called(id));
        let withdrawn = called.into_iter().filter(|id| !grant.allows(id)).count();
        let unreported = plan.unreported_calls(step, index).min(uncalled.len());
        let attempts = (route.attempts.max(1) as usize).saturating_sub(withdrawn + unreported);
        let standing = |id: &str| match registry.get(id).map(|known| known.status) {
            Some(EndpointStatus::Gone | EndpointStatus::Silent) => Standing::Ended,
            Some(_) if serves(id) == Some(false) && !is_called(id) => Standing::Ended,
            Some(EndpointStatus::Ready) if serves(id) == Some(true) => Standing::Usable,
            Some(_) => Standing::Unready,
            None if self.knows_endpoints() => Standing::Ended,
            None => Standing::Unready,
        };
        let services: BTreeSet<&str> = route.services().collect();
        let ready = services.into_iter().flat_map(|service| self.ready_of(service));
        let added = grant.extension(attempts, standing, ready)?;
        Some((plan.sample_id(step, index)?.to_owned(), cost.clone(), added))
    }

    /// Returns whether an endpoint executes nothing any more.
    fn is_endpoint_gone(&self, id: &str) -> bool {
        if self.found_ended.borrow().contains(id) {
            return true;
        }
        match self.registry.borrow().get(id).map(|known| known.status) {
            Some(status) => matches!(status, EndpointStatus::Gone | EndpointStatus::Silent),
            None => self.knows_endpoints(),
        }
    }

    /// Returns whether every active endpoint has announced itself in this term.
    fn knows_endpoints(&self) -> bool {
        clock::now().since(self.began) >= endpoint::Settings::default().silent_ms
    }

    /// Records the cost of a sample in the log, so that the next leader does not run it or call its
    /// scorer too often.
    pub(super) fn record_cost(self: &Rc<Self>, step: &str, index: u32) {
        let cost = self.plan.borrow().limiting_cost(step, index);
        if let Some(cost) = cost {
            self.commit_in_background(Command::Spend(vec![cost]));
        }
    }

    /// Records open runs of samples that are held back because of them. Otherwise the next leader would
    /// not know of these runs if their hosts were lost.
    pub(super) fn record_open_runs(self: &Rc<Self>) {
        if self.recording_runs.get() {
            return;
        }
        let costs = self.plan.borrow().unlogged_costs();
        if costs.is_empty() {
            return;
        }
        tracing::info!(event = "open_runs_recorded", samples = costs.len());
        self.recording_runs.set(true);
        let leader = self.clone();
        actix_rt::spawn(async move {
            leader.commit(Command::Spend(costs)).await;
            leader.recording_runs.set(false);
        });
    }

    /// Records the failures of a scorer's call that its host has reported. The host repeats the call
    /// once it knows that they are recorded.
    pub(super) fn confirm_failures(self: &Rc<Self>, step: &str, index: u32) {
        let found = {
            let plan = self.plan.borrow();
            let failures = plan.scorer(step, index).map(|(_, cost)| cost.scorer.failures);
            failures.zip(plan.sample_id(step, index).map(str::to_owned))
        };
        let Some((failures, sample)) = found.filter(|(failures, _)| *failures > 0) else { return };
        let recorded =
            self.context.replica.state().costs.get(&sample).map(|known| known.cost.scorer.failures);
        if recorded >= Some(failures) {
            self.send_grant(step, index);
        } else {
            self.record_cost(step, index);
        }
    }

    /// Records the endpoints that a run has called if it may call others only then.
    pub(super) fn confirm_calls(self: &Rc<Self>, step: &str, index: u32) {
        let Some((sample, cost)) = self.used_calls(step, index) else { return };
        let is_recorded = {
            let state = self.context.replica.state();
            let known = state.costs.get(&sample).map(|known| &known.cost.scorer.endpoints);
            known.is_some_and(|known| known.is_superset(&cost.scorer.endpoints))
        };
        if is_recorded {
            self.send_recorded(step, index, cost.scorer.endpoints);
            return;
        }
        let (leader, step) = (self.clone(), step.to_owned());
        actix_rt::spawn(async move {
            let endpoints = cost.scorer.endpoints.clone();
            let recorded = leader.commit(Command::Spend(vec![(sample, cost)])).await;
            if matches!(recorded, Answer::Done) {
                leader.send_recorded(&step, index, endpoints);
            }
        });
    }

    /// Returns the id and the cost of a sample whose current run has called as many endpoints as it may
    /// before they are recorded, unless its call executes at all that its route allows.
    fn used_calls(&self, step: &str, index: u32) -> Option<(String, Cost)> {
        let config = self.config()?;
        let plan = self.plan.borrow();
        let (scorer, cost) =
            plan.scorer(step, index).filter(|_| plan.has_used_calls(step, index))?;
        let route = config.find(&scorer.host, &scorer.path)?;
        let live = cost.scorer.endpoints.iter().filter(|id| !self.is_endpoint_gone(id)).count();
        if live >= route.attempts.max(1) as usize {
            return None;
        }
        Some((plan.sample_id(step, index)?.to_owned(), cost.clone()))
    }

    fn send_recorded(&self, step: &str, index: u32, endpoints: BTreeSet<String>) {
        let hosted = self.plan.borrow().host(step, index);
        if let Some((host, run)) = hosted {
            let step = step.to_owned();
            self.hosts.send(&host, HostCommand::Recorded { step, index, run, endpoints });
        }
    }

    /// Passes recorded costs to the plan, and extended grants to the hosts of their runs.
    pub(super) fn on_costs_applied(&self, costs: &[(String, Cost)]) {
        let granted = self.plan.borrow_mut().restore_costs(costs, clock::now());
        for (step, index) in granted {
            self.send_grant(&step, index);
        }
    }

    /// Sends the grant of a sample's call, and the number of its failures, to its host, unless nothing
    /// was added to what the host got with its order.
    pub(super) fn send_grant(&self, step: &str, index: u32) {
        let found = {
            let plan = self.plan.borrow();
            let cost = plan.scorer(step, index).map(|(_, cost)| cost.clone());
            plan.host(step, index).zip(cost)
        };
        let Some(((host, run), cost)) = found else { return };
        if cost.grant == Grant::default() && cost.scorer.failures == 0 {
            return;
        }
        let (step, grant, failures) = (step.to_owned(), cost.grant, cost.scorer.failures);
        self.hosts.send(&host, HostCommand::Grant { step, index, run, grant, failures });
    }
}
