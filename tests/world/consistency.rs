//! Consistency checks of the answers that users get. Users send requests to all controllers within
//! milliseconds after a job was accepted, ended or cancelled, and submit it again; some cancel it.
//! From the moment any controller answered that a job is accepted, done or cancelled, no answer to
//! a request that begins later, at any controller, may report an older state. A 503 reports no
//! state; how many answers are 503 is counted.
use super::scenarios::Action::*;
use super::scenarios::Controllers::*;
use super::scenarios::{Action, Workload, simulate};
use super::*;

/// What a user does with a job.
#[derive(Debug, Clone, Copy)]
pub enum UserAction {
    Poll,
    Resubmit,
    Abort,
}

/// State of a job as reported to a user.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Reported {
    Accepted,
    Done,
    Aborted,
}

/// Answers and reports recorded for the consistency checks.
#[derive(Default)]
pub struct Observations {
    /// Users send rapid requests until then.
    pub rapid_requests_until: u64,
    /// Time at which each request began.
    pub requests_began_at: BTreeMap<RequestId, u64>,
    /// The first answer with each state of a job, and when it left a controller.
    reported: BTreeMap<usize, Vec<(u64, Reported)>>,
    /// Answers during rapid requests, and those among them with status 503.
    pub answers: usize,
    pub unavailable_answers: usize,
    /// The answer to the request of a test that waits for it.
    pub direct_answer: Option<(u16, Vec<u8>)>,
}

/// Whether an answer to a request that began at `began` reports an older state than an answer that
/// left before.
fn is_older(reported: &[(u64, Reported)], began: u64, status: u16, stage: Option<&str>) -> bool {
    let before = |t: Reported| reported.iter().any(|(at, earlier)| *earlier == t && *at < began);
    let known = !reported.is_empty() && reported.iter().any(|(at, _)| *at < began);
    match (status, stage) {
        (200 | 201, Some(stage)) => {
            before(Reported::Done) && stage != "done"
                || before(Reported::Aborted) && stage != "aborted"
                || status == 201 && known
        }
        (400 | 404 | 422, _) => known,
        _ => false,
    }
}

impl World {
    /// Compares an answer that leaves for a user with all answers about the job that left before
    /// its request began.
    pub fn check_answer_order(&mut self, n: usize, id: RequestId, status: u16, body: &[u8]) {
        let Some(Requester::Abort(j) | Requester::Poll(j) | Requester::Submit(j)) =
            self.pending_requests.get(&id)
        else {
            return;
        };
        let (j, began) = (*j, self.consistency.requests_began_at.get(&id).copied().unwrap_or(self.now));
        let v: Value = serde_json::from_slice(body).unwrap_or_default();
        let stage = v["stage"].as_str();
        if self.now < self.consistency.rapid_requests_until {
            self.consistency.answers += 1;
            self.consistency.unavailable_answers += (status == 503) as usize;
        }
        let reported = self.consistency.reported.entry(j).or_default();
        if is_older(reported, began, status, stage) {
            let detail =
                format!("job {j}: controller {n} says {status} {stage:?}, reported before {reported:?}");
            return self.report_violation("older_answer", detail);
        }
        let now = match (status, stage) {
            (200 | 201, Some("done")) => Reported::Done,
            (200 | 201, Some("aborted")) => Reported::Aborted,
            (200 | 201, Some(_)) => Reported::Accepted,
            _ => return,
        };
        if reported.iter().any(|(_, t)| *t == now) {
            return;
        }
        reported.push((self.now, now));
        if self.now < self.consistency.rapid_requests_until {
            for n in 0..self.size.nodes {
                for _ in 0..4 {
                    let user_action = match self.rng.u32(0..9) {
                        0 if now == Reported::Accepted && n == j % self.size.nodes => UserAction::Abort,
                        0..=3 => UserAction::Resubmit,
                        _ => UserAction::Poll,
                    };
                    let d = self.rng.u64(0..40 * MS);
                    self.at(d, Event::UserRequest(n, user_action, j));
                }
            }
        }
    }

