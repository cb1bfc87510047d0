//! Guards against engine memory that stays held after its owner is gone. An entry host, a
//! sidecar or an engine dies at any moment, with streams open, exports under way and
//! reservations held; orders and answers are lost, late and doubled. Once the leases have
//! ended the engine must hold nothing, and at rest it must hold what the ledger says.

#![cfg(test)]

use std::{collections::BTreeMap, time::Duration};

use almondlock_base::{
    id::{Host, Incarnation},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::ledger::{Config, Item, Kind, Ledger, Owner};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const LEASE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
enum Message {
    Open(u64, Item, Mono),
    Opened(u64),
    Free(u64, Mono),
    Freed(u64, Mono),
}

/// A ledger, an engine that does what it is told when a message arrives, and the messages
/// under way.
struct World {
    rng: SmallRng,
    now: Mono,
    next: u64,
    life: u64,
    engine: BTreeMap<u64, Item>,
    ledger: Ledger<u64>,
    messages: Vec<Message>,
    mine: Vec<u64>,
    /// A list that the engine has given and that has not arrived yet, with the time at
    /// which it was asked for.
    list: Option<(BTreeMap<u64, Item>, Mono)>,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: SmallRng::seed_from_u64(seed),
            now: Mono::ZERO,
            next: 0,
            life: 0,
            engine: BTreeMap::new(),
            ledger: Ledger::new(Config::default()),
            messages: Vec::new(),
            mine: Vec::new(),
            list: None,
        }
    }

    fn owner(&self) -> Owner {
        Owner {
            host: Host::new("entry-1").unwrap(),
            incarnation: Incarnation(self.life),
        }
    }

    fn open(&mut self) {
        let kinds = [Kind::Stream, Kind::Export, Kind::Reservation];
        let item = Item {
            kind: kinds[self.rng.random_range(0..kinds.len())],
            tokens: Tokens(self.rng.random_range(1..1_000)),
        };
        let owner = self.owner();
        self.next += 1;
        assert!(self.ledger.open(self.next, item, &owner, LEASE, self.now));
        self.mine.push(self.next);
        self.messages.push(Message::Open(self.next, item, self.now));
    }

    fn order(&mut self) {
        for order in self.ledger.take_orders(self.now) {
            self.messages.push(Message::Free(order.id, self.now));
        }
    }

    /// Lets one message arrive, or loses it, or lets it arrive and arrive again later.
    fn deliver(&mut self, chaos: bool) {
        if self.messages.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.messages.len());
        let fate = if chaos {
            self.rng.random_range(0..10)
        } else {
            9
        };
        let message = if fate == 0 {
            self.messages[at].clone()
        } else {
            self.messages.swap_remove(at)
        };
        if fate != 1 {
            self.arrive(message);
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            // The engine drops an order whose lifetime is over.
            Message::Open(id, item, sent) => {
                if self.now.since(sent) < Config::default().order_lifetime {
                    self.engine.insert(id, item);
                    self.messages.push(Message::Opened(id));
                }
            }
            Message::Opened(id) => self.ledger.confirm_open(&id, self.now),
            Message::Free(id, asked) => {
                self.engine.remove(&id);
                self.messages.push(Message::Freed(id, asked));
            }
            Message::Freed(id, asked) => self.ledger.confirm_free(&id, asked),
        }
    }

    fn reconcile(&mut self) {
        self.ledger.reconcile(&self.engine, self.now, self.now);
    }

    fn list(&mut self) {
        match self.list.take() {
            Some((list, asked)) => self.ledger.reconcile(&list, asked, self.now),
            None => self.list = Some((self.engine.clone(), self.now)),
        }
    }

    fn entry_dies(&mut self) {
        self.life += 1;
        self.mine.clear();
    }

    /// Answers to the old sidecar are lost; its orders may still arrive.
    fn sidecar_dies(&mut self) {
        self.messages
            .retain(|m| matches!(m, Message::Open(..) | Message::Free(..)));
        self.list = None;
        self.ledger = Ledger::recover(Config::default(), self.now);
        self.reconcile();
        let owner = self.owner();
        let ledger = &mut self.ledger;
        let now = self.now;
        self.mine.retain(|id| ledger.claim(id, &owner, LEASE, now));
    }

    fn engine_dies(&mut self) {
        self.engine.clear();
        self.messages
            .retain(|m| matches!(m, Message::Opened(_) | Message::Freed(..)));
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..200));
        match self.rng.random_range(0..10) {
            0..=2 => self.open(),
            3 if !self.mine.is_empty() => {
                let at = self.rng.random_range(0..self.mine.len());
                let id = self.mine.swap_remove(at);
                self.ledger.release(&id, self.now);
                self.ledger.release(&id, self.now);
            }
            4 => {
                let owner = self.owner();
                self.ledger.renew(&owner, self.now);
            }
            5 => self.order(),
            6 if self.rng.random_bool(0.5) => self.list(),
            _ => self.deliver(true),
        }
    }

    /// All messages arrive, and no owner renews its leases any more.
    fn rest(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.now = self.now + Duration::from_secs(1);
            self.order();
            while !self.messages.is_empty() {
                self.deliver(false);
            }
            self.reconcile();
        }
    }

    fn assert_agreement(&self, what: &str) {
        let held: Vec<&u64> = self.ledger.ids().collect();
        let exist: Vec<&u64> = self.engine.keys().collect();
        assert_eq!(held, exist, "{what}");
        let sum: Tokens = self.engine.values().map(|item| item.tokens).sum();
        assert_eq!(self.ledger.held_tokens(), sum, "{what}");
    }
}

