//! Starts the tasks of the control role.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_agreement as agreement;
use chicoryford_agreement::Founder;
use chicoryford_agreement::Replica;
use chicoryford_agreement::ReplicaId;
use chicoryford_config::Feed;
use chicoryford_config::feed::FEED;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::ring;
use chicoryford_kernel::unix;
use chicoryford_membership::Handle as Membership;
use chicoryford_settings::ControlSettings;
use chicoryford_settings::Settings;
use chicoryford_storage::Disk;
use chicoryford_storage::Storage;
use chicoryford_storage::StorageSettings;
use chicoryford_types::Incarnation;
use chicoryford_weights::PlannerSettings;
use chicoryford_wire::Caller;
use chicoryford_wire::client::CALLER;
use tokio::sync::watch;

use crate::apply::Applied;
use crate::control_peers::ControlPeers;
use crate::convert;
use crate::disk;
use crate::error::StartError;
use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::orders;
use crate::orders::Leadership;
use crate::peers;
use crate::peers::MessageSender;
use crate::replica::Driver;
use crate::replica::HAND_OVER_TIMEOUT_MS;
use crate::replica::MAX_BATCH;
use crate::replica::Rings;
use crate::replica::SnapshotThresholds;
use crate::restore::restore;
use crate::sessions::Sessions;
use crate::snapshots;

/// The folder of the control role below the process's data folder.
pub const FOLDER: &str = "control";

const REQUEST_QUEUE_LENGTH: usize = 4_096;
const DISK_QUEUE_LENGTH: usize = 1_024;
const REPORT_QUEUE_LENGTH: usize = 1_024;
const OUTGOING_QUEUE_LENGTH: usize = 4_096;
const SNAPSHOT_QUEUE_LENGTH: usize = 1;

/// Parameters that only tests and benchmarks change. They are not part of the settings file.
#[derive(Clone)]
pub struct Tuning {
    /// Maximum number of proposals in one batch and of writes for one sync.
    pub max_batch: usize,
    /// Capacity of the disk's queue, in writes.
    pub disk_queue_length: usize,
    /// When snapshots are taken.
    pub snapshot_thresholds: SnapshotThresholds,
    /// Entries of the log that are retained before a snapshot.
    pub retained_entries: u64,
    /// The file operations.
    pub disk: Disk,
    /// Maximum time for which a stopping leader waits until another replica leads, in milliseconds.
    pub hand_over_timeout_ms: u64,
    /// Whether messages to the given address of another replica are sent. Tests simulate partitions
    /// with it.
    pub can_reach: Arc<dyn Fn(&str) -> bool + Send + Sync>,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            max_batch: DISK_QUEUE_LENGTH,
            disk_queue_length: DISK_QUEUE_LENGTH,
            snapshot_thresholds: SnapshotThresholds::default(),
            retained_entries: 4_096,
            disk: Disk::default(),
            hand_over_timeout_ms: HAND_OVER_TIMEOUT_MS,
            can_reach: Arc::new(|_| true),
        }
    }
}

/// Starts the control role and registers its [`Handle`]. The [`Caller`] and, if there is one, the
/// configuration's [`Feed`] must be registered before.
///
/// # Errors
///
/// Returns [`StartError`], for instance if the data folder is damaged.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), StartError> {
    start_with(kernel, settings, Tuning::default())
}

