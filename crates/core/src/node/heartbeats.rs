//! Workers' heartbeats (`POST /checkin`).
use super::*;

impl Node {
    pub(super) fn receive_heartbeat(&mut self, id: RequestId, body: &[u8]) {
        let Ok(r) = serde_json::from_slice::<Report>(body) else {
            return self.out.respond(id, 400, users::error_body("not a report"));
        };
        let Some(tasks) = parse_tasks(&r) else {
            return self.out.respond(id, 400, users::error_body("a task's name is unreadable"));
        };
        self.record_heartbeat(&r, &tasks);
        self.fetch_jobs_of_tasks(tasks.iter().map(|t| t.task));
        let machine = MachineId::from(&*r.machine);
        // A report that contradicts the machine's record does not come from that machine: two
        // workers share a name, or one is misconfigured. It is ignored and its lease is not
        // renewed.
        if self.replica_sync.replica.machines.get(&machine).is_some_and(|rec| !rec.matches_report(&r)) {
            if self.deferred_heartbeats.contradicting.insert(machine.clone()) {
                warn!(
                    "{machine}: ignored a report with type={} zone={}, which contradicts its record",
                    r.machine_type, r.zone
                );
            }
            return self.redirect(id, None);
        }
        match self.controller.receive_heartbeat(&r, tasks, &self.replica_sync.replica, self.now) {
            HeartbeatReply::Commands(fencing_token, commands) => {
                self.renew_lease(id, fencing_token.0, commands)
            }
            HeartbeatReply::Misdirected(to) | HeartbeatReply::Superseded(to)
                if !self.deferred_heartbeats.is_newest(&machine, r.heartbeat_seq()) =>
            {
                // A copy, or a delayed report: no worker waits for this response.
                self.redirect(id, to);
            }
            reply @ (HeartbeatReply::Misdirected(to) | HeartbeatReply::Superseded(to)) => {
                self.report_unleased(&machine, MachineRecord::from_report(&r), r.heartbeat_seq(), false);
                // Other controllers reach the worker if it has a token from them, now or since its
                // lease was renewed here. A worker without tasks loses nothing on the way to them.
                let renewed_token = self.deferred_heartbeats.renewed_tokens.get(&machine).copied();
                let may_redirect = matches!(reply, HeartbeatReply::Superseded(_))
                    || renewed_token.is_some_and(|b| r.fencing_token > b)
                    || r.tasks.is_empty();
                match self.redirect_target(&machine, to) {
                    Some(n) => self.redirect(id, Some(n)),
                    // This node has no contact with the state service or any controller and can't
                    // serve the worker. A worker with tasks that no other controller seems to reach
                    // is kept alive: they may all be as isolated.
                    None if may_redirect && self.is_isolated() => {
                        debug!("{machine}: redirected, this controller can't serve it");
                        // If it returns with the same token, no other controller could serve it
                        // either.
                        self.deferred_heartbeats.record_renewal(machine, r.fencing_token);
                        self.redirect(id, None);
                    }
                    // A grant may arrive shortly, so the response is deferred.
                    None => {
                        let until = self.now + Micros::millis(600);
                        if let Some((old, r, _)) =
                            self.deferred_heartbeats.deferred.insert(machine, (id, r, until))
                        {
                            self.renew_unheld(old, &r);
                        }
                    }
                }
            }
        }
        self.send_worker_calls();
    }

    /// The holder to redirect a worker to, unless the worker was redirected there recently and came
    /// back: it can't reach that holder.
    fn redirect_target(&mut self, machine: &MachineId, holder: Option<NodeId>) -> Option<NodeId> {
        let n = holder.filter(|n| *n != self.members.own_id && self.in_contact(*n, PEER_TIMEOUT))?;
        let now = self.now;
        self.deferred_heartbeats.redirected_at.retain(|_, t| now.since(*t) < Micros::secs(12));
        match self.deferred_heartbeats.redirected_at.get(machine) {
            Some(t) if now.since(*t) > Micros::millis(1500) => None,
            Some(_) => Some(n),
            None => {
                self.deferred_heartbeats.redirected_at.insert(machine.clone(), now);
                Some(n)
            }
        }
    }