fn finish(mut world: World, what: &str) {
    // Orders and answers come to rest within the lifetime of an order.
    world.rest(6);
    world.assert_agreement(what);
    world.rest(20);
    assert!(world.engine.is_empty(), "{what}: {:?}", world.engine);
    assert!(world.ledger.is_empty(), "{what}");
    assert_eq!(world.ledger.next_order_at(), None);
}

#[parameterized(entry = { 0 }, sidecar = { 1 }, engine = { 2 }, sidecar_and_entry = { 3 })]
fn crash_at_each_step(who: u32) {
    const STEPS: u64 = 150;
    for crash in 0..STEPS {
        for seed in 0..4 {
            let mut world = World::new(seed);
            for step in 0..STEPS {
                world.step();
                if step != crash {
                    continue;
                }
                match who {
                    0 => world.entry_dies(),
                    1 => world.sidecar_dies(),
                    2 => world.engine_dies(),
                    _ => {
                        world.entry_dies();
                        world.sidecar_dies();
                    }
                }
            }
            finish(world, &format!("seed {seed}, crash at {crash}"));
        }
    }
}

#[test]
fn many_crashes() {
    for seed in 100..300 {
        let mut world = World::new(seed);
        for _ in 0..1_000 {
            world.step();
            match world.rng.random_range(0..120) {
                0 => world.entry_dies(),
                1 => world.sidecar_dies(),
                2 => world.engine_dies(),
                _ => {}
            }
        }
        finish(world, &format!("seed {seed}"));
    }
}

/// The engine lists what it holds, then makes one more item and confirms it; then the list
/// arrives. The item must not be taken for gone: it would be freed while its owner uses it,
/// as soon as the next list shows it.
#[test]
fn late_list_harmless() {
    let mut world = World::new(1);
    world.open();
    world.now = world.now + Duration::from_millis(10);
    world.list();
    while !world.messages.is_empty() {
        world.deliver(false);
    }
    world.now = world.now + Duration::from_millis(10);
    world.list();
    world.reconcile();
    world.order();
    assert!(world.messages.is_empty());
    world.assert_agreement("one is held");
    assert_eq!(world.ledger.len(), 1);
}

/// The engine answers a free with "no such thing", then the open arrives.
#[test]
fn open_after_free() {
    let mut world = World::new(1);
    world.open();
    let open = world.messages.pop().unwrap();
    world.ledger.release(&1, world.now);
    world.order();
    let free = world.messages.pop().unwrap();
    world.arrive(free);
    let freed = world.messages.pop().unwrap();
    world.arrive(freed);
    world.arrive(open);
    assert_eq!(world.engine.len(), 1);
    // No list of the engine is asked for.
    for _ in 0..20 {
        world.now = world.now + Duration::from_secs(1);
        world.order();
        while !world.messages.is_empty() {
            world.deliver(false);
        }
    }
    assert!(world.engine.is_empty() && world.ledger.is_empty());
}
