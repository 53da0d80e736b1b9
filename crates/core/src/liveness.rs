//! Which machines answer, as far as this process can see: the cloud's list names them, their
//! heartbeats and probes show who is alive.
//!
//! It is for a process that knows neither the records nor any placements: every machine that
//! is silent may hold a cancelled task. Invariant: a machine is called silent only if this
//! process itself was on time, probed it in vain for `SILENT_AFTER`, and heard at least as many
//! machines of its zone since as are silent there, so that a cut or a controller that lags
//! condemns nobody.
use crate::deputy::{Evidence, Suspect};
use crate::lateness::Lateness;
use gorseshore_protocol::cloud::Rental;
use gorseshore_protocol::ids::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that answers no probe for so long is silent.
const SILENT_AFTER: Micros = Micros::secs(3);
/// Unanswered probes that it takes besides.
const MIN_UNANSWERED_PROBES: u32 = 3;
/// The machines are listed again this long after the last page.
const LIST_INTERVAL: Micros = Micros::secs(3);
/// A page that did not come is asked for again after this.
const LIST_RETRY_INTERVAL: Micros = Micros::millis(600);

/// A machine of the cloud's list.
#[derive(Debug, Clone, Default)]
struct Listed {
    address: String,
    zone: String,
    /// It is listed as running: one that boots has nothing to answer with.
    running: bool,
}

/// What was seen of a machine since this process began.
#[derive(Debug, Default)]
struct Observed {
    heard: Option<Micros>,
    /// It reported tasks when it was last heard.
    has_tasks: bool,
    /// When the first probe was sent that was not answered.
    silent_since: Option<Micros>,
    unanswered_probes: u32,
}

/// Machines of a zone, those that were never heard with the others.
#[derive(Debug, Default)]
struct ZoneCount {
    silent: usize,
    heard: Vec<Micros>,
}

impl ZoneCount {
    /// Whether as many of its machines were heard from some time on as are silent.
    fn answers_since(&self, since: Micros) -> bool {
        let heard = self.heard.iter().filter(|t| **t >= since).count();
        heard > 0 && heard >= self.silent
    }
}

/// The monitor's state.
#[derive(Debug)]
pub struct LivenessMonitor {
    machines: BTreeMap<MachineId, Listed>,
    /// Machines of the pages that came since the first one.
    incoming: BTreeMap<MachineId, Listed>,
    /// Deleted here; the list shows them for a while yet.
    deleted: BTreeSet<MachineId>,
    observed: BTreeMap<MachineId, Observed>,
    /// When zones last did not answer.
    blocked: BTreeMap<String, Micros>,
    lateness: Lateness,
    /// A machine that was not heard for so long is probed.
    probe_after: Micros,
    listing: bool,
    /// The last name of the page before, if there are more.
    list_from: Option<String>,
    list_at: Micros,
}

impl LivenessMonitor {
    /// Workers send a heartbeat every `report`.
    pub fn new(report: Micros, now: Micros) -> Self {
        LivenessMonitor {
            machines: BTreeMap::new(),
            incoming: BTreeMap::new(),
            deleted: BTreeSet::new(),
            observed: BTreeMap::new(),
            blocked: BTreeMap::new(),
            lateness: Lateness::new(now),
            probe_after: report + Micros::secs(1),
            listing: false,
            list_from: None,
            list_at: now,
        }
    }

    /// The process comes to its work.
    pub fn works(&mut self, now: Micros) {
        self.lateness.works(now);
    }

    /// Forgets all machines: somebody knows what runs where.
    pub fn clear(&mut self) {
        self.machines.clear();
        self.incoming.clear();
        self.deleted.clear();
        self.observed.clear();
        self.blocked.clear();
        self.list_from = None;
    }

    /// Machines that the cloud listed.
    pub fn listed_count(&self) -> usize {
        self.machines.len()
    }

    /// Where a machine's worker is reached.
    pub fn address(&self, id: &MachineId) -> Option<&str> {
        self.machines.get(id).map(|m| m.address.as_str())
    }

    /// Whether the next page of the cloud's list is due, and after which name it begins.
    pub fn list_due(&self, now: Micros) -> Option<Option<&str>> {
        (!self.listing && now >= self.list_at).then_some(self.list_from.as_deref())
    }

