//! Writes parts of steps to stores, reads them back, and makes new copies of those that lost one.

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
pub use chicoryford_fleet::copies::Place;
use chicoryford_fleet::copies::StoreId;
use chicoryford_fleet::copies::Stores;
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

/// How long one store may take to keep a part. A sync takes a few milliseconds, on a slow disk
/// some ten times as long.
const PUT: Duration = Duration::from_secs(2);
/// Time after which another store is asked as well, while one has not answered.
const SPARE: Duration = Duration::from_millis(120);
/// How long the writing of a part may take before it goes into the log itself.
const WRITE: Duration = Duration::from_millis(600);
/// How long a store may take to give a part.
const GET: Duration = Duration::from_millis(800);
/// Time after which the next store is asked for the same part.
const GET_SPARE: Duration = Duration::from_millis(60);
/// How often it is looked for parts with too few copies.
const LOOK: Duration = Duration::from_millis(200);
/// Parts that are copied at once.
const AT_ONCE: usize = 32;
/// Bytes of parts that the leader keeps in memory. Trainers read a step's results within some
/// seconds; a second of the largest site's results is a megabyte.
const CACHED: usize = 6 << 20;
/// Looks between two words to the stores about what they may forget.
const FORGET_LOOKS: u32 = 100;

/// Parts of steps on the stores.
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
        while self.bytes > CACHED {
            let Some(oldest) = self.order.pop_front() else { return };
            if let Some(bytes) = self.parts.remove(&oldest) {
                self.bytes -= bytes.len();
            }
        }
    }
}

impl Copies {
    /// Starts without any store; as many copies are wanted as VMs may be lost, and one more.
    pub fn new(followers: Rc<Followers>, settings: &Settings, now: Millis) -> Self {
        Self {
            followers,
            stores: RefCell::new(Stores::new(&settings.data_centre, now).under(settings.policy)),
            cache: RefCell::default(),
            wanted: settings.tolerated as usize + 1,
        }
    }

    /// Notes that a store has connected.
    pub fn connected(&self, store: StoreId, data_centre: String, address: SocketAddr) {
        tracing::info!(event = "store_found", store = store.node, identity = store.identity);
        self.stores.borrow_mut().connected(store, data_centre, address, clock::now());
    }

    /// Notes that a store's connection has ended.
    pub fn disconnected(&self, store: &StoreId) {
        tracing::info!(event = "store_lost", store = store.node, identity = store.identity);
        self.stores.borrow_mut().disconnected(store, clock::now());
    }

    /// Counts the stores that are connected and that `fits` names.
    pub fn count(&self, fits: impl Fn(&str) -> bool) -> usize {
        self.stores.borrow().count(fits)
    }

    /// Tells whether a store VM is known.
    pub fn has(&self, node: &str) -> bool {
        self.stores.borrow().has(node)
    }

    /// Writes a part to enough stores, and gives the place that is to be noted in the log. It
    /// goes into the log itself if there are not enough: the control processes' disks are small,
    /// so this is only for the time until stores are back.
    pub async fn write(&self, part: PartId, bytes: &Bytes, avoid: &BTreeSet<String>) -> Place {
        let began = clock::now();
        self.cache.borrow_mut().put(part, bytes.clone());
        let have = self.put(part, bytes, BTreeSet::new(), avoid).await;
        let place = if have.len() >= self.wanted { "stores" } else { "log" };
        let seconds = clock::now().since(began) as f64 / 1_000.0;
        metrics::PART_SECONDS.with_label_values(&[place]).observe(seconds);
        if have.len() >= self.wanted {
            return Place::Stores(have);
        }
        let (stores, wanted, ms) = (have.len(), self.wanted, clock::now().since(began));
        tracing::warn!(
            event = "part_inline",
            part = part.0,
            bytes = bytes.len(),
            stores,
            wanted,
            ms
        );
        Place::Inline(bytes.clone())
    }

    /// Puts copies on further stores until there are enough; gives all stores that hold it.
    async fn put(
        &self,
        part: PartId,
        bytes: &Bytes,
        mut have: BTreeSet<StoreId>,
        avoid: &BTreeSet<String>,
    ) -> BTreeSet<StoreId> {
        let mut left: VecDeque<StoreId> = self.stores.borrow().choose(&have, avoid).into();
        let missing = self.wanted.saturating_sub(have.len());
        let mut asking = FuturesUnordered::new();
        let ask = |store: StoreId| async move {
            let ask = StoreRequest::Put(part, bytes.clone());
            let told = self.followers.request(&store, ask, PUT).await;
            (store, matches!(told, Some(StoreReply::Kept)))
        };
        for store in left.drain(..missing.min(left.len())).collect::<Vec<_>>() {
            asking.push(ask(store));
        }
        let late = tokio::time::sleep(WRITE);
        tokio::pin!(late);
        while have.len() < self.wanted && !asking.is_empty() {
            tokio::select! {
                done = asking.next() => match done {
                    Some((store, true)) => {
                        self.stores.borrow_mut().given(&store);
                        have.insert(store);
                    }
                    Some((_, false)) => asking.extend(left.pop_front().map(ask)),
                    None => break,
                },
                () = tokio::time::sleep(SPARE), if !left.is_empty() => {
                    asking.extend(left.pop_front().map(ask));
                }
                () = &mut late => break,
            }
        }
        have
    }

