//! The follower duty: asks a parent for what is new, again and again.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_membership::Handle as Membership;
use chicoryford_settings::Settings;
use chicoryford_types::Config;
use chicoryford_types::Delta;
use chicoryford_types::Member;
use chicoryford_types::Millis;
use chicoryford_wire::CallError;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::paths;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::disk::Disk;
use crate::error::StartError;
use crate::feed::FEED;
use crate::feed::Feed;
use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::message::Follow;
use crate::message::Followed;
use crate::parents::Passed;
use crate::parents::choose;
use crate::proposer::PROPOSER;
use crate::proposer::Proposer;
use crate::random::generator;
use crate::shared::SHARED;
use crate::shared::Shared;
use crate::standing;
use crate::store::Absorbed;
use crate::store::Store;

/// Milliseconds for which a parent may hold its answer back for news. A silent parent is noticed
/// after this and [`MARGIN_MS`], half of the time in which a change must be everywhere.
pub const WAIT_MS: u64 = 6_000;
/// Milliseconds that an answer may take beyond the wait.
pub const MARGIN_MS: u64 = 2_000;
/// Milliseconds for which a parent that failed is passed over, at least, and at most twice.
const PASS_MS: u64 = 2_000;
/// Milliseconds between two looks for a parent when there is none.
const ALONE_MS: u64 = 200;
/// Milliseconds for which news from below are gathered before they are passed on.
const GATHER_MS: u64 = 50;
/// Milliseconds between two comparisons of the whole configuration with the parent's, at least,
/// and at most twice.
const COMPARE_MS: u64 = 60_000;

/// Starts the follower duty and offers [`Handle`], [`Feed`] and [`Proposer`]. Membership and the
/// caller must be offered before.
///
/// # Errors
///
/// [`StartError`] if one of them is missing or the thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), StartError> {
    let proposer = Proposer::find(kernel)?;
    let caller = kernel.registry.find::<Caller>(CALLER)?;
    let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
    let disk = settings.data.as_deref().map(Disk::new);
    let shared = Arc::new(Shared::new(Store::new(load(disk.as_ref()))));
    kernel.registry.offer(SERVICE, Handle::new(shared.watch()));
    kernel.registry.offer(FEED, Feed::new(shared.clone()));
    let quorum = proposer.quorum();
    kernel.registry.offer(PROPOSER, proposer);
    kernel.registry.offer(SHARED, shared.clone());
    let (held, clock, is_control) = (shared.clone(), kernel.clone(), settings.control.is_some());
    kernel.dumps.add("config", move || {
        let part = standing::dump(&held, &quorum, is_control, clock.now());
        async move { part }
    });
    kernel.duty("follower", move |kernel| async move {
        let random = RefCell::new(generator(&members.own()));
        let client = caller.client();
        let follower = Follower { client, kernel, members, shared, disk, random };
        follower.run().await;
    })?;
    Ok(())
}

/// Reads what this process had in force before it restarted. A damaged file is not believed:
/// the process then begins with nothing, says so, and is given a snapshot by its parent.
fn load(disk: Option<&Disk>) -> Config {
    match disk.map(Disk::load) {
        Some(Ok(Some(config))) => {
            tracing::info!(event = "config_loaded", at = %config.at);
            config
        }
        Some(Err(error)) => {
            tracing::error!(event = "config_not_loaded", %error);
            Config::default()
        }
        Some(Ok(None)) | None => Config::default(),
    }
}

struct Follower {
    client: Client,
    kernel: Kernel,
    members: Arc<Membership>,
    shared: Arc<Shared>,
    disk: Option<Disk>,
    random: RefCell<SmallRng>,
}

impl Follower {
    async fn run(self) {
        let phases = self.kernel.phases.clone();
        let is_control = self.members.own().roles.control;
        let work = async {
            if is_control { self.save_what_is_fed().await } else { self.follow_and_report().await }
        };
        tokio::select! {
            () = phases.reached(Phase::Stopping) => {}
            () = work => {}
        }
    }

    /// A control process is fed by its own replica and follows nobody; only its disk is left.
    async fn save_what_is_fed(&self) {
        let mut news = self.shared.watch();
        while news.changed().await.is_ok() {
            let config = news.borrow_and_update().clone();
            self.save(&config);
        }
    }

    async fn follow_and_report(&self) {
        tokio::join!(self.follow(), self.report());
    }

    async fn follow(&self) {
        let mut passed = Passed::default();
        let mut compare = self.kernel.now() + self.jitter(COMPARE_MS);
        loop {
            let (own, view) = (self.members.own(), self.members.view());
            let now = self.kernel.now();
            passed.trim(now);
            let parent = choose(&own, &view, &passed, now);
            self.note_parent(parent);
            self.note_isolation(now);
            let Some(parent) = parent else {
                actix_rt::time::sleep(Duration::from_millis(ALONE_MS)).await;
                continue;
            };
            let is_due = now >= compare;
            if is_due {
                compare = now + self.jitter(COMPARE_MS);
            }
            let digest = is_due.then(|| self.shared.store().digest());
            let follow = Follow { digest, ..self.question(&own, WAIT_MS) };
            let asked = tokio::select! {
                asked = self.ask(parent, &follow, WAIT_MS + MARGIN_MS) => asked.map(Some),
                () = self.parent_gone(parent) => Ok(None),
            };
            let pass_ms = asked.as_ref().err().map_or(PASS_MS, pass_ms);
            let fault = match asked {
                Ok(Some(answer)) => self.take(answer, &follow),
                Ok(None) => Some("it is gone".to_owned()),
                Err(error) => Some(error.to_string()),
            };
            if let Some(fault) = fault {
                tracing::debug!(event = "parent_left", parent = %parent.node, fault);
                self.kernel.metrics.count("config.parents_left", 1);
                self.shared.standing().left += 1;
                passed.pass(parent.node.clone(), self.kernel.now() + self.jitter(pass_ms));
            }
        }
    }

