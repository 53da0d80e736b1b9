//! Commands to workers, in responses to heartbeats and in direct calls. Invariant: a start is sent
//! only under its grant's fencing token, and `clear` only in a response whose fencing token rules
//! out that a call with the start is carried out afterwards.
use super::worker::{Delivery, DirectCall, Stop, Worker, is_finished, is_unwanted};
use super::{Controller, PROBE_AFTER, PROBE_TIMEOUT, SCAN_INTERVAL, parse_tasks};
use crate::jobs::{Job, StateReplica};
use crate::peer::TaskState;
use crate::{Call, CallId, CallResult, Outbox, Target};
use gorseshore_protocol::ids::{Attempt, FencingToken, JobId, MachineId, Micros, TaskId};
use gorseshore_protocol::workers::{Command, CommandRequest, Report};
use log::{debug, info, warn};
use std::collections::BTreeSet;

/// Logs the starts and clears that are sent to a worker, in one line each. A halt is logged by
/// whoever decides it.
pub(super) fn log_commands(
    id: &MachineId,
    sent_in: &str,
    fencing_token: FencingToken,
    agent_epoch: u64,
    commands: &[Command],
) {
    for (action, event) in [("run", "start"), ("clear", "clear")] {
        let matching = commands.iter().filter(|c| c.action == action);
        let attempts: Vec<String> = matching.map(|c| format!("{}@{}", c.task, c.attempt)).collect();
        if !attempts.is_empty() {
            let attempts = attempts.join(",");
            let token = fencing_token.0;
            info!("{id}: {event} sent_in={sent_in} token={token} epoch={agent_epoch} attempts={attempts}");
        }
    }
}

fn command(action: &str, (task, attempt): &(TaskId, Attempt), grace_period: Option<Micros>) -> Command {
    Command {
        action: action.into(),
        task: task.to_string(),
        attempt: attempt.0,
        grace_period_s: grace_period.map(Micros::as_secs_f64),
    }
}

impl Worker {
    /// Clears of the exited tasks whose results are recorded, and whose starts the response's token
    /// rules out: the worker takes the token before the commands. `acked` is the last `Sync` that
    /// the leader has acknowledged.
    fn clears(&self, state_replica: &StateReplica, acked: u64) -> Vec<Command> {
        let mut clears = Vec::new();
        for t in self.tasks.iter().filter(|t| t.state.exited()) {
            let key = (t.task, t.attempt);
            let recorded = match t.state {
                TaskState::Done => is_finished(state_replica.jobs.get(&t.task.job), t.task.index),
                _ => self.exits.get(&key).copied().flatten().is_some_and(|seq| seq <= acked),
            };
            if recorded && !self.is_open(&key, self.fencing_token) {
                clears.push(command("clear", &key, None));
            }
        }
        clears
    }

    /// Stops of the tasks that must not run; in a direct call only those that none has sent.
    fn halts(&mut self, state_replica: &StateReplica, response: bool) -> Vec<Command> {
        let mut halts = Vec::new();
        for t in self.tasks.iter().filter(|t| !t.state.exited()) {
            let key = (t.task, t.attempt);
            let unwanted = is_finished(state_replica.jobs.get(&t.task.job), t.task.index);
            let stop = self.stops.get(&key).copied();
            let grace = if unwanted {
                Some(Micros(0))
            } else {
                // A task that is already saving is stopped only if it gets no more time to save.
                stop.map(|s| s.grace).filter(|g| t.state != TaskState::Saving || g.0 == 0)
            };
            let Some(grace) = grace else { continue };
            let sent = stop.is_some_and(|s| s.sent_direct && s.grace == grace);
            if response || !sent {
                halts.push(command("halt", &key, Some(grace)));
                self.stops.insert(key, Stop { grace, sent_direct: sent || !response });
            }
        }
        halts
    }

    /// Starts that the worker has not carried out yet; in a direct call only those that none has
    /// sent.
    fn runs(&mut self, state_replica: &StateReplica, response: bool) -> Vec<Command> {
        let mut runs = Vec::new();
        let present: BTreeSet<(TaskId, Attempt)> = self.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        for (key, start) in self.starts.iter_mut() {
            if start.reported
                || present.contains(key)
                || is_unwanted(key, &self.stops, state_replica)
                || start.fencing_token != self.fencing_token
                || start.agent_epoch != self.agent_epoch
            {
                continue;
            }
            if response {
                start.in_response_to = Some((self.agent_epoch, self.sequence));
                runs.push(command("run", key, None));
            } else if start.delivery == Delivery::NotSent && start.in_response_to.is_none() {
                runs.push(command("run", key, None));
            }
        }
        runs
    }
}

