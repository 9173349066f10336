//! The leader's steps: submission, reads, ends, and takeover from the previous leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Command;
use chicoryford_fleet::ListedResult;
use chicoryford_fleet::Step;
use chicoryford_fleet::StepSummary;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::plan::Checkpoint;
use chicoryford_fleet::plan::Restored;
use chicoryford_fleet::step::MAX_REPLY_BYTES;
use chicoryford_fleet::step::StoredResult;
use chicoryford_fleet::step::reply_bytes;
use chicoryford_types::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::clock;
use crate::copies;
use crate::leader::Leader;
use crate::leader::PLAN_INTERVAL;
use crate::message::Answer;
use crate::offload;

/// Milliseconds for which a step that was taken over waits for reports about its running samples if
/// some host does not report. Hosts notice the loss of the previous leader within 0.9 s, mostly
/// before the next one is elected.
pub(super) const HOST_REPORTS_WAIT_MS: u64 = 500;
/// Milliseconds for which the end of a step waits until the step is read from the stores. They connect
/// to a new leader within some tenths of a second; a step that cannot be read must end as well.
const UNREAD_END_WAIT_MS: u64 = 500;

impl Leader {
    /// Accepts a step: writes its samples to enough stores and commits their location to the log.
    pub(super) async fn submit(&self, step: Arc<Step>) -> Answer {
        let id = step.id.clone();
        // The same step may be submitted twice concurrently, so each submission adds its own entry.
        self.submitting.borrow_mut().push(id.clone());
        let answer = self.submit_once(step).await;
        let mut submitting = self.submitting.borrow_mut();
        if let Some(place) = submitting.iter().position(|other| *other == id) {
            submitting.swap_remove(place);
        }
        if !submitting.contains(&id) {
            self.step_memory.borrow_mut().cancel(&id);
        }
        answer
    }

    async fn submit_once(&self, step: Arc<Step>) -> Answer {
        let bytes = step.memory_bytes();
        let summarized = step.clone();
        let summarize = move || StepSummary::of(&summarized, PartId(rand::random()));
        let summary = offload::run(bytes as usize, summarize).await;
        match self.find_submission(&summary).await {
            Ok(None) => {}
            Ok(Some(known)) => return self.repeat_submission(&step.id, known).await,
            Err(answer) => return answer,
        }
        if !self.step_memory.borrow_mut().reserve(&step.id, bytes, clock::now()) {
            return self.refuse_step(&step.id, bytes);
        }
        let step = self.grant_scorers(step);
        self.write_step(&step, summary).await
    }

    /// Reserves memory for a large step. The submission of a known step needs none.
    pub(super) fn reserve_step(&self, step: &str, bytes: u64) -> Answer {
        let is_known = self.context.replica.state().steps.contains_key(step);
        if is_known || self.step_memory.borrow_mut().reserve(step, bytes, clock::now()) {
            Answer::Done
        } else {
            self.refuse_step(step, bytes)
        }
    }

    fn refuse_step(&self, step: &str, bytes: u64) -> Answer {
        let open_bytes = self.step_memory.borrow().bytes();
        tracing::info!(event = "step_refused", step, bytes, open_bytes, why = "no memory");
        Answer::Full
    }

    async fn write_step(&self, step: &Arc<Step>, summary: StepSummary) -> Answer {
        let part = summary.part;
        let encoded = step.clone();
        let encode = move || rmp_serde::to_vec(&*encoded).expect("steps are plain data");
        let bytes = Bytes::from(offload::run(step.memory_bytes() as usize, encode).await);
        let place = self.copies.write(part, &bytes, || self.retired_stores()).await;
        drop(bytes);
        self.submitted.borrow_mut().insert(part, step.clone());
        let answer =
            self.commit(Command::Submit { step: Arc::new(summary), placement: place }).await;
        self.submitted.borrow_mut().remove(&part);
        if matches!(answer, Answer::Unknown) { Answer::Ambiguous } else { answer }
    }

    pub(super) fn on_submitted(&self, outline: &StepSummary, place: &copies::Placement) {
        let Some(step) = self.submitted.borrow().get(&outline.part).cloned() else {
            // Proposed by an earlier leader; the step is read from the stores.
            self.unread.borrow_mut().push(outline.id.clone());
            return;
        };
        let copies = match place {
            copies::Placement::Inline(_) => 0,
            copies::Placement::Stores(stores) => stores.len(),
        };
        tracing::info!(
            event = "step_accepted",
            step = step.id,
            model = step.model,
            number = step.number,
            least = step.min_version,
            samples = outline.samples,
            wanted = step.wanted_groups,
            copies
        );
        self.step_memory.borrow_mut().open(&step.id, step.memory_bytes());
        self.plan.borrow_mut().open_step(step, clock::now(), Millis::default(), |_| false);
    }

