//! What the leader records.
use super::*;
use crate::jobs::{FAILURES_CHUNK_TASKS, machine_entry_len, machines_value};
use serde_json::Value;

/// Records of jobs cancelled with others that are offered at a time: they are in no hurry.
const CANCELLATIONS_AT_ONCE: usize = 100;

impl Leader {
    /// What should be written, most urgent first.
    pub fn writes(&self, ledger: &StateReplica, value_limit: usize, now: Micros) -> Vec<LeaderWrite> {
        let mut v = Vec::new();
        let active = |id: &JobId| ledger.jobs.get(id).is_some_and(|j| j.phase == Phase::Active);
        for (id, r) in self.progressed.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            if r.spec.kind == Kind::Array && r.done.count_below(r.spec.tasks) >= r.spec.tasks && active(id) {
                v.push(LeaderWrite::JobDone(*id));
            }
        }
        // A job is failed by what is recorded, never by what one leader saw.
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
                let (room, list) = kinds.entry((&m.build, &m.zone, m.spot)).or_default();
                *room += machine_entry_len(id, &m.addr);
                if *room < value_limit.saturating_sub(200) || list.is_empty() {
                    list.push(id.clone());
                }
            }
        }
        v.extend(kinds.into_values().map(|(_, list)| LeaderWrite::Machines(list)));
        for (name, (_, stage, _)) in &self.hires {
            if *stage == ScaleOutStage::Unrecorded {
                v.push(LeaderWrite::ScaleOutName(name.clone()));
            }
        }
        for (id, r) in self.progressed.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            if r.done.count_below(r.spec.tasks) < r.spec.tasks
                && active(id)
                && r.unrecorded_since.is_some_and(|t| now.since(t) > Micros::millis(1500))
            {
                let recorded = &ledger.jobs[id].done;
                let chunks: BTreeSet<u32> = (0..r.spec.tasks)
                    .filter(|i| r.done.contains(*i) && !recorded.contains(*i))
                    .map(|i| i / crate::jobs::PROGRESS_CHUNK_TASKS)
                    .collect();
                v.extend(chunks.into_iter().map(|c| LeaderWrite::Progress(*id, c)));
            }
        }
        // A later leader, which doesn't know what became of a cancelled job's
        // tasks, would delete what machines it can't hear for its sake.
        for (id, by) in &self.aborted {
            let job = ledger.jobs.get(id).filter(|j| !j.fully_stopped && j.end_revision > 0);
            let known_for = (now + self.ctx.cancel).since(*by);
            if known_for > Micros::secs(1) && job.is_some_and(|j| self.nowhere(*id, j)) {
                v.push(LeaderWrite::CancellationComplete(*id));
            }
        }
        let unrecorded = self.unrecorded_cancellations.iter().take(CANCELLATIONS_AT_ONCE);
        v.extend(unrecorded.map(|id| LeaderWrite::CancelDependent(*id)));
        for (key, (ids, _)) in &ledger.machine_records {
            if ids.iter().any(|id| self.gone.contains_key(id)) {
                v.push(LeaderWrite::RemoveDeletedMachines(key.clone()));
            }
        }
        v
    }

    /// The record of machines of one kind; those that are gone are left out,
    /// and `None` if none is left.
    pub fn machines_record(&self, ids: &[MachineId], ledger: &StateReplica) -> Option<Value> {
        let there: Vec<(&MachineId, MachineRecord)> = ids
            .iter()
            .filter(|id| !self.gone.contains_key(*id))
            .filter_map(|id| {
                let known = self.machines.get(id).map(Machine::record);
                Some((id, known.or_else(|| ledger.machines.get(id).cloned())?))
            })
            .collect();
        let (_, first) = there.first()?;
        let kind = (first.machine_type.as_str(), first.zone.as_str(), first.spot);
        Some(machines_value(kind, there.iter().map(|(id, r)| (*id, r.addr.as_str()))))
    }

    /// A write is under way, or (`open` false) it failed.
    pub fn writing(&mut self, w: &LeaderWrite, open: bool) {
        if let LeaderWrite::Machines(ids) = w {
            for id in ids {
                if let Some(m) = self.machines.get_mut(id) {
                    m.recording = open;
                }
            }
        }
    }

    /// The text of a progress record.
    pub fn progress(&self, id: JobId, chunk: u32) -> Option<String> {
        self.jobs.get(&id).map(|r| r.done.chunk_text(chunk))
    }

    /// The record of a chunk of failures.
    pub fn failures(&self, id: JobId, chunk: u32) -> Option<BTreeMap<u32, Failures>> {
        let run = self.jobs.get(&id)?;
        let range = chunk * FAILURES_CHUNK_TASKS..(chunk + 1) * FAILURES_CHUNK_TASKS;
        Some(run.failed_attempts.range(range).map(|(i, f)| (*i, *f)).collect())
    }

    /// How often a task has failed.
    pub fn attempts_of(&self, id: JobId, index: u32) -> u32 {
        self.jobs.get(&id).and_then(|r| r.failed_attempts.get(&index)).map_or(0, |f| f.count)
    }

    /// A write succeeded.
    pub fn written(&mut self, w: &LeaderWrite) {
        self.dirty = true;
        match w {
            LeaderWrite::Machines(ids) => {
                for id in ids {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.recorded = true;
                    }
                }
                self.blocks_at = Micros(0);
            }
            LeaderWrite::ScaleOutName(name) => {
                if let Some(h) = self.hires.get_mut(name)
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
            // What the mirror shows of these is what counts.
            LeaderWrite::JobDone(_)
            | LeaderWrite::FailureCounts(..)
            | LeaderWrite::JobFailed(..)
            | LeaderWrite::CancellationComplete(_)
            | LeaderWrite::CancelDependent(_)
            | LeaderWrite::RemoveDeletedMachines(_) => {}
        }
    }

    /// Machines whose record turned up after its write was given up.
    pub fn note_recorded(&mut self, ledger: &StateReplica) {
        let mut news = false;
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.stage == Stage::Up && !m.recorded) {
            m.recorded = ledger.machines.contains_key(id);
            news |= m.recorded;
        }
        if news {
            self.blocks_at = Micros(0);
            self.dirty = true;
        }
    }

    /// Progress that came in while a record was being written. Jobs that are
    /// over, and those whose progress is on record, are not looked at again
    /// before more of them is done.
    pub fn note_unrecorded(&mut self, ledger: &StateReplica, now: Micros) {
        let jobs = &mut self.jobs;
        self.progressed.retain(|id| {
            let active = ledger.jobs.get(id).filter(|j| j.phase == Phase::Active);
            let (Some(job), Some(r)) = (active, jobs.get_mut(id)) else { return false };
            if job.done.len() < r.done.len() {
                r.unrecorded_since.get_or_insert(now);
                return true;
            }
            r.done.count_below(r.spec.tasks) >= r.spec.tasks
        });
    }
}
