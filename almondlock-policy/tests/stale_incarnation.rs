//! Guards against a false "not run" after a sidecar was restarted with an attempt in its
//! queue or on its engine. The entry host asks the new process to settle that attempt. The
//! new process knows nothing of it, so its answer must be "unknown". A call that was meant
//! for the old process must be refused.

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
fn successor_answers_unknown() {
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
fn stale_call_refused() {
    let now = Mono::from_millis(1);
    let mut gate = Gate::new(Config::default(), Incarnation(2));
    let refusal = gate
        .admit(&attempt(), Incarnation(1), now, now)
        .unwrap_err();
    assert_eq!(refusal.code, Code::StaleIncarnation);
    // Nothing was recorded: the same attempt may still come, meant for this life.
    assert!(gate.is_empty());
}
