//! Room for a prompt that is larger than an engine, on several at once.
//!
//! A million-token prompt needs more memory than two engines have, so three or
//! more take part. Two such prompts, each with a part of what both need, would
//! wait for each other for ever. Four ways were weighed:
//!
//! - one place that grants all: simple, but a further thing to lose, and it
//!   would have to know every engine's memory at each moment;
//! - try all at once, give back and try again: no deadlock, but under load each
//!   try finds one member full, and the longest never start;
//! - breaking deadlocks when found: needs everybody's view of everybody;
//! - **waiting, in one order for all**: taken here. A [`Gang`] asks its members
//!   one after the other in the order of their names, and waits at each until
//!   it is granted. Whoever waits holds only members that come before. So the
//!   gang that holds the last member in the order waits for nobody and ends,
//!   and then the next one: no circle can close.
//!
//! What is held while waiting is idle memory; it is bounded by the lease on
//! each part, and by the deadline. One member's loss releases all the others.
//!
//! At each member a [`Waitlist`] grants reservations in the order of arrival. One
//! that has waited for [`Config::collect_after`] has memory collected for it:
//! the queue starts only short jobs meanwhile, in their reserved part. So the
//! largest prompts start within the time that running work takes to end, and
//! short ones go on throughout.
//!
//! ```
//! use almondlock_base::{id::Upstream, time::Mono, unit::Tokens};
//! use almondlock_policy::gang::{Gang, Reservation, Step};
//!
//! let reservation = |name| Reservation { upstream: Upstream::new(name).unwrap(), tokens: Tokens(350_000) };
//! let now = Mono::ZERO;
//! let mut gang = Gang::new(vec![reservation("c"), reservation("a"), reservation("b")], Mono::from_millis(60_000));
//! assert_eq!(gang.step(now), Step::Reserve(0));
//! assert_eq!(gang.reservations()[0].upstream.as_str(), "a");
//! gang.note_grant(0);
//! assert_eq!(gang.step(now), Step::Reserve(1));
//! // The second member dies: what the first one holds is given back, and what
//! // was asked of the second, should it be alive after all.
//! gang.note_loss(1);
//! assert_eq!(gang.step(now), Step::Release(vec![0, 1]));
//! ```

mod waitlist;

use almondlock_base::{Code, id::Upstream, time::Mono, unit::Tokens};

pub use self::waitlist::{Config, Refusal, Waitlist};

/// What one upstream contributes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The upstream.
    pub upstream: Upstream,
    /// The memory reserved there.
    pub tokens: Tokens,
}

/// An upstream that could take part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The upstream.
    pub upstream: Upstream,
    /// What it can give at most, the part reserved for short jobs left out.
    pub max_tokens: Tokens,
    /// What it has free now, as far as is known.
    pub free_tokens: Tokens,
    /// Whether it failed lately, and takes part only if the others won't do.
    pub failed_recently: bool,
}

/// The parts for a prompt and its answer: as few members as will do, those with
/// the most free memory, each with an equal part. Members that failed lately
/// are added only if the others can't hold it: one missed probe proves nothing,
/// and a refusal is worse than an attempt. `None` when all together can't hold
/// it ([`Code::PromptTooLong`]).
///
/// ```
/// use almondlock_base::{id::Upstream, unit::Tokens};
/// use almondlock_policy::gang::{Member, plan_reservations};
///
/// let member = |i: u64| Member {
///     upstream: Upstream::new(&format!("engine-{i}")).unwrap(),
///     max_tokens: Tokens(400_000),
///     free_tokens: Tokens(10_000 * i),
///     failed_recently: false,
/// };
/// let members: Vec<Member> = (0..5).map(member).collect();
/// let parts = plan_reservations(&members, Tokens(1_000_000)).unwrap();
/// let names: Vec<&str> = parts.iter().map(|part| part.upstream.as_str()).collect();
/// assert_eq!(names, ["engine-4", "engine-3", "engine-2"]);
/// ```
pub fn plan_reservations(members: &[Member], need: Tokens) -> Option<Vec<Reservation>> {
    let healthy = members.iter().filter(|member| !member.failed_recently);
    fewest(healthy.collect(), need).or_else(|| fewest(members.iter().collect(), need))
}

