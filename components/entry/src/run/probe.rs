//! Queries agents for the state of attempts, over new connections.

use std::time::Duration;

use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::AttemptState;
use chicoryford_wire::CallError;
use chicoryford_wire::paths;

use crate::context::Context;

/// Timeout for an agent's reply.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of times a cancellation is sent until the agent confirms it.
const CANCEL_ATTEMPTS: u32 = 3;

/// Queries the state of an attempt.
///
/// It uses a new connection, because the one on which the attempt was sent may have gone silent
/// permanently while the endpoint still works.
///
/// # Errors
///
/// Returns [`CallError`] if the agent could not be queried.
pub async fn query(
    context: &Context,
    address: &str,
    question: &AttemptQuestion,
) -> Result<AttemptState, CallError> {
    context.fresh_client.call(address, paths::ATTEMPT, question, PROBE_TIMEOUT).await
}

/// Cancels an attempt whose result nobody waits for, so that its slot becomes free. Runs in the
/// background.
pub fn cancel(context: &Context, address: &str, question: AttemptQuestion) {
    let (context, address) = (context.clone(), address.to_owned());
    let question = AttemptQuestion { cancel: true, ..question };
    actix_rt::spawn(async move {
        for turn in 1..=CANCEL_ATTEMPTS {
            if query(&context, &address, &question).await.is_ok() {
                return;
            }
            actix_rt::time::sleep(PROBE_TIMEOUT * turn).await;
        }
        let AttemptQuestion { request, attempt, .. } = question;
        tracing::warn!(event = "cancel_unconfirmed", %request, %attempt, agent = address);
    });
}
