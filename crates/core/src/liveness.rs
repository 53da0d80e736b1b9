//! Tracks which machines are alive, as far as this process can observe: the cloud's list names the
//! machines, and their heartbeats and responses to probes show that they are alive.
//!
//! It serves a process that knows neither the records nor any placements, so that every silent
//! machine may run a cancelled task. Invariant: a machine is proven silent only by unanswered
//! probes, during which this process was on time, and after each of which the machine's zone was
//! proved reachable (`silence`, `reachability`). A network partition, a controller that runs late
//! or a stale response is no evidence of failure. The probe rate decides how soon a machine is proven
//! silent, not which one. For a zone of at most `MAX_WRONG_DELETIONS` machines, responses from other
//! zones suffice once no work can be lost with it (`LivenessMonitor::classify`).
mod instance_list;
mod reachability;
mod silence;

use crate::cancellation_enforcer::{Evidence, ProbeReason, Suspect};
use crate::lateness::Lateness;
use gorseshore_protocol::cloud::Rental;
use gorseshore_protocol::ids::{MachineId, Micros};
use gorseshore_protocol::workers::HeartbeatSeq;
use instance_list::InstanceList;
use reachability::{MAX_WRONG_DELETIONS, ProbeOutcomes, Reachability, answers_needed};
use silence::Silence;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A probe is no evidence if two ticks of this process were further apart than this while the probe
/// was pending: half of the probe timeout, so that a response that arrives in time is read in time.
const MAX_TICK_GAP: Micros = Micros::millis(600);
/// Reference machines probed for each response that a proof needs: some of them may fall silent
/// themselves.
const REFERENCES_PER_ANSWER: usize = 2;

/// What this process has observed of a machine.
#[derive(Debug, Default)]
struct Observation {
    /// The last heartbeat or response.
    last_contact: Option<Contact>,
    /// When the last answered probe was sent.
    answered_probe: Option<Micros>,
    /// When the last unanswered probe was sent.
    failed_probe: Option<Micros>,
    /// Evidence from the probes that were not answered since the last contact, if there are any.
    unanswered: Option<Unanswered>,
}

/// Evidence of failure of a machine whose probes are not answered.
#[derive(Debug, Default)]
struct Unanswered {
    /// Probes confirmed by proofs that the machine's own zone is reachable.
    by_own_zone: Silence,
    /// Probes confirmed by a response of any machine of any zone.
    by_any_zone: Silence,
}

impl Unanswered {
    fn probe_unanswered(&mut self, sent: Micros) {
        self.by_own_zone.probe_unanswered(sent);
        self.by_any_zone.probe_unanswered(sent);
    }
}

/// A heartbeat or a response of a machine.
#[derive(Debug, Clone, Copy)]
struct Contact {
    at: Micros,
    heartbeat_seq: HeartbeatSeq,
    has_tasks: bool,
}

impl Observation {
    /// Records a message unless it is a duplicate or older than the last one. Returns whether it
    /// was recorded.
    fn record_contact(&mut self, contact: Contact) -> bool {
        let newer = self.last_contact.is_none_or(|last| contact.heartbeat_seq > last.heartbeat_seq);
        if newer {
            self.last_contact = Some(contact);
            self.unanswered = None;
        }
        newer
    }

    /// Whether it had tasks at its last contact. A machine without any contact may run any task.
    fn may_hold_tasks(&self) -> bool {
        self.last_contact.is_none_or(|contact| contact.has_tasks)
    }

    /// Whether its last probe failed. It may send heartbeats all the same.
    fn last_probe_failed(&self) -> bool {
        self.failed_probe > self.answered_probe
    }

    fn contacted_since(&self, at: Micros) -> bool {
        self.last_contact.is_some_and(|contact| contact.at >= at)
    }
}

/// Counts for the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LivenessSummary {
    /// Machines that the cloud lists as running.
    pub running: usize,
    /// Running machines without contact since an unanswered probe.
    pub unanswered: usize,
    /// Unanswered machines that are proven silent.
    pub silent: usize,
    /// Zones with an unanswered probe that no proof of the zone's reachability confirms yet.
    pub unproved_zones: usize,
}

/// Derives from lists, heartbeats and probes which machines are silent.
#[derive(Debug)]
pub struct LivenessMonitor {
    instances: InstanceList,
    observations: BTreeMap<MachineId, Observation>,
    /// Machines that sent an invalid probe response.
    invalid_responses: BTreeSet<MachineId>,
    zones: BTreeMap<String, Reachability>,
    /// When any machine of any zone answered.
    any_zone: Reachability,
    lateness: Lateness,
    own_zone: String,
    /// A machine without contact for this long is probed.
    probe_after: Micros,
    /// A worker that receives nothing from a controller for this long terminates its tasks.
    lease: Micros,
}

