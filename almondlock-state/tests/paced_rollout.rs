//! Rollouts of a version to the upstreams of a model: pace, failures, stops and undoing.

#![allow(clippy::unwrap_used)]

mod common;

use std::collections::BTreeMap;

use almondlock_base::id::Incarnation;
use almondlock_state::{
    command::{Command, Reply},
    config::Order,
    intent::Intent,
    machine::Machine,
    plan::{Action, Id, Plan, Progress, State, Transition, due_actions, rollout},
};
use common::{
    MINUTE, SECOND, announce, change, code, engine, model, planned, propose, upstream, version,
    wall,
};
use proptest::test_runner::{Config, RngSeed, TestRunner};

const NAMES: [&str; 6] = ["u0", "u1", "u2", "u3", "u4", "u5"];

/// Six engines of version `v1`, their sidecars and a leader.
struct Fleet {
    machine: Machine,
    now: u64,
    /// The version that each engine loads when it is ordered to load.
    spoilt: bool,
    /// The lowest number of serving upstreams so far.
    fewest: usize,
    handed: BTreeMap<String, u64>,
}

impl Fleet {
    fn new() -> Fleet {
        let mut machine = Machine::new();
        common::pass_time(&mut machine, MINUTE);
        let context = almondlock_base::unit::Tokens(1_000);
        let intent = Intent::AddModel {
            name: model(),
            version: version("v1"),
            context,
        };
        change(&mut machine, "model", intent, MINUTE);
        for (number, name) in (0..).zip(NAMES) {
            announce(&mut machine, name, engine(number, 1, "v1"), MINUTE);
        }
        let handed = BTreeMap::new();
        Fleet {
            machine,
            now: MINUTE,
            spoilt: false,
            fewest: NAMES.len(),
            handed,
        }
    }

    fn rollout(&mut self, number: &str, to: &str) -> Plan {
        self.rollout_keeping(number, to, 50)
    }

    fn rollout_keeping(&mut self, number: &str, to: &str, keep: u8) -> Plan {
        let intent = Intent::Rollout {
            model: model(),
            version: version(to),
            keep,
        };
        change(&mut self.machine, number, intent, self.now)
    }

    fn plan(&self, id: Id) -> &Plan {
        self.machine.plans().get(id).unwrap()
    }

    /// Advances by one second: the leader carries out the due actions, engines their orders.
    fn tick(&mut self) {
        self.now += SECOND;
        for action in due_actions(&self.machine, wall(self.now)) {
            if let Action::Propose(command) = action {
                self.machine.apply(command);
            }
            let serving = rollout::serving_upstreams(self.machine.config(), &model()).count();
            self.fewest = self.fewest.min(serving);
        }
        let orders: Vec<_> = self.machine.config().orders.clone().into_iter().collect();
        for (name, order) in orders {
            self.obey(name.as_str(), &order);
        }
    }

    fn obey(&mut self, name: &str, order: &Order) {
        let last = self.handed.insert(name.to_owned(), order.fence);
        assert!(
            last.is_none_or(|last| last <= order.fence),
            "a fence went back"
        );
        if self.spoilt {
            return;
        }
        let known = self
            .machine
            .config()
            .upstreams
            .get(&upstream(name))
            .cloned();
        if let Some(mut known) = known.filter(|known| known.incarnation == order.issuer) {
            known.model = Some((order.model.clone(), order.version.clone()));
            announce(&mut self.machine, name, known, self.now);
        }
    }

    fn run(&mut self, id: Id, limit: usize) {
        for _ in 0..limit {
            if self.plan(id).state.is_over() {
                return;
            }
            self.tick();
        }
    }

    fn versions(&self) -> Vec<&str> {
        let all = self.machine.config().upstreams.values();
        all.filter_map(|known| known.model.as_ref())
            .map(|(_, v)| v.as_str())
            .collect()
    }
}

