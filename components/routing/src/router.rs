//! The router's state, and how events move it.

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

/// What a router counts, for metrics and state dumps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Choices made.
    pub chosen: u64,
    /// Choices that held the prompt's prefix.
    pub cached: u64,
    /// Choices outside of the subset.
    pub outside: u64,
    /// Questions that no endpoint could serve.
    pub none: u64,
    /// Ejections.
    pub ejected: u64,
    /// Ejections that the cap prevented.
    pub spared: u64,
    /// Reports that came after a newer one.
    pub late: u64,
    /// Promises that were broken; anything but zero is a fault of the program.
    pub broken: u64,
}

/// Chooses endpoints for one entry.
#[derive(Clone, Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) place: Location,
    pub(crate) states: Vec<EndpointState>,
    pub(crate) by_name: HashMap<Endpoint, EndpointId>,
    pub(crate) pools: HashMap<Model, Pool>,
    pub(crate) directory: PrefixDirectory,
    pub(crate) rng: SmallRng,
    pub(crate) counts: Counts,
    free_ids: Vec<EndpointId>,
}

impl Router {
    /// Makes the router of an entry that knows nobody yet.
    pub fn new(settings: Settings, place: Location, seed: u64) -> Self {
        let directory = PrefixDirectory::new(settings.prefixes);
        Self {
            settings,
            place,
            states: Vec::new(),
            by_name: HashMap::new(),
            pools: HashMap::new(),
            directory,
            rng: SmallRng::seed_from_u64(seed),
            counts: Counts::default(),
            free_ids: Vec::new(),
        }
    }

