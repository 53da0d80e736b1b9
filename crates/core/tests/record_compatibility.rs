//! Compatibility of the records in the state service with the program in production
//! (commit dc723f6): records as production writes them are read, and records written
//! now pass its reference parser ([`production`]). Literals in this file never change
//! together with the code.
mod production;

use data_encoding::BASE64;
use gorseshore_core::jobs::{
    Failures, Phase, StateReplica, TaskSet, job_value, keys, machines_value, parse_job_spec,
};
use gorseshore_core::node::Node;
use gorseshore_core::peer::{Envelope, Message};
use gorseshore_core::placement_log::StandbyReplicas;
use gorseshore_core::{Call, CallResult, Input, Output, Target};
use gorseshore_protocol::ids::{JobId, MachineId, Micros, NodeId};
use gorseshore_protocol::job::{JobSpec, Kind, Priority};
use gorseshore_protocol::state::{Transaction, Write};
use gorseshore_settings::{Operator, Platform};
use production::Record;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Job records of all shapes, with named fields.
const JOBS: &[(&str, &str)] = &[
    (
        "least",
        r#"{"at":1764600000123,"d":{"l":"l","t":"t","k":"array","r":"standard","n":1,"u":[1000,0,500],"i":"img-07"}}"#,
    ),
    (
        "all that a user can say",
        r#"{"at":1764600000123,"d":{"l":"train","t":"florists","k":"array","r":"high","n":100000,"u":[4000,1000,5300],
            "b":["g8","big"],"z":["east"],"o":true,"s":true,"i":"img-07","ig":1.5,"e":30.0,"c":15.0,"w":2.0,"d":900.0}}"#,
    ),
    (
        "replicas, spread, lowest and highest",
        r#"{"at":0,"d":{"l":"desk","t":"florists","k":"standing","r":"prod","n":3,"u":[1500,0,2100],"a":true,"i":"i"}}"#,
    ),
    (
        "of Nomad's form",
        r#"{"at":7,"d":{"l":"batch","t":"v","k":"array","r":"idle","n":65,"u":[1,0,1],"z":["east","west"],"i":"i",
            "f":3,"p":[{"t":"big","z":"east","w":50},{"t":"g8","z":"west","w":-100}],
            "x":[1000000000000000007,1000000000000000008]}}"#,
    ),
    (
        "no type and no zone allowed",
        r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"idle","n":1,"u":[0,0,0],"b":[],"z":[],"i":"i","d":0.5}}"#,
    ),
];

/// Job records with a positional row, as versions before the named fields wrote them.
/// Production still reads them.
const ROWS: &[&str] = &[
    r#"{"at":77,"d":["t","v","standing","prod",3,[1500,0,2100],["g8"],"a",false,true,false,"i",0.5,0.0,0.0,0.0,null]}"#,
    r#"{"at":77,"d":["t","v","array","idle",65,[4000,1000,5300],null,null,true,false,true,"img-07",1.5,30.0,15.0,2.0,900.0]}"#,
];

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn wire_name(v: impl serde::Serialize) -> String {
    serde_json::to_value(v).unwrap().as_str().unwrap().to_owned()
}

/// Converts a job specification to the form that production's parser returns.
fn to_production_job(s: &JobSpec) -> production::Job {
    production::Job {
        class: s.class.clone(),
        team: s.team.clone(),
        kind: wire_name(s.kind),
        priority: wire_name(s.priority),
        tasks: s.tasks,
        task_resources: [s.task_resources.cpu, s.task_resources.gpu, s.task_resources.mem],
        types: s.machine_types.clone(),
        zones: s.zones.clone(),
        one_zone: s.one_zone,
        spread: s.spread,
        spot: s.spot,
        image: s.image.clone(),
        image_gb: s.image_gb,
        estimate_s: s.estimated_runtime_s,
        checkpoint_s: s.checkpoint_interval_s,
        save_s: s.checkpoint_save_s,
        deadline_s: s.deadline_s,
        attempts: s.max_attempts,
        prefer: s.preferences.iter().map(|p| (p.machine_type.clone(), p.zone.clone(), p.weight)).collect(),
        after: s.replaces.iter().map(|j| j.0).collect(),
    }
}

