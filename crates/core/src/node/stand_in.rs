//! A witness's work in place of a leader that is silent (`crate::deputy`).
use super::*;
use crate::deputy::{Act, Evidence, SILENT, Suspect, gone_by};
use crate::jobs::Job;
use crate::liveness::LivenessSummary;
use crate::peer::Held;

/// A line about the machines is written this often while silence is all there is to go by.
const LIVENESS_LOG_INTERVAL: Micros = Micros::secs(5);
/// A machine's worker is asked for its report so long.
const STATUS_TIMEOUT: Micros = Micros::millis(1200);

impl Node {
    pub(super) fn stand_in(&mut self) {
        self.liveness.works(self.now);
        if let Some(deadline) = self.deadline_without_knowledge() {
            // A good answer now and then elects nobody: what is known of the machines is kept.
            if self.state_is_away() || self.liveness.listed_count() > 0 {
                return self.stand_in_blindly(deadline);
            }
        }
        if self.liveness.listed_count() > 0 {
            self.deputy.stand_down();
        }
        // Also what was heard before the state was read: it is not kept up from then on.
        self.liveness.clear();
        let term = self.leader_term();
        let long = self.deputy.long_led(term, self.now);
        if self.somebody_leads() && long || self.now.since(self.began) < SILENT {
            return self.deputy.stand_down();
        }
        if !self.deputy.due(self.now) {
            return;
        }
        let suspects = self.suspects();
        let machines = self.mirror.ledger.machines.len();
        self.enforce_cancellations(&suspects, machines);
    }

    /// In an outage, where nobody knows what runs where: machines that answer nobody may go on
    /// with cancelled tasks. Nothing is deleted while the state service's last answer was good.
    fn stand_in_blindly(&mut self, deadline: Micros) {
        self.list_machines();
        if !self.deputy.due(self.now) {
            return;
        }
        let mut suspects = self.liveness.suspects(deadline, self.now);
        if !self.state_is_away() {
            suspects.values_mut().for_each(Suspect::only_ask);
        }
        let machines = self.liveness.listed_count();
        self.log_liveness();
        self.enforce_cancellations(&suspects, machines);
    }

    /// Says from time to time what is known of the machines, and why silent ones stay.
    fn log_liveness(&mut self) {
        if self.now.since(self.liveness_logged) < LIVENESS_LOG_INTERVAL {
            return;
        }
        self.liveness_logged = self.now;
        let LivenessSummary { running, unanswering, silent, unproved_zones } =
            self.liveness.summary(self.now);
        info!(
            "liveness: running={running} unanswering={unanswering} silent={silent} unproved_zones={unproved_zones}"
        );
    }

    fn list_machines(&mut self) {
        let Some(from) = self.liveness.list_due(self.now) else { return };
        let call = list_call(from);
        if self.catalogue.bucket.take(self.now, 1.0, 0.0) {
            self.liveness.list_sent();
            let id = self.out.call(call);
            self.calls.insert(id, Purpose::MachineList);
        }
    }

    /// A page of the cloud's list came, or none did.
    pub(super) fn machines_listed(&mut self, result: &CallResult) {
        let page: Option<Rentals> = match result {
            CallResult::Answer { status: 200, body } => serde_json::from_slice(body).ok(),
            _ => None,
        };
        self.liveness.listed(page.as_ref().map(|p| (&p.machines[..], p.truncated)), self.now);
    }

    fn enforce_cancellations(&mut self, suspects: &BTreeMap<MachineId, Suspect>, machines: usize) {
        for act in self.deputy.tick(suspects, self.ctx.cancel, machines, self.now) {
            match act {
                Act::Ask(ids) => ids.into_iter().for_each(|id| self.ask_suspect(id)),
                Act::Delete(ids) => self.delete_suspects(ids),
            }
        }
    }

    fn ask_suspect(&mut self, id: MachineId) {
        let recorded = self.mirror.ledger.machines.get(&id).map(|m| m.addr.as_str());
        let Some(address) = recorded.or(self.liveness.address(&id)) else { return };
        let call = self.out.call(status_call(address.to_owned()));
        self.calls.insert(call, Purpose::Deputy { machine: id, sent: self.now });
    }

    fn delete_suspects(&mut self, ids: Vec<MachineId>) {
        let names: Vec<String> = ids.iter().map(|i| i.to_string()).collect();
        warn!("nobody leads: deleted for cancelled tasks that may be there: {}", names.join(" "));
        self.catalogue.bucket.force(self.now, 1.0);
        let call = self.out.call(delete_call(names));
        self.calls.insert(call, Purpose::DeputyDelete(ids));
    }

    /// A deletion ended.
    pub(super) fn suspects_deleted(&mut self, ids: &[MachineId], result: &CallResult) {
        let done = match result {
            CallResult::Answer { status, .. } => Some(*status == 200),
            CallResult::NotSent => Some(false),
            CallResult::Unknown => None,
        };
        self.deputy.deleted(ids, done, self.now);
        if done == Some(true) {
            ids.iter().for_each(|id| self.liveness.deleted(id));
        }
    }

    /// A leader is heard, or holds its key where the state service can be asked: one behind
    /// a cut deals with what it can reach, and its books here are late.
    fn somebody_leads(&self) -> bool {
        let heard = self.leadership.leader.is_some() || self.now.since(self.peers.led_at) < SILENT;
        heard || self.mirror.state_ok(self.now) && self.mirror.ledger.leader.is_some()
    }

