//! The gate's duty: a thread of its own holds the [`Gate`] and tells tasks what it decides.

use std::collections::HashMap;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::unix;
use tokio::sync::watch;

use crate::gate::Action;
use crate::gate::Figures;
use crate::gate::Gate;
use crate::gate::GateSettings;
use crate::gate::Id;
use crate::gate::Verdict;
use crate::handle::Signal;
use crate::handle::ToGate;

/// Between two looks for waiting attempts whose deadline has passed.
const TICK: Duration = Duration::from_millis(50);

/// Runs the gate until the process stops.
pub async fn run(
    kernel: Kernel,
    settings: GateSettings,
    mut inbox: Receiver<ToGate>,
    figures: watch::Sender<Figures>,
) {
    let phases = kernel.phases.clone();
    let mut keeper = Keeper { gate: Gate::new(settings), signals: HashMap::new(), kernel };
    let mut tick = actix_rt::time::interval(TICK);
    loop {
        tokio::select! {
            message = inbox.next() => match message {
                Some(message) => keeper.handle(message),
                None => return,
            },
            _ = tick.tick() => keeper.tick(),
            () = phases.reached(Phase::Stopping) => return,
        }
        keeper.act();
        keeper.tell(&figures);
    }
}

struct Keeper {
    gate: Gate,
    signals: HashMap<Id, watch::Sender<Signal>>,
    kernel: Kernel,
}

impl Keeper {
    fn handle(&mut self, message: ToGate) {
        let now = self.kernel.now();
        match message {
            ToGate::Arrive { arrival, signal, reply } => {
                let id = arrival.id;
                let verdict = self.gate.arrive(*arrival, now, unix());
                self.count(&verdict);
                if verdict == Verdict::Start {
                    signal.send_replace(Signal::Start);
                }
                if matches!(verdict, Verdict::Start | Verdict::Wait) {
                    self.signals.insert(id, signal);
                }
                let _ = reply.send(verdict);
            }
            ToGate::Ended(id, end) => {
                self.signals.remove(&id);
                self.gate.ended(id, end, now);
            }
            ToGate::Gone(id) => self.gate.gone(id, now),
            ToGate::Question { id, incarnation, cancel, reply } => {
                let _ = reply.send(self.gate.question(id, incarnation, cancel, now));
            }
            ToGate::Drain(draining) => self.gate.drain(draining, now),
            ToGate::Health(healthy) => self.gate.health(healthy, now),
            ToGate::Crashed(reply) => {
                let _ = reply.send(self.gate.crashed());
            }
            ToGate::NotCrashed(since) => self.gate.not_crashed(since),
        }
    }

    fn tick(&mut self) {
        self.gate.tick(self.kernel.now());
        let figures = self.gate.figures();
        self.kernel.metrics.gauge("agent.running", figures.running as u64);
        self.kernel.metrics.gauge("agent.waiting", figures.waiting as u64);
        self.kernel.metrics.gauge("agent.remembered", figures.attempts as u64);
    }

    /// Passes the gate's decisions on. A task that is gone already has nothing to hear.
    fn act(&mut self) {
        for action in self.gate.take() {
            match action {
                Action::Start(id) => self.signal(id, Signal::Start),
                Action::Cancel(id) => self.signal(id, Signal::Cancel),
                Action::Drop(id, failure) => {
                    tracing::info!(event = "attempt_dropped", request = %id.request, attempt = %id.attempt, code = ?failure.code);
                    self.signal(id, Signal::Drop(failure));
                    self.signals.remove(&id);
                }
            }
        }
    }

    fn signal(&self, id: Id, signal: Signal) {
        if let Some(sender) = self.signals.get(&id) {
            sender.send_replace(signal);
        }
    }

    fn tell(&self, figures: &watch::Sender<Figures>) {
        let new = self.gate.figures();
        figures.send_if_modified(|old| std::mem::replace(old, new) != new);
    }

    fn count(&self, verdict: &Verdict) {
        let name = match verdict {
            Verdict::Start => "agent.started",
            Verdict::Wait => "agent.queued",
            Verdict::Stored(_) => "agent.stored_answers",
            Verdict::Refuse(_) => "agent.refused",
        };
        self.kernel.metrics.count(name, 1);
    }
}
