//! Who waits longest, and why: said in the log once a minute, for each class, so
//! that an operator sees who is starved before its users tell.
use super::*;

/// How often it is said.
const EVERY: Micros = Micros::secs(60);
/// Waits that are shorter than this are not worth a line.
const LONG: Micros = Micros::secs(30);

/// Why a job that waits does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// It replaces a job of which something may be left, or depends on one that is not done.
    Held,
    /// Its tasks failed, and are tried again later.
    Failing,
    /// Machines that nobody heard may hold its tasks.
    Unheard,
    /// Its team is at its limit.
    Limit,
    /// Its rules leave no zone for another task.
    Zones,
    /// No machine that it may run on has room, and none can be had of the kinds
    /// that it may run on.
    SoldOut,
    /// No machine that it may run on has room.
    NoRoom,
    /// Others come first.
    Turn,
}

impl std::fmt::Display for Why {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Why::Held => "a job that it replaces or depends on is not over",
            Why::Failing => "its tasks failed and are tried again later",
            Why::Unheard => "machines that nobody heard may hold its tasks",
            Why::Limit => "its team is at its limit",
            Why::Zones => "its zone rule leaves no zone",
            Why::SoldOut => "no room, and the cloud has none of its kinds",
            Why::NoRoom => "no room on the kinds of machines that it may run on",
            Why::Turn => "others come first",
        })
    }
}

impl Leader {
    /// Why a job has a task that waits.
    fn why(&self, run: &Run, now: Micros) -> Why {
        let spec = &run.spec;
        if run.held {
            return Why::Held;
        }
        if run.retry_at > now {
            return Why::Failing;
        }
        if self.blocked(run) {
            return Why::Unheard;
        }
        if self.over_limit(spec) {
            return Why::Limit;
        }
        let zones = self.zones_of(run);
        let allowed = |m: &&Machine| m.suits(spec);
        let (mut any, mut zone, mut room) = (false, false, false);
        for m in self.machines.values().filter(allowed) {
            any = true;
            let ok = fleet::zone_ok(spec, &m.zone, &zones);
            zone |= ok;
            room |= ok && m.free().fits(&spec.task_resources);
        }
        if any && !zone {
            return Why::Zones;
        }
        if room {
            return Why::Turn;
        }
        let recent = |t: &Micros| now.since(*t) < Micros::secs(20);
        let in_zones = |z: &str| spec.zones.as_ref().is_none_or(|l| l.iter().any(|x| x == z));
        let of_types = |b: &str| spec.machine_types.as_ref().is_none_or(|l| l.iter().any(|x| x == b));
        let refused = self
            .refused
            .iter()
            .any(|((build, z, spot), t)| recent(t) && of_types(build) && in_zones(z) && (spec.spot || !spot));
        if refused { Why::SoldOut } else { Why::NoRoom }
    }

    /// The job of each class that has waited longest with nothing of it running.
    pub fn longest_waits(&self, now: Micros) -> Vec<(String, JobId, Micros, Why)> {
        let wall_ms = self.wall_ms(now);
        let mut longest: BTreeMap<&str, (u64, JobId)> = BTreeMap::new();
        for (id, r) in self.jobs.iter().filter(|(_, r)| !r.over && r.bound.is_empty() && r.waiting() > 0) {
            let first = longest.entry(&r.spec.class).or_insert((r.ready_ms, *id));
            *first = (*first).min((r.ready_ms, *id));
        }
        let waits = longest.into_iter().filter_map(|(class, (at, id))| {
            let waited = Micros::millis(wall_ms.saturating_sub(at));
            let run = self.jobs.get(&id).filter(|_| waited >= LONG)?;
            Some((class.to_owned(), id, waited, self.why(run, now)))
        });
        waits.collect()
    }

    /// Says so, once a minute.
    pub(super) fn tell_waits(&mut self, now: Micros) {
        if now.since(self.waits_told) < EVERY {
            return;
        }
        self.waits_told = now;
        for (class, id, waited, why) in self.longest_waits(now) {
            let left =
                self.jobs.values().filter(|r| !r.over && r.spec.class == class && r.waiting() > 0).count();
            warn!(
                "{id} of class {class} has waited for {:.0} s, longest of {left} that wait: {why}",
                waited.as_secs_f64()
            );
        }
    }
}
