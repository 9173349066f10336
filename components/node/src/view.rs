//! What a member believes, as the leader last told it.

use std::cell::Ref;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::walltime::WallTime;
use chicoryford_types::Millis;
use chicoryford_types::Unix;

use crate::clock;
use crate::message::Update;

type Listener = Box<dyn Fn(&Update)>;

/// What a member believes.
pub struct View {
    config: RefCell<Option<Arc<Config>>>,
    endpoints: RefCell<BTreeMap<String, Endpoint>>,
    controls: RefCell<BTreeSet<SocketAddr>>,
    ordered: RefCell<BTreeMap<String, Millis>>,
    listeners: RefCell<Vec<Listener>>,
    time: RefCell<WallTime>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            config: RefCell::default(),
            endpoints: RefCell::default(),
            controls: RefCell::default(),
            ordered: RefCell::default(),
            listeners: RefCell::default(),
            time: RefCell::new(WallTime::new(clock::wall(), clock::now())),
        }
    }
}

impl View {
    /// Calls `listener` after each piece of news.
    pub fn subscribe(&self, listener: impl Fn(&Update) + 'static) {
        self.listeners.borrow_mut().push(Box::new(listener));
    }

    /// Takes in a piece of news.
    pub fn apply(&self, news: Update) {
        match &news {
            Update::Config(config) => {
                if !self.take_config(config) {
                    return;
                }
            }
            Update::Endpoint(endpoint) => {
                let id = endpoint.said.id.clone();
                self.endpoints.borrow_mut().insert(id, endpoint.clone());
            }
            Update::Forgotten(id) => {
                self.endpoints.borrow_mut().remove(id);
                self.ordered.borrow_mut().remove(id);
            }
            Update::Whole(known) => {
                self.endpoints.borrow_mut().retain(|id, _| known.contains(id));
                self.ordered.borrow_mut().retain(|id, _| known.contains(id));
            }
            Update::Ordered(id) => {
                self.ordered.borrow_mut().insert(id.clone(), clock::now());
            }
            // Whoever forwards requests listens.
            Update::Refused(_) => {}
            Update::Controls(controls) => *self.controls.borrow_mut() = controls.clone(),
        }
        for listener in self.listeners.borrow().iter() {
            listener(&news);
        }
    }

    /// Takes a configuration unless it is older than the one held: within a process's life it
    /// never goes back, even if a leader that was replaced still sends.
    fn take_config(&self, config: &Arc<Config>) -> bool {
        let mut held = self.config.borrow_mut();
        let newer = held.as_ref().is_none_or(|held| held.version < config.version);
        if newer {
            let before = held.as_ref().map_or(0, |held| held.version);
            let routes = config.routes.len();
            tracing::info!(event = "config_in_force", version = config.version, before, routes);
            *held = Some(config.clone());
        }
        newer
    }

    /// Takes in the time of day as the leader told it.
    pub fn set_wall_clock(&self, wall: Unix) {
        self.time.borrow_mut().tell(wall, clock::now());
    }

    /// Gives the fleet's time of day.
    pub fn wall(&self) -> Unix {
        self.wall_at(clock::now())
    }

    /// Gives the fleet's time of day when this VM's steady clock reads `at`.
    pub fn wall_at(&self, at: Millis) -> Unix {
        self.time.borrow().at(at)
    }

    /// Gives the configuration in force here.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Gives an endpoint; it must not be held across a wait.
    pub fn endpoint(&self, id: &str) -> Option<Ref<'_, Endpoint>> {
        Ref::filter_map(self.endpoints.borrow(), |all| all.get(id)).ok()
    }

    /// Gives the endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints.borrow().values().cloned().collect()
    }

    /// Gives when leaders told of orders, by the engine.
    pub fn ordered(&self) -> BTreeMap<String, Millis> {
        self.ordered.borrow().clone()
    }

    /// Gives the addresses at which control processes take links.
    pub fn controls(&self) -> BTreeSet<SocketAddr> {
        self.controls.borrow().clone()
    }
}
