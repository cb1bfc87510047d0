//! The command line.

use std::{
    net::{SocketAddr, ToSocketAddrs},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use almondlock_standin::{engine, failing::Failing, framing::Framing};
use gumdrop::Options;

use crate::{
    experiment::{Announced, Arm, Plan, Source},
    retries::Bound,
    router::Policy,
    send::Manner,
    workload,
};

/// What can be asked for. Times are the system's own unless called real.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Prints the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Entry hosts of a running system.
    #[options(
        no_short,
        help = "entry hosts of a running system, in turn",
        meta = "URL,..."
    )]
    pub target: String,
    /// Several running systems under the same requests.
    #[options(
        no_short,
        help = "a running system to compare, several times",
        meta = "NAME=URL,..."
    )]
    pub compare: Vec<String>,
    /// More of `compare`.
    #[options(free, help = "more systems to compare, NAME=URL,...")]
    pub more: Vec<String>,
    /// Stand-in engines for each baseline.
    #[options(
        no_short,
        help = "start so many stand-in engines for each policy",
        meta = "N"
    )]
    pub embedded: usize,
    /// The baselines.
    #[options(
        no_short,
        help = "random, least, each also with -priority",
        meta = "NAME,...",
        default = "random,least"
    )]
    pub policies: String,
    /// Sidecars that get the engines.
    #[options(
        no_short,
        help = "start as many engines for a system with these sidecars, several times",
        meta = "URL,..."
    )]
    pub announce: Vec<String>,
    /// Callers.
    #[options(no_short, help = "who sends, several times", meta = "NAME:KEY:WEIGHT")]
    pub organisation: Vec<String>,
    /// The model.
    #[options(no_short, help = "model to ask for", meta = "NAME")]
    pub model: Option<String>,
    /// The chat form.
    #[options(no_short, help = "use /v1/chat/completions")]
    pub chat: bool,
    /// How long to send.
    #[options(no_short, help = "real seconds of sending", meta = "N", default = "10")]
    pub seconds: f64,
    /// How long to wait for the rest.
    #[options(
        no_short,
        help = "real seconds to wait for the last answers",
        meta = "N",
        default = "10"
    )]
    pub drain: f64,
    /// How many requests at most.
    #[options(
        no_short,
        help = "requests in a run at most",
        meta = "N",
        default = "20000"
    )]
    pub requests: usize,
    /// Requests a second.
    #[options(no_short, help = "requests in a second", meta = "N", default = "10")]
    pub rate: f64,
    /// How much faster the system's clock runs.
    #[options(
        no_short,
        help = "how much faster than real time the system runs",
        meta = "N",
        default = "1"
    )]
    pub factor: f64,
    /// The seed.
    #[options(no_short, help = "seed of the first run", meta = "N", default = "1")]
    pub seed: u64,
    /// What makes prompts and keys unlike those of other runs.
    #[options(
        no_short,
        help = "makes prompts and keys unlike other runs' (default: the time)",
        meta = "N"
    )]
    pub salt: Option<u64>,
    /// How many runs.
    #[options(
        no_short,
        help = "runs, each with the next seed",
        meta = "N",
        default = "1"
    )]
    pub runs: u64,
    /// Also without long prompts.
    #[options(no_short, help = "repeat each run without long prompts")]
    pub slowdown: bool,
    /// Median prompt.
    #[options(
        no_short,
        help = "median of the prompts, in tokens",
        meta = "N",
        default = "2500"
    )]
    pub median: f64,
    /// Spread of prompts.
    #[options(
        no_short,
        help = "deviation of their logarithm",
        meta = "N",
        default = "0.8"
    )]
    pub sigma: f64,
    /// Share of long prompts.
    #[options(
        no_short,
        help = "fraction of prompts over 100,000 tokens",
        meta = "N",
        default = "0.02"
    )]
    pub long_share: f64,
    /// Longest prompt.
    #[options(
        no_short,
        help = "longest prompt, in tokens",
        meta = "N",
        default = "1000000"
    )]
    pub longest: u64,
    /// Median answer.
    #[options(
        no_short,
        help = "median of the answers, in tokens",
        meta = "N",
        default = "60"
    )]
    pub answer: f64,
    /// Shared part.
    #[options(
        no_short,
        help = "fraction of each prompt that others share",
        meta = "N",
        default = "0"
    )]
    pub shared: f64,
    /// Requests that may run only once.
    #[options(
        no_short,
        help = "fraction of requests that may run only once",
        meta = "N",
        default = "0"
    )]
    pub once: f64,
    /// The deadline.
    #[options(no_short, help = "deadline of each request", meta = "MS")]
    pub deadline_ms: Option<u64>,
    /// Memory of the engines.
    #[options(
        no_short,
        help = "memory of an embedded engine, in tokens",
        meta = "N",
        default = "400000"
    )]
    pub engine_memory: u64,
    /// Speed of the engines.
    #[options(
        no_short,
        help = "its prompt tokens in a second",
        meta = "N",
        default = "20000"
    )]
    pub engine_prefill: f64,
    /// Steps of the engines.
    #[options(
        no_short,
        help = "its shortest step, in milliseconds",
        meta = "MS",
        default = "20"
    )]
    pub engine_step_ms: f64,
    /// Framing of the engines' answers.
    #[options(
        no_short,
        help = "how its answers end: marked, unmarked (by their connection), cut:BYTES, reset:BYTES",
        meta = "KIND",
        default = "marked"
    )]
    pub engine_framing: String,
    /// Failures of the engines.
    #[options(
        no_short,
        help = "engines that fail all requests in turns with serving: refuse, fail or silent, for how long and how long not",
        meta = "KIND:MS:MS"
    )]
    pub engine_failing: Option<String>,
    /// Engines that fail.
    #[options(
        no_short,
        help = "how many of the engines fail so",
        meta = "N",
        default = "1000"
    )]
    pub failing_engines: usize,
    /// What may be retried.
    #[options(
        no_short,
        help = "judge what announced engines receive again by so many retries a request, and in any 10 s besides",
        meta = "RATIO,SLACK"
    )]
    pub retry_bound: Option<String>,
    /// Counts from the sending.
    #[options(
        no_short,
        help = "count times from the sending itself: for what a hop adds, not for loads"
    )]
    pub from_send: bool,
    /// Where the figures go.
    #[options(no_short, help = "write the figures, .csv or .json", meta = "FILE")]
    pub out: Option<String>,
    /// Where the picture goes.
    #[options(no_short, help = "draw the time to the first token", meta = "FILE.svg")]
    pub plot: Option<String>,
}

