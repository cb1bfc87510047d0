//! Memory for prompts that are larger than what one engine has free.
//!
//! **Load pattern.** The largest prompts take more memory than an engine has,
//! and usual ones more than an engine has left that holds another. Sent all the
//! same, they are rejected, wait for a stream to end, or stop a running one. So
//! memory is set aside before the prompt is sent: what the engine that answers lacks
//! on others that read parts of it anyway, and its own share too where there is no
//! room for a second one.
//!
//! **All or none.** Each share is asked for without waiting, and all are given
//! back as soon as one is refused. No request ever waits for memory while it
//! holds some, so two of them can't hold each other up, whatever the order.
//!
//! **Even parts.** Each step of a stream reads the context of the largest part,
//! so the fewest engines that have the memory hold even parts of it.

use std::{cmp::Reverse, time::Duration};

use almondlock_policy::engine::Speed;

use crate::load::Total;

/// Part of an engine's memory that is counted on. The rest absorbs answers
/// longer than expected, and short prompts that other hosts sent meanwhile.
const USABLE_FRACTION: f64 = 0.94;

/// An engine hands out memory in blocks, and a request's last one is seldom
/// full: tokens that are set aside beyond the prompt's.
const PADDING_TOKENS: u64 = 64;

/// Part of the time for which memory stays set aside after which that is
/// renewed: one lost renewal can be repeated before the end.
pub const RENEWAL_FRACTION: f64 = 0.45;

/// Part of the time for which memory may outlive its use that it is set aside for.
/// The time counts from the arrival of an order, which may be a renewal that is
/// under way when the attempt ends: of the usual 4 s this leaves one for the order's
/// way and for the engine's own timer.
const LEASE_FRACTION: f64 = 0.75;

/// How long memory is set aside for at a time, where it may outlive its use for
/// `bound`.
pub fn lease_duration(bound: Duration) -> Duration {
    bound.mul_f64(LEASE_FRACTION)
}

/// An order that was not answered may still be carried out this much later.
/// The longest that engines are known to take.
pub const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(13);

/// How often memory that such an order may have set aside is given back until
/// then: well within the time for which engines may keep it unused.
pub const LATE_RELEASE_INTERVAL: Duration = Duration::from_secs(2);

/// Memory that one engine holds for a prompt that another one answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The engine's place in the list of candidates.
    pub place: usize,
    /// Tokens.
    pub tokens: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Sets memory aside, or goes on doing so.
    Reserve {
        /// Names the memory, in requests that use it too.
        id: &'a str,
        /// How much.
        tokens: u64,
        /// For how long.
        duration: Duration,
    },
    /// Gives it back.
    Release {
        /// Its name.
        id: &'a str,
    },
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is done.
    Done,
    /// It was refused, and will not be done.
    Refused,
    /// Nobody knows: it may still be done, seconds later.
    Unknown,
    /// It never reached the engine, and will not be done.
    Unreached,
}

impl Outcome {
    /// What a status says. Any refusal is a definite one.
    pub const fn from_status(status: u16) -> Outcome {
        match status {
            200..=299 => Outcome::Done,
            400..=499 => Outcome::Refused,
            _ => Outcome::Unknown,
        }
    }
}

/// Tokens of an engine's memory that can be counted on.
pub fn free_tokens(speed: &Speed, total: &Total) -> u64 {
    // Token counts are far below the precision of an `f64`.
    let counted = (speed.memory as f64 * USABLE_FRACTION) as u64;
    counted.saturating_sub(total.memory)
}

/// What is set aside for a prompt that needs so many tokens with its answer.
pub const fn padded(needed: u64) -> u64 {
    needed + PADDING_TOKENS
}

/// What is set aside on the engine that answers, which has so much free, for its share
/// of a prompt. Nothing where as much again would fit beside it: prompts of several
/// hosts that come at the same moment all fit, and a stream without memory of its name
/// doesn't depend on renewals that may be lost.
pub fn answering_share(place: usize, free: u64, tokens: u64) -> Option<Share> {
    let is_scarce = free < tokens * 2;
    (is_scarce && tokens > 0).then_some(Share { place, tokens })
}

/// Spreads `needed` tokens over the engine that answers, given as `own` with what it
/// has free, and as few others as possible, given in the same way. The share of the
/// one that answers comes first, if it has one ([`answering_share`]). None if all of them
/// together have too little.
pub fn distribute(needed: u64, own: (usize, u64), others: &[(usize, u64)]) -> Option<Vec<Share>> {
    let needed = padded(needed);
    let mut others = others.to_vec();
    others.sort_by_key(|(_, free)| Reverse(*free));
    let mut held = own.1;
    let mut count = 0;
    while held < needed {
        held += others.get(count)?.1;
        count += 1;
    }
    others.truncate(count);
    // Those with the least free take what they have, the others the rest in
    // even parts. Among equals the one that answers takes the smallest part.
    let mut members: Vec<(usize, u64)> = others.into_iter().chain([own]).collect();
    members.sort_by_key(|(_, free)| *free);
    let mut rest = needed;
    let mut left = members.len() as u64;
    let mut shares = Vec::with_capacity(members.len());
    for (place, free) in members {
        let tokens = rest.div_ceil(left).min(free);
        rest -= tokens;
        left -= 1;
        shares.extend(match place == own.0 {
            true => answering_share(place, free, tokens),
            false => (tokens > 0).then_some(Share { place, tokens }),
        });
    }
    // Stable: the others stay in their order.
    shares.sort_by_key(|share| share.place != own.0);
    Some(shares)
}
