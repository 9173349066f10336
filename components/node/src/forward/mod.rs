//! Carries a request to endpoints of a plain service until one answers or the time is up.

mod attempt;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Kind;
use chicoryford_fleet::Policy;
use chicoryford_fleet::Route;
use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::line::Place;
use chicoryford_fleet::pick::Ending;
use chicoryford_fleet::pick::Nowhere;
use chicoryford_fleet::pick::Picker;
use chicoryford_fleet::pick::Target;
use chicoryford_fleet::run::Spent;
use chicoryford_http::Broken;
use chicoryford_http::Connection;
use chicoryford_http::Pool;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use chicoryford_platform::plain;
use chicoryford_platform::plain::Meaning;
use chicoryford_types::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::clock;
use crate::crashes;
use crate::crashes::Crashes;
use crate::link::Link;
use crate::message::News;
use crate::usage::Ticket;
use crate::waiting::Lines;
use attempt::Attempt;
use attempt::Tries;
use attempt::Try;

/// How long a connection to an endpoint may take to come about. Round trips are a few
/// milliseconds; an opening packet that is lost is sent again only after a second.
const CONNECT: Duration = Duration::from_millis(250);
/// Multiples of the usual time after which a second attempt starts beside the first. An endpoint
/// that turns slow takes about four times as long; one attempt in some hundred takes three times
/// as long by itself.
const HEDGE: f64 = 3.0;
/// Milliseconds before which no second attempt starts, and when nothing is known of the usual
/// time.
const HEDGE_LEAST_MS: u64 = 60;
/// Milliseconds for which a request waits while endpoints are all full before it is refused. The caller
/// can wait just as well, and another entry may know of room.
const FULL_MS: u64 = 90;
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

/// What a request may cost, over all passes in which it is carried: endpoints are told the same end of
/// its time in each, and no more of them run it than its route allows.
#[derive(Debug)]
pub struct Budget {
    deadline: Millis,
    /// Names the request at whichever process carries it.
    shared: Option<String>,
    spent: RefCell<Spent>,
}

impl Budget {
    /// Makes the budget of a request whose caller waits until then.
    pub fn new(deadline: Millis) -> Self {
        Self { deadline, shared: None, spent: RefCell::default() }
    }

    /// Makes the budget of a request that other processes may have carried before, or carry as well. All
    /// of them prefer the same endpoints, so that together they ask no more than one of them may.
    pub fn shared(id: &str, deadline: Millis, spent: Spent) -> Self {
        Self { deadline, shared: Some(id.to_owned()), spent: RefCell::new(spent) }
    }

    /// Gives the milliseconds for which its caller still waits.
    pub fn left_ms(&self) -> u64 {
        self.deadline.since(clock::now())
    }

    /// Gives what was spent so far.
    pub fn spent(&self) -> Spent {
        self.spent.borrow().clone()
    }
}

/// How one attempt ended.
enum Tried {
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
    lines: Lines,
    crashes: Rc<Crashes>,
}

/// For whom a request is carried.
#[derive(Default)]
pub struct User<'a> {
    /// The workspace, empty where there are none.
    pub workspace: &'a str,
    /// The rank of the request, zero first.
    pub rank: u32,
    /// Notes what the workspace uses.
    pub ticket: Option<Ticket>,
}

impl Forwarder {
    /// Makes one that knows no endpoint.
    pub fn new(policy: Policy) -> Rc<Self> {
        let picker = RefCell::new(Picker::new(rand::random()).under(policy));
        let second = policy.second_attempts;
        let (pool, lines, crashes) = (RefCell::default(), Lines::default(), Rc::default());
        Rc::new(Self { picker, pool, second, lines, crashes })
    }

    /// Takes in news of endpoints.
    pub fn learn(&self, news: &News) {
        let mut picker = self.picker.borrow_mut();
        match news {
            News::Endpoint(endpoint) => picker.observe(endpoint),
            News::Forgotten(id) => picker.forget(id),
            News::Whole(known) => picker.retain(|id| known.contains(id)),
            News::Config(config) => {
                let routes: BTreeSet<&str> =
                    config.routes.iter().map(|route| route.name.as_str()).collect();
                picker.retain_routes(|route| routes.contains(route));
            }
            News::Refused(refused) => self.crashes.refuse(refused),
            News::Controls(_) | News::Ordered(_) => {}
        }
    }

