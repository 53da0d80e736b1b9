//! Hand-outs and stops. Invariant: a hand-out goes only to a machine that was
//! granted before it, whose worker has shown that grant's token.
use super::*;

impl Controller {
    /// Takes hand-outs, starting what fits.
    pub fn take_handouts(&mut self, handouts: &[HandOut], ledger: &StateReplica, sizes: &Sizes, now: Micros) {
        for h in handouts {
            if self.outcomes.contains_key(&h.attempt) {
                continue;
            }
            let machine = self.place(h, ledger, sizes, now);
            match &machine {
                Some(id) => self.touch(id),
                None => debug!("{}: no room for hand-out {}", h.task, h.attempt.0),
            }
            self.outcomes.insert(h.attempt, Placed { machine, told: None });
            self.dirty = true;
        }
    }

    pub(super) fn place(
        &mut self,
        h: &HandOut,
        ledger: &StateReplica,
        sizes: &Sizes,
        now: Micros,
    ) -> Option<MachineId> {
        let job = ledger.jobs.get(&h.task.job)?;
        let spec = job.spec.as_ref()?;
        if over(Some(job), h.task.index) || now >= self.lease_until {
            return None;
        }
        // The leader chose by the same measure and reserved room there: its
        // machine, if that will do, and the best of the others otherwise.
        let rate = |id: &MachineId, w: &Worker| self.rate(h, spec, id, w, ledger, sizes, now);
        let id = match self.workers.get(&h.hint).and_then(|w| rate(&h.hint, w)) {
            Some(_) => h.hint.clone(),
            None => self.workers.iter().filter_map(|(id, w)| Some((rate(id, w)?, id))).min()?.1.clone(),
        };
        let w = self.workers.get_mut(&id)?;
        w.images.insert(spec.image.clone());
        w.starts.insert(
            (h.task, h.attempt),
            Start {
                baton: w.baton,
                shift: w.shift,
                need: spec.task_resources,
                seen: false,
                sending: Sending::Settled,
                in_answer_to: None,
            },
        );
        Some(id)
    }

    /// How well a machine suits a hand-out; `None` if it can't be started there.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn rate(
        &self,
        h: &HandOut,
        spec: &JobSpec,
        id: &MachineId,
        w: &Worker,
        ledger: &StateReplica,
        sizes: &Sizes,
        now: Micros,
    ) -> Option<placement::Score> {
        // Only machines granted before the hand-out: the leader bound the
        // task to those. Only recorded ones, and only once the worker has
        // this grant's token: what else it may hold is known then.
        if w.baton.0 >= h.attempt.0 || w.draining || w.seen_baton != w.baton || w.warning.is_some() {
            return None;
        }
        if w.shift == 0 || !w.obeys || w.heard.is_none_or(|t| now.since(t) > Micros::secs(5)) {
            return None;
        }
        let m = ledger.machines.get(id)?;
        let size = sizes.get(&m.machine_type)?;
        let c = Candidate {
            build: &m.machine_type,
            zone: &m.zone,
            spot: m.spot,
            size,
            free: size.saturating_sub(w.used(ledger)),
            image: w.images.contains(&spec.image),
            zone_cpu: 0,
        };
        placement::score(spec, &c, h.zone.as_deref())
    }

    /// Takes the leader's stops.
    pub fn take_stops(&mut self, stops: &[StopRequest]) {
        for s in stops {
            if let Some(w) = self.workers.get_mut(&s.machine) {
                let k = (s.task, s.attempt);
                if w.has(&k) || w.starts.contains_key(&k) {
                    let grace = w.stops.get(&k).map_or(s.grace, |o| o.grace.min(s.grace));
                    let sent_direct = w.stops.get(&k).is_some_and(|o| o.sent_direct && o.grace == grace);
                    w.stops.insert(k, Stop { grace, sent_direct });
                    if !sent_direct {
                        self.touch(&s.machine);
                    }
                }
            }
        }
    }
}
