//! The rank at an engine of a request whose organisation is over its share.

/// Returns the rank one behind `own`. Returns `own` itself if the demoted rank would equal that of
/// a less urgent kind, or be behind `last`.
///
/// `kind` is the rank of the request's kind alone, without its organisation's part. `kinds` has a
/// bit for the rank of each kind of the service.
pub fn demoted_rank(own: u32, kind: u32, kinds: u16, last: u32) -> u32 {
    let behind = own.saturating_add(1);
    let mut less_urgent = (kind + 1..u16::BITS).filter(|other| kinds & (1 << other) != 0);
    let reaches = less_urgent.next().is_some_and(|next| behind >= next);
    match behind > last || reaches {
        true => own,
        false => behind,
    }
}
