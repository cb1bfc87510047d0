//! A stand-in engine that fails all its requests for a while, again and again, and a log of
//! what engines received.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::answer::Key;

/// What an engine does with requests while it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Turns them away with 503, not run.
    Refuse,
    /// Fails them with 500.
    Fail,
    /// Answers nothing.
    Silent,
}

/// When an engine fails its requests, in the engine's own time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failing {
    /// What it does with them.
    pub manner: Manner,
    /// For how long at a time.
    pub lasts: Duration,
    /// For how long it serves in between. It serves first.
    pub pause: Duration,
}

impl Failing {
    /// Reads `MANNER:LASTS_MS:PAUSE_MS`, where `MANNER` is `refuse`, `fail` or `silent`.
    pub fn parse(text: &str) -> Option<Failing> {
        let mut parts = text.split(':');
        let manner = match parts.next()? {
            "refuse" => Manner::Refuse,
            "fail" => Manner::Fail,
            "silent" => Manner::Silent,
            _ => return None,
        };
        let lasts = Duration::from_millis(parts.next()?.parse().ok()?);
        let pause = Duration::from_millis(parts.next()?.parse().ok()?);
        let is_whole = parts.next().is_none() && !lasts.is_zero();
        is_whole.then_some(Failing {
            manner,
            lasts,
            pause,
        })
    }

    /// Returns what the engine does with a request this long after its start, and for how
    /// much longer.
    pub fn manner(&self, age: Duration) -> Option<(Manner, Duration)> {
        let round = (self.pause + self.lasts).as_nanos();
        let into = Duration::from_nanos(u64::try_from(age.as_nanos() % round).ok()?);
        let left = (self.pause + self.lasts).saturating_sub(into);
        (into >= self.pause).then_some((self.manner, left))
    }
}

/// What engines received, over all of them. Clones share one log.
#[derive(Clone, Debug, Default)]
pub struct Log {
    arrivals: Arc<Mutex<Vec<(Instant, Key)>>>,
}

impl Log {
    /// Records the arrival of a prompt.
    pub(crate) fn record(&self, key: Key) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.push((Instant::now(), key));
    }

    /// Returns when prompts arrived that had arrived before, at this engine or another one.
    pub fn repeats(&self) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let mut first = HashSet::new();
        let again = arrivals.iter().filter(|(_, key)| !first.insert(*key));
        again.map(|(at, _)| *at).collect()
    }

    /// Forgets all arrivals.
    pub fn clear(&self) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.clear();
    }
}
