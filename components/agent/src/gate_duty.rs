//! The gate duty: owns the [`Gate`] on a thread of its own and signals its decisions to the tasks
//! of the attempts.

use std::collections::HashMap;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::unix;
use tokio::sync::watch;

use crate::crash_queries::CrashQueries;
use crate::crash_queries::CrashQuery;
use crate::gate::Action;
use crate::gate::Gate;
use crate::gate::GateSettings;
use crate::gate::GateStats;
use crate::gate::Id;
use crate::gate::Verdict;
use crate::handle::GateMessage;
use crate::handle::Signal;

/// The interval at which queued attempts are checked for passed deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the gate until the process stops.
pub async fn run(
    kernel: Kernel,
    settings: GateSettings,
    mut inbox: Receiver<GateMessage>,
    stats: watch::Sender<GateStats>,
) {
    let phases = kernel.phases.clone();
    let mut duty = GateDuty {
        gate: Gate::new(settings),
        signals: HashMap::new(),
        crash_queries: CrashQueries::default(),
        kernel,
    };
    let mut tick = actix_rt::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            message = inbox.next() => match message {
                Some(message) => duty.handle(message),
                None => return,
            },
            _ = tick.tick() => duty.tick(),
            () = phases.reached(Phase::Stopping) => return,
        }
        duty.perform_actions();
        duty.publish_stats(&stats);
    }
}

struct GateDuty {
    gate: Gate,
    signals: HashMap<Id, watch::Sender<Signal>>,
    crash_queries: CrashQueries,
    kernel: Kernel,
}

impl GateDuty {
    fn handle(&mut self, message: GateMessage) {
        let now = self.kernel.now();
        match message {
            GateMessage::Arrive { arrival, signal, reply } => {
                let id = arrival.id;
                let verdict = self.gate.arrive(*arrival, now, unix());
                self.count_verdict(&verdict);
                if verdict == Verdict::Start {
                    signal.send_replace(Signal::Start);
                }
                if matches!(verdict, Verdict::Start | Verdict::Wait) {
                    self.signals.insert(id, signal);
                }
                let _ = reply.send(verdict);
            }
            GateMessage::Ended(id, end) => {
                self.signals.remove(&id);
                self.gate.record_end(id, end, now);
            }
            GateMessage::Disconnected(id) => self.gate.disconnected(id, now),
            GateMessage::Query { id, incarnation, cancel, reply } => {
                let _ = reply.send(self.gate.query(id, incarnation, cancel, now));
            }
            GateMessage::Drain(draining) => self.gate.set_draining(draining, now),
            GateMessage::Health(healthy) => self.gate.set_healthy(healthy, now),
            GateMessage::TakeCrashSuspects(crash, reply) => {
                let _ = reply.send(self.gate.take_crash_suspects(crash, now));
                self.crash_queries.answer(&self.gate);
            }
            GateMessage::CrashCommitted(crash, at) => {
                self.gate.record_crash_committed(crash, at);
                self.crash_queries.answer(&self.gate);
            }
            GateMessage::CrashQuery { id, incarnation, reply } => {
                self.crash_queries.push(CrashQuery { id, incarnation, reply }, &self.gate);
            }
            GateMessage::NotCrashed(since) => {
                self.gate.record_not_crashed(since);
                self.crash_queries.answer(&self.gate);
            }
        }
    }

    fn tick(&mut self) {
        self.gate.tick(self.kernel.now());
        // Records of attempts expire.
        self.crash_queries.answer(&self.gate);
        self.crash_queries.drop_closed();
        let stats = self.gate.stats();
        self.kernel.metrics.gauge("agent.running", stats.running as u64);
        self.kernel.metrics.gauge("agent.waiting", stats.waiting as u64);
        self.kernel.metrics.gauge("agent.remembered", stats.attempts as u64);
    }

    /// Signals the gate's decisions to the tasks. Actions for a task that has ended are ignored.
    fn perform_actions(&mut self) {
        for action in self.gate.take_actions() {
            match action {
                Action::Start(id) => self.send_signal(id, Signal::Start),
                Action::Cancel(id) => self.send_signal(id, Signal::Cancel),
                Action::Drop(id, failure) => {
                    tracing::info!(event = "attempt_dropped", request = %id.request, attempt = %id.attempt, code = ?failure.code);
                    self.send_signal(id, Signal::Drop(failure));
                    self.signals.remove(&id);
                }
            }
        }
    }

    fn send_signal(&self, id: Id, signal: Signal) {
        if let Some(sender) = self.signals.get(&id) {
            sender.send_replace(signal);
        }
    }

    fn publish_stats(&self, stats: &watch::Sender<GateStats>) {
        let new = self.gate.stats();
        stats.send_if_modified(|old| std::mem::replace(old, new) != new);
    }

    fn count_verdict(&self, verdict: &Verdict) {
        let name = match verdict {
            Verdict::Start => "agent.started",
            Verdict::Wait => "agent.queued",
            Verdict::Stored(_) => "agent.stored_answers",
            Verdict::Refuse(_) => "agent.refused",
        };
        self.kernel.metrics.count(name, 1);
    }
}
