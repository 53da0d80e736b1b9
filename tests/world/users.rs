//! Simulated users: they submit jobs, ask about them and cancel them.
use super::*;

impl World {
    pub fn simulate_users(&mut self) {
        if self.size.nomad_clients {
            self.send_nomad_request();
        }
        if self.size.pipelines {
            self.plan_pipelines();
        }
        let (at_once, one_in) = if self.size.fleet { (20, 4) } else { (1, 12) };
        let busy = self.now < self.size.busy_until;
        if busy && (self.jobs.len() < self.size.jobs || self.rng.u32(0..one_in) == 0) {
            let left = self.size.jobs.saturating_sub(self.jobs.len());
            (0..at_once.min(left.max(1))).for_each(|_| self.new_job());
        }
        for j in 0..self.jobs.len() {
            if self.now < self.jobs[j].next_request_at || !self.may_submit(j) {
                continue;
            }
            self.jobs[j].next_request_at = self.now + self.rng.u64(2 * S..5 * S);
            let mut n = self.rng.usize(0..self.size.nodes);
            let id = format!("j-{j:06}");
            let job = &mut self.jobs[j];
            if self.size.fleet {
                // Users try the next controller when they get no answer.
                job.submit_attempts += 1;
                n = (j + job.submit_attempts) % self.size.nodes;
            }
            if !job.accepted {
                if !std::mem::replace(&mut job.submitted, true) {
                    job.submitted_at = self.now;
                }
                let body = job.body.to_string().into_bytes();
                self.request(n, "POST", "/submissions".into(), body, Requester::Submit(j));
            } else if self.now > job.abort_at && job.aborted_at.is_none() && !job.reported_done {
                job.abort_requested = true;
                self.request(n, "POST", format!("/submissions/{id}/abort"), Vec::new(), Requester::Abort(j));
            } else if self.rng.u32(0..8) == 0 {
                // Resubmits a known job with an invalid task count: the answer must be the known
                // job's stage.
                let mut body = self.jobs[j].body.clone();
                body["pieces"] = json!(-1);
                self.request(
                    n,
                    "POST",
                    "/submissions".into(),
                    body.to_string().into_bytes(),
                    Requester::Submit(j),
                );
            } else {
                self.request(n, "GET", format!("/submissions/{id}"), Vec::new(), Requester::Poll(j));
            }
        }
        self.check_answered();
        let inconsistent: Vec<String> =
            self.nodes.iter().flatten().filter_map(|n| n.check_aggregates().err()).collect();
        for s in inconsistent {
            self.report_violation("sums", s);
        }
        if self.rng.u32(0..10) == 0 {
            let n = self.rng.usize(0..self.size.nodes);
            self.request(n, "GET", "/submissions/j-900000".into(), Vec::new(), Requester::UnknownJob);
        }
    }

    pub fn new_job(&mut self) {
        if self.size.fleet {
            return self.push_fleet_job();
        }
        if self.size.partial_failures && self.rng.u32(0..4) == 0 {
            return self.push_extension_job();
        }
        let j = self.jobs.len();
        if j < self.size.long_arrays {
            return self.long_array();
        }
        let r = &mut self.rng;
        let service = r.u32(0..3) == 0;
        let tight = r.u32(0..3) == 0;
        let tasks = if service { r.u32(1..4) } else { r.u32(1..self.size.tasks) };
        let cpus = if tight && service { 1.0 } else { r.u32(1..5) as f64 };
        let run_us = r.u64(S..20 * S);
        let spread = r.u32(0..3) == 0;
        let spot = !service && r.bool();
        let machine_type = (r.u32(0..6) == 0).then_some("big");
        let checkpoint_us = (!service && r.bool()).then_some(2 * S);
        let team = if tight { "tight" } else { "free" };
        // Services of the team with a limit end; otherwise its arrays would wait forever.
        let ends = tight && service || r.u32(0..3) == 0;
        let abort_at = if ends { self.now + r.u64(5 * S..60 * S) } else { u64::MAX };
        let body = json!({"ref": format!("j-{j:06}"), "lot": "l", "crew": team,
            "manner": if service { "standing" } else { "array" },
            "rank": if service { "prod" } else { "standard" },
            "pieces": tasks, "cpus": cpus, "gpus": 0.0, "memory_gb": 1.0, "bundle": "i",
            "image_gb": 0.4, "builds": machine_type.map(|b| vec![b]), "yard": null, "same_place": false,
            "apart": spread, "loaners": spot, "guess_s": run_us as f64 / 1e6,
            "mark_s": if checkpoint_us.is_some() { 5.0 } else { 0.0 }, "stow_s": 2.0, "due_s": null});
        let job = Job::new(body, team, service, tasks, cpus, run_us);
        self.jobs.push(Job { checkpoint_us, spread, spot, machine_type, abort_at, ..job });
    }

    /// Accepted arrays of the team without a limit that are neither done nor cancelled.
    pub fn unfinished_jobs(&self) -> Vec<usize> {
        let unfinished = |job: &Job| {
            job.team == "free"
                && !job.service
                && job.accepted
                && !job.reported_done
                && job.aborted_at.is_none()
        };
        (0..self.jobs.len()).filter(|j| unfinished(&self.jobs[*j]) && self.had_time_to_end(*j)).collect()
    }

    /// Describes jobs and machines for the message of a failed test.
    pub fn describe(&self, jobs: &[usize]) -> (Vec<String>, Vec<String>) {
        let jobs = jobs.iter().map(|j| {
            let d = self.jobs[*j].done.iter().filter(|d| **d).count();
            format!("{j}: {d} done; {}", self.jobs[*j].body)
        });
        let machines = self.machines.values().map(|m| {
            let up = m.up_at <= self.now;
            format!(
                "{} {} {} spot={} up={up} sick={} {:?}",
                m.name, m.machine_type, m.zone, m.spot, m.fails_all_tasks, m.tasks
            )
        });
        (jobs.collect(), machines.collect())
    }
}
