//! The machines that the cloud lists, read page by page and again.
//!
//! Invariant: between two whole lists nothing disappears from it but what was deleted here, so
//! that a page that fails to come hides no machine.
use gorseshore_protocol::cloud::Rental;
use gorseshore_protocol::ids::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// The machines are listed again this long after the last page.
pub(super) const LIST_INTERVAL: Micros = Micros::secs(3);
/// A page that did not come is asked for again after this.
pub(super) const LIST_RETRY_INTERVAL: Micros = Micros::millis(600);

/// A machine of the cloud's list.
#[derive(Debug, Clone, Default)]
pub(super) struct Instance {
    pub(super) address: String,
    pub(super) zone: String,
    /// It is listed as running: one that boots has nothing to answer with.
    pub(super) running: bool,
}

/// The list, and where its reading stands.
#[derive(Debug)]
pub(super) struct InstanceList {
    instances: BTreeMap<MachineId, Instance>,
    /// Machines of the pages that came since the first one.
    incoming: BTreeMap<MachineId, Instance>,
    /// Deleted here; the list shows them for a while yet.
    deleted: BTreeSet<MachineId>,
    /// All pages have come at least once.
    complete: bool,
    /// A page was asked for and has not come.
    requested: bool,
    /// The page that was asked for belongs to a list that was forgotten.
    outdated: bool,
    /// The last name of the page before, if there are more.
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

    /// Forgets all machines, and the page that is under way when it comes.
    pub(super) fn clear(&mut self) {
        let requested = self.requested;
        *self = InstanceList { requested, outdated: requested, ..InstanceList::new(self.next_at) };
    }

    /// Machines listed.
    pub(super) fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether all pages have come at least once.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// A machine, if it is listed.
    pub(super) fn get(&self, id: &MachineId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The machines that can answer.
    pub(super) fn running(&self) -> impl Iterator<Item = (&MachineId, &Instance)> {
        self.instances.iter().filter(|(_, instance)| instance.running)
    }

    /// Whether the next page is due, and after which name it begins.
    pub(super) fn page_due(&self, now: Micros) -> Option<Option<&str>> {
        (!self.requested && now >= self.next_at).then_some(self.next_after.as_deref())
    }

    /// A page was asked for.
    pub(super) fn page_requested(&mut self) {
        self.requested = true;
    }

    /// A page did not come.
    pub(super) fn page_failed(&mut self, now: Micros) {
        self.requested = false;
        self.outdated = false;
        self.next_at = now + LIST_RETRY_INTERVAL;
    }

    /// A page came; `truncated` says that more follow.
    pub(super) fn page_came(&mut self, rentals: &[Rental], truncated: bool, now: Micros) {
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

    /// A machine was deleted here.
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
