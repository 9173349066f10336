//! Applies overload protection to an entry: measures what it holds, and refuses requests before
//! their bodies are read. [`chicoryford_fleet::overload`] makes the decisions.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::overload::Cause;
use chicoryford_fleet::overload::Decision;
use chicoryford_fleet::overload::Level;
use chicoryford_fleet::overload::Limits;
use chicoryford_fleet::overload::Overload;
use chicoryford_fleet::overload::RETRY_AFTER_MS;
use chicoryford_fleet::overload::UnreadReply;
use chicoryford_fleet::overload::Usage;
use chicoryford_http::Admission;
use chicoryford_http::Load;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::message::StatusCode;
use chicoryford_ingress::Ingress;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_platform as platform;
use chicoryford_platform::request;

use crate::clock;
use crate::link::Link;
use crate::metrics;
use crate::view::View;

/// Interval of evaluations, in addition to those when requests begin.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);

/// The overload protection of an entry.
pub struct OverloadProtection {
    overload: RefCell<Overload>,
    decision: Cell<Decision>,
    /// The version of a configuration, and the shortest target time of its routes.
    target: Cell<(Option<u64>, Option<u64>)>,
    load: Rc<Load>,
    ingress: Arc<Ingress>,
    timer: RunTimer,
    view: Rc<View>,
    link: Rc<Link>,
}

impl OverloadProtection {
    /// Protects a server, of which no connection has been accepted yet.
    pub fn start(limits: Limits, server: &Server, view: Rc<View>, link: Rc<Link>) -> Rc<Self> {
        let protection = Rc::new(Self {
            overload: RefCell::new(Overload::new(limits)),
            decision: Cell::default(),
            target: Cell::default(),
            load: server.load(),
            ingress: server.ingress(),
            timer: RunTimer::start(),
            view,
            link,
        });
        server.set_admission(protection.clone());
        actix_rt::spawn(protection.clone().evaluate_periodically());
        protection
    }

    /// Returns whether new connections should go to other entries.
    pub fn diverts(&self) -> bool {
        self.decision.get().level >= Level::Divert
    }

    async fn evaluate_periodically(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(EVALUATION_INTERVAL).await;
            let usage = self.evaluate();
            metrics::ENTRY_HELD_BYTES.set(usage.held_bytes as i64);
            metrics::ENTRY_CONNECTIONS.set(usage.connections as i64);
            metrics::ENTRY_LAG.set(usage.lag_ms as i64);
            self.cut_stalled_replies();
        }
    }

    fn evaluate(&self) -> Usage {
        let usage = Usage {
            held_bytes: self.load.held_bytes(),
            connections: self.ingress.used_connections() as u64,
            lag_ms: self.timer.lag_ms(),
        };
        let target_ms = self.target_ms();
        let decision = self.overload.borrow_mut().update(usage, target_ms, clock::now());
        let before = self.decision.replace(decision);
        if decision.level != before.level {
            let cause = decision.cause.or(before.cause).map_or("", Cause::as_str);
            tracing::warn!(
                event = "overload",
                level = decision.level.as_str(),
                cause,
                held_bytes = usage.held_bytes,
                connections = usage.connections,
                lag_ms = usage.lag_ms
            );
        }
        metrics::ENTRY_OVERLOAD_LEVEL.set(decision.level as i64);
        usage
    }

    /// Returns the shortest target time of the routes. A configuration may have many routes, so they
    /// are examined once for each version.
    fn target_ms(&self) -> Option<u64> {
        let config = self.view.config()?;
        let (version, target_ms) = self.target.get();
        if version == Some(config.version) {
            return target_ms;
        }
        let targets = config.routes.iter().map(|route| route.target_ms);
        // A route without a target has zero.
        let target_ms = targets.filter(|target_ms| *target_ms > 0).min();
        self.target.set((Some(config.version), target_ms));
        target_ms
    }

    fn cut_stalled_replies(&self) {
        if self.decision.get().level < Level::Refuse {
            return;
        }
        let unread: Vec<UnreadReply> = self
            .load
            .unread_replies()
            .into_iter()
            .map(|reply| UnreadReply {
                id: reply.id,
                bytes: reply.bytes,
                stalled_ms: reply.stalled_ms,
            })
            .collect();
        let cut = self.overload.borrow().replies_to_cut(self.load.held_bytes(), &unread);
        for reply in cut {
            tracing::warn!(
                event = "slow_reader_cut",
                bytes = reply.bytes,
                stalled_ms = reply.stalled_ms
            );
            self.load.cut_reply(reply.id);
        }
    }

    fn refuse(&self, request: &Request, cause: Cause) -> Reply {
        metrics::OVERLOAD_REFUSALS.with_label_values(&[cause.as_str()]).inc();
        let (id, why) = (request::attempt_id(request).unwrap_or_default(), cause.refusal_reason());
        let (after_ms, silent_ms) = (RETRY_AFTER_MS, self.link.silent_ms());
        tracing::info!(event = "request_refused", request = id, why, after_ms, silent_ms);
        platform::refusal(StatusCode::SERVICE_UNAVAILABLE, why, after_ms)
    }
}

impl Admission for OverloadProtection {
    fn refusal(&self, request: &Request) -> Option<Reply> {
        self.evaluate();
        let decision = self.decision.get();
        let cause = decision.cause.filter(|_| decision.level == Level::Refuse)?;
        // Memory is decided for each request when it is reserved, so that small requests are served
        // while large ones fill their part of it.
        (cause != Cause::Memory).then(|| self.refuse(request, cause))
    }

    fn out_of_memory(&self, request: &Request) -> Reply {
        self.refuse(request, Cause::Memory)
    }

    fn closes_connections(&self) -> bool {
        self.diverts()
    }
}
