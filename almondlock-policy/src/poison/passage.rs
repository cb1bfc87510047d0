//! Decides which prompts are refused because of a passage that they begin with.
//!
//! Prompts come as text, of which the hashes of the leading parts are known
//! ([`crate::prefix`]). What crashes an engine inside such a part is inside all prompts that
//! begin with it, and in no other. So when an engine dies, each passage that a prompt there
//! began with is suspected, and deaths are recorded for it as for a whole request.
//!
//! | a prompt that was lost | what is recorded |
//! |---|---|
//! | none of its passages was suspected when it began to run | the first generation of deaths, for each passage that the sidecar had no answer to recently |
//! | some were, the longest of them with *k* generations | generation *k* + 1, for that passage |
//!
//! Deaths of one generation count once: prompts that ran at the same time, such as those of a
//! failure domain that was lost, can't tell more than one of them. Only the longest passage is
//! suspected further, since prompts that share less of it may be harmless. An answer clears
//! all passages of its prompt. A passage with
//! [`MAX_DEATHS`](almondlock_state::limit::MAX_DEATHS) generations is refused.

use std::time::Duration;

use almondlock_base::{
    id::{Fingerprint, Incarnation, Organisation, Upstream},
    time::Wall,
};
use almondlock_state::{
    config::Quarantine,
    poison::{Death, GENERATION},
};

/// Maximum number of passages that are suspected because of one death.
pub const MAX_SUSPECTED: usize = 48;

/// Returns the fingerprints of a prompt's passages, shortest first, given the hashes of its
/// leading parts. They include the organisation, as those of whole requests do.
pub fn prints(organisation: &Organisation, prefix: &[u64]) -> Vec<Fingerprint> {
    let print = |hash: &u64| Fingerprint::new(organisation, "passage", &hash.to_le_bytes());
    prefix.iter().map(print).collect()
}

/// What the records say of a prompt's passages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// None is suspected.
    Clear,
    /// The longest suspected passage, and its generations of deaths.
    Suspected(Fingerprint, u32),
    /// A passage is refused for this time.
    Refused(Fingerprint, Duration),
}

/// Returns what the records say of passages, given the shortest first.
pub fn standing<'a, F>(prints: &[Fingerprint], record: F, now: Wall) -> Standing
where
    F: Fn(Fingerprint) -> Option<&'a Quarantine>,
{
    let known = prints.iter().filter_map(|print| {
        let record = record(*print).filter(|record| now < record.until)?;
        Some((*print, record))
    });
    let mut longest = Standing::Clear;
    for (print, record) in known {
        if record.refused {
            return Standing::Refused(print, record.until.since(now));
        }
        longest = Standing::Suspected(print, record.deaths);
    }
    longest
}

/// Returns which deaths to record for a prompt that was lost, given what the records said of
/// its passages when it began to run.
pub fn blamed(prints: &[Fingerprint], standing: Standing) -> Vec<(Fingerprint, Death)> {
    match standing {
        Standing::Clear => {
            let all = prints.iter();
            all.filter_map(|print| Some((*print, death(1)?))).collect()
        }
        Standing::Suspected(print, generations) => {
            let next = death(generations.saturating_add(1));
            next.map(|death| (print, death)).into_iter().collect()
        }
        Standing::Refused(..) => Vec::new(),
    }
}

/// Returns the death that all prompts of a generation share.
fn death(generation: u32) -> Option<Death> {
    let upstream = Upstream::new(GENERATION).ok()?;
    Some((upstream, Incarnation(generation.into())))
}