fn production_job(record: &Value) -> production::Job {
    match production::read("g/j/j-000412", record) {
        Ok(Record::Job { id: 412, job, .. }) => *job,
        other => panic!("{other:?}"),
    }
}

fn replica(rows: &[(&str, &str)]) -> StateReplica {
    let mut replica = StateReplica::default();
    for (i, (key, text)) in rows.iter().enumerate() {
        replica.apply(key, Some(&parse(text)), 10 + i as u64);
    }
    replica
}

/// Checks the reference parser itself against one record whose fields were determined by hand.
#[test]
fn the_reference_parser_reads_a_record_checked_by_hand() {
    let (_, text) = JOBS[3];
    let job = production_job(&parse(text));
    assert_eq!((job.class.as_str(), job.team.as_str(), job.tasks), ("batch", "v", 65));
    assert_eq!((job.kind.as_str(), job.priority.as_str(), job.task_resources), ("array", "idle", [1, 0, 1]));
    assert_eq!(job.zones, Some(vec!["east".to_owned(), "west".to_owned()]));
    assert_eq!(job.prefer[1], ("g8".to_owned(), "west".to_owned(), -100));
    assert_eq!((job.attempts, job.after.len()), (Some(3), 2));
    for invalid in [
        r#"{"at":7}"#,
        r#"{"at":7,"d":[]}"#,
        r#"{"at":7,"d":{"l":"l"}}"#,
        r#"{"at":7,"d":{"l":"l","t":"t","k":"other","r":"idle","n":1,"u":[0,0,0],"i":"i"}}"#,
        r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"idle","n":1,"u":[0,0],"i":"i"}}"#,
        r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"idle","n":1,"u":[0,0,0],"i":"i","x":["j-000001"]}}"#,
    ] {
        assert!(production::read("g/j/j-000412", &parse(invalid)).is_err(), "{invalid}");
    }
}

#[test]
fn job_records_of_production_round_trip() {
    for (name, text) in JOBS {
        let record = parse(text);
        let replica = replica(&[("g/j/j-000412", text)]);
        let job = &replica.jobs[&JobId(412)];
        let spec = job.spec.as_deref().unwrap_or_else(|| panic!("{name}: lost"));
        assert_eq!(Some(job.submitted_ms), record["at"].as_u64(), "{name}");
        assert_eq!((job.phase, job.tasks, job.revision), (Phase::Active, spec.tasks, 10), "{name}");
        assert_eq!(to_production_job(spec), production_job(&record), "{name}");
        assert_eq!(parse_job_spec(JobId(412), &record).as_ref(), Some(spec), "{name}");
        assert_eq!(job_value(spec, job.submitted_ms), record, "{name}");
    }
}

#[test]
fn positional_rows_are_read_and_rewritten_with_named_fields() {
    for text in ROWS {
        let record = parse(text);
        let spec = parse_job_spec(JobId(412), &record).expect(text);
        let expected = production_job(&record);
        assert_eq!(to_production_job(&spec), expected, "{text}");
        assert_eq!(production_job(&job_value(&spec, 77)), expected, "{text}");
    }
}

#[test]
fn all_kinds_and_priorities_keep_productions_wire_names() {
    let kinds = [(Kind::Array, "array"), (Kind::Service, "standing")];
    let priorities = [
        (Priority::Low, "idle"),
        (Priority::Normal, "standard"),
        (Priority::High, "high"),
        (Priority::Production, "prod"),
    ];
    kinds.iter().for_each(|(k, expected)| assert_eq!(wire_name(k), *expected));
    priorities.iter().for_each(|(p, expected)| assert_eq!(wire_name(p), *expected));
}

