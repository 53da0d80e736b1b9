//! Enforces cancellations in place of an unreachable leader (`crate::cancellation_enforcer`), by
//! the placement logs kept here or, when no controller in contact knows the placements, by the
//! machines' liveness.
use super::*;
use crate::cancellation_enforcer::{
    EnforcementAction, Evidence, LEADER_SILENCE_TIMEOUT, Suspect, cancellation_deadline,
};
use crate::jobs::Job;
use crate::liveness::LivenessSummary;
use crate::peer::TaskStatus;

/// How often a `liveness` line is logged while liveness is the only evidence.
const LIVENESS_LOG_INTERVAL: Micros = Micros::secs(5);
/// Timeout of a status request to a worker.
const STATUS_TIMEOUT: Micros = Micros::millis(1200);

impl Node {
    pub(super) fn enforce_without_leader(&mut self) {
        self.liveness.record_tick(self.now);
        if let Some(deadline) = self.unknown_placements_deadline() {
            // An occasional good response of the state service elects no leader, so what is known of
            // the machines is kept.
            if self.state_is_unreachable() || self.liveness.listed_count() > 0 {
                return self.enforce_by_liveness(deadline);
            }
        }
        if self.liveness.listed_count() > 0 {
            self.enforcer.reset();
        }
        // Drops also what was received before the state was read: it is not updated from then on.
        self.liveness.clear();
        let term = self.leader_term();
        let established = self.enforcer.leadership_established(term, self.now);
        if self.has_active_leader() && established || self.now.since(self.started_at) < LEADER_SILENCE_TIMEOUT
        {
            return self.enforcer.reset();
        }
        if !self.enforcer.scan_due(self.now) {
            return;
        }
        let suspects = self.suspects();
        let machines = self.replica_sync.replica.machines.len();
        self.enforce_cancellations(&suspects, machines);
    }

    /// In an outage, when no controller in contact knows the placements: machines that answer no
    /// probe may still run cancelled tasks. No machine is deleted while the state service's last
    /// answer was good.
    fn enforce_by_liveness(&mut self, deadline: Micros) {
        self.list_machines();
        if !self.enforcer.scan_due(self.now) {
            return;
        }
        let mut suspects = self.liveness.suspects(deadline, self.now);
        if !self.state_is_unreachable() {
            suspects.values_mut().for_each(Suspect::exclude_from_deletion);
        }
        let machines = self.liveness.listed_count();
        self.log_liveness();
        self.enforce_cancellations(&suspects, machines);
    }

    /// Logs from time to time what is known of the machines, and why silent ones are not deleted.
    fn log_liveness(&mut self) {
        if self.now.since(self.liveness_logged_at) < LIVENESS_LOG_INTERVAL {
            return;
        }
        self.liveness_logged_at = self.now;
        let LivenessSummary { running, unanswered, silent, unproved_zones } = self.liveness.summary(self.now);
        info!(
            "liveness: running={running} unanswering={unanswered} silent={silent} unproved_zones={unproved_zones}"
        );
    }

    fn list_machines(&mut self) {
        let Some(from) = self.liveness.list_page_due(self.now) else { return };
        let call = list_call(from);
        if self.catalogue.bucket.take(self.now, 1.0, 0.0) {
            self.liveness.record_list_request();
            let id = self.out.call(call);
            self.calls.insert(id, CallPurpose::MachineList);
        }
    }

    /// Handles a page of the cloud's list, or the failure to get one.
    pub(super) fn machine_list_received(&mut self, result: &CallResult) {
        let page: Option<Rentals> = match result {
            CallResult::Response { status: 200, body } => serde_json::from_slice(body).ok(),
            _ => None,
        };
        self.liveness.record_list_page(page.as_ref().map(|p| (&p.machines[..], p.truncated)), self.now);
    }

    fn enforce_cancellations(&mut self, suspects: &BTreeMap<MachineId, Suspect>, machines: usize) {
        for act in self.enforcer.tick(suspects, self.leader_config.cancel_timeout, machines, self.now) {
            match act {
                EnforcementAction::Probe(ids) => ids.into_iter().for_each(|id| self.probe_suspect(id)),
                EnforcementAction::Delete(ids) => self.delete_suspects(ids),
            }
        }
    }

