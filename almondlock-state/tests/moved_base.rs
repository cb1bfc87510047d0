//! Guards against a delta that is applied to another version than its proposer had, which
//! would put a text in force that nobody published, and against replicas that make different
//! changes of the same log.

use almondlock_base::{Code, time::Wall};
use almondlock_state::{
    command::{Command, Reply},
    config::{Change, Config},
    document::{Document, Piece, Publication, Run},
    machine::{Applied, Machine},
};
use yare::parameterized;

/// Creates a document of eight pieces that stay the same, and one for each word.
fn document(version: u64, words: &str) -> Document {
    let fixed = (0..8).map(|n| format!("{{\"route\": {n}, \"padding\": \"{n:0100}\"}},\n"));
    let words = words.split_inclusive(' ').map(str::to_owned);
    let pieces: Vec<String> = fixed.chain(words).collect();
    Document::new(version, pieces.iter().map(|piece| Piece::from(&**piece)))
}

fn command(publication: Publication) -> Command {
    let at = Wall::from_millis(1);
    let command = Command::Publish { publication, at };
    // The command as it is read from the log.
    let bytes = command.to_bytes().unwrap();
    let read = Command::from_slice(&bytes).unwrap();
    assert_eq!(read, command);
    read
}

fn delta(base: &Document, new: &Document) -> Publication {
    let publication = Publication::of(Some(base), new.clone());
    assert!(matches!(publication, Publication::Delta(_)));
    publication
}

fn started() -> Machine {
    let mut machine = Machine::new();
    let applied = machine.apply(command(Publication::Whole(document(1, "a b "))));
    assert!(matches!(applied.changes[..], [(_, Change::Document(_))]));
    machine
}

fn held(machine: &Machine) -> &Document {
    machine.config().document.as_ref().unwrap()
}

#[test]
fn in_place() {
    let mut machine = started();
    let new = document(2, "a c ");
    let applied = machine.apply(command(delta(&document(1, "a b "), &new)));
    assert!(matches!(applied.reply, Reply::Accepted { .. }));
    assert!(matches!(applied.changes[..], [(_, Change::Delta(_))]));
    assert_eq!(held(&machine), &new);
}

/// Two operators publish deltas to version 1 at the same time.
#[test]
fn moved() {
    let mut machine = started();
    let base = document(1, "a b ");
    machine.apply(command(delta(&base, &document(2, "a c "))));
    let before = machine.clone();
    let third = document(3, "a b d ");
    let applied = machine.apply(command(delta(&base, &third)));
    let reply = Reply::BaseMoved { held: Some(2) };
    let changes = Vec::new();
    assert_eq!(applied, Applied { reply, changes });
    assert_eq!(machine, before);
    let applied = machine.apply(command(Publication::Whole(third.clone())));
    assert!(matches!(applied.reply, Reply::Accepted { .. }));
    assert_eq!(held(&machine), &third);
}

#[test]
fn nothing_published() {
    let mut machine = Machine::new();
    let applied = machine.apply(command(delta(&document(1, "a "), &document(2, "b "))));
    assert_eq!(applied.reply, Reply::BaseMoved { held: None });
    assert!(machine.config().document.is_none());
}

/// A publication that is sent again is acknowledged again, also after a later one and
/// whatever its base was. Another text with the version in force changes nothing.
#[parameterized(
    same = { 1, 2, "a c " },
    same_on_itself = { 2, 2, "a c " },
    other_text = { 1, 2, "a x " },
    older = { 2, 1, "a b " },
)]
fn sent_again(base: u64, version: u64, words: &str) {
    let mut machine = started();
    let (first, second) = (document(1, "a b "), document(2, "a c "));
    machine.apply(command(delta(&first, &second)));
    let before = machine.clone();
    let base = if base == 1 { first } else { second };
    let applied = machine.apply(command(delta(&base, &document(version, words))));
    assert!(matches!(applied.reply, Reply::Accepted { .. }));
    assert_eq!(machine, before);
}

/// The same version in another division into pieces can't come from the same log, so the
/// replica must report an error and not treat the delta as late.
#[test]
fn other_shape() {
    let base = document(1, "a b ");
    let mut machine = Machine::new();
    machine.apply(command(Publication::Whole(
        base.clone().into_single_piece(),
    )));
    let before = machine.clone();
    let applied = machine.apply(command(delta(&base, &document(2, "a c "))));
    assert_eq!(applied.reply.code(), Some(Code::StorageFailed));
    assert_eq!(machine, before);
}

/// A whole text, sent because the proposer lacked the base, is still distributed as a delta,
/// and unchanged pieces are not copied.
#[test]
fn whole_becomes_delta() {
    let mut machine = started();
    let first = held(&machine).clone();
    let mut config: Config = machine.config().clone();
    let applied = machine.apply(command(Publication::Whole(document(2, "a c "))));
    let [(_, change @ Change::Delta(made))] = &applied.changes[..] else {
        panic!("{:?}", applied.changes);
    };
    let inserted = made.runs.iter().filter(|run| matches!(run, Run::Insert(_)));
    assert_eq!(inserted.count(), 1);
    config.apply(change.clone()).unwrap();
    assert_eq!(&config, machine.config());
    for document in [held(&machine), config.document.as_ref().unwrap()] {
        let kept = document.pieces.iter().zip(first.pieces.iter()).take(9);
        assert!(kept.fold(true, |same, (new, old)| same && new.is_same(old)));
    }
}

/// Guards against a second copy of the text in memory after a replica that was behind has
/// restored a snapshot.
#[test]
fn restored_shares() {
    let earlier = started();
    let mut ahead = started();
    let delta = delta(&document(1, "a b "), &document(2, "a c "));
    ahead.apply(command(delta));
    let mut restored = Machine::restore(&ahead.snapshot()).unwrap();
    restored.share_document(&earlier);
    assert_eq!(restored, ahead);
    let pieces = held(&restored).pieces.iter();
    let pairs = pieces.zip(held(&earlier).pieces.iter());
    assert_eq!(pairs.filter(|(new, old)| new.is_same(old)).count(), 9);
}
