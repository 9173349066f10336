//! The router's thread: feeds events to the [`RouterState`] and sends out its answers.

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

use crate::router::dump::dump;
use crate::router::handle::AdmitSender;
use crate::router::handle::AttemptPermit;
use crate::router::handle::HedgePermit;
use crate::router::handle::RequestPermit;
use crate::router::handle::Router;
use crate::router::handle::RouterMessage;
use crate::router::handle::SERVICE;
use crate::router::state::AdmitResult;
use crate::router::state::Bounds;
use crate::router::state::PlacedAttempt;
use crate::router::state::RouterState;

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
        let state = RouterState::new(bounds, rand::random());
        let duty = Duty { kernel, state, router, waiting: HashMap::new(), ticks: 0 };
        duty.run(receiver, members, config).await;
    })?;
    Ok(())
}

struct Duty {
    kernel: Kernel,
    state: RouterState,
    router: Router,
    waiting: HashMap<RequestId, AdmitSender>,
    ticks: u64,
}

impl Duty {
    async fn run(
        mut self,
        mut messages: Receiver<RouterMessage>,
        mut members: watch::Receiver<Arc<Members>>,
        mut config: watch::Receiver<Arc<Config>>,
    ) {
        let mut tick = actix_rt::time::interval(TICK);
        // Before any question is read: a request that comes while the process starts would
        // otherwise be told that nobody serves its model.
        let view = members.borrow_and_update().clone();
        let current = config.borrow_and_update().clone();
        self.state.update_members(view, self.kernel.now());
        self.state.update_config(current, self.kernel.now());
        let phases = self.kernel.phases.clone();
        let stopped = phases.reached(Phase::Stopping);
        tokio::pin!(stopped);
        loop {
            tokio::select! {
                () = &mut stopped => return,
                Ok(()) = members.changed() => {
                    let view = members.borrow_and_update().clone();
                    self.state.update_members(view, self.kernel.now());
                }
                Ok(()) = config.changed() => {
                    let current = config.borrow_and_update().clone();
                    self.state.update_config(current, self.kernel.now());
                }
                message = messages.next() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
            }
            for (request, entering) in self.state.poll(self.kernel.now()) {
                if let Some(sender) = self.waiting.remove(&request) {
                    self.let_in(request, entering, sender);
                }
            }
        }
    }

    fn handle(&mut self, message: RouterMessage) {
        let now = self.kernel.now();
        match message {
            RouterMessage::Admit(query, sender) => {
                let request = query.request;
                match self.state.admit(*query, now) {
                    Some(entering) => self.let_in(request, entering, sender),
                    None => {
                        self.waiting.insert(request, sender);
                    }
                }
            }
            RouterMessage::RequestEnded(request, ran) => {
                self.state.request_ended(request, ran, now)
            }
            RouterMessage::Choose(query, sender) => {
                let chosen = self.state.choose(&query, now);
                let _ = sender.send(chosen.map(|placed| self.permit(placed)));
            }
            RouterMessage::AttemptEnded(place, end, tokens) => {
                self.state.attempt_ended(place, end, tokens, now)
            }
            RouterMessage::Retry(retry, sender) => {
                let _ = sender.send(self.state.retry_delay(&retry, now));
            }
            RouterMessage::Hedge(late, sender) => {
                let allowed = self.state.try_hedge(&late, now);
                let _ = sender.send(allowed.then(|| HedgePermit::new(self.router.clone())));
            }
            RouterMessage::HedgeEnded => self.state.admission.unhedged(),
            RouterMessage::Load(report) => self.state.record_load(&report, now),
            RouterMessage::Subset(sender) => {
                let _ = sender.send(self.state.subset());
            }
            RouterMessage::Dump(sender) => {
                let _ = sender.send(dump(&self.state));
            }
        }
    }

    /// Tells a request what became of it. What was counted for an asker that went away is given
    /// back by the drops of [`RequestPermit`] and [`AttemptPermit`], wherever on the way they are
    /// lost.
    fn let_in(&self, request: RequestId, entering: AdmitResult, sender: AdmitSender) {
        let entered = entering
            .map(|placed| (RequestPermit::new(self.router.clone(), request), self.permit(placed)));
        let _ = sender.send(entered);
    }

    fn permit(&self, (place, pick): PlacedAttempt) -> AttemptPermit {
        AttemptPermit::new(self.router.clone(), place, pick)
    }

    fn tick(&mut self) {
        self.state.tick(self.kernel.now());
        self.ticks += 1;
        if !self.ticks.is_multiple_of(GAUGES) {
            return;
        }
        self.kernel.metrics.gauge("entry.running", self.state.admission.running() as u64);
        self.kernel.metrics.gauge("entry.waiting", self.state.admission.waiting() as u64);
        let gone = self.waiting.extract_if(|_, sender| sender.is_closed());
        for (request, _) in gone.collect::<Vec<_>>() {
            self.state.cancel_waiting(request);
        }
    }
}
