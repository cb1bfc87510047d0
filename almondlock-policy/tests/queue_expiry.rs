//! Guards against a request that waits beside a busy engine although it can't be answered
//! in time. Its caller must be told as soon as its prompt can't be processed before the
//! deadline any more, not only when the deadline passes, with the time after which it may
//! come back. A request that is withdrawn must leave nothing behind.

#![cfg(test)]

use std::time::Duration;

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};
use almondlock_policy::queue::{Config, Job, Queue, Room};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn job(organisation: u64, prompt: u64, deadline: Mono) -> Job {
    Job {
        organisation: Organisation::new(&format!("org-{organisation}")).unwrap(),
        weight: 1 + (organisation % 3) as u32,
        prompt: Tokens(prompt),
        cached: Tokens::ZERO,
        max_output: Tokens(100),
        deadline,
        suspect: prompt.is_multiple_of(7),
    }
}

fn is_alone(job: &Job) -> bool {
    job.prompt.0.is_multiple_of(11)
}

#[test]
fn unreachable_given_up() {
    let room = Room::idle(Tokens(100_000), 16);
    let mut queue = Queue::new(Config::short());
    // 80,000 tokens take 10 s at the assumed speed, and 6.667 s at the most optimistic one.
    let deadline = Mono::from_millis(15_000);
    queue
        .push(1, job(1, 80_000, deadline), &room, Mono::ZERO)
        .unwrap();
    assert!(queue.take_expired(Mono::from_millis(8_333)).is_empty());
    assert!(queue.next_expiry() <= Some(Mono::from_millis(8_334)));
    let gone = queue.take_expired(Mono::from_millis(8_334));
    assert_eq!(gone[0].code, Code::DeadlineUnreachable);
    assert!(!gone[0].retry_after.is_zero());
    assert!(queue.is_empty());
}

#[test]
fn passed_deadline_timeout() {
    let room = Room::idle(Tokens(100_000), 16);
    let mut queue = Queue::new(Config::fifo());
    let deadline = Mono::from_millis(1_000);
    queue
        .push(1, job(1, 1_000, deadline), &room, Mono::ZERO)
        .unwrap();
    let gone = queue.take_expired(deadline);
    assert_eq!(gone[0].code, Code::QueueTimeout);
}

/// A queue, the engine beside it, and counts of the jobs that came and left.
struct World {
    rng: SmallRng,
    room: Room,
    queue: Queue<u64>,
    jobs: Vec<Job>,
    running: Vec<u64>,
    came: usize,
    left: usize,
}

impl World {
    fn job(&self, id: u64) -> &Job {
        &self.jobs[id as usize]
    }

    fn push(&mut self, now: Mono) {
        let prompt = 10u64.pow(self.rng.random_range(2..6));
        let prompt = prompt + self.rng.random_range(0..prompt);
        let deadline = now + Duration::from_secs(self.rng.random_range(1..60));
        let job = job(self.rng.random_range(0..5), prompt, deadline);
        let id = self.jobs.len() as u64;
        self.jobs.push(job.clone());
        let pushed = if is_alone(&job) {
            self.queue.push_alone(id, job, &self.room, now)
        } else {
            self.queue.push(id, job, &self.room, now)
        };
        self.came += usize::from(pushed.is_ok());
    }

    fn remove(&mut self) {
        let id = self.rng.random_range(0..=self.jobs.len() as u64);
        self.left += usize::from(self.queue.remove(&id));
    }

    fn finish(&mut self, at: usize) {
        let id = self.running.swap_remove(at);
        self.queue
            .finish(&id, Tokens(self.rng.random_range(0..100)));
        self.room.free_memory += self.job(id).memory_need();
        self.room.free_slots += 1;
    }

    fn grant(&mut self, now: Mono) {
        while let Some(grant) = self.queue.grant(now, &self.room) {
            let need = self.job(grant.id).memory_need();
            assert!(need <= self.room.free_memory, "no room");
            self.room.free_memory = self.room.free_memory.saturating_sub(need);
            self.room.free_slots -= 1;
            self.running.push(grant.id);
            self.left += 1;
        }
        let suspect = |id: &&u64| self.job(**id).suspect || is_alone(self.job(**id));
        let suspects = self.running.iter().filter(suspect).count();
        assert!(suspects <= 1, "two suspects together");
        let alone = self.running.iter().any(|id| is_alone(self.job(*id)));
        assert!(!alone || self.running.len() == 1, "not alone");
    }

    fn step(&mut self, now: Mono) {
        match self.rng.random_range(0..6) {
            0 | 1 => self.push(now),
            2 => self.left += self.queue.take_expired(now).len(),
            3 => self.remove(),
            4 if !self.running.is_empty() => {
                let at = self.rng.random_range(0..self.running.len());
                self.finish(at);
            }
            _ => self.grant(now),
        }
        assert_eq!(self.came, self.left + self.queue.len());
    }
}

/// In whatever order things happen, each job leaves exactly once: granted, withdrawn or
/// expired. Two suspects never run together, and nothing runs beside a job that must be
/// alone.
#[test]
fn jobs_leave_once() {
    for seed in 0..100 {
        let mut world = World {
            rng: SmallRng::seed_from_u64(seed),
            room: Room::idle(Tokens(300_000), 8),
            queue: Queue::new(Config::short()),
            jobs: Vec::new(),
            running: Vec::new(),
            came: 0,
            left: 0,
        };
        for step in 0..2_000 {
            world.step(Mono::from_millis(step * 20));
        }
        // Nothing is left behind when all jobs are over.
        while !world.running.is_empty() {
            world.finish(0);
        }
        let queue = &mut world.queue;
        queue.take_expired(Mono::from_millis(10_000_000));
        let rest = (queue.len(), queue.running(), queue.backlog());
        assert_eq!(rest, (0, 0, Tokens::ZERO), "seed {seed}");
    }
}

/// Guards against a job that must run alone and never starts because others keep coming.
#[test]
fn alone_not_starved() {
    let mut queue = Queue::new(Config::short());
    let mut room = Room::idle(Tokens(300_000), 8);
    let mut ends: std::collections::VecDeque<(u64, u64)> = Default::default();
    for step in 0..400 {
        let now = Mono::from_millis(step * 100);
        while let Some((end, id)) = ends.front().copied()
            && end <= step
        {
            ends.pop_front();
            queue.finish(&id, Tokens(100));
            room.free_slots += 1;
        }
        let others = job(step % 3, 1_000, now + Duration::from_secs(30));
        queue.push(step, others, &room, now).unwrap();
        if step == 10 {
            let alone = job(4, 1_003, now + Duration::from_secs(20));
            queue.push_alone(9_999, alone, &room, now).unwrap();
        }
        while let Some(grant) = queue.grant(now, &room) {
            if grant.id == 9_999 {
                assert!(step <= 10 + 100 + 20, "started at step {step}");
                return;
            }
            queue.end_prefill(&grant.id, now);
            room.free_slots -= 1;
            ends.push_back((step + 15, grant.id));
        }
    }
    panic!("the job never started");
}
