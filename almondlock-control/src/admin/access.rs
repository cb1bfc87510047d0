//! Who asks, and whether they may.

use almondlock_base::Code;
use almondlock_state::{
    api::Problem,
    machine::Machine,
    operator::{Role, hash_key},
};
use ntex::{http::header::AUTHORIZATION, web::HttpRequest};

/// The longest key that is looked at.
const KEY_BYTES: usize = 512;

/// The hash of the bearer key that came with a request.
///
/// Only the hash goes further, so that the key can't get into logs; and hashes
/// are what is compared, so that the time it takes tells nothing of the key.
pub(super) fn key(request: &HttpRequest) -> Result<String, Problem> {
    let mut given = request.headers().get_all(AUTHORIZATION);
    let value = given.next().ok_or(Code::Unauthenticated)?;
    if given.next().is_some() {
        return Err(Code::DoubledHeader.into());
    }
    let text = value.to_str().map_err(|_| Code::BadHeader)?;
    let (scheme, key) = text.split_once(' ').ok_or(Code::Unauthenticated)?;
    let fits = scheme.eq_ignore_ascii_case("bearer") && (1..=KEY_BYTES).contains(&key.len());
    if !fits {
        return Err(Code::Unauthenticated.into());
    }
    Ok(hash_key(key.trim()))
}

/// The name of the operator whose key it is, if the role suffices.
pub(super) fn check(machine: &Machine, key: &str, least: Role) -> Result<String, Problem> {
    let (name, operator) = machine
        .tables()
        .find_operator(key)
        .ok_or(Code::Unauthenticated)?;
    if operator.role < least {
        let message = format!("this needs role {least}; {name} is {}", operator.role);
        return Err(Problem::new(Code::Forbidden, message));
    }
    Ok(name.to_owned())
}
