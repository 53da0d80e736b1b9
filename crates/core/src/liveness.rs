//! Which machines answer, as far as this process can see: the cloud's list names them, their
//! heartbeats and answers to probes show who is alive.
//!
//! It is for a process that knows neither the records nor any placements: every machine that
//! is silent may hold a cancelled task. Invariant: a machine is called silent only by probes that
//! it left unanswered, while this process was on time, and each of which its zone was proved
//! reachable after (`silence`, `reachability`). A cut, a controller that lags and an old answer
//! condemn nobody. How often machines are asked decides how soon one is called silent, not which.
mod instance_list;
mod reachability;
mod silence;

use crate::deputy::{Evidence, ProbeReason, Suspect};
use crate::lateness::Lateness;
use gorseshore_protocol::cloud::Rental;
use gorseshore_protocol::ids::{MachineId, Micros};
use gorseshore_protocol::workers::HeartbeatSeq;
use instance_list::InstanceList;
use reachability::{FEW_MACHINES, ProbeOutcomes, Reachability, answers_needed};
use silence::Silence;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A probe says nothing if this process came so late to its work while it was open: half of the time
/// that a probe may take, so that an answer in time was read in time.
const LATE_FOR_PROBES: Micros = Micros::millis(600);
/// Machines that are asked beside silent ones, for each answer that is needed: some of them may
/// fall silent themselves.
const REFERENCES_PER_ANSWER: usize = 2;

/// What was seen of a machine since this process began.
#[derive(Debug, Default)]
struct Observation {
    /// The last heartbeat or answer.
    heard: Option<Heard>,
    /// When the last answered probe was sent.
    answered_probe: Option<Micros>,
    /// When the last probe was sent that was not answered.
    failed_probe: Option<Micros>,
    /// Its probes are not answered, and it was not heard since.
    unanswered: Option<Unanswered>,
}

/// What speaks against a machine whose probes are not answered.
#[derive(Debug, Default)]
struct Unanswered {
    /// Probes after which the machine's zone was proved reachable.
    beside_its_zone: Silence,
    /// Probes after which some machine of any zone answered.
    beside_any_zone: Silence,
}

impl Unanswered {
    fn probe_unanswered(&mut self, sent: Micros) {
        self.beside_its_zone.probe_unanswered(sent);
        self.beside_any_zone.probe_unanswered(sent);
    }
}

/// A message of a machine.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Micros,
    number: HeartbeatSeq,
    has_tasks: bool,
}

impl Observation {
    /// Takes a message unless it is a copy or older than another one.
    fn hear(&mut self, heard: Heard) -> bool {
        let news = self.heard.is_none_or(|last| heard.number > last.number);
        if news {
            self.heard = Some(heard);
            self.unanswered = None;
        }
        news
    }

    /// What it was last heard to hold may go on. One that was never heard may hold anything.
    fn may_hold_tasks(&self) -> bool {
        self.heard.is_none_or(|heard| heard.has_tasks)
    }

    /// Its last probe failed, though it may send heartbeats.
    fn is_deaf(&self) -> bool {
        self.failed_probe > self.answered_probe
    }

    fn heard_since(&self, at: Micros) -> bool {
        self.heard.is_some_and(|heard| heard.at >= at)
    }
}

/// Counts for the log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LivenessSummary {
    /// Machines that the cloud lists as running.
    pub running: usize,
    /// Those whose last probe was not answered.
    pub unanswering: usize,
    /// Those of them that are proven silent.
    pub silent: usize,
    /// Zones with machines that do not answer, and no proof that the zone is reachable.
    pub unproved_zones: usize,
}

/// The monitor's state.
#[derive(Debug)]
pub struct LivenessMonitor {
    instances: InstanceList,
    observations: BTreeMap<MachineId, Observation>,
    /// Machines with an answer that changed nothing.
    odd_answers: BTreeSet<MachineId>,
    zones: BTreeMap<String, Reachability>,
    /// When any zone was reachable.
    anywhere: Reachability,
    lateness: Lateness,
    own_zone: String,
    /// A machine that was not heard for so long is probed.
    probe_after: Micros,
    /// A worker that hears no controller for so long ends its tasks.
    lease: Micros,
}

