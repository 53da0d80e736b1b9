use super::*;
use crate::placement_log::LogUpdate;
use gorseshore_protocol::ids::JobId;

fn view(term: u64, seq: u64, base: u64) -> Message {
    Message::Sync {
        term,
        seq,
        base,
        acked_update: 0,
        machines: Vec::new(),
        contacts: Vec::new(),
        unleased_reports: Vec::new(),
        outcomes: Vec::new(),
    }
}

fn page(term: u64, seq: u64) -> Message {
    Message::PlacementLogUpdate(LogUpdate {
        term,
        seq,
        base: 1,
        tasks: Vec::new(),
        unknown_machines: Vec::new(),
    })
}

fn ping(queued: u32) -> Message {
    Message::Ping {
        state_reachable: true,
        receives_from: Vec::new(),
        queued_writes: queued,
        state_loaded: true,
    }
}

fn ack(job: u64) -> Message {
    Message::CancellationsAck { jobs: vec![JobId(job)], leading_term: None }
}

#[test]
fn only_superseded_messages_are_dropped() {
    type Arrived = Vec<(u64, Message)>;
    // (messages as they arrive, with the sender's incarnation; indices of those that remain)
    let cases: Vec<(Arrived, Vec<usize>)> = vec![
        (vec![(7, view(1, 1, 0)), (7, view(1, 2, 0)), (7, view(1, 3, 2))], vec![2]),
        // A view for another leader, and one of another process.
        (vec![(7, view(1, 1, 0)), (7, view(2, 2, 0))], vec![0, 1]),
        (vec![(7, view(1, 1, 0)), (8, view(1, 2, 0))], vec![0, 1]),
        // A delayed earlier view does not supersede a later one.
        (vec![(7, view(1, 5, 0)), (7, view(1, 4, 0))], vec![0, 1]),
        (vec![(7, page(1, 1)), (7, page(1, 4)), (7, page(2, 2))], vec![1, 2]),
        (vec![(7, ping(1)), (7, ack(1)), (7, ping(2)), (7, ack(1))], vec![1, 2, 3]),
    ];
    for (i, (arrived, remaining)) in cases.into_iter().enumerate() {
        let mut inbox = Inbox::default();
        arrived.iter().for_each(|(incarnation, m)| inbox.push(*incarnation, m.clone()));
        let expected: Vec<&(u64, Message)> = remaining.iter().map(|at| &arrived[*at]).collect();
        let actual: Vec<(u64, Message)> = std::iter::from_fn(|| inbox.pop()).collect();
        assert_eq!(actual.iter().collect::<Vec<_>>(), expected, "case {i}");
    }
}