    /// Takes in who is there. Costs time in proportion to the members; call it when they change.
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
            let seat = self.id_of(&info.name);
            let away_ms = self.distance_ms(member);
            let state = &mut self.states[seat.0 as usize];
            state.apply_announcement(now, target_of(member, &info.name), info);
            state.distance_ms = away_ms;
            for model in info.models.keys() {
                models.entry(model).or_default().push(seat);
            }
        }
        self.pools.retain(|model, _| models.contains_key(model));
        for (model, seats) in models {
            self.update_pool(now, model, seats, &entries);
        }
        self.evict_departed(now);
    }

    /// Takes in a load report, from an agent's stream or from the end of an answer.
    pub fn observe_report(&mut self, now: Millis, report: &LoadReport) {
        let Some(&seat) = self.by_name.get(&report.name) else { return };
        let state = &mut self.states[seat.0 as usize];
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
            self.directory.add(*prefix, seat, at);
        }
        for prefix in &report.evicted {
            self.directory.remove(*prefix, seat);
        }
    }

    /// Takes in the version that an endpoint says it uses, as the frames of an answer tell it.
    pub fn observe_version(&mut self, seat: EndpointId, model: &Model, version: Version) {
        if let Some(state) = self.states.get_mut(seat.0 as usize) {
            state.update_version(model, version, true);
        }
    }

    /// Counts an attempt as sent. Each must end by one call of [`Self::finished`].
    pub fn started(&mut self, now: Millis, seat: EndpointId, tokens: u32, prefix: Option<u64>) {
        let Some(state) = self.states.get_mut(seat.0 as usize) else { return };
        state.started(now, tokens);
        for (model, _) in &state.versions {
            if let Some(pool) = self.pools.get_mut(model) {
                pool.own_in_flight += 1;
            }
        }
        if let Some(prefix) = prefix {
            self.directory.add(prefix, seat, now);
        }
    }

    /// Takes in that an attempt produced tokens.
    pub fn progressed(&mut self, _now: Millis, seat: EndpointId, tokens: u32) {
        if let Some(state) = self.states.get_mut(seat.0 as usize) {
            state.tokens_due = state.tokens_due.saturating_sub(u64::from(tokens));
        }
    }

    /// Takes in that an attempt ended after `ms`, having produced `tokens`; `left` of those
    /// given to [`Self::started`] will not come.
    pub fn finished(
        &mut self,
        now: Millis,
        seat: EndpointId,
        ending: AttemptOutcome,
        ms: u64,
        tokens: u32,
        left: u32,
    ) {
        let Some(state) = self.states.get_mut(seat.0 as usize) else { return };
        if state.own_in_flight == 0 {
            self.report_violation("in_flight_not_negative");
            return;
        }
        state.ended(now, left);
        for (model, _) in &state.versions {
            if let Some(pool) = self.pools.get_mut(model) {
                pool.own_in_flight = pool.own_in_flight.saturating_sub(1);
            }
        }
        if ending == AttemptOutcome::Finished {
            self.record_duration(now, seat, ms, tokens);
        }
        self.record_outcome(now, seat, ending);
    }

    /// Tells where an endpoint is reached.
    pub fn target(&self, seat: EndpointId) -> Option<&Target> {
        self.states.get(seat.0 as usize).map(|state| &state.target)
    }

    /// Gives the state of an endpoint, for dumps.
    pub fn state(&self, seat: EndpointId) -> Option<&EndpointState> {
        self.states.get(seat.0 as usize)
    }

    /// Finds an endpoint by name.
    pub fn find(&self, endpoint: &Endpoint) -> Option<EndpointId> {
        self.by_name.get(endpoint).copied()
    }

    /// Gives the agents' addresses in this entry's subsets, which should report to this entry.
    pub fn subset_of(&self, model: &Model) -> &[EndpointId] {
        self.pools.get(model).map_or(&[], |pool| &pool.subset)
    }

    /// Lists the models that somebody serves.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.pools.keys()
    }

    /// Gives the counts.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub(crate) fn report_violation(&mut self, invariant: &'static str) {
        self.counts.broken += 1;
        tracing::error!(event = "promise_broken", component = "routing", promise = invariant);
    }

    fn record_duration(&mut self, now: Millis, seat: EndpointId, ms: u64, tokens: u32) {
        let state = &self.states[seat.0 as usize];
        let pool = state.versions.first().and_then(|(model, _)| self.pools.get_mut(model));
        let empty = Pool::default();
        let load = match &pool {
            Some(pool) => score::load(now, &self.settings, pool, state),
            None => score::load(now, &self.settings, &empty, state),
        };
        let state = &mut self.states[seat.0 as usize];
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
        if let Some(seat) = self.by_name.get(name) {
            return *seat;
        }
        let fresh = EndpointState::unknown();
        let seat = match self.free_ids.pop() {
            Some(seat) => {
                self.states[seat.0 as usize] = fresh;
                seat
            }
            None => {
                self.states.push(fresh);
                EndpointId(self.states.len() as u32 - 1)
            }
        };
        self.by_name.insert(name.clone(), seat);
        seat
    }

    /// Frees the seats of endpoints that left long ago; otherwise replaced VMs would fill memory
    /// over months.
    fn evict_departed(&mut self, now: Millis) {
        let states = &self.states;
        let forget_ms = self.settings.forget_ms;
        let free = &mut self.free_ids;
        self.by_name.retain(|_, seat| {
            let state = &states[seat.0 as usize];
            let keep = state.present
                || state.own_in_flight > 0
                || now.since(state.last_present) < forget_ms;
            if !keep {
                free.push(*seat);
            }
            keep
        });
    }

    fn distance_ms(&self, member: &Member) -> f32 {
        if member.region != self.place.region {
            self.settings.far_ms
        } else if member.data_centre != self.place.data_centre {
            self.settings.away_ms
        } else {
            0.0
        }
    }

    /// Draws the subset of a model anew if its endpoints or the entries changed.
    fn update_pool(
        &mut self,
        now: Millis,
        model: &Model,
        seats: Vec<EndpointId>,
        entries: &[&Member],
    ) {
        let near =
            |seat: &EndpointId| self.states[seat.0 as usize].target.region == self.place.region;
        let regional = seats.iter().filter(|seat| near(seat)).count() >= self.settings.subset;
        let inside: Vec<EndpointId> =
            seats.iter().copied().filter(|seat| !regional || near(seat)).collect();
        let names: Vec<&str> = entries
            .iter()
            .filter(|member| !regional || member.region == self.place.region)
            .map(|member| member.node.as_str())
            .collect();
        let drawn = self.digest(&names, &inside);
        let share = self.settings.subset.min(inside.len()) as f32 / inside.len().max(1) as f32;
        let peers = names.len() as f32 * share;
        let known = self.pools.get(model).is_some_and(|pool| pool.digest == drawn);
        let picked = if known { Vec::new() } else { self.select_subset(&names, &inside) };
        let pool = self.pools.entry(model.clone()).or_default();
        if !known {
            pool.digest = drawn;
            pool.set_subset(picked, &self.states);
            pool.ejected_at_draw = pool.ejected_count(now, &self.states);
        }
        pool.peers = peers.max(1.0);
        pool.outside =
            seats.into_iter().filter(|seat| !pool.contains(*seat, &self.states)).collect();
        pool.recount(&self.states);
    }

    fn select_subset(&self, names: &[&str], inside: &[EndpointId]) -> Vec<EndpointId> {
        let target = |seat: &EndpointId| &self.states[seat.0 as usize].target;
        let sites: Vec<Candidate<'_>> = inside
            .iter()
            .map(target)
            .map(|target| Candidate {
                name: target.endpoint.as_str(),
                data_centre: &target.data_centre,
            })
            .collect();
        let size = self.settings.subset;
        let picked = select_subset(self.place.node.as_str(), names, &sites, size);
        picked.into_iter().map(|n| inside[n]).collect()
    }

    fn digest(&self, names: &[&str], seats: &[EndpointId]) -> u64 {
        let mut sum = names
            .iter()
            .fold(1_u64, |sum, name| sum.wrapping_add(xxh3_64(name.as_bytes()).rotate_left(7)));
        for seat in seats {
            let name = &self.states[seat.0 as usize].target.endpoint;
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
