//! Assignments and stops from the leader. Invariant: an assignment is placed only on a machine that
//! was granted before it, and whose worker has reported that grant's fencing token.
use super::*;

impl Controller {
    /// Starts the assigned tasks that fit on a machine, and records the outcome of each assignment.
    pub fn apply_assignments(
        &mut self,
        assignments: &[Assignment],
        state_replica: &StateReplica,
        sizes: &MachineSizes,
        now: Micros,
    ) {
        for assignment in assignments {
            if self.outcomes.contains_key(&assignment.attempt) {
                continue;
            }
            let machine = self.place(assignment, state_replica, sizes, now);
            match &machine {
                Some(id) => self.mark_changed(id),
                None => {
                    debug!("{}: no capacity for assignment attempt={}", assignment.task, assignment.attempt.0)
                }
            }
            self.outcomes.insert(assignment.attempt, Placed { machine, first_sync: None });
            self.sync_pending = true;
        }
    }

    pub(super) fn place(
        &mut self,
        assignment: &Assignment,
        state_replica: &StateReplica,
        sizes: &MachineSizes,
        now: Micros,
    ) -> Option<MachineId> {
        let job = state_replica.jobs.get(&assignment.task.job)?;
        let spec = job.spec.as_ref()?;
        if is_finished(Some(job), assignment.task.index) || now >= self.lease_until {
            return None;
        }
        // The leader chose by the same score and reserved capacity on its preferred machine. If that
        // machine cannot start the task, the best other one is taken.
        let score =
            |id: &MachineId, w: &Worker| self.score(assignment, spec, id, w, state_replica, sizes, now);
        let id = match self
            .workers
            .get(&assignment.preferred_machine)
            .and_then(|w| score(&assignment.preferred_machine, w))
        {
            Some(_) => assignment.preferred_machine.clone(),
            None => self.workers.iter().filter_map(|(id, w)| Some((score(id, w)?, id))).min()?.1.clone(),
        };
        let w = self.workers.get_mut(&id)?;
        w.images.insert(spec.image.clone());
        w.starts.insert(
            (assignment.task, assignment.attempt),
            Start {
                fencing_token: w.fencing_token,
                agent_epoch: w.agent_epoch,
                need: spec.task_resources,
                reported: false,
                delivery: Delivery::NotSent,
                in_response_to: None,
            },
        );
        Some(id)
    }

    /// How well a machine suits an assignment; `None` if the task cannot be started there.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn score(
        &self,
        assignment: &Assignment,
        spec: &JobSpec,
        id: &MachineId,
        w: &Worker,
        state_replica: &StateReplica,
        sizes: &MachineSizes,
        now: Micros,
    ) -> Option<placement::Score> {
        // Only machines granted before the assignment: the leader bound the task to those. Only
        // recorded ones, and only once the worker has this grant's token: all other tasks that it
        // may run are known then.
        if w.fencing_token.0 >= assignment.attempt.0
            || w.draining
            || w.seen_fencing_token != w.fencing_token
            || w.preemption_notice.is_some()
        {
            return None;
        }
        // A worker refuses a task of which it still has another attempt, also an exited one.
        let has_other_attempt = w.tasks.iter().any(|t| t.task == assignment.task);
        if w.agent_epoch == 0
            || has_other_attempt
            || w.has_full_report()
            || !w.acknowledges_commands
            || w.last_contact.is_none_or(|t| now.since(t) > Micros::secs(5))
        {
            return None;
        }
        let m = state_replica.machines.get(id)?;
        let size = sizes.get(&m.machine_type)?;
        let c = Candidate {
            machine_type: &m.machine_type,
            zone: &m.zone,
            spot: m.spot,
            size,
            free: size.saturating_sub(w.used(state_replica)),
            has_image: w.images.contains(&spec.image),
            zone_cpu: 0,
        };
        placement::score(spec, &c, assignment.zone.as_deref())
    }

    /// Applies the leader's stop requests to tasks that are on the named machine or starting there.
    pub fn apply_stops(&mut self, stops: &[StopRequest]) {
        for s in stops {
            if let Some(w) = self.workers.get_mut(&s.machine) {
                let k = (s.task, s.attempt);
                if w.has(&k) || w.starts.contains_key(&k) {
                    let grace = w.stops.get(&k).map_or(s.grace, |o| o.grace.min(s.grace));
                    let sent_direct = w.stops.get(&k).is_some_and(|o| o.sent_direct && o.grace == grace);
                    w.stops.insert(k, Stop { grace, sent_direct });
                    if !sent_direct {
                        self.mark_changed(&s.machine);
                    }
                }
            }
        }
    }
}
