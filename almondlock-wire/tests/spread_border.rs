//! Reports and deltas come back as they were sent, and bad ones are refused.

use std::time::Duration;

use almondlock_base::{
    id::{Host, Incarnation},
    unit::Revision,
};
use almondlock_wire::{
    almondlock_capnp::{delta, spread},
    peer::Peer,
    spread::{Body, Delta, Fetch, Member, Piece, Process, Report, Standing, Want},
};
use capnp::message::Builder;
use yare::parameterized;

fn peer(host: &str) -> Peer {
    Peer {
        host: Host::new(host).unwrap(),
        incarnation: Incarnation(u64::MAX - 1),
        version: 1,
        revision: Revision(9),
    }
}

#[parameterized(
    after = { Want::After(Revision(7)) },
    from_the_start = { Want::Snapshot(Revision(8), 0) },
    onwards = { Want::Snapshot(Revision(8), 65_536) },
    nothing = { Want::Nothing },
)]
fn fetches(want: Want) {
    let fetch = Fetch {
        want,
        report: Report {
            from: peer("a"),
            lowest: Revision(3),
            processes: 12,
            laggards: vec![peer("b"), peer("c")],
            joined: vec![Member::parse("d 00000000000000ff 10.0.0.1:7 d1 r1").unwrap()],
            left: vec![Process::of(&peer("e"))],
        },
        wait: Duration::from_micros(1_500),
    };
    let mut message = Builder::new_default();
    fetch.write(message.init_root::<spread::fetch_params::Builder<'_>>());
    let read = Fetch::read(message.get_root_as_reader().unwrap());
    assert_eq!(read.unwrap(), fetch);
}

#[parameterized(
    empty = { Body::Empty, Standing::Full(vec![]) },
    changes = { Body::Changes(Revision(4), vec![b"1".to_vec(), vec![]]), Standing::Served(Duration::ZERO, vec![]) },
    piece = {
        Body::Piece(Piece { revision: Revision(5), offset: 1, total: 3, data: b"xy".to_vec() }),
        Standing::Served(Duration::from_millis(3), vec!["[::1]:7".parse().unwrap(), "10.0.0.1:8".parse().unwrap()])
    },
    full = { Body::Empty, Standing::Full(vec!["10.0.0.1:8".parse().unwrap()]) },
    informed = {
        Body::Changes(Revision(4), vec![b"1".to_vec()]),
        Standing::Informed(Duration::from_millis(3), vec!["10.0.0.1:8".parse().unwrap()])
    },
)]
fn deltas(body: Body, standing: Standing) {
    let delta = Delta {
        body,
        newest: Revision(9),
        standing,
        from: peer("a"),
    };
    let mut message = Builder::new_default();
    delta.write(message.init_root::<delta::Builder<'_>>());
    let read = Delta::read(message.get_root_as_reader().unwrap());
    assert_eq!(read.unwrap(), delta);
}

#[parameterized(
    empty = { "" },
    bad_host = { "a! 1 10.0.0.1:7 d1 r1" },
    bad_life = { "a xyz 10.0.0.1:7 d1 r1" },
    bad_address = { "a 1 localhost:7 d1 r1" },
    no_region = { "a 1 10.0.0.1:7 d1" },
)]
fn bad_members(text: &str) {
    assert!(Member::parse(text).is_err());
}

/// A later version may say more to help its receiver; what this one doesn't
/// know it passes over.
#[test]
fn unknown_hints_are_passed_over() {
    let mut message = Builder::new_default();
    let mut delta = message.init_root::<delta::Builder<'_>>();
    peer("a").write(delta.reborrow().init_from());
    let mut parents = delta.init_parents(3);
    for (i, hint) in (0..).zip(["age 5", "load 7", "nonsense"]) {
        parents.set(i, hint);
    }
    let delta = Delta::read(message.get_root_as_reader().unwrap()).unwrap();
    let served = Standing::Served(Duration::from_micros(5), vec![]);
    assert_eq!(delta.standing, served);
}
