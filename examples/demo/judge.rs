//! Judges the run by what trainers, callers, engines and services recorded themselves. Nothing
//! that the system says of itself counts here.

use std::collections::BTreeMap;
use std::path::PathBuf;

use chicoryford_standin::caller::Fate;
use chicoryford_standin::scorer;
use chicoryford_standin::scorer::Question;
use eyre::Result;

use crate::drive::Driven;
use crate::drive::SampleFile;
use crate::layout::Layout;
use crate::mishap::Mishaps;
use chicoryford_standin::matching;
use chicoryford_standin::matching::Matches;
use chicoryford_standin::records;
use chicoryford_standin::records::CallLine;
use chicoryford_standin::records::EngineLine;
use chicoryford_standin::records::Ran;
use chicoryford_standin::records::SampleLine;
use chicoryford_standin::records::ServiceLine;
use chicoryford_standin::records::Whole;

/// Milliseconds in which a stop in force must have kept new work away.
const STOP_MS: u64 = 5_000;

/// What was found; all but `unknown` and what was compared must be zero.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Samples delivered twice, and labels printed twice.
    pub doubled: u64,
    /// Samples and answers that never came.
    pub lost: u64,
    /// How the versions of samples and answers compare with what the engines recorded.
    pub matches: Matches,
    /// Samples and answers with wrong content.
    pub wrong: u64,
    /// Samples whose score is not that of their own prompt and text.
    pub misscored: u64,
    /// Samples older than their bound.
    pub stale: u64,
    /// Pulls sent again that gave other bytes.
    pub changed: u64,
    /// Refusals as "not run" of calls that ran.
    pub false_not_run: u64,
    /// Requests cut by a planned stop.
    pub cut: u64,
    /// Requests that a stopping endpoint began after the stop was in force.
    pub begun_late: u64,
    /// Processes that did not stop with exit code 0.
    pub unclean: Vec<String>,
    /// Answers "unknown"; a fault of the run only if nothing was killed.
    pub unknown: u64,
}

impl Verdict {
    /// Tells whether every promise was kept.
    pub fn is_clean(&self, killed: bool) -> bool {
        let broken = self.doubled
            + self.lost
            + self.matches.misattributed
            + self.wrong
            + self.misscored
            + self.stale
            + self.changed
            + self.false_not_run
            + self.cut
            + self.begun_late;
        broken == 0
            && self.unclean.is_empty()
            && (killed || self.unknown == 0)
            && self.matches.checked > 0
    }
}

/// Judges the run.
pub fn judge(
    layout: &Layout,
    driven: &Driven,
    unclean: &[String],
    mishaps: &Mishaps,
) -> Result<Verdict> {
    let mut verdict = Verdict { unclean: unclean.to_vec(), ..Verdict::default() };
    for report in driven.trainers.values() {
        verdict.doubled += report.doubled;
        verdict.lost += report.lost;
        verdict.wrong += report.wrong;
        verdict.stale += report.stale;
        verdict.changed += report.changed;
    }
    for counts in driven.callers.values() {
        verdict.wrong += counts.get(&Fate::Wrong).copied().unwrap_or_default();
        verdict.unknown += counts.get(&Fate::Unknown).copied().unwrap_or_default();
    }
    let engines: Vec<PathBuf> = layout.places.iter().map(|place| place.record.clone()).collect();
    let requests = records::requests(&engines)?;
    judge_samples(&mut verdict, &requests, &driven.samples)?;
    for file in &driven.calls {
        verdict.matches += matching::calls(&requests, file)?;
    }
    judge_labels(&mut verdict, &engines, &driven.calls)?;
    judge_stop(&mut verdict, layout, mishaps)?;
    Ok(verdict)
}

/// Each sample must match an answer that an engine recorded, and no two the same one.
fn judge_samples(
    verdict: &mut Verdict,
    requests: &BTreeMap<String, Ran>,
    files: &[SampleFile],
) -> Result<()> {
    let mut wholes: Vec<Whole> = requests.values().filter_map(Ran::whole).collect();
    for file in files {
        verdict.matches += matching::samples(&mut wholes, &file.model, &file.file)?;
        if !file.scored {
            continue;
        }
        let samples = records::read::<SampleLine>(&file.file)?;
        let wrong = samples.iter().filter(|s| s.event == "sample" && !is_scored(file, s));
        verdict.misscored += wrong.count() as u64;
    }
    Ok(())
}

/// The stand-in scorer gives the same score for the same prompt and text, so that a sample which
/// was scored for another prompt, or delivered under one, shows here.
fn is_scored(file: &SampleFile, sample: &SampleLine) -> bool {
    let prompt = format!("step {} group {} of run {}", sample.step, sample.group, file.seed);
    let question = Question { prompt, text: sample.text.clone() };
    sample.score == Some(scorer::score(&question).score)
}

/// A key may run once at most; once exactly if its caller got an answer; never if it was told so.
fn judge_labels(verdict: &mut Verdict, services: &[PathBuf], files: &[PathBuf]) -> Result<()> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for file in services {
        for line in records::read::<ServiceLine>(file)?.into_iter().filter(|l| !l.key.is_empty()) {
            *runs.entry(line.key).or_default() += 1;
        }
    }
    verdict.doubled += runs.values().filter(|count| **count > 1).count() as u64;
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

/// A stopped sampler finishes what it has and begins nothing new.
fn judge_stop(verdict: &mut Verdict, layout: &Layout, mishaps: &Mishaps) -> Result<()> {
    let Some((endpoint, from, to)) = &mishaps.stopped else { return Ok(()) };
    let Some(place) = layout.places.iter().find(|place| place.endpoint == *endpoint) else {
        return Ok(());
    };
    for line in records::read::<EngineLine>(&place.record)? {
        let during = line.at > *from && line.at < *to;
        if line.event == "end" && during {
            verdict.cut += u64::from(line.how != "stop" && line.how != "length");
        }
        if line.event == "start" {
            verdict.begun_late += u64::from(line.at > *from + STOP_MS && line.at < *to);
        }
    }
    Ok(())
}
