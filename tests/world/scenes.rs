//! Scenarios: actions at set times in a simulation in which long jobs run, and what must hold
//! whatever the actions are.
use super::*;
use std::collections::BTreeSet;

/// The controllers that an action affects: the leader at the start of the scenario, others by their
/// offset from it, those of a zone, or all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Who {
    Leader,
    Other(usize),
    /// The controllers of a zone.
    East,
    West,
    All,
}
use Who::*;

/// What happens at a set time of a scenario. Lengths are in thousandths of the time that a
/// cancellation may take.
#[derive(Debug, Clone, Copy)]
pub enum Act {
    /// The state service refuses these controllers.
    Refused(Who, u64),
    /// The state service is unavailable to all controllers.
    Away(u64),
    /// Users cancel every second job at these controllers.
    Cancel(Who),
    /// The processes exit, and restart after this time.
    End(Who, u64),
    /// The controllers lose the other controllers and the state service.
    Alone(Who, u64),
    /// Every third machine is partitioned from all controllers.
    MachinesCut(u64),
    /// Every third machine hangs.
    MachinesHang(u64),
    /// Every third machine receives nothing.
    MachinesDeaf(u64),
    /// The cloud is unavailable.
    CloudAway(u64),
    /// Every third machine cannot send to any controller, while direct commands reach it.
    MachinesMute(u64),
    /// Direct commands to every third machine are delayed until the end of this time, and then
    /// arrive.
    CommandsHeld(u64),
    /// Users cancel every second job at these controllers, and up to eight of the machines that run
    /// their tasks hang for this time.
    CancelAndHang(Who, u64),
    /// The processes are paused, and then handle everything that arrived.
    Freeze(Who, u64),
    /// Their writes to the state service are carried out; the answers are lost.
    AnswersLost(Who, u64),
    /// Every third transaction, of any controller, gets no answer and is carried out 2 to 12 s
    /// later, after newer ones.
    LateWrites(u64),
    /// The same for every second transaction that writes a job's end or cancellation.
    LateEnds(u64),
    /// The leader exits and restarts at once, this many times, 2.9 s apart.
    Changes(u64),
    /// The next leader exits this many milliseconds after its election and stays down; as long
    /// again after that the state service becomes unavailable, for as long as a cancellation may
    /// take.
    NextEnds(u64),
    /// The state service drops its change history: every controller reads the state again.
    Forgotten,
    /// Users submit twelve jobs of two short tasks, some of them bound to a zone.
    Submit,
    /// Whatever ends in this time is cancelled, polled and submitted again in the same moment.
    CancelAtEnd(u64),
    /// Users send rapid requests for this time.
    Looks(u64),
    /// All machines hang.
    AllHang(u64),
    /// The zones cannot reach each other.
    ZonesCut(u64),
    /// A copy of reports (up to 500) is kept for the next leader, and arrives as its leadership
    /// begins.
    KeepReports,
    /// From now on machines boot within a second of their rental; every third machine is deleted.
    MachinesRenewed,
}
use Act::*;

pub const NEVER: u64 = 100_000;

/// Workload of a scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Work {
    /// Services, and arrays with and without placement constraints.
    Mixed,
    /// Jobs of one task each.
    Single,
    /// Jobs of a hundred tasks.
    Hundreds,
    /// More jobs of the team with a limit than may run at a time.
    AtLimit,
}

impl Work {
    /// Number of jobs, of which every second one is cancelled, and smallest number of running
    /// tasks.
    fn size(self) -> (usize, usize) {
        match self {
            Work::Mixed => (16, 60),
            Work::Single => (24, 20),
            Work::Hundreds => (4, 150),
            Work::AtLimit => (10, 4),
        }
    }
}

/// A simulation with long jobs, most of them running after a minute; no other jobs come.
pub fn long_jobs(seed: u64, nodes: usize, work: Work) -> World {
    long_jobs_reporting(seed, nodes, work, SMALL.report)
}

