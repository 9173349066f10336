//! The HTTP client that processes use to call each other and endpoints.

use std::io::ErrorKind;
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
use chicoryford_kernel::run_time;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use rustls::ClientConfig;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::reply::MSGPACK;

/// The maximum size of an answer that is buffered.
const MAX_ANSWER_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The library's own limit, which goes by the clock and would blame the other side for a stall of
/// this process. [`CONNECT_TIMEOUT`] applies instead.
const MAX_CONNECT_TIME: Duration = Duration::from_secs(3_600);
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// A call failed, or its answer is a failure.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CallError {
    /// No connection was established, so no byte of the call was sent.
    #[error("{url}: no connection: {detail}")]
    NotSent {
        /// The URL of the call.
        url: String,
        /// The error message of the HTTP library.
        detail: String,
        /// Whether the host refused the connection, so that no process listens at the address.
        refused: bool,
    },
    /// The call may have been received, but no complete answer was.
    #[error("{url}: no complete answer: {detail}")]
    Lost {
        /// The URL of the call.
        url: String,
        /// The error message of the HTTP library.
        detail: String,
    },
    /// The other side answered with a failure.
    #[error(transparent)]
    Failure(#[from] Failure),
}

impl CallError {
    /// Converts the error to the failure that is reported to a caller of this process.
    pub fn into_failure(self) -> Failure {
        match self {
            Self::Failure(failure) => failure,
            Self::NotSent { .. } => Failure::not_run(Code::NoEndpoint, self.to_string()),
            Self::Lost { .. } => Failure::unknown(Code::EndpointFailed, self.to_string()),
        }
    }
}

/// The credentials with which a process calls others. It is available to all of the process's
/// duties under [`CALLER`]. A [`Client`] cannot leave its thread, so each thread creates its own
/// from this.
#[derive(Clone, Default)]
pub struct Caller {
    /// The token that authenticates this process.
    pub token: Option<String>,
    /// The TLS configuration for HTTPS; `None` for plain HTTP.
    pub tls: Option<Arc<ClientConfig>>,
}

/// The name under which the [`Caller`] of a process is available.
pub const CALLER: &str = "caller";

impl Caller {
    /// Creates a client for this thread.
    pub fn client(&self) -> Client {
        Client::new(self.token.clone(), self.tls.clone())
    }
}

/// A client of one thread. It reuses connections; [`Client::fresh`] returns one that does not.
#[derive(Clone)]
pub struct Client {
    awc: awc::Client,
    token: Option<String>,
    tls: Option<Arc<ClientConfig>>,
}

impl Client {
    /// Creates a client that sends `token` and uses HTTPS if `tls` is given.
    pub fn new(token: Option<String>, tls: Option<Arc<ClientConfig>>) -> Self {
        Self { awc: build(tls.clone(), KEEP_ALIVE), token, tls }
    }

    /// Creates a client with the same token that opens a new connection for each call.
    ///
    /// If a device between the two ends has dropped the state of a connection, that connection
    /// stays silent for ever while new ones work. Only a new connection shows whether the other
    /// side is alive.
    #[must_use]
    pub fn fresh(&self) -> Self {
        let awc = build(self.tls.clone(), Duration::ZERO);
        Self { awc, token: self.token.clone(), tls: self.tls.clone() }
    }

    /// Returns the URL of a path on another process.
    pub fn url(&self, address: &str, path: &str) -> String {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        format!("{scheme}://{address}{path}")
    }

    /// Builds a POST request with this client's token, for callers that read the answer as a
    /// stream.
    pub fn post(&self, url: &str) -> awc::ClientRequest {
        self.with_token(self.awc.post(url))
    }

    /// Builds a GET request with this client's token.
    pub fn get(&self, url: &str) -> awc::ClientRequest {
        self.with_token(self.awc.get(url))
    }

    fn with_token(&self, request: awc::ClientRequest) -> awc::ClientRequest {
        match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    /// Calls another process of the system with MessagePack and reads its complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`], which distinguishes calls that were not sent from those that may have
    /// been received.
    pub async fn call<Q, A>(
        &self,
        address: &str,
        path: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, CallError>
    where
        Q: Serialize + ?Sized,
        A: DeserializeOwned,
    {
        let url = self.url(address, path);
        let body = rmp_serde::to_vec_named(request).expect("requests can be serialized");
        let exchange = self.exchange(&url, body);
        let (status, answer) = run_time::timeout(timeout, exchange)
            .await
            .map_err(|_| CallError::Lost { url: url.clone(), detail: "timeout".to_owned() })??;
        if status >= 400 {
            return Err(read_failure(&url, status, &answer));
        }
        rmp_serde::from_slice(&answer)
            .map_err(|error| CallError::Lost { url, detail: error.to_string() })
    }

    async fn exchange(&self, url: &str, body: Vec<u8>) -> Result<(u16, Bytes), CallError> {
        let request = self.post(url).content_type(MSGPACK);
        let mut response = request.send_body(body).await.map_err(|e| send_error(url, &e))?;
        let status = response.status().as_u16();
        let answer = response.body().limit(MAX_ANSWER_BYTES).await;
        let answer =
            answer.map_err(|e| CallError::Lost { url: url.to_owned(), detail: e.to_string() })?;
        Ok((status, answer))
    }
}

/// Classifies the error of a request by whether the request can have been sent.
///
/// The library reports a connection that closed after the request was sent as a connect error, like
/// those that mean that no connection was established. If it were treated as one of these, a call
/// that ran at an endpoint which then crashed would be reported as "not run", and run twice.
pub fn send_error(url: &str, error: &SendRequestError) -> CallError {
    let (url, detail) = (url.to_owned(), error.to_string());
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            CallError::Lost { url, detail }
        }
        SendRequestError::Url(_) | SendRequestError::Connect(_) => {
            let refused = matches!(error, SendRequestError::Connect(ConnectError::Io(error))
                if error.kind() == ErrorKind::ConnectionRefused);
            CallError::NotSent { url, detail, refused }
        }
        _ => CallError::Lost { url, detail },
    }
}

/// Parses the failure in the body of an answer, in MessagePack or JSON.
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

fn build(tls: Option<Arc<ClientConfig>>, keep_alive: Duration) -> awc::Client {
    let tcp = tcp::Connector::default().service();
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = tcp.call(info);
        async move {
            let connection = run_time::timeout(CONNECT_TIMEOUT, connecting).await;
            let connection = connection.map_err(|_| {
                tcp::ConnectError::Io(std::io::Error::from(std::io::ErrorKind::TimedOut))
            })??;
            // Frames are small. With Nagle's algorithm, a frame is held back until the other side
            // has acknowledged the previous one, which it may delay by 40 ms.
            if let Err(error) = connection.io_ref().set_nodelay(true) {
                tracing::debug!(event = "nodelay_refused", %error);
            }
            Ok(connection)
        }
    });
    let connector = Connector::new().connector(connect);
    let connector = connector.timeout(MAX_CONNECT_TIME).limit(0).conn_keep_alive(keep_alive);
    let connector = match tls {
        Some(tls) => connector.rustls_0_23(tls),
        None => connector,
    };
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}
