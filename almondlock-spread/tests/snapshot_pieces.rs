//! Tests that the pieces of a snapshot form a configuration of one revision, or none.

use std::net::SocketAddr;

use almondlock_base::{
    id::{Domain, Service, Upstream},
    unit::Revision,
};
use almondlock_spread::{
    snapshot::{Assembly, Encoding, MAX_PIECE_BYTES, MAX_SNAPSHOT_BYTES, Store},
    view::View,
};
use almondlock_state::{
    config::{Change, Config},
    instance::{Birth, Instance},
};
use almondlock_wire::{peer::VERSION, spread::Piece};

fn extend(view: &View, changes: u64) {
    let from = view.revision().0;
    let change = |n| Change::Setting(format!("setting-{}", from + n), Some("x".repeat(100)));
    assert!(view.extend(view.revision().next(), (0..changes).map(change)));
}

fn fetch(store: &mut Store, view: &View, assembly: &mut Assembly) -> Option<Config> {
    let (revision, offset) = assembly.next();
    let piece = store
        .piece(view, Encoding::Plain, revision, offset)
        .unwrap();
    assert!(piece.data.len() <= MAX_PIECE_BYTES);
    assembly.add(&piece).unwrap()
}

/// A configuration larger than a piece must arrive unchanged.
#[test]
fn pieces_make_the_whole() {
    let view = View::new();
    extend(&view, 3000);
    let (mut store, mut assembly) = (Store::new(), Assembly::new());
    let mut pieces = 1;
    let config = loop {
        match fetch(&mut store, &view, &mut assembly) {
            Some(config) => break config,
            None => pieces += 1,
        }
    };
    assert!(pieces > 4, "{pieces}");
    assert_eq!(config, *view.get());
}

/// Guards against a reader that starts again for ever because changes continue during the
/// transfer. While the ring reaches back to its snapshot, it gets the rest of that one.
#[test]
fn changes_meanwhile_dont_restart() {
    let view = View::new();
    extend(&view, 3000);
    let (mut store, mut assembly) = (Store::new(), Assembly::new());
    let whole = (0..100).find_map(|_| {
        extend(&view, 1);
        fetch(&mut store, &view, &mut assembly)
    });
    assert_eq!(whole.unwrap().revision, Revision(3001));
}

/// Guards against newcomers that receive an old configuration first and all later changes
/// after it. A new reader gets the one in force, and a reader in progress continues.
#[test]
fn newest_for_newcomers() {
    let view = View::new();
    extend(&view, 3000);
    let (mut store, mut begun) = (Store::new(), Assembly::new());
    assert!(fetch(&mut store, &view, &mut begun).is_none());
    extend(&view, 2000);
    let mut late = Assembly::new();
    let newest = (0..100).find_map(|_| fetch(&mut store, &view, &mut late));
    assert_eq!(newest.unwrap().revision, Revision(5000));
    let whole = (0..100).find_map(|_| fetch(&mut store, &view, &mut begun));
    assert_eq!(whole.unwrap().revision, Revision(3000));
}

/// Guards against a process that encodes a snapshot although it received the text.
#[test]
fn received_text_is_served() {
    let view = View::new();
    extend(&view, 3000);
    let (mut store, mut assembly) = (Store::new(), Assembly::new());
    let config = loop {
        let (revision, offset) = assembly.next();
        let piece = store
            .piece(&view, Encoding::Compressed, revision, offset)
            .unwrap();
        if let Some(config) = assembly.add(&piece).unwrap() {
            break config;
        }
    };
    let (below, mut next) = (View::new(), Store::new());
    let text = assembly.into_text();
    below.replace(config);
    next.insert_received(below.revision(), text.clone());
    assert_eq!(next.held_bytes(), text.len());
    let piece = next
        .piece(&below, Encoding::Compressed, Revision::ZERO, 0)
        .unwrap();
    assert_eq!(piece.data[..], text[..piece.data.len()]);
}

/// Guards against a mixture of two snapshots. The first is gone half-way, as the sender
/// missed changes itself and received a newer configuration.
#[test]
fn a_newer_snapshot_restarts() {
    let view = View::new();
    extend(&view, 3000);
    let (mut store, mut assembly) = (Store::new(), Assembly::new());
    assert!(fetch(&mut store, &view, &mut assembly).is_none());
    let newer = View::new();
    extend(&newer, 4000);
    assert!(view.replace((*newer.get()).clone()));
    let config = loop {
        if let Some(config) = fetch(&mut store, &view, &mut assembly) {
            break config;
        }
    };
    assert_eq!(config, *newer.get());
}