#[test]
fn end_records_of_production_are_read() {
    // (record, phase, fully_stopped, cause)
    let ends = [
        (r#"{"end":"done","at":5}"#, Phase::Done, false, None),
        (r#"{"end":"aborted","at":5}"#, Phase::Cancelled, false, None),
        (r#"{"end":"aborted","at":5,"gone":true}"#, Phase::Cancelled, true, None),
        (
            r#"{"end":"aborted","at":5,"why":"attempts used up: task 3 failed 2 times"}"#,
            Phase::Cancelled,
            false,
            Some("attempts used up: task 3 failed 2 times"),
        ),
        (r#"{"end":"aborted","at":5,"gone":true,"why":"w"}"#, Phase::Cancelled, true, Some("w")),
    ];
    for (text, phase, fully_stopped, cause) in ends {
        let replica = replica(&[("g/j/j-000412", JOBS[0].1), ("g/x/j-000412", text)]);
        let job = &replica.jobs[&JobId(412)];
        let read = (job.phase, job.ended_ms, job.end_revision, job.fully_stopped, job.cause.as_deref());
        assert_eq!(read, (phase, 5, 11, fully_stopped, cause), "{text}");
        let expected = Record::End {
            id: 412,
            done: phase == Phase::Done,
            at_ms: 5,
            fully_stopped,
            cause: cause.map(str::to_owned),
        };
        assert_eq!(production::read("g/x/j-000412", &parse(text)), Ok(expected), "{text}");
    }
}

#[test]
fn progress_records_of_production_round_trip() {
    // (chunk, record, tasks)
    let chunks: [(u32, &str, Vec<u32>); 4] = [
        (0, "", vec![]),
        (0, "9", vec![0, 3]),
        (0, "8000000000000000,0,1", vec![63, 128]),
        (1, "ffffffffffffffff,2", (8192..8256).chain([8257]).collect()),
    ];
    for (chunk, text, tasks) in chunks {
        let key = format!("g/p/j-000412/{chunk}");
        assert_eq!(keys::progress(JobId(412), chunk), key);
        let value = json!(text);
        let replica = replica(&[("g/j/j-000412", JOBS[1].1), (&key, &value.to_string())]);
        let job = &replica.jobs[&JobId(412)];
        let mut set = TaskSet::default();
        tasks.iter().for_each(|t| assert!(set.insert(*t)));
        assert!(tasks.iter().all(|t| job.done.contains(*t)), "{text}");
        assert_eq!(
            (job.done.len() as usize, job.progress_revisions.get(&chunk)),
            (tasks.len(), Some(&11)),
            "{text}"
        );
        assert_eq!(set.chunk_text(chunk), text);
        let expected = Record::Progress { id: 412, chunk, tasks };
        assert_eq!(production::read(&key, &value), Ok(expected), "{text}");
    }
}

#[test]
fn failure_records_of_production_round_trip() {
    let text = r#"{"2":{"n":3,"a":1879048193},"63":{"n":1,"a":1879048199}}"#;
    let failures: BTreeMap<u32, Failures> = BTreeMap::from([
        (2, Failures { count: 3, last_attempt: 1_879_048_193 }),
        (63, Failures { count: 1, last_attempt: 1_879_048_199 }),
    ]);
    let replica = replica(&[("g/j/j-000412", JOBS[3].1), ("g/r/j-000412/0", text)]);
    let job = &replica.jobs[&JobId(412)];
    assert_eq!((&job.failures, job.failure_revisions.get(&0)), (&failures, Some(&11)));
    assert_eq!(keys::failures(JobId(412), 0), "g/r/j-000412/0");
    assert_eq!(json!(failures), parse(text));
    let tasks = failures.iter().map(|(task, f)| (*task, (f.count, f.last_attempt))).collect();
    let expected = Record::Failures { id: 412, chunk: 0, tasks };
    assert_eq!(production::read("g/r/j-000412/0", &json!(failures)), Ok(expected));
}

#[test]
fn machine_records_of_production_round_trip() {
    let batch = r#"{"t":"big","z":"east","s":true,"m":[["host-000001","10.0.0.1:80"],["host-000002","10.0.0.2:80"]]}"#;
    let single = r#"{"t":"g8","z":"west","s":false,"a":"10.0.0.3:80"}"#;
    let replica = replica(&[("g/h/host-000001", batch), ("g/m/host-000003", single)]);
    // (name, type, zone, spot, address)
    for (name, machine_type, zone, spot, addr) in [
        ("host-000001", "big", "east", true, "10.0.0.1:80"),
        ("host-000002", "big", "east", true, "10.0.0.2:80"),
        ("host-000003", "g8", "west", false, "10.0.0.3:80"),
    ] {
        let m = &replica.machines[&MachineId::from(name)];
        assert_eq!(
            (&*m.machine_type, &*m.zone, m.spot, &*m.addr),
            (machine_type, zone, spot, addr),
            "{name}"
        );
    }
    let ids = ["host-000001", "host-000002"].map(MachineId::from);
    assert_eq!(keys::machines(&ids[0]), "g/h/host-000001");
    let written = machines_value(("big", "east", true), ids.iter().zip(["10.0.0.1:80", "10.0.0.2:80"]));
    assert_eq!(written, parse(batch));
    let machines = [("host-000001", "10.0.0.1:80"), ("host-000002", "10.0.0.2:80")];
    let expected = Record::Machines {
        kind: ("big".into(), "east".into(), true),
        machines: machines.map(|(name, addr)| (name.to_owned(), addr.to_owned())).to_vec(),
    };
    assert_eq!(production::read("g/h/host-000001", &written), Ok(expected));
}

#[test]
fn leader_term_and_placement_replica_records_of_production_are_read() {
    let replica = replica(&[
        ("g/leader", r#"{"node":"n1","term":7,"lease":42}"#),
        ("g/term", "7"),
        ("g/books", r#"{"term":6,"led":7,"nodes":[["n0",451737600031523],["n2",9]]}"#),
    ]);
    let (leader, revision) = replica.leader.clone().expect("leader");
    assert_eq!((leader.node.as_str(), leader.term, leader.lease, revision), ("n1", 7, 42, 10));
    assert_eq!(replica.term, (7, 11));
    let standby_replicas = StandbyReplicas {
        term: 6,
        last_leader_term: 7,
        nodes: vec![("n0".into(), 451_737_600_031_523), ("n2".into(), 9)],
    };
    assert_eq!(replica.standby_replicas, (standby_replicas.clone(), 12));

    // (key, value written now, record that production reads)
    let written = [
        ("g/leader", json!(leader), Record::Leader { node: "n1".into(), term: 7, lease: 42 }),
        (
            "g/books",
            json!(standby_replicas),
            Record::PlacementReplicas { term: 6, led: 7, nodes: standby_replicas.nodes.clone() },
        ),
        (
            "g/books",
            json!(standby_replicas.for_new_term(8)),
            Record::PlacementReplicas { term: 6, led: 8, nodes: standby_replicas.nodes.clone() },
        ),
        (
            "g/books",
            json!(standby_replicas.for_new_term(9)),
            Record::PlacementReplicas { term: 0, led: 9, nodes: vec![] },
        ),
        ("g/term", json!(8), Record::Term(8)),
        // Id of the last rental request; production never reads it.
        ("g/hire", json!("7-12"), Record::Ignored),
    ];
    for (key, value, expected) in written {
        assert_eq!(production::read(key, &value), Ok(expected), "{key}");
    }
}

/// Fields, keys and key spaces that later versions may add change nothing.
#[test]
fn unknown_fields_keys_and_key_spaces_are_ignored() {
    let known = [
        ("g/j/j-000412", JOBS[1].1),
        ("g/j/j-000413", JOBS[1].1),
        ("g/x/j-000413", r#"{"end":"done","at":5}"#),
    ];
    let later_job = {
        let mut v = parse(JOBS[1].1);
        v["later"] = json!([1]);
        v["d"]["later"] = json!({"a": 1});
        v.to_string()
    };
    let with_unknown = [
        ("g/d/j-000412/0", "[1,2,3]"),
        ("g/later", "{}"),
        ("g/later/j-000412", "7"),
        ("g/j/later", "{}"),
        ("g/x/j-000413", r#"{"end":"done","at":5,"later":true}"#),
        ("g/j/j-000412", later_job.as_str()),
    ];
    let before = replica(&known);
    let mut after = replica(&known);
    for (key, text) in with_unknown {
        after.apply(key, Some(&parse(text)), 50);
    }
    assert_eq!(after.jobs.len(), before.jobs.len());
    assert_eq!(after.jobs[&JobId(412)].spec, before.jobs[&JobId(412)].spec);
    assert_eq!(after.jobs[&JobId(413)].phase, Phase::Done);
    for (key, text) in [("g/d/j-000412/0", "[1,2,3]"), ("g/later", "{}"), ("g/later/j-000412", "7")] {
        assert_eq!(production::read(key, &parse(text)), Ok(Record::Ignored), "{key}");
    }
    assert_eq!(production_job(&parse(&later_job)), production_job(&parse(JOBS[1].1)));
}

/// Recorded form of a job with dependencies: `x` holds the jobs that it replaces, followed
/// by its own id and its dependencies, and `q` is the number of dependencies in `x`. Further
/// dependencies are in `qk` keys `g/d/ID/N`, with N from 0.
struct Dependent {
    /// The job's record.
    record: &'static str,
    /// Further keys with dependencies, and their values.
    further: &'static [(&'static str, &'static str)],
    /// Jobs that must be over first according to production.
    after: &'static [u64],
    /// Jobs that the job replaces.
    replaced: &'static [u64],
    /// Jobs that the job depends on.
    depends_on: &'static [u64],
}

/// Extend this table together with each new writer of such records.
const DEPENDENTS: &[Dependent] = &[
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"idle","n":1,"u":[1,0,1],"i":"i","x":[412,411],"q":1}}"#,
        further: &[],
        after: &[412, 411],
        replaced: &[],
        depends_on: &[411],
    },
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"prod","n":9,"u":[1,0,1],"i":"i","d":900.0,
            "x":[1000000000000000007,412,410,411],"q":2}}"#,
        further: &[],
        after: &[1_000_000_000_000_000_007, 412, 410, 411],
        replaced: &[1_000_000_000_000_000_007],
        depends_on: &[410, 411],
    },
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"high","n":2,"u":[1,0,1],"i":"i","x":[412,409,410],"q":2,"qk":2}}"#,
        further: &[("g/d/j-000412/0", "[1,2,3]"), ("g/d/j-000412/1", "[999999999999999999]")],
        after: &[412, 409, 410],
        replaced: &[],
        depends_on: &[409, 410, 1, 2, 3, 999_999_999_999_999_999],
    },
    // All dependencies are in further keys.
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"high","n":2,"u":[1,0,1],"i":"i","x":[5,412],"qk":1}}"#,
        further: &[("g/d/j-000412/0", "[1]")],
        after: &[5, 412],
        replaced: &[5],
        depends_on: &[1],
    },
];

