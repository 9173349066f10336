//! Selects the engines that load new weights.
//!
//! Every engine holds every model, each in its own version. A change of version takes about a
//! second, in which the engine runs nothing of that model, and more than a few concurrent loads
//! slow each other down. With several trainers, there is not enough time to load every version on
//! every engine, so the newest versions of each model are loaded only on a share of the engines.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use crate::order_lease::OrderLease;
use crate::plan::EngineState;
use crate::policy::Policy;

/// Share of the engines of a service that may load concurrently: two of nine. Load times grow in
/// proportion beyond it, so more concurrent loads only make more engines unavailable.
const MAX_LOADING_SHARE: (usize, usize) = (2, 9);
/// Minimum number of engines per model, so that the loss of one does not stop its trainer.
const MIN_ENGINES: usize = 2;

/// Share of the engines of a model that load each new version first: one of two. An engine serves
/// the steps of its own version and of the next one, so it needs at least every second version.
const FIRST_SHARE: (usize, usize) = (1, 2);
/// Share of the concurrent loads that the other engines may use. Loading every version on all
/// engines takes about as long as the time between two versions. These loads provide more engines
/// at the start of the next step, but must not delay engines that cannot serve any step.
const SPARE_SHARE: (usize, usize) = (2, 3);

/// A model's demand for engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// The tokens of its open samples.
    pub tokens: u64,
    /// The largest number of samples that it had open at the same time.
    pub peak_samples: usize,
    /// Samples that wait because no engine has a new enough version.
    pub starved: usize,
}

/// A load of new weights on an engine.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WeightLoad {
    /// The engine id.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// Samples per engine when engines are assigned to a model. A concurrent run makes a run half a
/// percent slower, so more than one engine for two samples gains nothing. Each additional engine
/// needs an order and a load for every version, which amounted to 2,900 for 3,000 engines and three
/// trainers in half a minute.
const SAMPLES_PER_ENGINE: usize = 2;

/// Assigns engines to models and returns the model of each assigned engine. Each model gets
/// `MIN_ENGINES` if there are enough; the rest is divided in proportion to the tokens of the
/// models, up to the number needed for their samples. The order of the engines is kept, so that a
/// change of demand reassigns few of them. Engines that no model needs are not assigned.
pub fn assign_engines<'a>(
    engines: &[&'a str],
    demands: &'a [ModelDemand],
) -> BTreeMap<&'a str, &'a str> {
    assign_more_engines(engines, demands, BTreeMap::new())
}

