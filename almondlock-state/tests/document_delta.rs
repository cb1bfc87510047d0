//! A delta must reproduce the new text byte for byte, and apply only to the version that it
//! was computed for: a host that applied it to another version would act on a text that
//! nobody published.

use almondlock_state::document::{Delta, Document, Mismatch, Piece, Run, Shape};
use yare::parameterized;

fn document(version: u64, text: &str) -> Document {
    Document::new(version, text.split_inclusive(',').map(Piece::from))
}

#[parameterized(
    unchanged = { "a,b,c,", "a,b,c,", 0 },
    added = { "a,b,c,", "a,b,c,d,", 1 },
    removed = { "a,b,c,", "a,c,", 0 },
    replaced = { "a,b,c,", "a,x,c,", 1 },
    moved = { "a,b,c,", "c,a,b,", 0 },
    doubled = { "a,a,b,a,", "a,b,a,a,", 0 },
    from_nothing = { "", "a,b,", 2 },
    to_nothing = { "a,b,", "", 0 },
)]
fn same_text(old: &str, new: &str, inserted: usize) {
    let (old, new) = (document(1, old), document(2, new));
    let delta = Delta::between(&old, &new);
    let written = serde_json::to_vec(&delta).unwrap();
    let read: Delta = serde_json::from_slice(&written).unwrap();
    let made = read.apply(&old).unwrap();
    assert_eq!((made.text(), &made), (new.text(), &new));
    let count = |run: &Run| match run {
        Run::Insert(pieces) => pieces.len(),
        Run::Keep { .. } => 0,
    };
    assert_eq!(delta.runs.iter().map(count).sum::<usize>(), inserted);
}

#[test]
fn other_base() {
    let delta = Delta::between(&document(1, "a,b,"), &document(2, "a,c,"));
    let expected = Mismatch::Version {
        expected: 1,
        found: 3,
    };
    assert_eq!(delta.apply(&document(3, "a,b,")), Err(expected));
    let damaged = Delta {
        runs: vec![Run::Keep {
            from: 1,
            count: usize::MAX,
        }],
        ..delta
    };
    assert_eq!(
        damaged.apply(&document(1, "a,b,")),
        Err(Mismatch::Pieces(2))
    );
}

/// A process that got the base from an earlier release holds it as one piece, in which the
/// indices of a delta mean other texts.
#[test]
fn other_shape() {
    let base = document(1, "a,b,");
    let delta = Delta::between(&base, &document(2, "a,c,"));
    let whole = base.into_single_piece();
    assert_eq!(delta.apply(&whole), Err(Mismatch::Shape(Shape::of(&whole))));
}

/// The indices in a delta must mean the same pieces before and after a restart, which
/// doesn't restore empty pieces.
#[test]
fn no_empty_pieces() {
    let pieces = ["", "a,", "", "b,", ""].map(Piece::from);
    let written = serde_json::to_string(&Document::new(1, pieces)).unwrap();
    let read: Document = serde_json::from_str(&written).unwrap();
    assert_eq!(read, document(1, "a,b,"));
    assert_eq!(Document::whole(1, ""), Document::new(1, []));
}

/// Guards against a damaged delta that is read as another one.
#[parameterized(
    text_too_long = { r#""cuts":[2]"#, r#""cuts":[1]"# },
    text_too_short = { r#""cuts":[2]"#, r#""cuts":[3]"# },
    no_text = { r#""insert":1"#, r#""insert":2"# },
    surplus = { r#""cuts":[2]"#, r#""cuts":[2,0]"# },
    other_letter = { r#""text":"x,""#, r#""text":"ä,""# },
)]
fn damaged(old: &str, new: &str) {
    let delta = Delta::between(&document(1, "a,b,c,"), &document(2, "a,x,c,"));
    let written = serde_json::to_string(&delta).unwrap();
    let damaged = written.replace(old, new);
    assert_ne!(written, damaged, "{written}");
    assert!(serde_json::from_str::<Delta>(&damaged).is_err());
}

/// A serialised document keeps its pieces, and damaged piece lengths lose none of its text.
#[test]
fn pieces_kept() {
    let whole = document(4, "a,ä,c,");
    let written = serde_json::to_string(&whole).unwrap();
    let read: Document = serde_json::from_str(&written).unwrap();
    assert_eq!(read, whole);
    let damaged = written.replace("[2,3]", "[2,2,90]");
    let read: Document = serde_json::from_str(&damaged).unwrap();
    assert_eq!(read.text(), whole.text());
}
