//! Users come back to jobs that ended: they poll them at every controller, submit them again, cancel
//! them and submit jobs that await them. Controllers hold a bounded number of settled jobs in memory
//! and read the others from the state service by key; each scene is played with none, with one and
//! with many of them held.
use super::consistency::UserAction;
use super::scenarios::Action;
use super::scenarios::Action::*;
use super::scenarios::Controllers::*;
use super::*;
use std::collections::BTreeSet;

/// How many settled jobs every controller holds, in all scenarios: `PAST_JOBS_HELD`.
pub fn settled_jobs_held() -> Option<usize> {
    std::env::var("PAST_JOBS_HELD").ok().and_then(|held| held.parse().ok())
}

/// When the jobs of the first minute have ended.
const ENDED_AT: u64 = 100 * S;
/// For how long users come back while faults happen, and after them.
const FAULTS: u64 = 40 * S;
const QUIET: u64 = 40 * S;
/// Each controller gets two requests about ended jobs in this time.
const REQUEST_INTERVAL: u64 = 400 * MS;
/// At most this part of the answers to requests without faults may be 503.
const MAX_UNAVAILABLE: f64 = 0.02;

/// A scene: its actions, at milliseconds after `ENDED_AT`.
type Scene = (&'static str, &'static [(u64, Action)]);

const SCENES: [Scene; 7] = [
    ("no fault", &[]),
    ("an outage", &[(4_000, StateOutage(300))]),
    ("the leader changes", &[(4_000, Terminate(Leader, 100)), (20_000, LeaderChanges(3))]),
    ("all restart", &[(4_000, Terminate(All, 60)), (20_000, Terminate(All, 10))]),
    ("watches are lost", &[(4_000, HistoryDropped), (12_000, HistoryDropped), (20_000, HistoryDropped)]),
    ("one is refused by the state service", &[(4_000, RefusedByState(Other(1), 400))]),
    (
        "all restart in an outage",
        &[(4_000, StateOutage(300)), (6_000, Terminate(All, 30)), (25_000, HistoryDropped)],
    ),
];

impl World {
    /// Every watch is behind for a moment.
    fn write_unknown_key(&mut self) {
        let transaction = json!({"when": [], "writes": [{"put": "g/unknown", "v": self.now}]}).to_string();
        self.state.request("POST", "/multi", transaction.as_bytes(), self.now);
    }
}

/// Result of a play.
struct Play {
    world: World,
    ended: Vec<usize>,
    waiting: Vec<usize>,
    /// Requests about ended jobs without faults, and those among them that were answered 503.
    answers: usize,
    unavailable: usize,
    /// The fewest settled jobs that each controller held at the end. A job that was just read is held
    /// for a moment.
    fewest_held: Vec<usize>,
}

fn play(seed: u64, nodes: usize, held: usize, actions: &[(u64, Action)]) -> Play {
    let size = Size {
        nodes,
        settled_jobs_held: Some(held),
        jobs: 14,
        busy_until: 20 * S,
        end_at: 600 * S,
        partial_failures: true,
        ..SMALL
    };
    let mut w = World::new(seed, true, size);
    w.run(ENDED_AT);
    w.partial_failures.faults_end_at = u64::MAX;
    let over = |job: &Job| job.reported_done || job.aborted_at.is_some();
    let ended: Vec<usize> = (0..w.jobs.len()).filter(|j| over(&w.jobs[*j])).collect();
    let leader = w.leader();
    let mut actions = actions.iter().peekable();
    let mut waiting = Vec::new();
    w.consistency.rapid_requests_until = u64::MAX;
    while w.now < ENDED_AT + FAULTS + QUIET && w.violations.is_empty() {
        while let Some((_, action)) = actions.next_if(|(at, _)| w.now >= ENDED_AT + at * MS) {
            if matches!(action, HistoryDropped) {
                w.write_unknown_key();
            }
            w.perform(leader, *action);
        }
        let step = w.now;
        if (step - ENDED_AT) % (10 * S) < REQUEST_INTERVAL {
            let awaited = ended[w.rng.usize(0..ended.len())];
            if !w.jobs[awaited].service {
                waiting.push(w.push_waiting(vec![awaited], S));
            }
        }
        for n in 0..nodes {
            for _ in 0..2 {
                let j = ended[w.rng.usize(0..ended.len())];
                let action = match w.rng.u32(0..6) {
                    0 => UserAction::Resubmit,
                    1 => UserAction::Abort,
                    _ => UserAction::Poll,
                };
                let d = w.rng.u64(0..REQUEST_INTERVAL);
                w.at(d, Event::UserRequest(n, action, j));
            }
        }
        w.run(step + REQUEST_INTERVAL);
        w.now = w.now.max(step + REQUEST_INTERVAL);
    }
    let (answers, unavailable) = (w.consistency.answers, w.consistency.unavailable_answers);
    w.run(ENDED_AT + FAULTS + QUIET + 30 * S);
    let mut fewest_held = vec![usize::MAX; nodes];
    for step in 0..100 {
        w.run(ENDED_AT + FAULTS + QUIET + 30 * S + step * 100 * MS);
        for (n, node) in w.nodes.iter().enumerate() {
            let held = node.as_ref().map_or(0, Node::settled_jobs_held);
            fewest_held[n] = fewest_held[n].min(held);
        }
    }
    Play { world: w, ended, waiting, answers, unavailable, fewest_held }
}

