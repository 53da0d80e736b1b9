//! The leader's books at its witnesses: where each bound task may be, kept at
//! other controllers, so that the next leader knows what may run on machines
//! that it can't hear.
//!
//! Invariants:
//! - A hand-out leaves the leader only after every witness on record, and every
//!   one that a record under way may name, has acknowledged books that hold it
//!   (`Ledgers::covered`). All other changes only make fewer places of a task,
//!   or tell of places that the books call unknown; they may come late.
//! - Nobody is put on record as a witness who has not acknowledged everything
//!   that left before (`Ledgers::released`).
//! - Who is a witness is a record of the state service that only the leader
//!   writes, under its key. In a term without that record nothing is handed out.
//! - A record counts for the next leader only if every leader since wrote its
//!   term there with the transaction that made it leader (`led`).
//!
//! So the books of any one witness, taken after the old leader's lease ended,
//! hold all places where a task may be (`docs/safety.md`).
use crate::peer::pacing::Pacer;
use borsh::{BorshDeserialize, BorshSerialize};
use gorseshore_protocol::ids::{Attempt, MachineId, Micros, NodeId, TaskId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes that are remembered; who is further behind gets the whole books.
const REMEMBERED: usize = 20_000;
/// A witness that owes an acknowledgement for so long is struck off.
const OVERDUE: Micros = Micros::millis(700);
/// When that would leave none, it stays on record for so long, unless its
/// process ended: a leader that is cut off from all others gives up before, and
/// the next one needs the books of the last moment.
const LAST_LEAVES: Micros = Micros::secs(4);
/// Unacknowledged changes are sent again after this.
const AGAIN: Micros = Micros::millis(200);
/// The same for the whole books.
const WHOLE_AGAIN: Micros = Micros::millis(900);
/// Books that a hand-out waits for go out no more often than this.
const PACE: Micros = Micros::millis(10);
/// The same for other changes, which may come late.
const LAZY: Micros = Micros::millis(400);
/// Who keeps up acknowledges within this.
const ACKNOWLEDGED_WITHIN: Micros = Micros::millis(200);
/// Most witnesses.
const MOST: usize = 3;

/// Where a bound task may be.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Entry {
    /// Its attempt.
    pub attempt: Attempt,
    /// On these machines.
    pub on: Vec<MachineId>,
    /// Its start on one of them may still be on the way.
    pub starting: bool,
    /// It is done, and that is not on record yet: nobody may run it again.
    pub done: bool,
    /// Handed to a controller, whose word is not known: on any machine, or on
    /// any of the zone if the hand-out names one.
    pub handed: Option<(MachineId, Option<String>)>,
}

/// Books as they are sent: what changed since `base`.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Page {
    /// The leader's term.
    pub term: u64,
    /// Number of the last change in it.
    pub seq: u64,
    /// What the receiver acknowledged; 0: these are the whole books.
    pub base: u64,
    /// Tasks that changed; `None`: bound nowhere.
    pub tasks: Vec<(TaskId, Option<Entry>)>,
    /// Machines that may hold anything: recorded before the term and not heard.
    pub unknown: Vec<MachineId>,
}

/// Who holds the books, as recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witnesses {
    /// The term whose books they hold; 0: nobody holds any.
    pub term: u64,
    /// The last term that wrote here when it began.
    pub led: u64,
    /// Names and processes of the witnesses.
    pub nodes: Vec<(String, u64)>,
}

impl Witnesses {
    /// What the leader of `term` writes when it takes the key: the books of
    /// before still count if no term came between that did not write here.
    pub fn taken_over(&self, term: u64) -> Witnesses {
        match self.led + 1 == term {
            true => Witnesses { led: term, ..self.clone() },
            false => Witnesses { term: 0, led: term, nodes: Vec::new() },
        }
    }
}

/// Books that this controller keeps for leaders.
#[derive(Debug, Default)]
pub struct Kept {
    books: BTreeMap<u64, Book>,
}

/// Books of one term.
#[derive(Debug, Clone, Default)]
pub struct Book {
    seq: u64,
    /// Bound tasks.
    pub tasks: BTreeMap<TaskId, Entry>,
    /// Machines that may hold anything.
    pub unknown: BTreeSet<MachineId>,
}

