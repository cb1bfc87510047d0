//! What an engine's memory is held for, and until when.
//!
//! An engine keeps memory for whoever asked for it: a stream's KV cache, an
//! export on its way to another engine, a reservation. If the one who asked
//! dies, nobody asks for it to be freed, and after some days of dying hosts the
//! engine is full of nothing. So the sidecar writes each such thing down
//! *before* it asks the engine for it, with an owner and a lease. A lease that
//! is not renewed ends, and then the ledger repeats the order to free until
//! the engine confirms it.
//!
//! Three cases need more than that:
//!
//! - *The answer to an open is lost.* The entry is there all the same; freeing
//!   what was never made is confirmed by the engine and costs nothing.
//! - *The open arrives after the free.* The engine answers the free with "no
//!   such thing" and then makes it. So, while an open was not confirmed, a
//!   confirmed free only counts if it was asked for after
//!   [`Config::order_lifetime`], within which the engine acts on an order or never.
//! - *The sidecar dies*, and the ledger with it. The successor asks the engine
//!   what exists. Owners that live [claim](Ledger::claim) theirs within
//!   [`Config::claim_grace`]; the rest is freed. The same [comparison](Ledger::reconcile),
//!   made now and then, finds whatever else went wrong.
//!
//! Writing the ledger to disk was ruled out: it would still have to be compared
//! with the engine, which may have lost its memory, and costs a sync for each
//! stream.
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
    /// After how long an order to free is given again.
    pub repeat_interval: Duration,
    /// How long after it was given an engine may still act on an order.
    pub order_lifetime: Duration,
    /// How long a successor waits for owners to claim what they hold.
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

/// One life of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner {
    /// The host.
    pub host: Host,
    /// Its life.
    pub incarnation: Incarnation,
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request that runs. Freed by cancelling it.
    Stream,
    /// KV cache on its way to another engine.
    Export,
    /// Room for a part of a prompt larger than an engine.
    Reservation,
}

/// A piece of engine memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// What it is held for.
    pub kind: Kind,
    /// How much it is, at most.
    pub tokens: Tokens,
}

/// An order to the engine: cancel a stream, free an export or a reservation.
/// Given again until [`Ledger::confirm_free`] says that it was confirmed; the engine
/// confirms it also when there is no such thing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<I> {
    /// What to free.
    pub id: I,
    /// What it is.
    pub kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Held, by a live owner as far as is known.
    Held,
    /// To be freed. The next order is due then.
    Closing(Mono),
}

#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    stage: Stage,
    /// `None` after a restart, until an owner claims it.
    owner: Option<Owner>,
    /// How long each renewal lasts.
    lease: Duration,
    /// When the lease ends, a key in `Ledger::leases` while held.
    until: Mono,
    opened_at: Mono,
    /// When the engine was first known to have made it.
    confirmed_at: Option<Mono>,
}

/// The memory of one engine.
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
    /// Until when a successor leaves what it finds to its owners.
    grace_until: Option<Mono>,
}

impl<I> Ledger<I>
where
    I: Clone + Ord,
{
    /// The ledger of an engine that holds nothing yet.
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

    /// The ledger of a sidecar that came back and does not know what the engine
    /// holds. To be followed by [`Ledger::reconcile`].
    pub fn recover(config: Config, now: Mono) -> Ledger<I> {
        Ledger {
            grace_until: Some(now + config.claim_grace),
            ..Ledger::new(config)
        }
    }

    /// Enters what the engine is going to be asked for. To be called before the
    /// first byte goes out. `false` when the id is in use.
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

    /// Notes that the engine has made it.
    pub fn confirm_open(&mut self, id: &I, now: Mono) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.confirmed_at = entry.confirmed_at.or(Some(now));
        }
    }

    /// Extends the leases of all that an owner holds.
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

    /// Gives a thing a (new) owner: after a restart, or when an export is
    /// handed over. `false` when it is gone or about to be freed.
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

    /// Gives a thing back. The order to free it comes with the next
    /// [`Ledger::take_orders`]. Doing so twice is the same as once.
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

    /// Notes that the engine ended a thing by itself: a stream came to its end,
    /// an export was fetched and freed.
    pub fn remove(&mut self, id: &I) {
        if let Some(entry) = self.entries.remove(id) {
            self.unlink(id, &entry);
        }
    }

    /// The orders that are due: for leases that have ended, for what was given
    /// back, and again for what was not confirmed.
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

    /// When [`Ledger::take_orders`] has something to say next.
    pub fn next_order_at(&self) -> Option<Mono> {
        let lease = self.leases.first().map(|(at, _)| *at);
        let order = self.closing.first().map(|(at, _)| *at);
        lease.into_iter().chain(order).min()
    }

    /// Notes that the engine confirmed an order to free, which was given at
    /// `asked`.
    pub fn confirm_free(&mut self, id: &I, asked: Mono) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        // An open that was not confirmed may still be on its way and would
        // make the thing after all. The order is repeated until it can't.
        if matches!(entry.stage, Stage::Closing(_)) && self.is_settled(entry, asked) {
            self.remove(id);
        }
    }

    /// Compares with the engine's own list, which was asked for at `asked`.
    ///
    /// What the engine holds and nobody here knows of is freed, by a successor
    /// after the grace for its owners. What is known here and the engine does
    /// not hold is forgotten.
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

    /// Memory held, what is about to be freed included.
    pub fn held_tokens(&self) -> Tokens {
        self.entries.values().map(|entry| entry.item.tokens).sum()
    }

    /// What is held, in order.
    pub fn ids(&self) -> impl Iterator<Item = &I> {
        self.entries.keys()
    }

    /// How many things are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether what the engine was asked for at `asked` is final for an entry:
    /// it was known to have made the thing by then, or had had the time to and
    /// won't any more. When the order was given proves nothing: the engine may
    /// have answered between that moment and acting on the order.
    fn is_settled(&self, entry: &Entry, asked: Mono) -> bool {
        let made = entry.confirmed_at.is_some_and(|at| at < asked);
        made || entry.opened_at + self.config.order_lifetime < asked
    }

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

    /// Takes an entry out of the indices.
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
