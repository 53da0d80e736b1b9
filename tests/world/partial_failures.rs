//! Partial failures seen in operation, beside the faults that the protocol names: machines whose
//! reports arrive while no answer and no command reaches them, controllers whose answers and
//! commands reach no worker, controllers that lose the state service and the other controllers but
//! not their workers, and duplicates of reports and of users' requests that arrive 0.5 to 60 s
//! late. The checks use only what users and workers observe: the invariants, that each accepted job
//! is known, which jobs are served, and when the largest ones start.
use super::*;
use std::collections::BTreeSet;

pub const PARTIAL_FAILURES: Size =
    Size { capacity: [9, 9], jobs: 8, busy_until: 150 * S, end_at: 400 * S, partial_failures: true, ..SMALL };
/// Seven controllers, so that a worker that finds none available takes longer than its lease to try
/// all of them.
pub const SEVEN_CONTROLLERS_PARTIAL_FAILURES: Size = Size {
    nodes: 7,
    requests_per_s: 100.0,
    writes_per_s: 15.0,
    max_txn_writes: 8,
    max_value_kib: 4.0,
    ..PARTIAL_FAILURES
};

/// An accepted job counts as forgotten if no question about it is answered for this time.
const FORGOTTEN_AFTER: u64 = 75 * S;
/// Longest wait of the largest jobs until their first task starts.
const MAX_START_WAIT: u64 = 240 * S;
/// Delay of duplicates.
const DUPLICATE_DELAY: std::ops::Range<u64> = 500 * MS..60 * S;

/// Partial failures and what is recorded of them.
pub struct Observations {
    /// Controllers that communicate only with workers and users, and the end of that time.
    pub isolated_until: Vec<u64>,
    /// Controllers whose answers and commands reach no worker.
    outgoing_lost_until: Vec<u64>,
    /// Machines that receive no answer and no command: the end of that time, and the times of the
    /// reports that they sent in it.
    unreachable: BTreeMap<String, (u64, Vec<u64>)>,
    /// One report or request in this many is duplicated; 0 for none.
    pub duplicate_one_in: u32,
    /// Set by a test: no question about this job is answered.
    pub ignored_job: Option<usize>,
    /// End of the last fault.
    pub faults_end_at: u64,
    /// Starts sent to machines that receive nothing: all of them, and those sent after the
    /// machine's state was visible.
    starts_sent: BTreeSet<(String, String, u64)>,
    pub starts_for_unreachable: Vec<String>,
    /// Machines that were deleted with tasks on them: time, name and number of tasks.
    pub deleted: Vec<(u64, String, usize)>,
    /// Longest time that a job went without an answer after the faults.
    pub max_unanswered: u64,
}

impl Observations {
    pub fn new(nodes: usize) -> Self {
        Observations {
            isolated_until: vec![0; nodes],
            outgoing_lost_until: vec![0; nodes],
            unreachable: BTreeMap::new(),
            duplicate_one_in: 0,
            ignored_job: None,
            faults_end_at: 0,
            starts_sent: BTreeSet::new(),
            starts_for_unreachable: Vec::new(),
            deleted: Vec::new(),
            max_unanswered: 0,
        }
    }
}

impl World {
    fn is_unreachable(&self, name: &str) -> bool {
        self.partial_failures.unreachable.get(name).is_some_and(|(until, _)| self.now < *until)
    }

    pub fn make_unreachable(&mut self, name: &str, length: u64) {
        self.partial_failures.unreachable.insert(name.into(), (self.now + length, Vec::new()));
    }

    /// Records a start for a machine that cannot receive it, and that has shown so by two reports
    /// since then, the second long enough ago (1.5 s) to have been reported to the leader.
    fn note_start(&mut self, name: &str, task_id: &str, attempt: u64) {
        let Some((_, reports)) = self.partial_failures.unreachable.get(name) else { return };
        let first = self.partial_failures.starts_sent.insert((name.into(), task_id.into(), attempt));
        let shown = reports.get(1).is_some_and(|t| self.now > t + 1500 * MS);
        if first && shown && self.is_unreachable(name) {
            let since = self.now - reports[0];
            self.partial_failures
                .starts_for_unreachable
                .push(format!("{task_id} for {name}, {:.1} s on", since as f64 / 1e6));
        }
    }

