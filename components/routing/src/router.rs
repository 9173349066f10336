//! The router's state, and its updates from events.

use std::collections::BTreeMap;
use std::collections::HashMap;

use chicoryford_types::Endpoint;
use chicoryford_types::LoadReport;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Millis;
use chicoryford_types::Model;
use chicoryford_types::Version;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::cache::PrefixDirectory;
use crate::endpoint::AttemptOutcome;
use crate::endpoint::EndpointId;
use crate::endpoint::EndpointState;
use crate::endpoint::Target;
use crate::endpoint::update_mean;
use crate::pool::Pool;
use crate::score;
use crate::settings::Location;
use crate::settings::Settings;
use crate::subset::Candidate;
use crate::subset::select_subset;

/// Counters for metrics and state dumps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Endpoints chosen.
    pub chosen: u64,
    /// Choices of an endpoint that has the prompt's prefix in its cache.
    pub cached: u64,
    /// Choices outside the subset.
    pub outside: u64,
    /// Requests for which no endpoint was chosen.
    pub none: u64,
    /// Ejections.
    pub ejected: u64,
    /// Ejections prevented by the cap.
    pub spared: u64,
    /// Reports dropped because a newer one was applied before.
    pub late: u64,
    /// Violated invariants; any value but zero is a bug.
    pub broken: u64,
}

/// Chooses endpoints for one entry.
#[derive(Clone, Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) location: Location,
    pub(crate) states: Vec<EndpointState>,
    pub(crate) by_name: HashMap<Endpoint, EndpointId>,
    pub(crate) pools: HashMap<Model, Pool>,
    pub(crate) directory: PrefixDirectory,
    pub(crate) rng: SmallRng,
    pub(crate) counts: Counts,
    free_ids: Vec<EndpointId>,
}

impl Router {
    /// Returns the router of an entry that has not observed any members yet.
    pub fn new(settings: Settings, location: Location, seed: u64) -> Self {
        let directory = PrefixDirectory::new(settings.prefixes);
        Self {
            settings,
            location,
            states: Vec::new(),
            by_name: HashMap::new(),
            pools: HashMap::new(),
            directory,
            rng: SmallRng::seed_from_u64(seed),
            counts: Counts::default(),
            free_ids: Vec::new(),
        }
    }

    /// Updates the members. The cost is proportional to their number, so it should be called only
    /// when they change.
    pub fn observe_members(&mut self, now: Millis, members: &Members) {
        for state in &mut self.states {
            state.was_present = state.present;
            state.present = false;
        }
        let mut entries: Vec<&Member> = Vec::new();
        let mut models: BTreeMap<&Model, Vec<EndpointId>> = BTreeMap::new();
        for member in members.present() {
            if member.roles.entry {
                entries.push(member);
            }
            let Some(info) = &member.endpoint else { continue };
            let id = self.id_of(&info.name);
            let distance_ms = self.distance_ms(member);
            let state = &mut self.states[id.0 as usize];
            state.apply_announcement(now, target_of(member, &info.name), info);
            state.distance_ms = distance_ms;
            for model in info.models.keys() {
                models.entry(model).or_default().push(id);
            }
        }
        self.pools.retain(|model, _| models.contains_key(model));
        for (model, ids) in models {
            self.update_pool(now, model, ids, &entries);
        }
        self.evict_departed(now);
    }

    /// Applies a load report from an agent's stream or from the end of an answer.
    pub fn observe_report(&mut self, now: Millis, report: &LoadReport) {
        let Some(&id) = self.by_name.get(&report.name) else { return };
        let state = &mut self.states[id.0 as usize];
        if !state.apply_report(now, report) {
            self.counts.late += 1;
            return;
        }
        let share = state.others_reported / state.slots.max(1) as f32;
        for (model, _) in &state.versions {
            if let Some(pool) = self.pools.get_mut(model) {
                pool.record_load(share);
            }
        }
        let at = Millis(now.0.saturating_sub(report.age_ms));
        for prefix in &report.cached {
            self.directory.add(*prefix, id, at);
        }
        for prefix in &report.evicted {
            self.directory.remove(*prefix, id);
        }
    }

