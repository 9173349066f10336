//! The connection to the system. It tries each address in turn, and resends a change whose answer
//! was lost.

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use chicoryford_config::in_force::InForce;
use chicoryford_control::Status;
use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Config;
use chicoryford_types::Failure;
use chicoryford_types::Members;
use chicoryford_types::Outcome;
use chicoryford_types::Position;
use chicoryford_wire::CallError;
use chicoryford_wire::Client;
use chicoryford_wire::client::read_failure;
use chicoryford_wire::client::send_error;
use chicoryford_wire::keys::read_token;
use chicoryford_wire::paths;
use chicoryford_wire::reply::JSON;
use chicoryford_wire::tls;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::cli::Reach;
use crate::error::CmdError;
use crate::error::is_transient;

/// The timeout of one request: long enough for an election among the control processes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Where control processes of a fleet return the configuration in force.
const FLEET_CONFIG: &str = "/configuration";

/// The client's own settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// The addresses of entry or control processes, which are tried in turn.
    pub addresses: Vec<String>,
    /// The file whose first line is the operator's token.
    pub token: Option<PathBuf>,
    /// The PEM file of trusted root certificates; if present, HTTPS is used.
    pub roots: Option<PathBuf>,
    /// How long to retry, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self { addresses: Vec::new(), token: None, roots: None, timeout_ms: 15_000 }
    }
}

impl ClientSettings {
    /// Combines the flags, the environment and the settings file.
    ///
    /// # Errors
    ///
    /// Returns [`CmdError`] if the file is invalid or no address is given.
    pub fn resolve(reach: &Reach) -> Result<Self, CmdError> {
        let mut settings = match &reach.client {
            Some(file) => Self::read(file)?,
            None => Self::default(),
        };
        if !reach.address.is_empty() {
            settings.addresses.clone_from(&reach.address);
        }
        settings.token = reach.token.clone().or(settings.token);
        settings.roots = reach.roots.clone().or(settings.roots);
        settings.timeout_ms = reach.timeout.map_or(settings.timeout_ms, |s| s * 1_000);
        if settings.addresses.is_empty() {
            return Err(CmdError::NoAddress);
        }
        Ok(settings)
    }

    fn read(file: &PathBuf) -> Result<Self, CmdError> {
        let text =
            std::fs::read_to_string(file).map_err(|e| CmdError::ReadClient(file.clone(), e))?;
        let read: Result<Self, _> = serde_yaml_ng::from_str(&text);
        let mut settings =
            read.map_err(|source| CmdError::Client { file: file.clone(), source })?;
        let folder = file.parent().map(PathBuf::from).unwrap_or_default();
        settings.token = settings.token.map(|path| folder.join(path));
        settings.roots = settings.roots.map(|path| folder.join(path));
        Ok(settings)
    }
}

/// A connection to the system.
pub struct Connection {
    client: Client,
    addresses: Vec<String>,
    timeout: Duration,
}

/// The result of one request.
enum RequestResult {
    Answer(u16, Vec<u8>),
    NotSent(String),
    Lost(String),
}

impl Connection {
    /// Prepares a connection to the system. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Returns [`CmdError`] if the token or the root certificates are invalid.
    pub fn new(reach: &Reach) -> Result<Self, CmdError> {
        let settings = ClientSettings::resolve(reach)?;
        let token = settings.token.as_deref().map(read_token).transpose()?;
        let roots = settings.roots.as_deref().map(tls::client).transpose()?;
        let timeout = Duration::from_millis(settings.timeout_ms);
        Ok(Self { client: Client::new(token, roots), addresses: settings.addresses, timeout })
    }

    /// Prepares a connection to the process at `address` instead of the configured ones.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::new`].
    pub fn to_address(reach: &Reach, address: &str) -> Result<Self, CmdError> {
        Self::new(&Reach { address: vec![address.to_owned()], ..reach.clone() })
    }

