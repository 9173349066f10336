//! Checks a request before any work on it starts.
//!
//! Every refusal has the outcome "not run" and is returned immediately. docs/API.md lists the
//! headers.

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

/// Header with the workspace; required.
pub const WORKSPACE: &str = "chicoryford-workspace";
/// Header with the milliseconds until the deadline, after which the answer is useless to the
/// caller.
pub const DEADLINE: &str = "chicoryford-deadline-ms";
/// Header that lowers the priority class which the template gives the caller.
pub const CLASS: &str = "chicoryford-class";
/// Header with the idempotency key, which identifies resends of a call that may not be repeated.
pub const KEY: &str = "idempotency-key";
/// Header that states whether the request may run more than once.
pub const REPEATABLE: &str = "chicoryford-repeatable";

/// Maximum time until the deadline that a caller may request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 3_600_000;
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Retry delay in milliseconds for a caller refused by a draining entry. By then the load balancer
/// has detected the drain.
const DRAINING_RETRY_MS: u64 = 1_000;
/// Retry delay in milliseconds for a caller refused by an entry without configuration. By then the
/// entry has received it, unless no control process can be reached.
const NO_CONFIG_RETRY_MS: u64 = 500;

/// The parsed headers of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHeaders {
    /// The workspace.
    pub workspace: Workspace,
    /// Milliseconds until the deadline.
    pub deadline_ms: Option<u64>,
    /// The requested class.
    pub class: Option<Class>,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub repeatable: Option<bool>,
}

/// What the template and the headers allow for a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Admitted {
    /// The workspace.
    pub workspace: Workspace,
    /// The priority class, at most that of the template.
    pub class: Class,
    /// Milliseconds until the deadline.
    pub budget_ms: u64,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The retry policy.
    pub retries: Retries,
    /// Maximum number of tokens that the request may ask for.
    pub max_tokens: u32,
}

/// Parses the headers of a request.
///
/// # Errors
///
/// Returns a failure with [`Code::BadRequest`] that names the header.
pub fn read_headers(call: &Call) -> Result<RequestHeaders, Failure> {
    let workspace = call.header(WORKSPACE).ok_or_else(|| malformed(WORKSPACE, "is required"))?;
    let deadline_ms = call.header(DEADLINE).map(read_deadline).transpose()?;
    let class = call.header(CLASS).map(read_class).transpose()?;
    let key = call.header(KEY).map(read_key).transpose()?;
    let repeatable = call.header(REPEATABLE).map(read_flag).transpose()?;
    Ok(RequestHeaders {
        workspace: Workspace::from(workspace),
        deadline_ms,
        class,
        key,
        repeatable,
    })
}

fn malformed(header: &str, what: &str) -> Failure {
    Failure::not_run(Code::BadRequest, format!("header {header} {what}"))
}

fn read_deadline(text: &str) -> Result<u64, Failure> {
    let deadline = text.trim().parse().ok().filter(|ms| *ms <= MAX_DEADLINE_MS);
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
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(malformed(KEY, "must have between 1 and 200 bytes"));
    }
    Ok(IdempotencyKey::from(text))
}

fn read_flag(text: &str) -> Result<bool, Failure> {
    text.parse().map_err(|_| malformed(REPEATABLE, "must be true or false"))
}

/// Checks whether the workspace's template allows `caller` to send the request to `model`.
///
/// # Errors
///
/// Returns the refusal, whose outcome is always "not run".
pub fn authorize(
    headers: &RequestHeaders,
    caller: &Principal,
    model: &Model,
    config: &Config,
) -> Result<Admitted, Failure> {
    let template = find_template(&headers.workspace, config)?;
    let Some(class) = template.callers.get(caller).copied() else {
        let detail = format!("{caller} is not among the callers of {}", headers.workspace);
        return Err(Failure::not_run(Code::Forbidden, detail));
    };
    if !template.models.contains(model) {
        let detail = format!("{model:?} is not among the models of {}", headers.workspace);
        return Err(Failure::not_run(Code::NotFound, detail));
    }
    let budget_ms = headers.deadline_ms.unwrap_or(template.deadline_ms);
    if budget_ms == 0 {
        let detail = "the deadline leaves no time to answer";
        return Err(Failure::not_run(Code::DeadlineTooClose, detail));
    }
    Ok(Admitted {
        workspace: headers.workspace.clone(),
        class: headers.class.map_or(class, |wanted| wanted.min(class)),
        budget_ms,
        key: headers.key.clone(),
        repeatable: headers.repeatable.unwrap_or(template.repeatable),
        retries: template.retries,
        max_tokens: template.limits.tokens,
    })
}

/// Finds the template of a workspace.
///
/// # Errors
///
/// Returns a failure with [`Code::NotFound`], or with [`Code::NoQuorum`] while this entry has no
/// configuration yet.
///
/// An entry does not persist the configuration across restarts. Until it has received the
/// configuration, it cannot decide that a workspace does not exist. Callers that received "not
/// found" would give up, and their answers would be lost.
pub fn find_template<'a>(
    workspace: &Workspace,
    config: &'a Config,
) -> Result<&'a Template, Failure> {
    if let Some(versioned) = config.templates.get(workspace) {
        return Ok(&versioned.template);
    }
    if config.at == Position::default() {
        let detail = "this entry has not received the configuration yet";
        return Err(Failure::not_run(Code::NoQuorum, detail).retry_after(NO_CONFIG_RETRY_MS));
    }
    Err(Failure::not_run(Code::NotFound, format!("workspace {workspace} has no template")))
}

/// Refuses work while the process drains or a planned stop names the node or its data centre.
///
/// Otherwise a planned stop would wait for work that continues to arrive, and interrupt it at the
/// deadline of the stop.
///
/// # Errors
///
/// Returns a failure with [`Code::Draining`].
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
    let detail = "this entry is leaving; send the request to another one";
    Err(Failure::not_run(Code::Draining, detail).retry_after(DRAINING_RETRY_MS))
}

/// Refuses content that was convicted of crashing endpoints (docs/SUSPECTS.md).
///
/// # Errors
///
/// Returns a failure with [`Code::Convicted`].
pub fn check_not_convicted(fingerprint: Fingerprint, config: &Config) -> Result<(), Failure> {
    let Some(conviction) = config.convictions.get(&fingerprint) else { return Ok(()) };
    let detail = format!(
        "this content crashed {} endpoints and is refused; an operator may pardon {fingerprint}",
        conviction.crashes
    );
    Err(Failure::not_run(Code::Convicted, detail))
}

/// Checks a caller's request and creates its job.
///
/// `content` must be equal in all resends of the same request; the fingerprint is computed from it.
///
/// # Errors
///
/// Returns the refusal, whose outcome is always "not run".
pub fn admit_request(
    context: &Context,
    call: &Call,
    model: Model,
    content: &[u8],
) -> Result<(Job, Admitted), Failure> {
    let config = context.config.current();
    check_not_draining(context.kernel.phases.now(), &config, &context.node, &context.data_centre)?;
    let headers = read_headers(call)?;
    let identity = call.identity.as_ref().ok_or_else(|| {
        Failure::not_run(Code::Unauthenticated, "the bearer token is missing or unknown")
    })?;
    let admitted = authorize(&headers, &identity.principal, &model, &config)?;
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

/// Sets a header of a response. A value that is not a valid header value is ignored.
pub fn set_header(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        reply.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