    pub(super) async fn read_results(
        &self,
        step: &str,
        after: u64,
        wait_ms: u64,
        near: &str,
    ) -> Answer {
        let until = clock::now() + wait_ms;
        let step = match self.find_step(step).await {
            Ok(found) => found,
            Err(answer) => return answer,
        };
        let step = step.as_str();
        let mut listed = self.listed.subscribe();
        let mut waiting = None;
        loop {
            if !self.leads() {
                return Answer::NotNow;
            }
            let left = until.since(clock::now());
            let ready = {
                let state = self.context.replica.state();
                let Some(found) = state.steps.get(step) else { return Answer::Unknown };
                found.results.len() as u64 > after || !found.is_open() || left == 0
            };
            if ready {
                return self.results(step, after, near).await;
            }
            if waiting.is_none() {
                waiting = Some(self.readers.register(step, until));
                self.outbox.recheck();
            }
            let changed = listed.changed();
            if let Ok(Err(_)) = tokio::time::timeout(Duration::from_millis(left), changed).await {
                return Answer::NotNow;
            }
        }
    }

    /// Assembles results from their records in the log and their texts in the parts. Omits texts
    /// that the caller can read from a store in its own data centre, unless that is also the
    /// leader's data centre, where reading from the leader is just as near.
    async fn results(&self, step: &str, after: u64, near: &str) -> Answer {
        let (total, chosen, places) = {
            let state = self.context.replica.state();
            let Some(found) = state.steps.get(step) else { return Answer::Unknown };
            let chosen = choose_results(&found.results, after);
            let parts: BTreeSet<PartId> = chosen.iter().filter_map(|one| one.part()).collect();
            let places = parts
                .iter()
                .filter_map(|part| Some((*part, state.parts.get(part)?.placement.clone())));
            let places: Vec<(PartId, copies::Placement)> = places.collect();
            (u64::from(found.step.samples), chosen, places)
        };
        let mut texts: BTreeMap<PartId, Vec<String>> = BTreeMap::new();
        let mut nearby: BTreeMap<PartId, SocketAddr> = BTreeMap::new();
        let far = !near.is_empty() && near != self.context.settings.data_centre;
        for (part, place) in places {
            let address = if far { self.copies.address_in(&place, near) } else { None };
            if let Some(address) = address {
                nearby.insert(part, address);
                continue;
            }
            let Some(bytes) = self.copies.read(part, &place).await else { return Answer::NotNow };
            match rmp_serde::from_slice(&bytes) {
                Ok(read) => texts.insert(part, read),
                Err(error) => {
                    tracing::error!(event = "part_unfit", part = part.0, %error);
                    return Answer::NotNow;
                }
            };
        }
        Answer::Results { total, listed: chosen, texts, near: nearby }
    }

    pub(super) async fn body(&self, step: &str, sample: &str) -> Answer {
        let step = match self.find_step(step).await {
            Ok(found) => found,
            Err(answer) => return answer,
        };
        let found = {
            let state = self.context.replica.state();
            let Some(found) = state.steps.get(&step) else { return Answer::Unknown };
            let part = found.step.part;
            state.parts.get(&part).map(|known| (part, known.placement.clone()))
        };
        let Some((part, place)) = found else { return Answer::NotNow };
        let Some(step) = self.read_step(part, &place).await else { return Answer::NotNow };
        let sample = step.samples.into_iter().find(|known| known.id == sample);
        sample.map_or(Answer::Unknown, |sample| Answer::Body(sample.body))
    }

    pub(super) async fn end_step(&self, step: String) -> Answer {
        let step = match self.find_step(&step).await {
            Ok(found) => found,
            // The submission is about to be committed. If the end were answered as that of an
            // unknown step, the samples would run although nobody wants them, so the caller
            // retries.
            Err(Answer::Unknown | Answer::KeyRequired) if self.is_submitting(&step) => {
                return Answer::NotNow;
            }
            Err(answer) => return answer,
        };
        // The endpoints that were granted, and may be called, are stored with the step.
        let until = clock::now() + UNREAD_END_WAIT_MS;
        while self.is_unread(&step) && clock::now() < until {
            tokio::time::sleep(PLAN_INTERVAL).await;
        }
        // A sample that is ordered after its cost was read would not be recorded.
        self.plan.borrow_mut().set_ending(&step, true);
        let costs = self.plan.borrow().unfinished_costs(&step);
        let end = self.commit(Command::End { step: step.clone() });
        let answer = if costs.is_empty() {
            end.await
        } else {
            // The log keeps their order.
            futures_util::future::join(self.commit(Command::Spend(costs)), end).await.1
        };
        self.plan.borrow_mut().set_ending(&step, false);
        answer
    }