    /// Renews the lease of a worker whose machine this node does not hold, and whose holder is
    /// unknown or unreachable for the worker. It uses the token that the worker reported, so that
    /// nothing is started and a newer grant is not affected. It only stops tasks that are over.
    fn renew_unheld(&mut self, id: RequestId, r: &Report) {
        let tasks = parse_tasks(r).unwrap_or_default();
        let commands = Controller::stops_for_unleased(&tasks, &self.replica_sync.replica);
        self.deferred_heartbeats.record_renewal(MachineId::from(&*r.machine), r.fencing_token);
        self.renew_lease(id, r.fencing_token, commands);
    }

    /// Answers a heartbeat, which renews the worker's lease, if this process may renew leases.
    fn renew_lease(&mut self, id: RequestId, fencing_token: u64, commands: Vec<Command>) {
        if !self.may_renew_leases() {
            return self.redirect(id, None);
        }
        let body = serde_json::to_vec(&HeartbeatResponse { fencing_token, commands }).unwrap_or_default();
        self.out.respond(id, 200, body);
    }

    /// Whether neither the state service nor another controller is in contact.
    pub(super) fn is_isolated(&self) -> bool {
        !self.replica_sync.state_reachable(self.now)
            && self.peers.all().all(|n| n == self.members.own_id || !self.in_contact(n, PEER_TIMEOUT))
    }

    pub(super) fn redirect(&mut self, id: RequestId, to: Option<NodeId>) {
        let body = match to.and_then(|n| self.members.names.get(n.0 as usize)) {
            Some(name) => json!({ "foreman": name }),
            None => json!({}),
        };
        self.out.respond(id, 421, body.to_string().into_bytes());
    }

    pub(super) fn report_unleased(
        &mut self,
        id: &MachineId,
        rec: MachineRecord,
        report: HeartbeatSeq,
        probed: bool,
    ) {
        if self.replica_sync.replica.machines.contains_key(id) {
            // The leader knows the machine: the next `Sync` names it.
            self.deferred_heartbeats.unleased_reports.insert(id.clone(), (self.now, report, probed));
            self.controller.sync_pending = true;
        } else if let Some(to) = self.leader_node() {
            let m = Message::MachineDiscovered {
                id: id.clone(),
                machine_type: rec.machine_type,
                zone: rec.zone,
                spot: rec.spot,
                addr: rec.addr,
                report,
                probed,
            };
            self.send(to, m);
        }
    }

    pub(super) fn answer_deferred(&mut self) {
        let due: Vec<MachineId> = self
            .deferred_heartbeats
            .deferred
            .iter()
            .filter(|(m, (.., until))| self.controller.holds(m) || self.now >= *until)
            .map(|(m, _)| m.clone())
            .collect();
        for m in due {
            let Some((id, r, _)) = self.deferred_heartbeats.deferred.remove(&m) else { continue };
            let tasks = parse_tasks(&r).unwrap_or_default();
            match self.controller.receive_heartbeat(&r, tasks, &self.replica_sync.replica, self.now) {
                HeartbeatReply::Commands(fencing_token, commands) => {
                    self.renew_lease(id, fencing_token.0, commands)
                }
                HeartbeatReply::Misdirected(to) | HeartbeatReply::Superseded(to) => {
                    match self.redirect_target(&m, to) {
                        Some(n) => self.redirect(id, Some(n)),
                        None => self.renew_unheld(id, &r),
                    }
                }
            }
        }
    }

    /// Sends the calls that are due to workers of machines held here.
    pub(super) fn send_worker_calls(&mut self) {
        for (call, machine) in
            self.controller.send_commands(&self.replica_sync.replica, self.now, &mut self.out)
        {
            self.calls.insert(call, CallPurpose::WorkerCall(machine));
        }
    }
}
