//! Records in the state service: rows as the program in production (commit
//! dc723f6) writes them are read, and what is written passes its reader
//! ([`production`]). A literal here is never changed together with the code.
mod production;

use data_encoding::BASE64;
use gorseshore_core::jobs::{Failures, Ledger, Phase, TaskSet, description, job_value, keys, machines_value};
use gorseshore_core::node::Node;
use gorseshore_core::peer::{Envelope, Message};
use gorseshore_core::placement_log::StandbyReplicas;
use gorseshore_core::{Call, CallResult, Input, Output, Target};
use gorseshore_protocol::ids::{JobId, MachineId, Micros, NodeId};
use gorseshore_protocol::job::{JobSpec, Kind, Rank};
use gorseshore_protocol::state::{Multi, Write};
use gorseshore_settings::{Operator, Platform};
use production::Record;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Jobs' records of all shapes, with named fields.
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

/// Rows of places, as versions before the named fields wrote them and production
/// reads them still.
const ROWS: &[&str] = &[
    r#"{"at":77,"d":["t","v","standing","prod",3,[1500,0,2100],["g8"],"a",false,true,false,"i",0.5,0.0,0.0,0.0,null]}"#,
    r#"{"at":77,"d":["t","v","array","idle",65,[4000,1000,5300],null,null,true,false,true,"img-07",1.5,30.0,15.0,2.0,900.0]}"#,
];

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn word(v: impl serde::Serialize) -> String {
    serde_json::to_value(v).unwrap().as_str().unwrap().to_owned()
}

/// A description in the form in which production's reader returns it.
fn as_production_sees(s: &JobSpec) -> production::Job {
    production::Job {
        class: s.class.clone(),
        team: s.team.clone(),
        kind: word(s.kind),
        rank: word(s.rank),
        tasks: s.tasks,
        need: [s.need.cpu, s.need.gpu, s.need.mem],
        types: s.types.clone(),
        zones: s.zones.clone(),
        one_zone: s.one_zone,
        spread: s.spread,
        spot: s.spot,
        image: s.image.clone(),
        image_gb: s.image_gb,
        estimate_s: s.estimate_s,
        checkpoint_s: s.checkpoint_s,
        save_s: s.save_s,
        deadline_s: s.deadline_s,
        attempts: s.attempts,
        prefer: s.prefer.iter().map(|p| (p.build.clone(), p.zone.clone(), p.weight)).collect(),
        after: s.after.iter().map(|j| j.0).collect(),
    }
}

fn production_job(record: &Value) -> production::Job {
    match production::read("g/j/j-000412", record) {
        Ok(Record::Job { id: 412, job, .. }) => *job,
        other => panic!("{other:?}"),
    }
}

fn ledger(rows: &[(&str, &str)]) -> Ledger {
    let mut ledger = Ledger::default();
    for (i, (key, text)) in rows.iter().enumerate() {
        ledger.apply(key, Some(&parse(text)), 10 + i as u64);
    }
    ledger
}

/// The reader itself, against one row worked out by hand.
#[test]
fn the_reader_of_production_reads_a_row_worked_out_by_hand() {
    let (_, text) = JOBS[3];
    let job = production_job(&parse(text));
    assert_eq!((job.class.as_str(), job.team.as_str(), job.tasks), ("batch", "v", 65));
    assert_eq!((job.kind.as_str(), job.rank.as_str(), job.need), ("array", "idle", [1, 0, 1]));
    assert_eq!(job.zones, Some(vec!["east".to_owned(), "west".to_owned()]));
    assert_eq!(job.prefer[1], ("g8".to_owned(), "west".to_owned(), -100));
    assert_eq!((job.attempts, job.after.len()), (Some(3), 2));
    for lost in [
        r#"{"at":7}"#,
        r#"{"at":7,"d":[]}"#,
        r#"{"at":7,"d":{"l":"l"}}"#,
        r#"{"at":7,"d":{"l":"l","t":"t","k":"other","r":"idle","n":1,"u":[0,0,0],"i":"i"}}"#,
        r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"idle","n":1,"u":[0,0],"i":"i"}}"#,
        r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"idle","n":1,"u":[0,0,0],"i":"i","x":["j-000001"]}}"#,
    ] {
        assert!(production::read("g/j/j-000412", &parse(lost)).is_err(), "{lost}");
    }
}

