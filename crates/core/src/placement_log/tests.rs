use super::*;
use gorseshore_protocol::ids::JobId;

fn task(i: u32) -> TaskId {
    TaskId { job: JobId(1), index: i }
}

fn entry(attempt: u64) -> Option<PlacementEntry> {
    Some(PlacementEntry {
        attempt: Attempt(attempt),
        machines: vec!["m".into()],
        starting: false,
        done: false,
        unresolved_assignment: None,
    })
}

#[test]
fn updates_apply_in_any_order_and_are_never_undone() {
    // (seq, base, tasks; acknowledged seq, tasks in the replica after it)
    type Step = (u64, u64, Vec<(u32, Option<u64>)>, u64, Vec<u32>);
    let steps: Vec<Step> = vec![
        // Its base was never received.
        (5, 3, vec![(1, Some(1))], 0, vec![]),
        (3, 0, vec![(1, Some(1)), (2, Some(2))], 3, vec![1, 2]),
        (3, 0, vec![], 3, vec![1, 2]),
        (6, 3, vec![(2, None), (3, Some(4))], 6, vec![1, 3]),
        // Delivered late.
        (5, 3, vec![(2, Some(2))], 6, vec![1, 3]),
        // It overlaps with applied changes.
        (8, 3, vec![(2, None), (3, None), (4, Some(7))], 8, vec![1, 4]),
        (9, 0, vec![(9, Some(9))], 9, vec![9]),
    ];
    let mut replicas = LogReplicas::default();
    for (i, (seq, base, tasks, ack, expected)) in steps.into_iter().enumerate() {
        let tasks = tasks.into_iter().map(|(t, e)| (task(t), e.and_then(entry))).collect();
        let update = LogUpdate { term: 4, seq, base, tasks, unknown_machines: vec![] };
        assert_eq!(replicas.apply(update), ack, "step {i}");
        let actual: Vec<u32> = replicas.by_term[&4].tasks.keys().map(|t| t.index).collect();
        assert_eq!(actual, expected, "step {i}");
    }
    assert!(replicas.get(3).is_none() && replicas.get(4).is_some());
    replicas.remove_before(5);
    assert!(replicas.get(4).is_none());
}

#[test]
fn a_record_is_valid_only_if_every_leader_since_wrote_it() {
    let of = |term, led| StandbyReplicas { term, last_leader_term: led, nodes: vec![("n1".into(), 9)] };
    // (record, next term, term whose log is valid for it)
    for (record, next, expected) in
        [(of(4, 4), 5, 4), (of(4, 6), 7, 4), (of(4, 4), 6, 0), (StandbyReplicas::default(), 3, 0)]
    {
        let w = record.for_new_term(next);
        assert_eq!((w.term, w.last_leader_term), (expected, next), "{record:?}");
    }
}

#[test]
fn a_change_is_covered_only_if_every_possible_replica_has_it() {
    let names: Vec<String> = ["n0", "n1", "n2"].map(String::from).to_vec();
    let zones: Vec<String> = ["a", "a", "b"].map(String::from).to_vec();
    let (me, n1, n2) = (NodeId(0), (NodeId(1), 7), (NodeId(2), 8));
    let mut l = PlacementLog::new(
        4,
        me,
        names,
        zones,
        StandbyReplicas { term: 3, last_leader_term: 4, nodes: vec![("n1".into(), 7)] },
        50,
    );
    let mut now = Micros::secs(10);
    let began = now;
    let covered = |l: &PlacementLog| l.covered();
    // No controller holds this term's log, whichever held the earlier term's.
    assert_eq!(covered(&l), None);
    assert_eq!(l.due_updates(&[n1, n2], now), [(n2.0, 0), (n1.0, 0)]);
    l.acknowledged(n1.0, 7, 1, now);
    l.acknowledged(n2.0, 8, 1, now);
    let (both, revision) = l.due_record(&[n1, n2], &[], began, now).unwrap();
    assert_eq!((both.nodes.len(), revision), (2, 50));
    assert_eq!(covered(&l), None);
    l.write_ended();
    l.update_record(&both, 60);
    assert_eq!(covered(&l), Some(1));
    let seq = l.record_assignment(task(1));
    now = now + Micros::millis(20);
    assert_eq!(l.due_updates(&[n1, n2], now).len(), 2);
    l.acknowledged(n1.0, 7, seq, now);
    // One replica has the change, the other has not; another incarnation of it has nothing.
    assert_eq!(covered(&l), Some(1));
    l.acknowledged(n2.0, 9, seq, now);
    assert_eq!(covered(&l), Some(1));
    // It doesn't acknowledge: it is removed, but counts until the new record is seen.
    now = now + ACK_TIMEOUT + Micros::millis(50);
    let (one, _) = l.due_record(&[n1, n2], &[], began, now).unwrap();
    assert_eq!(one.nodes, [("n1".to_owned(), 7)]);
    l.write_ended();
    assert_eq!(covered(&l), Some(1), "the write may not have been committed");
    l.update_record(&both, 55);
    assert_eq!(covered(&l), Some(1), "an older version of the record");
    l.update_record(&one, 70);
    assert_eq!(covered(&l), Some(seq));
    // Added again: its acknowledgement counts as soon as the record may name it.
    l.acknowledged(n2.0, 8, seq, now);
    l.record_change(task(2));
    let (again, _) = l.due_record(&[n1, n2], &[], began, now + Micros::secs(1)).unwrap();
    assert_eq!(again.nodes.len(), 2);
    l.acknowledged(n1.0, 7, seq + 1, now);
    assert_eq!(covered(&l), Some(seq));
}