    /// Whether a controller's answer is lost; answers about `ignored_job` always are.
    pub fn drops_answer(&mut self, n: usize, id: RequestId, status: u16, body: &[u8]) -> bool {
        if !self.size.partial_failures {
            return false;
        }
        let requester = self.pending_requests.get(&id);
        if let Some(Requester::Poll(j) | Requester::Submit(j) | Requester::Abort(j)) = requester
            && self.partial_failures.ignored_job == Some(*j)
        {
            return true;
        }
        let Some(Requester::Worker(name, _)) = requester else { return false };
        let name = name.clone();
        if status == 200
            && let Ok(a) = serde_json::from_slice::<HeartbeatResponse>(body)
        {
            for o in a.commands.iter().filter(|o| o.action == "run") {
                self.note_start(&name, &o.task, o.attempt);
            }
        }
        let lost = self.is_unreachable(&name) || self.partial_failures.outgoing_lost_until[n] > self.now;
        if lost {
            self.pending_requests.remove(&id);
        }
        lost
    }

    /// Whether a command to a worker is lost.
    pub fn drops_command(&mut self, n: usize, name: &str, call: &Call) -> bool {
        if !self.size.partial_failures {
            return false;
        }
        if let Ok(d) = serde_json::from_slice::<CommandRequest>(&call.body) {
            for o in d.commands.iter().filter(|o| o.action == "run") {
                self.note_start(name, &o.task, o.attempt);
            }
        }
        self.is_unreachable(name) || self.partial_failures.outgoing_lost_until[n] > self.now
    }

    /// Records a worker's report; a duplicate of it may arrive late, at any controller.
    pub fn note_report_sent(&mut self, name: &str, body: &[u8]) {
        let now = self.now;
        if let Some((until, reports)) = self.partial_failures.unreachable.get_mut(name)
            && now < *until
        {
            reports.push(now);
        }
        if self.partial_failures.duplicate_one_in > 0
            && self.rng.u32(0..self.partial_failures.duplicate_one_in) == 0
        {
            let (n, late) = (self.rng.usize(0..self.size.nodes), self.rng.u64(DUPLICATE_DELAY));
            self.at(late, Event::Duplicate(n, "POST", "/checkin".into(), body.to_vec()));
        }
    }

    /// Duplicates a user's request, which then arrives late at any controller.
    pub fn duplicate_request(&mut self, method: &'static str, path: &str, body: &[u8]) {
        if self.partial_failures.duplicate_one_in > 0
            && path != "/checkin"
            && self.rng.u32(0..self.partial_failures.duplicate_one_in) == 0
        {
            let (n, late) = (self.rng.usize(0..self.size.nodes), self.rng.u64(DUPLICATE_DELAY));
            self.at(late, Event::Duplicate(n, method, path.to_owned(), body.to_vec()));
        }
    }

    /// Adds a job of the `guest` team, of the kinds that the operators name, or one with a faulty
    /// image.
    pub fn push_extension_job(&mut self) {
        let j = self.jobs.len();
        let r = &mut self.rng;
        // (class, priority, tasks, CPUs of each, run time)
        let (lot, priority, tasks, cpus, run_us) = match r.u32(0..6) {
            0 => ("sweep", "standard", r.u32(80..150), 0.25, 4 * S),
            1 => ("fill", "idle", r.u32(2..6), 4.0, r.u64(10 * S..25 * S)),
            2 => ("whole", "standard", r.u32(1..3), 16.0, r.u64(5 * S..15 * S)),
            3 => ("mistaken", "standard", r.u32(5..30), 1.0, r.u64(S..3 * S)),
            _ => ("ping", "standard", 1, 0.5, S),
        };
        let (faulty, spot) = (lot == "mistaken", r.bool());
        let abort_at = if faulty { self.now + r.u64(20 * S..100 * S) } else { u64::MAX };
        let body = json!({"ref": format!("j-{j:06}"), "lot": lot, "crew": "guest", "manner": "array",
            "rank": priority, "pieces": tasks, "cpus": cpus, "gpus": 0.0, "memory_gb": 0.5, "bundle": lot,
            "image_gb": 0.4, "builds": null, "yard": null, "same_place": false, "apart": false,
            "loaners": spot, "guess_s": run_us as f64 / 1e6, "mark_s": 0.0, "stow_s": 0.0, "due_s": null});
        let job = Job::new(body, "guest", false, tasks, cpus, run_us);
        self.jobs.push(Job { spot, faulty, abort_at, ..job });
    }

