//! The HTTP client with which processes call each other and endpoints.

use std::sync::Arc;
use std::time::Duration;

use actix_service::Service;
use actix_service::fn_service;
use actix_tls::connect as tcp;
use actix_tls::connect::ConnectInfo;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::Uri;
use bytes::Bytes;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use rustls::ClientConfig;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::reply::MSGPACK;

/// Bound on an answer that is read whole.
const ANSWER_BOUND: usize = 64 << 20;
const CONNECT: Duration = Duration::from_secs(2);
const KEPT: Duration = Duration::from_secs(30);

/// A call did not give an answer, or gave a failure.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallError {
    /// No connection came about, so no byte of the call left this process.
    #[error("{url}: no connection: {detail}")]
    NotSent {
        /// What was called.
        url: String,
        /// What the library said.
        detail: String,
    },
    /// The call may have arrived; no whole answer came.
    #[error("{url}: no whole answer: {detail}")]
    Lost {
        /// What was called.
        url: String,
        /// What the library said.
        detail: String,
    },
    /// The other side answered with a failure.
    #[error(transparent)]
    Failure(#[from] Failure),
}

impl CallError {
    /// Gives the failure that a caller of this process should see.
    pub fn into_failure(self) -> Failure {
        match self {
            Self::Failure(failure) => failure,
            Self::NotSent { .. } => Failure::not_run(Code::NoEndpoint, self.to_string()),
            Self::Lost { .. } => Failure::unknown(Code::EndpointFailed, self.to_string()),
        }
    }
}

/// What a process needs to call others, offered to all its duties under [`CALLER`]. A [`Client`]
/// stays on one thread, so each thread makes its own from this.
#[derive(Clone, Default)]
pub struct Caller {
    /// The token by which this process presents itself.
    pub token: Option<String>,
    /// How to speak HTTPS; none for plain HTTP.
    pub tls: Option<Arc<ClientConfig>>,
}

/// The name under which a process's [`Caller`] is offered.
pub const CALLER: &str = "caller";

impl Caller {
    /// Makes a client for this thread.
    pub fn client(&self) -> Client {
        Client::new(self.token.clone(), self.tls.clone())
    }
}

/// A client of one thread. It keeps connections open; [`Client::fresh`] gives one that does not.
#[derive(Clone)]
pub struct Client {
    awc: awc::Client,
    token: Option<String>,
    tls: Option<Arc<ClientConfig>>,
}

impl Client {
    /// Makes a client that presents `token` and, given `tls`, speaks HTTPS.
    pub fn new(token: Option<String>, tls: Option<Arc<ClientConfig>>) -> Self {
        Self { awc: build(tls.clone(), KEPT), token, tls }
    }

    /// Makes a client with the same token whose calls open new connections.
    ///
    /// A connection that something between the two ends lost track of stays silent for ever
    /// while new ones work; only a new one can tell whether the other side lives.
    #[must_use]
    pub fn fresh(&self) -> Self {
        let awc = build(self.tls.clone(), Duration::ZERO);
        Self { awc, token: self.token.clone(), tls: self.tls.clone() }
    }

    /// Gives the address of a path on another process.
    pub fn url(&self, address: &str, path: &str) -> String {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        format!("{scheme}://{address}{path}")
    }

    /// Starts a request with this client's token, for callers that read the answer as a stream.
    pub fn post(&self, url: &str) -> awc::ClientRequest {
        self.with_token(self.awc.post(url))
    }

    /// Starts a GET with this client's token.
    pub fn get(&self, url: &str) -> awc::ClientRequest {
        self.with_token(self.awc.get(url))
    }

    fn with_token(&self, request: awc::ClientRequest) -> awc::ClientRequest {
        match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    /// Calls another process of the system with MessagePack and reads its whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError`], which tells whether the call can have arrived.
    pub async fn call<Q, A>(
        &self,
        address: &str,
        path: &str,
        question: &Q,
        timeout: Duration,
    ) -> Result<A, CallError>
    where
        Q: Serialize + ?Sized,
        A: DeserializeOwned,
    {
        let url = self.url(address, path);
        let body = rmp_serde::to_vec_named(question).expect("questions are plain data");
        let exchange = self.exchange(&url, body, timeout);
        let (status, answer) = actix_rt::time::timeout(timeout, exchange)
            .await
            .map_err(|_| CallError::Lost { url: url.clone(), detail: "timeout".to_owned() })??;
        if status >= 400 {
            return Err(read_failure(&url, status, &answer));
        }
        rmp_serde::from_slice(&answer)
            .map_err(|error| CallError::Lost { url, detail: error.to_string() })
    }

    async fn exchange(
        &self,
        url: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(u16, Bytes), CallError> {
        let request = self.post(url).content_type(MSGPACK).timeout(timeout);
        let mut response = request.send_body(body).await.map_err(|e| send_error(url, &e))?;
        let status = response.status().as_u16();
        let answer = response.body().limit(ANSWER_BOUND).await;
        let answer =
            answer.map_err(|e| CallError::Lost { url: url.to_owned(), detail: e.to_string() })?;
        Ok((status, answer))
    }
}

/// Tells whether a request that failed can have left this process.
///
/// The library reports a connection that closed after the request was sent as an error of the
/// connection, beside those that mean that none came about. Taken for one of these, a call that
/// ran at an endpoint that then crashed would be reported as "not run", and run twice.
pub fn send_error(url: &str, error: &SendRequestError) -> CallError {
    let (url, detail) = (url.to_owned(), error.to_string());
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            CallError::Lost { url, detail }
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            CallError::NotSent { url, detail }
        }
        _ => CallError::Lost { url, detail },
    }
}

/// Reads the failure in the body of an answer, whether MessagePack or JSON.
pub fn read_failure(url: &str, status: u16, body: &[u8]) -> CallError {
    if let Ok(failure) = rmp_serde::from_slice::<Failure>(body) {
        return CallError::Failure(failure);
    }
    if let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) {
        let error = &value["error"];
        let code = serde_json::from_value(error["code"].clone());
        let outcome = serde_json::from_value(error["outcome"].clone());
        if let (Ok(code), Ok(outcome)) = (code, outcome) {
            let detail = error["message"].as_str().unwrap_or_default().to_owned();
            let retry_ms = error["retry_ms"].as_u64();
            return CallError::Failure(Failure { code, outcome, detail, retry_ms });
        }
    }
    CallError::Lost { url: url.to_owned(), detail: format!("HTTP status {status}") }
}

fn build(tls: Option<Arc<ClientConfig>>, kept: Duration) -> awc::Client {
    let tcp = tcp::Connector::default().service();
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = tcp.call(info);
        async move {
            let connection = connecting.await?;
            // Frames are small. With Nagle's algorithm one that follows another waits until the
            // other side has acknowledged the first, which it may put off for 40 ms.
            if let Err(error) = connection.io_ref().set_nodelay(true) {
                tracing::debug!(event = "nodelay_refused", %error);
            }
            Ok(connection)
        }
    });
    let connector = Connector::new().connector(connect);
    let connector = connector.timeout(CONNECT).limit(0).conn_keep_alive(kept);
    let connector = match tls {
        Some(tls) => connector.rustls_0_23(tls),
        None => connector,
    };
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}