    /// Tells the leader of requests that crash endpoints, for as long as the process lives.
    pub async fn tell_crashes(&self, link: Rc<Link>) {
        self.crashes.clone().tell_on(link).await;
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
        user: User<'_>,
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
        let mut carry = Carry {
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
            outcome = carry.run() => Some(outcome),
            () = timer => None,
        };
        let outcome = outcome.unwrap_or_else(|| {
            if carry.runs > 0 {
                Outcome::Late
            } else {
                Outcome::NotRun("no endpoint took it in time", FULL_AFTER_MS)
            }
        });
        carry.explain(&outcome, route.target_ms);
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
        note: (Tries, usize),
    ) -> Tried {
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
                    return Tried::Unsent;
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
                Tried::Answered(reply)
            }
            Ok((Meaning::NotRun, _)) => {
                attempt.end(Ending::Refused);
                Tried::NotRun
            }
            Ok((Meaning::Moved, _)) => {
                attempt.end(Ending::Moved);
                Tried::NotRun
            }
            Ok((Meaning::Foreign, _)) => {
                attempt.log(request, "foreign", &Broken::Unfit("another request's reply"));
                attempt.end(Ending::Failed);
                Tried::Lost
            }
            Err(error) => {
                attempt.log(request, "lost", &error);
                attempt.end(Ending::Failed);
                match error {
                    error if error.is_unsent() => Tried::Unsent,
                    Broken::Unfit(_) => Tried::Lost,
                    _ => Tried::Broken(target.address),
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

/// One request on its way.
struct Carry<'a> {
    forwarder: &'a Forwarder,
    service: &'a str,
    route: &'a str,
    request: &'a Request,
    budget: &'a Budget,
    once: bool,
    /// Endpoints that may run it, over all passes.
    attempts: u32,
    /// Attempts that are left in this pass.
    left: u32,
    tried: Vec<String>,
    /// Endpoints that may have run it in this pass, and not before.
    added: BTreeSet<String>,
    /// Its place among those that wait while endpoints are full, if it was first there.
    place: Option<Place>,
    /// Milliseconds for which it has waited while endpoints were full.
    waited_ms: u64,
    /// Attempts that may have run.
    runs: u32,
    last: Option<Reply>,
    began: Millis,
    tries: Tries,
    user: User<'a>,
}

impl Drop for Carry<'_> {
    /// Notes for its workspace whether the request began to run, and when. It counts once, however
    /// many endpoints ran it.
    fn drop(&mut self) {
        let Some(ticket) = &mut self.user.ticket else { return };
        let tries = self.tries.borrow();
        if let Some(began) = tries.iter().filter_map(Try::began).min() {
            ticket.began(began);
        }
    }
}

impl<'a> Carry<'a> {
    async fn run(&mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        let mut hedged = self.once || !self.forwarder.second;
        if self.forwarder.lines.is_closed(self.service) && !self.wait().await {
            return self.give_up(Nowhere::AllTried);
        }
        loop {
            if running.is_empty() {
                if self.forwarder.crashes.refuses(self.request, self.user.workspace) {
                    return self.refuse();
                }
                match self.choose() {
                    Ok(target) => running.push(self.start(target)),
                    Err(Nowhere::AllTried) if self.left > 0 => {
                        self.tried.clear();
                        self.forwarder.lines.found_full(self.service);
                        if !self.wait().await {
                            return self.give_up(Nowhere::AllTried);
                        }
                        continue;
                    }
                    Err(nowhere) => return self.give_up(nowhere),
                }
            }
            let hedge = Duration::from_millis(self.hedge_ms());
            let tried = tokio::select! {
                tried = running.next() => tried,
                () = tokio::time::sleep(hedge), if !hedged => {
                    hedged = true;
                    if let Ok(target) = self.choose() {
                        running.push(self.start(target));
                    }
                    continue;
                }
            };
            if let Some(outcome) = tried.and_then(|tried| self.take(tried)) {
                return outcome;
            }
        }
    }

    /// Waits for the turn to ask endpoints that were full; tells whether it came in time.
    async fn wait(&mut self) -> bool {
        let began = clock::now();
        let until = began + FULL_MS.saturating_sub(self.waited_ms);
        let user = (self.user.workspace, self.user.rank);
        let place = self.place.take();
        self.place = self.forwarder.lines.turn(self.service, user, place, until).await;
        self.waited_ms += clock::now().since(began);
        self.place.is_some()
    }

