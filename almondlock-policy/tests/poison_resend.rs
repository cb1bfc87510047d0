//! Guards against a request that kills every engine that runs it, while its caller sends it
//! again and again through all entry hosts. Each death also ends the innocent requests on
//! the engine. All of these must still finish, the poison must soon be refused everywhere,
//! and it may cost only a small known number of engines, however often it is sent and
//! however late news reaches the entry hosts.

#![cfg(test)]

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    id::{Fingerprint, Organisation},
    time::{Mono, Wall},
};
use almondlock_policy::poison::{
    Config, Start, Treatment, Watch, blame, charge, loss_limit, treat,
};
use almondlock_state::config::Quarantine;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const HOSTS: usize = 3;
const ENGINES: usize = 8;
const RESENDS: usize = 40;

type Records = HashMap<Fingerprint, Quarantine>;

fn bank() -> Organisation {
    Organisation::new("bank").unwrap()
}

fn print(number: usize) -> Fingerprint {
    Fingerprint::new(&bank(), "/v1/completions", &number.to_le_bytes())
}

/// Requests with this number or a higher one are poisons.
const POISON: usize = usize::MAX / 2;

#[derive(Clone, Copy)]
struct Run {
    number: usize,
    host: usize,
    treatment: Treatment,
}

/// The history of the replicated records, the entry hosts with what they have heard of it,
/// and the engines.
struct Fleet {
    config: Config,
    history: Vec<Records>,
    lag: usize,
    watches: Vec<Watch>,
    lost: u32,
    finished: Vec<usize>,
}

impl Fleet {
    fn new(lag: usize) -> Fleet {
        let config = Config::default();
        Fleet {
            config,
            // The first entry stays empty: the records before the test began.
            history: vec![Records::new(), Records::new()],
            lag,
            watches: (0..HOSTS).map(|_| Watch::new(config)).collect(),
            lost: 0,
            finished: Vec::new(),
        }
    }

    fn now(&self) -> (Wall, Mono) {
        let millis = self.history.len() as u64 * 100;
        (Wall::from_millis(millis), Mono::from_millis(millis))
    }

    fn records(&mut self) -> &mut Records {
        self.history.last_mut().unwrap()
    }

    /// Asks to run. Returns `None` if the request is refused or has to wait.
    fn begin(&mut self, number: usize, host: usize) -> Option<Run> {
        let (wall, now) = self.now();
        let view = &self.history[self.history.len().saturating_sub(1 + self.lag)];
        let record = view.get(&print(number));
        let Start::Run(treatment) = self.watches[host].begin(print(number), record, wall, now)
        else {
            return None;
        };
        if treatment.is_charged() {
            let config = self.config;
            let current = self.records().get(&print(number)).cloned();
            let Ok(charged) = charge(&config, current.as_ref(), &bank(), wall) else {
                self.watches[host].end(print(number), None, now);
                return None;
            };
            self.records().insert(print(number), charged);
        } else if treatment != Treatment::Unrestricted {
            return None;
        }
        Some(Run {
            number,
            host,
            treatment,
        })
    }

    /// Puts runs on engines as their treatment requires, as the queues do.
    fn place(&self, runs: &[Run], rng: &mut SmallRng) -> Vec<Vec<Run>> {
        let mut engines: Vec<Vec<Run>> = vec![Vec::new(); ENGINES + runs.len()];
        for run in runs {
            let start = rng.random_range(0..ENGINES);
            let suits = |engine: &Vec<Run>| {
                let alone = engine
                    .iter()
                    .any(|other| other.treatment == Treatment::Exclusive);
                let suspect = engine.iter().any(|other| other.treatment.is_charged());
                match run.treatment {
                    Treatment::Exclusive => engine.is_empty(),
                    Treatment::SingleSuspect => !alone && !suspect,
                    _ => !alone,
                }
            };
            let at = (start..engines.len())
                .find(|i| suits(&engines[*i]))
                .unwrap();
            engines[at].push(*run);
        }
        engines
    }

    fn step(&mut self, runs: &[Run], rng: &mut SmallRng) -> Vec<Run> {
        let (wall, now) = self.now();
        let mut again = Vec::new();
        for engine in self.place(runs, rng) {
            let dies = engine.iter().any(|run| run.number >= POISON);
            self.lost += u32::from(dies);
            for run in engine {
                self.watches[run.host].end(print(run.number), Some(!dies), now);
                if dies && !run.treatment.is_charged() {
                    let config = self.config;
                    let before = self.records().get(&print(run.number)).cloned();
                    let record = blame(&config, before.as_ref(), &bank(), wall);
                    self.records().insert(print(run.number), record);
                }
                if dies && run.number < POISON {
                    again.push(run);
                }
                if !dies {
                    self.records().remove(&print(run.number));
                    self.finished.push(run.number);
                }
            }
        }
        let next = self.records().clone();
        self.history.push(next);
        again
    }
}

