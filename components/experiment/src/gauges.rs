//! Three ideas of "Multi-Resource Capacity and the Price of Anarchy" (Y. Polyulya, 2026) against a
//! gate that watches memory alone, on mixed short and long work with heavy tails:
//! the smallest headroom fraction over memory, prefill and link; memory counted by age; demand
//! counted before the gate.

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Tokens of cache that the engine holds.
const MEMORY: f64 = 100_000.0;
/// Prompt tokens that it prefills in a second.
const PREFILL: f64 = 9_000.0;
/// Prompt tokens whose cache the link carries in a second.
const LINK: f64 = 12_000.0;
/// Tokens that a generation produces in a second.
const RATE: f64 = 30.0;
/// Seconds of a step.
const STEP: f64 = 0.02;
/// Seconds of a run.
const SECONDS: f64 = 1_200.0;
/// Seconds of prefill or transfer that may be queued.
const BACKLOG: f64 = 1.0;
/// Seconds over which growth is foreseen.
const HORIZON: f64 = 30.0;
/// The share of memory that is kept free.
const MARGIN: f64 = 0.05;
/// The tail of long generations.
const ALPHA: f64 = 2.2;
/// The least tokens of a long generation.
const LEAST: f64 = 800.0;
/// Seconds between two steps of a trainer.
const STEP_EVERY: f64 = 60.0;
/// The most tokens of any generation.
const MOST: f64 = 8_000.0;

