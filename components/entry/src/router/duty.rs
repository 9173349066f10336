//! The router's thread: feeds events to the [`Book`] and sends out its answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::ring;
use chicoryford_settings::Settings;
use chicoryford_types::Config;
use chicoryford_types::Failure;
use chicoryford_types::Members;
use serde_json::Value;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::router::book::Answer;
use crate::router::book::Book;
use crate::router::book::Bounds;
use crate::router::handle::Ask;
use crate::router::handle::Entered;
use crate::router::handle::Router;
use crate::router::handle::SERVICE;
use crate::router::handle::Ticket;

/// Room for questions and ends of attempts that the router has not yet read.
const RING: usize = 16_384;
/// The time between two looks at the deadlines of those that wait.
const TICK: Duration = Duration::from_millis(10);

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
    let bounds = Bounds { running: entry.running, waiting: entry.waiting };
    kernel.duty("router", move |kernel| async move {
        let book = Book::new(bounds, rand::random());
        let duty = Duty { kernel, book, router, waiting: HashMap::new(), next: 0 };
        duty.run(receiver, members, config).await;
    })?;
    Ok(())
}

struct Duty {
    kernel: Kernel,
    book: Book,
    router: Router,
    waiting: HashMap<u64, oneshot::Sender<Result<Ticket, Failure>>>,
    next: u64,
}

impl Duty {
    async fn run(
        mut self,
        mut asks: Receiver<Ask>,
        mut members: watch::Receiver<Arc<Members>>,
        mut config: watch::Receiver<Arc<Config>>,
    ) {
        let mut tick = actix_rt::time::interval(TICK);
        members.mark_changed();
        config.mark_changed();
        let phases = self.kernel.phases.clone();
        let stopped = phases.reached(Phase::Stopping);
        tokio::pin!(stopped);
        loop {
            let answers = tokio::select! {
                () = &mut stopped => return,
                ask = asks.next() => match ask {
                    Some(ask) => self.take(ask),
                    None => return,
                },
                Ok(()) = members.changed() => {
                    let view = members.borrow_and_update().clone();
                    self.book.members(&view, self.kernel.now())
                }
                Ok(()) = config.changed() => {
                    self.book.configure(config.borrow_and_update().clone());
                    Vec::new()
                }
                _ = tick.tick() => self.book.tick(self.kernel.now()),
            };
            self.send(answers);
        }
    }

    fn take(&mut self, ask: Ask) -> Vec<Answer> {
        let now = self.kernel.now();
        match ask {
            Ask::Enter(workspace, sender) => {
                let entered = self.book.enter(&workspace, now);
                let router = self.router.clone();
                let _ = sender.send(entered.map(|()| Entered::new(router, workspace)));
                Vec::new()
            }
            Ask::Leave(workspace, ran) => {
                self.book.leave(&workspace, ran);
                Vec::new()
            }
            Ask::Choose(want, sender) => {
                self.next += 1;
                self.waiting.insert(self.next, sender);
                self.book.ask(self.next, *want, now)
            }
            Ask::Ended(endpoint, verdict) => self.book.ended(&endpoint, verdict, now),
            Ask::Load(report) => {
                self.book.load(*report, now);
                Vec::new()
            }
            Ask::Dump(sender) => {
                let _ = sender.send(dump(&self.book));
                Vec::new()
            }
        }
    }

    /// Sends answers out. A place whose asker went away is given back by the ticket's drop,
    /// wherever on the way it is lost; otherwise the endpoint would look busy for ever.
    fn send(&mut self, answers: Vec<Answer>) {
        for Answer { id, result } in answers {
            let result = result.map(|pick| Ticket::new(self.router.clone(), pick));
            if let Some(sender) = self.waiting.remove(&id) {
                let _ = sender.send(result);
            }
        }
    }
}

fn dump(book: &Book) -> Value {
    let seats = book.seats.iter().map(|(name, seat)| {
        json!({
            "endpoint": name,
            "agent": seat.pick.agent,
            "running": seat.running,
            "slots": seat.info.slots,
            "draining": seat.info.draining,
            "healthy": seat.info.healthy,
            "failures": seat.failures,
            "models": seat.info.models,
            "load": seat.load.as_ref().map(|(load, _)| load),
        })
    });
    let usage = book.usage.iter().map(|(name, usage)| (name.as_str(), usage.running));
    let queues = book.queues.iter().map(|(name, queue)| (name.as_str(), queue.len()));
    json!({
        "endpoints": seats.collect::<Vec<_>>(),
        "running": usage.collect::<std::collections::BTreeMap<_, _>>(),
        "waiting": queues.collect::<std::collections::BTreeMap<_, _>>(),
        "entries": book.entries,
    })
}