    /// Records that the cloud deletes a machine with tasks on it.
    pub fn note_deletion(&mut self, name: &str) {
        let on = self.machines.get(name).map_or(0, |m| m.tasks.iter().filter(|t| t.is_running()).count());
        if on > 0 {
            self.partial_failures.deleted.push((self.now, name.into(), on));
        }
    }

    /// Number of service replicas that should run and are on no machine.
    fn missing_replicas(&self) -> u32 {
        let due = |j: &Job| j.service && j.accepted && !j.abort_requested && j.team == "free";
        let due = self.jobs.iter().enumerate().filter(|(_, j)| due(j));
        let on = |j: usize| {
            let tasks = self.machines.values().flat_map(|m| &m.tasks);
            tasks.filter(|t| t.is_running() && Self::job_of(&t.name).0 == j).count() as u32
        };
        due.map(|(j, job)| job.tasks.saturating_sub(on(j))).sum()
    }

    /// Downtime of a crashed process.
    pub fn restart_delay(&mut self) -> u64 {
        if self.rng.bool() { 100 * MS } else { self.rng.u64(2 * S..6 * S) }
    }

    pub fn inject_partial_failures(&mut self) {
        if self.now > self.size.busy_until + 20 * S {
            return;
        }
        let pause = self.rng.u64(2 * S..14 * S);
        self.at(pause, Event::InjectFault);
        self.partial_failures.duplicate_one_in = 3;
        self.partial_failures.faults_end_at = self.now + 60 * S;
        // One or two faults at a time, some of them beside earlier ones.
        for _ in 0..self.rng.u32(1..3) {
            self.inject_partial_failure();
        }
    }

    fn inject_partial_failure(&mut self) {
        let n = self.rng.usize(0..self.size.nodes);
        let length = [5 * S, 30 * S, 60 * S][self.rng.usize(0..3)];
        let until = self.now + length;
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let kind = self.rng.u32(0..11);
        if std::env::var("WORLD_TRACE").is_ok() {
            eprintln!("{:.3} partial failure {kind} controller {n} for {length}", self.now as f64 / 1e6);
        }
        match kind {
            0 | 1 if !names.is_empty() => {
                let name = names[self.rng.usize(0..names.len())].clone();
                self.make_unreachable(&name, length);
            }
            2 => {
                for name in names {
                    if self.rng.u32(0..4) == 0 {
                        self.make_unreachable(&name, length);
                    }
                }
            }
            3 => self.partial_failures.outgoing_lost_until[n] = until,
            // At least one controller keeps the state service, or else no work is possible.
            4..=7
                if (0..self.size.nodes)
                    .any(|o| o != n && self.partial_failures.isolated_until[o] > self.now) => {}
            4 | 5 => self.partial_failures.isolated_until[n] = until,
            6 if self.size.nodes > 2 => {
                let other = (n + 1) % self.size.nodes;
                self.partial_failures.isolated_until[n] = until;
                self.partial_failures.isolated_until[other] = until;
            }
            // All machines pause for less than a second and resume.
            8 => {
                let now = self.now;
                let pause = self.rng.u64(50 * MS..900 * MS);
                for m in self.machines.values_mut().filter(|m| m.up_at < now) {
                    m.hung_until = m.hung_until.max(now + pause);
                }
            }
            // Its process exits as well, at any step.
            7 => {
                self.partial_failures.isolated_until[n] = until;
                let at = self.rng.u64(0..6 * S);
                self.at(at, Event::Crash(n));
            }
            _ => self.inject_random_fault(),
        }
    }

