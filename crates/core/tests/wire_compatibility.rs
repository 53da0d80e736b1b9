//! Compatibility of the messages between controllers, byte for byte with protocol
//! version 5 of the program in production (commit dc723f6). Controllers of the two
//! versions can run side by side only while both directions hold: messages from
//! production are decoded, and messages sent now are encoded as production does.
//!
//! Literals in this file never change together with the code. A message that
//! production doesn't know may be sent only to processes that have announced that
//! they know it (`docs/operations.md`).
use data_encoding::HEXLOWER;
use gorseshore_core::peer::{
    Assignment, AssignmentOutcome, Cancellation, Envelope, FRAME_HEADER_LEN, FrameError, GrantedMachine,
    MAX_FRAME_BYTES, MachineState, Message, PROTOCOL_VERSION, RequestStamp, StopRequest, TaskState,
    TaskStatus, UnleasedReport, decode_body, decode_header, encode_frame,
};
use gorseshore_core::placement_log::{LogUpdate, PlacementEntry};
use gorseshore_protocol::ids::{Attempt, FencingToken, JobId, MachineId, Micros, NodeId, TaskId};
use gorseshore_protocol::workers::HeartbeatSeq;

/// Sender of all frames in the table.
const SENDER: NodeId = NodeId(3);
/// Incarnation (process id) of that sender.
const INCARNATION: u64 = 0x0102_0304_0506_0708;

