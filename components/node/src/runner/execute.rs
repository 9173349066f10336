//! Executes one run: at its engine first, then at its scorer.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunStatus;
use chicoryford_fleet::sse::SseReader;
use chicoryford_fleet::step::MAX_REPLY_BYTES;
use chicoryford_http::Connection;
use chicoryford_http::ExchangeError;
use chicoryford_http::IncomingReply;
use chicoryford_http::Request;
use chicoryford_kernel::run_time;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_platform::request;
use chicoryford_platform::request::ReplyKind;
use chicoryford_platform::sample;
use chicoryford_platform::sample::Event;
use chicoryford_platform::sample::RunContext;

use super::REPORT_INTERVAL;
use super::RunState;
use super::Runner;
use crate::clock;
use crate::crashes::has_crashed;
use crate::forward::Outcome;
use crate::forward::Requester;

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without an event after which a run is moved to another engine. Events arrive about every 40
/// ms, at a slow engine every 200 ms; a change of weights delays them by about a second.
const EVENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum bytes of an incomplete event, and of the rest of a reply that is not read as events.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum events of a run in addition to the tokens of its sample, of which each event has at least
/// one.
const MAX_EXTRA_EVENTS: u64 = 64;
/// Timeout of one call to a scorer, in milliseconds. A scorer works for a fraction of a second, so
/// a longer call is lost and may be repeated.
const SCORE_TIMEOUT_MS: u64 = 2_500;
/// Pause before a scorer is called again; it doubles each time up to the maximum.
const SCORE_RETRY_PAUSE: Duration = Duration::from_millis(60);
const MAX_SCORE_RETRY_PAUSE: Duration = Duration::from_millis(960);
/// Broken connections of a scorer's call from which on it may be what crashes the endpoints.
const MAX_BROKEN_CALLS: u32 = 3;
/// Pause before such a call is made again, so that it does not take down one endpoint after another.
/// Endpoints that crashed have restarted by then.
const BROKEN_CALL_PAUSE: Duration = Duration::from_secs(4);
/// The urgency of runs. It is the same for all of them, since the planner decides their order.
const URGENCY: u8 = 5;

/// Runs a sample, calls its scorer, and records the outcome.
pub(super) async fn execute(runner: Rc<Runner>, job: Rc<Job>, state: Rc<RunState>) {
    // Lets the caller register the run first.
    tokio::task::yield_now().await;
    let end = match try_run(&runner, &job, &state).await {
        Ok(None) => {
            runner.set_status(&job, &state, RunStatus::Scoring);
            let status = score(&runner, &job, &state).await;
            runner.set_status(&job, &state, status);
            return;
        }
        Ok(Some(end)) => end,
        Err(error) => {
            let (sample, events) = (&job.sample.id, state.output.borrow().events.len());
            tracing::info!(event = "run_broken", sample, endpoint = job.endpoint, events, %error);
            let connection_broke =
                matches!(error, ExchangeError::Lost(_) | ExchangeError::Truncated);
            let made_no_progress = events <= job.output.events.len();
            if connection_broke && made_no_progress && has_crashed(job.address).await {
                RunEnd::Crashed
            } else if made_no_progress && !error.is_unsent() {
                RunEnd::Unanswered
            } else {
                RunEnd::Broken
            }
        }
    };
    runner.set_status(&job, &state, RunStatus::Ended(end));
}

