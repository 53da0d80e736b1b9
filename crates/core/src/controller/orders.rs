//! What goes out to workers, in answers and in direct calls. Invariant: a start goes
//! out only under its grant's token, and `clear` only when no sending of the start
//! can still arrive.
use super::*;

impl Controller {
    /// Orders for a machine; `answer` if they go out in a check-in's answer.
    pub(super) fn orders(
        &mut self,
        id: &MachineId,
        ledger: &StateReplica,
        answer: bool,
        may_start: bool,
    ) -> Vec<Command> {
        let acked = self.acked;
        let Some(w) = self.workers.get_mut(id) else { return Vec::new() };
        let mut out = Vec::new();
        let order = |verb: &str, k: &(TaskId, Attempt), grace: Option<f64>| Command {
            action: verb.into(),
            task: k.0.to_string(),
            attempt: k.1.0,
            grace_period_s: grace,
        };
        for t in &w.tasks {
            let k = (t.task, t.attempt);
            if t.state.exited() {
                // `clear` goes only into answers to check-ins, after which no
                // earlier answer can be executed; and only when no `/do` with
                // the start is open, or a late one would start it again.
                let settled = w.starts.get(&k).is_none_or(|s| s.sending == Sending::Settled);
                let recorded = match t.state {
                    TaskState::Done => over(ledger.jobs.get(&t.task.job), t.task.index),
                    _ => w.exits.get(&k).copied().flatten().is_some_and(|seq| seq <= acked),
                };
                if answer && settled && recorded {
                    out.push(order("clear", &k, None));
                }
                continue;
            }
            let unwanted = over(ledger.jobs.get(&t.task.job), t.task.index);
            let stop = w.stops.get(&k).copied();
            let grace = if unwanted {
                Some(Micros(0))
            } else {
                // A task that saves is left to it.
                stop.map(|s| s.grace).filter(|g| t.state != TaskState::Saving || g.0 == 0)
            };
            let Some(grace) = grace else { continue };
            let sent = stop.is_some_and(|s| s.sent_direct && s.grace == grace);
            if answer || !sent {
                out.push(order("halt", &k, Some(grace.as_secs_f64())));
                w.stops.insert(k, Stop { grace, sent_direct: sent || !answer });
            }
        }
        // What a worker may not hear is not started there: it would be bound to it.
        if may_start && w.obeys {
            let present: BTreeSet<(TaskId, Attempt)> = w.tasks.iter().map(|t| (t.task, t.attempt)).collect();
            for (k, s) in w.starts.iter_mut() {
                let unwanted = over(ledger.jobs.get(&k.0.job), k.0.index) || w.stops.contains_key(k);
                if s.seen || present.contains(k) || unwanted || s.baton != w.baton || s.shift != w.shift {
                    continue;
                }
                if answer {
                    s.in_answer_to = Some((w.shift, w.tally));
                    out.push(order("run", k, None));
                } else if s.sending == Sending::Settled && s.in_answer_to.is_none() {
                    out.push(order("run", k, None));
                }
            }
        }
        out
    }

    /// Something about a machine changed: the leader should hear, and its
    /// worker may have to.
    pub(super) fn touch(&mut self, id: &MachineId) {
        if let Some(w) = self.workers.get_mut(id) {
            w.changed = self.sync_seq + 1;
            w.reported = w.changed;
            self.touched.insert(id.clone());
            self.dirty = true;
        }
    }

    /// A job ended, or tasks of it were recorded as done: what is here of those
    /// is to be stopped or cleared.
    pub fn job_changed(&mut self, id: JobId, job: &Job) {
        let is_over = |t: &TaskId| t.job == id && over(Some(job), t.index);
        let concerned: Vec<MachineId> = self
            .workers
            .iter()
            .filter(|(_, w)| {
                w.tasks.iter().any(|t| !t.state.exited() && is_over(&t.task))
                    || w.starts.keys().any(|(t, _)| is_over(t))
            })
            .map(|(id, _)| id.clone())
            .collect();
        concerned.iter().for_each(|id| self.touch(id));
    }

    /// Drops starts that nobody wants and that can't have arrived.
    pub(super) fn drop_unwanted(&mut self, id: &MachineId, ledger: &StateReplica) {
        let Some(w) = self.workers.get_mut(id) else { return };
        let before = w.starts.len();
        let (stops, tasks) = (&w.stops, &w.tasks);
        w.starts.retain(|k, s| {
            let open = s.seen || s.sending != Sending::Settled || s.in_answer_to.is_some();
            open || tasks.iter().any(|t| (t.task, t.attempt) == *k)
                || !(over(ledger.jobs.get(&k.0.job), k.0.index) || stops.contains_key(k))
        });
        if before != w.starts.len() {
            self.touch(id);
        }
    }

