//! Answers generations.

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

/// Answers one generation.
pub async fn answer(context: Context, kind: ApiKind, call: Call) -> Reply {
    let metrics = context.kernel.metrics.clone();
    metrics.count("entry.generation", 1);
    let begun = context.now();
    let answered = match run(&context, kind, &call).await {
        Ok(reply) => reply,
        Err(failure) => {
            metrics.count("entry.generation.failed", 1);
            reply::failure(&failure)
        }
    };
    metrics.time("entry.generation.first", context.now().since(begun));
    answered
}

async fn run(context: &Context, kind: ApiKind, call: &Call) -> Result<Reply, Failure> {
    let body: Body = call.json()?;
    let content = content(&body);
    let (job, admitted) = admit::admit_request(context, call, body.model.clone(), &content)?;
    let task = body::generation(kind, &body, admitted.tokens)?;
    let mut generating = GenerationStream::enter(context.clone(), job, task).await?;
    let head = ResponseHead::new(kind, &generating);
    // The first piece is awaited before the answer begins, so that a refusal has its own status
    // and a client that reads only the status sees it.
    let mut piece = generating.next().await?;
    if body.stream {
        return Ok(reply::stream(reply::EVENTS, events::events(head, generating, piece)));
    }
    loop {
        if let Piece::Finished(reason) = piece {
            return Ok(reply::json(200, &response::complete(&head, &generating, &reason)));
        }
        piece = generating.next().await?;
    }
}

/// Gives what a resend of the same generation has in common, whatever its identifiers.
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