/// Runs a sample at its engine. Returns `None` if the sample is complete, otherwise how the run
/// ended.
async fn try_run(
    runner: &Rc<Runner>,
    job: &Job,
    state: &Rc<RunState>,
) -> Result<Option<RunEnd>, ExchangeError> {
    let request = request(runner, job, state.budget.left_ms());
    let pooled = runner.pool.borrow_mut().take(job.address, &job.endpoint);
    let connection = match pooled {
        Some(connection) => connection,
        None => Connection::open(job.address, CONNECT_TIMEOUT).await?,
    };
    if clock::now() > state.order_expires {
        // The event loop of this process was delayed, or connecting took too long.
        return Ok(Some(RunEnd::Late));
    }
    let started = connection.start(&request);
    let mut incoming =
        run_time::timeout(EVENT_TIMEOUT, started).await.map_err(|_| timed_out())??;
    let meaning =
        request::classify_reply(incoming.status, &incoming.headers, request::attempt_id(&request));
    let end = match (meaning, incoming.status.as_u16()) {
        (ReplyKind::Answer, 200..=299) => return read_events(runner, job, state, incoming).await,
        (ReplyKind::Answer, 422) => RunEnd::Unfit,
        (ReplyKind::Answer, 500) => RunEnd::Failed,
        // For example a timeout within the engine, which says nothing about the sample.
        (ReplyKind::Answer, _) => RunEnd::Unanswered,
        (ReplyKind::NotRun, _) => RunEnd::Full,
        (ReplyKind::Moved, _) => RunEnd::Moved,
        (ReplyKind::Mismatched, _) => {
            return Err(ExchangeError::Invalid("another request's reply"));
        }
    };
    let rest = incoming.discard_within(MAX_EVENT_BYTES);
    if let Ok(Ok(())) = run_time::timeout(EVENT_TIMEOUT, rest).await {
        keep_connection(runner, job, incoming);
    }
    Ok(Some(end))
}

fn request(runner: &Runner, job: &Job, left_ms: u64) -> Request {
    let config = runner.view.config();
    let run = RunContext {
        host: &job.host,
        incarnation: &job.endpoint,
        version: job.version,
        budget_ms: left_ms,
        last_event: job.output.last_id.as_deref(),
        urgency: URGENCY,
        workspace: job.workspace.as_deref(),
        has_workspaces: config.is_some_and(|config| !config.workspaces.is_empty()),
    };
    sample::run_request(&job.sample, &run)
}

fn timed_out() -> ExchangeError {
    ExchangeError::Lost(std::io::Error::from(std::io::ErrorKind::TimedOut))
}

async fn read_events(
    runner: &Rc<Runner>,
    job: &Job,
    state: &Rc<RunState>,
    mut incoming: IncomingReply,
) -> Result<Option<RunEnd>, ExchangeError> {
    let mut version = sample::first_version(&incoming.headers).unwrap_or(job.version);
    let mut reader = SseReader::default();
    let mut output_bytes: usize = state.output.borrow().events.iter().map(String::len).sum();
    // The time limit is that of an event: a stream of bytes that are no event must end as well.
    let mut event_timer = RunTimer::start();
    loop {
        let left = EVENT_TIMEOUT.saturating_sub(Duration::from_millis(event_timer.elapsed_ms()));
        let next = run_time::timeout(left, incoming.next()).await;
        let Some(piece) = next.map_err(|_| timed_out())?? else { break };
        for fields in reader.feed(&piece) {
            let event = sample::parse_event(fields);
            version = event.version.unwrap_or(version);
            output_bytes += event.data.len();
            if !append_event(job, &mut state.output.borrow_mut(), event, version) {
                *state.output.borrow_mut() = SampleOutput::default();
                return Err(ExchangeError::Invalid(
                    "an event out of order or of the wrong version",
                ));
            }
            state.last_event.set(clock::now());
            event_timer = RunTimer::start();
        }
        if reader.pending_bytes() > MAX_EVENT_BYTES {
            return Err(ExchangeError::Excess("bytes in an event"));
        }
        if exceeds_sample(job, state.output.borrow().events.len(), output_bytes) {
            *state.output.borrow_mut() = SampleOutput::default();
            return Err(ExchangeError::Excess("events of the sample"));
        }
    }
    if !reader.is_at_boundary() {
        return Err(ExchangeError::Truncated);
    }
    keep_connection(runner, job, incoming);
    Ok(None)
}

/// Returns whether a run has more output than its sample can have, so that the engine may never end
/// it. A result that does not fit into a reply could never be read.
fn exceeds_sample(job: &Job, events: usize, bytes: usize) -> bool {
    let tokens = job.sample.tokens;
    let has_more_events = tokens > 0 && events as u64 > tokens + MAX_EXTRA_EVENTS;
    has_more_events || bytes > MAX_REPLY_BYTES
}

