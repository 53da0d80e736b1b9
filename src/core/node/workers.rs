//! Check-ins.
use super::*;

impl Node {
    pub(super) fn checkin(&mut self, id: RequestId, body: &[u8]) {
        let Ok(r) = serde_json::from_slice::<Report>(body) else {
            return self.out.answer(id, 400, users::error("not a report"));
        };
        let Some(tasks) = read_tasks(&r) else {
            return self.out.answer(id, 400, users::error("a task's name is unreadable"));
        };
        let machine = MachineId::from(&*r.host);
        match self.ctl.checkin(&r, tasks, &self.ledger, self.now) {
            CheckinReply::Orders(baton, orders) => {
                let body = serde_json::to_vec(&CheckinAnswer { baton: baton.0, orders }).unwrap_or_default();
                self.out.answer(id, 200, body);
            }
            CheckinReply::Elsewhere(to) => {
                let rec = MachineRecord {
                    build: r.build.clone(),
                    zone: r.yard.clone(),
                    spot: r.loaners,
                    addr: r.addr.clone(),
                };
                self.tell_seen(&machine, rec);
                match to.filter(|n| *n != self.nodes.me) {
                    Some(n) => self.send_elsewhere(id, Some(n)),
                    // A grant may come in a moment: the answer waits for it.
                    None => {
                        let until = self.now + Micros::millis(600);
                        if let Some((old, ..)) = self.held_checkins.insert(machine, (id, r, until)) {
                            self.send_elsewhere(old, None);
                        }
                    }
                }
            }
        }
        self.drive();
    }

    pub(super) fn send_elsewhere(&mut self, id: RequestId, to: Option<NodeId>) {
        let body = match to.and_then(|n| self.nodes.names.get(n.0 as usize)) {
            Some(name) => json!({ "foreman": name }),
            None => json!({}),
        };
        self.out.answer(id, 421, body.to_string().into_bytes());
    }

    pub(super) fn tell_seen(&mut self, id: &MachineId, rec: MachineRecord) {
        if let Some(to) = self.leader_node() {
            let m = Message::Seen {
                id: id.clone(),
                build: rec.build,
                zone: rec.zone,
                spot: rec.spot,
                addr: rec.addr,
            };
            self.send(to, m);
        }
    }

    pub(super) fn answer_held(&mut self) {
        let due: Vec<MachineId> = self
            .held_checkins
            .iter()
            .filter(|(m, (.., until))| self.ctl.holds(m) || self.now >= *until)
            .map(|(m, _)| m.clone())
            .collect();
        for m in due {
            let Some((id, r, _)) = self.held_checkins.remove(&m) else { continue };
            let tasks = read_tasks(&r).unwrap_or_default();
            match self.ctl.checkin(&r, tasks, &self.ledger, self.now) {
                CheckinReply::Orders(baton, orders) => {
                    let body =
                        serde_json::to_vec(&CheckinAnswer { baton: baton.0, orders }).unwrap_or_default();
                    self.out.answer(id, 200, body);
                }
                CheckinReply::Elsewhere(to) => self.send_elsewhere(id, to.filter(|n| *n != self.nodes.me)),
            }
        }
    }

    /// Sends what the block's workers should hear.
    pub(super) fn drive(&mut self) {
        for (call, machine) in self.ctl.drive(&self.ledger, self.now, &mut self.out) {
            self.calls.insert(call, Purpose::Worker(machine));
        }
    }
}
