//! Serves callers and trainers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Access;
use chicoryford_fleet::Config;
use chicoryford_fleet::Kind;
use chicoryford_fleet::Route;
use chicoryford_fleet::Trust;
use chicoryford_fleet::Verdict;
use chicoryford_fleet::Workspace;
use chicoryford_fleet::recent::Recent;
use chicoryford_http::Bounds;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::message::Method;
use chicoryford_http::message::StatusCode;
use chicoryford_platform as platform;
use chicoryford_platform::plain;
use chicoryford_platform::step;
use chicoryford_types::Digest;
use chicoryford_types::Millis;

use crate::clock;
use crate::forward::Budget;
use crate::forward::Forwarder;
use crate::forward::Outcome;
use crate::forward::Requester;
use crate::link::CallError;
use crate::link::Link;
use crate::message::Answer;
use crate::message::Call;
use crate::message::Update;
use crate::metrics;
use crate::parts::Reader;
use crate::stall::Stall;
use crate::usage::Usage;
use crate::view::View;

/// Milliseconds after which a caller may come back when no leader is known: an election takes
/// about a second, and a caller that comes back too early is refused again.
const NO_LEADER_MS: u64 = 500;
/// Milliseconds after its start for which a process without a configuration is about to get one.
const FRESH_MS: u64 = 3_000;
/// How long a request waits for the first configuration. Callers of the desks wait 1.5 s.
const FIRST_CONFIG: Duration = Duration::from_millis(700);
/// Silence of the leader after which an unknown route may be one that was added meanwhile.
const STALE_MS: u64 = 1_500;
/// How long a step's submission is tried. Its trainer sends it again elsewhere after a failure.
const SUBMIT: Duration = Duration::from_millis(2_500);
/// How long other calls about steps are tried, beyond what they may wait for.
const ASK: Duration = Duration::from_millis(1_500);
/// Bytes of results that an entry keeps to give them again. Readers come back to a step within
/// seconds of its results; with three times as much, no more of them found what they asked for.
pub const RECENT_RESULTS_BYTES: usize = 4 << 20;
/// How long results that were listed since are waited for by a reader who gets others in any case. The
/// leader answers within a few milliseconds.
const MORE: Duration = Duration::from_millis(250);
/// Milliseconds for which a request is forwarded when neither its caller nor its route says.
const BUDGET_MS: u64 = 30_000;

/// Serves callers and trainers.
pub struct Entry {
    /// The way to the leader.
    pub link: Rc<Link>,
    /// What the leader told.
    pub view: Rc<View>,
    /// Carries requests to endpoints.
    pub forwarder: Rc<Forwarder>,
    /// When the process started.
    pub started: Millis,
    /// When it stood still.
    pub stall: Rc<Stall>,
    /// Results that were read lately.
    pub recent: RefCell<Recent>,
    /// Counts what workspaces use, if that is reported.
    pub usage: Option<Rc<Usage>>,
    /// How long keys are believed without a leader.
    pub trust: Trust,
    /// The data centre, where texts are read from a store if it has them; empty if they are not.
    pub near: String,
    /// Reads them.
    pub reader: Rc<Reader>,
}

impl Entry {
    /// Answers a request.
    pub async fn answer(self: Rc<Self>, request: Request) -> Reply {
        let began = clock::now();
        let Some(config) = self.config().await else {
            return self.refuse(&request, "no configuration is known yet", NO_LEADER_MS);
        };
        if let Some(call) = step::read(&request) {
            let access = config.workspaces.asker(&config.routes, plain::key(&request));
            return match self.admit(access, &request, &config) {
                Ok(workspace) => {
                    let workspace = workspace.map(|workspace| workspace.name.as_str());
                    self.about_step(call.of(workspace)).await
                }
                Err(refusal) => refusal,
            };
        }
        let Some(route) = config.find(&request.host(), request.path()) else {
            return self.no_route(&request, &config);
        };
        let access = config.workspaces.access(route, plain::key(&request));
        let workspace = match self.admit(access, &request, &config) {
            Ok(workspace) => workspace,
            Err(refusal) => return refusal,
        };
        if route.kind == Kind::Step && request.method == Method::POST {
            return self.submit(&request, route, workspace).await;
        }
        let name = workspace.map(|workspace| workspace.name.as_str());
        let keyed = !config.workspaces.is_empty();
        let request = if keyed { plain::admitted(request, name) } else { request };
        self.forward(&request, route, workspace, began).await
    }