/// Frames with their headers, by the names in [`messages`].
const FRAMES: &[(&str, &str)] = &[
    ("ping", "160000000503080706050403020100010200000000021100000000"),
    ("ping, receives from none", "14000000050308070605040302010000000000000000000001"),
    (
        "cancellations",
        "8d0000000503080706050403020101020000009c010000000000007b2e5bda9a0100001e14000000000000000003\
         0000000000000000000000080706050403020109000000000000009c010000000000007b2e5bda9a0100001e1400\
         00000000000127000000617474656d70747320757365642075703a207461736b2033206661696c65642032207469\
         6d65730100000000",
    ),
    (
        "cancellations ack, by the leader",
        "270000000503080706050403020102020000009c010000000000009d01000000000000010700000000000000",
    ),
    ("cancellations ack", "170000000503080706050403020102010000009c0100000000000000"),
    ("forward", "1300000005030807060504030201030104000000050102ff"),
    (
        "sync, full",
        "c8010000050308070605040302010407000000000000001400000000000000000000000000000012000000000000\
         00020000000b000000686f73742d3030303030310c00007000000000630000600000000002000000000000002900\
         00000000000000000001000000000b000000686f73742d3030303030320c00007000000000630000600000000002\
         000000000000002900000000000000010190d00300000000000180c3c9010000000000080000009c010000000000\
         00000000000000001000000000009c01000000000000010000000100001000000000019c01000000000000020000\
         000200001000000000029c01000000000000030000000300001000000000039c0100000000000004000000040000\
         1000000000049c01000000000000050000000500001000000000059c010000000000000600000006000010000000\
         00069c0100000000000007000000070000100000000007010000000b000000686f73742d30303030303460e31600\
         0000000001000000000000000500000000000000010000000b000000686f73742d30303030303501000000000000\
         00060000000000000001020000000100007000000000010b000000686f73742d3030303030310200007000000000\
         00",
    ),
    (
        "sync",
        "c8010000050308070605040302010407000000000000001400000000000000130000000000000012000000000000\
         00020000000b000000686f73742d3030303030310c00007000000000630000600000000002000000000000002900\
         00000000000000000001000000000b000000686f73742d3030303030320c00007000000000630000600000000002\
         000000000000002900000000000000010190d00300000000000180c3c9010000000000080000009c010000000000\
         00000000000000001000000000009c01000000000000010000000100001000000000019c01000000000000020000\
         000200001000000000029c01000000000000030000000300001000000000039c0100000000000004000000040000\
         1000000000049c01000000000000050000000500001000000000059c010000000000000600000006000010000000\
         00069c0100000000000007000000070000100000000007010000000b000000686f73742d30303030303460e31600\
         0000000001000000000000000500000000000000010000000b000000686f73742d30303030303501000000000000\
         00060000000000000001020000000100007000000000010b000000686f73742d3030303030310200007000000000\
         00",
    ),
    (
        "update",
        "54010000050308070605040302010507000000000000001500000000000000140000000000000008070605040302\
         011400000000000000002d310100000000020000000b000000686f73742d3030303030310d000070000000000d00\
         000031302e302e302e373a38303430000b000000686f73742d3030303030320d000070000000000d00000031302e\
         302e302e373a3830343001020000000b000000686f73742d30303030303601020b000000686f73742d3030303030\
         3700020000009c01000000000000090000000300007000000000000b000000686f73742d3030303030329c010000\
         000000000900000003000070000000000104000000776573740b000000686f73742d303030303032010000009c01\
         0000000000000400000004000070000000000b000000686f73742d303030303032c0e1e40000000000020000009c\
         01000000000000110000009d0100000000000000000000",
    ),
    (
        "machine discovered",
        "4b00000005030807060504030201060b000000686f73742d30303030303803000000626967040000006561737401\
         0d00000031302e302e302e383a3830343003000000000000004d0000000000000000",
    ),
    (
        "probe",
        "2a00000005030807060504030201070b000000686f73742d3030303030380d00000031302e302e302e383a383034\
         30",
    ),
    (
        "placement log update, full",
        "e000000005030807060504030201080700000000000000e8030000000000000000000000000000040000009c0100\
         000000000000000000010100007000000000020000000b000000686f73742d3030303030310b000000686f73742d\
         3030303030320100009c0100000000000001000000010200007000000000000000000001010b000000686f73742d\
         303030303033009c0100000000000002000000010200007000000000000000000001010b000000686f73742d3030\
         30303033010400000065617374070064a7b3b6e00d0300000000010000000b000000686f73742d303030303039",
    ),
    (
        "placement log update",
        "e000000005030807060504030201080700000000000000e803000000000000de03000000000000040000009c0100\
         000000000000000000010100007000000000020000000b000000686f73742d3030303030310b000000686f73742d\
         3030303030320100009c0100000000000001000000010200007000000000000000000001010b000000686f73742d\
         303030303033009c0100000000000002000000010200007000000000000000000001010b000000686f73742d3030\
         30303033010400000065617374070064a7b3b6e00d0300000000010000000b000000686f73742d303030303039",
    ),
    ("placement log ack", "1a00000005030807060504030201090700000000000000e803000000000000"),
    ("placement log request", "12000000050308070605040302010a0600000000000000"),
    (
        "placement log snapshot",
        "e0000000050308070605040302010b0700000000000000e8030000000000000000000000000000040000009c0100\
         000000000000000000010100007000000000020000000b000000686f73742d3030303030310b000000686f73742d\
         3030303030320100009c0100000000000001000000010200007000000000000000000001010b000000686f73742d\
         303030303033009c0100000000000002000000010200007000000000000000000001010b000000686f73742d3030\
         30303033010400000065617374070064a7b3b6e00d0300000000010000000b000000686f73742d303030303039",
    ),
    ("cancellations request", "1a000000050308070605040302010c090000000000000060e3160000000000"),
    (
        "cancellations snapshot",
        "5c000000050308070605040302010d090000000000000060e316000000000020a1070000000000010000009c01\
         0000000000007b2e5bda9a0100001e140000000000000000030000000000000000000000080706050403020109\
         00000000000000",
    ),
    ("knowledge request", "1a000000050308070605040302010e090000000000000060e3160000000000"),
    (
        "knowledge report",
        "65000000050308070605040302010f090000000000000060e3160000000000c0cf6a00000000000120a107000000\
         0000010000009c010000000000007b2e5bda9a0100001e1400000000000000000300000000000000000000000807\
         0605040302010900000000000000",
    ),
    (
        "knowledge report, nothing known",
        "27000000050308070605040302010f090000000000000060e3160000000000c0cf6a00000000000000000000",
    ),
];

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), index }
}

fn report(agent_epoch: u64, sequence: u64) -> HeartbeatSeq {
    HeartbeatSeq { agent_epoch, sequence }
}

fn task_status(index: u32, state: TaskState) -> TaskStatus {
    TaskStatus { task: task(412, index), attempt: Attempt(0x1000_0000 + u64::from(index)), state }
}

