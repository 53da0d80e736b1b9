//! The Nomad interface over the stand-in of the state service, without a network: for tests that
//! need a certain order of events, and for arbitrary requests.
use super::*;
use gorseshore_core::extension::{Answer, Extension, ExtensionContext, ExtensionInput, ExtensionOutput};
use gorseshore_core::jobs::{StateReplica, keys};
use gorseshore_nomad::service::Service;
use gorseshore_protocol::state::{Listing, Precondition, Transaction, WatchResponse};
use gorseshore_settings::Team;

const LEADER: &str = "g/leader";

/// The state service, and the Nomad interface of one controller.
struct NomadHarness {
    state: StateService,
    service: Service,
    state_replica: StateReplica,
    flavors: Vec<Flavor>,
    teams: Vec<Team>,
    now: Micros,
    wall_ms: u64,
    leads: bool,
    /// Keeps the leader's writes in `held` instead of executing them.
    hold_writes: bool,
    held: Vec<Transaction>,
    answers: Vec<(RequestId, Answer)>,
    next: u64,
}

impl NomadHarness {
    fn new(wall_ms: u64) -> Self {
        let mut state = StateService::with_limits(1e9, 24, 4.0);
        let m = json!({"when": [], "writes": [{"put": LEADER, "v": {"node": "n0", "term": 1, "lease": 1}}]});
        state.request("POST", "/multi", m.to_string().as_bytes(), 0);
        let settings = nomad::operator().nomad.unwrap();
        let team =
            |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
        let mut h = NomadHarness {
            state,
            service: Service::new(settings, 1),
            state_replica: StateReplica::default(),
            flavors: World::flavors(),
            teams: vec![team("free"), team("tight")],
            now: Micros::secs(1),
            wall_ms,
            leads: true,
            hold_writes: false,
            held: Vec::new(),
            answers: Vec::new(),
            next: 1,
        };
        h.service.reset(0);
        h.catch_up();
        h.advance(3);
        h
    }

    /// Starts another process, which knows only what is recorded.
    fn restart(&mut self, seed: u64) {
        self.service = Service::new(nomad::operator().nomad.unwrap(), seed);
        self.state_replica = StateReplica::default();
        self.service.reset(0);
        self.held.clear();
        self.catch_up();
        self.advance(3);
    }

    fn catch_up(&mut self) {
        let from = self.state_replica.applied_revision;
        let path = format!("/follow?prefix=g/&from={from}&hold_ms=0");
        let Outcome::Answer(_, body) = self.state.request("GET", &path, b"", 0) else { panic!() };
        let watched: WatchResponse = serde_json::from_slice(&body).unwrap();
        for e in watched.events {
            let (key, v) = match (&e.put, &e.remove) {
                (Some(k), _) => (k, Some(&e.value)),
                (None, Some(k)) => (k, None),
                _ => continue,
            };
            let change = self.state_replica.apply(key, v, e.revision);
            if let Some(name) = key.strip_prefix(keys::EXTENSION_PREFIX) {
                self.service.apply(name, v, e.revision);
            } else if let gorseshore_core::jobs::Change::Job { id, .. } = change {
                self.service.job_changed(id, e.revision);
            }
        }
        self.state_replica.applied_revision = watched.revision;
    }

    fn execute(&mut self, m: &Transaction) -> CallResult {
        let body = serde_json::to_vec(m).unwrap();
        let Outcome::Answer(status, body) = self.state.request("POST", "/multi", &body, 0) else { panic!() };
        CallResult::Response { status, body }
    }

