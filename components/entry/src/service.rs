//! Handler of calls to plain services: `POST /v1/services/<service>/<path>`.

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Model;
use chicoryford_types::request::ServiceCall;
use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::paths;
use chicoryford_wire::reply;

use crate::admit;
use crate::admit::RequestHeaders;
use crate::context::Context;
use crate::run::Job;
use crate::run::at_most_once;
use crate::run::at_most_once::outcome;
use crate::run::service_call;
use crate::run::service_call::ServiceReply;

/// Response header with the number of attempts.
const ATTEMPTS: &str = "chicoryford-attempts";
/// Response header with the request identifier, to find the request in logs.
const REQUEST: &str = "chicoryford-request";

/// Handles one call.
pub async fn answer(context: Context, call: Call) -> Reply {
    match run(&context, &call).await {
        Ok((job, served)) => build_reply(&job, served),
        Err(failure) => {
            context.kernel.metrics.count("entry.service.failed", 1);
            reply::failure(&failure)
        }
    }
}

async fn run(context: &Context, call: &Call) -> Result<(Job, ServiceReply), Failure> {
    let (model, path) = target(&call.path)?;
    let content = content(call);
    let (job, admitted) = match admit::admit_request(context, call, model, &content) {
        Ok(admitted) => admitted,
        Err(failure) => return Err(correct_refusal(context, call, failure).await),
    };
    let media = call.header("content-type").unwrap_or("application/octet-stream");
    let task = ServiceCall { path, media: media.to_owned(), body: call.body.clone() };
    let served = if admitted.repeatable {
        service_call::call(context, job.clone(), task).await?
    } else {
        at_most_once::call(context, job.clone(), task, &content).await?
    };
    Ok((job, served))
}

/// Corrects the outcome of a refusal by an entry that is leaving or has just started. The call may
/// be a resend that arrives here because the entry which received the first request has crashed.
async fn correct_refusal(context: &Context, call: &Call, failure: Failure) -> Failure {
    let is_temporary = matches!(failure.code, Code::Draining | Code::NoQuorum);
    match admit::read_headers(call) {
        Ok(RequestHeaders { workspace, key: Some(key), .. }) if is_temporary => {
            outcome::unknown_if_claimed(context, &workspace, &key, failure).await
        }
        _ => failure,
    }
}

/// Splits the path into the service and the path at the service.
fn target(path: &str) -> Result<(Model, String), Failure> {
    let rest = path.strip_prefix(paths::SERVICES).unwrap_or_default();
    let (model, path) = rest.split_once('/').unwrap_or((rest, ""));
    if model.is_empty() {
        return Err(Failure::not_run(Code::NotFound, "the path does not name a service"));
    }
    Ok((Model::from(model), format!("/{path}")))
}

/// Returns the bytes that are equal in all resends of the same call.
fn content(call: &Call) -> Vec<u8> {
    [call.path.as_bytes(), b"\0", &call.body].concat()
}

fn build_reply(job: &Job, served: ServiceReply) -> Reply {
    let ServiceReply { answer, attempts } = served;
    let mut reply = reply::bytes(answer.status, &answer.media, answer.body);
    admit::set_header(&mut reply, REQUEST, &job.request.to_string());
    admit::set_header(&mut reply, ATTEMPTS, &attempts.to_string());
    reply
}