/// Starts the control role with the parameters of a test or benchmark.
///
/// # Errors
///
/// Returns [`StartError`], as [`start`] does.
pub fn start_with(kernel: &Kernel, settings: &Settings, tuning: Tuning) -> Result<(), StartError> {
    let Some(control) = &settings.control else { return Ok(()) };
    let folder = settings.data.as_ref().ok_or(StartError::NoFolder)?.join(FOLDER);
    let storage_settings = StorageSettings {
        identity: Incarnation(unix().0),
        retained_entries: tuning.retained_entries,
        ..StorageSettings::default()
    };
    let own = own_address(settings, control);
    if let Some(from) = &control.restore_from {
        restore(from, &folder, &settings.node, &own, storage_settings.clone())?;
    }
    let (storage, recovered) = Storage::open(&folder, storage_settings, tuning.disk)?;
    let id = ReplicaId::new(settings.node.clone(), recovered.identity);
    let saved = convert::saved_state(recovered)?;
    let feed = kernel.registry.find::<Feed>(FEED).ok().map(|feed| Feed::clone(&feed));
    let mut applied = Applied::new(feed);
    if let Some(snapshot) = &saved.snapshot {
        applied.reset(snapshot)?;
    }
    let founders = founders(settings, control, &own);
    let seed = id.incarnation.0 ^ unix().0;
    let replica = Replica::new(
        agreement_settings(control, id, &founders, tuning.retained_entries),
        saved,
        seed,
    );

    let (requests, requests_end) = ring(REQUEST_QUEUE_LENGTH);
    let (reports, reports_end) = ring(REPORT_QUEUE_LENGTH);
    let (jobs, jobs_end) = ring(tuning.disk_queue_length);
    let (outgoing, outgoing_end) = ring(OUTGOING_QUEUE_LENGTH);
    let (snapshot_jobs, snapshot_jobs_end) = ring(SNAPSHOT_QUEUE_LENGTH);
    let handle = Handle::new(requests);
    kernel.registry.offer(SERVICE, handle.clone());
    register_dump(kernel, handle);
    let (leadership, leadership_updates) = watch::channel(Leadership::default());
    start_orders(kernel, control, leadership_updates)?;

    let group = tuning.max_batch;
    let snapshot_reports = reports.clone();
    kernel.blocking_duty("disk", move |_| disk::run(storage, jobs_end, &reports, group))?;
    kernel.blocking_duty("snapshots", move |_| {
        snapshots::run(snapshot_jobs_end, &snapshot_reports)
    })?;
    let caller = kernel.registry.find::<Caller>(CALLER)?;
    let timeout = Duration::from_millis(control.election_ms.max(500));
    let reach = tuning.can_reach;
    kernel.duty("peers", move |_| async move {
        let sender = MessageSender::new(Caller::clone(&caller), own, timeout, reach);
        peers::run(sender, outgoing_end).await;
    })?;
    let rings = Rings {
        requests: requests_end,
        reports: reports_end,
        jobs,
        outgoing,
        snapshot_jobs,
        leadership,
    };
    let sessions = Sessions::new(control.session_ms);
    let addresses: BTreeMap<_, _> =
        founders.into_iter().map(|founder| (founder.node, founder.address)).collect();
    let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE).ok();
    let control_peers = members.map(|members| ControlPeers::new(members, settings.node.clone()));
    kernel.duty("replica", move |kernel| async move {
        let driver = Driver {
            snapshot_thresholds: tuning.snapshot_thresholds,
            max_batch: MAX_BATCH.min(group),
            hand_over_timeout_ms: tuning.hand_over_timeout_ms,
            sessions,
            control_peers,
            ..Driver::new(kernel, replica, applied, rings, addresses)
        };
        driver.run().await;
    })?;
    Ok(())
}

/// Starts the task that sends orders, if this process has the membership service.
fn start_orders(
    kernel: &Kernel,
    control: &ControlSettings,
    leadership: watch::Receiver<Leadership>,
) -> Result<(), StartError> {
    let progress = watch::Sender::new(Vec::new());
    let status = progress.subscribe();
    kernel.registry.offer(orders::SERVICE, status.clone());
    kernel.dumps.add("orders", move || {
        let progress = serde_json::to_value(&*status.borrow()).unwrap_or_default();
        async move { progress }
    });
    let Ok(members) = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE) else {
        return Ok(());
    };
    let caller = kernel.registry.find::<Caller>(CALLER)?;
    let settings =
        PlannerSettings { swap_percent: control.swap_percent, ..PlannerSettings::default() };
    kernel.duty("orders", move |kernel| async move {
        let client = caller.client();
        orders::dispatch::Dispatcher { kernel, client, members, leadership, progress, settings }
            .run()
            .await;
    })?;
    Ok(())
}

/// Returns the address at which the other replicas reach this one.
fn own_address(settings: &Settings, control: &ControlSettings) -> String {
    let named = control.replicas.iter().find(|replica| replica.node == settings.node);
    named.map_or_else(|| settings.listen.to_string(), |replica| replica.address.clone())
}

fn founders(settings: &Settings, control: &ControlSettings, own: &str) -> Vec<Founder> {
    if control.join {
        return Vec::new();
    }
    if control.replicas.is_empty() {
        return vec![Founder { node: settings.node.clone(), address: own.to_owned() }];
    }
    let named = control.replicas.iter();
    named.map(|r| Founder { node: r.node.clone(), address: r.address.clone() }).collect()
}

fn agreement_settings(
    control: &ControlSettings,
    id: ReplicaId,
    founders: &[Founder],
    tail: u64,
) -> agreement::Settings {
    agreement::Settings {
        id,
        founders: founders.to_vec(),
        election_ms: control.election_ms,
        heartbeat_ms: control.heartbeat_ms,
        retained_entries: tail,
        ..agreement::Settings::default()
    }
}

fn register_dump(kernel: &Kernel, handle: Handle) {
    kernel.dumps.add("control", move || {
        let handle = handle.clone();
        async move {
            let status = handle.status().await;
            match status {
                Ok(status) => serde_json::to_value(status).unwrap_or_default(),
                Err(failure) => serde_json::json!({"unanswered": failure.to_string()}),
            }
        }
    });
}
