//! The thread that runs steps.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::Receiver;
use chicoryford_kernel::Sender;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::ring;
use chicoryford_ledger::StepKey;
use chicoryford_settings::Settings;
use chicoryford_state::Command;
use chicoryford_types::Fingerprint;
use chicoryford_types::Millis;
use chicoryford_wire::PROGRESS;
use chicoryford_wire::Progress;
use chicoryford_wire::progress::Guard;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::admit;
use crate::bodies::audit::BodyAudit;
use crate::context::Context;
use crate::steps::handle::Notice;
use crate::steps::handle::SERVICE;
use crate::steps::handle::Steps;
use crate::steps::lengths::Lengths;
use crate::steps::pull_waker::PullNotifier;
use crate::steps::session;
use crate::steps::step;
use crate::steps::step::Shared;

/// Room for notices that the duty has not yet read.
const RING: usize = 4_096;
/// Steps that one entry runs at once.
const STEPS: usize = 64;
/// Milliseconds that each entry waits longer for an orphan than the one before it in the
/// orphan's own order; without an order all entries would ask for each orphan at once.
const TURN: u64 = 1_000;

/// The time between two looks at whether this entry is to leave.
const LOOK: Duration = Duration::from_millis(200);
/// The longest wait for the session to be closed.
const CLOSE: Duration = Duration::from_secs(2);

/// Starts the duty and offers its handle.
///
/// # Errors
///
/// [`DutyError`] if the thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), DutyError> {
    let (sender, receiver) = ring(RING);
    let pull_notifier = PullNotifier::default();
    let steps = Steps { notices: sender.clone(), pull_notifier: pull_notifier.clone() };
    kernel.registry.offer(SERVICE, steps.clone());
    kernel.dumps.add("entry.steps", move || {
        let steps = steps.clone();
        async move { steps.dump().await }
    });
    let settings = settings.clone();
    kernel.duty("steps", move |kernel| async move {
        let context = match Context::new(&kernel, &settings) {
            Ok(context) => context,
            Err(error) => {
                tracing::error!(event = "steps_not_started", %error);
                return;
            }
        };
        let entry = settings.entry.clone().unwrap_or_default();
        let running = entry.running;
        let (leave, leaving) = watch::channel(false);
        let shared = Shared {
            leaving,
            predict: entry.predict,
            hedge: entry.hedge,
            pull_notifier,
            staleness: Rc::default(),
            sample_limits: Rc::default(),
            lengths: Rc::new(RefCell::new(Lengths::default())),
            slots: Arc::new(Semaphore::new((running / 2).max(1))),
        };
        let duty = Duty {
            context,
            shared,
            notices: sender,
            session: None,
            running: BTreeMap::new(),
            orphans: BTreeMap::new(),
            leave,
            held: None,
            bodies: Rc::default(),
            holds: None,
        };
        duty.run(receiver).await;
    })?;
    Ok(())
}

struct Duty {
    context: Context,
    shared: Shared,
    notices: Sender<Notice>,
    session: Option<u64>,
    running: BTreeMap<StepKey, JoinHandle<()>>,
    orphans: BTreeMap<StepKey, Millis>,
    leave: watch::Sender<bool>,
    held: Option<Guard>,
    bodies: Rc<BodyAudit>,
    holds: Option<Guard>,
}

impl Duty {
    async fn run(mut self, mut receiver: Receiver<Notice>) {
        actix_rt::spawn(session::maintain(
            self.context.clone(),
            self.notices.clone(),
            self.bodies.clone(),
        ));
        let phases = self.context.kernel.phases.clone();
        let stopped = phases.reached(Phase::Stopping);
        tokio::pin!(stopped);
        let mut look = actix_rt::time::interval(LOOK);
        loop {
            tokio::select! {
                _ = look.tick() => self.look(),
                () = &mut stopped => return,
                notice = receiver.next() => match notice {
                    Some(notice) => self.take(notice),
                    None => return,
                },
            }
        }
    }

