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
        let mut rooms: Vec<(Model, Room)> = self
            .gates
            .iter()
            .filter(|(_, gate)| gate.lines.iter().any(|line| !line.is_empty()))
            .map(|(model, _)| (model.clone(), room(model)))
            .collect();
        rooms.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (model, space) in &rooms {
            self.drop_doomed(now, model, *space, &mut actions);
        }
        while let Some((n, waiting)) = self.next(&rooms) {
            let (model, space) = rooms[n].clone();
            self.forget(&waiting);
            let expected_ms = waiting.expected_ms;
            let class = waiting.class;
            self.start(waiting.id, &waiting.workspace, &model, class, expected_ms);
            self.check_reserve(class, space);
            // Models may share endpoints: a start may take room from each of them.
            for (_, space) in &mut rooms {
                space.load += 1;
            }
            actions.push(Action::Run(waiting.id));
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
    fn next(&mut self, rooms: &[(Model, Room)]) -> Option<(usize, Waiting)> {
        let owed = self.credit >= 1.0;
        let order = if owed {
            [Class::Urgent, Class::Batch, Class::Normal]
        } else {
            [Class::Urgent, Class::Normal, Class::Batch]
        };
        for class in order {
            let Some(n) = self.first(rooms, class, owed) else { continue };
            let line = &mut self.gates.get_mut(&rooms[n].0)?.lines[index(class)];
            if class == Class::Batch {
                self.fair.advance(line.first().unwrap_or(0));
            }
            return Some((n, line.pop()?));
        }
        None
    }

    /// Gives the model whose first request of a class goes before those of the other models.
    fn first(&self, rooms: &[(Model, Room)], class: Class, owed: bool) -> Option<usize> {
        let first = |model: &Model| self.gates.get(model)?.lines[index(class)].first();
        rooms
            .iter()
            .enumerate()
            .filter(|(_, (_, room))| self.may_start(class, *room, owed))
            .filter_map(|(n, (model, _))| Some((first(model)?, n)))
            .min()
            .map(|(_, n)| n)
    }

    fn forget(&mut self, waiting: &Waiting) {
        if self.spots.remove(&waiting.id).is_some() && waiting.class == Class::Batch {
            self.samples -= 1;
        }
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
            if found.is_none() && self.yields(lower, class) {
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

    /// Tells whether a waiting request of class `lower` gives way to one of `class`.
    ///
    /// Samples keep a share of the places. If callers could take all of them, no sample would be
    /// there when it is owed a start, and trainers would starve after all.
    fn yields(&self, lower: Class, class: Class) -> bool {
        let kept = (self.settings.waiting as f32 * self.settings.batch_places) as usize;
        match (lower, class) {
            (Class::Batch, _) => lower < class && self.samples > kept,
            (Class::Normal, Class::Batch) => self.samples < kept,
            _ => lower < class,
        }
    }

    fn give_up(&mut self, waiting: &Waiting, refused: Refused) -> Action {
        if !self.settings.protections.forget
            && let Some(spot) = self.spots.get(&waiting.id)
            && let Some(gate) = self.gates.get_mut(&spot.model)
        {
            let late = Waiting { latest: Millis(u64::MAX), ..waiting.clone() };
            gate.lines[index(waiting.class)].push(late, 0);
        }
        self.forget(waiting);
        self.release(&waiting.workspace);
        Action::Refuse(waiting.id, self.refuse(waiting.id, refused))
    }
}

fn doomed(gate: &mut Gate, now: Millis) -> Option<Waiting> {
    gate.lines.iter_mut().find_map(|line| line.pop_doomed(now))
}