/// The same with this interval between workers' reports, in microseconds.
pub fn long_jobs_reporting(seed: u64, nodes: usize, work: Work, report: u64) -> World {
    logs();
    let size = Size { nodes, room: [20, 20], jobs: 0, busy_until: 0, ends: 600 * S, oncall: true, ..SMALL };
    let size = Size { report, ..size };
    let size = if work == Work::Mixed { Size { room: [20, 10], ..size } } else { size };
    let mut w = World::new(seed, true, size);
    for j in 0..work.size().0 {
        let service = j % 4 == 0 && work != Work::Hundreds;
        // Gangs run in one place; of the other jobs some must be spread over the zones.
        let gang = j % 4 == 1 && work == Work::Mixed;
        let spread = j % 4 == 2 && work == Work::Mixed;
        let (tasks, cpus) = match work {
            Work::Mixed => (if service { 3 } else { 5 }, 2.0),
            Work::Single | Work::AtLimit => (1, 2.0),
            Work::Hundreds => (100, 0.5),
        };
        let team = if work == Work::AtLimit { "tight" } else { "free" };
        let body = json!({"ref": format!("j-{j:06}"), "lot": "long", "crew": team,
            "manner": if service { "standing" } else { "array" },
            "rank": if service { "prod" } else { "standard" }, "pieces": tasks, "cpus": cpus, "gpus": 0.0,
            "memory_gb": 1.0, "bundle": "i", "image_gb": 0.4, "builds": null, "yard": null,
            "same_place": gang, "apart": spread, "loaners": false, "guess_s": 300.0, "mark_s": 0.0,
            "stow_s": 0.0, "due_s": null});
        let job = Job::new(body, team, service, tasks, cpus, 400 * S);
        w.jobs.push(Job { spread, ..job });
    }
    w.run(60 * S);
    w.oncall.over_at = u64::MAX;
    w
}

/// Faults that only scenarios inject, and what is recorded of cancellations.
#[derive(Default)]
pub struct Faults {
    mute: BTreeMap<String, u64>,
    held: BTreeMap<String, u64>,
    pub frozen_until: Vec<u64>,
    lost_until: Vec<u64>,
    late_until: u64,
    /// Records of job ends are written late until then.
    pub late_ends_until: u64,
    /// Reports kept for the next leader.
    keep: Option<Vec<Vec<u8>>>,
    /// Incarnation number of the leader at the start of the scenario.
    pub first_leader: Option<u64>,
    pub fast_boots: bool,
    next_ends: Option<u64>,
    pub cancel_at_end: u64,
    /// Tasks that ran at the start of the scenario, and users with a confirmed cancellation before
    /// the first outage.
    running: usize,
    told_before: Option<usize>,
    /// Jobs that a controller has reported as cancelled.
    pub confirmed: BTreeSet<usize>,
    /// Starts of cancelled tasks after the confirmation to their users; their orders left before
    /// it.
    pub late_starts: usize,
}

impl Faults {
    pub fn new(nodes: usize) -> Self {
        Faults { frozen_until: vec![0; nodes], lost_until: vec![0; nodes], ..Faults::default() }
    }
}

/// Whether a transaction records how a job ended.
fn writes_end(body: &[u8]) -> bool {
    let multi: Value = serde_json::from_slice(body).unwrap_or_default();
    let puts = multi["writes"].as_array().into_iter().flatten().filter_map(|w| w["put"].as_str());
    puts.into_iter().any(|key| key.starts_with("g/x/"))
}

impl World {
    /// Checks an answer that leaves a controller. From the first answer to a user that a job is
    /// cancelled, no controller may order a start of it.
    pub fn answer_leaves(&mut self, n: usize, id: RequestId, status: u16, body: &[u8]) {
        self.compare(n, id, status, body);
        self.check_waiting(n, id, status, body);
        match self.asked.get(&id) {
            Some(Asker::Abort(j) | Asker::Poll(j) | Asker::Submit(j)) if status == 200 => {
                let v: Value = serde_json::from_slice(body).unwrap();
                if v["stage"] == "aborted" {
                    let j = *j;
                    self.note_confirmed(j);
                }
            }
            Some(Asker::Worker(..)) if status == 200 => {
                let a: CheckinAnswer = serde_json::from_slice(body).unwrap();
                self.check_orders(n, &a.orders);
            }
            _ => {}
        }
    }

    pub fn check_orders(&mut self, n: usize, orders: &[gorseshore_protocol::workers::Order]) {
        for o in orders.iter().filter(|o| o.verb == "run" && own(&o.piece).is_none()) {
            if self.faults.confirmed.contains(&Self::job_of(&o.piece).0) {
                self.break_rule("ordered_cancelled", format!("{} by controller {n}", o.piece));
            }
            if let Some(needed) = self.first_unfinished(Self::job_of(&o.piece).0) {
                let what = format!("{} by controller {n} before job {needed} is done", o.piece);
                self.break_rule("ordered_early", what);
            }
        }
    }

