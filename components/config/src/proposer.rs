//! Proposes commands to the control processes.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_kernel::run_time::RunTimer;
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
use crate::quorum::QuorumStatus;
use crate::random::generator;

/// The name under which [`Proposer`] is registered.
pub const PROPOSER: &str = "proposer";

/// The longest wait for one control process before another is tried. A silently partitioned process
/// never answers, and the whole timeout would be spent on it.
const MAX_TRY_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest wait for one control process.
const MIN_TRY_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest pause between two rounds over all control processes, in milliseconds.
const MAX_ROUND_PAUSE_MS: u64 = 200;
/// The retry delay given to a caller if no control process accepted its command, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;
/// The time between two probes for a leader.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Creates a [`ProposerClient`] for each thread.
#[derive(Clone)]
pub struct Proposer {
    caller: Arc<Caller>,
    members: Arc<Membership>,
    quorum: Arc<QuorumStatus>,
}

/// Proposes commands to the control processes. A client is used on one thread only.
#[derive(Clone)]
pub struct ProposerClient {
    client: Client,
    members: Arc<Membership>,
    quorum: Arc<QuorumStatus>,
    last_responder: RefCell<Option<Node>>,
    random: RefCell<SmallRng>,
}

/// Whether a command is given up as soon as the loss of the majority is detected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// A caller waits for the answer and can retry later.
    FailFast,
    /// No caller waits; the command is proposed until the timeout.
    UntilTimeout,
}

impl Proposer {
    /// Creates a proposer that sends commands as this process to the control processes among
    /// `members`.
    pub fn new(caller: Arc<Caller>, members: Arc<Membership>) -> Self {
        Self { caller, members, quorum: Arc::default() }
    }

    /// Returns the proposer that is registered in the kernel, so that all threads share the status
    /// of the majority, or creates one if none is registered.
    ///
    /// # Errors
    ///
    /// [`MissingService`] if the caller or membership is not registered yet.
    pub fn find(kernel: &Kernel) -> Result<Self, MissingService> {
        if let Ok(offered) = kernel.registry.find::<Self>(PROPOSER) {
            return Ok((*offered).clone());
        }
        let caller = kernel.registry.find::<Caller>(chicoryford_wire::client::CALLER)?;
        let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
        Ok(Self::new(caller, members))
    }

    /// Returns the status of the majority as observed by this process.
    pub fn quorum(&self) -> Arc<QuorumStatus> {
        self.quorum.clone()
    }

    /// Creates a client for this thread. Reuse it, because it keeps connections open.
    pub fn client(&self) -> ProposerClient {
        ProposerClient {
            client: self.caller.client(),
            members: self.members.clone(),
            quorum: self.quorum.clone(),
            last_responder: RefCell::default(),
            random: RefCell::new(generator(&self.members.own())),
        }
    }
}

impl ProposerClient {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// All commands are idempotent and may be resent after a lost answer, so another control
    /// process is tried whatever the result of the first try. The command is given up after half of
    /// `timeout`, so that the caller is informed in time to react, and as soon as the loss of the
    /// majority is detected (docs/REGIONS.md).
    ///
    /// # Errors
    ///
    /// A failure with [`Code::NoQuorum`] if the command is given up; its outcome is "not run" only
    /// if no try can have reached a control process. Any other failure is the control process's
    /// reply.
    pub async fn propose(&self, command: &Command, timeout: Duration) -> Result<Reply, Failure> {
        self.propose_with_mode(
            command,
            (timeout / 2).max(MIN_TRY_TIMEOUT).min(timeout),
            Mode::FailFast,
        )
        .await
    }

    /// Proposes a command for which no caller waits, until `timeout`, even without a majority.
    ///
    /// # Errors
    ///
    /// As [`ProposerClient::propose`].
    pub async fn propose_until_timeout(
        &self,
        command: &Command,
        timeout: Duration,
    ) -> Result<Reply, Failure> {
        self.propose_with_mode(command, timeout, Mode::UntilTimeout).await
    }

