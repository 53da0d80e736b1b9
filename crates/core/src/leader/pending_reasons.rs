//! Logs once a minute, for each class, the job that has been pending longest and the reason, so
//! that an operator sees a starved job before its users report it.
use super::*;

/// Time between two reports.
const REPORT_INTERVAL: Micros = Micros::secs(60);
/// Shorter waits are not logged.
const MIN_REPORTED_WAIT: Micros = Micros::secs(30);

/// Why a job is pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// The job replaces one that may still have tasks on machines, or depends on one that is
    /// not done.
    DependencyNotEnded,
    /// Its tasks failed, and the delay before the next attempt has not passed.
    RetryDelay,
    /// Machines without contact in this term may hold its tasks.
    UnconfirmedMachines,
    /// Its team is at its limit.
    TeamLimit,
    /// Its zone rule leaves no zone for another task.
    ZoneRule,
    /// No machine that the job may run on has free capacity, and the cloud has recently refused
    /// machines that it may run on.
    CloudSoldOut,
    /// No machine that the job may run on has free capacity.
    NoFreeCapacity,
    /// Other jobs are served first.
    QueuedBehindOthers,
}

impl std::fmt::Display for PendingReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            PendingReason::DependencyNotEnded => "a job that it replaces or depends on has not ended",
            PendingReason::RetryDelay => "its tasks failed and are retried after a delay",
            PendingReason::UnconfirmedMachines => "machines without contact in this term may hold its tasks",
            PendingReason::TeamLimit => "its team is at its limit",
            PendingReason::ZoneRule => "its zone rule leaves no zone",
            PendingReason::CloudSoldOut => {
                "no free capacity, and the cloud refused machines that it may run on"
            }
            PendingReason::NoFreeCapacity => "no free capacity on the machines that it may run on",
            PendingReason::QueuedBehindOthers => "other jobs are served first",
        })
    }
}

impl Leader {
    /// Why a job with a pending task does not start it.
    fn pending_reason(&self, run: &JobRun, now: Micros) -> PendingReason {
        let spec = &run.spec;
        if run.unreleased {
            return PendingReason::DependencyNotEnded;
        }
        if run.retry_at > now {
            return PendingReason::RetryDelay;
        }
        if self.may_run_on_unconfirmed_machine(run) {
            return PendingReason::UnconfirmedMachines;
        }
        if self.exceeds_team_limit(spec) {
            return PendingReason::TeamLimit;
        }
        let zones = self.tasks_per_zone(run);
        let allowed = |m: &&Machine| m.suits(spec);
        let (mut any, mut zone, mut fits) = (false, false, false);
        for m in self.machines.values().filter(allowed) {
            any = true;
            let ok = fleet::zone_allows_task(spec, &m.zone, &zones);
            zone |= ok;
            fits |= ok && m.free().fits(&spec.task_resources);
        }
        if any && !zone {
            return PendingReason::ZoneRule;
        }
        if fits {
            return PendingReason::QueuedBehindOthers;
        }
        let recent = |t: &Micros| now.since(*t) < Micros::secs(20);
        let in_zones = |z: &str| spec.zones.as_ref().is_none_or(|l| l.iter().any(|x| x == z));
        let of_types = |b: &str| spec.machine_types.as_ref().is_none_or(|l| l.iter().any(|x| x == b));
        let refused = self.refused_offers.iter().any(|((machine_type, z, spot), t)| {
            recent(t) && of_types(machine_type) && in_zones(z) && (spec.spot || !spot)
        });
        if refused { PendingReason::CloudSoldOut } else { PendingReason::NoFreeCapacity }
    }

    /// For each class, the job that has waited longest with no task bound, if it has waited for
    /// at least `MIN_REPORTED_WAIT`: class, job, wait and reason.
    pub fn longest_pending(&self, now: Micros) -> Vec<(String, JobId, Micros, PendingReason)> {
        let wall_ms = self.wall_ms(now);
        let mut longest: BTreeMap<&str, (u64, JobId)> = BTreeMap::new();
        for (id, r) in
            self.jobs.iter().filter(|(_, r)| !r.ended && r.bound.is_empty() && r.pending_tasks() > 0)
        {
            let first = longest.entry(&r.spec.class).or_insert((r.ready_ms, *id));
            *first = (*first).min((r.ready_ms, *id));
        }
        let waits = longest.into_iter().filter_map(|(class, (at, id))| {
            let waited = Micros::millis(wall_ms.saturating_sub(at));
            let run = self.jobs.get(&id).filter(|_| waited >= MIN_REPORTED_WAIT)?;
            Some((class.to_owned(), id, waited, self.pending_reason(run, now)))
        });
        waits.collect()
    }

    /// Logs the longest pending job of each class once per `REPORT_INTERVAL`.
    pub(super) fn log_longest_pending(&mut self, now: Micros) {
        if now.since(self.pending_logged_at) < REPORT_INTERVAL {
            return;
        }
        self.pending_logged_at = now;
        for (class, id, waited, reason) in self.longest_pending(now) {
            let pending = self
                .jobs
                .values()
                .filter(|r| !r.ended && r.spec.class == class && r.pending_tasks() > 0)
                .count();
            warn!(
                "{id} of class {class} has been pending for {:.0} s, the longest of {pending} pending jobs: {reason}",
                waited.as_secs_f64()
            );
        }
    }
}
