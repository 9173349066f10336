//! Forwards a request to endpoints of a plain service until one answers or the time is up.

mod attempt;
mod budget;
mod dispatch;
mod fallback;
mod gate;
mod pacing;
mod reachability;
mod second_attempts;
mod selection;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::grant::NEEDED_ENDPOINTS;
use chicoryford_fleet::hedge::Hedging;
use chicoryford_fleet::hedge::SecondAttempts;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::pick::Target;
use chicoryford_http::Connection;
use chicoryford_http::ExchangeError;
use chicoryford_http::Pool;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_kernel::run_time;
use chicoryford_platform::request;
use chicoryford_platform::request::ReplyKind;

use crate::clock;
use crate::crashes::Crashes;
use crate::link::Link;
use crate::message::Update;
use crate::usage::RequestUsage;
use crate::wait_queues::WaitQueues;
use attempt::Attempt;
use dispatch::Dispatch;
use gate::Attempts;
use pacing::Pacing;
use reachability::Reporter;

pub use budget::Budget;

/// Timeout for connecting to an endpoint. Round trips take a few milliseconds; a lost SYN packet is
/// only sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Milliseconds after which a caller may retry when all endpoints are full: the usual request is
/// done by then.
const FULL_RETRY_AFTER_MS: u64 = 150;
/// Milliseconds after which a caller may retry when no endpoint is ready: endpoints announce
/// themselves about every second.
const NOT_READY_RETRY_AFTER_MS: u64 = 600;
/// Milliseconds after which a caller may retry a content that crashes endpoints: it is refused for
/// a day.
const REFUSED_RETRY_AFTER_MS: u64 = 24 * 60 * 60 * 1_000;
/// The reason given for refusing such a content.
const CRASHING_CONTENT: &str = "the content crashes endpoints";

/// The outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// An endpoint answered.
    Answered(Reply),
    /// It has not run and will not run; the caller may retry after so many milliseconds.
    NotRun(&'static str, u64),
    /// It may have run, and the answer was lost.
    Lost,
    /// It may have run, and the time is up.
    Late,
}

enum AttemptResult {
    Answered(Reply),
    NotRun,
    Unsent,
    Lost,
    /// The connection to this address ended without an answer.
    Broken(SocketAddr),
}

/// Forwards requests. Each process has one, so that it counts all of its attempts.
pub struct Forwarder {
    picker: Rc<RefCell<Picker>>,
    pool: RefCell<Pool>,
    /// Decides which second attempts are sent.
    hedging: RefCell<Hedging>,
    policy: Policy,
    queues: WaitQueues,
    /// Limits scorers' calls, if that is enabled.
    pacing: Option<Rc<Pacing>>,
    crashes: Rc<Crashes>,
    reporter: Rc<Reporter>,
}

/// On whose behalf a request is forwarded.
#[derive(Default)]
pub struct Requester<'a> {
    /// The workspace, empty where there are none.
    pub workspace: &'a str,
    /// The rank of the request, zero first.
    pub rank: u32,
    /// Records what the workspace uses.
    pub usage: Option<RequestUsage>,
}

impl Forwarder {
    /// Creates a forwarder without endpoints, and without limits of second attempts.
    pub fn new(policy: Policy) -> Rc<Self> {
        Self::with_limits(policy, SecondAttempts::default())
    }

    /// Creates a forwarder without endpoints, and with limits of second attempts.
    pub fn with_limits(policy: Policy, limits: SecondAttempts) -> Rc<Self> {
        let picker = Rc::new(RefCell::new(Picker::new(rand::random()).with_policy(policy)));
        let pacing = policy.paced_scorers.then(Rc::<Pacing>::default);
        let reporter = Rc::new(Reporter::new(picker.clone(), pacing.clone()));
        let hedging = RefCell::new(Hedging::new(limits));
        let (pool, queues, crashes) = (RefCell::default(), WaitQueues::default(), Rc::default());
        Rc::new(Self { picker, pool, hedging, policy, queues, pacing, crashes, reporter })
    }

    /// Sets the number of hosts whose scorers' calls share the endpoints.
    pub fn set_hosts(&self, hosts: u32) {
        if let Some(pacing) = &self.pacing {
            pacing.set_hosts(hosts);
        }
    }

