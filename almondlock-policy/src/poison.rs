//! Decides how requests run that may have killed engines.
//!
//! When an engine dies, nobody can tell which of the requests that ran on it was the cause,
//! so each of them is blamed. A blamed request is a *suspect*, not a culprit: it runs again
//! under restrictions, and its record is cleared if it then finishes.
//!
//! | deaths | how it runs next |
//! |---|---|
//! | 0 | as any other request; while no copy of it has finished, one at a time per entry host |
//! | 1 | on an engine without another suspect |
//! | 2 | alone on an engine |
//! | [`Config::max_deaths`] (3) | refused everywhere, until [`Config::retention`] is over |
//!
//! The last run is alone so that only a culprit can reach three deaths: a death there can't
//! have been caused by another request. Two suspects never run together, since otherwise
//! two harmless requests beside one poison would blame each other.
//!
//! # How many engines one poison costs
//!
//! A suspect's run is [charged](charge) before it starts: the entry host first has the
//! death entered in the replicated records, and it is taken out when the run ends well. So
//! all runs of a known suspect together cost at most `max_deaths - 1` engines, through
//! however many entry hosts it is sent again, and also when the entry host dies with the
//! engine. An entry host that has not heard of the suspect yet may run one copy ([`Watch`]
//! lets no second copy through before the first has ended). The fleet loses at most
//! [`loss_limit`] engines per poison: one per entry host that had not heard of it, and the
//! charged ones; that is three if the news is faster than the caller.
//!
//! Records are kept by fingerprint, and a fingerprint includes the organisation: nobody can
//! get another organisation's request blamed by sending a copy of it.
//!
//! ```
//! use almondlock_base::{id::Organisation, time::Wall};
//! use almondlock_policy::poison::{Config, Treatment, blame, treat};
//!
//! let config = Config::default();
//! let bank = Organisation::new("bank")?;
//! let now = Wall::from_millis(0);
//! let mut record = blame(&config, None, &bank, now);
//! assert_eq!(treat(Some(&record), now), Treatment::SingleSuspect);
//! record = blame(&config, Some(&record), &bank, now);
//! assert_eq!(treat(Some(&record), now), Treatment::Exclusive);
//! record = blame(&config, Some(&record), &bank, now);
//! assert!(matches!(treat(Some(&record), now), Treatment::Refuse { .. }));
//! # Ok::<(), almondlock_base::id::Error>(())
//! ```

pub mod answered;
pub mod host;
pub mod passage;
pub mod profile;
pub mod refusal;
pub mod tally;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use almondlock_base::{
    id::{Fingerprint, Organisation},
    time::{Mono, Wall},
};
use almondlock_state::config::Quarantine;

/// Number of deaths after which a request is refused, and how long records are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of engines that died while a request ran, from which on it is refused.
    pub max_deaths: u32,
    /// Time for which a record is kept after its last death.
    pub retention: Duration,
    /// Maximum number of fingerprints that an entry host remembers as harmless.
    pub max_harmless: usize,
    /// Time for which a fingerprint is remembered as harmless.
    pub trust_time: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_deaths: 3,
            retention: Duration::from_secs(24 * 3_600),
            max_harmless: 65_536,
            trust_time: Duration::from_secs(600),
        }
    }
}

/// Returns the number of engines that one poison can cost if this many entry hosts may not
/// have heard of it when it reaches them.
pub const fn loss_limit(config: &Config, unaware: u32) -> u32 {
    let known = config.max_deaths.saturating_sub(1);
    let all = unaware.saturating_add(known);
    if all > config.max_deaths {
        all
    } else {
        config.max_deaths
    }
}

/// How a request is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// As any other request.
    Unrestricted,
    /// On an engine without another suspect.
    SingleSuspect,
    /// Alone on an engine.
    Exclusive,
    /// Not at all.
    Refuse {
        /// Time until the record ends.
        retry_after: Duration,
    },
}

impl Treatment {
    /// Returns whether it is a suspect that may run, so that its run must be charged.
    pub fn is_charged(self) -> bool {
        matches!(self, Treatment::SingleSuspect | Treatment::Exclusive)
    }
}

/// Returns the record after one more death, or after one more run that is charged in
/// advance.
pub fn blame(
    config: &Config,
    record: Option<&Quarantine>,
    organisation: &Organisation,
    now: Wall,
) -> Quarantine {
    let before = record.filter(|record| now < record.until);
    let deaths = before.map_or(0, |record| record.deaths).saturating_add(1);
    Quarantine {
        organisation: organisation.clone(),
        deaths,
        refused: deaths >= config.max_deaths,
        until: now + config.retention,
    }
}

/// Returns the record for the time in which a suspect runs, with the death entered before
/// the run starts. Call this where the records are agreed on, so that two entry hosts can't
/// both start the last run.
///
/// # Errors
///
/// Refused if the request may not run again. The error is the time until the record ends.
pub fn charge(
    config: &Config,
    record: Option<&Quarantine>,
    organisation: &Organisation,
    now: Wall,
) -> Result<Quarantine, Duration> {
    match treat(record, now) {
        Treatment::Refuse { retry_after } => Err(retry_after),
        Treatment::Unrestricted | Treatment::SingleSuspect | Treatment::Exclusive => {
            Ok(blame(config, record, organisation, now))
        }
    }
}

