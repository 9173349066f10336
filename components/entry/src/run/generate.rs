//! Runs a generation, continued elsewhere when an attempt breaks off.

use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Tokens;
use chicoryford_types::request::Generation;
use chicoryford_types::request::Task;

use crate::context::Context;
use crate::router::Entered;
use crate::router::Verdict;
use crate::run::attempt::Broken;
use crate::run::job::Job;
use crate::run::rescue;
use crate::run::settle;
use crate::run::spans::Whole;
use crate::run::tries::Live;
use crate::run::tries::Tries;

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
pub struct Generating {
    tries: Tries,
    task: Generation,
    live: Option<Live>,
    entered: Option<Entered>,
    /// What it consists of so far.
    pub whole: Whole,
}

impl Generating {
    /// Lets a generation in, waiting for room until its deadline.
    ///
    /// # Errors
    ///
    /// The refusal, always "not run".
    pub async fn enter(context: Context, job: Job, task: Generation) -> Result<Self, Failure> {
        let job = job.generating(&task);
        let (entered, first) = context.router.enter(job.want()).await?;
        let tries = Tries::new(context, job, first);
        Ok(Self { tries, task, live: None, entered: Some(entered), whole: Whole::default() })
    }

    /// Gives the request.
    pub fn job(&self) -> &Job {
        &self.tries.job
    }

    /// Tells where the present attempt runs.
    pub fn endpoint(&self) -> Option<Endpoint> {
        self.live.as_ref().map(|live| live.ticket.pick.endpoint.clone())
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
                    live.ticket.tokens += tokens.count;
                    self.whole.push(&tokens);
                    return Ok(Piece::Tokens(tokens));
                }
                Ok(Event::Finished(finish)) => {
                    live.ticket.verdict = Verdict::Ran(finish.load);
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
    async fn begin(&mut self) -> Result<Result<Event, Broken>, Failure> {
        let mut task = self.task.clone();
        task.prefix.push_str(&self.whole.text);
        task.done += self.whole.tokens;
        self.tries.job.tokens = task.max_tokens.saturating_sub(task.done);
        let task = Task::Generate(task);
        if rescue::applies(&self.tries.job) {
            let (live, event) = rescue::first(&mut self.tries, &task).await?;
            self.live = Some(live);
            return Ok(Ok(event));
        }
        let live = self.live.insert(self.tries.start(&task).await?);
        Ok(live.attempt.next().await)
    }

    async fn recover(&mut self, broken: Broken) -> Result<Option<Piece>, Failure> {
        let Some(live) = self.live.take() else { return Ok(None) };
        self.tries.after(live, broken).await?;
        if self.whole.tokens + self.task.done < self.task.max_tokens {
            return Ok(None);
        }
        self.finish();
        Ok(Some(Piece::Finished(LENGTH.to_owned())))
    }

    fn finish(&mut self) {
        self.live = None;
        settle::cleared(&self.tries.context, &self.tries.job);
        if let Some(mut entered) = self.entered.take() {
            entered.ran = true;
        }
    }
}