#[test]
fn jobs_of_production_are_read_and_written_again_as_they_were() {
    for (name, text) in JOBS {
        let record = parse(text);
        let ledger = ledger(&[("g/j/j-000412", text)]);
        let job = &ledger.jobs[&JobId(412)];
        let spec = job.spec.as_deref().unwrap_or_else(|| panic!("{name}: lost"));
        assert_eq!(Some(job.submitted_ms), record["at"].as_u64(), "{name}");
        assert_eq!((job.phase, job.tasks, job.stamp), (Phase::Active, spec.tasks, 10), "{name}");
        assert_eq!(as_production_sees(spec), production_job(&record), "{name}");
        assert_eq!(description(JobId(412), &record).as_ref(), Some(spec), "{name}");
        assert_eq!(job_value(spec, job.submitted_ms), record, "{name}");
    }
}

#[test]
fn rows_of_places_are_read_and_written_with_names() {
    for text in ROWS {
        let record = parse(text);
        let spec = description(JobId(412), &record).expect(text);
        let as_written = production_job(&record);
        assert_eq!(as_production_sees(&spec), as_written, "{text}");
        assert_eq!(production_job(&job_value(&spec, 77)), as_written, "{text}");
    }
}

#[test]
fn all_kinds_and_ranks_have_productions_words() {
    let kinds = [(Kind::Array, "array"), (Kind::Service, "standing")];
    let ranks =
        [(Rank::Low, "idle"), (Rank::Normal, "standard"), (Rank::High, "high"), (Rank::Production, "prod")];
    kinds.iter().for_each(|(k, want)| assert_eq!(word(k), *want));
    ranks.iter().for_each(|(r, want)| assert_eq!(word(r), *want));
}

