//! The queue behind the door: what starts next, and what loses its chance.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Millis;
use chicoryford_types::Model;

use crate::admission::Admission;
use crate::admission::Gate;
use crate::admission::index;
use crate::ask::Action;
use crate::ask::Refused;
use crate::ask::Room;
use crate::queue::Line;
use crate::queue::Waiting;

impl Admission {
    /// Gives what becomes of waiting requests now; `room` tells the room of a model.
    ///
    /// Call it after a request ended, after room changed, and at [`Self::wake`]. Those that lost
    /// their chance are refused at once, the ones that lost it first in front: holding them back
    /// would cost their callers time in which to ask elsewhere.
    pub fn poll(&mut self, now: Millis, mut room: impl FnMut(&Model) -> Room) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.dropped);
        let models: Vec<Model> = self
            .gates
            .iter()
            .filter(|(_, gate)| gate.lines.iter().any(|line| !line.is_empty()))
            .map(|(model, _)| model.clone())
            .collect();
        for model in models {
            let mut space = room(&model);
            self.drop_doomed(now, &model, space, &mut actions);
            while let Some(waiting) = self.next(&model, space) {
                self.spots.remove(&waiting.id);
                self.start(
                    waiting.id,
                    &waiting.workspace,
                    &model,
                    waiting.class,
                    waiting.expected_ms,
                );
                self.check_reserve(waiting.class, space);
                space.load += 1;
                actions.push(Action::Run(waiting.id));
            }
        }
        actions
    }

    /// Gives when [`Self::poll`] must be called at the latest.
    pub fn wake(&self) -> Option<Millis> {
        if !self.dropped.is_empty() {
            return Some(Millis::default());
        }
        let lines = self.gates.values().flat_map(|gate| &gate.lines);
        lines.filter_map(Line::next_doom).min().map(|doom| doom + 1)
    }

    /// Takes the request that starts next, if there is room for it.
    ///
    /// The most urgent class goes first, but waiting samples are owed a share of the starts: a
    /// trainer that gets nothing while callers keep coming would idle for as long as they come.
    fn next(&mut self, model: &Model, room: Room) -> Option<Waiting> {
        let gate = self.gates.get(model)?;
        let owed = gate.credit >= 1.0;
        let waits = |class: Class| !gate.lines[index(class)].is_empty();
        let order = if owed && !waits(Class::Urgent) {
            [Class::Urgent, Class::Batch, Class::Normal]
        } else {
            [Class::Urgent, Class::Normal, Class::Batch]
        };
        let class =
            order.into_iter().find(|class| waits(*class) && self.may_start(*class, room, owed))?;
        self.gates.get_mut(model)?.lines[index(class)].pop()
    }

    fn drop_doomed(&mut self, now: Millis, model: &Model, room: Room, actions: &mut Vec<Action>) {
        loop {
            let gate = self.gates.get_mut(model);
            let Some(waiting) = gate.and_then(|gate| doomed(gate, now)) else { return };
            let retry_ms = self.come_back(model, room);
            let refused = Refused { code: Code::DeadlineTooClose, retry_ms };
            actions.push(self.give_up(&waiting, refused));
        }
    }

    /// Makes room for a request of `class` in the full queue: a request that lost its chance goes
    /// first, and then the last of a less urgent class.
    pub(crate) fn make_room(&mut self, now: Millis, class: Class) -> bool {
        let mut models: Vec<Model> = self.gates.keys().cloned().collect();
        models.sort_unstable();
        let mut code = Code::DeadlineTooClose;
        let mut found =
            models.iter().find_map(|model| Some((model, doomed(self.gates.get_mut(model)?, now)?)));
        for lower in [Class::Batch, Class::Normal] {
            if found.is_none() && lower < class {
                code = Code::Overloaded;
                found = models.iter().find_map(|model| {
                    let gate = self.gates.get_mut(model)?;
                    Some((model, gate.lines[index(lower)].pop_last()?))
                });
            }
        }
        let Some((model, waiting)) = found else { return false };
        let retry_ms = self.come_back(model, Room::default());
        let action = self.give_up(&waiting, Refused { code, retry_ms });
        self.dropped.push(action);
        true
    }

    fn give_up(&mut self, waiting: &Waiting, refused: Refused) -> Action {
        if !self.settings.protections.forget
            && let Some(spot) = self.spots.get(&waiting.id)
            && let Some(gate) = self.gates.get_mut(&spot.model)
        {
            let late = Waiting { latest: Millis(u64::MAX), ..waiting.clone() };
            gate.lines[index(waiting.class)].push(late, 1);
        }
        self.spots.remove(&waiting.id);
        self.release(&waiting.workspace);
        Action::Refuse(waiting.id, self.refuse(waiting.id, refused))
    }
}

fn doomed(gate: &mut Gate, now: Millis) -> Option<Waiting> {
    gate.lines.iter_mut().find_map(|line| line.pop_doomed(now))
}
