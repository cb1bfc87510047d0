//! The attempts at one upstream: which wait, which run, and how much memory and
//! how many batch slots are free. No I/O; the current time is an argument.

use std::{collections::HashMap, time::Duration};

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
    poison::{Treatment, passage::Standing},
    prefix,
    queue::{self, Grant, Job, Queue, Room},
};
use almondlock_wire::attempt::{Head, Load, Part};
use tokio::sync::oneshot;

use crate::prefixes::Prefixes;

/// Time after which a caller may retry when memory could not be reserved.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The reason why an attempt doesn't run, and whether a copy of it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Whether any copy of the attempt ran.
    pub ran: Ran,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// Identifies a request that ran on the engine at some time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Organisation that sent it.
    pub organisation: Organisation,
    /// Hashes of the prompt's leading parts.
    pub prefix: Vec<u64>,
    /// What the records said of its passages when it began to run.
    pub standing: Standing,
}

/// State of an attempt, with the channel that tells its task about a change.
enum Stage {
    Waiting(oneshot::Sender<Verdict>),
    Granted,
    Running(oneshot::Sender<()>),
}

struct Entry {
    request: Request,
    /// Engine memory reserved for the attempt once it is granted.
    memory_need: Tokens,
    stage: Stage,
}

/// Memory for a part of a prompt that is larger than one engine.
struct Reservation {
    tokens: Tokens,
    // Notified when the reservation is granted. `None` after that.
    sender: Option<oneshot::Sender<Result<(), Refusal>>>,
}

/// Limits of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Engine memory in tokens.
    pub capacity: Tokens,
    /// Number of slots in the engine's batch.
    pub slots: u32,
    /// Configuration of the queue, which orders the attempts.
    pub queue: queue::Config,
    /// Configuration of the gate, which remembers cancelled attempts.
    pub gate: gate::Config,
}

/// The result of waiting: a grant or a refusal.
pub type Verdict = Result<Grant<Attempt>, Refusal>;

/// The attempts at one upstream.
pub struct Table {
    config: Config,
    gate: Gate,
    queue: Queue<Attempt>,
    // Invariant: an entry waits in `queue` in the stage `Waiting`, else runs
    // there.
    entries: HashMap<Attempt, Entry>,
    // Invariant: the sum of `memory_need` over the entries that don't wait, and
    // of the granted reservations.
    used_memory: Tokens,
    waitlist: Waitlist<Attempt>,
    // Invariant: holds exactly what waits in `waitlist` or was granted by it.
    reservations: HashMap<Attempt, Reservation>,
    // Invariant: the number of entries that don't wait.
    occupied_slots: u32,
    prefixes: Prefixes,
}

impl Table {
    /// Creates an empty table for one incarnation of a sidecar.
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

    /// Adds an attempt to the queue. The receiver gets the verdict.
    ///
    /// `treatment` comes from the sidecar's own configuration, since the entry
    /// host's may be older.
    ///
    /// # Errors
    ///
    /// Refused by the gate or by the queue.
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
        let (sender, receiver) = oneshot::channel();
        let request = Request {
            fingerprint: head.fingerprint,
            organisation: head.organisation.clone(),
            prefix: head.prefix.clone(),
            standing: Standing::Clear,
        };
        let entry = Entry {
            request,
            memory_need,
            stage: Stage::Waiting(sender),
        };
        self.entries.insert(head.attempt.clone(), entry);
        Ok(receiver)
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