    /// Passes news from below on to the parent, while the question for news waits there.
    async fn report(&self) {
        let mut below = self.shared.watch_below();
        while below.changed().await.is_ok() {
            actix_rt::time::sleep(Duration::from_millis(GATHER_MS)).await;
            below.mark_unchanged();
            let parent = self.shared.standing().parent.clone();
            if let Some(parent) = parent {
                let follow = self.question(&self.members.own(), 0);
                // If it is lost, the next question carries the same and more.
                let _ = self.ask(&parent, &follow, MARGIN_MS).await;
            }
        }
    }

    fn question(&self, own: &Member, wait_ms: u64) -> Follow {
        Follow {
            node: own.node.clone(),
            incarnation: own.incarnation,
            at: self.shared.store().at(),
            wait_ms,
            digest: None,
            subtree: self.shared.children().subtree(self.kernel.now()),
        }
    }

    async fn ask(
        &self,
        parent: &Member,
        follow: &Follow,
        patience_ms: u64,
    ) -> Result<Followed, CallError> {
        let patience = Duration::from_millis(patience_ms);
        self.client.call(&parent.address, paths::FOLLOW, follow, patience).await
    }

    /// Waits until membership takes the parent for gone, which is long before a silent
    /// connection to it would time out.
    async fn parent_gone(&self, parent: &Member) {
        let mut view = self.members.watch();
        let is_there = |member: &Member| {
            member.node == parent.node && member.incarnation == parent.incarnation
        };
        if view.wait_for(|view| !view.present().any(is_there)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Takes an answer in; returns what is wrong with the parent, if anything is.
    fn take(&self, answer: Followed, follow: &Follow) -> Option<String> {
        self.shared.standing().heard = Some(self.kernel.now());
        if answer.at < follow.at {
            // It would give this process nothing new, perhaps for long: it may be the one that
            // is cut off. Another parent is asked, and nothing here goes back.
            return Some(format!("it stands at {}, behind {}", answer.at, follow.at));
        }
        let delta = answer.delta?;
        if answer.repair {
            return self.repair(delta);
        }
        let next = self.shared.store().preview(&delta);
        if let Some(next) = next {
            self.save(&next);
        }
        let is_snapshot = matches!(delta, Delta::Snapshot(_));
        self.kernel.metrics.gauge("config.revision", answer.at.revision.0);
        let mut absorbed = Absorbed::Nothing;
        self.shared.change(|store| {
            absorbed = store.absorb(delta);
            absorbed == Absorbed::Moved
        });
        let mut standing = self.shared.standing();
        standing.deltas += u64::from(!is_snapshot);
        standing.snapshots += u64::from(is_snapshot);
        (absorbed == Absorbed::Gap).then(|| "its changes do not join on".to_owned())
    }

    fn repair(&self, delta: Delta) -> Option<String> {
        let Delta::Snapshot(config) = delta else { return None };
        let at = config.at;
        if self.shared.change(|store| store.repair(*config)) {
            tracing::error!(event = "config_repaired", %at);
            let config = self.shared.store().config();
            self.save(&config);
        }
        None
    }

    /// Saves configuration. If the disk fails, the process goes on in memory and says so: to
    /// refuse the change would leave it with an older configuration than all others.
    fn save(&self, config: &Config) {
        let Some(disk) = &self.disk else { return };
        let unsaved = disk.save(config).err().map(|error| error.to_string());
        if let Some(error) = &unsaved {
            tracing::error!(event = "config_not_saved", at = %config.at, error);
        }
        self.shared.standing().unsaved = unsaved;
    }

    fn note_parent(&self, parent: Option<&Member>) {
        let mut standing = self.shared.standing();
        if standing.parent.as_ref().map(|known| &known.node) != parent.map(|parent| &parent.node) {
            let name = parent.map(|parent| parent.node.as_str());
            tracing::debug!(event = "parent_chosen", parent = name);
        }
        standing.parent = parent.cloned();
    }

    /// Logs when this process becomes isolated, and when it no longer is.
    fn note_isolation(&self, now: Millis) {
        let mut standing = self.shared.standing();
        let is_isolated = standing.is_isolated(now);
        if is_isolated != standing.was_isolated {
            let at = self.shared.store().at();
            tracing::warn!(event = "isolation_changed", is_isolated, %at);
            self.kernel.metrics.gauge("config.isolated", u64::from(is_isolated));
        }
        standing.was_isolated = is_isolated;
    }

    fn jitter(&self, ms: u64) -> u64 {
        ms + self.random.borrow_mut().random_range(0..=ms)
    }
}

/// Tells for how long a parent is passed over; one that has all its children says so itself.
fn pass_ms(error: &CallError) -> u64 {
    match error {
        CallError::Failure(failure) => failure.retry_ms.unwrap_or(PASS_MS).max(PASS_MS),
        CallError::NotSent { .. } | CallError::Lost { .. } => PASS_MS,
    }
}