    fn input(&mut self, input: ExtensionInput) {
        let mut inputs = std::collections::VecDeque::from([input]);
        while let Some(i) = inputs.pop_front() {
            let host = ExtensionContext {
                now: self.now,
                wall_ms: self.wall_ms,
                replica: &self.state_replica,
                running: &BTreeMap::new(),
                flavors: &self.flavors,
                teams: &self.teams,
                state_loaded: true,
                state_unavailable: false,
                leads: self.leads,
                leader: Some("n0"),
                node_name: "n0",
                max_value_bytes: 4000,
                max_txn_writes: 24,
            };
            for o in self.service.handle(&host, i) {
                match o {
                    ExtensionOutput::Answer(id, a) => self.answers.push((id, a)),
                    ExtensionOutput::Open(..) | ExtensionOutput::Chunk(..) | ExtensionOutput::Close(_) => {}
                    ExtensionOutput::ReadBarrier(t) => {
                        self.catch_up();
                        inputs.push_back(ExtensionInput::ReplicaUpdated);
                        inputs.push_back(ExtensionInput::ReadBarrierDone(t, true));
                    }
                    ExtensionOutput::Read(t, prefix) => {
                        let mut all = Listing { entries: Vec::new(), truncated: true, revision: 0 };
                        while all.truncated {
                            let from =
                                all.entries.last().map_or(String::new(), |p| format!("&from={}", p.key));
                            let path = format!("/store?prefix=g/n/{prefix}&limit=1000{from}");
                            let Outcome::Answer(_, body) = self.state.request("GET", &path, b"", 0) else {
                                panic!()
                            };
                            let page: Listing = serde_json::from_slice(&body).unwrap();
                            all.truncated = page.truncated;
                            all.entries.extend(page.entries);
                        }
                        let body = serde_json::to_vec(&all).unwrap();
                        inputs.push_back(ExtensionInput::OperationCompleted(
                            t,
                            CallResult::Response { status: 200, body },
                        ));
                    }
                    ExtensionOutput::Write { ticket, mut multi, as_leader } => {
                        if as_leader {
                            multi.preconditions.push(Precondition {
                                key: LEADER.into(),
                                revision: self.state.key_revision(LEADER),
                            });
                        }
                        if as_leader && self.hold_writes {
                            self.held.push(multi);
                            continue;
                        }
                        let r = self.execute(&multi);
                        self.catch_up();
                        inputs.push_back(ExtensionInput::ReplicaUpdated);
                        inputs.push_back(ExtensionInput::OperationCompleted(ticket, r));
                    }
                }
            }
        }
    }

    /// Advances the time by whole seconds, with a tick every half second.
    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds * 2 {
            self.now = self.now + Micros::millis(500);
            self.wall_ms += 500;
            self.input(ExtensionInput::Tick);
        }
    }

    /// Sends a request and returns its answer, or `None` while it waits.
    fn request(&mut self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let id = RequestId(self.next);
        self.next += 1;
        let (method, path, body) = (method.to_owned(), path.to_owned(), body.as_bytes().to_vec());
        self.input(ExtensionInput::Request { id, method, path, token: None, body });
        let at = self.answers.iter().position(|(i, _)| *i == id)?;
        let (_, a) = self.answers.remove(at);
        Some((a.status, String::from_utf8_lossy(&a.body).into_owned()))
    }

    fn put(&mut self, job: &Value) -> u16 {
        self.request("PUT", "/v1/jobs", &job.to_string()).unwrap().0
    }

    fn launches(&self) -> Vec<u64> {
        let heads = self.state.keys_with_prefix("g/n/j/").into_iter().filter_map(|n| self.state.value(&n));
        let mut times: Vec<u64> =
            heads.filter_map(|h| h["id"].as_str()?.split_once("/periodic-")?.1.parse().ok()).collect();
        times.sort();
        times
    }
}

fn job_file(id: &str, image: &str, more: Value) -> Value {
    let mut j = json!({"ID": id, "Type": "batch", "TaskGroups": [{"Name": "g", "Count": 2, "Tasks":
        [{"Name": "t", "Driver": "docker", "Config": {"image": image}, "Resources": {"Cores": 1}}]}]});
    j.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
    json!({ "Job": j })
}