    /// Requests memory for a part of a prompt that is larger than one engine.
    /// The receiver is notified when it is granted.
    ///
    /// # Errors
    ///
    /// Refused by the gate, or if the part can never fit.
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
        let (sender, receiver) = oneshot::channel();
        let reservation = Reservation {
            tokens: part.tokens,
            sender: Some(sender),
        };
        self.reservations.insert(attempt.clone(), reservation);
        Ok(receiver)
    }

    /// Releases a reservation, granted or not. Idempotent.
    pub fn release(&mut self, attempt: &Attempt, now: Mono) {
        if let Some(reservation) = self.reservations.remove(attempt) {
            if reservation.sender.is_none() {
                self.used_memory = self.used_memory.saturating_sub(reservation.tokens);
            }
            self.waitlist.remove(attempt);
            self.gate.finish(attempt, Ran::No, now);
        }
    }

    /// Releases a reservation by the identifier that the engine knows it by.
    pub fn release_by_engine_id(&mut self, id: &str, now: Mono) {
        let named = |attempt: &&Attempt| attempt.to_string() == id;
        if let Some(attempt) = self.reservations.keys().find(named).cloned() {
            self.release(&attempt, now);
        }
    }

    /// Returns the memory that only short prompts may use.
    fn short_reserve(&self) -> Tokens {
        let reserve = u64::from(self.config.queue.reserve_percent.min(100));
        Tokens(self.config.capacity.0 / 100 * reserve)
    }

    fn grant_reservations(&mut self, now: Mono) {
        for attempt in self.waitlist.take_expired(now) {
            if let Some(reservation) = self.reservations.remove(&attempt)
                && let Some(sender) = reservation.sender
            {
                let _ = sender.send(Err(Refusal {
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
            let sent = reservation.sender.take().map(|sender| sender.send(Ok(())));
            self.used_memory += reservation.tokens;
            if !matches!(sent, Some(Ok(()))) {
                self.release(&attempt, now);
            }
        }
    }

    /// Returns the room for the queue. While memory is collected for a
    /// reservation, this is only the part kept for short prompts: otherwise the
    /// next job would take whatever running work frees, and the longest prompts
    /// would never start.
    fn queue_room(&self, now: Mono) -> Room {
        let mut room = self.room();
        if self.waitlist.is_collecting(now) {
            room.free_memory = room.free_memory.min(self.short_reserve());
        }
        room
    }

    /// Grants reservations and queued attempts as far as there is room.
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
            let sent = match stage {
                Stage::Waiting(sender) => sender.send(Ok(grant)).is_ok(),
                Stage::Granted | Stage::Running(_) => true,
            };
            // The attempt's task is gone, so its room goes to the next attempt.
            if !sent {
                self.finish(&attempt, Tokens::ZERO, Ran::No, now);
            }
        }
    }

    /// Marks a granted attempt as handed to the engine, so that it counts as
    /// run. `standing` is what the records say of its passages. The receiver
    /// is notified when the entry host cancels it.
    ///
    /// # Errors
    ///
    /// Refused if the attempt was cancelled meanwhile.
    pub fn start(
        &mut self,
        attempt: &Attempt,
        standing: Standing,
    ) -> Result<oneshot::Receiver<()>, Refusal> {
        self.gate.start(attempt)?;
        let (cancel, cancelled) = oneshot::channel();
        if let Some(entry) = self.entries.get_mut(attempt) {
            entry.stage = Stage::Running(cancel);
            entry.request.standing = standing;
        }
        Ok(cancelled)
    }

    /// Records that the engine has processed a running attempt's prompt.
    pub fn end_prefill(&mut self, attempt: &Attempt, now: Mono) {
        self.queue.end_prefill(attempt, now);
        if let Some(entry) = self.entries.get(attempt) {
            self.prefixes.insert(&entry.request.prefix);
        }
    }

    /// Removes an attempt in any stage.
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

    /// Cancels an attempt on behalf of its entry host, and returns whether it
    /// ran.
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

    /// Refuses waiting attempts whose deadline has passed or can no longer be
    /// met.
    pub fn expire(&mut self, now: Mono) {
        for expiry in self.queue.take_expired(now) {
            self.refuse_waiting(&expiry.id, expiry.code, Some(expiry.retry_after), now);
        }
        self.gate.sweep(now);
    }

    /// Sets whether the upstream is leaving. If it is, waiting attempts are
    /// returned at once as not run, and running ones continue.
    pub fn set_leaving(&mut self, leaving: bool, now: Mono) {
        if leaving == self.gate.is_leaving() {
            return;
        }
        for attempt in self.gate.set_leaving(leaving, now) {
            self.refuse_waiting(&attempt, Code::UpstreamLeaving, None, now);
            self.refuse_reservation(&attempt);
        }
    }

    /// Refuses a waiting reservation, since the upstream is leaving.
    fn refuse_reservation(&mut self, attempt: &Attempt) {
        let take_sender = |r: &mut Reservation| r.sender.take();
        let sender = self.reservations.get_mut(attempt).and_then(take_sender);
        if let Some(sender) = sender {
            let _ = sender.send(Err(Refusal {
                code: Code::UpstreamLeaving,
                ran: Ran::No,
                retry_after: None,
            }));
            self.reservations.remove(attempt);
            self.waitlist.remove(attempt);
        }
    }

    /// Returns whether the upstream is leaving and takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.gate.is_leaving()
    }

    /// Refuses a waiting attempt and removes it.
    fn refuse_waiting(&mut self, attempt: &Attempt, code: Code, wait: Option<Duration>, now: Mono) {
        if let Some(entry) = self.entries.get_mut(attempt) {
            let refusal = Refusal {
                code,
                ran: Ran::No,
                retry_after: wait,
            };
            let stage = std::mem::replace(&mut entry.stage, Stage::Granted);
            if let Stage::Waiting(sender) = stage {
                let _ = sender.send(Err(refusal));
                self.entries.remove(attempt);
                self.queue.remove(attempt);
            } else {
                entry.stage = stage;
            }
        }
        self.gate.finish(attempt, Ran::No, now);
    }

    /// Returns the requests that run on the engine.
    pub fn running_requests(&self) -> Vec<Request> {
        let running = |e: &&Entry| matches!(e.stage, Stage::Running(_));
        let running = self.entries.values().filter(running);
        running.map(|e| e.request.clone()).collect()
    }

    /// Returns the room on the engine, given the needs of what was granted.
    pub fn room(&self) -> Room {
        Room {
            free_memory: self.config.capacity.saturating_sub(self.used_memory),
            total_memory: self.config.capacity,
            free_slots: self.config.slots.saturating_sub(self.occupied_slots),
            total_slots: self.config.slots,
        }
    }

    /// Returns the load reported to entry hosts. `prefix` belongs to a prompt
    /// that may be sent here.
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
