//! Runs a call that may not be repeated: at most once, whatever is lost on the way.
//!
//! The claim on (workspace, key) is decided by the control processes before anything is sent.
//! The agent that is named in the claim is the last gate, and remembers the answer. Whoever
//! resends the call, through whichever entry, finds the claim and asks that agent.

mod answers;
pub mod outcome;

use std::time::Duration;

use chicoryford_state::Assigned;
use chicoryford_state::ClaimEnd;
use chicoryford_state::Command;
use chicoryford_state::Refusal;
use chicoryford_state::Reply;
use chicoryford_types::Attempt as Number;
use chicoryford_types::Code;
use chicoryford_types::Digest;
use chicoryford_types::Failure;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::request::AttemptQuestion;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::ServiceCall;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;

use crate::context::Context;
use crate::router::AttemptEnd;
use crate::router::AttemptPermit;
use crate::run::at_most_once::answers::RETRY;
use crate::run::at_most_once::answers::assigned;
use crate::run::at_most_once::answers::ended;
use crate::run::at_most_once::answers::refused;
use crate::run::at_most_once::answers::unknown;
use crate::run::attempt::Attempt;
use crate::run::attempt::AttemptError;
use crate::run::attempts;
use crate::run::attempts::LiveAttempt;
use crate::run::background;
use crate::run::job::Job;
use crate::run::probe;
use crate::run::service_call;
use crate::run::service_call::ServiceReply;

/// The longest wait for a claim to be decided.
const CLAIM: Duration = Duration::from_secs(5);
/// The first wait before an agent is asked again, in milliseconds; it doubles each time.
const ASK: u64 = 50;
/// The longest such wait, in milliseconds.
const ASK_BOUND: u64 = 1_000;

/// Who holds the claim, and where its attempt is.
#[derive(Clone, Debug)]
struct Holder {
    request: RequestId,
    attempt: Number,
    to: Assigned,
}

/// What to do next.
enum State {
    /// Find an endpoint and claim.
    Claim,
    /// Send the attempt that was granted.
    Dispatch(AttemptPermit, Number),
    /// Ask the holder's agent what became of its attempt.
    Follow(Holder),
    /// This attempt certainly did not run; move the claim on.
    Reassign(Number),
}

struct Once<'a> {
    context: &'a Context,
    job: Job,
    task: Task,
    key: IdempotencyKey,
    digest: Digest,
    /// Whether another request's attempt stood in between; what became of it is not this one's
    /// to call "not run".
    foreign: bool,
    /// Whether the control processes have answered a claim, so that the key is known.
    decided: bool,
    last: Option<Failure>,
    /// The place that the request got when it was let in.
    first: Option<AttemptPermit>,
}

/// Runs a call at most once.
///
/// # Errors
///
/// The final failure. It says "not run" only if this call did not run and will not.
pub async fn call(
    context: &Context,
    job: Job,
    call: ServiceCall,
    content: &[u8],
) -> Result<ServiceReply, Failure> {
    let key = job.key.clone().ok_or_else(|| {
        let detail = "a call that may not be repeated needs the header idempotency-key, \
                      `<Unix ms of issue>.<anything>`";
        Failure::not_run(Code::BadRequest, detail)
    })?;
    let digest = Digest::of(content);
    let task = Task::Call(call);
    let (mut request_permit, first) = match context.router.admit(job.endpoint_query()).await {
        Ok(request_permit) => request_permit,
        Err(failure) => {
            return Err(outcome::unknown_if_claimed(context, &job.workspace, &key, failure).await);
        }
    };
    let mut once = Once {
        context,
        job,
        task,
        key,
        digest,
        foreign: false,
        decided: false,
        last: None,
        first: Some(first),
    };
    let answer = match once.run().await {
        Err(failure) if !once.decided => {
            return Err(outcome::unknown_if_claimed(
                context,
                &once.job.workspace,
                &once.key,
                failure,
            )
            .await);
        }
        end => end?,
    };
    request_permit.ran = true;
    Ok(ServiceReply { answer, attempts: once.job.attempt.0 })
}

