//! The program in production can read every record that controllers write to the state service
//! while they run jobs of all kinds.
use gorseshore_core::jobs::parse_job_spec;
use gorseshore_protocol::ids::JobId;
use gorseshore_protocol::state::WatchResponse;
use gorseshore_standins::net::{Response, send_request};
use gorseshore_standins::site::{Options, Site};
use production::Record;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[path = "../crates/core/tests/production/mod.rs"]
mod production;

const LIMIT: Duration = Duration::from_secs(120);
const OPERATOR_SETTINGS: &str = include_str!("../deploy/nomad.txtpb");

fn send(a: SocketAddr, method: &str, path: &str, body: &Value) -> Response {
    send_request(a, method, path, "", &body.to_string(), Duration::from_secs(20))
        .unwrap_or_else(|| panic!("{method} {path}: no response"))
}

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "{description}: not in time");
        std::thread::sleep(Duration::from_millis(30));
    }
}

fn native_job(number: u64, kind: &str, tasks: u32) -> Value {
    json!({"ref": format!("j-{number:06}"), "lot": "l", "crew": "default", "manner": kind, "rank": "high",
        "pieces": tasks, "cpus": 0.5, "gpus": 0, "memory_gb": 0.5, "bundle": "i", "image_gb": 0.1,
        "builds": ["big", "small"], "yard": "east", "same_place": false, "apart": false, "loaners": true,
        "guess_s": 100, "mark_s": 10, "stow_s": 1, "due_s": 900.5})
}

fn nomad_job(id: &str, count: u32, image: &str) -> Value {
    json!({"Job": {"ID": id, "Name": id, "Type": "batch", "TaskGroups": [{"Name": "g", "Count": count,
        "RestartPolicy": {"Attempts": 1, "Mode": "fail"}, "ReschedulePolicy": {"Attempts": 1},
        "Tasks": [{"Name": "t", "Driver": "docker", "Config": {"image": image},
            "Resources": {"CPU": 1000, "MemoryMB": 256}}]}]}})
}

/// Kinds of records that controllers without network partitions write in the time of a test.
/// Launches by cron are not among them: they come once a minute.
const EXPECTED_KINDS: &[&str] = &[
    "job",
    "done",
    "cancelled",
    "fully stopped",
    "failed",
    "progress",
    "failures",
    "machines",
    "leader",
    "term",
    "standby replicas",
    "last rental request",
    "nomad head",
    "nomad part",
    "nomad token",
];

/// Kind of a record, in this test's own terms.
fn record_kind(key: &str, record: &Record) -> &'static str {
    match record {
        Record::Job { .. } => "job",
        Record::End { done: true, .. } => "done",
        Record::End { fully_stopped: false, cause: None, .. } => "cancelled",
        Record::End { fully_stopped: true, .. } => "fully stopped",
        Record::End { .. } => "failed",
        Record::Progress { .. } => "progress",
        Record::Failures { .. } => "failures",
        Record::Machines { .. } => "machines",
        Record::Leader { .. } => "leader",
        Record::Term(_) => "term",
        Record::PlacementReplicas { .. } => "standby replicas",
        Record::RelayedMessage { .. } => "relayed messages",
        Record::NomadHead(_) => "nomad head",
        Record::NomadPart(_) => "nomad part",
        Record::NomadLaunch(_) => "nomad launch",
        Record::NomadToken(_) => "nomad token",
        Record::Ignored if key == "g/hire" => "last rental request",
        Record::Ignored => "unknown key",
    }
}

/// Records written to the state service, read as production reads them.
struct Records {
    state: SocketAddr,
    /// Changes up to this revision have been read.
    revision: u64,
    seen: BTreeSet<&'static str>,
}

impl Records {
    /// Reads the changes since the last call.
    fn read_changes(&mut self) {
        let path = format!("/follow?prefix=g/&from={}&hold_ms=0", self.revision);
        let response: WatchResponse =
            serde_json::from_slice(&send(self.state, "GET", &path, &Value::Null).body).unwrap();
        self.revision = response.revision;
        for event in response.events {
            if let Some(key) = event.put {
                self.read(&key, &event.value);
            }
        }
    }