    fn probe_suspect(&mut self, id: MachineId) {
        let recorded = self.replica_sync.replica.machines.get(&id).map(|m| m.addr.as_str());
        let Some(address) = recorded.or(self.liveness.address(&id)) else { return };
        let call = self.out.call(status_call(address.to_owned()));
        self.calls.insert(call, CallPurpose::SuspectCall { machine: id, sent: self.now });
    }

    fn delete_suspects(&mut self, ids: Vec<MachineId>) {
        let names: Vec<String> = ids.iter().map(|i| i.to_string()).collect();
        warn!("no leader: deleted for cancelled tasks that may be there: {}", names.join(" "));
        self.catalogue.bucket.take_unconditionally(self.now, 1.0);
        let call = self.out.call(delete_call(names));
        self.calls.insert(call, CallPurpose::SuspectDeletion(ids));
    }

    /// Handles the result of a deletion.
    pub(super) fn suspect_deletion_completed(&mut self, ids: &[MachineId], result: &CallResult) {
        let done = match result {
            CallResult::Response { status, .. } => Some(*status == 200),
            CallResult::NotSent => Some(false),
            CallResult::Unknown => None,
        };
        self.enforcer.record_deletion_result(ids, done, self.now);
        if done == Some(true) {
            ids.iter().for_each(|id| self.liveness.record_deletion(id));
        }
    }

    /// A leader is in contact, or holds its key while the state service is reachable here: a leader
    /// behind a network partition handles what it can reach, and the copy of its placement log here
    /// is stale.
    fn has_active_leader(&self) -> bool {
        let recent_contact = self.leadership.leader.is_some()
            || self.peers.leader_in_contact(LEADER_SILENCE_TIMEOUT, self.now);
        recent_contact
            || self.replica_sync.state_reachable(self.now) && self.replica_sync.replica.leader.is_some()
    }

    /// A cancelled job that may still be on machines, and the deadline for stopping it.
    fn unsettled_job(&self, id: JobId) -> Option<(Micros, &Job)> {
        let job = self.replica_sync.replica.jobs.get(&id)?;
        job.is_stopping().then(|| {
            (
                cancellation_deadline(
                    job.ended_ms,
                    self.wall_ms,
                    self.leader_config.cancel_timeout,
                    self.now,
                ),
                job,
            )
        })
    }

    /// Machines where cancelled tasks may be, according to every placement log kept here: the log
    /// of a leader that ended before its standby replicas were on record holds less than its
    /// predecessor's. An assignment may have been started on any machine that its controller holds,
    /// and a machine that the leader itself had no contact with may hold anything.
    fn suspects(&self) -> BTreeMap<MachineId, Suspect> {
        let mut suspects: BTreeMap<MachineId, (Micros, BTreeSet<(TaskId, Attempt)>)> = BTreeMap::new();
        let mut add = |id: &MachineId, deadline: Micros, start: Option<(TaskId, Attempt)>| {
            let (earliest, starts) = suspects.entry(id.clone()).or_insert((deadline, BTreeSet::new()));
            *earliest = (*earliest).min(deadline);
            starts.extend(start);
        };
        let machines = &self.replica_sync.replica.machines;
        let holder = |id: &MachineId| match self.controller.holds(id) {
            true => Some(self.members.own_id),
            false => self.controller.holders.get(id).copied(),
        };
        let unsettled: Vec<(Micros, &Job)> =
            match self.log_replicas.iter().any(|b| !b.unknown_machines.is_empty()) {
                true => {
                    self.replica_sync.replica.jobs.keys().filter_map(|id| self.unsettled_job(*id)).collect()
                }
                false => Vec::new(),
            };
        for log in self.log_replicas.iter() {
            for (task, e) in &log.tasks {
                let Some((deadline, job)) = self.unsettled_job(task.job) else { continue };
                let start = (*task, e.attempt);
                e.machines.iter().for_each(|id| add(id, deadline, e.starting.then_some(start)));
                let Some((preferred, zone)) = &e.unresolved_assignment else { continue };
                add(preferred, deadline, Some(start));
                let to = holder(preferred);
                let in_block = machines.iter().filter(|(id, _)| to.is_some() && holder(id) == to);
                for (id, m) in in_block {
                    let in_zone = zone.as_ref().is_none_or(|z| *z == m.zone);
                    if in_zone && self.may_hold(job, m) {
                        add(id, deadline, None);
                    }
                }
            }
            for id in &log.unknown_machines {
                let Some(m) = machines.get(id) else { continue };
                for (deadline, _) in unsettled.iter().filter(|(_, job)| self.may_hold(job, m)) {
                    add(id, *deadline, None);
                }
            }
        }
        suspects
            .into_iter()
            .map(|(id, (deadline, starts))| {
                (id, Suspect { deadline, evidence: Evidence::Placement { starts } })
            })
            .collect()
    }

