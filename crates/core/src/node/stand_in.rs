//! A witness's work in place of a leader that is silent (`crate::deputy`).
use super::*;
use crate::deputy::{Act, SILENT};

impl Node {
    pub(super) fn stand_in(&mut self) {
        let leads = self.leadership.leader.is_some();
        if leads || self.now.since(self.peers.led_at.max(self.began)) < SILENT {
            return self.deputy.stand_down();
        }
        let Some(book) = self.kept.get(self.leader_term()) else { return };
        let cancelled = self.cancellations.unsettled();
        let machines = self.mirror.ledger.machines.len();
        for act in self.deputy.tick(book, &cancelled, self.ctx.cancel, machines, self.now) {
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