#[test]
fn ends_of_production_are_read() {
    // (record, phase, settled, cause)
    let ends = [
        (r#"{"end":"done","at":5}"#, Phase::Done, false, None),
        (r#"{"end":"aborted","at":5}"#, Phase::Aborted, false, None),
        (r#"{"end":"aborted","at":5,"gone":true}"#, Phase::Aborted, true, None),
        (
            r#"{"end":"aborted","at":5,"why":"attempts used up: task 3 failed 2 times"}"#,
            Phase::Aborted,
            false,
            Some("attempts used up: task 3 failed 2 times"),
        ),
        (r#"{"end":"aborted","at":5,"gone":true,"why":"w"}"#, Phase::Aborted, true, Some("w")),
    ];
    for (text, phase, settled, cause) in ends {
        let ledger = ledger(&[("g/j/j-000412", JOBS[0].1), ("g/x/j-000412", text)]);
        let job = &ledger.jobs[&JobId(412)];
        let read = (job.phase, job.ended_ms, job.end_stamp, job.settled, job.cause.as_deref());
        assert_eq!(read, (phase, 5, 11, settled, cause), "{text}");
        let by_production = Record::End {
            id: 412,
            done: phase == Phase::Done,
            at_ms: 5,
            settled,
            cause: cause.map(str::to_owned),
        };
        assert_eq!(production::read("g/x/j-000412", &parse(text)), Ok(by_production), "{text}");
    }
}

#[test]
fn progress_of_production_is_read_and_written_as_it_was() {
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
        let ledger = ledger(&[("g/j/j-000412", JOBS[1].1), (&key, &value.to_string())]);
        let job = &ledger.jobs[&JobId(412)];
        let mut set = TaskSet::default();
        tasks.iter().for_each(|t| assert!(set.insert(*t)));
        assert!(tasks.iter().all(|t| job.done.contains(*t)), "{text}");
        assert_eq!((job.done.len() as usize, job.chunks.get(&chunk)), (tasks.len(), Some(&11)), "{text}");
        assert_eq!(set.chunk_text(chunk), text);
        let by_production = Record::Progress { id: 412, chunk, tasks };
        assert_eq!(production::read(&key, &value), Ok(by_production), "{text}");
    }
}

#[test]
fn failures_of_production_are_read_and_written_as_they_were() {
    let text = r#"{"2":{"n":3,"a":1879048193},"63":{"n":1,"a":1879048199}}"#;
    let failures: BTreeMap<u32, Failures> = BTreeMap::from([
        (2, Failures { count: 3, last: 1_879_048_193 }),
        (63, Failures { count: 1, last: 1_879_048_199 }),
    ]);
    let ledger = ledger(&[("g/j/j-000412", JOBS[3].1), ("g/r/j-000412/0", text)]);
    let job = &ledger.jobs[&JobId(412)];
    assert_eq!((&job.failed, job.failed_stamps.get(&0)), (&failures, Some(&11)));
    assert_eq!(keys::failed(JobId(412), 0), "g/r/j-000412/0");
    assert_eq!(json!(failures), parse(text));
    let tasks = failures.iter().map(|(task, f)| (*task, (f.count, f.last))).collect();
    let by_production = Record::Failures { id: 412, chunk: 0, tasks };
    assert_eq!(production::read("g/r/j-000412/0", &json!(failures)), Ok(by_production));
}

#[test]
fn machines_of_production_are_read_and_written_as_they_were() {
    let together = r#"{"t":"big","z":"east","s":true,"m":[["host-000001","10.0.0.1:80"],["host-000002","10.0.0.2:80"]]}"#;
    let alone = r#"{"t":"g8","z":"west","s":false,"a":"10.0.0.3:80"}"#;
    let ledger = ledger(&[("g/h/host-000001", together), ("g/m/host-000003", alone)]);
    // (name, type, zone, spot, address)
    for (name, build, zone, spot, addr) in [
        ("host-000001", "big", "east", true, "10.0.0.1:80"),
        ("host-000002", "big", "east", true, "10.0.0.2:80"),
        ("host-000003", "g8", "west", false, "10.0.0.3:80"),
    ] {
        let m = &ledger.machines[&MachineId::from(name)];
        assert_eq!((&*m.build, &*m.zone, m.spot, &*m.addr), (build, zone, spot, addr), "{name}");
    }
    let ids = ["host-000001", "host-000002"].map(MachineId::from);
    assert_eq!(keys::machines(&ids[0]), "g/h/host-000001");
    let written = machines_value(("big", "east", true), ids.iter().zip(["10.0.0.1:80", "10.0.0.2:80"]));
    assert_eq!(written, parse(together));
    let machines = [("host-000001", "10.0.0.1:80"), ("host-000002", "10.0.0.2:80")];
    let by_production = Record::Machines {
        kind: ("big".into(), "east".into(), true),
        machines: machines.map(|(name, addr)| (name.to_owned(), addr.to_owned())).to_vec(),
    };
    assert_eq!(production::read("g/h/host-000001", &written), Ok(by_production));
}

#[test]
fn leader_term_and_books_of_production_are_read() {
    let ledger = ledger(&[
        ("g/leader", r#"{"node":"n1","term":7,"lease":42}"#),
        ("g/term", "7"),
        ("g/books", r#"{"term":6,"led":7,"nodes":[["n0",451737600031523],["n2",9]]}"#),
    ]);
    let (leader, stamp) = ledger.leader.clone().expect("leader");
    assert_eq!((leader.node.as_str(), leader.term, leader.lease, stamp), ("n1", 7, 42, 10));
    assert_eq!(ledger.term, (7, 11));
    let books = StandbyReplicas {
        term: 6,
        last_leader_term: 7,
        nodes: vec![("n0".into(), 451_737_600_031_523), ("n2".into(), 9)],
    };
    assert_eq!(ledger.books, (books.clone(), 12));

    // (key, as it is written, as production reads it)
    let written = [
        ("g/leader", json!(leader), Record::Leader { node: "n1".into(), term: 7, lease: 42 }),
        ("g/books", json!(books), Record::Books { term: 6, led: 7, nodes: books.nodes.clone() }),
        (
            "g/books",
            json!(books.for_new_term(8)),
            Record::Books { term: 6, led: 8, nodes: books.nodes.clone() },
        ),
        ("g/books", json!(books.for_new_term(9)), Record::Books { term: 0, led: 9, nodes: vec![] }),
        ("g/term", json!(8), Record::Term(8)),
        // Written for the names of rentals; production never reads it.
        ("g/hire", json!("7-12"), Record::PassedOver),
    ];
    for (key, value, want) in written {
        assert_eq!(production::read(key, &value), Ok(want), "{key}");
    }
}

/// Keys and spaces that nobody knows yet change nothing.
#[test]
fn unknown_fields_keys_and_spaces_are_passed_over() {
    let plain = [("g/j/j-000412", JOBS[1].1), ("g/x/j-000413", r#"{"end":"done","at":5}"#)];
    let later_job = {
        let mut v = parse(JOBS[1].1);
        v["later"] = json!([1]);
        v["d"]["later"] = json!({"a": 1});
        v.to_string()
    };
    let further = [
        ("g/d/j-000412/0", "[1,2,3]"),
        ("g/later", "{}"),
        ("g/later/j-000412", "7"),
        ("g/j/later", "{}"),
        ("g/x/j-000413", r#"{"end":"done","at":5,"later":true}"#),
        ("g/j/j-000412", later_job.as_str()),
    ];
    let before = ledger(&plain);
    let mut after = ledger(&plain);
    for (key, text) in further {
        after.apply(key, Some(&parse(text)), 50);
    }
    assert_eq!(after.jobs.len(), before.jobs.len());
    assert_eq!(after.jobs[&JobId(412)].spec, before.jobs[&JobId(412)].spec);
    assert_eq!(after.jobs[&JobId(413)].phase, Phase::Done);
    for (key, text) in [("g/d/j-000412/0", "[1,2,3]"), ("g/later", "{}"), ("g/later/j-000412", "7")] {
        assert_eq!(production::read(key, &parse(text)), Ok(Record::PassedOver), "{key}");
    }
    assert_eq!(production_job(&parse(&later_job)), production_job(&parse(JOBS[1].1)));
}

/// A job that awaits others, as it is to be recorded: `x` holds the jobs that it
/// replaces and behind them those that it awaits, `q` is how many of `x` are
/// awaited; further ids are in `qk` keys `g/d/ID/N`, from 0 up.
struct Dependent {
    /// The job's record.
    record: &'static str,
    /// Its further keys.
    further: &'static [(&'static str, &'static str)],
    /// What production takes as jobs that have to be over first.
    after: &'static [u64],
    /// What is meant.
    replaced: &'static [u64],
    awaited: &'static [u64],
}

/// Rows are added here as what writes them comes.
const DEPENDENTS: &[Dependent] = &[
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"idle","n":1,"u":[1,0,1],"i":"i","x":[412,411],"q":1}}"#,
        further: &[],
        after: &[412, 411],
        replaced: &[],
        awaited: &[411],
    },
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"prod","n":9,"u":[1,0,1],"i":"i","d":900.0,
            "x":[1000000000000000007,412,410,411],"q":2}}"#,
        further: &[],
        after: &[1_000_000_000_000_000_007, 412, 410, 411],
        replaced: &[1_000_000_000_000_000_007],
        awaited: &[410, 411],
    },
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"high","n":2,"u":[1,0,1],"i":"i","x":[412,409,410],"q":2,"qk":2}}"#,
        further: &[("g/d/j-000412/0", "[1,2,3]"), ("g/d/j-000412/1", "[999999999999999999]")],
        after: &[412, 409, 410],
        replaced: &[],
        awaited: &[409, 410, 1, 2, 3, 999_999_999_999_999_999],
    },
    // All of them in further keys.
    Dependent {
        record: r#"{"at":7,"d":{"l":"l","t":"t","k":"array","r":"high","n":2,"u":[1,0,1],"i":"i","x":[5,412],"qk":1}}"#,
        further: &[("g/d/j-000412/0", "[1]")],
        after: &[5, 412],
        replaced: &[5],
        awaited: &[1],
    },
];

