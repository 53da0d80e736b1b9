//! Launches of periodic jobs, each exactly once: the launched job's id holds
//! the time of its launch, and the record of the last launch only goes forward,
//! both conditions of one transaction under the leader's key. Whatever leaders
//! come and go, and whatever the clock does, a time is launched once; of times
//! that were missed only the last is made up.
use super::Service;
use super::api::{Request, Route};
use super::records::{Head, JobKey};
use super::register::{Wish, child_content};
use crate::cron;
use gorseshore_core::RequestId;
use gorseshore_core::extension::ExtensionContext;
use gorseshore_protocol::ids::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Most missed times that are gone through to find the last.
const MISSED: usize = 2000;

/// The launch that is due: the last time up to now after the last launch, or
/// after the registration.
pub(crate) fn due(head: &Head, last: Option<u64>, wall_ms: u64) -> Option<u64> {
    let p = head.periodic.as_ref().filter(|p| p.enabled && !head.stop)?;
    let base = last.unwrap_or(0).max(head.at);
    let mut at = cron::next(&p.crons, &p.time_zone, base).filter(|t| *t <= wall_ms)?;
    for _ in 0..MISSED {
        match cron::next(&p.crons, &p.time_zone, at).filter(|t| *t <= wall_ms) {
            Some(next) => at = next,
            None => break,
        }
    }
    Some(at)
}

impl Service {
    /// Launches what is due. Asked often; a job is looked at when its next
    /// time has come.
    pub(crate) fn launch(&mut self, host: &ExtensionContext<'_>) {
        let second = host.wall_ms / 1000;
        if second == self.launch_second {
            return;
        }
        self.launch_second = second;
        let periodic: Vec<JobKey> = self
            .heads
            .iter()
            .filter(|(k, known)| known.head.periodic.is_some() && !known.head.stop && !self.busy.contains(*k))
            .map(|(k, _)| k.clone())
            .collect();
        for key in periodic {
            let Some(known) = self.heads.get(&key).cloned() else { continue };
            let last = self.launches.get(&key).map(|l| l.0);
            let base = last.unwrap_or(0).max(known.head.at);
            // What comes next is worked out once, not every second.
            let next = match self.next_launch.get(&key) {
                Some((b, stamp, next)) if (*b, *stamp) == (base, known.stamp) => *next,
                _ => {
                    let p = known.head.periodic.as_ref();
                    let next = p.and_then(|p| cron::next(&p.crons, &p.time_zone, base)).unwrap_or(u64::MAX);
                    self.next_launch.insert(key.clone(), (base, known.stamp, next));
                    next
                }
            };
            if next > host.wall_ms {
                continue;
            }
            let Some(at) = due(&known.head, last, host.wall_ms) else { continue };
            let overlap = known.head.periodic.as_ref().is_some_and(|p| p.prohibit_overlap);
            if overlap && self.child_runs(host, &known.head) {
                log::info!("{}: launch of {at} passed over, an earlier one runs", known.head.id);
                self.pass_over(&key, &known, at);
                continue;
            }
            let Some(content) = self.contents.get(&known.head.nonce).cloned() else {
                self.load(&key, &known.head.nonce);
                // Looked at again as soon as it is here.
                self.launch_second = 0;
                continue;
            };
            let id = format!("{}/periodic-{}", known.head.id, at / 1000);
            let content = child_content(&content, &id, &known.head.id, &BTreeMap::new(), None);
            self.busy.insert(key.clone());
            let wish = Wish::Child { id, content: Rc::new(content), launched: Some(at), token: None };
            let request = Request {
                id: RequestId(0),
                team: None,
                route: Route::Force(known.head.id.clone()),
                query: BTreeMap::new(),
                body: Vec::new(),
                index: None,
                wait: Micros(0),
                waited: true,
            };
            self.begin_change(host, request, key, wish, true);
        }
    }
}
