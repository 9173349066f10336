//! Calls of plain services: `POST /v1/services/<service>/<path>`.

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

/// Tells how many attempts an answer took.
const ATTEMPTS: &str = "chicoryford-attempts";
/// Names the request, for logs and questions to operators.
const REQUEST: &str = "chicoryford-request";

/// Answers one call.
pub async fn answer(context: Context, call: Call) -> Reply {
    match run(&context, &call).await {
        Ok((job, served)) => whole(&job, served),
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
        Err(failure) => return Err(at_the_door(context, call, failure).await),
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

/// Makes the refusal of an entry that leaves or has just started true of a resend as well, which
/// comes to it because the entry that took the first sending has died.
async fn at_the_door(context: &Context, call: &Call, failure: Failure) -> Failure {
    let passes = matches!(failure.code, Code::Draining | Code::NoQuorum);
    match admit::read_headers(call) {
        Ok(RequestHeaders { workspace, key: Some(key), .. }) if passes => {
            outcome::unknown_if_claimed(context, &workspace, &key, failure).await
        }
        _ => failure,
    }
}

/// Reads the service and the path below it.
fn target(path: &str) -> Result<(Model, String), Failure> {
    let rest = path.strip_prefix(paths::SERVICES).unwrap_or_default();
    let (model, path) = rest.split_once('/').unwrap_or((rest, ""));
    if model.is_empty() {
        return Err(Failure::not_run(Code::NotFound, "the path names no service"));
    }
    Ok((Model::from(model), format!("/{path}")))
}

/// Gives what a resend of the same content has in common, whatever its identifiers.
fn content(call: &Call) -> Vec<u8> {
    [call.path.as_bytes(), b"\0", &call.body].concat()
}

fn whole(job: &Job, served: ServiceReply) -> Reply {
    let ServiceReply { answer, attempts } = served;
    let mut reply = reply::bytes(answer.status, &answer.media, answer.body);
    admit::set_header(&mut reply, REQUEST, &job.request.to_string());
    admit::set_header(&mut reply, ATTEMPTS, &attempts.to_string());
    reply
}
