//! Runs samples at engines and calls their scorers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Step;
use chicoryford_fleet::Verdict;
use chicoryford_fleet::events::Reader;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::Made;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_http::Broken;
use chicoryford_http::Connection;
use chicoryford_http::Incoming;
use chicoryford_http::Request;
use chicoryford_platform::plain;
use chicoryford_platform::plain::Meaning;
use chicoryford_platform::sample;
use chicoryford_platform::sample::Event;
use chicoryford_platform::sample::Run;

use crate::clock;
use crate::forward::Outcome;
use crate::lead::Lead;

/// How long a connection to an engine may take to come about.
const CONNECT: Duration = Duration::from_millis(250);
/// How long an engine may be silent before its run goes on elsewhere. Events come about every
/// 40 ms, at a slow engine every 200 ms; a change of weights holds them up for about a second.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Milliseconds that one call of a scorer may take. Its work is a fraction of a second, so beyond
/// this it is lost, and may be repeated.
const SCORE_MS: u64 = 2_500;
/// Pause before a scorer is called again.
const SCORE_PAUSE: Duration = Duration::from_millis(60);
/// The urgency of runs; all of them have the same, since the planner keeps the order.
const URGENCY: u8 = 5;
/// Milliseconds for which an engine may go on with a run beyond the time at which results are
/// due, if nobody stops it.
const GRACE_MS: u64 = 5_000;

/// Runs a sample once and tells the leader how it ended.
pub async fn run(lead: Rc<Lead>, assignment: Assignment, made: Rc<RefCell<Made>>) {
    let end = match try_run(&lead, &assignment, &made).await {
        Ok(end) => end,
        Err(error) => {
            let sample = &assignment.step.samples[assignment.index as usize].id;
            tracing::info!(event = "run_broken", sample, endpoint = assignment.endpoint, %error);
            RunEnd::Broken
        }
    };
    let made = made.borrow().clone();
    lead.run_ended(&assignment, end, made);
}

async fn try_run(
    lead: &Rc<Lead>,
    assignment: &Assignment,
    made: &Rc<RefCell<Made>>,
) -> Result<RunEnd, Broken> {
    let request = request(assignment, made);
    let kept = lead.pool.borrow_mut().take(assignment.address, &assignment.endpoint);
    let connection = match kept {
        Some(connection) => connection,
        None => Connection::open(assignment.address, CONNECT).await?,
    };
    let started = connection.start(&request);
    let mut incoming = tokio::time::timeout(SILENCE, started).await.map_err(|_| silent())??;
    let meaning = plain::meaning(incoming.status, &incoming.headers, plain::attempt(&request));
    let end = match (meaning, incoming.status.as_u16()) {
        (Meaning::Answer, 200..=299) => return follow(lead, assignment, made, incoming).await,
        (Meaning::Answer, 422) => RunEnd::Unfit,
        (Meaning::Answer, _) => RunEnd::Failed,
        (Meaning::NotRun, _) => RunEnd::Full,
        (Meaning::Moved, _) => RunEnd::Moved,
        (Meaning::Foreign, _) => return Err(Broken::Unfit("another request's reply")),
    };
    let rest = async {
        while incoming.next().await?.is_some() {}
        Ok::<(), Broken>(())
    };
    if let Ok(Ok(())) = tokio::time::timeout(SILENCE, rest).await {
        keep(lead, assignment, incoming);
    }
    Ok(end)
}

fn request(assignment: &Assignment, made: &Rc<RefCell<Made>>) -> Request {
    let step = &assignment.step;
    let made = made.borrow();
    let run = Run {
        host: &step.host,
        incarnation: &assignment.endpoint,
        version: assignment.version,
        left_ms: step.age_ms.min(step.due_ms + GRACE_MS),
        last: made.last.as_deref(),
        urgency: URGENCY,
    };
    sample::request(&step.samples[assignment.index as usize], &run)
}

fn silent() -> Broken {
    Broken::Lost(std::io::Error::from(std::io::ErrorKind::TimedOut))
}

