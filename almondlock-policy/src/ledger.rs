//! Records what an engine's memory is held for, and until when.
//!
//! An engine keeps memory for whoever asked for it: the KV cache of a stream, an export on
//! its way to another engine, a reservation. If the requester dies, nobody asks for the
//! memory to be freed, and as hosts die over days the engine fills with memory that nobody
//! uses. So the sidecar records each such item *before* it asks the engine for it, with an
//! owner and a lease. When a lease is not renewed it ends, and the ledger repeats the order
//! to free the item until the engine confirms it.
//!
//! Three cases need more than that:
//!
//! - *The answer to an open is lost.* The item stays recorded. The engine also confirms an
//!   order to free what it never made, so the order does no harm.
//! - *The open arrives after the free.* The engine answers the free with "no such thing"
//!   and then makes the item. So, while an open is not confirmed, a confirmed free counts
//!   only if it was asked for after [`Config::order_lifetime`], within which the engine
//!   acts on an order or never.
//! - *The sidecar dies*, and the ledger with it. The successor asks the engine what exists.
//!   Live owners [claim](Ledger::claim) their items within [`Config::claim_grace`]; the
//!   rest is freed. The same [comparison](Ledger::reconcile), made now and then, finds all
//!   other differences.
//!
//! The ledger is not written to disk: it would still have to be compared with the engine,
//! which may have lost its memory, and it would cost a sync for each stream.
//!
//! ```
//! use std::time::Duration;
//! use almondlock_base::{id::{Host, Incarnation}, time::Mono, unit::Tokens};
//! use almondlock_policy::ledger::{Config, Item, Kind, Ledger, Order, Owner};
//!
//! let owner = Owner { host: Host::new("entry-1")?, incarnation: Incarnation(1) };
//! let mut ledger = Ledger::new(Config::default());
//! let item = Item { kind: Kind::Stream, tokens: Tokens(5_000) };
//! let lease = Duration::from_secs(10);
//! ledger.open(7, item, &owner, lease, Mono::ZERO);
//! ledger.confirm_open(&7, Mono::ZERO);
//! // The owner is not heard of again.
//! let now = Mono::from_millis(10_000);
//! assert_eq!(ledger.take_orders(now), [Order { id: 7, kind: Kind::Stream }]);
//! ledger.confirm_free(&7, now);
//! assert!(ledger.is_empty());
//! # Ok::<(), almondlock_base::id::Error>(())
//! ```

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use almondlock_base::{
    id::{Host, Incarnation},
    time::Mono,
    unit::Tokens,
};

/// Times of a [`Ledger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after which an order to free is given again.
    pub repeat_interval: Duration,
    /// Time after which an engine no longer acts on an order that was given.
    pub order_lifetime: Duration,
    /// Time for which a successor waits for owners to claim what they hold.
    pub claim_grace: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            repeat_interval: Duration::from_millis(500),
            order_lifetime: Duration::from_secs(5),
            claim_grace: Duration::from_secs(10),
        }
    }
}

/// One life of an entry host, as the owner of memory.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// The host.
    pub host: Host,
    /// The incarnation that names its life.
    pub incarnation: Incarnation,
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A running request. Freed by cancelling it.
    Stream,
    /// KV cache on its way to another engine.
    Export,
    /// Room for a part of a prompt that is larger than an engine.
    Reservation,
}

/// A piece of engine memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// What it is held for.
    pub kind: Kind,
    /// Its maximum size.
    pub tokens: Tokens,
}

/// An order to the engine to free an item: to cancel a stream, or to free an export or a
/// reservation. It is repeated until [`Ledger::confirm_free`] is called; the engine also
/// confirms it if there is no such item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<I> {
    /// The item to free.
    pub id: I,
    /// What its memory is held for.
    pub kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Held, by a live owner as far as is known.
    Held,
    /// To be freed. The next order is due at this time.
    Closing(Mono),
}

/// What the ledger records of an item.
#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    stage: Stage,
    /// `None` after a restart, until an owner claims the item.
    owner: Option<Owner>,
    /// Time by which a renewal extends the lease.
    lease: Duration,
    /// Time at which the lease ends, a key in `Ledger::leases` while held.
    until: Mono,
    opened_at: Mono,
    /// Time at which the engine was first known to have made the item.
    confirmed_at: Option<Mono>,
}

