//! Tests of timeouts by run time.

use std::time::Duration;
use std::time::Instant;

use chicoryford_kernel::run_time;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_kernel::stall::READ_MS;
use chicoryford_kernel::stall::Stall;
use chicoryford_types::Millis;
use quickcheck::QuickCheck;
use tokio::sync::oneshot;

const LIMIT: Duration = Duration::from_millis(150);
const STALL: Duration = Duration::from_millis(600);

/// Runs a test on a thread of its own, whose run time starts with it.
fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    actix_rt::System::new().block_on(test());
}

/// Guards against blaming others at the moment at which this process resumes, with their messages
/// unread, or before they have resumed as well.
#[test]
fn what_arrives_soon_after_a_stall_is_received_in_time() {
    run(|| async {
        let (sender, received) = oneshot::channel();
        let waiting = actix_rt::spawn(run_time::timeout(LIMIT, received));
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        std::thread::sleep(STALL);
        // Another thread could be delayed on a busy machine, so that it sends later than this.
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(60)).await;
            sender.send(()).unwrap();
        });
        assert_eq!(waiting.await.unwrap(), Ok(Ok(())));
    });
}

/// Guards against answers that are discarded because the deadline passed while this process was
/// stalled.
#[test]
fn an_answer_that_arrived_during_a_stall_is_received_after_its_deadline() {
    run(|| async {
        let (sender, received) = oneshot::channel();
        std::thread::spawn(move || {
            std::thread::sleep(STALL + Duration::from_millis(60));
            sender.send(()).unwrap();
        });
        let waiting = actix_rt::spawn(run_time::deadline(LIMIT, received));
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        std::thread::sleep(STALL);
        assert_eq!(waiting.await.unwrap(), Ok(Ok(())));
    });
}

/// Guards against a deadline that moves on with each stall of a process that is stalled again and
/// again.
#[test]
fn repeated_stalls_do_not_extend_a_deadline() {
    run(|| async {
        let busy = actix_rt::spawn(async {
            loop {
                std::thread::sleep(Duration::from_millis(120));
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        });
        let started = Instant::now();
        assert!(run_time::deadline(LIMIT, std::future::pending::<()>()).await.is_err());
        assert!(started.elapsed() < Duration::from_millis(700), "{:?}", started.elapsed());
        busy.abort();
    });
}

#[test]
fn silence_expires_after_the_limit_of_run_time() {
    run(|| async {
        let started = Instant::now();
        let silence = std::future::pending::<()>();
        assert!(run_time::timeout(LIMIT, silence).await.is_err());
        assert!(started.elapsed() >= LIMIT);
        let timer = RunTimer::start();
        std::thread::sleep(STALL);
        assert!(timer.elapsed_ms() < LIMIT.as_millis() as u64, "{}", timer.elapsed_ms());
        let silence = std::future::pending::<()>();
        assert!(run_time::deadline(LIMIT, silence).await.is_err());
    });
}

/// Guards against decisions on what this thread knew before a stall.
#[test]
fn what_arrived_is_unread_for_a_while_after_a_stall() {
    run(|| async {
        let timer = RunTimer::start();
        assert!(!timer.is_reading());
        std::thread::sleep(STALL);
        assert!(timer.is_reading());
        actix_rt::time::sleep(Duration::from_millis(2 * READ_MS)).await;
        assert!(!timer.is_reading());
    });
}

/// Guards against a process that is stalled again and again and never considers anyone silent.
#[test]
fn a_timeout_expires_between_stalls() {
    let stall = Stall::new(Millis(0));
    let mut now = 0;
    let mut ran = 0;
    while stall.left_ms(0, 1_000) > 0 {
        now += 2_000;
        stall.record_tick(Millis(now));
        for _ in 0..10 {
            now += 50;
            ran += 50;
            stall.record_tick(Millis(now));
        }
        assert!(ran <= 1_500, "the timeout does not expire");
    }
}

/// Guards against a stall that uses up a timeout, or the time to read after it.
#[test]
fn quickcheck_a_stall_leaves_time_to_read() {
    fn holds(before: Vec<u8>, stall_ms: u32, limit_ms: u16) -> bool {
        let stall = Stall::new(Millis(0));
        let mut now = 0;
        for ms in &before {
            now += u64::from(*ms % 60);
            stall.record_tick(Millis(now));
        }
        let before_ms = stall.ran_ms();
        now += 200 + u64::from(stall_ms);
        stall.record_tick(Millis(now));
        let left_ms = stall.left_ms(0, u64::from(limit_ms));
        before_ms <= now && left_ms >= READ_MS && stall.ran_ms() <= before_ms + 50
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u8>, u32, u16) -> bool);
}
