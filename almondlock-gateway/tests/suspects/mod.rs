//! Hosts and relays that exchange news of requests which upstreams were lost with, in virtual
//! time and without a network.

use std::time::Duration;

use almondlock_base::{
    id::{Fingerprint, Organisation, Service, Upstream},
    time::Mono,
};
use almondlock_gateway::{
    exchange::{Loss, PartLoss, PartSuspect, Suspect, Suspects},
    load::Key,
};
use almondlock_policy::poison::{
    host::Host,
    profile::{Profile, Rule},
    tally::{self, Count, Status},
};
use almondlock_state::instance::Birth;
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const HOSTS: usize = 4;
const RELAYS: usize = 3;
const UPSTREAMS: usize = 18;
/// Failure domains of upstreams.
pub const DOMAINS: usize = 3;
/// Milliseconds until a crashed upstream is back.
const RETURN: u64 = 3_000;
/// Milliseconds between a relay's rounds, and of a host's second report of a loss.
const ROUND: u64 = 20;
const REPEAT: u64 = 300;
/// Milliseconds between two tellings of what hosts refuse.
const REFUSALS: u64 = 1_000;
/// Attempts of a request.
const ATTEMPTS: u32 = 2;

/// What happens in a run. Times are in milliseconds.
#[derive(Clone, Copy)]
pub struct Setup {
    pub seed: u64,
    pub millis: u64,
    /// One in so many milliseconds a request with the crashing part comes. 0: none.
    pub crashing_every: u64,
    /// Number of organisations that send it.
    pub organisations: u64,
    /// Milliseconds that it runs until it crashes its upstream.
    pub runs: (u64, u64),
    /// Fraction of datagrams that are lost.
    pub lost: f64,
    /// Milliseconds that a datagram takes at the most.
    pub delay: u64,
    /// When all relays start anew, again and again.
    pub restarts_every: Option<u64>,
    /// When one host after the other starts anew, again and again.
    pub hosts_every: Option<u64>,
    /// When no relay answers from the beginning.
    pub has_relays: bool,
    /// When a failure domain of upstreams is lost.
    pub domain_lost: Option<u64>,
}

pub const SETUP: Setup = Setup {
    seed: 1,
    millis: 15_000,
    crashing_every: 120,
    organisations: 1,
    runs: (60, 300),
    lost: 0.0,
    delay: 30,
    restarts_every: None,
    hosts_every: None,
    has_relays: true,
    domain_lost: None,
};

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When requests with the crashing part reached upstreams.
    pub arrivals: Vec<u64>,
    /// When upstreams crashed.
    pub crashes: Vec<u64>,
    /// Other requests: served, refused, lost.
    pub sound: (u32, u32, u32),
}

impl Outcome {
    /// Returns how many requests with the part reached upstreams long after the fifth crash.
    pub fn late(&self) -> usize {
        let fifth = self.crashes.get(4).copied().unwrap_or(u64::MAX - 3_000);
        self.arrivals
            .iter()
            .filter(|at| **at > fifth + 3_000)
            .count()
    }
}

#[derive(Clone)]
struct Running {
    host: usize,
    upstream: usize,
    profile: Profile,
    crashes: bool,
    sent: u64,
    ends: u64,
    attempt: u32,
}

enum News {
    Lost(PartLoss, u64),
    Answered(Fingerprint),
    Appeal(Fingerprint),
    Refused(Vec<PartSuspect>),
    Told(usize, Fingerprint, Rule, Status),
}

pub struct Fleet {
    setup: Setup,
    rng: SmallRng,
    now: u64,
    hosts: Vec<Host<(Key, Birth)>>,
    relays: Vec<Suspects>,
    births: [u64; UPSTREAMS],
    down_until: [u64; UPSTREAMS],
    running: Vec<Running>,
    // Arrival time, the relay that gets or sends it, content.
    news: Vec<(u64, usize, News)>,
    number: u64,
    outcome: Outcome,
}

fn mono(millis: u64) -> Mono {
    Mono::from_millis(millis + 100_000)
}

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part(&Service::new("s").unwrap(), id)
}

impl Fleet {
    pub fn run(setup: Setup) -> Outcome {
        let mut fleet = Fleet {
            setup,
            rng: SmallRng::seed_from_u64(setup.seed),
            now: 0,
            hosts: (0..HOSTS as u64)
                .map(|n| Host::new(n + setup.seed * 7))
                .collect(),
            relays: (0..RELAYS).map(|_| Suspects::default()).collect(),
            births: [0; UPSTREAMS],
            down_until: [0; UPSTREAMS],
            running: Vec::new(),
            news: Vec::new(),
            number: 0,
            outcome: Outcome::default(),
        };
        while fleet.now < setup.millis {
            fleet.step();
            fleet.now += 1;
        }
        fleet.outcome
    }