    /// Returns whether a step is open and was not read from the stores yet.
    fn is_unread(&self, step: &str) -> bool {
        let state = self.context.replica.state();
        let is_open = state.steps.get(step).is_some_and(|found| found.is_open());
        is_open && !self.plan.borrow().has_step(step)
    }

    pub(super) fn close_step(&self, step: &str) {
        self.step_memory.borrow_mut().close(step);
        if !self.plan.borrow().has_step(step) {
            let unread = self.unread.borrow().iter().any(|other| other == step);
            if unread {
                // Reports about its runs were ignored while the step was unread, and hosts do not
                // repeat the report of a run whose scorer is being called. When asked to report
                // again, they are told to stop the run.
                self.hosts.request_reports();
                tracing::info!(event = "step_closed", step, unread);
            }
            return;
        }
        let hosted = self.plan.borrow_mut().close_step(step, clock::now());
        let mut untold = 0;
        for (host, index, run) in &hosted {
            if !self.hosts.stop(host, step, *index, *run) {
                untold += 1;
            }
            self.hosts.release_run(host);
        }
        let stopped = hosted.len();
        self.listed.send_modify(|count| *count += 1);
        tracing::info!(event = "step_closed", step, stopped, untold);
    }

    /// Takes over an open step from the previous leader. Returns whether no further attempt is
    /// needed.
    pub(super) async fn adopt_step(&self, id: &str) -> bool {
        let found = {
            let state = self.context.replica.state();
            let open = state.steps.get(id).filter(|step| step.is_open());
            open.and_then(|step| {
                let place = state.parts.get(&step.step.part)?.placement.clone();
                Some((step.step.part, place))
            })
        };
        let Some((part, place)) = found else { return true };
        let Some(step) = self.read_step(part, &place).await else { return false };
        let step_bytes = step.memory_bytes();
        let checkpoints = self.read_checkpoints(id).await;
        let state = self.context.replica.state();
        if let Some(open) = state.steps.get(id).filter(|step| step.is_open()) {
            let at =
                self.began.0.saturating_sub(self.start_clock.saturating_sub(open.submitted_at));
            let mut plan = self.plan.borrow_mut();
            let reports_until = clock::now() + HOST_REPORTS_WAIT_MS;
            plan.open_step(Arc::new(step), Millis(at), reports_until, |index| {
                open.is_listed(index)
            });
            self.step_memory.borrow_mut().open(id, step_bytes);
            let parts = open.checkpoints.len();
            let Restored { samples, events, rejected } = plan.restore_checkpoints(id, checkpoints);
            tracing::info!(
                event = "step_adopted",
                step = id,
                listed = open.results.len(),
                parts,
                resumed = samples,
                events,
                rejected
            );
        }
        true
    }

    /// Requests reports of all runs from all hosts. The steps that were taken over wait for these
    /// reports.
    fn request_host_reports(&self) {
        let mut hosts = self.hosts.request_reports();
        hosts.extend(self.context.replica.state().store_nodes());
        self.plan.borrow_mut().await_hosts(hosts, clock::now());
        self.wake_planner.notify_one();
    }

    pub(super) async fn read_step(&self, part: PartId, place: &copies::Placement) -> Option<Step> {
        let bytes = self.copies.read(part, place).await?;
        offload::run(bytes.len(), move || rmp_serde::from_slice(&bytes))
            .await
            .inspect_err(|error| tracing::error!(event = "part_unfit", part = part.0, %error))
            .ok()
    }

    /// Reads the checkpoints of a step's samples. A checkpoint that cannot be read costs only the
    /// time to repeat the work.
    pub(super) async fn read_checkpoints(&self, id: &str) -> Vec<Checkpoint> {
        let places: Vec<(PartId, copies::Placement)> = {
            let state = self.context.replica.state();
            let parts =
                state.steps.get(id).map(|step| step.checkpoints.clone()).unwrap_or_default();
            let place = |part: PartId| Some((part, state.parts.get(&part)?.placement.clone()));
            parts.into_iter().filter_map(place).collect()
        };
        let mut checkpoints = Vec::new();
        for (part, place) in places {
            let Some(bytes) = self.copies.read(part, &place).await else {
                tracing::warn!(event = "checkpoint_unread", step = id, part = part.0);
                continue;
            };
            match rmp_serde::from_slice::<Vec<Checkpoint>>(&bytes) {
                Ok(read) => checkpoints.extend(read),
                Err(error) => tracing::error!(event = "part_unfit", part = part.0, %error),
            }
        }
        checkpoints
    }

