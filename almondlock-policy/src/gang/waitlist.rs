//! The list of reservations that wait for memory at one engine.

use std::{collections::VecDeque, time::Duration};

use almondlock_base::{Code, time::Mono, unit::Tokens};

/// How a [`Waitlist`] grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time that the first reservation waits before memory is collected for it.
    pub collect_after: Duration,
    /// Maximum number of waiting reservations.
    pub max_waiting: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            collect_after: Duration::from_secs(1),
            max_waiting: 64,
        }
    }
}

/// Why a reservation may not wait here. Nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// [`Code::PromptTooLong`], [`Code::Overloaded`] or
    /// [`Code::AlreadyRunning`].
    pub code: Code,
}

/// A reservation that waits.
#[derive(Clone, Debug)]
struct Waiter<I> {
    id: I,
    tokens: Tokens,
    since: Mono,
    deadline: Mono,
}

/// The reservations that wait for one engine's memory, first come, first served. Any other
/// order could delay a reservation for ever, and with it a gang that holds other engines.
#[derive(Clone, Debug)]
pub struct Waitlist<I> {
    config: Config,
    waiting: VecDeque<Waiter<I>>,
}

impl<I> Waitlist<I>
where
    I: Clone + Eq,
{
    /// Returns an empty list.
    pub fn new(config: Config) -> Waitlist<I> {
        Waitlist {
            config,
            waiting: VecDeque::new(),
        }
    }

    /// Adds a reservation. `most` is the memory that the engine can give at most: its
    /// capacity without the part reserved for short jobs.
    ///
    /// # Errors
    ///
    /// Refused if the engine can't give that much, if the id waits already, or if too many
    /// reservations wait.
    pub fn push(
        &mut self,
        id: I,
        tokens: Tokens,
        most: Tokens,
        deadline: Mono,
        now: Mono,
    ) -> Result<(), Refusal> {
        if tokens > most {
            return Err(Refusal {
                code: Code::PromptTooLong,
            });
        }
        if self.waiting.iter().any(|waiter| waiter.id == id) {
            return Err(Refusal {
                code: Code::AlreadyRunning,
            });
        }
        if self.waiting.len() >= self.config.max_waiting {
            return Err(Refusal {
                code: Code::Overloaded,
            });
        }
        self.waiting.push_back(Waiter {
            id,
            tokens,
            since: now,
            deadline,
        });
        Ok(())
    }

    /// Grants the first reservation if there is room for it. `free` is the engine's free
    /// memory, and `reserve` the part of it that is left to short jobs.
    pub fn grant(&mut self, free: Tokens, reserve: Tokens) -> Option<I> {
        let first = self.waiting.front()?;
        if first.tokens + reserve > free {
            return None;
        }
        self.waiting.pop_front().map(|waiter| waiter.id)
    }

    /// Returns whether memory is collected: the queue then starts only short jobs, in their
    /// reserved part.
    pub fn is_collecting(&self, now: Mono) -> bool {
        let patience = self.config.collect_after;
        let first = self.waiting.front();
        first.is_some_and(|waiter| now.since(waiter.since) >= patience)
    }

    /// Removes a reservation. Returns `false` if it does not wait here.
    pub fn remove(&mut self, id: &I) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiter| waiter.id != *id);
        self.waiting.len() < before
    }

    /// Removes and returns the reservations whose deadline has passed. Each is to be
    /// answered at once.
    pub fn take_expired(&mut self, now: Mono) -> Vec<I> {
        let over = |waiter: &&Waiter<I>| waiter.deadline <= now;
        let gone = self
            .waiting
            .iter()
            .filter(over)
            .map(|waiter| waiter.id.clone());
        let gone = gone.collect();
        self.waiting.retain(|waiter| now < waiter.deadline);
        gone
    }

    /// Returns the next time at which the results of [`Waitlist::take_expired`] or
    /// [`Waitlist::is_collecting`] change.
    pub fn next_event(&self, now: Mono) -> Option<Mono> {
        let patience = self.config.collect_after;
        let collect = self.waiting.front().map(|waiter| waiter.since + patience);
        let expiry = self.waiting.iter().map(|waiter| waiter.deadline).min();
        collect
            .filter(|at| *at > now)
            .into_iter()
            .chain(expiry)
            .min()
    }

    /// Returns the number of waiting reservations.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no reservation waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
