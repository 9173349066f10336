//! The router's thread: feeds events to the [`Book`] and sends out its answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::ring;
use chicoryford_routing::Place;
use chicoryford_settings::Settings;
use chicoryford_types::Config;
use chicoryford_types::Members;
use chicoryford_types::RequestId;
use tokio::sync::watch;

use crate::router::book::Book;
use crate::router::book::Bounds;
use crate::router::book::Entering;
use crate::router::book::Placed;
use crate::router::dump::dump;
use crate::router::handle::Ask;
use crate::router::handle::EnterSender;
use crate::router::handle::Entered;
use crate::router::handle::Hedged;
use crate::router::handle::Router;
use crate::router::handle::SERVICE;
use crate::router::handle::Ticket;

/// Room for questions and ends of attempts that the router has not yet read.
const RING: usize = 16_384;
/// The time between two looks at the deadlines of those that wait.
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two reports of metrics.
const GAUGES: u64 = 100;

/// Starts the duty and offers its handle.
///
/// # Errors
///
/// [`DutyError`] if the thread cannot be started.
pub fn start(
    kernel: &Kernel,
    settings: &Settings,
    members: watch::Receiver<Arc<Members>>,
    config: watch::Receiver<Arc<Config>>,
) -> Result<(), DutyError> {
    let (sender, receiver) = ring(RING);
    let router = Router::new(sender);
    kernel.registry.offer(SERVICE, router.clone());
    let dumped = router.clone();
    kernel.dumps.add("entry", move || {
        let router = dumped.clone();
        async move { router.dump().await }
    });
    let entry = settings.entry.clone().unwrap_or_default();
    let bounds = Bounds {
        running: entry.running,
        waiting: entry.waiting,
        subset: entry.subset,
        place: Place {
            node: settings.node.clone(),
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
        },
    };
    kernel.duty("router", move |kernel| async move {
        let book = Book::new(bounds, rand::random());
        let duty = Duty { kernel, book, router, waiting: HashMap::new(), ticks: 0 };
        duty.run(receiver, members, config).await;
    })?;
    Ok(())
}

struct Duty {
    kernel: Kernel,
    book: Book,
    router: Router,
    waiting: HashMap<RequestId, EnterSender>,
    ticks: u64,
}

impl Duty {
    async fn run(
        mut self,
        mut asks: Receiver<Ask>,
        mut members: watch::Receiver<Arc<Members>>,
        mut config: watch::Receiver<Arc<Config>>,
    ) {
        let mut tick = actix_rt::time::interval(TICK);
        // Before any question is read: a request that comes while the process starts would
        // otherwise be told that nobody serves its model.
        let view = members.borrow_and_update().clone();
        let current = config.borrow_and_update().clone();
        self.book.members(view, self.kernel.now());
        self.book.configure(current, self.kernel.now());
        let phases = self.kernel.phases.clone();
        let stopped = phases.reached(Phase::Stopping);
        tokio::pin!(stopped);
        loop {
            tokio::select! {
                () = &mut stopped => return,
                Ok(()) = members.changed() => {
                    let view = members.borrow_and_update().clone();
                    self.book.members(view, self.kernel.now());
                }
                Ok(()) = config.changed() => {
                    let current = config.borrow_and_update().clone();
                    self.book.configure(current, self.kernel.now());
                }
                ask = asks.next() => match ask {
                    Some(ask) => self.take(ask),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
            }
            for (request, entering) in self.book.poll(self.kernel.now()) {
                if let Some(sender) = self.waiting.remove(&request) {
                    self.let_in(request, entering, sender);
                }
            }
        }
    }

    fn take(&mut self, ask: Ask) {
        let now = self.kernel.now();
        match ask {
            Ask::Enter(want, sender) => {
                let request = want.request;
                match self.book.enter(*want, now) {
                    Some(entering) => self.let_in(request, entering, sender),
                    None => {
                        self.waiting.insert(request, sender);
                    }
                }
            }
            Ask::Leave(request, ran) => self.book.leave(request, ran, now),
            Ask::Choose(want, sender) => {
                let chosen = self.book.choose(&want, now);
                let _ = sender.send(chosen.map(|placed| self.ticket(placed)));
            }
            Ask::Ended(place, verdict, tokens) => self.book.ended(place, verdict, tokens, now),
            Ask::Again(again, sender) => {
                let _ = sender.send(self.book.again(&again, now));
            }
            Ask::Hedge(late, sender) => {
                let allowed = self.book.hedge(&late, now);
                let _ = sender.send(allowed.then(|| Hedged::new(self.router.clone())));
            }
            Ask::Unhedged => self.book.admission.unhedged(),
            Ask::Load(report) => self.book.load(&report, now),
            Ask::Subset(sender) => {
                let _ = sender.send(self.book.subset());
            }
            Ask::Dump(sender) => {
                let _ = sender.send(dump(&self.book));
            }
        }
    }

    /// Tells a request what became of it. What was counted for an asker that went away is given
    /// back by the drops of [`Entered`] and [`Ticket`], wherever on the way they are lost.
    fn let_in(&self, request: RequestId, entering: Entering, sender: EnterSender) {
        let entered = entering
            .map(|placed| (Entered::new(self.router.clone(), request), self.ticket(placed)));
        let _ = sender.send(entered);
    }

    fn ticket(&self, (place, pick): Placed) -> Ticket {
        Ticket::new(self.router.clone(), place, pick)
    }

    fn tick(&mut self) {
        self.book.tick(self.kernel.now());
        self.ticks += 1;
        if !self.ticks.is_multiple_of(GAUGES) {
            return;
        }
        self.kernel.metrics.gauge("entry.running", self.book.admission.running() as u64);
        self.kernel.metrics.gauge("entry.waiting", self.book.admission.waiting() as u64);
        let gone = self.waiting.extract_if(|_, sender| sender.is_closed());
        for (request, _) in gone.collect::<Vec<_>>() {
            self.book.forget(request);
        }
    }
}
