//! Where reservations wait at one engine.

use std::{collections::VecDeque, time::Duration};

use almondlock_base::{Code, time::Mono, unit::Tokens};

/// How a [`Waitlist`] grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// How long the first reservation waits before memory is collected for it.
    pub collect_after: Duration,
    /// Reservations that may wait.
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

#[derive(Clone, Debug)]
struct Ask<I> {
    id: I,
    tokens: Tokens,
    since: Mono,
    deadline: Mono,
}

/// The reservations that wait for one engine's memory, first come, first
/// served: any other order could keep one waiting for ever, and gangs that hold
/// other engines with it.
#[derive(Clone, Debug)]
pub struct Waitlist<I> {
    config: Config,
    waiting: VecDeque<Ask<I>>,
}

impl<I> Waitlist<I>
where
    I: Clone + Eq,
{
    /// A desk where nothing waits.
    pub fn new(config: Config) -> Waitlist<I> {
        Waitlist {
            config,
            waiting: VecDeque::new(),
        }
    }

    /// Asks for memory. `most` is what the engine can ever give: its capacity
    /// without the part reserved for short jobs.
    ///
    /// # Errors
    ///
    /// Refused when that is too little, or too much waits already.
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
        if self.waiting.iter().any(|ask| ask.id == id) {
            return Err(Refusal {
                code: Code::AlreadyRunning,
            });
        }
        if self.waiting.len() >= self.config.max_waiting {
            return Err(Refusal {
                code: Code::Overloaded,
            });
        }
        self.waiting.push_back(Ask {
            id,
            tokens,
            since: now,
            deadline,
        });
        Ok(())
    }

    /// Grants the first reservation when there is room for it. `free` is the
    /// engine's free memory, `reserve` what of it is left to short jobs.
    pub fn grant(&mut self, free: Tokens, reserve: Tokens) -> Option<I> {
        let first = self.waiting.front()?;
        if first.tokens + reserve > free {
            return None;
        }
        self.waiting.pop_front().map(|ask| ask.id)
    }

    /// Whether memory is collected: the queue then starts only short jobs, in
    /// their reserved part.
    pub fn is_collecting(&self, now: Mono) -> bool {
        let patience = self.config.collect_after;
        let first = self.waiting.front();
        first.is_some_and(|ask| now.since(ask.since) >= patience)
    }

    /// Takes a reservation out. `false` when it does not wait here.
    pub fn remove(&mut self, id: &I) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|ask| ask.id != *id);
        self.waiting.len() < before
    }

    /// Takes out those whose time is over, each to be answered at once.
    pub fn take_expired(&mut self, now: Mono) -> Vec<I> {
        let over = |ask: &&Ask<I>| ask.deadline <= now;
        let gone = self.waiting.iter().filter(over).map(|ask| ask.id.clone());
        let gone = gone.collect();
        self.waiting.retain(|ask| now < ask.deadline);
        gone
    }

    /// When [`Waitlist::take_expired`] or [`Waitlist::is_collecting`] has something new to
    /// say.
    pub fn next_event(&self, now: Mono) -> Option<Mono> {
        let patience = self.config.collect_after;
        let collect = self.waiting.front().map(|ask| ask.since + patience);
        let expiry = self.waiting.iter().map(|ask| ask.deadline).min();
        collect
            .filter(|at| *at > now)
            .into_iter()
            .chain(expiry)
            .min()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