/// What went wrong in a play, beside the rules that the simulation checks itself.
fn faults_of(play: &Play, held: usize, fault_free: bool) -> Vec<String> {
    let w = &play.world;
    let mut faults = w.violations.clone();
    let ended: BTreeSet<usize> = play.ended.iter().copied().collect();
    for j in &ended {
        if w.jobs[*j].answered_at < ENDED_AT + FAULTS + QUIET / 2 {
            faults.push(format!("job {j}: last answered at {}", w.jobs[*j].answered_at / S));
        }
    }
    for j in &play.waiting {
        let job = &w.jobs[*j];
        let awaited_done = job.awaits.iter().all(|needed| w.jobs[*needed].reported_done);
        // Users cancel some of them.
        let ended = job.aborted_at.is_some() || awaited_done && job.reported_done;
        if !ended {
            faults.push(format!("job {j}, which awaits {:?}, has not ended", job.awaits));
        }
    }
    for rerun in &w.reruns {
        if ended.contains(&World::job_of(rerun.split(' ').next().unwrap()).0) {
            faults.push(format!("a task of an ended job ran again: {rerun}"));
        }
    }
    for (n, holds) in play.fewest_held.iter().enumerate() {
        if *holds > held {
            faults.push(format!("controller {n} holds {holds} settled jobs, at most {held} are allowed"));
        }
    }
    let share = play.unavailable as f64 / play.answers.max(1) as f64;
    if fault_free && share > MAX_UNAVAILABLE {
        faults.push(format!("{share:.3} of {} answers are 503", play.answers));
    }
    faults
}

/// Guards against answers about ended jobs that are older than an earlier one, a 404 for an accepted
/// job, a task that runs again, a job that waits for ever for one that ended long ago, and settled
/// jobs that stay in memory.
#[test]
fn ended_jobs_are_answered_whether_they_are_held_or_not() {
    let mut failed = Vec::new();
    for (name, actions) in SCENES {
        for held in [0, 1, 512] {
            for seed in seeds("PAST_JOBS_SEEDS", 0, 2) {
                let nodes = [3, 5][seed as usize % 2];
                let play = play(seed, nodes, held, actions);
                let mut faults = faults_of(&play, held, actions.is_empty());
                if play.ended.len() < 5 || play.answers < 200 {
                    faults.push(format!("only {} jobs, {} answers", play.ended.len(), play.answers));
                }
                println!(
                    "{name}, {held} held, seed {seed}: {} ended jobs, {} waiting, {} answers, {} are 503",
                    play.ended.len(),
                    play.waiting.len(),
                    play.answers,
                    play.unavailable
                );
                if !faults.is_empty() {
                    failed.push(format!("{name}, {held} held, seed {seed}: {faults:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} plays failed:\n{}", failed.len(), failed.join("\n"));
}
