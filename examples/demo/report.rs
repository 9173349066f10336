//! Prints the report of the run.

use chicoryford_standin::caller::Counts;
use chicoryford_standin::caller::Fate;
use chicoryford_standin::matching::Matches;
use chicoryford_standin::trainer::Report;

use crate::load::LoadResults;
use crate::verify::Verdict;

/// Prints the trainers' reports, the callers' counts and the violations.
pub fn print(results: &LoadResults, verdict: &Verdict) {
    println!("\ntrainer         steps samples  tokens  idle  not training  lag mean/max  versions");
    for (name, report) in &results.trainers {
        print_trainer(name, report);
    }
    println!("\ncaller          on time   late  not run  unknown  wrong");
    for (name, counts) in &results.callers {
        print_caller(name, counts);
    }
    println!();
    print_verdict(verdict);
}

fn print_trainer(name: &str, report: &Report) {
    let idle = 100.0 * report.idle_ms as f64 / report.total_ms.max(1) as f64;
    let trained = 100.0 * report.trained_ms as f64 / report.total_ms.max(1) as f64;
    let lag = report.lag as f64 / report.samples.max(1) as f64;
    println!(
        "{name:15} {:5} {:7} {:7} {idle:4.0}%  {:11.0}%  {lag:8.2}/{:<3}  {:8}",
        report.steps,
        report.samples,
        report.tokens,
        100.0 - trained,
        report.lag_max,
        report.version,
    );
}

fn print_caller(name: &str, counts: &Counts) {
    let count = |fate: Fate| counts.get(&fate).copied().unwrap_or_default();
    println!(
        "{name:15} {:7} {:6} {:8} {:8} {:6}",
        count(Fate::OnTime),
        count(Fate::Late),
        count(Fate::NotRun),
        count(Fate::Unknown),
        count(Fate::Wrong),
    );
}

fn print_verdict(verdict: &Verdict) {
    let Matches { checked, prefixes, misattributed } = verdict.matches;
    println!(
        "checked against the engines' own records: {checked} ({prefixes} continued from the prefix of a killed engine)"
    );
    let lines = [
        ("doubled", verdict.duplicates),
        ("lost", verdict.lost),
        ("misattributed", misattributed),
        ("wrong", verdict.wrong),
        ("scored for another prompt", verdict.misscored),
        ("stale", verdict.stale),
        ("changed on a second pull", verdict.changed),
        ("falsely refused as not run", verdict.false_not_run),
        ("cut by a planned stop", verdict.cut_off),
        ("begun after a planned stop", verdict.started_late),
    ];
    for (name, count) in lines {
        println!("{name:28} {count}");
    }
    for process in &verdict.unclean {
        println!("did not stop cleanly: {process}");
    }
}
