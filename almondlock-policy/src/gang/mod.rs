//! Reserves room on several engines at once for a prompt that is larger than one engine.
//!
//! A million-token prompt needs more memory than two engines have, so three or more take
//! part. If two such prompts each held a part of what both need, they would wait for each
//! other for ever. The alternatives have these faults:
//!
//! - One place that grants everything is simple, but a further thing that can fail, and it
//!   would have to know the free memory of every engine at each moment.
//! - Asking all members at once, giving back and trying again has no deadlock, but under
//!   load each try finds one member full, and the longest prompts never start.
//! - Breaking deadlocks when they are found needs a global view.
//!
//! So gangs wait **in one order**: a [`Gang`] asks its members one after the other in the
//! order of their names, and waits at each until it is granted. A waiting gang holds only
//! members that come earlier in the order. So the gang that holds the last member in the
//! order waits for nobody and ends, then the next one: no cycle can form.
//!
//! What a gang holds while it waits is idle memory; it is bounded by the lease on each
//! reservation, and by the deadline. When one member is lost, all the others are released.
//!
//! At each member a [`Waitlist`] grants reservations in the order of arrival. Once the
//! first has waited for [`Config::collect_after`], memory is collected for it: the queue
//! starts only short jobs meanwhile, in their reserved part. So the largest prompts start
//! within the time that running work takes to end, and short ones go on throughout.
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

/// Memory to be reserved on one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The upstream.
    pub upstream: Upstream,
    /// The amount of memory.
    pub tokens: Tokens,
}

/// An upstream that could take part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The upstream.
    pub upstream: Upstream,
    /// Maximum memory that it can give, without the part reserved for short jobs.
    pub max_tokens: Tokens,
    /// Free memory, as far as is known.
    pub free_tokens: Tokens,
    /// Whether it failed recently, so that it takes part only if the other members don't
    /// suffice.
    pub failed_recently: bool,
}

/// Returns the reservations for a prompt and its answer: on as few members as possible,
/// those with the most free memory, with an equal part on each. Members that failed
/// recently are added only if the others can't hold the prompt: one missed probe proves
/// nothing, and a refusal is worse than an attempt. Returns `None` if all members together
/// can't hold it ([`Code::PromptTooLong`]).
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
/// let reservations = plan_reservations(&members, Tokens(1_000_000)).unwrap();
/// let names: Vec<&str> = reservations.iter().map(|part| part.upstream.as_str()).collect();
/// assert_eq!(names, ["engine-4", "engine-3", "engine-2"]);
/// ```
pub fn plan_reservations(members: &[Member], need: Tokens) -> Option<Vec<Reservation>> {
    let healthy = members.iter().filter(|member| !member.failed_recently);
    plan_fewest(healthy.collect(), need).or_else(|| plan_fewest(members.iter().collect(), need))
}

/// Returns equal reservations on as few members as possible, or `None` if all together
/// can't hold the need.
fn plan_fewest(mut ranked: Vec<&Member>, need: Tokens) -> Option<Vec<Reservation>> {
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
    /// Ask the member with this index for its part.
    Reserve(usize),
    /// Wait for an answer.
    Wait,
    /// All parts are held: run the prompt.
    Run,
    /// Give back the parts of the members with these indices, also those that were only
    /// asked for. The prompt did not run, unless [`Step::Run`] came before.
    Release(Vec<usize>),
    /// Nothing is left to do.
    Done,
}

/// State of the reservation at one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    NotRequested,
    Requested,
    Held,
    /// Given back, or lost with the member.
    Released,
}

/// State of the whole gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Gathering,
    Running,
    Failed(Code),
    Finished,
}

/// The reservations of one prompt, kept by the entry host that the prompt came to.
#[derive(Clone, Debug)]
pub struct Gang {
    // Invariant: in the order of the upstreams' names, each once. All gangs of the fleet
    // follow this order, which prevents deadlocks.
    reservations: Vec<Reservation>,
    // Invariant: as long as `reservations`; while gathering, first some that are `Held`,
    // then at most one that is `Requested`, then only `NotRequested`.
    holds: Vec<Hold>,
    state: State,
    deadline: Mono,
}

impl Gang {
    /// Returns a gang with these reservations. It gives up at `deadline`, by which the
    /// prompt must have started.
    pub fn new(mut reservations: Vec<Reservation>, deadline: Mono) -> Gang {
        reservations.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        reservations.dedup_by(|a, b| a.upstream == b.upstream);
        Gang {
            holds: vec![Hold::NotRequested; reservations.len()],
            reservations,
            state: State::Gathering,
            deadline,
        }
    }

    /// Returns the reservations, in the order in which they are asked for.
    pub fn reservations(&self) -> &[Reservation] {
        &self.reservations
    }

    /// Returns why the gang failed, if it did.
    pub fn failure(&self) -> Option<Code> {
        match self.state {
            State::Failed(code) => Some(code),
            State::Gathering | State::Running | State::Finished => None,
        }
    }

    /// Returns what to do now. Call this after each event and at the deadline.
    pub fn step(&mut self, now: Mono) -> Step {
        if self.state == State::Gathering && now >= self.deadline {
            self.state = State::Failed(Code::MemoryUnavailable);
        }
        match self.state {
            State::Gathering => self.gather(),
            State::Running => Step::Wait,
            State::Failed(_) | State::Finished => self.release_all(),
        }
    }

    /// Records that a member has granted its part.
    pub fn note_grant(&mut self, index: usize) {
        if let Some(hold) = self.holds.get_mut(index)
            && *hold == Hold::Requested
        {
            *hold = Hold::Held;
        }
    }

    /// Records that a member has refused. The parts of the other members are given back.
    pub fn note_refusal(&mut self, index: usize, code: Code) {
        if let Some(hold) = self.holds.get_mut(index) {
            *hold = Hold::Released;
            self.fail(code);
        }
    }

    /// Records that a member has died, or that its part's lease has ended. Its own part is
    /// given back too: the death is only presumed, and the member or its next life may
    /// still grant what it was asked for.
    pub fn note_loss(&mut self, index: usize) {
        if index < self.holds.len() {
            self.fail(Code::UpstreamLost);
        }
    }

    /// Records that the prompt has ended, or that its caller has left.
    pub fn finish(&mut self) {
        if !matches!(self.state, State::Failed(_)) {
            self.state = State::Finished;
        }
    }

    /// Returns the next member to ask, or the step to run once all parts are held.
    fn gather(&mut self) -> Step {
        let Some(index) = self.holds.iter().position(|hold| *hold != Hold::Held) else {
            self.state = State::Running;
            return Step::Run;
        };
        if self.holds[index] == Hold::Requested {
            return Step::Wait;
        }
        self.holds[index] = Hold::Requested;
        Step::Reserve(index)
    }

    /// Returns the step that gives back all parts. Parts that were only asked for are
    /// included: a grant may be on its way, and releasing what was never granted does no
    /// harm.
    fn release_all(&mut self) -> Step {
        let mut back = Vec::new();
        for (index, hold) in self.holds.iter_mut().enumerate() {
            if matches!(hold, Hold::Held | Hold::Requested) {
                back.push(index);
            }
            *hold = Hold::Released;
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
