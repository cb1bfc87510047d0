//! Claims: what makes a request run at most once.
//!
//! Before a request that may not be repeated is handed to an upstream, its
//! entry host claims (organisation, idempotency key) here. A claim is granted
//! to one attempt and to no other, whatever entry host a second copy reaches
//! and whoever restarts meanwhile. It ends in one of three ways: done, with the
//! outcome kept for later copies; freed, when it provably did not run; or lost,
//! when its holder died or doesn't know, after which it is never granted again
//! while it is kept, because it may have run.
//!
//! A claim is kept for a bounded time after its end. A copy that is sent later
//! than that runs again: the bound is part of the promise and stands in
//! `docs/claims.md`.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Host, Incarnation, Organisation},
    time::Wall,
};
use serde::{Deserialize, Serialize};

use crate::{blob::Blob, limit};

/// What a claimant is told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The claimant may run it, and nobody else.
    Granted,
    /// Another attempt has it.
    Running,
    /// It ended; this is its outcome.
    Done(Blob),
    /// It ended; its outcome was too large to keep, or made room for others.
    Dropped,
    /// Its holder died or doesn't know; it may have run.
    Lost,
    /// The key was used with another body.
    Mismatch,
    /// Nothing was claimed; the code says why.
    Refused(Code),
}

impl Verdict {
    /// The code that a second copy is answered with, when it gets no outcome.
    pub const fn code(&self) -> Option<Code> {
        match self {
            Verdict::Granted | Verdict::Done(_) => None,
            Verdict::Running => Some(Code::AlreadyRunning),
            Verdict::Dropped => Some(Code::AnswerDropped),
            Verdict::Lost => Some(Code::OutcomeLost),
            Verdict::Mismatch => Some(Code::KeyReused),
            Verdict::Refused(code) => Some(*code),
        }
    }
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    /// Its holder runs it.
    Open,
    /// It ran; `None` when the outcome is not kept.
    Done(Option<Blob>),
    /// It may have run.
    Lost,
    /// It did not run and may be claimed again, but not by the attempt that
    /// freed it: a delayed copy of that attempt's claim would otherwise take a
    /// claim that nobody will ever settle.
    Freed,
}

/// One claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Claim {
    body: Blob,
    holder: Attempt,
    keep: Duration,
    state: State,
    /// When it is forgotten; for an open one, when it counts as lost.
    until: Wall,
}

/// All claims.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    claims: BTreeMap<Organisation, BTreeMap<Arc<str>, Claim>>,
    /// Invariant: the number of claims in `claims`.
    count: usize,
    /// Invariant: every claim with an outcome stands here, in the order of
    /// settling; claims without one may stand here too, until a sweep.
    settled: VecDeque<(Organisation, Arc<str>)>,
    /// Invariant: the bytes of all outcomes kept.
    bytes: usize,
    swept: Wall,
    /// The life of each entry host that claimed last.
    ///
    /// Invariant: at most `limit::MAX_CLAIM_HOSTS`.
    #[serde(default)]
    lives: BTreeMap<Host, Incarnation>,
}

/// What is claimed, and by whom.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Whose request it is.
    pub organisation: &'a Organisation,
    /// The idempotency key.
    pub key: &'a str,
    /// A hash of the body.
    pub body: &'a Blob,
    /// The attempt that asks.
    pub holder: &'a Attempt,
    /// How long to remember it after it ended.
    pub retention: Duration,
    /// How long it can be open: past its longest deadline it is over, and a
    /// holder that hasn't said how is gone or cut off.
    pub run_limit: Duration,
}

impl Table {
    /// Claims held, open or ended.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Bytes of the outcomes kept.
    pub fn outcome_bytes(&self) -> usize {
        self.bytes
    }