/// Examples for the help.
pub const EXAMPLES: &str = "\
Examples:
  Ten requests a second for ten seconds, through two entry hosts:
    almondlock bench --target http://127.0.0.1:8080,http://127.0.0.1:8081 \\
        --organisation north:KEY:1 --model almond
  Two systems under the same requests, three runs, figures to a file:
    almondlock bench --compare old=http://127.0.0.1:8080 --compare new=http://127.0.0.1:9080 \\
        --runs 3 --out figures.csv
  What long prompts do to short ones, on bare engines whose clock runs 20 times faster:
    almondlock bench --embedded 4 --policies random,random-priority --factor 20 \\
        --rate 4 --longest 300000 --slowdown --runs 3
";

/// The longest run, in real seconds.
const SECONDS_LIMIT: f64 = 3_600.0;

impl Arguments {
    /// What is to be done, or what is wrong with the arguments.
    pub fn plan(&self) -> Result<Plan, String> {
        check("--seconds", self.seconds, 0.1, SECONDS_LIMIT)?;
        check("--drain", self.drain, 0.0, SECONDS_LIMIT)?;
        check("--rate", self.rate, 1e-3, 1e6)?;
        check("--factor", self.factor, 1e-2, 1e4)?;
        check("--sigma", self.sigma, 0.0, 10.0)?;
        check("--engine-step-ms", self.engine_step_ms, 0.0, 1e4)?;
        check("--engine-prefill", self.engine_prefill, 1.0, 1e9)?;
        for (name, value) in [
            ("--long-share", self.long_share),
            ("--shared", self.shared),
            ("--once", self.once),
        ] {
            check(name, value, 0.0, 1.0)?;
        }
        let framing = &self.engine_framing;
        Framing::parse(framing).ok_or_else(|| {
            format!(
                "--engine-framing {framing}: expected marked, unmarked, cut:BYTES or reset:BYTES"
            )
        })?;
        if let Some(text) = &self.engine_failing {
            Failing::parse(text).ok_or_else(|| {
                format!("--engine-failing {text}: expected refuse, fail or silent, :MS:MS")
            })?;
        }
        let bound = self.retry_bound.as_deref().map(|text| {
            Bound::parse(text).ok_or_else(|| format!("--retry-bound {text}: expected RATIO,SLACK"))
        });
        let bound = bound.transpose()?;
        if bound.is_some() && self.announce.is_empty() {
            return Err("--retry-bound: give --announce too".to_owned());
        }
        let organisations = self.organisations()?;
        let arms = self.arms()?;
        if arms.is_empty() {
            return Err("nothing to measure: give --target, --compare or --embedded".to_owned());
        }
        Ok(Plan {
            arms,
            workload: self.workload(organisations.iter().map(|o| o.1).collect()),
            manner: Manner {
                model: self.model.clone(),
                keys: organisations.into_iter().map(|o| o.0).collect(),
                deadline: self
                    .deadline_ms
                    .map(|ms| ((ms as f64 / self.factor) as u64).max(1)),
                chat: self.chat,
                priority: false,
                from_send: self.from_send,
                factor: self.factor,
            },
            drain: Duration::from_secs_f64(self.drain),
            runs: self.runs.max(1),
            slowdown: self.slowdown,
            announced: self.announced()?,
            bound,
        })
    }

