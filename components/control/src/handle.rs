//! How the HTTP threads reach the replica's duty.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_agreement::Message;
use chicoryford_agreement::ReplicaId;
use chicoryford_kernel::Sender;
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

/// The name under which [`Handle`] is offered.
pub const SERVICE: &str = "control";

/// How long an answer of the replica may take, in milliseconds. Beyond it, the leader has surely
/// lost its majority and will say so by itself.
pub const REPLY_TIMEOUT_MS: u64 = 5_000;
/// When to come back if there is no leader, in milliseconds: about one election.
pub const RETRY_AFTER_MS: u64 = 500;

/// Why this replica did not do it.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RequestError {
    /// Another replica leads, at this address if it is known.
    #[error("this replica does not lead")]
    NotLeader(Option<String>),
    /// It failed.
    #[error(transparent)]
    Failed(#[from] Failure),
}

/// A change of the replicas, as the leader is asked for it.
#[derive(Clone, Debug)]
pub enum MembershipRequest {
    /// Adds a replica, which is let to vote once it has caught up.
    Add {
        /// The replica.
        id: ReplicaId,
        /// Where it answers HTTP.
        address: String,
        /// The node whose place it takes.
        replaces: Option<chicoryford_types::Node>,
    },
    /// Lets a replica vote.
    Promote(chicoryford_types::Node),
    /// Removes a replica.
    Remove(chicoryford_types::Node),
    /// Hands leadership over.
    HandOver(Option<chicoryford_types::Node>),
}

/// An answer on its way.
pub type Answer<T> = oneshot::Sender<Result<T, RequestError>>;

/// What the replica's duty is asked for.
#[derive(Debug)]
pub enum Request {
    /// Commit and apply a command.
    Propose(Box<Command>, Answer<Reply>),
    /// SnapshotJob messages of other replicas.
    Deliver(Envelope),
    /// SessionRenewal an entry's session.
    Renew(SessionRenewal, Answer<SessionRenewalReply>),
    /// Change the replicas.
    ChangeMembers(MembershipRequest, Answer<()>),
    /// Give the configuration as of a linearizable read.
    Read(Answer<Config>),
    /// Tell how it stands.
    Status(oneshot::Sender<Status>),
}

/// Messages as they travel between control processes.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Envelope {
    /// Where the sender answers HTTP. A replica that joins knows no other replicas before the
    /// log reaches it, and must answer to somebody.
    pub address: String,
    /// The messages.
    pub messages: Vec<Message>,
}

/// Reaches the replica of this process.
#[derive(Clone)]
pub struct Handle {
    requests: Sender<Request>,
    received: Arc<AtomicU64>,
}

impl Handle {
    /// Sends requests to the replica's duty.
    pub fn new(requests: Sender<Request>) -> Self {
        Self { requests, received: Arc::default() }
    }

    /// Commits and applies a command.
    ///
    /// # Errors
    ///
    /// [`RequestError`]; the command may have been committed only if its outcome is unknown.
    pub async fn propose(&self, command: Command) -> Result<Reply, RequestError> {
        self.ask(|answer| Request::Propose(Box::new(command), answer)).await
    }

    /// Renews a session.
    ///
    /// # Errors
    ///
    /// [`RequestError`].
    pub async fn renew(&self, renew: SessionRenewal) -> Result<SessionRenewalReply, RequestError> {
        self.ask(|answer| Request::Renew(renew, answer)).await
    }

    /// Changes the replicas.
    ///
    /// # Errors
    ///
    /// [`RequestError`].
    pub async fn change_members(&self, reform: MembershipRequest) -> Result<(), RequestError> {
        self.ask(|answer| Request::ChangeMembers(reform, answer)).await
    }

    /// Reads accepted configuration so that every change accepted before the call is in it.
    ///
    /// # Errors
    ///
    /// [`RequestError`], also where this replica led until now and no majority confirms it.
    pub async fn read(&self) -> Result<Config, RequestError> {
        self.ask(Request::Read).await
    }

    /// Takes messages of another replica. They are dropped when the replica does not keep up:
    /// its sender repeats what matters.
    ///
    /// `bytes` is what they took on the wire, for the status.
    pub fn deliver(&self, envelope: Envelope, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        let _ = self.requests.offer(Request::Deliver(envelope));
    }

    /// Tells how the replica stands.
    ///
    /// # Errors
    ///
    /// A failure if its duty does not answer.
    pub async fn status(&self) -> Result<Status, Failure> {
        let (sender, receiver) = oneshot::channel();
        self.requests.offer(Request::Status(sender)).map_err(|_| overloaded())?;
        match wait(receiver).await {
            Some(status) => {
                Ok(Status { received: self.received.load(Ordering::Relaxed), ..status })
            }
            None => Err(silent(Failure::not_run)),
        }
    }

    async fn ask<T>(&self, request: impl FnOnce(Answer<T>) -> Request) -> Result<T, RequestError> {
        let (sender, receiver) = oneshot::channel();
        self.requests.offer(request(sender)).map_err(|_| overloaded())?;
        match wait(receiver).await {
            Some(answer) => answer,
            None => Err(silent(Failure::unknown).into()),
        }
    }
}

async fn wait<T>(receiver: oneshot::Receiver<T>) -> Option<T> {
    let patience = Duration::from_millis(REPLY_TIMEOUT_MS);
    actix_rt::time::timeout(patience, receiver).await.ok()?.ok()
}

fn overloaded() -> Failure {
    let detail = "the replica has too much to do";
    Failure::not_run(Code::Overloaded, detail).retry_after(RETRY_AFTER_MS)
}

fn silent(failure: fn(Code, &'static str) -> Failure) -> Failure {
    failure(Code::NoQuorum, "no majority of the control processes answered")
        .retry_after(RETRY_AFTER_MS)
}
