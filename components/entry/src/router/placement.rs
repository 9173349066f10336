//! Where attempts go: the part of the state that asks routing.

use chicoryford_admission::Straggler;
use chicoryford_routing::Choice;
use chicoryford_routing::NoChoice;
use chicoryford_routing::Seat;
use chicoryford_types::Failure;
use chicoryford_types::Millis;
use chicoryford_types::Model;

use crate::router::query::AttemptEnd;
use crate::router::query::EndpointQuery;
use crate::router::query::LateSample;
use crate::router::query::Pick;
use crate::router::state::PlacedAttempt;
use crate::router::state::RouterState;

/// When a request that found no endpoint may come back, in milliseconds.
const ABSENT_RETRY: u64 = 1_000;
/// Tokens that an answer is expected to have until the model's answers are known. It is low on
/// purpose: a request must not be refused for lack of time on a guess.
const LENGTH: f32 = 16.0;
/// The weight of a new answer in the mean length of a model's answers.
const LEARN: f32 = 0.05;

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    seat: Seat,
    model: Model,
    pick: Pick,
    begun: Millis,
    tokens: u32,
}

impl RouterState {
    /// Chooses the endpoint of an attempt and counts the attempt there.
    ///
    /// # Errors
    ///
    /// The failure to tell, always "not run".
    pub fn choose(&mut self, query: &EndpointQuery, now: Millis) -> Result<PlacedAttempt, Failure> {
        let tokens = self.expected_tokens(query);
        let avoid: Vec<Seat> =
            query.avoid.iter().filter_map(|endpoint| self.routing.find(endpoint)).collect();
        let mut chosen = self.ask_routing(query, tokens, &avoid, now);
        if chosen == Err(NoChoice::Excluded) {
            // An endpoint that failed once is better than none.
            chosen = self.ask_routing(query, tokens, &[], now);
        }
        let choice = chosen.map_err(|none| absent(none, &query.model))?;
        let Some(target) = self.routing.target(choice.seat) else {
            return Err(absent(NoChoice::Unserved, &query.model));
        };
        let pick = Pick {
            endpoint: target.endpoint.clone(),
            agent: target.agent.clone(),
            address: target.address.clone(),
            incarnation: target.incarnation,
        };
        self.routing.started(now, choice.seat, tokens, query.prefix);
        self.capacities.started(&query.model);
        self.last_attempt += 1;
        let (seat, model) = (choice.seat, query.model.clone());
        let running = RunningAttempt { seat, model, pick: pick.clone(), begun: now, tokens };
        self.running.insert(self.last_attempt, running);
        Ok((self.last_attempt, pick))
    }

    fn ask_routing(
        &mut self,
        query: &EndpointQuery,
        tokens: u32,
        exclude: &[Seat],
        now: Millis,
    ) -> Result<Choice, NoChoice> {
        let query = chicoryford_routing::Want {
            model: &query.model,
            class: query.class,
            prefix: query.prefix,
            prompt: query.prompt,
            tokens,
            floor: query.floor,
            exclude,
            suspect: query.suspect,
        };
        self.routing.choose(now, &query)
    }

    pub(super) fn expected_ms(
        &mut self,
        query: &EndpointQuery,
        now: Millis,
    ) -> Result<u64, Failure> {
        let tokens = self.expected_tokens(query);
        let chosen = self.ask_routing(query, tokens, &[], now);
        chosen.map(|choice| choice.expected_ms).map_err(|none| absent(none, &query.model))
    }

    fn expected_tokens(&self, query: &EndpointQuery) -> u32 {
        let mean = self.mean_lengths.get(&query.model).copied().unwrap_or(LENGTH);
        (mean.ceil() as u32).min(query.tokens)
    }

    /// Takes in how an attempt ended and how many tokens it produced.
    pub fn attempt_ended(&mut self, place: u64, end: AttemptEnd, tokens: u32, now: Millis) {
        let Some(running) = self.running.remove(&place) else { return };
        let RunningAttempt { seat, model, pick, begun, tokens: expected } = running;
        let left = expected.saturating_sub(tokens);
        self.capacities.ended(&model);
        self.routing.finished(now, seat, end.ending(), now.since(begun), tokens, left);
        match end {
            AttemptEnd::Ran(load) => {
                if tokens > 0 {
                    let mean = self.mean_lengths.entry(model).or_insert(tokens as f32);
                    *mean += LEARN * (tokens as f32 - *mean);
                }
                if let Some(load) = load {
                    self.record_load(&load, now);
                }
            }
            AttemptEnd::Leaving => {
                self.overlay.refused(pick.endpoint, pick.incarnation, now);
                self.update_routing(now);
            }
            AttemptEnd::Failed | AttemptEnd::Silent | AttemptEnd::Dropped => {}
        }
    }

    /// Decides whether a late sample is given a second maker, and counts that one.
    ///
    /// What it has still to produce is estimated from the mean length of the model's answers;
    /// one that is past the mean is expected to be a quarter longer than it is. The second maker
    /// has to produce all of it anew, so a sample that is merely long is not hedged.
    pub fn try_hedge(&mut self, late: &LateSample, now: Millis) -> bool {
        let mean = self.expected_tokens(&late.query);
        let rest = mean.saturating_sub(late.tokens).max(late.tokens / 4).max(1);
        let again = EndpointQuery { tokens: late.tokens + rest, ..late.query.clone() };
        let avoid: Vec<Seat> =
            late.query.avoid.iter().filter_map(|endpoint| self.routing.find(endpoint)).collect();
        let Ok(choice) = self.ask_routing(&again, late.tokens + rest, &avoid, now) else {
            return false;
        };
        let token_ms = late.ran_ms / u64::from(late.tokens.max(1));
        let straggler = Straggler {
            group: late.group,
            left: late.left,
            ran_ms: late.ran_ms,
            expected_ms: choice.expected_ms,
            again_ms: choice.expected_ms,
            rest_ms: token_ms * u64::from(rest),
            room: self.capacities.get(&self.routing, &late.query.model, now),
        };
        let allowed = self.admission.may_hedge(&straggler);
        if allowed {
            self.admission.hedged();
        }
        allowed
    }

    /// Lists the agents that should report to this entry.
    pub fn subset(&self) -> Vec<Pick> {
        let mut picks: Vec<Pick> = Vec::new();
        for model in self.routing.models() {
            for seat in self.routing.subset_of(model) {
                let Some(target) = self.routing.target(*seat) else { continue };
                let pick = Pick {
                    endpoint: target.endpoint.clone(),
                    agent: target.agent.clone(),
                    address: target.address.clone(),
                    incarnation: target.incarnation,
                };
                if !picks.iter().any(|known| known.endpoint == pick.endpoint) {
                    picks.push(pick);
                }
            }
        }
        picks
    }
}

fn absent(none: NoChoice, model: &Model) -> Failure {
    Failure::not_run(none.code(), format!("{model}: {none}")).retry_after(ABSENT_RETRY)
}