/// Replaced and awaited jobs, by the words of [`Dependent`] alone.
fn dependencies(record: &Value, further: &BTreeMap<&str, Value>) -> (Vec<u64>, Vec<u64>) {
    let numbers = |v: &Value| -> Vec<u64> { serde_json::from_value(v.clone()).unwrap() };
    let d = &record["d"];
    let mut replaced = numbers(&d["x"]);
    let in_record = d["q"].as_u64().unwrap_or(0) as usize;
    let mut awaited = replaced.split_off(replaced.len() - in_record);
    replaced.retain(|id| *id != 412);
    for n in 0..d["qk"].as_u64().unwrap_or(0) {
        awaited.extend(numbers(&further[format!("g/d/j-000412/{n}").as_str()]));
    }
    (replaced, awaited)
}

#[test]
fn production_reads_jobs_that_await_others() {
    for row in DEPENDENTS {
        let record = parse(row.record);
        let further: BTreeMap<&str, Value> = row.further.iter().map(|(k, t)| (*k, parse(t))).collect();
        let meant = dependencies(&record, &further);
        assert_eq!(meant, (row.replaced.to_vec(), row.awaited.to_vec()), "{}", row.record);
        // But for these fields the record is one of production's own.
        let job = production_job(&record);
        assert_eq!(job.after, row.after, "{}", row.record);
        // It waits for itself there, so it never starts.
        assert!(job.after.contains(&412), "{}", row.record);
        let mut without = record.clone();
        for name in ["q", "qk"] {
            without["d"].as_object_mut().unwrap().remove(name);
        }
        assert_eq!(production_job(&without), job, "{}", row.record);
        for (key, value) in &further {
            assert_eq!(production::read(key, value), Ok(Record::PassedOver), "{key}");
        }
    }
}

