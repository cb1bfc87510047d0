//! Divides the memory of prompts that need more than one engine has free.
//!
//! **Load pattern.** The largest prompts need more memory than an engine has, and common
//! ones more than is left on an engine that holds another prompt. If they were sent all the
//! same, they would be rejected, wait for a stream to end, or stop a running one. So memory
//! is reserved before the prompt is sent: what the answering engine lacks on helpers that
//! read parts of the prompt anyway, and its own share too if there is no room for a second
//! one.
//!
//! **All or none.** Each share is requested without waiting, and all are released as soon
//! as one is refused. No request ever waits for memory while it holds some, so two requests
//! can't block each other, in whatever order they ask.
//!
//! **Even parts.** Each step of a stream reads the context of the largest part, so the
//! fewest engines that have the memory hold even parts of it.

use std::{cmp::Reverse, time::Duration};

use almondlock_policy::engine::Speed;

use crate::load::Total;

/// Fraction of an engine's memory that is counted on. The rest absorbs answers longer than
/// expected, and short prompts that other hosts sent meanwhile.
const USABLE_FRACTION: f64 = 0.94;

/// Tokens reserved in addition to the prompt's: an engine hands out memory in blocks, and
/// the last block of a request is seldom full.
const PADDING_TOKENS: u64 = 64;

/// Fraction of the lease duration after which a lease is renewed. One lost renewal can be
/// repeated before the lease expires.
pub const RENEWAL_FRACTION: f64 = 0.45;

/// Duration of a lease, as a fraction of the time for which memory may outlive its use. The
/// lease counts from the arrival of a command, which may be a renewal in transit when the
/// attempt ends. Of the usual 4 s, this leaves 1 s for the command's transit and for the
/// engine's own timer.
const LEASE_FRACTION: f64 = 0.75;

/// Returns the duration of a lease, if memory may outlive its use by `bound`.
pub fn lease_duration(bound: Duration) -> Duration {
    bound.mul_f64(LEASE_FRACTION)
}

/// Longest delay after which engines are known to carry out a command that they did not
/// answer.
pub const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(13);

/// How often memory that such a command may have reserved is released within that delay:
/// well within the time for which engines may keep it unused.
pub const LATE_RELEASE_INTERVAL: Duration = Duration::from_secs(2);

/// Memory reserved on one engine for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Index of the engine in the list of candidates.
    pub place: usize,
    /// Number of tokens.
    pub tokens: u64,
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Reserves memory or renews its lease.
    Reserve {
        /// Id of the reservation; requests that use the memory name it.
        id: &'a str,
        /// Number of tokens.
        tokens: u64,
        /// Duration of the lease.
        duration: Duration,
    },
    /// Releases memory.
    Release {
        /// Id of the reservation.
        id: &'a str,
    },
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine carried it out.
    Done,
    /// The engine refused it, and will not carry it out.
    Refused,
    /// Not known: the engine may still carry it out, seconds later.
    Unknown,
    /// The command never reached the engine, and will not be carried out.
    Unreached,
}

impl Outcome {
    /// Returns the result that a status stands for. Any refusal is definite.
    pub const fn from_status(status: u16) -> Outcome {
        match status {
            200..=299 => Outcome::Done,
            400..=499 => Outcome::Refused,
            _ => Outcome::Unknown,
        }
    }
}

/// Returns the tokens of an engine's memory that can be counted on.
pub fn free_tokens(speed: &Speed, total: &Total) -> u64 {
    // Token counts are far below the precision of an `f64`.
    let counted = (speed.memory as f64 * USABLE_FRACTION) as u64;
    counted.saturating_sub(total.memory)
}

/// Returns the tokens to reserve for a prompt that needs `needed` tokens including its
/// answer.
pub const fn padded(needed: u64) -> u64 {
    needed + PADDING_TOKENS
}

/// Returns the share that is reserved on the answering engine, which has `free` tokens.
/// There is none if as much again would fit beside it: prompts that several hosts send at
/// the same moment then all fit, and a stream without a reservation doesn't depend on
/// renewals that may be lost.
pub fn answering_share(place: usize, free: u64, tokens: u64) -> Option<Share> {
    let is_scarce = free < tokens * 2;
    (is_scarce && tokens > 0).then_some(Share { place, tokens })
}

/// Divides `needed` tokens between the answering engine and as few others as possible.
/// `own` and `others` give engines by index, with their free tokens. The share of the
/// answering engine comes first, if it has one ([`answering_share`]). Returns `None` if all
/// engines together have too little.
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
    // Engines with the least free memory give all they have, the others hold even parts of
    // the rest. Among equals the answering engine takes the smallest part.
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
    // The sort is stable, so the other engines keep their order.
    shares.sort_by_key(|share| share.place != own.0);
    Some(shares)
}
