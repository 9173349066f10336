//! Proposes commands to the control processes.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_membership::Handle as Membership;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Node;
use chicoryford_wire::CallError;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::parents::distance;
use crate::random::generator;

/// The name under which [`Proposer`] is offered.
pub const PROPOSER: &str = "proposer";

/// The longest wait for one control process before another is tried. A process that was cut off
/// silently never answers, and the whole timeout would be spent on it.
const TRY: Duration = Duration::from_secs(2);
/// The shortest wait for one control process.
const LEAST: Duration = Duration::from_millis(300);
/// Milliseconds between two rounds over all control processes, at most.
const ROUND_MS: u64 = 200;
/// When a caller may come back after no control process took its command, in milliseconds.
const RETRY_MS: u64 = 500;

/// The recipe from which each thread makes its own [`ProposerClient`].
#[derive(Clone)]
pub struct Proposer {
    caller: Arc<Caller>,
    members: Arc<Membership>,
}

/// Proposes commands; it stays on one thread.
pub struct ProposerClient {
    client: Client,
    members: Arc<Membership>,
    last: RefCell<Option<Node>>,
    random: RefCell<SmallRng>,
}

impl Proposer {
    /// Proposes as this process, to the control processes among `members`.
    pub fn new(caller: Arc<Caller>, members: Arc<Membership>) -> Self {
        Self { caller, members }
    }

    /// Finds what it needs in the kernel.
    ///
    /// # Errors
    ///
    /// [`MissingService`] if the caller or membership is not offered yet.
    pub fn find(kernel: &Kernel) -> Result<Self, MissingService> {
        let caller = kernel.registry.find::<Caller>(chicoryford_wire::client::CALLER)?;
        let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
        Ok(Self::new(caller, members))
    }

    /// Makes this thread's client; keep it, because it keeps connections open.
    pub fn client(&self) -> ProposerClient {
        ProposerClient {
            client: self.caller.client(),
            members: self.members.clone(),
            last: RefCell::default(),
            random: RefCell::new(generator(&self.members.own())),
        }
    }
}

impl ProposerClient {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// All commands may be sent again after a lost answer, so another control process is tried
    /// whatever became of the first try, until `timeout`.
    ///
    /// # Errors
    ///
    /// A failure with [`Code::NoQuorum`] once the timeout has passed; its outcome is "not run"
    /// only if no try can have arrived. Any other failure is the control process's own.
    pub async fn propose(&self, command: &Command, timeout: Duration) -> Result<Reply, Failure> {
        let started = Instant::now();
        let mut lost = false;
        loop {
            for (node, address) in self.candidates() {
                let left = timeout.saturating_sub(started.elapsed());
                if left.is_zero() {
                    return Err(no_quorum(lost));
                }
                let patience = left.min(TRY.min(timeout / 3).max(LEAST));
                match self.attempt(&address, command, patience).await {
                    Ok(reply) => {
                        self.last.replace(Some(node));
                        return Ok(reply);
                    }
                    Err(error) if is_final(&error) => return Err(error.into_failure()),
                    Err(error) => lost |= may_have_arrived(&error),
                }
                self.last.replace(None);
            }
            let left = timeout.saturating_sub(started.elapsed());
            if left.is_zero() {
                return Err(no_quorum(lost));
            }
            let pause = self.random.borrow_mut().random_range(ROUND_MS / 4..=ROUND_MS);
            actix_rt::time::sleep(Duration::from_millis(pause).min(left)).await;
        }
    }

    async fn attempt(
        &self,
        address: &str,
        command: &Command,
        patience: Duration,
    ) -> Result<Reply, CallError> {
        let called = self.client.call(address, paths::PROPOSE, command, patience).await;
        match called? {
            Reply::Failed(failure) => Err(CallError::Failure(failure)),
            reply => Ok(reply),
        }
    }

    /// Lists control processes: the one that answered last, this very process, then the nearest.
    fn candidates(&self) -> Vec<(Node, String)> {
        let view = self.members.view();
        let own = self.members.own();
        let mut controls: Vec<_> = view.present().filter(|member| member.roles.control).collect();
        if own.roles.control && !controls.iter().any(|member| member.node == own.node) {
            controls.push(&own);
        }
        controls.shuffle(&mut *self.random.borrow_mut());
        let last = self.last.borrow();
        controls.sort_by_key(|member| {
            let is_last = last.as_ref() == Some(&member.node);
            (!is_last, member.node != own.node, distance(&own, member))
        });
        controls.iter().map(|member| (member.node.clone(), member.address.clone())).collect()
    }
}

/// Tells whether another control process would answer alike.
fn is_final(error: &CallError) -> bool {
    match error {
        CallError::NotSent { .. } | CallError::Lost { .. } => false,
        CallError::Failure(failure) => matches!(
            failure.code,
            Code::BadRequest | Code::TooLarge | Code::Forbidden | Code::Unauthenticated
        ),
    }
}

fn may_have_arrived(error: &CallError) -> bool {
    match error {
        CallError::NotSent { .. } => false,
        CallError::Lost { .. } => true,
        CallError::Failure(failure) => failure.outcome != chicoryford_types::Outcome::NotRun,
    }
}

fn no_quorum(lost: bool) -> Failure {
    let detail = "no control process took the command in time";
    let failure = if lost {
        Failure::unknown(Code::NoQuorum, detail)
    } else {
        Failure::not_run(Code::NoQuorum, detail)
    };
    failure.retry_after(RETRY_MS)
}
