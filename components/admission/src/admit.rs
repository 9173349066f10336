//! Admission of new requests.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Millis;

use crate::admission::Admission;
use crate::admission::MIN_RETRY_MS;
use crate::admission::QueuePosition;
use crate::admission::class_index;
use crate::queue::ClassQueue;
use crate::queue::Waiting;
use crate::request::AdmissionRequest;
use crate::request::Capacity;
use crate::request::Decision;
use crate::request::Refusal;
use crate::workspace::WorkspaceUsage;

impl Admission {
    /// Decides whether a new request starts, waits or is refused. The caller must call
    /// [`Self::poll`] afterwards, because a queued request may have been displaced by this one.
    pub fn admit(&mut self, now: Millis, request: &AdmissionRequest<'_>) -> Decision {
        self.counts.asked += 1;
        if let Err(refusal) = self.within_limits(now, request) {
            return Decision::Refuse(self.refuse(request.id, refusal));
        }
        let queues = self.models.entry(request.model.clone()).or_default();
        let min_ms = queues.durations.min_ms(request.expected_ms);
        let latest_start = Millis(request.deadline.0.saturating_sub(min_ms));
        if now > latest_start {
            self.release(request.workspace);
            let retry_ms = self.retry_after_ms(request.model, request.capacity);
            let refusal = Refusal { code: Code::DeadlineTooClose, retry_ms };
            return Decision::Refuse(self.refuse(request.id, refusal));
        }
        // A normal request does not overtake samples that have credit for a start. Otherwise
        // samples would starve for as long as normal requests find free capacity on arrival.
        let yields_to_batch =
            request.class == Class::Normal && self.batch_credit >= 1.0 && self.batch_waiting > 0;
        let is_first =
            queues.classes[class_index(request.class)..].iter().all(ClassQueue::is_empty)
                && !yields_to_batch;
        if is_first && self.may_start(request.class, request.capacity, false) {
            self.start(
                request.id,
                request.workspace,
                request.model,
                request.class,
                request.expected_ms,
            );
            self.check_reserve(request.class, request.capacity);
            return Decision::Admit;
        }
        self.enqueue(now, request, latest_start)
    }

    fn within_limits(
        &mut self,
        now: Millis,
        request: &AdmissionRequest<'_>,
    ) -> Result<(), Refusal> {
        let enforced = self.settings.protections.limits;
        let burst = self.settings.retry_burst;
        let code = Code::LimitReached;
        let usage = match self.workspaces.get_mut(request.workspace) {
            Some(usage) => usage,
            None => {
                let workspace = request.workspace.clone();
                self.workspaces.entry(workspace).or_insert_with(|| WorkspaceUsage::new(burst))
            }
        };
        usage.requested += 1;
        if enforced && usage.running >= usage.lease.running {
            return Err(Refusal { code, retry_ms: MIN_RETRY_MS });
        }
        if let Err(wait) = usage.take_rate(now)
            && enforced
        {
            return Err(Refusal { code, retry_ms: wait.max(MIN_RETRY_MS) });
        }
        usage.running += 1;
        let over_limit = usage.running > usage.lease.running;
        if over_limit {
            self.report_violation("workspace_within_limit");
        }
        Ok(())
    }

    /// Returns whether a request of a class may start at the given capacity. `has_credit` is set if
    /// the waiting samples have credit for a start: it raises their share to that of normal
    /// requests, but never into the capacity reserved for urgent ones.
    pub(crate) fn may_start(&self, class: Class, capacity: Capacity, has_credit: bool) -> bool {
        let settings = &self.settings;
        let share = match class {
            _ if !settings.protections.reserve => settings.urgent_share,
            Class::Urgent => settings.urgent_share,
            Class::Normal => settings.normal_share,
            Class::Batch if has_credit => settings.normal_share,
            Class::Batch => settings.batch_share,
        };
        capacity.slots > 0 && (capacity.load as f32) < load_limit(class, capacity.slots, share)
    }

    fn enqueue(
        &mut self,
        now: Millis,
        request: &AdmissionRequest<'_>,
        latest_start: Millis,
    ) -> Decision {
        let full = self.positions.len() >= self.settings.waiting;
        if full && self.settings.protections.bound && !self.make_place(now, request.class) {
            self.release(request.workspace);
            let retry_ms = self.retry_after_ms(request.model, request.capacity);
            let refusal = Refusal { code: Code::Overloaded, retry_ms };
            return Decision::Refuse(self.refuse(request.id, refusal));
        }
        let waiting = Waiting {
            id: request.id,
            workspace: request.workspace.clone(),
            class: request.class,
            latest_start,
            expected_ms: request.expected_ms,
        };
        let weight = self.workspaces.get(request.workspace).map_or(1, |usage| usage.weight);
        let order = match request.class {
            Class::Batch => self.fair_clock.next_tag(request.workspace, weight),
            Class::Normal | Class::Urgent => latest_start.0,
        };
        self.batch_waiting += usize::from(request.class == Class::Batch);
        let queues = self.models.entry(request.model.clone()).or_default();
        let key = queues.classes[class_index(request.class)].push(waiting, order);
        let position = QueuePosition { model: request.model.clone(), class: request.class, key };
        self.positions.insert(request.id, position);
        if self.positions.len() > self.settings.waiting {
            self.report_violation("queue_bounded");
        }
        Decision::Wait
    }

    /// Checks, independently of the decision, that a start left the capacity reserved for more
    /// urgent classes.
    pub(crate) fn check_reserve(&mut self, class: Class, capacity: Capacity) {
        let settings = &self.settings;
        let share = match class {
            Class::Urgent => return,
            Class::Normal | Class::Batch => settings.normal_share,
        };
        if capacity.load as f32 >= load_limit(class, capacity.slots, share) {
            self.report_violation("room_reserved");
        }
    }
}

/// Returns the load below which a class may start. With only a few slots, a class's share could
/// round to zero; normal and urgent requests may therefore always start one attempt.
fn load_limit(class: Class, slots: u32, share: f32) -> f32 {
    let limit = slots as f32 * share;
    if class == Class::Batch { limit.max(0.5) } else { limit.max(1.0) }
}
