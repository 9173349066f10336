//! How other threads ask the router.

use chicoryford_kernel::Sender;
use chicoryford_kernel::ring::RingError;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::LoadReport;
use chicoryford_types::RequestId;
use tokio::sync::oneshot;

use crate::router::seat::Again;
use crate::router::seat::Late;
use crate::router::seat::Pick;
use crate::router::seat::Verdict;
use crate::router::seat::Want;

/// The name under which the [`Router`] is offered.
pub const SERVICE: &str = "router";

/// When a request that found the router's ring full may come back, in milliseconds.
const RING_RETRY: u64 = 500;

/// Answers a request that wanted in.
pub type EnterSender = oneshot::Sender<Result<(Entered, Ticket), Failure>>;

/// What is put into the router's ring.
pub enum Ask {
    /// A request wants to come in.
    Enter(Box<Want>, EnterSender),
    /// A request left; whether it ran.
    Leave(RequestId, bool),
    /// A further attempt of a request wants an endpoint.
    Choose(Box<Want>, oneshot::Sender<Result<Ticket, Failure>>),
    /// An attempt ended, having produced tokens.
    Ended(u64, Verdict, u32),
    /// A request wants to be tried again; it is told how many milliseconds to wait, if it may.
    Again(Box<Again>, oneshot::Sender<Option<u64>>),
    /// A late sample might be given a second maker.
    Hedge(Box<Late>, oneshot::Sender<Option<Hedged>>),
    /// A second maker ended.
    Unhedged,
    /// A load report came.
    Load(Box<LoadReport>),
    /// The agents that should report to this entry are wanted.
    Subset(oneshot::Sender<Vec<Pick>>),
    /// A dump is wanted.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Asks the router.
#[derive(Clone)]
pub struct Router(Sender<Ask>);

impl Router {
    /// Makes a handle from the ring's sending end.
    pub fn new(ring: Sender<Ask>) -> Self {
        Self(ring)
    }

    /// Lets a request in and finds its first endpoint, waiting for room until its deadline. The
    /// request counts as in progress until [`Entered`] is dropped.
    ///
    /// # Errors
    ///
    /// The refusal, always "not run".
    pub async fn enter(&self, want: Want) -> Result<(Entered, Ticket), Failure> {
        let (sender, receiver) = oneshot::channel();
        self.offer(Ask::Enter(Box::new(want), sender))?;
        receiver.await.map_err(|_| gone())?
    }

    /// Finds an endpoint for a further attempt of a request that was let in.
    ///
    /// # Errors
    ///
    /// The refusal, always "not run".
    pub async fn choose(&self, want: Want) -> Result<Ticket, Failure> {
        let (sender, receiver) = oneshot::channel();
        self.offer(Ask::Choose(Box::new(want), sender))?;
        receiver.await.map_err(|_| gone())?
    }

    /// Asks whether a request may be tried again, and how many milliseconds from now.
    pub async fn again(&self, again: Again) -> Option<u64> {
        let (sender, receiver) = oneshot::channel();
        self.offer(Ask::Again(Box::new(again), sender)).ok()?;
        receiver.await.ok()?
    }

    /// Asks whether a late sample is given a second maker, which counts as running until
    /// [`Hedged`] is dropped.
    pub async fn hedge(&self, late: Late) -> Option<Hedged> {
        let (sender, receiver) = oneshot::channel();
        self.offer(Ask::Hedge(Box::new(late), sender)).ok()?;
        receiver.await.ok()?
    }

    /// Passes on a load report; one that finds no room is dropped, the next replaces it.
    pub fn load(&self, report: LoadReport) {
        let _ = self.0.offer(Ask::Load(Box::new(report)));
    }

    /// Lists the agents that should report to this entry; none if the router cannot be asked.
    pub async fn subset(&self) -> Option<Vec<Pick>> {
        let (sender, receiver) = oneshot::channel();
        self.offer(Ask::Subset(sender)).ok()?;
        receiver.await.ok()
    }

    /// Takes the router's part of the dump.
    pub async fn dump(&self) -> serde_json::Value {
        let (sender, receiver) = oneshot::channel();
        if self.offer(Ask::Dump(sender)).is_err() {
            return serde_json::Value::Null;
        }
        receiver.await.unwrap_or_default()
    }

    fn offer(&self, ask: Ask) -> Result<(), Failure> {
        self.0.offer(ask).map_err(|error| match error {
            RingError::Full(_) => {
                let failure = Failure::not_run(Code::Overloaded, "the router does not keep up");
                failure.retry_after(RING_RETRY)
            }
            RingError::Closed(_) => gone(),
        })
    }

    /// Tells the router something that must not be lost: a lost end would leave an endpoint
    /// looking busier than it is for ever. When the ring is full, a task waits for room.
    fn tell(&self, ask: Ask) {
        if let Err(RingError::Full(ask)) = self.0.offer(ask) {
            let ring = self.0.clone();
            actix_rt::spawn(async move {
                let _ = ring.send(ask).await;
            });
        }
    }
}

fn gone() -> Failure {
    Failure::not_run(Code::Draining, "this entry is stopping").retry_after(RING_RETRY)
}

/// A request that was let in; it is counted out when this is dropped.
pub struct Entered {
    router: Router,
    request: RequestId,
    /// Whether the request ran, which earns its workspace a share of a retry.
    pub ran: bool,
}

impl Entered {
    /// Wraps a request that the book has let in.
    pub fn new(router: Router, request: RequestId) -> Self {
        Self { router, request, ran: false }
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.router.tell(Ask::Leave(self.request, self.ran));
    }
}

/// A second maker that was allowed; it is counted out when this is dropped.
pub struct Hedged(Router);

impl Hedged {
    /// Wraps a second maker that the book has counted.
    pub fn new(router: Router) -> Self {
        Self(router)
    }
}

impl Drop for Hedged {
    fn drop(&mut self) {
        self.0.tell(Ask::Unhedged);
    }
}

/// A place at an endpoint; it is given back when this is dropped.
pub struct Ticket {
    router: Router,
    place: u64,
    /// The endpoint.
    pub pick: Pick,
    /// What the attempt tells about the endpoint; set before the ticket is dropped.
    pub verdict: Verdict,
    /// Tokens that the attempt produced.
    pub tokens: u32,
}

impl Ticket {
    /// Wraps a place that the book has counted.
    pub fn new(router: Router, place: u64, pick: Pick) -> Self {
        Self { router, place, pick, verdict: Verdict::Dropped, tokens: 0 }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let verdict = std::mem::take(&mut self.verdict);
        self.router.tell(Ask::Ended(self.place, verdict, self.tokens));
    }
}
