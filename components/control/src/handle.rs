//! The handle by which the HTTP threads send requests to the replica's task.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_agreement::Message;
use chicoryford_agreement::ReplicaId;
use chicoryford_kernel::Sender;
use chicoryford_kernel::run_time;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_state::SessionRenewal;
use chicoryford_state::SessionRenewalReply;
use chicoryford_types::Code;
use chicoryford_types::Config;
use chicoryford_types::Failure;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::oneshot;

use crate::status::Status;

/// The name under which [`Handle`] is registered.
pub const SERVICE: &str = "control";

/// Timeout for a reply of the replica, in milliseconds. A leader that takes longer has lost its
/// majority and will report that itself.
pub const REPLY_TIMEOUT_MS: u64 = 5_000;
/// Time after which a caller should retry if there is no leader, in milliseconds. About one
/// election.
pub const RETRY_AFTER_MS: u64 = 500;

/// The error for which this replica did not carry out a request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RequestError {
    /// This replica does not lead. Contains the leader's address if it is known.
    #[error("this replica does not lead")]
    NotLeader(Option<String>),
    /// The request failed.
    #[error(transparent)]
    Failed(#[from] Failure),
}

/// A change of the replicas that the leader is asked for.
#[derive(Clone, Debug)]
pub enum MembershipRequest {
    /// Adds a replica, which becomes a voter once it has caught up.
    Add {
        /// The replica.
        id: ReplicaId,
        /// Its HTTP address.
        address: String,
        /// The node that it replaces.
        replaces: Option<chicoryford_types::Node>,
    },
    /// Makes a replica a voter.
    Promote(chicoryford_types::Node),
    /// Removes a replica.
    Remove(chicoryford_types::Node),
    /// Hands leadership over, to the given node if there is one.
    HandOver(Option<chicoryford_types::Node>),
}

/// The channel for the answer to a request.
pub type Answer<T> = oneshot::Sender<Result<T, RequestError>>;

/// A request to the replica's task.
#[derive(Debug)]
pub enum Request {
    /// Commits and applies a command.
    Propose(Box<Command>, Answer<Reply>),
    /// Delivers messages of other replicas.
    Deliver(Envelope),
    /// Renews the session of an entry process.
    Renew(SessionRenewal, Answer<SessionRenewalReply>),
    /// Changes the replicas.
    ChangeMembers(MembershipRequest, Answer<()>),
    /// Returns the configuration as of a linearizable read.
    Read(Answer<Config>),
    /// Returns the status.
    Status(oneshot::Sender<Status>),
}

/// The messages of one call between control processes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Envelope {
    /// The HTTP address of the sender. A replica that joins has no addresses of other replicas
    /// before it receives the log, so it uses this one to reply.
    pub address: String,
    /// The messages.
    pub messages: Vec<Message>,
}

/// Sends requests to the replica of this process.
#[derive(Clone)]
pub struct Handle {
    requests: Sender<Request>,
    received: Arc<AtomicU64>,
}

impl Handle {
    /// Creates a handle that sends requests to the replica's task.
    pub fn new(requests: Sender<Request>) -> Self {
        Self { requests, received: Arc::default() }
    }

    /// Commits and applies a command.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`]. The command may have been committed only if the error says that
    /// its outcome is unknown.
    pub async fn propose(&self, command: Command) -> Result<Reply, RequestError> {
        self.request(|answer| Request::Propose(Box::new(command), answer)).await
    }

    /// Renews a session.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`].
    pub async fn renew(&self, renew: SessionRenewal) -> Result<SessionRenewalReply, RequestError> {
        self.request(|answer| Request::Renew(renew, answer)).await
    }

    /// Changes the replicas.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`].
    pub async fn change_members(&self, change: MembershipRequest) -> Result<(), RequestError> {
        self.request(|answer| Request::ChangeMembers(change, answer)).await
    }

    /// Reads the accepted configuration. It includes every change accepted before the call.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`], also if this replica leads but no majority confirms it.
    pub async fn read(&self) -> Result<Config, RequestError> {
        self.request(Request::Read).await
    }

    /// Delivers messages of another replica. They are dropped if the replica's queue is full; the
    /// sender resends them if necessary.
    ///
    /// `bytes` is their size on the wire, for the status.
    pub fn deliver(&self, envelope: Envelope, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        let _ = self.requests.offer(Request::Deliver(envelope));
    }

    /// Returns the status of the replica.
    ///
    /// # Errors
    ///
    /// Returns a failure if the replica's task does not reply.
    pub async fn status(&self) -> Result<Status, Failure> {
        let (sender, receiver) = oneshot::channel();
        self.requests.offer(Request::Status(sender)).map_err(|_| overloaded())?;
        match wait_for_reply(receiver).await {
            Some(status) => {
                Ok(Status { received: self.received.load(Ordering::Relaxed), ..status })
            }
            None => Err(no_reply(Failure::not_run)),
        }
    }

    async fn request<T>(
        &self,
        build: impl FnOnce(Answer<T>) -> Request,
    ) -> Result<T, RequestError> {
        let (sender, receiver) = oneshot::channel();
        self.requests.offer(build(sender)).map_err(|_| overloaded())?;
        match wait_for_reply(receiver).await {
            Some(answer) => answer,
            None => Err(no_reply(Failure::unknown).into()),
        }
    }
}

async fn wait_for_reply<T>(receiver: oneshot::Receiver<T>) -> Option<T> {
    let timeout = Duration::from_millis(REPLY_TIMEOUT_MS);
    run_time::timeout(timeout, receiver).await.ok()?.ok()
}

fn overloaded() -> Failure {
    let detail = "the replica has too much to do";
    Failure::not_run(Code::Overloaded, detail).retry_after(RETRY_AFTER_MS)
}

fn no_reply(failure: fn(Code, &'static str) -> Failure) -> Failure {
    failure(Code::NoQuorum, "no majority of the control processes answered")
        .retry_after(RETRY_AFTER_MS)
}
