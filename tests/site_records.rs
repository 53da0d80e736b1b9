//! Every record that real controllers leave in the state service after work of all
//! kinds is one that the program in production reads.
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
const NOMAD: &str = include_str!("../deploy/nomad.txtpb");

fn send(a: SocketAddr, method: &str, path: &str, body: &Value) -> Response {
    send_request(a, method, path, "", &body.to_string(), Duration::from_secs(20))
        .unwrap_or_else(|| panic!("{method} {path}: no answer"))
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < LIMIT, "{what}: not in time");
        std::thread::sleep(Duration::from_millis(30));
    }
}

fn native(number: u64, manner: &str, tasks: u32) -> Value {
    json!({"ref": format!("j-{number:06}"), "lot": "l", "crew": "default", "manner": manner, "rank": "high",
        "pieces": tasks, "cpus": 0.5, "gpus": 0, "memory_gb": 0.5, "bundle": "i", "image_gb": 0.1,
        "builds": ["big", "small"], "yard": "east", "same_place": false, "apart": false, "loaners": true,
        "guess_s": 100, "mark_s": 10, "stow_s": 1, "due_s": 900.5})
}

fn nomad(id: &str, count: u32, image: &str) -> Value {
    json!({"Job": {"ID": id, "Name": id, "Type": "batch", "TaskGroups": [{"Name": "g", "Count": count,
        "RestartPolicy": {"Attempts": 1, "Mode": "fail"}, "ReschedulePolicy": {"Attempts": 1},
        "Tasks": [{"Name": "t", "Driver": "docker", "Config": {"image": image},
            "Resources": {"CPU": 1000, "MemoryMB": 256}}]}]}})
}

/// All sorts of records that a site without cuts writes in the time of a test; launches by
/// cron come once a minute.
const SORTS: &[&str] = &[
    "job",
    "done",
    "cancelled",
    "settled",
    "failed",
    "progress",
    "failures",
    "machines",
    "leader",
    "term",
    "books",
    "hire",
    "nomad head",
    "nomad part",
    "nomad token",
];

/// A record's sort, by words of this test's own.
fn sort(key: &str, record: &Record) -> &'static str {
    match record {
        Record::Job { .. } => "job",
        Record::End { done: true, .. } => "done",
        Record::End { fully_stopped: false, cause: None, .. } => "cancelled",
        Record::End { fully_stopped: true, .. } => "settled",
        Record::End { .. } => "failed",
        Record::Progress { .. } => "progress",
        Record::Failures { .. } => "failures",
        Record::Machines { .. } => "machines",
        Record::Leader { .. } => "leader",
        Record::Term(_) => "term",
        Record::PlacementReplicas { .. } => "books",
        Record::RelayedMessage { .. } => "mail",
        Record::NomadHead(_) => "nomad head",
        Record::NomadPart(_) => "nomad part",
        Record::NomadLaunch(_) => "nomad launch",
        Record::NomadToken(_) => "nomad token",
        Record::Ignored if key == "g/hire" => "hire",
        Record::Ignored => "passed over",
    }
}

/// What the state service was told, read as production reads it.
struct Records {
    state: SocketAddr,
    /// Changes up to this revision were read.
    revision: u64,
    seen: BTreeSet<&'static str>,
}

impl Records {
    /// Reads every change since the last time.
    fn read_changes(&mut self) {
        let path = format!("/follow?prefix=g/&from={}&hold_ms=0", self.revision);
        let news: WatchResponse =
            serde_json::from_slice(&send(self.state, "GET", &path, &Value::Null).body).unwrap();
        self.revision = news.revision;
        for event in news.events {
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
        self.seen.insert(sort(key, &record));
    }

    /// Reads on until all of these sorts were there.
    fn read_until(&mut self, wanted: &[&'static str]) {
        let start = Instant::now();
        loop {
            self.read_changes();
            let missing: Vec<_> = wanted.iter().filter(|sort| !self.seen.contains(*sort)).collect();
            if missing.is_empty() {
                return;
            }
            assert!(start.elapsed() < LIMIT, "not in time: {missing:?}; seen: {:?}", self.seen);
            std::thread::sleep(Duration::from_millis(30));
        }
    }
}

#[test]
fn all_records_of_a_site_are_read_by_production() {
    // The team's limit lets an array go on for long enough that its progress is recorded.
    let teams = vec![("default".to_owned(), 20.0)];
    let options = Options { operator: NOMAD.into(), time_scale: 0.02, teams, ..Options::default() };
    let site = Site::start(&options).unwrap();
    assert!(site.wait_until_ready(Duration::from_secs(30)), "not ready");
    let (user, guest) = (site.user_addresses[0], site.nomad_addresses[0]);
    let submit = |job: &Value| send(user, "POST", "/submissions", job).status;
    until("accepted", || submit(&native(1, "array", 40)) == 201);
    assert_eq!(submit(&native(2, "standing", 2)), 201);
    assert_eq!(submit(&native(3, "array", 200)), 201);
    until("registered", || send(guest, "PUT", "/v1/jobs", &nomad("good", 2, "i")).status == 200);
    assert_eq!(send(guest, "PUT", "/v1/jobs", &nomad("good", 3, "i2")).status, 200);
    assert_eq!(send(guest, "PUT", "/v1/jobs", &nomad("bad", 3, "fails")).status, 200);
    let mut template = nomad("template", 1, "i");
    template["Job"]["ParameterizedJob"] = json!({"Payload": "forbidden", "MetaRequired": ["route"]});
    assert_eq!(send(guest, "PUT", "/v1/jobs", &template).status, 200);
    let dispatch = json!({"Meta": {"route": "7"}, "IdempotencyToken": "t1"});
    assert_eq!(send(guest, "POST", "/v1/job/template/dispatch", &dispatch).status, 200);
    let mut often = nomad("often", 1, "i");
    often["Job"]["Periodic"] = json!({"Enabled": true, "Spec": "0 0 1 1 *", "SpecType": "cron"});
    assert_eq!(send(guest, "PUT", "/v1/jobs", &often).status, 200);
    let forced = send(guest, "POST", "/v1/job/often/periodic/force", &Value::Null);
    assert_eq!(forced.status, 200, "{}", forced.text());

    let mut records = Records { state: site.state_address, revision: 0, seen: BTreeSet::new() };
    records.read_until(&["progress", "failures"]);
    let cancelled = send(user, "POST", "/submissions/j-000002/abort", &Value::Null);
    assert_eq!(cancelled.status, 200, "{}", cancelled.text());
    records.read_until(SORTS);
    assert!(!records.seen.contains("passed over"), "a key that production doesn't know");
}
