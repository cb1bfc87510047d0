//! What one sidecar knows of the attempts it has: which wait, which run, what
//! room they leave. No I/O; the present time is an argument.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::Duration,
};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Fingerprint, Incarnation, Organisation},
    time::Mono,
    unit::Tokens,
};
use almondlock_policy::{
    gang::{self, Waitlist},
    gate::{self, Action, Gate},
    length::Class,
    poison::Treatment,
    prefix,
    queue::{self, Grant, Job, Queue, Room},
};
use almondlock_wire::attempt::{Head, Load, Part};
use tokio::sync::oneshot;

/// When to come back for memory that could not be had.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Prefix hashes remembered as cached on the engine.
const MAX_KNOWN_PREFIXES: usize = 8192;

/// Why an attempt doesn't run, and what is known of its copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The numbered reason.
    pub code: Code,
    /// Whether any copy of it ran.
    pub ran: Ran,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// A request that ran on the engine at some moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// What it is told by.
    pub fingerprint: Fingerprint,
    /// Whose it is.
    pub organisation: Organisation,
}

/// Where an attempt stands, and whom to tell.
enum Stage {
    Waiting(oneshot::Sender<Verdict>),
    Granted,
    Running(oneshot::Sender<()>),
}

struct Entry {
    request: Request,
    /// Engine memory kept for it from the grant on.
    memory_need: Tokens,
    prefix: Vec<u64>,
    stage: Stage,
}

/// Memory for a part of a prompt larger than an engine.
struct Reservation {
    tokens: Tokens,
    // Told when it is granted; none from then on.
    tell: Option<oneshot::Sender<Result<(), Refusal>>>,
}

/// Bounds of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Engine memory in tokens.
    pub capacity: Tokens,
    /// Places in the engine's batch.
    pub slots: u32,
    /// The order of work.
    pub queue: queue::Config,
    /// Memory of attempts given up.
    pub gate: gate::Config,
}

/// What a waiting attempt is told in the end.
pub type Verdict = Result<Grant<Attempt>, Refusal>;

/// The attempts of one upstream.
pub struct Table {
    config: Config,
    gate: Gate,
    queue: Queue<Attempt>,
    // Invariant: an entry waits in `queue` while its stage is `Waiting`, and
    // runs in `queue` in the other two.
    entries: HashMap<Attempt, Entry>,
    // Invariant: the sum of `need` over the entries that don't wait, and of
    // the reservations granted.
    used_memory: Tokens,
    waitlist: Waitlist<Attempt>,
    // Invariant: has exactly what waits at `waitlist`, and what it granted.
    reservations: HashMap<Attempt, Reservation>,
    // Invariant: how many entries don't wait.
    occupied_slots: u32,
    prefixes: Prefixes,
}

/// Prefixes the engine has probably cached: a hint, bounded.
#[derive(Default)]
struct Prefixes {
    known: HashSet<u64>,
    order: VecDeque<u64>,
}

