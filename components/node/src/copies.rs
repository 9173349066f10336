//! Replication of step parts: writes them to stores, reads them, and restores lost copies.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Command;
use chicoryford_fleet::copies::PartId;
pub use chicoryford_fleet::copies::Placement;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::copies::Stores;
use chicoryford_kernel::run_time;
use chicoryford_types::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::clock;
use crate::followers::Followers;
use crate::leader::Leader;
use crate::message::StoreReply;
use crate::message::StoreRequest;
use crate::metrics;
use crate::settings::Settings;

/// Timeout for one store to write a part. A sync takes a few milliseconds, on a slow disk about ten
/// times as long.
const PUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a reply after which another store is asked in addition.
const PUT_HEDGE_DELAY: Duration = Duration::from_millis(120);
/// Time after which a part that is not on enough stores is put into the log instead.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for one store to return a part.
const GET_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a reply after which the next store is asked for the same part.
const GET_HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Interval between searches for parts with too few copies.
const REPAIR_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of parts that are copied concurrently.
const MAX_CONCURRENT_COPIES: usize = 32;
/// Bytes of parts that the leader caches. Trainers read a step's results within some seconds; the
/// largest site produces a megabyte of results a second.
const CACHE_BYTES: usize = 6 << 20;
/// Repair rounds between cleanups, in which the stores are told which parts to keep.
const ROUNDS_PER_CLEANUP: u32 = 100;

/// The copies of step parts on the stores.
pub struct Copies {
    followers: Rc<Followers>,
    stores: RefCell<Stores>,
    cache: RefCell<Cache>,
    wanted: usize,
}

#[derive(Default)]
struct Cache {
    parts: BTreeMap<PartId, Bytes>,
    order: VecDeque<PartId>,
    bytes: usize,
}

impl Cache {
    fn put(&mut self, part: PartId, bytes: Bytes) {
        self.bytes += bytes.len();
        if let Some(before) = self.parts.insert(part, bytes) {
            self.bytes -= before.len();
        } else {
            self.order.push_back(part);
        }
        while self.bytes > CACHE_BYTES {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(bytes) = self.parts.remove(&oldest) {
                self.bytes -= bytes.len();
            }
        }
    }
}

impl Copies {
    /// Creates an empty instance. The number of wanted copies is one more than the number of VMs
    /// that may be lost.
    pub fn new(followers: Rc<Followers>, settings: &Settings, now: Millis) -> Self {
        Self {
            followers,
            stores: RefCell::new(
                Stores::new(&settings.data_centre, now).with_policy(settings.policy),
            ),
            cache: RefCell::default(),
            wanted: settings.tolerated as usize + 1,
        }
    }

    /// Records that a store has connected.
    pub fn connected(&self, store: StoreId, data_centre: String, address: SocketAddr) {
        tracing::info!(event = "store_found", store = store.node, identity = store.identity);
        self.stores.borrow_mut().connected(store, data_centre, address, clock::now());
    }

    /// Records that a store's connection has ended.
    pub fn disconnected(&self, store: &StoreId) {
        tracing::info!(event = "store_lost", store = store.node, identity = store.identity);
        self.stores.borrow_mut().disconnected(store, clock::now());
    }

    /// Returns the number of connected stores whose node satisfies `fits`.
    pub fn count(&self, fits: impl Fn(&str) -> bool) -> usize {
        self.stores.borrow().count(fits)
    }

    /// Returns whether a store VM is known.
    pub fn has(&self, node: &str) -> bool {
        self.stores.borrow().is_known(node)
    }