/// A way to admit.
#[derive(Clone, Copy, Debug)]
struct Gate {
    name: &'static str,
    all: bool,
    age: bool,
    demand: Demand,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Demand {
    None,
    After,
    Before,
}

const GATES: [Gate; 6] = [
    Gate { name: "memory now", all: false, age: false, demand: Demand::None },
    Gate { name: "memory by age", all: false, age: true, demand: Demand::None },
    Gate { name: "smallest headroom", all: true, age: false, demand: Demand::None },
    Gate { name: "smallest, by age", all: true, age: true, demand: Demand::None },
    Gate { name: "+ demand after gate", all: true, age: true, demand: Demand::After },
    Gate { name: "+ demand before gate", all: true, age: true, demand: Demand::Before },
];

struct Job {
    prompt: f64,
    tokens: f64,
    done: f64,
    long: bool,
    arrived: f64,
    started: bool,
}

#[derive(Default)]
struct Outcome {
    asked: u64,
    refused: u64,
    evicted: u64,
    produced: f64,
    wasted: f64,
    in_time: u64,
}

/// Prints the gates beside each other.
pub fn run(seed: u64) {
    println!(
        "{:<22} {:>6} {:>9} {:>9} {:>9} {:>10} {:>9} {:>9}",
        "gate", "load%", "refused%", "evicted", "wasted%", "useful t/s", "first p99", "in time%"
    );
    for (steps, load) in [(false, 0.8), (false, 1.5), (true, 0.5), (true, 0.8), (true, 1.5)] {
        println!("{}", if steps { "samples come by steps" } else { "long work comes at any time" });
        for gate in GATES {
            let (outcome, first) = simulate(gate, load, steps, seed);
            let useful = (outcome.produced - outcome.wasted) / SECONDS;
            println!(
                "{:<22} {:>6.0} {:>9.2} {:>9} {:>9.2} {:>10.0} {:>9} {:>9.2}",
                gate.name,
                load * 100.0,
                100.0 * outcome.refused as f64 / outcome.asked as f64,
                outcome.evicted,
                100.0 * outcome.wasted / outcome.produced,
                useful,
                first.value_at_quantile(0.99),
                100.0 * outcome.in_time as f64 / outcome.asked as f64,
            );
        }
    }
}

fn draw(rng: &mut SmallRng, now: f64, steps: bool) -> Job {
    // Every half minute, five seconds bring long prompts with short answers.
    let burst = now % 30.0 < 5.0;
    let u: f64 = rng.random();
    let (prompt, tokens) = match u {
        u if burst && u < 0.4 => (6_000.0, 30.0),
        u if u < 0.2 && !steps => return long(rng, now),
        _ => (500.0, 60.0),
    };
    Job { prompt, tokens, done: 0.0, long: false, arrived: now, started: false }
}

fn long(rng: &mut SmallRng, now: f64) -> Job {
    let v: f64 = rng.random_range(1.0e-6..1.0);
    let tokens = (LEAST * v.powf(-1.0 / ALPHA)).min(MOST);
    Job { prompt: 1_000.0, tokens, done: 0.0, long: true, arrived: now, started: false }
}

/// Expected growth of a running generation within the horizon, by its age.
///
/// A heavy tail has it that what has grown long will grow longer still: the mean rest of a Pareto
/// tail is proportional to the age (idea two: P + s*a, and its expectation).
fn growth(job: &Job) -> f64 {
    let rest = if job.long {
        job.done.max(LEAST) * ALPHA / (ALPHA - 1.0) - job.done
    } else {
        job.tokens - job.done
    };
    rest.min(RATE * HORIZON)
}

fn simulate(gate: Gate, load: f64, steps: bool, seed: u64) -> (Outcome, Histogram<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut first = Histogram::new_with_max(600_000, 2).expect("the bounds are sound");
    let mut running: Vec<Job> = Vec::new();
    let (mut prefill, mut link) = (0.0_f64, 0.0_f64);
    let mut seen = 0.0;
    // The mean memory of a request times its duration, by Little's law, gives the full load.
    let arrivals = load * 6.0;
    let mut now = 0.0;
    while now < SECONDS {
        now += STEP;
        prefill = (prefill - STEP * PREFILL).max(0.0);
        link = (link - STEP * LINK).max(0.0);
        // A step brings as many long requests at once as otherwise come in its time.
        let opens = steps && (now % STEP_EVERY) < STEP;
        let mut jobs: Vec<Job> = Vec::new();
        if opens {
            let count = (arrivals * 0.2 * STEP_EVERY) as usize;
            jobs.extend((0..count).map(|_| long(&mut rng, now)));
        }
        if rng.random_bool(arrivals * STEP) {
            jobs.push(draw(&mut rng, now, steps));
        }
        for job in jobs {
            outcome.asked += 1;
            let admitted = admits(gate, &running, &job, prefill, link, seen);
            let counted = match gate.demand {
                Demand::Before => true,
                _ => admitted,
            };
            if job.long && counted {
                seen += 1.0 / HORIZON;
            }
            if admitted {
                prefill += job.prompt;
                link += job.prompt;
                let wait = prefill / PREFILL + link / LINK;
                first.saturating_record((wait * 1_000.0) as u64 + 1);
                running.push(Job { arrived: now + wait, ..job });
                outcome.in_time += u64::from(wait < 2.0);
            } else {
                outcome.refused += 1;
            }
        }
        // The rate of long requests, as a running mean over the horizon.
        seen -= seen * STEP / HORIZON;
        for job in &mut running {
            job.started |= now >= job.arrived;
            if job.started {
                job.done += RATE * STEP;
                outcome.produced += RATE * STEP;
            }
        }
        running.retain(|job| job.done < job.tokens);
        let mut used: f64 = running.iter().map(|job| job.prompt + job.done).sum();
        while used > MEMORY {
            // The engine is full: it gives up the youngest generation, and all its work is lost.
            let Some(job) = running.pop() else { break };
            used -= job.prompt + job.done;
            outcome.evicted += 1;
            outcome.wasted += job.done;
            outcome.in_time = outcome.in_time.saturating_sub(1);
        }
    }
    (outcome, first)
}

fn admits(gate: Gate, running: &[Job], job: &Job, prefill: f64, link: f64, seen: f64) -> bool {
    let used: f64 = running.iter().map(|job| job.prompt + job.done).sum();
    let grown: f64 = running.iter().map(growth).sum();
    let foreseen = if gate.age { grown + growth(job) } else { 0.0 };
    // What arrives within the horizon has on the mean grown for half of it (idea three).
    let coming = match gate.demand {
        Demand::None => 0.0,
        Demand::After | Demand::Before => seen * HORIZON * (1_000.0 + RATE * HORIZON / 2.0),
    };
    // Urgent work may use what is kept for the long requests to come; these may not.
    let kept = if job.long { coming.min(MEMORY * 0.2) } else { 0.0 };
    let memory = 1.0 - (used + job.prompt + foreseen + kept) / MEMORY;
    let memory = memory - MARGIN;
    if !gate.all {
        return memory > 0.0;
    }
    let prefill = 1.0 - (prefill + job.prompt) / (PREFILL * BACKLOG);
    let link = 1.0 - (link + job.prompt) / (LINK * BACKLOG);
    memory.min(prefill).min(link) > 0.0
}