    /// A page was asked for.
    pub fn list_sent(&mut self) {
        self.listing = true;
    }

    /// A page came, or none did.
    pub fn listed(&mut self, page: Option<(&[Rental], bool)>, now: Micros) {
        self.listing = false;
        let Some((rentals, truncated)) = page else {
            self.list_at = now + LIST_RETRY_INTERVAL;
            return;
        };
        for rental in rentals {
            let listed = Listed {
                address: rental.addr.clone(),
                zone: rental.yard.clone(),
                running: rental.stage == "running",
            };
            let id = MachineId::from(&*rental.name);
            if !self.deleted.contains(&id) {
                self.incoming.insert(id.clone(), listed.clone());
                self.machines.insert(id, listed);
            }
        }
        if !truncated {
            self.machines = std::mem::take(&mut self.incoming);
        }
        self.list_from = rentals.last().filter(|_| truncated).map(|r| r.name.clone());
        self.list_at = if self.list_from.is_some() { now } else { now + LIST_INTERVAL };
    }

    /// A machine sent a heartbeat, or answered a probe.
    pub fn heard(&mut self, id: MachineId, has_tasks: bool, now: Micros) {
        self.observed.insert(id, Observed { heard: Some(now), has_tasks, ..Observed::default() });
    }

    /// A probe that was sent at some time was not answered.
    pub fn unanswered(&mut self, id: &MachineId, sent: Micros) {
        let seen = self.observed.entry(id.clone()).or_default();
        if seen.heard.is_none_or(|t| t < sent) {
            seen.silent_since.get_or_insert(sent);
            seen.unanswered_probes += 1;
        }
    }

    /// A machine was deleted.
    pub fn deleted(&mut self, id: &MachineId) {
        self.machines.remove(id);
        self.incoming.remove(id);
        self.deleted.insert(id.clone());
    }

    /// Machines to be probed, and among them those that are silent, whose tasks have to be gone
    /// by then.
    pub fn suspects(&mut self, by: Micros, now: Micros) -> BTreeMap<MachineId, Suspect> {
        let zones = self.count_zones(now);
        for (zone, count) in &zones {
            if !count.answers_since(now - self.probe_after) {
                self.blocked.insert(zone.clone(), now);
            }
        }
        let mut suspects = BTreeMap::new();
        for (id, machine) in self.machines.iter().filter(|(_, m)| m.running) {
            let seen = self.observed.get(id);
            let recent = seen.and_then(|s| s.heard).is_some_and(|t| now.since(t) < self.probe_after);
            if recent {
                continue;
            }
            let silent = seen.is_some_and(|s| self.is_silent(s, machine, &zones, now));
            suspects.insert(id.clone(), Suspect { by, evidence: Evidence::Silence { proven: silent } });
        }
        suspects
    }

    fn count_zones(&self, now: Micros) -> BTreeMap<String, ZoneCount> {
        let mut zones: BTreeMap<String, ZoneCount> = BTreeMap::new();
        for (id, machine) in self.machines.iter().filter(|(_, m)| m.running) {
            let count = zones.entry(machine.zone.clone()).or_default();
            let Some(seen) = self.observed.get(id) else { continue };
            match (seen.silent_since, seen.heard) {
                (Some(_), _) => count.silent += 1,
                (None, Some(heard)) => count.heard.push(heard.min(now)),
                (None, None) => {}
            }
        }
        zones
    }

    fn is_silent(
        &self,
        seen: &Observed,
        machine: &Listed,
        zones: &BTreeMap<String, ZoneCount>,
        now: Micros,
    ) -> bool {
        let Some(since) = seen.silent_since else { return false };
        // One that was idle when it was last heard has nothing that could go on.
        if seen.heard.is_some() && !seen.has_tasks || seen.unanswered_probes < MIN_UNANSWERED_PROBES {
            return false;
        }
        let blocked = self.blocked.get(&machine.zone).copied().unwrap_or_default();
        let from = self.lateness.silent_from(since.max(blocked));
        let zone_answers = zones.get(&machine.zone).is_some_and(|z| z.answers_since(since));
        now.since(from) >= SILENT_AFTER && zone_answers
    }
}

#[cfg(test)]
mod tests;
