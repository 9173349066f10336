//! Orders to engines to load new weights: which engines get one, and how their progress is
//! followed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Config;
use chicoryford_fleet::order_lease::OrderLease;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::swap;
use chicoryford_fleet::swap::ModelDemand;
use chicoryford_fleet::swap::WeightLoad;
use chicoryford_http::Connection;
use chicoryford_http::ExchangeError;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_kernel::run_time;
use chicoryford_platform::endpoint;
use chicoryford_platform::endpoint::OrderOutcome;
use chicoryford_platform::endpoint::Report;
use chicoryford_platform::endpoint::RunPolicy;
use chicoryford_platform::endpoint::VersionOrder;
use chicoryford_types::Millis;
use tokio::task::JoinHandle;

use crate::clock;
use crate::leader::Leader;
use crate::message::Update;
use crate::metrics;

/// Timeout of one call to an engine. An engine answers at once; only a lost connection takes long.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum bytes of an engine's reply. A report lists each run in progress.
const MAX_ENGINE_REPLY_BYTES: usize = 1 << 20;
/// Time after an order until the first check whether the weights are loaded, and the interval of
/// further checks.
const FIRST_LOAD_CHECK: Duration = Duration::from_millis(900);
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which an incomplete load is ordered again under a new precondition. Engines may
/// execute orders up to twelve seconds late.
const LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Milliseconds between checks for engines that should load new weights.
const CHECK_INTERVAL_MS: u64 = 50;
/// Pause before an order that an engine did not accept is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of orders to one engine for one load.
const MAX_ORDERS: u32 = 6;

/// The orders of this term of leadership.
#[derive(Default)]
pub struct Orders {
    tasks: BTreeMap<String, JoinHandle<()>>,
    demand: BTreeMap<String, Demand>,
    /// Time of the last check for due loads.
    last_check: Millis,
    /// Set once an engine has rejected this epoch, because another process leads.
    fenced: bool,
    lease: OrderLease,
}

/// The peak demand of a model's trainer.
#[derive(Clone, Copy, Default)]
struct Demand {
    tokens: u64,
    samples: usize,
}

impl Orders {
    /// Starts with the known orders of earlier leaders.
    pub fn new(lease: OrderLease) -> Self {
        Self { lease, ..Self::default() }
    }

    /// Makes the next round check at once, because a version was published.
    pub fn check_at_once(&mut self) {
        self.last_check = Millis::default();
    }

    /// Cancels all loads in progress; no more orders are sent.
    pub fn stop(&mut self) {
        for (_, task) in std::mem::take(&mut self.tasks) {
            task.abort();
        }
    }
}

/// Starts the loads of weights that are due.
///
/// A check takes 0.4 ms with 3,000 engines, and rounds follow each completed sample, some hundreds
/// a second. Loading takes about a second, so a delay of [`CHECK_INTERVAL_MS`] does no harm.
pub fn start_due_loads(leader: &Rc<Leader>, config: &Config, now: Millis) {
    {
        let mut orders = leader.orders.borrow_mut();
        if orders.fenced || now.since(orders.last_check) < CHECK_INTERVAL_MS {
            return;
        }
        orders.last_check = now;
    }
    for service in config.services.iter().filter(|service| !service.models.is_empty()) {
        let model_demands = model_demands(leader, &service.models);
        if model_demands.is_empty() {
            continue;
        }
        let loads = {
            let plan = leader.plan.borrow();
            let engines: Vec<&EngineState> = plan
                .engines()
                .filter(|engine| engine.endpoint.announcement.service == service.name)
                .collect();
            swap::select_loads(
                &engines,
                &model_demands,
                &leader.orders.borrow().lease,
                leader.context.settings.policy,
                |engine| plan.is_fast(engine),
                now,
            )
        };
        for load in loads {
            start_load(leader, load);
        }
    }
}

