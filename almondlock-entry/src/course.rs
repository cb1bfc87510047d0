//! What the attempts of a request have come to, and whether another follows.
//!
//! Whether something may be sent again is decided by [`retry`]: a request goes
//! to a second upstream only when the first one provably did not run it, or
//! when it may be repeated and its caller has seen nothing of an answer, or
//! when the rest of a deterministic answer can be asked for at the token where
//! it broke.

use std::time::Duration;

use almondlock_base::{Code, Ran, id::Fingerprint, time::Mono};
use almondlock_node::clock;
use almondlock_policy::{
    choice::Index,
    poison::{
        Start, Treatment,
        passage::{self, Standing},
    },
    retry::{self, Decision},
};
use almondlock_wire::attempt::{Outcome, Target};
use tokio::time::sleep;

use crate::{
    failure::Failure,
    life::Worker,
    request::Request,
    reservation::{Reservation, log_budget},
    shared::{Pool, Shared},
};

/// Upstreams that may give a request back before it counts as attempts.
const PLACES_LIMIT: u32 = 16;
/// How often a copy that waits looks whether the one before it has ended.
const COPY_PAUSE: Duration = Duration::from_millis(2);

/// What the attempts so far have come to.
pub(crate) struct Course {
    pub(crate) excluded: Vec<Index>,
    // Upstreams tried, also such that gave the request back at once.
    pub(crate) places: u32,
    // Attempts that something was spent on.
    pub(crate) attempts: u32,
    pub(crate) offset: u64,
    pub(crate) begun: bool,
    // Where the first tokens came from, once there are any.
    pub(crate) pool: Option<Pool>,
    // The most that is known of any attempt that may have run.
    pub(crate) ran: Ran,
    pub(crate) suspect: bool,
    // When an upstream that leaves gave it back, if the last attempt ended so.
    pub(crate) given_back: Option<Mono>,
    // Whether the last attempt finished well, or its engine died.
    pub(crate) harmless: Option<bool>,
    // Whether the time to the first token has been told.
    pub(crate) measured: bool,
    // What pays for the next attempt, if that was charged.
    pub(crate) reservation: Option<Reservation>,
}

impl Course {
    /// Nothing was attempted yet, so nothing ran.
    pub(crate) fn new() -> Course {
        Course {
            excluded: Vec::new(),
            places: 0,
            attempts: 0,
            offset: 0,
            begun: false,
            pool: None,
            ran: Ran::No,
            suspect: false,
            given_back: None,
            harmless: None,
            measured: false,
            reservation: None,
        }
    }
}

/// How it goes on after an attempt.
pub(crate) enum Next {
    Done,
    /// Another attempt, after a pause. `restart`: from the first token, and
    /// what was gathered is thrown away.
    Again {
        after: Duration,
        restart: bool,
    },
    Fail(Failure),
}

/// A copy of a request under watch, until it has ended.
pub(crate) struct Copy<'a> {
    shared: &'a Shared,
    print: Fingerprint,
    harmless: Option<bool>,
}

impl Copy<'_> {
    pub(crate) fn end(mut self, course: &Course) {
        self.harmless = course.harmless;
    }
}

impl Drop for Copy<'_> {
    fn drop(&mut self) {
        let (print, harmless) = (self.print, self.harmless);
        let now = clock::mono();
        self.shared
            .with_watch(|watch| watch.end(print, harmless, now));
    }
}