    async fn propose_with_mode(
        &self,
        command: &Command,
        timeout: Duration,
        mode: Mode,
    ) -> Result<Reply, Failure> {
        // After a stall of this process, the answer of a control process may be unread.
        let timer = RunTimer::start();
        let mut may_have_run = false;
        loop {
            for (node, address) in self.candidates() {
                let remaining = self.remaining(&timer, timeout, mode);
                if remaining.is_zero() {
                    return Err(no_quorum(may_have_run));
                }
                let try_timeout =
                    remaining.min(MAX_TRY_TIMEOUT.min(timeout / 3).max(MIN_TRY_TIMEOUT));
                match self.attempt(&address, command, try_timeout).await {
                    Ok(reply) => {
                        self.last_responder.replace(Some(node));
                        self.quorum.record_available();
                        return Ok(reply);
                    }
                    Err(error) if is_final(&error) => return Err(error.into_failure()),
                    Err(error) => may_have_run |= may_have_arrived(&error),
                }
                self.last_responder.replace(None);
                self.probe_after_failure();
            }
            let remaining = self.remaining(&timer, timeout, mode);
            if remaining.is_zero() {
                return Err(no_quorum(may_have_run));
            }
            let pause =
                self.random.borrow_mut().random_range(MAX_ROUND_PAUSE_MS / 4..=MAX_ROUND_PAUSE_MS);
            actix_rt::time::sleep(Duration::from_millis(pause).min(remaining)).await;
        }
    }

    /// Returns the time until a command is given up.
    fn remaining(&self, timer: &RunTimer, timeout: Duration, mode: Mode) -> Duration {
        let remaining = timer.left(timeout);
        let grace = self.quorum.remaining_grace(Instant::now()).filter(|_| mode == Mode::FailFast);
        grace.map_or(remaining, |grace| grace.min(remaining))
    }

    /// Records a failed try, and starts probing for a leader if no thread does yet.
    fn probe_after_failure(&self) {
        if self.quorum.record_failure(Instant::now()) {
            let client = self.clone();
            actix_rt::spawn(async move { client.probe_until_leader().await });
        }
    }

    /// Probes for a leader until there is one.
    async fn probe_until_leader(&self) {
        let mut logged = false;
        while !self.has_leader().await {
            let now = Instant::now();
            self.quorum.record_failed_probe(now);
            if !logged && self.quorum.is_missing(now) {
                tracing::warn!(event = "majority_out_of_reach");
                logged = true;
            }
            actix_rt::time::sleep(PROBE_INTERVAL).await;
        }
        self.quorum.record_available();
        if logged {
            tracing::info!(event = "majority_reached_again");
        }
    }

    /// Asks all control processes concurrently to renew a session that does not exist. Only a
    /// leader with a valid lease answers, so an answer proves that there is a majority, without an
    /// entry in the log.
    async fn has_leader(&self) -> bool {
        let request = SessionRenewal { node: self.members.own().node, ..SessionRenewal::default() };
        let request = &request;
        let candidates = self.candidates();
        let mut requests: FuturesUnordered<_> = candidates
            .iter()
            .map(|(_, address)| {
                self.client.call::<_, SessionRenewalReply>(
                    address,
                    paths::RENEW,
                    request,
                    PROBE_TIMEOUT,
                )
            })
            .collect();
        while let Some(answer) = requests.next().await {
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
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let called = self.client.call(address, paths::PROPOSE, command, timeout).await;
        match called? {
            Reply::Failed(failure) => Err(CallError::Failure(failure)),
            reply => Ok(reply),
        }
    }

    /// Lists the control processes in the order in which they are tried: the one that answered
    /// last, this process, then the others by distance.
    fn candidates(&self) -> Vec<(Node, String)> {
        let view = self.members.view();
        let own = self.members.own();
        let mut controls: Vec<_> = view.present().filter(|member| member.roles.control).collect();
        if own.roles.control && !controls.iter().any(|member| member.node == own.node) {
            controls.push(&own);
        }
        controls.shuffle(&mut *self.random.borrow_mut());
        let last = self.last_responder.borrow();
        controls.sort_by_key(|member| {
            let is_last = last.as_ref() == Some(&member.node);
            (!is_last, member.node != own.node, distance(&own, member))
        });
        controls.iter().map(|member| (member.node.clone(), member.address.clone())).collect()
    }
}

/// Returns whether every control process would give the same answer.
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

fn no_quorum(may_have_run: bool) -> Failure {
    let detail = "no control process accepted the command in time";
    let failure = if may_have_run {
        Failure::unknown(Code::NoQuorum, detail)
    } else {
        Failure::not_run(Code::NoQuorum, detail)
    };
    failure.retry_after(RETRY_AFTER_MS)
}
