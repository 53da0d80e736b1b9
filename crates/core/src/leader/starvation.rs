//! Starvation protection: bounds how long a job waits for its first task.
//!
//! Priorities and start tags only order the jobs. While demand exceeds capacity, the last job
//! in that order would never start. A job that has run nothing for `STARVATION_TIMEOUT_MS`
//! therefore gets one task before all other jobs, and its team is charged for it as for any
//! task. Team limits, zone and machine type rules, and the precedence of replicas still apply.
//! If no machine has free capacity for the task, one machine is reserved until it has:
//! otherwise small tasks would take each piece of capacity that becomes free.
use super::*;

/// A job that has run nothing for this long is starved.
pub(super) const STARVATION_TIMEOUT_MS: u64 = 100_000;
/// A task counts as a start of its job once it has run for longer than this.
const MIN_RUN_TIME: Micros = Micros::secs(30);
/// Longest time that a machine is reserved for a starved job; then another one may be chosen.
const ACCUMULATION_TIMEOUT: Micros = Micros::secs(60);
/// One machine may be reserved for a starved job, and one more for each this many machines.
const MACHINES_PER_ACCUMULATION: usize = 64;

impl Leader {
    /// Whether a task of the job has run for longer than `MIN_RUN_TIME`.
    pub(super) fn has_run_long_enough(&self, id: JobId, run: &JobRun, now: Micros) -> bool {
        let started = |index: u32, on: &MachineId| {
            let at = self.machines.get(on).and_then(|m| m.started.get(&TaskId { job: id, index }));
            at.is_some_and(|t| now.since(*t) > MIN_RUN_TIME)
        };
        run.bound.iter().any(|(i, b)| b.reported_on.iter().any(|on| started(*i, on)))
    }

    /// Assigns one task of each starved job that fits on a machine, and reserves machines for
    /// the others.
    pub(super) fn serve_starved(&mut self, now: Micros) {
        if self.pending_jobs.starved.is_empty() {
            return;
        }
        let starved = std::mem::take(&mut self.pending_jobs.starved);
        let accumulating = self.machines.values().filter(|m| m.accumulating_job(now).is_some()).count();
        let mut left = (self.machines.len() / MACHINES_PER_ACCUMULATION + 1).saturating_sub(accumulating);
        for id in &starved {
            let Some(run) = self.jobs.get_mut(id) else { continue };
            let Some(index) =
                run.next_pending().filter(|_| !run.ended && !run.started && run.bound.is_empty())
            else {
                continue;
            };
            let Some(run) = self.jobs.get(id) else { continue };
            if self.exceeds_team_limit(&run.spec) || run.retry_at > now {
                continue;
            }
            let zones = self.tasks_per_zone(run);
            if let Some(machine) = self.find_machine(run, index, &zones, now) {
                let (priority, team, class) =
                    (run.urgency.priority, run.spec.team.clone(), run.spec.class.clone());
                info!("{id} of class {class} is starved: its first task is assigned before other jobs");
                self.assign(TaskId { job: *id, index }, machine);
                let w = self.weight(&team);
                let queue = self.queues.entry(priority).or_default();
                queue.set_pending(&team, true, self.config.operator.task_cost, w);
                queue.serve(&team);
                for m in
                    self.machines.values_mut().filter(|m| m.accumulates_for.is_some_and(|(j, _)| j == *id))
                {
                    m.accumulates_for = None;
                }
            } else if left > 0 && self.accumulate_capacity(*id, now) {
                left -= 1;
            }
        }
        self.pending_jobs.starved = starved;
    }

    /// Reserves a machine until it has free capacity for a task of the job; false if one is
    /// reserved already, or none is suitable.
    fn accumulate_capacity(&mut self, id: JobId, now: Micros) -> bool {
        let Some(run) = self.jobs.get(&id) else { return false };
        let (spec, zones, contact) =
            (run.spec.clone(), self.tasks_per_zone(run), self.controllers_in_contact(now));
        if self.machines.values().any(|m| m.accumulating_job(now) == Some(id)) {
            return false;
        }
        // Replicas do not exit, so their resources do not become free.
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
            .filter(|(_, m)| m.is_reachable(&contact) && m.accumulating_job(now).is_none())
            .filter(|(_, m)| m.suits(&spec))
            .filter(|(_, m)| fleet::zone_allows_task(&spec, &m.zone, &zones))
            .filter(|(_, m)| m.size.saturating_sub(lasting(m)).fits(&spec.task_resources))
            // The machine with the fewest CPUs still to become free; among equals the one
            // that is cheapest to reserve: spot first, then the smallest.
            .min_by_key(|(_, m)| (spec.task_resources.saturating_sub(m.free()).cpu, !m.spot, m.size.cpu));
        let Some(best) = best.map(|(id, _)| id.clone()) else { return false };
        debug!("{id} is starved: {best} is reserved for it until a task fits");
        if let Some(m) = self.machines.get_mut(&best) {
            m.accumulates_for = Some((id, now + ACCUMULATION_TIMEOUT));
        }
        true
    }
}
