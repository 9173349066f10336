//! Serves endpoints, operators and trainers that name versions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::hearing::Hearing;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use chicoryford_platform::config;
use chicoryford_platform::control;
use chicoryford_platform::control::Call as Asked;

use crate::clock;
use crate::link::CallError;
use crate::link::Link;
use crate::message::Answer;
use crate::message::Call;
use crate::metrics;
use crate::view::View;

/// How long an announcement may take; its sender asks another process after a second.
const ANNOUNCE: Duration = Duration::from_millis(700);
/// How long an operator's call is tried; an operator asks another process after a second.
const OPERATE: Duration = Duration::from_millis(850);

/// Milliseconds of the leader's silence for which announcements that change nothing are answered. An
/// endpoint that is heard here is heard by nobody else, and is taken for silent six seconds after the
/// leader last heard of it; it needs up to two to turn to another process.
const UNLED_MS: u64 = 3_000;
/// How often the leader is told who was heard. An endpoint is taken for silent after six seconds, so
/// one word may be lost with its connection; endpoints announce themselves about as often.
const SIGNS: Duration = Duration::from_secs(1);

/// Serves control calls: announcements that change nothing by itself, all else through the leader.
pub struct Control {
    /// The way to the leader, which may be this process.
    pub link: Rc<Link>,
    /// What the leader told.
    pub view: Rc<View>,
    /// Where this process takes announcements. Endpoints that it has answered go on with it, so they
    /// spread over the control processes as they first came, and keep their connections.
    pub own: SocketAddr,
    /// What was heard and not told the leader yet.
    pub hearing: RefCell<Hearing>,
}

impl Control {
    /// Answers a request.
    pub async fn answer(self: Rc<Self>, request: Request) -> Reply {
        let asked = match control::read(&request) {
            Ok(asked) => asked,
            Err(error) => {
                let path = request.path();
                tracing::info!(event = "control_unreadable", path, %error);
                return control::refused(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        self.handle(asked).await
    }

    /// Answers a call that was read.
    pub async fn handle(&self, asked: Asked) -> Reply {
        match asked {
            Asked::Announce(said) if self.record_unchanged(&said) => {
                metrics::ANNOUNCEMENTS.with_label_values(&["here"]).inc();
                self.heard()
            }
            Asked::Announce(said) => {
                metrics::ANNOUNCEMENTS.with_label_values(&["leader"]).inc();
                self.announce(Call::Announce(said)).await
            }
            Asked::Leave(id) => self.announce(Call::Leave(id)).await,
            Asked::Configure(source) => match config::read(&source) {
                Ok(config) => self.configure(config).await,
                Err(fault) => refuse_config(None, &fault),
            },
            Asked::ReadConfig => self.operate(Call::ReadConfig).await,
            Asked::Publish { model, version } => {
                self.operate(Call::Publish { model, version }).await
            }
            Asked::Retire(node) => self.operate(Call::Retire(node)).await,
            Asked::Retired(node) => self.operate(Call::Retired(node)).await,
        }
    }

    /// Tells whether an announcement changes nothing, and notes that its endpoint was heard.
    ///
    /// While a leader is elected this goes on by what the leader before told. Were they all refused,
    /// each of thousands of endpoints would turn to one process after the other, each time on a new
    /// connection, and that load would hold up the election and whatever ends it: a fleet that has
    /// fallen into this state stays in it (docs/SCALE.md). What is acknowledged so is only that an
    /// endpoint lives; one that leaves or changes anything is the leader's in any case. The next leader
    /// is told who was heard, and when.
    fn record_unchanged(&self, said: &Announcement) -> bool {
        let known = self.view.endpoint(&said.id);
        let led = self.link.is_connected() || self.link.silent_ms() < UNLED_MS;
        led && self.hearing.borrow_mut().hear(known.as_deref(), said, clock::now())
    }

    fn heard(&self) -> Reply {
        control::heard(Some(&self.own.to_string()))
    }

    /// Tells the leader who was heard, for as long as the process lives. What does not leave for want
    /// of a leader is told the next one, with its age.
    pub async fn report_periodically(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SIGNS).await;
            let signs = self.hearing.borrow().signs(clock::now());
            if !signs.is_empty() && self.link.report_signs(signs) {
                self.hearing.borrow_mut().clear();
            }
        }
    }

    async fn announce(&self, call: Call) -> Reply {
        match self.link.call(call, ANNOUNCE).await {
            Ok(Answer::Heard) => self.heard(),
            Ok(Answer::Done) => control::done(),
            Ok(Answer::Unknown) => control::refused(StatusCode::BAD_REQUEST, "unknown service"),
            Ok(_) | Err(_) => control::refused(StatusCode::SERVICE_UNAVAILABLE, "no leader"),
        }
    }

    async fn configure(&self, config: chicoryford_fleet::Config) -> Reply {
        if let Err(fault) = config.check() {
            return refuse_config(Some(config.version), &fault);
        }
        let (version, routes) = (config.version, config.routes.len());
        let reply = self.operate(Call::Configure(Arc::new(config))).await;
        tracing::info!(event = "config_submitted", version, routes, status = reply.status.as_u16());
        reply
    }

    async fn operate(&self, call: Call) -> Reply {
        let answer = self.link.call_until_answered(call, OPERATE).await;
        match answer {
            Ok(Answer::Done) => control::done(),
            Ok(Answer::Config(Some(config))) => control::config(config.source.clone()),
            Ok(Answer::Retired(completed)) => control::retired(completed),
            Ok(Answer::Unknown) => control::refused(StatusCode::NOT_FOUND, "unknown VM"),
            Ok(Answer::TooFew) => {
                control::refused(StatusCode::CONFLICT, "too few store VMs would be left")
            }
            Ok(_) => control::refused(StatusCode::SERVICE_UNAVAILABLE, "not now"),
            Err(CallError::NoLeader) => {
                control::refused(StatusCode::SERVICE_UNAVAILABLE, "no leader is known")
            }
            Err(error) => {
                tracing::info!(event = "control_unclear", %error);
                control::refused(StatusCode::GATEWAY_TIMEOUT, "it is not known whether it was done")
            }
        }
    }
}

fn refuse_config(version: Option<u64>, fault: &chicoryford_fleet::Fault) -> Reply {
    tracing::info!(event = "config_refused", version, %fault);
    control::refused(StatusCode::BAD_REQUEST, &fault.to_string())
}
