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
use chicoryford_state::SessionRenewal;
use chicoryford_state::SessionRenewalReply;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Node;
use chicoryford_wire::CallError;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::parents::distance;
use crate::quorum::Quorum;
use crate::random::generator;

/// The name under which [`Proposer`] is offered.
pub const PROPOSER: &str = "proposer";

/// The longest wait for one control process before another is tried. A process that was cut off
/// silently never answers, and the whole timeout would be spent on it.
const TRY: Duration = Duration::from_secs(1);
/// The shortest wait for one control process.
const LEAST: Duration = Duration::from_millis(300);
/// Milliseconds between two rounds over all control processes, at most.
const ROUND_MS: u64 = 200;
/// When a caller may come back after no control process took its command, in milliseconds.
const RETRY_MS: u64 = 500;
/// The time between two looks for a leader.
const LOOK: Duration = Duration::from_millis(250);
/// How long a look may take.
const LOOKS: Duration = Duration::from_millis(700);

/// The recipe from which each thread makes its own [`ProposerClient`].
#[derive(Clone)]
pub struct Proposer {
    caller: Arc<Caller>,
    members: Arc<Membership>,
    quorum: Arc<Quorum>,
}

/// Proposes commands; it stays on one thread.
#[derive(Clone)]
pub struct ProposerClient {
    client: Client,
    members: Arc<Membership>,
    quorum: Arc<Quorum>,
    last: RefCell<Option<Node>>,
    random: RefCell<SmallRng>,
}

/// Whether a command is given up once it is known that there is no majority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// Somebody waits for the answer, who is better told to come back.
    Prompt,
    /// Nobody waits; it is tried until the timeout.
    Patient,
}

impl Proposer {
    /// Proposes as this process, to the control processes among `members`.
    pub fn new(caller: Arc<Caller>, members: Arc<Membership>) -> Self {
        Self { caller, members, quorum: Arc::default() }
    }

    /// Finds the one that is offered in the kernel, so that all threads know alike whether there
    /// is a majority, or makes one.
    ///
    /// # Errors
    ///
    /// [`MissingService`] if the caller or membership is not offered yet.
    pub fn find(kernel: &Kernel) -> Result<Self, MissingService> {
        if let Ok(offered) = kernel.registry.find::<Self>(PROPOSER) {
            return Ok((*offered).clone());
        }
        let caller = kernel.registry.find::<Caller>(chicoryford_wire::client::CALLER)?;
        let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
        Ok(Self::new(caller, members))
    }

    /// Gives what this process knows of the majority.
    pub fn quorum(&self) -> Arc<Quorum> {
        self.quorum.clone()
    }

    /// Makes this thread's client; keep it, because it keeps connections open.
    pub fn client(&self) -> ProposerClient {
        ProposerClient {
            client: self.caller.client(),
            members: self.members.clone(),
            quorum: self.quorum.clone(),
            last: RefCell::default(),
            random: RefCell::new(generator(&self.members.own())),
        }
    }
}

impl ProposerClient {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// All commands may be sent again after a lost answer, so another control process is tried
    /// whatever became of the first try. It is given up after half of `timeout`, so that whoever
    /// asked learns it in time to act on it, and as soon as it is known that there is no majority
    /// (docs/REGIONS.md).
    ///
    /// # Errors
    ///
    /// A failure with [`Code::NoQuorum`] once it is given up; its outcome is "not run" only if no
    /// try can have arrived. Any other failure is the control process's own.
    pub async fn propose(&self, command: &Command, timeout: Duration) -> Result<Reply, Failure> {
        self.run(command, (timeout / 2).max(LEAST).min(timeout), Mode::Prompt).await
    }

    /// Proposes a command for which nobody waits, until `timeout`.
    ///
    /// # Errors
    ///
    /// As [`ProposerClient::propose`].
    pub async fn propose_until_timeout(
        &self,
        command: &Command,
        timeout: Duration,
    ) -> Result<Reply, Failure> {
        self.run(command, timeout, Mode::Patient).await
    }

    async fn run(
        &self,
        command: &Command,
        timeout: Duration,
        mode: Mode,
    ) -> Result<Reply, Failure> {
        let started = Instant::now();
        let mut lost = false;
        loop {
            for (node, address) in self.candidates() {
                let left = self.left(started, timeout, mode);
                if left.is_zero() {
                    return Err(no_quorum(lost));
                }
                let patience = left.min(TRY.min(timeout / 3).max(LEAST));
                match self.attempt(&address, command, patience).await {
                    Ok(reply) => {
                        self.last.replace(Some(node));
                        self.quorum.found();
                        return Ok(reply);
                    }
                    Err(error) if is_final(&error) => return Err(error.into_failure()),
                    Err(error) => lost |= may_have_arrived(&error),
                }
                self.last.replace(None);
                self.doubt();
            }
            let left = self.left(started, timeout, mode);
            if left.is_zero() {
                return Err(no_quorum(lost));
            }
            let pause = self.random.borrow_mut().random_range(ROUND_MS / 4..=ROUND_MS);
            actix_rt::time::sleep(Duration::from_millis(pause).min(left)).await;
        }
    }

    /// Gives the time after which a command is given up.
    fn left(&self, started: Instant, timeout: Duration, mode: Mode) -> Duration {
        let now = Instant::now();
        let left = timeout.saturating_sub(now - started);
        let patience = self.quorum.patience(now).filter(|_| mode == Mode::Prompt);
        patience.map_or(left, |patience| patience.min(left))
    }

    /// Looks from now on whether there is a leader, if nobody does yet.
    fn doubt(&self) {
        if self.quorum.doubt(Instant::now()) {
            let held = self.clone();
            actix_rt::spawn(async move { held.watch().await });
        }
    }

    /// Looks for a leader until there is one.
    async fn watch(&self) {
        let mut logged = false;
        while !self.has_leader().await {
            let now = Instant::now();
            self.quorum.looked(now);
            if !logged && self.quorum.is_missing(now) {
                tracing::warn!(event = "majority_out_of_reach");
                logged = true;
            }
            actix_rt::time::sleep(LOOK).await;
        }
        self.quorum.found();
        if logged {
            tracing::info!(event = "majority_reached_again");
        }
    }

    /// Asks all control processes at once to renew a session that nobody has. Only a leader whose
    /// lease holds answers that, so the answer proves a majority and costs no entry of the log.
    async fn has_leader(&self) -> bool {
        let question =
            SessionRenewal { node: self.members.own().node, ..SessionRenewal::default() };
        let question = &question;
        let candidates = self.candidates();
        let mut asked: FuturesUnordered<_> = candidates
            .iter()
            .map(|(_, address)| {
                self.client.call::<_, SessionRenewalReply>(address, paths::RENEW, question, LOOKS)
            })
            .collect();
        while let Some(answer) = asked.next().await {
            if answer.is_ok() {
                return true;
            }
        }
        false
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
