//! Checks the run by the records that trainers, callers, engines and services wrote themselves, and
//! not by the service's own metrics or logs.

use std::collections::BTreeMap;
use std::path::PathBuf;

use chicoryford_standin::caller::Fate;
use chicoryford_standin::scorer;
use chicoryford_standin::scorer::Question;
use eyre::Result;

use crate::deployment::Deployment;
use crate::disruptions::Disruptions;
use crate::load::LoadResults;
use crate::load::SampleFile;
use chicoryford_standin::matching;
use chicoryford_standin::matching::Matches;
use chicoryford_standin::records;
use chicoryford_standin::records::CallLine;
use chicoryford_standin::records::EngineLine;
use chicoryford_standin::records::Ran;
use chicoryford_standin::records::SampleLine;
use chicoryford_standin::records::ServiceLine;
use chicoryford_standin::records::Whole;

/// Milliseconds after which an endpoint whose stop is in force must start no new work.
const STOP_GRACE_MS: u64 = 5_000;

/// The violations that were found. All counts must be zero, except `unknown` after a process was
/// killed and the number of compared records in `matches`.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Samples delivered twice, and labels printed twice.
    pub duplicates: u64,
    /// Samples and answers that were never delivered.
    pub lost: u64,
    /// The comparison of the versions of samples and answers with the engines' records.
    pub matches: Matches,
    /// Samples and answers with wrong content.
    pub wrong: u64,
    /// Samples whose score does not belong to their own prompt and text.
    pub misscored: u64,
    /// Samples older than their bound.
    pub stale: u64,
    /// Retried pulls that returned other bytes.
    pub changed: u64,
    /// Calls that ran but were refused as "not run".
    pub false_not_run: u64,
    /// Requests that were cut off by a planned stop.
    pub cut_off: u64,
    /// Requests that an endpoint started more than [`STOP_GRACE_MS`] after its stop was in force.
    pub started_late: u64,
    /// Processes that did not stop with exit code 0.
    pub unclean: Vec<String>,
    /// Answers with an unknown outcome. They are a violation only if no process was killed.
    pub unknown: u64,
}

impl Verdict {
    /// Returns whether no guarantee was violated.
    pub fn is_clean(&self, killed: bool) -> bool {
        let violations = self.duplicates
            + self.lost
            + self.matches.misattributed
            + self.wrong
            + self.misscored
            + self.stale
            + self.changed
            + self.false_not_run
            + self.cut_off
            + self.started_late;
        violations == 0
            && self.unclean.is_empty()
            && (killed || self.unknown == 0)
            && self.matches.checked > 0
    }
}

/// Checks the run and returns the violations.
pub fn verify_run(
    deployment: &Deployment,
    results: &LoadResults,
    unclean: &[String],
    disruptions: &Disruptions,
) -> Result<Verdict> {
    let mut verdict = Verdict { unclean: unclean.to_vec(), ..Verdict::default() };
    for report in results.trainers.values() {
        verdict.duplicates += report.doubled;
        verdict.lost += report.lost;
        verdict.wrong += report.wrong;
        verdict.stale += report.stale;
        verdict.changed += report.changed;
    }
    for counts in results.callers.values() {
        verdict.wrong += counts.get(&Fate::Wrong).copied().unwrap_or_default();
        verdict.unknown += counts.get(&Fate::Unknown).copied().unwrap_or_default();
    }
    let engines: Vec<PathBuf> =
        deployment.endpoints.iter().map(|endpoint| endpoint.record.clone()).collect();
    let requests = records::requests(&engines)?;
    verify_samples(&mut verdict, &requests, &results.samples)?;
    for file in &results.calls {
        verdict.matches += matching::calls(&requests, file)?;
    }
    verify_labels(&mut verdict, &engines, &results.calls)?;
    verify_stop(&mut verdict, deployment, disruptions)?;
    Ok(verdict)
}

/// Checks that each sample matches an answer in an engine's record, and that no two samples match
/// the same answer.
fn verify_samples(
    verdict: &mut Verdict,
    requests: &BTreeMap<String, Ran>,
    files: &[SampleFile],
) -> Result<()> {
    let mut complete: Vec<Vec<Whole>> = requests.values().map(Ran::answers).collect();
    for file in files {
        verdict.matches += matching::samples(&mut complete, &file.model, &file.file)?;
        if !file.scored {
            continue;
        }
        let samples = records::read::<SampleLine>(&file.file)?;
        let wrong = samples.iter().filter(|s| s.event == "sample" && !has_own_score(file, s));
        verdict.misscored += wrong.count() as u64;
    }
    Ok(())
}

/// Returns whether a sample has the score of its own prompt and text. The stand-in scorer is
/// deterministic, so that this detects samples that were scored for another prompt or delivered
/// under one.
fn has_own_score(file: &SampleFile, sample: &SampleLine) -> bool {
    let prompt = format!("step {} group {} of run {}", sample.step, sample.group, file.seed);
    let question = Question { prompt, text: sample.text.clone() };
    sample.score == Some(scorer::score(&question).score)
}

/// Checks that each idempotency key ran at most once, exactly once if its caller got an answer, and
/// never if the call was refused as not run.
fn verify_labels(verdict: &mut Verdict, services: &[PathBuf], files: &[PathBuf]) -> Result<()> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for file in services {
        for line in records::read::<ServiceLine>(file)?.into_iter().filter(|l| !l.key.is_empty()) {
            *runs.entry(line.key).or_default() += 1;
        }
    }
    verdict.duplicates += runs.values().filter(|count| **count > 1).count() as u64;
    for file in files {
        for call in records::read::<CallLine>(file)?.into_iter().filter(|c| !c.key.is_empty()) {
            let ran = runs.contains_key(&call.key);
            match call.fate.as_str() {
                "not_run" => verdict.false_not_run += u64::from(ran),
                "on_time" | "late" => verdict.lost += u64::from(!ran),
                _ => {}
            }
        }
    }
    Ok(())
}

/// Checks that a sampler with a planned stop finished its requests and started no new ones.
fn verify_stop(
    verdict: &mut Verdict,
    deployment: &Deployment,
    disruptions: &Disruptions,
) -> Result<()> {
    let Some((name, from, to)) = &disruptions.stopped else { return Ok(()) };
    let Some(endpoint) = deployment.endpoints.iter().find(|endpoint| endpoint.name == *name) else {
        return Ok(());
    };
    for line in records::read::<EngineLine>(&endpoint.record)? {
        let during = line.at > *from && line.at < *to;
        if line.event == "end" && during {
            verdict.cut_off += u64::from(line.how != "stop" && line.how != "length");
        }
        if line.event == "start" {
            verdict.started_late += u64::from(line.at > *from + STOP_GRACE_MS && line.at < *to);
        }
    }
    Ok(())
}