    /// Reads the configuration in force of a fleet, as it was submitted. Control processes answer
    /// in the format of the users' platform, in which 503 means that no leader can answer now or
    /// that there is no configuration yet.
    ///
    /// # Errors
    ///
    /// Returns [`CmdError`] if no address gave a configuration in time.
    pub async fn fleet_config(&self) -> Result<Vec<u8>, CmdError> {
        let started = Instant::now();
        loop {
            let mut last = CmdError::NoAddress;
            for address in &self.addresses {
                let url = self.client.url(address, FLEET_CONFIG);
                last = match self.send_once(address, FLEET_CONFIG, None).await {
                    RequestResult::Answer(200, answer) => return Ok(answer),
                    RequestResult::Answer(503 | 504, _) => {
                        CmdError::NotNow(format!("{url}: no leader, or no configuration yet"))
                    }
                    RequestResult::Answer(status, _) => {
                        let detail = format!("HTTP status {status}");
                        return Err(CmdError::Shape { path: FLEET_CONFIG, detail });
                    }
                    RequestResult::NotSent(detail) => CmdError::Unreachable(detail),
                    RequestResult::Lost(detail) => CmdError::NotNow(detail),
                };
            }
            if started.elapsed() >= self.timeout {
                return Err(last);
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends a read-only request.
    ///
    /// # Errors
    ///
    /// Returns [`CmdError`] if no address gave an answer of the expected format in time.
    pub async fn get<T: DeserializeOwned>(&self, path: &'static str) -> Result<T, CmdError> {
        let body = self.request(path, None, None).await?;
        parse(path, &body)
    }

    /// Reads the configuration that the answering process has in force.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::get`].
    pub async fn config(&self) -> Result<Config, CmdError> {
        self.get(paths::CONFIG).await
    }

    /// Reads from the control processes the configuration with every change accepted so far.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::get`], in particular if no majority of the control
    /// processes confirms the leader.
    pub async fn current(&self) -> Result<Config, CmdError> {
        self.get(paths::CURRENT).await
    }

    /// Reads the members that the answering process has a record of.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::get`].
    pub async fn members(&self) -> Result<Members, CmdError> {
        self.get(paths::MEMBERS).await
    }

    /// Submits a command. It is resent if the answer was lost, which the change id makes safe.
    ///
    /// # Errors
    ///
    /// Returns [`CmdError`] if it was refused or no answer was received.
    pub async fn command(
        &self,
        command: &Command,
        change: Option<&str>,
    ) -> Result<Reply, CmdError> {
        let body = serde_json::to_vec(command).expect("commands can be serialized");
        let answer = self.request(paths::OPERATE, Some(body), change).await?;
        match parse(paths::OPERATE, &answer)? {
            Reply::Refused(refusal) => Err(CmdError::Refused(Box::new(refusal))),
            Reply::Failed(failure) => Err(CmdError::Failure(failure)),
            reply => Ok(reply),
        }
    }

    /// Sends an action to the control processes.
    ///
    /// # Errors
    ///
    /// Returns [`CmdError`] if it was refused or no answer was received.
    pub async fn post<Q: Serialize>(
        &self,
        path: &'static str,
        action: &Q,
    ) -> Result<Value, CmdError> {
        let body = serde_json::to_vec(action).expect("actions can be serialized");
        let answer = self.request(path, Some(body), None).await?;
        parse(path, &answer)
    }

    /// Reads the status of the control process at `address`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::get`].
    pub async fn control(&self, address: &str) -> Result<Status, CmdError> {
        self.to_one(address).get(paths::CONTROL_STATUS).await
    }

    /// Reads the state dump of the process at `address`.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::get`].
    pub async fn dump(&self, address: &str) -> Result<Value, CmdError> {
        self.to_one(address).get(paths::DUMP).await
    }

    /// Queries whether the configuration up to `at` is in force everywhere. The answering process
    /// queries all control processes, so that one answer covers all processes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Connection::get`].
    pub async fn in_force(&self, at: Position) -> Result<InForce, CmdError> {
        let body = self.request(&format!("{}?at={at}", paths::IN_FORCE), None, None).await?;
        parse(paths::IN_FORCE, &body)
    }

    /// Returns a connection to a single process, without retries: the callers have other processes
    /// to query, or retry themselves.
    fn to_one(&self, address: &str) -> Self {
        let addresses = vec![address.to_owned()];
        Self { client: self.client.clone(), addresses, timeout: Duration::ZERO }
    }

    /// Tries the addresses in turn until one answers or the timeout expires.
    async fn request(
        &self,
        path: &str,
        body: Option<Vec<u8>>,
        change: Option<&str>,
    ) -> Result<Vec<u8>, CmdError> {
        let started = Instant::now();
        let mut lost = None;
        loop {
            let mut last = CmdError::NoAddress;
            for address in &self.addresses {
                match self.send_once(address, path, body.clone()).await {
                    RequestResult::Answer(status, answer) if status < 400 => return Ok(answer),
                    RequestResult::Answer(status, answer) => {
                        match self.check_error_answer(path, status, &answer) {
                            Ok(()) => return Ok(answer),
                            Err(CmdError::Failure(failure)) if is_transient(&failure) => {
                                last = CmdError::Failure(failure);
                            }
                            Err(CmdError::Failure(failure)) if is_unknown(&failure) => {
                                lost = Some(failure.to_string());
                            }
                            // A refusal of the resend says nothing about the request whose answer was
                            // lost.
                            Err(CmdError::Failure(failure)) if lost.is_some() => {
                                lost = Some(failure.to_string());
                            }
                            Err(error) => return Err(error),
                        }
                    }
                    RequestResult::NotSent(detail) => last = CmdError::Unreachable(detail),
                    RequestResult::Lost(detail) => lost = Some(detail),
                }
            }
            if started.elapsed() >= self.timeout {
                let change = change.map(str::to_owned);
                return Err(lost.map_or(last, |detail| CmdError::Lost { detail, change }));
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn send_once(&self, address: &str, path: &str, body: Option<Vec<u8>>) -> RequestResult {
        let url = self.client.url(address, path);
        let request = match &body {
            Some(_) => self.client.post(&url).content_type(JSON),
            None => self.client.get(&url),
        };
        let request = request.timeout(REQUEST_TIMEOUT);
        let sent = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => {
                return match send_error(&url, &error) {
                    error @ CallError::NotSent { .. } => RequestResult::NotSent(error.to_string()),
                    error => RequestResult::Lost(error.to_string()),
                };
            }
        };
        let status = response.status().as_u16();
        match actix_rt::time::timeout(REQUEST_TIMEOUT, response.body().limit(MAX_ANSWER_BYTES))
            .await
        {
            Ok(Ok(answer)) => RequestResult::Answer(status, answer.to_vec()),
            Ok(Err(error)) => RequestResult::Lost(format!("{url}: {error}")),
            Err(_) => RequestResult::Lost(format!("{url}: timeout")),
        }
    }

    /// Checks an answer with an error status. A refused command is answered with a complete
    /// [`Reply`], which is accepted here; any other answer is returned as an error.
    fn check_error_answer(&self, path: &str, status: u16, answer: &[u8]) -> Result<(), CmdError> {
        if path == paths::OPERATE && serde_json::from_slice::<Reply>(answer).is_ok() {
            return Ok(());
        }
        Err(match read_failure(path, status, answer) {
            CallError::Failure(failure) => CmdError::Failure(failure),
            error => CmdError::Lost { detail: error.to_string(), change: None },
        })
    }
}

fn is_unknown(failure: &Failure) -> bool {
    failure.outcome == Outcome::Unknown
}

fn parse<T: DeserializeOwned>(path: &'static str, body: &[u8]) -> Result<T, CmdError> {
    serde_json::from_slice(body).map_err(|e| CmdError::Shape { path, detail: e.to_string() })
}