impl Prefixes {
    fn insert(&mut self, prefix: &[u64]) {
        for hash in prefix {
            if self.known.insert(*hash) {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > MAX_KNOWN_PREFIXES {
            let oldest = self.order.pop_front();
            oldest.map(|hash| self.known.remove(&hash));
        }
    }

    fn count_leading(&self, prefix: &[u64]) -> u32 {
        let leading = prefix.iter().take_while(|h| self.known.contains(h));
        u32::try_from(leading.count()).unwrap_or(u32::MAX)
    }
}

impl Table {
    /// An empty table of one life of a sidecar.
    pub fn new(config: Config, incarnation: Incarnation) -> Table {
        Table {
            gate: Gate::new(config.gate, incarnation),
            queue: Queue::new(config.queue),
            entries: HashMap::new(),
            used_memory: Tokens::ZERO,
            waitlist: Waitlist::new(gang::Config::default()),
            reservations: HashMap::new(),
            occupied_slots: 0,
            prefixes: Prefixes::default(),
            config,
        }
    }

    /// Lets an attempt in, to wait for its turn. `treatment` as the sidecar
    /// itself knows it: the entry host's word may be older.
    ///
    /// # Errors
    ///
    /// Refused at the gate or by the queue.
    pub fn enqueue(
        &mut self,
        head: &Head,
        treatment: Treatment,
        now: Mono,
    ) -> Result<oneshot::Receiver<Verdict>, Refusal> {
        let deadline = now + head.budget;
        let admitted = self
            .gate
            .admit(&head.attempt, head.incarnation, deadline, now);
        admitted.map_err(Refusal::from)?;
        let job = self.queue_job(head, treatment.is_charged(), deadline);
        let memory_need = job.memory_need();
        let room = self.room();
        let id = head.attempt.clone();
        let pushed = if treatment == Treatment::Exclusive {
            self.queue.push_alone(id, job, &room, now)
        } else {
            self.queue.push(id, job, &room, now)
        };
        if let Err(refusal) = pushed {
            self.gate.finish(&head.attempt, Ran::No, now);
            let wait = refusal.retry_after;
            return Err(Refusal {
                code: refusal.code,
                ran: Ran::No,
                retry_after: (!wait.is_zero()).then_some(wait),
            });
        }
        let (tell, told) = oneshot::channel();
        let request = Request {
            fingerprint: head.fingerprint,
            organisation: head.organisation.clone(),
        };
        let entry = Entry {
            request,
            memory_need,
            prefix: head.prefix.clone(),
            stage: Stage::Waiting(tell),
        };
        self.entries.insert(head.attempt.clone(), entry);
        Ok(told)
    }

    fn queue_job(&self, head: &Head, suspect: bool, deadline: Mono) -> Job {
        let leading = self.prefixes.count_leading(&head.prefix) as usize;
        Job {
            organisation: head.organisation.clone(),
            weight: head.share,
            prompt: head.prompt,
            cached: prefix::covered_tokens(leading).min(head.prompt.saturating_sub(Tokens(1))),
            max_output: head.output,
            deadline,
            suspect,
        }
    }

    /// Asks for memory for a part of a prompt larger than an engine.
    ///
    /// # Errors
    ///
    /// Refused at the gate, or when there can never be room.
    pub fn reserve(
        &mut self,
        part: &Part,
        now: Mono,
    ) -> Result<oneshot::Receiver<Result<(), Refusal>>, Refusal> {
        let attempt = &part.attempt;
        let deadline = now + part.budget;
        self.gate.admit(attempt, part.incarnation, deadline, now)?;
        let most = self.config.capacity.saturating_sub(self.short_reserve());
        let asked = self
            .waitlist
            .push(attempt.clone(), part.tokens, most, deadline, now);
        if let Err(refusal) = asked {
            self.gate.finish(attempt, Ran::No, now);
            return Err(Refusal {
                code: refusal.code,
                ran: Ran::No,
                retry_after: None,
            });
        }
        let (tell, told) = oneshot::channel();
        let reservation = Reservation {
            tokens: part.tokens,
            tell: Some(tell),
        };
        self.reservations.insert(attempt.clone(), reservation);
        Ok(told)
    }

    /// Gives a reservation back, granted or not. Idempotent.
    pub fn release(&mut self, attempt: &Attempt, now: Mono) {
        if let Some(reservation) = self.reservations.remove(attempt) {
            if reservation.tell.is_none() {
                self.used_memory = self.used_memory.saturating_sub(reservation.tokens);
            }
            self.waitlist.remove(attempt);
            self.gate.finish(attempt, Ran::No, now);
        }
    }

    /// The same, by the name that the engine knows it under.
    pub fn release_by_engine_id(&mut self, id: &str, now: Mono) {
        let named = |attempt: &&Attempt| attempt.to_string() == id;
        if let Some(attempt) = self.reservations.keys().find(named).cloned() {
            self.release(&attempt, now);
        }
    }

    /// Memory that only short prompts use.
    fn short_reserve(&self) -> Tokens {
        let reserve = u64::from(self.config.queue.reserve_percent.min(100));
        Tokens(self.config.capacity.0 / 100 * reserve)
    }

    fn grant_reservations(&mut self, now: Mono) {
        for attempt in self.waitlist.take_expired(now) {
            if let Some(reservation) = self.reservations.remove(&attempt)
                && let Some(tell) = reservation.tell
            {
                let _ = tell.send(Err(Refusal {
                    code: Code::MemoryUnavailable,
                    ran: Ran::No,
                    retry_after: Some(MEMORY_RETRY_AFTER),
                }));
            }
            self.gate.finish(&attempt, Ran::No, now);
        }
        while let Some(attempt) = self
            .waitlist
            .grant(self.room().free_memory, self.short_reserve())
        {
            let Some(reservation) = self.reservations.get_mut(&attempt) else {
                continue;
            };
            let told = reservation.tell.take().map(|tell| tell.send(Ok(())));
            self.used_memory += reservation.tokens;
            if !matches!(told, Some(Ok(()))) {
                self.release(&attempt, now);
            }
        }
    }

    /// The room that the queue may fill. While memory is collected for a
    /// reservation, only the part kept for short prompts: what running work
    /// frees would otherwise be taken by the next job each time, and the
    /// longest prompts would never start.
    fn queue_room(&self, now: Mono) -> Room {
        let mut room = self.room();
        if self.waitlist.is_collecting(now) {
            room.free_memory = room.free_memory.min(self.short_reserve());
        }
        room
    }

    /// Starts what there is room for.
    pub fn grant_waiting(&mut self, now: Mono) {
        self.grant_reservations(now);
        while let Some(grant) = self.queue.grant(now, &self.queue_room(now)) {
            let attempt = grant.id.clone();
            let Some(entry) = self.entries.get_mut(&attempt) else {
                self.queue.finish(&attempt, Tokens::ZERO);
                continue;
            };
            self.used_memory += entry.memory_need;
            self.occupied_slots += 1;
            let stage = std::mem::replace(&mut entry.stage, Stage::Granted);
            let told = match stage {
                Stage::Waiting(tell) => tell.send(Ok(grant)).is_ok(),
                Stage::Granted | Stage::Running(_) => true,
            };
            // Nobody waits any more: its room goes to the next.
            if !told {
                self.finish(&attempt, Tokens::ZERO, Ran::No, now);
            }
        }
    }

    /// Marks a granted attempt as handed to the engine: from here on it counts
    /// as run. The receiver is told when its entry host gives it up.
    ///
    /// # Errors
    ///
    /// Refused when it was given up meanwhile.
    pub fn start(&mut self, attempt: &Attempt) -> Result<oneshot::Receiver<()>, Refusal> {
        self.gate.start(attempt)?;
        let (cancel, cancelled) = oneshot::channel();
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.stage = Stage::Running(cancel);
        }
        Ok(cancelled)
    }

    /// Notes that a running attempt's prompt has been processed.
    pub fn end_prefill(&mut self, attempt: &Attempt, now: Mono) {
        self.queue.end_prefill(attempt, now);
        if let Some(entry) = self.entries.get(attempt) {
            self.prefixes.insert(&entry.prefix);
        }
    }

    /// Takes an attempt out, whatever its stage.
    pub fn finish(&mut self, attempt: &Attempt, output: Tokens, ran: Ran, now: Mono) {
        let Some(entry) = self.entries.remove(attempt) else {
            return;
        };
        if matches!(entry.stage, Stage::Waiting(_)) {
            self.queue.remove(attempt);
        } else {
            self.queue.finish(attempt, output);
            self.used_memory = self.used_memory.saturating_sub(entry.memory_need);
            self.occupied_slots = self.occupied_slots.saturating_sub(1);
        }
        self.gate.finish(attempt, ran, now);
    }

    /// Gives an attempt up on its entry host's word, and says whether it ran.
    pub fn settle(&mut self, attempt: &Attempt, target: Incarnation, now: Mono) -> Ran {
        let settled = self.gate.settle(attempt, target, now);
        match settled.action {
            Action::None => {}
            Action::Dequeue => self.refuse_waiting(attempt, Code::Tombstoned, None, now),
            Action::Cancel => {
                let entry = self.entries.get_mut(attempt);
                let stage = entry.map(|e| std::mem::replace(&mut e.stage, Stage::Granted));
                if let Some(Stage::Running(cancel)) = stage {
                    // An error means that the run has just ended by itself.
                    let _ = cancel.send(());
                }
            }
        }
        settled.ran
    }

    /// Answers those who wait no longer: their time is over, or can't suffice.
    pub fn expire(&mut self, now: Mono) {
        for expiry in self.queue.take_expired(now) {
            self.refuse_waiting(&expiry.id, expiry.code, Some(expiry.retry_after), now);
        }
        self.gate.sweep(now);
    }

    /// Says whether the upstream is leaving. What waits is given back at once,
    /// provably not run; what runs is left alone.
    pub fn set_leaving(&mut self, leaving: bool, now: Mono) {
        if leaving == self.gate.is_leaving() {
            return;
        }
        for attempt in self.gate.set_leaving(leaving, now) {
            self.refuse_waiting(&attempt, Code::UpstreamLeaving, None, now);
            self.refuse_reservation(&attempt);
        }
    }

    /// Refuses a reservation that waits.
    fn refuse_reservation(&mut self, attempt: &Attempt) {
        let waits = |r: &mut Reservation| r.tell.take();
        let tell = self.reservations.get_mut(attempt).and_then(waits);
        if let Some(tell) = tell {
            let _ = tell.send(Err(Refusal {
                code: Code::UpstreamLeaving,
                ran: Ran::No,
                retry_after: None,
            }));
            self.reservations.remove(attempt);
            self.waitlist.remove(attempt);
        }
    }

    /// Whether the upstream takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.gate.is_leaving()
    }

