//! Settings as the daemon uses them.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use almondlock_base::id;
pub use almondlock_telemetry::log::{Format, Output};

use crate::{key::Shape, section::Section};

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host itself.
    pub host: Host,
    /// The entry role.
    pub entry: Option<Entry>,
    /// The sidecar role.
    pub sidecar: Option<Sidecar>,
    /// The gateway role.
    pub gateway: Option<Gateway>,
    /// The control role.
    pub replica: Option<Replica>,
    /// The control role's listener for publications and heartbeats.
    pub directory: Option<Directory>,
    /// Mutual TLS between processes.
    pub security: Option<Security>,
    /// Logs and spans.
    pub log: Log,
    /// Metrics.
    pub metrics: Metrics,
    // The sections as read, for printing.
    pub(crate) sections: Vec<Section>,
}

/// Section `[host]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The host's name.
    pub name: id::Host,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Its region.
    pub region: id::Region,
    /// The inner protocol's address.
    pub listen: SocketAddr,
    /// Inner addresses of control replicas. Invariant: not empty on a process
    /// that is not a replica.
    pub seeds: Vec<SocketAddr>,
    /// How long a parent may hold back an answer.
    pub follow: Duration,
    /// The folder for durable state. Invariant: given on a replica.
    pub data: Option<PathBuf>,
    /// Bytes of memory that the process may use, if that is set.
    pub memory: Option<u64>,
    /// Files and sockets that it may have open, if that is set.
    pub descriptors: Option<usize>,
}

/// Limits of what callers make a process hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intake {
    /// Bytes of memory for the bodies of all requests, if that is set.
    pub body_memory: Option<u64>,
    /// Bytes of memory for the bodies of answers that are collected, if that is set.
    pub answer_memory: Option<u64>,
    /// Callers' connections at one time, if that is set.
    pub connections: Option<usize>,
    /// Pieces that a body may come in, besides one for each 16 bytes.
    pub body_pieces: usize,
    /// How long the rest of a refused body is read.
    pub discard_time: Duration,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The kernel's buffer of each connection in each direction, in bytes.
    pub socket_buffer: usize,
    /// Requests in a row on one connection that may have another one behind them.
    pub pipelined: u32,
}

/// A listener's certificate and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tls {
    /// PEM chain.
    pub certificate: PathBuf,
    /// PEM key.
    pub key: PathBuf,
}

/// Section `[entry]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Where callers' requests arrive.
    pub listen: SocketAddr,
    /// Where operators ask about this host.
    pub admin: Option<SocketAddr>,
    /// Callers' TLS.
    pub tls: Option<Tls>,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Time allowed for a request's head.
    pub header_timeout: Duration,
    /// Time allowed for a request's body.
    pub body_timeout: Duration,
    /// Limits of what callers make it hold.
    pub intake: Intake,
    /// Requests in progress at one time.
    pub connections: usize,
    /// How long requests are accepted after readiness began to fail.
    pub drain_delay: Duration,
    /// How long answers in progress may take on a stop.
    pub drain_grace: Duration,
}

/// What the order of work beside an upstream leans to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Short prompts stay quick beside long ones.
    Short,
    /// The time to the first token over all lengths.
    Even,
    /// First come, first served: a baseline to measure against.
    Fifo,
}

/// Section `[sidecar]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sidecar {
    /// Where upstreams announce themselves.
    pub announce: SocketAddr,
    /// What the order of work leans to.
    pub order: Order,
    /// Percent of the engine's memory that the system may fill.
    pub memory_share: u8,
    /// Percent of that memory which only short prompts may use.
    pub short_reserve: u8,
    /// Requests handed to the upstream at one time.
    pub running: usize,
    /// Requests that may wait beside the upstream.
    pub waiting: usize,
    /// How long running requests may take on a stop.
    pub drain_grace: Duration,
}

/// Section `[gateway]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Where callers' requests arrive.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the host takes requests.
    pub ready: SocketAddr,
    /// Connections there at one time.
    pub ready_connections: usize,
    /// Limits of what callers make it hold.
    pub intake: Intake,
    /// How long a part of an answer may wait for its caller to read.
    pub slow_reader: Duration,
    /// Where figures are served.
    pub metrics: Option<SocketAddr>,
    /// Who passes on what other entry hosts have under way.
    pub exchange: Vec<SocketAddr>,
    /// The oldest configuration that keys are checked against.
    pub stale: Duration,
    /// The window of the budget of further attempts.
    pub retry_window: Duration,
    /// Further attempts for each hundred requests.
    pub retry_percent: Option<u8>,
    /// Further attempts of all hosts in any case.
    pub retry_slack: f64,
    /// The smallest number of hosts that share `retry_slack`.
    pub retry_hosts: u32,
    /// The time in which a key that was taken away must stop working.
    pub revocation: Option<Duration>,
    /// Further attempts for each request that all hosts together may make.
    pub retry_share: Option<f64>,
    /// The time from being told to stop to being ended by force.
    pub stop_time: Option<Duration>,
    /// How long memory on an engine stays set aside unless that is renewed.
    pub memory_hold: Duration,
    /// How long requests are accepted after readiness began to fail.
    pub drain_delay: Duration,
    /// How long answers in progress may take on a stop.
    pub drain_grace: Duration,
    /// How long after its start a host lets short prompts go first.
    pub settling: Duration,
    /// Short prompts are admitted by the engines' free slots.
    pub places: bool,
    /// Organisations get fair shares under contention.
    pub shares: bool,
    /// Upstreams are judged by what hosts observe of them.
    pub observed_pace: bool,
}

