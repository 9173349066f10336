//! The decision at the door.

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
    /// Decides on a request at the door. Call [`Self::poll`] afterwards: a request that waited
    /// may have given way to this one.
    pub fn admit(&mut self, now: Millis, ask: &AdmissionRequest<'_>) -> Decision {
        self.counts.asked += 1;
        if let Err(refused) = self.within_limits(now, ask) {
            return Decision::Refuse(self.refuse(ask.id, refused));
        }
        let gate = self.models.entry(ask.model.clone()).or_default();
        let least = gate.durations.min_ms(ask.expected_ms);
        let latest = Millis(ask.deadline.0.saturating_sub(least));
        if now > latest {
            self.release(ask.workspace);
            let retry_ms = self.retry_after_ms(ask.model, ask.capacity);
            let refused = Refusal { code: Code::DeadlineTooClose, retry_ms };
            return Decision::Refuse(self.refuse(ask.id, refused));
        }
        // An ordinary caller does not pass samples that are owed a start, or they would starve for
        // as long as callers find room at the door.
        let behind =
            ask.class == Class::Normal && self.batch_credit >= 1.0 && self.batch_waiting > 0;
        let first =
            gate.queues[class_index(ask.class)..].iter().all(ClassQueue::is_empty) && !behind;
        if first && self.may_start(ask.class, ask.capacity, false) {
            self.start(ask.id, ask.workspace, ask.model, ask.class, ask.expected_ms);
            self.check_reserve(ask.class, ask.capacity);
            return Decision::Admit;
        }
        self.enqueue(now, ask, latest)
    }

    fn within_limits(&mut self, now: Millis, ask: &AdmissionRequest<'_>) -> Result<(), Refusal> {
        let on = self.settings.protections.limits;
        let burst = self.settings.retry_burst;
        let code = Code::LimitReached;
        let used = match self.workspaces.get_mut(ask.workspace) {
            Some(used) => used,
            None => {
                let workspace = ask.workspace.clone();
                self.workspaces.entry(workspace).or_insert_with(|| WorkspaceUsage::new(burst))
            }
        };
        used.requested += 1;
        if on && used.running >= used.lease.running {
            return Err(Refusal { code, retry_ms: MIN_RETRY_MS });
        }
        if let Err(wait) = used.take_rate(now)
            && on
        {
            return Err(Refusal { code, retry_ms: wait.max(MIN_RETRY_MS) });
        }
        used.running += 1;
        let broken = used.running > used.lease.running;
        if broken {
            self.report_violation("workspace_within_limit");
        }
        Ok(())
    }

    /// Tells whether a class may start into the room; `owed` lifts the share of a sample that is
    /// owed a start to that of ordinary callers, never into the urgent reserve.
    pub(crate) fn may_start(&self, class: Class, room: Capacity, owed: bool) -> bool {
        let settings = &self.settings;
        let share = match class {
            _ if !settings.protections.reserve => settings.urgent_share,
            Class::Urgent => settings.urgent_share,
            Class::Normal => settings.normal_share,
            Class::Batch if owed => settings.normal_share,
            Class::Batch => settings.batch_share,
        };
        room.slots > 0 && (room.load as f32) < load_limit(class, room.slots, share)
    }

    fn enqueue(&mut self, now: Millis, ask: &AdmissionRequest<'_>, latest: Millis) -> Decision {
        let full = self.positions.len() >= self.settings.waiting;
        if full && self.settings.protections.bound && !self.make_room(now, ask.class) {
            self.release(ask.workspace);
            let retry_ms = self.retry_after_ms(ask.model, ask.capacity);
            let refused = Refusal { code: Code::Overloaded, retry_ms };
            return Decision::Refuse(self.refuse(ask.id, refused));
        }
        let waiting = Waiting {
            id: ask.id,
            workspace: ask.workspace.clone(),
            class: ask.class,
            latest_start: latest,
            expected_ms: ask.expected_ms,
        };
        let weight = self.workspaces.get(ask.workspace).map_or(1, |used| used.weight);
        let first = match ask.class {
            Class::Batch => self.fair_clock.next_tag(ask.workspace, weight),
            Class::Normal | Class::Urgent => latest.0,
        };
        self.batch_waiting += usize::from(ask.class == Class::Batch);
        let gate = self.models.entry(ask.model.clone()).or_default();
        let key = gate.queues[class_index(ask.class)].push(waiting, first);
        let spot = QueuePosition { model: ask.model.clone(), class: ask.class, key };
        self.positions.insert(ask.id, spot);
        if self.positions.len() > self.settings.waiting {
            self.report_violation("queue_bounded");
        }
        Decision::Wait
    }

    /// Asserts, by the facts, that a start left the room reserved for more urgent classes.
    pub(crate) fn check_reserve(&mut self, class: Class, room: Capacity) {
        let settings = &self.settings;
        let share = match class {
            Class::Urgent => return,
            Class::Normal | Class::Batch => settings.normal_share,
        };
        if room.load as f32 >= load_limit(class, room.slots, share) {
            self.report_violation("room_reserved");
        }
    }
}

/// Gives the load up to which a class may start. At least one start of a caller is allowed at
/// any number of slots; the share of a few slots would otherwise round to nothing.
fn load_limit(class: Class, slots: u32, share: f32) -> f32 {
    let most = slots as f32 * share;
    if class == Class::Batch { most.max(0.5) } else { most.max(1.0) }
}
