//! Asks the ledger about bodies with the renewals of this entry's session.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_bodies::Auditor;
use chicoryford_ledger::Audit;
use chicoryford_ledger::Audited;

use crate::bodies::repair;
use crate::bodies::replicate;
use crate::context::Context;

/// What the entry asks, and whether a repair runs.
#[derive(Default)]
pub struct BodyAudit {
    auditor: RefCell<Auditor>,
    repairs: Rc<Cell<bool>>,
    /// Whether this entry leaves, and nothing needs its copies any more.
    clear: Cell<bool>,
}

impl BodyAudit {
    /// Tells whether this entry, which leaves, may end: the others have copies of all that it
    /// holds, or there is nobody to copy it to. Otherwise a restart of all entries one after the
    /// other, each ready before the next, would lose what all of them held.
    pub fn can_leave(&self, context: &Context) -> bool {
        self.clear.get() || context.bodies.store().is_empty()
    }

    /// Gives the question to send with a renewal. None while a repair runs: the answer would name
    /// the same bodies again.
    pub fn next_audit(&self, context: &Context, session: u64) -> Option<Audit> {
        if self.repairs.get() {
            return None;
        }
        let present = repair::present(context);
        if replicate::is_leaving(context) {
            self.clear.set(present.is_empty());
            let (node, leaving) = (context.node.clone(), true);
            return Some(Audit { node, session, present, leaving, ..Audit::default() });
        }
        self.clear.set(false);
        let holds = || context.bodies.store().steps();
        let audit = self.auditor.borrow_mut().question(present, holds, context.now())?;
        Some(Audit { node: context.node.clone(), session, ..audit })
    }

    /// Drops what is of no use and begins to repair what lacks holders.
    pub fn apply_answer(&self, context: &Context, audited: Option<&Audited>) {
        self.auditor.borrow_mut().answered(audited);
        let Some(audited) = audited else { return };
        let dropped = context.bodies.store().retain(&audited.wanted, context.now());
        if dropped > 0 {
            tracing::debug!(event = "bodies_dropped", count = dropped);
        }
        if audited.lacking.is_empty() {
            self.clear.set(replicate::is_leaving(context));
            return;
        }
        self.repairs.set(true);
        let (repairs, context) = (self.repairs.clone(), context.clone());
        let lacking = audited.lacking.clone();
        actix_rt::spawn(async move {
            repair::repair(context, lacking).await;
            repairs.set(false);
        });
    }
}
