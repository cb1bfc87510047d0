//! Whether a configuration is in force at every host in time, and no older one.

use almondlock_base::Code;

use super::{Bounds, History, Kind, Outcome};
use crate::soak::{history::Request, plan::Act};

/// A request sent so long after a version was acknowledged is handled as that version, or a
/// later one, allows: the route that each version alone has answers from then on, and those of
/// older versions don't. A host that says it isn't ready for the route lacks the version too.
/// Hosts that were disturbed, and times in which replicas were, don't
/// count.
pub(super) fn in_force(history: &History, bounds: &Bounds) -> Vec<String> {
    let requests = history.requests.iter();
    let found = requests.filter_map(|request| {
        let Kind::Version(version) = request.kind else {
            return None;
        };
        let newest = newest(history, request.sent, bounds)?;
        let is_unknown = match request.outcome {
            Outcome::Status(404) => true,
            Outcome::Status(503) => request.code == Some(Code::NotReady.number()),
            _ => false,
        };
        let is_wrong = match request.outcome {
            Outcome::Status(200) => version < newest,
            // A later version that was sent may be in force before it is acknowledged.
            _ => is_unknown && version == newest && !is_replaced(history, version, request),
        };
        let is_counted = is_wrong && !is_out_of_touch(history, request, bounds);
        is_counted.then(|| {
            format!(
                "request {} of {} ms to version {version}: {:?} of host {}; version {newest} was acknowledged",
                request.id, request.sent, request.outcome, request.host
            )
        })
    });
    found.collect()
}

/// The newest version that must be in force at a moment.
fn newest(history: &History, at: u64, bounds: &Bounds) -> Option<u64> {
    let publications = history.publications.iter();
    let due = publications.filter(|publication| {
        let acknowledged = publication.acknowledged;
        acknowledged.is_some_and(|known| known + bounds.apply < at)
    });
    due.map(|publication| publication.version).max()
}

/// Whether a later version was sent before a request had ended.
fn is_replaced(history: &History, version: u64, request: &Request) -> bool {
    let mut later = history.publications.iter();
    later.any(|publication| publication.version > version && publication.sent < request.ended)
}

fn is_out_of_touch(history: &History, request: &Request, bounds: &Bounds) -> bool {
    let mut faults = history.faults.iter();
    faults.any(|fault| {
        let touches = match fault.act {
            Act::KillHost(n) | Act::FreezeHost(n) | Act::StopHost(n) => n == request.host,
            act => act.replica().is_some(),
        };
        touches && fault.at <= request.ended && request.sent < fault.end() + bounds.contact
    })
}
