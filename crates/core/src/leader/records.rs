//! Which records the leader writes to the state service, and what they contain.
use super::*;
use crate::jobs::{FAILURES_CHUNK_TASKS, machine_entry_len, machines_value};
use serde_json::Value;

/// Cancellations of dependent jobs that are recorded at a time: these records are not urgent.
const MAX_CANCELLATION_RECORDS: usize = 100;

impl Leader {
    /// The records to write, most urgent first.
    pub fn due_writes(
        &self,
        state_replica: &StateReplica,
        value_limit: usize,
        now: Micros,
    ) -> Vec<LeaderWrite> {
        let mut v = Vec::new();
        let active = |id: &JobId| state_replica.jobs.get(id).is_some_and(|j| j.phase == Phase::Active);
        for (id, r) in self.arrays_with_progress.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            if r.spec.kind == Kind::Array && r.done.count_below(r.spec.tasks) >= r.spec.tasks && active(id) {
                v.push(LeaderWrite::JobDone(*id));
            }
        }
        // A job fails by recorded failures only, never by those that just one leader saw.
        let bounded = self.jobs.iter().filter(|(id, r)| r.spec.max_attempts.is_some() && active(id));
        for (id, r) in bounded {
            if let Some(i) = r.exhausted_task().filter(|i| !r.unrecorded_failures.contains(i)) {
                v.push(LeaderWrite::JobFailed(*id, i));
            }
            let chunks: BTreeSet<u32> =
                r.unrecorded_failures.iter().map(|i| i / FAILURES_CHUNK_TASKS).collect();
            v.extend(chunks.into_iter().map(|c| LeaderWrite::FailureCounts(*id, c)));
        }
        v.sort();
        let mut kinds: BTreeMap<(&str, &str, bool), (usize, Vec<MachineId>)> = BTreeMap::new();
        for (id, m) in &self.machines {
            if m.stage == Stage::Up && !m.recorded && !m.recording {
                let (length, list) = kinds.entry((&m.machine_type, &m.zone, m.spot)).or_default();
                *length += machine_entry_len(id, &m.addr);
                if *length < value_limit.saturating_sub(200) || list.is_empty() {
                    list.push(id.clone());
                }
            }
        }
        v.extend(kinds.into_values().map(|(_, list)| LeaderWrite::Machines(list)));
        for (name, (_, stage, _)) in &self.scale_out_requests {
            if *stage == ScaleOutStage::Unrecorded {
                v.push(LeaderWrite::ScaleOutName(name.clone()));
            }
        }
        for (id, r) in self.arrays_with_progress.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            if r.done.count_below(r.spec.tasks) < r.spec.tasks
                && active(id)
                && r.unrecorded_since.is_some_and(|t| now.since(t) > Micros::millis(1500))
            {
                let recorded = &state_replica.jobs[id].done;
                let chunks: BTreeSet<u32> = (0..r.spec.tasks)
                    .filter(|i| r.done.contains(*i) && !recorded.contains(*i))
                    .map(|i| i / crate::jobs::PROGRESS_CHUNK_TASKS)
                    .collect();
                v.extend(chunks.into_iter().map(|c| LeaderWrite::Progress(*id, c)));
            }
        }
        // A later leader doesn't know what became of a cancelled job's tasks. Without this
        // record it would delete machines that send no heartbeats, because they may hold one.
        for (id, by) in &self.cancelled_jobs {
            let job = state_replica.jobs.get(id).filter(|j| !j.fully_stopped && j.end_revision > 0);
            let known_for = (now + self.config.cancel_timeout).since(*by);
            if known_for > Micros::secs(1) && job.is_some_and(|j| self.has_no_tasks(*id, j)) {
                v.push(LeaderWrite::CancellationComplete(*id));
            }
        }
        let unrecorded = self.unrecorded_cancellations.iter().take(MAX_CANCELLATION_RECORDS);
        v.extend(unrecorded.map(|id| LeaderWrite::CancelDependent(*id)));
        for (key, (ids, _)) in &state_replica.machine_records {
            if ids.iter().any(|id| self.deleted_machines.contains_key(id)) {
                v.push(LeaderWrite::RemoveDeletedMachines(key.clone()));
            }
        }
        v
    }

    /// The record of machines of one kind, without deleted ones; `None` if none is left.
    pub fn machines_record(&self, ids: &[MachineId], state_replica: &StateReplica) -> Option<Value> {
        let present: Vec<(&MachineId, MachineRecord)> = ids
            .iter()
            .filter(|id| !self.deleted_machines.contains_key(*id))
            .filter_map(|id| {
                let known = self.machines.get(id).map(Machine::record);
                Some((id, known.or_else(|| state_replica.machines.get(id).cloned())?))
            })
            .collect();
        let (_, first) = present.first()?;
        let kind = (first.machine_type.as_str(), first.zone.as_str(), first.spot);
        Some(machines_value(kind, present.iter().map(|(id, r)| (*id, r.addr.as_str()))))
    }

    /// A write is pending, or (`pending` is false) it failed.
    pub fn set_write_pending(&mut self, w: &LeaderWrite, pending: bool) {
        if let LeaderWrite::Machines(ids) = w {
            for id in ids {
                if let Some(m) = self.machines.get_mut(id) {
                    m.recording = pending;
                }
            }
        }
    }

    /// The content of a progress record.
    pub fn progress(&self, id: JobId, chunk: u32) -> Option<String> {
        self.jobs.get(&id).map(|r| r.done.chunk_text(chunk))
    }

    /// The content of a failure record: the failures of one chunk of tasks.
    pub fn failures(&self, id: JobId, chunk: u32) -> Option<BTreeMap<u32, Failures>> {
        let run = self.jobs.get(&id)?;
        let range = chunk * FAILURES_CHUNK_TASKS..(chunk + 1) * FAILURES_CHUNK_TASKS;
        Some(run.failed_attempts.range(range).map(|(i, f)| (*i, *f)).collect())
    }

    /// Number of a task's failed attempts.
    pub fn attempts_of(&self, id: JobId, index: u32) -> u32 {
        self.jobs.get(&id).and_then(|r| r.failed_attempts.get(&index)).map_or(0, |f| f.count)
    }

    /// Notes that a write succeeded.
    pub fn write_succeeded(&mut self, w: &LeaderWrite) {
        self.needs_scheduling = true;
        match w {
            LeaderWrite::Machines(ids) => {
                for id in ids {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.recorded = true;
                    }
                }
                self.blocks_checked_at = Micros(0);
            }
            LeaderWrite::ScaleOutName(name) => {
                if let Some(h) = self.scale_out_requests.get_mut(name)
                    && h.1 == ScaleOutStage::Unrecorded
                {
                    h.1 = ScaleOutStage::Recorded;
                }
            }
            LeaderWrite::Progress(id, _) => {
                if let Some(r) = self.jobs.get_mut(id) {
                    r.unrecorded_since = None;
                }
            }
            // For these, only what the state replica shows counts.
            LeaderWrite::JobDone(_)
            | LeaderWrite::FailureCounts(..)
            | LeaderWrite::JobFailed(..)
            | LeaderWrite::CancellationComplete(_)
            | LeaderWrite::CancelDependent(_)
            | LeaderWrite::RemoveDeletedMachines(_) => {}
        }
    }

    /// Marks machines as recorded whose record appears after its write was given up.
    pub fn mark_late_records(&mut self, state_replica: &StateReplica) {
        let mut found = false;
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.stage == Stage::Up && !m.recorded) {
            m.recorded = state_replica.machines.contains_key(id);
            found |= m.recorded;
        }
        if found {
            self.blocks_checked_at = Micros(0);
            self.needs_scheduling = true;
        }
    }

    /// Notes progress that arrived while a record was being written. Ended jobs, and jobs
    /// whose progress is recorded, are not checked again until more of their tasks are done.
    pub fn mark_unrecorded_progress(&mut self, state_replica: &StateReplica, now: Micros) {
        let jobs = &mut self.jobs;
        self.arrays_with_progress.retain(|id| {
            let active = state_replica.jobs.get(id).filter(|j| j.phase == Phase::Active);
            let (Some(job), Some(r)) = (active, jobs.get_mut(id)) else { return false };
            if job.done.len() < r.done.len() {
                r.unrecorded_since.get_or_insert(now);
                return true;
            }
            r.done.count_below(r.spec.tasks) >= r.spec.tasks
        });
    }
}
