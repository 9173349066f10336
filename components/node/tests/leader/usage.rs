//! Reports of usage to a platform simulated by the test, on real sockets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::Workspace;
use chicoryford_fleet::usage::EntryProcess;
use chicoryford_fleet::usage::Totals;
use chicoryford_fleet::usage::UsageReport;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::Server;
use chicoryford_http::message::StatusCode;
use chicoryford_node::Settings;
use chicoryford_node::clock;
use chicoryford_node::message::Answer;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::settings::Duty;
use chicoryford_types::Unix;
use tokio::net::TcpListener;

use crate::fleet::Fleet;
use crate::fleet::config;
use crate::fleet::pause;
use crate::fleet::wait_until;
use crate::member::Member;
use crate::member::StoredParts;

/// A report as received by the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Report {
    holder: String,
    token: u64,
    body: String,
}

/// What the platform does with a call.
#[derive(Clone, Copy)]
enum Behavior {
    Accept,
    /// It accepts all reports, but does not answer those of this window.
    HangOn(u64),
    /// It has received a higher token.
    Refuse,
}

struct Platform {
    address: SocketAddr,
    reports: Rc<RefCell<Vec<Report>>>,
    behavior: Rc<RefCell<Behavior>>,
}

async fn platform() -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (reports, behavior) =
        (Rc::<RefCell<Vec<Report>>>::default(), Rc::new(RefCell::new(Behavior::Accept)));
    let (recorded, current) = (reports.clone(), behavior.clone());
    let server = Rc::new(Server::default());
    actix_rt::spawn(async move {
        let answer = move |request: Request| {
            let header = |name: &str| request.headers.get(name).unwrap_or_default().to_owned();
            recorded.borrow_mut().push(Report {
                holder: header("x-duty-holder"),
                token: header("x-fencing-token").parse().unwrap(),
                body: String::from_utf8_lossy(&request.body).into_owned(),
            });
            let behavior = *current.borrow();
            let is = |window: u64| {
                let name = format!("\"WindowNumber\":{window}}}");
                String::from_utf8_lossy(&request.body).ends_with(&name)
            };
            let hangs = matches!(behavior, Behavior::HangOn(window) if is(window));
            async move {
                if hangs {
                    tokio::time::sleep(Duration::from_secs(60)).await;
                }
                let refuses = matches!(behavior, Behavior::Refuse);
                let status = if refuses { StatusCode::CONFLICT } else { StatusCode::OK };
                Reply::new(status, "")
            }
        };
        server.serve(listener, answer).await;
    });
    Platform { address, reports, behavior }
}

/// Starts a leader whose windows last a second, with one member that sends its wall clock time.
async fn fleet(platform: &Platform) -> (Fleet, Member) {
    let address = platform.address;
    let fleet = Fleet::start_with(|settings| Settings {
        platform: Some(address),
        duties: vec![Duty::Usage],
        usage_window_s: 1,
        ..settings
    })
    .await;
    let workspaces = vec![Workspace { name: "w".to_owned(), ..Workspace::default() }].into();
    let with_workspace = Config { version: 2, workspaces, ..config() };
    let configured = fleet.leader().commit(Command::Configure(Arc::new(with_workspace))).await;
    assert!(matches!(configured, Answer::Done), "{configured:?}");
    let store = fleet.store(&StoredParts::default()).await;
    send_wall_clock(&store);
    wait_until("the first window is known", || fleet.replica.state().usage.next().is_some()).await;
    (fleet, store)
}

fn send_wall_clock(store: &Member) {
    store.sender.send(MemberMessage::Beat { clock: clock::now(), wall: clock::wall() }).unwrap();
}

fn this_window() -> u64 {
    let Unix(wall) = clock::wall();
    wall / 1_000
}

fn usage_report(window: u64, before: u64, count: u64) -> UsageReport {
    let life = EntryProcess { node: "f".to_owned(), number: 1 };
    let counts = BTreeMap::from([("w".to_owned(), count)]);
    UsageReport {
        process: life.clone(),
        complete_before: before,
        totals: vec![Totals { process: life, window, counts }],
    }
}

/// A window is closed; the platform accepts its report, and the answer is lost; the leader is
/// replaced; an entry reports its counts again, with one request more. Guards against two different
/// reports of one window, or none: the next leader must repeat the same report, until the platform
/// is known to have it.
#[actix_rt::test]
async fn a_report_without_an_answer_is_repeated_exactly_by_the_next_leader() {
    let platform = platform().await;
    let (fleet, store) = fleet(&platform).await;
    let window = this_window();
    *platform.behavior.borrow_mut() = Behavior::HangOn(window);
    fleet.leader().record_usage(usage_report(window, window + 100, 3));
    let name = format!("\"WindowNumber\":{window}}}");
    let reports = || {
        let all = platform.reports.borrow().clone();
        all.into_iter().filter(|report| report.body.ends_with(&name)).collect::<Vec<_>>()
    };
    wait_until("it is reported", || !reports().is_empty()).await;
    let first = reports().remove(0);
    assert!(first.body.contains("{\"w\":3}"), "{first:?}");
    fleet.next_leader();
    drop(store);
    let store = fleet.store(&StoredParts::default()).await;
    send_wall_clock(&store);
    fleet.leader().record_usage(usage_report(window, window + 100, 4));
    *platform.behavior.borrow_mut() = Behavior::Accept;
    wait_until("it is reported again", || reports().len() > 1).await;
    let second = reports().pop().unwrap();
    assert_eq!((&second.body, &second.holder), (&first.body, &first.holder));
    assert!(second.token > first.token, "{second:?}");
    pause(1_500).await;
    assert!(reports().iter().all(|report| report.body == first.body), "{:?}", reports());
}

/// Guards against a replaced leader that keeps calling the platform with a refused token. A refusal
/// because of a higher token ends the duty of the process with the lower one.
#[actix_rt::test]
async fn a_refused_token_is_not_used_again() {
    let platform = platform().await;
    let (fleet, store) = fleet(&platform).await;
    *platform.behavior.borrow_mut() = Behavior::Refuse;
    platform.reports.borrow_mut().clear();
    wait_until("a report is refused", || !platform.reports.borrow().is_empty()).await;
    let token = platform.reports.borrow()[0].token;
    pause(2_500).await;
    let reports = platform.reports.borrow().clone();
    assert_eq!(reports.len(), 1, "{reports:?}");
    *platform.behavior.borrow_mut() = Behavior::Accept;
    fleet.next_leader();
    send_wall_clock(&store);
    wait_until("the next leader reports", || platform.reports.borrow().len() > 1).await;
    assert!(platform.reports.borrow()[1].token > token);
}