/// Decodes replaced jobs and dependencies as documented at [`Dependent`], without the code
/// under test.
fn decode_dependencies(record: &Value, further: &BTreeMap<&str, Value>) -> (Vec<u64>, Vec<u64>) {
    let numbers = |v: &Value| -> Vec<u64> { serde_json::from_value(v.clone()).unwrap() };
    let d = &record["d"];
    let mut replaced = numbers(&d["x"]);
    let in_record = d["q"].as_u64().unwrap_or(0) as usize;
    let mut depends_on = replaced.split_off(replaced.len() - in_record);
    replaced.retain(|id| *id != 412);
    for n in 0..d["qk"].as_u64().unwrap_or(0) {
        depends_on.extend(numbers(&further[format!("g/d/j-000412/{n}").as_str()]));
    }
    (replaced, depends_on)
}

#[test]
fn production_reads_jobs_with_dependencies() {
    for row in DEPENDENTS {
        let record = parse(row.record);
        let further: BTreeMap<&str, Value> = row.further.iter().map(|(k, t)| (*k, parse(t))).collect();
        let decoded = decode_dependencies(&record, &further);
        assert_eq!(decoded, (row.replaced.to_vec(), row.depends_on.to_vec()), "{}", row.record);
        // Apart from the fields `q` and `qk`, the record has production's own format.
        let job = production_job(&record);
        assert_eq!(job.after, row.after, "{}", row.record);
        // In production the job waits for itself, so it never starts.
        assert!(job.after.contains(&412), "{}", row.record);
        let mut without = record.clone();
        for name in ["q", "qk"] {
            without["d"].as_object_mut().unwrap().remove(name);
        }
        assert_eq!(production_job(&without), job, "{}", row.record);
        for (key, value) in &further {
            assert_eq!(production::read(key, value), Ok(Record::Ignored), "{key}");
        }
    }
}

