//! Controllers for which messages cost processor time: input that arrives while a controller is
//! busy waits.
use super::*;
use gorseshore_core::peer::Message;
use gorseshore_core::peer::inbox::Inbox;
use gorseshore_protocol::ids::NodeId;
use std::collections::VecDeque;

/// Input that waits for a busy controller, in order of arrival.
#[derive(Debug)]
enum WaitingInput {
    Input(Input),
    /// The next message of this sender.
    Message(NodeId),
}

/// Processing costs and waiting input of each controller.
pub struct Load {
    /// Microseconds that one entry of a message between controllers takes; 0 disables the cost.
    pub entry_cost: u64,
    busy_until: Vec<u64>,
    waiting: Vec<VecDeque<WaitingInput>>,
    /// Waiting messages, by receiver and sender.
    inboxes: Vec<Vec<Inbox>>,
    /// Number of entries that were handled.
    pub entries: u64,
}

impl Load {
    pub fn new(nodes: usize) -> Self {
        let waiting = (0..nodes).map(|_| VecDeque::new()).collect();
        let inboxes = (0..nodes).map(|_| (0..nodes).map(|_| Inbox::default()).collect()).collect();
        Load { entry_cost: 0, busy_until: vec![0; nodes], waiting, inboxes, entries: 0 }
    }
}

/// Number of entries of a message that cost processing time.
fn entries(message: &Message) -> u64 {
    let count = match message {
        Message::Sync { machines, contacts, outcomes, .. } => {
            machines.len() + contacts.len() + outcomes.len()
        }
        Message::Update { block, not_in_block, assignments, stops, .. } => {
            block.len() + not_in_block.len() + assignments.len() + stops.len()
        }
        Message::PlacementLogUpdate(page) | Message::PlacementLogSnapshot(page) => page.tasks.len(),
        _ => 0,
    };
    count as u64
}

fn input_entries(input: &Input) -> u64 {
    match input {
        Input::Peer { message, .. } => entries(message),
        _ => 0,
    }
}

impl World {
    /// How far a controller is behind: the time that it takes to handle all waiting messages, in
    /// microseconds.
    pub fn backlog(&self, n: usize) -> u64 {
        let waiting = self.load.inboxes[n].iter().flat_map(Inbox::iter).map(entries).sum::<u64>();
        self.load.busy_until[n].saturating_sub(self.now) + waiting * self.load.entry_cost
    }

    /// Queues an input if its controller is busy; returns it otherwise.
    pub fn queue_if_busy(&mut self, n: usize, input: Input) -> Option<Input> {
        if self.load.entry_cost == 0 || self.load.busy_until[n] <= self.now && self.load.waiting[n].is_empty()
        {
            return Some(input);
        }
        let queue = &mut self.load.waiting[n];
        match input {
            Input::Peer { from, incarnation, message } => {
                self.load.inboxes[n][from.0 as usize].push(incarnation, message);
                queue.push_back(WaitingInput::Message(from));
            }
            // One waiting tick is enough.
            Input::Tick if queue.iter().any(|w| matches!(w, WaitingInput::Input(Input::Tick))) => {}
            input => queue.push_back(WaitingInput::Input(input)),
        }
        None
    }

    /// Takes the next waiting input.
    fn next_waiting(&mut self, n: usize) -> Option<Input> {
        loop {
            match self.load.waiting[n].pop_front()? {
                WaitingInput::Input(input) => return Some(input),
                WaitingInput::Message(from) => {
                    // Fewer messages are left than arrived if a later one superseded some.
                    if let Some((incarnation, message)) = self.load.inboxes[n][from.0 as usize].pop() {
                        return Some(Input::Peer { from, incarnation, message });
                    }
                }
            }
        }
    }

    /// Counts the entries of an input and keeps the controller busy for their cost.
    pub fn charge_input(&mut self, n: usize, input: &Input) {
        let entries = input_entries(input);
        self.load.entries += entries;
        let cost = entries * self.load.entry_cost;
        if cost > 0 {
            self.load.busy_until[n] = self.now + cost;
            self.at(cost, Event::Idle(n, self.incarnations[n]));
        }
    }

    /// A controller is no longer busy and continues with the waiting input.
    pub fn idle(&mut self, n: usize, incarnation: u64) {
        if self.incarnations[n] != incarnation {
            return;
        }
        while self.load.busy_until[n] <= self.now {
            let Some(input) = self.next_waiting(n) else { return };
            self.handle_input(n, input);
        }
    }

    /// Clears the waiting input of a process that has exited.
    pub fn clear_load(&mut self, n: usize) {
        self.load.busy_until[n] = 0;
        self.load.waiting[n].clear();
        self.load.inboxes[n].iter_mut().for_each(|i| *i = Inbox::default());
    }
}

/// Cost of an entry: controllers that receive each change once are busy for about a tenth of their
/// time.
const ENTRY_COST: u64 = 4 * MS;
/// Time after the last fault from which no controller may be behind.
const CATCH_UP_TIME: u64 = 30 * S;
/// Largest permitted backlog: more than the work of a tick or two.
const MAX_BACKLOG: u64 = S / 2;

/// Guards against messages that repeat everything unacknowledged, and more often the later the
/// acknowledgements are: they once kept a leader behind forever after all controllers had exited.
#[test]
fn controllers_that_are_behind_catch_up() {
    let mut failed = Vec::new();
    for seed in seeds("LOAD_SEEDS", 0, 4) {
        let mut w = World::new(seed, true, LARGE);
        w.load.entry_cost = ENTRY_COST;
        w.run(40 * S);
        let before = w.load.entries;
        for n in 0..w.size.nodes {
            w.terminate(n, 200 * MS);
        }
        let mut backlog = Vec::new();
        for second in 41..=100 {
            w.run(second * S);
            let worst = (0..w.size.nodes).map(|n| w.backlog(n)).max().unwrap_or(0);
            backlog.push(worst / MS);
        }
        println!(
            "seed {seed}: {before} entries before, {} after, behind {backlog:?}",
            w.load.entries - before
        );
        let late = &backlog[(CATCH_UP_TIME / S) as usize..];
        if late.iter().any(|ms| *ms > MAX_BACKLOG / MS) || !w.violations.is_empty() {
            failed.push(format!("seed {seed}: ms behind {late:?}, {:?}", w.violations.first()));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