/// All upstreams get the version, enough of them serve at any time, and nothing of the rollout
/// remains in the configuration.
#[test]
fn whole_rollout() {
    let mut fleet = Fleet::new();
    let plan = fleet.rollout("1", "v2");
    assert_eq!((plan.state, plan.min_serving), (State::Running, 3));
    fleet.run(plan.id, 1_000);
    assert_eq!(fleet.plan(plan.id).state, State::Done);
    assert_eq!(fleet.versions(), ["v2"; 6]);
    assert_eq!(fleet.fewest, 4, "two loads at a time");
    let config = fleet.machine.config();
    assert_eq!(config.models[&model()].version, version("v2"));
    assert!(config.drains.is_empty() && config.orders.is_empty() && config.settings.is_empty());
}

/// The new version can't be loaded. The first upstream is upgraded alone and fails; the rollout
/// stops by itself with the other five serving the old version, and undoing loads nothing.
#[test]
fn unloadable_version() {
    let mut fleet = Fleet::new();
    fleet.spoilt = true;
    let plan = fleet.rollout("1", "v2");
    fleet.run(plan.id, 10_000);
    let plan = fleet.plan(plan.id);
    assert_eq!(plan.state, State::Failed);
    assert!(plan.message.contains("1 of 1 fail"), "{}", plan.message);
    assert_eq!(fleet.fewest, 5);
    assert_eq!(
        rollout::serving_upstreams(fleet.machine.config(), &model()).count(),
        5
    );
}

/// The new version can be loaded, but its engines die one after another. The rollout stops
/// although all loads succeeded.
#[test]
fn dying_engines() {
    let mut fleet = Fleet::new();
    let plan = fleet.rollout("1", "v2");
    while fleet.plan(plan.id).completed_count() < 2 {
        fleet.tick();
    }
    let (upstream, incarnation) = (upstream("u0"), Incarnation(1));
    let at = wall(fleet.now);
    fleet.machine.apply(Command::Forget {
        upstream,
        incarnation,
        at,
    });
    fleet.run(plan.id, 1_000);
    assert_eq!(fleet.plan(plan.id).state, State::Failed);
    assert!(fleet.versions().iter().filter(|v| **v == "v1").count() >= 3);
}

/// A rollout is stopped half-way: drained upstreams return at once, loading ones are waited
/// for. Confirmed again it continues; undone it returns to the old version.
#[test]
fn stopped_half_way() {
    let mut fleet = Fleet::new();
    let plan = fleet.rollout("1", "v2");
    while fleet.versions().iter().filter(|v| **v == "v2").count() < 3 {
        fleet.tick();
    }
    common::stop(&mut fleet.machine, plan.id, fleet.now);
    fleet.run(plan.id, 1_000);
    assert_eq!(fleet.plan(plan.id).state, State::Stopped);
    assert!(fleet.machine.config().drains.is_empty());
    assert_eq!(
        rollout::serving_upstreams(fleet.machine.config(), &model()).count(),
        6
    );
    let back = change(
        &mut fleet.machine,
        "2",
        Intent::Undo { plan: plan.id },
        fleet.now,
    );
    fleet.run(back.id, 1_000);
    assert_eq!(fleet.versions(), ["v1"; 6]);
    assert!(fleet.machine.config().settings.is_empty());
}

/// The rollout upgrades an upstream that an operator drained, and leaves it drained.
#[test]
fn operator_drain() {
    let mut fleet = Fleet::new();
    let drain = Intent::Drain {
        upstream: upstream("u5"),
        reason: "fan".to_owned(),
    };
    let plan = fleet.rollout("1", "v2");
    change(&mut fleet.machine, "2", drain, fleet.now);
    fleet.run(plan.id, 1_000);
    assert_eq!(fleet.versions(), ["v2"; 6]);
    let drains: Vec<_> = fleet.machine.config().drains.keys().collect();
    assert_eq!(drains, [&upstream("u5")]);
}