fn fewest(mut ranked: Vec<&Member>, need: Tokens) -> Option<Vec<Reservation>> {
    ranked.sort_by(|a, b| {
        a.failed_recently
            .cmp(&b.failed_recently)
            .then_with(|| b.free_tokens.cmp(&a.free_tokens))
            .then_with(|| a.upstream.cmp(&b.upstream))
    });
    for count in 1..=ranked.len() {
        let share = Tokens(need.0.div_ceil(count as u64));
        let fitting: Vec<Reservation> = ranked
            .iter()
            .filter(|member| member.max_tokens >= share)
            .take(count)
            .map(|member| Reservation {
                upstream: member.upstream.clone(),
                tokens: share,
            })
            .collect();
        if fitting.len() == count {
            return Some(fitting);
        }
    }
    None
}

/// What a gang does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the member with this number for its part.
    Reserve(usize),
    /// Wait for an answer.
    Wait,
    /// All parts are held: run.
    Run,
    /// Give these members' parts back, and what was asked of them. The prompt
    /// did not run, unless [`Step::Run`] came before.
    Release(Vec<usize>),
    /// Nothing is left to do.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    Free,
    Asked,
    Held,
    /// Given back, or lost with the member.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Gathering,
    Running,
    Failed(Code),
    Over,
}

/// The reservations of one prompt, kept by the entry host that it came to.
#[derive(Clone, Debug)]
pub struct Gang {
    // Invariant: in the order of the upstreams' names, each once. All gangs of
    // the fleet follow this order; that is what keeps them from deadlock.
    parts: Vec<Reservation>,
    // Invariant: as long as `parts`; while gathering, some `Held`, then at most
    // one `Asked`, then all `Free`.
    holds: Vec<Hold>,
    state: State,
    deadline: Mono,
}

impl Gang {
    /// A gang of these parts, that gives up when the time is over by which the
    /// prompt must have started.
    pub fn new(mut parts: Vec<Reservation>, deadline: Mono) -> Gang {
        parts.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        parts.dedup_by(|a, b| a.upstream == b.upstream);
        Gang {
            holds: vec![Hold::Free; parts.len()],
            parts,
            state: State::Gathering,
            deadline,
        }
    }

    /// The parts, in the order in which they are asked for.
    pub fn reservations(&self) -> &[Reservation] {
        &self.parts
    }

    /// Why it failed, if it did.
    pub fn failure(&self) -> Option<Code> {
        match self.state {
            State::Failed(code) => Some(code),
            State::Gathering | State::Running | State::Over => None,
        }
    }

    /// What to do now. To be called after each event, and when the deadline
    /// comes.
    pub fn step(&mut self, now: Mono) -> Step {
        if self.state == State::Gathering && now >= self.deadline {
            self.state = State::Failed(Code::MemoryUnavailable);
        }
        match self.state {
            State::Gathering => self.gather(),
            State::Running => Step::Wait,
            State::Failed(_) | State::Over => self.give_back(),
        }
    }

    /// A member has granted its part.
    pub fn note_grant(&mut self, index: usize) {
        if let Some(hold) = self.holds.get_mut(index)
            && *hold == Hold::Asked
        {
            *hold = Hold::Held;
        }
    }

    /// A member has refused. The others' parts are given back.
    pub fn note_refusal(&mut self, index: usize, code: Code) {
        if let Some(hold) = self.holds.get_mut(index) {
            *hold = Hold::Gone;
            self.fail(code);
        }
    }

    /// A member has died, or its part's lease has ended. Its own part is given
    /// back too: a death is a presumption, and what was asked of it may yet be
    /// granted, by it or by its next life.
    pub fn note_loss(&mut self, index: usize) {
        if index < self.holds.len() {
            self.fail(Code::UpstreamLost);
        }
    }

    /// The prompt has ended, or its caller has left.
    pub fn finish(&mut self) {
        if !matches!(self.state, State::Failed(_)) {
            self.state = State::Over;
        }
    }

    fn gather(&mut self) -> Step {
        let Some(index) = self.holds.iter().position(|hold| *hold != Hold::Held) else {
            self.state = State::Running;
            return Step::Run;
        };
        if self.holds[index] == Hold::Asked {
            return Step::Wait;
        }
        self.holds[index] = Hold::Asked;
        Step::Reserve(index)
    }

    /// What was asked for is given back too: the grant may be on its way, and a
    /// release of what was never granted costs nothing.
    fn give_back(&mut self) -> Step {
        let mut back = Vec::new();
        for (index, hold) in self.holds.iter_mut().enumerate() {
            if matches!(hold, Hold::Held | Hold::Asked) {
                back.push(index);
            }
            *hold = Hold::Gone;
        }
        if back.is_empty() {
            Step::Done
        } else {
            Step::Release(back)
        }
    }

    fn fail(&mut self, code: Code) {
        if matches!(self.state, State::Gathering | State::Running) {
            self.state = State::Failed(code);
        }
    }
}
