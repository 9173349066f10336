//! Asks an agent over a new connection what became of an attempt.

use std::time::Duration;

use chicoryford_types::Attempt;
use chicoryford_types::RequestId;
use chicoryford_types::request::AttemptState;
use chicoryford_wire::CallError;
use chicoryford_wire::paths;
use serde::Deserialize;
use serde::Serialize;

use crate::context::Context;

/// The longest wait for an agent's word.
const PATIENCE: Duration = Duration::from_secs(2);
/// How often a cancellation that found no agent is repeated.
const CANCEL_TRIES: u32 = 3;

/// What is asked of an agent at `paths::ATTEMPT`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Question {
    /// The request.
    pub request: RequestId,
    /// Which try of it.
    pub attempt: Attempt,
    /// Whether the attempt is to stop.
    pub cancel: bool,
}

/// Asks what became of an attempt.
///
/// It uses a new connection, because the one on which the attempt was sent may have gone silent
/// for good while the endpoint works on.
///
/// # Errors
///
/// [`CallError`] if the agent could not be asked.
pub async fn ask(
    context: &Context,
    address: &str,
    question: Question,
) -> Result<AttemptState, CallError> {
    context.fresh.call(address, paths::ATTEMPT, &question, PATIENCE).await
}

/// Tells an agent to stop an attempt that nobody waits for, so that its slot is free again.
pub fn cancel(context: &Context, address: &str, request: RequestId, attempt: Attempt) {
    let (context, address) = (context.clone(), address.to_owned());
    let question = Question { request, attempt, cancel: true };
    actix_rt::spawn(async move {
        for turn in 1..=CANCEL_TRIES {
            if ask(&context, &address, question).await.is_ok() {
                return;
            }
            actix_rt::time::sleep(PATIENCE * turn).await;
        }
        tracing::warn!(event = "cancel_unconfirmed", %request, %attempt, agent = address);
    });
}