/// Guards against a late write of the leader for a job version that was replaced meanwhile: it must
/// change nothing, or else both versions would run.
#[test]
fn a_late_write_for_an_older_version_changes_nothing() {
    let mut h = NomadHarness::new(1_700_000_000_000);
    h.hold_writes = true;
    assert_eq!(h.put(&job_file("j", "one", json!({}))), 200);
    h.advance(2);
    assert!(!h.held.is_empty(), "the leader writes no native job");
    let late = std::mem::take(&mut h.held);
    // Another controller accepts the next version; then the leader creates its native job.
    (h.hold_writes, h.leads) = (false, false);
    h.restart(2);
    assert_eq!(h.put(&job_file("j", "two", json!({}))), 200);
    h.leads = true;
    h.advance(2);
    let natives = h.state.keys_with_prefix("g/j/");
    assert_eq!(natives.len(), 1);
    for m in &late {
        let r = h.execute(m);
        assert!(matches!(r, CallResult::Response { status: 409, .. }), "{r:?}");
    }
    assert_eq!(h.state.keys_with_prefix("g/j/"), natives, "not only the newer version's job is stored");
    // The same for a job that was stopped.
    h.hold_writes = true;
    assert_eq!(h.put(&job_file("k", "one", json!({}))), 200);
    h.advance(2);
    let late = std::mem::take(&mut h.held);
    h.leads = false;
    assert_eq!(h.request("DELETE", "/v1/job/k", "").unwrap().0, 200);
    assert!(!late.is_empty());
    for m in &late {
        assert!(matches!(h.execute(m), CallResult::Response { status: 409, .. }));
    }
    assert_eq!(h.state.keys_with_prefix("g/j/"), natives);
}

/// Each launch of a periodic job is made once through clock steps, restarts and repeated checks; of
/// missed launches only the last one is made up for.
#[test]
fn periodic_launches_are_made_once_through_clock_steps() {
    // 2026-11-28 10:00:30 UTC.
    let start = 1_795_860_030_000;
    let mut h = NomadHarness::new(start);
    assert_eq!(h.put(&job_file("p", "i", json!({"Periodic": {"Specs": ["*/10 * * * *"]}}))), 200);
    let at = |minute: u64| 1_795_860_000 + minute * 60;
    // (what happens, launches after it, in minutes from 10:00)
    type Step = (&'static str, fn(&mut NomadHarness), &'static [u64]);
    let steps: [Step; 9] = [
        ("nothing is due", |h| h.advance(60), &[]),
        ("ten past", |h| h.advance(600), &[10]),
        ("checked repeatedly", |h| h.advance(60), &[10]),
        ("a restart", |h| h.restart(5), &[10]),
        ("the clock is set back by half an hour", |h| h.wall_ms -= 1_800_000, &[10]),
        ("time passes after the step back", |h| h.advance(1500), &[10]),
        ("the clock is set forward by two hours", |h| h.wall_ms += 7_200_000, &[10]),
        ("only the last missed launch is made up for", |h| h.advance(5), &[10, 120]),
        (
            "no leader for an hour",
            |h| {
                h.leads = false;
                h.advance(3600);
                h.leads = true;
                h.advance(5);
            },
            &[10, 120, 180],
        ),
    ];
    for (case, action, expected) in steps {
        action(&mut h);
        let expected: Vec<u64> = expected.iter().map(|m| at(*m)).collect();
        assert_eq!(h.launches(), expected, "{case}, at {}", (h.wall_ms - start) / 60_000);
    }
}

