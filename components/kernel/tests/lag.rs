//! Tests of the lag of a thread.

use std::time::Duration;

use chicoryford_kernel::lag::Lag;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_types::Millis;
use quickcheck::QuickCheck;

const INTERVAL_MS: u64 = 50;

/// Returns the highest mean of a thread that runs and stands still in turns, each for the given
/// milliseconds. While it runs, it records a tick every `busy_ms`, as requests do.
fn highest_mean(turns: &[(u64, u64)], busy_ms: u64) -> u64 {
    let (mut lag, mut now, mut highest) = (Lag::default(), 0, 0);
    lag.restart(Millis(now));
    lag.schedule(INTERVAL_MS);
    let mut due = now + INTERVAL_MS;
    for (run_ms, stall_ms) in turns {
        for ms in 0..*run_ms {
            now += 1;
            if now >= due {
                lag.record_scheduled(Millis(now));
                lag.schedule(INTERVAL_MS);
                due = now + INTERVAL_MS;
            } else if ms % busy_ms == 0 {
                lag.record_tick(Millis(now));
            }
            highest = highest.max(lag.mean_ms(Millis(now)));
        }
        now += stall_ms;
    }
    highest
}

/// Guards against reporting overload where a process gets a fraction of a core, so that its thread
/// stands still for about 100 ms again and again, and where a VM is frozen.
#[test]
fn a_thread_that_stands_still_again_and_again_does_not_lag() {
    // 0.068 of a core, 0.22 of a core, and stalls whose phase shifts against the ticks.
    for turn in [(7, 93), (22, 78), (20, 100), (30, 100), (49, 101)] {
        for busy_ms in [1, 5, 100] {
            let mean = highest_mean(&[turn; 200], busy_ms);
            assert!(mean <= 50, "{mean} ms for {turn:?}, busy {busy_ms}");
        }
    }
    assert!(highest_mean(&[(500, 6_000), (2_000, 0)], 5) <= 50, "a frozen VM");
}

/// Guards against a stall of any length, at any moment, that counts as more than 50 ms.
#[test]
fn quickcheck_no_sequence_of_stalls_is_a_long_lag() {
    fn holds(turns: Vec<(u8, u16)>, busy_ms: u8) -> bool {
        let turn = |(run, stall): (u8, u16)| (u64::from(run).max(1), u64::from(stall));
        let turns: Vec<(u64, u64)> = turns.into_iter().map(turn).collect();
        highest_mean(&turns, u64::from(busy_ms).max(1)) <= 50
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(Vec<(u8, u16)>, u8) -> bool);
}

/// Guards against a thread whose work is queued for longer and longer without being noticed.
#[test]
fn a_busy_thread_lags_by_the_length_of_its_queue() {
    let mut lag = Lag::default();
    lag.restart(Millis(0));
    let mut now = 0;
    for _ in 0..10 {
        lag.schedule(INTERVAL_MS);
        // Requests of 10 ms each run before the tick.
        for _ in 0..25 {
            now += 10;
            lag.record_tick(Millis(now));
        }
        lag.record_scheduled(Millis(now));
    }
    assert_eq!(lag.mean_ms(Millis(now)), 200);
    assert_eq!(lag.mean_ms(Millis(now + 1_000)), 0, "only the last second counts");
}

/// Guards against ticks that are not measured, or not on the thread of the timer.
#[test]
fn the_lag_of_a_runtime_is_measured() {
    actix_rt::System::new().block_on(async {
        let timer = RunTimer::start();
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let busy: Vec<_> = (0..40)
            .map(|_| {
                actix_rt::spawn(async {
                    for _ in 0..5 {
                        std::thread::sleep(Duration::from_millis(10));
                        RunTimer::start();
                        actix_rt::task::yield_now().await;
                    }
                })
            })
            .collect();
        for task in busy {
            task.await.unwrap();
        }
        actix_rt::time::sleep(Duration::from_millis(60)).await;
        let lag_ms = timer.lag_ms();
        assert!(lag_ms > 150, "{lag_ms} ms while each round of the tasks takes 400 ms");
    });
}
