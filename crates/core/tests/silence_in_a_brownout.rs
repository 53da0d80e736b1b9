//! A process that knows what was cancelled and no placements, while the state service answers
//! now and then.
use gorseshore_core::jobs::{cancelled_value, job_value, keys};
use gorseshore_core::node::Node;
use gorseshore_core::{Call, CallResult, Input, Output, Target};
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_settings::{Operator, Platform};
use serde_json::{Value, json};

const WALL_MS: u64 = 1_764_600_000_000;
/// When the state service begins to fail.
const FAILS_FROM: u64 = 3_000;
/// A second is kept for the clocks.
const DEADLINE: u64 = 29_000;

/// A controller whose peer has ended, beside four machines of its zone; the last one hangs.
struct Alone {
    node: Node,
    now: u64,
    /// While it fails, the state service answers a question of news this often.
    answers_every: Option<u64>,
    answered: u64,
    /// What ends later.
    pending: Vec<(u64, Output)>,
    deleted: Vec<(u64, Value)>,
    good_answers: usize,
    lists: usize,
}

impl Alone {
    fn start(answers_every: Option<u64>) -> Self {
        let settings = "host_name = \"n0\"\ndomain = \"east\"\npublic_addr = \"127.0.0.1:1\"\n\
            cluster_listen = \"127.0.0.1:2\"\n[[peers]]\nhost_name = \"n1\"\ndomain = \"west\"\n\
            peer_addr = \"127.0.0.1:3\"\n[endpoints]\ncloud = \"127.0.0.1:4\"\nstate = \"127.0.0.1:5\"\n\
            [deployment]\nzones = [\"east\", \"west\"]\n[[deployment.teams]]\nname = \"t\"\ncpus_max = 0.0\n\
            [deployment.workers]\nreport_s = 2.0\nlease_s = 12.0\ncancel_s = 30.0\n\
            [deployment.state]\nrps = 200.0\nwrite_rps = 200.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
            [deployment.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n";
        let platform = Platform::parse(settings).expect("settings");
        let node = Node::new(&platform, Operator::default(), 1, 1_000, Micros::secs(1_000));
        let (pending, deleted) = (Vec::new(), Vec::new());
        Alone { node, now: 0, answers_every, answered: 0, pending, deleted, good_answers: 0, lists: 0 }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        self.node.handle(Micros::secs(1_000) + Micros::millis(self.now), WALL_MS + self.now, input)
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 20;
            let (due, later) =
                std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= self.now);
            self.pending = later;
            let mut outputs = self.input(Input::Tick);
            for (_, output) in due {
                let Output::Call { id, .. } = output else { continue };
                outputs.extend(self.input(Input::CallCompleted { id, result: CallResult::Unknown }));
            }
            while let Some(output) = outputs.pop() {
                let Output::Call { id, call } = &output else { continue };
                match self.answer(call) {
                    Some(result) => {
                        let id = *id;
                        outputs.extend(self.input(Input::CallCompleted { id, result }));
                    }
                    None => self.pending.push((self.now + call.timeout.0 / 1_000, output)),
                }
            }
        }
    }

    /// `None` if it is not answered.
    fn answer(&mut self, call: &Call) -> Option<CallResult> {
        let body = match &call.target {
            Target::State => return self.state(call),
            Target::Worker(address) if address == "m3:1" => return None,
            Target::Worker(address) => {
                let host = address.split(':').next().unwrap();
                json!({"host": host, "addr": address, "build": "big", "yard": "east", "shift": 1,
                    "tally": self.now, "baton": 1, "pieces": []})
            }
            Target::Cloud if call.path.starts_with("/rentals") && call.method == "GET" => {
                self.lists += 1;
                let host = |i: usize| {
                    json!({"ref": format!("m{i}"), "addr": format!("m{i}:1"), "build": "big",
                        "yard": "east", "stage": "running", "held_s": 100.0})
                };
                json!({"hosts": (0..4).map(host).collect::<Vec<Value>>()})
            }
            Target::Cloud if call.path == "/flavors" => {
                json!({"builds": [{"sku": "big", "cpus": 8.0, "memory_gb": 32.0, "hourly": 1.0,
                    "yards": ["east"]}]})
            }
            Target::Cloud => {
                let named: Value = serde_json::from_slice(&call.body).unwrap_or_default();
                self.deleted.push((self.now, named["hosts"].clone()));
                named
            }
        };
        Some(CallResult::Response { status: 200, body: body.to_string().into_bytes() })
    }

    fn state(&mut self, call: &Call) -> Option<CallResult> {
        let news = call.path.starts_with("/follow");
        if news && call.path.ends_with("hold_ms=10000") {
            return None;
        }
        let up = self.now < FAILS_FROM;
        let now_and_then = self.answers_every.is_some_and(|e| news && self.now >= self.answered + e);
        let body = match () {
            () if up && call.path.starts_with("/store") => {
                let submission = json!({"ref": "j-000001", "lot": "l", "crew": "t", "manner": "array",
                    "rank": "standard", "pieces": 4, "cpus": 1.0, "gpus": 0, "memory_gb": 1, "bundle": "i",
                    "image_gb": 1, "same_place": false, "apart": false, "loaners": false, "guess_s": 10,
                    "mark_s": 0, "stow_s": 0});
                let spec = gorseshore_protocol::users::parse_submission(submission.to_string().as_bytes());
                let job = job_value(&spec.unwrap(), WALL_MS - 60_000);
                let end = cancelled_value(WALL_MS, None, false);
                json!({"pairs": [
                    {"path": keys::job(JobId(1)), "v": job, "stamp": 40},
                    {"path": keys::end(JobId(1)), "v": end, "stamp": 50}], "ledger": 100})
            }
            () if news && (up || now_and_then) => {
                (self.answered, self.good_answers) = (self.now, self.good_answers + !up as usize);
                json!({"news": [], "ledger": 100})
            }
            () => return Some(CallResult::Response { status: 503, body: b"{}".to_vec() }),
        };
        Some(CallResult::Response { status: 200, body: body.to_string().into_bytes() })
    }
}

/// A machine that hangs with a cancelled task goes in time, whether the state service answers
/// nothing or a question now and then: no leader can be elected in either case.
#[test]
fn a_machine_that_hangs_goes_while_the_state_service_answers_now_and_then() {
    let mut failed = Vec::new();
    for answers_every in [None, Some(10_000), Some(5_000), Some(4_000), Some(3_000), Some(2_000)] {
        let mut alone = Alone::start(answers_every);
        alone.run(DEADLINE);
        let (good, lists, deleted) = (alone.good_answers, alone.lists, &alone.deleted);
        let line = format!("{answers_every:?}: {good} good answers, {lists} lists, deleted {deleted:?}");
        println!("{line}");
        if alone.deleted.is_empty() || alone.deleted.iter().any(|(_, names)| *names != json!(["m3"])) {
            failed.push(line);
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