    /// Lets a caller in, with the workspace that its request is for. A key that is not known is refused
    /// for good only by a process that can have missed no change of the keys.
    fn admit<'a>(
        &self,
        access: Access<'a>,
        request: &Request,
        config: &Config,
    ) -> Result<Option<&'a Workspace>, Reply> {
        let silent_ms = self.link.silent_ms();
        match access {
            Access::Open => Ok(None),
            Access::Of(workspace) if self.trust.holds(silent_ms) => Ok(Some(workspace)),
            Access::Of(_) => Err(self.refuse(request, "keys may be out of date", NO_LEADER_MS)),
            Access::Unknown if silent_ms >= STALE_MS => {
                Err(self.refuse(request, "the key may be a new one", NO_LEADER_MS))
            }
            Access::Unknown => {
                let id = plain::attempt(request).unwrap_or_default();
                let key = plain::key(request).map(|key| Digest::of(key.as_bytes()).to_string());
                tracing::info!(
                    event = "request_refused",
                    request = id,
                    why = "unknown key",
                    key = key.unwrap_or_default(),
                    version = config.version,
                    silent_ms
                );
                Err(platform::failure(StatusCode::UNAUTHORIZED, "unknown key"))
            }
        }
    }

    /// Gives the configuration. A process that has just started waits for it a little: all that it
    /// lacks is a leader, which is elected within a second, and no other entry knows more.
    async fn config(&self) -> Option<Arc<Config>> {
        if self.view.config().is_none() && clock::now().since(self.started) < FRESH_MS {
            self.link.wait_connected(FIRST_CONFIG).await;
        }
        self.view.config()
    }

    fn no_route(&self, request: &Request, config: &Arc<Config>) -> Reply {
        let silent_ms = self.link.silent_ms();
        if silent_ms >= STALE_MS {
            return self.refuse(request, "the configuration may be out of date", NO_LEADER_MS);
        }
        let id = plain::attempt(request).unwrap_or_default();
        tracing::info!(
            event = "request_refused",
            request = id,
            why = "no route",
            version = config.version,
            silent_ms
        );
        platform::failure(StatusCode::NOT_FOUND, "no route")
    }

    fn refuse(&self, request: &Request, why: &str, after_ms: u64) -> Reply {
        let id = plain::attempt(request).unwrap_or_default();
        let silent_ms = self.link.silent_ms();
        tracing::info!(event = "request_refused", request = id, why, after_ms, silent_ms);
        platform::refusal(StatusCode::SERVICE_UNAVAILABLE, why, after_ms)
    }

    async fn forward(
        &self,
        request: &Request,
        route: &Route,
        workspace: Option<&Workspace>,
        began: Millis,
    ) -> Reply {
        let asked = plain::budget_ms(request);
        let limit_ms = asked.unwrap_or(BUDGET_MS).min(route.timeout_ms.unwrap_or(BUDGET_MS));
        let name = workspace.map(|workspace| workspace.name.as_str());
        let user = Requester {
            workspace: name.unwrap_or_default(),
            rank: workspace.and_then(|one| one.urgency).unwrap_or(route.priority),
            usage: self.usage.as_ref().zip(name).map(|(usage, name)| usage.came(name)),
        };
        let budget = Budget::new(began + self.left_ms(route, began, limit_ms));
        let outcome = self.forwarder.forward(route, request, &budget, limit_ms, user).await;
        let ms = clock::now().since(began);
        let word = outcome_word(&outcome);
        metrics::REQUESTS.with_label_values(&[route.name.as_str(), word]).inc();
        let seconds = metrics::REQUEST_SECONDS.with_label_values(&[route.name.as_str()]);
        seconds.observe(ms as f64 / 1_000.0);
        let id = plain::attempt(request).unwrap_or_default();
        let (status, why) = match outcome {
            Outcome::Answered(reply) => {
                if ms > route.target_ms || !reply.status.is_success() {
                    let status = reply.status.as_u16();
                    tracing::info!(
                        event = "request_answered",
                        request = id,
                        route = route.name,
                        status,
                        ms,
                        target_ms = route.target_ms
                    );
                }
                return Reply { headers: reply.headers.end_to_end(), ..reply };
            }
            Outcome::NotRun(why, after_ms) => return self.refuse(request, why, after_ms),
            Outcome::Lost => (StatusCode::BAD_GATEWAY, "the endpoint's answer was lost"),
            Outcome::Late => (StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        };
        tracing::info!(event = "request_failed", request = id, route = route.name, why, ms);
        platform::failure(status, why)
    }

    /// Gives what was left of a request's time when it was read. It may as well have come just then, so
    /// enough is left for an answer in its route's time.
    fn left_ms(&self, route: &Route, read: Millis, limit_ms: u64) -> u64 {
        let waited_ms = self.stall.waited_ms(read);
        limit_ms.saturating_sub(waited_ms).max(limit_ms.min(route.target_ms))
    }

    async fn submit(
        &self,
        request: &Request,
        route: &Route,
        workspace: Option<&Workspace>,
    ) -> Reply {
        let read = match step::submission(request, route, workspace) {
            Ok(step) => Arc::new(step),
            Err(error) => {
                let id = plain::attempt(request).unwrap_or_default();
                tracing::info!(event = "step_unreadable", step = id, %error);
                return platform::failure(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let answer = self.link.call_until_answered(Call::Submit(read.clone()), SUBMIT).await;
        let outcome = match &answer {
            Ok(Answer::Done) => return step::accepted(),
            Ok(_) => "unfit answer".to_owned(),
            Err(error) => error.to_string(),
        };
        tracing::info!(event = "step_not_accepted", step = read.id, outcome);
        if matches!(answer, Err(CallError::NoLeader)) {
            return self.refuse(request, "no leader is known", NO_LEADER_MS);
        }
        // It may have been accepted, so nothing may be said that promises it was not.
        platform::failure(StatusCode::GATEWAY_TIMEOUT, "it is not known whether it was accepted")
    }

    /// Answers with results that were read before, which never change, and with those that were listed
    /// since. Only these are asked for; without a leader the others are given alone. Of the answers
    /// with results between data centres that saves half of the bytes (44 to 20 MB in a minute of
    /// three trainers).
    async fn known_results(&self, step: &str, after: u64) -> Option<Reply> {
        let (next, whole) = {
            let mut recent = self.recent.borrow_mut();
            let read = recent.get(step, after)?;
            (after + read.results.len() as u64, read.whole)
        };
        if !whole {
            self.read_more(step, next).await;
        }
        let mut recent = self.recent.borrow_mut();
        let read = recent.get(step, after)?;
        Some(step::listed(step::results(read.total as usize, after, read.results.into_iter())))
    }

    /// Reads what was listed from a place on, if a leader answers soon.
    async fn read_more(&self, step: &str, next: u64) {
        let near = self.near.clone();
        let asked = Call::Read { step: step.to_owned(), after: next, wait_ms: 0, near };
        if let Ok(answer) = self.link.call(asked, MORE).await
            && let Some((total, listed)) = self.assemble(answer).await
        {
            self.recent.borrow_mut().put(step, total, next, listed);
        }
    }

    /// Answers with results, and keeps them. Texts that lie nearby are read there; if one does not
    /// come, the leader gives them all.
    async fn new_results(&self, step: &str, after: u64, answer: Answer) -> Option<Reply> {
        let (total, listed) = match self.assemble(answer).await {
            Some(read) => read,
            None => {
                let (step, near) = (step.to_owned(), String::new());
                let whole = Call::Read { step, after, wait_ms: 0, near };
                let answer = self.link.call_until_answered(whole, ASK).await.ok()?;
                self.assemble(answer).await?
            }
        };
        let results = listed.iter().map(|(id, verdict)| (id.as_str(), verdict));
        let reply = step::listed(step::results(total as usize, after, results));
        self.recent.borrow_mut().put(step, total, after, listed);
        Some(reply)
    }

    /// Puts results and their texts together; none if a text is missing.
    async fn assemble(&self, answer: Answer) -> Option<(u64, Vec<(String, Verdict)>)> {
        let Answer::Results { total, listed, mut texts, near } = answer else { return None };
        let reads = near.into_iter().map(|(part, address)| async move {
            let Some(bytes) = self.reader.read(address, part).await else {
                tracing::info!(event = "part_not_near", part = part.0, %address);
                return None;
            };
            let read = rmp_serde::from_slice(&bytes);
            read.inspect_err(|error| tracing::error!(event = "part_unfit", part = part.0, %error))
                .ok()
                .map(|texts| (part, texts))
        });
        for read in futures_util::future::join_all(reads).await {
            let (part, read) = read?;
            texts.insert(part, read);
        }
        let results = listed.iter().map(|one| Some((one.sample.clone(), one.verdict(&texts)?)));
        Some((total, results.collect::<Option<_>>()?))
    }

    async fn about_step(&self, call: step::Call) -> Reply {
        if let step::Call::Read { step, after, .. } = &call
            && let Some(reply) = self.known_results(step, *after).await
        {
            return reply;
        }
        let wait = match &call {
            step::Call::Read { wait_ms, .. } => Duration::from_millis(*wait_ms),
            step::Call::Body { .. } | step::Call::End { .. } => Duration::ZERO,
        };
        let asked = match call.clone() {
            step::Call::Read { step, after, wait_ms } => {
                Call::Read { step, after, wait_ms, near: self.near.clone() }
            }
            step::Call::Body { step, sample } => Call::Body { step, sample },
            step::Call::End { step } => Call::End(step),
        };
        match (self.link.call_until_answered(asked, wait + ASK).await, &call) {
            (Ok(Answer::Done), _) => platform::control::done(),
            (Ok(answer @ Answer::Results { .. }), step::Call::Read { step, after, .. }) => {
                match self.new_results(step, *after, answer).await {
                    Some(reply) => reply,
                    None => self.step_failed(&call),
                }
            }
            (Ok(Answer::Body(bytes)), _) => step::body(bytes),
            (Ok(Answer::Unknown), _) => {
                tracing::info!(event = "step_unknown", call = ?call);
                platform::failure(StatusCode::NOT_FOUND, "no such step")
            }
            (Ok(_) | Err(_), _) => self.step_failed(&call),
        }
    }

    fn step_failed(&self, call: &step::Call) -> Reply {
        let silent_ms = self.link.silent_ms();
        tracing::info!(event = "step_call_failed", call = ?call, silent_ms);
        let why = "no leader answered";
        platform::refusal(StatusCode::SERVICE_UNAVAILABLE, why, NO_LEADER_MS)
    }
}

fn outcome_word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(reply) if reply.status.is_success() => "answered",
        Outcome::Answered(..) => "failed",
        Outcome::NotRun(..) => "refused",
        Outcome::Lost => "lost",
        Outcome::Late => "late",
    }
}

/// Keeps a server's bounds as the configuration says.
pub fn follow_limits(server: &Server, news: &Update) {
    let Update::Config(config) = news else { return };
    let Some(limits) = config.limits else { return };
    server.set_bounds(Bounds {
        head: limits.head as usize,
        body: limits.body as usize,
        read: Duration::from_millis(limits.read_ms),
        idle: Duration::from_millis(limits.idle_ms),
    });
}
