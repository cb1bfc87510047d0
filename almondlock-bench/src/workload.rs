//! What is sent, and when: all of it decided by a seed before the first byte.
//!
//! Arrivals are open-loop, a Poisson process that takes no notice of answers: a
//! slow system gets no fewer requests for being slow. Prompt lengths have a
//! log-normal body and a share of long prompts, spread evenly over the
//! logarithm of their length. Two runs with the same seed send the same
//! requests at the same moments.

use std::time::Duration;

use almondlock_base::unit::Tokens;
use almondlock_policy::length::Class;
use almondlock_standin::answer::BYTES_PER_TOKEN;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// The shortest prompt, in tokens.
pub const SHORTEST: u64 = 1_000;

/// The shortest of the long prompts, in tokens.
pub const LONG_FROM: u64 = 100_000;

/// How many different shared prefixes there are.
const PREFIXES: u64 = 8;

/// Text that fills prompts. Needs no escaping in JSON.
const FILLER: &str =
    "the quick summary of an incident on the northern ring, and a menu for sixty; ";

/// What the requests are like.
#[derive(Clone, Debug)]
pub struct Config {
    /// Seed of everything random: lengths and moments.
    pub seed: u64,
    /// Stands in every prompt and key, so that no two runs share any.
    pub salt: u64,
    /// Requests a second.
    pub rate: f64,
    /// When the last request is sent at the latest.
    pub span: Duration,
    /// How many requests are sent at most.
    pub requests: usize,
    /// Median of the log-normal body, in tokens.
    pub median: f64,
    /// Standard deviation of its logarithm.
    pub sigma: f64,
    /// The fraction of prompts from [`LONG_FROM`] to `longest` tokens.
    pub long_share: f64,
    /// The longest prompt in tokens.
    pub longest: u64,
    /// Median of the answers' lengths in tokens.
    pub answer: f64,
    /// The fraction of a prompt that others share, at its beginning.
    pub shared: f64,
    /// The fraction of requests that may run only once.
    pub once: f64,
    /// Weights of the organisations; empty means one.
    pub organisations: Vec<u32>,
}

/// One request, without its text.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// When it is to be sent.
    pub at: Duration,
    /// Its number in the run, which makes its prompt unlike all others.
    pub serial: u64,
    /// Makes it unlike those of all other runs: a system that has seen a prompt
    /// before has it in its caches, and one that has seen a key won't run it.
    pub salt: u64,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Of these, how many belong to a shared prefix.
    pub shared: u64,
    /// Which shared prefix.
    pub prefix: u64,
    /// Length of the answer in tokens.
    pub answer: u64,
    /// Index of the organisation.
    pub organisation: usize,
    /// Whether it may run only once.
    pub once: bool,
}

impl Request {
    /// Its length class.
    pub fn class(&self) -> Class {
        Class::of(Tokens(self.prompt))
    }

    /// The prompt. Made when needed: a run's prompts together may be larger than
    /// the machine's memory.
    pub fn text(&self) -> String {
        let bytes = self.prompt as usize * BYTES_PER_TOKEN;
        let shared = self.shared as usize * BYTES_PER_TOKEN;
        let mut text = String::with_capacity(bytes + FILLER.len());
        if shared > 0 {
            text.push_str(&format!("prefix {} of {}: ", self.prefix, self.salt));
            fill(&mut text, shared);
        }
        text.push_str(&format!("request {} of {}: ", self.serial, self.salt));
        fill(&mut text, bytes);
        text
    }
}

/// Lengthens or cuts a text to so many bytes.
fn fill(text: &mut String, bytes: usize) {
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes);
}

/// Lays out a run.
pub fn plan(config: &Config) -> Vec<Request> {
    let mut source = Source::new(config);
    let mut requests = Vec::new();
    let mut at = Duration::ZERO;
    while requests.len() < config.requests {
        at += source.gap();
        if at > config.span {
            break;
        }
        requests.push(source.request(at, requests.len() as u64));
    }
    requests
}

struct Source<'a> {
    config: &'a Config,
    random: SmallRng,
    gap: Option<Exp<f64>>,
    body: Option<LogNormal<f64>>,
    answer: Option<LogNormal<f64>>,
}

impl Source<'_> {
    fn new(config: &Config) -> Source<'_> {
        Source {
            config,
            random: SmallRng::seed_from_u64(config.seed),
            gap: Exp::new(config.rate).ok(),
            body: LogNormal::new(config.median.max(1.0).ln(), config.sigma).ok(),
            answer: LogNormal::new(config.answer.max(1.0).ln(), 0.7).ok(),
        }
    }

    fn gap(&mut self) -> Duration {
        let seconds = self.gap.map_or(0.0, |gap| gap.sample(&mut self.random));
        Duration::from_secs_f64(seconds.clamp(0.0, 3600.0))
    }

    fn request(&mut self, at: Duration, serial: u64) -> Request {
        let prompt = self.length();
        let shared = (prompt as f64 * self.config.shared.clamp(0.0, 1.0)) as u64;
        let answer = sample(self.answer, &mut self.random);
        Request {
            at,
            serial,
            salt: self.config.salt,
            prompt,
            // Whole tokens that the request's own number must follow.
            shared: shared.min(prompt - SHORTEST / 4),
            prefix: self.random.random_range(0..PREFIXES),
            answer: answer.clamp(1, 2_000),
            organisation: self.organisation(),
            once: self.random.random_bool(self.config.once.clamp(0.0, 1.0)),
        }
    }

    fn length(&mut self) -> u64 {
        // Drawn for every request, so that runs with and without long prompts
        // have the same short ones.
        let body = sample(self.body, &mut self.random);
        let is_long = self.random.random::<f64>() < self.config.long_share;
        let place = self.random.random::<f64>();
        if is_long && self.config.longest > LONG_FROM {
            let ratio = self.config.longest as f64 / LONG_FROM as f64;
            return (LONG_FROM as f64 * ratio.powf(place)) as u64;
        }
        body.clamp(SHORTEST, LONG_FROM.min(self.config.longest.max(SHORTEST)))
    }

    fn organisation(&mut self) -> usize {
        let weights = &self.config.organisations;
        let total: u32 = weights.iter().sum();
        let mut place = self.random.random_range(0..total.max(1));
        for (index, weight) in weights.iter().enumerate() {
            if place < *weight {
                return index;
            }
            place -= weight;
        }
        0
    }
}

fn sample(from: Option<LogNormal<f64>>, random: &mut SmallRng) -> u64 {
    from.map_or(SHORTEST, |d| d.sample(random) as u64)
}
