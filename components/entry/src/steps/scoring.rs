//! Scores a complete generation and builds its ledger record.

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
use crate::steps::sample::MAX_BACKOFF_MS;
use crate::steps::sample::RetryReason;
use crate::steps::sample::SampleTask;

/// Number of scoring attempts for one generation before the sample is generated again.
const MAX_SCORING_ATTEMPTS: u32 = 8;
/// Path of the scoring request.
const SCORE_PATH: &str = "/score";

#[derive(Deserialize)]
struct ScoreReply {
    score: f64,
}

impl SampleTask {
    /// Scores a generation and retries if the scoring service fails, because generating the sample
    /// again would waste its tokens. Gives up when the generation has become stale.
    pub(super) async fn score_with_retry(
        &self,
        template: &Template,
        output: &Output,
    ) -> Result<Option<f64>, RetryReason> {
        let mut attempt = 0;
        loop {
            attempt += 1;
            match self.score(template, output).await {
                Ok(score) => return Ok(score),
                Err(failure) if attempt >= MAX_SCORING_ATTEMPTS || self.is_stale(output) => {
                    return Err(RetryReason::Failed(failure));
                }
                Err(_) => actix_rt::time::sleep(Duration::from_millis(MAX_BACKOFF_MS / 4)).await,
            }
        }
    }

    async fn score(&self, template: &Template, output: &Output) -> Result<Option<f64>, Failure> {
        let Some(scorer) = &template.scorer else { return Ok(None) };
        let prompt = &self.progress.spec.groups[self.id.group.0 as usize].prompt;
        let body = json!({"prompt": prompt, "text": output.text}).to_string();
        let call = ServiceCall {
            path: SCORE_PATH.to_owned(),
            media: "application/json".to_owned(),
            body: Bytes::from(body),
        };
        let avoid = Vec::new();
        let job = Job { model: scorer.clone(), floor: None, avoid, ..self.job(template, prompt) };
        let job = Job { fingerprint: Fingerprint::of(&call.body), suspect: false, ..job };
        let served = service_call::call(&self.context, job, call).await?;
        let scored = serde_json::from_slice::<ScoreReply>(&served.answer.body);
        let scored = scored.map_err(|error| {
            let detail = format!("cannot parse the response of the scoring service: {error}");
            Failure::unknown(Code::EndpointFailed, detail)
        })?;
        Ok(Some(scored.score))
    }

    /// Builds the record with the bytes inline. Returns `None` if the version of some token is
    /// unknown.
    pub(super) fn build_record(
        &self,
        output: &Output,
        attempts: u32,
        score: Option<f64>,
    ) -> Option<Record> {
        let spans = output.spans()?;
        // If some attempt returned no log-probabilities, the others cannot be matched to tokens.
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
            age_ms: self.context.now().since(self.step_started),
        };
        let bytes = serde_json::to_vec(&sample).expect("a sample is plain data");
        let digest = Digest::of(&bytes);
        let body = Body::Inline(Bytes::from(bytes));
        Some(Record { spans, tokens: output.tokens, digest, body })
    }
}
