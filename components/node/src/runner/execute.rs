//! Carries out one run: at its engine, then at its scorer.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::events::Reader;
use chicoryford_fleet::plan::Made;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::Standing;
use chicoryford_http::Broken;
use chicoryford_http::Connection;
use chicoryford_http::Incoming;
use chicoryford_http::Request;
use chicoryford_platform::plain;
use chicoryford_platform::plain::Meaning;
use chicoryford_platform::sample;
use chicoryford_platform::sample::Event;
use chicoryford_platform::sample::Run;

use super::Runner;
use super::State;
use crate::clock;
use crate::crashes::has_crashed;
use crate::forward::Outcome;
use crate::forward::Requester;

/// How long a connection to an engine may take to come about.
const CONNECT: Duration = Duration::from_millis(250);
/// How long an engine may be silent before its run goes on elsewhere. Events come about every
/// 40 ms, at a slow engine every 200 ms; a change of weights holds them up for about a second.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Milliseconds that one call of a scorer may take. Its work is a fraction of a second, so beyond
/// this it is lost, and may be repeated.
const SCORE_MS: u64 = 2_500;
/// Pause before a scorer is called again, doubled each time up to the longest.
const SCORE_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_SCORE_PAUSE: Duration = Duration::from_millis(960);
/// The urgency of runs; all of them have the same, since the planner keeps the order.
const URGENCY: u8 = 5;

/// Runs a sample, calls its scorer, and notes how that stands.
pub(super) async fn execute(runner: Rc<Runner>, job: Rc<Job>, state: Rc<State>) {
    // The caller notes the run before this goes on.
    tokio::task::yield_now().await;
    let end = match try_run(&runner, &job, &state).await {
        Ok(None) => {
            runner.stands(&job, &state, Standing::Scoring);
            let standing = score(&runner, &job, &state).await;
            runner.stands(&job, &state, standing);
            return;
        }
        Ok(Some(end)) => end,
        Err(error) => {
            let (sample, events) = (&job.sample.id, state.made.borrow().events.len());
            tracing::info!(event = "run_broken", sample, endpoint = job.endpoint, events, %error);
            let broke = matches!(error, Broken::Lost(_) | Broken::Short);
            let barren = events <= job.made.events.len();
            if broke && barren && has_crashed(job.address).await {
                RunEnd::Crashed
            } else {
                RunEnd::Broken
            }
        }
    };
    runner.stands(&job, &state, Standing::Ended(end));
}

/// Runs a sample; gives none if all of it came, else how the run ended.
async fn try_run(
    runner: &Rc<Runner>,
    job: &Job,
    state: &Rc<State>,
) -> Result<Option<RunEnd>, Broken> {
    let request = request(job, state.budget.left_ms());
    let kept = runner.pool.borrow_mut().take(job.address, &job.endpoint);
    let connection = match kept {
        Some(connection) => connection,
        None => Connection::open(job.address, CONNECT).await?,
    };
    if clock::now() > state.until {
        // The loop of this process was held up, or the connection took long.
        return Ok(Some(RunEnd::Late));
    }
    let started = connection.start(&request);
    let mut incoming = tokio::time::timeout(SILENCE, started).await.map_err(|_| silent())??;
    let meaning = plain::meaning(incoming.status, &incoming.headers, plain::attempt(&request));
    let end = match (meaning, incoming.status.as_u16()) {
        (Meaning::Answer, 200..=299) => return follow(runner, job, state, incoming).await,
        (Meaning::Answer, 422) => RunEnd::Unfit,
        (Meaning::Answer, 500) => RunEnd::Failed,
        // Such as a timeout of the engine's own: it says nothing about the sample.
        (Meaning::Answer, _) => RunEnd::Broken,
        (Meaning::NotRun, _) => RunEnd::Full,
        (Meaning::Moved, _) => RunEnd::Moved,
        (Meaning::Foreign, _) => return Err(Broken::Unfit("another request's reply")),
    };
    let rest = async {
        while incoming.next().await?.is_some() {}
        Ok::<(), Broken>(())
    };
    if let Ok(Ok(())) = tokio::time::timeout(SILENCE, rest).await {
        keep(runner, job, incoming);
    }
    Ok(Some(end))
}

fn request(job: &Job, left_ms: u64) -> Request {
    let run = Run {
        host: &job.host,
        incarnation: &job.endpoint,
        version: job.version,
        left_ms,
        last: job.made.last.as_deref(),
        urgency: URGENCY,
        workspace: job.workspace.as_deref(),
    };
    sample::request(&job.sample, &run)
}

