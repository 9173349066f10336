//! The follower duty: asks a parent for what is new, again and again.

use std::sync::Arc;
use std::time::Duration;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::Phase;
use chicoryford_membership::Handle as Membership;
use chicoryford_settings::Settings;
use chicoryford_types::Member;
use chicoryford_wire::CallError;
use chicoryford_wire::Caller;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use rand::Rng;

use crate::error::StartError;
use crate::feed::FEED;
use crate::feed::Feed;
use crate::handle::Handle;
use crate::handle::SERVICE;
use crate::message::Follow;
use crate::message::Followed;
use crate::parents::Passed;
use crate::parents::choose;
use crate::proposer::PROPOSER;
use crate::proposer::Proposer;
use crate::random::generator;
use crate::shared::SHARED;
use crate::shared::Shared;
use crate::store::Store;

/// Milliseconds for which a parent may hold its answer back for news. A silent parent is noticed
/// after this and [`MARGIN_MS`], half of the time in which a change must be everywhere.
pub const WAIT_MS: u64 = 6_000;
/// Milliseconds that an answer may take beyond the wait.
pub const MARGIN_MS: u64 = 2_000;
/// Milliseconds for which a parent that failed is passed over, at least.
const PASS_MS: u64 = 2_000;
/// Milliseconds between two looks for a parent when there is none.
const ALONE_MS: u64 = 200;

/// Starts the follower duty and offers [`Handle`], [`Feed`] and [`Proposer`]. Membership and the
/// caller must be offered before.
///
/// # Errors
///
/// [`StartError`] if one of them is missing or the thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), StartError> {
    let _ = settings;
    let proposer = Proposer::find(kernel)?;
    let shared = Arc::new(Shared::new(Store::default()));
    kernel.registry.offer(SERVICE, Handle::new(shared.watch()));
    kernel.registry.offer(FEED, Feed::new(shared.clone()));
    kernel.registry.offer(PROPOSER, proposer);
    kernel.registry.offer(SHARED, shared.clone());
    let caller = kernel.registry.find::<Caller>(chicoryford_wire::client::CALLER)?;
    let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
    kernel.duty("follower", move |kernel| async move {
        let follower = Follower { client: caller.client(), kernel, members, shared };
        follower.run().await;
    })?;
    Ok(())
}

struct Follower {
    client: Client,
    kernel: Kernel,
    members: Arc<Membership>,
    shared: Arc<Shared>,
}

impl Follower {
    async fn run(self) {
        let phases = self.kernel.phases.clone();
        tokio::select! {
            () = phases.reached(Phase::Stopping) => {}
            () = self.follow() => {}
        }
    }

    async fn follow(&self) {
        let mut random = generator(&self.members.own());
        let mut passed = Passed::default();
        loop {
            let (own, view) = (self.members.own(), self.members.view());
            let now = self.kernel.now();
            passed.trim(now);
            let Some(parent) = choose(&own, &view, &passed, now) else {
                actix_rt::time::sleep(Duration::from_millis(ALONE_MS)).await;
                continue;
            };
            if let Err(error) = self.ask(&own, parent).await {
                tracing::debug!(event = "parent_failed", parent = %parent.node, %error);
                let pause = PASS_MS + random.random_range(0..PASS_MS);
                passed.pass(parent.node.clone(), self.kernel.now() + pause);
            }
        }
    }

    async fn ask(&self, own: &Member, parent: &Member) -> Result<(), CallError> {
        let follow = Follow {
            node: own.node.clone(),
            incarnation: own.incarnation,
            at: self.shared.store().at(),
            wait_ms: WAIT_MS,
            digest: None,
            subtree: self.shared.children().subtree(self.kernel.now()),
        };
        let patience = Duration::from_millis(WAIT_MS + MARGIN_MS);
        let answer: Followed =
            self.client.call(&parent.address, paths::FOLLOW, &follow, patience).await?;
        if let Some(delta) = answer.delta {
            self.shared.change(|store| store.absorb(delta) == crate::store::Absorbed::Moved);
        }
        Ok(())
    }
}
