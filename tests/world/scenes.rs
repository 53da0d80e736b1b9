//! Scenes: acts at set times upon a world in which long jobs run, and what must hold
//! whatever the acts are.
use super::*;
use std::collections::BTreeSet;

/// Whom an act is about: the leader of the time when the scene begins, others by
/// their place after it, or all.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Who {
    Leader,
    Other(usize),
    /// Those of a zone.
    East,
    West,
    All,
}
use Who::*;

/// What happens at some time of a scene. Lengths are in thousandths of the time that a
/// cancellation may take.
#[derive(Debug, Clone, Copy)]
pub enum Act {
    /// The state service refuses it alone.
    Refused(Who, u64),
    /// The state service is away for all.
    Away(u64),
    /// Users cancel every second job at this controller.
    Cancel(Who),
    /// Its process ends, and is back after this.
    End(Who, u64),
    /// It loses the other controllers and the state service.
    Alone(Who, u64),
    /// Every third machine can't be reached, and reaches nobody.
    MachinesCut(u64),
    /// Every third machine hangs.
    MachinesHang(u64),
    /// Every third machine hears nothing.
    MachinesDeaf(u64),
    /// The cloud is out of order.
    CloudAway(u64),
    /// Every third machine reaches no controller, while direct commands reach it.
    MachinesMute(u64),
    /// Direct commands to every third machine are held up until the end, and then arrive.
    CommandsHeld(u64),
    /// Users cancel every second job at this controller, and up to eight of the machines
    /// that run their tasks hang for so long.
    CancelAndHang(Who, u64),
    /// Its process stands still, and then takes all that came.
    Freeze(Who, u64),
    /// What it writes to the state service is carried out; the answers are lost.
    AnswersLost(Who, u64),
    /// Every third transaction, of anybody, gets no answer and is carried out 2 to 12 s
    /// later, after newer ones.
    LateWrites(u64),
    /// Every second transaction that writes an end or a cancellation, likewise.
    LateEnds(u64),
    /// Whoever leads ends and is back at once, so many times, 2.9 s apart.
    Changes(u64),
    /// Whoever leads next ends so many milliseconds later and stays away; as long again
    /// after that the state service is away for as long as cancellations may take.
    NextEnds(u64),
    /// The state service keeps no changes of before: everybody reads it anew.
    Forgotten,
    /// Users submit a dozen jobs of two short tasks, some of them bound to a zone.
    Submit,
    /// Whatever ends is called off, asked about and submitted again in that moment.
    CancelAtEnd(u64),
    /// Users look closely for so long.
    Looks(u64),
    /// All machines hang.
    AllHang(u64),
    /// The zones can't reach each other.
    ZonesCut(u64),
    /// A copy of every report is kept for the next leader, and comes as it begins.
    KeepReports,
    /// Machines are up a second after they are rented, and every third one ends.
    MachinesRenewed,
}
use Act::*;

pub const NEVER: u64 = 100_000;

/// What runs when a scene begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Work {
    /// Jobs of every sort.
    Mixed,
    /// Jobs of one task each.
    Single,
    /// Jobs of a hundred tasks.
    Hundreds,
    /// More jobs of the team with a limit than may run at a time.
    AtLimit,
}

impl Work {
    /// Jobs, of which every second one is cancelled, and how many tasks run at least.
    fn size(self) -> (usize, usize) {
        match self {
            Work::Mixed => (16, 60),
            Work::Single => (24, 20),
            Work::Hundreds => (4, 150),
            Work::AtLimit => (10, 4),
        }
    }
}

/// Long jobs, most of them running after a minute; nothing else comes.
pub fn long_jobs(seed: u64, nodes: usize, work: Work) -> World {
    long_jobs_reporting(seed, nodes, work, SMALL.report)
}