impl Controller {
    /// Commands for a machine. `response` is true if they are sent in the response to a heartbeat.
    pub(super) fn commands(
        &mut self,
        id: &MachineId,
        state_replica: &StateReplica,
        response: bool,
        may_start: bool,
    ) -> Vec<Command> {
        let acked = self.acked;
        let Some(w) = self.workers.get_mut(id) else { return Vec::new() };
        // `clear` is sent only in responses to heartbeats, after which no earlier response can be
        // executed.
        let mut commands = if response { w.clears(state_replica, acked) } else { Vec::new() };
        commands.extend(w.halts(state_replica, response));
        // No task is started on a worker that commands may not reach: the task would be bound to it.
        if may_start && w.acknowledges_commands {
            commands.extend(w.runs(state_replica, response));
        }
        commands
    }

    /// Marks a machine as changed: the leader must be notified soon, and a command may be due to the
    /// worker.
    pub(super) fn mark_changed(&mut self, id: &MachineId) {
        if let Some(w) = self.workers.get_mut(id) {
            w.changed_in = self.sync_seq + 1;
            w.reported_in = w.changed_in;
            self.touched.insert(id.clone());
            self.sync_pending = true;
        }
    }

    /// Marks the machines with running or starting tasks of a job that are finished, since the job
    /// ended or the tasks were recorded as done. These tasks have to be stopped or cleared.
    pub fn job_changed(&mut self, id: JobId, job: &Job) {
        let finished = |t: &TaskId| t.job == id && is_finished(Some(job), t.index);
        let affected: Vec<MachineId> = self
            .workers
            .iter()
            .filter(|(_, w)| {
                w.tasks.iter().any(|t| !t.state.exited() && finished(&t.task))
                    || w.starts.keys().any(|(t, _)| finished(t))
            })
            .map(|(id, _)| id.clone())
            .collect();
        affected.iter().for_each(|id| self.mark_changed(id));
    }

    /// Drops starts of finished or stopped tasks that cannot have arrived.
    pub(super) fn drop_obsolete_starts(&mut self, id: &MachineId, state_replica: &StateReplica) {
        let Some(w) = self.workers.get_mut(id) else { return };
        let before = w.starts.len();
        let (stops, tasks) = (&w.stops, &w.tasks);
        w.starts.retain(|k, s| {
            let may_arrive = s.reported || s.delivery == Delivery::Sent || s.in_response_to.is_some();
            may_arrive
                || tasks.iter().any(|t| (t.task, t.attempt) == *k)
                || !is_unwanted(k, stops, state_replica)
        });
        if before != w.starts.len() {
            self.mark_changed(id);
        }
    }

    /// Asks the leader for a higher fencing token, with the next `Sync`, if one is due.
    fn request_token_if_due(&mut self, id: &MachineId, state_replica: &StateReplica, now: Micros) {
        let due = |w: &Worker| !w.token_requested && w.needs_new_token(state_replica, now);
        if self.workers.get(id).is_some_and(due) {
            self.mark_changed(id);
        }
    }