    /// Sends what is due to the workers, one call at a time to each.
    pub fn drive(
        &mut self,
        ledger: &StateReplica,
        now: Micros,
        out: &mut Outbox,
    ) -> Vec<(CallId, MachineId)> {
        let may_start = now < self.lease_until;
        // All are looked at now and then, for what time alone changes.
        let ids: Vec<MachineId> = if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.touched.clear();
            self.workers.keys().cloned().collect()
        } else {
            std::mem::take(&mut self.touched).into_iter().collect()
        };
        let mut calls = Vec::new();
        for id in ids {
            self.drop_unwanted(&id, ledger);
            let Some(w) = self.workers.get(&id) else { continue };
            if w.direct.is_some() || w.addr.is_empty() || now < w.not_before {
                continue;
            }
            // A worker that waits for a controller that ended doesn't report for
            // seconds, though it is well: it is asked.
            // So is one whose last report doesn't show that it hears.
            let quiet = w.heard.is_some_and(|t| now.since(t) > ASKED_AFTER) || w.shift > 0 && !w.obeys;
            // Its stops go out all the same, and their answer is its report as well: a
            // worker that reaches nobody hears of a cancellation in no other way.
            let orders = match w.shift {
                0 => Vec::new(),
                _ => self.orders(&id, ledger, false, may_start && !quiet),
            };
            let Some(w) = self.workers.get_mut(&id) else { continue };
            if w.shift == 0 || quiet && orders.is_empty() {
                if w.announce || quiet {
                    let call = out.call(Call {
                        target: Target::Worker(w.addr.clone()),
                        method: "GET",
                        path: "/status".into(),
                        body: Vec::new(),
                        timeout: ASK_TIMEOUT,
                    });
                    calls.push((call, id.clone()));
                    w.direct =
                        Some(DirectCall { call, runs: Vec::new(), stops: Vec::new(), status_only: true });
                }
                continue;
            }
            if orders.is_empty() && !w.announce {
                continue;
            }
            w.announce = false;
            let sent = |verb: &str| -> Vec<(TaskId, Attempt)> {
                let of_verb = orders.iter().filter(|o| o.action == verb);
                of_verb.filter_map(|o| Some((TaskId::parse(&o.task)?, Attempt(o.attempt)))).collect()
            };
            let (runs, stops) = (sent("run"), sent("halt"));
            for k in &runs {
                if let Some(s) = w.starts.get_mut(k) {
                    s.sending = Sending::InFlight;
                }
            }
            let body = CommandRequest { fencing_token: w.baton.0, agent_epoch: w.shift, commands: orders };
            let call = out.call(Call {
                target: Target::Worker(w.addr.clone()),
                method: "POST",
                path: "/do".into(),
                body: serde_json::to_vec(&body).unwrap_or_default(),
                timeout: Micros::millis(2000),
            });
            w.direct = Some(DirectCall { call, runs, stops, status_only: false });
            calls.push((call, id));
        }
        calls
    }

    /// A direct call ended.
    pub fn called(&mut self, id: &MachineId, call: CallId, result: &CallResult, now: Micros) {
        let Some(w) = self.workers.get_mut(id) else { return };
        if w.direct.as_ref().is_none_or(|d| d.call != call) {
            return;
        }
        let Some(d) = w.direct.take() else { return };
        if let CallResult::Answer { status, .. } = result {
            debug!("{id}: direct call answered {status}, {} starts", d.runs.len());
        }
        let fate = match result {
            CallResult::Answer { status: 200 | 400 | 409, .. } | CallResult::NotSent => Sending::Settled,
            _ => Sending::Uncertain,
        };
        for k in &d.runs {
            if let Some(s) = w.starts.get_mut(k) {
                s.sending = fate;
            }
        }
        // A stop that was not carried out goes out again, and so does one that may not have
        // been, where there is nothing to save: it does no harm twice, and a worker that
        // reaches nobody hears it in no other way.
        let done = matches!(result, CallResult::Answer { status: 200, .. });
        for k in d.stops.iter().filter(|_| !done) {
            if let Some(s) = w.stops.get_mut(k).filter(|s| fate == Sending::Settled || s.grace.0 == 0) {
                s.sent_direct = false;
            }
        }
        match result {
            CallResult::Answer { status: status @ (200 | 409), body } => {
                let report: Option<Report> = serde_json::from_slice(body).ok();
                let Some((r, tasks)) = report.and_then(|r| read_tasks(&r).map(|t| (r, t))) else {
                    warn!("{id}: unreadable report");
                    w.not_before = now + Micros::secs(1);
                    self.touch(id);
                    return;
                };
                if r.machine != id.as_str() {
                    // Another machine has the address now.
                    w.not_before = now + Micros::secs(1);
                    self.touch(id);
                    return;
                }
                if FencingToken(r.fencing_token) > w.baton {
                    info!("{id}: lost to a higher token {}", r.fencing_token);
                    self.workers.remove(id);
                    return;
                }
                w.take(&r, tasks, false, now);
                // Also where a report that was sent later came first.
                w.obeys = true;
                if *status == 409 || d.status_only {
                    w.announce = w.seen_baton < w.baton;
                }
            }
            CallResult::Answer { status, .. } => {
                debug!("{id}: direct call answered {status}");
                w.not_before = now + Micros::secs(1);
            }
            CallResult::NotSent | CallResult::Unknown => {
                debug!("{id}: direct call failed: {result:?}");
                w.announce = w.announce || w.seen_baton < w.baton;
                w.not_before = now + Micros::millis(700);
            }
        }
        self.touch(id);
    }
}
