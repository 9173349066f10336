//! The decision at the door.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Millis;

use crate::admission::Admission;
use crate::admission::COME_BACK;
use crate::admission::Spot;
use crate::admission::index;
use crate::ask::Ask;
use crate::ask::Refused;
use crate::ask::Room;
use crate::ask::Verdict;
use crate::queue::Line;
use crate::queue::Waiting;
use crate::workspace::Used;

impl Admission {
    /// Decides on a request at the door. Call [`Self::poll`] afterwards: a request that waited
    /// may have given way to this one.
    pub fn admit(&mut self, now: Millis, ask: &Ask<'_>) -> Verdict {
        self.counts.asked += 1;
        if let Err(refused) = self.within_limits(now, ask) {
            return Verdict::Refuse(self.refuse(ask.id, refused));
        }
        let gate = self.gates.entry(ask.model.clone()).or_default();
        let least = gate.feasible.least_ms(ask.expected_ms);
        let latest = Millis(ask.deadline.0.saturating_sub(least));
        if now > latest {
            self.release(ask.workspace);
            let retry_ms = self.come_back(ask.model, ask.room);
            let refused = Refused { code: Code::DeadlineTooClose, retry_ms };
            return Verdict::Refuse(self.refuse(ask.id, refused));
        }
        // An ordinary caller does not pass samples that are owed a start, or they would starve for
        // as long as callers find room at the door.
        let behind = ask.class == Class::Normal && self.credit >= 1.0 && self.samples > 0;
        let first = gate.lines[index(ask.class)..].iter().all(Line::is_empty) && !behind;
        if first && self.may_start(ask.class, ask.room, false) {
            self.start(ask.id, ask.workspace, ask.model, ask.class, ask.expected_ms);
            self.check_reserve(ask.class, ask.room);
            return Verdict::Admit;
        }
        self.wait(now, ask, latest)
    }

    fn within_limits(&mut self, now: Millis, ask: &Ask<'_>) -> Result<(), Refused> {
        let on = self.settings.protections.limits;
        let burst = self.settings.retry_burst;
        let code = Code::LimitReached;
        let used = match self.workspaces.get_mut(ask.workspace) {
            Some(used) => used,
            None => {
                let workspace = ask.workspace.clone();
                self.workspaces.entry(workspace).or_insert_with(|| Used::new(burst))
            }
        };
        used.asked += 1;
        if on && used.running >= used.lease.running {
            return Err(Refused { code, retry_ms: COME_BACK });
        }
        if let Err(wait) = used.take_rate(now)
            && on
        {
            return Err(Refused { code, retry_ms: wait.max(COME_BACK) });
        }
        used.running += 1;
        let broken = used.running > used.lease.running;
        if broken {
            self.promise_broken("workspace_within_limit");
        }
        Ok(())
    }

    /// Tells whether a class may start into the room; `owed` lifts the share of a sample that is
    /// owed a start to that of ordinary callers, never into the urgent reserve.
    pub(crate) fn may_start(&self, class: Class, room: Room, owed: bool) -> bool {
        let settings = &self.settings;
        let share = match class {
            _ if !settings.protections.reserve => settings.urgent_share,
            Class::Urgent => settings.urgent_share,
            Class::Normal => settings.normal_share,
            Class::Batch if owed => settings.normal_share,
            Class::Batch => settings.batch_share,
        };
        room.slots > 0 && (room.load as f32) < most(class, room.slots, share)
    }

    fn wait(&mut self, now: Millis, ask: &Ask<'_>, latest: Millis) -> Verdict {
        let full = self.spots.len() >= self.settings.waiting;
        if full && self.settings.protections.bound && !self.make_room(now, ask.class) {
            self.release(ask.workspace);
            let retry_ms = self.come_back(ask.model, ask.room);
            let refused = Refused { code: Code::Overloaded, retry_ms };
            return Verdict::Refuse(self.refuse(ask.id, refused));
        }
        let waiting = Waiting {
            id: ask.id,
            workspace: ask.workspace.clone(),
            class: ask.class,
            latest,
            expected_ms: ask.expected_ms,
        };
        let weight = self.workspaces.get(ask.workspace).map_or(1, |used| used.weight);
        let first = match ask.class {
            Class::Batch => self.fair.tag(ask.workspace, weight),
            Class::Normal | Class::Urgent => latest.0,
        };
        self.samples += usize::from(ask.class == Class::Batch);
        let gate = self.gates.entry(ask.model.clone()).or_default();
        let key = gate.lines[index(ask.class)].push(waiting, first);
        let spot = Spot { model: ask.model.clone(), class: ask.class, key };
        self.spots.insert(ask.id, spot);
        if self.spots.len() > self.settings.waiting {
            self.promise_broken("queue_bounded");
        }
        Verdict::Wait
    }

    /// Asserts, by the facts, that a start left the room reserved for more urgent classes.
    pub(crate) fn check_reserve(&mut self, class: Class, room: Room) {
        let settings = &self.settings;
        let share = match class {
            Class::Urgent => return,
            Class::Normal | Class::Batch => settings.normal_share,
        };
        if room.load as f32 >= most(class, room.slots, share) {
            self.promise_broken("room_reserved");
        }
    }
}

/// Gives the load up to which a class may start. At least one start of a caller is allowed at
/// any number of slots; the share of a few slots would otherwise round to nothing.
fn most(class: Class, slots: u32, share: f32) -> f32 {
    let most = slots as f32 * share;
    if class == Class::Batch { most.max(0.5) } else { most.max(1.0) }
}
