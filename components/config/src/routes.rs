//! The HTTP routes for configuration.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::registry::MissingService;
use chicoryford_membership::Handle as Membership;
use chicoryford_settings::Settings;
use chicoryford_types::Code;
use chicoryford_types::Delta;
use chicoryford_types::Epoch;
use chicoryford_types::Failure;
use chicoryford_types::Position;
use chicoryford_types::Revision;
use chicoryford_wire::Call;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::Kind;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::client::CALLER;
use chicoryford_wire::paths;
use chicoryford_wire::reply;
use futures_util::future::join_all;

use crate::children::FollowOutcome;
use crate::follower::LONG_POLL_MS;
use crate::in_force::evaluate;
use crate::message::FollowReply;
use crate::message::FollowRequest;
use crate::message::Report;
use crate::shared::SHARED_STATE;
use crate::shared::SharedState;

/// The retry delay given to a follower for which a parent has no room, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 10_000;
/// The timeout for requesting the reports of the other control processes.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Adds the routes for followers and operators. [`crate::start`] must run before.
///
/// # Errors
///
/// [`MissingService`] if it has not run.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    let _ = settings;
    let handlers = Rc::new(ConfigRoutes {
        kernel: kernel.clone(),
        shared: Arc::clone(kernel.registry.find::<Arc<SharedState>>(SHARED_STATE)?.as_ref()),
        members: kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?,
        client: kernel.registry.find::<Caller>(CALLER)?.client(),
    });
    let route_handlers = handlers.clone();
    routes.add(paths::FOLLOW, &[Kind::Process], move |call| {
        let handlers = route_handlers.clone();
        async move { handlers.follow(&call).await.unwrap_or_else(|f| reply::peer_failure(&f)) }
    });
    let route_handlers = handlers.clone();
    routes.add(paths::SUBTREE, &[Kind::Process], move |_| {
        let handlers = route_handlers.clone();
        async move { reply::msgpack(&handlers.reports()) }
    });
    let route_handlers = handlers.clone();
    routes.add(paths::CONFIG, &[Kind::Operator, Kind::Process], move |_| {
        let handlers = route_handlers.clone();
        async move { reply::json(200, handlers.shared.store().config().as_ref()) }
    });
    routes.add(paths::IN_FORCE, &[Kind::Operator, Kind::Process], move |call| {
        let handlers = handlers.clone();
        async move { handlers.in_force(&call).await.unwrap_or_else(|f| reply::failure(&f)) }
    });
    Ok(())
}

/// The state of the route handlers.
struct ConfigRoutes {
    kernel: Kernel,
    shared: Arc<SharedState>,
    members: Arc<Membership>,
    client: Client,
}

impl ConfigRoutes {
    async fn follow(&self, call: &Call) -> Result<Reply, Failure> {
        let request = call.msgpack::<FollowRequest>()?;
        if self.shared.record_follower(&request, self.kernel.now()) == FollowOutcome::Full {
            let failure =
                Failure::not_run(Code::Overloaded, "this parent has no room for another follower");
            return Err(failure.retry_after(FULL_RETRY_AFTER_MS));
        }
        if let Some(repair) = self.check_digest(&request) {
            return Ok(reply::msgpack(&repair));
        }
        self.wait_for_change(&request).await;
        let store = self.shared.store();
        let delta = (store.at() > request.at).then(|| store.delta_since(request.at));
        Ok(reply::msgpack(&FollowReply { at: store.at(), delta, repair: false }))
    }

    /// Compares the whole configuration with a follower's at the same position. If they differ, a
    /// change was lost or damaged in transit, which no later change would correct, so the reply
    /// replaces the follower's copy by the parent's.
    fn check_digest(&self, request: &FollowRequest) -> Option<FollowReply> {
        let digest = request.digest?;
        let mut store = self.shared.store();
        let (at, own) = (store.at(), store.digest());
        if at != request.at || own == digest {
            return None;
        }
        tracing::error!(event = "config_differs", %at, child = %request.node);
        let delta = Some(Delta::Snapshot(Box::new((*store.config()).clone())));
        Some(FollowReply { at, delta, repair: true })
    }

    /// Waits until the position differs from the follower's. A follower that is ahead is answered
    /// at once, so that it can choose another parent.
    async fn wait_for_change(&self, request: &FollowRequest) {
        let mut changes = self.shared.watch();
        let wait = Duration::from_millis(request.wait_ms.min(LONG_POLL_MS));
        tokio::select! {
            _ = changes.wait_for(|config| config.at != request.at) => {}
            () = actix_rt::time::sleep(wait) => {}
            () = self.kernel.phases.reached(Phase::Stopping) => {}
        }
    }

    /// Returns the reports of this process and of the processes below it.
    fn reports(&self) -> Vec<Report> {
        let own = self.members.own();
        let at = self.shared.store().at();
        let mut reports = self.shared.children().subtree(self.kernel.now()).reports;
        reports.push(Report { node: own.node, incarnation: own.incarnation, at });
        reports
    }

    /// Evaluates the reports of all control processes, which together cover all other processes.
    async fn in_force(&self, call: &Call) -> Result<Reply, Failure> {
        let requested = parse_position(&call.query)?;
        let (view, own) = (self.members.view(), self.members.own());
        let controls = view.present().filter(|m| m.roles.control && m.node != own.node);
        let requests = controls.map(|control| self.fetch_reports(&control.address));
        let mut reports: Vec<_> = join_all(requests).await.into_iter().flatten().collect();
        reports.extend(self.reports());
        let newest = reports.iter().map(|report| report.at).max().unwrap_or_default();
        Ok(reply::json(200, &evaluate(requested.unwrap_or(newest), &view, &reports)))
    }

    /// Requests the reports of one control process. If it does not answer, its followers count as
    /// lagging.
    async fn fetch_reports(&self, address: &str) -> Vec<Report> {
        let request =
            self.client.call::<(), Vec<Report>>(address, paths::SUBTREE, &(), REPORTS_TIMEOUT);
        request.await.unwrap_or_default()
    }
}

/// Parses the position in a query `at=<epoch>.<revision>`. Returns `None` if the query has none,
/// which requests the newest position.
fn parse_position(query: &str) -> Result<Option<Position>, Failure> {
    let Some(text) = query.split('&').find_map(|pair| pair.strip_prefix("at=")) else {
        return Ok(None);
    };
    let numbers = text
        .split_once('.')
        .and_then(|(epoch, revision)| Some((epoch.parse().ok()?, revision.parse().ok()?)));
    let (epoch, revision) = numbers.ok_or_else(|| {
        Failure::not_run(Code::BadRequest, "a position must have the form at=<epoch>.<revision>")
    })?;
    Ok(Some(Position { epoch: Epoch(epoch), revision: Revision(revision) }))
}
