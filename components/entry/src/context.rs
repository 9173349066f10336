//! Services and clients that a thread needs to run requests.

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

/// Services and clients that a thread needs to run requests. Each HTTP worker creates its own
/// context, as do the steps and reports duties, because a client cannot be shared between threads.

#[derive(Clone)]
pub struct Context(Rc<Inner>);

/// The content of a [`Context`].
pub struct Inner {
    /// The kernel of the process.
    pub kernel: Kernel,
    /// Calls other processes over pooled connections.
    pub client: Client,
    /// Calls agents over new connections, to distinguish a silent connection from a failed
    /// endpoint.
    pub fresh_client: Client,
    /// Chooses endpoints.
    pub router: Router,
    /// The current configuration.
    pub config: ConfigHandle,
    /// The members.
    pub members: MembersHandle,
    /// The sample bodies stored in this process.
    pub bodies: Bodies,
    /// Proposes commands to the control processes.
    pub proposer: ProposerClient,
    /// Learned times to first token.
    pub first_token_times: RefCell<FirstTokenTimes>,
    /// Silence timeout: the time without a frame after which a stream counts as silent.
    pub silence: Duration,
    /// The node name of this process.
    pub node: Node,
    /// The data centre of this process.
    pub data_centre: DataCentre,
}

impl Context {
    /// Looks up the services of the process and creates clients for this thread.
    ///
    /// # Errors
    ///
    /// Returns [`MissingService`] if a service has not been started yet.
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