#[test]
fn jobs_with_dependencies_are_read_and_written() {
    for row in DEPENDENTS {
        let record = parse(row.record);
        let mut replica = StateReplica::default();
        replica.apply("g/j/j-000412", Some(&record), 5);
        for (key, value) in row.further {
            assert!(!replica.dependencies.is_released(JobId(412)), "{key} is missing");
            replica.apply(key, Some(&parse(value)), 5);
        }
        let ids = |ids: &[u64]| ids.iter().copied().map(JobId).collect::<Vec<_>>();
        let spec = replica.jobs[&JobId(412)].spec.clone().unwrap();
        assert_eq!(spec.replaces, ids(row.replaced), "{}", row.record);
        assert_eq!(replica.dependencies.dependencies(JobId(412)), ids(row.depends_on), "{}", row.record);
        if row.further.is_empty() {
            assert_eq!(job_value(&spec, 7)["d"]["x"], record["d"]["x"], "{}", row.record);
            assert_eq!(job_value(&spec, 7)["d"]["q"], record["d"]["q"], "{}", row.record);
        }
    }
}

#[test]
fn production_reads_ends_of_jobs_cancelled_with_a_dependency() {
    let end = parse(r#"{"end":"aborted","at":1764600000123,"gone":true}"#);
    let expected =
        Record::End { id: 412, done: false, at_ms: 1_764_600_000_123, fully_stopped: true, cause: None };
    assert_eq!(production::read("g/x/j-000412", &end), Ok(expected));
}

/// A message that production relayed through the state service in two parts.
const RELAYED_PARTS: [(&str, &str); 2] = [
    ("g/c/n1/n0/0", r#"[72623859790382856,4,0,2,"BQMIBwYFBAMCAQkHAAAAAAAAA"]"#),
    ("g/c/n1/n0/1", r#"[72623859790382856,4,1,2,"OgDAAAAAAAA"]"#),
];

#[test]
fn the_reference_parser_reads_relayed_messages() {
    let message = Message::PlacementLogAck { term: 7, seq: 1000 };
    let expected = Envelope { from: NodeId(3), incarnation: 0x0102_0304_0506_0708, message };
    assert_eq!(
        reassemble(RELAYED_PARTS.iter().map(|(key, text)| ((*key).to_owned(), parse(text)))),
        vec![expected]
    );
}

/// Reassembles relayed messages from their parts as production does.
fn reassemble(rows: impl Iterator<Item = (String, Value)>) -> Vec<Envelope> {
    let mut envelopes = Vec::new();
    let mut text = String::new();
    for (key, value) in rows {
        let Ok(Record::RelayedMessage { part, parts, text: part_text, .. }) = production::read(&key, &value)
        else {
            panic!("{key}: {value}");
        };
        if part == 0 {
            text.clear();
        }
        text += &part_text;
        if part + 1 == parts {
            let packed = BASE64.decode(text.as_bytes()).unwrap();
            envelopes.push(Envelope::from_bytes(&packed).expect("an envelope of production's version"));
        }
    }
    envelopes
}

/// A controller with a state service of fixed content. It receives no messages from other
/// controllers.
struct IsolatedController {
    node: Node,
    now: Micros,
    rows: Vec<(String, Value)>,
    /// Keys and values that it wrote to the state service, in order.
    puts: Vec<(String, Value)>,
}

impl IsolatedController {
    fn start(rows: &[(&str, &str)]) -> Self {
        let settings = "host_name = \"n0\"\ndomain = \"east\"\npublic_addr = \"127.0.0.1:1\"\n\
            cluster_listen = \"127.0.0.1:2\"\n[[peers]]\nhost_name = \"n1\"\ndomain = \"west\"\n\
            peer_addr = \"127.0.0.1:3\"\n[endpoints]\ncloud = \"127.0.0.1:4\"\nstate = \"127.0.0.1:5\"\n\
            [deployment]\nzones = [\"east\", \"west\"]\n[[deployment.teams]]\nname = \"t\"\ncpus_max = 0.0\n\
            [deployment.workers]\nreport_s = 2.0\nlease_s = 12.0\ncancel_s = 30.0\n\
            [deployment.state]\nrps = 200.0\nwrite_rps = 200.0\nvalue_kb = 1.0\ntxn_ops = 8\n\
            [deployment.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n";
        let platform = Platform::parse(settings).expect("settings");
        let now = Micros::secs(1);
        let node = Node::new(&platform, Operator::default(), 1, 1_000, now);
        let rows = rows.iter().map(|(key, text)| ((*key).to_owned(), parse(text))).collect();
        IsolatedController { node, now, rows, puts: Vec::new() }
    }

    fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Micros::millis(20);
            let mut outputs = self.input(Input::Tick);
            while let Some(output) = outputs.pop() {
                if let Output::Call { id, call } = output
                    && let Some(result) = self.answer(&call)
                {
                    outputs.extend(self.input(Input::CallCompleted { id, result }));
                }
            }
        }
    }

    fn input(&mut self, input: Input) -> Vec<Output> {
        self.node.handle(self.now, 1_764_600_000_000 + self.now.0 / 1000, input)
    }

    /// The state service's response. A watch gets none, because nothing changes.
    fn answer(&mut self, call: &Call) -> Option<CallResult> {
        if call.target != Target::State {
            return Some(CallResult::NotSent);
        }
        let revision = 100 + self.puts.len() as u64;
        let body = match call.path.as_str() {
            path if path.starts_with("/store") => {
                let pair = |(key, v): &(String, Value)| json!({"path": key, "v": v, "stamp": 50});
                let pairs: Vec<Value> = self.rows.iter().map(pair).collect();
                json!({"pairs": pairs, "ledger": 100})
            }
            path if path.starts_with("/follow") && path.ends_with("hold_ms=10000") => return None,
            path if path.starts_with("/follow") => json!({"news": [], "ledger": revision}),
            "/multi" => {
                let transaction: Transaction = serde_json::from_slice(&call.body).unwrap();
                for w in transaction.writes {
                    if let Write::Put { key, value, .. } = w {
                        self.puts.push((key, value));
                    }
                }
                json!({"ledger": revision})
            }
            _ => json!({}),
        };
        Some(CallResult::Response { status: 200, body: body.to_string().into_bytes() })
    }
}

#[test]
fn relayed_messages_are_written_as_production_reads_them() {
    let machines: Vec<String> = (1..60).map(|i| format!("[\"host-{i:06}\",\"10.0.0.1:80\"]")).collect();
    let machines = format!(r#"{{"t":"big","z":"east","s":false,"m":[{}]}}"#, machines.join(","));
    let mut controller = IsolatedController::start(&[
        ("g/h/host-000001", &machines),
        ("g/leader", r#"{"node":"n1","term":7,"lease":42}"#),
        ("g/term", "7"),
    ]);
    controller.run(Micros::secs(8));
    let relayed = controller.puts.iter().filter(|(key, _)| key.starts_with("g/c/")).cloned();
    let envelopes = reassemble(relayed);
    assert!(!envelopes.is_empty(), "nothing was relayed: {:?}", controller.puts);
    for e in envelopes {
        assert_eq!((e.from, e.incarnation), (NodeId(0), 1_000));
        assert!(matches!(e.message, Message::Sync { term: 7, .. }), "{:?}", e.message);
    }
    for (key, value) in &controller.puts {
        assert!(key.starts_with("g/c/n1/n0/"), "{key}");
        assert!(value.to_string().len() <= 1000, "{key}");
    }
}