fn machine_states() -> Vec<MachineState> {
    let unresponsive = MachineState {
        id: MachineId::from("host-000001"),
        fencing_token: FencingToken::new(7, 12),
        seen_fencing_token: FencingToken::new(6, 99),
        last_report: report(2, 41),
        acknowledges_commands: false,
        last_contact_age: None,
        preemption_notice: None,
        needs_new_fencing_token: true,
        tasks: Vec::new(),
    };
    let all_states = [
        TaskState::Starting,
        TaskState::Fetching,
        TaskState::Running,
        TaskState::Saving,
        TaskState::Done,
        TaskState::Stopped,
        TaskState::Failed,
        TaskState::Refused,
    ];
    let busy = MachineState {
        id: MachineId::from("host-000002"),
        acknowledges_commands: true,
        last_contact_age: Some(Micros::millis(250)),
        preemption_notice: Some(Micros::secs(30)),
        needs_new_fencing_token: false,
        tasks: all_states.into_iter().enumerate().map(|(i, s)| task_status(i as u32, s)).collect(),
        ..unresponsive.clone()
    };
    vec![unresponsive, busy]
}

fn log_update(base: u64) -> LogUpdate {
    let starting = PlacementEntry {
        attempt: Attempt(0x7000_0001),
        machines: vec![MachineId::from("host-000001"), MachineId::from("host-000002")],
        starting: true,
        done: false,
        unresolved_assignment: None,
    };
    let assigned = |zone: Option<&str>| PlacementEntry {
        attempt: Attempt(0x7000_0002),
        machines: Vec::new(),
        starting: false,
        done: true,
        unresolved_assignment: Some((MachineId::from("host-000003"), zone.map(str::to_owned))),
    };
    LogUpdate {
        term: 7,
        seq: 1000,
        base,
        tasks: vec![
            (task(412, 0), Some(starting)),
            (task(412, 1), Some(assigned(None))),
            (task(412, 2), Some(assigned(Some("east")))),
            (task(1_000_000_000_000_000_007, 3), None),
        ],
        unknown_machines: vec![MachineId::from("host-000009")],
    }
}

fn sync(base: u64) -> Message {
    Message::Sync {
        term: 7,
        seq: 20,
        base,
        acked_update: 18,
        machines: machine_states(),
        contacts: vec![(MachineId::from("host-000004"), Micros::millis(1500), report(1, 5))],
        unleased_reports: vec![UnleasedReport {
            id: MachineId::from("host-000005"),
            report: report(1, 6),
            probed: true,
        }],
        outcomes: vec![
            AssignmentOutcome {
                attempt: Attempt(0x7000_0001),
                machine: Some(MachineId::from("host-000001")),
            },
            AssignmentOutcome { attempt: Attempt(0x7000_0002), machine: None },
        ],
    }
}

fn update() -> Message {
    let assignment = |zone: Option<&str>| Assignment {
        task: task(412, 9),
        attempt: Attempt(0x7000_0003),
        zone: zone.map(str::to_owned),
        preferred_machine: MachineId::from("host-000002"),
    };
    let granted = |id: &str, draining| GrantedMachine {
        id: MachineId::from(id),
        fencing_token: FencingToken::new(7, 13),
        addr: "10.0.0.7:8040".into(),
        draining,
    };
    Message::Update {
        term: 7,
        seq: 21,
        base: 20,
        incarnation: INCARNATION,
        acked_sync: 20,
        lease: Micros::secs(20),
        block: vec![granted("host-000001", false), granted("host-000002", true)],
        not_in_block: vec![
            (MachineId::from("host-000006"), Some(NodeId(2))),
            (MachineId::from("host-000007"), None),
        ],
        assignments: vec![assignment(None), assignment(Some("west"))],
        stops: vec![StopRequest {
            task: task(412, 4),
            attempt: Attempt(0x7000_0004),
            machine: MachineId::from("host-000002"),
            grace: Micros::secs(15),
        }],
        running: vec![(JobId(412), 17), (JobId(413), 0)],
    }
}

fn cancellation(cause: Option<&str>, may_confirm: bool, acknowledged_by: Vec<u64>) -> Cancellation {
    Cancellation {
        job: JobId(412),
        ended_ms: 1_764_600_000_123,
        record_version: 5150,
        cause: cause.map(str::to_owned),
        may_confirm,
        acknowledged_by,
    }
}

