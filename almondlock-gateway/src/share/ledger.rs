//! Counts what organisations have in flight at this host.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use almondlock_policy::share::Usage;

use crate::{
    exchange::shares::{Counts, Tag},
    load::Key,
};

/// Counts by organisation and service. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    // Invariant: the sums of all claims, none of them empty.
    counts: Rc<RefCell<HashMap<Tag, Entry>>>,
}

/// The counts of an organisation at a service.
#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    count: Usage,
}

/// One request's part of the counts, until the claim is dropped.
#[derive(Debug)]
pub struct Claim {
    ledger: Ledger,
    tag: Tag,
    name: Arc<str>,
    count: Cell<Usage>,
}

impl Ledger {
    /// Counts a request that was sent to engines. Its prompt takes all engines together
    /// `reading` to read.
    pub fn claim_sent(&self, service: &str, organisation: &Arc<str>, reading: Duration) -> Claim {
        let count = Usage {
            slots: 1,
            unanswered: 1,
            reading_ms: millis(reading),
            ..Usage::default()
        };
        self.claim(service, organisation, count)
    }

    /// Counts a request that waits for a slot at this host, or that will be sent again to
    /// wait for one.
    pub fn claim_slot_wait(&self, service: &str, organisation: &Arc<str>) -> Claim {
        let count = Usage {
            queued: 1,
            ..Usage::default()
        };
        self.claim(service, organisation, count)
    }

    /// Counts a request that waits until engines have the time to read its prompt.
    pub fn claim_reading_wait(
        &self,
        service: &str,
        organisation: &Arc<str>,
        reading: Duration,
    ) -> Claim {
        let count = Usage {
            queued_reading_ms: millis(reading),
            ..Usage::default()
        };
        self.claim(service, organisation, count)
    }

    /// Returns all counts, bounded in size.
    pub fn counts(&self) -> Counts {
        let counts = self.counts.borrow();
        let all = counts.iter().map(|(tag, entry)| (*tag, entry.count));
        Counts::new(all.collect(), BTreeMap::new())
    }

    /// Returns the name of an organisation that has something in flight here.
    pub fn name(&self, organisation: Key) -> Option<Arc<str>> {
        let counts = self.counts.borrow();
        let mut entries = counts.iter();
        let found = entries.find(|(tag, _)| tag.organisation == organisation);
        found.map(|(_, entry)| Arc::clone(&entry.name))
    }

    fn claim(&self, service: &str, organisation: &Arc<str>, count: Usage) -> Claim {
        let claim = Claim {
            ledger: self.clone(),
            tag: Tag::of(service, organisation),
            name: Arc::clone(organisation),
            count: Cell::default(),
        };
        claim.set(count);
        claim
    }
}

impl Claim {
    /// Marks that the first event has come: the prompt was read.
    pub fn finish_reading(&self) {
        let count = self.count.get();
        self.set(Usage {
            slots: count.slots,
            ..Usage::default()
        });
    }

    fn set(&self, count: Usage) {
        let mut counts = self.ledger.counts.borrow_mut();
        let entry = counts.entry(self.tag).or_insert_with(|| Entry {
            name: Arc::clone(&self.name),
            count: Usage::default(),
        });
        entry.count.subtract(&self.count.replace(count));
        entry.count.add(&count);
        if entry.count.is_empty() {
            counts.remove(&self.tag);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.set(Usage::default());
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
