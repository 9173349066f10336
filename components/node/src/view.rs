//! A member's copy of the fleet's state, as last received from the leader.

use std::cell::Ref;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::observed_loads::ObservedLoads;
use chicoryford_fleet::ranges::RangeContent;
use chicoryford_fleet::ranges::RangeIndex;
use chicoryford_fleet::walltime::WallTime;
use chicoryford_types::Millis;
use chicoryford_types::Unix;

use crate::clock;
use crate::frame::FrameError;
use crate::frame::decode;
use crate::message::Update;

type Listener = Box<dyn Fn(&Update)>;

/// A member's copy of the fleet's state.
pub struct View {
    config: RefCell<Option<Arc<Config>>>,
    endpoints: RefCell<BTreeMap<String, Endpoint>>,
    ranges: RefCell<RangeIndex>,
    controls: RefCell<BTreeSet<SocketAddr>>,
    order_times: RefCell<BTreeMap<String, Millis>>,
    observed_loads: RefCell<ObservedLoads>,
    listeners: RefCell<Vec<Listener>>,
    wall_clock: RefCell<WallTime>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            config: RefCell::default(),
            endpoints: RefCell::default(),
            ranges: RefCell::default(),
            controls: RefCell::default(),
            order_times: RefCell::default(),
            observed_loads: RefCell::default(),
            listeners: RefCell::default(),
            wall_clock: RefCell::new(WallTime::new(clock::wall(), clock::now())),
        }
    }
}

impl View {
    /// Calls `listener` after each update.
    pub fn subscribe(&self, listener: impl Fn(&Update) + 'static) {
        self.listeners.borrow_mut().push(Box::new(listener));
    }

    /// Applies an update.
    pub fn apply(&self, update: Update) {
        match &update {
            Update::Config(config) => {
                if !self.apply_config(config) {
                    return;
                }
            }
            Update::Endpoint(endpoint) => {
                let id = endpoint.announcement.id.clone();
                self.ranges.borrow_mut().insert(endpoint);
                let before = self.endpoints.borrow_mut().insert(id, endpoint.clone());
                if let Some(before) = before {
                    let mut loads = self.observed_loads.borrow_mut();
                    loads.record_endpoint(&before, endpoint, clock::now());
                }
            }
            Update::Forgotten(id) => {
                self.ranges.borrow_mut().remove(id);
                self.endpoints.borrow_mut().remove(id);
                self.order_times.borrow_mut().remove(id);
                self.observed_loads.borrow_mut().remove(id);
            }
            Update::Ordered(id) => {
                self.order_times.borrow_mut().insert(id.clone(), clock::now());
                self.observed_loads.borrow_mut().record_order(id, clock::now());
            }
            // The forwarder handles these updates as a listener.
            Update::Refused(_) | Update::Suspected(_) | Update::Unreachable(_) => {}
            Update::Controls(controls) => *self.controls.borrow_mut() = controls.clone(),
        }
        for listener in self.listeners.borrow().iter() {
            listener(&update);
        }
    }

    /// Returns the digests of the known endpoints by range.
    pub fn digests(&self) -> Vec<u64> {
        self.ranges.borrow().digests()
    }

    /// Replaces the endpoints of a range and returns their number.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the endpoints cannot be read; nothing is changed then.
    pub fn replace_range(&self, content: &RangeContent) -> Result<usize, FrameError> {
        let endpoints: Vec<Endpoint> = decode(&content.endpoints)?;
        let kept: BTreeSet<&str> =
            endpoints.iter().map(|endpoint| endpoint.announcement.id.as_str()).collect();
        let removed: Vec<String> = {
            let ranges = self.ranges.borrow();
            let ids = ranges.ids(content.range as usize, content.count as usize);
            ids.into_iter().filter(|id| !kept.contains(id)).map(str::to_owned).collect()
        };
        removed.into_iter().for_each(|id| self.apply(Update::Forgotten(id)));
        let count = endpoints.len();
        endpoints.into_iter().for_each(|endpoint| self.apply(Update::Endpoint(endpoint)));
        Ok(count)
    }

    /// Applies a configuration unless it is older than the current one: the version never decreases
    /// while the process runs, even if a replaced leader still sends updates. Returns whether it
    /// was applied.
    fn apply_config(&self, config: &Arc<Config>) -> bool {
        let mut current = self.config.borrow_mut();
        let newer = current.as_ref().is_none_or(|current| current.version < config.version);
        if newer {
            let before = current.as_ref().map_or(0, |current| current.version);
            let routes = config.routes.len();
            tracing::info!(event = "config_in_force", version = config.version, before, routes);
            *current = Some(config.clone());
        }
        newer
    }

    /// Records the wall clock time that the leader sent.
    pub fn set_wall_clock(&self, wall: Unix) {
        self.wall_clock.borrow_mut().record(wall, clock::now());
    }

    /// Returns the fleet's wall clock time.
    pub fn wall(&self) -> Unix {
        self.wall_at(clock::now())
    }

    /// Returns the fleet's wall clock time at the moment when this VM's monotonic clock reads `at`.
    pub fn wall_at(&self, at: Millis) -> Unix {
        self.wall_clock.borrow().at(at)
    }

    /// Returns the configuration in force in this process.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Returns an endpoint. The borrow must not be held across an `await`.
    pub fn endpoint(&self, id: &str) -> Option<Ref<'_, Endpoint>> {
        Ref::filter_map(self.endpoints.borrow(), |all| all.get(id)).ok()
    }

    /// Returns the number of known endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.borrow().len()
    }

    /// Returns all endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.borrow().values().cloned().collect()
    }

    /// Returns when the leader last announced an order, by engine.
    pub fn order_times(&self) -> BTreeMap<String, Millis> {
        self.order_times.borrow().clone()
    }

    /// Returns the loads of weights that leaders have ordered.
    pub fn observed_loads(&self) -> ObservedLoads {
        self.observed_loads.borrow().clone()
    }

    /// Returns the link addresses of the control processes.
    pub fn controls(&self) -> BTreeSet<SocketAddr> {
        self.controls.borrow().clone()
    }
}
