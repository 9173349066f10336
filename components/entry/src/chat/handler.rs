//! Handler of generations.

use chicoryford_types::Failure;
use chicoryford_wire::Call;
use chicoryford_wire::Reply;
use chicoryford_wire::reply;

use crate::admit;
use crate::chat::body;
use crate::chat::body::ApiKind;
use crate::chat::body::Body;
use crate::chat::events;
use crate::chat::response;
use crate::chat::response::ResponseHead;
use crate::context::Context;
use crate::run::GenerationStream;
use crate::run::Piece;

/// Handles one generation.
pub async fn answer(context: Context, kind: ApiKind, call: Call) -> Reply {
    let metrics = context.kernel.metrics.clone();
    metrics.count("entry.generation", 1);
    let started = context.now();
    let reply = match run(&context, kind, &call).await {
        Ok(reply) => reply,
        Err(failure) => {
            metrics.count("entry.generation.failed", 1);
            reply::failure(&failure)
        }
    };
    metrics.time("entry.generation.first", context.now().since(started));
    reply
}

async fn run(context: &Context, kind: ApiKind, call: &Call) -> Result<Reply, Failure> {
    let body: Body = call.json()?;
    let content = content(&body);
    let (job, admitted) = admit::admit_request(context, call, body.model.clone(), &content)?;
    let task = body::generation(kind, &body, admitted.max_tokens)?;
    let mut stream = GenerationStream::enter(context.clone(), job, task).await?;
    let head = ResponseHead::new(kind, &stream);
    // The response starts after the first piece was received, so that a refusal has its own status
    // code, which even a client that checks only the status code notices.
    let mut piece = stream.next().await?;
    if body.stream {
        return Ok(reply::stream(reply::EVENTS, events::events(head, stream, piece)));
    }
    loop {
        if let Piece::Finished(reason) = piece {
            return Ok(reply::json(200, &response::complete(&head, &stream, &reason)));
        }
        piece = stream.next().await?;
    }
}

/// Returns the bytes that are equal in all resends of the same generation.
fn content(body: &Body) -> Vec<u8> {
    let mut content = body.model.as_str().as_bytes().to_vec();
    for message in &body.messages {
        content.push(0);
        content.extend_from_slice(message.content.to_string().as_bytes());
    }
    if let Some(prompt) = &body.prompt {
        content.push(0);
        content.extend_from_slice(prompt.to_string().as_bytes());
    }
    content
}
