//! What a process answers about configuration.

use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_kernel::registry::MissingService;
use chicoryford_membership::Handle as Membership;
use chicoryford_settings::Settings;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_wire::Call;
use chicoryford_wire::Kind;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::paths;
use chicoryford_wire::reply;

use crate::follower::WAIT_MS;
use crate::in_force::judge;
use crate::message::Follow;
use crate::message::Followed;
use crate::message::Report;
use crate::shared::SHARED;
use crate::shared::Shared;

/// When a follower that a parent has no room for may come back, in milliseconds.
const FULL_MS: u64 = 10_000;

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
    let shared = Arc::clone(&*kernel.registry.find::<Arc<Shared>>(SHARED)?);
    let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
    let desk = Arc::new(Desk { kernel: kernel.clone(), shared, members });
    let held = desk.clone();
    routes.add(paths::FOLLOW, &[Kind::Process], move |call| {
        let desk = held.clone();
        async move { desk.follow(&call).await.unwrap_or_else(|f| reply::peer_failure(&f)) }
    });
    let held = desk.clone();
    routes.add(paths::CONFIG, &[Kind::Operator, Kind::Process], move |_| {
        let desk = held.clone();
        async move { reply::json(200, desk.shared.store().config().as_ref()) }
    });
    routes.add(paths::IN_FORCE, &[Kind::Operator, Kind::Process], move |_| {
        let desk = desk.clone();
        async move { desk.in_force() }
    });
    Ok(())
}

struct Desk {
    kernel: Kernel,
    shared: Arc<Shared>,
    members: Arc<Membership>,
}

impl Desk {
    async fn follow(&self, call: &Call) -> Result<Reply, Failure> {
        let follow = call.msgpack::<Follow>()?;
        if !self.shared.children().hear(&follow, self.kernel.now()) {
            let failure = Failure::not_run(Code::Overloaded, "this parent has all its children");
            return Err(failure.retry_after(FULL_MS));
        }
        self.wait_for_news(&follow).await;
        let store = self.shared.store();
        let delta = (store.at() > follow.at).then(|| store.delta_since(follow.at));
        Ok(reply::msgpack(&Followed { at: store.at(), delta, repair: false }))
    }

    async fn wait_for_news(&self, follow: &Follow) {
        let mut news = self.shared.watch();
        let wait = Duration::from_millis(follow.wait_ms.min(WAIT_MS));
        tokio::select! {
            _ = news.wait_for(|config| config.at > follow.at) => {}
            () = actix_rt::time::sleep(wait) => {}
            () = self.kernel.phases.reached(Phase::Stopping) => {}
        }
    }

    fn in_force(&self) -> Reply {
        let at = self.shared.store().at();
        let own = self.members.own();
        let mut reports = self.shared.children().subtree(self.kernel.now()).reports;
        reports.push(Report { node: own.node, incarnation: own.incarnation, at });
        reply::json(200, &judge(at, &self.members.view(), &reports))
    }
}