    fn step(&mut self) {
        let now = self.now;
        self.deliver();
        if self.setup.has_relays && now.is_multiple_of(ROUND) {
            self.send_rounds();
        }
        if self.setup.has_relays && now.is_multiple_of(REFUSALS) {
            self.send_refusals();
        }
        if self
            .setup
            .restarts_every
            .is_some_and(|every| now % every == every - 1)
        {
            self.relays = (0..RELAYS).map(|_| Suspects::default()).collect();
        }
        if let Some(every) = self.setup.hosts_every
            && now % every == every - 1
        {
            self.number += 1;
            let host = (now / every) as usize % HOSTS;
            self.hosts[host] = Host::new(self.number);
            // Relays send all that they know to hosts that they haven't met.
            for relay in 0..RELAYS {
                let (copies, parts) = self.relays[relay].all(mono(now));
                self.tell_host(relay, host, &copies, &parts);
            }
        }
        if self.setup.domain_lost == Some(now) {
            for upstream in (0..UPSTREAMS).filter(|n| n.is_multiple_of(DOMAINS)) {
                self.crash(upstream, RETURN * 2);
            }
        }
        // Usual requests: all share a part, some another one, and from 4 s on some a new one.
        if self.rng.random_ratio(1, 25) {
            let mut parts = vec!["system"];
            match self.rng.random_range(0..3) {
                0 => parts.push("manual"),
                1 if now > 4_000 => parts.push("new"),
                _ => {}
            }
            let ends = now + self.rng.random_range(100..1_500);
            let organisation = self.rng.random_range(0..3);
            self.arrive(organisation, &parts, None, ends);
        }
        let every = self.setup.crashing_every;
        if every > 0 && now > 3_000 && self.rng.random_ratio(1, every as u32) {
            let (least, most) = self.setup.runs;
            let ends = now + self.rng.random_range(least..=most);
            let organisation = self.rng.random_range(0..self.setup.organisations);
            self.arrive(organisation, &["system", "manual", "bad"], Some(()), ends);
        }
        self.end_runs();
    }

    fn arrive(&mut self, organisation: u64, parts: &[&str], crashes: Option<()>, ends: u64) {
        self.number += 1;
        let organisation = Organisation::new(&format!("o-{organisation}")).unwrap();
        let whole = Fingerprint::new(&organisation, "/", &self.number.to_le_bytes());
        let parts = parts.iter().map(|id| part(id));
        let profile = Profile {
            organisation: Fingerprint::of_organisation(&organisation),
            prints: std::iter::once(whole).chain(parts).collect(),
        };
        let host = self.rng.random_range(0..HOSTS);
        let crashes = crashes.is_some();
        if self.hosts[host].refusal(mono(self.now), &profile).is_some() {
            self.outcome.sound.1 += u32::from(!crashes);
            return;
        }
        let running = Running {
            host,
            upstream: 0,
            profile,
            crashes,
            sent: self.now,
            ends,
            attempt: 1,
        };
        self.send(running);
    }

