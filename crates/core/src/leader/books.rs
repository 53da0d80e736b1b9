//! The leader's books: kept at its witnesses, and taken over from the leader
//! before (see `crate::books` for the invariants).
use super::assignments::{Handed, first_watched};
use super::*;
use crate::books::{Book, Entry, Page, Witnesses};

impl Leader {
    /// Controllers that are heard, with their processes.
    fn at_hand(&self, now: Micros) -> Vec<(NodeId, u64)> {
        let nodes = self.nodes.iter().enumerate().map(|(i, n)| (NodeId(i as u8), n.incarnation));
        nodes.filter(|(n, incarnation)| *incarnation > 0 && self.in_contact(*n, now)).collect()
    }

    /// Pages of the books that are due at the witnesses.
    pub(super) fn books_messages(&mut self, now: Micros) -> Vec<(NodeId, Message)> {
        if std::mem::take(&mut self.books.moved) {
            // What was held back for a witness may go now.
            let covered = self.books.covered().unwrap_or(0);
            for OnItsWay { to: n, covered_by: at, .. } in self.handouts.values() {
                if *at <= covered
                    && let Some(n) = self.nodes.get_mut(n.0 as usize)
                {
                    n.dirty = true;
                }
            }
        }
        let at_hand = self.at_hand(now);
        let due = self.books.due(&at_hand, now);
        due.into_iter().map(|(n, base)| (n, Message::PlacementLogUpdate(self.page(base)))).collect()
    }

    /// What changed in the books after `base`, as it is now.
    fn page(&self, base: u64) -> Page {
        let entry = |task: &TaskId| {
            let run = self.jobs.get(&task.job)?;
            let done = run.unrecorded.contains(&task.index);
            let Some(b) = run.bound.get(&task.index) else {
                let nowhere =
                    Entry { attempt: Attempt(0), on: Vec::new(), starting: false, done, handed: None };
                return done.then_some(nowhere);
            };
            let handed = b.unresolved_assignment.as_ref().map(|h| {
                let zone = run.spec.has_zone_constraint().then(|| h.zone.clone());
                (h.hint.clone(), zone)
            });
            let starting = b.reported_on.iter().any(|id| {
                let state = self.machines.get(id).and_then(|m| m.tasks.get(task)).map(|t| t.1);
                state.is_none_or(|s| s == TaskState::Starting)
            });
            Some(Entry {
                attempt: b.attempt,
                on: b.reported_on.iter().cloned().collect(),
                starting,
                done,
                handed,
            })
        };
        let tasks = match self.books.changed(base) {
            Some(tasks) => tasks.into_iter().map(|t| (t, entry(&t))).collect(),
            None => {
                let all = self.jobs.iter().flat_map(|(job, r)| {
                    let kept = r.bound.keys().chain(r.unrecorded.iter());
                    kept.map(|index| TaskId { job: *job, index: *index })
                });
                all.map(|t| (t, entry(&t))).collect()
            }
        };
        let unknown = self.machines.iter().filter(|(_, m)| m.unknown).map(|(id, _)| id.clone()).collect();
        Page { term: self.term, seq: self.books.seq(), base, tasks, unknown }
    }

    /// A witness has taken the books; whether hand-outs may be free to go.
    pub fn books_taken(&mut self, from: NodeId, incarnation: u64, seq: u64, now: Micros) -> bool {
        self.books.taken(from, incarnation, seq, now);
        self.books.moved
    }

    /// The record of witnesses to write now, over which version. `ended` are
    /// controllers whose hosts say that their process is gone.
    pub fn books_record(
        &mut self,
        ledger: &StateReplica,
        ended: &[NodeId],
        now: Micros,
    ) -> Option<(Witnesses, u64)> {
        self.books.recorded(&ledger.standby_replicas.0, ledger.standby_replicas.1);
        if !self.granted {
            return None;
        }
        let at_hand = self.at_hand(now);
        self.books.wanted(&at_hand, ended, self.began, now)
    }

    /// The write of such a record ended, one way or another.
    pub fn books_record_ended(&mut self) {
        self.books.write_ended();
    }

    /// Whose books are wanted, and who may have them: processes by name.
    pub fn books_wanted(&self) -> Option<&Witnesses> {
        (!self.granted && self.wants_books).then(|| self.books.record())
    }

    /// Takes over the books of the leader before. They hold all places where a
    /// task may be, so that a machine that nobody heard holds what they say and
    /// nothing else.
    pub fn inherit(&mut self, term: u64, book: &Book, ledger: &StateReplica) {
        if self.granted || !self.wants_books || self.books.record().term != term {
            return;
        }
        self.wants_books = false;
        for (id, m) in self.machines.iter_mut() {
            m.unknown = book.unknown.contains(id);
        }
        let mut taken = 0;
        // One block for all that may be anywhere in a zone, or anywhere.
        let mut blocks: BTreeMap<&Option<String>, Rc<BTreeSet<MachineId>>> = BTreeMap::new();
        for (task, e) in &book.tasks {
            let job = ledger.jobs.get(&task.job);
            let Some((job, spec)) = job.and_then(|j| Some((j, j.spec.clone()?))) else { continue };
            if e.done && job.phase == Phase::Active && !job.done.contains(task.index) {
                let objectives = &self.ctx.objectives;
                let run =
                    self.jobs.entry(task.job).or_insert_with(|| JobRun::new(job, spec.clone(), objectives));
                run.done.insert(task.index);
                run.unrecorded.insert(task.index);
                self.progressed.insert(task.job);
                self.books.note(*task);
            }
            // A machine without a record is gone: it is forgotten only then.
            let on: BTreeSet<MachineId> =
                e.on.iter().filter(|id| self.machines.contains_key(*id)).cloned().collect();
            let handed = e.handed.as_ref().map(|(hint, zone)| {
                let block = blocks.entry(zone).or_insert_with(|| {
                    let in_zone = |m: &Machine| zone.as_ref().is_none_or(|z| *z == m.zone);
                    let all = self.machines.iter().filter(|(_, m)| in_zone(m));
                    Rc::new(all.map(|(id, _)| id.clone()).collect())
                });
                let at_hint = self.machines.get(hint).map(|m| m.zone.clone());
                Handed {
                    // Nobody's: no outcome is told to this term.
                    incarnation: 0,
                    machines: block.clone(),
                    hint: hint.clone(),
                    zone: zone.clone().or(at_hint).unwrap_or_default(),
                    watched: first_watched(block, &spec, e.attempt, &self.machines),
                }
            });
            if on.is_empty() && handed.is_none() {
                continue;
            }
            let objectives = &self.ctx.objectives;
            let run = self.jobs.entry(task.job).or_insert_with(|| JobRun::new(job, spec.clone(), objectives));
            for id in &on {
                if let Some(m) = self.machines.get_mut(id) {
                    m.bound.insert(*task);
                    m.tasks.insert(*task, (e.attempt, TaskState::Running));
                    m.images.insert(spec.image.clone());
                    m.stale = true;
                }
            }
            if let Some(handed) = &handed {
                self.handed.watch(*task, handed.watched.as_ref());
            }
            self.sums.bound(&run.spec);
            run.bound.insert(
                task.index,
                Binding { attempt: e.attempt, unresolved_assignment: handed, reported_on: on },
            );
            self.books.note(*task);
            taken += 1;
        }
        self.dirty = true;
        self.requeue = true;
        info!(
            "the books of term {term} are taken over: {taken} tasks, {} machines may hold others",
            book.unknown.len()
        );
    }
}