/// All message types, with each optional part present and absent.
fn messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "ping",
            Message::Ping {
                state_reachable: true,
                receives_from: vec![NodeId(0), NodeId(2)],
                queued_writes: 17,
                state_loaded: false,
            },
        ),
        (
            "ping, receives from none",
            Message::Ping {
                state_reachable: false,
                receives_from: vec![],
                queued_writes: 0,
                state_loaded: true,
            },
        ),
        (
            "cancellations",
            Message::Cancellations(vec![
                cancellation(None, false, vec![0, INCARNATION, 9]),
                cancellation(Some("attempts used up: task 3 failed 2 times"), true, vec![]),
            ]),
        ),
        (
            "cancellations ack, by the leader",
            Message::CancellationsAck { jobs: vec![JobId(412), JobId(413)], leading_term: Some(7) },
        ),
        ("cancellations ack", Message::CancellationsAck { jobs: vec![JobId(412)], leading_term: None }),
        ("forward", Message::Forward { to: NodeId(1), envelope: vec![5, 1, 2, 0xff] }),
        ("sync, full", sync(0)),
        ("sync", sync(19)),
        ("update", update()),
        (
            "machine discovered",
            Message::MachineDiscovered {
                id: MachineId::from("host-000008"),
                machine_type: "big".into(),
                zone: "east".into(),
                spot: true,
                addr: "10.0.0.8:8040".into(),
                report: report(3, 77),
                probed: false,
            },
        ),
        ("probe", Message::Probe { id: MachineId::from("host-000008"), addr: "10.0.0.8:8040".into() }),
        ("placement log update, full", Message::PlacementLogUpdate(log_update(0))),
        ("placement log update", Message::PlacementLogUpdate(log_update(990))),
        ("placement log ack", Message::PlacementLogAck { term: 7, seq: 1000 }),
        ("placement log request", Message::PlacementLogRequest { term: 6 }),
        ("placement log snapshot", Message::PlacementLogSnapshot(log_update(0))),
        // Not in production; sent only to processes that have announced that they know it.
        ("cancellations request", Message::CancellationsRequest(request_stamp())),
        (
            "cancellations snapshot",
            Message::CancellationsSnapshot {
                request: request_stamp(),
                known_until_age: Micros::millis(500),
                cancellations: vec![cancellation(None, false, vec![0, INCARNATION, 9])],
            },
        ),
        ("knowledge request", Message::KnowledgeRequest(request_stamp())),
        (
            "knowledge report",
            Message::KnowledgeReport {
                request: request_stamp(),
                memory_age: Micros::secs(7),
                known_until_age: Some(Micros::millis(500)),
                cancellations: vec![cancellation(None, false, vec![0, INCARNATION, 9])],
            },
        ),
        (
            "knowledge report, nothing known",
            Message::KnowledgeReport {
                request: request_stamp(),
                memory_age: Micros::secs(7),
                known_until_age: None,
                cancellations: vec![],
            },
        ),
    ]
}

fn request_stamp() -> RequestStamp {
    RequestStamp { incarnation: 9, sent: Micros::millis(1500) }
}

fn envelope(message: Message) -> Envelope {
    Envelope { from: SENDER, incarnation: INCARNATION, message }
}

fn bytes(hex: &str) -> Vec<u8> {
    HEXLOWER.decode(hex.as_bytes()).unwrap()
}

fn frame(name: &str) -> Vec<u8> {
    let (_, hex) = FRAMES.iter().find(|(n, _)| *n == name).unwrap_or_else(|| panic!("{name}: no frame"));
    bytes(hex)
}

fn split(frame: &[u8]) -> ([u8; FRAME_HEADER_LEN], &[u8]) {
    let (header, body) = frame.split_first_chunk().unwrap();
    (*header, body)
}