/// The same where workers report so often, in microseconds.
pub fn long_jobs_reporting(seed: u64, nodes: usize, work: Work, report: u64) -> World {
    logs();
    let size = Size { nodes, room: [20, 20], jobs: 0, busy_until: 0, ends: 600 * S, oncall: true, ..SMALL };
    let size = Size { report, ..size };
    let size = if work == Work::Mixed { Size { room: [20, 10], ..size } } else { size };
    let mut w = World::new(seed, true, size);
    for j in 0..work.size().0 {
        let service = j % 4 == 0 && work != Work::Hundreds;
        // Gangs are jobs in one place; the others go anywhere or must be spread.
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

/// Troubles that only scenes know, and what is seen of cancellations.
#[derive(Default)]
pub struct Faults {
    mute: BTreeMap<String, u64>,
    held: BTreeMap<String, u64>,
    pub frozen_until: Vec<u64>,
    lost_until: Vec<u64>,
    late_until: u64,
    /// Records of ends are written late until then.
    pub late_ends_until: u64,
    /// Reports kept for the next leader.
    keep: Option<Vec<Vec<u8>>>,
    /// The process that led as the scene began.
    pub first_leader: Option<u64>,
    pub fast_boots: bool,
    next_ends: Option<u64>,
    pub cancel_at_end: u64,
    /// Tasks that ran as the scene began, and users told before the first outage.
    running: usize,
    told_before: Option<usize>,
    /// Jobs whose cancellation some controller has answered for.
    pub confirmed: BTreeSet<usize>,
    /// Starts of cancelled tasks after their users were told: those whose order left before.
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
    /// A controller's answer leaves. From a user's answer that says so on, no controller
    /// orders a start of a cancelled job.
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
                let a: HeartbeatResponse = serde_json::from_slice(body).unwrap();
                self.check_orders(n, &a.commands);
            }
            _ => {}
        }
    }

    pub fn check_orders(&mut self, n: usize, orders: &[gorseshore_protocol::workers::Command]) {
        for o in orders.iter().filter(|o| o.action == "run" && own(&o.task).is_none()) {
            if self.faults.confirmed.contains(&Self::job_of(&o.task).0) {
                self.break_rule("ordered_cancelled", format!("{} by controller {n}", o.task));
            }
            if let Some(needed) = self.first_unfinished(Self::job_of(&o.task).0) {
                let what = format!("{} by controller {n} before job {needed} is done", o.task);
                self.break_rule("ordered_early", what);
            }
        }
    }

    /// How much later than others a call leaves, or arrives; `None`: not at all.
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

    /// A report leaves; a copy may be kept.
    pub fn keep_report(&mut self, body: &[u8]) {
        if let Some(kept) = self.faults.keep.as_mut().filter(|k| k.len() < 500) {
            kept.push(body.to_vec());
        }
    }

    /// Whoever leads ends, and is back at once.
    pub fn end_leader(&mut self) {
        if let Some(n) = self.nodes.iter().position(|n| n.as_ref().is_some_and(|n| n.leads())) {
            self.end_process(n, 100 * MS);
        }
    }

    /// What waits for a new leader, where there is one.
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

    /// Its process ends now and is back at a set time.
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
                self.state.unavailable = true;
                self.at(l * self.size.cancel / 1000, Event::Heal);
            }
            Cancel(w) => {
                for j in (0..self.jobs.len()).step_by(2) {
                    // An answer that is on its way to its user may be overtaken by the
                    // next one: who waits for one cancels after it.
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
                third.iter().for_each(|m| self.machines.get_mut(m).unwrap().unreachable_until = t);
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
                let cancelled =
                    |t: &worker::Task| t.is_running() && Self::job_of(&t.name).0.is_multiple_of(2);
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
            Forgotten => self.state.compact(),
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

    /// A job of two short tasks comes.
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

    /// Tasks that are on machines.
    fn running(&self) -> usize {
        self.machines.values().flat_map(|m| &m.tasks).filter(|t| t.is_running()).count()
    }

    /// Jobs whose users were told of a cancellation.
    fn told(&self) -> usize {
        self.jobs.iter().filter(|j| j.aborted_at.is_some()).count()
    }
}

/// A scene: acts at milliseconds from its beginning, and whether users must be told
/// of cancellations before the state service is away. `spares`: all machines can be
/// reached, so that none is deleted that has tasks on it.
pub struct Scene {
    pub name: &'static str,
    pub acts: &'static [(u64, Act)],
    pub told: bool,
    pub spares: bool,
}

/// Plays acts and what comes after them.
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

/// What was wrong with a scene.
fn play_scene(scene: &Scene, seed: u64, nodes: usize, work: Work) -> Vec<String> {
    let w = play(scene.acts, seed, nodes, work);
    let mut bad = Vec::new();
    let (jobs, least) = work.size();
    if w.faults.running < least {
        bad.push(format!("only {} tasks run at the beginning", w.faults.running));
    }
    bad.extend(w.broken.clone());
    let told = w.faults.told_before.unwrap_or(0);
    if scene.told && told < 6 {
        bad.push(format!("{told} users were told of cancellations before the state service was away"));
    }
    // Later ones may be the fleet's, whose work is halved.
    let soon = 60 * S + w.size.cancel;
    let deleted: Vec<_> = w.oncall.deleted.iter().filter(|(t, ..)| *t < soon).collect();
    if scene.spares && !deleted.is_empty() {
        bad.push(format!("deleted with tasks on them: {deleted:?}"));
    }
    let cancels = scene.acts.iter().any(|(_, a)| matches!(a, Cancel(_) | CancelAndHang(..)));
    if bad.is_empty() && cancels && w.told() < jobs / 2 {
        bad.push(format!("{} of {} users were told of their cancellations in the end", w.told(), jobs / 2));
    }
    let short = |j: &&usize| w.jobs[**j].body["lot"] == "short";
    let late = w.late();
    let late: Vec<&usize> = late.iter().filter(short).collect();
    if bad.is_empty() && !late.is_empty() {
        bad.push(format!("short jobs {late:?} are not over"));
    }
    // What a limit held back runs as soon as it is proven that the cancelled ones are gone.
    let on = w.running();
    if bad.is_empty() && work == Work::AtLimit && on < 4 {
        bad.push(format!("{on} tasks of 5 jobs run in the end, 4 may"));
    }
    bad
}

/// Plays scenes with three and seven controllers.
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
    assert!(failed.is_empty(), "{} of {plays} plays failed:\n{}", failed.len(), failed.join("\n"));
}

/// Two or three troubles at any time round cancellations.
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
            // A zone that is cut off, often with controllers that hear of nothing.
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
