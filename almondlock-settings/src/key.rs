//! Every key that a settings file may hold.

/// What a key's value looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A name of letters, digits and `.-_:/`.
    Name,
    /// Any text.
    Text,
    /// A whole number between two bounds, both included.
    Number(u64, u64),
    /// A decimal number between two bounds, both included.
    Decimal(u32, u32),
    /// `IP:PORT` to listen on; port 0 takes a free one.
    Listen,
    /// `IP:PORT` to take datagrams on, whose ports are apart from connections'.
    Datagrams,
    /// `IP:PORT` of another process.
    Address,
    /// Several addresses with commas between them.
    Addresses,
    /// Several names with commas between them.
    Names,
    /// `NUMBER@IP:PORT` with commas between them.
    Members,
    /// The path of a file that must exist.
    File,
    /// The path of a file or folder that is made when missing.
    Path,
    /// One of a few words.
    Word(&'static [&'static str]),
    /// 64 hexadecimal digits.
    Hash,
}

/// Whether a key must stand in its section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The section is wrong without it.
    Required,
    /// Nothing is set without it.
    Optional,
    /// This counts without it.
    Default(&'static str),
}

/// One key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// The section it belongs to.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// What its value looks like.
    pub shape: Shape,
    /// Whether it must be there.
    pub need: Need,
    /// The unit of a number, else empty.
    pub unit: &'static str,
    /// What it is for, and why its default is what it is.
    pub reason: &'static str,
    /// Whether its value is masked when settings are printed.
    pub secret: bool,
}

impl Key {
    /// The key of a section by name.
    pub fn find(section: &str, name: &str) -> Option<&'static Key> {
        KEYS.iter()
            .find(|key| key.section == section && key.name == name)
    }

    const fn new(
        section: &'static str,
        name: &'static str,
        shape: Shape,
        need: Need,
        reason: &'static str,
    ) -> Key {
        Key {
            section,
            name,
            shape,
            need,
            unit: "",
            reason,
            secret: false,
        }
    }

    const fn unit(mut self, unit: &'static str) -> Key {
        self.unit = unit;
        self
    }

    const fn secret(mut self) -> Key {
        self.secret = true;
        self
    }
}

/// The sections, in the order in which they are printed.
pub const SECTIONS: &[(&str, &str)] = &[
    (
        "host",
        "The host itself. Every file has this section; the others give the process its roles.",
    ),
    (
        "entry",
        "Makes the process an entry host, which takes callers' HTTP requests.",
    ),
    (
        "sidecar",
        "Makes the process the sidecar of the upstreams on its host, which announce themselves to it.",
    ),
    (
        "gateway",
        "Makes the process an entry host for upstreams that are called directly; see `docs/platform.md`.",
    ),
    (
        "replica",
        "Makes the process a control replica; its host needs a disk.",
    ),
    (
        "directory",
        "Serves, on a control replica, operators who publish one configuration text, and the \
         heartbeats of upstreams that are called directly; see `docs/platform.md`.",
    ),
    (
        "security",
        "Mutual TLS between the system's own processes. Without it the inner protocol is plain \
         TCP, which is right only on a network that nobody else reaches.",
    ),
    ("log", "Logs and exported spans; see `docs/telemetry.md`."),
    ("metrics", "Metrics; see `docs/telemetry.md`."),
];

use Need::{Default, Optional, Required};
use Shape::{
    Address, Addresses, Datagrams, Decimal, File, Hash, Listen, Members, Name, Names, Number, Path,
    Text, Word,
};