impl Book {
    /// The whole of it, as a page.
    pub fn page(&self, term: u64) -> Page {
        Page {
            term,
            seq: self.seq,
            base: 0,
            tasks: self.tasks.iter().map(|(t, e)| (*t, Some(e.clone()))).collect(),
            unknown: self.unknown.iter().cloned().collect(),
        }
    }
    /// From a page that is whole.
    pub fn of(page: Page) -> Option<Book> {
        let mut book = Book::default();
        (page.base == 0).then(|| book.take(page))?;
        Some(book)
    }
    /// Takes a page; the number to acknowledge. One that builds on what was
    /// not taken is left, and what was taken is acknowledged again.
    fn take(&mut self, page: Page) -> u64 {
        if page.seq <= self.seq || page.base > self.seq {
            return self.seq;
        }
        if page.base == 0 {
            self.tasks.clear();
        }
        for (task, entry) in page.tasks {
            match entry {
                Some(e) => self.tasks.insert(task, e),
                None => self.tasks.remove(&task),
            };
        }
        self.unknown = page.unknown.into_iter().collect();
        self.seq = page.seq;
        self.seq
    }
}

impl Kept {
    /// Takes a page into the books of its term; the number to acknowledge.
    pub fn take(&mut self, page: Page) -> u64 {
        self.books.entry(page.term).or_default().take(page)
    }
    /// The books of a term, if any are here.
    pub fn get(&self, term: u64) -> Option<&Book> {
        self.books.get(&term).filter(|b| b.seq > 0)
    }
    /// All that are kept, of the earliest term first.
    pub fn all(&self) -> impl Iterator<Item = &Book> {
        self.books.values().filter(|b| b.seq > 0)
    }
    /// Books of terms before the one on record are of no use any more.
    pub fn drop_before(&mut self, term: u64) {
        self.books.retain(|t, _| *t >= term);
    }
}

/// What the leader knows of a controller as a witness.
#[derive(Debug, Clone)]
struct Reader {
    incarnation: u64,
    acked: u64,
    sent: u64,
    pacer: Pacer,
    /// Since when it owes an acknowledgement.
    owes: Option<Micros>,
}

impl Reader {
    /// A process that has taken nothing.
    fn new(incarnation: u64) -> Self {
        Reader { incarnation, acked: 0, sent: 0, pacer: Pacer::new(ACKNOWLEDGED_WITHIN), owes: None }
    }
}

/// The leader's side: numbers for changes, who has taken what, and the record.
#[derive(Debug)]
pub struct Ledgers {
    term: u64,
    /// The leader, and all controllers' names and zones.
    me: NodeId,
    names: Vec<String>,
    zones: Vec<String>,
    /// Number of the last change.
    seq: u64,
    log: VecDeque<(u64, TaskId)>,
    /// Changes up to this are not in the log any more.
    forgotten: u64,
    readers: Vec<Reader>,
    /// The record as last seen, and its version.
    record: Witnesses,
    stamp: u64,
    /// Records that were written and may come to be, over that version.
    pending: Vec<Witnesses>,
    writing: bool,
    write_at: Micros,
    /// Since when no witness on record is sound.
    bare: Option<Micros>,
    /// The last change that a hand-out waits for.
    waited: u64,
    /// The last change that left with a hand-out: who lacks it, or anything
    /// before it, can't become a witness.
    released: u64,
    /// Somebody's acknowledgements moved: held hand-outs may be free to go.
    pub moved: bool,
}

impl Ledgers {
    /// For a term; `record` as its leader's mirror has it.
    pub fn new(
        term: u64,
        me: NodeId,
        names: Vec<String>,
        zones: Vec<String>,
        record: Witnesses,
        stamp: u64,
    ) -> Self {
        Ledgers {
            term,
            me,
            readers: vec![Reader::new(0); names.len()],
            names,
            zones,
            // The empty books are a page, too.
            seq: 1,
            log: VecDeque::new(),
            forgotten: 1,
            record,
            stamp,
            pending: Vec::new(),
            writing: false,
            write_at: Micros(0),
            bare: None,
            waited: 1,
            released: 1,
            moved: false,
        }
    }

