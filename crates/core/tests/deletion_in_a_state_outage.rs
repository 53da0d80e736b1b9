//! Deletion of an unresponsive machine by a controller that knows the cancellations but no
//! placements, while the state service answers only some requests.
use gorseshore_core::jobs::{cancelled_value, job_value, keys};
use gorseshore_core::node::Node;
use gorseshore_core::{Call, CallResult, Input, Output, Target};
use gorseshore_protocol::ids::{JobId, Micros};
use gorseshore_settings::{Operator, Platform};
use serde_json::{Value, json};

const START_WALL_MS: u64 = 1_764_600_000_000;
/// Time at which the state service begins to fail.
const OUTAGE_START_MS: u64 = 3_000;
/// The 30 s of `cancel_s`, less 1 s for clock error.
const DEADLINE_MS: u64 = 29_000;

/// A controller whose peer has terminated, with four machines in its zone, the last of which
/// is unresponsive. Times are in milliseconds since the start.
struct IsolatedController {
    node: Node,
    now: u64,
    /// Interval at which the failing state service answers a watch; `None` answers nothing.
    response_interval: Option<u64>,
    last_response: u64,
    /// Unanswered calls and the times at which they time out.
    pending: Vec<(u64, Output)>,
    /// Times and machine names of the deletions.
    deleted: Vec<(u64, Value)>,
    responses_in_outage: usize,
    lists: usize,
}

impl IsolatedController {
    fn start(response_interval: Option<u64>) -> Self {
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
        IsolatedController {
            node,
            now: 0,
            response_interval,
            last_response: 0,
            pending,
            deleted,
            responses_in_outage: 0,
            lists: 0,
        }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        self.node.handle(Micros::secs(1_000) + Micros::millis(self.now), START_WALL_MS + self.now, input)
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 20;
            let (timed_out, waiting) =
                std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= self.now);
            self.pending = waiting;
            let mut outputs = self.input(Input::Tick);
            for (_, output) in timed_out {
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

    /// Responds to a call; `None` if it stays unanswered.
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
                let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
                self.deleted.push((self.now, body["hosts"].clone()));
                body
            }
        };
        Some(CallResult::Response { status: 200, body: body.to_string().into_bytes() })
    }

    fn state(&mut self, call: &Call) -> Option<CallResult> {
        let is_watch = call.path.starts_with("/follow");
        if is_watch && call.path.ends_with("hold_ms=10000") {
            return None;
        }
        let up = self.now < OUTAGE_START_MS;
        let answers_watch = self
            .response_interval
            .is_some_and(|interval| is_watch && self.now >= self.last_response + interval);
        let body = match () {
            () if up && call.path.starts_with("/store") => {
                let submission = json!({"ref": "j-000001", "lot": "l", "crew": "t", "manner": "array",
                    "rank": "standard", "pieces": 4, "cpus": 1.0, "gpus": 0, "memory_gb": 1, "bundle": "i",
                    "image_gb": 1, "same_place": false, "apart": false, "loaners": false, "guess_s": 10,
                    "mark_s": 0, "stow_s": 0});
                let spec = gorseshore_protocol::users::parse_submission(submission.to_string().as_bytes());
                let job = job_value(&spec.unwrap(), START_WALL_MS - 60_000);
                let end = cancelled_value(START_WALL_MS, None, false);
                json!({"pairs": [
                    {"path": keys::job(JobId(1)), "v": job, "stamp": 40},
                    {"path": keys::end(JobId(1)), "v": end, "stamp": 50}], "ledger": 100})
            }
            () if is_watch && (up || answers_watch) => {
                (self.last_response, self.responses_in_outage) =
                    (self.now, self.responses_in_outage + !up as usize);
                json!({"news": [], "ledger": 100})
            }
            () => return Some(CallResult::Response { status: 503, body: b"{}".to_vec() }),
        };
        Some(CallResult::Response { status: 200, body: body.to_string().into_bytes() })
    }
}

/// An unresponsive machine that may run a cancelled task must be deleted in time, whether the
/// state service answers nothing or an occasional watch: no leader can be elected in either
/// case.
#[test]
fn an_unresponsive_machine_is_deleted_while_the_state_service_answers_occasionally() {
    let mut failed = Vec::new();
    for response_interval in [None, Some(10_000), Some(5_000), Some(4_000), Some(3_000), Some(2_000)] {
        let mut controller = IsolatedController::start(response_interval);
        controller.run(DEADLINE_MS);
        let (responses, lists, deleted) =
            (controller.responses_in_outage, controller.lists, &controller.deleted);
        let line =
            format!("{response_interval:?}: {responses} responses, {lists} lists, deleted {deleted:?}");
        println!("{line}");
        if controller.deleted.is_empty()
            || controller.deleted.iter().any(|(_, names)| *names != json!(["m3"]))
        {
            failed.push(line);
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
