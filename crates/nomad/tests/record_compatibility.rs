//! Nomad records as the release in production (commit dc723f6) writes them: this code must read
//! them, and write the same. Never change a literal here together with the code.
use gorseshore_nomad::service::records::{
    Content, GroupRecord, JobKey, JobRecord, ParameterizedRecord, PeriodicRecord, PreviousVersion, names,
};
use production::Record;
use serde_json::{Value, json};

#[path = "../../core/tests/production/mod.rs"]
mod production;

const LEAST: &str = r#"{"ns":"default","id":"desk","nm":"desk","v":0,"h":"aa","hc":"bb","w":"f00d","at":5,
    "k":"service","pr":50,"s":false,"pg":false,"cl":"service","t":"florists","dc":[],"gr":[],"o":[],"vs":[]}"#;
const MOST: &str = r#"{"ns":"n","id":"night/periodic-7","nm":"night","v":3,"h":"aa","hc":"bb","w":"f00d","at":5,"ci":9,
    "k":"batch","pr":100,"s":true,"pg":true,"cl":"night","t":"florists","dc":["east"],
    "gr":[{"g":"api","j":1000000000000000007,"n":4}],"o":[1000000000000000006],
    "pe":{"c":["0 3 * * *"],"z":"UTC","o":true,"e":false},
    "pa":{"p":"required","r":["a"],"o":["b"]},"up":"night","vs":[{"v":2,"w":"beef","at":4}]}"#;

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn records() -> [(&'static str, JobRecord); 2] {
    let least = JobRecord {
        namespace: "default".into(),
        id: "desk".into(),
        name: "desk".into(),
        version: 0,
        hash: "aa".into(),
        hash_without_counts: "bb".into(),
        nonce: "f00d".into(),
        at: 5,
        create_revision: None,
        kind: "service".into(),
        priority: 50,
        stop: false,
        purge: false,
        class: "service".into(),
        team: "florists".into(),
        datacenters: vec![],
        groups: vec![],
        superseded_jobs: vec![],
        periodic: None,
        parameterized: None,
        parent: None,
        previous_versions: vec![],
    };
    let most = JobRecord {
        namespace: "n".into(),
        id: "night/periodic-7".into(),
        name: "night".into(),
        version: 3,
        create_revision: Some(9),
        kind: "batch".into(),
        priority: 100,
        stop: true,
        purge: true,
        class: "night".into(),
        datacenters: vec!["east".into()],
        groups: vec![GroupRecord { name: "api".into(), job: 1_000_000_000_000_000_007, count: 4 }],
        superseded_jobs: vec![1_000_000_000_000_000_006],
        periodic: Some(PeriodicRecord {
            crons: vec!["0 3 * * *".into()],
            time_zone: "UTC".into(),
            prohibit_overlap: true,
            enabled: false,
        }),
        parameterized: Some(ParameterizedRecord {
            payload: "required".into(),
            required: vec!["a".into()],
            optional: vec!["b".into()],
        }),
        parent: Some("night".into()),
        previous_versions: vec![PreviousVersion { version: 2, nonce: "beef".into(), at: 4 }],
        ..least.clone()
    };
    [(LEAST, least), (MOST, most)]
}

#[test]
fn production_records_are_read_and_written_unchanged() {
    for (text, record) in records() {
        let value = parse(text);
        assert_eq!(serde_json::from_value::<JobRecord>(value.clone()).unwrap(), record, "{text}");
        assert_eq!(json!(record), value, "{text}");
        let Ok(Record::NomadHead(read)) = production::read("g/n/j/00ff", &json!(record)) else {
            panic!("{text}");
        };
        assert_eq!((&read.id, read.version, &read.nonce), (&record.id, record.version, &record.nonce));
        assert_eq!((read.stop, read.purge, &read.old), (record.stop, record.purge, &record.superseded_jobs));
        assert_eq!(
            (read.periodic, read.parameterized),
            (record.periodic.is_some(), record.parameterized.is_some())
        );
        assert_eq!(
            (read.groups.len(), read.earlier.len()),
            (record.groups.len(), record.previous_versions.len())
        );
    }
}

#[test]
fn unknown_fields_of_a_record_are_ignored() {
    let mut later = parse(MOST);
    later["later"] = json!({"a": [1]});
    assert_eq!(serde_json::from_value::<JobRecord>(later.clone()).unwrap(), records()[1].1);
    assert!(matches!(production::read("g/n/j/00ff", &later), Ok(Record::NomadHead(_))));
}

#[test]
fn keys_and_contents_match_production() {
    let key = JobKey::of("default", "desk");
    assert_eq!(key.0, "3005111cefd86f1d56f0357a340338ef769c8c07");
    // (key name, as production writes it)
    let written = [
        (names::job_record(&key), "j/KEY"),
        (names::chunk_prefix(&key, "f00d"), "p/KEY/f00d/"),
        (names::chunk(&key, "f00d", 7), "p/KEY/f00d/007"),
        (names::last_launch(&key), "l/KEY"),
        (names::dispatch_token(&key), "i/KEY"),
    ];
    for (name, want) in written {
        assert_eq!(name, want.replace("KEY", &key.0));
    }
    let text = r#"{"job":{"ID":"desk"},"specs":{"api":{"at":0,"d":{"l":"l"}}}}"#;
    let content: Content = serde_json::from_str(text).unwrap();
    assert_eq!(json!(content), parse(text));
    // (key, value, as production reads it)
    let rows = [
        ("g/n/p/KEY/f00d/000", json!("{\"job\":"), Record::NomadPart("{\"job\":".into())),
        ("g/n/l/KEY", json!(1_764_600_000_000_u64), Record::NomadLaunch(1_764_600_000_000)),
        ("g/n/i/KEY", json!("desk/dispatch-1-f00d"), Record::NomadToken("desk/dispatch-1-f00d".into())),
        ("g/n/later/KEY", json!([1]), Record::Ignored),
    ];
    for (key, value, want) in rows {
        assert_eq!(production::read(key, &value), Ok(want), "{key}");
    }
}
