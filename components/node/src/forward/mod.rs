//! Carries a request to endpoints of a plain service until one answers or the time is up.

mod attempt;
mod budget;
mod dispatch;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::pick::Ending;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::pick::Target;
use chicoryford_http::Broken;
use chicoryford_http::Connection;
use chicoryford_http::Pool;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_platform::plain;
use chicoryford_platform::plain::Meaning;
use chicoryford_types::Millis;

use crate::clock;
use crate::crashes::Crashes;
use crate::link::Link;
use crate::message::Update;
use crate::usage::RequestUsage;
use crate::wait_queues::WaitQueues;
use attempt::Attempt;
use attempt::AttemptLog;
use dispatch::Dispatch;

pub use budget::Budget;

/// How long a connection to an endpoint may take to come about. Round trips are a few
/// milliseconds; an opening packet that is lost is sent again only after a second.
const CONNECT: Duration = Duration::from_millis(250);
/// Milliseconds after which a caller may come back when endpoints are full: the usual request is
/// done by then.
const FULL_AFTER_MS: u64 = 150;
/// Milliseconds after which a caller may come back when no endpoint is ready: endpoints announce
/// themselves about every second.
const NONE_AFTER_MS: u64 = 600;
/// Milliseconds after which a caller may come back with a content that crashes endpoints: it is refused for
/// a day.
const REFUSED_AFTER_MS: u64 = 24 * 60 * 60 * 1_000;
/// Why such a content is refused.
const CRASHES: &str = "the content crashes endpoints";

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// An endpoint's answer.
    Answered(Reply),
    /// It has not run and will not; the caller may come back after so many milliseconds.
    NotRun(&'static str, u64),
    /// It may have run, and no answer came.
    Lost,
    /// It may have run, and the time is up.
    Late,
}

/// How one attempt ended.
enum AttemptResult {
    Answered(Reply),
    NotRun,
    Unsent,
    Lost,
    /// The connection to this address ended without an answer.
    Broken(SocketAddr),
}

/// Carries requests. One for a process, so that its attempts are all counted.
pub struct Forwarder {
    picker: RefCell<Picker>,
    pool: RefCell<Pool>,
    /// Whether second attempts are made.
    second: bool,
    queues: WaitQueues,
    crashes: Rc<Crashes>,
}

/// For whom a request is carried.
#[derive(Default)]
pub struct Requester<'a> {
    /// The workspace, empty where there are none.
    pub workspace: &'a str,
    /// The rank of the request, zero first.
    pub rank: u32,
    /// Notes what the workspace uses.
    pub usage: Option<RequestUsage>,
}

impl Forwarder {
    /// Makes one that knows no endpoint.
    pub fn new(policy: Policy) -> Rc<Self> {
        let picker = RefCell::new(Picker::new(rand::random()).under(policy));
        let second = policy.second_attempts;
        let (pool, queues, crashes) = (RefCell::default(), WaitQueues::default(), Rc::default());
        Rc::new(Self { picker, pool, second, queues, crashes })
    }

    /// Takes in news of endpoints.
    pub fn apply(&self, news: &Update) {
        let mut picker = self.picker.borrow_mut();
        match news {
            Update::Endpoint(endpoint) => picker.observe(endpoint),
            Update::Forgotten(id) => picker.forget(id),
            Update::Whole(known) => picker.retain(|id| known.contains(id)),
            Update::Config(config) => {
                let routes: BTreeSet<&str> =
                    config.routes.iter().map(|route| route.name.as_str()).collect();
                picker.retain_routes(|route| routes.contains(route));
            }
            Update::Refused(refused) => self.crashes.refuse(refused),
            Update::Controls(_) | Update::Ordered(_) => {}
        }
    }

    /// Tells the leader of requests that crash endpoints, for as long as the process lives.
    pub async fn report_crashes(&self, link: Rc<Link>) {
        self.crashes.clone().report_periodically(link).await;
    }

    /// Closes connections that were kept too long.
    pub fn sweep(&self) {
        let picker = self.picker.borrow();
        self.pool.borrow_mut().sweep(|incarnation| picker.is_ready(incarnation));
    }

