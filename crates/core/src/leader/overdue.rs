//! A bound on how long a job waits for its first task, beside the tags: priorities and
//! tags say who goes first, and where what comes is more than the room, the last never
//! goes. A job of which nothing ran for `OVERDUE_MS` gets one task before all others;
//! its team is charged for it as for any. Limits, rules of zones and kinds, and the
//! first claim of replicas stand. Where no machine has room for a task of it, one is
//! kept from others until it has: small tasks would eat what becomes free.
use super::*;

/// Nothing of a job ran for so long, in milliseconds.
pub(super) const OVERDUE_MS: u64 = 100_000;
/// A start that is undone sooner was none.
const BEGUN: Micros = Micros::secs(30);
/// A machine gathers room for so long at most before another one is chosen.
const GATHER: Micros = Micros::secs(60);
/// One machine in so many may gather room, and always one.
const GATHERING: usize = 64;

impl Leader {
    /// Whether a task of the job has run for long enough to count.
    pub(super) fn has_begun(&self, id: JobId, run: &Run, now: Micros) -> bool {
        let started = |index: u32, on: &MachineId| {
            let at = self.machines.get(on).and_then(|m| m.started.get(&TaskId { job: id, index }));
            at.is_some_and(|t| now.since(*t) > BEGUN)
        };
        run.bound.iter().any(|(i, b)| b.on.iter().any(|on| started(*i, on)))
    }

    /// Hands out one task of each overdue job for which there is room.
    pub(super) fn serve_overdue(&mut self, now: Micros) {
        if self.waiting.overdue.is_empty() {
            return;
        }
        let overdue = std::mem::take(&mut self.waiting.overdue);
        let there = self.machines.values().filter(|m| m.gathers_for(now).is_some()).count();
        let mut left = (self.machines.len() / GATHERING + 1).saturating_sub(there);
        for id in &overdue {
            let Some(run) = self.jobs.get_mut(id) else { continue };
            let Some(index) = run.peek().filter(|_| !run.over && !run.begun && run.bound.is_empty()) else {
                continue;
            };
            let Some(run) = self.jobs.get(id) else { continue };
            if self.over_limit(&run.spec) || run.retry_at > now {
                continue;
            }
            let zones = self.zones_of(run);
            if let Some(machine) = self.find(run, &zones, now) {
                let (rank, team, class) =
                    (run.urgency.priority, run.spec.team.clone(), run.spec.class.clone());
                info!("{id} of class {class} waited too long: its first task goes before others");
                self.hand_out(TaskId { job: *id, index }, machine);
                let w = self.weight(&team);
                let queue = self.queues.entry(rank).or_default();
                queue.set_waiting(&team, true, self.ctx.operator.task_cost, w);
                queue.serve(&team);
                for m in self.machines.values_mut().filter(|m| m.gathers.is_some_and(|(j, _)| j == *id)) {
                    m.gathers = None;
                }
            } else if left > 0 && self.gather(*id, now) {
                left -= 1;
            }
        }
        self.waiting.overdue = overdue;
    }

    /// Keeps a machine from others until it has room for a task of the job; false if
    /// one is kept already, or none will do.
    fn gather(&mut self, id: JobId, now: Micros) -> bool {
        let Some(run) = self.jobs.get(&id) else { return false };
        let (spec, zones, contact) = (run.spec.clone(), self.zones_of(run), self.contacts(now));
        if self.machines.values().any(|m| m.gathers_for(now) == Some(id)) {
            return false;
        }
        // Replicas don't end, so that what they hold is no room to come.
        let ends = |t: &TaskId| self.jobs.get(&t.job).is_some_and(|r| r.spec.kind == Kind::Array);
        let lasting = |m: &Machine| {
            let mut sum = Resources::default();
            for t in m.tasks.keys().filter(|t| !ends(t)) {
                sum = sum.plus(self.jobs.get(&t.job).map_or(m.size, |r| r.spec.task_resources));
            }
            sum
        };
        let best = self
            .machines
            .iter()
            .filter(|(_, m)| m.in_reach(&contact) && m.gathers_for(now).is_none())
            .filter(|(_, m)| m.suits(&spec))
            .filter(|(_, m)| fleet::zone_ok(&spec, &m.zone, &zones))
            .filter(|(_, m)| m.size.saturating_sub(lasting(m)).fits(&spec.task_resources))
            // The least has to end; among equals the one that is cheapest to keep.
            .min_by_key(|(_, m)| (spec.task_resources.saturating_sub(m.free()).cpu, !m.spot, m.size.cpu));
        let Some(best) = best.map(|(id, _)| id.clone()) else { return false };
        debug!("{id} waited too long: room is gathered for it on {best}");
        if let Some(m) = self.machines.get_mut(&best) {
            m.gathers = Some((id, now + GATHER));
        }
        true
    }
}
