//! Consistency checks of the answers that users get. Users send requests to all controllers within
//! milliseconds after a job was accepted, ended or cancelled, and submit it again; some cancel it.
//! From the moment any controller answered that a job is accepted, done or cancelled, no answer to
//! a request that begins later, at any controller, may report an older state. A 503 reports no
//! state; how many answers are 503 is counted.
use super::scenes::Act::*;
use super::scenes::Who::*;
use super::scenes::{Act, Work, play};
use super::*;

/// What a user does with a job.
#[derive(Debug, Clone, Copy)]
pub enum Way {
    Poll,
    Again,
    Abort,
}

/// State of a job as reported to a user.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Told {
    Accepted,
    Done,
    Aborted,
}

/// Answers and reports recorded for the consistency checks.
#[derive(Default)]
pub struct Seen {
    /// Users send rapid requests until then.
    pub until: u64,
    /// Time at which each request began.
    pub began: BTreeMap<RequestId, u64>,
    /// The first answer with each state of a job, and when it left a controller.
    told: BTreeMap<usize, Vec<(u64, Told)>>,
    /// Answers during rapid requests, and those among them with status 503.
    pub answers: usize,
    pub later: usize,
    /// The answer to the request of a test that waits for it.
    pub odd: Option<(u16, Vec<u8>)>,
}

/// Whether an answer to a request that began at `began` reports an older state than an answer that
/// left before.
fn is_older(told: &[(u64, Told)], began: u64, status: u16, stage: Option<&str>) -> bool {
    let before = |t: Told| told.iter().any(|(at, what)| *what == t && *at < began);
    let known = !told.is_empty() && told.iter().any(|(at, _)| *at < began);
    match (status, stage) {
        (200 | 201, Some(stage)) => {
            before(Told::Done) && stage != "done"
                || before(Told::Aborted) && stage != "aborted"
                || status == 201 && known
        }
        (400 | 404 | 422, _) => known,
        _ => false,
    }
}

impl World {
    /// Compares an answer that leaves for a user with all answers about the job that left before
    /// its request began.
    pub fn compare(&mut self, n: usize, id: RequestId, status: u16, body: &[u8]) {
        let Some(Asker::Abort(j) | Asker::Poll(j) | Asker::Submit(j)) = self.asked.get(&id) else { return };
        let (j, began) = (*j, self.looks.began.get(&id).copied().unwrap_or(self.now));
        let v: Value = serde_json::from_slice(body).unwrap_or_default();
        let stage = v["stage"].as_str();
        if self.now < self.looks.until {
            self.looks.answers += 1;
            self.looks.later += (status == 503) as usize;
        }
        let told = self.looks.told.entry(j).or_default();
        if is_older(told, began, status, stage) {
            let what = format!("job {j}: controller {n} says {status} {stage:?}, reported before {told:?}");
            return self.break_rule("older_answer", what);
        }
        let now = match (status, stage) {
            (200 | 201, Some("done")) => Told::Done,
            (200 | 201, Some("aborted")) => Told::Aborted,
            (200 | 201, Some(_)) => Told::Accepted,
            _ => return,
        };
        if told.iter().any(|(_, t)| *t == now) {
            return;
        }
        told.push((self.now, now));
        if self.now < self.looks.until {
            for n in 0..self.size.nodes {
                for _ in 0..4 {
                    let way = match self.rng.u32(0..9) {
                        0 if now == Told::Accepted && n == j % self.size.nodes => Way::Abort,
                        0..=3 => Way::Again,
                        _ => Way::Poll,
                    };
                    let d = self.rng.u64(0..40 * MS);
                    self.at(d, Event::Look(n, way, j));
                }
            }
        }
    }

    pub fn look(&mut self, n: usize, way: Way, j: usize) {
        let path = format!("/submissions/j-{j:06}");
        match way {
            Way::Poll => self.request(n, "GET", path, Vec::new(), Asker::Poll(j)),
            Way::Again => {
                let body = self.jobs[j].body.to_string().into_bytes();
                self.request(n, "POST", "/submissions".into(), body, Asker::Submit(j));
            }
            Way::Abort => {
                let job = &mut self.jobs[j];
                (job.abort_asked, job.abort_at) = (true, self.now.min(job.abort_at));
                self.request(n, "POST", format!("{path}/abort"), Vec::new(), Asker::Abort(j));
            }
        }
    }
}

