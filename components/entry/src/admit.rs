//! Decides at the door whether a request may come in, before anything of it is done.
//!
//! Every refusal here is "not run" and given at once. docs/API.md lists the headers.

use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use chicoryford_kernel::Phase;
use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Config;
use chicoryford_types::DataCentre;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::Principal;
use chicoryford_types::Template;
use chicoryford_types::Workspace;
use chicoryford_types::config::StopTarget;
use chicoryford_types::template::Retries;
use chicoryford_wire::Call;
use chicoryford_wire::Reply;

use crate::context::Context;
use crate::run::Job;

/// Names the workspace; every request has it.
pub const WORKSPACE: &str = "chicoryford-workspace";
/// Milliseconds until the answer is worthless to the caller.
pub const DEADLINE: &str = "chicoryford-deadline-ms";
/// Lowers the class that the template gives the caller.
pub const CLASS: &str = "chicoryford-class";
/// Recognises a resend of a call that may not be repeated.
pub const KEY: &str = "idempotency-key";
/// Says whether the request may run more than once.
pub const REPEATABLE: &str = "chicoryford-repeatable";

/// The longest deadline that a caller may ask for, in milliseconds.
const DEADLINE_BOUND: u64 = 24 * 3_600_000;
/// Bound on an idempotency key, in bytes.
const KEY_BOUND: usize = 200;
/// When a caller refused by a draining entry may come back: by then the balancer has noticed.
const DRAIN_RETRY: u64 = 1_000;
/// When a caller refused by an entry without configuration may come back: it then has it, unless
/// no control process can be reached.
const LEARN_RETRY: u64 = 500;

/// The headers of a request, read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// The workspace.
    pub workspace: Workspace,
    /// Milliseconds until the answer is worthless.
    pub deadline: Option<u64>,
    /// The class asked for.
    pub class: Option<Class>,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub repeatable: Option<bool>,
}

/// What the template and the headers together allow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admitted {
    /// The workspace.
    pub workspace: Workspace,
    /// The class, never above that of the template.
    pub class: Class,
    /// Milliseconds until the answer is worthless.
    pub budget_ms: u64,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How often it is tried.
    pub retries: Retries,
    /// Tokens that it may ask for.
    pub tokens: u32,
}

/// Reads the headers of a request.
///
/// # Errors
///
/// A failure with [`Code::BadRequest`] that names the header.
pub fn read_headers(call: &Call) -> Result<RequestHeaders, Failure> {
    let workspace = call.header(WORKSPACE).ok_or_else(|| malformed(WORKSPACE, "is required"))?;
    let deadline = call.header(DEADLINE).map(read_deadline).transpose()?;
    let class = call.header(CLASS).map(read_class).transpose()?;
    let key = call.header(KEY).map(read_key).transpose()?;
    let repeatable = call.header(REPEATABLE).map(read_flag).transpose()?;
    Ok(RequestHeaders { workspace: Workspace::from(workspace), deadline, class, key, repeatable })
}

fn malformed(header: &str, what: &str) -> Failure {
    Failure::not_run(Code::BadRequest, format!("header {header} {what}"))
}

fn read_deadline(text: &str) -> Result<u64, Failure> {
    let deadline = text.trim().parse().ok().filter(|ms| *ms <= DEADLINE_BOUND);
    deadline.ok_or_else(|| malformed(DEADLINE, "must be milliseconds, at most a day"))
}

fn read_class(text: &str) -> Result<Class, Failure> {
    match text {
        "batch" => Ok(Class::Batch),
        "normal" => Ok(Class::Normal),
        "urgent" => Ok(Class::Urgent),
        _ => Err(malformed(CLASS, "must be batch, normal or urgent")),
    }
}

fn read_key(text: &str) -> Result<IdempotencyKey, Failure> {
    if text.is_empty() || text.len() > KEY_BOUND {
        return Err(malformed(KEY, "must have between 1 and 200 bytes"));
    }
    Ok(IdempotencyKey::from(text))
}

fn read_flag(text: &str) -> Result<bool, Failure> {
    text.parse().map_err(|_| malformed(REPEATABLE, "must be true or false"))
}