/// Of the time in which a key must stop working, the part for which an unconfirmed
/// configuration is acted on. The rest is for requests on their way and clocks.
const UNCONFIRMED_SHARE: f64 = 0.7;
/// Further attempts for each request, where neither the settings nor the upstreams' owner
/// say otherwise.
const RETRY_SHARE: f64 = 0.2;
/// Of the time until a process is ended by force, the part that a stop may take.
const STOP_SHARE: f64 = 0.9;

impl Gateway {
    /// The oldest configuration that keys are checked against.
    pub fn oldest(&self) -> Duration {
        let allowed = self.revocation.map(|time| time.mul_f64(UNCONFIRMED_SHARE));
        allowed.map_or(self.stale, |allowed| self.stale.min(allowed))
    }

    /// Further attempts for each request, all hosts together.
    pub fn retry_ratio(&self) -> f64 {
        let own = self.retry_percent.map(|percent| f64::from(percent) / 100.0);
        match (own, self.retry_share) {
            (Some(own), Some(share)) => own.min(share),
            (Some(ratio), None) | (None, Some(ratio)) => ratio,
            (None, None) => RETRY_SHARE,
        }
    }

    /// How long requests are still accepted on a stop.
    pub fn notice(&self) -> Duration {
        let half = self.whole_stop().map(|whole| whole / 2);
        half.map_or(self.drain_delay, |half| self.drain_delay.min(half))
    }

    /// How long answers in progress may take after that.
    pub fn drain_time(&self) -> Duration {
        let left = self.whole_stop().map(|whole| whole - self.notice());
        left.map_or(self.drain_grace, |left| self.drain_grace.min(left))
    }

    fn whole_stop(&self) -> Option<Duration> {
        self.stop_time.map(|time| time.mul_f64(STOP_SHARE))
    }
}

/// Section `[directory]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Where publications and heartbeats arrive.
    pub listen: SocketAddr,
    /// Bytes of memory for the bodies of all calls, if that is set.
    pub body_memory: Option<u64>,
    /// Pieces that a body may come in, besides one for each 16 bytes.
    pub body_pieces: usize,
    /// How long the rest of a refused body is read.
    pub discard_time: Duration,
    /// Bytes of memory that reading a configuration may take, if that is set.
    pub reading_memory: Option<u64>,
    /// Where entry hosts tell what they have under way.
    pub exchange: Option<SocketAddr>,
    /// The failure domains that there are. Empty: those are that are known of.
    pub domains: Vec<id::Domain>,
    /// Publications are replicated as what differs from the version in force.
    pub deltas: bool,
    /// How long an instance stays enrolled without a heartbeat.
    pub lease: Duration,
    /// A later heartbeat reinstates an instance whose lease ended.
    pub reinstate: bool,
}

/// A member that a replica group starts with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub name: id::Host,
    /// Its inner address.
    pub address: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// Section `[replica]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Where operators' commands arrive.
    pub admin: SocketAddr,
    /// Who the group starts with. Invariant: names and inner addresses are unique.
    pub members: Vec<Member>,
    /// Whether it may begin a group.
    pub founds: bool,
    /// Whether a leader changes the membership by itself.
    pub repairs: bool,
    /// When the process is ended by force after it was told to stop.
    pub stop_time: Duration,
    /// Hash of the first operator's key.
    pub operator_key: Option<String>,
    /// Where figures are served.
    pub metrics: Option<SocketAddr>,
    /// Operators' TLS.
    pub tls: Option<Tls>,
}

/// Of the time until a process is ended by force, the part for which a replica that stops waits
/// for its exchange. The calls in progress end after that.
const EXCHANGE_SHARE: f64 = 0.6;

impl Replica {
    /// How long a replica that stops waits at most until the group has agreed to go on without it.
    pub fn exchange_time(&self) -> Duration {
        self.stop_time.mul_f64(EXCHANGE_SHARE)
    }
}

/// Section `[security]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Security {
    /// Certificates of the cluster's authority.
    pub ca: PathBuf,
    /// This host's chain.
    pub certificate: PathBuf,
    /// The key of that certificate.
    pub key: PathBuf,
}

/// Section `[log]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// How lines look.
    pub format: Format,
    /// Where lines go.
    pub output: Output,
    /// Which lines are written.
    pub filter: String,
    /// Where finished hops go.
    pub spans: Option<PathBuf>,
}

/// Section `[metrics]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// Where metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// What each name starts with.
    pub prefix: String,
}

impl Settings {
    /// Every address that the process listens on, with its field.
    pub fn listeners(&self) -> Vec<(String, SocketAddr)> {
        self.sections
            .iter()
            .flat_map(Section::values)
            .filter(|value| value.key.shape == Shape::Listen)
            .filter_map(|value| Some((value.field(), value.text.parse().ok()?)))
            .collect()
    }
}