    /// How much later than usual a call arrives, and whether its answer reaches the controller.
    pub fn held_up(&mut self, n: usize, call: &Call) -> (u64, bool) {
        let now = self.now;
        match &call.target {
            Target::Worker(addr) => {
                let until = self.faults.held.get(addr).copied().unwrap_or(0);
                (until.saturating_sub(now), true)
            }
            Target::State if call.method == "POST" => {
                if self.faults.late_until > now && call.path == "/multi" && self.rng.u32(0..3) == 0 {
                    return (self.rng.u64(2 * S..12 * S), false);
                }
                if self.faults.late_ends_until > now && writes_end(&call.body) && self.rng.bool() {
                    return (self.rng.u64(2 * S..12 * S), false);
                }
                (0, self.faults.lost_until[n] <= now)
            }
            _ => (0, true),
        }
    }

    pub fn is_mute(&self, name: &str) -> bool {
        self.faults.mute.get(name).is_some_and(|t| *t > self.now)
    }

    /// Keeps a copy of a report that leaves a machine, if copies are kept.
    pub fn keep_report(&mut self, body: &[u8]) {
        if let Some(kept) = self.faults.keep.as_mut().filter(|k| k.len() < 500) {
            kept.push(body.to_vec());
        }
    }

    /// The leader exits and restarts at once.
    pub fn end_leader(&mut self) {
        if let Some(n) = self.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.leads())) {
            self.end_process(n, 100 * MS);
        }
    }

    /// Carries out what is scheduled for a new leader, if this controller is one.
    pub fn new_leader(&mut self, n: usize) {
        let leads = self.nodes[n].as_ref().is_some_and(|n| n.leads());
        if !leads || self.faults.first_leader == Some(self.incarnations[n]) {
            return;
        }
        if let Some(after) = self.faults.next_ends.take() {
            self.at(after, Event::EndForGood(n));
            self.at(2 * after, Event::Outage);
        }
        for body in self.faults.keep.take().unwrap_or_default() {
            let d = self.delay();
            self.at(d, Event::Copy(n, "POST", "/checkin".into(), body));
        }
    }

    pub fn leader(&self) -> usize {
        self.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.leads())).expect("a leader")
    }

    /// The process exits now and restarts after `back`.
    pub fn end_process(&mut self, n: usize, back: u64) {
        if self.nodes[n].take().is_some() {
            self.watches.retain(|w| w.node != n);
            self.at(back, Event::Restart(n));
        }
    }

    pub fn act(&mut self, leader: usize, act: Act) {
        let nodes = self.size.nodes;
        let who = |w: Who| match w {
            Leader => vec![leader],
            Other(i) => vec![(leader + i) % nodes],
            East => (0..nodes).filter(|n| node_zone(*n) == "east").collect(),
            West => (0..nodes).filter(|n| node_zone(*n) == "west").collect(),
            All => (0..nodes).collect(),
        };
        let (now, cancel) = (self.now, self.size.cancel);
        let until = |l: u64| now + l * cancel / 1000;
        let third: Vec<String> = self.machines.keys().step_by(3).cloned().collect();
        match act {
            Refused(w, l) => {
                let t = until(l);
                who(w).into_iter().for_each(|n| self.refused_until[n] = t);
            }
            Away(l) => {
                self.state.down = true;
                self.at(l * self.size.cancel / 1000, Event::Heal);
            }
            Cancel(w) => {
                for j in (0..self.jobs.len()).step_by(2) {
                    // An answer in flight to a user may be overtaken by the answer to the
                    // cancellation: a user with a pending request cancels after its answer.
                    let waits = |a: &Asker| matches!(a, Asker::Poll(k) | Asker::Submit(k) if *k == j);
                    if self.asked.values().any(waits) || !self.jobs[j].accepted {
                        self.jobs[j].abort_at = self.now;
                        continue;
                    }
                    let job = &mut self.jobs[j];
                    (job.abort_asked, job.abort_at) = (true, self.now);
                    job.next_try = self.now + S;
                    let path = format!("/submissions/j-{j:06}/abort");
                    for n in who(w) {
                        self.request(n, "POST", path.clone(), Vec::new(), Asker::Abort(j));
                    }
                }
            }
            End(w, l) => {
                let back = l * self.size.cancel / 1000;
                who(w).into_iter().for_each(|n| self.end_process(n, back.max(100 * MS)));
            }
            Alone(w, l) => {
                let t = until(l);
                who(w).into_iter().for_each(|n| self.oncall.alone_until[n] = t);
            }
            MachinesCut(l) => {
                let t = until(l);
                third.iter().for_each(|m| self.machines.get_mut(m).unwrap().cut_until = t);
            }
            MachinesHang(l) => {
                let t = until(l);
                third.iter().for_each(|m| self.machines.get_mut(m).unwrap().hung_until = t);
            }
            MachinesDeaf(l) => {
                let length = l * self.size.cancel / 1000;
                third.iter().for_each(|m| self.make_deaf(m, length));
            }
            CloudAway(l) => self.cloud_down_until = until(l),
            MachinesMute(l) => {
                let t = until(l);
                third.into_iter().for_each(|m| {
                    self.faults.mute.insert(m, t);
                });
            }
            CommandsHeld(l) => {
                let t = until(l);
                third.into_iter().for_each(|m| {
                    self.faults.held.insert(m, t);
                });
            }
            CancelAndHang(w, l) => {
                self.act(leader, Cancel(w));
                let t = until(l);
                let cancelled = |t: &worker::Task| t.on() && Self::job_of(&t.name).0.is_multiple_of(2);
                let theirs = self.machines.values_mut().filter(|m| m.tasks.iter().any(cancelled));
                theirs.take(8).for_each(|m| m.hung_until = t);
            }
            Freeze(w, l) => {
                let t = until(l);
                who(w).into_iter().for_each(|n| self.faults.frozen_until[n] = t);
            }
            AnswersLost(w, l) => {
                let t = until(l);
                who(w).into_iter().for_each(|n| self.faults.lost_until[n] = t);
            }
            LateWrites(l) => self.faults.late_until = until(l),
            LateEnds(l) => self.faults.late_ends_until = until(l),
            Changes(times) => {
                (0..times).for_each(|i| self.at(i * 2900 * MS, Event::EndLeader));
            }
            Forgotten => self.state.forget(),
            Submit => (0..12).for_each(|_| self.short_job()),
            CancelAtEnd(l) => self.faults.cancel_at_end = until(l),
            Looks(l) => self.looks.until = until(l),
            ZonesCut(l) => self.zones_cut_until = until(l),
            NextEnds(ms) => self.faults.next_ends = Some(ms * MS),
            AllHang(l) => {
                let t = until(l);
                self.machines.values_mut().for_each(|m| m.hung_until = t);
            }
            KeepReports => self.faults.keep = Some(Vec::new()),
            MachinesRenewed => {
                self.faults.fast_boots = true;
                third.iter().for_each(|m| drop(self.machines.remove(m)));
            }
        }
    }

    /// Adds a job of two short tasks.
    pub fn short_job(&mut self) {
        let j = self.jobs.len();
        let (zone, gang) = (j.is_multiple_of(3).then_some(ZONES[j % 2]), j % 3 == 1);
        let body = json!({"ref": format!("j-{j:06}"), "lot": "short", "crew": "free", "manner": "array",
            "rank": "high", "pieces": 2, "cpus": 0.5, "gpus": 0.0, "memory_gb": 0.5, "bundle": "i",
            "image_gb": 0.4, "builds": null, "yard": zone, "same_place": gang, "apart": false,
            "loaners": false, "guess_s": 3.0, "mark_s": 0.0, "stow_s": 0.0, "due_s": null});
        let job = Job::new(body, "free", false, 2, 0.5, 1500 * MS);
        self.jobs.push(Job { later_us: 1200 * MS, zone, ..job });
    }

    /// Number of tasks that run on machines.
    fn running(&self) -> usize {
        self.machines.values().flat_map(|m| &m.tasks).filter(|t| t.on()).count()
    }

    /// Number of jobs that were reported cancelled to their users.
    fn told(&self) -> usize {
        self.jobs.iter().filter(|j| j.aborted_at.is_some()).count()
    }
}