/// Decides whether `caller` may send this to `model` under the workspace's template.
///
/// # Errors
///
/// The refusal; it is always "not run".
pub fn authorize(
    asked: &RequestHeaders,
    caller: &Principal,
    model: &Model,
    config: &Config,
) -> Result<Admitted, Failure> {
    let template = find_template(&asked.workspace, config)?;
    let Some(class) = template.callers.get(caller).copied() else {
        let detail = format!("{caller} is not among the callers of {}", asked.workspace);
        return Err(Failure::not_run(Code::Forbidden, detail));
    };
    if !template.models.contains(model) {
        let detail = format!("{model:?} is not among the models of {}", asked.workspace);
        return Err(Failure::not_run(Code::NotFound, detail));
    }
    let budget_ms = asked.deadline.unwrap_or(template.deadline_ms);
    if budget_ms == 0 {
        let detail = "the deadline leaves no time to answer";
        return Err(Failure::not_run(Code::DeadlineTooClose, detail));
    }
    Ok(Admitted {
        workspace: asked.workspace.clone(),
        class: asked.class.map_or(class, |wanted| wanted.min(class)),
        budget_ms,
        key: asked.key.clone(),
        repeatable: asked.repeatable.unwrap_or(template.repeatable),
        retries: template.retries,
        tokens: template.limits.tokens,
    })
}

/// Finds the template of a workspace.
///
/// # Errors
///
/// A failure with [`Code::NotFound`], or [`Code::NoQuorum`] while this entry knows nothing yet.
///
/// An entry keeps no configuration over a restart. Until it has learned it, it cannot tell that a
/// workspace does not exist: callers who were told so would give up, and their answers be lost.
pub fn find_template<'a>(
    workspace: &Workspace,
    config: &'a Config,
) -> Result<&'a Template, Failure> {
    if let Some(versioned) = config.templates.get(workspace) {
        return Ok(&versioned.template);
    }
    if config.at == Position::default() {
        let detail = "this entry has not learned the configuration yet";
        return Err(Failure::not_run(Code::NoQuorum, detail).retry_after(LEARN_RETRY));
    }
    Err(Failure::not_run(Code::NotFound, format!("no template for workspace {workspace}")))
}

/// Refuses work while this process or its data centre is to stop.
///
/// A planned stop would otherwise wait for work that keeps coming, and cut it at its deadline.
///
/// # Errors
///
/// A failure with [`Code::Draining`].
pub fn check_not_draining(
    phase: Phase,
    config: &Config,
    node: &Node,
    data_centre: &DataCentre,
) -> Result<(), Failure> {
    let stops = config.stops.values().any(|stop| match &stop.target {
        StopTarget::Node(target) => target == node,
        StopTarget::DataCentre(target) => target == data_centre,
        StopTarget::Endpoint(_) => false,
    });
    if phase == Phase::Running && !stops {
        return Ok(());
    }
    let detail = "this entry is leaving; another one takes the request";
    Err(Failure::not_run(Code::Draining, detail).retry_after(DRAIN_RETRY))
}

/// Refuses a content that was convicted of crashing endpoints (docs/SUSPECTS.md).
///
/// # Errors
///
/// A failure with [`Code::Convicted`].
pub fn check_not_convicted(fingerprint: Fingerprint, config: &Config) -> Result<(), Failure> {
    let Some(conviction) = config.convictions.get(&fingerprint) else { return Ok(()) };
    let detail = format!(
        "this content crashed {} endpoints and is refused; an operator may pardon {fingerprint}",
        conviction.crashes
    );
    Err(Failure::not_run(Code::Convicted, detail))
}

/// Takes a caller's request in: reads its headers, admits it, gives it an identity.
///
/// `content` is what a resend of the same request would have in common with it.
///
/// # Errors
///
/// The refusal, always "not run".
pub fn admit_request(
    context: &Context,
    call: &Call,
    model: Model,
    content: &[u8],
) -> Result<(Job, Admitted), Failure> {
    let config = context.config.current();
    check_not_draining(context.kernel.phases.now(), &config, &context.node, &context.data_centre)?;
    let asked = read_headers(call)?;
    let identity = call.identity.as_ref().ok_or_else(|| {
        Failure::not_run(Code::Unauthenticated, "the bearer token is missing or unknown")
    })?;
    let admitted = authorize(&asked, &identity.principal, &model, &config)?;
    let fingerprint = Fingerprint::of(content);
    check_not_convicted(fingerprint, &config)?;
    let job = Job {
        request: Job::new_request_id(),
        workspace: admitted.workspace.clone(),
        model,
        class: admitted.class,
        deadline: context.now() + admitted.budget_ms,
        repeatable: admitted.repeatable,
        key: admitted.key.clone(),
        fingerprint,
        suspect: config.suspects.contains_key(&fingerprint),
        retries: admitted.retries,
        ..Job::default()
    };
    Ok((job, admitted))
}

/// Adds a header to an answer.
pub fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