impl LivenessMonitor {
    /// Of a controller in a zone; workers send a heartbeat every `report`, and end their tasks
    /// if they hear no controller for `lease`.
    pub fn new(own_zone: &str, report: Micros, lease: Micros, now: Micros) -> Self {
        LivenessMonitor {
            instances: InstanceList::new(now),
            observations: BTreeMap::new(),
            odd_answers: BTreeSet::new(),
            zones: BTreeMap::new(),
            anywhere: Reachability::default(),
            lateness: Lateness::with_limit(LATE_FOR_PROBES, now),
            own_zone: own_zone.to_owned(),
            probe_after: report + Micros::secs(1),
            lease,
        }
    }

    /// The process comes to its work.
    pub fn works(&mut self, now: Micros) {
        self.lateness.works(now);
    }

    /// Forgets all machines: somebody knows what runs where.
    pub fn clear(&mut self) {
        self.instances.clear();
        self.observations.clear();
        self.odd_answers.clear();
        self.zones.clear();
        self.anywhere = Reachability::default();
    }

    /// Machines that the cloud listed.
    pub fn listed_count(&self) -> usize {
        self.instances.len()
    }

    /// Where a machine's worker is reached.
    pub fn address(&self, id: &MachineId) -> Option<&str> {
        self.instances.get(id).map(|instance| instance.address.as_str())
    }

    /// Whether the next page of the cloud's list is due, and after which name it begins.
    pub fn list_due(&self, now: Micros) -> Option<Option<&str>> {
        self.instances.page_due(now)
    }

    /// A page was asked for.
    pub fn list_sent(&mut self) {
        self.instances.page_requested();
    }

    /// A page came, or none did.
    pub fn listed(&mut self, page: Option<(&[Rental], bool)>, now: Micros) {
        match page {
            Some((rentals, truncated)) => self.instances.page_came(rentals, truncated, now),
            None => self.instances.page_failed(now),
        }
    }

    /// A machine sent a heartbeat. Copies and late ones change nothing.
    pub fn heartbeat(&mut self, id: MachineId, number: HeartbeatSeq, has_tasks: bool, now: Micros) {
        self.observations.entry(id).or_default().hear(Heard { at: now, number, has_tasks });
    }

    /// A machine answered a probe that was sent at some time. Whether the answer is news: copies
    /// and late ones change nothing.
    pub fn answered(
        &mut self,
        id: MachineId,
        number: HeartbeatSeq,
        has_tasks: bool,
        sent: Micros,
        now: Micros,
    ) -> bool {
        let seen = self.observations.entry(id).or_default();
        let news = seen.hear(Heard { at: now, number, has_tasks });
        if news {
            seen.answered_probe = seen.answered_probe.max(Some(sent));
        }
        news
    }

    /// A probe that was sent at some time was not answered. It does not speak against the machine
    /// if this process was late while the probe was open.
    pub fn unanswered(&mut self, id: &MachineId, sent: Micros, now: Micros) {
        let on_time = !self.lateness.was_behind_since(sent, now);
        let seen = self.observations.entry(id.clone()).or_default();
        seen.failed_probe = seen.failed_probe.max(Some(sent));
        if seen.heard_since(sent) {
            return;
        }
        let unanswered = seen.unanswered.get_or_insert_default();
        if on_time {
            unanswered.probe_unanswered(sent);
        }
    }

    /// Whether an answer that changes nothing is the first of its machine.
    pub fn note_odd_answer(&mut self, id: &MachineId) -> bool {
        self.odd_answers.insert(id.clone())
    }

    /// A machine was deleted.
    pub fn deleted(&mut self, id: &MachineId) {
        self.instances.remove(id);
    }

    /// Machines to be probed, and among them those that are silent, whose tasks have to be gone
    /// by then.
    pub fn suspects(&mut self, by: Micros, now: Micros) -> BTreeMap<MachineId, Suspect> {
        self.confirm_silences();
        let outcomes = self.probe_outcomes();
        let references = self.references(&outcomes);
        let mut suspects = BTreeMap::new();
        for (id, instance) in self.instances.running() {
            let seen = self.observations.get(id);
            let reason = match seen.and_then(|seen| Some((seen, seen.unanswered.as_ref()?))) {
                Some((seen, unanswered)) => {
                    let is_few = self.is_few(&outcomes[&*instance.zone]);
                    Some(self.judge(seen, unanswered, &instance.zone, is_few, now))
                }
                None if references.contains(id) => Some(ProbeReason::Reference),
                None => (!self.is_recent(seen, now)).then_some(ProbeReason::NotHeardOfLate),
            };
            if let Some(reason) = reason {
                suspects.insert(id.clone(), Suspect { by, evidence: Evidence::Silence(reason) });
            }
        }
        suspects
    }

