//! The daemon as separate processes, with faults from outside by a fixed plan: what callers,
//! upstreams and the operator see keeps every promise. Longer runs are started by hand
//! (docs/measuring.md).

use std::path::PathBuf;

use almondlock_bench::soak::{
    self,
    arguments::Setup,
    plan::{Act, Size},
    world::Plant,
};

fn setup(seed: u64, seconds: u64) -> Setup {
    Setup {
        seed,
        seconds,
        size: Size {
            hosts: 3,
            replicas: 3,
            upstreams: 9,
        },
        callers: 3,
        planned: false,
        orders: false,
        replace: false,
        pauses: false,
        load: false,
        crashing: false,
        parts: false,
        aim: false,
        retries: false,
        named: false,
        cuts_synced: false,
        without: Vec::new(),
        program: env!("CARGO_BIN_EXE_almondlockd").into(),
        keep: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        plant: None,
    }
}

/// Guards against promises that hold only while nothing fails at the same time.
#[test]
fn promises_kept() {
    let report = soak::run(&setup(1, 20)).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
    assert!(report.history.requests.len() > 500, "{report}");
    let broken = report.history.arrivals.iter().filter(|a| a.is_broken);
    assert!(broken.count() > 5, "{report}");
}

/// Guards against orders that hold only while nothing else happens: failure domains that are
/// evacuated, upstreams that start again cold under their names, all processes killed at once.
#[test]
fn orders_kept() {
    let setup = Setup {
        orders: true,
        planned: true,
        ..setup(1, 20)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
    assert!(!report.history.evacuations.is_empty(), "{report}");
}

/// Guards against pauses and leaving upstreams that are forgotten while other planned work
/// goes on.
#[test]
fn pauses_kept() {
    let setup = Setup {
        planned: true,
        pauses: true,
        ..setup(1, 15)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
    let mut arrivals = report.history.arrivals.iter();
    assert!(arrivals.any(|arrival| arrival.pause.is_some()), "{report}");
}

/// Guards against promises that hold only under a usual load: configurations in quick
/// succession, slow upstreams, and an organisation that sends as fast as it can.
#[test]
fn load_borne() {
    let setup = Setup {
        planned: true,
        load: true,
        ..setup(1, 15)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
}

/// Guards against a request that crashes one upstream after the other because no host knows
/// what it did to the others, and against others that are refused with it.
#[test]
fn crashing_bounded() {
    let setup = Setup {
        planned: true,
        crashing: true,
        ..setup(1, 10)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
}

/// Guards against one part of prompts that crashes one upstream after the other in requests of
/// which no two are alike, and against others that aren't served beside them.
#[test]
fn parts_bounded() {
    let mut setup = Setup {
        planned: true,
        parts: true,
        ..setup(1, 12)
    };
    setup.size.upstreams = 18;
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
    let mut arrivals = report.history.arrivals.iter();
    assert!(
        arrivals.any(|arrival| arrival.crashed.is_some()),
        "{report}"
    );
}

/// Guards against an entry host that serves less while all new connections go to it.
#[test]
fn connections_aimed() {
    let setup = Setup {
        planned: true,
        aim: true,
        ..setup(1, 12)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
}

/// Guards against retries that pile up while entry hosts are restarted, since each start of
/// a host forgets what it spent before.
#[test]
fn retries_bounded() {
    let setup = Setup {
        planned: true,
        retries: true,
        callers: 6,
        ..setup(2, 15)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
    assert!(
        report.retries.iter().all(|(_, worst)| worst.made > 5),
        "{report}"
    );
}

fn replaced(seed: u64) {
    let setup = Setup {
        planned: true,
        replace: true,
        ..setup(seed, 12)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
}

/// Guards against a group that has no leader for good after a replica was replaced at another
/// address, as planned, and another disk was lost.
#[test]
fn move_borne() {
    replaced(3);
}

/// The same after a replica went without notice and others changed places as leader.
#[test]
fn replacement_borne() {
    replaced(8);
}

fn planted(plant: Plant, seed: u64) -> Setup {
    Setup {
        planned: true,
        orders: matches!(plant, Plant::Elsewhere | Plant::Warm),
        pauses: plant == Plant::Curt,
        plant: Some(plant),
        ..setup(seed, 12)
    }
}

fn finds(plant: Plant, check: &str, seed: u64) {
    let report = soak::run(&planted(plant, seed)).unwrap();
    let mut found = report.findings.iter();
    assert!(found.any(|finding| finding.check == check), "{report}");
}

/// A soak that finds nothing might look at nothing: upstreams that run calls twice, count by a
/// hundredth of the limit that they name, tell another failure domain than theirs, or don't
/// say that they are cold, are found.
#[test]
fn planted_found() {
    finds(Plant::Twice, "once", 7);
    finds(Plant::Hundredth, "limit", 7);
    finds(Plant::Elsewhere, "evacuated", 7);
    finds(Plant::Warm, "cold", 9);
}

/// So are streams that end before their last event and are framed as complete.
#[test]
fn short_found() {
    finds(Plant::Short, "whole", 7);
}

/// So are upstreams that want a pause and name none, or leave and don't say so.
#[test]
fn asked_found() {
    finds(Plant::Curt, "pause", 7);
    finds(Plant::Quiet, "leaving", 7);
}

/// Guards against a part of a host that ends alone, so that no later configuration comes into
/// force there: upstreams name limits, pauses and that they leave while they start again.
#[test]
fn named_restarts() {
    let setup = Setup {
        planned: true,
        named: true,
        ..setup(1, 15)
    };
    let report = soak::run(&setup).unwrap();
    println!("{report}");
    assert!(report.findings.is_empty(), "{report}");
    let mut faults = report.faults.iter();
    assert!(
        faults.any(|fault| matches!(fault.act, Act::Restart(_))),
        "{report}"
    );
}
