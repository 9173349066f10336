//! Keeps this entry's session with the leader, the lease on its steps.

use std::rc::Rc;
use std::time::Duration;

use chicoryford_kernel::Sender;
use chicoryford_ledger::Audit;
use chicoryford_ledger::StepKey;
use chicoryford_state::Command;
use chicoryford_state::Renew;
use chicoryford_state::Renewed;
use chicoryford_state::Reply;
use chicoryford_types::Millis;
use chicoryford_wire::paths;

use crate::bodies::audit::BodyAudit;
use crate::context::Context;
use crate::steps::handle::Notice;

/// The time between two renewals.
const EVERY: Duration = Duration::from_secs(1);
/// The longest wait for a control process's answer to a renewal.
const PATIENCE: Duration = Duration::from_millis(800);
/// The longest wait for a session to be opened.
const OPEN: Duration = Duration::from_secs(5);

/// A session as this entry holds it.
struct Held {
    number: u64,
    until: Millis,
}

/// Opens a session and renews it for ever; tells the duty when it is opened or lost.
///
/// The lease is counted on this process's own monotonic clock from before the renewal was sent.
/// An entry that was stopped or cut off therefore stops its steps before the leader gives them
/// to another; should it not, the ledger refuses what an earlier owner records.
pub async fn maintain(context: Context, notices: Sender<Notice>, bodies: Rc<BodyAudit>) {
    let mut held: Option<Held> = None;
    let mut lost: Option<u64> = None;
    loop {
        held = match (held, lost) {
            (None, Some(number)) if !close(&context, number).await => None,
            (None, _) => {
                lost = None;
                open(&context, &notices).await
            }
            (Some(held), _) => {
                let number = held.number;
                let held = renew(&context, &notices, held, &bodies).await;
                lost = held.is_none().then_some(number);
                held
            }
        };
        actix_rt::time::sleep(EVERY).await;
    }
}

/// Closes a session that this entry gave up.
///
/// The leader may still hold it: it was cut off as well, or is new and gives all sessions a whole
/// period. Opened again under the same number, the session would go on owning steps that this
/// entry has stopped, so that nobody ran them and their trainer waited for ever. Closed, they
/// are orphans that any entry takes.
async fn close(context: &Context, session: u64) -> bool {
    let closed = context.proposer.propose(&Command::CloseSession { session }, OPEN).await;
    closed.is_ok()
}

async fn open(context: &Context, notices: &Sender<Notice>) -> Option<Held> {
    let own = context.members.own();
    let command = Command::OpenSession { node: own.node, incarnation: own.incarnation };
    let number = match context.proposer.propose(&command, OPEN).await {
        Ok(Reply::Session { session }) => session,
        Ok(reply) => {
            tracing::warn!(event = "session_refused", ?reply);
            return None;
        }
        Err(failure) => {
            tracing::info!(event = "session_waits", %failure);
            return None;
        }
    };
    let held = Held { number, until: context.now() };
    let (renewed, sent) = ask(context, number, None).await?;
    if !renewed.held {
        return None;
    }
    tracing::info!(event = "session_opened", session = number);
    let _ = notices.send(Notice::Session(Some(number))).await;
    tell_orphans(notices, renewed.orphans).await;
    Some(Held { until: sent + renewed.lasts_ms, ..held })
}

async fn renew(
    context: &Context,
    notices: &Sender<Notice>,
    held: Held,
    bodies: &BodyAudit,
) -> Option<Held> {
    let audit = bodies.next_audit(context, held.number);
    let asked = audit.is_some();
    let answer = ask(context, held.number, audit).await;
    if asked {
        bodies.apply_answer(
            context,
            answer.as_ref().and_then(|(renewed, _)| renewed.audited.as_ref()),
        );
    }
    match answer {
        Some((renewed, sent)) if renewed.held => {
            tell_orphans(notices, renewed.orphans).await;
            return Some(Held { until: sent + renewed.lasts_ms, ..held });
        }
        None if context.now() < held.until => return Some(held),
        _ => {}
    }
    tracing::warn!(event = "session_lost", session = held.number);
    context.kernel.metrics.count("entry.session.lost", 1);
    let _ = notices.send(Notice::Session(None)).await;
    None
}

async fn tell_orphans(notices: &Sender<Notice>, orphans: Vec<StepKey>) {
    if !orphans.is_empty() {
        let _ = notices.send(Notice::Orphans(orphans)).await;
    }
}

/// Asks the control processes until one answers for the leader.
async fn ask(context: &Context, session: u64, audit: Option<Audit>) -> Option<(Renewed, Millis)> {
    let question = Renew { node: context.node.clone(), session, audit };
    let members = context.members.view();
    for member in members.present().filter(|member| member.roles.control) {
        let sent = context.now();
        let answer = context.client.call(&member.address, paths::RENEW, &question, PATIENCE);
        match answer.await {
            Ok(renewed) => return Some((renewed, sent)),
            Err(error) => {
                let node = &member.node;
                tracing::debug!(event = "renewal_unanswered", %node, %error);
            }
        }
    }
    None
}
