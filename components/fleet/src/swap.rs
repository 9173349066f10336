//! Which engines take new weights, and when.
//!
//! Each engine has every model, each in a version of its own. A change of version takes about a
//! second in which the engine runs nothing of that model, and more engines than a few at once
//! slow each other down. With several trainers, all versions on all engines would be more loads
//! than there is time for, so each model's newest versions go to a share of the engines.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use crate::order_lease::OrderLease;
use crate::plan::EngineState;
use crate::policy::Policy;

/// The share of a service's engines that may load at once: two of nine. Loads beyond it take
/// longer in proportion, so more at once only takes more engines out of work.
const AT_ONCE: (usize, usize) = (2, 9);
/// Engines that each model gets at least, so that the loss of one does not stop its trainer.
const LEAST: usize = 2;

/// The share of a model's engines that take each new version first: one of two. An engine serves
/// the steps of its own version and of the next, so each needs every second version at least.
const EACH: (usize, usize) = (1, 2);
/// The share of the loads at once that the other engines may take. All versions on all engines
/// take about as much time as there is between two versions; they make room at the beginning of
/// the next step, but must not hold up engines that can serve no step at all.
const SPARE: (usize, usize) = (2, 3);

/// A model's claim to engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: String,
    /// The version that its engines are to have.
    pub version: u64,
    /// How much it asks for, in tokens.
    pub tokens: u64,
    /// The most samples that it had open at once.
    pub peak_samples: usize,
    /// Samples that wait because no engine is new enough.
    pub starved: usize,
}

/// An engine that is to take new weights.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WeightLoad {
    /// The engine's incarnation.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// Samples for which a model is given one engine. A run beside another takes half a percent longer, so
/// more engines than one for two samples make nothing faster, and each takes an order and a load for
/// every version: 2,900 of them for 3,000 engines and three trainers in half a minute.
const EACH_SERVES: usize = 2;

/// Divides engines among models by demand: each gets [`LEAST`] where there are enough, the rest
/// goes by tokens, up to what a model has samples for. Engines keep their order, so that a change of
/// demand moves few of them; those that nobody needs have no owner.
pub fn assign_engines<'a>(
    engines: &[&'a str],
    claims: &'a [ModelDemand],
) -> BTreeMap<&'a str, &'a str> {
    let (count, models) = (engines.len(), claims.len());
    if models == 0 {
        return BTreeMap::new();
    }
    let least = LEAST.min(count / models);
    let spare = count - least * models;
    let total: u64 = claims.iter().map(|claim| claim.tokens.max(1)).sum();
    let mut owners = BTreeMap::new();
    let (mut next, mut sum) = (0, 0);
    for (place, claim) in claims.iter().enumerate() {
        sum += claim.tokens.max(1);
        let share = (spare as u64 * sum + total / 2) / total;
        let end = (least * (place + 1) + share as usize).min(count);
        let end = end.max(next);
        let needed = claim.peak_samples.div_ceil(EACH_SERVES).max(LEAST);
        for engine in engines[next..end].iter().take(needed) {
            owners.insert(*engine, claim.model.as_str());
        }
        next = end;
    }
    owners
}

/// Chooses the engines that take new weights now: first for models whose samples wait for them,
/// then those furthest behind, then the idlest.
pub fn select_loads(
    seats: &[&EngineState],
    claims: &[ModelDemand],
    turn: &OrderLease,
    policy: Policy,
    now: Millis,
) -> Vec<WeightLoad> {
    let mut engines: Vec<&str> = seats.iter().map(|seat| &*seat.endpoint.announcement.id).collect();
    engines.sort_unstable();
    let owners = assign_engines(&engines, claims);
    let most = (seats.len() * AT_ONCE.0 / AT_ONCE.1).max(1);
    let busy = seats.iter().filter(|seat| seat.loading.is_some()).count();
    let mut behind: Vec<(Urgency, WeightLoad)> = Vec::new();
    for claim in claims {
        let own = |seat: &&&EngineState| {
            owners.get(&*seat.endpoint.announcement.id) == Some(&&*claim.model)
        };
        let own: Vec<&EngineState> = seats.iter().filter(own).copied().collect();
        behind.extend(behind_of(&own, claim, turn, now));
    }
    if policy.load_order {
        behind.sort();
    }
    let room = most.saturating_sub(busy);
    let spare = if policy.spare_loads { (most * SPARE.0).div_ceil(SPARE.1) } else { 0 };
    let spare = spare.saturating_sub(busy);
    let chosen = behind.into_iter().enumerate();
    let fits = |place: usize, urgency: &Urgency| place < if urgency.0 { spare } else { room };
    chosen
        .filter(|(place, (urgency, _))| fits(*place, urgency))
        .map(|(_, (_, wish))| wish)
        .collect()
}

/// What goes first: engines that are needed, then models with starved samples, then the version
/// held, then the runs there.
type Urgency = (bool, bool, u64, u32);

fn behind_of(
    own: &[&EngineState],
    claim: &ModelDemand,
    turn: &OrderLease,
    now: Millis,
) -> Vec<(Urgency, WeightLoad)> {
    let held = |seat: &EngineState| seat.endpoint.announcement.models.get(&claim.model).copied();
    let loading = |seat: &EngineState| seat.loading.as_deref() == Some(&claim.model);
    let new = own.iter().filter(|seat| held(seat) >= Some(claim.version) || loading(seat)).count();
    let enough = (own.len() * EACH.0).div_ceil(EACH.1);
    let mut left = enough.saturating_sub(new);
    let mut able: Vec<&&EngineState> = own
        .iter()
        .filter(|seat| seat.loading.is_none() && seat.is_ready(now))
        .filter(|seat| turn.may_order(&seat.endpoint.announcement.id, now))
        .filter(|seat| held(seat).is_some_and(|held| held < claim.version))
        .collect();
    able.sort_by_key(|seat| (held(seat), running(seat, claim), &seat.endpoint.announcement.id));
    let mut behind = Vec::new();
    for seat in able {
        let version = held(seat).unwrap_or_default();
        // Two versions behind, an engine can serve no step that is still to come.
        let useless = version + 1 < claim.version;
        let spare = !useless && left == 0;
        left = left.saturating_sub(1);
        let urgency = (spare, claim.starved == 0, version, running(seat, claim));
        let wish = WeightLoad {
            endpoint: seat.endpoint.announcement.id.clone(),
            model: claim.model.clone(),
            version: claim.version,
        };
        behind.push((urgency, wish));
    }
    behind
}

fn running(seat: &EngineState, claim: &ModelDemand) -> u32 {
    seat.running.get(&claim.model).copied().unwrap_or_default()
}
