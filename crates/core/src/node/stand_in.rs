//! A witness's work in place of a leader that is silent (`crate::deputy`).
use super::*;
use crate::deputy::{Act, SILENT, Suspect, gone_by};
use crate::jobs::Job;

impl Node {
    pub(super) fn stand_in(&mut self) {
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
        for act in self.deputy.tick(&suspects, self.ctx.cancel, machines, self.now) {
            match act {
                Act::Ask(ids) => {
                    for id in ids {
                        let Some(m) = self.mirror.ledger.machines.get(&id) else { continue };
                        let call = self.out.call(Call {
                            target: Target::Worker(m.addr.clone()),
                            method: "GET",
                            path: "/status".into(),
                            body: Vec::new(),
                            timeout: Micros::millis(1200),
                        });
                        self.calls.insert(call, Purpose::Deputy);
                    }
                }
                Act::Delete(ids) => {
                    let names: Vec<String> = ids.iter().map(|i| i.to_string()).collect();
                    warn!("nobody leads: deleted for cancelled tasks that may be there: {}", names.join(" "));
                    self.catalogue.bucket.force(self.now, 1.0);
                    let body = serde_json::to_vec(&Hosts { hosts: names }).unwrap_or_default();
                    let call = self.out.call(Call {
                        target: Target::Cloud,
                        method: "POST",
                        path: "/rentals/delete".into(),
                        body,
                        timeout: Micros::secs(4),
                    });
                    self.calls.insert(call, Purpose::DeputyDelete(ids));
                }
            }
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
        let open = job.phase == Phase::Aborted && !job.settled;
        open.then(|| (gone_by(job.ended_ms, self.wall_ms, self.ctx.cancel, self.now), job))
    }

    /// Machines where cancelled tasks may be, by all books that are kept here: those of a
    /// leader that ended before its witnesses were on record say less than those of the
    /// one before. A hand-out may have been started on any machine of its controller, and
    /// what the leader itself had not heard may hold anything.
    fn suspects(&self) -> BTreeMap<MachineId, Suspect> {
        let mut suspects: BTreeMap<MachineId, Suspect> = BTreeMap::new();
        let mut add = |id: &MachineId, by: Micros, start: Option<(TaskId, Attempt)>| {
            let s = suspects.entry(id.clone()).or_insert(Suspect { by, starts: BTreeSet::new() });
            s.by = s.by.min(by);
            s.starts.extend(start);
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
    }

    fn may_hold(&self, job: &Job, m: &MachineRecord) -> bool {
        let size = self.catalogue.sizes.get(&m.build);
        let (Some(spec), Some(size)) = (&job.spec, size) else { return true };
        spec.allows(&m.build, &m.zone, m.spot, size)
    }

    /// A machine answered a question or a stop: both answer with its report.
    pub(super) fn deputy_answered(&mut self, result: &CallResult) {
        let CallResult::Answer { status: 200 | 409, body } = result else { return };
        let Ok(r) = serde_json::from_slice::<Report>(body) else { return };
        let Some(tasks) = read_tasks(&r) else { return };
        let unwanted = Controller::stops_for_stranger(&tasks, &self.mirror.ledger);
        let Some(stops) = self.deputy.answered(&r, unwanted) else { return };
        let call = self.out.call(Call {
            target: Target::Worker(r.addr),
            method: "POST",
            path: "/do".into(),
            body: serde_json::to_vec(&stops).unwrap_or_default(),
            timeout: Micros::millis(1200),
        });
        self.calls.insert(call, Purpose::Deputy);
    }
}
