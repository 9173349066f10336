//! Samples that wait because the free slots of fast engines are reserved.
//!
//! How many slots are reserved depends on the engines that are eligible for a sample. These differ
//! between steps of a model by their oldest versions and their routes, so a short sample could
//! otherwise get a slot that was refused to one of a more urgent step.

use std::sync::Arc;

use chicoryford_types::Millis;

use super::Planner;
use super::assign::is_eligible;
use super::engine::EngineState;
use super::open_runs::are_calls_logged;
use super::samples::Phase;
use crate::config::Config;
use crate::config::Route;
use crate::step::Step;

/// What determines which engines a waiting sample could use.
pub(super) struct Refused<'a> {
    step: Arc<Step>,
    route: &'a Route,
    avoided: Option<String>,
}

impl Refused<'_> {
    /// Returns whether an engine is eligible for the sample.
    pub(super) fn could_use(&self, engine: &EngineState, now: Millis) -> bool {
        self.avoided.as_ref() != Some(&engine.endpoint.announcement.id)
            && is_eligible(engine, &self.step, self.route, now)
    }

    /// Returns whether the same engines are eligible for a sample of the same step.
    fn is_alike(&self, route: &Route, avoided: Option<&String>) -> bool {
        std::ptr::eq(self.route, route) && self.avoided.as_ref() == avoided
    }
}

impl Planner {
    /// Returns what the waiting samples of steps of a model could use. Samples that may not start
    /// now are left out, and those of a step for which the same engines are eligible are joined.
    pub(super) fn refused_samples<'a>(
        &self,
        model: &str,
        steps: &[String],
        config: &'a Config,
        now: Millis,
    ) -> Vec<Refused<'a>> {
        let marker = self.inherited_run();
        let mut all: Vec<Refused> = Vec::new();
        let planned = steps.iter().filter_map(|id| self.steps.get(id));
        for planned in planned.filter(|planned| planned.step.model == model) {
            let first = all.len();
            for (sample, progress) in planned.step.samples.iter().zip(&planned.progress) {
                let may_start = progress.phase == Phase::Waiting
                    && progress.blocked_until <= now
                    && are_calls_logged(sample, progress, &self.past_costs, marker);
                if !may_start {
                    continue;
                }
                let Some(route) = config.find(&planned.step.host, &sample.path) else { continue };
                let avoided = progress.avoided_engine.as_ref();
                if !all[first..].iter().any(|one| one.is_alike(route, avoided)) {
                    let (step, avoided) = (planned.step.clone(), avoided.cloned());
                    all.push(Refused { step, route, avoided });
                }
            }
        }
        all
    }
}
