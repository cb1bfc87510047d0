//! Quarantine of poison requests, which crash the upstreams that run them.
//!
//! When an engine dies, each request that ran there is blamed for the death. Most of
//! them are innocent, so one death only makes a request a suspect: it may run again, but
//! not beside another suspect, and is cleared when it finishes. Its fingerprint is refused
//! everywhere after [`limit::MAX_SOLE_DEATHS`] deaths for which no other request is
//! blamed, or [`limit::MAX_DEATHS`] deaths in all. One poison request thus costs at most
//! three engines, however often and through whichever entry hosts it is sent.
//!
//! A suspect's next run is *charged* in advance: the death that it may cause is recorded
//! before the run starts, and taken back when the run ends with the engine alive. (Only a
//! run that finishes also clears the suspicion.) Otherwise copies sent through several
//! entry hosts at once would all run before the first death is known, and an entry host
//! that dies together with the engine would blame no request.
//!
//! Fingerprints include the organisation's name, so that no organisation can get another
//! one's requests blamed. The number of suspects is bounded for each organisation, so
//! that none can evict another one's suspects.

use std::collections::{BTreeMap, BTreeSet};

use almondlock_base::{
    Code,
    id::{Fingerprint, Incarnation, Organisation, Upstream},
    time::Wall,
};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Change, Config, Quarantine},
    limit,
};

/// Name of the upstream in deaths that stand for a generation: the deaths of all requests with
/// a common passage that ran before the one before was known. Its incarnation counts the
/// generations.
pub const GENERATION: &str = "generation";

/// The death of an upstream, identified by the upstream and the incarnation that ended.
pub type Death = (Upstream, Incarnation);

/// The deaths that each suspect is blamed for.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// Suspects by the hexadecimal form of their fingerprint, as in the configuration.
    ///
    /// Invariant: has the same keys as `Config::quarantines`.
    suspects: BTreeMap<String, Suspect>,
    /// When expired suspects were last removed.
    #[serde(rename = "swept")]
    last_sweep: Wall,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Suspect {
    #[serde(rename = "print")]
    fingerprint: Fingerprint,
    /// Invariant: at most `limit::MAX_DEATHS`.
    deaths: BTreeSet<Death>,
    /// Deaths recorded in advance, for runs that have not ended.
    ///
    /// Invariant: disjoint from `deaths`. Both together are at most
    /// `limit::MAX_DEATHS`, unless a death was blamed that had not been charged.
    #[serde(default)]
    charges: BTreeSet<Death>,
}

impl Table {
    /// Blames a fingerprint for a death. The same death counts once.
    pub fn blame(
        &mut self,
        config: &Config,
        fingerprint: Fingerprint,
        organisation: &Organisation,
        death: Death,
        now: Wall,
    ) -> Result<Vec<Change>, Code> {
        let name = fingerprint.to_string();
        let mut changes = Vec::new();
        if !self.suspects.contains_key(&name) {
            changes.extend(self.evict_oldest(config, organisation)?);
        }
        let suspect = self
            .suspects
            .entry(name.clone())
            .or_insert_with(|| Suspect {
                fingerprint,
                deaths: BTreeSet::new(),
                charges: BTreeSet::new(),
            });
        suspect.charges.remove(&death);
        if suspect.deaths.len() < limit::MAX_DEATHS && !suspect.deaths.insert(death) {
            return Ok(changes);
        }
        changes.push(self.quarantine_change(&name, fingerprint, organisation, now));
        Ok(changes)
    }

    /// Records in advance the death that a suspect's run may cause. The run may start only
    /// if this is accepted.
    pub fn charge(
        &mut self,
        fingerprint: Fingerprint,
        organisation: &Organisation,
        death: Death,
        now: Wall,
    ) -> Result<Vec<Change>, Code> {
        let name = fingerprint.to_string();
        // The suspect has been cleared meanwhile, and may run like any other request.
        let Some(suspect) = self.suspects.get_mut(&name) else {
            return Ok(Vec::new());
        };
        if suspect.charges.contains(&death) {
            return Ok(Vec::new());
        }
        let entered = suspect.deaths.len() + suspect.charges.len();
        if entered >= limit::MAX_DEATHS || self.is_proven(&name) {
            return Err(Code::Quarantined);
        }
        if let Some(suspect) = self.suspects.get_mut(&name) {
            suspect.charges.insert(death);
        }
        Ok(vec![self.quarantine_change(
            &name,
            fingerprint,
            organisation,
            now,
        )])
    }