async fn follow(
    lead: &Rc<Lead>,
    assignment: &Assignment,
    made: &Rc<RefCell<Made>>,
    mut incoming: Incoming,
) -> Result<RunEnd, Broken> {
    let mut version = sample::version(&incoming.headers).unwrap_or(assignment.version);
    let mut reader = Reader::default();
    let mut heard = clock::now();
    loop {
        let next = tokio::time::timeout(SILENCE, incoming.next()).await;
        let Some(piece) = next.map_err(|_| silent())?? else { break };
        for fields in reader.feed(&piece) {
            let event = sample::event(fields);
            version = event.version.unwrap_or(version);
            if !take_event(assignment, made, event, version) {
                lead.plan.borrow_mut().discard(&assignment.step.id, assignment.index);
                *made.borrow_mut() = Made::default();
                return Err(Broken::Unfit("an event out of order or of the wrong version"));
            }
            let now = clock::now();
            let gap = now.since(heard);
            heard = now;
            let (step, index) = (&assignment.step.id, assignment.index);
            lead.plan.borrow_mut().progressed(step, index, gap, now);
        }
    }
    if !reader.is_between() {
        return Err(Broken::Short);
    }
    keep(lead, assignment, incoming);
    Ok(RunEnd::Whole)
}

fn keep(lead: &Rc<Lead>, assignment: &Assignment, incoming: Incoming) {
    let stated = incoming.headers.get("keep-alive").map(str::to_owned);
    if let Some(connection) = incoming.into_connection() {
        let mut pool = lead.pool.borrow_mut();
        pool.keep(assignment.address, &assignment.endpoint, connection, stated.as_deref());
    }
}

/// Adds an event to what was made; tells whether it may stand there.
fn take_event(
    assignment: &Assignment,
    made: &Rc<RefCell<Made>>,
    event: Event,
    version: u64,
) -> bool {
    let mut made = made.borrow_mut();
    if let (Some(last), Some(id)) = (&made.last, &event.id) {
        let (last, id) = (last.parse::<u64>(), id.parse::<u64>());
        if let (Ok(last), Ok(id)) = (last, id)
            && id <= last
        {
            return false;
        }
    }
    let mixed = assignment.step.single && made.versions.first().is_some_and(|v| *v != version);
    if version < assignment.step.least || mixed {
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

/// Calls a sample's scorer until it answers, and has the result listed.
pub async fn score(lead: Rc<Lead>, step: Arc<Step>, index: u32, made: Made) {
    let sample = &step.samples[index as usize];
    let verdict = |score| Verdict::Completed {
        text: made.events.join("\n"),
        versions: made.versions.clone(),
        score,
    };
    let Some(scorer) = &sample.scorer else {
        lead.settle(&step.id, index, verdict(None));
        return;
    };
    let request = sample::score_request(scorer);
    let mut failures = 0;
    loop {
        let Some(config) = lead.config() else { return };
        let Some(route) = config.find(&scorer.host, &scorer.path) else {
            tokio::time::sleep(SCORE_PAUSE).await;
            continue;
        };
        let limit = route.timeout_ms.unwrap_or(SCORE_MS).min(SCORE_MS);
        let mut after = SCORE_PAUSE;
        match lead.parts.forwarder.forward(route, &request, limit).await {
            Outcome::Answered(reply, before) => {
                failures += before;
                if reply.status.is_success()
                    && let Some(score) = sample::score(&reply.headers)
                {
                    lead.settle(&step.id, index, verdict(Some(score.to_owned())));
                    return;
                }
                failures += u32::from(reply.status.as_u16() == 500);
                if failures >= route.attempts.max(1) {
                    let (step, sample) = (&step.id, &sample.id);
                    tracing::info!(
                        event = "sample_given_up",
                        step,
                        sample,
                        why = "scorer",
                        failures
                    );
                    lead.settle(step, index, Verdict::GivenUp);
                    return;
                }
            }
            Outcome::NotRun(_, after_ms) => after = Duration::from_millis(after_ms),
            Outcome::Lost | Outcome::Late => {}
        }
        tokio::time::sleep(after).await;
    }
}
