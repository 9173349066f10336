//! Serves callers and trainers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Access;
use chicoryford_fleet::Config;
use chicoryford_fleet::Route;
use chicoryford_fleet::RouteKind;
use chicoryford_fleet::SampleResult;
use chicoryford_fleet::StaleKeyPolicy;
use chicoryford_fleet::Workspace;
use chicoryford_fleet::result_cache::ResultCache;
use chicoryford_http::Bounds;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::message::Method;
use chicoryford_http::message::StatusCode;
use chicoryford_ingress::Ingress;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_platform as platform;
use chicoryford_platform::DecodeError;
use chicoryford_platform::request;
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
use crate::parts::PartReader;
use crate::usage::Usage;
use crate::view::View;

/// Milliseconds after which a caller may retry when no leader is known: an election takes about a
/// second, and a caller that retries too early is refused again.
const NO_LEADER_RETRY_AFTER_MS: u64 = 500;
/// Milliseconds after which a caller may retry if steps of several workspaces have the same id and
/// there are no workspaces any more. It is clear again when one of the steps has been forgotten.
const AMBIGUOUS_RETRY_AFTER_MS: u64 = 10_000;
/// Milliseconds after which a trainer may retry if there is no memory for its step.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 500;
/// The reason for which such a step is refused.
const NO_STEP_MEMORY: &str = "no memory for the step";
/// Maximum bytes of the headers of a sample if the configuration has no limits.
const MAX_SAMPLE_HEAD_BYTES: usize = 16 << 10;
/// Memory of a step, in bytes, up to which it is submitted without a reservation at the leader.
const UNRESERVED_STEP_BYTES: u64 = 256 << 10;
/// Milliseconds after its start during which a process expects its first configuration.
const STARTUP_MS: u64 = 3_000;
/// How long a request waits for the first configuration. Callers at the desks wait 1.5 s.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence of the leader, in milliseconds, after which an unknown route or key may be a recent
/// addition.
const STALE_CONFIG_MS: u64 = 1_500;
/// Timeout for submitting a step. After a failure, its trainer submits it again through another
/// entry.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of other calls about steps, in addition to the time for which they may wait.
const STEP_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes of results that an entry caches. Readers request a step's results again within seconds; a
/// cache three times as large did not increase the hit rate.
pub const RECENT_RESULTS_BYTES: usize = 4 << 20;
/// Timeout for fetching newer results when a reader already gets cached ones. The leader answers
/// within a few milliseconds.
const NEWER_RESULTS_TIMEOUT: Duration = Duration::from_millis(250);
/// Default time limit of a request in milliseconds, if neither its caller nor its route sets one.
const DEFAULT_BUDGET_MS: u64 = 30_000;

/// Serves callers and trainers.
pub struct Entry {
    /// The connection to the leader.
    pub link: Rc<Link>,
    /// The state that the leader has sent to this process.
    pub view: Rc<View>,
    /// Forwards requests to endpoints.
    pub forwarder: Rc<Forwarder>,
    /// When the process started.
    pub started: Millis,
    /// Detects stalls, during which requests wait unread.
    pub timer: RunTimer,
    /// Cache of recently read results.
    pub result_cache: RefCell<ResultCache>,
    /// Counts the usage of workspaces, if it is reported.
    pub usage: Option<Rc<Usage>>,
    /// How long keys are accepted without a leader.
    pub stale_key_policy: StaleKeyPolicy,
    /// This data centre, if texts are read from its stores where possible; otherwise empty.
    pub near_data_centre: String,
    /// Reads texts from these stores.
    pub reader: Rc<PartReader>,
    /// The memory that decoded steps take.
    pub ingress: Arc<Ingress>,
}

impl Entry {
    /// Handles a request.
    pub async fn answer(self: Rc<Self>, request: Request) -> Reply {
        let began = clock::now();
        let Some(config) = self.config().await else {
            return self.refuse(
                &request,
                "no configuration is known yet",
                NO_LEADER_RETRY_AFTER_MS,
            );
        };
        if let Some(call) = step::parse_call(&request) {
            self.result_cache.borrow_mut().follow_config(&config);
            let access = config.workspaces.step_access(&config.routes, request::key(&request));
            return match self.authorize(access, &request, &config) {
                Ok(workspace) => {
                    let workspace = workspace.map(|workspace| workspace.name.as_str());
                    self.handle_step_call(call.in_workspace(workspace)).await
                }
                Err(refusal) => refusal,
            };
        }
        let Some(route) = config.find(&request.host(), request.path()) else {
            return self.refuse_unknown_route(&request, &config);
        };
        let access = config.workspaces.access(route, request::key(&request));
        let workspace = match self.authorize(access, &request, &config) {
            Ok(workspace) => workspace,
            Err(refusal) => return refusal,
        };
        if route.kind == RouteKind::Step && request.method == Method::POST {
            return self.submit(request, route, workspace, &config).await;
        }
        let name = workspace.map(|workspace| workspace.name.as_str());
        let has_keys = !config.workspaces.is_empty();
        let request = if has_keys { request::with_workspace(request, name) } else { request };
        self.forward(&request, route, workspace, began).await
    }

