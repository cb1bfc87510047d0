//! Guards against gangs that wait for each other for ever. Several prompts, each larger
//! than an engine, need three of five engines at once, while short and medium work goes on
//! there. None would start if each held what another waits for, or if freed memory went to
//! smaller work; and short prompts would wait for minutes if all other work were stopped.
//! When an engine dies, the other members' parts must be given back.

#![cfg(test)]

use std::time::Duration;

use almondlock_base::{
    id::{Organisation, Upstream},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::{
    gang::{Gang, Reservation, Step, Waitlist},
    length::Class,
    queue::{self, Job, Queue, Room},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::index};
use yare::parameterized;

const CAPACITY: Tokens = Tokens(100_000);
const PART_TOKENS: Tokens = Tokens(70_000);
const MEMBERS: usize = 5;
const GANGS: usize = 8;
const STEPS: u64 = 2_000;

/// One engine with its queue and its waitlist.
struct Engine {
    queue: Queue<u64>,
    waitlist: Waitlist<usize>,
    running: Vec<(u64, u64, Tokens)>,
    reserved: Vec<usize>,
    longest_short: Duration,
}

impl Engine {
    fn new() -> Engine {
        Engine {
            queue: Queue::new(queue::Config::short()),
            waitlist: Waitlist::new(Default::default()),
            running: Vec::new(),
            reserved: Vec::new(),
            longest_short: Duration::ZERO,
        }
    }

    fn room(&self) -> Room {
        let used: Tokens = self.running.iter().map(|(_, _, need)| *need).sum();
        let reserved = Tokens(PART_TOKENS.0 * self.reserved.len() as u64);
        assert!(used + reserved <= CAPACITY, "memory is given out twice");
        Room {
            free_memory: CAPACITY.saturating_sub(used + reserved),
            free_slots: 64 - self.running.len() as u32,
            ..Room::idle(CAPACITY, 64)
        }
    }

    fn push(&mut self, id: u64, prompt: u64, now: Mono) {
        let job = Job {
            organisation: Organisation::new(&format!("org-{}", id % 3)).unwrap(),
            weight: 1,
            prompt: Tokens(prompt),
            cached: Tokens::ZERO,
            max_output: Tokens(1_000),
            deadline: now + Duration::from_secs(600),
            suspect: false,
        };
        let room = self.room();
        self.queue.push(id, job, &room, now).unwrap();
    }

    /// Ends what is over and grants what has room. Returns the gangs that were granted.
    fn step(&mut self, step: u64, now: Mono) -> Vec<usize> {
        let queue = &mut self.queue;
        self.running.retain(|(end, id, _)| {
            let over = *end <= step;
            if over {
                queue.finish(id, Tokens(1_000));
            }
            !over
        });
        let mut granted = Vec::new();
        let reserve = self.queue.reserve_left(&self.room());
        while let Some(gang) = self.waitlist.grant(self.room().free_memory, reserve) {
            self.reserved.push(gang);
            granted.push(gang);
        }
        self.queue.set_hold(self.waitlist.is_collecting(now));
        while let Some(grant) = self.queue.grant(now, &self.room()) {
            self.queue.end_prefill(&grant.id, now);
            let prompt = if grant.class == Class::Short {
                3_000
            } else {
                7_000
            };
            if grant.class == Class::Short {
                self.longest_short = self.longest_short.max(grant.waited);
            }
            self.running
                .push((step + 10, grant.id, Tokens(prompt + 1_000)));
        }
        granted
    }

    fn release(&mut self, gang: usize) {
        self.waitlist.remove(&gang);
        self.reserved.retain(|other| *other != gang);
    }
}

fn name(member: usize) -> Upstream {
    Upstream::new(&format!("engine-{member}")).unwrap()
}

fn gang(rng: &mut SmallRng) -> Gang {
    let parts = index::sample(rng, MEMBERS, 3)
        .into_iter()
        .map(|i| Reservation {
            upstream: name(i),
            tokens: PART_TOKENS,
        });
    Gang::new(parts.collect(), Mono::from_millis(STEPS * 1_000))
}

struct Fleet {
    rng: SmallRng,
    engines: Vec<Engine>,
    gangs: Vec<Gang>,
    ends: Vec<Option<u64>>,
    finished: Vec<bool>,
    /// Requests to reserve under way: arrival step, gang and reservation.
    messages: Vec<(u64, usize, usize)>,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        let mut rng = SmallRng::seed_from_u64(seed);
        Fleet {
            engines: (0..MEMBERS).map(|_| Engine::new()).collect(),
            gangs: (0..GANGS).map(|_| gang(&mut rng)).collect(),
            ends: vec![None; GANGS],
            finished: vec![false; GANGS],
            messages: Vec::new(),
            rng,
        }
    }

    fn member(&self, gang: usize, part: usize) -> usize {
        let upstream = &self.gangs[gang].reservations()[part].upstream;
        (0..MEMBERS).find(|i| name(*i) == *upstream).unwrap()
    }

    fn traffic(&mut self, step: u64, now: Mono) {
        for engine in &mut self.engines {
            engine.push(step * 2, 7_000, now);
            if step.is_multiple_of(4) {
                engine.push(step * 2 + 1, 3_000, now);
            }
        }
    }

    fn drive(&mut self, id: usize, step: u64, now: Mono) {
        if self.ends[id].is_some_and(|end| end <= step) {
            self.gangs[id].finish();
            self.finished[id] = true;
        }
        match self.gangs[id].step(now) {
            Step::Reserve(part) => {
                let at = step + self.rng.random_range(1..4);
                self.messages.push((at, id, part));
            }
            Step::Run => self.ends[id] = Some(step + 15),
            Step::Release(parts) => {
                for part in parts {
                    let member = self.member(id, part);
                    self.engines[member].release(id);
                    self.messages.retain(|(_, gang, _)| *gang != id);
                }
            }
            Step::Wait | Step::Done => {}
        }
        // The gang has lost a member: it starts again with other members.
        if self.gangs[id].failure().is_some() && self.gangs[id].step(now) == Step::Done {
            self.gangs[id] = gang(&mut self.rng);
            self.ends[id] = None;
        }
    }

    fn deliver(&mut self, step: u64, now: Mono) {
        let (due, later) = self.messages.drain(..).partition(|(at, ..)| *at <= step);
        self.messages = later;
        let due: Vec<(u64, usize, usize)> = due;
        for (_, id, part) in due {
            let member = self.member(id, part);
            let most = Tokens(85_000);
            let deadline = Mono::from_millis(STEPS * 1_000);
            let asked = self.engines[member]
                .waitlist
                .push(id, PART_TOKENS, most, deadline, now);
            asked.unwrap();
        }
    }

    fn kill(&mut self, member: usize) {
        self.engines[member] = Engine::new();
        for id in 0..GANGS {
            let upstream = name(member);
            let parts = self.gangs[id].reservations();
            if let Some(part) = parts.iter().position(|part| part.upstream == upstream)
                && !self.finished[id]
            {
                self.gangs[id].note_loss(part);
            }
        }
    }

    fn run(&mut self, death: Option<u64>) -> u64 {
        for step in 0..STEPS {
            let now = Mono::from_millis(step * 100);
            self.traffic(step, now);
            if death == Some(step) {
                self.kill(2);
            }
            self.deliver(step, now);
            for member in 0..MEMBERS {
                for id in self.engines[member].step(step, now) {
                    let upstream = name(member);
                    let parts = self.gangs[id].reservations();
                    let part = parts.iter().position(|part| part.upstream == upstream);
                    self.gangs[id].note_grant(part.unwrap());
                }
            }
            for id in 0..GANGS {
                if step >= 20 + 3 * id as u64 {
                    self.drive(id, step, now);
                }
            }
            let idle = self.engines.iter().all(|engine| engine.reserved.is_empty());
            if self.finished.iter().all(|finished| *finished) && idle {
                return step;
            }
        }
        panic!("not all gangs finished: {:?}", self.finished);
    }
}

#[parameterized(
    healthy = { None },
    early_death = { Some(30) },
    death = { Some(60) },
    late_death = { Some(110) },
)]
fn all_gangs_finish(death: Option<u64>) {
    for seed in 0..100 {
        let mut fleet = Fleet::new(seed);
        let last = fleet.run(death);
        // Eight gangs of 15 steps each, which hardly ever overlap, and for each the time
        // until the running work has ended.
        assert!(last < 800, "seed {seed}: {last} steps");
        for engine in &fleet.engines {
            let longest = engine.longest_short;
            assert!(
                longest <= Duration::from_millis(500),
                "seed {seed}: {longest:?}"
            );
        }
    }
}