fn model_demands(leader: &Rc<Leader>, models: &[String]) -> Vec<ModelDemand> {
    let versions = leader.context.replica.state().versions.clone();
    let plan = leader.plan.borrow();
    let mut orders = leader.orders.borrow_mut();
    let published = models.iter().filter_map(|model| versions.get(model).map(|v| (model, *v)));
    published
        .map(|(model, version)| {
            // Uses the peak demand: between two steps the demand is zero, and engines must not
            // change models because of that.
            let peak = orders.demand.entry(model.clone()).or_default();
            peak.tokens = plan.token_demand(model).max(peak.tokens);
            peak.samples = plan.open_samples(model).max(peak.samples);
            let Demand { tokens, samples } = *peak;
            let starved = plan.starved_samples(model);
            ModelDemand { model: model.clone(), version, tokens, peak_samples: samples, starved }
        })
        .collect()
}

fn start_load(leader: &Rc<Leader>, load: WeightLoad) {
    let endpoint = load.endpoint.clone();
    if let Some(engine) = leader.plan.borrow_mut().engine_mut(&endpoint) {
        engine.loading = Some(load.model.clone());
    }
    let task = actix_rt::spawn(run_load(leader.clone(), load));
    leader.orders.borrow_mut().tasks.insert(endpoint, task);
}

async fn run_load(leader: Rc<Leader>, load: WeightLoad) {
    let began = clock::now();
    let outcome = try_load(&leader, &load).await;
    let ms = clock::now().since(began);
    let WeightLoad { endpoint, model, version } = &load;
    tracing::info!(event = "weights_changed", endpoint, model, version, outcome, ms);
    if let Some(engine) = leader.plan.borrow_mut().engine_mut(endpoint) {
        engine.end_load(clock::now());
    }
    leader.orders.borrow_mut().tasks.remove(endpoint);
}