/// Returns how a request with this record is to be run.
pub fn treat(record: Option<&Quarantine>, now: Wall) -> Treatment {
    match record.filter(|record| now < record.until) {
        None => Treatment::Unrestricted,
        Some(record) if record.refused => Treatment::Refuse {
            retry_after: record.until.since(now),
        },
        Some(record) if record.deaths == 0 => Treatment::Unrestricted,
        Some(record) if record.deaths == 1 => Treatment::SingleSuspect,
        Some(_) => Treatment::Exclusive,
    }
}

/// How a run under [`Watch`] starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Run it as the treatment says. If that is charged, have the charge committed first.
    Run(Treatment),
    /// A copy of it runs through this host and none has finished yet. It waits for that
    /// copy, at most until its own deadline. If that copy finishes well, this one also
    /// finds its prompt cached.
    Wait,
}

/// The copies of one request that this host knows of.
#[derive(Clone, Copy, Debug, Default)]
struct Copies {
    running: u32,
    /// Deaths that this host has seen itself, which the replicated records may not show
    /// yet.
    deaths: u32,
}

/// What one entry host knows of fingerprints, ahead of the replicated records.
#[derive(Debug)]
pub struct Watch {
    config: Config,
    // Invariant: has an entry while a copy runs or a death is not yet in the records, so it
    // is bounded by the requests in flight and the recent deaths.
    copies: HashMap<Fingerprint, Copies>,
    harmless: HashMap<Fingerprint, Mono>,
    trust_order: VecDeque<Fingerprint>,
}

impl Watch {
    /// Returns a watch that knows nothing.
    pub fn new(config: Config) -> Watch {
        Watch {
            config,
            copies: HashMap::new(),
            harmless: HashMap::new(),
            trust_order: VecDeque::new(),
        }
    }

    /// Asks to start a run. `record` is the request's replicated record.
    ///
    /// After [`Start::Run`] the run must be ended with [`Watch::end`].
    pub fn begin(
        &mut self,
        print: Fingerprint,
        record: Option<&Quarantine>,
        wall: Wall,
        now: Mono,
    ) -> Start {
        let known = self.copies.get(&print).copied().unwrap_or_default();
        let treatment = self.treatment(known, record, wall);
        if matches!(treatment, Treatment::Refuse { .. }) {
            return Start::Run(treatment);
        }
        let trusted = treatment == Treatment::Unrestricted && self.is_harmless(&print, now);
        if known.running > 0 && !trusted {
            return Start::Wait;
        }
        self.copies.entry(print).or_default().running += 1;
        Start::Run(treatment)
    }

    /// Ends a run. `Some(true)` says that it finished well, `Some(false)` that its engine
    /// died, and `None` that its end says nothing about the request.
    pub fn end(&mut self, print: Fingerprint, harmless: Option<bool>, now: Mono) {
        let Some(copies) = self.copies.get_mut(&print) else {
            return;
        };
        copies.running = copies.running.saturating_sub(1);
        match harmless {
            Some(true) => {
                copies.deaths = 0;
                self.trust(print, now);
            }
            Some(false) => {
                copies.deaths += 1;
                self.harmless.remove(&print);
            }
            None => {}
        }
        self.forget_idle(&print);
    }

    /// Notes that the deaths seen here are in the replicated records.
    pub fn mark_recorded(&mut self, print: &Fingerprint) {
        if let Some(copies) = self.copies.get_mut(print) {
            copies.deaths = 0;
        }
        self.forget_idle(print);
    }

    /// Returns the treatment by the record, or by the deaths that this host has seen if
    /// there are more.
    fn treatment(&self, known: Copies, record: Option<&Quarantine>, wall: Wall) -> Treatment {
        let recorded = record.filter(|record| wall < record.until);
        let deaths = recorded.map_or(0, |record| record.deaths);
        match recorded {
            Some(record) if record.refused || known.deaths <= deaths => treat(recorded, wall),
            _ if known.deaths == 0 => Treatment::Unrestricted,
            _ if known.deaths >= self.config.max_deaths => Treatment::Refuse {
                retry_after: self.config.retention,
            },
            _ if known.deaths == 1 => Treatment::SingleSuspect,
            _ => Treatment::Exclusive,
        }
    }

    fn is_harmless(&self, print: &Fingerprint, now: Mono) -> bool {
        let at = self.harmless.get(print);
        at.is_some_and(|at| now.since(*at) < self.config.trust_time)
    }

    /// Remembers a fingerprint as harmless, and forgets the oldest if there are too many.
    fn trust(&mut self, print: Fingerprint, now: Mono) {
        if self.harmless.insert(print, now).is_none() {
            self.trust_order.push_back(print);
        }
        while self.trust_order.len() > self.config.max_harmless {
            if let Some(oldest) = self.trust_order.pop_front() {
                self.harmless.remove(&oldest);
            }
        }
    }

    fn forget_idle(&mut self, print: &Fingerprint) {
        let idle = |copies: &Copies| copies.running == 0 && copies.deaths == 0;
        if self.copies.get(print).is_some_and(idle) {
            self.copies.remove(print);
        }
    }
}
