//! Guards against wrong verdicts on passages of prompts that engines are lost with, judged with
//! the records that the replicas keep.

use almondlock_base::{
    id::{Fingerprint, Organisation},
    time::Wall,
};
use almondlock_policy::poison::passage::{Standing, blamed, prints, standing};
use almondlock_state::{command::Command, machine::Machine};

const NOW: Wall = Wall::from_millis(1_000_000_000);

struct Records {
    machine: Machine,
    organisation: Organisation,
}

impl Records {
    fn new() -> Records {
        Records {
            machine: Machine::new(),
            organisation: Organisation::new("acme").unwrap(),
        }
    }

    fn prints(&self, prefix: &[u64]) -> Vec<Fingerprint> {
        prints(&self.organisation, prefix)
    }

    fn standing(&self, prefix: &[u64]) -> Standing {
        let config = self.machine.config();
        standing(&self.prints(prefix), |print| config.quarantine(print), NOW)
    }

    /// Loses a prompt of which the records said this when it began to run.
    fn lose(&mut self, prefix: &[u64], known: Standing) {
        for (fingerprint, (upstream, incarnation)) in blamed(&self.prints(prefix), known) {
            self.machine.apply(Command::Blame {
                fingerprint,
                organisation: self.organisation.clone(),
                upstream,
                incarnation,
                at: NOW,
            });
        }
    }

    /// Loses prompts one after the other.
    fn lose_in_turn(&mut self, prefix: &[u64], times: usize) {
        for _ in 0..times {
            self.lose(prefix, self.standing(prefix));
        }
    }

    fn answer(&mut self, prefix: &[u64]) {
        for fingerprint in self.prints(prefix) {
            self.machine.apply(Command::Clear {
                fingerprint,
                organisation: self.organisation.clone(),
                at: NOW,
            });
        }
    }

    fn is_refused(&self, prefix: &[u64]) -> bool {
        matches!(self.standing(prefix), Standing::Refused(..))
    }
}

/// Guards against a passage that is never refused since another question follows each time, and
/// against prompts that are refused because they begin like it.
#[test]
fn longest_common() {
    let mut records = Records::new();
    records.lose_in_turn(&[1, 2, 3, 40], 1);
    records.lose_in_turn(&[1, 2, 3, 41], 1);
    assert!(!records.is_refused(&[1, 2, 3, 42]));
    records.lose_in_turn(&[1, 2, 3, 42], 1);
    assert!(records.is_refused(&[1, 2, 3, 43]));
    assert!(!records.is_refused(&[1, 2, 9]));
}

/// Guards against a passage that is refused because a failure domain was lost while many
/// prompts with it ran there.
#[test]
fn domain_lost() {
    let mut records = Records::new();
    let known = records.standing(&[1, 2]);
    for _ in 0..20 {
        records.lose(&[1, 2], known);
    }
    assert!(!records.is_refused(&[1, 2]));
    let known = records.standing(&[1, 2]);
    for _ in 0..20 {
        records.lose(&[1, 2], known);
    }
    assert!(!records.is_refused(&[1, 2]));
}

/// Guards against a passage with a single block that is refused after fewer deaths than others.
#[test]
fn single_block() {
    let mut records = Records::new();
    records.lose_in_turn(&[1], 2);
    assert!(!records.is_refused(&[1]));
    records.lose_in_turn(&[1], 1);
    assert!(records.is_refused(&[1]));
}

/// Guards against a harmless passage that is refused after chance losses.
#[test]
fn answered_between() {
    let mut records = Records::new();
    records.lose_in_turn(&[1, 2], 2);
    records.answer(&[1, 2]);
    assert_eq!(records.standing(&[1, 2]), Standing::Clear);
    records.lose_in_turn(&[1, 2], 2);
    assert!(!records.is_refused(&[1, 2]));
}

/// Guards against an organisation that has another one's passages refused.
#[test]
fn other_organisation() {
    let mut records = Records::new();
    records.lose_in_turn(&[1], 3);
    records.organisation = Organisation::new("bolt").unwrap();
    assert_eq!(records.standing(&[1]), Standing::Clear);
}