    /// Lives of entry hosts that hold open claims, without repeats.
    pub fn holders(&self) -> Vec<(Host, Incarnation)> {
        let mut holders: Vec<_> = self
            .claims
            .values()
            .flat_map(BTreeMap::values)
            .filter(|claim| claim.state == State::Open)
            .map(|claim| (claim.holder.host.clone(), claim.holder.incarnation))
            .collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Claims, or says who has it.
    pub fn claim(&mut self, request: Request<'_>, now: Wall) -> Verdict {
        self.note_life(request.holder, now);
        let existing = self
            .claims
            .get_mut(request.organisation)
            .and_then(|keys| keys.get_mut(request.key));
        match existing {
            Some(claim) => claim.again(request, now),
            None => self.insert(request, now),
        }
    }

    /// A host that claims with another life than before has restarted, and what
    /// its earlier life held open is lost: nobody else would say so. A delayed
    /// claim of the earlier life makes the later one's claims lost too, until it
    /// settles them; that costs second copies an answer and runs nothing twice.
    fn note_life(&mut self, holder: &Attempt, now: Wall) {
        let known = self.lives.get(&holder.host).copied();
        if known == Some(holder.incarnation) {
            return;
        }
        if let Some(earlier) = known {
            self.mark_lost(&holder.host, earlier, now);
        }
        if known.is_some() || self.lives.len() < limit::MAX_CLAIM_HOSTS {
            self.lives.insert(holder.host.clone(), holder.incarnation);
        }
    }

    fn insert(&mut self, request: Request<'_>, now: Wall) -> Verdict {
        let fits = !request.key.is_empty()
            && request.key.len() <= limit::MAX_KEY_BYTES
            && request.body.0.len() <= limit::MAX_DIGEST_BYTES;
        if !fits {
            return Verdict::Refused(Code::BadChange);
        }
        let own = self
            .claims
            .get(request.organisation)
            .map_or(0, BTreeMap::len);
        if self.count >= limit::MAX_CLAIMS || own >= limit::MAX_CLAIMS_PER_ORGANISATION {
            return Verdict::Refused(Code::LimitReached);
        }
        let mut claim = Claim::open(request, now);
        // One copy of a host's name for all of its claims, as the log has one
        // for each.
        if let Some((host, _)) = self.lives.get_key_value(&claim.holder.host) {
            claim.holder.host = host.clone();
        }
        let keys = self.claims.entry(request.organisation.clone()).or_default();
        keys.insert(Arc::from(request.key), claim);
        self.count += 1;
        Verdict::Granted
    }

    /// Gives the outcome of a granted claim. The same outcome given again is
    /// accepted again.
    pub fn settle(
        &mut self,
        (organisation, key): (&Organisation, &str),
        holder: &Attempt,
        (ran, outcome): (Ran, Blob),
        now: Wall,
    ) -> Result<(), Code> {
        let Some((name, claim)) = self.find(organisation, key) else {
            // Nothing to free, and nothing that could run twice by it.
            return match ran {
                Ran::No => Ok(()),
                Ran::Yes | Ran::Unknown => Err(Code::Conflict),
            };
        };
        if claim.holder != *holder {
            return Err(Code::Conflict);
        }
        let next = match ran {
            Ran::No => State::Freed,
            Ran::Unknown => State::Lost,
            Ran::Yes => {
                State::Done(Some(outcome).filter(|o| o.0.len() <= limit::MAX_OUTCOME_BYTES))
            }
        };
        match (&claim.state, &next) {
            (State::Open, _) | (State::Lost, State::Done(_) | State::Freed) => {}
            // A repeat: an outcome dropped meanwhile is not put back.
            (State::Done(_), State::Done(_) | State::Lost) => return Ok(()),
            (State::Lost, _) | (State::Freed, State::Freed) => return Ok(()),
            // It was said to have run, or given to another since.
            _ => return Err(Code::Conflict),
        }
        let kept = claim.end(next, now);
        self.bytes += kept;
        if kept > 0 {
            self.settled.push_back((organisation.clone(), name));
            self.shrink();
        }
        Ok(())
    }

    /// An entry host's life ended: what it held open may have run.
    pub fn mark_lost(&mut self, host: &Host, incarnation: Incarnation, now: Wall) -> usize {
        let open = self
            .claims
            .values_mut()
            .flat_map(BTreeMap::values_mut)
            .filter(|claim| claim.state == State::Open)
            .filter(|claim| claim.holder.incarnation == incarnation && claim.holder.host == *host);
        open.map(|claim| claim.end(State::Lost, now)).count()
    }

    /// Forgets what has been kept long enough. Does nothing when the last look
    /// was less than [`limit::SWEEP_INTERVAL`] ago.
    pub fn expire(&mut self, now: Wall) {
        if now.since(self.swept) < limit::SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        let mut count = 0;
        let mut bytes = 0;
        self.claims.retain(|_, keys| {
            keys.retain(|_, claim| claim.outlives(now));
            count += keys.len();
            bytes += keys.values().map(Claim::bytes).sum::<usize>();
            !keys.is_empty()
        });
        self.count = count;
        self.bytes = bytes;
        let claims = &self.claims;
        self.settled.retain(|(organisation, key)| {
            let claim = claims.get(organisation).and_then(|keys| keys.get(key));
            claim.is_some_and(|claim| claim.bytes() > 0)
        });
    }

    /// Drops the oldest outcomes until the rest is within the bound. The claims
    /// stay: a second copy is told that it ran, and is not run.
    fn shrink(&mut self) {
        while self.bytes > limit::MAX_TOTAL_OUTCOME_BYTES {
            let Some((organisation, key)) = self.settled.pop_front() else {
                return;
            };
            let freed = self
                .find(&organisation, &key)
                .map_or(0, |(_, claim)| claim.drop_outcome());
            self.bytes -= freed;
        }
    }

    fn find(&mut self, organisation: &Organisation, key: &str) -> Option<(Arc<str>, &mut Claim)> {
        let keys = self.claims.get_mut(organisation)?;
        let name = Arc::clone(keys.get_key_value(key)?.0);
        keys.get_mut(key).map(|claim| (name, claim))
    }
}

impl Claim {
    fn open(request: Request<'_>, now: Wall) -> Claim {
        Claim {
            body: request.body.clone(),
            holder: request.holder.clone(),
            keep: request
                .retention
                .clamp(limit::MIN_CLAIM_RETENTION, limit::MAX_CLAIM_RETENTION),
            state: State::Open,
            until: now + request.run_limit.min(limit::MAX_OPEN_CLAIM_AGE),
        }
    }

