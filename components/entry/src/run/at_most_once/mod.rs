//! Runs a call that may not be repeated at most once, even if messages or processes are lost.
//!
//! Before anything is sent, the control processes decide the claim on (workspace, key). The agent
//! named in the claim makes the final check and stores the answer. A resend of the call, through
//! any entry, finds the claim and queries that agent.

mod answers;
pub mod outcome;

use std::time::Duration;

use chicoryford_state::AgentAssignment;
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
use crate::run::at_most_once::answers::RETRY_MS;
use crate::run::at_most_once::answers::assigned;
use crate::run::at_most_once::answers::claim_result;
use crate::run::at_most_once::answers::duplicate_unknown;
use crate::run::at_most_once::answers::refusal_failure;
use crate::run::attempt::Attempt;
use crate::run::attempt::AttemptError;
use crate::run::attempts;
use crate::run::attempts::LiveAttempt;
use crate::run::background;
use crate::run::job::Job;
use crate::run::probe;
use crate::run::service_call;
use crate::run::service_call::ServiceReply;

/// Timeout for deciding a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Initial backoff in milliseconds before an agent is queried again; it doubles each time.
const INITIAL_BACKOFF_MS: u64 = 50;
/// Maximum backoff in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// The request that holds the claim, and the agent of its attempt.
#[derive(Clone, Debug)]
struct Holder {
    request: RequestId,
    attempt: Number,
    to: AgentAssignment,
}

/// State of the call, which names the next action.
enum State {
    /// Choose an endpoint and propose the claim.
    Claim,
    /// Send the granted attempt.
    Dispatch(AttemptPermit, Number),
    /// Query the holder's agent for the state of its attempt.
    Follow(Holder),
    /// The attempt did not run and never will. Move the claim to another endpoint.
    Reassign(Number),
}

struct AtMostOnce<'a> {
    context: &'a Context,
    job: Job,
    task: Task,
    key: IdempotencyKey,
    digest: Digest,
    /// Whether an attempt of another request held the claim. This request then cannot report the
    /// outcome "not run", because the other attempt may have run.
    foreign: bool,
    /// Whether the control processes have replied to a claim, so that the state of the key is
    /// known.
    decided: bool,
    last_failure: Option<Failure>,
    /// The permit for the first attempt, which the request received when it was admitted.
    first: Option<AttemptPermit>,
}

/// Runs a call at most once.
///
/// # Errors
///
/// Returns the final failure. Its outcome is "not run" only if the call did not run and never will.
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
        Ok(admitted) => admitted,
        Err(failure) => {
            return Err(outcome::unknown_if_claimed(context, &job.workspace, &key, failure).await);
        }
    };
    let mut call = AtMostOnce {
        context,
        job,
        task,
        key,
        digest,
        foreign: false,
        decided: false,
        last_failure: None,
        first: Some(first),
    };
    let answer = match call.run().await {
        Err(failure) if !call.decided => {
            return Err(outcome::unknown_if_claimed(
                context,
                &call.job.workspace,
                &call.key,
                failure,
            )
            .await);
        }
        end => end?,
    };
    request_permit.ran = true;
    Ok(ServiceReply { answer, attempts: call.job.attempt.0 })
}

