//! Messages of one sender that wait until this process comes to them.
//!
//! Invariant: what is taken out is in the order in which it came, and left out is only what a
//! later message of the same process and kind repeats: a view, a page of placements or a sign of
//! life. Leaving one out is as if it had been lost, which every receiver stands.
use super::Message;
use std::collections::VecDeque;

/// A message that waits, and the number of the process that sent it.
pub type QueuedMessage = (u64, Message);

/// The messages that wait.
#[derive(Debug, Default)]
pub struct Inbox {
    messages: VecDeque<QueuedMessage>,
}

/// Whether a message says all that an earlier one of the same process says, as it is now.
fn supersedes(later: &Message, earlier: &Message) -> bool {
    match (later, earlier) {
        (Message::Ping { .. }, Message::Ping { .. }) => true,
        // A view holds what changed since its base, which the receiver has taken.
        (Message::Sync { term, seq, .. }, Message::Sync { term: t, seq: s, .. }) => term == t && seq > s,
        (Message::PlacementLogUpdate(page), Message::PlacementLogUpdate(other)) => {
            page.term == other.term && page.seq >= other.seq
        }
        _ => false,
    }
}

impl Inbox {
    /// A message came.
    pub fn push(&mut self, process: u64, message: Message) {
        self.messages.retain(|(p, earlier)| *p != process || !supersedes(&message, earlier));
        self.messages.push_back((process, message));
    }

    /// The earliest message.
    pub fn pop(&mut self) -> Option<QueuedMessage> {
        self.messages.pop_front()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// All that wait.
    pub fn iter(&self) -> impl Iterator<Item = &Message> {
        self.messages.iter().map(|(_, message)| message)
    }
}

#[cfg(test)]
mod tests;
