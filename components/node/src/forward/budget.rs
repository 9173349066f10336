//! Limits of a request in time and endpoints, over all of its passes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;

use chicoryford_fleet::Grant;
use chicoryford_fleet::open_runs::allowed_calls;
use chicoryford_fleet::pacing::CallPlace;
use chicoryford_fleet::run::CallCost;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use crate::clock;

/// Limits of a request over all passes in which it is forwarded: endpoints get the same deadline in
/// each pass, and no more of them run the request than its route allows.
pub struct Budget {
    pub(super) deadline: Millis,
    pub(super) spent: RefCell<CallCost>,
    /// The rights to a call that several processes may execute.
    shared: Option<SharedCall>,
    /// Notified when the request is sent to another endpoint, or when one was found to have ended.
    pub(super) changed: Notify,
    /// Notified when the request may be sent to more endpoints, for its passes that wait for one.
    pub(super) widened: Notify,
    /// Its place among the calls that wait for windows, which it keeps over all passes.
    pub(super) place: Cell<Option<CallPlace>>,
    /// Attempts in all passes whose connection broke.
    pub(super) broken: Cell<u32>,
}

/// The rights of this process to a call that several processes may execute.
struct SharedCall {
    /// The endpoints that may be called.
    grant: RefCell<Grant>,
    /// The endpoints to which other processes are known to have sent the call.
    called_before: BTreeSet<String>,
    /// The endpoints that the log contains.
    recorded_calls: RefCell<BTreeSet<String>>,
    /// The failures of the call that are recorded.
    recorded_failures: Cell<u32>,
    /// Endpoints that refused a connection.
    refused: RefCell<BTreeSet<String>>,
    /// Endpoints that this process found to have ended.
    ended: RefCell<BTreeSet<String>>,
    /// Returns whether the call is still wanted.
    is_wanted: Box<dyn Fn() -> bool>,
    /// Notified when the grant is extended.
    extended: Notify,
}

impl SharedCall {
    /// Returns whether the call may be sent to an endpoint to which it was not sent before.
    fn may_call(&self, spent: &CallCost) -> bool {
        let own = || spent.endpoints.difference(&self.called_before);
        let recorded = self.recorded_calls.borrow();
        own().count() < allowed_calls(own().filter(|id| recorded.contains(*id)).count())
    }
}

impl Budget {
    /// Creates the budget of a request whose caller waits until `deadline`.
    pub fn new(deadline: Millis) -> Self {
        let (spent, changed, widened) = (RefCell::default(), Notify::new(), Notify::new());
        let (place, broken) = (Cell::default(), Cell::default());
        Self { deadline, spent, shared: None, changed, widened, place, broken }
    }

    /// Creates the budget of a request that other processes may have forwarded before, or may
    /// forward concurrently. It is sent only to endpoints of the grant, and only while `is_wanted`
    /// returns true, which is evaluated before each attempt: a process that was frozen must not act
    /// on what it knew before.
    pub fn shared(
        deadline: Millis,
        spent: CallCost,
        grant: Grant,
        is_wanted: impl Fn() -> bool + 'static,
    ) -> Self {
        let shared = SharedCall {
            grant: RefCell::new(grant),
            called_before: spent.endpoints.clone(),
            recorded_calls: RefCell::default(),
            recorded_failures: Cell::new(spent.failures),
            refused: RefCell::default(),
            ended: RefCell::default(),
            is_wanted: Box::new(is_wanted),
            extended: Notify::new(),
        };
        Self { spent: RefCell::new(spent), shared: Some(shared), ..Self::new(deadline) }
    }

    /// Returns the milliseconds for which the caller still waits.
    pub fn left_ms(&self) -> u64 {
        self.deadline.since(clock::now())
    }

    /// Returns whether the request may be sent now.
    pub(super) fn permits_send(&self) -> bool {
        self.left_ms() > 0 && self.shared.as_ref().is_none_or(|shared| (shared.is_wanted)())
    }

    /// Returns whether the request may be sent to an endpoint, if at most `limit` endpoints may run
    /// it.
    pub(super) fn allows(&self, id: &str, limit: usize) -> bool {
        let spent = self.spent.borrow();
        if let Some(shared) = &self.shared {
            let is_called = spent.endpoints.contains(id);
            return shared.grant.borrow().allows(id) && (is_called || shared.may_call(&spent));
        }
        spent.endpoints.len() < limit || spent.endpoints.contains(id)
    }