impl LivenessMonitor {
    /// For a controller in `own_zone`. Workers send a heartbeat every `report_interval`, and
    /// terminate their tasks if they receive nothing from a controller for `lease`.
    pub fn new(own_zone: &str, report_interval: Micros, lease: Micros, now: Micros) -> Self {
        LivenessMonitor {
            instances: InstanceList::new(now),
            observations: BTreeMap::new(),
            invalid_responses: BTreeSet::new(),
            zones: BTreeMap::new(),
            any_zone: Reachability::default(),
            lateness: Lateness::with_limit(MAX_TICK_GAP, now),
            own_zone: own_zone.to_owned(),
            probe_after: report_interval + Micros::secs(1),
            lease,
        }
    }

    /// Records a tick of the process.
    pub fn record_tick(&mut self, now: Micros) {
        self.lateness.record_tick(now);
    }

    /// Forgets all machines. Called once placements are known again.
    pub fn clear(&mut self) {
        self.instances.clear();
        self.observations.clear();
        self.invalid_responses.clear();
        self.zones.clear();
        self.any_zone = Reachability::default();
    }

    /// Number of machines that the cloud listed.
    pub fn listed_count(&self) -> usize {
        self.instances.len()
    }

    /// The address of a machine's worker.
    pub fn address(&self, id: &MachineId) -> Option<&str> {
        self.instances.get(id).map(|instance| instance.address.as_str())
    }

    /// The next page of the cloud's list if it is due: the name after which it begins, `None` for
    /// the first page.
    pub fn list_page_due(&self, now: Micros) -> Option<Option<&str>> {
        self.instances.page_due(now)
    }

    /// Records that a page was requested.
    pub fn record_list_request(&mut self) {
        self.instances.page_requested();
    }

    /// Records a page and whether more pages follow, or that the page could not be read.
    pub fn record_list_page(&mut self, page: Option<(&[Rental], bool)>, now: Micros) {
        match page {
            Some((rentals, truncated)) => self.instances.page_received(rentals, truncated, now),
            None => self.instances.page_failed(now),
        }
    }

    /// Records a heartbeat. Duplicates and outdated ones are ignored.
    pub fn record_heartbeat(
        &mut self,
        id: MachineId,
        heartbeat_seq: HeartbeatSeq,
        has_tasks: bool,
        now: Micros,
    ) {
        self.observations.entry(id).or_default().record_contact(Contact {
            at: now,
            heartbeat_seq,
            has_tasks,
        });
    }

    /// Records the response to a probe sent at `sent`. Returns false for a duplicate or an outdated
    /// response, which is ignored.
    pub fn record_probe_response(
        &mut self,
        id: MachineId,
        heartbeat_seq: HeartbeatSeq,
        has_tasks: bool,
        sent: Micros,
        now: Micros,
    ) -> bool {
        let observation = self.observations.entry(id).or_default();
        let newer = observation.record_contact(Contact { at: now, heartbeat_seq, has_tasks });
        if newer {
            observation.answered_probe = observation.answered_probe.max(Some(sent));
        }
        newer
    }

    /// Records that a probe sent at `sent` was not answered. It is no evidence of failure if this
    /// process was late while the probe was pending.
    pub fn record_probe_timeout(&mut self, id: &MachineId, sent: Micros, now: Micros) {
        let on_time = !self.lateness.was_late_since(sent, now);
        let observation = self.observations.entry(id.clone()).or_default();
        observation.failed_probe = observation.failed_probe.max(Some(sent));
        if observation.contacted_since(sent) {
            return;
        }
        let unanswered = observation.unanswered.get_or_insert_default();
        if on_time {
            unanswered.probe_unanswered(sent);
        }
    }

    /// Records an invalid response of a machine. Returns whether it is the machine's first one.
    pub fn record_invalid_response(&mut self, id: &MachineId) -> bool {
        self.invalid_responses.insert(id.clone())
    }

    /// Removes a machine that this process deleted.
    pub fn record_deletion(&mut self, id: &MachineId) {
        self.instances.remove(id);
    }

    /// Machines to probe, including those proven silent, whose tasks must be terminated before
    /// `deadline`.
    pub fn suspects(&mut self, deadline: Micros, now: Micros) -> BTreeMap<MachineId, Suspect> {
        self.confirm_silences();
        let outcomes = self.probe_outcomes();
        let references = self.references(&outcomes);
        let mut suspects = BTreeMap::new();
        for (id, instance) in self.instances.running() {
            let observation = self.observations.get(id);
            let reason = match observation
                .and_then(|observation| Some((observation, observation.unanswered.as_ref()?)))
            {
                Some((observation, unanswered)) => {
                    let zone_is_small = self.is_small(&outcomes[&*instance.zone]);
                    Some(self.classify(observation, unanswered, &instance.zone, zone_is_small, now))
                }
                None if references.contains(id) => Some(ProbeReason::Reference),
                None => (!self.is_recent(observation, now)).then_some(ProbeReason::NoRecentContact),
            };
            if let Some(reason) = reason {
                suspects.insert(id.clone(), Suspect { deadline, evidence: Evidence::Silence(reason) });
            }
        }
        suspects
    }

