//! Evacuation of failure domains, whose upstreams then take no new requests.
//!
//! An operator evacuates a failure domain before work on its power or network, and ends the
//! evacuation afterwards. Both are entered in the replicated state, so that neither is lost
//! with a leader, and hosts that start later learn of it. Running requests finish normally.
//!
//! | order | result |
//! |---|---|
//! | evacuate a domain | in force with the next revision |
//! | evacuate a domain that is evacuated already | accepted, nothing changes |
//! | end the evacuation of a domain | in force with the next revision |
//! | end the evacuation of a domain that isn't evacuated | accepted, nothing changes |
//! | evacuate more than [`limit::MAX_EVACUATIONS`] domains | refused |
//!
//! Orders of two operators for one domain take effect in the order of the log.
//!
//! **Failure.** The upstreams of an evacuated domain may be restarted during the
//! evacuation. Hosts would learn that it has ended before they learn that these upstreams
//! are cold, and would send them more requests than a cold upstream can take. Each instance
//! in the domain therefore counts as cold from the end of the evacuation until its next
//! heartbeat.

use almondlock_base::{id::Domain, time::Wall};

use crate::{
    config::{Change, Config, Drain},
    limit,
    tables::Tables,
};

/// Returns the change that evacuates a domain; `None` if it is evacuated already.
///
/// # Errors
///
/// If too many domains are evacuated.
pub fn begin(config: &Config, domain: Domain, drain: Drain) -> Result<Option<Change>, Full> {
    if config.evacuations.contains_key(&domain) {
        return Ok(None);
    }
    if config.evacuations.len() >= limit::MAX_EVACUATIONS {
        return Err(Full);
    }
    Ok(Some(Change::Evacuation(domain, Some(drain))))
}

/// Returns the change that ends an evacuation; `None` if the domain isn't evacuated.
pub fn end(config: &Config, domain: Domain) -> Option<Change> {
    let known = config.evacuations.contains_key(&domain);
    known.then_some(Change::Evacuation(domain, None))
}

/// Creates the entry for an evacuated domain.
pub fn drain(reason: &str, now: Wall) -> Drain {
    Drain {
        since: now,
        reason: reason.to_owned(),
    }
}

/// Returns whether a failure domain is evacuated or has a known upstream, instance or
/// replica.
pub fn is_known(tables: &Tables, domain: &Domain) -> bool {
    let config = &tables.config;
    let registered = config.upstreams.values().map(|known| &known.domain);
    let enrolled = config.instances.values().map(|known| &known.domain);
    let replicas = tables.replicas.values().map(|known| &known.domain);
    let mut all = registered.chain(enrolled).chain(replicas);
    all.any(|known| known == domain) || config.evacuations.contains_key(domain)
}

/// The error for too many evacuated domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("too many failure domains are evacuated")]
pub struct Full;
