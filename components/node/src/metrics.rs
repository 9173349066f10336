//! Counters, gauges and latency histograms, served as text on the metrics address.

use std::rc::Rc;
use std::sync::LazyLock;

use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use prometheus::Encoder;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::TextEncoder;
use prometheus::exponential_buckets;
use prometheus::register_histogram_vec;
use prometheus::register_int_counter;
use prometheus::register_int_counter_vec;
use prometheus::register_int_gauge;
use prometheus::register_int_gauge_vec;

use crate::leader::Leader;
use crate::link::Link;
use crate::replica::LocalReplica;

/// The first bound of the histograms in seconds, and the number of bounds. Each bound is twice the
/// one before, from a round trip to more than the duration of a step.
const FIRST_BOUND_S: f64 = 0.002;
const BOUND_COUNT: usize = 14;

fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register_int_counter_vec!(name, help, labels).expect("names are unique and fit")
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let bounds = exponential_buckets(FIRST_BOUND_S, 2.0, BOUND_COUNT).expect("the bounds grow");
    register_histogram_vec!(name, help, labels, bounds).expect("names are unique and fit")
}

/// Requests at this entry by route and outcome.
pub static REQUESTS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("requests_total", "Requests by outcome.", &["route", "outcome"]));
/// Seconds from a request's first byte to its answer.
pub static REQUEST_SECONDS: LazyLock<HistogramVec> =
    LazyLock::new(|| histogram("request_seconds", "Time to the answer.", &["route"]));
/// Announcements of endpoints at this control process, by whether this process or the leader
/// answered.
pub static ANNOUNCEMENTS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("announcements_total", "Announcements by who answered.", &["by"]));
/// Attempts at endpoints of plain services by reason: the first of a request, a hedge of a silent
/// one, a retry after failed ones, or one in place of an attempt that could not connect.
pub static ATTEMPTS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("attempts_total", "Attempts at endpoints by reason.", &["why"]));
/// Attempts at endpoints of plain services by outcome.
pub static ATTEMPT_ENDINGS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("tries_total", "Attempts at endpoints by ending.", &["ending"]));
/// Scorers' calls that wait at this host for a window that is not full.
pub static SCORER_CALLS_WAITING: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("scorer_calls_waiting", "Scorers' calls that wait at this host.")
        .expect("names are unique")
});
/// Seconds for which scorers' calls waited for a window that is not full, without those that did
/// not wait.
pub static SCORER_WAIT_SECONDS: LazyLock<HistogramVec> =
    LazyLock::new(|| histogram("scorer_wait_seconds", "Time until a window had room.", &["route"]));
/// Windows of endpoints that this host made smaller, because an endpoint was slow, full or failed.
pub static SCORER_WINDOW_CUTS: LazyLock<IntCounter> = LazyLock::new(|| {
    register_int_counter!(
        "scorer_window_cuts_total",
        "Windows for scorers' calls that were made smaller."
    )
    .expect("names are unique")
});
/// First attempts of repeatable requests that were sent, by service.
pub static FIRST_ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("first_attempts_total", "First attempts of repeatable requests.", &["service"])
});
/// Second attempts of repeatable requests by service and outcome: sent, and of these won or wasted;
/// withheld by the limit, or because the service as a whole was slow.
pub static SECOND_ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter(
        "second_attempts_total",
        "Second attempts of repeatable requests by outcome.",
        &["service", "outcome"],
    )
});
/// Endpoints of plain services that crashed while they ran a request of this process.
pub static CRASHES: LazyLock<IntCounter> = LazyLock::new(|| {
    register_int_counter!(
        "endpoint_crashes_total",
        "Endpoints that crashed while they ran a request."
    )
    .expect("names are unique")
});
/// Runs of samples by outcome.
pub static RUNS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("runs_total", "Runs of samples by ending.", &["ending"]));
/// Runs that were moved to another engine, by reason: the new engine is always faster, or the run's
/// engine was slower than usual.
pub static MOVED_RUNS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("runs_moved_total", "Runs moved to other engines.", &["reason"]));
/// Commands that this process proposed, by outcome.
pub static COMMITS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("commits_total", "Proposed commands by outcome.", &["outcome"]));
/// Seconds until a command was committed.
pub static COMMIT_SECONDS: LazyLock<HistogramVec> =
    LazyLock::new(|| histogram("commit_seconds", "Time to a commit.", &["outcome"]));
/// Seconds until a part was on enough stores.
pub static PART_SECONDS: LazyLock<HistogramVec> =
    LazyLock::new(|| histogram("part_seconds", "Time to write a part.", &["place"]));
