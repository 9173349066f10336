//! The follower duty: follows a parent by long polling and reports the subtree to it.

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

use crate::config_file::ConfigFile;
use crate::error::StartError;
use crate::feed::FEED;
use crate::feed::Feed;
use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::message::FollowReply;
use crate::message::FollowRequest;
use crate::parents::SkippedParents;
use crate::parents::choose_parent;
use crate::proposer::PROPOSER;
use crate::proposer::Proposer;
use crate::random::generator;
use crate::shared::SHARED_STATE;
use crate::shared::SharedState;
use crate::status;
use crate::store::DeltaResult;
use crate::store::Store;

/// Milliseconds for which a parent may wait for a change before it replies. A silent parent is
/// detected after this plus [`REPLY_MARGIN_MS`], which is half of the time in which a change must
/// be in force everywhere.
pub const LONG_POLL_MS: u64 = 6_000;
/// Milliseconds that a reply may take in addition to the wait.
pub const REPLY_MARGIN_MS: u64 = 2_000;
/// Milliseconds for which a parent that failed is skipped; jitter adds up to the same time again.
const SKIP_MS: u64 = 2_000;
/// Milliseconds between two searches for a parent while there is none.
const NO_PARENT_RETRY_MS: u64 = 200;
/// Milliseconds for which changes in the subtree are collected before they are reported.
const REPORT_DELAY_MS: u64 = 50;
/// Milliseconds between two comparisons of the whole configuration with the parent's; jitter adds
/// up to the same time again.
const DIGEST_INTERVAL_MS: u64 = 60_000;

/// Starts the follower duty and registers [`Handle`], [`Feed`] and [`Proposer`]. Membership and the
/// caller must be registered before.
///
/// # Errors
///
/// [`StartError`] if one of them is missing or the thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), StartError> {
    let proposer = Proposer::find(kernel)?;
    let caller = kernel.registry.find::<Caller>(CALLER)?;
    let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
    let file = settings.data.as_deref().map(ConfigFile::new);
    let shared = Arc::new(SharedState::new(Store::new(load(file.as_ref()))));
    kernel.registry.offer(SERVICE, Handle::new(shared.watch()));
    kernel.registry.offer(FEED, Feed::new(shared.clone()));
    let quorum = proposer.quorum();
    kernel.registry.offer(PROPOSER, proposer);
    kernel.registry.offer(SHARED_STATE, shared.clone());
    let (dumped, clock, is_control) = (shared.clone(), kernel.clone(), settings.control.is_some());
    kernel.dumps.add("config", move || {
        let part = status::dump(&dumped, &quorum, is_control, clock.now());
        async move { part }
    });
    kernel.duty("follower", move |kernel| async move {
        let random = RefCell::new(generator(&members.own()));
        let client = caller.client();
        let follower = Follower { client, kernel, members, shared, file, random };
        follower.run().await;
    })?;
    Ok(())
}