    /// A cancelled job that may be on machines, and by when it has to be gone.
    fn unsettled(&self, id: JobId) -> Option<(Micros, &Job)> {
        let job = self.mirror.ledger.jobs.get(&id)?;
        let open = job.phase == Phase::Cancelled && !job.fully_stopped;
        open.then(|| (gone_by(job.ended_ms, self.wall_ms, self.ctx.cancel, self.now), job))
    }

    /// Machines where cancelled tasks may be, by all books that are kept here: those of a
    /// leader that ended before its witnesses were on record say less than those of the
    /// one before. A hand-out may have been started on any machine of its controller, and
    /// what the leader itself had not heard may hold anything.
    fn suspects(&self) -> BTreeMap<MachineId, Suspect> {
        let mut suspects: BTreeMap<MachineId, (Micros, BTreeSet<(TaskId, Attempt)>)> = BTreeMap::new();
        let mut add = |id: &MachineId, by: Micros, start: Option<(TaskId, Attempt)>| {
            let (earliest, starts) = suspects.entry(id.clone()).or_insert((by, BTreeSet::new()));
            *earliest = (*earliest).min(by);
            starts.extend(start);
        };
        let machines = &self.mirror.ledger.machines;
        let holder = |id: &MachineId| match self.ctl.holds(id) {
            true => Some(self.nodes.me),
            false => self.ctl.directory.get(id).copied(),
        };
        let unsettled: Vec<(Micros, &Job)> = match self.kept.all().any(|b| !b.unknown.is_empty()) {
            true => self.mirror.ledger.jobs.keys().filter_map(|id| self.unsettled(*id)).collect(),
            false => Vec::new(),
        };
        for book in self.kept.all() {
            for (task, e) in &book.tasks {
                let Some((by, job)) = self.unsettled(task.job) else { continue };
                let start = (*task, e.attempt);
                e.on.iter().for_each(|id| add(id, by, e.starting.then_some(start)));
                let Some((hint, zone)) = &e.handed else { continue };
                add(hint, by, Some(start));
                let to = holder(hint);
                let in_block = machines.iter().filter(|(id, _)| to.is_some() && holder(id) == to);
                for (id, m) in in_block {
                    let in_zone = zone.as_ref().is_none_or(|z| *z == m.zone);
                    if in_zone && self.may_hold(job, m) {
                        add(id, by, None);
                    }
                }
            }
            for id in &book.unknown {
                let Some(m) = machines.get(id) else { continue };
                for (by, _) in unsettled.iter().filter(|(_, job)| self.may_hold(job, m)) {
                    add(id, *by, None);
                }
            }
        }
        suspects
            .into_iter()
            .map(|(id, (by, starts))| (id, Suspect { by, evidence: Evidence::Placement { starts } }))
            .collect()
    }

    fn may_hold(&self, job: &Job, m: &MachineRecord) -> bool {
        let size = self.catalogue.sizes.get(&m.machine_type);
        let (Some(spec), Some(size)) = (&job.spec, size) else { return true };
        spec.allows(&m.machine_type, &m.zone, m.spot, size)
    }

    /// A question or a stop ended; a machine answers both with its report.
    pub(super) fn deputy_answered(&mut self, machine: &MachineId, sent: Micros, result: &CallResult) {
        if *result == CallResult::Unknown {
            return self.liveness.unanswered(machine, sent, self.now);
        }
        let CallResult::Answer { status: 200 | 409, body } = result else { return };
        let Some((r, tasks)) = readable_report(body) else {
            return self.note_odd_answer(machine, "is unreadable");
        };
        if r.machine != machine.as_str() {
            return self.note_odd_answer(machine, "comes from another machine");
        }
        if self.watches_liveness() {
            let has_tasks = has_tasks(&tasks);
            let news = self.liveness.answered(machine.clone(), r.heartbeat_seq(), has_tasks, sent, self.now);
            if !news {
                debug!("{machine}: its answer is older than another message, and changes nothing");
            }
        }
        let unwanted = Controller::stops_for_stranger(&tasks, &self.mirror.ledger);
        let Some(stops) = self.deputy.answered(&r, unwanted) else { return };
        let call = self.out.call(Call {
            target: Target::Worker(r.addr),
            method: "POST",
            path: "/do".into(),
            body: serde_json::to_vec(&stops).unwrap_or_default(),
            timeout: STATUS_TIMEOUT,
        });
        self.calls.insert(call, Purpose::Deputy { machine: machine.clone(), sent: self.now });
    }

    /// An answer that changes nothing; said once for each machine.
    fn note_odd_answer(&mut self, machine: &MachineId, what: &str) {
        if self.liveness.note_odd_answer(machine) {
            warn!("ignored: an answer to a question to {machine} {what}");
        }
    }

    /// A worker sent a heartbeat.
    pub(super) fn note_heartbeat(&mut self, report: &Report, tasks: &[Held]) {
        if self.watches_liveness() {
            let machine = MachineId::from(&*report.machine);
            self.liveness.heartbeat(machine, report.heartbeat_seq(), has_tasks(tasks), self.now);
        }
    }

    /// Whether silence may have to be gone by: otherwise records and placements say more.
    fn watches_liveness(&self) -> bool {
        !self.mirror.loaded || self.liveness.listed_count() > 0
    }
}

fn readable_report(body: &[u8]) -> Option<(Report, Vec<Held>)> {
    let report: Report = serde_json::from_slice(body).ok()?;
    let tasks = read_tasks(&report)?;
    Some((report, tasks))
}

fn has_tasks(tasks: &[Held]) -> bool {
    tasks.iter().any(|task| !task.state.exited())
}

/// Asks a worker for its report.
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
