//! Serves announcements of endpoints, calls of operators, and trainers that publish versions.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::heartbeats::HeartbeatBuffer;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use chicoryford_platform::config;
use chicoryford_platform::control;
use chicoryford_platform::control::Call as ControlCall;

use crate::clock;
use crate::link::CallError;
use crate::link::Link;
use crate::message::Answer;
use crate::message::Call;
use crate::metrics;
use crate::view::View;

/// Timeout of an announcement. Its sender tries another process after a second.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of an operator's call. An operator tries another process after a second.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(850);

/// Milliseconds of the leader's silence during which announcements that change nothing are still
/// acknowledged. An endpoint that announces itself here does so nowhere else, and is considered
/// silent six seconds after the leader last received its heartbeat; it needs up to two seconds to
/// switch to another process.
const MAX_LEADER_SILENCE_MS: u64 = 3_000;
/// Interval of reports to the leader about received announcements. An endpoint is considered silent
/// after six seconds, so one report may be lost with its connection; endpoints announce themselves
/// about as often.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Serves control calls. Handles announcements that change nothing by itself, and passes everything
/// else to the leader.
pub struct Control {
    /// The connection to the leader, which may be this process.
    pub link: Rc<Link>,
    /// The state that the leader has sent to this process.
    pub view: Rc<View>,
    /// Where this process receives announcements. Endpoints keep using the process that has
    /// answered them, so they stay distributed over the control processes and keep their
    /// connections.
    pub own: SocketAddr,
    /// Received announcements that were not reported to the leader yet.
    pub heartbeats: RefCell<HeartbeatBuffer>,
}

impl Control {
    /// Handles a request.
    pub async fn answer(self: Rc<Self>, request: Request) -> Reply {
        let call = match control::parse_call(&request) {
            Ok(call) => call,
            Err(error) => {
                let path = request.path();
                tracing::info!(event = "control_unreadable", path, %error);
                return control::error_reply(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        self.handle(call).await
    }

    /// Handles a decoded call.
    pub async fn handle(&self, call: ControlCall) -> Reply {
        match call {
            ControlCall::Announce(announcement) if self.record_unchanged(&announcement) => {
                metrics::ANNOUNCEMENTS.with_label_values(&["here"]).inc();
                self.acknowledge()
            }
            ControlCall::Announce(announcement) => {
                metrics::ANNOUNCEMENTS.with_label_values(&["leader"]).inc();
                self.announce(Call::Announce(announcement)).await
            }
            ControlCall::Leave(id) => self.announce(Call::Leave(id)).await,
            ControlCall::Configure(source) => match config::parse(&source) {
                Ok(config) => self.configure(config).await,
                Err(fault) => refuse_config(None, &fault),
            },
            ControlCall::ReadConfig => self.call_leader(Call::ReadConfig).await,
            ControlCall::Publish { model, version } => {
                self.call_leader(Call::Publish { model, version }).await
            }
            ControlCall::Retire(node) => self.call_leader(Call::Retire(node)).await,
            ControlCall::RetirementStatus(node) => self.call_leader(Call::Retired(node)).await,
        }
    }

    /// Records an announcement that changes nothing. Returns whether it was recorded.
    ///
    /// During an election this continues with the state received from the previous leader. If all
    /// announcements were refused then, each of thousands of endpoints would try one process after
    /// the other, each time on a new connection, and this load would delay the election and thus
    /// the recovery: a fleet in this state does not recover by itself (docs/SCALE.md). Such an
    /// acknowledgement only means that the endpoint is alive; an announcement that it leaves or
    /// changes always goes to the leader. The next leader receives the recorded announcements with
    /// their times.
    fn record_unchanged(&self, announcement: &Announcement) -> bool {
        let known = self.view.endpoint(&announcement.id);
        let has_recent_leader =
            self.link.is_connected() || self.link.silent_ms() < MAX_LEADER_SILENCE_MS;
        has_recent_leader
            && self.heartbeats.borrow_mut().record(known.as_deref(), announcement, clock::now())
    }

    fn acknowledge(&self) -> Reply {
        control::announcement_reply(Some(&self.own.to_string()))
    }

    /// Reports received announcements to the leader for as long as the process runs. What cannot be
    /// sent because no leader is connected is sent to the next one, with its age.
    pub async fn report_periodically(self: Rc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            // An empty report shows that this process would report heartbeats.
            let pending = self.heartbeats.borrow().pending(clock::now());
            if self.link.report_heartbeats(pending) {
                self.heartbeats.borrow_mut().clear();
            }
        }
    }

    async fn announce(&self, call: Call) -> Reply {
        match self.link.call(call, ANNOUNCE_TIMEOUT).await {
            Ok(Answer::Heard) => self.acknowledge(),
            Ok(Answer::Done) => control::done_reply(),
            Ok(Answer::Unknown) => control::error_reply(StatusCode::BAD_REQUEST, "unknown service"),
            Ok(_) | Err(_) => control::error_reply(StatusCode::SERVICE_UNAVAILABLE, "no leader"),
        }
    }

    async fn configure(&self, config: chicoryford_fleet::Config) -> Reply {
        if let Err(fault) = config.check() {
            return refuse_config(Some(config.version), &fault);
        }
        let (version, routes) = (config.version, config.routes.len());
        let reply = self.call_leader(Call::Configure(Arc::new(config))).await;
        tracing::info!(event = "config_submitted", version, routes, status = reply.status.as_u16());
        reply
    }

    async fn call_leader(&self, call: Call) -> Reply {
        let answer = self.link.call_until_answered(call, OPERATOR_TIMEOUT).await;
        match answer {
            Ok(Answer::Done) => control::done_reply(),
            Ok(Answer::Config(Some(config))) => control::config_reply(config.source.clone()),
            Ok(Answer::Retired(completed)) => control::retirement_reply(completed),
            Ok(Answer::Unknown) => control::error_reply(StatusCode::NOT_FOUND, "unknown VM"),
            Ok(Answer::Shortage(shortage)) => control::shortage_reply(&shortage),
            Ok(Answer::TooFew) => {
                control::error_reply(StatusCode::CONFLICT, "too few store VMs would be left")
            }
            Ok(_) => control::error_reply(StatusCode::SERVICE_UNAVAILABLE, "not now"),
            Err(CallError::NoLeader) => {
                control::error_reply(StatusCode::SERVICE_UNAVAILABLE, "no leader is known")
            }
            Err(error) => {
                tracing::info!(event = "control_unclear", %error);
                control::error_reply(
                    StatusCode::GATEWAY_TIMEOUT,
                    "it is not known whether it was done",
                )
            }
        }
    }
}

fn refuse_config(version: Option<u64>, fault: &chicoryford_fleet::ConfigError) -> Reply {
    tracing::info!(event = "config_refused", version, %fault);
    control::error_reply(StatusCode::BAD_REQUEST, &fault.to_string())
}
