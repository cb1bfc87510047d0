//! A sidecar dies with an attempt in its queue or on its engine and comes back.
//! The entry host asks the new process to settle that attempt. The new process
//! knows nothing of it: the caller must be told "unknown", never "not run". A
//! call that reaches the new process but was meant for the old one is refused.

#![cfg(test)]

use almondlock_base::{
    Code, Ran,
    id::{Attempt, Host, Incarnation},
    time::Mono,
};
use almondlock_policy::gate::{Action, Config, Gate, Settlement};

fn attempt() -> Attempt {
    Attempt {
        host: Host::new("entry-1").unwrap(),
        incarnation: Incarnation(1),
        counter: 1,
    }
}

#[test]
fn successor_does_not_vouch_for_its_predecessor() {
    let now = Mono::from_millis(1);
    let mut first = Gate::new(Config::default(), Incarnation(1));
    first.admit(&attempt(), Incarnation(1), now, now).unwrap();
    first.start(&attempt()).unwrap();
    drop(first);
    let mut second = Gate::new(Config::default(), Incarnation(2));
    let settled = second.settle(&attempt(), Incarnation(1), now);
    let unknown = Settlement {
        ran: Ran::Unknown,
        action: Action::None,
    };
    assert_eq!(settled, unknown);
}

#[test]
fn call_meant_for_another_life_is_refused() {
    let now = Mono::from_millis(1);
    let mut gate = Gate::new(Config::default(), Incarnation(2));
    let refusal = gate
        .admit(&attempt(), Incarnation(1), now, now)
        .unwrap_err();
    assert_eq!(refusal.code, Code::StaleIncarnation);
    // Nothing was noted: the same attempt meant for this life may come.
    assert!(gate.is_empty());
}