impl AtMostOnce<'_> {
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
                Step::Next(next) => state = next,
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
        self.next_step(reply, permit)
    }

    /// Moves the claim to another endpoint. Fails if none is available.
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
        self.next_step(reply, permit)
    }

    async fn choose(&mut self) -> Result<AttemptPermit, Failure> {
        if let Some(permit) = self.first.take() {
            return Ok(permit);
        }
        let chosen = self.context.router.choose(self.job.endpoint_query()).await;
        chosen.map_err(|failure| match self.last_failure.clone() {
            Some(last) => self.final_failure(Failure { retry_ms: failure.retry_ms, ..last }),
            None => self.final_failure(failure),
        })
    }

    /// Proposes a claim command. If the reply is lost, the claim may be granted to a request that
    /// never sends its attempt. The outcome "not run" is correct in that case, and a resend learns
    /// it by querying the agent.
    async fn propose(&self, command: &Command) -> Result<Reply, Failure> {
        let left = Duration::from_millis(self.job.remaining_ms(self.context.now()));
        let proposed = self.context.proposer.propose(command, CLAIM_TIMEOUT.min(left)).await;
        proposed.map_err(|failure| {
            self.final_failure(
                Failure { outcome: Outcome::NotRun, ..failure }.retry_after(RETRY_MS),
            )
        })
    }

    fn next_step(&mut self, reply: Reply, permit: AttemptPermit) -> Result<Step, Failure> {
        self.decided = !matches!(reply, Reply::Failed(_));
        match reply {
            Reply::Granted { attempt } => Ok(Step::Next(State::Dispatch(permit, attempt))),
            Reply::Held { request, attempt, to } => {
                self.foreign |= request != self.job.request;
                Ok(Step::Next(State::Follow(Holder { request, attempt, to })))
            }
            Reply::Ended(end) => claim_result(end).map(Step::Done),
            Reply::Refused(Refusal::Moved) => Ok(Step::Next(State::Claim)),
            Reply::Refused(refusal) => Err(self.final_failure(refusal_failure(&refusal))),
            Reply::Failed(failure) => Err(self.final_failure(failure)),
            other => {
                let detail = format!("unexpected reply to a claim: {other:?}");
                Err(self.final_failure(Failure::not_run(Code::Internal, detail)))
            }
        }
    }

    async fn dispatch(&mut self, permit: AttemptPermit, attempt: Number) -> Result<Step, Failure> {
        self.job.attempt = attempt;
        let work = self.job.work(self.task.clone(), &permit.pick, self.context.now());
        let (address, deadline) = (permit.pick.address.clone(), self.job.deadline);
        let to = assigned(&permit.pick);
        let opened = Attempt::open(self.context, &address, &work, deadline).await;
        let (mut permit, error) = match opened {
            Err(error) => (permit, error),
            Ok(opened) => {
                let mut live = LiveAttempt { permit, attempt: opened, number: attempt };
                match service_call::read(&mut live).await {
                    Ok(answer) => {
                        self.settle(attempt, ClaimEnd::Answered(answer.clone()));
                        background::clear_suspect(self.context, &self.job);
                        return Ok(Step::Done(answer));
                    }
                    Err(error) => {
                        live.attempt.detach();
                        (live.permit, error)
                    }
                }
            }
        };
        let endpoint = permit.pick.endpoint.clone();
        tracing::info!(event = "claimed_attempt_broken", request = %self.job.request, broken = ?error);
        match error {
            AttemptError::NotRun(failure) => {
                permit.end = AttemptEnd::from_refusal(failure.code);
                drop(permit);
                self.job.avoid.push(endpoint);
                if !attempts::wait_for_retry(self.context, &mut self.job, &failure).await {
                    return Err(self.final_failure(failure));
                }
                self.last_failure = Some(failure);
                Ok(Step::Next(State::Reassign(attempt)))
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
                Ok(Step::Next(State::Follow(Holder { request, attempt, to })))
            }
        }
    }

    /// Queries the holder's agent until it reports the end of the attempt or the deadline passes.
    async fn follow(&mut self, holder: Holder) -> Result<Step, Failure> {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            let left = self.job.remaining_ms(self.context.now());
            let last = left == 0;
            if let Some(address) = self.address(&holder)? {
                // The attempt is cancelled only at the deadline. Until then its answer is useful.
                let question = AttemptQuestion {
                    request: holder.request,
                    attempt: holder.attempt,
                    incarnation: holder.to.incarnation,
                    cancel: last && !self.foreign,
                };
                let state = probe::query(self.context, &address, &question).await;
                if let Ok(state) = state
                    && let Some(step) = self.follow_up(&holder, state, last)?
                {
                    return Ok(step);
                }
            }
            if last {
                let detail = "the deadline passed; the call may have run or may still run. A resend \
                              with the same key is answered and never runs the call twice";
                let failure = Failure::unknown(Code::DeadlinePassed, detail);
                return Err(failure.retry_after(RETRY_MS));
            }
            actix_rt::time::sleep(Duration::from_millis(backoff_ms.min(left))).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    fn follow_up(
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
                let detail = "no endpoint accepted the call before its deadline";
                Err(self.final_failure(Failure::not_run(Code::DeadlineTooClose, detail)))
            }
            AttemptState::Revoked | AttemptState::Refused => {
                Ok(Some(Step::Next(State::Reassign(holder.attempt))))
            }
            AttemptState::Running => Ok(None),
            AttemptState::Ended | AttemptState::Unknown => {
                self.settle(holder.attempt, ClaimEnd::Unknown);
                Err(duplicate_unknown())
            }
        }
    }

    /// Returns the address of the holder's agent, or `None` while the agent is not a known member.
    ///
    /// An agent that has restarted no longer knows the attempt, which may have run before. It must
    /// not be confused with an agent that never received the attempt, so the claim ends as unknown.
    fn address(&self, holder: &Holder) -> Result<Option<String>, Failure> {
        let members = self.context.members.view();
        let Some(known) = members.known.get(&holder.to.agent) else { return Ok(None) };
        if known.member.incarnation > holder.to.incarnation {
            self.settle(holder.attempt, ClaimEnd::Unknown);
            return Err(duplicate_unknown());
        }
        Ok(Some(known.member.address.clone()))
    }

    /// Ends the claim in the background. The caller may be answered before the end is committed,
    /// because the agent stores the answer. Until the claim has ended, a resend finds it held and
    /// receives the same answer from that agent.
    fn settle(&self, attempt: Number, end: ClaimEnd) {
        let command = Command::Settle {
            workspace: self.job.workspace.clone(),
            key: self.key.clone(),
            attempt,
            end,
        };
        background::propose(self.context, command);
    }

    fn final_failure(&self, failure: Failure) -> Failure {
        if self.foreign { Failure { outcome: Outcome::Unknown, ..failure } } else { failure }
    }
}

/// Result of an action: the next state or the answer.
enum Step {
    Next(State),
    Done(StoredAnswer),
}