    /// Writes a part to enough stores and returns the place to record in the log, which the caller
    /// proposes before it waits for anything else. If there are not enough stores, the part itself
    /// goes into the log. The control processes' disks are small, so this is only meant for the time
    /// until stores are back.
    ///
    /// `retired` returns the stores that must not be used. A store that is retired during the write
    /// may be reported to be empty at once and be removed, so its copy does not count.
    pub async fn write(
        &self,
        part: PartId,
        bytes: &Bytes,
        retired: impl Fn() -> BTreeSet<String>,
    ) -> Placement {
        let began = clock::now();
        self.cache.borrow_mut().put(part, bytes.clone());
        let mut holders = BTreeSet::new();
        loop {
            let avoid = retired();
            holders.retain(|store: &StoreId| !avoid.contains(&store.node));
            holders = self.put(part, bytes, holders, &avoid).await;
            if !is_on(&holders, &retired()) {
                break;
            }
            tracing::info!(event = "part_moved", part = part.0, stores = holders.len());
        }
        let place = if holders.len() >= self.wanted { "stores" } else { "log" };
        let seconds = clock::now().since(began) as f64 / 1_000.0;
        metrics::PART_SECONDS.with_label_values(&[place]).observe(seconds);
        if holders.len() >= self.wanted {
            return Placement::Stores(holders);
        }
        let (stores, wanted, ms) = (holders.len(), self.wanted, clock::now().since(began));
        tracing::warn!(
            event = "part_inline",
            part = part.0,
            bytes = bytes.len(),
            stores,
            wanted,
            ms
        );
        Placement::Inline(bytes.clone())
    }

    /// Writes copies to further stores until there are enough. Returns all stores that have the
    /// part.
    async fn put(
        &self,
        part: PartId,
        bytes: &Bytes,
        mut holders: BTreeSet<StoreId>,
        avoid: &BTreeSet<String>,
    ) -> BTreeSet<StoreId> {
        let mut left: VecDeque<StoreId> = self.stores.borrow().choose(&holders, avoid).into();
        let missing = self.wanted.saturating_sub(holders.len());
        let mut requests = FuturesUnordered::new();
        let ask = |store: StoreId| async move {
            let ask = StoreRequest::Put(part, bytes.clone());
            let reply = self.followers.request(&store, ask, PUT_TIMEOUT).await;
            (store, matches!(reply, Some(StoreReply::Kept)))
        };
        for store in left.drain(..missing.min(left.len())).collect::<Vec<_>>() {
            requests.push(ask(store));
        }
        let timeout = run_time::sleep(WRITE_TIMEOUT);
        tokio::pin!(timeout);
        while holders.len() < self.wanted && !requests.is_empty() {
            tokio::select! {
                done = requests.next() => match done {
                    Some((store, true)) => {
                        self.stores.borrow_mut().record_put(&store);
                        holders.insert(store);
                    }
                    Some((_, false)) => requests.extend(left.pop_front().map(ask)),
                    None => break,
                },
                () = run_time::sleep(PUT_HEDGE_DELAY), if !left.is_empty() => {
                    requests.extend(left.pop_front().map(ask));
                }
                () = &mut timeout => break,
            }
        }
        holders
    }

    /// Returns the address of a store in this data centre that has a copy of the part, if any.
    pub fn address_in(&self, place: &Placement, data_centre: &str) -> Option<SocketAddr> {
        self.stores.borrow().address_in(place, data_centre)
    }

    /// Reads a part from the cache, or from the first store that returns it, starting with the
    /// nearest.
    pub async fn read(&self, part: PartId, place: &Placement) -> Option<Bytes> {
        if let Some(bytes) = self.cache.borrow().parts.get(&part) {
            return Some(bytes.clone());
        }
        let bytes = match place {
            Placement::Inline(bytes) => Some(bytes.clone()),
            Placement::Stores(stores) => self.get(part, stores).await,
        };
        match &bytes {
            Some(bytes) => self.cache.borrow_mut().put(part, bytes.clone()),
            None => tracing::warn!(event = "part_unread", part = part.0, ?place),
        }
        bytes
    }

