//! The HTTP routes of a control process.

use std::rc::Rc;
use std::time::Duration;

use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Role;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_settings::Settings;
use chicoryford_state::Command;
use chicoryford_state::Reply as StateReply;
use chicoryford_state::SessionRenewal;
use chicoryford_state::SessionRenewalReply;
use chicoryford_types::Code;
use chicoryford_types::Config;
use chicoryford_types::Failure;
use chicoryford_types::order::EpochAnswer;
use chicoryford_weights::Progress;
use chicoryford_wire::Call;
use chicoryford_wire::CallError;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::Kind;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::client::read_failure;
use chicoryford_wire::paths;
use chicoryford_wire::reply;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::handle::Envelope;
use crate::handle::Handle;
use crate::handle::MembershipRequest;
use crate::handle::REPLY_TIMEOUT_MS;
use crate::handle::RETRY_AFTER_MS;
use crate::handle::RequestError;
use crate::handle::SERVICE;
use crate::orders;
use crate::status::Action;
use crate::status::ActionResult;
use crate::status::Status;

/// Query that marks a call forwarded by another control process. Such a call is not forwarded
/// again; otherwise two processes that each regard the other as the leader would forward it
/// endlessly.
const FORWARDED: &str = "forwarded";
const PEERS: &[Kind] = &[Kind::Process];
const OPERATORS: &[Kind] = &[Kind::Operator, Kind::Process];

/// The handlers of one HTTP thread.
struct Handlers {
    handle: Handle,
    orders: watch::Receiver<Vec<Progress>>,
    client: Client,
}

/// Adds the paths of the control role. [`crate::start()`] must be called before.
///
/// # Errors
///
/// Returns [`MissingService`] if it was not.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    if settings.control.is_none() {
        return Ok(());
    }
    let handle = Handle::clone(&*kernel.registry.find::<Handle>(SERVICE)?);
    let client = kernel.registry.find::<Caller>(CALLER)?.client();
    let orders = kernel.registry.find::<watch::Receiver<Vec<Progress>>>(orders::SERVICE)?;
    let orders = watch::Receiver::clone(&orders);
    let handlers = Rc::new(Handlers { handle, orders, client });
    let shared = handlers.clone();
    routes.add(paths::PROPOSE, PEERS, move |call| {
        let handlers = shared.clone();
        async move { peer_reply(handlers.propose(&call).await) }
    });
    let shared = handlers.clone();
    routes.add(paths::RENEW, PEERS, move |call| {
        let handlers = shared.clone();
        async move { peer_reply(handlers.renew(&call).await) }
    });
    let shared = handlers.clone();
    routes.add(paths::AGREEMENT, PEERS, move |call| {
        let handlers = shared.clone();
        async move { peer_reply(handlers.deliver(&call)) }
    });
    let shared = handlers.clone();
    routes.add(paths::EPOCH, PEERS, move |_| {
        let handlers = shared.clone();
        async move { peer_reply(handlers.epoch().await) }
    });
    let shared = handlers.clone();
    routes.add(paths::CURRENT, OPERATORS, move |call| {
        let handlers = shared.clone();
        async move { handlers.current(&call).await.unwrap_or_else(|f| reply::failure(&f)) }
    });
    routes.add(paths::CONTROL_STATUS, OPERATORS, move |call| {
        let handlers = handlers.clone();
        async move { handlers.control_status(&call).await.unwrap_or_else(|f| reply::failure(&f)) }
    });
    Ok(())
}

fn peer_reply<T: Serialize>(result: Result<T, Failure>) -> Reply {
    match result {
        Ok(answer) => reply::msgpack(&answer),
        Err(failure) => reply::peer_failure(&failure),
    }
}

impl Handlers {
    async fn propose(&self, call: &Call) -> Result<StateReply, Failure> {
        let command: Command = call.msgpack()?;
        let refused = match self.handle.propose(command.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(refused) => refused,
        };
        self.forward(call, paths::PROPOSE, &command, refused).await
    }

    async fn renew(&self, call: &Call) -> Result<SessionRenewalReply, Failure> {
        let renew: SessionRenewal = call.msgpack()?;
        let refused = match self.handle.renew(renew.clone()).await {
            Ok(renewed) => return Ok(renewed),
            Err(refused) => refused,
        };
        self.forward(call, paths::RENEW, &renew, refused).await
    }

    fn deliver(&self, call: &Call) -> Result<(), Failure> {
        self.handle.deliver(call.msgpack::<Envelope>()?, call.body.len());
        Ok(())
    }

    /// Returns the highest epoch. Only voters answer: an agent that restarts asks a majority of
    /// voters, and every majority contains one that voted in the newest epoch.
    async fn epoch(&self) -> Result<EpochAnswer, Failure> {
        let status = self.handle.status().await?;
        if status.voter && status.role != Role::Failed {
            let voters = status.replicas.into_iter().filter(|replica| replica.voter);
            let voters = voters.map(|replica| replica.node).collect();
            return Ok(EpochAnswer { epoch: status.epoch, voters });
        }
        Err(Failure::not_run(Code::NoQuorum, "this control process does not vote"))
    }

