//! Machines whose reports arrive while no answer and no command reaches them. Such a
//! machine looks alive, but its lease runs out, its tasks die, and it comes back as a
//! new session. What it holds is bound to it until it is deleted: no report under the
//! present token can come from it. Invariant: only a machine that controllers asked in
//! vain is deleted for this, and only so many at a time.
use super::*;

/// A doubt that lasted longer was no lost packet: the machine is trusted again only
/// after a pause, twice as long each time.
const EPISODE: Micros = Micros::secs(8);
const FIRST_PAUSE: u64 = 2;
/// Others ask a machine after so much doubt; so often in vain, and it hears nothing.
const ASKED_WHEN: Micros = Micros::secs(2);
const IN_VAIN: u32 = 3;
/// A machine of which nothing came for longer is silent, which is judged elsewhere.
const ALIVE: Micros = Micros::secs(12);
/// One machine in so many, and never fewer than two, may be deleted for this in
/// `BUDGET_OF`.
const BUDGET: usize = 20;
const BUDGET_OF: Micros = Micros::secs(10);

/// Whether a machine hears what it is told.
#[derive(Debug)]
pub(super) struct Hearing {
    /// Its last report to its holder shows it.
    pub obeys: bool,
    /// When it last did.
    obeyed: Micros,
    /// Since when it is in doubt, and how often it was asked since.
    doubted: Option<Micros>,
    asked: u32,
    asked_at: Micros,
    episodes: u32,
    /// Nothing is handed to it before.
    pub trusted_at: Micros,
}

impl Hearing {
    pub(super) fn new(now: Micros) -> Self {
        Hearing {
            obeys: true,
            obeyed: now,
            doubted: None,
            asked: 0,
            asked_at: Micros(0),
            episodes: 0,
            trusted_at: Micros(0),
        }
    }

    /// Its holder tells of the report that came at `at`.
    pub(super) fn told(&mut self, obeys: bool, at: Micros, now: Micros) {
        self.obeys = obeys;
        if obeys {
            self.shown(at, now);
        } else {
            // Since it came: what comes between that and its being told ends the doubt.
            self.doubted.get_or_insert(at);
        }
    }

    /// Another controller was reported to, or asked it and had an answer.
    pub(super) fn seen(&mut self, asked: bool, elsewhere: bool, now: Micros) {
        if asked {
            self.shown(now, now);
        } else if elsewhere {
            self.doubted.get_or_insert(now);
        }
    }

    /// It showed at `at` that it hears. What was shown before the doubt ends none.
    fn shown(&mut self, at: Micros, now: Micros) {
        self.obeyed = self.obeyed.max(at);
        let Some(since) = self.doubted.filter(|since| at >= *since) else { return };
        self.doubted = None;
        self.asked = 0;
        if now.since(since) > EPISODE {
            self.episodes += 1;
            self.trusted_at = now + Micros::secs(FIRST_PAUSE << self.episodes.min(5));
        }
    }

    /// Whether others should ask it for this doubt: the last question had its time.
    pub(super) fn ask_due(&self, now: Micros) -> bool {
        self.doubted_for(ASKED_WHEN, now) && now.since(self.asked_at) > PROBE_TIMEOUT
    }

    /// It is asked by others.
    pub(super) fn ask(&mut self, now: Micros) {
        if self.ask_due(now) {
            self.asked += 1;
            self.asked_at = now;
        }
    }

    /// Whether it has been in doubt for so long.
    pub(super) fn doubted_for(&self, span: Micros, now: Micros) -> bool {
        self.doubted.is_some_and(|t| now.since(t) > span)
    }
}

impl Machine {
    /// Its holder tells that a report came that changed nothing.
    pub(super) fn goes_on(&mut self, from: NodeId, at: Micros, now: Micros) {
        if self.holder == Some(from) && self.confirmed && self.hearing.obeys {
            self.hearing.shown(at, now);
        }
    }
}

impl Leader {
    /// Deletes machines that hear nothing: those with tasks shortly before their
    /// workers' leases end, so that one that hears again in time loses nothing.
    pub(super) fn watch_deaf(&mut self, now: Micros) {
        let lease = self.ctx.lease;
        let mut held: BTreeMap<NodeId, (usize, usize)> = BTreeMap::new();
        let (mut up, mut any) = (0, false);
        for m in self.machines.values().filter(|m| m.stage == Stage::Up) {
            let doubted = m.hearing.doubted.is_some();
            (up, any) = (up + 1, any || doubted);
            if let Some(h) = m.holder {
                let (n, of) = held.entry(h).or_default();
                (*n, *of) = (*n + doubted as usize, *of + 1);
            }
        }
        if !any {
            return;
        }
        while self.deaf_gone.front().is_some_and(|t| now.since(*t) > BUDGET_OF) {
            self.deaf_gone.pop_front();
        }
        let left = (up / BUDGET).max(2).saturating_sub(self.deaf_gone.len());
        let mut doomed = Vec::new();
        for (id, m) in &self.machines {
            let h = &m.hearing;
            let last = m.heard.max(self.last_seen.get(id).map(|x| x.1));
            let alive = last.is_some_and(|t| now.since(t) < ALIVE);
            // The last question may still be answered.
            if m.stage != Stage::Up || h.doubted.is_none() || !alive || h.asked <= IN_VAIN {
                continue;
            }
            let limit = if m.bound.is_empty() { lease.scale(2, 1) } else { lease.scale(7, 10) };
            let span = now.since(self.lateness.silence_start(h.obeyed));
            // Where most machines of a controller hear nothing, it is its way out that
            // is cut: others take them.
            let of_holder = m.holder.and_then(|h| held.get(&h)).copied().unwrap_or_default();
            let way_out = of_holder.1 >= 4 && of_holder.0 * 2 > of_holder.1;
            if span > limit && (!way_out || span > lease.scale(2, 1)) {
                doomed.push((std::cmp::Reverse(span), id.clone()));
            }
        }
        doomed.sort();
        for (span, id) in doomed.into_iter().take(left) {
            self.deaf_gone.push_back(now);
            let why = format!("it reports and has heard nothing for {:.1} s", span.0.as_secs_f64());
            self.delete(&id, &why, now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_doubt_ends_by_what_comes_after_it() {
        let s = Micros::secs;
        // (what is told at second; in doubt after it, trusted again at second)
        type Step = (fn(&mut Hearing, Micros), u64, bool, u64);
        let steps: [Step; 9] = [
            (|h, t| h.told(true, t, t), 1, false, 0),
            (|h, t| h.seen(false, true, t), 5, true, 0),
            // The holder tells again of what came before.
            (|h, t| h.told(true, Micros::secs(4), t), 6, true, 0),
            (|h, t| h.told(true, t, t), 9, false, 0),
            (|h, t| h.told(false, t, t), 20, true, 0),
            (|h, t| h.seen(true, true, t), 30, false, 34),
            (|h, t| h.told(false, t, t), 40, true, 34),
            (|h, t| h.seen(false, false, t), 45, true, 34),
            (|h, t| h.told(true, t, t), 50, false, 58),
        ];
        let mut h = Hearing::new(s(0));
        for (i, (step, at, doubted, trusted)) in steps.into_iter().enumerate() {
            step(&mut h, s(at));
            assert_eq!((h.doubted.is_some(), h.trusted_at), (doubted, s(trusted)), "step {i}");
        }
    }
}
