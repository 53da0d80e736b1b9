//! Messages through the state service, for messages that no other way is left
//! for: outgoing ones, and the parts of incoming ones.
use crate::peer::{Envelope, Message};
use data_encoding::BASE64;
use gorseshore_protocol::ids::{Micros, NodeId};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A part of a message as it is recorded: sender's process, number, place,
/// number of parts, text.
type Part = (u64, u64, usize, usize, String);

/// Messages that wait to go that way, and parts that came.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// The last message of each sort for each controller.
    pub outgoing: BTreeMap<(NodeId, u8), Message>,
    pub next_at: Micros,
    pub count: u64,
    /// Messages of which parts have come, by the sender's process: number, text
    /// so far, parts so far.
    open: BTreeMap<u64, (u64, String, usize)>,
}

impl Relay {
    /// Keeps a message until it can be posted; only what stands for a whole
    /// state is worth it.
    pub fn keep(&mut self, to: NodeId, m: &Message) {
        let sort = match m {
            Message::Sync { .. } => 0,
            Message::Update { .. } => 1,
            _ => return,
        };
        self.outgoing.insert((to, sort), m.clone());
    }

    /// A part came; all parts of one message come together and in order. The
    /// envelope, once it is whole.
    pub fn open(&mut self, v: &serde_json::Value) -> Option<Envelope> {
        let (sender, number, i, n, text) = Part::deserialize(v).ok()?;
        let partial = self.open.entry(sender).or_default();
        if i == 0 {
            *partial = (number, String::new(), 0);
        }
        if partial.0 != number || partial.2 != i {
            return None;
        }
        partial.1.push_str(&text);
        partial.2 += 1;
        if partial.2 < n {
            return None;
        }
        let (_, text, _) = self.open.remove(&sender)?;
        Envelope::unpack(&BASE64.decode(text.as_bytes()).ok()?)
    }
}