    fn may_hold(&self, job: &Job, m: &MachineRecord) -> bool {
        let size = self.catalogue.sizes.get(&m.machine_type);
        let (Some(spec), Some(size)) = (&job.spec, size) else { return true };
        spec.allows(&m.machine_type, &m.zone, m.spot, size)
    }

    /// Handles the result of a probe or a stop; a machine answers both with its report.
    pub(super) fn suspect_call_completed(&mut self, machine: &MachineId, sent: Micros, result: &CallResult) {
        if *result == CallResult::Unknown {
            return self.liveness.record_probe_timeout(machine, sent, self.now);
        }
        let CallResult::Response { status: 200 | 409, body } = result else { return };
        let Some((r, tasks)) = parse_report(body) else {
            return self.log_ignored_answer(machine, "is not a valid report");
        };
        if r.machine != machine.as_str() {
            return self.log_ignored_answer(machine, "is from another machine");
        }
        if self.uses_liveness() {
            let has_tasks = has_tasks(&tasks);
            let is_newest = self.liveness.record_probe_response(
                machine.clone(),
                r.heartbeat_seq(),
                has_tasks,
                sent,
                self.now,
            );
            if !is_newest {
                debug!("{machine}: ignored a probe response that is older than another report");
            }
        }
        self.fetch_jobs_of_tasks(tasks.iter().map(|t| t.task));
        let unwanted = Controller::stops_for_unleased(&tasks, &self.replica_sync.replica);
        let Some(stops) = self.enforcer.record_probe_response(&r, unwanted) else { return };
        let call = self.out.call(Call {
            target: Target::Worker(r.addr),
            method: "POST",
            path: "/do".into(),
            body: serde_json::to_vec(&stops).unwrap_or_default(),
            timeout: STATUS_TIMEOUT,
        });
        self.calls.insert(call, CallPurpose::SuspectCall { machine: machine.clone(), sent: self.now });
    }

    /// Logs a response that changes nothing, once per machine.
    fn log_ignored_answer(&mut self, machine: &MachineId, reason: &str) {
        if self.liveness.record_invalid_response(machine) {
            warn!("{machine}: ignored a probe response that {reason}");
        }
    }

    /// Records a worker's heartbeat.
    pub(super) fn record_heartbeat(&mut self, report: &Report, tasks: &[TaskStatus]) {
        if self.uses_liveness() {
            let machine = MachineId::from(&*report.machine);
            self.liveness.record_heartbeat(machine, report.heartbeat_seq(), has_tasks(tasks), self.now);
        }
    }

    /// Whether liveness may have to serve as evidence: otherwise records and placements are better
    /// evidence.
    fn uses_liveness(&self) -> bool {
        !self.replica_sync.loaded || self.liveness.listed_count() > 0
    }
}

fn parse_report(body: &[u8]) -> Option<(Report, Vec<TaskStatus>)> {
    let report: Report = serde_json::from_slice(body).ok()?;
    let tasks = parse_tasks(&report)?;
    Some((report, tasks))
}

fn has_tasks(tasks: &[TaskStatus]) -> bool {
    tasks.iter().any(|task| !task.state.exited())
}

/// A request for a worker's report.
pub(super) fn status_call(address: String) -> Call {
    Call {
        target: Target::Worker(address),
        method: "GET",
        path: "/status".into(),
        body: Vec::new(),
        timeout: STATUS_TIMEOUT,
    }
}

#[cfg(test)]
mod tests;