fn keep_connection(runner: &Rc<Runner>, job: &Job, incoming: IncomingReply) {
    let keep_alive = incoming.headers.get("keep-alive").map(str::to_owned);
    if let Some(connection) = incoming.into_connection() {
        let mut pool = runner.pool.borrow_mut();
        pool.keep(job.address, &job.endpoint, connection, keep_alive.as_deref());
    }
}

/// Appends an event to the progress of the run. Returns false if the event is out of order or of a
/// version that the job does not allow.
fn append_event(job: &Job, output: &mut SampleOutput, event: Event, version: u64) -> bool {
    let parse_id = |id: &Option<String>| id.as_ref().and_then(|id| id.parse::<u64>().ok());
    if let (Some(last), Some(id)) = (parse_id(&output.last_id), parse_id(&event.id))
        && id <= last
    {
        return false;
    }
    let mixes_versions =
        job.single_version && output.versions.first().is_some_and(|v| *v != version);
    if version < job.min_version || mixes_versions {
        return false;
    }
    output.last_id = event.id.or(output.last_id.take());
    output.events.push(event.data);
    if !output.versions.contains(&version) {
        output.versions.push(version);
        output.versions.sort_unstable();
    }
    true
}

/// Calls a sample's scorer until it answers, as long as a recent confirmation by the leader shows
/// that the run is wanted. The budget includes what the call has cost at earlier hosts.
async fn score(runner: &Rc<Runner>, job: &Job, state: &Rc<RunState>) -> RunStatus {
    let Some(scorer) = &job.sample.scorer else { return RunStatus::Finished(None) };
    let request = sample::score_request(scorer, job.workspace.as_deref());
    let budget = &state.budget;
    let mut pause = SCORE_RETRY_PAUSE;
    loop {
        if !runner.has_confirmed_leader() {
            tokio::time::sleep(SCORE_RETRY_PAUSE).await;
            continue;
        }
        let config = runner.view.config();
        let route = config.as_ref().and_then(|config| config.find(&scorer.host, &scorer.path));
        let Some(route) = route else {
            tokio::time::sleep(SCORE_RETRY_PAUSE).await;
            continue;
        };
        if budget.has_unrecorded_failures() {
            runner.set_status(job, state, RunStatus::Scoring);
            let _ = tokio::time::timeout(REPORT_INTERVAL, budget.extended()).await;
            continue;
        }
        let failures = budget.spent().failures;
        if failures >= route.attempts.max(1) {
            tracing::info!(event = "scorer_failed", sample = job.sample.id, failures);
            return RunStatus::Unscored;
        }
        let limit_ms = route.timeout_ms.unwrap_or(SCORE_TIMEOUT_MS).min(SCORE_TIMEOUT_MS);
        // A call may try several endpoints for seconds, so it also ends when the leader's
        // confirmation expires.
        let workspace = job.workspace.as_deref().unwrap_or_default();
        let requester = Requester { workspace, rank: route.priority, usage: None };
        let mut call = pin!(runner.forwarder.forward(route, &request, budget, limit_ms, requester));
        let outcome = loop {
            tokio::select! {
                outcome = &mut call => break Some(outcome),
                () = budget.changed() => runner.set_status(job, state, RunStatus::Scoring),
                () = runner.confirmation_expired() => break None,
            }
        };
        let Some(outcome) = outcome else { continue };
        if let Outcome::Answered(reply) = &outcome
            && reply.status.is_success()
            && let Some(score) = sample::score(&reply.headers)
        {
            return RunStatus::Finished(Some(score.to_owned()));
        }
        if budget.has_unrecorded_failures() {
            continue;
        }
        if let Outcome::NotRun(_, after_ms) = outcome {
            if !runner.forwarder.can_hedge(budget) {
                // The leader then extends the grant.
                runner.set_status(job, state, RunStatus::Scoring);
            }
            let pause = Duration::from_millis(after_ms);
            let _ = tokio::time::timeout(pause, budget.extended()).await;
        } else {
            let is_suspect = budget.broken() >= MAX_BROKEN_CALLS;
            tokio::time::sleep(if is_suspect { BROKEN_CALL_PAUSE } else { pause }).await;
            pause = MAX_SCORE_RETRY_PAUSE.min(2 * pause);
        }
    }
}