    /// Takes a charge back after the run ended with the upstream alive.
    pub fn discharge(
        &mut self,
        fingerprint: Fingerprint,
        organisation: &Organisation,
        death: &Death,
        now: Wall,
    ) -> Option<Change> {
        let name = fingerprint.to_string();
        let taken = self.suspects.get_mut(&name)?.charges.remove(death);
        taken.then(|| self.quarantine_change(&name, fingerprint, organisation, now))
    }

    /// Returns the change that tells all processes about a suspect.
    fn quarantine_change(
        &self,
        name: &str,
        fingerprint: Fingerprint,
        organisation: &Organisation,
        now: Wall,
    ) -> Change {
        let suspect = self.suspects.get(name);
        let entered = suspect.map_or(0, |s| s.deaths.len() + s.charges.len());
        // No other copy may start while the last permitted run is in progress.
        let refused = entered >= limit::MAX_DEATHS || self.is_proven(name);
        let kept = if refused {
            limit::REFUSAL_RETENTION
        } else {
            limit::SUSPECT_RETENTION
        };
        let quarantine = Quarantine {
            organisation: organisation.clone(),
            deaths: u32::try_from(entered).unwrap_or(u32::MAX),
            refused,
            until: now + kept,
        };
        Change::Quarantine(fingerprint, Some(quarantine))
    }

    /// Returns whether the deaths that happened prove the suspicion. Charges don't count.
    fn is_proven(&self, name: &str) -> bool {
        let deaths = self.suspects.get(name).map_or(0, |s| s.deaths.len());
        deaths >= limit::MAX_DEATHS || self.sole_deaths(name) >= limit::MAX_SOLE_DEATHS
    }

    /// Returns the number of deaths for which no other request is blamed.
    fn sole_deaths(&self, name: &str) -> usize {
        let Some(suspect) = self.suspects.get(name) else {
            return 0;
        };
        let shared = |death: &&Death| {
            let mut others = self.suspects.iter().filter(|(other, _)| *other != name);
            others.any(|(_, other)| other.deaths.contains(*death))
        };
        let deaths = suspect.deaths.iter();
        let deaths = deaths.filter(|(upstream, _)| upstream.as_str() != GENERATION);
        deaths.filter(|death| !shared(death)).count()
    }

    /// Evicts the organisation's oldest suspect that isn't refused, if the table is full.
    fn evict_oldest(
        &mut self,
        config: &Config,
        organisation: &Organisation,
    ) -> Result<Option<Change>, Code> {
        let own = config
            .quarantines
            .iter()
            .filter(|(_, quarantine)| quarantine.organisation == *organisation);
        let full = own.clone().count() >= limit::MAX_QUARANTINES_PER_ORGANISATION
            || config.quarantines.len() >= limit::MAX_QUARANTINES;
        if !full {
            return Ok(None);
        }
        let oldest = own
            .filter(|(_, quarantine)| !quarantine.refused)
            .min_by_key(|(_, quarantine)| quarantine.until)
            .map(|(name, _)| name.clone())
            .ok_or(Code::LimitReached)?;
        let suspect = self.suspects.remove(&oldest).ok_or(Code::LimitReached)?;
        Ok(Some(Change::Quarantine(suspect.fingerprint, None)))
    }

    /// Clears a suspect that finished without harm. A proven one stays refused: it may
    /// crash upstreams only under certain conditions.
    pub fn clear(
        &mut self,
        config: &Config,
        fingerprint: Fingerprint,
        organisation: &Organisation,
    ) -> Option<Change> {
        let name = fingerprint.to_string();
        let known = config.quarantines.get(&name)?;
        if self.is_proven(&name) || known.organisation != *organisation {
            return None;
        }
        self.suspects.remove(&name);
        Some(Change::Quarantine(fingerprint, None))
    }

    /// Removes the suspects that have expired.
    pub fn expire(&mut self, config: &Config, now: Wall) -> Vec<Change> {
        if now.since(self.last_sweep) < limit::SWEEP_INTERVAL {
            return Vec::new();
        }
        self.last_sweep = now;
        let over = config
            .quarantines
            .iter()
            .filter(|(_, quarantine)| quarantine.until <= now);
        over.filter_map(|(name, _)| self.suspects.remove(name))
            .map(|suspect| Change::Quarantine(suspect.fingerprint, None))
            .collect()
    }
}