/// Actions, and what is expected of them beside the invariants.
pub struct Scene {
    pub name: &'static str,
    /// Actions with their times in milliseconds from the start.
    pub acts: &'static [(u64, Act)],
    /// Users must receive confirmed cancellations before the state service becomes unavailable.
    pub told: bool,
    /// All machines can be reached, so that none with tasks on it may be deleted.
    pub spares: bool,
}

/// Runs a scenario's actions and the time after them.
pub fn play(acts: &[(u64, Act)], seed: u64, nodes: usize, work: Work) -> World {
    let mut w = long_jobs(seed, nodes, work);
    let (from, leader) = (w.now, w.leader());
    w.faults.first_leader = Some(w.incarnations[leader]);
    w.faults.running = w.running();
    for (at, act) in acts {
        w.run(from + at * MS);
        if matches!(act, Away(_)) {
            let told = w.told();
            w.faults.told_before.get_or_insert(told);
        }
        w.act(leader, *act);
    }
    w.run(from + 4 * w.size.cancel);
    w.oncall.over_at = w.now;
    w.run(w.now + 3 * w.size.cancel);
    w
}

/// Runs a scenario and returns what was wrong.
fn play_scene(scene: &Scene, seed: u64, nodes: usize, work: Work) -> Vec<String> {
    let w = play(scene.acts, seed, nodes, work);
    let mut bad = Vec::new();
    let (jobs, least) = work.size();
    if w.faults.running < least {
        bad.push(format!("only {} tasks run at the start", w.faults.running));
    }
    bad.extend(w.broken.clone());
    let told = w.faults.told_before.unwrap_or(0);
    if scene.told && told < 6 {
        bad.push(format!(
            "{told} users received a confirmed cancellation before the state service was unavailable"
        ));
    }
    // Later deletions may be scale-in, since half of the work is gone.
    let soon = 60 * S + w.size.cancel;
    let deleted: Vec<_> = w.oncall.deleted.iter().filter(|(t, ..)| *t < soon).collect();
    if scene.spares && !deleted.is_empty() {
        bad.push(format!("deleted with tasks on them: {deleted:?}"));
    }
    let cancels = scene.acts.iter().any(|(_, a)| matches!(a, Cancel(_) | CancelAndHang(..)));
    if bad.is_empty() && cancels && w.told() < jobs / 2 {
        bad.push(format!(
            "{} of {} users received their cancellations' confirmation in the end",
            w.told(),
            jobs / 2
        ));
    }
    let short = |j: &&usize| w.jobs[**j].body["lot"] == "short";
    let late = w.late();
    let late: Vec<&usize> = late.iter().filter(short).collect();
    if bad.is_empty() && !late.is_empty() {
        bad.push(format!("short jobs {late:?} have not ended"));
    }
    // Jobs that the limit held back run as soon as it is proven that the cancelled tasks have
    // exited.
    let on = w.running();
    if bad.is_empty() && work == Work::AtLimit && on < 4 {
        bad.push(format!("{on} tasks of 5 jobs run in the end, 4 are allowed"));
    }
    bad
}

