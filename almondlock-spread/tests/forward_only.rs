//! Guards against a view that returns to an older revision, whatever it is given.

use almondlock_base::unit::Revision;
use almondlock_spread::view::View;
use almondlock_state::config::{Change, Config};
use proptest::{
    prelude::{ProptestConfig, Strategy, any, prop, proptest},
    test_runner::RngSeed,
};

fn change(n: u64) -> Change {
    Change::Setting("n".into(), Some(n.to_string()))
}

fn at(n: u64) -> Config {
    let mut config = Config::default();
    (1..=n).for_each(|n| config.apply(change(n)).unwrap());
    config
}

#[derive(Clone, Debug)]
enum Step {
    Extend(u64, u64),
    Replace(u64),
}

fn step() -> impl Strategy<Value = Step> {
    (any::<bool>(), 1..30_u64, 0..8_u64).prop_map(|(whole, first, count)| match whole {
        true => Step::Replace(first),
        false => Step::Extend(first, count),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Changes and whole configurations arrive duplicated, late, out of order and with
    /// gaps, from parents that hold different revisions. The configuration in force must
    /// always be one complete revision, and never a lower one than before.
    #[test]
    fn any_order(steps in prop::collection::vec(step(), 1..40)) {
        let view = View::new();
        let mut before = Revision::ZERO;
        for step in steps {
            match step {
                Step::Extend(first, count) => {
                    let changes = (first..first + count).map(change);
                    let taken = view.extend(Revision(first), changes);
                    assert_eq!(taken, first <= before.next().0);
                }
                Step::Replace(n) => assert_eq!(view.replace(at(n)), n > before.0),
            }
            let config = view.get();
            assert!(config.revision >= before);
            assert_eq!(view.revision(), config.revision);
            assert_eq!(*config, at(config.revision.0));
            assert!(view.with_ring(|ring| ring.has_all_after(config.revision)));
            before = config.revision;
        }
    }
}
