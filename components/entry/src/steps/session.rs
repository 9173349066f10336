//! Maintains this entry's session with the leader. The session is the lease on the steps that the
//! entry runs.

use std::rc::Rc;
use std::time::Duration;

use chicoryford_kernel::Sender;
use chicoryford_ledger::Audit;
use chicoryford_ledger::StepKey;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_state::SessionRenewal;
use chicoryford_state::SessionRenewalReply;
use chicoryford_types::Millis;
use chicoryford_wire::paths;

use crate::bodies::audit::BodyAudit;
use crate::context::Context;
use crate::steps::handle::Notice;

/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a control process's reply to a renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout for opening or closing a session.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// A session held by this entry.
struct Session {
    number: u64,
    expires: Millis,
}

/// Opens a session, renews it until the process exits, and notifies the duty when it is opened or
/// lost.
///
/// The lease is measured with this process's monotonic clock, from the time just before the renewal
/// was sent. An entry that was suspended or disconnected therefore stops its steps before the
/// leader assigns them to another one. If it does not, the ledger still refuses records of a
/// previous owner.
pub async fn maintain(context: Context, notices: Sender<Notice>, bodies: Rc<BodyAudit>) {
    let mut session: Option<Session> = None;
    let mut lost: Option<u64> = None;
    loop {
        session = match (session, lost) {
            (None, Some(number)) if !close(&context, number).await => None,
            (None, _) => {
                lost = None;
                open(&context, &notices).await
            }
            (Some(session), _) => {
                let number = session.number;
                let session = renew(&context, &notices, session, &bodies).await;
                lost = session.is_none().then_some(number);
                session
            }
        };
        actix_rt::time::sleep(RENEWAL_INTERVAL).await;
    }
}

/// Closes a session that this entry has given up.
///
/// The session may still be open at the leader, for instance because the leader was disconnected as
/// well, or is new and grants every session a full lease. If it were reopened under the same
/// number, it would continue to own the steps that this entry has stopped; nobody would run them,
/// and their trainer would wait forever. Closing the session makes the steps orphans that any
/// entry can take.
async fn close(context: &Context, session: u64) -> bool {
    let closed = context.proposer.propose(&Command::CloseSession { session }, OPEN_TIMEOUT).await;
    closed.is_ok()
}

async fn open(context: &Context, notices: &Sender<Notice>) -> Option<Session> {
    let own = context.members.own();
    let command = Command::OpenSession { node: own.node, incarnation: own.incarnation };
    let number = match context.proposer.propose(&command, OPEN_TIMEOUT).await {
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
    let session = Session { number, expires: context.now() };
    let (renewed, sent) = send_renewal(context, number, None).await?;
    if !renewed.held {
        return None;
    }
    tracing::info!(event = "session_opened", session = number);
    let _ = notices.send(Notice::Session(Some(number))).await;
    send_orphans(notices, renewed.orphans).await;
    Some(Session { expires: sent + renewed.lasts_ms, ..session })
}

async fn renew(
    context: &Context,
    notices: &Sender<Notice>,
    session: Session,
    bodies: &BodyAudit,
) -> Option<Session> {
    let audit = bodies.next_audit(context, session.number);
    let has_audit = audit.is_some();
    let reply = send_renewal(context, session.number, audit).await;
    if has_audit {
        bodies
            .apply_reply(context, reply.as_ref().and_then(|(renewed, _)| renewed.audited.as_ref()));
    }
    match reply {
        Some((renewed, sent)) if renewed.held => {
            send_orphans(notices, renewed.orphans).await;
            return Some(Session { expires: sent + renewed.lasts_ms, ..session });
        }
        None if context.now() < session.expires => return Some(session),
        _ => {}
    }
    tracing::warn!(event = "session_lost", session = session.number);
    context.kernel.metrics.count("entry.session.lost", 1);
    let _ = notices.send(Notice::Session(None)).await;
    None
}

async fn send_orphans(notices: &Sender<Notice>, orphans: Vec<StepKey>) {
    if !orphans.is_empty() {
        let _ = notices.send(Notice::Orphans(orphans)).await;
    }
}

/// Sends a renewal to one control process after the other until one replies on behalf of the
/// leader. Returns the reply and the time just before it was requested.
async fn send_renewal(
    context: &Context,
    session: u64,
    audit: Option<Audit>,
) -> Option<(SessionRenewalReply, Millis)> {
    let request = SessionRenewal { node: context.node.clone(), session, audit };
    let members = context.members.view();
    for member in members.present().filter(|member| member.roles.control) {
        let sent = context.now();
        let reply = context.client.call(&member.address, paths::RENEW, &request, RENEWAL_TIMEOUT);
        match reply.await {
            Ok(renewed) => return Some((renewed, sent)),
            Err(error) => {
                let node = &member.node;
                tracing::debug!(event = "renewal_unanswered", %node, %error);
            }
        }
    }
    None
}
