//! Handle through which other threads send messages to the router duty.

use chicoryford_kernel::Sender;
use chicoryford_kernel::ring::RingError;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::LoadReport;
use chicoryford_types::RequestId;
use tokio::sync::oneshot;

use crate::router::query::AttemptEnd;
use crate::router::query::EndpointQuery;
use crate::router::query::LateSample;
use crate::router::query::Pick;
use crate::router::query::RetryQuery;

/// Registry name of the [`Router`].
pub const SERVICE: &str = "router";

/// Retry delay in milliseconds for a request that was refused because the router's queue is full.
const QUEUE_FULL_RETRY_MS: u64 = 500;

/// Receives the result of an admission.
pub type AdmitSender = oneshot::Sender<Result<(RequestPermit, AttemptPermit), Failure>>;

/// A message to the router duty.
pub enum RouterMessage {
    /// Requests admission.
    Admit(Box<EndpointQuery>, AdmitSender),
    /// An admitted request ended; the flag tells whether it ran.
    RequestEnded(RequestId, bool),
    /// Requests an endpoint for a further attempt of a request.
    Choose(Box<EndpointQuery>, oneshot::Sender<Result<AttemptPermit, Failure>>),
    /// An attempt ended: its identifier, how it ended, and the number of tokens it produced.
    AttemptEnded(u64, AttemptEnd, u32),
    /// Requests a retry. The answer is the delay in milliseconds if the retry is allowed.
    Retry(Box<RetryQuery>, oneshot::Sender<Option<u64>>),
    /// Requests a second run of a late sample.
    Hedge(Box<LateSample>, oneshot::Sender<Option<HedgePermit>>),
    /// A second run ended.
    HedgeEnded,
    /// A load report of an agent.
    Load(Box<LoadReport>),
    /// Requests the endpoints whose agents should report to this entry.
    Subset(oneshot::Sender<Vec<Pick>>),
    /// Requests the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Handle of the router duty.
#[derive(Clone)]
pub struct Router(Sender<RouterMessage>);

impl Router {
    /// Creates a handle from the sender of the queue.
    pub fn new(sender: Sender<RouterMessage>) -> Self {
        Self(sender)
    }

    /// Waits until a request is admitted, at most until its deadline, and chooses its first
    /// endpoint. The request counts as in progress until the [`RequestPermit`] is dropped.
    ///
    /// # Errors
    ///
    /// Returns the refusal, whose outcome is always "not run".
    pub async fn admit(
        &self,
        query: EndpointQuery,
    ) -> Result<(RequestPermit, AttemptPermit), Failure> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Admit(Box::new(query), sender))?;
        receiver.await.map_err(|_| stopping_failure())?
    }

    /// Chooses an endpoint for a further attempt of an admitted request.
    ///
    /// # Errors
    ///
    /// Returns the refusal, whose outcome is always "not run".
    pub async fn choose(&self, query: EndpointQuery) -> Result<AttemptPermit, Failure> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Choose(Box::new(query), sender))?;
        receiver.await.map_err(|_| stopping_failure())?
    }

    /// Returns the delay in milliseconds before a request may be retried, or `None` if it may not.
    pub async fn retry_delay(&self, retry: RetryQuery) -> Option<u64> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Retry(Box::new(retry), sender)).ok()?;
        receiver.await.ok()?
    }

    /// Requests a second run of a late sample. The run counts as active until the [`HedgePermit`]
    /// is dropped.
    pub async fn hedge(&self, late: LateSample) -> Option<HedgePermit> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Hedge(Box::new(late), sender)).ok()?;
        receiver.await.ok()?
    }

    /// Forwards a load report. If the queue is full, the report is dropped, because the next one
    /// replaces it.
    pub fn report_load(&self, report: LoadReport) {
        let _ = self.0.offer(RouterMessage::Load(Box::new(report)));
    }

    /// Lists the endpoints whose agents should report to this entry; `None` if the router cannot be
    /// asked.
    pub async fn subset(&self) -> Option<Vec<Pick>> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Subset(sender)).ok()?;
        receiver.await.ok()
    }

    /// Returns the router's part of the state dump; null if the router cannot be asked.
    pub async fn dump(&self) -> serde_json::Value {
        let (sender, receiver) = oneshot::channel();
        if self.offer(RouterMessage::Dump(sender)).is_err() {
            return serde_json::Value::Null;
        }
        receiver.await.unwrap_or_default()
    }

    fn offer(&self, message: RouterMessage) -> Result<(), Failure> {
        self.0.offer(message).map_err(|error| match error {
            RingError::Full(_) => {
                let failure = Failure::not_run(Code::Overloaded, "the queue of the router is full");
                failure.retry_after(QUEUE_FULL_RETRY_MS)
            }
            RingError::Closed(_) => stopping_failure(),
        })
    }

    /// Sends a message that must not be lost. If the end of an attempt were lost, its endpoint
    /// would be counted as busier than it is forever. When the queue is full, a task waits for
    /// capacity.
    fn send_reliably(&self, message: RouterMessage) {
        if let Err(RingError::Full(message)) = self.0.offer(message) {
            let sender = self.0.clone();
            actix_rt::spawn(async move {
                let _ = sender.send(message).await;
            });
        }
    }
}

fn stopping_failure() -> Failure {
    Failure::not_run(Code::Draining, "this entry is stopping").retry_after(QUEUE_FULL_RETRY_MS)
}

/// Permit of an admitted request. The request counts as in progress until the permit is dropped.
pub struct RequestPermit {
    router: Router,
    request: RequestId,
    /// Whether the request ran, which adds a fraction of a retry to the budget of its workspace.
    pub ran: bool,
}

impl RequestPermit {
    /// Creates the permit of a request that the router state has admitted.
    pub fn new(router: Router, request: RequestId) -> Self {
        Self { router, request, ran: false }
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.router.send_reliably(RouterMessage::RequestEnded(self.request, self.ran));
    }
}

/// Permit of the second run of a sample. The run counts as active until the permit is dropped.
pub struct HedgePermit(Router);

impl HedgePermit {
    /// Creates the permit of a second run that the router state has counted.
    pub fn new(router: Router) -> Self {
        Self(router)
    }
}

impl Drop for HedgePermit {
    fn drop(&mut self) {
        self.0.send_reliably(RouterMessage::HedgeEnded);
    }
}

/// Permit of an attempt at an endpoint. The attempt counts as running there until the permit is
/// dropped.
pub struct AttemptPermit {
    router: Router,
    attempt: u64,
    /// The endpoint.
    pub pick: Pick,
    /// How the attempt ended; set before the permit is dropped.
    pub end: AttemptEnd,
    /// Number of tokens that the attempt produced.
    pub tokens: u32,
}

impl AttemptPermit {
    /// Creates the permit of an attempt that the router state has counted.
    pub fn new(router: Router, attempt: u64, pick: Pick) -> Self {
        Self { router, attempt, pick, end: AttemptEnd::Dropped, tokens: 0 }
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        let end = std::mem::take(&mut self.end);
        self.router.send_reliably(RouterMessage::AttemptEnded(self.attempt, end, self.tokens));
    }
}