    /// Returns the refusal of a request that no route or key allows. The reply does not depend on the
    /// body, which is not read then.
    pub fn early_reply(&self, request: &Request) -> Option<Reply> {
        let config = self.view.config()?;
        if step::parse_call(request).is_some() {
            return None;
        }
        let Some(route) = config.find(&request.host(), request.path()) else {
            return Some(self.refuse_unknown_route(request, &config));
        };
        let access = config.workspaces.access(route, request::key(request));
        self.authorize(access, request, &config).err()
    }

    /// Checks a caller's key and returns the workspace of its request. An unknown key is rejected
    /// permanently only by a process that cannot have missed a change of the keys.
    fn authorize<'a>(
        &self,
        access: Access<'a>,
        request: &Request,
        config: &Config,
    ) -> Result<Option<&'a Workspace>, Reply> {
        let silent_ms = self.link.silent_ms();
        match access {
            Access::Open => Ok(None),
            Access::Workspace(workspace) if self.stale_key_policy.allows(silent_ms) => {
                Ok(Some(workspace))
            }
            Access::Workspace(_) => {
                Err(self.refuse(request, "keys may be out of date", NO_LEADER_RETRY_AFTER_MS))
            }
            Access::Unknown if silent_ms >= STALE_CONFIG_MS => {
                Err(self.refuse(request, "the key may be a new one", NO_LEADER_RETRY_AFTER_MS))
            }
            Access::Unknown => {
                let id = request::attempt_id(request).unwrap_or_default();
                let key = request::key(request).map(|key| Digest::of(key.as_bytes()).to_string());
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

    /// Returns the configuration. A process that has just started waits briefly for it: it lacks
    /// only a leader, which is elected within a second, and no other entry has a configuration
    /// earlier.
    async fn config(&self) -> Option<Arc<Config>> {
        if self.view.config().is_none() && clock::now().since(self.started) < STARTUP_MS {
            self.link.wait_connected(FIRST_CONFIG_TIMEOUT).await;
        }
        self.view.config()
    }

    fn refuse_unknown_route(&self, request: &Request, config: &Arc<Config>) -> Reply {
        let silent_ms = self.link.silent_ms();
        if silent_ms >= STALE_CONFIG_MS {
            return self.refuse(
                request,
                "the configuration may be out of date",
                NO_LEADER_RETRY_AFTER_MS,
            );
        }
        let id = request::attempt_id(request).unwrap_or_default();
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
        let id = request::attempt_id(request).unwrap_or_default();
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
        let requested_ms = request::budget_ms(request);
        let limit_ms = requested_ms
            .unwrap_or(DEFAULT_BUDGET_MS)
            .min(route.timeout_ms.unwrap_or(DEFAULT_BUDGET_MS));
        let name = workspace.map(|workspace| workspace.name.as_str());
        let requester = Requester {
            workspace: name.unwrap_or_default(),
            rank: workspace.and_then(|one| one.urgency).unwrap_or(route.priority),
            usage: self.usage.as_ref().zip(name).map(|(usage, name)| usage.start_request(name)),
        };
        let budget = Budget::new(began + self.remaining_ms(route, began, limit_ms));
        let outcome = self.forwarder.forward(route, request, &budget, limit_ms, requester).await;
        let ms = clock::now().since(began);
        let label = outcome_label(&outcome);
        metrics::REQUESTS.with_label_values(&[route.name.as_str(), label]).inc();
        let seconds = metrics::REQUEST_SECONDS.with_label_values(&[route.name.as_str()]);
        seconds.observe(ms as f64 / 1_000.0);
        let id = request::attempt_id(request).unwrap_or_default();
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

    /// Returns the remaining time of a request in milliseconds when it was read. After a stall, the
    /// request may have waited unread or may have just arrived, so at least the route's target time
    /// is left.
    fn remaining_ms(&self, route: &Route, read: Millis, limit_ms: u64) -> u64 {
        let waited_ms = self.timer.waited_ms(read);
        limit_ms.saturating_sub(waited_ms).max(limit_ms.min(route.target_ms))
    }

    async fn submit(
        &self,
        request: Request,
        route: &Route,
        workspace: Option<&Workspace>,
        config: &Config,
    ) -> Reply {
        // There is always memory for nothing.
        let mut memory = self.ingress.reserve(0);
        let mut take = |bytes| memory.as_mut().is_some_and(|memory| memory.grow(bytes));
        let head = config.limits.map_or(MAX_SAMPLE_HEAD_BYTES, |limits| limits.head as usize);
        let limits = step::DecodeLimits { head, take: Some(&mut take) };
        let read = match step::parse_submission(&request, route, workspace, limits) {
            Ok(step) => Arc::new(step),
            Err(DecodeError::Memory) => {
                return self.refuse(&request, NO_STEP_MEMORY, NO_MEMORY_RETRY_AFTER_MS);
            }
            Err(error) => {
                let id = request::attempt_id(&request).unwrap_or_default();
                tracing::info!(event = "step_unreadable", step = id, %error);
                return platform::failure(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        // The encoded step is of about the size of the body, which is no longer needed.
        let request = Request { body: Bytes::new(), ..request };
        let bytes = read.memory_bytes();
        if bytes > UNRESERVED_STEP_BYTES {
            let call = Call::Reserve { step: read.id.clone(), bytes };
            match self.link.call_until_answered(call, SUBMIT_TIMEOUT).await {
                Ok(Answer::Done) => {}
                Ok(Answer::Full) => {
                    return self.refuse(&request, NO_STEP_MEMORY, NO_MEMORY_RETRY_AFTER_MS);
                }
                // Nothing was submitted.
                Ok(_) | Err(_) => {
                    let why = "no leader answered";
                    return self.refuse(&request, why, NO_LEADER_RETRY_AFTER_MS);
                }
            }
        }
        let answer =
            self.link.call_until_answered(Call::Submit(read.clone()), SUBMIT_TIMEOUT).await;
        let outcome = match &answer {
            Ok(Answer::Done) => return step::accepted_reply(),
            Ok(Answer::Full) => {
                return self.refuse(&request, NO_STEP_MEMORY, NO_MEMORY_RETRY_AFTER_MS);
            }
            Ok(Answer::Ambiguous) => {
                let why = "another step has this id";
                return self.refuse(&request, why, AMBIGUOUS_RETRY_AFTER_MS);
            }
            Ok(_) => "unfit answer".to_owned(),
            Err(error) => error.to_string(),
        };
        tracing::info!(event = "step_not_accepted", step = read.id, outcome);
        if matches!(answer, Err(CallError::NoLeader)) {
            return self.refuse(&request, "no leader is known", NO_LEADER_RETRY_AFTER_MS);
        }
        // The step may have been accepted, so the reply must not suggest otherwise.
        platform::failure(StatusCode::GATEWAY_TIMEOUT, "it is not known whether it was accepted")
    }

    /// Replies with cached results, which never change, and with newer ones. Only the newer ones
    /// are requested from the leader; without a leader, the reply has only the cached ones. This
    /// saves half of the bytes of results sent between data centres (44 to 20 MB in a minute with
    /// three trainers).
    async fn reply_from_cache(&self, step: &str, after: u64) -> Option<Reply> {
        let (next, whole) = {
            let mut cache = self.result_cache.borrow_mut();
            let read = cache.get(step, after)?;
            (after + read.results.len() as u64, read.full)
        };
        if !whole {
            self.fetch_newer(step, next).await;
        }
        let mut cache = self.result_cache.borrow_mut();
        let read = cache.get(step, after)?;
        Some(step::results_reply(step::encode_results(
            read.total as usize,
            after,
            read.results.into_iter(),
        )))
    }

    /// Fetches the results from position `next` on and caches them, if a leader answers soon.
    async fn fetch_newer(&self, step: &str, next: u64) {
        let near = self.near_data_centre.clone();
        let generation = self.result_cache.borrow().generation();
        let request = Call::Read { step: step.to_owned(), after: next, wait_ms: 0, near };
        if let Ok(answer) = self.link.call(request, NEWER_RESULTS_TIMEOUT).await
            && let Some((total, listed)) = self.assemble(answer).await
        {
            self.cache_results(generation, step, (total, next, listed));
        }
    }

    /// Caches results from a position on, unless the rules of access have changed since they were
    /// requested.
    fn cache_results(
        &self,
        generation: u64,
        step: &str,
        (total, after, listed): (u64, u64, Vec<(String, SampleResult)>),
    ) {
        let mut cache = self.result_cache.borrow_mut();
        if cache.generation() == generation {
            cache.put(step, total, after, listed);
        }
    }

    /// Replies with results, and caches them. Texts are read from nearby stores where possible; if
    /// one cannot be read there, all results are requested from the leader with their texts.
    async fn reply_with_results(
        &self,
        generation: u64,
        (step, after): (&str, u64),
        answer: Answer,
    ) -> Option<Reply> {
        let (total, listed) = match self.assemble(answer).await {
            Some(read) => read,
            None => {
                let (step, near) = (step.to_owned(), String::new());
                let whole = Call::Read { step, after, wait_ms: 0, near };
                let answer = self.link.call_until_answered(whole, STEP_CALL_TIMEOUT).await.ok()?;
                self.assemble(answer).await?
            }
        };
        let results = listed.iter().map(|(id, verdict)| (id.as_str(), verdict));
        let reply = step::results_reply(step::encode_results(total as usize, after, results));
        self.cache_results(generation, step, (total, after, listed));
        Some(reply)
    }

    /// Combines results with their texts. Returns `None` if a text is missing.
    async fn assemble(&self, answer: Answer) -> Option<(u64, Vec<(String, SampleResult)>)> {
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
        let results = listed.iter().map(|one| Some((one.sample.clone(), one.with_text(&texts)?)));
        Some((total, results.collect::<Option<_>>()?))
    }

    async fn handle_step_call(&self, call: step::Call) -> Reply {
        if let step::Call::Read { step, after, .. } = &call
            && let Some(reply) = self.reply_from_cache(step, *after).await
        {
            return reply;
        }
        let wait = match &call {
            step::Call::Read { wait_ms, .. } => Duration::from_millis(*wait_ms),
            step::Call::Body { .. } | step::Call::End { .. } => Duration::ZERO,
        };
        let generation = self.result_cache.borrow().generation();
        let request = match call.clone() {
            step::Call::Read { step, after, wait_ms } => {
                Call::Read { step, after, wait_ms, near: self.near_data_centre.clone() }
            }
            step::Call::Body { step, sample } => Call::Body { step, sample },
            step::Call::End { step } => Call::End(step),
        };
        match (self.link.call_until_answered(request, wait + STEP_CALL_TIMEOUT).await, &call) {
            (Ok(Answer::Done), _) => platform::control::done_reply(),
            (Ok(answer @ Answer::Results { .. }), step::Call::Read { step, after, .. }) => {
                match self.reply_with_results(generation, (step, *after), answer).await {
                    Some(reply) => reply,
                    None => self.step_call_failed(&call),
                }
            }
            (Ok(Answer::Body(bytes)), _) => step::body_reply(bytes),
            (Ok(Answer::Unknown), _) => {
                tracing::info!(event = "step_unknown", call = ?call);
                platform::failure(StatusCode::NOT_FOUND, "no such step")
            }
            (Ok(Answer::KeyRequired), _) => {
                tracing::info!(event = "step_call_refused", call = ?call, why = "no key");
                platform::failure(StatusCode::UNAUTHORIZED, "the step may need a key")
            }
            (Ok(Answer::Ambiguous), _) => {
                let why = "steps of several workspaces have this id";
                tracing::info!(event = "step_call_refused", call = ?call, why);
                let status = StatusCode::SERVICE_UNAVAILABLE;
                platform::refusal(status, why, AMBIGUOUS_RETRY_AFTER_MS)
            }
            (Ok(_) | Err(_), _) => self.step_call_failed(&call),
        }
    }

    fn step_call_failed(&self, call: &step::Call) -> Reply {
        let silent_ms = self.link.silent_ms();
        tracing::info!(event = "step_call_failed", call = ?call, silent_ms);
        let why = "no leader answered";
        platform::refusal(StatusCode::SERVICE_UNAVAILABLE, why, NO_LEADER_RETRY_AFTER_MS)
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered(reply) if reply.status.is_success() => "answered",
        Outcome::Answered(..) => "failed",
        Outcome::NotRun(..) => "refused",
        Outcome::Lost => "lost",
        Outcome::Late => "late",
    }
}

/// Applies the limits of a new configuration to a server.
pub fn apply_limits(server: &Server, update: &Update) {
    let Update::Config(config) = update else { return };
    let Some(limits) = config.limits else { return };
    server.set_bounds(Bounds {
        max_head_bytes: limits.head as usize,
        max_body_bytes: limits.body as usize,
        read_timeout: Duration::from_millis(limits.read_ms),
        idle_timeout: Duration::from_millis(limits.idle_ms),
    });
}