/// A blocking query with the index of the last answer waits until its own job changes or its wait
/// time ends, and does not return for changes of other jobs.
#[test]
fn a_blocking_query_waits_for_its_own_job() {
    let mut h = NomadHarness::new(1_700_000_000_000);
    assert_eq!(h.put(&job_file("j", "one", json!({}))), 200);
    h.advance(3);
    // (what happens meanwhile, whether the query is answered by then)
    type Step = (&'static str, fn(&mut NomadHarness), bool);
    let steps: [Step; 4] = [
        ("nothing", |h| h.advance(3), false),
        ("its wait time ends", |h| h.advance(11), true),
        ("another job", |h| assert_eq!(h.put(&job_file("other", "x", json!({}))), 200), false),
        ("the job itself", |h| assert_eq!(h.put(&job_file("j", "two", json!({}))), 200), true),
    ];
    for (case, action, answered) in steps {
        h.advance(3);
        assert_eq!(h.request("GET", "/v1/job/j/summary", "").unwrap().0, 200);
        let index = h.state_replica.applied_revision;
        let answer = h.request("GET", &format!("/v1/job/j/summary?index={index}&wait=10s"), "");
        assert!(answer.is_none(), "{case}: answered at once: {answer:?}");
        h.answers.clear();
        action(&mut h);
        let has_answer = h.answers.iter().any(|(_, a)| String::from_utf8_lossy(&a.body).contains("Summary"));
        assert_eq!(has_answer, answered, "{case}");
        h.advance(12);
        h.answers.clear();
    }
}

/// Random requests in random order: nothing panics, and each is answered once with a status of the
/// interface, or waits because the request asked for it.
#[test]
fn random_requests_are_answered() {
    let mut rng = fastrand::Rng::with_seed(7);
    let seeds: u64 = std::env::var("DESK_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(6);
    let (mut requested, mut good) = (0, 0);
    for seed in 0..seeds {
        let mut h = NomadHarness::new(1_700_000_000_000 + seed * 86_400_000);
        for _ in 0..250 {
            let id = ["a", "b", "a%2Fb", "%00", "a/periodic-1", "", "é"][rng.usize(0..7)];
            let verb = [
                "",
                "/scale",
                "/dispatch",
                "/plan",
                "/evaluate",
                "/summary",
                "/versions",
                "/allocations",
                "/periodic/force",
                "/evaluations",
                "/nonsense",
            ][rng.usize(0..11)];
            let path = match rng.u32(0..8) {
                0 => [
                    "/v1/jobs",
                    "/v1/jobs/parse",
                    "/v1/validate/job",
                    "/v1/allocations",
                    "/v1/evaluations",
                    "/v1/nodes",
                    "/v1/agent/self",
                    "/",
                    "/v1/",
                    "/v1/job//x",
                    "/v1/event/stream",
                    "/v1/allocation/x",
                ][rng.usize(0..12)]
                .to_owned(),
                1 => "/v1/jobs".into(),
                _ => format!("/v1/job/{id}{verb}"),
            };
            let query = [
                "",
                "?",
                "?prefix=a&per_page=1",
                "?per_page=-1",
                "?index=1&wait=1ms",
                "?index=99999999&wait=-1s",
                "?namespace=%2a",
                "?purge=true",
                "?next_token=%ff",
                "?index=18446744073709551616",
            ][rng.usize(0..10)];
            let body = match rng.u32(0..9) {
                0 => String::new(),
                1 => "{".into(),
                2 => json!({"Count": rng.u32(0..5), "Target": {"Group": "g"}}).to_string(),
                3 => json!({"Meta": {"k": "v"}, "Payload": "aGk="}).to_string(),
                4 => job_file("a", "i", json!({"Periodic": {"Specs": ["@hourly"]}})).to_string(),
                5 => job_file("b", "i", json!({"ParameterizedJob": {"MetaRequired": ["k"]}})).to_string(),
                6 => json!({"JobHCL": "job \"x\" {\n}\n", "Variables": 7}).to_string(),
                7 => json!({"Job": {"ID": 7, "TaskGroups": {"Name": []}}}).to_string(),
                _ => job_file(["a", "b"][rng.usize(0..2)], &format!("i{}", rng.u32(0..2)), json!({}))
                    .to_string(),
            };
            let method = ["GET", "PUT", "POST", "DELETE", "PATCH"][rng.usize(0..5)];
            let answer = h.request(method, &format!("{path}{query}"), &body);
            requested += 1;
            match answer {
                Some((s, text)) => {
                    assert!(
                        [200, 400, 403, 404, 405, 409, 429, 501, 503].contains(&s),
                        "{method} {path}{query}: {s} {text}"
                    );
                    good += (s == 200) as u32;
                }
                None => assert!(
                    query.contains("index=") || path.contains("event"),
                    "{method} {path}{query}: no answer"
                ),
            }
            if rng.u32(0..10) == 0 {
                h.advance(rng.u64(1..4));
            }
            if rng.u32(0..60) == 0 {
                h.restart(rng.u64(..));
            }
            h.answers.clear();
        }
    }
    assert!(good * 20 > requested, "{good} of {requested} were served");
}