    /// A task's places changed; the number of the change.
    pub fn note(&mut self, task: TaskId) -> u64 {
        self.seq += 1;
        self.log.push_back((self.seq, task));
        if self.log.len() > REMEMBERED
            && let Some((seq, _)) = self.log.pop_front()
        {
            self.forgotten = seq;
        }
        self.seq
    }

    /// A task was handed out; the change that has to be covered before it goes.
    pub fn hand_out(&mut self, task: TaskId) -> u64 {
        self.waited = self.note(task);
        self.waited
    }

    /// Takes the record as the mirror shows it now. What was seen once counts
    /// against an older sight of it.
    pub fn recorded(&mut self, record: &Witnesses, stamp: u64) {
        if stamp > self.stamp {
            self.record = record.clone();
            self.stamp = stamp;
            self.pending.clear();
            self.moved = true;
        }
    }

    /// The record as last seen.
    pub fn record(&self) -> &Witnesses {
        &self.record
    }

    /// A hand-out of this change leaves the leader.
    pub fn release(&mut self, at: u64) {
        self.released = self.released.max(at);
    }

    /// Whether this term's witnesses are on record.
    pub fn settled(&self) -> bool {
        self.record.term == self.term
    }

    /// A witness by its node, as far as its name is known.
    fn node(&self, (name, incarnation): &(String, u64)) -> Option<(NodeId, u64)> {
        self.names.iter().position(|n| n == name).map(|i| (NodeId(i as u8), *incarnation))
    }

    /// What is known of this very process as a reader.
    fn reader(&self, (n, incarnation): (NodeId, u64)) -> Option<&Reader> {
        self.readers.get(n.0 as usize).filter(|r| r.incarnation == incarnation)
    }

    /// Up to which change all witnesses have taken the books, those included
    /// that a record under way may name. `None` before the first record.
    pub fn covered(&self) -> Option<u64> {
        if !self.settled() {
            return None;
        }
        let all = self.pending.iter().chain([&self.record]).flat_map(|w| w.nodes.iter());
        let acked = all.map(|w| self.node(w).and_then(|n| self.reader(n)).map_or(0, |r| r.acked));
        Some(acked.min().unwrap_or(u64::MAX))
    }

    /// A controller acknowledged books.
    pub fn taken(&mut self, from: NodeId, incarnation: u64, seq: u64, now: Micros) {
        let Some(r) = self.readers.get_mut(from.0 as usize) else { return };
        if r.incarnation != incarnation || seq <= r.acked || seq > self.seq {
            return;
        }
        self.moved |= r.acked < self.waited;
        r.acked = seq;
        r.pacer.acknowledged(seq, now);
        r.owes = (r.sent > seq).then_some(now);
    }

    /// Who should be a witness: of those at hand, of as many zones as there
    /// are, other zones than the leader's first.
    fn chosen(&self, at_hand: &[(NodeId, u64)]) -> Vec<(NodeId, u64)> {
        let mut chosen: Vec<(NodeId, u64)> = Vec::new();
        let zone = |n: NodeId| self.zones.get(n.0 as usize).map_or("", |z| z.as_str());
        while chosen.len() < MOST {
            let left = at_hand.iter().filter(|(n, _)| *n != self.me && !chosen.iter().any(|(c, _)| c == n));
            let next = left.min_by_key(|(n, inc)| {
                let crowd = chosen.iter().filter(|(c, _)| zone(*c) == zone(*n)).count();
                let mine = zone(*n) == zone(self.me);
                // Who has the books already stays before who would need them.
                let new = self.reader((*n, *inc)).is_none_or(|r| r.acked == 0);
                (crowd + mine as usize, new, *n)
            });
            match next {
                Some(n) => chosen.push(*n),
                None => break,
            }
        }
        chosen
    }

