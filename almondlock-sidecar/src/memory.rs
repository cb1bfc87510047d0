//! The ledger of the engine's memory, and the times at which it is reconciled
//! with the engine.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use almondlock_base::{id::Attempt, time::Mono, unit::Tokens};
use almondlock_policy::ledger::{Config, Item, Ledger, Order, Owner};

use crate::protocol::Allocation;

/// Interval between reconciliations with the engine.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the incarnation of the entry host that made an attempt.
pub fn owner_of(attempt: &Attempt) -> Owner {
    Owner {
        host: attempt.host.clone(),
        incarnation: attempt.incarnation,
    }
}

/// Tracks what the engine's memory is held for.
///
/// A new sidecar doesn't know what an earlier incarnation left on the engine,
/// so its ledger starts in recovery and is reconciled at once.
pub struct Memory {
    ledger: RefCell<Ledger<String>>,
    reconciled_at: RefCell<Option<Mono>>,
}

impl Memory {
    /// Creates the ledger of a sidecar that starts now.
    pub fn new(now: Mono) -> Memory {
        Memory {
            ledger: RefCell::new(Ledger::recover(Config::default(), now)),
            reconciled_at: RefCell::default(),
        }
    }

    /// Records an item of memory that the engine is about to be asked for.
    pub fn open(&self, id: String, item: Item, owner: &Owner, lease: Duration, now: Mono) {
        self.ledger.borrow_mut().open(id, item, owner, lease, now);
    }

    /// Extends the leases of all that an owner holds, since the owner is alive.
    pub fn renew(&self, owner: &Owner, now: Mono) {
        self.ledger.borrow_mut().renew(owner, now);
    }

    /// Marks an item as no longer needed. The ledger then orders the engine to
    /// free it.
    pub fn release(&self, id: &String, now: Mono) {
        self.ledger.borrow_mut().release(id, now);
    }

    /// Removes an item for which the engine has nothing left to free.
    pub fn remove(&self, id: &String) {
        self.ledger.borrow_mut().remove(id);
    }

    /// Returns the orders to free memory that are due.
    pub fn take_free_orders(&self, now: Mono) -> Vec<Order<String>> {
        self.ledger.borrow_mut().take_orders(now)
    }

    /// Records that the engine confirmed an order to free that was sent at
    /// `asked`.
    pub fn confirm_free(&self, id: &String, asked: Mono) {
        self.ledger.borrow_mut().confirm_free(id, asked);
    }

    /// Returns whether it is time to reconcile with the engine's own list.
    pub fn is_reconcile_due(&self, now: Mono) -> bool {
        let last = *self.reconciled_at.borrow();
        last.is_none_or(|at| now.since(at) >= RECONCILE_INTERVAL)
    }

    /// Reconciles the ledger with the engine's own list, which was requested at
    /// `asked`.
    pub fn reconcile(&self, list: Vec<Allocation>, asked: Mono, now: Mono) {
        let list: BTreeMap<String, Item> = list
            .into_iter()
            .map(|held| {
                let Allocation { id, kind, tokens } = held;
                (id, Item { kind, tokens })
            })
            .collect();
        self.ledger.borrow_mut().reconcile(&list, asked, now);
        self.reconciled_at.replace(Some(now));
    }

    /// Returns the memory held according to the ledger.
    pub fn held_tokens(&self) -> Tokens {
        self.ledger.borrow().held_tokens()
    }
}