    fn choose(&mut self) -> Result<Target, Nowhere> {
        if self.left == 0 {
            return Err(Nowhere::AllTried);
        }
        let mut picker = self.forwarder.picker.borrow_mut();
        let spent = self.budget.spent.borrow();
        let live = spent.endpoints.iter().filter(|id| picker.is_ready(id)).count();
        let may_add = live < self.attempts as usize;
        let tried = |id: &str| self.tried.iter().any(|tried| tried == id);
        let preferred = self.budget.shared.as_ref().map(|request| {
            // Those that did not run it are passed over for the next in order.
            let open = |id: &str| !tried(id) || spent.endpoints.contains(id);
            picker.preferred(self.service, request, self.attempts as usize, open)
        });
        let fits = |id: &str| {
            let may_add = may_add && preferred.as_ref().is_none_or(|some| some.contains(id));
            !tried(id) && (may_add || spent.endpoints.contains(id))
        };
        let now = clock::now();
        picker.pick(self.service, self.route, fits, now)
    }

    fn start(&mut self, target: Target) -> impl Future<Output = (String, Tried)> + use<'a> {
        self.left -= 1;
        self.runs += 1;
        let id = target.id.clone();
        self.tried.push(id.clone());
        if self.budget.spent.borrow_mut().endpoints.insert(id.clone()) {
            self.added.insert(id.clone());
        }
        let at_ms = clock::now().since(self.began);
        self.tries.borrow_mut().push(Try { target: target.clone(), at_ms, sent: None, end: None });
        let note = (self.tries.clone(), self.tries.borrow().len() - 1);
        let (forwarder, route, request) = (self.forwarder, self.route, self.request);
        let (deadline, once) = (self.budget.deadline, self.once);
        async move { (id, forwarder.attempt(target, route, request, deadline, once, note).await) }
    }

    /// Takes in how an attempt ended; gives the outcome if that settles the request.
    fn take(&mut self, (id, tried): (String, Tried)) -> Option<Outcome> {
        match tried {
            Tried::Answered(reply) => {
                // Only this status says that the endpoint failed at it; samples are given up for it.
                let failed = reply.status == StatusCode::INTERNAL_SERVER_ERROR;
                self.forwarder.crashes.ran(self.request, self.user.workspace);
                self.budget.spent.borrow_mut().failures += u32::from(failed);
                if self.once || !reply.status.is_server_error() {
                    return Some(Outcome::Answered(reply));
                }
                self.last = Some(reply);
                None
            }
            Tried::NotRun | Tried::Unsent => {
                self.left += 1;
                self.runs -= 1;
                if self.added.remove(&id) {
                    self.budget.spent.borrow_mut().endpoints.remove(&id);
                }
                None
            }
            Tried::Lost => self.once.then_some(Outcome::Lost),
            Tried::Broken(address) => {
                let content = crashes::content(self.request, self.user.workspace);
                self.forwarder.crashes.look(Crash { content, endpoint: id }, address);
                self.once.then_some(Outcome::Lost)
            }
        }
    }

    /// Gives up because others found meanwhile that the content crashes endpoints.
    fn refuse(&mut self) -> Outcome {
        match self.give_up(Nowhere::AllTried) {
            Outcome::NotRun(..) => Outcome::NotRun(CRASHES, REFUSED_AFTER_MS),
            outcome => outcome,
        }
    }

    fn give_up(&mut self, nowhere: Nowhere) -> Outcome {
        match (self.last.take(), nowhere) {
            (Some(reply), _) => Outcome::Answered(reply),
            (None, _) if self.runs > 0 => Outcome::Lost,
            (None, Nowhere::NoneReady) => Outcome::NotRun("no endpoint is ready", NONE_AFTER_MS),
            (None, Nowhere::AllTried) => Outcome::NotRun("all endpoints are full", FULL_AFTER_MS),
        }
    }

    /// Writes down what became of the attempts of a request that was late or failed: with this line
    /// alone it can be told whether an endpoint was slow, failed, or was the only one left. The
    /// others are only counted, so that the volume stays bounded.
    fn explain(&self, outcome: &Outcome, target_ms: u64) {
        let ms = clock::now().since(self.began);
        let good = matches!(outcome, Outcome::Answered(reply) if reply.status.is_success());
        if good && ms <= target_ms {
            return;
        }
        let request = plain::attempt(self.request).unwrap_or_default();
        let tries: Vec<String> = self.tries.borrow().iter().map(Try::to_string).collect();
        let tries = tries.join("; ");
        let (service, waited_ms) = (self.service, self.waited_ms);
        tracing::info!(event = "request_tried", request, service, tries, waited_ms, ms, target_ms);
    }

    fn hedge_ms(&self) -> u64 {
        let usual = self.forwarder.picker.borrow().usual_ms(self.route);
        usual.map_or(HEDGE_LEAST_MS, |ms| ((ms * HEDGE) as u64).max(HEDGE_LEAST_MS))
    }
}
