//! Dispatch from the queues: which request starts next, and which are refused while they wait.

use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Millis;
use chicoryford_types::Model;

use crate::admission::Admission;
use crate::admission::ModelQueues;
use crate::admission::class_index;
use crate::queue::ClassQueue;
use crate::queue::Waiting;
use crate::request::Action;
use crate::request::Capacity;
use crate::request::Refusal;

impl Admission {
    /// Decides on queued requests: returns those that start now and those that are refused.
    /// `capacity` returns the capacity of a model.
    ///
    /// Must be called after a request ended, after capacity changed, and at [`Self::wake`].
    /// Requests that can no longer meet their deadline are refused at once, earliest first: holding
    /// them would cost their callers time to retry elsewhere.
    pub fn poll(
        &mut self,
        now: Millis,
        mut capacity: impl FnMut(&Model) -> Capacity,
    ) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.displaced);
        let mut capacities: Vec<(Model, Capacity)> = self
            .models
            .iter()
            .filter(|(_, queues)| queues.classes.iter().any(|class| !class.is_empty()))
            .map(|(model, _)| (model.clone(), capacity(model)))
            .collect();
        capacities.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (model, available) in &capacities {
            self.refuse_expired(now, model, *available, &mut actions);
        }
        while let Some((index, waiting)) = self.pop_next(&capacities) {
            let (model, available) = capacities[index].clone();
            self.remove_position(&waiting);
            let expected_ms = waiting.expected_ms;
            let class = waiting.class;
            self.start(waiting.id, &waiting.workspace, &model, class, expected_ms);
            self.check_reserve(class, available);
            // Models may share endpoints, so a start may use capacity of every model.
            for (_, available) in &mut capacities {
                available.load += 1;
            }
            actions.push(Action::Run(waiting.id));
        }
        actions
    }

    /// Returns the latest time for the next call of [`Self::poll`].
    pub fn wake(&self) -> Option<Millis> {
        if !self.displaced.is_empty() {
            return Some(Millis::default());
        }
        let classes = self.models.values().flat_map(|queues| &queues.classes);
        classes.filter_map(ClassQueue::next_expiry).min().map(|expiry| expiry + 1)
    }

    /// Removes and returns the request that starts next, if there is capacity for it.
    ///
    /// The most urgent class goes first, but waiting samples are credited with a share of the
    /// starts. Otherwise a trainer would get nothing and idle for as long as more urgent requests
    /// arrive.
    fn pop_next(&mut self, capacities: &[(Model, Capacity)]) -> Option<(usize, Waiting)> {
        let has_credit = self.batch_credit >= 1.0;
        let order = if has_credit {
            [Class::Urgent, Class::Batch, Class::Normal]
        } else {
            [Class::Urgent, Class::Normal, Class::Batch]
        };
        for class in order {
            let Some(index) = self.first_model(capacities, class, has_credit) else { continue };
            let queue = &mut self.models.get_mut(&capacities[index].0)?.classes[class_index(class)];
            if class == Class::Batch {
                self.fair_clock.advance(queue.first_order().unwrap_or(0));
            }
            return Some((index, queue.pop()?));
        }
        None
    }

    /// Returns the index of the model whose first request of a class precedes those of the other
    /// models.
    fn first_model(
        &self,
        capacities: &[(Model, Capacity)],
        class: Class,
        has_credit: bool,
    ) -> Option<usize> {
        let first =
            |model: &Model| self.models.get(model)?.classes[class_index(class)].first_order();
        capacities
            .iter()
            .enumerate()
            .filter(|(_, (_, capacity))| self.may_start(class, *capacity, has_credit))
            .filter_map(|(index, (model, _))| Some((first(model)?, index)))
            .min()
            .map(|(_, index)| index)
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
        capacity: Capacity,
        actions: &mut Vec<Action>,
    ) {
        loop {
            let queues = self.models.get_mut(model);
            let Some(waiting) = queues.and_then(|queues| pop_expired(queues, now)) else { return };
            let retry_ms = self.retry_after_ms(model, capacity);
            let refusal = Refusal { code: Code::DeadlineTooClose, retry_ms };
            actions.push(self.refuse_waiting(&waiting, refusal));
        }
    }

    /// Frees a place in the full queue for a request of `class`. Removes a request that can no
    /// longer meet its deadline, or else the last one of a less urgent class. Returns whether a
    /// place was freed.
    pub(crate) fn make_place(&mut self, now: Millis, class: Class) -> bool {
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
                    let queues = self.models.get_mut(model)?;
                    Some((model, queues.classes[class_index(lower)].pop_last()?))
                });
            }
        }
        let Some((model, waiting)) = found else { return false };
        let retry_ms = self.retry_after_ms(model, Capacity::default());
        let action = self.refuse_waiting(&waiting, Refusal { code, retry_ms });
        self.displaced.push(action);
        true
    }

    /// Returns whether a queued request of class `lower` may be displaced by one of `class`.
    ///
    /// Samples keep a share of the places. If other requests could take all of them, no sample
    /// would be queued when the samples have credit for a start, and trainers would still starve.
    fn gives_way(&self, lower: Class, class: Class) -> bool {
        let reserved = (self.settings.waiting as f32 * self.settings.batch_places) as usize;
        match (lower, class) {
            (Class::Batch, _) => lower < class && self.batch_waiting > reserved,
            (Class::Normal, Class::Batch) => self.batch_waiting < reserved,
            _ => lower < class,
        }
    }

    fn refuse_waiting(&mut self, waiting: &Waiting, refusal: Refusal) -> Action {
        if !self.settings.protections.forget
            && let Some(position) = self.positions.get(&waiting.id)
            && let Some(queues) = self.models.get_mut(&position.model)
        {
            let kept = Waiting { latest_start: Millis(u64::MAX), ..waiting.clone() };
            queues.classes[class_index(waiting.class)].push(kept, 0);
        }
        self.remove_position(waiting);
        self.release(&waiting.workspace);
        Action::Refuse(waiting.id, self.refuse(waiting.id, refusal))
    }
}

fn pop_expired(queues: &mut ModelQueues, now: Millis) -> Option<Waiting> {
    queues.classes.iter_mut().find_map(|queue| queue.pop_expired(now))
}