    /// Checks, for each accepted job, that questions about it are answered once the faults are
    /// over.
    pub fn check_answered(&mut self) {
        let Some(calm) =
            self.now.checked_sub(self.partial_failures.faults_end_at).filter(|_| self.size.partial_failures)
        else {
            return;
        };
        let mut forgotten = Vec::new();
        for (j, job) in self.jobs.iter().enumerate().filter(|(_, job)| job.accepted) {
            let gap = self.now.saturating_sub(job.answered_at.max(job.accepted_at)).min(calm);
            self.partial_failures.max_unanswered = self.partial_failures.max_unanswered.max(gap);
            if gap >= FORGOTTEN_AFTER {
                forgotten.push(format!("no question about job {j} was answered for {} s", gap / S));
            }
        }
        for detail in forgotten {
            self.report_violation("forgotten", detail);
        }
    }

    /// Classes, teams and largest jobs that are served too little or too late.
    pub fn unserved(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let wanted =
            |job: &&Job| !job.faulty && job.accepted && job.aborted_at.is_none() && !job.abort_requested;
        // A job that waits for others is served from the completion of the last of them.
        let jobs: Vec<&Job> =
            self.jobs.iter().filter(wanted).filter(|job| self.served_from(job).is_some()).collect();
        let mut classes: BTreeMap<String, Vec<&Job>> = BTreeMap::new();
        for job in &jobs {
            classes.entry(format!("class {}", job.body["lot"])).or_default().push(job);
            classes.entry(format!("team {}", job.team)).or_default().push(job);
        }
        for (name, jobs) in &classes {
            let begun = jobs.iter().filter(|j| j.started_at.is_some()).count();
            let over = |j: &&&Job| j.service || j.reported_done;
            let done = jobs.iter().filter(over).count();
            if begun * 2 < jobs.len() || done * 2 < jobs.len() {
                violations.push(format!("{name}: {begun} begun and {done} done of {}", jobs.len()));
            }
            // The largest tenth of the jobs by each measure.
            let measures: [fn(&Job) -> f64; 3] =
                [|j| j.tasks as f64, |j| j.tasks as f64 * j.cpus, |j| j.cpus];
            for measure in measures {
                let mut largest = jobs.clone();
                largest.sort_by(|a, b| measure(b).total_cmp(&measure(a)));
                // The team's limit may prevent the start, since the tasks that use it may never end.
                let free = |j: &&&Job| j.team != "tight";
                for job in largest.iter().filter(free).take(jobs.len().div_ceil(10)) {
                    let from = self.served_from(job).unwrap_or(job.accepted_at);
                    let wait = job.started_at.unwrap_or(self.now).saturating_sub(from);
                    if wait > MAX_START_WAIT {
                        violations.push(format!("{name}: {} waited {} s", job.body["ref"], wait / S));
                    }
                }
            }
        }
        violations
    }
}

#[test]
fn partial_failures_violate_no_invariant() {
    start_logger();
    let (mut started, mut max_unanswered, mut simulations, mut failed) = (0, 0, 0, Vec::new());
    let all = seeds("ONCALL_SEEDS", 0, 30)
        .map(|s| (s, if s % 5 == 4 { SEVEN_CONTROLLERS_PARTIAL_FAILURES } else { PARTIAL_FAILURES }));
    for (seed, size) in all {
        let w = simulate(seed, false, size);
        let mut violations = w.violations.clone();
        violations.extend(w.partial_failures.starts_for_unreachable.clone());
        let unfinished = w.unfinished_jobs();
        if unfinished.len() > 1 {
            violations.push(format!("{:?} have not ended", w.describe(&unfinished)));
        }
        violations.extend(w.unserved());
        if !violations.is_empty() {
            failed.push(format!("seed {seed}: {violations:?}"));
        }
        (started, max_unanswered) =
            (started + w.started, max_unanswered.max(w.partial_failures.max_unanswered));
        simulations += 1;
    }
    println!(
        "{started} tasks started in {simulations} simulations; longest unanswered {:.1} s",
        max_unanswered as f64 / 1e6
    );
    assert!(failed.is_empty(), "{} simulations failed:\n{}", failed.len(), failed.join("\n"));
}