    /// Applies an update to endpoints, routes and refused contents.
    pub fn apply(&self, update: &Update) {
        if let Some(pacing) = &self.pacing {
            pacing.apply(update);
        }
        let mut picker = self.picker.borrow_mut();
        match update {
            Update::Endpoint(endpoint) => {
                if endpoint.status == EndpointStatus::Silent {
                    self.crashes.record_silence(&endpoint.announcement.id);
                }
                let id = &endpoint.announcement.id;
                let state = |picker: &Picker| {
                    let serves = picker.serves(&endpoint.announcement.service, id);
                    (serves, picker.started_ms(id))
                };
                let before = state(&picker);
                picker.observe(endpoint);
                if state(&picker) != before {
                    self.wake_affected(id);
                }
            }
            Update::Forgotten(id) => {
                picker.forget(id);
                self.wake_affected(id);
            }
            Update::Config(config) => {
                let routes: BTreeSet<&str> =
                    config.routes.iter().map(|route| route.name.as_str()).collect();
                picker.retain_routes(|route| routes.contains(route));
                let services = &config.services;
                let known = |name: &str| services.iter().any(|service| service.name == name);
                self.hedging.borrow_mut().retain_services(known);
            }
            Update::Refused(refused) => self.crashes.refuse(refused),
            Update::Suspected(suspected) => self.crashes.suspect(suspected),
            Update::Unreachable(set) => {
                let now = clock::now();
                picker.reachability().replace_set(set, now);
                if let Some(pacing) = &self.pacing {
                    pacing.record_marks(picker.reachability().marked(now));
                }
            }
            Update::Controls(_) | Update::Ordered(_) => {}
        }
    }

    /// Wakes the paced calls that depend on the state of an endpoint.
    fn wake_affected(&self, id: &str) {
        if let Some(pacing) = &self.pacing {
            pacing.wake_affected(&BTreeSet::from([id.to_owned()]));
        }
    }

    /// Reports requests that crash endpoints to the leader, for as long as the process runs.
    pub async fn report_crashes(&self, link: Rc<Link>) {
        self.crashes.clone().report_periodically(link).await;
    }

    /// Reports to the leader which endpoints can be connected to, for as long as the process runs.
    pub async fn report_reachability(&self, link: Rc<Link>) {
        self.reporter.clone().run(link).await;
    }

    /// Closes connections that have been idle too long.
    pub fn sweep(&self) {
        let picker = self.picker.borrow();
        self.pool.borrow_mut().sweep(|incarnation| picker.is_ready(incarnation));
    }

    /// Returns whether enough endpoints that may be called are ready for an attempt and a hedge.
    pub fn can_hedge(&self, budget: &Budget) -> bool {
        let picker = self.picker.borrow();
        budget.count_callable(|id| picker.is_ready(id)) >= NEEDED_ENDPOINTS
    }

    /// Forwards a request in one pass of at most `limit_ms`. Dropping the future closes the
    /// connections of its attempts.
    pub async fn forward(
        &self,
        route: &Route,
        request: &Request,
        budget: &Budget,
        limit_ms: u64,
        requester: Requester<'_>,
    ) -> Outcome {
        if budget.left_ms().min(limit_ms) == 0 {
            return Outcome::NotRun("its time is up", FULL_RETRY_AFTER_MS);
        }
        if !budget.is_owed() && self.crashes.refuses(request, requester.workspace) {
            return Outcome::NotRun(CRASHING_CONTENT, REFUSED_RETRY_AFTER_MS);
        }
        let Some(service) = self.choose_service(route, budget) else {
            return Outcome::NotRun("the route leads nowhere", NOT_READY_RETRY_AFTER_MS);
        };
        let mut dispatch = Dispatch {
            forwarder: self,
            service,
            route: &route.name,
            request,
            budget,
            at_most_once: route.kind != RouteKind::Idempotent,
            max_endpoints: route.attempts.max(1),
            attempts_left: route.attempts.saturating_sub(budget.spent.borrow().failures).max(1),
            tried: Vec::new(),
            abandoned: BTreeSet::new(),
            new_endpoints: BTreeSet::new(),
            queue_place: None,
            waited_ms: 0,
            paced_ms: Cell::default(),
            picks_second: Cell::default(),
            possible_runs: 0,
            last_failure: None,
            began: clock::now(),
            attempts: Rc::new(Attempts::new(self.policy.connect_fallback)),
            hedge: None,
            winner: None,
            is_logged: false,
            is_answered: false,
            requester,
        };
        dispatch.wait_before_pass().await;
        let left_ms = budget.left_ms().min(limit_ms);
        let outcome = run_time::deadline(Duration::from_millis(left_ms), dispatch.run()).await;
        let outcome = outcome.unwrap_or_else(|_| {
            if dispatch.possible_runs > 0 {
                Outcome::Late
            } else {
                Outcome::NotRun("no endpoint took it in time", FULL_RETRY_AFTER_MS)
            }
        });
        dispatch.log_attempts(&outcome, route.target_ms);
        outcome
    }

