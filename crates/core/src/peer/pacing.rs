//! Limits the rate of cumulative messages to a receiver. Each message repeats everything that the
//! receiver has not acknowledged, so a slow receiver must not be sent more of them the slower it is.
//!
//! Invariant: while acknowledgements arrive within `window`, messages are sent at the caller's
//! interval. To a receiver whose last acknowledgement took longer, or is overdue by now, only one
//! message is in flight at a time: the next one is sent after its acknowledgement, or as a retry
//! after a pause that doubles up to `MAX_RETRY_INTERVAL`.
use gorseshore_protocol::ids::Micros;
use std::collections::VecDeque;

/// A receiver that acknowledges nothing is still sent a message this often: at longer intervals it
/// would consider the sender failed.
pub const MAX_RETRY_INTERVAL: Micros = Micros::secs(2);
/// The leader and a controller acknowledge each other's messages with their own next message, which
/// is sent at least twice a second.
const ACK_WINDOW: Micros = Micros::millis(800);
/// Unacknowledged message numbers that are kept.
const MAX_UNACKNOWLEDGED: usize = 64;

/// The pace of one kind of messages to one receiver.
#[derive(Debug, Clone)]
pub struct Pacer {
    /// The receiver keeps up if it acknowledges within this.
    window: Micros,
    /// Unacknowledged message numbers and when they were sent, the earliest first.
    unacknowledged: VecDeque<(u64, Micros)>,
    sent_at: Option<Micros>,
    /// The last acknowledgement took longer than `window`.
    slow: bool,
    retry_interval: Micros,
}

impl Default for Pacer {
    /// For messages between the leader and a controller.
    fn default() -> Self {
        Pacer::new(ACK_WINDOW)
    }
}

impl Pacer {
    /// For a receiver that has been sent nothing yet.
    pub fn new(window: Micros) -> Self {
        Pacer { window, unacknowledged: VecDeque::new(), sent_at: None, slow: false, retry_interval: window }
    }

    /// Whether a message may be sent: `interval` after the previous one if the receiver keeps up.
    pub fn may_send(&self, interval: Micros, now: Micros) -> bool {
        let pause = if self.awaits_ack(now) { self.retry_interval } else { Micros(0) };
        self.sent_at.is_none_or(|t| now.since(t) >= interval.max(pause))
    }

    /// Whether an acknowledgement is required before the next message.
    fn awaits_ack(&self, now: Micros) -> bool {
        self.unacknowledged.front().is_some_and(|(_, sent)| self.slow || now.since(*sent) >= self.window)
    }

    /// Records that a message was sent.
    pub fn sent(&mut self, number: u64, now: Micros) {
        if self.awaits_ack(now) {
            self.retry_interval = self.retry_interval.scale(2, 1).min(MAX_RETRY_INTERVAL);
        }
        self.sent_at = Some(now);
        self.unacknowledged.push_back((number, now));
        if self.unacknowledged.len() > MAX_UNACKNOWLEDGED {
            // The earliest number is kept: it decides how long an acknowledgement is overdue.
            self.unacknowledged.remove(1);
        }
    }

    /// Records that the receiver acknowledged all messages up to `number`.
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
