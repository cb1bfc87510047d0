//! All new connections go to one entry host.

use super::{Bounds, is_calm};
use crate::soak::{
    history::{History, Kind, Outcome},
    plan::Act,
};

/// Milliseconds before, with which the time is compared.
const BEFORE: u64 = 3_000;
/// The fewest requests in that time for a comparison.
const COMPARED: usize = 20;

/// While all new connections go to one host, requests are served three quarters as often as
/// before at least, once it had time to react. Counts where nothing unplanned went on.
pub(super) fn aimed(history: &History, bounds: &Bounds) -> Vec<String> {
    let aims = history
        .faults
        .iter()
        .filter(|f| matches!(f.act, Act::Aim(_)));
    let spans = aims.filter_map(|fault| {
        let before = (fault.at.saturating_sub(BEFORE), fault.at);
        let after = (fault.at + bounds.contact, fault.end());
        let is_long = after.1 > after.0;
        (is_long && is_calm(history, (before.0, after.1), bounds)).then_some((before, after))
    });
    let found = spans.filter_map(|(before, after)| {
        let (earlier, later) = (served(history, before), served(history, after));
        let (before_span, after_span) = (before.1 - before.0, after.1 - after.0);
        let rate = |count: usize, span: u64| count as f64 * 1e3 / span as f64;
        let (old, new) = (rate(earlier, before_span), rate(later, after_span));
        (earlier >= COMPARED && new < old * 0.75).then(|| {
            format!(
                "{new:.0} requests a second served while all connections go to one host, from \
                 {} ms on, {old:.0} before",
                after.0
            )
        })
    });
    found.collect()
}

/// How many requests of usual kinds that were sent in this time were served.
fn served(history: &History, (from, to): (u64, u64)) -> usize {
    let served = history.requests.iter().filter(|request| {
        let is_usual = matches!(request.kind, Kind::Safe | Kind::Unsafe | Kind::Short);
        is_usual && (from..to).contains(&request.sent) && request.outcome == Outcome::Status(200)
    });
    served.count()
}