/// Guards against sending thousands of changes to the same item, which take many times the
/// bytes of a snapshot, and against a snapshot where a few changes take fewer bytes.
#[test]
fn the_shorter_is_chosen() {
    let view = View::new();
    extend(&view, 3000);
    let mut store = Store::new();
    assert!(
        !store
            .is_shorter(&view, Encoding::Plain, Revision(2999))
            .unwrap()
    );
    let again = |n| Change::Setting("same".into(), Some(format!("{n:0>200}")));
    view.extend(view.revision().next(), (0..5000).map(again));
    assert!(
        !store
            .is_shorter(&view, Encoding::Plain, Revision(7999))
            .unwrap()
    );
    assert!(
        store
            .is_shorter(&view, Encoding::Plain, Revision(3000))
            .unwrap()
    );
}

/// Guards against snapshots too large for a process with a slow link to send to a dozen
/// others in time: 3,000 instances must compress to less than a fifth.
#[test]
fn compresses_to_a_fifth() {
    let view = View::new();
    let instance = |n: u64| Instance {
        service: Service::new("models").unwrap(),
        address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 8080)),
        domain: Domain::new(&format!("domain-{}", n % 5)).unwrap(),
        slots: 10,
        leaving: false,
        birth: Birth(1_764_726_000_000 + n),
        cold: false,
    };
    let name = |n: u64| Upstream::new(&format!("i-{:010x}", n * 0x9e37_79b9)).unwrap();
    let change = |n| Change::Instance(name(n), Some(instance(n)));
    assert!(view.extend(Revision(1), (0..3_000).map(change)));
    let mut store = Store::new();
    let plain = store
        .piece(&view, Encoding::Plain, Revision::ZERO, 0)
        .unwrap();
    let compressed = store
        .piece(&view, Encoding::Compressed, Revision::ZERO, 0)
        .unwrap();
    assert!(
        compressed.total * 5 < plain.total,
        "{} {}",
        compressed.total,
        plain.total
    );
    let mut assembly = Assembly::new();
    let config = loop {
        let (revision, offset) = assembly.next();
        let piece = store
            .piece(&view, Encoding::Compressed, revision, offset)
            .unwrap();
        if let Some(config) = assembly.add(&piece).unwrap() {
            break config;
        }
    };
    assert_eq!(config, *view.get());
}

/// Guards against a compressed snapshot for an older process, which can't read it.
#[test]
fn older_reader() {
    assert_eq!(Encoding::for_version(1), Encoding::Plain);
    assert_eq!(Encoding::for_version(VERSION), Encoding::Compressed);
    let view = View::new();
    extend(&view, 1);
    let piece = Store::new().piece(&view, Encoding::for_version(1), Revision::ZERO, 0);
    assert_eq!(piece.unwrap().data[0], b'{');
}

/// Guards against a configuration made of pieces that are too large, out of order, empty or
/// not of the revision that they name.
#[test]
fn bad_pieces_are_refused() {
    let piece = |offset, total, data: &[u8]| Piece {
        revision: Revision(1),
        offset,
        total,
        data: data.to_vec(),
    };
    let mut begun = Assembly::new();
    assert!(begun.add(&piece(0, 10, b"xy")).unwrap().is_none());
    let mut other = piece(2, 10, b"x");
    other.revision = Revision(2);
    assert!(begun.add(&other).is_err());
    let refused = |piece| Assembly::new().add(&piece).is_err();
    assert!(refused(piece(0, MAX_SNAPSHOT_BYTES + 1, b"x")));
    assert!(refused(piece(5, 10, b"x")));
    assert!(refused(piece(0, 10, b"")));
    assert!(refused(piece(0, 1, b"xy")));
    assert!(refused(piece(0, 1, b"x")));
    // Neither JSON nor compressed.
    assert!(refused(piece(0, 4, b"\x78\x9cxx")));
    let other = br#"{"revision":7}"#;
    assert!(refused(piece(0, other.len() as u64, other)));
}