/// A simulation without random faults in which jobs run after a minute, and no further jobs come.
fn running_world(seed: u64, nodes: usize) -> World {
    start_logger();
    let size = Size { nodes, busy_until: 40 * S, end_at: 400 * S, jobs: 14, tasks: 9, ..PARTIAL_FAILURES };
    let mut w = World::new(seed, true, size);
    w.run(60 * S);
    w.partial_failures.faults_end_at = w.now;
    w
}

/// Runs on one second at a time; returns the number of missing replicas in each second.
fn run_and_count_missing(w: &mut World, seconds: u64) -> Vec<u32> {
    let from = w.now;
    let missing = (1..=seconds).map(|s| {
        w.run(from + s * S);
        w.missing_replicas()
    });
    missing.collect()
}

/// Guards against replicas missing on a machine that receives nothing: its reports arrive, so it
/// never counts as silent, while its lease runs out, its replicas are killed, and it registers as a
/// new session, repeatedly.
#[test]
fn replicas_of_an_unreachable_machine_are_replaced() {
    for (seed, nodes) in [(1, 3), (2, 3), (3, 7), (4, 7)] {
        let mut w = running_world(seed, nodes);
        let replicas = |m: &Machine| {
            let of_service = |t: &&worker::Task| t.is_running() && w.jobs[World::job_of(&t.name).0].service;
            m.tasks.iter().filter(of_service).count()
        };
        let busiest = w.machines.values().max_by_key(|m| replicas(m)).map(|m| m.name.clone()).unwrap();
        assert!(replicas(&w.machines[&busiest]) > 0, "seed {seed}: no replicas");
        w.make_unreachable(&busiest, 300 * S);
        let missing = run_and_count_missing(&mut w, 120);
        assert!(w.violations.is_empty(), "seed {seed}: {:?}", w.violations);
        // 45 s: the machine's lease, and the boot of another machine where no capacity is free.
        let late: u32 = missing.iter().skip(45).sum();
        assert_eq!(late, 0, "seed {seed}: missing each second {missing:?}");
        assert!(
            w.partial_failures.starts_for_unreachable.is_empty(),
            "seed {seed}: {:?}",
            w.partial_failures.starts_for_unreachable
        );
    }
}

/// If no machine receives anything from one controller, the controller's outgoing path is faulty,
/// and no machine is deleted for it.
#[test]
fn a_controller_that_reaches_no_worker_causes_no_deletion() {
    for (seed, nodes) in [(1, 3), (2, 3), (3, 7), (4, 7)] {
        for n in 0..2 {
            let mut w = running_world(seed, nodes);
            w.partial_failures.outgoing_lost_until[n] = w.now + 60 * S;
            let missing = run_and_count_missing(&mut w, 120);
            let seen = format!("seed {seed}, controller {n}");
            assert!(w.violations.is_empty(), "{seen}: {:?}", w.violations);
            assert!(w.partial_failures.deleted.is_empty(), "{seen}: {:?}", w.partial_failures.deleted);
            assert_eq!(missing.iter().sum::<u32>(), 0, "{seen}: missing each second {missing:?}");
        }
    }
}