    pub fn send_user_request(&mut self, n: usize, user_action: UserAction, j: usize) {
        let path = format!("/submissions/j-{j:06}");
        match user_action {
            UserAction::Poll => self.request(n, "GET", path, Vec::new(), Requester::Poll(j)),
            UserAction::Resubmit => {
                let body = self.jobs[j].body.to_string().into_bytes();
                self.request(n, "POST", "/submissions".into(), body, Requester::Submit(j));
            }
            UserAction::Abort => {
                let job = &mut self.jobs[j];
                (job.abort_requested, job.abort_at) = (true, self.now.min(job.abort_at));
                self.request(n, "POST", format!("{path}/abort"), Vec::new(), Requester::Abort(j));
            }
        }
    }
}

#[test]
fn an_older_answer_is_detected() {
    use Reported::*;
    // (reported states with the times at which they left; begin of the request, its answer; older)
    type Case<'a> = (&'a [(u64, Reported)], u64, u16, Option<&'a str>, bool);
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
    for (reported, began, status, stage, expected) in cases {
        assert_eq!(
            is_older(reported, *began, *status, *stage),
            *expected,
            "{reported:?}, then {status} {stage:?} to what began at {began}"
        );
    }
}

#[test]
fn no_controller_reports_an_older_state() {
    // (faults, actions)
    let scenarios: [(&str, &[(u64, Action)]); 9] = [
        ("no fault", &[]),
        ("the leader exits", &[(300, Terminate(Leader, 0)), (2500, Terminate(Leader, 0))]),
        ("every third write takes effect late", &[(0, DelayedWrites(400))]),
        ("answers lost, writes carried out at once", &[(0, AnswersLost(All, 150))]),
        (
            "the confirming controller's answers lost",
            &[(0, AnswersLost(Other(1), 300)), (0, AnswersLost(Leader, 300))],
        ),
        ("the state is read again", &[(200, HistoryDropped), (700, HistoryDropped), (1500, HistoryDropped)]),
        (
            "one refused, then another",
            &[(0, RefusedByState(Other(1), 60)), (2100, RefusedByState(Leader, 100))],
        ),
        ("an outage", &[(900, StateOutage(200))]),
        ("one controller isolated", &[(0, Isolated(Other(2), 300))]),
    ];
    let mut failed = Vec::new();
    for (name, actions) in scenarios {
        for nodes in [3, 7] {
            for seed in seeds("LOOKS_SEEDS", 0, 3) {
                let mut all = vec![(0, RapidRequests(1000)), (1, Submit), (2000, Submit)];
                all.extend([(2600, Cancel(Other(1))), (4000, Submit)]);
                all.extend(actions);
                all.sort_by_key(|a| a.0);
                let w = simulate(&all, seed, nodes, Workload::Mixed);
                let mut violations = w.violations.clone();
                let over = |t: &[(u64, Reported)]| t.iter().any(|(_, t)| *t != Reported::Accepted);
                let ended = w.consistency.reported.values().filter(|t| over(t)).count();
                if w.consistency.answers < 250 * nodes || ended < 30 {
                    violations.push(format!("only {} answers, {ended} jobs ended", w.consistency.answers));
                }
                let share = w.consistency.unavailable_answers as f64 / w.consistency.answers.max(1) as f64;
                println!(
                    "{name}, {nodes} controllers, seed {seed}: {} answers, 503 {share:.3}",
                    w.consistency.answers
                );
                // Without faults, at most 2 % of the answers may be 503.
                if actions.is_empty() && share > 0.02 {
                    violations.push(format!("{share:.3} of the answers are 503"));
                }
                if !violations.is_empty() {
                    failed.push(format!("{name}, {nodes} controllers, seed {seed}: {:?}", &violations[..1]));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
}
