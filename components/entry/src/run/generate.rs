//! Runs a generation and continues it at another endpoint when an attempt fails.

use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Tokens;
use chicoryford_types::request::Generation;
use chicoryford_types::request::Task;

use crate::context::Context;
use crate::router::AttemptEnd;
use crate::router::RequestPermit;
use crate::run::attempt::AttemptError;
use crate::run::attempts::Attempts;
use crate::run::attempts::LiveAttempt;
use crate::run::background;
use crate::run::job::Job;
use crate::run::rescue;
use crate::run::spans::Output;

/// Finish reason of a generation whose attempt failed after all tokens had been received.
const FINISH_LENGTH: &str = "length";

/// An item of a generation stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Some tokens.
    Tokens(Tokens),
    /// The explicit end with the finish reason. Nothing follows it.
    Finished(String),
}

/// A generation in progress. If it is dropped before its end, it is cancelled.
pub struct GenerationStream {
    attempts: Attempts,
    task: Generation,
    live: Option<LiveAttempt>,
    request_permit: Option<RequestPermit>,
    /// The output received so far.
    pub output: Output,
}

impl GenerationStream {
    /// Waits until the generation is admitted, at most until its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal, whose outcome is always "not run".
    pub async fn enter(context: Context, job: Job, task: Generation) -> Result<Self, Failure> {
        let job = job.with_generation(&task);
        let (request_permit, first) = context.router.admit(job.endpoint_query()).await?;
        let attempts = Attempts::new(context, job, first);
        Ok(Self {
            attempts,
            task,
            live: None,
            request_permit: Some(request_permit),
            output: Output::default(),
        })
    }

    /// Returns the request.
    pub fn job(&self) -> &Job {
        &self.attempts.job
    }

    /// Returns the endpoint of the current attempt, if there is one.
    pub fn endpoint(&self) -> Option<Endpoint> {
        self.live.as_ref().map(|live| live.permit.pick.endpoint.clone())
    }

    /// Waits for the next piece.
    ///
    /// # Errors
    ///
    /// Returns the final failure of the request.
    pub async fn next(&mut self) -> Result<Piece, Failure> {
        loop {
            let (live, event) = match &mut self.live {
                Some(live) => {
                    let event = live.attempt.next().await;
                    (live, event)
                }
                None => {
                    let event = self.start_attempt().await?;
                    let Some(live) = &mut self.live else { continue };
                    (live, event)
                }
            };
            match event {
                Ok(Event::Tokens(tokens)) => {
                    live.permit.tokens += tokens.count;
                    self.output.push(&tokens);
                    return Ok(Piece::Tokens(tokens));
                }
                Ok(Event::Finished(finish)) => {
                    live.permit.end = AttemptEnd::Ran(finish.load);
                    self.finish();
                    return Ok(Piece::Finished(finish.reason));
                }
                Ok(_) => {}
                Err(error) => {
                    if let Some(piece) = self.recover(error).await? {
                        return Ok(piece);
                    }
                }
            }
        }
    }

    /// Starts an attempt that continues after the tokens received so far. The seed stays the same,
    /// so that the engine continues sampling where the previous attempt ended.
    ///
    /// Returns the first event of the attempt, or the error if the attempt failed before it.
    async fn start_attempt(&mut self) -> Result<Result<Event, AttemptError>, Failure> {
        let mut task = self.task.clone();
        task.prefix.push_str(&self.output.text);
        task.done += self.output.tokens;
        self.attempts.job.tokens = task.max_tokens.saturating_sub(task.done);
        let task = Task::Generate(task);
        if rescue::is_eligible(&self.attempts.job) {
            let (live, event) = rescue::first_event(&mut self.attempts, &task).await?;
            self.live = Some(live);
            return Ok(Ok(event));
        }
        let live = self.live.insert(self.attempts.start(&task).await?);
        Ok(live.attempt.next().await)
    }

    async fn recover(&mut self, error: AttemptError) -> Result<Option<Piece>, Failure> {
        let Some(live) = self.live.take() else { return Ok(None) };
        let is_whole = self.output.tokens + self.task.done >= self.task.max_tokens;
        if is_whole && !matches!(error, AttemptError::NotRun(_)) {
            // Only the end of the stream is missing. The attempt did not complete, so it does not
            // clear a suspicion: a content may crash endpoints after its last token.
            self.attempts.abandon(live, error);
            self.release();
            return Ok(Some(Piece::Finished(FINISH_LENGTH.to_owned())));
        }
        self.attempts.recover(live, error).await?;
        Ok(None)
    }

    fn finish(&mut self) {
        self.live = None;
        background::clear_suspect(&self.attempts.context, &self.attempts.job);
        self.release();
    }

    fn release(&mut self) {
        if let Some(mut request_permit) = self.request_permit.take() {
            request_permit.ran = true;
        }
    }
}
