//! Asks an agent over a new connection what became of an attempt.

use std::time::Duration;

use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::AttemptState;
use chicoryford_wire::CallError;
use chicoryford_wire::paths;

use crate::context::Context;

/// The longest wait for an agent's word.
const PATIENCE: Duration = Duration::from_secs(2);
/// How often a cancellation that found no agent is repeated.
const CANCEL_TRIES: u32 = 3;

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
    question: &AttemptQuestion,
) -> Result<AttemptState, CallError> {
    context.fresh_client.call(address, paths::ATTEMPT, question, PATIENCE).await
}

/// Tells an agent to stop an attempt that nobody waits for, so that its slot is free again.
pub fn cancel(context: &Context, address: &str, question: AttemptQuestion) {
    let (context, address) = (context.clone(), address.to_owned());
    let question = AttemptQuestion { cancel: true, ..question };
    actix_rt::spawn(async move {
        for turn in 1..=CANCEL_TRIES {
            if ask(&context, &address, &question).await.is_ok() {
                return;
            }
            actix_rt::time::sleep(PATIENCE * turn).await;
        }
        let AttemptQuestion { request, attempt, .. } = question;
        tracing::warn!(event = "cancel_unconfirmed", %request, %attempt, agent = address);
    });
}