    /// Writes checkpoints of long runs to the stores.
    pub(super) async fn write_checkpoints(&self) {
        let checkpoints = self.plan.borrow_mut().take_checkpoints();
        let writes = checkpoints.into_iter().map(|(step, checkpoints)| {
            async move {
                let part = PartId(rand::random());
                let bytes = Bytes::from(
                    rmp_serde::to_vec(&checkpoints).expect("checkpoints are plain data"),
                );
                let place = self.copies.write(part, &bytes, || self.retired_stores()).await;
                // A checkpoint is not put into the log, which is not meant for this volume of data.
                let is_stored = matches!(place, copies::Placement::Stores(_));
                if !is_stored {
                    let samples = checkpoints.len();
                    tracing::warn!(event = "checkpoints_skipped", step, part = part.0, samples);
                }
                let note = Command::Note { step: step.clone(), part, placement: place };
                if !is_stored || !matches!(self.commit(note).await, Answer::Done) {
                    self.plan.borrow_mut().record_unwritten(&step, &checkpoints);
                }
            }
        });
        futures_util::future::join_all(writes).await;
    }

    pub(super) async fn forget_expired_steps(&self) {
        let now = self.fleet_now();
        let keep_ms = self.context.settings.keep_s * 1_000;
        let steps = self.context.replica.state().expired(now, keep_ms);
        if !steps.is_empty() {
            tracing::info!(event = "steps_forgotten", count = steps.len());
            self.commit(Command::Forget { steps }).await;
        }
    }
}

/// Reads the open steps of earlier leaders from the stores, concurrently, so that a step whose part
/// or checkpoints are slow to read delays no other.
///
/// Reports that hosts sent before a step was read were ignored, so the hosts are asked again, once
/// for all steps that were read in the meantime. Reporting all runs takes a host and the leader
/// some tenths of a second of processor time. If they were asked at each check while a step cannot
/// be read, hosts and leader would fall behind by seconds, orders would wait behind the reports,
/// and the leader would lose its leadership again.
pub(super) async fn adopt_steps(leader: Weak<Leader>) {
    if let Some(leader) = leader.upgrade() {
        let state = leader.context.replica.state();
        let open = state.steps.iter().filter(|(_, step)| step.is_open());
        leader.unread.borrow_mut().extend(open.map(|(id, _)| id.clone()));
    }
    let mut reading = FuturesUnordered::new();
    let mut in_progress = BTreeSet::new();
    loop {
        let Some(leader) = leader.upgrade() else { return };
        for id in leader.unread.borrow().iter() {
            if in_progress.insert(id.clone()) {
                reading.push(adopt_unread(leader.clone(), id.clone()));
            }
        }
        let pause = tokio::time::sleep(PLAN_INTERVAL);
        tokio::pin!(pause);
        let mut any_read = false;
        loop {
            tokio::select! {
                Some((id, done)) = reading.next() => {
                    in_progress.remove(&id);
                    any_read |= done;
                    if any_read && reading.is_empty() {
                        leader.request_host_reports();
                        any_read = false;
                    }
                }
                () = &mut pause => break,
            }
        }
        if any_read {
            leader.request_host_reports();
        }
    }
}

/// Takes over one step of the previous leader. Returns its id, and whether no further attempt is
/// needed.
async fn adopt_unread(leader: Rc<Leader>, id: String) -> (String, bool) {
    let done = leader.plan.borrow().has_step(&id) || leader.adopt_step(&id).await;
    if done {
        leader.unread.borrow_mut().retain(|other| *other != id);
    }
    (id, done)
}

/// Returns the results from position `after` that fit into one reply, at least one if there is any.
pub(super) fn choose_results(results: &[Arc<ListedResult>], after: u64) -> Vec<Arc<ListedResult>> {
    let mut bytes = 0;
    let mut chosen = Vec::new();
    for listed in results.iter().skip(after as usize) {
        bytes += result_bytes(listed);
        if bytes > MAX_REPLY_BYTES && !chosen.is_empty() {
            break;
        }
        chosen.push(listed.clone());
    }
    chosen
}

/// Returns the approximate size of a result in a reply, in bytes.
pub(super) fn result_bytes(listed: &ListedResult) -> usize {
    let text = match &listed.result {
        StoredResult::Completed { bytes, .. } => *bytes as usize,
        StoredResult::GivenUp => 0,
    };
    reply_bytes(&listed.sample, text)
}
