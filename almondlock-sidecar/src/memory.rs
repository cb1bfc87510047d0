//! The ledger of the engine's memory, and when to compare it with the engine.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use almondlock_base::{id::Attempt, time::Mono, unit::Tokens};
use almondlock_policy::ledger::{Config, Item, Ledger, Order, Owner};

use crate::protocol::Allocation;

/// Pause between two comparisons.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(2);

/// The life of the entry host that made an attempt.
pub fn owner_of(attempt: &Attempt) -> Owner {
    Owner {
        host: attempt.host.clone(),
        incarnation: attempt.incarnation,
    }
}

/// What the engine's memory is held for. A new sidecar doesn't know what an
/// earlier life of it left on the engine, and compares first.
pub struct Memory {
    ledger: RefCell<Ledger<String>>,
    reconciled_at: RefCell<Option<Mono>>,
}

impl Memory {
    /// The ledger of a sidecar that starts now.
    pub fn new(now: Mono) -> Memory {
        Memory {
            ledger: RefCell::new(Ledger::recover(Config::default(), now)),
            reconciled_at: RefCell::default(),
        }
    }

    /// Enters what the engine is going to be asked for.
    pub fn open(&self, id: String, item: Item, owner: &Owner, lease: Duration, now: Mono) {
        self.ledger.borrow_mut().open(id, item, owner, lease, now);
    }

    /// The owner was heard of.
    pub fn renew(&self, owner: &Owner, now: Mono) {
        self.ledger.borrow_mut().renew(owner, now);
    }

    /// Gives a thing back; the order to free it follows.
    pub fn release(&self, id: &String, now: Mono) {
        self.ledger.borrow_mut().release(id, now);
    }

    /// The engine ended a thing by itself.
    pub fn remove(&self, id: &String) {
        self.ledger.borrow_mut().remove(id);
    }

    /// The orders to free that are due.
    pub fn take_free_orders(&self, now: Mono) -> Vec<Order<String>> {
        self.ledger.borrow_mut().take_orders(now)
    }

    /// The engine confirmed an order given at `asked`.
    pub fn confirm_free(&self, id: &String, asked: Mono) {
        self.ledger.borrow_mut().confirm_free(id, asked);
    }

    /// Whether it is time to compare with the engine's own list.
    pub fn is_reconcile_due(&self, now: Mono) -> bool {
        let last = *self.reconciled_at.borrow();
        last.is_none_or(|at| now.since(at) >= RECONCILE_INTERVAL)
    }

    /// Compares with the engine's own list, asked for at `asked`.
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

    /// Memory held, by the ledger.
    pub fn held_tokens(&self) -> Tokens {
        self.ledger.borrow().held_tokens()
    }
}
