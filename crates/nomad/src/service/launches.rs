//! Launches periodic jobs, each launch time exactly once.
//!
//! Two preconditions of one transaction under the leader's key guarantee this: the id of the
//! launched job contains the launch time and must not exist yet, and the record of the last launch
//! must be unchanged and only moves forward. So a time is launched once, whatever leader changes
//! and clock changes occur. Of several missed times only the last one is launched.
use super::Service;
use super::api::{Request, Route};
use super::records::{JobKey, JobRecord};
use super::register::{JobChange, child_content};
use crate::cron;
use gorseshore_core::RequestId;
use gorseshore_core::extension::ExtensionContext;
use gorseshore_protocol::ids::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Most missed launch times that are scanned to find the last one.
const MAX_MISSED_LAUNCHES: usize = 2000;

/// The launch time that is due: the last time up to now that is later than both the last launch and
/// the registration.
pub(crate) fn due_launch(record: &JobRecord, last: Option<u64>, wall_ms: u64) -> Option<u64> {
    let p = record.periodic.as_ref().filter(|p| p.enabled && !record.stop)?;
    let base = last.unwrap_or(0).max(record.at);
    let mut at = cron::next(&p.crons, &p.time_zone, base).filter(|t| *t <= wall_ms)?;
    for _ in 0..MAX_MISSED_LAUNCHES {
        match cron::next(&p.crons, &p.time_zone, at).filter(|t| *t <= wall_ms) {
            Some(next) => at = next,
            None => break,
        }
    }
    Some(at)
}

impl Service {
    /// Launches the periodic jobs that are due. Called often; does its work at most once a second,
    /// and only for jobs whose next launch time has passed.
    pub(crate) fn launch_due_jobs(&mut self, ctx: &ExtensionContext<'_>) {
        let second = ctx.wall_ms / 1000;
        if second == self.launch_second {
            return;
        }
        self.launch_second = second;
        let periodic: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(k, registered)| {
                registered.record.periodic.is_some()
                    && !registered.record.stop
                    && !self.operations_in_flight.contains(*k)
            })
            .map(|(k, _)| k.clone())
            .collect();
        for key in periodic {
            let Some(registered) = self.jobs.get(&key).cloned() else { continue };
            let last = self.last_launches.get(&key).map(|l| l.0);
            let base = last.unwrap_or(0).max(registered.record.at);
            // The next launch time is cached until the last launch or the registration changes.
            let next = match self.next_launch.get(&key) {
                Some((b, revision, next)) if (*b, *revision) == (base, registered.modify_revision) => *next,
                _ => {
                    let p = registered.record.periodic.as_ref();
                    let next = p.and_then(|p| cron::next(&p.crons, &p.time_zone, base)).unwrap_or(u64::MAX);
                    self.next_launch.insert(key.clone(), (base, registered.modify_revision, next));
                    next
                }
            };
            if next > ctx.wall_ms {
                continue;
            }
            let Some(at) = due_launch(&registered.record, last, ctx.wall_ms) else { continue };
            let overlap = registered.record.periodic.as_ref().is_some_and(|p| p.prohibit_overlap);
            if overlap && self.has_running_child(ctx, &registered.record) {
                log::info!(
                    "launch skipped, an earlier launch is still running job={} at_ms={at}",
                    registered.record.id
                );
                self.skip_launch(&key, &registered, at);
                continue;
            }
            let Some(content) = self.contents.get(&registered.record.nonce).cloned() else {
                self.load_content(&key, &registered.record.nonce);
                // Clears the second so that the next call retries as soon as the content has been
                // read.
                self.launch_second = 0;
                continue;
            };
            let id = format!("{}/periodic-{}", registered.record.id, at / 1000);
            let content = child_content(&content, &id, &registered.record.id, &BTreeMap::new(), None);
            self.operations_in_flight.insert(key.clone());
            let change = JobChange::Child { id, content: Rc::new(content), launched: Some(at), token: None };
            let request = Request {
                id: RequestId(0),
                team: None,
                route: Route::Force(registered.record.id.clone()),
                query: BTreeMap::new(),
                body: Vec::new(),
                index: None,
                wait: Micros(0),
                waited: true,
            };
            self.begin_change(ctx, request, key, change, true);
        }
    }
}
