use super::*;

#[test]
fn a_renewed_lease_ends_in_time_for_every_unknown_cancellation() {
    let s = Micros::secs;
    // (lease, cancellation time, known until, now, allowed)
    let cases = [
        (14, 34, None, 0, false),
        (14, 34, None, 1_000, false),
        (14, 34, Some(100), 100, true),
        (14, 34, Some(100), 119, true),
        (14, 34, Some(100), 120, false),
        (31, 61, Some(100), 129, true),
        (31, 61, Some(100), 130, false),
        (36, 40, Some(100), 103, true),
        (36, 40, Some(100), 104, false),
    ];
    for (lease, cancel_timeout, known_until, now, allowed) in cases {
        let knowledge =
            CancellationKnowledge { known_until: known_until.map(s), ..CancellationKnowledge::default() };
        let case = format!("{lease} {cancel_timeout} {known_until:?} {now}");
        assert_eq!(knowledge.allows_renewal(s(now), s(lease), s(cancel_timeout)), allowed, "{case}");
        let ends_at = known_until.map(|t| s(t + cancel_timeout));
        assert!(!allowed || ends_at.is_some_and(|end| s(now) + s(lease) < end), "{case}");
    }
}

#[test]
fn knowledge_never_moves_back() {
    let mut knowledge = CancellationKnowledge::default();
    for (until, expected) in [(5, 5), (3, 5), (9, 9)] {
        knowledge.advance(Micros::secs(until));
        assert_eq!(knowledge.known_until(), Some(Micros::secs(expected)));
    }
}
