//! Which engines take new weights, and when.
//!
//! Each engine has every model, each in a version of its own. A change of version takes about a
//! second in which the engine runs nothing of that model, and more engines than a few at once
//! slow each other down. With several trainers, all versions on all engines would be more loads
//! than there is time for, so each model's newest versions go to a share of the engines.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use crate::plan::Seat;

/// The share of a service's engines that may load at once: two of nine. Loads beyond it take
/// longer in proportion, so more at once only takes more engines out of work.
const AT_ONCE: (usize, usize) = (2, 9);
/// Engines that each model gets at least, so that the loss of one does not stop its trainer.
const LEAST: usize = 2;

/// A model's claim to engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// The model.
    pub model: String,
    /// The version that its engines are to have.
    pub version: u64,
    /// How much it asks for, in tokens.
    pub demand: u64,
}

/// An engine that is to take new weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wish {
    /// The engine's incarnation.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
}

/// Divides engines among models by demand: each gets [`LEAST`] where there are enough, the rest
/// goes by tokens. Engines keep their order, so that a change of demand moves few of them.
pub fn divide(engines: &[String], claims: &[Claim]) -> BTreeMap<String, String> {
    let (count, models) = (engines.len(), claims.len());
    if models == 0 {
        return BTreeMap::new();
    }
    let least = LEAST.min(count / models);
    let spare = count - least * models;
    let total: u64 = claims.iter().map(|claim| claim.demand.max(1)).sum();
    let mut owners = BTreeMap::new();
    let (mut next, mut sum) = (0, 0);
    for (place, claim) in claims.iter().enumerate() {
        sum += claim.demand.max(1);
        let share = (spare as u64 * sum + total / 2) / total;
        let end = (least * (place + 1) + share as usize).min(count);
        for engine in &engines[next..end.max(next)] {
            owners.insert(engine.clone(), claim.model.clone());
        }
        next = end.max(next);
    }
    owners
}

/// Chooses the engines that take new weights now: those furthest behind first, then the idlest.
pub fn wishes(seats: &[&Seat], claims: &[Claim], now: Millis) -> Vec<Wish> {
    let mut engines: Vec<String> = seats.iter().map(|seat| seat.endpoint.said.id.clone()).collect();
    engines.sort();
    let owners = divide(&engines, claims);
    let most = (seats.len() * AT_ONCE.0 / AT_ONCE.1).max(1);
    let busy = seats.iter().filter(|seat| seat.loading.is_some()).count();
    let mut behind: Vec<(u64, u32, Wish)> = Vec::new();
    for seat in seats.iter().filter(|seat| seat.loading.is_none() && seat.is_ready(now)) {
        let said = &seat.endpoint.said;
        let Some(claim) = owners
            .get(&said.id)
            .and_then(|model| claims.iter().find(|claim| claim.model == *model))
        else {
            continue;
        };
        let Some(held) = said.models.get(&claim.model) else { continue };
        if *held < claim.version {
            let wish = Wish {
                endpoint: said.id.clone(),
                model: claim.model.clone(),
                version: claim.version,
            };
            let running = seat.running.get(&claim.model).copied().unwrap_or_default();
            behind.push((*held, running, wish));
        }
    }
    behind.sort_by(|a, b| (a.0, a.1, &a.2.endpoint).cmp(&(b.0, b.1, &b.2.endpoint)));
    let room = most.saturating_sub(busy);
    behind.into_iter().take(room).map(|(_, _, wish)| wish).collect()
}
