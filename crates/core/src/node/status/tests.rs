use super::*;

const GAUGES: Gauges = Gauges {
    revision: 7,
    ready: true,
    machines_held: 2,
    leader: Some(1),
    term: 4,
    exits_waiting: 3,
    attempts_reappeared: 1,
};

fn answer(id: u64, status: u16) -> Output {
    Output::Response { id: RequestId(id), status, body: Vec::new(), retry_after: None }
}

#[test]
fn the_status_line_separates_answers_refusals_and_delays() {
    let ms = Micros::millis;
    let mut status = ServiceStatus::new(ms(1000));
    for id in 1..=5 {
        status.poll_received(RequestId(id), JobId(id), ms(2000));
    }
    status.refused(RefusalReason::ReadBarrierFailed);
    status.responses_sent(&[answer(1, 200), answer(2, 503), answer(3, 404), answer(9, 200)]);
    status.client_disconnected(RequestId(4));
    status.ticked(ms(1020));
    status.ticked(ms(1340));
    status.read_barrier_sent(ms(2000));
    status.read_barrier_completed(&CallResult::Unknown, ms(3200));
    status.read_barrier_sent(ms(3300));
    status.read_barrier_completed(&CallResult::Response { status: 200, body: Vec::new() }, ms(3310));
    status.caught_up(ms(3310));
    assert_eq!(status.line(GAUGES, ms(10_999)), None);
    let line = status.line(GAUGES, ms(11_000)).unwrap();
    let expected = [
        "leader=1",
        "term=4",
        "machines=2",
        "revision=7",
        "replica_age_ms=7690",
        "polls_answered=2",
        "polls_refused=1",
        "polls_abandoned=1",
        "oldest_poll_ms=9000",
        "refused=proof_failed:1",
        "proofs=1",
        "proofs_unanswered=1",
        "proof_slowest_ms=1200",
        "tick_late_ms=300",
        "violations=0",
        "exits_waiting=3",
        "attempts_reappeared=1",
    ];
    for field in expected {
        assert!(line.split(' ').any(|word| word == field), "{field} in {line}");
    }
    // Counters restart; the open query remains.
    let line = status.line(GAUGES, ms(21_000)).unwrap();
    for field in ["polls_answered=0", "refused=none", "oldest_poll_ms=19000", "proofs=0"] {
        assert!(line.split(' ').any(|word| word == field), "{field} in {line}");
    }
}

#[test]
fn an_answer_from_a_read_barrier_older_than_its_query_is_a_violation() {
    // (query arrived, read barrier sent, violations), in milliseconds
    for (came, sent, violations) in [(2000, 2000, 0), (2000, 2500, 0), (2500, 2000, 1)] {
        let mut status = ServiceStatus::new(Micros::millis(1000));
        status.poll_received(RequestId(1), JobId(1), Micros::millis(came));
        status.read_barrier_sent(Micros::millis(sent));
        status.check_read_barrier(RequestId(1));
        assert_eq!(status.violations(), violations, "{came} {sent}");
    }
}

#[test]
fn a_query_that_waits_beyond_its_bound_is_one_violation_unless_the_process_was_late() {
    let ms = Micros::millis;
    // (time at which no tick comes for 400 ms, answered at, violations by 9 s)
    for (late_at, answered_at, violations) in
        [(0, 0, 1), (0, 6900, 0), (0, 7100, 1), (3000, 0, 0), (1000, 0, 1)]
    {
        let mut status = ServiceStatus::new(ms(0));
        for now in (0..9000).step_by(20) {
            if now == 2000 {
                status.poll_received(RequestId(1), JobId(7), ms(now));
            }
            if now == answered_at {
                status.responses_sent(&[answer(1, 200)]);
            }
            if late_at == 0 || !(late_at..late_at + 400).contains(&now) {
                status.ticked(ms(now));
            }
        }
        assert_eq!(status.violations(), violations, "late at {late_at}, answered at {answered_at}");
    }
}
