//! Audits stored bodies: queries the ledger, along with the renewals of this entry's session, which
//! bodies are still needed and which lack holders.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_bodies::Auditor;
use chicoryford_ledger::Audit;
use chicoryford_ledger::AuditReply;

use crate::bodies::repair;
use crate::bodies::replicate;
use crate::context::Context;

/// State of the audit of the bodies stored at this entry.
#[derive(Default)]
pub struct BodyAudit {
    auditor: RefCell<Auditor>,
    /// Whether a repair is running.
    is_repairing: Rc<Cell<bool>>,
    /// Whether this entry is leaving and its copies are no longer needed.
    is_released: Cell<bool>,
}

impl BodyAudit {
    /// Returns whether this entry, which is leaving, may exit: the other entries have copies of all
    /// its bodies, or there is no entry left to copy them to. Without this condition, a rolling
    /// restart of all entries would lose all bodies, even if each entry is ready before the next
    /// one stops.
    pub fn can_leave(&self, context: &Context) -> bool {
        self.is_released.get() || context.bodies.store().is_empty()
    }

    /// Returns the audit to send with a renewal. Returns `None` while a repair is running, because
    /// the reply would name the same bodies again.
    pub fn next_audit(&self, context: &Context, session: u64) -> Option<Audit> {
        if self.is_repairing.get() {
            return None;
        }
        let present = repair::eligible_holders(context);
        if replicate::is_leaving(context) {
            self.is_released.set(present.is_empty());
            let (node, leaving) = (context.node.clone(), true);
            return Some(Audit { node, session, present, leaving, ..Audit::default() });
        }
        self.is_released.set(false);
        let stored = || context.bodies.store().steps();
        let audit = self.auditor.borrow_mut().next_audit(present, stored, context.now())?;
        Some(Audit { node: context.node.clone(), session, ..audit })
    }

    /// Applies the reply to an audit: drops bodies that are no longer needed, and starts to repair
    /// those that lack holders.
    pub fn apply_reply(&self, context: &Context, audited: Option<&AuditReply>) {
        self.auditor.borrow_mut().handle_reply(audited);
        let Some(audited) = audited else { return };
        let dropped = context.bodies.store().retain(&audited.wanted, context.now());
        if dropped > 0 {
            tracing::debug!(event = "bodies_dropped", count = dropped);
        }
        if audited.lacking.is_empty() {
            self.is_released.set(replicate::is_leaving(context));
            return;
        }
        self.is_repairing.set(true);
        let (is_repairing, context) = (self.is_repairing.clone(), context.clone());
        let lacking = audited.lacking.clone();
        actix_rt::spawn(async move {
            repair::repair(context, lacking).await;
            is_repairing.set(false);
        });
    }
}