const HOUR: u64 = 3_600_000;
const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// The table of keys.
#[rustfmt::skip]
pub const KEYS: &[Key] = &[
    Key::new("host", "name", Name, Required,
        "The host's name, the same over restarts and unlike all others."),
    Key::new("host", "domain", Name, Required,
        "Its failure domain: hosts that may be lost together. Replicas are spread over them."),
    Key::new("host", "region", Name, Required,
        "Its region. Processes fetch configuration from their own region where they can."),
    Key::new("host", "listen", Listen, Required,
        "The inner protocol's address, as other processes reach it."),
    Key::new("host", "seeds", Addresses, Optional,
        "Inner addresses of control replicas. One that answers is enough; several survive its loss. \
         Needed by every process that is not a replica."),
    Key::new("host", "seed_port", Number(1, 65_535), Optional,
        "The inner port of the seeds, where the addresses given for them have another one.").unit("port"),
    Key::new("host", "follow", Number(50, 60_000), Default("2000"),
        "How long a parent may hold back an answer when it has no news; the age of the configuration \
         grows by this a level of the tree, and a silent parent is left after twice this.").unit("ms"),
    Key::new("host", "data", Path, Optional,
        "The folder for durable state. Needed by a replica, unused by others."),
    Key::new("host", "memory", Number(16, 16 * MIB), Optional,
        "Memory that the process may use. Without it, the memory that the system reports. Limits \
         of what callers make the process hold follow from it.").unit("MiB"),
    Key::new("host", "descriptors", Number(256, 16 * MIB), Optional,
        "Files and sockets that the process may have open. Without it, the system's limit.").unit("count"),

    Key::new("entry", "listen", Listen, Required,
        "Where callers' HTTP requests arrive, behind the platform's balancer."),
    Key::new("entry", "admin", Listen, Optional,
        "Where `almondlock explain` and `status` ask; not for callers."),
    Key::new("entry", "certificate", File, Optional,
        "PEM chain for callers' TLS. Without it the listener speaks plain HTTP."),
    Key::new("entry", "key", File, Optional,
        "PEM key of that certificate."),
    Key::new("entry", "body_bytes", Number(KIB, 64 * MIB), Default("16777216"),
        "Larger bodies are refused. A prompt of a million tokens is 4 to 6 MB.").unit("bytes"),
    Key::new("entry", "header_timeout", Number(100, 120_000), Default("10000"),
        "A caller whose request head takes longer is cut off, so that slow ones can't hold \
         connections.").unit("ms"),
    Key::new("entry", "body_timeout", Number(1_000, 600_000), Default("60000"),
        "The same for the body; 6 MB in a minute is 100 KB/s.").unit("ms"),
    Key::new("entry", "connections", Number(1, 1_000_000), Default("10000"),
        "Requests in progress at one time, and callers' connections, unless the host's memory or \
         descriptors allow fewer: a third of the memory at the cost of a head and two socket buffers \
         each, and three quarters of the descriptors. When all are taken, connections without a \
         request are closed for new ones.").unit("count"),
    Key::new("entry", "body_memory", Number(1, MIB), Optional,
        "Memory for the bodies of all requests. Without it, an eighth of the host's memory. A body \
         that finds none is refused as not run; one that arrives for over a second, or is large while \
         a small one needs room, gives way.").unit("MiB"),
    Key::new("entry", "answer_memory", Number(1, MIB), Optional,
        "Memory for the bodies of services' answers to callers that speak HTTP/1.0, which are passed on \
         once they are complete. Without it, an eighth of the host's memory. An answer that finds none has \
         failed; one that arrives for over a second, or is large while a small one needs room, gives way."
        ).unit("MiB"),
    Key::new("entry", "body_pieces", Number(64, 16 * MIB), Default("4096"),
        "Pieces that a body may come in, besides one for each 16 bytes. A body in more is refused as \
         unreadable: a piece costs the same work whatever its size.").unit("count"),
    Key::new("entry", "discard_time", Number(100, 60_000), Default("2000"),
        "How long the rest of a refused body is read, so that a caller that is still sending can read the \
         refusal; then the connection is closed.").unit("ms"),
    Key::new("entry", "head_bytes", Number(4 * KIB, MIB), Default("32768"),
        "Larger heads of requests are refused.").unit("bytes"),
    Key::new("entry", "socket_buffer", Number(4 * KIB, 16 * MIB), Default("65536"),
        "The kernel's buffer of each caller's connection, in each direction. It bounds what waits there \
         when a caller sends ahead or doesn't read.").unit("bytes"),
    Key::new("entry", "pipelined", Number(1, 1_000_000), Default("32"),
        "A connection on which this many requests in a row had another one behind them is closed after \
         an answer. Callers that wait for each answer never have one.").unit("count"),
    Key::new("entry", "drain_delay", Number(0, HOUR), Default("5000"),
        "On a stop, how long requests are still accepted after `/readyz` began to fail: the time \
         that the balancer needs to notice.").unit("ms"),
    Key::new("entry", "drain_grace", Number(0, 24 * HOUR), Default("600000"),
        "On a stop, how long answers in progress may take to finish. Long answers take minutes, and \
         a planned stop cuts none off.").unit("ms"),

    Key::new("sidecar", "announce", Listen, Required,
        "Where upstreams of this host announce themselves, over HTTP; on the loopback interface \
         unless they have addresses of their own. There is no list of upstreams."),
    Key::new("sidecar", "order", Word(&["short", "even", "fifo"]), Default("short"),
        "What the order of work leans to: `short` keeps short prompts quick beside long ones, `even` \
         weighs the time to the first token over all lengths. `fifo`, first come first served, is \
         there to measure against."),
    Key::new("sidecar", "memory_share", Number(1, 100), Default("90"),
        "Of the engine's memory, how much the system may fill; the rest absorbs late and wrong \
         reports.").unit("percent"),
    Key::new("sidecar", "short_reserve", Number(0, 90), Default("15"),
        "Of the memory that the system may fill, how much only short prompts may use, so that \
         they never wait for a long one to end.").unit("percent"),
    Key::new("sidecar", "running", Number(1, 100_000), Default("256"),
        "Requests handed to the upstream at one time.").unit("count"),
    Key::new("sidecar", "waiting", Number(0, 100_000), Default("1024"),
        "Requests that may wait beside the upstream; further ones are refused as not run.").unit("count"),

    Key::new("sidecar", "drain_grace", Number(0, 24 * HOUR), Default("600000"),
        "On a stop, how long running requests may take to finish; those that wait are given back at \
         once and go elsewhere.").unit("ms"),
    Key::new("gateway", "listen", Listen, Required,
        "Where callers' HTTP requests arrive, behind the platform's balancer."),
    Key::new("gateway", "ready", Listen, Required,
        "Where the balancer asks whether this host takes requests: `GET /readyz`. 503 also once a task has ended that the process can't do without."),
    Key::new("gateway", "ready_connections", Number(2, 100_000), Default("64"),
        "Connections at one time where the balancer asks, others that come there included. When all are \
         taken, those without a request are closed for new ones.").unit("count"),
    Key::new("gateway", "body_memory", Number(1, MIB), Optional,
        "Memory for the bodies of all requests. Without it, a quarter of the host's memory. A body \
         that finds none is refused as not run; one that arrives for over a second, or is large while \
         a small one needs room, gives way.").unit("MiB"),
    Key::new("gateway", "connections", Number(1, 1_000_000), Optional,
        "Callers' connections at one time, unless the host's memory or descriptors allow fewer: a third \
         of the memory at the cost of a head and two socket buffers each, and three quarters of the \
         descriptors. When all are taken, connections without a request are closed for new ones.").unit("count"),
    Key::new("gateway", "answer_memory", Number(1, MIB), Optional,
        "Memory for the bodies of upstreams' answers that aren't streams, which are passed on once they \
         are complete. Without it, an eighth of the host's memory. An answer that finds none is a failed \
         attempt; one that arrives for over a second, or is large while a small one needs room, gives way."
        ).unit("MiB"),
    Key::new("gateway", "body_pieces", Number(64, 16 * MIB), Default("4096"),
        "Pieces that a body may come in, besides one for each 16 bytes. A body in more is refused as \
         unreadable: a piece costs the same work whatever its size.").unit("count"),
    Key::new("gateway", "discard_time", Number(100, 60_000), Default("2000"),
        "How long the rest of a refused body is read, so that a caller that is still sending can read the \
         refusal; then the connection is closed.").unit("ms"),
    Key::new("gateway", "head_bytes", Number(4 * KIB, MIB), Default("32768"),
        "Larger heads of requests are refused.").unit("bytes"),
    Key::new("gateway", "socket_buffer", Number(4 * KIB, 16 * MIB), Default("65536"),
        "The kernel's buffer of each caller's connection, in each direction. It bounds what waits there \
         when a caller sends ahead or doesn't read.").unit("bytes"),
    Key::new("gateway", "pipelined", Number(1, 1_000_000), Default("32"),
        "A connection on which this many requests in a row had another one behind them is closed after \
         an answer. Callers that wait for each answer never have one.").unit("count"),
    Key::new("gateway", "slow_reader", Number(1_000, HOUR), Default("30000"),
        "How long a part of a streamed or large answer may wait for its caller to read what was sent before; then \
         the connection is closed, and its upstream is free again.").unit("ms"),
    Key::new("gateway", "metrics", Listen, Optional,
        "Where counters and latency histograms are served as text: `GET /metrics`."),
    Key::new("gateway", "exchange", Addresses, Optional,
        "UDP addresses of the processes that pass on what other entry hosts have under way."),
    Key::new("gateway", "exchange_port", Number(1, 65_535), Optional,
        "Their port, where the addresses given have another one.").unit("port"),
    Key::new("gateway", "stale", Number(500, HOUR), Default("3500"),
        "A configuration not known to be in force for this long is not acted on where keys are asked \
         for. Has to be shorter than the time in which a key that was taken away must stop working."
        ).unit("ms"),
    Key::new("gateway", "revocation", Number(1_000, HOUR), Optional,
        "The time in which a key that was taken away must stop working, where somebody else sets it. \
         `stale` is cut to seven tenths of it: the rest is for requests on their way and for clocks."
        ).unit("ms"),
    Key::new("gateway", "retry_window", Number(1_000, HOUR), Default("10000"),
        "The window of the budget of further attempts.").unit("ms"),
    Key::new("gateway", "retry_span", Decimal(1, 3_600), Optional,
        "The window, where the upstreams' owner sets it. Goes before `retry_window`.").unit("s"),
    Key::new("gateway", "retry_percent", Number(0, 100), Optional,
        "Further attempts for each hundred requests of a window, all hosts together. 20 if neither this \
         nor `retry_share` is set.").unit("percent"),
    Key::new("gateway", "retry_share", Decimal(0, 10), Optional,
        "Further attempts for each request that the upstreams' owner allows, all hosts together. \
         `retry_percent` is cut to it.").unit("ratio"),
    Key::new("gateway", "retry_slack", Decimal(0, 1_000_000), Default("100"),
        "Further attempts in a window in any case, all hosts together. Hosts divide it by their number, \
         which relays tell them.").unit("count"),
    Key::new("gateway", "retry_hosts", Number(1, 100_000), Default("1"),
        "The smallest number of hosts that share `retry_slack`. Without `exchange` it is the number.")
        .unit("count"),
    Key::new("gateway", "memory_hold", Number(1_000, HOUR), Default("4000"),
        "How long memory that is set aside on an engine for a prompt may outlive its use. It is set \
         aside for three quarters of this at a time and renewed while it is used."
        ).unit("ms"),
    Key::new("gateway", "drain_delay", Number(0, HOUR), Default("2900"),
        "On a stop, how long requests are still accepted after `/readyz` began to fail.").unit("ms"),
    Key::new("gateway", "drain_grace", Number(0, HOUR), Default("4300"),
        "On a stop, how long answers in progress may take to finish after that.").unit("ms"),

    Key::new("gateway", "stop_time", Decimal(1, 3_600), Optional,
        "How long after it is told to stop the process is ended by force, where somebody else sets it. \
         `drain_grace` is cut so that both together end nine tenths of it after the start of the stop."
        ).unit("s"),
    Key::new("gateway", "settling", Number(0, 60_000), Default("0"),
        "How long after its start a host lets short prompts go before long ones, and holds prompts for a \
         moment until it knows the loads of other hosts.").unit("ms"),
    Key::new("gateway", "places", Word(&["yes", "no"]), Default("no"),
        "Whether short prompts are admitted by the engines' free slots when these are scarce: who can \
         still be in time goes first, who can't waits at the host for a slot."),
    Key::new("gateway", "shares", Word(&["yes", "no"]), Default("no"),
        "Whether organisations get fair shares of the engines under contention, over all hosts."),
    Key::new("gateway", "observed_pace", Word(&["yes", "no"]), Default("no"),
        "Whether upstreams are judged by how fast and how often they answer, over all hosts."),

    Key::new("replica", "admin", Listen, Required,
        "Where operators' commands arrive."),
    Key::new("replica", "members", Members, Optional,
        "The replicas that the group starts with, as NAME@INNER@ADMIN: host, inner address, operators' \
         address. The same on each of them, and on replicas added later, which ask them; later changes \
         go through `almondlock replica`. Without it the group starts with the seeds, each named by its IP \
         address."),
    Key::new("replica", "operator_key", Hash, Optional,
        "BLAKE3 hash of the first operator's key, read only when the group starts. Without it \
         nobody can make changes until one is set.").secret(),
    Key::new("replica", "founds", Word(&["yes", "no"]), Default("yes"),
        "Whether this replica may begin a group on an empty disk. `no` on every start after the \
         system's first: a group that was lost must not begin anew beside what is left of it."),
    Key::new("replica", "repairs", Word(&["yes", "no"]), Default("no"),
        "Whether the leader takes in replicas that ask, and puts out those that were lost, without an \
         operator."),
    Key::new("replica", "stop_time", Decimal(1, 3_600), Default("8"),
        "How long after it is told to stop the process is ended by force. A replica that a spare is to \
         replace goes on voting until that is done, for three fifths of this at the most.").unit("s"),
    Key::new("replica", "metrics", Listen, Optional,
        "Where figures on the group and its log are served as text: `GET /metrics`."),
    Key::new("replica", "certificate", File, Optional,
        "PEM chain for operators' TLS. Without it the admin listener speaks plain HTTP."),
    Key::new("replica", "key", File, Optional,
        "PEM key of that certificate."),

    Key::new("directory", "listen", Listen, Required,
        "Where the published configuration and heartbeats arrive; the same port on all replicas."),
    Key::new("directory", "body_memory", Number(1, MIB), Optional,
        "Memory for the bodies of all calls. Without it, a quarter of the host's memory. A body that \
         finds none is refused as not run; one that arrives for over a second, or is large while a small \
         one needs room, gives way.").unit("MiB"),
    Key::new("directory", "body_pieces", Number(64, 16 * MIB), Default("4096"),
        "Pieces that a body may come in, besides one for each 16 bytes. A body in more is refused as \
         unreadable: a piece costs the same work whatever its size.").unit("count"),
    Key::new("directory", "discard_time", Number(100, 60_000), Default("2000"),
        "How long the rest of a refused body is read, so that a caller that is still sending can read the \
         refusal; then the connection is closed.").unit("ms"),
    Key::new("directory", "reading_memory", Number(1, MIB), Optional,
        "Memory that reading a published configuration may take, at 512 bytes an object and 160 an \
         element of a list. Without it, a quarter of the host's memory. One that may take more is \
         refused before it is read.").unit("MiB"),
    Key::new("directory", "exchange", Datagrams, Optional,
        "UDP address at which entry hosts tell what they have under way, to be passed on to the others."),
    Key::new("directory", "domains", Names, Optional,
        "The failure domains that there are. An order to evacuate another one is refused; without \
         the list, one in which no upstream and no replica is known."),
    Key::new("directory", "deltas", Word(&["yes", "no"]), Default("no"),
        "Whether a publication is replicated as what differs from the version in force. Only once \
         all replicas run a version that has this key; see `docs/upgrading.md`."),
    Key::new("directory", "lease", Number(1_000, HOUR), Default("10000"),
        "How long an instance stays enrolled without a heartbeat.").unit("ms"),
    Key::new("directory", "reinstate", Word(&["yes", "no"]), Default("yes"),
        "Whether a later heartbeat reinstates an instance whose lease ended. `no` while a replica runs \
         a version that lacks this key; see `docs/upgrading.md`."),

    Key::new("security", "ca", File, Required,
        "PEM certificates of the cluster's authority. Processes with other certificates are refused."),
    Key::new("security", "certificate", File, Required,
        "This host's PEM chain; it names the host."),
    Key::new("security", "key", File, Required,
        "PEM key of that certificate. Only its path stands here."),

    Key::new("log", "format", Word(&["text", "json"]), Default("text"),
        "Lines for people, or one JSON object a line."),
    Key::new("log", "output", Word(&["stderr", "stdout"]), Default("stderr"),
        "Where lines go. To `stdout` they are written by a thread of their own, with a bounded queue: \
         under a flood lines are lost and counted, and nothing waits for them."),
    Key::new("log", "filter", Text, Default("warn,almondlock=info"),
        "Which lines are written, such as `warn,almondlock=info,almondlock_node=debug`."),
    Key::new("log", "spans", Path, Optional,
        "A file that finished hops are appended to. Off by default: it grows with the traffic."),

    Key::new("metrics", "statsd", Address, Optional,
        "Where metrics are sent over UDP. Off by default."),
    Key::new("metrics", "prefix", Name, Default("almondlock"),
        "What each metric's name starts with."),
];
