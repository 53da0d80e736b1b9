//! What the leader records.
use super::*;

impl Leader {
    /// What should be written, most urgent first.
    pub fn writes(&self, ledger: &Ledger, now: Micros) -> Vec<LeaderWrite> {
        let mut v = Vec::new();
        let active = |id: &JobId| ledger.jobs.get(id).is_some_and(|j| j.phase == Phase::Active);
        for (id, r) in &self.jobs {
            if r.spec.kind == Kind::Array && r.done.len() >= r.spec.tasks && active(id) {
                v.push(LeaderWrite::End(*id));
            }
        }
        v.sort();
        for (id, m) in &self.machines {
            if m.stage == Stage::Up && !m.recorded {
                v.push(LeaderWrite::Machine(id.clone()));
            }
        }
        for (name, (_, stage, _)) in &self.hires {
            if *stage == HireStage::ToRecord {
                v.push(LeaderWrite::Hire(name.clone()));
            }
        }
        for (id, r) in &self.jobs {
            if r.done.len() < r.spec.tasks
                && active(id)
                && r.unrecorded_since.is_some_and(|t| now.since(t) > Micros::millis(1500))
            {
                let recorded = &ledger.jobs[id].done;
                let chunks: BTreeSet<u32> = (0..r.spec.tasks)
                    .filter(|i| r.done.contains(*i) && !recorded.contains(*i))
                    .map(|i| i / crate::core::jobs::CHUNK)
                    .collect();
                v.extend(chunks.into_iter().map(|c| LeaderWrite::Progress(*id, c)));
            }
        }
        for id in ledger.machines.keys() {
            if self.gone.contains_key(id) {
                v.push(LeaderWrite::Forget(id.clone()));
            }
        }
        v
    }

    /// A machine's record.
    pub fn machine(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// The text of a progress record.
    pub fn progress(&self, id: JobId, chunk: u32) -> Option<String> {
        self.jobs.get(&id).map(|r| r.done.chunk_text(chunk))
    }

    /// A write succeeded.
    pub fn written(&mut self, w: &LeaderWrite) {
        self.dirty = true;
        match w {
            LeaderWrite::Machine(id) => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.recorded = true;
                    self.blocks_at = Micros(0);
                }
            }
            LeaderWrite::Hire(name) => {
                if let Some(h) = self.hires.get_mut(name)
                    && h.1 == HireStage::ToRecord
                {
                    h.1 = HireStage::Recorded;
                }
            }
            LeaderWrite::Progress(id, _) => {
                if let Some(r) = self.jobs.get_mut(id) {
                    r.unrecorded_since = None;
                }
            }
            LeaderWrite::End(_) | LeaderWrite::Forget(_) => {}
        }
    }

    /// Progress that came in while a record was being written.
    pub fn note_unrecorded(&mut self, ledger: &Ledger, now: Micros) {
        for (id, r) in self.jobs.iter_mut() {
            if r.unrecorded_since.is_none()
                && ledger
                    .jobs
                    .get(id)
                    .is_some_and(|j| j.phase == Phase::Active && j.done.len() < r.done.len())
            {
                r.unrecorded_since = Some(now);
            }
        }
    }
}
