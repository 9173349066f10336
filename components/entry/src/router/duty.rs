//! The router duty: the thread that owns the [`RouterState`], passes events to it and sends its
//! answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::ring;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_routing::Location;
use chicoryford_settings::Settings;
use chicoryford_types::Config;
use chicoryford_types::Members;
use chicoryford_types::Millis;
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

/// Capacity of the queue of messages to the router.
const MESSAGE_QUEUE: usize = 16_384;
/// Interval at which the deadlines of waiting requests are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of ticks between two updates of the metrics.
const METRICS_TICKS: u64 = 100;

/// Starts the duty and registers its handle.
///
/// # Errors
///
/// Returns [`DutyError`] if the thread cannot be started.
pub fn start(
    kernel: &Kernel,
    settings: &Settings,
    members: watch::Receiver<Arc<Members>>,
    config: watch::Receiver<Arc<Config>>,
) -> Result<(), DutyError> {
    let (sender, receiver) = ring(MESSAGE_QUEUE);
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
        place: Location {
            node: settings.node.clone(),
            region: settings.region.clone(),
            data_centre: settings.data_centre.clone(),
        },
    };
    kernel.duty("router", move |kernel| async move {
        let state = RouterState::new(bounds, rand::random());
        let (began, timer) = (kernel.now(), RunTimer::start());
        let duty = Duty { kernel, state, router, waiting: HashMap::new(), ticks: 0, began, timer };
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
    began: Millis,
    timer: RunTimer,
}

impl Duty {
    async fn run(
        mut self,
        mut messages: Receiver<RouterMessage>,
        mut members: watch::Receiver<Arc<Members>>,
        mut config: watch::Receiver<Arc<Config>>,
    ) {
        let mut tick = actix_rt::time::interval(TICK_INTERVAL);
        // Members and configuration are set before any message is read. Otherwise a request that
        // arrives while the process starts would be refused because no endpoint serves its model.
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
            for (request, result) in self.state.poll(self.kernel.now()) {
                if let Some(sender) = self.waiting.remove(&request) {
                    self.send_result(request, result, sender);
                }
            }
        }
    }

    fn handle(&mut self, message: RouterMessage) {
        let now = self.kernel.now();
        self.state.stalled_ms = now.since(self.began).saturating_sub(self.timer.elapsed_ms());
        match message {
            RouterMessage::Admit(query, sender) => {
                let request = query.request;
                match self.state.admit(*query, now) {
                    Some(result) => self.send_result(request, result, sender),
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
            RouterMessage::AttemptEnded(attempt, end, tokens) => {
                self.state.attempt_ended(attempt, end, tokens, now)
            }
            RouterMessage::Retry(retry, sender) => {
                let _ = sender.send(self.state.retry_delay(&retry, now));
            }
            RouterMessage::Hedge(late, sender) => {
                let allowed = self.state.try_hedge(&late, now);
                let _ = sender.send(allowed.then(|| HedgePermit::new(self.router.clone())));
            }
            RouterMessage::HedgeEnded => self.state.admission.hedge_ended(),
            RouterMessage::Load(report) => self.state.record_load(&report, now),
            RouterMessage::Subset(sender) => {
                let _ = sender.send(self.state.subset());
            }
            RouterMessage::Dump(sender) => {
                let _ = sender.send(dump(&self.state));
            }
        }
    }

    /// Sends the result of an admission to the waiting request. If the receiver is gone, dropping
    /// [`RequestPermit`] and [`AttemptPermit`] releases what was counted for the request.
    fn send_result(&self, request: RequestId, result: AdmitResult, sender: AdmitSender) {
        let permits = result
            .map(|placed| (RequestPermit::new(self.router.clone(), request), self.permit(placed)));
        let _ = sender.send(permits);
    }

    fn permit(&self, (attempt, pick): PlacedAttempt) -> AttemptPermit {
        AttemptPermit::new(self.router.clone(), attempt, pick)
    }

    fn tick(&mut self) {
        self.state.tick(self.kernel.now());
        self.ticks += 1;
        if !self.ticks.is_multiple_of(METRICS_TICKS) {
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