/// Runs scenarios with three and seven controllers.
pub fn play_scenes(scenes: &[Scene], works: &[Work]) {
    let mut failed = Vec::new();
    let mut plays = 0;
    for scene in scenes {
        for work in works {
            for nodes in [3, 7] {
                for seed in seeds("MEETING_SEEDS", 0, 3) {
                    let bad = play_scene(scene, seed, nodes, *work);
                    plays += 1;
                    if !bad.is_empty() {
                        let what = format!("{}, {work:?}, seed {seed}, {nodes} controllers", scene.name);
                        failed.push(format!("{what}: {:?}", &bad[..bad.len().min(4)]));
                    }
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} of {plays} runs failed:\n{}", failed.len(), failed.join("\n"));
}

/// Two to four random faults around cancellations.
pub fn random_acts(r: &mut fastrand::Rng) -> Vec<(u64, Act)> {
    let who = |r: &mut fastrand::Rng| -> Who {
        match r.u32(0..4) {
            0 => Leader,
            1 => Other(1),
            2 => Other(2),
            _ => All,
        }
    };
    let mut acts: Vec<(u64, Act)> = vec![(r.u64(0..6000), Cancel(who(r)))];
    if r.bool() {
        acts.push((r.u64(0..6000), CancelAndHang(who(r), r.u64(100..2000))));
    }
    for _ in 0..r.u32(2..5) {
        let (w, l) = (who(r), r.u64(50..2500));
        let act = match r.u32(0..29) {
            0 | 1 => Refused(w, l),
            2 | 3 => Away(l.min(1500)),
            4 | 5 => End(w, if r.bool() { 0 } else { l.min(600) }),
            6 => Alone(w, l),
            7 => MachinesCut(l),
            8 | 9 => MachinesHang(l),
            10 => MachinesDeaf(l),
            11 => CloudAway(l.min(333)),
            12 => MachinesMute(l),
            13 => CommandsHeld(l),
            14 => Freeze(w, l.min(700)),
            15 => AnswersLost(w, l.min(300)),
            16 => LateWrites(l.min(600)),
            17 | 18 => Changes(r.u64(1..11)),
            19 => KeepReports,
            20 => MachinesRenewed,
            21 => AllHang(l),
            22 => Forgotten,
            23 => Submit,
            24 => Looks(l),
            // A zone is partitioned, with controllers of one zone that the state service refuses.
            _ => {
                acts.push((0, ZonesCut(l + 500)));
                if r.bool() { Refused(West, l + 500) } else { Refused(East, l + 500) }
            }
        };
        acts.push((r.u64(0..12_000), act));
    }
    acts.sort_by_key(|a| a.0);
    acts
}