impl Worker {
    /// What forbids a further attempt, looked at anew before each. A copy of a
    /// request that has never finished waits here until the copy before it has
    /// ended: if it kills engines, one is lost and not one for each copy.
    pub(crate) async fn check(
        &self,
        request: &Request,
        course: &mut Course,
    ) -> Result<Copy<'_>, Failure> {
        let print = request.fingerprint;
        loop {
            let now = clock::mono();
            if request.left(now).is_zero() {
                return Err(deadline(course.ran));
            }
            let view = self.shared.handle.view().get();
            let record = view.quarantine(print);
            let lookup = |passage| view.quarantine(passage);
            if let Standing::Refused(passage, left) =
                passage::standing(&request.passages, lookup, clock::wall())
            {
                tracing::info!(
                    request = %request.id, fingerprint = %passage,
                    "refused, engines were lost with a passage of its prompt"
                );
                let failure = Failure::new(Code::Quarantined).ran(course.ran);
                return Err(failure.retry_after(left));
            }
            let start = self
                .shared
                .with_watch(|watch| watch.begin(print, record, clock::wall(), now));
            match start {
                Start::Wait => sleep(COPY_PAUSE).await,
                Start::Run(Treatment::Refuse { retry_after }) => {
                    let failure = Failure::new(Code::Quarantined).ran(course.ran);
                    return Err(failure.retry_after(retry_after));
                }
                Start::Run(treatment) => {
                    course.suspect = treatment.is_charged();
                    let shared = &self.shared;
                    let harmless = None;
                    return Ok(Copy {
                        shared,
                        print,
                        harmless,
                    });
                }
            }
        }
    }

    /// Decides how a request goes on after an attempt.
    pub(crate) fn again(
        &self,
        request: &Request,
        resumable: bool,
        course: &mut Course,
        outcome: Outcome,
        left: bool,
    ) -> Next {
        let Some(code) = outcome.code else {
            return Next::Done;
        };
        course.ran = retry::merge_ran(course.ran, outcome.ran);
        // What was given back at once has cost nothing and counts for nothing,
        // but not without end.
        let free = outcome.ran == Ran::No && !retry::is_charged(code);
        if !free || course.places >= PLACES_LIMIT {
            course.attempts += 1;
        }
        if left {
            return Next::Fail(Failure::new(Code::CallerLeft).ran(course.ran));
        }
        let mut failure = Failure::with_message(code, outcome.message).ran(course.ran);
        failure.retry_after = outcome.retry_after;
        if is_final(code) {
            return Next::Fail(failure);
        }
        // Of a model's answer, the caller has seen nothing before the first
        // token; a service's begins with its status. What goes out in one piece
        // has not gone out yet.
        let is_model = matches!(request.target, Target::Model(..));
        let restart = !request.stream && course.offset > 0 && !resumable;
        let streamed = match course.offset {
            _ if restart => 0,
            0 if course.begun && !is_model => 1,
            offset => offset,
        };
        let failed = retry::Failure {
            code,
            ran: course.ran,
            repeatable: request.repeatable,
            streamed,
            resumable,
        };
        let now = clock::mono();
        let decision = self.shared.with_retries(|retries| {
            let made = course.attempts;
            let left = request.left(now);
            let organisation = &request.organisation;
            self.with_rng(|rng| retries.decide(organisation, &failed, made, left, now, rng))
        });
        match decision {
            Decision::Retry {
                after, is_charged, ..
            } => {
                course.reservation = is_charged.then(|| {
                    let organisation = request.organisation.clone();
                    Reservation::new(&self.shared, organisation)
                });
                if is_charged {
                    log_budget(&self.shared, request, "reserved", course.ran);
                }
                if restart {
                    course.offset = 0;
                    course.begun = false;
                }
                Next::Again { after, restart }
            }
            Decision::GiveUp {
                code,
                ran,
                retry_after,
            } => {
                if code.is_retryable() {
                    log_budget(&self.shared, request, "not retried", ran);
                }
                if code != failure.code {
                    failure.message = format!("{} Last: {}", code.text(), failure.message);
                }
                failure.code = code;
                failure.ran = ran;
                let wait = failure.retry_after.unwrap_or(retry_after);
                failure.retry_after = (!wait.is_zero()).then_some(wait);
                Next::Fail(failure)
            }
        }
    }
}

/// Whether no other upstream would answer differently, or in time.
fn is_final(code: Code) -> bool {
    matches!(
        code,
        Code::PromptTooLong
            | Code::Quarantined
            | Code::DeadlinePassed
            | Code::DeadlineUnreachable
            | Code::QueueTimeout
            | Code::CallerLeft
            | Code::SlowReader
    )
}

fn deadline(ran: Ran) -> Failure {
    let code = match ran {
        Ran::No => Code::QueueTimeout,
        Ran::Yes | Ran::Unknown => Code::DeadlinePassed,
    };
    Failure::new(code).ran(ran)
}