/// Two replicas both believe that they lead and propose each step. The second proposal of a
/// step changes nothing.
#[test]
fn two_leaders() {
    let mut fleet = Fleet::new();
    let plan = fleet.rollout("1", "v2");
    while !fleet.plan(plan.id).state.is_over() {
        fleet.now += SECOND;
        let actions = due_actions(&fleet.machine, wall(fleet.now));
        for action in actions.iter().chain(&actions) {
            if let Action::Propose(command) = action {
                fleet.machine.apply(command.clone());
            }
        }
        fleet.tick();
        let under_way = fleet.plan(plan.id).stages_in_progress().count();
        assert!(under_way <= 2, "more loads than the weight store bears");
    }
    assert_eq!(fleet.plan(plan.id).state, State::Done);
    assert_eq!(fleet.fewest, 4);
}

/// The leader changes at random times, and the new one continues from a restored snapshot. The
/// rollout ends the same whenever that is.
#[test]
fn leader_changes() {
    let config = Config {
        cases: 32,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    };
    let moments = proptest::collection::vec(0usize..120, 0..6);
    let run = TestRunner::new(config).run(&moments, |moments| {
        let mut fleet = Fleet::new();
        let plan = fleet.rollout("1", "v2");
        for tick in 0..400 {
            if moments.contains(&tick) {
                fleet.machine = Machine::restore(&fleet.machine.snapshot()).unwrap();
            }
            fleet.tick();
        }
        assert_eq!(fleet.plan(plan.id).state, State::Done);
        assert_eq!((fleet.versions(), fleet.fewest), (vec!["v2"; 6], 4));
        Ok(())
    });
    run.unwrap();
}

/// A step that isn't due is refused, whoever asks.
#[test]
fn step_not_due() {
    let mut fleet = Fleet::new();
    let plan = fleet.rollout("1", "v2");
    let at = wall(fleet.now);
    for (index, advance) in [
        (6, Transition::Begin),
        (1, Transition::Order),
        (1, Transition::Finish),
    ] {
        let step = Command::Step {
            plan: plan.id,
            index,
            transition: advance,
            at,
        };
        let reply = fleet.machine.apply(step).reply;
        assert!(matches!(reply, Reply::Refused { .. }), "{index}: {reply:?}");
    }
    assert_eq!(fleet.plan(plan.id).stages[1].progress, Progress::Pending);
}

/// A rollout that must keep all upstreams serving is refused when it is proposed.
#[test]
fn nothing_to_spare() {
    let mut fleet = Fleet::new();
    let intent = Intent::Rollout {
        model: model(),
        version: version("v2"),
        keep: 100,
    };
    let reply = propose(&mut fleet.machine, "1", intent, fleet.now);
    assert_eq!(code(&reply), Some(almondlock_base::Code::BadChange));
    let intent = Intent::Rollout {
        model: model(),
        version: version("v2"),
        keep: 50,
    };
    let risk = planned(propose(&mut fleet.machine, "2", intent, fleet.now)).risk;
    assert_eq!(risk.capacity_left, Some(66));
    assert!(risk.seconds > 1_000, "{}", risk.seconds);
}

/// Although the weight store allows six concurrent loads, four in five upstreams must go on
/// serving.
#[test]
fn enough_serve() {
    let mut fleet = Fleet::new();
    let (name, value) = (rollout::LOADS_SETTING.to_owned(), Some("6".to_owned()));
    change(
        &mut fleet.machine,
        "0",
        Intent::SetSetting { name, value },
        fleet.now,
    );
    let plan = fleet.rollout_keeping("1", "v2", 80);
    fleet.run(plan.id, 1_000);
    assert_eq!(fleet.plan(plan.id).state, State::Done);
    assert_eq!(fleet.fewest, 5);
}

/// Guards against an upstream that takes requests while it loads: an operator who wants to
/// return one that the rollout has drained is refused, and told which plan is changing it.
#[test]
fn under_way() {
    let mut fleet = Fleet::new();
    fleet.rollout("1", "v2");
    fleet.tick();
    let drained = fleet
        .machine
        .config()
        .drains
        .keys()
        .next()
        .cloned()
        .unwrap();
    let back = Intent::Return { upstream: drained };
    let plan = planned(propose(&mut fleet.machine, "2", back, fleet.now));
    let refused = common::confirm(&mut fleet.machine, plan.id, fleet.now);
    assert_eq!(code(&refused), Some(almondlock_base::Code::PlanStale));
}
