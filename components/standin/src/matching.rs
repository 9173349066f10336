//! Compares the versions that samples and answers name with those that the engines recorded.

use std::collections::BTreeMap;
use std::io::Result;
use std::ops::AddAssign;
use std::path::Path;

use crate::records;
use crate::records::CallLine;
use crate::records::Ran;
use crate::records::SampleLine;
use crate::records::Span;
use crate::records::SpanLine;
use crate::records::Whole;

/// How samples and answers compare with what the engines recorded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Matches {
    /// Samples and answers that were compared.
    pub checked: u64,
    /// Those whose first tokens came from an engine that was killed and could not record them;
    /// the rest of their tokens was compared.
    pub prefixes: u64,
    /// Those whose versions are not the ones that the engines recorded; must be zero.
    pub misattributed: u64,
}

impl AddAssign for Matches {
    fn add_assign(&mut self, other: Self) {
        self.checked += other.checked;
        self.prefixes += other.prefixes;
        self.misattributed += other.misattributed;
    }
}

/// Compares a trainer's record: each sample must match an answer that an engine recorded, and no
/// two the same one. What matched is taken out of `wholes`.
///
/// # Errors
///
/// What the operating system says.
pub fn samples(wholes: &mut Vec<Whole>, model: &str, file: &Path) -> Result<Matches> {
    let mut found = Matches::default();
    for sample in records::read::<SampleLine>(file)? {
        if sample.event != "sample" {
            continue;
        }
        found.checked += 1;
        let spans = records::known(&sample.spans).unwrap_or_default();
        let fits = |w: &Whole, whole: bool| {
            w.model == model && (w.from == 0) == whole && fits_spans(w, &spans)
        };
        let at = wholes.iter().position(|w| fits(w, true));
        let at = at.or_else(|| wholes.iter().position(|w| fits(w, false)));
        match at.map(|at| wholes.swap_remove(at)) {
            Some(whole) => found.prefixes += u64::from(whole.from > 0),
            None => found.misattributed += 1,
        }
    }
    Ok(found)
}

/// Compares a caller's record: an answer names its request, so that it must match that very one.
///
/// # Errors
///
/// What the operating system says.
pub fn calls(requests: &BTreeMap<String, Ran>, file: &Path) -> Result<Matches> {
    let mut found = Matches::default();
    for call in records::read::<CallLine>(file)? {
        let Some(request) = call.answer["request"].as_str() else { continue };
        found.checked += 1;
        let spans: Vec<SpanLine> =
            serde_json::from_value(call.answer["spans"].clone()).unwrap_or_default();
        let whole = requests.get(request).and_then(Ran::whole);
        match (records::known(&spans), whole) {
            (Some(spans), Some(whole)) if fits_spans(&whole, &spans) => {
                found.prefixes += u64::from(whole.from > 0);
            }
            _ => found.misattributed += 1,
        }
    }
    Ok(found)
}

fn fits_spans(whole: &Whole, spans: &[Span]) -> bool {
    !spans.is_empty() && records::tail(spans, whole.from) == whole.spans
}