/// Orders to engines by the engine's answer.
pub static ORDERS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("orders_total", "Orders to engines by answer.", &["taken"]));
/// Calls to the platform on behalf of the fleet, by duty and answer.
pub static DUTY_CALLS: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("duty_calls_total", "Calls by answer.", &["duty", "taken"]));
/// Milliseconds within which half of the members' wall clocks agree, at the leader.
pub static WALL_ERROR: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("wall_error_ms", "Milliseconds by which times of day differ.")
        .expect("names are unique")
});
/// Bytes on the links of this process, by kind of message and data centres.
pub static LINK_BYTES: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("link_bytes_total", "Bytes on links by kind and data centres.", &["kind", "from", "to"])
});
/// Bytes of requests and replies that this entry holds for its callers.
pub static ENTRY_HELD_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("entry_held_bytes", "Bytes held for callers.").expect("names are unique")
});
/// Open connections of callers.
pub static ENTRY_CONNECTIONS: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("entry_connections", "Connections of callers.").expect("names are unique")
});
/// Mean delay of this entry's thread over the last second in milliseconds.
pub static ENTRY_LAG: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("entry_lag_ms", "Mean delay of the thread.").expect("names are unique")
});
/// Level of overload protection: 0 normal, 1 divert, 2 refuse.
pub static ENTRY_OVERLOAD_LEVEL: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("entry_overload_level", "0 normal, 1 divert, 2 refuse.")
        .expect("names are unique")
});
/// Requests that were refused by overload protection.
pub static OVERLOAD_REFUSALS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("entry_overload_refusals_total", "Requests refused by overload protection.", &["cause"])
});
/// Bytes that this process holds for its clients, on all listeners.
pub static CLIENT_BYTES: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("client_held_bytes", "Bytes held for clients.").expect("names are unique")
});
/// Open connections of clients, on all listeners.
pub static CLIENT_CONNECTIONS: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("client_connections", "Connections of clients.").expect("names are unique")
});
/// Connections of clients that were closed because others needed what they held.
pub static CLIENTS_CLOSED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counter("client_connections_closed_total", "Connections closed for others.", &[])
});
/// Requests and replies for which there was no memory.
pub static CLIENTS_REFUSED: LazyLock<IntCounterVec> =
    LazyLock::new(|| counter("client_memory_refusals_total", "Refusals because of memory.", &[]));
static LEADS: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("leads", "Whether this process leads.").expect("names are unique")
});
static LEADER_SILENT: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("leader_silent_ms", "Milliseconds since the leader was heard.")
        .expect("names are unique")
});
static ENDPOINTS: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    register_int_gauge_vec!("endpoints", "Endpoints by standing, at the leader.", &["standing"])
        .expect("names are unique")
});
static UNREACHABLE: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!(
        "unreachable_endpoints",
        "Endpoints that are marked as unreachable, at the leader."
    )
    .expect("names are unique")
});
static KNOWN_ENDPOINTS: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("known_endpoints", "Endpoints that this process knows.")
        .expect("names are unique")
});
static SAMPLES: LazyLock<IntGaugeVec> = LazyLock::new(|| {
    register_int_gauge_vec!("samples", "Samples of open steps by phase.", &["phase"])
        .expect("names are unique")
});

static FAST_ENGINES: LazyLock<IntGauge> = LazyLock::new(|| {
    register_int_gauge!("fast_engines", "Engines that are always faster than the median.")
        .expect("names are unique")
});

/// The sources of the gauges.
pub struct Sources {
    /// The connection to the leader.
    pub link: Rc<Link>,
    /// The replica, in a control process.
    pub replica: Option<Rc<LocalReplica>>,
    /// The leader, while this process leads.
    pub leader: Rc<std::cell::RefCell<Option<Rc<Leader>>>>,
}

/// Answers with all metrics as text.
pub fn answer(sources: &Sources, _: &Request) -> Reply {
    LEADER_SILENT.set(sources.link.silent_ms() as i64);
    KNOWN_ENDPOINTS.set(sources.link.known_endpoints() as i64);
    LEADS.set(i64::from(sources.replica.as_ref().is_some_and(|replica| replica.leads())));
    ENDPOINTS.reset();
    UNREACHABLE.set(0);
    SAMPLES.reset();
    FAST_ENGINES.set(0);
    if let Some(leader) = &*sources.leader.borrow() {
        for (standing, count) in leader.endpoint_counts() {
            ENDPOINTS.with_label_values(&[standing.as_str()]).set(count);
        }
        UNREACHABLE.set(leader.unreachable_count() as i64);
        for (phase, count) in leader.plan.borrow().phase_counts() {
            SAMPLES.with_label_values(&[phase]).set(count as i64);
        }
        FAST_ENGINES.set(leader.plan.borrow().fast_engine_count() as i64);
    }
    let mut text = Vec::new();
    match TextEncoder::new().encode(&prometheus::gather(), &mut text) {
        Ok(()) => Reply::new(StatusCode::OK, text).with("content-type", "text/plain"),
        Err(error) => {
            tracing::warn!(event = "metrics_unreadable", %error);
            Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}
