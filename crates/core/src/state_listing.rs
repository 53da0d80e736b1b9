//! Reads all keys of the state service page by page, without holding settled jobs in memory.
//!
//! A listing is in key order, so all job records (`g/j/`) come before all ends (`g/x/`). A second
//! cursor reads the ends beside the records: a record waits until the ends have been read up to its
//! job, and is dropped there if the job is settled.
//!
//! Invariants:
//! - At any time two pages are held, beside what the replica keeps.
//! - The replica holds every job whose end was not settled when its page was read. Ends that are
//!   written later, and everything else that changes after the first page, arrive by a watch from
//!   [`StateListing::first_revision`].
use crate::jobs::{JobEnd, StateReplica, keys};
use gorseshore_protocol::ids::JobId;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::{BTreeSet, VecDeque};

/// Most keys on a page; the state service allows twice as many.
const PAGE_KEYS: usize = 500;
/// Settled jobs beyond those that are kept that are held at a time.
const MAX_SETTLED_EXCESS: usize = 64;

/// A key of a page, with its value unparsed: the values of most past jobs are never looked at.
#[derive(Debug, Deserialize)]
struct Entry {
    #[serde(rename = "path")]
    key: String,
    #[serde(rename = "v")]
    value: Box<RawValue>,
    #[serde(rename = "stamp")]
    revision: u64,
}

impl Entry {
    /// The key's last part, if the key begins with `prefix`.
    fn name(&self, prefix: &str) -> Option<&str> {
        self.key.strip_prefix(prefix)
    }

    fn parse(&self) -> Value {
        serde_json::from_str(self.value.get()).unwrap_or_default()
    }
}

/// A page of a listing.
#[derive(Debug, Deserialize)]
struct Page {
    #[serde(rename = "pairs")]
    entries: Vec<Entry>,
    #[serde(default)]
    truncated: bool,
    #[serde(rename = "ledger")]
    revision: u64,
}

/// Position in the keys below a prefix.
#[derive(Debug)]
struct Cursor {
    prefix: String,
    /// The last key that was read; at the start the prefix.
    last: String,
    finished: bool,
}

impl Cursor {
    fn new(prefix: &str) -> Self {
        Cursor { prefix: prefix.to_owned(), last: prefix.to_owned(), finished: false }
    }

    fn request(&self) -> String {
        format!("/store?prefix={}&limit={PAGE_KEYS}&from={}", self.prefix, self.last)
    }

    fn has_started(&self) -> bool {
        self.finished || self.last != self.prefix
    }

    fn advance(&mut self, page: &Page) {
        if let Some(last) = page.entries.last() {
            self.last.clone_from(&last.key);
        }
        self.finished = !page.truncated || page.entries.is_empty();
    }
}

/// Ends that were read and whose job records were not met yet.
#[derive(Debug)]
struct Ends {
    cursor: Cursor,
    entries: VecDeque<Entry>,
}

impl Ends {
    /// Whether the end of this job was read, if there is one.
    fn covers(&self, job: &str) -> bool {
        let last = self.cursor.last.strip_prefix(keys::END_PREFIX);
        self.cursor.finished || last.is_some_and(|last| last >= job)
    }

    /// Takes the end of a job; jobs are asked for in the order of their keys.
    fn take(&mut self, job: &str) -> Option<Entry> {
        while let Some(entry) = self.entries.front() {
            let name = entry.name(keys::END_PREFIX).unwrap_or_default();
            if name > job {
                return None;
            }
            let found = name == job;
            let entry = self.entries.pop_front();
            if found {
                return entry;
            }
        }
        None
    }
}

/// What a requested page is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Request {
    AllKeys,
    Ends,
    /// Further dependencies of an active job.
    Dependencies(JobId),
}

/// Which settled jobs the replica keeps.
#[derive(Debug, Default)]
pub struct Retention {
    /// Jobs that are known here already: their ends have to be passed on.
    pub known: BTreeSet<JobId>,
    /// All jobs whose ids the service assigned.
    pub internal: bool,
    /// How many of the others, the latest ones.
    pub latest: usize,
}

impl Retention {
    fn requires(&self, id: JobId) -> bool {
        self.internal && id.is_internal() || self.known.contains(&id)
    }
}

/// A read of all keys that is under way.
#[derive(Debug)]
pub struct StateListing {
    replica: StateReplica,
    retention: Retention,
    first_revision: Option<u64>,
    last_revision: u64,
    /// Settled jobs that ended before this revision are not kept for being recent.
    recent_from: u64,
    /// Settled jobs that were added since some were dropped.
    settled_excess: usize,
    settled_jobs: u64,
    keys: Cursor,
    /// Entries of the last page that were not handled yet.
    entries: VecDeque<Entry>,
    ends: Ends,
    /// Active jobs whose further dependencies were not read yet.
    incomplete: VecDeque<JobId>,
}

