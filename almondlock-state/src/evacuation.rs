//! Failure domains whose upstreams take no new work.
//!
//! An operator evacuates a failure domain before work on its power or network, and
//! withdraws that afterwards. Both are entered in the replicated state, so that neither
//! is lost with a leader, and hosts that start later know of it. What runs there ends by
//! itself.
//!
//! | order | result |
//! |---|---|
//! | a domain that takes work is evacuated | in force with the next revision |
//! | one that is evacuated already | accepted, nothing changes |
//! | the evacuation of a domain is withdrawn | in force with the next revision |
//! | the same without an evacuation | accepted, nothing changes |
//! | one more than [`limit::MAX_EVACUATIONS`] | refused |
//!
//! Orders of two operators for one domain count in the order in which they are agreed on.
//!
//! **Failure.** The upstreams of an evacuated domain are restarted there. Hosts hear of
//! the end of the evacuation before they hear that those upstreams are cold, and send
//! them as much as before, which a cold one doesn't bear. So each counts as cold from
//! the end of the evacuation until its next heartbeat.

use almondlock_base::{id::Domain, time::Wall};

use crate::{
    config::{Change, Config, Drain},
    limit,
    tables::Tables,
};

/// The change that evacuates a domain: none if it is evacuated already.
///
/// # Errors
///
/// Too many domains are evacuated.
pub fn begin(config: &Config, domain: Domain, drain: Drain) -> Result<Option<Change>, Full> {
    if config.evacuations.contains_key(&domain) {
        return Ok(None);
    }
    if config.evacuations.len() >= limit::MAX_EVACUATIONS {
        return Err(Full);
    }
    Ok(Some(Change::Evacuation(domain, Some(drain))))
}

/// The change that withdraws an evacuation: none without one.
pub fn end(config: &Config, domain: Domain) -> Option<Change> {
    let known = config.evacuations.contains_key(&domain);
    known.then_some(Change::Evacuation(domain, None))
}

/// The order to evacuate a domain, as it stands in the log.
pub fn drain(reason: &str, now: Wall) -> Drain {
    Drain {
        since: now,
        reason: reason.to_owned(),
    }
}

/// Whether anything that is known stands in a failure domain.
pub fn is_known(tables: &Tables, domain: &Domain) -> bool {
    let config = &tables.config;
    let registered = config.upstreams.values().map(|known| &known.domain);
    let enrolled = config.instances.values().map(|known| &known.domain);
    let replicas = tables.replicas.values().map(|known| &known.domain);
    let mut all = registered.chain(enrolled).chain(replicas);
    all.any(|known| known == domain) || config.evacuations.contains_key(domain)
}

/// As many domains are evacuated as may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("too many failure domains are evacuated")]
pub struct Full;
