//! What a process answers about configuration.

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

use crate::children::Heard;
use crate::follower::WAIT_MS;
use crate::in_force::judge;
use crate::message::Follow;
use crate::message::Followed;
use crate::message::Report;
use crate::shared::SHARED;
use crate::shared::Shared;

/// When a follower that a parent has no room for may come back, in milliseconds.
const FULL_MS: u64 = 10_000;
/// How long the other control processes may take to tell what their followers have.
const CENSUS: Duration = Duration::from_secs(1);

/// Adds the paths by which children follow and operators ask. [`crate::start`] must run before.
///
/// # Errors
///
/// [`MissingService`] if it did not.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    let _ = settings;
    let desk = Rc::new(Desk {
        kernel: kernel.clone(),
        shared: Arc::clone(kernel.registry.find::<Arc<Shared>>(SHARED)?.as_ref()),
        members: kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?,
        client: kernel.registry.find::<Caller>(CALLER)?.client(),
    });
    let held = desk.clone();
    routes.add(paths::FOLLOW, &[Kind::Process], move |call| {
        let desk = held.clone();
        async move { desk.follow(&call).await.unwrap_or_else(|f| reply::peer_failure(&f)) }
    });
    let held = desk.clone();
    routes.add(paths::SUBTREE, &[Kind::Process], move |_| {
        let desk = held.clone();
        async move { reply::msgpack(&desk.reports()) }
    });
    let held = desk.clone();
    routes.add(paths::CONFIG, &[Kind::Operator, Kind::Process], move |_| {
        let desk = held.clone();
        async move { reply::json(200, desk.shared.store().config().as_ref()) }
    });
    routes.add(paths::IN_FORCE, &[Kind::Operator, Kind::Process], move |call| {
        let desk = desk.clone();
        async move { desk.in_force(&call).await.unwrap_or_else(|f| reply::failure(&f)) }
    });
    Ok(())
}

struct Desk {
    kernel: Kernel,
    shared: Arc<Shared>,
    members: Arc<Membership>,
    client: Client,
}

impl Desk {
    async fn follow(&self, call: &Call) -> Result<Reply, Failure> {
        let follow = call.msgpack::<Follow>()?;
        if self.shared.hear(&follow, self.kernel.now()) == Heard::Full {
            let failure = Failure::not_run(Code::Overloaded, "this parent has all its children");
            return Err(failure.retry_after(FULL_MS));
        }
        if let Some(answer) = self.compare(&follow) {
            return Ok(reply::msgpack(&answer));
        }
        self.wait_for_news(&follow).await;
        let store = self.shared.store();
        let delta = (store.at() > follow.at).then(|| store.delta_since(follow.at));
        Ok(reply::msgpack(&Followed { at: store.at(), delta, repair: false }))
    }

    /// Compares the whole configuration with a follower's at the same position. Copies of one
    /// position that differ mean that a change was lost or damaged on the way, which no later
    /// change would mend; the follower is given the parent's.
    fn compare(&self, follow: &Follow) -> Option<Followed> {
        let digest = follow.digest?;
        let mut store = self.shared.store();
        let (at, own) = (store.at(), store.digest());
        if at != follow.at || own == digest {
            return None;
        }
        tracing::error!(event = "config_differs", %at, child = %follow.node);
        let delta = Some(Delta::Snapshot(Box::new((*store.config()).clone())));
        Some(Followed { at, delta, repair: true })
    }

    /// Waits for something that the follower lacks. One that is ahead is answered at once, so
    /// that it can turn to another parent.
    async fn wait_for_news(&self, follow: &Follow) {
        let mut news = self.shared.watch();
        let wait = Duration::from_millis(follow.wait_ms.min(WAIT_MS));
        tokio::select! {
            _ = news.wait_for(|config| config.at != follow.at) => {}
            () = actix_rt::time::sleep(wait) => {}
            () = self.kernel.phases.reached(Phase::Stopping) => {}
        }
    }

    fn reports(&self) -> Vec<Report> {
        let own = self.members.own();
        let at = self.shared.store().at();
        let mut reports = self.shared.children().subtree(self.kernel.now()).reports;
        reports.push(Report { node: own.node, incarnation: own.incarnation, at });
        reports
    }

    /// Judges over the reports of all control processes, among whom the others are divided.
    async fn in_force(&self, call: &Call) -> Result<Reply, Failure> {
        let wanted = wanted_position(&call.query)?;
        let (view, own) = (self.members.view(), self.members.own());
        let controls = view.present().filter(|m| m.roles.control && m.node != own.node);
        let asked = controls.map(|control| self.ask_reports(&control.address));
        let mut reports: Vec<_> = join_all(asked).await.into_iter().flatten().collect();
        reports.extend(self.reports());
        let newest = reports.iter().map(|report| report.at).max().unwrap_or_default();
        Ok(reply::json(200, &judge(wanted.unwrap_or(newest), &view, &reports)))
    }

    /// Asks one control process; one that is silent leaves its followers among the lagging.
    async fn ask_reports(&self, address: &str) -> Vec<Report> {
        let asked = self.client.call::<(), Vec<Report>>(address, paths::SUBTREE, &(), CENSUS);
        asked.await.unwrap_or_default()
    }
}

/// Reads the position asked about from a query `at=<epoch>.<revision>`; none if it asks about
/// the newest.
fn wanted_position(query: &str) -> Result<Option<Position>, Failure> {
    let Some(text) = query.split('&').find_map(|pair| pair.strip_prefix("at=")) else {
        return Ok(None);
    };
    let numbers = text
        .split_once('.')
        .and_then(|(epoch, revision)| Some((epoch.parse().ok()?, revision.parse().ok()?)));
    let (epoch, revision) = numbers.ok_or_else(|| {
        Failure::not_run(Code::BadRequest, "a position reads at=<epoch>.<revision>")
    })?;
    Ok(Some(Position { epoch: Epoch(epoch), revision: Revision(revision) }))
}
