//! Orders to engines: which takes new weights, and how it is seen that it has.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Config;
use chicoryford_fleet::plan::Seat;
use chicoryford_fleet::swap;
use chicoryford_fleet::swap::Claim;
use chicoryford_fleet::swap::Wish;
use chicoryford_fleet::turn::Turn;
use chicoryford_http::Broken;
use chicoryford_http::Connection;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_platform::endpoint;
use chicoryford_platform::endpoint::Report;
use chicoryford_platform::endpoint::Runs;
use chicoryford_platform::endpoint::Taken;
use chicoryford_platform::endpoint::VersionOrder;
use chicoryford_types::Millis;
use tokio::task::JoinHandle;

use crate::clock;
use crate::leader::Leader;
use crate::message::Update;
use crate::metrics;

/// How long one call to an engine may take. It answers at once; only a lost connection takes long.
const CALL: Duration = Duration::from_millis(800);
/// Time after which a change of weights may be done, and between two looks from then on.
const LOAD: Duration = Duration::from_millis(900);
const LOAD_LOOK: Duration = Duration::from_millis(60);
/// Time after which a change that is not done is given up. Orders may be carried out twelve
/// seconds late; until then the engine is ordered anew under a new precondition.
const LOAD_LIMIT: Duration = Duration::from_secs(5);
/// Milliseconds between two looks which engines are to take new weights.
const LOOK_MS: u64 = 50;
/// Pause before an engine that did not take an order is asked again.
const PAUSE: Duration = Duration::from_millis(300);
/// Orders to one engine for one change.
const TRIES: u32 = 6;

/// What is known about orders while this process leads.
#[derive(Default)]
pub struct Orders {
    tasks: BTreeMap<String, JoinHandle<()>>,
    demand: BTreeMap<String, Demand>,
    /// When it was last looked which engines are to take new weights.
    looked: Millis,
    /// Set once an engine has refused this epoch: another leads.
    fenced: bool,
    turn: Turn,
}

/// What a model's trainer asked for, at most.
#[derive(Clone, Copy, Default)]
struct Demand {
    tokens: u64,
    samples: usize,
}

impl Orders {
    /// Starts from what is known of the orders before.
    pub fn new(turn: Turn) -> Self {
        Self { turn, ..Self::default() }
    }

    /// Has the next round look at once: a version was named.
    pub fn hurry(&mut self) {
        self.looked = Millis::default();
    }

    /// Gives no more orders.
    pub fn stop(&mut self) {
        for (_, task) in std::mem::take(&mut self.tasks) {
            task.abort();
        }
    }
}

/// Starts the changes of weights that are due.
///
/// To look takes 0.4 ms with 3,000 engines, and rounds come with each sample that is whole, some
/// hundreds a second; a load takes about a second, so [`LOOK_MS`] later is as good.
pub fn start_due_changes(leader: &Rc<Leader>, config: &Config, now: Millis) {
    {
        let mut orders = leader.orders.borrow_mut();
        if orders.fenced || now.since(orders.looked) < LOOK_MS {
            return;
        }
        orders.looked = now;
    }
    for service in config.services.iter().filter(|service| !service.models.is_empty()) {
        let claims = claims(leader, &service.models);
        if claims.is_empty() {
            continue;
        }
        let wishes = {
            let plan = leader.plan.borrow();
            let seats: Vec<&Seat> =
                plan.seats().filter(|seat| seat.endpoint.said.service == service.name).collect();
            swap::wishes(
                &seats,
                &claims,
                &leader.orders.borrow().turn,
                leader.context.settings.policy,
                now,
            )
        };
        for wish in wishes {
            begin(leader, wish);
        }
    }
}

fn claims(leader: &Rc<Leader>, models: &[String]) -> Vec<Claim> {
    let versions = leader.context.replica.state().versions.clone();
    let plan = leader.plan.borrow();
    let mut orders = leader.orders.borrow_mut();
    let named = models.iter().filter_map(|model| versions.get(model).map(|v| (model, *v)));
    named
        .map(|(model, version)| {
            // The most that was asked for at once: between two steps nothing is asked for, and
            // engines must not change owners for that.
            let most = orders.demand.entry(model.clone()).or_default();
            most.tokens = plan.demand(model).max(most.tokens);
            most.samples = plan.open_samples(model).max(most.samples);
            let Demand { tokens, samples } = *most;
            let starved = plan.starved(model);
            Claim { model: model.clone(), version, demand: tokens, samples, starved }
        })
        .collect()
}

fn begin(leader: &Rc<Leader>, wish: Wish) {
    let endpoint = wish.endpoint.clone();
    if let Some(seat) = leader.plan.borrow_mut().seat(&endpoint) {
        seat.loading = Some(wish.model.clone());
    }
    let task = actix_rt::spawn(change(leader.clone(), wish));
    leader.orders.borrow_mut().tasks.insert(endpoint, task);
}

async fn change(leader: Rc<Leader>, wish: Wish) {
    let began = clock::now();
    let outcome = try_change(&leader, &wish).await;
    let ms = clock::now().since(began);
    let Wish { endpoint, model, version } = &wish;
    tracing::info!(event = "weights_changed", endpoint, model, version, outcome, ms);
    if let Some(seat) = leader.plan.borrow_mut().seat(endpoint) {
        seat.loading = None;
    }
    leader.orders.borrow_mut().tasks.remove(endpoint);
}