#[test]
fn the_present_code_reads_and_writes_jobs_that_await_others() {
    for row in DEPENDENTS {
        let record = parse(row.record);
        let mut ledger = Ledger::default();
        ledger.apply("g/j/j-000412", Some(&record), 5);
        for (key, value) in row.further {
            assert!(!ledger.dependencies.released(JobId(412)), "{key} is missing");
            ledger.apply(key, Some(&parse(value)), 5);
        }
        let ids = |ids: &[u64]| ids.iter().copied().map(JobId).collect::<Vec<_>>();
        let spec = ledger.jobs[&JobId(412)].spec.clone().unwrap();
        assert_eq!(spec.after, ids(row.replaced), "{}", row.record);
        assert_eq!(ledger.dependencies.dependencies(JobId(412)), ids(row.awaited), "{}", row.record);
        if row.further.is_empty() {
            assert_eq!(job_value(&spec, 7)["d"]["x"], record["d"]["x"], "{}", row.record);
            assert_eq!(job_value(&spec, 7)["d"]["q"], record["d"]["q"], "{}", row.record);
        }
    }
}

/// The end of a job that was cancelled with another one.
#[test]
fn production_reads_ends_of_jobs_cancelled_with_another() {
    let end = parse(r#"{"end":"aborted","at":1764600000123,"gone":true}"#);
    let by_production =
        Record::End { id: 412, done: false, at_ms: 1_764_600_000_123, settled: true, cause: None };
    assert_eq!(production::read("g/x/j-000412", &end), Ok(by_production));
}

/// A message that production relayed through the state service, in two parts.
const MAIL: [(&str, &str); 2] = [
    ("g/c/n1/n0/0", r#"[72623859790382856,4,0,2,"BQMIBwYFBAMCAQkHAAAAAAAAA"]"#),
    ("g/c/n1/n0/1", r#"[72623859790382856,4,1,2,"OgDAAAAAAAA"]"#),
];

#[test]
fn the_reader_of_production_reads_relayed_messages() {
    let message = Message::PlacementLogAck { term: 7, seq: 1000 };
    let want = Envelope { from: NodeId(3), incarnation: 0x0102_0304_0506_0708, message };
    assert_eq!(opened(MAIL.iter().map(|(key, text)| ((*key).to_owned(), parse(text)))), vec![want]);
}

/// The messages that production puts together from parts.
fn opened(rows: impl Iterator<Item = (String, Value)>) -> Vec<Envelope> {
    let mut whole = Vec::new();
    let mut text = String::new();
    for (key, value) in rows {
        let Ok(Record::Mail { part, parts, text: more, .. }) = production::read(&key, &value) else {
            panic!("{key}: {value}");
        };
        if part == 0 {
            text.clear();
        }
        text += &more;
        if part + 1 == parts {
            let packed = BASE64.decode(text.as_bytes()).unwrap();
            whole.push(Envelope::from_bytes(&packed).expect("an envelope of production's version"));
        }
    }
    whole
}

/// A controller beside a state service with a fixed content; it hears nobody.
struct Alone {
    node: Node,
    now: Micros,
    rows: Vec<(String, Value)>,
    /// What it put there, in order.
    puts: Vec<(String, Value)>,
}

impl Alone {
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
        Alone { node, now, rows, puts: Vec::new() }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
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

    /// The state service's answer; a watch gets none, as nothing changes.
    fn answer(&mut self, call: &Call) -> Option<CallResult> {
        if call.target != Target::State {
            return Some(CallResult::NotSent);
        }
        let ledger = 100 + self.puts.len() as u64;
        let body = match call.path.as_str() {
            path if path.starts_with("/store") => {
                let pair = |(key, v): &(String, Value)| json!({"path": key, "v": v, "stamp": 50});
                let pairs: Vec<Value> = self.rows.iter().map(pair).collect();
                json!({"pairs": pairs, "ledger": 100})
            }
            path if path.starts_with("/follow") && path.ends_with("hold_ms=10000") => return None,
            path if path.starts_with("/follow") => json!({"news": [], "ledger": ledger}),
            "/multi" => {
                let multi: Multi = serde_json::from_slice(&call.body).unwrap();
                for w in multi.writes {
                    if let Write::Put { put, v, .. } = w {
                        self.puts.push((put, v));
                    }
                }
                json!({"ledger": ledger})
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
    let mut alone = Alone::start(&[
        ("g/h/host-000001", &machines),
        ("g/leader", r#"{"node":"n1","term":7,"lease":42}"#),
        ("g/term", "7"),
    ]);
    alone.run(Micros::secs(8));
    let mail = alone.puts.iter().filter(|(key, _)| key.starts_with("g/c/")).cloned();
    let envelopes = opened(mail);
    assert!(!envelopes.is_empty(), "nothing was relayed: {:?}", alone.puts);
    for e in envelopes {
        assert_eq!((e.from, e.incarnation), (NodeId(0), 1_000));
        assert!(matches!(e.message, Message::Sync { term: 7, .. }), "{:?}", e.message);
    }
    for (key, value) in &alone.puts {
        assert!(key.starts_with("g/c/n1/n0/"), "{key}");
        assert!(value.to_string().len() <= 1000, "{key}");
    }
}