#[test]
fn an_older_answer_is_noticed() {
    use Told::*;
    // (reported states with the times at which they left; begin of the request, its answer; older)
    type Case<'a> = (&'a [(u64, Told)], u64, u16, Option<&'a str>, bool);
    let cases: &[Case] = &[
        (&[], 5, 404, None, false),
        (&[], 5, 201, Some("queued"), false),
        (&[(3, Accepted)], 5, 404, None, true),
        (&[(3, Accepted)], 5, 422, None, true),
        (&[(3, Accepted)], 5, 201, Some("queued"), true),
        (&[(3, Accepted)], 5, 200, Some("queued"), false),
        (&[(3, Accepted)], 5, 503, None, false),
        // The request began before the report.
        (&[(3, Accepted)], 2, 404, None, false),
        (&[(3, Accepted), (6, Aborted)], 5, 200, Some("running"), false),
        (&[(3, Accepted), (6, Aborted)], 7, 200, Some("running"), true),
        (&[(3, Accepted), (6, Aborted)], 7, 200, Some("done"), true),
        (&[(3, Accepted), (6, Aborted)], 7, 200, Some("aborted"), false),
        (&[(6, Done)], 7, 200, Some("queued"), true),
        (&[(6, Done)], 7, 400, None, true),
        (&[(6, Done)], 7, 200, Some("done"), false),
    ];
    for (told, began, status, stage, want) in cases {
        assert_eq!(
            is_older(told, *began, *status, *stage),
            *want,
            "{told:?}, then {status} {stage:?} to what began at {began}"
        );
    }
}

#[test]
fn no_controller_answers_anything_older() {
    // (faults, actions)
    let scenes: [(&str, &[(u64, Act)]); 9] = [
        ("no trouble", &[]),
        ("the leader ends", &[(300, End(Leader, 0)), (2500, End(Leader, 0))]),
        ("every third write takes effect late", &[(0, LateWrites(400))]),
        ("answers lost, writes carried out at once", &[(0, AnswersLost(All, 150))]),
        (
            "the confirming controller's answers lost",
            &[(0, AnswersLost(Other(1), 300)), (0, AnswersLost(Leader, 300))],
        ),
        ("the state is read again", &[(200, Forgotten), (700, Forgotten), (1500, Forgotten)]),
        ("one refused, then another", &[(0, Refused(Other(1), 60)), (2100, Refused(Leader, 100))]),
        ("an outage", &[(900, Away(200))]),
        ("one controller isolated", &[(0, Alone(Other(2), 300))]),
    ];
    let mut failed = Vec::new();
    for (name, acts) in scenes {
        for nodes in [3, 7] {
            for seed in seeds("LOOKS_SEEDS", 0, 3) {
                let mut all = vec![(0, Looks(1000)), (1, Submit), (2000, Submit)];
                all.extend([(2600, Cancel(Other(1))), (4000, Submit)]);
                all.extend(acts);
                all.sort_by_key(|a| a.0);
                let w = play(&all, seed, nodes, Work::Mixed);
                let mut bad = w.broken.clone();
                let over = |t: &[(u64, Told)]| t.iter().any(|(_, t)| *t != Told::Accepted);
                let ended = w.looks.told.values().filter(|t| over(t)).count();
                if w.looks.answers < 250 * nodes || ended < 30 {
                    bad.push(format!("only {} answers, {ended} jobs ended", w.looks.answers));
                }
                let share = w.looks.later as f64 / w.looks.answers.max(1) as f64;
                println!(
                    "{name}, {nodes} controllers, seed {seed}: {} answers, 503 {share:.3}",
                    w.looks.answers
                );
                // Without faults, at most 2 % of the answers may be 503.
                if acts.is_empty() && share > 0.02 {
                    bad.push(format!("{share:.3} of the answers are 503"));
                }
                if !bad.is_empty() {
                    failed.push(format!("{name}, {nodes} controllers, seed {seed}: {:?}", &bad[..1]));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
}