async fn try_load(leader: &Rc<Leader>, load: &WeightLoad) -> &'static str {
    let runs = runs_during_load(leader, load);
    for _ in 0..MAX_ORDERS {
        let Some(address) = address(leader, load) else { return "endpoint gone" };
        let report = match ask_report(leader, load, address).await {
            Ok(report) => report,
            Err(ReportError::Absent(why)) => return end_absent(leader, load, why),
            Err(ReportError::Lost(error)) => {
                tracing::info!(event = "report_lost", endpoint = load.endpoint, %error);
                if matches!(error, ExchangeError::Excess(_)) {
                    let mut plan = leader.plan.borrow_mut();
                    plan.penalize(Some(&load.endpoint), RunEnd::Broken, clock::now());
                }
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        if has_version(leader, load, &report) {
            return "done";
        }
        if report.busy {
            tokio::time::sleep(LOAD_CHECK_INTERVAL).await;
            continue;
        }
        if !leader.leads() {
            return "lead lost";
        }
        match send_order(leader, load, address, &report, runs).await {
            OrderOutcome::Started | OrderOutcome::Holds => {
                if await_loaded(leader, load).await {
                    return "done";
                }
            }
            OrderOutcome::Fenced => {
                leader.orders.borrow_mut().fenced = true;
                return "fenced";
            }
            OrderOutcome::Moved => return end_absent(leader, load, "endpoint moved"),
            OrderOutcome::Conflict | OrderOutcome::Unfit | OrderOutcome::Unclear => {
                tokio::time::sleep(RETRY_PAUSE).await
            }
        }
    }
    "given up"
}

/// Decides what happens to the engine's runs of the model. They continue under the new version, so
/// that nothing waits for them, unless a sample must be made by a single version.
fn runs_during_load(leader: &Rc<Leader>, load: &WeightLoad) -> RunPolicy {
    if leader.plan.borrow().needs_single_version(&load.model) {
        RunPolicy::Finish
    } else {
        RunPolicy::GoOn
    }
}

fn address(leader: &Rc<Leader>, load: &WeightLoad) -> Option<SocketAddr> {
    let mut plan = leader.plan.borrow_mut();
    let engine = plan.engine_mut(&load.endpoint)?;
    engine.is_ready(clock::now()).then_some(engine.endpoint.announcement.address)
}

/// Records that an engine is not there. Otherwise the next check would select it again, and the
/// loads that are ordered in vain would delay those of engines that can work.
fn end_absent(leader: &Rc<Leader>, load: &WeightLoad, why: &'static str) -> &'static str {
    let mut plan = leader.plan.borrow_mut();
    plan.penalize(Some(&load.endpoint), RunEnd::Moved, clock::now());
    why
}

/// The reason why an engine gave no report.
enum ReportError {
    /// The engine is not there.
    Absent(&'static str),
    /// There was no report; there may be one later.
    Lost(ExchangeError),
}

async fn ask_report(
    leader: &Rc<Leader>,
    load: &WeightLoad,
    address: SocketAddr,
) -> Result<Report, ReportError> {
    let request = endpoint::report_request(&load.endpoint);
    let reply = call(leader, load, address, &request).await.map_err(|error| {
        if error.is_refused() {
            ReportError::Absent("connection refused")
        } else {
            ReportError::Lost(error)
        }
    })?;
    if endpoint::order_outcome(reply.status) == OrderOutcome::Moved {
        return Err(ReportError::Absent("endpoint moved"));
    }
    if !reply.status.is_success() {
        return Err(ReportError::Lost(ExchangeError::Invalid("no report")));
    }
    let unreadable = |_| ReportError::Lost(ExchangeError::Invalid("a report that cannot be read"));
    endpoint::parse_report(&reply.body).map_err(unreadable)
}

fn has_version(leader: &Rc<Leader>, load: &WeightLoad, report: &Report) -> bool {
    let Some(held) = report.models.get(&load.model) else { return false };
    leader.record_version(&load.endpoint, &load.model, *held);
    *held >= load.version && !report.busy
}

async fn send_order(
    leader: &Rc<Leader>,
    load: &WeightLoad,
    address: SocketAddr,
    report: &Report,
    runs: RunPolicy,
) -> OrderOutcome {
    let order = VersionOrder {
        incarnation: &load.endpoint,
        model: &load.model,
        version: load.version,
        run_policy: runs,
        holder: &leader.context.settings.node,
        fence: leader.epoch.0,
        sequence: report.sequence,
    };
    leader.context.followers.broadcast_to_replicas(&Update::Ordered(load.endpoint.clone()));
    let request = endpoint::order_request(&order);
    let taken = match call(leader, load, address, &request).await {
        Ok(reply) => endpoint::order_outcome(reply.status),
        Err(error) => {
            tracing::info!(event = "order_unanswered", endpoint = load.endpoint, %error);
            OrderOutcome::Unclear
        }
    };
    metrics::ORDERS.with_label_values(&[outcome_label(taken)]).inc();
    tracing::info!(
        event = "order_given",
        endpoint = load.endpoint,
        model = load.model,
        version = load.version,
        epoch = leader.epoch.0,
        sequence = report.sequence,
        ?runs,
        ?taken
    );
    taken
}

fn outcome_label(taken: OrderOutcome) -> &'static str {
    match taken {
        OrderOutcome::Started => "started",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Conflict => "conflict",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Unfit => "unfit",
        OrderOutcome::Moved => "moved",
        OrderOutcome::Unclear => "unclear",
    }
}

async fn await_loaded(leader: &Rc<Leader>, load: &WeightLoad) -> bool {
    let until = clock::now() + LOAD_TIMEOUT.as_millis() as u64;
    tokio::time::sleep(FIRST_LOAD_CHECK).await;
    loop {
        let Some(address) = address(leader, load) else { return false };
        if let Ok(report) = ask_report(leader, load, address).await
            && has_version(leader, load, &report)
        {
            return true;
        }
        if clock::now() >= until {
            return false;
        }
        tokio::time::sleep(LOAD_CHECK_INTERVAL).await;
    }
}

async fn call(
    leader: &Rc<Leader>,
    load: &WeightLoad,
    address: SocketAddr,
    request: &Request,
) -> Result<Reply, ExchangeError> {
    let exchange = async {
        let pooled = leader.pool.borrow_mut().take(address, &load.endpoint);
        let connection = match pooled {
            Some(connection) => connection,
            None => Connection::open(address, CALL_TIMEOUT).await?,
        };
        let incoming = connection.start(request).await?;
        let (reply, connection) = incoming.read_within(MAX_ENGINE_REPLY_BYTES).await?;
        if let Some(connection) = connection {
            let keep_alive = reply.headers.get("keep-alive");
            leader.pool.borrow_mut().keep(address, &load.endpoint, connection, keep_alive);
        }
        Ok(reply)
    };
    let timed_out = |_| ExchangeError::Lost(std::io::Error::from(std::io::ErrorKind::TimedOut));
    run_time::timeout(CALL_TIMEOUT, exchange).await.map_err(timed_out)?
}
