//! Runs a generation, continued elsewhere when an attempt breaks off.

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

/// Why a generation ended that had all its tokens when its attempt broke off.
const LENGTH: &str = "length";

/// What a generation gives, piece by piece.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Some tokens.
    Tokens(Tokens),
    /// The explicit end and its reason; nothing follows.
    Finished(String),
}

/// A generation in progress. Dropped before its end, it is cancelled.
pub struct GenerationStream {
    attempts: Attempts,
    task: Generation,
    live: Option<LiveAttempt>,
    request_permit: Option<RequestPermit>,
    /// What it consists of so far.
    pub output: Output,
}

impl GenerationStream {
    /// Lets a generation in, waiting for room until its deadline.
    ///
    /// # Errors
    ///
    /// The refusal, always "not run".
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

    /// Gives the request.
    pub fn job(&self) -> &Job {
        &self.attempts.job
    }

    /// Tells where the present attempt runs.
    pub fn endpoint(&self) -> Option<Endpoint> {
        self.live.as_ref().map(|live| live.permit.pick.endpoint.clone())
    }

    /// Waits for the next piece.
    ///
    /// # Errors
    ///
    /// The final failure of the request.
    pub async fn next(&mut self) -> Result<Piece, Failure> {
        loop {
            let (live, came) = match &mut self.live {
                Some(live) => {
                    let came = live.attempt.next().await;
                    (live, came)
                }
                None => {
                    let came = self.begin().await?;
                    let Some(live) = &mut self.live else { continue };
                    (live, came)
                }
            };
            match came {
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
                Err(broken) => {
                    if let Some(piece) = self.recover(broken).await? {
                        return Ok(piece);
                    }
                }
            }
        }
    }

    /// Begins an attempt that continues after the tokens that came so far. The seed stays the
    /// same, so that the engine samples on from where the earlier attempt stood.
    ///
    /// It ends with the attempt's first event, or how the attempt broke off.
    async fn begin(&mut self) -> Result<Result<Event, AttemptError>, Failure> {
        let mut task = self.task.clone();
        task.prefix.push_str(&self.output.text);
        task.done += self.output.tokens;
        self.attempts.job.tokens = task.max_tokens.saturating_sub(task.done);
        let task = Task::Generate(task);
        if rescue::applies(&self.attempts.job) {
            let (live, event) = rescue::first(&mut self.attempts, &task).await?;
            self.live = Some(live);
            return Ok(Ok(event));
        }
        let live = self.live.insert(self.attempts.start(&task).await?);
        Ok(live.attempt.next().await)
    }

    async fn recover(&mut self, broken: AttemptError) -> Result<Option<Piece>, Failure> {
        let Some(live) = self.live.take() else { return Ok(None) };
        self.attempts.after(live, broken).await?;
        if self.output.tokens + self.task.done < self.task.max_tokens {
            return Ok(None);
        }
        self.finish();
        Ok(Some(Piece::Finished(LENGTH.to_owned())))
    }

    fn finish(&mut self) {
        self.live = None;
        background::clear_suspect(&self.attempts.context, &self.attempts.job);
        if let Some(mut request_permit) = self.request_permit.take() {
            request_permit.ran = true;
        }
    }
}