/// Loads the configuration that this process had in force before it restarted. If the file is
/// damaged, the error is logged and the process starts with an empty configuration, until its
/// parent sends a snapshot.
fn load(file: Option<&ConfigFile>) -> Config {
    match file.map(ConfigFile::load) {
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
    shared: Arc<SharedState>,
    file: Option<ConfigFile>,
    random: RefCell<SmallRng>,
}

impl Follower {
    async fn run(self) {
        let phases = self.kernel.phases.clone();
        let is_control = self.members.own().roles.control;
        let work = async {
            if is_control { self.save_fed_config().await } else { self.follow_and_report().await }
        };
        tokio::select! {
            () = phases.reached(Phase::Stopping) => {}
            () = work => {}
        }
    }

    /// Saves each new configuration of a control process. It receives the configuration from its
    /// own replica and follows no parent.
    async fn save_fed_config(&self) {
        let mut changes = self.shared.watch();
        while changes.changed().await.is_ok() {
            let config = changes.borrow_and_update().clone();
            self.save(&config);
        }
    }

    async fn follow_and_report(&self) {
        tokio::join!(self.follow(), self.report());
    }

    async fn follow(&self) {
        let mut skipped = SkippedParents::default();
        let mut next_comparison = self.kernel.now() + self.jitter(DIGEST_INTERVAL_MS);
        loop {
            let (own, view) = (self.members.own(), self.members.view());
            let now = self.kernel.now();
            skipped.remove_expired(now);
            let parent = choose_parent(&own, &view, &skipped, now);
            self.record_parent(parent);
            self.record_isolation(now);
            let Some(parent) = parent else {
                actix_rt::time::sleep(Duration::from_millis(NO_PARENT_RETRY_MS)).await;
                continue;
            };
            let is_due = now >= next_comparison;
            if is_due {
                next_comparison = now + self.jitter(DIGEST_INTERVAL_MS);
            }
            let digest = is_due.then(|| self.shared.store().digest());
            let request = FollowRequest { digest, ..self.request(&own, LONG_POLL_MS) };
            let replied = tokio::select! {
                reply = self.send_request(parent, &request, LONG_POLL_MS + REPLY_MARGIN_MS)
                    => reply.map(Some),
                () = self.wait_for_parent_loss(parent) => Ok(None),
            };
            let skip_ms = replied.as_ref().err().map_or(SKIP_MS, skip_ms);
            let fault = match replied {
                Ok(Some(reply)) => self.handle_reply(reply, &request),
                Ok(None) => Some("membership reports it as lost".to_owned()),
                Err(error) => Some(error.to_string()),
            };
            if let Some(fault) = fault {
                tracing::debug!(event = "parent_left", parent = %parent.node, fault);
                self.kernel.metrics.count("config.parents_left", 1);
                self.shared.status().parents_left += 1;
                skipped.skip(parent.node.clone(), self.kernel.now() + self.jitter(skip_ms));
            }
        }
    }

    /// Reports changes in the subtree to the parent, while the long poll is pending there.
    async fn report(&self) {
        let mut subtree = self.shared.watch_subtree();
        while subtree.changed().await.is_ok() {
            actix_rt::time::sleep(Duration::from_millis(REPORT_DELAY_MS)).await;
            subtree.mark_unchanged();
            let parent = self.shared.status().parent.clone();
            if let Some(parent) = parent {
                let request = self.request(&self.members.own(), 0);
                // If this request is lost, the next one contains the same information.
                let _ = self.send_request(&parent, &request, REPLY_MARGIN_MS).await;
            }
        }
    }

    /// Creates a request without a digest.
    fn request(&self, own: &Member, wait_ms: u64) -> FollowRequest {
        FollowRequest {
            node: own.node.clone(),
            incarnation: own.incarnation,
            at: self.shared.store().at(),
            wait_ms,
            digest: None,
            subtree: self.shared.children().subtree(self.kernel.now()),
        }
    }

    async fn send_request(
        &self,
        parent: &Member,
        request: &FollowRequest,
        timeout_ms: u64,
    ) -> Result<FollowReply, CallError> {
        let timeout = Duration::from_millis(timeout_ms);
        self.client.call(&parent.address, paths::FOLLOW, request, timeout).await
    }

    /// Waits until membership reports the parent as lost, which is long before a request on a
    /// silent connection times out.
    async fn wait_for_parent_loss(&self, parent: &Member) {
        let mut view = self.members.watch();
        let is_parent = |member: &Member| {
            member.node == parent.node && member.incarnation == parent.incarnation
        };
        if view.wait_for(|view| !view.present().any(is_parent)).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Applies a reply. Returns the reason for abandoning the parent, if there is one.
    fn handle_reply(&self, reply: FollowReply, request: &FollowRequest) -> Option<String> {
        self.shared.status().last_reply = Some(self.kernel.now());
        if reply.at < request.at {
            // The parent may be partitioned and have nothing new for a long time. Another parent is
            // chosen, and the configuration here is not changed.
            return Some(format!("it is at {}, behind {}", reply.at, request.at));
        }
        let delta = reply.delta?;
        if reply.repair {
            return self.repair(delta);
        }
        let next = self.shared.store().preview(&delta);
        if let Some(next) = next {
            self.save(&next);
        }
        let is_snapshot = matches!(delta, Delta::Snapshot(_));
        self.kernel.metrics.gauge("config.revision", reply.at.revision.0);
        let mut result = DeltaResult::Unchanged;
        self.shared.update(|store| {
            result = store.apply_delta(delta);
            result == DeltaResult::Advanced
        });
        let mut status = self.shared.status();
        status.deltas += u64::from(!is_snapshot);
        status.snapshots += u64::from(is_snapshot);
        (result == DeltaResult::Gap)
            .then(|| "its changes do not follow the current position".to_owned())
    }

    fn repair(&self, delta: Delta) -> Option<String> {
        let Delta::Snapshot(config) = delta else { return None };
        let at = config.at;
        if self.shared.update(|store| store.repair(*config)) {
            tracing::error!(event = "config_repaired", %at);
            let config = self.shared.store().config();
            self.save(&config);
        }
        None
    }

    /// Saves a configuration. If the disk fails, the error is logged and the process continues with
    /// the configuration in memory: refusing the change would leave it with an older configuration
    /// than all other processes.
    fn save(&self, config: &Config) {
        let Some(file) = &self.file else { return };
        let save_error = file.save(config).err().map(|error| error.to_string());
        if let Some(error) = &save_error {
            tracing::error!(event = "config_not_saved", at = %config.at, error);
        }
        self.shared.status().save_error = save_error;
    }

    /// Records the current parent and logs a change of it.
    fn record_parent(&self, parent: Option<&Member>) {
        let mut status = self.shared.status();
        if status.parent.as_ref().map(|known| &known.node) != parent.map(|parent| &parent.node) {
            let name = parent.map(|parent| parent.node.as_str());
            tracing::debug!(event = "parent_chosen", parent = name);
        }
        status.parent = parent.cloned();
    }

    /// Logs when this process becomes isolated and when it is no longer isolated.
    fn record_isolation(&self, now: Millis) {
        let mut status = self.shared.status();
        let is_isolated = status.is_isolated(now);
        if is_isolated != status.was_isolated {
            let at = self.shared.store().at();
            tracing::warn!(event = "isolation_changed", is_isolated, %at);
            self.kernel.metrics.gauge("config.isolated", u64::from(is_isolated));
        }
        status.was_isolated = is_isolated;
    }

    /// Returns a random time between `ms` and twice `ms`.
    fn jitter(&self, ms: u64) -> u64 {
        ms + self.random.borrow_mut().random_range(0..=ms)
    }
}

/// Returns the milliseconds for which a parent is skipped. A parent with no room for children sends
/// the time in its reply.
fn skip_ms(error: &CallError) -> u64 {
    match error {
        CallError::Failure(failure) => failure.retry_ms.unwrap_or(SKIP_MS).max(SKIP_MS),
        CallError::NotSent { .. } | CallError::Lost { .. } => SKIP_MS,
    }
}