fn silent() -> Broken {
    Broken::Lost(std::io::Error::from(std::io::ErrorKind::TimedOut))
}

async fn follow(
    runner: &Rc<Runner>,
    job: &Job,
    state: &Rc<State>,
    mut incoming: Incoming,
) -> Result<Option<RunEnd>, Broken> {
    let mut version = sample::version(&incoming.headers).unwrap_or(job.version);
    let mut reader = Reader::default();
    loop {
        let next = tokio::time::timeout(SILENCE, incoming.next()).await;
        let Some(piece) = next.map_err(|_| silent())?? else { break };
        for fields in reader.feed(&piece) {
            let event = sample::event(fields);
            version = event.version.unwrap_or(version);
            if !take_event(job, &mut state.made.borrow_mut(), event, version) {
                *state.made.borrow_mut() = Made::default();
                return Err(Broken::Unfit("an event out of order or of the wrong version"));
            }
            state.heard.set(clock::now());
        }
    }
    if !reader.is_between() {
        return Err(Broken::Short);
    }
    keep(runner, job, incoming);
    Ok(None)
}

fn keep(runner: &Rc<Runner>, job: &Job, incoming: Incoming) {
    let stated = incoming.headers.get("keep-alive").map(str::to_owned);
    if let Some(connection) = incoming.into_connection() {
        let mut pool = runner.pool.borrow_mut();
        pool.keep(job.address, &job.endpoint, connection, stated.as_deref());
    }
}

/// Adds an event to what was made; tells whether it may stand there.
fn take_event(job: &Job, made: &mut Made, event: Event, version: u64) -> bool {
    let number = |id: &Option<String>| id.as_ref().and_then(|id| id.parse::<u64>().ok());
    if let (Some(last), Some(id)) = (number(&made.last), number(&event.id))
        && id <= last
    {
        return false;
    }
    let mixed = job.single && made.versions.first().is_some_and(|v| *v != version);
    if version < job.least || mixed {
        return false;
    }
    made.last = event.id.or(made.last.take());
    made.events.push(event.data);
    if !made.versions.contains(&version) {
        made.versions.push(version);
        made.versions.sort_unstable();
    }
    true
}

/// Calls a sample's scorer until it answers, while a leader is known to want that. The call goes on with
/// what it has cost before, at whichever host.
async fn score(runner: &Rc<Runner>, job: &Job, state: &Rc<State>) -> Standing {
    let Some(scorer) = &job.sample.scorer else { return Standing::Finished(None) };
    let request = sample::score_request(scorer, job.workspace.as_deref());
    let budget = &state.budget;
    let mut pause = SCORE_PAUSE;
    loop {
        if !runner.is_led() {
            tokio::time::sleep(SCORE_PAUSE).await;
            continue;
        }
        let config = runner.view.config();
        let route = config.as_ref().and_then(|config| config.find(&scorer.host, &scorer.path));
        let Some(route) = route else {
            tokio::time::sleep(SCORE_PAUSE).await;
            continue;
        };
        let failures = budget.spent().failures;
        if failures >= route.attempts.max(1) {
            tracing::info!(event = "scorer_failed", sample = job.sample.id, failures);
            return Standing::Unscored;
        }
        let limit = route.timeout_ms.unwrap_or(SCORE_MS).min(SCORE_MS);
        // A call may ask several endpoints, for seconds, so it ends with the leader's sign.
        let workspace = job.workspace.as_deref().unwrap_or_default();
        let user = Requester { workspace, rank: route.priority, usage: None };
        let mut pass = pin!(runner.forwarder.forward(route, &request, budget, limit, user));
        let called = loop {
            tokio::select! {
                outcome = &mut pass => break Some(outcome),
                // Told at once: if this host is lost, the next one may prefer endpoints that came since.
                () = budget.asked_another() => runner.stands(job, state, Standing::Scoring),
                () = runner.unled() => break None,
            }
        };
        let Some(called) = called else { continue };
        if let Outcome::Answered(reply) = &called
            && reply.status.is_success()
            && let Some(score) = sample::score(&reply.headers)
        {
            return Standing::Finished(Some(score.to_owned()));
        }
        if let Outcome::NotRun(_, after_ms) = called {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
        } else {
            tokio::time::sleep(pause).await;
            pause = LONGEST_SCORE_PAUSE.min(2 * pause);
        }
    }
}