    /// Applies the version that an endpoint names in the frames of an answer.
    pub fn observe_version(&mut self, id: EndpointId, model: &Model, version: Version) {
        if let Some(state) = self.states.get_mut(id.0 as usize) {
            state.update_version(model, version, true);
        }
    }

    /// Counts an attempt as sent. Each one must be ended by one call of [`Self::finished`].
    pub fn started(&mut self, now: Millis, id: EndpointId, tokens: u32, prefix: Option<u64>) {
        let Some(state) = self.states.get_mut(id.0 as usize) else { return };
        state.started(now, tokens);
        for (model, _) in &state.versions {
            if let Some(pool) = self.pools.get_mut(model) {
                pool.own_in_flight += 1;
            }
        }
        if let Some(prefix) = prefix {
            self.directory.add(prefix, id, now);
        }
    }

    /// Records that an attempt generated tokens.
    pub fn progressed(&mut self, _now: Millis, id: EndpointId, tokens: u32) {
        if let Some(state) = self.states.get_mut(id.0 as usize) {
            state.tokens_due = state.tokens_due.saturating_sub(u64::from(tokens));
        }
    }

    /// Records the end of an attempt that took `ms` and generated `tokens`. `unused_tokens` of the
    /// tokens passed to [`Self::started`] will not be generated.
    pub fn finished(
        &mut self,
        now: Millis,
        id: EndpointId,
        outcome: AttemptOutcome,
        ms: u64,
        tokens: u32,
        unused_tokens: u32,
    ) {
        let Some(state) = self.states.get_mut(id.0 as usize) else { return };
        if state.own_in_flight == 0 {
            self.report_violation("in_flight_not_negative");
            return;
        }
        state.ended(now, unused_tokens);
        for (model, _) in &state.versions {
            if let Some(pool) = self.pools.get_mut(model) {
                pool.own_in_flight = pool.own_in_flight.saturating_sub(1);
            }
        }
        if outcome == AttemptOutcome::Finished {
            self.record_duration(now, id, ms, tokens);
        }
        self.record_outcome(now, id, outcome);
    }

    /// Returns the address and location of an endpoint.
    pub fn target(&self, id: EndpointId) -> Option<&Target> {
        self.states.get(id.0 as usize).map(|state| &state.target)
    }

    /// Returns the state of an endpoint, for dumps.
    pub fn state(&self, id: EndpointId) -> Option<&EndpointState> {
        self.states.get(id.0 as usize)
    }

    /// Finds an endpoint by name.
    pub fn find(&self, endpoint: &Endpoint) -> Option<EndpointId> {
        self.by_name.get(endpoint).copied()
    }

    /// Returns the endpoints of a model in this entry's subset. Their agents send load reports to
    /// this entry.
    pub fn subset_of(&self, model: &Model) -> &[EndpointId] {
        self.pools.get(model).map_or(&[], |pool| &pool.subset)
    }

    /// Lists the models that are served.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.pools.keys()
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub(crate) fn report_violation(&mut self, invariant: &'static str) {
        self.counts.broken += 1;
        tracing::error!(event = "promise_broken", component = "routing", promise = invariant);
    }

    fn record_duration(&mut self, now: Millis, id: EndpointId, ms: u64, tokens: u32) {
        let state = &self.states[id.0 as usize];
        let pool = state.versions.first().and_then(|(model, _)| self.pools.get_mut(model));
        let empty = Pool::default();
        let load = match &pool {
            Some(pool) => score::load(now, &self.settings, pool, state),
            None => score::load(now, &self.settings, &empty, state),
        };
        let state = &mut self.states[id.0 as usize];
        state.record_duration(&self.settings, ms, tokens, load);
        if tokens > 0 {
            state.limit.record(ms as f32 / tokens as f32);
        }
        if let Some(pool) = pool {
            update_mean(&mut pool.service_ms, state.service_ms);
            update_mean(&mut pool.token_ms, state.token_ms);
        }
    }

