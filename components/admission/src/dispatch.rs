//! The queue behind the door: what starts next, and what loses its chance.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Millis;
use chicoryford_types::Model;

use crate::admission::Admission;
use crate::admission::ModelQueue;
use crate::admission::class_index;
use crate::queue::ClassQueue;
use crate::queue::Waiting;
use crate::request::Action;
use crate::request::Capacity;
use crate::request::Refusal;

impl Admission {
    /// Gives what becomes of waiting requests now; `room` tells the room of a model.
    ///
    /// Call it after a request ended, after room changed, and at [`Self::wake`]. Those that lost
    /// their chance are refused at once, the ones that lost it first in front: holding them back
    /// would cost their callers time in which to ask elsewhere.
    pub fn poll(&mut self, now: Millis, mut room: impl FnMut(&Model) -> Capacity) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.displaced);
        let mut rooms: Vec<(Model, Capacity)> = self
            .models
            .iter()
            .filter(|(_, gate)| gate.queues.iter().any(|line| !line.is_empty()))
            .map(|(model, _)| (model.clone(), room(model)))
            .collect();
        rooms.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (model, space) in &rooms {
            self.refuse_expired(now, model, *space, &mut actions);
        }
        while let Some((n, waiting)) = self.pop_next(&rooms) {
            let (model, space) = rooms[n].clone();
            self.remove_position(&waiting);
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
        if !self.displaced.is_empty() {
            return Some(Millis::default());
        }
        let lines = self.models.values().flat_map(|gate| &gate.queues);
        lines.filter_map(ClassQueue::next_expiry).min().map(|doom| doom + 1)
    }

    /// Takes the request that starts next, if there is room for it.
    ///
    /// The most urgent class goes first, but waiting samples are owed a share of the starts: a
    /// trainer that gets nothing while callers keep coming would idle for as long as they come.
    fn pop_next(&mut self, rooms: &[(Model, Capacity)]) -> Option<(usize, Waiting)> {
        let owed = self.batch_credit >= 1.0;
        let order = if owed {
            [Class::Urgent, Class::Batch, Class::Normal]
        } else {
            [Class::Urgent, Class::Normal, Class::Batch]
        };
        for class in order {
            let Some(n) = self.first_model(rooms, class, owed) else { continue };
            let line = &mut self.models.get_mut(&rooms[n].0)?.queues[class_index(class)];
            if class == Class::Batch {
                self.fair_clock.advance(line.first_order().unwrap_or(0));
            }
            return Some((n, line.pop()?));
        }
        None
    }

    /// Gives the model whose first request of a class goes before those of the other models.
    fn first_model(&self, rooms: &[(Model, Capacity)], class: Class, owed: bool) -> Option<usize> {
        let first =
            |model: &Model| self.models.get(model)?.queues[class_index(class)].first_order();
        rooms
            .iter()
            .enumerate()
            .filter(|(_, (_, room))| self.may_start(class, *room, owed))
            .filter_map(|(n, (model, _))| Some((first(model)?, n)))
            .min()
            .map(|(_, n)| n)
    }

    fn remove_position(&mut self, waiting: &Waiting) {
        if self.positions.remove(&waiting.id).is_some() && waiting.class == Class::Batch {
            self.batch_waiting -= 1;
        }
    }

    fn refuse_expired(
        &mut self,
        now: Millis,
        model: &Model,
        room: Capacity,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let gate = self.models.get_mut(model);
            let Some(waiting) = gate.and_then(|gate| pop_expired(gate, now)) else { return };
            let retry_ms = self.retry_after_ms(model, room);
            let refused = Refusal { code: Code::DeadlineTooClose, retry_ms };
            actions.push(self.refuse_waiting(&waiting, refused));
        }
    }

    /// Makes room for a request of `class` in the full queue: a request that lost its chance goes
    /// first, and then the last of a less urgent class.
    pub(crate) fn make_room(&mut self, now: Millis, class: Class) -> bool {
        let mut models: Vec<Model> = self.models.keys().cloned().collect();
        models.sort_unstable();
        let mut code = Code::DeadlineTooClose;
        let mut found = models
            .iter()
            .find_map(|model| Some((model, pop_expired(self.models.get_mut(model)?, now)?)));
        for lower in [Class::Batch, Class::Normal] {
            if found.is_none() && self.gives_way(lower, class) {
                code = Code::Overloaded;
                found = models.iter().find_map(|model| {
                    let gate = self.models.get_mut(model)?;
                    Some((model, gate.queues[class_index(lower)].pop_last()?))
                });
            }
        }
        let Some((model, waiting)) = found else { return false };
        let retry_ms = self.retry_after_ms(model, Capacity::default());
        let action = self.refuse_waiting(&waiting, Refusal { code, retry_ms });
        self.displaced.push(action);
        true
    }

    /// Tells whether a waiting request of class `lower` gives way to one of `class`.
    ///
    /// Samples keep a share of the places. If callers could take all of them, no sample would be
    /// there when it is owed a start, and trainers would starve after all.
    fn gives_way(&self, lower: Class, class: Class) -> bool {
        let kept = (self.settings.waiting as f32 * self.settings.batch_places) as usize;
        match (lower, class) {
            (Class::Batch, _) => lower < class && self.batch_waiting > kept,
            (Class::Normal, Class::Batch) => self.batch_waiting < kept,
            _ => lower < class,
        }
    }

    fn refuse_waiting(&mut self, waiting: &Waiting, refused: Refusal) -> Action {
        if !self.settings.protections.forget
            && let Some(spot) = self.positions.get(&waiting.id)
            && let Some(gate) = self.models.get_mut(&spot.model)
        {
            let late = Waiting { latest_start: Millis(u64::MAX), ..waiting.clone() };
            gate.queues[class_index(waiting.class)].push(late, 0);
        }
        self.remove_position(waiting);
        self.release(&waiting.workspace);
        Action::Refuse(waiting.id, self.refuse(waiting.id, refused))
    }
}

fn pop_expired(gate: &mut ModelQueue, now: Millis) -> Option<Waiting> {
    gate.queues.iter_mut().find_map(|line| line.pop_expired(now))
}