    /// Learns the rhythm of publications, and leaves when the process drains or a planned stop
    /// names it.
    ///
    /// Samples in progress run on, and hold up the end of the process like requests; then the
    /// session is closed, so that another entry takes the steps at once instead of after the
    /// lease has run out.
    fn look(&mut self) {
        let context = &self.context;
        let config = context.config.current();
        let now = context.now();
        for (model, published) in &config.weights {
            self.shared.staleness.borrow_mut().record_version(model, published.version, now);
        }
        let phase = context.kernel.phases.now();
        let leaves =
            admit::check_not_draining(phase, &config, &context.node, &context.data_centre).is_err();
        let left = self.leave.send_replace(leaves);
        if !leaves {
            self.held = None;
            self.hold_on();
            return;
        }
        if !left {
            let progress = context.kernel.registry.find::<Progress>(PROGRESS);
            self.held = progress.ok().map(|progress| progress.begin());
            self.holds = None;
        }
        let may_leave = self.running.is_empty() && self.bodies.can_leave(context);
        if may_leave && self.held.is_some() {
            let held = self.held.take();
            let (context, session) = (context.clone(), self.session);
            actix_rt::spawn(async move {
                if let Some(session) = session {
                    let command = Command::CloseSession { session };
                    let _ = context.proposer.propose(&command, CLOSE).await;
                }
                drop(held);
            });
        }
    }

    /// Counts running steps and held bodies as work in progress. A process that is told to stop
    /// ends at once if nothing is in progress: before this duty could look, samples would be
    /// cancelled though there is time for them, and copies that are needed would be lost.
    fn hold_on(&mut self) {
        if self.running.is_empty() && self.context.bodies.store().is_empty() {
            self.holds = None;
        } else if self.holds.is_none() {
            let progress = self.context.kernel.registry.find::<Progress>(PROGRESS);
            self.holds = progress.ok().map(|progress| progress.begin());
        }
    }

    fn take(&mut self, notice: Notice) {
        match notice {
            Notice::Opened(key) => self.begin(key),
            Notice::Session(session) => self.change_session(session),
            Notice::Orphans(orphans) => self.consider(orphans),
            Notice::Ended(key) => {
                self.running.remove(&key);
            }
            Notice::Dump(sender) => {
                let _ = sender.send(self.dump());
            }
        }
    }

    /// Stops all steps at once when the session is lost: another entry takes them from here on.
    fn change_session(&mut self, session: Option<u64>) {
        self.session = session;
        for (key, task) in std::mem::take(&mut self.running) {
            tracing::warn!(event = "step_stopped", workspace = %key.workspace, step = %key.step);
            task.abort();
        }
    }

    fn consider(&mut self, orphans: Vec<StepKey>) {
        let now = self.context.now();
        let mut seen = std::mem::take(&mut self.orphans);
        for key in orphans {
            let since = seen.remove(&key).unwrap_or(now);
            if now.since(since) >= TURN * self.turn(&key) {
                self.begin(key);
            } else {
                self.orphans.insert(key, since);
            }
        }
    }

    /// Gives this entry's id among all entries in the order of one orphan.
    fn turn(&self, key: &StepKey) -> u64 {
        let rank = |node: &str| {
            Fingerprint::of(format!("{node}\0{}\0{}", key.workspace, key.step).as_bytes())
        };
        let own = rank(self.context.node.as_str());
        let members = self.context.members.view();
        let entries = members.present().filter(|member| member.roles.entry);
        entries.filter(|member| rank(member.node.as_str()) < own).count() as u64
    }

    fn begin(&mut self, key: StepKey) {
        let Some(session) = self.session else { return };
        if *self.leave.borrow() || self.running.len() >= STEPS || self.running.contains_key(&key) {
            return;
        }
        let (context, shared) = (self.context.clone(), self.shared.clone());
        let (notices, ended) = (self.notices.clone(), key.clone());
        let task = actix_rt::spawn(async move {
            step::run(context, shared, session, ended.clone()).await;
            let _ = notices.send(Notice::Ended(ended)).await;
        });
        self.running.insert(key, task);
        self.hold_on();
    }

    fn dump(&self) -> Value {
        let name = |key: &StepKey| json!({"workspace": key.workspace, "step": key.step});
        json!({
            "session": self.session,
            "running": self.running.keys().map(name).collect::<Vec<_>>(),
            "orphans": self.orphans.keys().map(name).collect::<Vec<_>>(),
            "free_slots": self.shared.slots.available_permits(),
        })
    }
}
