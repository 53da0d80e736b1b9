//! A witness in place of a leader that is silent: cancelled tasks go from their
//! machines even if nobody can lead.
//!
//! Invariant: nothing is started, granted or freed here. A stop does no harm, and a
//! deletion needs no leadership: a later leader finds the machine gone, or deletes it
//! once more. Where the tasks are, the books say; they are complete (`crate::books`),
//! and late only with places that are left since, so a machine is asked before it is
//! deleted. An answer without the task proves it gone, except where its start may still
//! be on the way.
use crate::books::Book;
use gorseshore_protocol::ids::{JobId, MachineId, Micros};
use gorseshore_protocol::workers::{Direct, Order, Report};
use std::collections::{BTreeMap, VecDeque};

/// A leader that says nothing for so long is stood in for: as long as it may be cut off
/// before it gives up, and a little.
pub const SILENT: Micros = Micros::secs(4);
/// The books are looked through so often.
const LOOKED_AT: Micros = Micros::millis(200);
/// A machine that has not answered, or still has a task, is asked again after this.
const ASK_AGAIN: Micros = Micros::millis(1500);
/// Machines asked at a time, beside the other work.
const ASKED_AT_ONCE: usize = 25;
/// A deletion without an answer is sent again after this.
const DELETE_AGAIN: Micros = Micros::secs(3);
/// The share of the machines that may be deleted in `BUDGET_TIME`, two at least.
const BUDGET: usize = 20;
const BUDGET_TIME: Micros = Micros::secs(10);

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Act {
    /// Ask these for their reports.
    Ask(Vec<MachineId>),
    /// Delete these.
    Delete(Vec<MachineId>),
}

/// A machine that may hold a cancelled task.
#[derive(Debug, Default)]
struct Place {
    asked: Option<Micros>,
    /// When it was asked for the report that shows no cancelled task.
    clean: Option<Micros>,
    deleting: Option<Micros>,
    gone: bool,
}

/// The stand-in's state.
#[derive(Debug, Default)]
pub struct Deputy {
    places: BTreeMap<MachineId, Place>,
    deleted: VecDeque<Micros>,
    looked: Micros,
}

impl Deputy {
    /// Somebody leads: it does all this, and better.
    pub fn stand_down(&mut self) {
        self.places.clear();
    }

    /// What is due for jobs that were cancelled, and since when that is known here.
    pub fn tick(
        &mut self,
        book: &Book,
        cancelled: &BTreeMap<JobId, Micros>,
        cancel: Micros,
        machines: usize,
        now: Micros,
    ) -> Vec<Act> {
        if now.since(self.looked) < LOOKED_AT {
            return Vec::new();
        }
        self.looked = now;
        // The same part of the time as a leader's (`leader/blocks.rs`); the machines are
        // asked well before.
        let (ask_from, delete_from) = (cancel.scale(30, 100), cancel.scale(65, 100));
        let mut ask = Vec::new();
        let mut doomed = Vec::new();
        for (task, e) in &book.tasks {
            let Some(since) = cancelled.get(&task.job) else { continue };
            if now.since(*since) < ask_from {
                continue;
            }
            let hint = e.handed.as_ref().map(|(hint, _)| hint);
            for id in e.on.iter().chain(hint) {
                let p = self.places.entry(id.clone()).or_default();
                let open = e.starting || e.handed.is_some();
                if p.gone || !open && p.clean.is_some_and(|t| t > *since) {
                    continue;
                }
                if p.asked.is_none_or(|t| now.since(t) >= ASK_AGAIN) && ask.len() < ASKED_AT_ONCE {
                    p.asked = Some(now);
                    ask.push(id.clone());
                }
                let due = p.deleting.is_none_or(|t| now.since(t) >= DELETE_AGAIN);
                if now.since(*since) >= delete_from && due {
                    doomed.push((*since, id.clone(), p.deleting.is_some()));
                }
            }
        }
        doomed.sort();
        doomed.dedup_by(|a, b| a.1 == b.1);
        while self.deleted.front().is_some_and(|t| now.since(*t) >= BUDGET_TIME) {
            self.deleted.pop_front();
        }
        let mut delete = Vec::new();
        for (_, id, again) in doomed {
            if !again && self.deleted.len() >= (machines / BUDGET).max(2) {
                break;
            }
            if !again {
                self.deleted.push_back(now);
            }
            if let Some(p) = self.places.get_mut(&id) {
                p.deleting = Some(now);
            }
            delete.push(id);
        }
        let mut acts = Vec::new();
        if !ask.is_empty() {
            acts.push(Act::Ask(ask));
        }
        if !delete.is_empty() {
            delete.truncate(100);
            acts.push(Act::Delete(delete));
        }
        acts
    }

    /// A machine answered: the stops for what is over there, under the token and the
    /// session that it showed, so that a newer grant is not touched.
    pub fn answered(&mut self, r: &Report, unwanted: Vec<Order>) -> Option<Direct> {
        let p = self.places.get_mut(&MachineId::from(&*r.host))?;
        if unwanted.is_empty() {
            p.clean = p.asked;
            return None;
        }
        Some(Direct { baton: r.baton, shift: r.shift, orders: unwanted })
    }

    /// A deletion was carried out.
    pub fn deleted(&mut self, ids: &[MachineId]) {
        for id in ids {
            if let Some(p) = self.places.get_mut(id) {
                p.gone = true;
            }
        }
    }
}

#[cfg(test)]
mod tests;