    fn workload(&self, organisations: Vec<u32>) -> workload::Config {
        workload::Config {
            seed: self.seed,
            salt: self.salt.unwrap_or_else(salt),
            rate: self.rate,
            span: Duration::from_secs_f64(self.seconds * self.factor),
            requests: self.requests,
            median: self.median,
            sigma: self.sigma,
            long_share: self.long_share,
            longest: self.longest,
            answer: self.answer,
            shared: self.shared,
            once: self.once,
            organisations,
        }
    }

    /// Keys and weights.
    fn organisations(&self) -> Result<Vec<(String, u32)>, String> {
        let read = |text: &String| {
            let mut parts = text.split(':').skip(1);
            let key = parts.next().filter(|key| !key.is_empty())?;
            let weight = parts.next().map_or(Some(1), |w| w.parse().ok())?;
            Some((key.to_owned(), weight))
        };
        let all = self.organisation.iter();
        all.map(|text| {
            read(text).ok_or_else(|| format!("--organisation {text}: expected NAME:KEY:WEIGHT"))
        })
        .collect()
    }

    fn arms(&self) -> Result<Vec<Arm>, String> {
        let mut arms = Vec::new();
        if self.embedded > 0 {
            for name in self.policies.split(',').filter(|name| !name.is_empty()) {
                arms.push(self.embedded_arm(name)?);
            }
        }
        if !self.target.is_empty() {
            let source = Source::Running(addresses(&self.target)?);
            arms.push(Arm {
                name: "target".to_owned(),
                source,
            });
        }
        for text in self.compare.iter().chain(&self.more) {
            let (name, urls) = text
                .split_once('=')
                .ok_or_else(|| format!("{text}: expected NAME=URL"))?;
            let source = Source::Running(addresses(urls)?);
            arms.push(Arm {
                name: name.to_owned(),
                source,
            });
        }
        Ok(arms)
    }

    fn announced(&self) -> Result<Vec<Announced>, String> {
        if self.embedded == 0 && !self.announce.is_empty() {
            return Err("--announce: give --embedded too".to_owned());
        }
        let one = |urls: &String| {
            Ok(Announced {
                engines: self.embedded,
                config: self.engine(true),
                failing: self.failing_engines,
                sidecars: addresses(urls)?,
            })
        };
        self.announce.iter().map(one).collect()
    }

    fn engine(&self, priorities: bool) -> engine::Config {
        let config = engine::Config {
            memory: self.engine_memory,
            prefill_rate: self.engine_prefill,
            step: Duration::from_secs_f64(self.engine_step_ms / 1e3),
            factor: self.factor,
            priorities,
            seed: self.seed,
            framing: Framing::parse(&self.engine_framing).unwrap_or_default(),
            failing: self.engine_failing.as_deref().and_then(Failing::parse),
            ..engine::Config::default()
        };
        let model = self.model.clone().unwrap_or_else(|| config.model.clone());
        engine::Config { model, ..config }
    }

    fn embedded_arm(&self, name: &str) -> Result<Arm, String> {
        let plain = name.strip_suffix("-priority");
        let policy = match plain.unwrap_or(name) {
            "random" => Policy::Random,
            "least" => Policy::Least,
            _ => {
                return Err(format!(
                    "--policies {name}: expected random, least or one of them with -priority"
                ));
            }
        };
        let source = Source::Embedded {
            policy,
            engines: self.embedded,
            config: Box::new(self.engine(plain.is_some())),
        };
        Ok(Arm {
            name: name.to_owned(),
            source,
        })
    }
}

/// The time in milliseconds: no two runs share it by accident.
fn salt() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn check(name: &str, value: f64, low: f64, high: f64) -> Result<(), String> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(format!("{name} {value}: expected {low} to {high}"))
}

fn addresses(urls: &str) -> Result<Vec<SocketAddr>, String> {
    let read = |url: &str| {
        let bad = |why: &str| format!("{url}: {why}");
        let host = url
            .strip_prefix("http://")
            .ok_or_else(|| bad("expected http://ADDRESS:PORT"))?;
        let mut found = host
            .trim_end_matches('/')
            .to_socket_addrs()
            .map_err(|error| bad(&error.to_string()))?;
        found.next().ok_or_else(|| bad("no such address"))
    };
    urls.split(',').map(read).collect()
}
