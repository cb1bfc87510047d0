//! Claims on idempotency keys, which make a request run at most once.
//!
//! Before an entry host forwards a request that may not be repeated, it claims
//! the pair of organisation and idempotency key here. A claim is granted to one
//! attempt only, whichever entry host a copy of the request reaches and whichever
//! process restarts meanwhile. A claim ends in one of three ways:
//!
//! - done: the request ran, and its outcome is kept for later copies;
//! - freed: the request provably did not run, and may be claimed again;
//! - lost: its holder died or does not know whether the request ran. A lost claim
//!   is not granted again while it is kept, because the request may have run.
//!
//! A claim is kept for a bounded time after its end. A copy that arrives later
//! than that runs again; `docs/claims.md` states this bound as part of the
//! guarantee.

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

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The claimant, and no other attempt, may run the request.
    Granted,
    /// Another attempt holds the claim.
    Running,
    /// The request ran, with this outcome.
    Done(Blob),
    /// The request ran; its outcome was too large to keep or has been evicted.
    Dropped,
    /// The request may have run: the claim's holder died or does not know.
    Lost,
    /// The key has been used with another body.
    Mismatch,
    /// Nothing was claimed, for the reason that the code gives.
    Refused(Code),
}

impl Verdict {
    /// Returns the code that a copy of the request is refused with; `None` when it
    /// may run or gets the kept outcome.
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

/// The state of a claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    /// The holder runs the request.
    Open,
    /// The request ran; `None` when its outcome is not kept.
    Done(Option<Blob>),
    /// The request may have run.
    Lost,
    /// The request did not run and may be claimed again, but not by the attempt
    /// that freed it: a delayed duplicate of that attempt's claim command would
    /// otherwise open a claim that nobody settles.
    Freed,
}

/// A claim on one idempotency key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Claim {
    /// Hash of the request's body.
    body: Blob,
    holder: Attempt,
    /// Time for which the claim is kept after its end.
    #[serde(rename = "keep")]
    retention: Duration,
    state: State,
    /// When an open claim counts as lost, or an ended one is forgotten.
    #[serde(rename = "until")]
    expires_at: Wall,
}

/// The claims of all organisations.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    claims: BTreeMap<Organisation, BTreeMap<Arc<str>, Claim>>,
    /// Invariant: the number of claims in `claims`.
    count: usize,
    /// Claims in the order in which they were settled, for evicting the oldest
    /// outcomes.
    ///
    /// Invariant: contains every claim with an outcome. Claims whose outcome is
    /// gone may stay here until the next sweep.
    settled: VecDeque<(Organisation, Arc<str>)>,
    /// Invariant: the total size of all kept outcomes.
    #[serde(rename = "bytes")]
    total_outcome_bytes: usize,
    /// When expired claims were last removed.
    #[serde(rename = "swept")]
    last_sweep: Wall,
    /// The incarnation with which each entry host last claimed.
    ///
    /// Invariant: at most `limit::MAX_CLAIM_HOSTS` entries.
    #[serde(default, rename = "lives")]
    incarnations: BTreeMap<Host, Incarnation>,
}

/// A request to claim an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The organisation that sent the request.
    pub organisation: &'a Organisation,
    /// The idempotency key.
    pub key: &'a str,
    /// Hash of the request's body.
    pub body: &'a Blob,
    /// The attempt that asks for the claim.
    pub holder: &'a Attempt,
    /// Time to keep the claim after its end.
    pub retention: Duration,
    /// Time after which an open claim counts as lost. It is longer than the longest
    /// deadline, so a holder that has not settled by then has died or is cut off.
    pub run_limit: Duration,
}

impl Table {
    /// Returns the number of claims, open or ended.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the total size of all kept outcomes in bytes.
    pub fn outcome_bytes(&self) -> usize {
        self.total_outcome_bytes
    }

    /// Returns each entry host and incarnation that holds an open claim, once.
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

    /// Grants a claim, or says why the request may not run.
    pub fn claim(&mut self, request: Request<'_>, now: Wall) -> Verdict {
        self.record_incarnation(request.holder, now);
        let existing = self
            .claims
            .get_mut(request.organisation)
            .and_then(|keys| keys.get_mut(request.key));
        match existing {
            Some(claim) => claim.answer_repeat(request, now),
            None => self.insert(request, now),
        }
    }