/// Encoded number of a message's type. The match is exhaustive, so a new type must be added
/// here to compile.
fn type_number(m: &Message) -> usize {
    match m {
        Message::Ping { .. } => 0,
        Message::Cancellations(_) => 1,
        Message::CancellationsAck { .. } => 2,
        Message::Forward { .. } => 3,
        Message::Sync { .. } => 4,
        Message::Update { .. } => 5,
        Message::MachineDiscovered { .. } => 6,
        Message::Probe { .. } => 7,
        Message::PlacementLogUpdate(_) => 8,
        Message::PlacementLogAck { .. } => 9,
        Message::PlacementLogRequest { .. } => 10,
        Message::PlacementLogSnapshot(_) => 11,
        Message::CancellationsRequest(_) => 12,
        Message::CancellationsSnapshot { .. } => 13,
        Message::KnowledgeRequest(_) => 14,
        Message::KnowledgeReport { .. } => 15,
    }
}
const MESSAGE_TYPES: usize = 16;

#[test]
fn the_table_has_all_message_types() {
    let mut present = [false; MESSAGE_TYPES];
    messages().iter().for_each(|(_, m)| present[type_number(m)] = true);
    assert_eq!(present, [true; MESSAGE_TYPES]);
    assert_eq!(messages().len(), FRAMES.len());
}

#[test]
fn frames_of_production_are_decoded() {
    for (name, message) in messages() {
        let frame = frame(name);
        let (header, body) = split(&frame);
        assert_eq!(decode_header(header).unwrap(), body.len(), "{name}");
        assert_eq!(decode_body(body).unwrap(), envelope(message), "{name}");
    }
}

#[test]
fn frames_are_encoded_as_production_does() {
    for (name, message) in messages() {
        let encoded = encode_frame(&envelope(message)).unwrap();
        assert_eq!(HEXLOWER.encode(&encoded), HEXLOWER.encode(&frame(name)), "{name}");
    }
}

/// The byte of the body after the sender and its incarnation is the message type.
#[test]
fn message_types_keep_their_numbers() {
    for (name, message) in messages() {
        let frame = frame(name);
        let (_, body) = split(&frame);
        assert_eq!(usize::from(body[size_of::<u8>() + size_of::<u64>()]), type_number(&message), "{name}");
    }
}

/// Messages relayed through a third controller or the state service start with the
/// protocol version in place of a frame header.
#[test]
fn packed_envelopes_match_production() {
    for (name, message) in messages() {
        let mut packed = vec![5];
        packed.extend_from_slice(split(&frame(name)).1);
        assert_eq!(Envelope::from_bytes(&packed), Some(envelope(message.clone())), "{name}");
        assert_eq!(envelope(message).to_bytes(), packed, "{name}");
    }
    let placement_log_ack = bytes("05030807060504030201090700000000000000e803000000000000");
    assert_eq!(
        Envelope::from_bytes(&placement_log_ack),
        Some(envelope(Message::PlacementLogAck { term: 7, seq: 1000 }))
    );
}

#[test]
fn frame_headers_match_production() {
    assert_eq!((PROTOCOL_VERSION, FRAME_HEADER_LEN, MAX_FRAME_BYTES), (5, 5, 16_777_216));
    // (header, length of the body)
    let accepted: [(&str, usize); 3] = [("0000000005", 0), ("0102000005", 513), ("0000000105", 16_777_216)];
    for (header, length) in accepted {
        assert_eq!(decode_header(split(&bytes(header)).0).unwrap(), length, "{header}");
    }
    for version in (0..=u8::MAX).filter(|v| *v != 5) {
        let result = decode_header([9, 0, 0, 0, version]);
        assert!(matches!(result, Err(FrameError::Version(v)) if v == version), "{version}");
    }
    let too_long = decode_header(split(&bytes("0100000105")).0);
    assert!(matches!(too_long, Err(FrameError::TooLong(16_777_217))));
}

/// Existing messages can't be extended in place, because production rejects a frame with an
/// unknown message type or with more bytes than it expects.
#[test]
fn unknown_message_types_and_trailing_bytes_are_rejected() {
    for (name, _) in messages() {
        let frame = frame(name);
        let mut longer = split(&frame).1.to_vec();
        longer.push(0);
        assert!(matches!(decode_body(&longer), Err(FrameError::Malformed(_))), "{name}");
        let mut unknown = split(&frame).1.to_vec();
        unknown[size_of::<u8>() + size_of::<u64>()] = MESSAGE_TYPES as u8;
        assert!(matches!(decode_body(&unknown), Err(FrameError::Malformed(_))), "{name}");
    }
}