/// Assigns engines of two classes so that each model gets its share of the fast ones. Divided
/// together, a model may get none, and its longest samples then make all of its steps late.
pub fn assign_classes<'a>(
    fast: &[&'a str],
    others: &[&'a str],
    demands: &'a [ModelDemand],
) -> BTreeMap<&'a str, &'a str> {
    let assigned = assign_more_engines(fast, demands, BTreeMap::new());
    assign_more_engines(others, demands, assigned)
}

/// Assigns further engines to models.
fn assign_more_engines<'a>(
    engines: &[&'a str],
    demands: &'a [ModelDemand],
    mut assigned: BTreeMap<&'a str, &'a str>,
) -> BTreeMap<&'a str, &'a str> {
    let (count, models) = (engines.len(), demands.len());
    if models == 0 {
        return assigned;
    }
    let minimum = MIN_ENGINES.min(count / models);
    let spare = count - minimum * models;
    let total: u64 = demands.iter().map(|demand| demand.tokens.max(1)).sum();
    let (mut next, mut tokens) = (0, 0);
    for (index, demand) in demands.iter().enumerate() {
        tokens += demand.tokens.max(1);
        let share = (spare as u64 * tokens + total / 2) / total;
        let end = (minimum * (index + 1) + share as usize).min(count);
        let end = end.max(next);
        let needed_engines = demand.peak_samples.div_ceil(SAMPLES_PER_ENGINE).max(MIN_ENGINES);
        let held = assigned.values().filter(|model| **model == demand.model).count();
        let needed_engines = needed_engines.saturating_sub(held);
        for engine in engines[next..end].iter().take(needed_engines) {
            assigned.insert(*engine, demand.model.as_str());
        }
        next = end;
    }
    assigned
}

/// Selects the engines that load new weights now: first those of models whose samples wait for
/// them, then those with the oldest versions, then the least loaded. Engines for which `is_fast`
/// returns true are divided among the models by themselves. Only engines that can work are divided:
/// the others would take up the share of a model, which then gets no version that it needs.
pub fn select_loads(
    engines: &[&EngineState],
    demands: &[ModelDemand],
    order_lease: &OrderLease,
    policy: Policy,
    is_fast: impl Fn(&EngineState) -> bool,
    now: Millis,
) -> Vec<WeightLoad> {
    let engines: Vec<&EngineState> =
        engines.iter().copied().filter(|engine| engine.is_serving()).collect();
    let sorted_ids = |fast: bool| {
        let of_class = engines.iter().filter(|engine| is_fast(engine) == fast);
        let mut ids: Vec<&str> = of_class.map(|engine| &*engine.endpoint.announcement.id).collect();
        ids.sort_unstable();
        ids
    };
    let assigned = assign_classes(&sorted_ids(true), &sorted_ids(false), demands);
    let max_loading = (engines.len() * MAX_LOADING_SHARE.0 / MAX_LOADING_SHARE.1).max(1);
    let loading = engines.iter().filter(|engine| engine.loading.is_some()).count();
    let mut own_engines: BTreeMap<&str, Vec<&EngineState>> = BTreeMap::new();
    for engine in &engines {
        if let Some(model) = assigned.get(&*engine.endpoint.announcement.id) {
            own_engines.entry(model).or_default().push(engine);
        }
    }
    let mut outdated: Vec<(Urgency, WeightLoad)> = Vec::new();
    for (index, demand) in demands.iter().enumerate() {
        // With fewer engines than models, models share engines: none may stay without one.
        let shared =
            || engines.iter().copied().skip(index % engines.len().max(1)).take(1).collect();
        let own_engines = own_engines.remove(&*demand.model).unwrap_or_else(shared);
        debug_assert!(
            engines.is_empty() || !own_engines.is_empty(),
            "{} has no engine that may load its versions",
            demand.model
        );
        outdated.extend(outdated_engines(&own_engines, demand, order_lease, now));
    }
    if policy.load_order {
        outdated.sort();
    }
    let free_loads = max_loading.saturating_sub(loading);
    let spare =
        if policy.spare_loads { (max_loading * SPARE_SHARE.0).div_ceil(SPARE_SHARE.1) } else { 0 };
    let spare = spare.saturating_sub(loading);
    let ordered = outdated.into_iter().enumerate();
    let is_within_limit =
        |index: usize, urgency: &Urgency| index < if urgency.0 { spare } else { free_loads };
    ordered
        .filter(|(index, (urgency, _))| is_within_limit(*index, urgency))
        .map(|(_, (_, load))| load)
        .collect()
}

/// Priority of a load, lowest first: whether enough engines of the model have the version without
/// it (a spare load), whether the model has no starved samples, the version that the engine holds,
/// and its runs of the model.
type Urgency = (bool, bool, u64, u32);

fn outdated_engines(
    own_engines: &[&EngineState],
    demand: &ModelDemand,
    order_lease: &OrderLease,
    now: Millis,
) -> Vec<(Urgency, WeightLoad)> {
    let held_version =
        |engine: &EngineState| engine.endpoint.announcement.models.get(&demand.model).copied();
    let loading = |engine: &EngineState| engine.loading.as_deref() == Some(&demand.model);
    let up_to_date = own_engines
        .iter()
        .filter(|engine| held_version(engine) >= Some(demand.version) || loading(engine))
        .count();
    let wanted = (own_engines.len() * FIRST_SHARE.0).div_ceil(FIRST_SHARE.1);
    let mut missing = wanted.saturating_sub(up_to_date);
    let mut available: Vec<&&EngineState> = own_engines
        .iter()
        .filter(|engine| engine.loading.is_none() && engine.is_ready(now))
        .filter(|engine| order_lease.may_order(&engine.endpoint.announcement.id, now))
        .filter(|engine| held_version(engine).is_some_and(|version| version < demand.version))
        .collect();
    available.sort_by_key(|engine| {
        (held_version(engine), running(engine, demand), &engine.endpoint.announcement.id)
    });
    let mut outdated = Vec::new();
    for engine in available {
        let version = held_version(engine).unwrap_or_default();
        // An engine two versions behind cannot serve any future step.
        let unusable = version + 1 < demand.version;
        let spare = !unusable && missing == 0;
        missing = missing.saturating_sub(1);
        let urgency = (spare, demand.starved == 0, version, running(engine, demand));
        let load = WeightLoad {
            endpoint: engine.endpoint.announcement.id.clone(),
            model: demand.model.clone(),
            version: demand.version,
        };
        outdated.push((urgency, load));
    }
    outdated
}

fn running(engine: &EngineState, demand: &ModelDemand) -> u32 {
    engine.running.get(&demand.model).copied().unwrap_or_default()
}