    /// Sends a refusal to a waiting attempt and takes it out.
    fn refuse_waiting(&mut self, attempt: &Attempt, code: Code, wait: Option<Duration>, now: Mono) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            let refusal = Refusal {
                code,
                ran: Ran::No,
                retry_after: wait,
            };
            let stage = std::mem::replace(&mut entry.stage, Stage::Granted);
            if let Stage::Waiting(tell) = stage {
                let _ = tell.send(Err(refusal));
                self.entries.remove(attempt);
                self.queue.remove(attempt);
            } else {
                entry.stage = stage;
            }
        }
        self.gate.finish(attempt, Ran::No, now);
    }

    /// What runs on the engine.
    pub fn running_requests(&self) -> Vec<Request> {
        let running = |e: &&Entry| matches!(e.stage, Stage::Running(_));
        let running = self.entries.values().filter(running);
        running.map(|e| e.request.clone()).collect()
    }

    /// Room on the engine, by what is kept for those that run.
    pub fn room(&self) -> Room {
        Room {
            free_memory: self.config.capacity.saturating_sub(self.used_memory),
            total_memory: self.config.capacity,
            free_slots: self.config.slots.saturating_sub(self.occupied_slots),
            total_slots: self.config.slots,
        }
    }

    /// What is told of the upstream's load. `prefix`: of a prompt that may come.
    pub fn load(&self, prefix: &[u64]) -> Load {
        Load {
            running: self.occupied_slots,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            backlog: self.queue.backlog(),
            free: self.room().free_memory,
            capacity: self.config.capacity,
            wait: self.queue.estimate_wait(Class::Short),
            leaving: self.gate.is_leaving(),
            cached: self.prefixes.count_leading(prefix),
            speed: self.queue.prefill_speed() as u64,
        }
    }
}

impl From<gate::Refusal> for Refusal {
    fn from(refusal: gate::Refusal) -> Refusal {
        Refusal {
            code: refusal.code,
            ran: refusal.ran,
            retry_after: None,
        }
    }
}