    /// Gives where a part can be read in a data centre, if a copy lies there.
    pub fn address_in(&self, place: &Place, data_centre: &str) -> Option<SocketAddr> {
        self.stores.borrow().beside(place, data_centre)
    }

    /// Reads a part from memory or from the first store that gives it, the nearest asked first.
    pub async fn read(&self, part: PartId, place: &Place) -> Option<Bytes> {
        if let Some(bytes) = self.cache.borrow().parts.get(&part) {
            return Some(bytes.clone());
        }
        let bytes = match place {
            Place::Inline(bytes) => Some(bytes.clone()),
            Place::Stores(stores) => self.get(part, stores).await,
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
            match self.followers.request(&store, StoreRequest::Get(part), GET).await {
                Some(StoreReply::Part(bytes)) => bytes,
                _ => None,
            }
        };
        let mut asking = FuturesUnordered::new();
        asking.extend(left.pop_front().map(ask));
        while !asking.is_empty() {
            tokio::select! {
                given = asking.next() => match given {
                    Some(Some(bytes)) => return Some(bytes),
                    _ => asking.extend(left.pop_front().map(ask)),
                },
                () = tokio::time::sleep(GET_SPARE), if !left.is_empty() => {
                    asking.extend(left.pop_front().map(ask));
                }
            }
        }
        None
    }

    /// Finds parts with too few copies, and those in the log itself, if a store could take one.
    fn lacking(&self, leader: &Leader) -> Vec<(PartId, Place, BTreeSet<StoreId>)> {
        let state = leader.context.replica.state();
        let stores = self.stores.borrow();
        let now = clock::now();
        let able = stores.count(|node| !state.retired.contains(node));
        let lacks = state.parts.iter().filter_map(|(id, part)| {
            let counted = stores.counted(&part.place, &state.retired, now);
            let inline = matches!(part.place, Place::Inline(_));
            let lacks = counted.len() < self.wanted
                && (!inline || able >= self.wanted)
                && !stores.choose(&counted, &state.retired).is_empty();
            lacks.then(|| (*id, part.place.clone(), counted))
        });
        lacks.take(AT_ONCE).collect()
    }

    async fn repair(
        &self,
        leader: &Leader,
        part: PartId,
        place: Place,
        counted: BTreeSet<StoreId>,
    ) {
        let Some(bytes) = self.read(part, &place).await else { return };
        let avoid = leader.context.replica.state().retired.clone();
        let before = counted.len();
        let stores = self.put(part, &bytes, counted, &avoid).await;
        if stores.len() >= self.wanted || stores.len() > before.max(1) && before > 0 {
            leader.commit(Command::Move { part, stores }).await;
        }
    }

    /// Tells each store what it is to keep.
    fn tell_wanted(&self, leader: &Leader) {
        let state = leader.context.replica.state();
        let mut wanted: BTreeMap<StoreId, BTreeSet<PartId>> = BTreeMap::new();
        for (id, part) in &state.parts {
            let Place::Stores(stores) = &part.place else { continue };
            for store in stores {
                wanted.entry(store.clone()).or_default().insert(*id);
            }
        }
        for (store, parts) in wanted {
            self.followers.notify_store(&store, StoreRequest::Keep(parts));
        }
    }
}

/// Makes new copies for as long as this process leads.
pub async fn keep(leader: Weak<Leader>) {
    let mut looks = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        let Some(leader) = leader.upgrade() else { return };
        let mut copied = 0;
        loop {
            let lacking = leader.copies.lacking(&leader);
            if lacking.is_empty() || !leader.leads() {
                break;
            }
            copied += lacking.len();
            let all = lacking
                .into_iter()
                .map(|(part, place, counted)| leader.copies.repair(&leader, part, place, counted));
            let began = clock::now();
            futures_util::future::join_all(all).await;
            if clock::now().since(began) > LOOK.as_millis() as u64 {
                break;
            }
        }
        if copied > 0 {
            tracing::info!(event = "parts_copied", copied);
        }
        looks += 1;
        if looks % FORGET_LOOKS == 0 {
            leader.copies.tell_wanted(&leader);
        }
    }
}
