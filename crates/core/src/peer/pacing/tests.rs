use super::*;

const INTERVAL: Micros = Micros::millis(40);
const WINDOW: Micros = Micros::millis(300);

/// Number of messages sent in 20 s if each is acknowledged after `delay` milliseconds, or none is.
fn messages_sent(delay: Option<u64>) -> usize {
    let mut pacer = Pacer::new(WINDOW);
    let mut in_flight: VecDeque<(u64, u64)> = VecDeque::new();
    let mut count = 0;
    for ms in (0..20_000).step_by(20) {
        let now = Micros::secs(1) + Micros::millis(ms);
        while in_flight.front().is_some_and(|(at, _)| *at <= ms) {
            let (_, number) = in_flight.pop_front().unwrap();
            pacer.acknowledged(number, now);
        }
        if pacer.may_send(INTERVAL, now) {
            count += 1;
            pacer.sent(count as u64, now);
            in_flight.extend(delay.map(|d| (ms + d, count as u64)));
        }
    }
    count
}

#[test]
fn a_receiver_is_sent_fewer_messages_the_slower_it_is() {
    // (milliseconds to the acknowledgement, most messages in 20 s)
    let cases = [
        (Some(5), 500),
        (Some(100), 500),
        (Some(290), 500),
        (Some(1_000), 56),
        (Some(5_000), 22),
        (None, 20),
    ];
    for (delay, max_messages) in cases {
        let sent = messages_sent(delay);
        assert!(sent <= max_messages, "{delay:?}: {sent} messages, at most {max_messages} allowed");
        assert!(sent >= 10, "{delay:?}: {sent} messages: the receiver would consider the sender failed");
    }
    assert_eq!(messages_sent(Some(100)), 500, "a receiver that keeps up is not slowed down");
}

#[test]
fn an_acknowledgement_ends_the_pauses() {
    let ms = |t| Micros::secs(1) + Micros::millis(t);
    let mut pacer = Pacer::new(WINDOW);
    // (time in milliseconds, number acknowledged just before, whether a message may be sent; if so,
    // it is sent)
    let steps = [
        (0, None, true),
        (20, None, false),
        (40, None, true),
        (280, None, true),
        // The first acknowledgement is overdue: retries.
        (320, None, false),
        (580, None, true),
        (900, None, false),
        (1_180, None, true),
        // Late acknowledgements: one message at a time.
        (1_220, Some(2), false),
        (1_700, Some(5), true),
        (1_760, None, false),
        // The receiver keeps up again.
        (1_800, Some(6), true),
        (1_840, None, true),
    ];
    let mut number = 0;
    for (at, acknowledged, may) in steps {
        acknowledged.into_iter().for_each(|n| pacer.acknowledged(n, ms(at)));
        assert_eq!(pacer.may_send(INTERVAL, ms(at)), may, "at {at} ms");
        if may {
            number += 1;
            pacer.sent(number, ms(at));
        }
    }
}

/// Simulates two sides that acknowledge each other's messages with their own next message, as the
/// leader and a controller do, over a link with the given latency in milliseconds. Returns the
/// longest time in milliseconds between two messages that arrive at one side.
fn longest_gap(latency: u64, offset: u64) -> u64 {
    const IDLE: Micros = Micros::millis(500);
    let (mut pacers, mut sent, mut seen) = ([Pacer::default(), Pacer::default()], [0, 0], [0, 0]);
    let mut in_flight: VecDeque<(u64, usize, u64, u64)> = VecDeque::new();
    let (mut last, mut longest) = (None, 0);
    for ms in (0..60_000).step_by(20) {
        let now = Micros::secs(1) + Micros::millis(ms);
        while in_flight.front().is_some_and(|(at, ..)| *at <= ms) {
            let (_, to, number, acknowledged) = in_flight.pop_front().unwrap();
            if to == 0 {
                longest = longest.max(last.map_or(0, |l| ms - l));
                last = Some(ms);
            }
            seen[to] = seen[to].max(number);
            pacers[to].acknowledged(acknowledged, now);
        }
        for from in [0, 1] {
            if ms >= offset * from as u64 && pacers[from].may_send(IDLE, now) {
                sent[from] += 1;
                pacers[from].sent(sent[from], now);
                in_flight.push_back((ms + latency, 1 - from, sent[from], seen[from]));
            }
        }
    }
    longest
}

/// Latencies of the links, in milliseconds.
const LATENCIES: [u64; 7] = [5, 50, 100, 150, 200, 250, 300];
/// The leader considers a controller out of contact that sent nothing for 2.5 s.
const CONTACT_TIMEOUT_MS: u64 = 2_500;

#[test]
fn two_sides_that_acknowledge_each_other_stay_in_contact() {
    for latency in LATENCIES {
        let gap = (0..500).step_by(40).map(|offset| longest_gap(latency, offset)).max().unwrap();
        assert!(gap < CONTACT_TIMEOUT_MS, "latency {latency} ms: no message for {gap} ms");
    }
}