    /// Chooses the service of a request by the weights of its route. If only some endpoints may be
    /// called, a service with such endpoints is preferred.
    fn choose_service<'a>(&self, route: &'a Route, budget: &Budget) -> Option<&'a str> {
        let picker = self.picker.borrow();
        let services = route.services();
        let granted = services.filter(|_| budget.is_shared()).find(|service| {
            picker.has_ready(service, |id| budget.allows(id, route.attempts as usize))
        });
        granted.or_else(|| route.service(rand::random()))
    }

    /// Makes one attempt. A request that must not arrive twice is sent on a new connection, because
    /// a broken pooled connection would leave it unknown whether it arrived.
    async fn attempt(
        &self,
        mut attempt: Attempt<'_>,
        request: &Request,
        budget: &Budget,
    ) -> AttemptResult {
        let target = attempt.target.clone();
        let pooled = self.pool.borrow_mut().take(target.address, &target.id);
        // A connection from before an outage may never answer, and says nothing about its end.
        let is_reusable = !attempt.at_most_once && !self.reporter.is_unreachable(&target.id);
        let mut connection = match pooled.filter(|_| is_reusable) {
            Some(connection) => connection,
            None => match self.reporter.connect(&target).await {
                Ok(connection) => connection,
                Err(error) => {
                    attempt.log(request, "unsent", &error);
                    attempt.end(AttemptOutcome::Failed);
                    if error.is_refused() {
                        budget.record_refusal(&target.id);
                    }
                    return AttemptResult::Unsent;
                }
            },
        };
        // The endpoint may have closed a connection that was held.
        let is_stale = attempt.wait_to_send().await && !connection.is_clean();
        if is_stale || !budget.permits_send() {
            attempt.end(AttemptOutcome::Dropped(0));
            return AttemptResult::Unsent;
        }
        // Connecting has taken some of the time.
        let forwarded = request::forward(request, &target.id, budget.left_ms());
        attempt.reserve();
        let exchange =
            self.exchange(connection, &forwarded, &target, || attempt.record_sent()).await;
        match exchange {
            Ok((ReplyKind::Answer, reply)) => {
                let ms = clock::now().since(attempt.began);
                let failed = reply.status.is_server_error();
                attempt.end(if failed {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Answered(ms)
                });
                AttemptResult::Answered(reply)
            }
            Ok((ReplyKind::NotRun, _)) => {
                attempt.end(AttemptOutcome::Refused);
                AttemptResult::NotRun
            }
            Ok((ReplyKind::Moved, _)) => {
                attempt.end(AttemptOutcome::Moved);
                budget.record_end(&target.id);
                AttemptResult::NotRun
            }
            Ok((ReplyKind::Mismatched, _)) => {
                attempt.log(request, "foreign", &ExchangeError::Invalid("another request's reply"));
                attempt.end(AttemptOutcome::Failed);
                AttemptResult::Lost
            }
            Err(error) => {
                attempt.log(request, "lost", &error);
                attempt.end(AttemptOutcome::Failed);
                match error {
                    error if error.is_unsent() => AttemptResult::Unsent,
                    ExchangeError::Invalid(_) | ExchangeError::Excess(_) => AttemptResult::Lost,
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
        on_sent: impl FnOnce(),
    ) -> Result<(ReplyKind, Reply), ExchangeError> {
        let incoming = connection.start_with(request, on_sent).await?;
        let (status, attempt) = (incoming.status, request::attempt_id(request));
        let meaning = request::classify_reply(status, &incoming.headers, attempt);
        if meaning == ReplyKind::Mismatched {
            return Ok((meaning, Reply::new(status, "")));
        }
        let (reply, connection) = incoming.read_all().await?;
        if let Some(connection) = connection {
            let keep_alive = reply.headers.get("keep-alive");
            self.pool.borrow_mut().keep(target.address, &target.id, connection, keep_alive);
        }
        Ok((meaning, reply))
    }
}