/// How poisons are sent.
#[derive(Clone, Copy)]
struct Storm {
    /// Through all hosts at once, or through one after the other.
    together: bool,
    /// Another poison each time, or the same one.
    fresh: bool,
}

/// Sends forty poisons, beside two new innocent requests per host and step.
fn storm(seed: u64, lag: usize, kind: Storm) -> Fleet {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(lag);
    let mut again: Vec<(usize, usize)> = Vec::new();
    let mut innocents = 0;
    for step in 0..RESENDS + 40 {
        let mut wanted = std::mem::take(&mut again);
        if step < RESENDS {
            let hosts = if kind.together {
                0..HOSTS
            } else {
                step % HOSTS..step % HOSTS + 1
            };
            let poison = POISON + if kind.fresh { step } else { 0 };
            wanted.extend(hosts.map(|host| (poison, host)));
            for host in 0..HOSTS {
                wanted.extend([(innocents, host), (innocents + 1, host)]);
                innocents += 2;
            }
        }
        let mut runs = Vec::new();
        for (number, host) in wanted {
            match fleet.begin(number, host) {
                Some(run) => runs.push(run),
                None if number < POISON => again.push((number, host)),
                None => {}
            }
        }
        let failed = fleet.step(&runs, &mut rng);
        again.extend(failed.iter().map(|run| (run.number, run.host)));
    }
    fleet.finished.sort_unstable();
    let all: Vec<usize> = (0..innocents).collect();
    assert_eq!(
        fleet.finished, all,
        "seed {seed}: every innocent finishes, once"
    );
    fleet
}

#[parameterized(
    prompt_news = { 0, false, 0 },
    late_news = { 5, false, 3 },
    very_late_news = { 20, false, 3 },
    all_at_once = { 0, true, 3 },
    all_at_once_and_late = { 5, true, 3 },
)]
fn engine_loss_bounded(lag: usize, together: bool, unaware: u32) {
    let limit = loss_limit(&Config::default(), unaware);
    for seed in 0..200 {
        let kind = Storm {
            together,
            fresh: false,
        };
        let fleet = storm(seed, lag, kind);
        assert!(
            fleet.lost <= limit,
            "seed {seed}: lost {} of {limit}",
            fleet.lost
        );
        let (wall, _) = fleet.now();
        let record = fleet.history.last().unwrap().get(&print(POISON));
        assert!(matches!(treat(record, wall), Treatment::Refuse { .. }));
    }
}

/// A new poison in each step, so that innocent requests die beside one after the other.
/// They finish all the same (which `storm` checks), since the last run is alone.
#[parameterized(prompt_news = { 0 }, late_news = { 3 })]
fn innocents_are_never_refused(lag: usize) {
    let kind = Storm {
        together: true,
        fresh: true,
    };
    for seed in 0..200 {
        storm(seed, lag, kind);
    }
}

#[test]
fn other_organisation_unblamed() {
    let other = Organisation::new("rival").unwrap();
    let body = b"the same words";
    let own = Fingerprint::new(&bank(), "/v1/completions", body);
    assert_ne!(own, Fingerprint::new(&other, "/v1/completions", body));
}

#[test]
fn record_expires() {
    let config = Config::default();
    let start = Wall::from_millis(0);
    let mut record = None;
    for _ in 0..config.max_deaths {
        record = Some(blame(&config, record.as_ref(), &bank(), start));
    }
    let late = start + (config.retention - Duration::from_millis(1));
    let left = Duration::from_millis(1);
    assert_eq!(
        treat(record.as_ref(), late),
        Treatment::Refuse { retry_after: left }
    );
    let after = start + config.retention;
    assert_eq!(treat(record.as_ref(), after), Treatment::Unrestricted);
    assert_eq!(blame(&config, record.as_ref(), &bank(), after).deaths, 1);
}

#[test]
fn harmless_copies_together() {
    let mut watch = Watch::new(Config::default());
    let (wall, now) = (Wall::from_millis(0), Mono::ZERO);
    let run = Start::Run(Treatment::Unrestricted);
    assert_eq!(watch.begin(print(1), None, wall, now), run);
    assert_eq!(watch.begin(print(1), None, wall, now), Start::Wait);
    assert_eq!(watch.begin(print(2), None, wall, now), run);
    watch.end(print(1), Some(true), now);
    for _ in 0..10 {
        assert_eq!(watch.begin(print(1), None, wall, now), run);
    }
    // A death ends the trust, and finishing well restores it.
    watch.end(print(1), Some(false), now);
    assert_eq!(watch.begin(print(1), None, wall, now), Start::Wait);
    watch.end(print(1), Some(true), now);
    assert_eq!(watch.begin(print(1), None, wall, now), run);
}