    /// Returns how many attempts broke in all passes. An endpoint may have crashed under each.
    pub fn broken(&self) -> u32 {
        self.broken.get()
    }

    /// Returns whether the call is owed whatever crashes under it: that of a sample's scorer, which is
    /// part of the sample. It is neither refused nor accused for its content, because a refusal would
    /// hold back the sample for a day; its host paces it instead.
    pub(super) fn is_owed(&self) -> bool {
        self.is_shared()
    }

    /// Returns whether only granted endpoints may be called.
    pub(super) fn is_shared(&self) -> bool {
        self.shared.is_some()
    }

    /// Returns the granted endpoints that fulfil a condition. A call waits with hundreds of others,
    /// so it examines its few endpoints and not all of the fleet.
    pub(super) fn granted(&self, condition: impl Fn(&str) -> bool) -> BTreeSet<String> {
        let Some(shared) = &self.shared else { return BTreeSet::new() };
        let grant = shared.grant.borrow();
        grant.endpoints.iter().filter(|id| condition(id)).cloned().collect()
    }

    /// Returns how many granted endpoints may be called now and fulfil a condition.
    pub(super) fn count_callable(&self, condition: impl Fn(&str) -> bool) -> usize {
        let Some(shared) = &self.shared else { return 0 };
        let spent = self.spent.borrow();
        let grant = shared.grant.borrow();
        let may_call = |id: &str| spent.endpoints.contains(id) || shared.may_call(&spent);
        let callable = grant.endpoints.iter().filter(|id| grant.allows(id) && may_call(id));
        callable.filter(|id| condition(id)).count()
    }

    /// Records that nothing accepts connections at an endpoint's address. If that is so in two
    /// passes, the endpoint has ended.
    pub(super) fn record_refusal(&self, id: &str) {
        let known = self.shared.as_ref().map(|shared| &shared.refused);
        if known.is_some_and(|refused| !refused.borrow_mut().insert(id.to_owned())) {
            self.record_end(id);
        }
    }

    /// Records that a granted endpoint has ended. The leader may grant another one instead.
    pub(super) fn record_end(&self, id: &str) {
        if let Some(shared) = &self.shared
            && shared.grant.borrow_mut().ended.insert(id.to_owned())
        {
            shared.ended.borrow_mut().insert(id.to_owned());
            self.changed.notify_one();
        }
    }

    /// Adds endpoints to the grant, and the failures that are recorded, at this process or others.
    pub fn extend(&self, added: &Grant, failures: u32) {
        if let Some(shared) = &self.shared {
            shared.grant.borrow_mut().merge(added);
            shared.recorded_failures.set(shared.recorded_failures.get().max(failures));
            let mut spent = self.spent.borrow_mut();
            spent.failures = spent.failures.max(failures);
            shared.extended.notify_one();
            self.widened.notify_waiters();
        }
    }

    /// Records that the log contains the endpoints to which the call was sent.
    pub fn record_calls(&self, endpoints: &BTreeSet<String>) {
        if let Some(shared) = &self.shared {
            shared.recorded_calls.borrow_mut().extend(endpoints.iter().cloned());
            shared.extended.notify_one();
            self.widened.notify_waiters();
        }
    }

    /// Returns whether a failure of the call is not recorded yet. If the call were repeated, and this
    /// process lost, the next one would count from too few failures.
    pub fn has_unrecorded_failures(&self) -> bool {
        let recorded = self.shared.as_ref().map(|shared| shared.recorded_failures.get());
        recorded.is_some_and(|recorded| recorded < self.spent.borrow().failures)
    }

    /// Waits until the grant is extended, or more of the call is recorded.
    pub async fn extended(&self) {
        match &self.shared {
            Some(shared) => shared.extended.notified().await,
            None => std::future::pending().await,
        }
    }

    /// Returns the granted endpoints that this process found to have ended. Others that are not called
    /// any more may be alive.
    pub fn ended(&self) -> BTreeSet<String> {
        self.shared.as_ref().map(|shared| shared.ended.borrow().clone()).unwrap_or_default()
    }

    /// Waits until the request is sent to an endpoint that it was not sent to before, or until an
    /// endpoint is found to have ended.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns what was spent so far.
    pub fn spent(&self) -> CallCost {
        self.spent.borrow().clone()
    }
}