async fn try_change(leader: &Rc<Leader>, wish: &Wish) -> &'static str {
    let runs = runs(leader, wish);
    for _ in 0..TRIES {
        let Some(address) = address(leader, wish) else { return "endpoint gone" };
        let report = match ask_report(leader, wish, address).await {
            Ok(report) => report,
            Err(error) => {
                tracing::info!(event = "report_lost", endpoint = wish.endpoint, %error);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        if has(leader, wish, &report) {
            return "done";
        }
        if report.busy {
            tokio::time::sleep(LOAD_LOOK).await;
            continue;
        }
        if !leader.leads() {
            return "lead lost";
        }
        match give(leader, wish, address, &report, runs).await {
            Taken::Started | Taken::Holds => {
                if await_loaded(leader, wish).await {
                    return "done";
                }
            }
            Taken::Fenced => {
                leader.orders.borrow_mut().fenced = true;
                return "fenced";
            }
            Taken::Moved => return "endpoint moved",
            Taken::Conflict | Taken::Unfit | Taken::Unclear => tokio::time::sleep(PAUSE).await,
        }
    }
    "given up"
}

/// Tells what is to happen to the engine's runs of the model. They go on under the new version, so
/// that nothing waits for them, unless one version must make all of a sample.
fn runs(leader: &Rc<Leader>, wish: &Wish) -> Runs {
    if leader.plan.borrow().is_single(&wish.model) { Runs::Finish } else { Runs::GoOn }
}

fn address(leader: &Rc<Leader>, wish: &Wish) -> Option<SocketAddr> {
    let mut plan = leader.plan.borrow_mut();
    let seat = plan.seat(&wish.endpoint)?;
    seat.is_ready(clock::now()).then_some(seat.endpoint.said.address)
}

async fn ask_report(
    leader: &Rc<Leader>,
    wish: &Wish,
    address: SocketAddr,
) -> Result<Report, Broken> {
    let request = endpoint::report_request(&wish.endpoint);
    let reply = call(leader, wish, address, &request).await?;
    if !reply.status.is_success() {
        return Err(Broken::Unfit("no report"));
    }
    endpoint::report(&reply.body).map_err(|_| Broken::Unfit("a report that cannot be read"))
}

fn has(leader: &Rc<Leader>, wish: &Wish, report: &Report) -> bool {
    let Some(held) = report.models.get(&wish.model) else { return false };
    leader.record_version(&wish.endpoint, &wish.model, *held);
    *held >= wish.version && !report.busy
}

async fn give(
    leader: &Rc<Leader>,
    wish: &Wish,
    address: SocketAddr,
    report: &Report,
    runs: Runs,
) -> Taken {
    let order = VersionOrder {
        incarnation: &wish.endpoint,
        model: &wish.model,
        version: wish.version,
        runs,
        holder: &leader.context.settings.node,
        fence: leader.epoch.0,
        sequence: report.sequence,
    };
    leader.context.followers.broadcast_to_replicas(&Update::Ordered(wish.endpoint.clone()));
    let request = endpoint::order(&order);
    let taken = match call(leader, wish, address, &request).await {
        Ok(reply) => endpoint::taken(reply.status),
        Err(error) => {
            tracing::info!(event = "order_unanswered", endpoint = wish.endpoint, %error);
            Taken::Unclear
        }
    };
    metrics::ORDERS.with_label_values(&[word(taken)]).inc();
    tracing::info!(
        event = "order_given",
        endpoint = wish.endpoint,
        model = wish.model,
        version = wish.version,
        epoch = leader.epoch.0,
        sequence = report.sequence,
        ?runs,
        ?taken
    );
    taken
}

fn word(taken: Taken) -> &'static str {
    match taken {
        Taken::Started => "started",
        Taken::Holds => "holds",
        Taken::Conflict => "conflict",
        Taken::Fenced => "fenced",
        Taken::Unfit => "unfit",
        Taken::Moved => "moved",
        Taken::Unclear => "unclear",
    }
}

async fn await_loaded(leader: &Rc<Leader>, wish: &Wish) -> bool {
    let until = clock::now() + LOAD_LIMIT.as_millis() as u64;
    tokio::time::sleep(LOAD).await;
    loop {
        let Some(address) = address(leader, wish) else { return false };
        if let Ok(report) = ask_report(leader, wish, address).await
            && has(leader, wish, &report)
        {
            return true;
        }
        if clock::now() >= until {
            return false;
        }
        tokio::time::sleep(LOAD_LOOK).await;
    }
}

async fn call(
    leader: &Rc<Leader>,
    wish: &Wish,
    address: SocketAddr,
    request: &Request,
) -> Result<Reply, Broken> {
    let exchange = async {
        let kept = leader.pool.borrow_mut().take(address, &wish.endpoint);
        let connection = match kept {
            Some(connection) => connection,
            None => Connection::open(address, CALL).await?,
        };
        let (reply, connection) = connection.start(request).await?.whole().await?;
        if let Some(connection) = connection {
            let stated = reply.headers.get("keep-alive");
            leader.pool.borrow_mut().keep(address, &wish.endpoint, connection, stated);
        }
        Ok(reply)
    };
    let late = |_| Broken::Lost(std::io::Error::from(std::io::ErrorKind::TimedOut));
    tokio::time::timeout(CALL, exchange).await.map_err(late)?
}
