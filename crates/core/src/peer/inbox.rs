//! A queue of one sender's messages that this process has not handled yet.
//!
//! Invariant: messages are returned in the order of their arrival. A message is dropped only if a later
//! one of the same process and kind supersedes it: a `Sync`, an update of the placement log or a
//! `Ping`. Dropping it is equivalent to losing it in transit, which every receiver tolerates.
use super::Message;
use std::collections::VecDeque;

/// A queued message and the incarnation number of its sender.
pub type QueuedMessage = (u64, Message);

/// The queued messages.
#[derive(Debug, Default)]
pub struct Inbox {
    messages: VecDeque<QueuedMessage>,
}

/// Whether a message contains the current state of everything in an earlier one of the same process.
fn supersedes(later: &Message, earlier: &Message) -> bool {
    match (later, earlier) {
        (Message::Ping { .. }, Message::Ping { .. }) => true,
        // A `Sync` holds all changes since its base, which the receiver has applied.
        (Message::Sync { term, seq, .. }, Message::Sync { term: t, seq: s, .. }) => term == t && seq > s,
        (Message::PlacementLogUpdate(page), Message::PlacementLogUpdate(other)) => {
            page.term == other.term && page.seq >= other.seq
        }
        _ => false,
    }
}

impl Inbox {
    /// Adds a message and drops those that it supersedes.
    pub fn push(&mut self, incarnation: u64, message: Message) {
        self.messages.retain(|(p, earlier)| *p != incarnation || !supersedes(&message, earlier));
        self.messages.push_back((incarnation, message));
    }

    /// Removes the earliest message.
    pub fn pop(&mut self) -> Option<QueuedMessage> {
        self.messages.pop_front()
    }

    /// Number of queued messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether no message is queued.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// The queued messages in order.
    pub fn iter(&self) -> impl Iterator<Item = &Message> {
        self.messages.iter().map(|(_, message)| message)
    }
}

#[cfg(test)]
mod tests;