impl Once<'_> {
    async fn run(&mut self) -> Result<StoredAnswer, Failure> {
        let mut state = State::Claim;
        loop {
            let next = match state {
                State::Claim => self.claim().await?,
                State::Dispatch(permit, attempt) => self.dispatch(permit, attempt).await?,
                State::Follow(holder) => self.follow(holder).await?,
                State::Reassign(after) => self.reassign(after).await?,
            };
            match next {
                Step::Go(next) => state = next,
                Step::Done(answer) => return Ok(answer),
            }
        }
    }

    async fn claim(&mut self) -> Result<Step, Failure> {
        let permit = self.choose().await?;
        let to = assigned(&permit.pick);
        let command = Command::Claim {
            workspace: self.job.workspace.clone(),
            key: self.key.clone(),
            digest: self.digest,
            request: self.job.request,
            to,
        };
        let reply = self.propose(&command).await?;
        self.decided(reply, permit)
    }

    /// Moves the claim on to another endpoint, if the request may still be tried.
    async fn reassign(&mut self, after: Number) -> Result<Step, Failure> {
        self.job.attempt = after;
        let permit = self.choose().await?;
        let command = Command::Reassign {
            workspace: self.job.workspace.clone(),
            key: self.key.clone(),
            request: self.job.request,
            after,
            to: assigned(&permit.pick),
        };
        let reply = self.propose(&command).await?;
        self.decided(reply, permit)
    }

    async fn choose(&mut self) -> Result<AttemptPermit, Failure> {
        if let Some(permit) = self.first.take() {
            return Ok(permit);
        }
        let chosen = self.context.router.choose(self.job.endpoint_query()).await;
        chosen.map_err(|failure| match self.last.clone() {
            Some(last) => self.finally(Failure { retry_ms: failure.retry_ms, ..last }),
            None => self.finally(failure),
        })
    }

    /// Proposes a command of the claim. A lost answer leaves the claim granted to a request that
    /// never sends: that is truly "not run", and a resend finds it out by asking the agent.
    async fn propose(&self, command: &Command) -> Result<Reply, Failure> {
        let left = Duration::from_millis(self.job.remaining_ms(self.context.now()));
        let proposed = self.context.proposer.propose(command, CLAIM.min(left)).await;
        proposed.map_err(|failure| {
            self.finally(Failure { outcome: Outcome::NotRun, ..failure }.retry_after(RETRY))
        })
    }

    fn decided(&mut self, reply: Reply, permit: AttemptPermit) -> Result<Step, Failure> {
        self.decided = !matches!(reply, Reply::Failed(_));
        match reply {
            Reply::Granted { attempt } => Ok(Step::Go(State::Dispatch(permit, attempt))),
            Reply::Held { request, attempt, to } => {
                self.foreign |= request != self.job.request;
                Ok(Step::Go(State::Follow(Holder { request, attempt, to })))
            }
            Reply::Ended(end) => ended(end).map(Step::Done),
            Reply::Refused(Refusal::Moved) => Ok(Step::Go(State::Claim)),
            Reply::Refused(refusal) => Err(self.finally(refused(&refusal))),
            Reply::Failed(failure) => Err(self.finally(failure)),
            other => {
                let detail = format!("the control processes answered out of turn: {other:?}");
                Err(self.finally(Failure::not_run(Code::Internal, detail)))
            }
        }
    }

    async fn dispatch(&mut self, permit: AttemptPermit, attempt: Number) -> Result<Step, Failure> {
        self.job.attempt = attempt;
        let work = self.job.work(self.task.clone(), &permit.pick, self.context.now());
        let (address, deadline) = (permit.pick.address.clone(), self.job.deadline);
        let to = assigned(&permit.pick);
        let opened = Attempt::open(self.context, &address, &work, deadline).await;
        let (mut permit, broken) = match opened {
            Err(broken) => (permit, broken),
            Ok(opened) => {
                let mut live = LiveAttempt { permit, attempt: opened, number: attempt };
                match service_call::read(&mut live).await {
                    Ok(answer) => {
                        self.settle(attempt, ClaimEnd::Answered(answer.clone()));
                        background::clear_suspect(self.context, &self.job);
                        return Ok(Step::Done(answer));
                    }
                    Err(broken) => {
                        live.attempt.leave();
                        (live.permit, broken)
                    }
                }
            }
        };
        let endpoint = permit.pick.endpoint.clone();
        tracing::info!(event = "claimed_attempt_broken", request = %self.job.request, ?broken);
        match broken {
            AttemptError::NotRun(failure) => {
                permit.end = AttemptEnd::from_refusal(failure.code);
                drop(permit);
                self.job.avoid.push(endpoint);
                if !attempts::wait_for_retry(self.context, &mut self.job, &failure).await {
                    return Err(self.finally(failure));
                }
                self.last = Some(failure);
                Ok(Step::Go(State::Reassign(attempt)))
            }
            AttemptError::Failed(failure) => {
                if failure.code == Code::EndpointFailed {
                    permit.end = AttemptEnd::Failed;
                    self.settle(attempt, ClaimEnd::Unknown);
                }
                Err(Failure { outcome: Outcome::Unknown, ..failure })
            }
            AttemptError::Lost(_) | AttemptError::Late => {
                let request = self.job.request;
                Ok(Step::Go(State::Follow(Holder { request, attempt, to })))
            }
        }
    }

    /// Asks the agent that holds the attempt until it tells the end or the deadline passes.
    async fn follow(&mut self, holder: Holder) -> Result<Step, Failure> {
        let mut wait = ASK;
        loop {
            let left = self.job.remaining_ms(self.context.now());
            let last = left == 0;
            if let Some(address) = self.address(&holder)? {
                // The attempt is called off only at the deadline: until then its answer is wanted.
                let question = AttemptQuestion {
                    request: holder.request,
                    attempt: holder.attempt,
                    incarnation: holder.to.incarnation,
                    cancel: last && !self.foreign,
                };
                let state = probe::ask(self.context, &address, &question).await;
                if let Ok(state) = state
                    && let Some(step) = self.told(&holder, state, last)?
                {
                    return Ok(step);
                }
            }
            if last {
                let detail = "the deadline passed; the call may have run, or may yet run. Sent \
                              again with the same key it is answered, never run twice";
                let failure = Failure::unknown(Code::DeadlinePassed, detail);
                return Err(failure.retry_after(RETRY));
            }
            actix_rt::time::sleep(Duration::from_millis(wait.min(left))).await;
            wait = (wait * 2).min(ASK_BOUND);
        }
    }

    fn told(
        &mut self,
        holder: &Holder,
        state: AttemptState,
        last: bool,
    ) -> Result<Option<Step>, Failure> {
        match state {
            AttemptState::Done(answer) => {
                self.settle(holder.attempt, ClaimEnd::Answered(answer.clone()));
                Ok(Some(Step::Done(answer)))
            }
            AttemptState::Revoked | AttemptState::Refused if last => {
                let detail = "no endpoint took the call before its deadline";
                Err(self.finally(Failure::not_run(Code::DeadlineTooClose, detail)))
            }
            AttemptState::Revoked | AttemptState::Refused => {
                Ok(Some(Step::Go(State::Reassign(holder.attempt))))
            }
            AttemptState::Running => Ok(None),
            AttemptState::Unknown => {
                self.settle(holder.attempt, ClaimEnd::Unknown);
                Err(unknown())
            }
        }
    }

    /// Finds the holder's agent; none while it is not to be seen.
    ///
    /// An agent that restarted has forgotten the attempt, which may have run before. It must
    /// not be taken for one that never saw it: the claim ends as unknown.
    fn address(&self, holder: &Holder) -> Result<Option<String>, Failure> {
        let members = self.context.members.view();
        let Some(known) = members.known.get(&holder.to.agent) else { return Ok(None) };
        if known.member.incarnation > holder.to.incarnation {
            self.settle(holder.attempt, ClaimEnd::Unknown);
            return Err(unknown());
        }
        Ok(Some(known.member.address.clone()))
    }

    /// Ends the claim without the caller's waiting for it. The caller may be answered first,
    /// because the agent remembers the answer: until the claim has ended, a resend finds the
    /// claim held and gets the same answer from that agent.
    fn settle(&self, attempt: Number, end: ClaimEnd) {
        let command = Command::Settle {
            workspace: self.job.workspace.clone(),
            key: self.key.clone(),
            attempt,
            end,
        };
        background::propose(self.context, command);
    }

    fn finally(&self, failure: Failure) -> Failure {
        if self.foreign { Failure { outcome: Outcome::Unknown, ..failure } } else { failure }
    }
}

/// What a state led to.
enum Step {
    Go(State),
    Done(StoredAnswer),
}