    fn send(&mut self, running: Running) {
        let up = (0..UPSTREAMS).filter(|n| self.down_until[*n] <= self.now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            self.outcome.sound.2 += u32::from(!running.crashes);
            return;
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        if running.crashes {
            self.outcome.arrivals.push(self.now);
        }
        self.running.push(Running {
            upstream,
            ..running
        });
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended: Vec<Running> = self.running.extract_if(.., |run| run.ends <= now).collect();
        for run in ended {
            if run.crashes {
                self.outcome.crashes.push(now);
                let upstream = run.upstream;
                self.running.push(run);
                self.crash(upstream, RETURN);
                continue;
            }
            self.outcome.sound.0 += 1;
            let host = &mut self.hosts[run.host];
            host.record_parts(mono(now), run.profile.prints.iter().skip(1).copied());
            for print in host.record_answer(mono(now), &run.profile) {
                self.tell_relays(News::Answered(print));
            }
        }
    }

    /// An upstream dies with all that runs there.
    fn crash(&mut self, upstream: usize, return_after: u64) {
        let life = (
            Key::of(&Upstream::new(&format!("i-{upstream}")).unwrap()),
            Birth(self.births[upstream]),
        );
        self.births[upstream] += 1;
        self.down_until[upstream] = self.now + return_after;
        let all = self.running.extract_if(.., |run| run.upstream == upstream);
        for run in all.collect::<Vec<_>>() {
            self.lose(run, life);
        }
    }

    fn lose(&mut self, run: Running, life: (Key, Birth)) {
        let now = mono(self.now);
        let lost = tally::Loss {
            profile: &run.profile,
            life,
            sent: mono(run.sent),
        };
        let (count, parts) = self.hosts[run.host].record_loss(now, &lost);
        if count != Count::DeadAlready {
            let loss = PartLoss {
                loss: Loss {
                    print: run.profile.prints[0],
                    key: life.0,
                    birth: life.1,
                    age_ms: 0,
                },
                organisation: run.profile.organisation,
                parts,
            };
            self.tell_relays(News::Lost(loss, run.sent));
        }
        let host = &mut self.hosts[run.host];
        let may_run = run.attempt < ATTEMPTS && host.may_run_again(now, &run.profile);
        if may_run && host.refusal(now, &run.profile).is_none() {
            let length = run.ends.saturating_sub(run.sent).max(50);
            self.send(Running {
                sent: self.now,
                ends: self.now + length,
                attempt: run.attempt + 1,
                ..run
            });
        } else if !run.crashes {
            self.outcome.sound.2 += 1;
        }
    }

    /// Sends news of a host to all relays; losses twice.
    fn tell_relays(&mut self, news: News) {
        if !self.setup.has_relays {
            return;
        }
        for relay in 0..RELAYS {
            let times: &[u64] = match &news {
                News::Lost(..) => &[0, REPEAT],
                _ => &[0],
            };
            for after in times {
                let copy = match &news {
                    News::Lost(loss, sent) => News::Lost(loss.clone(), *sent),
                    News::Answered(print) => News::Answered(*print),
                    News::Appeal(print) => News::Appeal(*print),
                    News::Refused(all) => News::Refused(all.clone()),
                    News::Told(..) => continue,
                };
                self.transmit(*after, relay, copy);
            }
        }
    }

    fn transmit(&mut self, after: u64, relay: usize, news: News) {
        if self.rng.random_bool(self.setup.lost) {
            return;
        }
        let delay = self.rng.random_range(1..=self.setup.delay);
        self.news.push((self.now + after + delay, relay, news));
    }

    fn send_rounds(&mut self) {
        let now = mono(self.now);
        for relay in 0..RELAYS {
            let (copies, parts) = self.relays[relay].take_updates(now);
            for host in 0..HOSTS {
                self.hosts[host].record_relay(now);
                self.tell_host(relay, host, &copies, &parts);
            }
        }
    }

    fn tell_host(&mut self, relay: usize, host: usize, copies: &[Suspect], parts: &[PartSuspect]) {
        let copies = copies.iter().map(|s| (*s, rule_of(s)));
        let parts = parts.iter().map(|part| (part.suspect, part.rule()));
        for (suspect, rule) in copies.chain(parts) {
            let told = News::Told(host, suspect.print, rule, status_of(&suspect));
            self.transmit(0, relay, told);
        }
    }

    fn send_refusals(&mut self) {
        for host in 0..HOSTS {
            let refused = self.hosts[host].refused(mono(self.now)).into_iter();
            let refused = refused.map(|(print, rule, left)| PartSuspect {
                suspect: Suspect {
                    print,
                    refused_ms: Some(u32::try_from(left.as_millis()).unwrap()),
                    watched: false,
                },
                organisation: rule.organisation,
                prints: rule.prints,
            });
            let refused: Vec<PartSuspect> = refused.collect();
            if !refused.is_empty() {
                self.tell_relays(News::Refused(refused));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.news.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, relay, news) in due {
            match news {
                News::Lost(mut loss, sent) => {
                    loss.loss.age_ms = u32::try_from(now - sent).unwrap();
                    self.relays[relay].record_loss(mono(now), &loss.loss);
                    if !loss.parts.is_empty() {
                        self.relays[relay].record_part_loss(mono(now), &loss);
                    }
                }
                News::Answered(print) => self.relays[relay].record_answer(mono(now), print),
                News::Refused(all) => self.relays[relay].adopt(mono(now), &all),
                News::Appeal(print) => self.relays[relay].record_appeal(mono(now), print),
                News::Told(host, print, rule, status) => {
                    let heard = self.hosts[host].receive(mono(now), print, rule, status);
                    if heard == almondlock_policy::poison::host::Heard::Answered {
                        self.tell_relays(News::Appeal(print));
                    }
                }
            }
        }
    }
}

fn rule_of(suspect: &Suspect) -> Rule {
    Rule {
        organisation: None,
        prints: vec![suspect.print],
    }
}

fn status_of(suspect: &Suspect) -> Status {
    match suspect.refused_ms {
        Some(left) => Status::Refused(Duration::from_millis(left.into())),
        None if suspect.watched => Status::Watched,
        None => Status::Clear,
    }
}