    fn read(&mut self, key: &str, value: &Value) {
        let record = production::read(key, value).unwrap_or_else(|e| panic!("{e}"));
        if let Record::Job { id, job, .. } = &record {
            let spec = parse_job_spec(JobId(*id), value).unwrap_or_else(|| panic!("{key}: {value}"));
            assert_eq!((spec.tasks, &spec.image), (job.tasks, &job.image), "{key}");
        }
        self.seen.insert(record_kind(key, &record));
    }

    /// Reads changes until records of all these kinds were seen.
    fn read_until(&mut self, kinds: &[&'static str]) {
        let start = Instant::now();
        loop {
            self.read_changes();
            let missing: Vec<_> = kinds.iter().filter(|kind| !self.seen.contains(*kind)).collect();
            if missing.is_empty() {
                return;
            }
            assert!(start.elapsed() < LIMIT, "not in time: {missing:?}; seen: {:?}", self.seen);
            std::thread::sleep(Duration::from_millis(30));
        }
    }
}

#[test]
fn production_reads_all_records_of_a_site() {
    // The team limit makes an array run long enough for its progress to be recorded.
    let teams = vec![("default".to_owned(), 20.0)];
    let options =
        Options { operator: OPERATOR_SETTINGS.into(), time_scale: 0.02, teams, ..Options::default() };
    let site = Site::start(&options).unwrap();
    assert!(site.wait_until_ready(Duration::from_secs(30)), "not ready");
    let (user_addr, nomad_addr) = (site.user_addresses[0], site.nomad_addresses[0]);
    let submit = |job: &Value| send(user_addr, "POST", "/submissions", job).status;
    wait_until("accepted", || submit(&native_job(1, "array", 40)) == 201);
    assert_eq!(submit(&native_job(2, "standing", 2)), 201);
    assert_eq!(submit(&native_job(3, "array", 200)), 201);
    wait_until("registered", || {
        send(nomad_addr, "PUT", "/v1/jobs", &nomad_job("good", 2, "i")).status == 200
    });
    assert_eq!(send(nomad_addr, "PUT", "/v1/jobs", &nomad_job("good", 3, "i2")).status, 200);
    assert_eq!(send(nomad_addr, "PUT", "/v1/jobs", &nomad_job("bad", 3, "fails")).status, 200);
    let mut template = nomad_job("template", 1, "i");
    template["Job"]["ParameterizedJob"] = json!({"Payload": "forbidden", "MetaRequired": ["route"]});
    assert_eq!(send(nomad_addr, "PUT", "/v1/jobs", &template).status, 200);
    let dispatch = json!({"Meta": {"route": "7"}, "IdempotencyToken": "t1"});
    assert_eq!(send(nomad_addr, "POST", "/v1/job/template/dispatch", &dispatch).status, 200);
    let mut periodic = nomad_job("often", 1, "i");
    periodic["Job"]["Periodic"] = json!({"Enabled": true, "Spec": "0 0 1 1 *", "SpecType": "cron"});
    assert_eq!(send(nomad_addr, "PUT", "/v1/jobs", &periodic).status, 200);
    let launched = send(nomad_addr, "POST", "/v1/job/often/periodic/force", &Value::Null);
    assert_eq!(launched.status, 200, "{}", launched.text());

    let mut records = Records { state: site.state_address, revision: 0, seen: BTreeSet::new() };
    records.read_until(&["progress", "failures"]);
    let cancelled = send(user_addr, "POST", "/submissions/j-000002/abort", &Value::Null);
    assert_eq!(cancelled.status, 200, "{}", cancelled.text());
    records.read_until(EXPECTED_KINDS);
    assert!(!records.seen.contains("unknown key"), "a key that production does not know");
}