    fn id_of(&mut self, name: &Endpoint) -> EndpointId {
        if let Some(id) = self.by_name.get(name) {
            return *id;
        }
        let state = EndpointState::unknown();
        let id = match self.free_ids.pop() {
            Some(id) => {
                self.states[id.0 as usize] = state;
                id
            }
            None => {
                self.states.push(state);
                EndpointId(self.states.len() as u32 - 1)
            }
        };
        self.by_name.insert(name.clone(), id);
        id
    }

    /// Frees the ids of endpoints that departed long ago. Otherwise replaced VMs would exhaust
    /// memory over months.
    fn evict_departed(&mut self, now: Millis) {
        let states = &self.states;
        let forget_ms = self.settings.forget_ms;
        let free_ids = &mut self.free_ids;
        self.by_name.retain(|_, id| {
            let state = &states[id.0 as usize];
            let is_kept = state.present
                || state.own_in_flight > 0
                || now.since(state.last_present) < forget_ms;
            if !is_kept {
                free_ids.push(*id);
            }
            is_kept
        });
    }

    fn distance_ms(&self, member: &Member) -> f32 {
        if member.region != self.location.region {
            self.settings.far_ms
        } else if member.data_centre != self.location.data_centre {
            self.settings.away_ms
        } else {
            0.0
        }
    }

    /// Draws the subset of a model again if its endpoints or the entries changed.
    fn update_pool(
        &mut self,
        now: Millis,
        model: &Model,
        ids: Vec<EndpointId>,
        entries: &[&Member],
    ) {
        let is_local =
            |id: &EndpointId| self.states[id.0 as usize].target.region == self.location.region;
        let regional = ids.iter().filter(|id| is_local(id)).count() >= self.settings.subset;
        let candidates: Vec<EndpointId> =
            ids.iter().copied().filter(|id| !regional || is_local(id)).collect();
        let names: Vec<&str> = entries
            .iter()
            .filter(|member| !regional || member.region == self.location.region)
            .map(|member| member.node.as_str())
            .collect();
        let digest = self.digest(&names, &candidates);
        let share =
            self.settings.subset.min(candidates.len()) as f32 / candidates.len().max(1) as f32;
        let peers = names.len() as f32 * share;
        let unchanged = self.pools.get(model).is_some_and(|pool| pool.digest == digest);
        let subset = if unchanged { Vec::new() } else { self.select_subset(&names, &candidates) };
        let pool = self.pools.entry(model.clone()).or_default();
        if !unchanged {
            pool.digest = digest;
            pool.set_subset(subset, &self.states);
            pool.ejected_at_draw = pool.ejected_count(now, &self.states);
        }
        pool.peers = peers.max(1.0);
        pool.outside = ids.into_iter().filter(|id| !pool.contains(*id, &self.states)).collect();
        pool.recount(&self.states);
    }

    fn select_subset(&self, names: &[&str], candidates: &[EndpointId]) -> Vec<EndpointId> {
        let target = |id: &EndpointId| &self.states[id.0 as usize].target;
        let named: Vec<Candidate<'_>> = candidates
            .iter()
            .map(target)
            .map(|target| Candidate {
                name: target.endpoint.as_str(),
                data_centre: &target.data_centre,
            })
            .collect();
        let size = self.settings.subset;
        let subset = select_subset(self.location.node.as_str(), names, &named, size);
        subset.into_iter().map(|index| candidates[index]).collect()
    }

    fn digest(&self, names: &[&str], ids: &[EndpointId]) -> u64 {
        let mut sum = names
            .iter()
            .fold(1_u64, |sum, name| sum.wrapping_add(xxh3_64(name.as_bytes()).rotate_left(7)));
        for id in ids {
            let name = &self.states[id.0 as usize].target.endpoint;
            sum = sum.wrapping_add(xxh3_64(name.as_str().as_bytes()));
        }
        sum
    }
}

fn target_of(member: &Member, endpoint: &Endpoint) -> Target {
    Target {
        endpoint: endpoint.clone(),
        agent: member.node.clone(),
        incarnation: member.incarnation,
        address: member.address.clone(),
        region: member.region.clone(),
        data_centre: member.data_centre.clone(),
    }
}
