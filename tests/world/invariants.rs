//! The rules that are checked at each step, from what workers and users observe.
use super::*;

impl World {
    pub fn job_of(task_id: &str) -> (usize, u32) {
        let (j, i) = task_id.split_once('/').unwrap();
        (j[2..].parse().unwrap(), i.parse().unwrap())
    }

    pub fn check_start(&mut self, at: &str, task_id: &str) {
        self.started += 1;
        if let Some(task) = nomad_task(task_id) {
            return self.check_nomad_start(at, task);
        }
        let (j, index) = Self::job_of(task_id);
        let now = self.now;
        self.jobs[j].started_at.get_or_insert(now);
        if self.jobs[j].done[index as usize] {
            self.reruns.push(format!("{task_id} on {at} at {:.1}", now as f64 / 1e6));
        }
        let m = &self.machines[at];
        let job = &self.jobs[j];
        let mut faults: Vec<(&str, String)> = Vec::new();
        for (name, o) in &self.machines {
            if name != at && o.tasks.iter().any(|t| t.name == task_id && t.is_running()) {
                faults.push(("ran_twice", format!("{task_id} starts on {at} while it is on {name}")));
            }
        }
        if job.zone.is_some_and(|z| z != m.zone) {
            faults.push(("wrong_place", format!("{task_id} on {at} in {}", m.zone)));
        }
        if m.spot && !job.spot || job.machine_type.is_some_and(|b| b != m.machine_type) || index >= job.tasks
        {
            faults.push(("wrong_place", format!("{task_id} on {at} ({}, spot {})", m.machine_type, m.spot)));
        }
        if job.spread {
            let here = self
                .machines
                .values()
                .filter(|o| o.zone == m.zone)
                .flat_map(|o| o.tasks.iter())
                .filter(|t| t.is_running() && nomad_task(&t.name).is_none() && Self::job_of(&t.name).0 == j)
                .count() as u32;
            if here > job.tasks.div_ceil(2) {
                faults.push(("wrong_place", format!("{here} tasks of job {j} in {}", m.zone)));
            }
        }
        // The start order left before the confirmation; `check_commands` checks the commands
        // themselves.
        self.faults.starts_after_confirmation += job.aborted_at.is_some() as usize;
        if job.cancelled_from.is_some_and(|t| self.now > t + self.size.cancel_timeout) {
            faults.push(("ran_cancelled", format!("{task_id} starts on {at}")));
        }
        if let Some(needed) = self.first_unfinished(j) {
            faults.push(("too_early", format!("{task_id} starts on {at} before job {needed} is done")));
        }
        self.pipelines.starts += !job.awaits.is_empty() as usize;
        for (rule, detail) in faults {
            self.report_violation(rule, detail);
        }
    }

    pub fn check_all(&mut self) {
        let mut tight = if self.size.nomad_clients { self.check_nomad_tasks() } else { 0.0 };
        let mut on = 0;
        let mut faults: Vec<(&str, String)> = Vec::new();
        let mut done = Vec::new();
        for (name, m) in &self.machines {
            self.rented_cpu_us += (m.cpus * self.size.worker_step as f64) as u64;
            for t in m.tasks.iter().filter(|t| nomad_task(&t.name).is_none()) {
                let (j, i) = Self::job_of(&t.name);
                // A job of `request_validation.rs`, which the simulated workers do not know.
                let Some(job) = self.jobs.get(j) else { continue };
                if t.stage == Stage::Exited("done") {
                    done.push((j, i));
                }
                if !t.is_running() {
                    continue;
                }
                on += 1;
                self.used_cpu_us += (job.cpus * self.size.worker_step as f64) as u64;
                if job.team == "tight" {
                    tight += job.cpus;
                }
                if job.cancelled_from.is_some_and(|at| self.now > at + self.size.cancel_timeout) {
                    faults.push(("ran_cancelled", format!("{} is on {name}", t.name)));
                }
            }
        }
        if tight > 9.0 + 1e-9 {
            faults.push(("quota", format!("{tight} of 9 CPUs")));
        }
        self.peak_tasks = self.peak_tasks.max(on);
        for (j, i) in done {
            let d = &mut self.jobs[j].done[i as usize];
            let newly_done = !std::mem::replace(d, true);
            self.completed += newly_done as usize;
            if newly_done && self.jobs[j].done.iter().all(|d| *d) {
                self.jobs[j].completed_at = Some(self.now);
                self.job_completed(j);
            }
            if newly_done
                && self.now < self.faults.cancel_at_end_until
                && self.jobs[j].done.iter().all(|d| *d)
            {
                let at = self.rng.usize(0..self.size.nodes);
                for n in 0..self.size.nodes {
                    let d = self.rng.u64(0..3 * MS);
                    let user_action =
                        if n == at { consistency::UserAction::Abort } else { consistency::UserAction::Poll };
                    self.at(d, Event::UserRequest(n, user_action, j));
                    self.at(d, Event::UserRequest(n, consistency::UserAction::Resubmit, j));
                }
            }
        }
        for (rule, detail) in faults {
            self.report_violation(rule, detail);
        }
    }

