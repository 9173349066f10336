//! Waits until this entry knows what was decided about crashes of a request's attempts.

use std::time::Duration;

use chicoryford_types::Failure;
use chicoryford_types::Millis;
use chicoryford_types::request::CrashDecision;
use chicoryford_types::request::CrashQuestion;
use chicoryford_wire::paths;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::context::Context;
use crate::run::crash_wait;
use crate::run::crash_wait::CrashStep;
use crate::run::crash_wait::CrashWait;
use crate::run::job::Job;

/// Pause before an agent is queried again that answered before the end of the wait that there is no
/// decision, or that could not answer.
const QUERY_PAUSE: Duration = Duration::from_millis(100);
/// Time by which the timeout of a query exceeds the wait, so that the agent's answer arrives.
const REPLY_MARGIN: Duration = Duration::from_secs(1);

/// An attempt whose connection to its endpoint broke.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// The address of its agent.
    pub address: String,
    /// The question about the attempt.
    pub question: CrashQuestion,
}

/// Waits until the request may be retried after its attempts broke.
///
/// # Errors
///
/// Returns the failure of a request that must not be retried.
pub async fn wait(
    context: &Context,
    job: &mut Job,
    broken: Vec<BrokenAttempt>,
) -> Result<(), Failure> {
    let started = context.now();
    let count = broken.len();
    let step = follow(context, job, broken, started).await;
    if count > 0 {
        log_wait(context, job, &step, context.now().since(started));
    }
    match step {
        CrashStep::Convicted(failure) | CrashStep::Undecided(failure) => Err(failure),
        CrashStep::Retry { isolated, .. } => {
            job.isolated |= isolated;
            Ok(())
        }
        CrashStep::Wait(_) => Ok(()),
    }
}

async fn follow(
    context: &Context,
    job: &Job,
    broken: Vec<BrokenAttempt>,
    started: Millis,
) -> CrashStep {
    let mut wait = CrashWait::new(broken.len(), started, job.deadline);
    let mut config = context.config.watch();
    let mut queries: FuturesUnordered<_> = broken
        .into_iter()
        .enumerate()
        .map(|(index, broken)| {
            let until = wait.until();
            async move { (index, query(context, broken, until).await) }
        })
        .collect();
    loop {
        let current = config.borrow_and_update().clone();
        let now = context.now();
        let until = match wait.next(job.fingerprint, &current, now) {
            CrashStep::Wait(until) => until,
            step => return step,
        };
        tokio::select! {
            Some((index, decision)) = queries.next() => wait.record(index, decision),
            Ok(()) = config.changed() => {}
            () = actix_rt::time::sleep(Duration::from_millis(until.since(now))) => {}
        }
    }
}

/// Queries the agent of an attempt until there is a decision or the wait ends.
async fn query(context: &Context, broken: BrokenAttempt, until: Millis) -> CrashDecision {
    let BrokenAttempt { address, question } = broken;
    loop {
        let wait_ms = until.since(context.now());
        let question = CrashQuestion { wait_ms, ..question.clone() };
        let timeout = Duration::from_millis(wait_ms) + REPLY_MARGIN;
        let asked = context.fresh_client.call(&address, paths::CRASH, &question, timeout);
        match asked.await {
            Ok(CrashDecision::Pending) => {}
            Ok(decision) => return decision,
            Err(error) => {
                let CrashQuestion { request, attempt, .. } = question;
                tracing::info!(event = "crash_query_failed", %request, %attempt, %error);
                if let decision @ CrashDecision::NotBlamed = crash_wait::unanswered(&error) {
                    return decision;
                }
            }
        }
        actix_rt::time::sleep(QUERY_PAUSE).await;
    }
}

fn log_wait(context: &Context, job: &Job, step: &CrashStep, ms: u64) {
    let result = match step {
        CrashStep::Retry { expired: false, .. } | CrashStep::Wait(_) => "decided",
        CrashStep::Retry { expired: true, .. } => "expired",
        CrashStep::Convicted(_) => "convicted",
        CrashStep::Undecided(_) => "undecided",
    };
    let metrics = &context.kernel.metrics;
    metrics.time("entry.crash_wait", ms);
    if matches!(result, "expired" | "undecided") {
        metrics.count("entry.crash_wait.expired", 1);
    }
    let (request, content) = (job.request, job.fingerprint);
    tracing::info!(event = "crash_waited", %request, %content, result, ms, suspect = job.suspect || job.isolated);
}
