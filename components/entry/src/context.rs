//! What a thread needs to run requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_config::Handle as ConfigHandle;
use chicoryford_config::Proposer;
use chicoryford_config::ProposerClient;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_membership::Handle as MembersHandle;
use chicoryford_settings::Settings;
use chicoryford_types::DataCentre;
use chicoryford_types::Millis;
use chicoryford_types::Node;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::client::CALLER;

use crate::bodies;
use crate::bodies::Bodies;
use crate::router::Router;
use crate::router::SERVICE;
use crate::run::first_token::FirstTokenTimes;

/// What a thread needs to run requests; an HTTP worker and the steps duty each make their own,
/// because a client stays on one thread.
#[derive(Clone)]
pub struct Context(Rc<Inner>);

/// The content of a [`Context`].
pub struct Inner {
    /// The process.
    pub kernel: Kernel,
    /// Calls agents over connections that are kept.
    pub client: Client,
    /// Calls agents over new connections, to tell a silent connection from a dead endpoint.
    pub fresh_client: Client,
    /// Chooses endpoints.
    pub router: Router,
    /// The configuration in force.
    pub config: ConfigHandle,
    /// Who is there.
    pub members: MembersHandle,
    /// The samples' bytes that this process holds.
    pub bodies: Bodies,
    /// Proposes commands to the control processes.
    pub proposer: ProposerClient,
    /// Learned times until the first tokens.
    pub first_token_times: RefCell<FirstTokenTimes>,
    /// The time without a frame after which a stream counts as silent.
    pub silence: Duration,
    /// This process.
    pub node: Node,
    /// Where this process stands.
    pub data_centre: DataCentre,
}

impl Context {
    /// Finds the services of the process and makes clients for this thread.
    ///
    /// # Errors
    ///
    /// [`MissingService`] if a service has not been started yet.
    pub fn new(kernel: &Kernel, settings: &Settings) -> Result<Self, MissingService> {
        let caller = kernel.registry.find::<Caller>(CALLER)?;
        let config = kernel.registry.find::<ConfigHandle>(chicoryford_config::SERVICE)?;
        let members = kernel.registry.find::<MembersHandle>(chicoryford_membership::SERVICE)?;
        let router = kernel.registry.find::<Router>(SERVICE)?;
        let bodies = kernel.registry.find::<Bodies>(bodies::SERVICE)?;
        let proposer = Proposer::find(kernel)?.client();
        let client = caller.client();
        let entry = settings.entry.clone().unwrap_or_default();
        Ok(Self(Rc::new(Inner {
            kernel: kernel.clone(),
            fresh_client: client.fresh(),
            client,
            router: Router::clone(&router),
            config: ConfigHandle::clone(&config),
            members: MembersHandle::clone(&members),
            bodies: Bodies::clone(&bodies),
            proposer,
            first_token_times: RefCell::new(FirstTokenTimes::new(entry.rescue_ms)),
            silence: Duration::from_millis(entry.silence_ms),
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
        })))
    }

    /// Reads the process's monotonic clock.
    pub fn now(&self) -> Millis {
        self.0.kernel.now()
    }
}

impl std::ops::Deref for Context {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.0
    }
}
