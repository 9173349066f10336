//! Which step a caller means, and which workspace a step belongs to.
//!
//! A trainer goes on with its steps while workspaces are added, while they are removed, and while
//! its route starts or stops requiring a key. The id of a step within the fleet
//! ([`step_id`](crate::workspace::step_id)) is that of its submission and does not change, so a
//! later call may name the step differently. docs/SECURITY.md says who may reach a step.

use crate::state::State;
use crate::state::StepState;
use crate::step::StepSummary;
use crate::workspace::split_step_id;

/// The step that a call means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target<'a> {
    /// This step, by its id within the fleet.
    Step(&'a str),
    /// This step, which the caller's workspace may use once the step is bound to it.
    Unclaimed(&'a str),
    /// One of several steps with the same id, which belonged to different workspaces.
    Ambiguous,
    /// There may be such a step, but not for a caller without a key.
    KeyRequired,
    /// There is no such step for the caller.
    Unknown,
}

/// How a submission relates to the known steps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Submission<'a> {
    /// It is a new step.
    New,
    /// It was accepted before, as the step with this id within the fleet.
    Repeated(&'a str),
    /// Another step has the id. If this one were accepted, it would be unclear which of the two a
    /// read means.
    Conflict,
}

impl State {
    /// Returns the step that a call means by an id within the fleet, which names the workspace of
    /// the caller's key, if it has one.
    pub fn find_step(&self, asked: &str) -> Target<'_> {
        let (workspace, _) = split_step_id(asked);
        let candidates = self.candidates(asked);
        match (&candidates[..], workspace) {
            ([], None) if self.has_workspaces() => Target::KeyRequired,
            ([], _) => Target::Unknown,
            ([(id, step)], Some(workspace)) if self.must_claim(id, step, workspace) => {
                Target::Unclaimed(id)
            }
            ([(id, _)], _) => Target::Step(id),
            (_, _) => Target::Ambiguous,
        }
    }

    /// Returns how a submission relates to the known steps. A step may be submitted again under
    /// another id than the first time, because a key is required now or no longer. It is recognised
    /// by its content, which a caller that only guessed the id does not know.
    pub fn find_submission(&self, step: &StepSummary) -> Submission<'_> {
        let (workspace, _) = split_step_id(&step.id);
        let is_equal =
            |known: &StepState| step.content.is_some() && step.content == known.step.content;
        if let Some((id, known)) = self.steps.get_key_value(&step.id) {
            let is_repeated = known.owner.is_none() || is_equal(known);
            return if is_repeated { Submission::Repeated(id) } else { Submission::Conflict };
        }
        let known_steps = self.repeatable(&step.id);
        let is_own = |known: &StepState| workspace.is_some() && known.owner.as_deref() == workspace;
        let repeated = known_steps.iter().find(|(_, known)| is_own(known) || is_equal(known));
        match repeated {
            Some((id, _)) => Submission::Repeated(id),
            None if known_steps.is_empty() || self.has_workspaces() => Submission::New,
            None => Submission::Conflict,
        }
    }

    /// Returns the steps that a submission may repeat and that an earlier release stored without
    /// their content.
    pub fn uncompared_steps(&self, asked: &str) -> Vec<&StepState> {
        let known = self.repeatable(asked).into_iter().map(|(_, step)| step);
        known.filter(|step| step.step.content.is_none()).collect()
    }

    /// Returns the steps that a submission may repeat, with their ids. To learn that a step was
    /// accepted gives no access to it, so a caller without a key may repeat any step.
    fn repeatable(&self, asked: &str) -> Vec<(&str, &StepState)> {
        match split_step_id(asked) {
            (Some(_), _) => self.candidates(asked),
            (None, id) => self.steps_called(id),
        }
    }

    /// Returns the steps of all workspaces for which their trainers chose this id.
    fn steps_called(&self, id: &str) -> Vec<(&str, &StepState)> {
        let steps = self.steps.iter().filter(|(known, _)| split_step_id(known).1 == id);
        steps.map(|(known, step)| (known.as_str(), step)).collect()
    }

    /// Returns the steps that a caller may mean by an id within the fleet, with their ids.
    fn candidates(&self, asked: &str) -> Vec<(&str, &StepState)> {
        let get = |id: &str| self.steps.get_key_value(id).map(|(id, step)| (id.as_str(), step));
        let (workspace, id) = split_step_id(asked);
        if let Some(workspace) = workspace {
            let submitted_without = || get(id).filter(|(_, step)| self.may_use(step, workspace));
            return get(asked).or_else(submitted_without).into_iter().collect();
        }
        if self.has_workspaces() {
            let is_open = |step: &StepState| step.owner.is_none() && self.is_open(&step.step);
            return get(id).filter(|(_, step)| is_open(step)).into_iter().collect();
        }
        self.steps_called(id)
    }

    /// Returns whether a workspace may use a step that was submitted without one: its own, one that
    /// is open to all callers, or one that may turn out to be its own.
    fn may_use(&self, step: &StepState, workspace: &str) -> bool {
        match &step.owner {
            Some(owner) => owner == workspace,
            None if self.is_open(&step.step) => true,
            None => self.key_holder(&step.step).is_none_or(|holder| holder == workspace),
        }
    }

    /// Returns whether a step has to be bound to a workspace before its callers may use it.
    fn must_claim(&self, id: &str, step: &StepState, workspace: &str) -> bool {
        let (submitted_by, _) = split_step_id(id);
        let is_own = submitted_by == Some(workspace) || step.owner.is_some();
        !is_own && !self.is_open(&step.step)
    }

    /// Returns the workspace that holds the key that came with a submission.
    fn key_holder(&self, step: &StepSummary) -> Option<&str> {
        let holder = self.config.as_ref()?.workspaces.digest_holder(&step.key?)?;
        Some(&holder.name)
    }

    /// Returns whether calls about a step need no key: there are no workspaces, or its route is
    /// open. For a step of an earlier release, whose route is not known, any open route counts.
    fn is_open(&self, step: &StepSummary) -> bool {
        let Some(config) = self.config.as_ref().filter(|_| self.has_workspaces()) else {
            return true;
        };
        if step.path.is_empty() {
            return config.open_step_routes().next().is_some();
        }
        config.find(&step.host, &step.path).is_some_and(|route| route.open)
    }

    fn has_workspaces(&self) -> bool {
        self.config.as_ref().is_some_and(|config| !config.workspaces.is_empty())
    }
}