    /// Records the incarnation with which a host claims. When it differs from the one
    /// before, the host has restarted, and the open claims of the earlier incarnation
    /// are marked lost: nothing else would report them. A delayed claim of the earlier
    /// incarnation also marks those of the later one lost, until they are settled;
    /// copies of these requests then get no answer, but nothing runs twice.
    fn record_incarnation(&mut self, holder: &Attempt, now: Wall) {
        let known = self.incarnations.get(&holder.host).copied();
        if known == Some(holder.incarnation) {
            return;
        }
        if let Some(earlier) = known {
            self.mark_lost(&holder.host, earlier, now);
        }
        if known.is_some() || self.incarnations.len() < limit::MAX_CLAIM_HOSTS {
            self.incarnations
                .insert(holder.host.clone(), holder.incarnation);
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
        // All claims of a host share one copy of its name; each command read from
        // the log has its own.
        if let Some((host, _)) = self.incarnations.get_key_value(&claim.holder.host) {
            claim.holder.host = host.clone();
        }
        let keys = self.claims.entry(request.organisation.clone()).or_default();
        keys.insert(Arc::from(request.key), claim);
        self.count += 1;
        Verdict::Granted
    }

    /// Ends a granted claim. Settling it again with the same outcome is accepted.
    ///
    /// # Errors
    ///
    /// `Conflict` if the attempt doesn't hold the claim, or has ended it otherwise.
    pub fn settle(
        &mut self,
        (organisation, key): (&Organisation, &str),
        holder: &Attempt,
        (ran, outcome): (Ran, Blob),
        now: Wall,
    ) -> Result<(), Code> {
        let Some((name, claim)) = self.find(organisation, key) else {
            // A request that did not run has nothing to free and can't run twice.
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
            // Settled again: an outcome evicted meanwhile is not restored.
            (State::Done(_), State::Done(_) | State::Lost) => return Ok(()),
            (State::Lost, _) | (State::Freed, State::Freed) => return Ok(()),
            // The claim has been settled as run, or granted to another attempt.
            _ => return Err(Code::Conflict),
        }
        let kept = claim.end(next, now);
        self.total_outcome_bytes += kept;
        if kept > 0 {
            self.settled.push_back((organisation.clone(), name));
            self.evict_outcomes();
        }
        Ok(())
    }

    /// Marks the open claims of an entry host's ended incarnation as lost, and returns
    /// their number.
    pub fn mark_lost(&mut self, host: &Host, incarnation: Incarnation, now: Wall) -> usize {
        let open = self
            .claims
            .values_mut()
            .flat_map(BTreeMap::values_mut)
            .filter(|claim| claim.state == State::Open)
            .filter(|claim| claim.holder.incarnation == incarnation && claim.holder.host == *host);
        open.map(|claim| claim.end(State::Lost, now)).count()
    }

    /// Removes expired claims, and marks overdue open ones as lost. Does nothing
    /// within [`limit::SWEEP_INTERVAL`] of the last sweep.
    pub fn expire(&mut self, now: Wall) {
        if now.since(self.last_sweep) < limit::SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let mut count = 0;
        let mut bytes = 0;
        self.claims.retain(|_, keys| {
            keys.retain(|_, claim| claim.sweep(now));
            count += keys.len();
            bytes += keys.values().map(Claim::outcome_bytes).sum::<usize>();
            !keys.is_empty()
        });
        self.count = count;
        self.total_outcome_bytes = bytes;
        let claims = &self.claims;
        self.settled.retain(|(organisation, key)| {
            let claim = claims.get(organisation).and_then(|keys| keys.get(key));
            claim.is_some_and(|claim| claim.outcome_bytes() > 0)
        });
    }

    /// Evicts the oldest outcomes until the rest fits
    /// [`limit::MAX_TOTAL_OUTCOME_BYTES`]. Their claims stay: a copy is told that the
    /// request ran, and is not run.
    fn evict_outcomes(&mut self) {
        while self.total_outcome_bytes > limit::MAX_TOTAL_OUTCOME_BYTES {
            let Some((organisation, key)) = self.settled.pop_front() else {
                return;
            };
            let freed = self
                .find(&organisation, &key)
                .map_or(0, |(_, claim)| claim.drop_outcome());
            self.total_outcome_bytes -= freed;
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
            retention: request
                .retention
                .clamp(limit::MIN_CLAIM_RETENTION, limit::MAX_CLAIM_RETENTION),
            state: State::Open,
            expires_at: now + request.run_limit.min(limit::MAX_OPEN_CLAIM_AGE),
        }
    }

    /// Answers a claim on a key that has been claimed before.
    fn answer_repeat(&mut self, request: Request<'_>, now: Wall) -> Verdict {
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
            // The same attempt asks again: the answer was lost.
            State::Open if self.holder == *request.holder => Verdict::Granted,
            State::Open => Verdict::Running,
            State::Done(Some(outcome)) => Verdict::Done(outcome.clone()),
            State::Done(None) => Verdict::Dropped,
            State::Lost | State::Freed => Verdict::Lost,
        }
    }

    /// Ends the claim and returns the size of the kept outcome in bytes.
    fn end(&mut self, state: State, now: Wall) -> usize {
        let keep = match state {
            State::Freed => limit::FREED_CLAIM_RETENTION,
            _ => self.retention,
        };
        self.state = state;
        self.expires_at = now + keep;
        self.outcome_bytes()
    }

    fn outcome_bytes(&self) -> usize {
        match &self.state {
            State::Done(Some(outcome)) => outcome.0.len(),
            _ => 0,
        }
    }

    fn drop_outcome(&mut self) -> usize {
        let bytes = self.outcome_bytes();
        if bytes > 0 {
            self.state = State::Done(None);
        }
        bytes
    }

    /// Returns whether the claim is still kept. An open claim that was not settled in
    /// time becomes lost, and is forgotten only after its retention.
    fn sweep(&mut self, now: Wall) -> bool {
        if now < self.expires_at {
            return true;
        }
        let open = self.state == State::Open;
        if open {
            self.end(State::Lost, now);
        }
        open
    }
}
