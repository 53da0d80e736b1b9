//! Random faults of every kind that the protocol names.
use super::*;

impl World {
    pub fn schedule_random_fault(&mut self) {
        if self.now > self.size.busy_until + 20 * S {
            return;
        }
        let pause = self.rng.u64(2 * S..16 * S);
        self.at(pause, Event::InjectFault);
        self.inject_random_fault();
    }

    /// Injects one fault of any kind that the protocol names.
    pub fn inject_random_fault(&mut self) {
        let n = self.rng.usize(0..self.size.nodes);
        let length = self.rng.u64(3 * S..40 * S);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        let some = (!names.is_empty()).then(|| names[self.rng.usize(0..names.len())].clone());
        let kind = self.rng.u32(0..12);
        if std::env::var("WORLD_TRACE").is_ok() {
            eprintln!(
                "{:.3} fault {kind} controller {n} machine {some:?} for {length}",
                self.now as f64 / 1e6
            );
        }
        match kind {
            0 => {
                self.state.unavailable = true;
                self.at(length.min(25 * S), Event::StateServiceRecovers);
            }
            1 => self.crash(n),
            2 => (0..self.size.nodes).for_each(|n| self.crash(n)),
            3 => self.state_refused_until[n] = self.now + length,
            4 => self.zones_partitioned_until = self.now + length,
            5 => self.controller_partitioned_until[n] = self.now + length,
            6 => {
                if let Some(m) = some {
                    let until = self.now + length;
                    if let Some(m) = self.machines.get_mut(&m) {
                        m.hung_until = until;
                    }
                }
            }
            7 => {
                if let Some(m) = some.and_then(|m| self.machines.get_mut(&m)) {
                    m.unreachable_until = self.now + length;
                }
            }
            8 => drop(some.map(|m| self.machines.remove(&m))),
            9 => {
                if let Some(m) = some.and_then(|m| self.machines.get_mut(&m)) {
                    m.fails_all_tasks = true;
                }
            }
            10 => self.cloud_down_until = self.now + length.min(15 * S),
            _ => self.slow_boots_until = self.now + length,
        }
    }

    pub fn crash(&mut self, n: usize) {
        if self.nodes[n].take().is_some() {
            self.watches.retain(|w| w.node != n);
            let back = match (self.size.fast_restarts, self.size.partial_failures) {
                (true, _) => self.fast_restart_delay(n),
                (_, true) => self.restart_delay(),
                _ => self.rng.u64(2 * S..6 * S),
            };
            self.at(back, Event::Restart(n));
        }
    }
}
