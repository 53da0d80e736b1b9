use super::*;

fn s(t: u64) -> Micros {
    Micros::secs(t)
}

/// Probes every second from `from` with these outcomes ('1' succeeded, '0' failed); returns the
/// backend's health after each.
fn probe(balancer: &mut LoadBalancer, from: u64, outcomes: &str) -> String {
    let outcomes = outcomes.chars().enumerate();
    outcomes
        .map(|(i, outcome)| {
            balancer.probe_ended(0, outcome == '1', s(from + i as u64));
            if balancer.is_healthy(0) { '1' } else { '0' }
        })
        .collect()
}

#[test]
fn health_follows_probes() {
    // (outcomes of the probes, health after each)
    let cases = [
        ("0001", "0001"),
        ("10", "11"),
        ("100", "110"),
        ("10101", "11111"),
        ("1010100", "1111100"),
        ("100111111", "110001111"),
        ("1010101111", "1111100011"),
    ];
    for (outcomes, expected) in cases {
        assert_eq!(probe(&mut LoadBalancer::new(1), 0, outcomes), expected, "{outcomes}");
    }
}

#[test]
fn each_removal_within_two_minutes_doubles_the_pause() {
    let mut balancer = LoadBalancer::new(1);
    probe(&mut balancer, 0, "1");
    let mut now = 1;
    for pause in [3, 6, 12, 24, 48, 60] {
        probe(&mut balancer, now, "00");
        let removed_at = now + 1;
        assert_eq!(balancer.excluded_until(0), s(removed_at + pause));
        now = removed_at + 1;
        while !balancer.is_healthy(0) {
            balancer.probe_ended(0, true, s(now));
            now += 1;
        }
        assert!(now > removed_at + pause, "back after {} s", now - removed_at);
    }
    // Two minutes after the last removal the pause is the shortest again.
    now += 121;
    probe(&mut balancer, now, "00");
    assert_eq!(balancer.excluded_until(0), s(now + 1 + 3));
}

#[test]
fn connections_go_to_the_healthy_backend_with_the_fewest() {
    let mut balancer = LoadBalancer::new(3);
    assert_eq!(balancer.choose(&[], s(0)), None);
    for n in 0..2 {
        balancer.probe_ended(n, true, s(0));
    }
    balancer.connected(0);
    assert_eq!(balancer.choose(&[], s(20)), Some(1));
    assert_eq!(balancer.choose(&[1], s(20)), Some(0));
    assert_eq!(balancer.choose(&[0, 1], s(20)), None);
    // Three failed connections in a row: passed over for 3 s.
    (0..3).for_each(|_| balancer.connect_failed(1, s(20)));
    assert_eq!(balancer.choose(&[], s(20)), Some(0));
    assert_eq!(balancer.choose(&[], s(23)), Some(1));
    // A backend that was just restored gets less than its share.
    balancer.probe_ended(2, true, s(30));
    balancer.connected(1);
    assert_eq!(balancer.choose(&[], s(31)), Some(0));
    assert_eq!(balancer.choose(&[], s(41)), Some(2));
}

#[test]
fn connections_of_an_unhealthy_backend_are_reset_after_five_seconds() {
    let mut balancer = LoadBalancer::new(1);
    probe(&mut balancer, 0, "100");
    assert!(!balancer.resets_connections(0, s(6)));
    assert!(balancer.resets_connections(0, s(7)));
}
