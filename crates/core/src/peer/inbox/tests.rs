use super::*;
use crate::books::Page;
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
    Message::PlacementLogUpdate(Page { term, seq, base: 1, tasks: Vec::new(), unknown: Vec::new() })
}

fn ping(queued: u32) -> Message {
    Message::Ping {
        state_reachable: true,
        receives_from: Vec::new(),
        queued_writes: queued,
        state_loaded: true,
    }
}

fn known(job: u64) -> Message {
    Message::CancellationsAck { jobs: vec![JobId(job)], leading_term: None }
}

#[test]
fn only_what_a_later_message_repeats_is_left_out() {
    type Came = Vec<(u64, Message)>;
    // What came, by process; the places of what is left.
    let cases: Vec<(Came, Vec<usize>)> = vec![
        (vec![(7, view(1, 1, 0)), (7, view(1, 2, 0)), (7, view(1, 3, 2))], vec![2]),
        // Another leader's view, and another process's.
        (vec![(7, view(1, 1, 0)), (7, view(2, 2, 0))], vec![0, 1]),
        (vec![(7, view(1, 1, 0)), (8, view(1, 2, 0))], vec![0, 1]),
        // A late copy says less than what waits.
        (vec![(7, view(1, 5, 0)), (7, view(1, 4, 0))], vec![0, 1]),
        (vec![(7, page(1, 1)), (7, page(1, 4)), (7, page(2, 2))], vec![1, 2]),
        (vec![(7, ping(1)), (7, known(1)), (7, ping(2)), (7, known(1))], vec![1, 2, 3]),
    ];
    for (i, (came, left)) in cases.into_iter().enumerate() {
        let mut inbox = Inbox::default();
        came.iter().for_each(|(process, m)| inbox.push(*process, m.clone()));
        let want: Vec<&(u64, Message)> = left.iter().map(|at| &came[*at]).collect();
        let got: Vec<(u64, Message)> = std::iter::from_fn(|| inbox.pop()).collect();
        assert_eq!(got.iter().collect::<Vec<_>>(), want, "case {i}");
    }
}