    /// Carries a request in one pass, for so many milliseconds at most. Dropping the future closes the
    /// connections of its attempts.
    pub async fn forward(
        &self,
        route: &Route,
        request: &Request,
        budget: &Budget,
        limit_ms: u64,
        user: Requester<'_>,
    ) -> Outcome {
        let left_ms = budget.left_ms().min(limit_ms);
        if left_ms == 0 {
            return Outcome::NotRun("its time is up", FULL_AFTER_MS);
        }
        if self.crashes.refuses(request, user.workspace) {
            return Outcome::NotRun(CRASHES, REFUSED_AFTER_MS);
        }
        let Some(service) = route.service(rand::random()) else {
            return Outcome::NotRun("the route leads nowhere", NONE_AFTER_MS);
        };
        let mut dispatch = Dispatch {
            forwarder: self,
            service,
            route: &route.name,
            request,
            budget,
            once: route.kind != Kind::Idempotent,
            attempts: route.attempts.max(1),
            left: route.attempts.saturating_sub(budget.spent.borrow().failures).max(1),
            tried: Vec::new(),
            added: BTreeSet::new(),
            place: None,
            waited_ms: 0,
            runs: 0,
            last: None,
            began: clock::now(),
            tries: Rc::default(),
            user,
        };
        let timer = tokio::time::sleep(Duration::from_millis(left_ms));
        let outcome = tokio::select! {
            outcome = dispatch.run() => Some(outcome),
            () = timer => None,
        };
        let outcome = outcome.unwrap_or_else(|| {
            if dispatch.runs > 0 {
                Outcome::Late
            } else {
                Outcome::NotRun("no endpoint took it in time", FULL_AFTER_MS)
            }
        });
        dispatch.explain(&outcome, route.target_ms);
        outcome
    }

    /// Makes one attempt. `once` says that it must not arrive twice, so that it goes out on a new
    /// connection: on a kept one that breaks, it would not be known whether it arrived.
    async fn attempt(
        &self,
        target: Target,
        route: &str,
        request: &Request,
        deadline: Millis,
        once: bool,
        note: (AttemptLog, usize),
    ) -> AttemptResult {
        let began = clock::now();
        let mut attempt =
            Attempt { forwarder: self, id: &target.id, route, began, ended: false, note };
        let kept = self.pool.borrow_mut().take(target.address, &target.id);
        let connection = match kept.filter(|_| !once) {
            Some(connection) => connection,
            None => match Connection::open(target.address, CONNECT).await {
                Ok(connection) => connection,
                Err(error) => {
                    attempt.log(request, "unsent", &error);
                    attempt.end(Ending::Failed);
                    return AttemptResult::Unsent;
                }
            },
        };
        // To open a connection has taken some of the time.
        let left_ms = deadline.since(clock::now());
        let forwarded = plain::forward(request, &target.id, left_ms);
        attempt.send();
        match self.exchange(connection, &forwarded, &target).await {
            Ok((Meaning::Answer, reply)) => {
                let ms = clock::now().since(began);
                let failed = reply.status.is_server_error();
                attempt.end(if failed { Ending::Failed } else { Ending::Answered(ms) });
                AttemptResult::Answered(reply)
            }
            Ok((Meaning::NotRun, _)) => {
                attempt.end(Ending::Refused);
                AttemptResult::NotRun
            }
            Ok((Meaning::Moved, _)) => {
                attempt.end(Ending::Moved);
                AttemptResult::NotRun
            }
            Ok((Meaning::Foreign, _)) => {
                attempt.log(request, "foreign", &Broken::Unfit("another request's reply"));
                attempt.end(Ending::Failed);
                AttemptResult::Lost
            }
            Err(error) => {
                attempt.log(request, "lost", &error);
                attempt.end(Ending::Failed);
                match error {
                    error if error.is_unsent() => AttemptResult::Unsent,
                    Broken::Unfit(_) => AttemptResult::Lost,
                    _ => AttemptResult::Broken(target.address),
                }
            }
        }
    }

    async fn exchange(
        &self,
        connection: Connection,
        request: &Request,
        target: &Target,
    ) -> Result<(Meaning, Reply), Broken> {
        let incoming = connection.start(request).await?;
        let (status, attempt) = (incoming.status, plain::attempt(request));
        let meaning = plain::meaning(status, &incoming.headers, attempt);
        if meaning == Meaning::Foreign {
            return Ok((meaning, Reply::new(status, "")));
        }
        let (reply, connection) = incoming.whole().await?;
        if let Some(connection) = connection {
            let stated = reply.headers.get("keep-alive");
            self.pool.borrow_mut().keep(target.address, &target.id, connection, stated);
        }
        Ok((meaning, reply))
    }
}
