//! A published configuration is read back as it was sent. An older version that is sent again,
//! or another text with the same version, changes nothing, because processes have acted on the
//! first one.

use almondlock_base::time::Wall;
use almondlock_state::{
    command::{Command, Reply},
    document::{Document, Publication},
    machine::Machine,
};

fn publish(version: u64, text: &str) -> Command {
    Command::Publish {
        publication: Publication::Whole(Document::whole(version, text)),
        at: Wall::from_millis(1),
    }
}

fn held(machine: &Machine) -> (u64, String) {
    let document = machine.config().document.as_ref().unwrap();
    (document.version, document.text())
}

#[test]
fn highest_counts() {
    let mut machine = Machine::new();
    for (version, text, expected) in [
        (3, "three", (3, "three")),
        (2, "two", (3, "three")),
        (3, "other", (3, "three")),
        (9, "nine", (9, "nine")),
        (3, "three", (9, "nine")),
    ] {
        let applied = machine.apply(publish(version, text));
        assert!(matches!(applied.reply, Reply::Accepted { .. }));
        assert_eq!(held(&machine), (expected.0, expected.1.to_owned()));
    }
}

#[test]
fn unchanged_text() {
    let text = "{\"a\": \"\\u00e4 \\\" \",\n \"b\":1e3}";
    let mut machine = Machine::new();
    machine.apply(publish(1, text));
    let restored = Machine::restore(&machine.snapshot()).unwrap();
    assert_eq!(held(&restored), (1, text.to_owned()));
}

#[test]
fn overtaken_is_silent() {
    let mut machine = Machine::new();
    machine.apply(publish(5, "five"));
    let before = machine.config().revision;
    assert!(machine.apply(publish(4, "four")).changes.is_empty());
    assert_eq!(machine.config().revision, before);
}