    /// The answer to a claim on a key that is known.
    fn again(&mut self, request: Request<'_>, now: Wall) -> Verdict {
        if self.state == State::Freed {
            if self.holder == *request.holder {
                return Verdict::Refused(Code::Tombstoned);
            }
            *self = Claim::open(request, now);
            return Verdict::Granted;
        }
        if self.body != *request.body {
            return Verdict::Mismatch;
        }
        match &self.state {
            // The same attempt asks again because the answer was lost.
            State::Open if self.holder == *request.holder => Verdict::Granted,
            State::Open => Verdict::Running,
            State::Done(Some(outcome)) => Verdict::Done(outcome.clone()),
            State::Done(None) => Verdict::Dropped,
            State::Lost | State::Freed => Verdict::Lost,
        }
    }

    /// Ends it and returns the bytes of the outcome kept.
    fn end(&mut self, state: State, now: Wall) -> usize {
        let keep = match state {
            State::Freed => limit::FREED_CLAIM_RETENTION,
            _ => self.keep,
        };
        self.state = state;
        self.until = now + keep;
        self.bytes()
    }

    fn bytes(&self) -> usize {
        match &self.state {
            State::Done(Some(outcome)) => outcome.0.len(),
            _ => 0,
        }
    }

    fn drop_outcome(&mut self) -> usize {
        let bytes = self.bytes();
        if bytes > 0 {
            self.state = State::Done(None);
        }
        bytes
    }

    /// Whether it is still kept. An open one that nobody settled in its time is
    /// lost first, and forgotten only after its keep time.
    fn outlives(&mut self, now: Wall) -> bool {
        if now < self.until {
            return true;
        }
        let open = self.state == State::Open;
        if open {
            self.end(State::Lost, now);
        }
        open
    }
}
