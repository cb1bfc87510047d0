//! Guards against a process that holds a copy of the whole text for each version, and against
//! a view that puts a text in force that was never published.

use almondlock_base::unit::Revision;
use almondlock_spread::view::View;
use almondlock_state::{
    config::{Change, Config},
    document::{Delta, Document, Piece},
};

fn document(version: u64, changed: u64) -> Document {
    let text = |n| match n {
        5 => format!("changed {changed} "),
        n => format!("route {n:050} "),
    };
    let texts: Vec<String> = (0..20).map(text).collect();
    Document::new(version, texts.iter().map(|text| Piece::from(&**text)))
}

fn held(view: &View) -> Document {
    view.get().document.clone().unwrap()
}

fn shared(one: &Document, other: &Document) -> usize {
    let pairs = one.pieces.iter().zip(other.pieces.iter());
    pairs.filter(|(one, other)| one.is_same(other)).count()
}

fn started() -> View {
    let view = View::new();
    assert!(view.extend(Revision(1), [Change::Document(Some(document(1, 1)))]));
    view
}

#[test]
fn by_delta() {
    let view = started();
    let before = held(&view);
    let delta = Delta::between(&before, &document(2, 2));
    assert!(view.extend(Revision(2), [Change::Delta(delta)]));
    assert_eq!(held(&view), document(2, 2));
    assert_eq!(shared(&before, &held(&view)), 19);
}

/// A process that missed changes receives the whole configuration. Unchanged pieces of its
/// text must stay shared.
#[test]
fn by_whole() {
    let view = started();
    let before = held(&view);
    let whole = Config {
        revision: Revision(9),
        document: Some(document(2, 2)),
        ..Config::default()
    };
    assert!(view.replace(whole));
    assert_eq!(held(&view), document(2, 2));
    assert_eq!(shared(&before, &held(&view)), 19);
}

/// A delta to a text that is not held must be refused with all changes after it; the changes
/// before it are applied.
#[test]
fn other_base() {
    let view = started();
    let missed = Delta::between(&document(2, 2), &document(3, 3));
    let setting = |name: &str| Change::Setting(name.to_owned(), Some(String::new()));
    let changes = [setting("a"), Change::Delta(missed), setting("b")];
    assert!(!view.extend(Revision(2), changes));
    assert_eq!(view.revision(), Revision(2));
    assert_eq!(view.get().revision, Revision(2));
    assert_eq!(held(&view), document(1, 1));
    assert_eq!(view.get().settings.len(), 1);
    let told = view.with_ring(|ring| ring.after(Revision(0), 10, 1 << 20));
    assert_eq!(told.unwrap().len(), 2);
}