    pub fn handle_answer(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        let Some(requester) = self.pending_requests.remove(&id) else { return };
        let began = self.consistency.requests_began_at.remove(&id).unwrap_or(self.now);
        self.close_user_connection(id);
        let stage = |b: &[u8]| {
            serde_json::from_slice::<Value>(b).ok().and_then(|v| v["stage"].as_str().map(str::to_owned))
        };
        match requester {
            // Answers to Nomad clients arrive as `Event::ExtensionAnswered`.
            Requester::NomadClient(_) => {}
            Requester::Probe => self.probe_ended(id, Some(status)),
            Requester::Worker(name, key) => self.handle_checkin_answer(&name, key, status, &body),
            Requester::Direct => self.consistency.direct_answer = Some((status, body)),
            Requester::UnknownJob => {
                if matches!(status, 200 | 201) {
                    self.report_violation("invented", "a job that nobody submitted".into());
                }
            }
            Requester::Submit(j) => match status {
                200 | 201 => {
                    if !std::mem::replace(&mut self.jobs[j].accepted, true) {
                        self.jobs[j].accepted_at = self.now;
                        self.job_accepted(j);
                    }
                    self.check_stage(j, &stage(&body).unwrap(), began);
                }
                400 | 422 if self.jobs[j].accepted && began > self.jobs[j].accepted_at => {
                    self.report_violation("forgotten", format!("job {j}: {status}"))
                }
                // Every job that it names was accepted before.
                422 if !self.jobs[j].awaits.is_empty() => self.report_violation(
                    "forgotten",
                    format!("job {j} refused: {}", String::from_utf8_lossy(&body)),
                ),
                400 | 422 => panic!("job {j} refused: {}", String::from_utf8_lossy(&body)),
                _ => {}
            },
            Requester::Poll(j) => match status {
                200 => self.check_stage(j, &stage(&body).unwrap(), began),
                404 if self.jobs[j].accepted => self.report_violation("forgotten", format!("job {j} is 404")),
                _ => {}
            },
            Requester::Abort(j) => {
                if status == 200 {
                    let s = stage(&body).unwrap();
                    self.check_stage(j, &s, began);
                } else if status == 404 && self.jobs[j].accepted {
                    self.report_violation("forgotten", format!("job {j} is 404"));
                }
            }
        }
        self.request_postponed_cancellations();
    }

    /// Checks an answer that a user receives about a job, to a request sent at `began`. Answers to
    /// concurrent requests may overtake each other; `check_answer_order` compares them as they
    /// leave the controllers.
    pub fn check_stage(&mut self, j: usize, stage: &str, began: u64) {
        let now = self.now;
        let requested = self.cancellation_requested(j);
        let job = &mut self.jobs[j];
        job.answered_at = now;
        let (was_done, was_aborted) = (job.reported_done, job.aborted_at.is_some());
        let mut fault = None;
        match stage {
            "done" => {
                if job.service || job.done.iter().any(|d| !d) {
                    fault = Some("not_done");
                } else if job.aborted_at.is_some() {
                    fault = Some("went_back");
                }
                job.reported_done = true;
            }
            "aborted" => {
                if job.reported_done || !requested {
                    fault = Some("went_back");
                }
                job.aborted_at.get_or_insert(now);
            }
            _ if job.reported_ended_at.is_some_and(|t| began > t) => fault = Some("went_back"),
            _ => {}
        }
        if job.reported_done || job.aborted_at.is_some() {
            job.reported_ended_at.get_or_insert(now);
        }
        let (is_done, is_aborted) = (job.reported_done, job.aborted_at.is_some());
        if let Some(rule) = fault {
            self.report_violation(rule, format!("job {j} is called {stage}"));
        }
        if is_done && !was_done {
            self.check_cancelled_after(j);
        }
        if is_aborted && !was_aborted {
            self.note_cancelled(j);
        }
    }
}
