//! The machines that the cloud lists, read page by page and periodically refreshed.
//!
//! Invariant: between two complete lists, only machines that this process deleted disappear, so
//! that a page that cannot be read hides no machine.
use gorseshore_protocol::cloud::Rental;
use gorseshore_protocol::ids::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The machines are listed again this long after the last page.
pub(super) const LIST_INTERVAL: Micros = Micros::secs(3);
/// A page that could not be read is requested again after this.
pub(super) const LIST_RETRY_INTERVAL: Micros = Micros::millis(600);

/// A machine of the cloud's list.
#[derive(Debug, Clone, Default)]
pub(super) struct Instance {
    pub(super) address: String,
    pub(super) zone: String,
    /// It is listed as running. A machine that boots has no worker to answer yet.
    pub(super) running: bool,
}

/// The list and the progress of reading it.
#[derive(Debug)]
pub(super) struct InstanceList {
    instances: BTreeMap<MachineId, Instance>,
    /// Machines of the list that is being read.
    incoming: BTreeMap<MachineId, Instance>,
    /// Machines deleted by this process; the cloud lists them for a while longer.
    deleted: BTreeSet<MachineId>,
    /// All pages have been received at least once.
    complete: bool,
    /// The request for a page is pending.
    requested: bool,
    /// The pending page belongs to a list that was cleared.
    outdated: bool,
    /// The last name of the previous page, if more pages follow.
    next_after: Option<String>,
    next_at: Micros,
}

impl InstanceList {
    /// An empty list, whose first page is due now.
    pub(super) fn new(now: Micros) -> Self {
        InstanceList {
            instances: BTreeMap::new(),
            incoming: BTreeMap::new(),
            deleted: BTreeSet::new(),
            complete: false,
            requested: false,
            outdated: false,
            next_after: None,
            next_at: now,
        }
    }

    /// Forgets all machines; a pending page is dropped when it arrives.
    pub(super) fn clear(&mut self) {
        let requested = self.requested;
        *self = InstanceList { requested, outdated: requested, ..InstanceList::new(self.next_at) };
    }

    pub(super) fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether all pages have been received at least once.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    pub(super) fn get(&self, id: &MachineId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The machines that may answer probes.
    pub(super) fn running(&self) -> impl Iterator<Item = (&MachineId, &Instance)> {
        self.instances.iter().filter(|(_, instance)| instance.running)
    }

    /// The next page if it is due: the name after which it begins, `None` for the first page.
    pub(super) fn page_due(&self, now: Micros) -> Option<Option<&str>> {
        (!self.requested && now >= self.next_at).then_some(self.next_after.as_deref())
    }

    /// Records that a page was requested.
    pub(super) fn page_requested(&mut self) {
        self.requested = true;
    }

    /// Records that a page could not be read.
    pub(super) fn page_failed(&mut self, now: Micros) {
        self.requested = false;
        self.outdated = false;
        self.next_at = now + LIST_RETRY_INTERVAL;
    }

    /// Adds the machines of a page; `truncated` says that more pages follow.
    pub(super) fn page_received(&mut self, rentals: &[Rental], truncated: bool, now: Micros) {
        self.requested = false;
        if std::mem::take(&mut self.outdated) {
            self.next_at = now;
            return;
        }
        for rental in rentals {
            self.add(rental);
        }
        if !truncated {
            self.instances = std::mem::take(&mut self.incoming);
            self.complete = true;
        }
        self.next_after = rentals.last().filter(|_| truncated).map(|rental| rental.name.clone());
        self.next_at = if self.next_after.is_some() { now } else { now + LIST_INTERVAL };
    }

    /// Removes a machine that this process deleted.
    pub(super) fn remove(&mut self, id: &MachineId) {
        self.instances.remove(id);
        self.incoming.remove(id);
        self.deleted.insert(id.clone());
    }

    fn add(&mut self, rental: &Rental) {
        let id = MachineId::from(&*rental.name);
        if self.deleted.contains(&id) {
            return;
        }
        let instance = Instance {
            address: rental.addr.clone(),
            zone: rental.zone.clone(),
            running: rental.state == "running",
        };
        self.incoming.insert(id.clone(), instance.clone());
        self.instances.insert(id, instance);
    }
}