/// The record of the memory of one engine.
#[derive(Debug)]
pub struct Ledger<I> {
    config: Config,
    entries: BTreeMap<I, Entry>,
    // Invariant: holds the ends of exactly the leases of held entries.
    leases: BTreeSet<(Mono, I)>,
    // Invariant: holds the next orders of exactly the closing entries.
    closing: BTreeSet<(Mono, I)>,
    // Invariant: holds exactly the held entries that have an owner.
    owners: HashMap<Owner, BTreeSet<I>>,
    /// Time until which a successor leaves the items that it found to their owners.
    grace_until: Option<Mono>,
}

impl<I> Ledger<I>
where
    I: Clone + Ord,
{
    /// Returns the ledger of an engine that holds nothing yet.
    pub fn new(config: Config) -> Ledger<I> {
        Ledger {
            config,
            entries: BTreeMap::new(),
            leases: BTreeSet::new(),
            closing: BTreeSet::new(),
            owners: HashMap::new(),
            grace_until: None,
        }
    }

    /// Returns the ledger of a sidecar that restarted and does not know what the engine
    /// holds. Call [`Ledger::reconcile`] next.
    pub fn recover(config: Config, now: Mono) -> Ledger<I> {
        Ledger {
            grace_until: Some(now + config.claim_grace),
            ..Ledger::new(config)
        }
    }

    /// Records an item that the engine is going to be asked for. Call this before the first
    /// byte is sent. Returns `false` if the id is in use.
    pub fn open(&mut self, id: I, item: Item, owner: &Owner, lease: Duration, now: Mono) -> bool {
        if self.entries.contains_key(&id) {
            return false;
        }
        let entry = Entry {
            item,
            stage: Stage::Held,
            owner: Some(owner.clone()),
            lease,
            until: now + lease,
            opened_at: now,
            confirmed_at: None,
        };
        self.insert(id, entry);
        true
    }

    /// Records that the engine has made an item.
    pub fn confirm_open(&mut self, id: &I, now: Mono) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.confirmed_at = entry.confirmed_at.or(Some(now));
        }
    }

    /// Extends the leases of all items of an owner.
    pub fn renew(&mut self, owner: &Owner, now: Mono) {
        let Some(ids) = self.owners.get(owner) else {
            return;
        };
        for id in ids {
            if let Some(entry) = self.entries.get_mut(id) {
                self.leases.remove(&(entry.until, id.clone()));
                entry.until = entry.until.max(now + entry.lease);
                self.leases.insert((entry.until, id.clone()));
            }
        }
    }

    /// Gives an item a new owner, after a restart or when an export is handed over. Returns
    /// `false` if the item is gone or about to be freed.
    pub fn claim(&mut self, id: &I, owner: &Owner, lease: Duration, now: Mono) -> bool {
        let held = |entry: &&Entry| entry.stage == Stage::Held;
        let Some(entry) = self.entries.get(id).filter(held).cloned() else {
            return false;
        };
        self.unlink(id, &entry);
        let claimed = Entry {
            owner: Some(owner.clone()),
            lease,
            until: now + lease,
            ..entry
        };
        self.insert(id.clone(), claimed);
        true
    }

    /// Gives an item back. [`Ledger::take_orders`] then returns the order to free it. A
    /// second call has no effect.
    pub fn release(&mut self, id: &I, now: Mono) {
        let held = |entry: &&Entry| entry.stage == Stage::Held;
        let Some(entry) = self.entries.get(id).filter(held).cloned() else {
            return;
        };
        self.unlink(id, &entry);
        let closing = Entry {
            stage: Stage::Closing(now),
            owner: None,
            ..entry
        };
        self.insert(id.clone(), closing);
    }

    /// Removes an item that the engine ended by itself: a stream that came to its end, or
    /// an export that was fetched and freed.
    pub fn remove(&mut self, id: &I) {
        if let Some(entry) = self.entries.remove(id) {
            self.unlink(id, &entry);
        }
    }

    /// Returns the orders that are due: for leases that have ended, for items that were
    /// given back, and again for orders that were not confirmed.
    pub fn take_orders(&mut self, now: Mono) -> Vec<Order<I>> {
        self.expire(now);
        let mut orders = Vec::new();
        while let Some((due, id)) = self.closing.first().cloned()
            && due <= now
        {
            self.closing.pop_first();
            let next = now + self.config.repeat_interval.max(Duration::from_micros(1));
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.stage = Stage::Closing(next);
                let kind = entry.item.kind;
                self.closing.insert((next, id.clone()));
                orders.push(Order { id, kind });
            }
        }
        orders
    }

    /// Returns the next time at which [`Ledger::take_orders`] may return an order.
    pub fn next_order_at(&self) -> Option<Mono> {
        let lease = self.leases.first().map(|(at, _)| *at);
        let order = self.closing.first().map(|(at, _)| *at);
        lease.into_iter().chain(order).min()
    }

    /// Records that the engine confirmed an order to free, which was given at `asked`.
    pub fn confirm_free(&mut self, id: &I, asked: Mono) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        // An open that was not confirmed may still be on its way, and the engine would then
        // make the item after all. The order is repeated until that can't happen any more.
        if matches!(entry.stage, Stage::Closing(_)) && self.is_settled(entry, asked) {
            self.remove(id);
        }
    }

    /// Compares the ledger with the engine's own list, which was asked for at `asked`.
    ///
    /// Items that only the engine has are freed, by a successor after the grace for their
    /// owners. Items that only the ledger has are forgotten.
    pub fn reconcile(&mut self, list: &BTreeMap<I, Item>, asked: Mono, now: Mono) {
        let gone: Vec<I> = self
            .entries
            .iter()
            .filter(|(id, entry)| !list.contains_key(id) && self.is_settled(entry, asked))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.remove(id);
        }
        let grace = self.grace_until.filter(|until| now < *until);
        for (id, item) in list {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.confirmed_at = entry.confirmed_at.or(Some(now));
            } else {
                self.adopt(id.clone(), *item, grace, now);
            }
        }
    }

    /// Returns the memory that is held, including items about to be freed.
    pub fn held_tokens(&self) -> Tokens {
        self.entries.values().map(|entry| entry.item.tokens).sum()
    }

    /// Returns the ids of all items, in order.
    pub fn ids(&self) -> impl Iterator<Item = &I> {
        self.entries.keys()
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the engine's answer to what it was asked at `asked` is final for an
    /// entry: the engine was known to have made the item by then, or its time to make it
    /// was over. The time at which an order was given proves nothing: the engine may have
    /// answered between that time and acting on the order.
    fn is_settled(&self, entry: &Entry, asked: Mono) -> bool {
        let made = entry.confirmed_at.is_some_and(|at| at < asked);
        made || entry.opened_at + self.config.order_lifetime < asked
    }

    /// Records an item that only the engine knows of: held until the end of the grace
    /// period, or to be freed at once if there is none.
    fn adopt(&mut self, id: I, item: Item, grace: Option<Mono>, now: Mono) {
        let (stage, until) = match grace {
            Some(until) => (Stage::Held, until),
            None => (Stage::Closing(now), now),
        };
        let entry = Entry {
            item,
            stage,
            owner: None,
            lease: Duration::ZERO,
            until,
            opened_at: now,
            confirmed_at: Some(now),
        };
        self.insert(id, entry);
    }

    /// Releases the items whose leases have ended.
    fn expire(&mut self, now: Mono) {
        while let Some((until, id)) = self.leases.first().cloned()
            && until <= now
        {
            self.release(&id, now);
        }
    }

    fn insert(&mut self, id: I, entry: Entry) {
        match entry.stage {
            Stage::Held => self.leases.insert((entry.until, id.clone())),
            Stage::Closing(next) => self.closing.insert((next, id.clone())),
        };
        if let Some(owner) = &entry.owner {
            let ids = self.owners.entry(owner.clone()).or_default();
            ids.insert(id.clone());
        }
        self.entries.insert(id, entry);
    }

    /// Removes an entry from the indices.
    fn unlink(&mut self, id: &I, entry: &Entry) {
        match entry.stage {
            Stage::Held => self.leases.remove(&(entry.until, id.clone())),
            Stage::Closing(next) => self.closing.remove(&(next, id.clone())),
        };
        let Some(owner) = &entry.owner else {
            return;
        };
        if let Some(ids) = self.owners.get_mut(owner) {
            ids.remove(id);
            if ids.is_empty() {
                self.owners.remove(owner);
            }
        }
    }
}
