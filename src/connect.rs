//! Reaches the system: tries each address in turn, and sends the same change again when its
//! answer was lost.

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
use crate::error::may_come_back;

/// The time of one try: long enough for an election among the control processes.
const TRY: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(200);
const ANSWER_BOUND: usize = 64 << 20;

/// The client's own settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSettings {
    /// Entry or control processes, tried in turn.
    pub addresses: Vec<String>,
    /// The file whose first line is the operator's token.
    pub token: Option<PathBuf>,
    /// The PEM file of roots to trust; HTTPS is spoken if it is given.
    pub roots: Option<PathBuf>,
    /// How long to go on trying, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self { addresses: Vec::new(), token: None, roots: None, timeout_ms: 15_000 }
    }
}

impl ClientSettings {
    /// Puts flags, environment and file together.
    ///
    /// # Errors
    ///
    /// [`CmdError`] if the file cannot be used or no address is known.
    pub fn gather(reach: &Reach) -> Result<Self, CmdError> {
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

/// The way to the system.
pub struct Connection {
    client: Client,
    addresses: Vec<String>,
    timeout: Duration,
}

/// What one try gave.
enum Tried {
    Answer(u16, Vec<u8>),
    NotSent(String),
    Lost(String),
}

impl Connection {
    /// Prepares to reach the system; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// [`CmdError`] if the token or the roots cannot be used.
    pub fn new(reach: &Reach) -> Result<Self, CmdError> {
        let settings = ClientSettings::gather(reach)?;
        let token = settings.token.as_deref().map(read_token).transpose()?;
        let roots = settings.roots.as_deref().map(tls::client).transpose()?;
        let timeout = Duration::from_millis(settings.timeout_ms);
        Ok(Self { client: Client::new(token, roots), addresses: settings.addresses, timeout })
    }

    /// Asks for something that changes nothing.
    ///
    /// # Errors
    ///
    /// [`CmdError`] if no address gave an answer of that shape in time.
    pub async fn get<T: DeserializeOwned>(&self, path: &'static str) -> Result<T, CmdError> {
        let body = self.ask(path, None, None).await?;
        shape(path, &body)
    }

    /// Asks for the configuration that the answering process has in force.
    ///
    /// # Errors
    ///
    /// As [`Connection::get`].
    pub async fn config(&self) -> Result<Config, CmdError> {
        self.get(paths::CONFIG).await
    }

    /// Asks the control processes for the configuration that holds every change accepted before.
    ///
    /// # Errors
    ///
    /// As [`Connection::get`]; above all if no majority of them confirms who leads.
    pub async fn current(&self) -> Result<Config, CmdError> {
        self.get(paths::CURRENT).await
    }

    /// Asks for the members that the answering process knows.
    ///
    /// # Errors
    ///
    /// As [`Connection::get`].
    pub async fn members(&self) -> Result<Members, CmdError> {
        self.get(paths::MEMBERS).await
    }

    /// Submits a command. It is sent again after a lost answer: its change id makes that safe.
    ///
    /// # Errors
    ///
    /// [`CmdError`] if it was refused or no answer came.
    pub async fn command(
        &self,
        command: &Command,
        change: Option<&str>,
    ) -> Result<Reply, CmdError> {
        let body = serde_json::to_vec(command).expect("commands are plain data");
        let answer = self.ask(paths::OPERATE, Some(body), change).await?;
        match shape(paths::OPERATE, &answer)? {
            Reply::Refused(refusal) => Err(CmdError::Refused(Box::new(refusal))),
            Reply::Failed(failure) => Err(CmdError::Failure(failure)),
            reply => Ok(reply),
        }
    }

    /// Orders something of the control processes.
    ///
    /// # Errors
    ///
    /// [`CmdError`] if it was refused or no answer came.
    pub async fn post<Q: Serialize>(
        &self,
        path: &'static str,
        question: &Q,
    ) -> Result<Value, CmdError> {
        let body = serde_json::to_vec(question).expect("orders are plain data");
        let answer = self.ask(path, Some(body), None).await?;
        shape(path, &answer)
    }

    /// Asks how the control process at `address` stands.
    ///
    /// # Errors
    ///
    /// As [`Connection::get`].
    pub async fn control(&self, address: &str) -> Result<Status, CmdError> {
        self.only(address).get(paths::CONTROL_STATUS).await
    }

    /// Reads the dump of the process at `address`.
    ///
    /// # Errors
    ///
    /// As [`Connection::get`].
    pub async fn dump(&self, address: &str) -> Result<Value, CmdError> {
        self.only(address).get(paths::DUMP).await
    }

    /// Asks whether configuration up to `at` is in force everywhere. The process that answers
    /// asks all control processes, so that one answer covers everybody.
    ///
    /// # Errors
    ///
    /// As [`Connection::get`].
    pub async fn in_force(&self, at: Position) -> Result<InForce, CmdError> {
        let body = self.ask(&format!("{}?at={at}", paths::IN_FORCE), None, None).await?;
        shape(paths::IN_FORCE, &body)
    }

    /// The way to one process, which is tried once: the caller has others, or asks again.
    fn only(&self, address: &str) -> Self {
        let addresses = vec![address.to_owned()];
        Self { client: self.client.clone(), addresses, timeout: Duration::ZERO }
    }

    /// Goes through the addresses until one answers, or the time is over.
    async fn ask(
        &self,
        path: &str,
        body: Option<Vec<u8>>,
        change: Option<&str>,
    ) -> Result<Vec<u8>, CmdError> {
        let begun = Instant::now();
        let mut lost = None;
        loop {
            let mut last = CmdError::NoAddress;
            for address in &self.addresses {
                match self.once(address, path, body.clone()).await {
                    Tried::Answer(status, answer) if status < 400 => return Ok(answer),
                    Tried::Answer(status, answer) => match self.refused(path, status, &answer) {
                        Ok(()) => return Ok(answer),
                        Err(CmdError::Failure(failure)) if may_come_back(&failure) => {
                            last = CmdError::Failure(failure);
                        }
                        Err(CmdError::Failure(failure)) if is_unknown(&failure) => {
                            lost = Some(failure.to_string());
                        }
                        // A refusal of the resend says nothing of the try whose answer was lost.
                        Err(CmdError::Failure(failure)) if lost.is_some() => {
                            lost = Some(failure.to_string());
                        }
                        Err(error) => return Err(error),
                    },
                    Tried::NotSent(detail) => last = CmdError::Unreachable(detail),
                    Tried::Lost(detail) => lost = Some(detail),
                }
            }
            if begun.elapsed() >= self.timeout {
                let change = change.map(str::to_owned);
                return Err(lost.map_or(last, |detail| CmdError::Lost { detail, change }));
            }
            actix_rt::time::sleep(PAUSE).await;
        }
    }

    async fn once(&self, address: &str, path: &str, body: Option<Vec<u8>>) -> Tried {
        let url = self.client.url(address, path);
        let request = match &body {
            Some(_) => self.client.post(&url).content_type(JSON),
            None => self.client.get(&url),
        };
        let request = request.timeout(TRY);
        let sent = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => {
                return match send_error(&url, &error) {
                    error @ CallError::NotSent { .. } => Tried::NotSent(error.to_string()),
                    error => Tried::Lost(error.to_string()),
                };
            }
        };
        let status = response.status().as_u16();
        match actix_rt::time::timeout(TRY, response.body().limit(ANSWER_BOUND)).await {
            Ok(Ok(answer)) => Tried::Answer(status, answer.to_vec()),
            Ok(Err(error)) => Tried::Lost(format!("{url}: {error}")),
            Err(_) => Tried::Lost(format!("{url}: timeout")),
        }
    }

    /// Reads an answer with an error status: a reply of its own shape passes, since a refused
    /// command is answered in full; anything else is a failure.
    fn refused(&self, path: &str, status: u16, answer: &[u8]) -> Result<(), CmdError> {
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

fn shape<T: DeserializeOwned>(path: &'static str, body: &[u8]) -> Result<T, CmdError> {
    serde_json::from_slice(body).map_err(|e| CmdError::Shape { path, detail: e.to_string() })
}
