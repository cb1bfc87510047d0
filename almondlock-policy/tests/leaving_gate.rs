//! Guards against work that a leaving upstream keeps or starts. An operator drains an
//! upstream, and an entry host that is cut off from the control plane goes on sending
//! there. The sidecar must refuse what comes and give back what waits, provably not run, so
//! that also a request that may not be repeated can go elsewhere. Running work is left to
//! end.

#![cfg(test)]

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Host, Incarnation},
    time::Mono,
};
use almondlock_policy::gate::{Action, Config, Gate, Refusal};

const LIFE: Incarnation = Incarnation(3);

fn attempt(counter: u64) -> Attempt {
    Attempt {
        host: Host::new("entry-1").unwrap(),
        incarnation: Incarnation(1),
        counter,
    }
}

#[test]
fn queued_given_back() {
    let now = Mono::from_millis(5);
    let deadline = Mono::from_millis(60_000);
    let mut gate = Gate::new(Config::default(), LIFE);
    for counter in 1..=3 {
        gate.admit(&attempt(counter), LIFE, deadline, now).unwrap();
    }
    gate.start(&attempt(1)).unwrap();
    assert_eq!(gate.set_leaving(true, now), [attempt(2), attempt(3)]);
    assert!(gate.start(&attempt(2)).is_err());
    assert_eq!(gate.settle(&attempt(2), LIFE, now).ran, Ran::No);
    assert_eq!(gate.settle(&attempt(1), LIFE, now).action, Action::Cancel);
}

#[test]
fn refusal_stays_final() {
    let now = Mono::from_millis(5);
    let deadline = Mono::from_millis(60_000);
    let mut gate = Gate::new(Config::default(), LIFE);
    gate.set_leaving(true, now);
    let refusal = gate.admit(&attempt(1), LIFE, deadline, now);
    let leaving = Refusal {
        code: Code::UpstreamLeaving,
        ran: Ran::No,
    };
    assert_eq!(refusal, Err(leaving));
    gate.set_leaving(false, now);
    // The caller was told "not run" and may have gone elsewhere.
    assert!(gate.admit(&attempt(1), LIFE, deadline, now).is_err());
    assert_eq!(gate.admit(&attempt(2), LIFE, deadline, now), Ok(()));
}
