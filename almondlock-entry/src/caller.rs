//! What a caller's headers say.
//!
//! A header that decides something may stand once only: a proxy on the way and
//! this host might otherwise read different ones, and a request be counted
//! under one key and run under another.

use std::time::Duration;

use almondlock_base::{Code, Ran, id};
use almondlock_policy::deadline::Bounds;
use almondlock_state::config::{Config, Organisation};
use ntex::http::HeaderMap;

use crate::{failure::Failure, shared::Directory};

/// The longest idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;

/// Headers that may stand once.
const SINGLE: [&str; 7] = [
    "authorization",
    "idempotency-key",
    "x-almondlock-repeatable",
    "x-almondlock-deadline-ms",
    "traceparent",
    "content-type",
    "content-length",
];

/// Who calls, and how the request is to be treated.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The organisation that the key names.
    pub organisation: id::Organisation,
    /// Its entry in the configuration.
    pub limits: Organisation,
    /// The idempotency key, if one was given.
    pub key: Option<String>,
    /// What the caller says about repeating, if anything.
    pub repeatable: Option<bool>,
    /// Time allowed from arrival.
    pub allowed: Duration,
    /// The trace context that came with it.
    pub traceparent: Option<String>,
}

/// Reads a caller's headers.
///
/// # Errors
///
/// A numbered refusal; nothing ran.
pub fn read(
    headers: &HeaderMap,
    config: &Config,
    directory: &Directory,
) -> Result<Caller, Failure> {
    for name in SINGLE {
        if headers.get_all(name).count() > 1 {
            let message = format!("the header {name} stands more than once");
            return Err(Failure::with_message(Code::DoubledHeader, message));
        }
    }
    let (organisation, limits) = authenticate(headers, config, directory)?;
    let allowed = deadline(headers, &limits)?;
    Ok(Caller {
        organisation,
        limits,
        key: key(headers)?,
        repeatable: repeatable(headers)?,
        allowed,
        traceparent: text(headers, "traceparent")?.map(str::to_owned),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let bad = || Failure::with_message(Code::BadHeader, format!("the header {name} is not text"));
    value.to_str().map(Some).map_err(|_| bad())
}

fn authenticate(
    headers: &HeaderMap,
    config: &Config,
    directory: &Directory,
) -> Result<(id::Organisation, Organisation), Failure> {
    let missing = || Failure::new(Code::Unauthenticated);
    let value = text(headers, "authorization")?.ok_or_else(missing)?;
    let key = value.strip_prefix("Bearer ").ok_or_else(missing)?;
    // Hashes are looked up, not keys: how long it takes tells nothing of a key.
    let hash = blake3::hash(key.as_bytes()).to_hex();
    let name = directory.owner(&hash).ok_or_else(missing)?;
    let organisation = config.organisations.get(name).ok_or_else(missing)?;
    Ok((name.clone(), organisation.clone()))
}

fn deadline(headers: &HeaderMap, limits: &Organisation) -> Result<Duration, Failure> {
    let bounds = Bounds {
        default_ms: limits.deadline,
        limit_ms: limits.deadline_limit,
    };
    let value = text(headers, "x-almondlock-deadline-ms")?;
    bounds.parse(value).map_err(|code| {
        let limit = bounds.limit_ms;
        let message = format!("X-Almondlock-Deadline-Ms must be a number from 1 to {limit}");
        Failure::with_message(code, message)
    })
}

fn key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    let Some(value) = text(headers, "idempotency-key")? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > KEY_LIMIT {
        let message = format!("Idempotency-Key must have 1 to {KEY_LIMIT} bytes");
        return Err(Failure::with_message(Code::BadHeader, message).ran(Ran::No));
    }
    Ok(Some(value.to_owned()))
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, Failure> {
    match text(headers, "x-almondlock-repeatable")? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(Failure::with_message(
            Code::BadHeader,
            "X-Almondlock-Repeatable must be true or false",
        )),
    }
}
