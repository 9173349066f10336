//! Placement of attempts and hedging: the part of the router state that queries routing.

use chicoryford_admission::Straggler;
use chicoryford_routing::Choice;
use chicoryford_routing::EndpointId;
use chicoryford_routing::NoEndpoint;
use chicoryford_types::Failure;
use chicoryford_types::Millis;
use chicoryford_types::Model;

use crate::router::query::AttemptEnd;
use crate::router::query::EndpointQuery;
use crate::router::query::LateSample;
use crate::router::query::Pick;
use crate::router::query::Reuse;
use crate::router::state::PlacedAttempt;
use crate::router::state::RouterState;

/// Retry delay in milliseconds for a request that was refused for lack of an endpoint.
const NO_ENDPOINT_RETRY_MS: u64 = 1_000;
/// Expected answer length in tokens until the answers of a model are known. It is deliberately low,
/// because a guess must not lead to a refusal for lack of time.
const DEFAULT_LENGTH: f32 = 16.0;
/// Weight of a new answer in the exponentially weighted mean length of a model's answers.
const SMOOTHING: f32 = 0.05;

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    seat: EndpointId,
    model: Model,
    pick: Pick,
    started: Millis,
    /// For how long the process had been stalled when the attempt started.
    stalled_ms: u64,
    tokens: u32,
}

impl RouterState {
    /// Chooses the endpoint of an attempt and counts the attempt there.
    ///
    /// # Errors
    ///
    /// Returns the refusal, whose outcome is always "not run".
    pub fn choose(&mut self, query: &EndpointQuery, now: Millis) -> Result<PlacedAttempt, Failure> {
        let tokens = self.expected_tokens(query);
        let avoid: Vec<EndpointId> =
            query.avoid.iter().filter_map(|endpoint| self.routing.find(endpoint)).collect();
        let mut chosen = self.query_routing(query, tokens, &avoid, now);
        // An endpoint where an attempt failed is better than none, but not one whose agent is still
        // silent: the attempts of a request are few, and each there costs seconds.
        if chosen == Err(NoEndpoint::Excluded) && query.reuse != Reuse::Never {
            let silent = self.silent_endpoints(query);
            chosen = self.query_routing(query, tokens, &silent, now);
        }
        if chosen == Err(NoEndpoint::Excluded) && query.reuse == Reuse::Any {
            chosen = self.query_routing(query, tokens, &[], now);
        }
        let choice = chosen.map_err(|none| no_endpoint(none, &query.model))?;
        let Some(target) = self.routing.target(choice.endpoint) else {
            return Err(no_endpoint(NoEndpoint::Unserved, &query.model));
        };
        let pick = Pick {
            endpoint: target.endpoint.clone(),
            agent: target.agent.clone(),
            address: target.address.clone(),
            incarnation: target.incarnation,
        };
        self.routing.started(now, choice.endpoint, tokens, query.prefix);
        self.capacities.started(&query.model);
        self.last_attempt += 1;
        let (seat, model) = (choice.endpoint, query.model.clone());
        let running = RunningAttempt {
            seat,
            model,
            pick: pick.clone(),
            started: now,
            stalled_ms: self.stalled_ms,
            tokens,
        };
        self.running.insert(self.last_attempt, running);
        Ok((self.last_attempt, pick))
    }

    /// Returns the silent endpoints of a request whose agents have sent nothing since then.
    fn silent_endpoints(&self, query: &EndpointQuery) -> Vec<EndpointId> {
        let is_silent = |id: EndpointId, since: Millis| {
            self.routing.state(id).is_some_and(|state| !state.was_heard_after(since))
        };
        let silent = query.silent.iter().filter_map(|silent| {
            let id = self.routing.find(&silent.endpoint)?;
            is_silent(id, silent.since).then_some(id)
        });
        silent.collect()
    }

    fn query_routing(
        &mut self,
        query: &EndpointQuery,
        tokens: u32,
        exclude: &[EndpointId],
        now: Millis,
    ) -> Result<Choice, NoEndpoint> {
        let query = chicoryford_routing::RouteRequest {
            model: &query.model,
            class: query.class,
            prefix: query.prefix,
            prompt_tokens: query.prompt,
            output_tokens: tokens,
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
        let chosen = self.query_routing(query, tokens, &[], now);
        chosen.map(|choice| choice.expected_ms).map_err(|none| no_endpoint(none, &query.model))
    }

    fn expected_tokens(&self, query: &EndpointQuery) -> u32 {
        let mean = self.mean_lengths.get(&query.model).copied().unwrap_or(DEFAULT_LENGTH);
        (mean.ceil() as u32).min(query.tokens)
    }

    /// Records the end of an attempt and the number of tokens it produced.
    pub fn attempt_ended(&mut self, id: u64, end: AttemptEnd, tokens: u32, now: Millis) {
        let Some(running) = self.running.remove(&id) else { return };
        let RunningAttempt { seat, model, pick, started, stalled_ms, tokens: expected } = running;
        let left = expected.saturating_sub(tokens);
        self.capacities.ended(&model);
        let stalled_ms = self.stalled_ms.saturating_sub(stalled_ms);
        let ms = now.since(started).saturating_sub(stalled_ms);
        self.routing.finished(now, seat, end.ending(), ms, tokens, left);
        match end {
            AttemptEnd::Ran(load) => {
                if tokens > 0 {
                    let mean = self.mean_lengths.entry(model).or_insert(tokens as f32);
                    *mean += SMOOTHING * (tokens as f32 - *mean);
                }
                if let Some(load) = load {
                    self.record_load(&load, now);
                }
            }
            AttemptEnd::Leaving => {
                self.overlay.record_refusal(pick.endpoint, pick.incarnation, now);
                self.update_routing(now);
            }
            AttemptEnd::Failed | AttemptEnd::Silent | AttemptEnd::Dropped => {}
        }
    }

    /// Decides whether a late sample is hedged with a second run, and counts that run.
    ///
    /// The number of missing tokens is estimated from the mean length of the model's answers. A
    /// sample that exceeds the mean is expected to grow by another quarter. The second run has to
    /// generate all tokens again, so a sample that is merely long is not hedged.
    pub fn try_hedge(&mut self, late: &LateSample, now: Millis) -> bool {
        let mean = self.expected_tokens(&late.query);
        let rest = mean.saturating_sub(late.tokens).max(late.tokens / 4).max(1);
        let query = EndpointQuery { tokens: late.tokens + rest, ..late.query.clone() };
        let avoid: Vec<EndpointId> =
            late.query.avoid.iter().filter_map(|endpoint| self.routing.find(endpoint)).collect();
        let Ok(choice) = self.query_routing(&query, late.tokens + rest, &avoid, now) else {
            return false;
        };
        let token_ms = late.ran_ms / u64::from(late.tokens.max(1));
        let straggler = Straggler {
            group_size: late.group,
            unfinished: late.left,
            elapsed_ms: late.ran_ms,
            expected_ms: choice.expected_ms,
            second_ms: choice.expected_ms,
            remaining_ms: token_ms * u64::from(rest),
            capacity: self.capacities.get(&self.routing, &late.query.model, now),
        };
        let allowed = self.admission.may_hedge(&straggler);
        if allowed {
            self.admission.hedge_started();
        }
        allowed
    }

    /// Lists the endpoints whose agents should report to this entry.
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

fn no_endpoint(none: NoEndpoint, model: &Model) -> Failure {
    Failure::not_run(none.code(), format!("{model}: {none}")).retry_after(NO_ENDPOINT_RETRY_MS)
}
