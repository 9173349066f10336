//! The steps duty: the thread that runs the steps owned by this entry's session.

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

/// Capacity of the queue of notices to the duty.
const NOTICE_QUEUE: usize = 4_096;
/// Maximum number of steps that one entry runs concurrently.
const MAX_STEPS: usize = 64;
/// Delay in milliseconds before taking an orphaned step, multiplied by this entry's rank for the
/// step. Without ranks, all entries would try to take every orphan at the same time.
const ORPHAN_DELAY_MS: u64 = 1_000;

/// Interval at which the duty checks whether this entry has to leave.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for closing the session.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the duty and registers its handle.
///
/// # Errors
///
/// Returns [`DutyError`] if the thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), DutyError> {
    let (sender, receiver) = ring(NOTICE_QUEUE);
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
            probation: Rc::default(),
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
            leave_guard: None,
            bodies: Rc::default(),
            work_guard: None,
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
    leave_guard: Option<Guard>,
    bodies: Rc<BodyAudit>,
    work_guard: Option<Guard>,
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
        let mut check = actix_rt::time::interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = check.tick() => self.check_leaving(),
                () = &mut stopped => return,
                notice = receiver.next() => match notice {
                    Some(notice) => self.handle(notice),
                    None => return,
                },
            }
        }
    }

    /// Records newly published versions, and starts to leave when the process drains or a planned
    /// stop names this entry or its data centre.
    ///
    /// Samples in progress are finished first; like requests, they delay the exit of the process.
    /// Then the session is closed, so that another entry takes the steps over immediately instead
    /// of after the lease has expired.
    fn check_leaving(&mut self) {
        let context = &self.context;
        let config = context.config.current();
        let now = context.now();
        for (model, published) in &config.weights {
            self.shared.staleness.borrow_mut().record_version(model, published.version, now);
        }
        let phase = context.kernel.phases.now();
        let is_leaving =
            admit::check_not_draining(phase, &config, &context.node, &context.data_centre).is_err();
        let was_leaving = self.leave.send_replace(is_leaving);
        if !is_leaving {
            self.leave_guard = None;
            self.update_work_guard();
            return;
        }
        if !was_leaving {
            let progress = context.kernel.registry.find::<Progress>(PROGRESS);
            self.leave_guard = progress.ok().map(|progress| progress.begin());
            self.work_guard = None;
        }
        let can_leave = self.running.is_empty() && self.bodies.can_leave(context);
        if can_leave && self.leave_guard.is_some() {
            let leave_guard = self.leave_guard.take();
            let (context, session) = (context.clone(), self.session);
            actix_rt::spawn(async move {
                if let Some(session) = session {
                    let command = Command::CloseSession { session };
                    let _ = context.proposer.propose(&command, CLOSE_TIMEOUT).await;
                }
                drop(leave_guard);
            });
        }
    }

    /// Counts running steps and stored bodies as work in progress. A stopping process exits
    /// immediately if nothing is in progress. Without this guard it could exit before the next
    /// [`Self::check_leaving`], cancel samples that still have time to finish, and lose copies of
    /// bodies that are still needed.
    fn update_work_guard(&mut self) {
        if self.running.is_empty() && self.context.bodies.store().is_empty() {
            self.work_guard = None;
        } else if self.work_guard.is_none() {
            let progress = self.context.kernel.registry.find::<Progress>(PROGRESS);
            self.work_guard = progress.ok().map(|progress| progress.begin());
        }
    }

    fn handle(&mut self, notice: Notice) {
        match notice {
            Notice::Opened(key) => self.start_step(key),
            Notice::Session(session) => self.set_session(session),
            Notice::Orphans(orphans) => self.take_orphans(orphans),
            Notice::Ended(key) => {
                self.running.remove(&key);
            }
            Notice::Dump(sender) => {
                let _ = sender.send(self.dump());
            }
        }
    }

    /// Stops all running steps, because they belonged to the previous session and another entry
    /// takes them over.
    fn set_session(&mut self, session: Option<u64>) {
        self.session = session;
        for (key, task) in std::mem::take(&mut self.running) {
            tracing::warn!(event = "step_stopped", workspace = %key.workspace, step = %key.step);
            task.abort();
        }
    }

    fn take_orphans(&mut self, orphans: Vec<StepKey>) {
        let now = self.context.now();
        let mut seen = std::mem::take(&mut self.orphans);
        for key in orphans {
            let since = seen.remove(&key).unwrap_or(now);
            if now.since(since) >= ORPHAN_DELAY_MS * self.rank(&key) {
                self.start_step(key);
            } else {
                self.orphans.insert(key, since);
            }
        }
    }

    /// Returns the rank of this entry for an orphaned step. The order of the entries is derived
    /// from a hash of node and step, so that it differs from step to step.
    fn rank(&self, key: &StepKey) -> u64 {
        let hash = |node: &str| {
            Fingerprint::of(format!("{node}\0{}\0{}", key.workspace, key.step).as_bytes())
        };
        let own = hash(self.context.node.as_str());
        let members = self.context.members.view();
        let entries = members.present().filter(|member| member.roles.entry);
        entries.filter(|member| hash(member.node.as_str()) < own).count() as u64
    }

    fn start_step(&mut self, key: StepKey) {
        let Some(session) = self.session else { return };
        if *self.leave.borrow()
            || self.running.len() >= MAX_STEPS
            || self.running.contains_key(&key)
        {
            return;
        }
        let (context, shared) = (self.context.clone(), self.shared.clone());
        let (notices, ended) = (self.notices.clone(), key.clone());
        let task = actix_rt::spawn(async move {
            step::run(context, shared, session, ended.clone()).await;
            let _ = notices.send(Notice::Ended(ended)).await;
        });
        self.running.insert(key, task);
        self.update_work_guard();
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