    async fn get(&self, part: PartId, stores: &BTreeSet<StoreId>) -> Option<Bytes> {
        let mut left: VecDeque<StoreId> = self.stores.borrow().holders(stores).into();
        let ask = |store: StoreId| async move {
            match self.followers.request(&store, StoreRequest::Get(part), GET_TIMEOUT).await {
                Some(StoreReply::Part(bytes)) => bytes,
                _ => None,
            }
        };
        let mut requests = FuturesUnordered::new();
        requests.extend(left.pop_front().map(ask));
        while !requests.is_empty() {
            tokio::select! {
                given = requests.next() => match given {
                    Some(Some(bytes)) => return Some(bytes),
                    _ => requests.extend(left.pop_front().map(ask)),
                },
                () = run_time::sleep(GET_HEDGE_DELAY), if !left.is_empty() => {
                    requests.extend(left.pop_front().map(ask));
                }
            }
        }
        None
    }

    /// Returns parts with too few copies, and parts in the log, that further stores could hold.
    fn under_replicated(&self, leader: &Leader) -> Vec<(PartId, Placement, BTreeSet<StoreId>)> {
        let state = leader.context.replica.state();
        let stores = self.stores.borrow();
        let now = clock::now();
        let available = stores.count(|node| !state.retired.contains(node));
        let lacks = state.parts.iter().filter_map(|(id, part)| {
            let counted = stores.counted_copies(&part.placement, &state.retired, now);
            let inline = matches!(part.placement, Placement::Inline(_));
            let lacks = counted.len() < self.wanted
                && (!inline || available >= self.wanted)
                && !stores.choose(&counted, &state.retired).is_empty();
            lacks.then(|| (*id, part.placement.clone(), counted))
        });
        lacks.take(MAX_CONCURRENT_COPIES).collect()
    }

    async fn repair(
        &self,
        leader: &Leader,
        part: PartId,
        place: Placement,
        counted: BTreeSet<StoreId>,
    ) {
        let Some(bytes) = self.read(part, &place).await else { return };
        let avoid = leader.retired_stores();
        let before = counted.len();
        let stores = self.put(part, &bytes, counted, &avoid).await;
        if is_on(&stores, &leader.retired_stores()) {
            // The next round chooses other stores.
            return;
        }
        if stores.len() >= self.wanted || stores.len() > before.max(1) && before > 0 {
            leader.commit(Command::Move { part, stores }).await;
        }
    }

    /// Sends each store the set of parts that it has to keep.
    fn send_kept_parts(&self, leader: &Leader) {
        let state = leader.context.replica.state();
        let mut wanted: BTreeMap<StoreId, BTreeSet<PartId>> = BTreeMap::new();
        for (id, part) in &state.parts {
            let Placement::Stores(stores) = &part.placement else { continue };
            for store in stores {
                wanted.entry(store.clone()).or_default().insert(*id);
            }
        }
        for (store, parts) in wanted {
            self.followers.notify_store(&store, StoreRequest::Keep(parts));
        }
    }
}

/// Returns whether some of the stores are on these VMs.
fn is_on(stores: &BTreeSet<StoreId>, nodes: &BTreeSet<String>) -> bool {
    stores.iter().any(|store| nodes.contains(&store.node))
}

/// Restores missing copies for as long as this process leads.
pub async fn run_repairs(leader: Weak<Leader>) {
    let mut rounds = 0;
    loop {
        tokio::time::sleep(REPAIR_INTERVAL).await;
        let Some(leader) = leader.upgrade() else { return };
        let mut copied = 0;
        loop {
            let under_replicated = leader.copies.under_replicated(&leader);
            if under_replicated.is_empty() || !leader.leads() {
                break;
            }
            copied += under_replicated.len();
            let all = under_replicated
                .into_iter()
                .map(|(part, place, counted)| leader.copies.repair(&leader, part, place, counted));
            let began = clock::now();
            futures_util::future::join_all(all).await;
            if clock::now().since(began) > REPAIR_INTERVAL.as_millis() as u64 {
                break;
            }
        }
        if copied > 0 {
            tracing::info!(event = "parts_copied", copied);
        }
        rounds += 1;
        if rounds % ROUNDS_PER_CLEANUP == 0 {
            leader.copies.send_kept_parts(&leader);
        }
    }
}