    /// Sends the commands and probes that are due, with at most one call in flight to each worker.
    /// Returns the calls sent.
    pub fn send_commands(
        &mut self,
        state_replica: &StateReplica,
        now: Micros,
        out: &mut Outbox,
    ) -> Vec<(CallId, MachineId)> {
        let may_start = now < self.lease_until;
        // All workers are scanned periodically for changes that only the passing of time brings.
        let ids: Vec<MachineId> = if now.since(self.scanned_at) >= SCAN_INTERVAL {
            self.scanned_at = now;
            self.touched.clear();
            self.workers.keys().cloned().collect()
        } else {
            std::mem::take(&mut self.touched).into_iter().collect()
        };
        let mut calls = Vec::new();
        for id in ids {
            self.drop_obsolete_starts(&id, state_replica);
            self.request_token_if_due(&id, state_replica, now);
            let Some(w) = self.workers.get(&id) else { continue };
            if w.direct.is_some() || w.addr.is_empty() || now < w.next_call_at {
                continue;
            }
            // A healthy worker that waits for a controller that has exited sends no report for
            // seconds, so it is probed. So is a worker whose last report does not show that
            // commands reach it.
            let unconfirmed = w.last_contact.is_some_and(|t| now.since(t) > PROBE_AFTER)
                || w.agent_epoch > 0 && !w.acknowledges_commands;
            // Stops are sent to it all the same, and the response to them is its report as well: a
            // worker that reaches no controller learns of a cancellation in no other way.
            let commands = match w.agent_epoch {
                0 => Vec::new(),
                _ => self.commands(&id, state_replica, false, may_start && !unconfirmed),
            };
            let Some(w) = self.workers.get_mut(&id) else { continue };
            if w.agent_epoch == 0 || unconfirmed && commands.is_empty() {
                if w.announce_token || unconfirmed {
                    let call = out.call(Call {
                        target: Target::Worker(w.addr.clone()),
                        method: "GET",
                        path: "/status".into(),
                        body: Vec::new(),
                        timeout: PROBE_TIMEOUT,
                    });
                    calls.push((call, id.clone()));
                    w.direct =
                        Some(DirectCall { call, runs: Vec::new(), stops: Vec::new(), status_only: true });
                }
                continue;
            }
            if commands.is_empty() && !w.announce_token {
                continue;
            }
            w.announce_token = false;
            let sent = |verb: &str| -> Vec<(TaskId, Attempt)> {
                let matching = commands.iter().filter(|o| o.action == verb);
                matching.filter_map(|o| Some((TaskId::parse(&o.task)?, Attempt(o.attempt)))).collect()
            };
            let (runs, stops) = (sent("run"), sent("halt"));
            log_commands(&id, "call", w.fencing_token, w.agent_epoch, &commands);
            for k in &runs {
                if let Some(s) = w.starts.get_mut(k) {
                    s.delivery = Delivery::Sent;
                }
            }
            let body =
                CommandRequest { fencing_token: w.fencing_token.0, agent_epoch: w.agent_epoch, commands };
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

    /// Processes the result of a direct call.
    pub fn call_completed(&mut self, id: &MachineId, call: CallId, result: &CallResult, now: Micros) {
        let Some(w) = self.workers.get_mut(id) else { return };
        if w.direct.as_ref().is_none_or(|d| d.call != call) {
            return;
        }
        let Some(d) = w.direct.take() else { return };
        if let CallResult::Response { status, .. } = result {
            debug!("{id}: direct call answered status={status} starts={}", d.runs.len());
        }
        let invalid = matches!(result, CallResult::Response { status: 400, .. } | CallResult::NotSent);
        let refused = invalid || matches!(result, CallResult::Response { status: 409, .. });
        for k in d.runs.iter().filter(|_| invalid) {
            if let Some(s) = w.starts.get_mut(k) {
                s.delivery = Delivery::NotSent;
            }
        }
        // A stop that was not carried out is sent again. So is one that may not have been carried
        // out, if it grants no time to save: a repeated stop does no harm then, and a worker that
        // reaches no controller receives it in no other way.
        let done = matches!(result, CallResult::Response { status: 200, .. });
        for k in d.stops.iter().filter(|_| !done) {
            if let Some(s) = w.stops.get_mut(k).filter(|s| refused || s.grace.0 == 0) {
                s.sent_direct = false;
            }
        }
        match result {
            CallResult::Response { status: status @ (200 | 409), body } => {
                let report: Option<Report> = serde_json::from_slice(body).ok();
                let Some((r, tasks)) = report.and_then(|r| parse_tasks(&r).map(|t| (r, t))) else {
                    warn!("{id}: direct call returned an unreadable report");
                    w.next_call_at = now + Micros::secs(1);
                    self.mark_changed(id);
                    return;
                };
                if r.machine != id.as_str() {
                    // Another machine uses the address now.
                    w.next_call_at = now + Micros::secs(1);
                    self.mark_changed(id);
                    return;
                }
                if FencingToken(r.fencing_token) > w.fencing_token {
                    info!("{id}: lease superseded by a higher fencing token {}", r.fencing_token);
                    self.workers.remove(id);
                    return;
                }
                w.apply_report(&r, tasks, false, now);
                // Also if a report sent later arrived first, and this one was not applied.
                w.acknowledges_commands = true;
                if *status == 409 || d.status_only {
                    w.announce_token = w.seen_fencing_token < w.fencing_token;
                }
            }
            CallResult::Response { status, .. } => {
                debug!("{id}: direct call answered status={status}");
                w.next_call_at = now + Micros::secs(1);
            }
            CallResult::NotSent | CallResult::Unknown => {
                debug!("{id}: direct call failed: {result:?}");
                w.announce_token = w.announce_token || w.seen_fencing_token < w.fencing_token;
                w.next_call_at = now + Micros::millis(700);
            }
        }
        self.warn_of_reappeared(id);
        self.mark_changed(id);
    }
}