/// A leader that was partitioned from all other controllers removed its last replica within
/// a second and stepped down two seconds later. Its successor had no placement log and
/// deleted 109 machines beyond the partition for one cancelled job.
#[test]
fn the_last_replica_stays_recorded_until_it_is_known_to_have_exited() {
    let n1 = NodeId(1);
    // (controllers in contact, exited controllers; whether it is removed after 1 s, after 5 s)
    type Case = (&'static [(NodeId, u64)], &'static [NodeId], [bool; 2]);
    let cases: [Case; 4] = [
        (&[], &[], [false, true]),
        (&[(NodeId(1), 7)], &[], [false, true]),
        (&[], &[NodeId(1)], [true, true]),
        (&[(NodeId(1), 8)], &[], [true, true]),
    ];
    for (in_contact, ended, expected) in cases {
        let names: Vec<String> = ["n0", "n1"].map(String::from).to_vec();
        let zones: Vec<String> = ["a", "b"].map(String::from).to_vec();
        let began = Micros::secs(10);
        let mut l = PlacementLog::new(4, NodeId(0), names, zones, StandbyReplicas::default(), 50);
        l.due_updates(&[(n1, 7)], began);
        l.acknowledged(n1, 7, 1, began);
        l.update_record(&StandbyReplicas { term: 4, last_leader_term: 4, nodes: vec![("n1".into(), 7)] }, 60);
        let at = l.record_assignment(task(1));
        l.due_updates(&[(n1, 7)], began + Micros::millis(20));
        let mut actual = [false; 2];
        for i in 5..110 {
            let now = began + Micros::millis(i * 50);
            let record = l.due_record(in_contact, ended, began, now);
            let removed = record.is_some_and(|(w, _)| w.nodes.is_empty());
            l.write_ended();
            actual[0] |= removed && i <= 20;
            actual[1] |= removed;
        }
        assert_eq!(actual, expected, "in contact {in_contact:?}, exited {ended:?}");
        assert!(l.covered().is_some_and(|c| c < at), "no assignment leaves before the record is seen");
    }
}

/// In the world of seed 1145 a replica was removed, assignments left without its
/// acknowledgement, and it was recorded again with an acknowledgement from before.
#[test]
fn a_controller_that_lacks_a_released_change_is_no_replica() {
    let names: Vec<String> = ["n0", "n1"].map(String::from).to_vec();
    let zones: Vec<String> = ["a", "b"].map(String::from).to_vec();
    let (me, n1, began) = (NodeId(0), (NodeId(1), 7), Micros::secs(10));
    let mut l = PlacementLog::new(4, me, names, zones, StandbyReplicas::default(), 50);
    l.due_updates(&[n1], began);
    l.acknowledged(n1.0, 7, 1, began);
    let none = StandbyReplicas { term: 4, last_leader_term: 4, nodes: Vec::new() };
    l.update_record(&none, 60);
    let at = l.record_assignment(task(1));
    assert!(l.covered().unwrap() >= at, "no replica has to acknowledge it");
    l.mark_released(at);
    let soon = began + Micros::millis(100);
    assert!(l.due_record(&[n1], &[], began, soon).is_none_or(|(w, _)| w.nodes.is_empty()));
    l.write_ended();
    l.due_updates(&[n1], soon);
    l.acknowledged(n1.0, 7, at, soon);
    let later = soon + Micros::secs(1);
    assert_eq!(l.due_record(&[n1], &[], began, later).unwrap().0.nodes.len(), 1);
}
