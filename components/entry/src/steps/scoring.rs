//! Makes a record of a generation that is whole: its score, its spans, its bytes.

use std::time::Duration;

use bytes::Bytes;
use chicoryford_ledger::Body;
use chicoryford_ledger::Record;
use chicoryford_types::Code;
use chicoryford_types::Digest;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Sample;
use chicoryford_types::Template;
use chicoryford_types::request::ServiceCall;
use serde::Deserialize;
use serde_json::json;

use crate::run::Job;
use crate::run::service_call;
use crate::run::spans::Output;
use crate::steps::sample::PAUSE_BOUND;
use crate::steps::sample::RetryReason;
use crate::steps::sample::SampleTask;

/// How often a generation is given to the scoring service before it is made anew.
const SCORINGS: u32 = 8;
/// The path at which scoring services answer.
const SCORE: &str = "/score";

#[derive(Deserialize)]
struct Scored {
    score: f64,
}

impl SampleTask {
    /// Scores a generation, asking again if the scoring service fails: its tokens are whole, and
    /// to make them anew would waste them.
    pub(super) async fn scored(
        &self,
        template: &Template,
        output: &Output,
    ) -> Result<Option<f64>, RetryReason> {
        let mut tries = 0;
        loop {
            tries += 1;
            match self.score(template, output).await {
                Ok(score) => return Ok(score),
                Err(failure) if tries >= SCORINGS || self.is_stale(output) => {
                    return Err(RetryReason::Failed(failure));
                }
                Err(_) => actix_rt::time::sleep(Duration::from_millis(PAUSE_BOUND / 4)).await,
            }
        }
    }

    async fn score(&self, template: &Template, output: &Output) -> Result<Option<f64>, Failure> {
        let Some(scorer) = &template.scorer else { return Ok(None) };
        let prompt = &self.progress.spec.groups[self.id.group.0 as usize].prompt;
        let body = json!({"prompt": prompt, "text": output.text}).to_string();
        let call = ServiceCall {
            path: SCORE.to_owned(),
            media: "application/json".to_owned(),
            body: Bytes::from(body),
        };
        let avoid = Vec::new();
        let job = Job { model: scorer.clone(), floor: None, avoid, ..self.job(template, prompt) };
        let job = Job { fingerprint: Fingerprint::of(&call.body), suspect: false, ..job };
        let served = service_call::call(&self.context, job, call).await?;
        let scored = serde_json::from_slice::<Scored>(&served.answer.body);
        let scored = scored.map_err(|error| {
            let detail = format!("the scoring service's answer cannot be read: {error}");
            Failure::unknown(Code::EndpointFailed, detail)
        })?;
        Ok(Some(scored.score))
    }

    /// Makes the record, with the bytes still in it.
    pub(super) fn record(
        &self,
        output: &Output,
        attempts: u32,
        score: Option<f64>,
    ) -> Option<Record> {
        let spans = output.spans()?;
        // Log-probabilities that some attempt did not give cannot be matched to tokens.
        let complete = output.logprobs.len() == output.tokens as usize;
        let sample = Sample {
            step: self.key.step,
            group: self.id.group,
            number: self.id.number,
            text: output.text.clone(),
            tokens: output.tokens,
            spans: spans.clone(),
            logprobs: if complete { output.logprobs.clone() } else { Vec::new() },
            attempts,
            score,
            age_ms: self.context.now().since(self.begun),
        };
        let bytes = serde_json::to_vec(&sample).expect("a sample is plain data");
        let digest = Digest::of(&bytes);
        let body = Body::Inline(Bytes::from(bytes));
        Some(Record { spans, tokens: output.tokens, digest, body })
    }
}
