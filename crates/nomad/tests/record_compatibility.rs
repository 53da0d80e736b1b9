//! Records of Nomad's jobs, as the program in production (commit dc723f6) writes
//! them: read, and written just so. A literal here is never changed together with
//! the code.
use gorseshore_nomad::service::records::{
    Content, Earlier, GroupHead, Head, JobKey, ParamHead, PeriodicHead, names,
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

fn heads() -> [(&'static str, Head); 2] {
    let least = Head {
        namespace: "default".into(),
        id: "desk".into(),
        name: "desk".into(),
        version: 0,
        hash: "aa".into(),
        shape: "bb".into(),
        nonce: "f00d".into(),
        at: 5,
        created: None,
        kind: "service".into(),
        priority: 50,
        stop: false,
        purge: false,
        class: "service".into(),
        team: "florists".into(),
        datacenters: vec![],
        groups: vec![],
        old: vec![],
        periodic: None,
        param: None,
        parent: None,
        earlier: vec![],
    };
    let most = Head {
        namespace: "n".into(),
        id: "night/periodic-7".into(),
        name: "night".into(),
        version: 3,
        created: Some(9),
        kind: "batch".into(),
        priority: 100,
        stop: true,
        purge: true,
        class: "night".into(),
        datacenters: vec!["east".into()],
        groups: vec![GroupHead { name: "api".into(), job: 1_000_000_000_000_000_007, count: 4 }],
        old: vec![1_000_000_000_000_000_006],
        periodic: Some(PeriodicHead {
            crons: vec!["0 3 * * *".into()],
            time_zone: "UTC".into(),
            prohibit_overlap: true,
            enabled: false,
        }),
        param: Some(ParamHead {
            payload: "required".into(),
            required: vec!["a".into()],
            optional: vec!["b".into()],
        }),
        parent: Some("night".into()),
        earlier: vec![Earlier { version: 2, nonce: "beef".into(), at: 4 }],
        ..least.clone()
    };
    [(LEAST, least), (MOST, most)]
}

#[test]
fn heads_of_production_are_read_and_written_as_they_were() {
    for (text, head) in heads() {
        let value = parse(text);
        assert_eq!(serde_json::from_value::<Head>(value.clone()).unwrap(), head, "{text}");
        assert_eq!(json!(head), value, "{text}");
        let Ok(Record::NomadHead(read)) = production::read("g/n/j/00ff", &json!(head)) else {
            panic!("{text}");
        };
        assert_eq!((&read.id, read.version, &read.nonce), (&head.id, head.version, &head.nonce));
        assert_eq!((read.stop, read.purge, &read.old), (head.stop, head.purge, &head.old));
        assert_eq!((read.periodic, read.parameterized), (head.periodic.is_some(), head.param.is_some()));
        assert_eq!((read.groups.len(), read.earlier.len()), (head.groups.len(), head.earlier.len()));
    }
}

#[test]
fn unknown_fields_of_a_head_are_passed_over() {
    let mut later = parse(MOST);
    later["later"] = json!({"a": [1]});
    assert_eq!(serde_json::from_value::<Head>(later.clone()).unwrap(), heads()[1].1);
    assert!(matches!(production::read("g/n/j/00ff", &later), Ok(Record::NomadHead(_))));
}

#[test]
fn keys_and_contents_are_those_of_production() {
    let key = JobKey::of("default", "desk");
    assert_eq!(key.0, "3005111cefd86f1d56f0357a340338ef769c8c07");
    // (name, as production writes it)
    let written = [
        (names::head(&key), "j/KEY"),
        (names::parts(&key, "f00d"), "p/KEY/f00d/"),
        (names::part(&key, "f00d", 7), "p/KEY/f00d/007"),
        (names::launch(&key), "l/KEY"),
        (names::token(&key), "i/KEY"),
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