    async fn control_status(&self, call: &Call) -> Result<Reply, Failure> {
        if call.body.is_empty() {
            return Ok(reply::json(200, &self.status().await?));
        }
        let action: Action = call.json()?;
        let request = self.membership_request(action.clone()).await?;
        match self.handle.change_members(request).await {
            Ok(()) => {
                tracing::info!(event = "control_action", ?action);
                let done = format!("{action:?}");
                let status = self.status().await?;
                Ok(reply::json(200, &ActionResult { done, status }))
            }
            Err(refused) => self.forward_action(call, &action, refused).await,
        }
    }

    async fn current(&self, call: &Call) -> Result<Reply, Failure> {
        let refused = match self.handle.read().await {
            Ok(config) => return Ok(reply::json(200, &config)),
            Err(refused) => refused,
        };
        let address = leader_to_forward(call, refused)?;
        let path = format!("{}?{FORWARDED}", paths::CURRENT);
        let config: Config = self.fetch_json(&self.client.url(&address, &path), None).await?;
        Ok(reply::json(200, &config))
    }

    async fn status(&self) -> Result<Status, Failure> {
        let weights = self.orders.borrow().clone();
        Ok(Status { weights, ..self.handle.status().await? })
    }

    async fn membership_request(&self, action: Action) -> Result<MembershipRequest, Failure> {
        Ok(match action {
            Action::Add { node, address } => {
                let id = self.fetch_identity(&address, node).await?;
                MembershipRequest::Add { id, address, replaces: None }
            }
            Action::Replace { node, by, address } => {
                let id = self.fetch_identity(&address, by).await?;
                MembershipRequest::Add { id, address, replaces: Some(node) }
            }
            Action::Promote(node) => MembershipRequest::Promote(node),
            Action::Remove(node) => MembershipRequest::Remove(node),
            Action::HandOver(to) => MembershipRequest::HandOver(to),
        })
    }

    /// Queries a new replica for the identity of its data folder.
    async fn fetch_identity(
        &self,
        address: &str,
        node: chicoryford_types::Node,
    ) -> Result<ReplicaId, Failure> {
        let url = self.client.url(address, paths::CONTROL_STATUS);
        let status: Status = self.fetch_json(&url, None).await?;
        if status.node != node {
            let detail = format!("{address} is the node {}, not {node}", status.node);
            return Err(Failure::not_run(Code::BadRequest, detail));
        }
        Ok(ReplicaId::new(node, status.identity))
    }

    async fn forward_action(
        &self,
        call: &Call,
        action: &Action,
        refused: RequestError,
    ) -> Result<Reply, Failure> {
        let address = leader_to_forward(call, refused)?;
        let path = format!("{}?{FORWARDED}", paths::CONTROL_STATUS);
        let url = self.client.url(&address, &path);
        let body = serde_json::to_vec(action).expect("actions are plain data");
        let done: ActionResult = self.fetch_json(&url, Some(body)).await?;
        Ok(reply::json(200, &done))
    }

    async fn fetch_json<T: DeserializeOwned>(
        &self,
        url: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T, Failure> {
        let timeout = Duration::from_millis(REPLY_TIMEOUT_MS);
        let lost_error =
            |detail: String| CallError::Lost { url: url.to_owned(), detail }.into_failure();
        let sent = match body {
            None => self.client.get(url).timeout(timeout).send(),
            Some(body) => {
                let post = self.client.post(url).content_type(reply::JSON);
                post.timeout(timeout).send_body(body)
            }
        };
        let mut answer = sent.await.map_err(|error| lost_error(error.to_string()))?;
        let status = answer.status().as_u16();
        let body = answer.body().await.map_err(|error| lost_error(error.to_string()))?;
        if status >= 400 {
            return Err(read_failure(url, status, &body).into_failure());
        }
        serde_json::from_slice(&body).map_err(|error| lost_error(error.to_string()))
    }

    /// Forwards a call to the leader, unless it was already forwarded.
    async fn forward<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: &Call,
        path: &str,
        request: &Q,
        refused: RequestError,
    ) -> Result<A, Failure> {
        let address = leader_to_forward(call, refused)?;
        let path = format!("{path}?{FORWARDED}");
        let timeout = Duration::from_millis(REPLY_TIMEOUT_MS);
        let answer = self.client.call(&address, &path, request, timeout).await;
        answer.map_err(|error| match error {
            CallError::Failure(failure) => failure,
            CallError::NotSent { .. } => no_quorum(Failure::not_run, &error),
            CallError::Lost { .. } => no_quorum(Failure::unknown, &error),
        })
    }
}

fn leader_to_forward(call: &Call, refused: RequestError) -> Result<String, Failure> {
    match refused {
        RequestError::Failed(failure) => Err(failure),
        RequestError::NotLeader(Some(address)) if call.query != FORWARDED => Ok(address),
        RequestError::NotLeader(_) => {
            let detail = "the control processes have no leader just now";
            Err(Failure::not_run(Code::NoQuorum, detail).retry_after(RETRY_AFTER_MS))
        }
    }
}

fn no_quorum(failure: fn(Code, String) -> Failure, error: &CallError) -> Failure {
    failure(Code::NoQuorum, format!("the leader did not answer: {error}"))
        .retry_after(RETRY_AFTER_MS)
}