/// A controller that loses the state service and the other controllers, but not its workers, causes
/// no deletion of a machine and no missing replica.
#[test]
fn an_isolated_controller_causes_no_deletion_and_no_missing_replica() {
    for (seed, nodes) in [(1, 3), (2, 3), (3, 7)] {
        for (isolated, length) in
            [(vec![0], 5), (vec![0], 30), (vec![1], 120), (vec![0, 2], 30), (vec![1], 900)]
        {
            let mut w = running_world(seed, nodes);
            for n in &isolated {
                w.partial_failures.isolated_until[*n] = w.now + length * S;
            }
            let mut missing = run_and_count_missing(&mut w, 60);
            // Its workers, also new ones, have moved to other controllers by then.
            let booted = w.machines.values().filter(|m| w.now > m.up_at + 12 * S);
            let remaining = booted.filter(|m| {
                isolated.contains(&m.target_controller)
                    && w.partial_failures.isolated_until[m.target_controller] > w.now
            });
            let stay: Vec<(&str, usize)> = remaining.map(|m| (m.name.as_str(), m.tasks.len())).collect();
            assert!(
                stay.is_empty(),
                "seed {seed}, {nodes} controllers, {isolated:?} isolated: {stay:?} stay with it"
            );
            missing.extend(run_and_count_missing(&mut w, 90));
            let seen = format!("seed {seed}, {nodes} controllers, {isolated:?} isolated for {length} s");
            assert!(w.violations.is_empty(), "{seen}: {:?}", w.violations);
            assert!(w.partial_failures.deleted.is_empty(), "{seen}: {:?}", w.partial_failures.deleted);
            assert_eq!(missing.iter().sum::<u32>(), 0, "{seen}: missing each second {missing:?}");
        }
    }
}

/// Duplicates of all reports, at any controller, 0.5 to 60 s late.
#[test]
fn late_duplicates_change_nothing() {
    for (seed, nodes) in [(1, 3), (2, 3), (3, 7)] {
        let mut w = running_world(seed, nodes);
        w.partial_failures.duplicate_one_in = 1;
        let missing = run_and_count_missing(&mut w, 60);
        let moved = w.machines.values().filter(|m| m.agent_epoch > 1).count();
        let seen = format!("seed {seed}, {nodes} controllers");
        assert!(w.violations.is_empty(), "{seen}: {:?}", w.violations);
        assert_eq!((missing.iter().sum::<u32>(), moved), (0, 0), "{seen}: missing each second {missing:?}");
        assert!(w.partial_failures.deleted.is_empty(), "{seen}: {:?}", w.partial_failures.deleted);
        // A deleted machine from which only duplicates arrive does not count as alive.
        let with_replicas = |m: &&Machine| m.tasks.iter().any(|t| t.is_running());
        let dead = w.machines.values().filter(with_replicas).map(|m| m.name.clone()).next().unwrap();
        w.machines.remove(&dead);
        let missing = run_and_count_missing(&mut w, 60);
        let late: u32 = missing.iter().skip(25).sum();
        assert_eq!(late, 0, "{seen}: missing each second after a death {missing:?}");
    }
}

/// Checks the checkers: injected violations must be found.
#[test]
fn forgotten_and_unserved_jobs_are_detected() {
    let mut w = running_world(1, 3);
    let j = w.jobs.iter().position(|j| j.accepted && !j.service && j.abort_at == u64::MAX).unwrap();
    assert!(w.violations.is_empty(), "{:?}", w.violations);
    w.partial_failures.ignored_job = Some(j);
    run_and_count_missing(&mut w, 90);
    assert!(w.violations.iter().any(|b| b.contains(&format!("about job {j}"))), "{:?}", w.violations);
    let mut w = running_world(1, 3);
    w.run(PARTIAL_FAILURES.end_at);
    assert_eq!(w.unserved(), Vec::<String>::new());
    let accepted: Vec<usize> = (0..w.jobs.len()).filter(|j| w.jobs[*j].accepted).collect();
    let largest = accepted.iter().copied().max_by_key(|j| w.jobs[*j].tasks).unwrap();
    let (job, now) = (&mut w.jobs[largest], w.now);
    job.abort_requested = false;
    job.aborted_at = None;
    job.team = "free".into();
    job.started_at = Some(job.accepted_at + MAX_START_WAIT + S);
    assert!(!w.unserved().is_empty(), "a late start of the largest job is not found, at {now}");
}