/// A page could not be parsed.
#[derive(Debug, thiserror::Error)]
#[error("invalid page of a listing: {0}")]
pub struct InvalidPage(#[from] serde_json::Error);

impl StateListing {
    /// Starts a read into an empty replica. With `for_extension`, entries of the extension's key
    /// space are collected.
    pub fn new(retention: Retention, for_extension: bool) -> Self {
        let mut replica = StateReplica::default();
        replica.extension_entries = for_extension.then(Vec::new);
        StateListing {
            replica,
            retention,
            first_revision: None,
            last_revision: 0,
            recent_from: 0,
            settled_excess: 0,
            settled_jobs: 0,
            keys: Cursor::new(keys::ROOT_PREFIX),
            entries: VecDeque::new(),
            ends: Ends { cursor: Cursor::new(keys::END_PREFIX), entries: VecDeque::new() },
            incomplete: VecDeque::new(),
        }
    }

    /// Revision of the first page; 0 before it was read.
    pub fn first_revision(&self) -> u64 {
        self.first_revision.unwrap_or(0)
    }

    /// Revision of the latest page.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Number of settled jobs that were met.
    pub fn settled_jobs(&self) -> u64 {
        self.settled_jobs
    }

    /// Path of the next page to request; `None` if everything was read.
    pub fn next_path(&self) -> Option<String> {
        Some(match self.next_request()? {
            Request::AllKeys => self.keys.request(),
            Request::Ends => self.ends.cursor.request(),
            Request::Dependencies(id) => Cursor::new(&keys::all_dependencies(id)).request(),
        })
    }

    fn next_request(&self) -> Option<Request> {
        if !self.entries.is_empty() {
            // A job record that waits for its end.
            return Some(Request::Ends);
        }
        if !self.keys.finished {
            return Some(Request::AllKeys);
        }
        self.incomplete.front().copied().map(Request::Dependencies)
    }

    /// Handles the page at [`StateListing::next_path`].
    pub fn page_received(&mut self, body: Vec<u8>) -> Result<(), InvalidPage> {
        let page: Page = serde_json::from_slice(&body)?;
        drop(body);
        self.first_revision.get_or_insert(page.revision);
        self.last_revision = page.revision;
        match self.next_request() {
            Some(Request::AllKeys) => self.keys_received(page),
            Some(Request::Ends) => self.ends_received(page),
            Some(Request::Dependencies(id)) => self.dependencies_received(id, page),
            None => {}
        }
        self.apply_entries();
        self.drop_settled();
        Ok(())
    }

    /// The replica, once everything was read.
    pub fn finish(mut self) -> StateReplica {
        self.replica.applied_revision = self.first_revision();
        self.replica
    }

    fn keys_received(&mut self, mut page: Page) {
        self.keys.advance(&page);
        let first_end = page.entries.iter().position(|e| e.name(keys::END_PREFIX).is_some());
        let Some(first_end) = first_end else {
            self.entries = page.entries.into();
            return;
        };
        // All job records were read, and the cursor of the ends reads the rest as far as it is
        // needed.
        let ends = page.entries.split_off(first_end);
        self.keys.finished = true;
        self.entries = page.entries.into();
        if !self.ends.cursor.has_started() {
            self.ends_received(Page { entries: ends, ..page });
        }
    }

    fn ends_received(&mut self, page: Page) {
        self.ends.cursor.advance(&page);
        self.ends.entries.extend(page.entries);
    }

    fn dependencies_received(&mut self, id: JobId, page: Page) {
        self.incomplete.pop_front();
        for entry in &page.entries {
            self.replica.apply(&entry.key, Some(&entry.parse()), entry.revision);
        }
        if page.truncated {
            log::error!("{id}: more keys of dependencies than a page holds");
        }
    }

    /// Applies entries up to the first job record whose end was not read yet.
    fn apply_entries(&mut self) {
        while let Some(entry) = self.entries.pop_front() {
            match entry.name(keys::JOB_PREFIX) {
                Some(job) if !self.ends.covers(job) => return self.entries.push_front(entry),
                Some(job) => {
                    let end = self.ends.take(job);
                    self.apply_job(&entry, end);
                }
                None if self.is_needed(&entry.key) => {
                    self.replica.apply(&entry.key, Some(&entry.parse()), entry.revision);
                }
                None => {}
            }
        }
        // With no record of a job left, no end is needed.
        if self.keys.finished {
            self.ends.entries.clear();
        }
    }

    /// Drops all settled jobs but those that are kept.
    fn drop_settled(&mut self) {
        self.settled_excess = 0;
        let retention = &self.retention;
        let oldest = self.replica.drop_settled(retention.latest, |id| retention.requires(id));
        self.recent_from = oldest.unwrap_or(self.recent_from);
    }

    /// Whether an entry that is no job record has to be applied. Further dependencies are read by
    /// job later, since they are listed before the records of their jobs.
    fn is_needed(&self, key: &str) -> bool {
        if key.starts_with(keys::DEPENDENCIES_PREFIX) {
            return false;
        }
        let chunk = [keys::PROGRESS_PREFIX, keys::FAILURES_PREFIX].iter().find_map(|p| key.strip_prefix(p));
        let job = chunk.and_then(keys::parse_chunk).map(|(id, _)| id);
        job.is_none_or(|id| self.replica.jobs.contains_key(&id))
    }

    fn apply_job(&mut self, record: &Entry, end: Option<Entry>) {
        let Some(id) = record.name(keys::JOB_PREFIX).and_then(JobId::parse) else { return };
        let end = end.map(|entry| (entry.parse(), entry.revision));
        if let Some((value, revision)) = &end
            && JobEnd::parse(value).is_settled()
        {
            self.settled_jobs += 1;
            let needed = self.retention.requires(id) || self.replica.is_dependency(id);
            let recent = self.retention.latest > 0 && *revision > self.recent_from;
            if needed || recent {
                let record = Some((&record.parse(), record.revision));
                self.replica.add_settled(id, record, (value, *revision));
                self.settled_excess += 1;
            }
            if self.settled_excess >= MAX_SETTLED_EXCESS {
                self.drop_settled();
            }
            return;
        }
        self.replica.apply(&record.key, Some(&record.parse()), record.revision);
        if let Some((value, revision)) = &end {
            self.replica.apply(&keys::end(id), Some(value), *revision);
        }
        if self.replica.lacks_dependencies(id) {
            self.incomplete.push_back(id);
        }
    }
}

#[cfg(test)]
mod tests;