    /// Pages that are due, by receiver: (whom, since which change).
    pub fn due(&mut self, at_hand: &[(NodeId, u64)], now: Micros) -> Vec<(NodeId, u64)> {
        let mut due = Vec::new();
        let mut readers = self.chosen(at_hand);
        // Whoever may be on record is waited for.
        let on_record = self.pending.iter().chain([&self.record]).filter(|w| w.term == self.term);
        for node in on_record.flat_map(|w| w.nodes.iter()).filter_map(|w| self.node(w)) {
            if at_hand.contains(&node) && !readers.contains(&node) {
                readers.push(node);
            }
        }
        for (n, incarnation) in readers {
            let Some(r) = self.readers.get_mut(n.0 as usize) else { continue };
            if r.incarnation != incarnation {
                *r = Reader::new(incarnation);
            }
            let again = if r.acked == 0 { WHOLE_AGAIN } else { AGAIN };
            let pace = if self.waited > r.sent { PACE } else { LAZY };
            let news = self.seq > r.sent && r.pacer.may_send(pace, now) && (r.acked > 0 || r.sent == 0);
            let owed = r.acked < r.sent && r.pacer.may_send(again, now);
            if !news && !owed {
                continue;
            }
            let base = if r.acked < self.forgotten { 0 } else { r.acked };
            r.sent = self.seq;
            r.pacer.sent(self.seq, now);
            r.owes.get_or_insert(now);
            due.push((n, base));
        }
        due
    }

    /// Tasks that changed after `base`; `None` for all.
    pub fn changed(&self, base: u64) -> Option<BTreeSet<TaskId>> {
        (base > 0).then(|| self.log.iter().rev().take_while(|(s, _)| *s > base).map(|(_, t)| *t).collect())
    }

    /// Number of the last change.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// A record that should be written now, over the version that is known.
    /// `ended` are controllers whose hosts say that their process is gone.
    pub fn wanted(
        &mut self,
        at_hand: &[(NodeId, u64)],
        ended: &[NodeId],
        began: Micros,
        now: Micros,
    ) -> Option<(Witnesses, u64)> {
        if self.writing || now.since(self.write_at) < Micros::millis(150) {
            return None;
        }
        let sound = |n: &(NodeId, u64)| {
            self.reader(*n).is_some_and(|r| {
                let owes = r.owes.is_some_and(|t| now.since(t) > OVERDUE);
                r.acked >= self.released && !owes
            })
        };
        let chosen = self.chosen(at_hand);
        let good: Vec<(NodeId, u64)> = chosen.iter().filter(|n| sound(n)).copied().collect();
        // The first record waits a moment for those who are taking the books.
        if !self.settled() && good.len() < chosen.len() && now.since(began) < Micros::millis(400) {
            return None;
        }
        let name = |(n, inc): &(NodeId, u64)| Some((self.names.get(n.0 as usize)?.clone(), *inc));
        let mut nodes: Vec<(String, u64)> = good.iter().filter_map(name).collect();
        nodes.sort();
        let want = Witnesses { term: self.term, led: self.term, nodes };
        // Others that are as good are not worth a record: a witness is struck
        // off when it fails, and added when there are too few.
        let keeps = self.settled() && {
            let holds = |w: &(String, u64)| self.node(w).is_some_and(|n| at_hand.contains(&n) && sound(&n));
            self.record.nodes.iter().all(holds) && self.record.nodes.len() >= want.nodes.len()
        };
        if keeps && self.pending.is_empty() {
            self.bare = None;
            return None;
        }
        let left = |w: &(String, u64)| {
            self.node(w).is_some_and(|(n, inc)| {
                let another = at_hand.iter().any(|(m, i)| *m == n && *i != inc);
                !another && !ended.contains(&n)
            })
        };
        if self.settled() && want.nodes.is_empty() && self.record.nodes.iter().any(left) {
            if now.since(*self.bare.get_or_insert(now)) < LAST_LEAVES {
                return None;
            }
        } else {
            self.bare = None;
        }
        if !self.pending.contains(&want) {
            self.pending.push(want.clone());
        }
        self.writing = true;
        self.write_at = now;
        Some((want, self.stamp))
    }

    /// A record's write came back, whatever it said: what the mirror shows counts.
    pub fn write_ended(&mut self) {
        self.writing = false;
    }
}

#[cfg(test)]
mod tests;