    /// Counts of the machines that the cloud lists as running.
    pub fn summary(&self, now: Micros) -> LivenessSummary {
        let mut summary = LivenessSummary::default();
        let mut unproved_zones = BTreeSet::new();
        for (id, instance) in self.instances.running() {
            summary.running += 1;
            let observation = self.observations.get(id);
            let Some(unanswered) = observation.and_then(|observation| observation.unanswered.as_ref()) else {
                continue;
            };
            summary.unanswered += 1;
            summary.silent += usize::from(unanswered.by_own_zone.is_proven(now));
            if unanswered.by_own_zone.waits_for_proof() {
                unproved_zones.insert(&instance.zone);
            }
        }
        summary.unproved_zones = unproved_zones.len();
        summary
    }

    /// `Silent` if the unanswered probes of a machine prove that it is silent, and it may run tasks.
    fn classify(
        &self,
        observation: &Observation,
        unanswered: &Unanswered,
        zone: &str,
        zone_is_small: bool,
        now: Micros,
    ) -> ProbeReason {
        // No network partition separates this controller from its own zone. In a zone that is
        // partitioned for longer than a lease, workers have terminated their tasks.
        let no_work_lost = zone == self.own_zone || unanswered.by_any_zone.lasts(self.lease, now);
        let silent = unanswered.by_own_zone.is_proven(now)
            || zone_is_small && no_work_lost && unanswered.by_any_zone.is_proven(now);
        if silent && observation.may_hold_tasks() { ProbeReason::Silent } else { ProbeReason::Unanswered }
    }

    fn is_recent(&self, observation: Option<&Observation>, now: Micros) -> bool {
        let contact = observation.and_then(|observation| observation.last_contact);
        contact.is_some_and(|contact| now.since(contact.at) < self.probe_after)
    }

    /// Whether a zone is so small that its machines may be proven silent without any response from
    /// the zone. The size of a zone is unknown until all pages of the cloud's list are received.
    fn is_small(&self, outcomes: &ProbeOutcomes) -> bool {
        outcomes.machines <= MAX_WRONG_DELETIONS && self.instances.is_complete()
    }

    /// The outcomes of the latest probes, by zone.
    fn probe_outcomes(&self) -> BTreeMap<String, ProbeOutcomes> {
        let mut zones: BTreeMap<String, ProbeOutcomes> = BTreeMap::new();
        for (id, instance) in self.instances.running() {
            if !zones.contains_key(&instance.zone) {
                zones.insert(instance.zone.clone(), ProbeOutcomes::default());
            }
            let Some(outcomes) = zones.get_mut(&instance.zone) else { continue };
            outcomes.machines += 1;
            let Some(observation) = self.observations.get(id) else { continue };
            if observation.unanswered.is_some() {
                outcomes.silent += 1;
            } else if let Some(sent) = observation.answered_probe {
                outcomes.add_answered(sent);
            }
        }
        zones
    }

    /// Adds the proofs from the latest responses and confirms the probes that wait for them.
    fn confirm_silences(&mut self) {
        let outcomes = self.probe_outcomes();
        for (zone, outcomes) in &outcomes {
            if let Some(at) = outcomes.proof() {
                self.zones.entry(zone.clone()).or_default().add_proof(at);
            }
        }
        if let Some(at) = outcomes.values().filter_map(ProbeOutcomes::last_answered).max() {
            self.any_zone.add_proof(at);
        }
        for (id, instance) in self.instances.running() {
            let observation = self.observations.get_mut(id);
            let Some(unanswered) = observation.and_then(|observation| observation.unanswered.as_mut()) else {
                continue;
            };
            unanswered.by_any_zone.confirm(&self.any_zone);
            if let Some(zone) = self.zones.get(&instance.zone) {
                unanswered.by_own_zone.confirm(zone);
            }
        }
    }

    /// Machines that are probed along with the silent ones of their zone, so that its reachability
    /// is proved again and again: first those whose latest answered probe is the most recent, then
    /// those with the oldest contact, which are due for a probe next. For a silent machine of a small
    /// zone, references are taken from every zone.
    fn references(&self, outcomes: &BTreeMap<String, ProbeOutcomes>) -> BTreeSet<MachineId> {
        let small_zone_silent = outcomes.values().any(|zone| zone.silent > 0 && self.is_small(zone));
        let mut answering: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for (id, instance) in self.instances.running() {
            let Some(observation) =
                self.observations.get(id).filter(|observation| observation.unanswered.is_none())
            else {
                continue;
            };
            if let Some(contact) = observation.last_contact {
                let best_first =
                    (observation.last_probe_failed(), Reverse(observation.answered_probe), contact.at);
                answering.entry(&instance.zone).or_default().push((best_first, id));
            }
        }
        let mut references = BTreeSet::new();
        for (zone, mut machines) in answering {
            let silent = outcomes.get(zone).map_or(0, |outcomes| outcomes.silent);
            if silent == 0 && !small_zone_silent {
                continue;
            }
            machines.sort_unstable();
            let count = answers_needed(silent) * REFERENCES_PER_ANSWER;
            references.extend(machines.into_iter().take(count).map(|(_, id)| id.clone()));
        }
        references
    }
}

#[cfg(test)]
mod tests;
