//! The leader's decision which step a call means, and whose step it is
//! ([`chicoryford_fleet::step_access`]).

use chicoryford_fleet::Command;
use chicoryford_fleet::StepSummary;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::step_access::Submission;
use chicoryford_fleet::step_access::Target;
use chicoryford_fleet::workspace::split_step_id;

use crate::copies;
use crate::leader::Leader;
use crate::message::Answer;

impl Leader {
    /// Returns the id of the step that a call means, or the answer to the call if there is none.
    /// Binds the step to the caller's workspace if it must belong to one.
    pub(super) async fn find_step(&self, asked: &str) -> Result<String, Answer> {
        let unclaimed = match self.context.replica.state().find_step(asked) {
            Target::Unclaimed(id) => Some(id.to_owned()),
            _ => None,
        };
        if let Some(id) = unclaimed {
            let answer = self.claim(id, asked).await;
            if !matches!(answer, Answer::Done) {
                return Err(answer);
            }
        }
        match self.context.replica.state().find_step(asked) {
            Target::Step(id) => Ok(id.to_owned()),
            Target::Unclaimed(_) => Err(Answer::NotNow),
            Target::Ambiguous => Err(Answer::Ambiguous),
            Target::KeyRequired => Err(Answer::KeyRequired),
            Target::Unknown => Err(Answer::Unknown),
        }
    }

    /// Binds a step to the workspace that `asked` names.
    async fn claim(&self, step: String, asked: &str) -> Answer {
        let (Some(workspace), _) = split_step_id(asked) else { return Answer::Done };
        let workspace = workspace.to_owned();
        self.commit(Command::Claim { step, workspace }).await
    }

    /// Returns the id of the step that a submission repeats, if any, or the answer if it is unclear
    /// which step it is.
    pub(super) async fn find_submission(
        &self,
        summary: &StepSummary,
    ) -> Result<Option<String>, Answer> {
        let uncompared: Vec<(String, PartId, copies::Placement)> = {
            let state = self.context.replica.state();
            match state.find_submission(summary) {
                Submission::Repeated(id) => return Ok(Some(id.to_owned())),
                Submission::New | Submission::Conflict => {}
            }
            let place = |part: PartId| state.parts.get(&part).map(|part| part.placement.clone());
            let uncompared = state.uncompared_steps(&summary.id).into_iter().filter_map(|known| {
                Some((known.step.id.clone(), known.step.part, place(known.step.part)?))
            });
            uncompared.collect()
        };
        for (id, part, place) in uncompared {
            let Some(known) = self.read_step(part, &place).await else {
                return Err(Answer::NotNow);
            };
            if Some(known.content()) == summary.content {
                return Ok(Some(id));
            }
        }
        match self.context.replica.state().find_submission(summary) {
            Submission::New => Ok(None),
            Submission::Repeated(id) => Ok(Some(id.to_owned())),
            Submission::Conflict => {
                tracing::info!(event = "step_id_taken", step = summary.id);
                Err(Answer::Ambiguous)
            }
        }
    }

    /// Answers a submission of a step that was accepted before under the id `known`.
    pub(super) async fn repeat_submission(&self, asked: &str, known: String) -> Answer {
        let (workspace, id) = split_step_id(asked);
        let is_moved = known != asked;
        tracing::info!(event = "step_repeated", step = known, id, workspace, is_moved);
        if !is_moved {
            return Answer::Done;
        }
        self.claim(known, asked).await
    }

    /// Returns whether the step that a call means is on its way into the log, in any workspace: the
    /// caller's key may have got its workspace after the submission.
    pub(super) fn is_submitting(&self, asked: &str) -> bool {
        let (_, id) = split_step_id(asked);
        self.submitting.borrow().iter().any(|step| split_step_id(step).1 == id)
    }
}
