//! When cumulative messages go to a receiver. Each one repeats all that the receiver has not
//! acknowledged, so a receiver that is slow must not be sent more of them the slower it is.
//!
//! Invariant: while acknowledgements come within `window`, messages follow each other at the
//! caller's interval. To a receiver whose last one took longer, or who owes one for longer, one
//! message is under way at a time; the next one leaves when that is acknowledged, or as a retry
//! after pauses that double up to `MAX_RETRY_INTERVAL`.
use gorseshore_protocol::ids::Micros;
use std::collections::VecDeque;

/// A receiver that acknowledges nothing is sent a message this often all the same: less often,
/// and it would take the sender for dead.
pub const MAX_RETRY_INTERVAL: Micros = Micros::secs(2);
/// The leader and a controller acknowledge each other's messages with the next of their own,
/// which leaves twice a second at least.
const ACKNOWLEDGED_WITHIN: Micros = Micros::millis(800);
/// Numbers that are remembered while they are not acknowledged.
const MAX_REMEMBERED: usize = 64;

/// Messages of one kind to one receiver.
#[derive(Debug, Clone)]
pub struct Pacer {
    /// Acknowledgements come within this as a rule.
    window: Micros,
    /// Numbers that are not acknowledged, and when they were sent; the earliest first.
    unacknowledged: VecDeque<(u64, Micros)>,
    sent_at: Option<Micros>,
    /// The last acknowledgement took longer than `window`.
    slow: bool,
    retry_interval: Micros,
}

impl Default for Pacer {
    /// For messages between the leader and a controller.
    fn default() -> Self {
        Pacer::new(ACKNOWLEDGED_WITHIN)
    }
}

impl Pacer {
    /// Nothing was sent.
    pub fn new(window: Micros) -> Self {
        Pacer { window, unacknowledged: VecDeque::new(), sent_at: None, slow: false, retry_interval: window }
    }

    /// Whether a message may leave, `interval` after the one before if the receiver keeps up.
    pub fn may_send(&self, interval: Micros, now: Micros) -> bool {
        let pause = if self.owes(now) { self.retry_interval } else { Micros(0) };
        self.sent_at.is_none_or(|t| now.since(t) >= interval.max(pause))
    }

    /// Whether the receiver has to acknowledge something before more is sent.
    fn owes(&self, now: Micros) -> bool {
        self.unacknowledged.front().is_some_and(|(_, sent)| self.slow || now.since(*sent) >= self.window)
    }

    /// A message left.
    pub fn sent(&mut self, number: u64, now: Micros) {
        if self.owes(now) {
            self.retry_interval = self.retry_interval.scale(2, 1).min(MAX_RETRY_INTERVAL);
        }
        self.sent_at = Some(now);
        self.unacknowledged.push_back((number, now));
        if self.unacknowledged.len() > MAX_REMEMBERED {
            // The earliest one counts for how long the receiver owes an answer.
            self.unacknowledged.remove(1);
        }
    }

    /// All up to a number are acknowledged.
    pub fn acknowledged(&mut self, number: u64, now: Micros) {
        let mut latency = None;
        while let Some((_, sent)) = self.unacknowledged.front().filter(|(n, _)| *n <= number) {
            latency = Some(now.since(*sent));
            self.unacknowledged.pop_front();
        }
        if let Some(latency) = latency {
            self.slow = latency >= self.window;
            self.retry_interval = latency.scale(2, 1).clamp(self.window, MAX_RETRY_INTERVAL);
        }
    }
}

#[cfg(test)]
mod tests;
