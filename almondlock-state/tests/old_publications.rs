//! Compatibility with all forms in which publications were ever stored: whole as plain text,
//! whole and compressed, in pieces, and as deltas. Guards against replicas that can't read
//! what an earlier release wrote, or hold another text after a restart.

use almondlock_base::time::Wall;
use almondlock_state::{
    command::Command,
    document::{Document, Piece, Publication},
    machine::Machine,
};
use proptest::{
    prelude::{ProptestConfig, prop, proptest},
    test_runner::RngSeed,
};

/// A command as release 0.1.0 wrote it.
const PLAIN: &str =
    r#"{"command":"publish","document":{"version":1,"text":"as it \"was\" ä"},"at":7}"#;
/// 6,000 times the letter a, deflated.
const PACKED: &str = r#"{"command":"publish","document":{"version":2,"text":{"packed":"7dDBAAAAAAMh1vOXGMS+hVBhwIABAwYMGDBgwIABAwYMGDBgwIABAwYMvAMD"}},"at":8}"#;

fn read(machine: &Machine) -> (u64, String) {
    let document = machine.config().document.as_ref().unwrap();
    (document.version, document.text())
}

fn log(publication: Publication) -> Vec<u8> {
    let at = Wall::from_millis(9);
    Command::Publish { publication, at }.to_bytes().unwrap()
}

fn replay<'a, L>(log: L) -> Machine
where
    L: IntoIterator<Item = &'a [u8]>,
{
    let mut machine = Machine::new();
    for entry in log {
        machine.apply(Command::from_slice(entry).unwrap());
    }
    machine
}

#[test]
fn plain() {
    let machine = replay([PLAIN.as_bytes()]);
    assert_eq!(read(&machine), (1, "as it \"was\" ä".to_owned()));
    let Command::Publish { publication, at } = Command::from_slice(PLAIN.as_bytes()).unwrap()
    else {
        panic!("another command");
    };
    let written = Command::Publish { publication, at }.to_bytes().unwrap();
    assert_eq!(written, PLAIN.as_bytes());
}

#[test]
fn packed() {
    let machine = replay([PLAIN.as_bytes(), PACKED.as_bytes()]);
    assert_eq!(read(&machine), (2, "a".repeat(6_000)));
}

/// A log that begins with the old form and continues with deltas.
#[test]
fn old_and_new() {
    let cut = |version, text: &str| {
        let pieces = text.split_inclusive(',').map(Piece::from);
        Document::new(version, pieces)
    };
    let (third, fourth) = (
        cut(3, &"0123456789,".repeat(100)),
        cut(4, &format!("{}x,", "0123456789,".repeat(100))),
    );
    let delta = Publication::of(Some(&third), fourth.clone());
    assert!(matches!(delta, Publication::Delta(_)));
    let entries = [
        PLAIN.as_bytes().to_vec(),
        PACKED.as_bytes().to_vec(),
        log(Publication::Whole(cut(3, &third.text()))),
        log(delta),
    ];
    let machine = replay(entries.iter().map(Vec::as_slice));
    assert_eq!(read(&machine), (4, fourth.text()));
    let restored = Machine::restore(&machine.snapshot()).unwrap();
    assert_eq!(restored, machine);
}

/// A snapshot of release 0.1.0 has the text in one piece, so the next publication is whole.
#[test]
fn old_snapshot() {
    let snapshot = r#"{"format":1,"machine":{"tables":{"config":{"revision":4,
        "document":{"version":7,"text":"a,b,c,"}}}}}"#;
    let mut machine = Machine::restore(snapshot.as_bytes()).unwrap();
    let new = Document::new(8, ["a,", "b,", "d,"].map(Piece::from));
    let publication = Publication::of(machine.config().document.as_ref(), new.clone());
    assert_eq!(publication, Publication::Whole(new));
    machine.apply(Command::from_slice(&log(publication)).unwrap());
    assert_eq!(read(&machine), (8, "a,b,d,".to_owned()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any edits, a replica that restarted from a snapshot in between holds the same
    /// state as one that did not, with the published text.
    #[test]
    fn restarted(
        edits in prop::collection::vec(
            (prop::collection::vec((0..40_usize, 0..6_usize, 0..3_u8), 0..4), proptest::bool::ANY),
            1..20,
        ),
    ) {
        let words = ["", "a,", "b,", "ä,", "longer than the others,", "c\n"];
        let words = words.map(|word| word.repeat(20));
        let mut text = vec![words[4].clone(); 40];
        let (mut one, mut other) = (Machine::new(), Machine::new());
        let mut deltas = 0;
        for (n, (edits, restart)) in edits.iter().enumerate() {
            for (place, word, kind) in edits {
                let place = place % text.len();
                match kind {
                    0 => text[place] = words[*word].clone(),
                    1 => text.insert(place, words[*word].clone()),
                    _ => text.swap(0, place),
                }
            }
            let version = n as u64 + 1;
            let new = Document::new(version, text.iter().map(|word| Piece::from(&**word)));
            let publication = Publication::of(one.config().document.as_ref(), new.clone());
            deltas += usize::from(matches!(publication, Publication::Delta(_)));
            let entry = log(publication);
            let replies = [&mut one, &mut other].map(|machine| {
                machine.apply(Command::from_slice(&entry).unwrap())
            });
            assert_eq!(replies[0], replies[1]);
            assert_eq!(read(&one), (version, new.text()));
            if *restart {
                other = Machine::restore(&other.snapshot()).unwrap();
            }
            assert_eq!(one, other);
        }
        assert!(deltas * 2 >= edits.len() - 1, "{deltas} deltas");
    }
}
