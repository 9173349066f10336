//! How other threads ask the router.

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

/// The name under which the [`Router`] is offered.
pub const SERVICE: &str = "router";

/// When a request that found the router's ring full may come back, in milliseconds.
const RING_RETRY: u64 = 500;

/// Answers a request that wanted in.
pub type AdmitSender = oneshot::Sender<Result<(RequestPermit, AttemptPermit), Failure>>;

/// What is put into the router's ring.
pub enum RouterMessage {
    /// A request wants to come in.
    Admit(Box<EndpointQuery>, AdmitSender),
    /// A request left; whether it ran.
    RequestEnded(RequestId, bool),
    /// A further attempt of a request wants an endpoint.
    Choose(Box<EndpointQuery>, oneshot::Sender<Result<AttemptPermit, Failure>>),
    /// An attempt ended, having produced tokens.
    AttemptEnded(u64, AttemptEnd, u32),
    /// A request wants to be tried again; it is told how many milliseconds to wait, if it may.
    Retry(Box<RetryQuery>, oneshot::Sender<Option<u64>>),
    /// A late sample might be given a second maker.
    Hedge(Box<LateSample>, oneshot::Sender<Option<HedgePermit>>),
    /// A second maker ended.
    HedgeEnded,
    /// A load report came.
    Load(Box<LoadReport>),
    /// The agents that should report to this entry are wanted.
    Subset(oneshot::Sender<Vec<Pick>>),
    /// A dump is wanted.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Asks the router.
#[derive(Clone)]
pub struct Router(Sender<RouterMessage>);

impl Router {
    /// Makes a handle from the ring's sending end.
    pub fn new(ring: Sender<RouterMessage>) -> Self {
        Self(ring)
    }

    /// Lets a request in and finds its first endpoint, waiting for room until its deadline. The
    /// request counts as in progress until [`RequestPermit`] is dropped.
    ///
    /// # Errors
    ///
    /// The refusal, always "not run".
    pub async fn admit(
        &self,
        query: EndpointQuery,
    ) -> Result<(RequestPermit, AttemptPermit), Failure> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Admit(Box::new(query), sender))?;
        receiver.await.map_err(|_| stopping_failure())?
    }

    /// Finds an endpoint for a further attempt of a request that was let in.
    ///
    /// # Errors
    ///
    /// The refusal, always "not run".
    pub async fn choose(&self, query: EndpointQuery) -> Result<AttemptPermit, Failure> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Choose(Box::new(query), sender))?;
        receiver.await.map_err(|_| stopping_failure())?
    }

    /// Asks whether a request may be tried again, and how many milliseconds from now.
    pub async fn retry_delay(&self, retry: RetryQuery) -> Option<u64> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Retry(Box::new(retry), sender)).ok()?;
        receiver.await.ok()?
    }

    /// Asks whether a late sample is given a second maker, which counts as running until
    /// [`HedgePermit`] is dropped.
    pub async fn hedge(&self, late: LateSample) -> Option<HedgePermit> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Hedge(Box::new(late), sender)).ok()?;
        receiver.await.ok()?
    }

    /// Passes on a load report; one that finds no room is dropped, the next replaces it.
    pub fn report_load(&self, report: LoadReport) {
        let _ = self.0.offer(RouterMessage::Load(Box::new(report)));
    }

    /// Lists the agents that should report to this entry; none if the router cannot be asked.
    pub async fn subset(&self) -> Option<Vec<Pick>> {
        let (sender, receiver) = oneshot::channel();
        self.offer(RouterMessage::Subset(sender)).ok()?;
        receiver.await.ok()
    }

    /// Takes the router's part of the dump.
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
                let failure = Failure::not_run(Code::Overloaded, "the router does not keep up");
                failure.retry_after(RING_RETRY)
            }
            RingError::Closed(_) => stopping_failure(),
        })
    }

    /// Tells the router something that must not be lost: a lost end would leave an endpoint
    /// looking busier than it is for ever. When the ring is full, a task waits for room.
    fn send_reliably(&self, message: RouterMessage) {
        if let Err(RingError::Full(message)) = self.0.offer(message) {
            let ring = self.0.clone();
            actix_rt::spawn(async move {
                let _ = ring.send(message).await;
            });
        }
    }
}

fn stopping_failure() -> Failure {
    Failure::not_run(Code::Draining, "this entry is stopping").retry_after(RING_RETRY)
}

/// A request that was let in; it is counted out when this is dropped.
pub struct RequestPermit {
    router: Router,
    request: RequestId,
    /// Whether the request ran, which earns its workspace a share of a retry.
    pub ran: bool,
}

impl RequestPermit {
    /// Wraps a request that the state has let in.
    pub fn new(router: Router, request: RequestId) -> Self {
        Self { router, request, ran: false }
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.router.send_reliably(RouterMessage::RequestEnded(self.request, self.ran));
    }
}

/// A second maker that was allowed; it is counted out when this is dropped.
pub struct HedgePermit(Router);

impl HedgePermit {
    /// Wraps a second maker that the state has counted.
    pub fn new(router: Router) -> Self {
        Self(router)
    }
}

impl Drop for HedgePermit {
    fn drop(&mut self) {
        self.0.send_reliably(RouterMessage::HedgeEnded);
    }
}

/// A place at an endpoint; it is given back when this is dropped.
pub struct AttemptPermit {
    router: Router,
    place: u64,
    /// The endpoint.
    pub pick: Pick,
    /// What the attempt tells about the endpoint; set before the permit is dropped.
    pub end: AttemptEnd,
    /// Tokens that the attempt produced.
    pub tokens: u32,
}

impl AttemptPermit {
    /// Wraps a place that the state has counted.
    pub fn new(router: Router, place: u64, pick: Pick) -> Self {
        Self { router, place, pick, end: AttemptEnd::Dropped, tokens: 0 }
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        let end = std::mem::take(&mut self.end);
        self.router.send_reliably(RouterMessage::AttemptEnded(self.place, end, self.tokens));
    }
}