    /// What there is to tell of the machines that the cloud lists as running.
    pub fn summary(&self, now: Micros) -> LivenessSummary {
        let mut summary = LivenessSummary::default();
        let mut unproved_zones = BTreeSet::new();
        for (id, instance) in self.instances.running() {
            summary.running += 1;
            let seen = self.observations.get(id);
            let Some(unanswered) = seen.and_then(|seen| seen.unanswered.as_ref()) else { continue };
            summary.unanswering += 1;
            summary.silent += usize::from(unanswered.beside_its_zone.is_proven(now));
            if unanswered.beside_its_zone.waits_for_proof() {
                unproved_zones.insert(&instance.zone);
            }
        }
        summary.unproved_zones = unproved_zones.len();
        summary
    }

    /// What the unanswered probes of a machine come to.
    fn judge(
        &self,
        seen: &Observation,
        unanswered: &Unanswered,
        zone: &str,
        zone_is_few: bool,
        now: Micros,
    ) -> ProbeReason {
        // No cut lies between this controller and its own zone. Behind a cut that lasts for longer
        // than a lease, tasks have ended.
        let no_work_lost = zone == self.own_zone || unanswered.beside_any_zone.lasts(self.lease, now);
        let silent = unanswered.beside_its_zone.is_proven(now)
            || zone_is_few && no_work_lost && unanswered.beside_any_zone.is_proven(now);
        if silent && seen.may_hold_tasks() { ProbeReason::Silent } else { ProbeReason::Unanswering }
    }

    fn is_recent(&self, seen: Option<&Observation>, now: Micros) -> bool {
        let heard = seen.and_then(|seen| seen.heard);
        heard.is_some_and(|heard| now.since(heard.at) < self.probe_after)
    }

    /// Whether a zone is so small that it is not spared for want of answers. While pages of the
    /// cloud's list are missing, its size is not known.
    fn is_few(&self, outcomes: &ProbeOutcomes) -> bool {
        outcomes.machines <= FEW_MACHINES && self.instances.is_complete()
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
            let Some(seen) = self.observations.get(id) else { continue };
            if seen.unanswered.is_some() {
                outcomes.silent += 1;
            } else if let Some(sent) = seen.answered_probe {
                outcomes.add_answered(sent);
            }
        }
        zones
    }

    /// Confirms what the latest answers prove.
    fn confirm_silences(&mut self) {
        let outcomes = self.probe_outcomes();
        for (zone, of) in &outcomes {
            if let Some(at) = of.proof() {
                self.zones.entry(zone.clone()).or_default().add_proof(at);
            }
        }
        if let Some(at) = outcomes.values().filter_map(ProbeOutcomes::last_answered).max() {
            self.anywhere.add_proof(at);
        }
        for (id, instance) in self.instances.running() {
            let seen = self.observations.get_mut(id);
            let Some(unanswered) = seen.and_then(|seen| seen.unanswered.as_mut()) else { continue };
            unanswered.beside_any_zone.confirm(&self.anywhere);
            if let Some(zone) = self.zones.get(&instance.zone) {
                unanswered.beside_its_zone.confirm(zone);
            }
        }
    }

    /// Machines that are asked beside the silent ones of their zone, so that its proofs go on: those
    /// that answered last, and where none did those that are due to be asked next. Beside the
    /// silent ones of a zone of few, some of each zone.
    fn references(&self, outcomes: &BTreeMap<String, ProbeOutcomes>) -> BTreeSet<MachineId> {
        let few_silent = outcomes.values().any(|of| of.silent > 0 && self.is_few(of));
        let mut answering: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for (id, instance) in self.instances.running() {
            let Some(seen) = self.observations.get(id).filter(|seen| seen.unanswered.is_none()) else {
                continue;
            };
            if let Some(heard) = seen.heard {
                let best_first = (seen.is_deaf(), Reverse(seen.answered_probe), heard.at);
                answering.entry(&instance.zone).or_default().push((best_first, id));
            }
        }
        let mut references = BTreeSet::new();
        for (zone, mut machines) in answering {
            let silent = outcomes.get(zone).map_or(0, |of| of.silent);
            if silent == 0 && !few_silent {
                continue;
            }
            machines.sort_unstable();
            let wanted = answers_needed(silent) * REFERENCES_PER_ANSWER;
            references.extend(machines.into_iter().take(wanted).map(|(_, id)| id.clone()));
        }
        references
    }
}

#[cfg(test)]
mod tests;
