//! Requests that kill the upstreams that run them.
//!
//! When an engine dies, every request that ran there is blamed for the death.
//! Most of them are innocent, so one death only makes a suspect: it may run
//! again, but never beside another suspect, and is cleared when it finishes. A
//! fingerprint is refused everywhere from [`limit::MAX_SOLE_DEATHS`] deaths that
//! blame it alone, or [`limit::MAX_DEATHS`] in all. The fleet thus loses at most
//! three engines to one poisonous request, however often it is sent again and
//! through whichever entry hosts.
//!
//! A suspect's next run is *charged* first: the death it may cause is entered
//! before it starts, and taken back when the run ends with the engine alive (only
//! a run that finished clears the suspicion too).
//! Otherwise copies sent through several entry hosts at the same moment would
//! all run before the first of their deaths is known, and an entry host that
//! dies with the engine would blame nobody.
//!
//! Fingerprints are made over the organisation's name, so that nobody can get
//! another's requests blamed; the tables are bounded for each organisation, so
//! that nobody can push another's suspects out.

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

/// One death of an upstream: the upstream and the life that ended.
pub type Death = (Upstream, Incarnation);

/// Which deaths each fingerprint is blamed for.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// By the fingerprint's hexadecimal form, as in the configuration.
    ///
    /// Invariant: has the same keys as `Config::quarantines`.
    suspects: BTreeMap<String, Suspect>,
    swept: Wall,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Suspect {
    print: Fingerprint,
    /// Invariant: at most `limit::MAX_DEATHS`.
    deaths: BTreeSet<Death>,
    /// Deaths entered in advance for runs that have not ended.
    ///
    /// Invariant: none of them is in `deaths`, and both together are at most
    /// `limit::MAX_DEATHS` unless blame came from outside.
    #[serde(default)]
    charges: BTreeSet<Death>,
}

impl Table {
    /// Blames a fingerprint for a death. Told twice of the same death, it
    /// counts it once.
    pub fn blame(
        &mut self,
        config: &Config,
        print: Fingerprint,
        organisation: &Organisation,
        death: Death,
        now: Wall,
    ) -> Result<Vec<Change>, Code> {
        let name = print.to_string();
        let mut changes = Vec::new();
        if !self.suspects.contains_key(&name) {
            changes.extend(self.make_room(config, organisation)?);
        }
        let suspect = self
            .suspects
            .entry(name.clone())
            .or_insert_with(|| Suspect {
                print,
                deaths: BTreeSet::new(),
                charges: BTreeSet::new(),
            });
        suspect.charges.remove(&death);
        if suspect.deaths.len() < limit::MAX_DEATHS && !suspect.deaths.insert(death) {
            return Ok(changes);
        }
        changes.push(self.quarantine(&name, print, organisation, now));
        Ok(changes)
    }

    /// Enters the death that a suspect's run may cause. The run may start only
    /// once this is accepted.
    pub fn charge(
        &mut self,
        print: Fingerprint,
        organisation: &Organisation,
        death: Death,
        now: Wall,
    ) -> Result<Vec<Change>, Code> {
        let name = print.to_string();
        // Cleared meanwhile: it runs as any other.
        let Some(suspect) = self.suspects.get_mut(&name) else {
            return Ok(Vec::new());
        };
        if suspect.charges.contains(&death) {
            return Ok(Vec::new());
        }
        let entered = suspect.deaths.len() + suspect.charges.len();
        if entered >= limit::MAX_DEATHS || self.is_guilty(&name) {
            return Err(Code::Quarantined);
        }
        if let Some(suspect) = self.suspects.get_mut(&name) {
            suspect.charges.insert(death);
        }
        Ok(vec![self.quarantine(&name, print, organisation, now)])
    }

    /// Takes a charge back: the run ended, and the upstream lives.
    pub fn discharge(
        &mut self,
        print: Fingerprint,
        organisation: &Organisation,
        death: &Death,
        now: Wall,
    ) -> Option<Change> {
        let name = print.to_string();
        let taken = self.suspects.get_mut(&name)?.charges.remove(death);
        taken.then(|| self.quarantine(&name, print, organisation, now))
    }

    /// What every process is told of a fingerprint.
    fn quarantine(
        &self,
        name: &str,
        print: Fingerprint,
        organisation: &Organisation,
        now: Wall,
    ) -> Change {
        let suspect = self.suspects.get(name);
        let entered = suspect.map_or(0, |s| s.deaths.len() + s.charges.len());
        // While the last run it may have is under way, no other copy starts.
        let refused = entered >= limit::MAX_DEATHS || self.is_guilty(name);
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
        Change::Quarantine(print, Some(quarantine))
    }

    /// Whether the deaths that happened prove it; charges don't.
    fn is_guilty(&self, name: &str) -> bool {
        let deaths = self.suspects.get(name).map_or(0, |s| s.deaths.len());
        deaths >= limit::MAX_DEATHS || self.alone(name) >= limit::MAX_SOLE_DEATHS
    }

    /// Deaths for which nothing else is blamed.
    fn alone(&self, name: &str) -> usize {
        let Some(suspect) = self.suspects.get(name) else {
            return 0;
        };
        let shared = |death: &&Death| {
            let mut others = self.suspects.iter().filter(|(other, _)| *other != name);
            others.any(|(_, other)| other.deaths.contains(*death))
        };
        suspect.deaths.iter().filter(|death| !shared(death)).count()
    }

    /// Takes the organisation's oldest mere suspect out when it has too many.
    fn make_room(
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
        Ok(Some(Change::Quarantine(suspect.print, None)))
    }

    /// A suspect finished without harm. One that is refused already stays
    /// refused: it may kill only under some condition.
    pub fn clear(
        &mut self,
        config: &Config,
        print: Fingerprint,
        organisation: &Organisation,
    ) -> Option<Change> {
        let name = print.to_string();
        let known = config.quarantines.get(&name)?;
        if self.is_guilty(&name) || known.organisation != *organisation {
            return None;
        }
        self.suspects.remove(&name);
        Some(Change::Quarantine(print, None))
    }

    /// Forgets what has stood long enough.
    pub fn expire(&mut self, config: &Config, now: Wall) -> Vec<Change> {
        if now.since(self.swept) < limit::SWEEP_INTERVAL {
            return Vec::new();
        }
        self.swept = now;
        let over = config
            .quarantines
            .iter()
            .filter(|(_, quarantine)| quarantine.until <= now);
        over.filter_map(|(name, _)| self.suspects.remove(name))
            .map(|suspect| Change::Quarantine(suspect.print, None))
            .collect()
    }
}
