//! From checked sections to typed settings, gathering every problem.

mod value;

use std::{collections::HashMap, net::SocketAddr, path::Path, time::Duration};

use almondlock_telemetry::log;

use crate::{
    error::{Errors, Problem},
    key::Shape,
    section::{Section, resolve},
    settings::{
        Directory, Entry, Format, Gateway, Host, Intake, Log, Metrics, Order, Output, Replica,
        Security, Settings, Sidecar, Tls,
    },
    source,
};

/// Reads a file's text. Paths count from `folder`.
pub(crate) fn settings(file: &str, folder: Option<&Path>, text: &str) -> Result<Settings, Errors> {
    let blocks = source::read(text).map_err(|problems| Errors::new(file, problems))?;
    let mut reader = Reader {
        folder,
        problems: Vec::new(),
    };
    let sections = resolve(&blocks, &mut reader.problems);
    let built = reader.all(sections);
    match built {
        Some(settings) if reader.problems.is_empty() => Ok(settings),
        _ => Err(Errors::new(file, reader.problems)),
    }
}

struct Reader<'a> {
    folder: Option<&'a Path>,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn all(&mut self, sections: Vec<Section>) -> Option<Settings> {
        let find = |name| sections.iter().find(|section| section.name == name);
        let host = find("host").and_then(|section| self.host(section));
        let entry = find("entry").map(|section| self.entry(section));
        let gateway = find("gateway").map(|section| self.gateway(section));
        let replica = find("replica").map(|section| self.replica(section));
        let directory = find("directory").map(|section| self.directory(section));
        let security = find("security").map(|section| self.security(section));
        let sidecar = find("sidecar").map(|section| self.sidecar(section));
        let or_absent = |name| find(name).cloned().unwrap_or_else(|| Section::absent(name));
        let log = self.log(&or_absent("log"));
        let metrics = self.metrics(&or_absent("metrics"));
        self.roles(&sections);
        self.listeners(&sections);
        Some(Settings {
            host: host?,
            entry: whole(entry)?,
            sidecar: whole(sidecar)?,
            gateway: whole(gateway)?,
            replica: whole(replica)?,
            directory: whole(directory)?,
            security: whole(security)?,
            log: log?,
            metrics: metrics?,
            sections,
        })
    }

    fn host(&mut self, s: &Section) -> Option<Host> {
        let name = self.name(s, "name");
        let domain = self.name(s, "domain");
        let region = self.name(s, "region");
        let listen = self.address(s, "listen");
        let seeds = self.addresses(s, "seeds");
        let seeds = with_port(seeds.unwrap_or_default(), self.port(s, "seed_port"));
        let follow = self.millis(s, "follow");
        if let (Some(address), Some(value)) = (listen, s.get("listen"))
            && address.ip().is_unspecified()
        {
            let message = "other processes are told this address and can't connect to it";
            let remedy = "write the IP address that they reach the host by";
            self.problem(value.line, &value.field(), message, remedy);
        }
        let data = self.path(s, "data");
        let memory = self.mebibytes(s, "memory");
        let descriptors = self.count(s, "descriptors");
        Some(Host {
            name: name?,
            domain: domain?,
            region: region?,
            listen: listen?,
            seeds,
            follow: follow?,
            data,
            memory,
            descriptors,
        })
    }

    /// The limits of what callers make the process hold, of a section that has them.
    fn intake(&mut self, s: &Section) -> Option<Intake> {
        let body_memory = self.mebibytes(s, "body_memory");
        let answer_memory = self.mebibytes(s, "answer_memory");
        let connections = self.count(s, "connections");
        let body_pieces = self.count(s, "body_pieces");
        let discard_time = self.millis(s, "discard_time");
        let head_bytes = self.count(s, "head_bytes");
        let socket_buffer = self.count(s, "socket_buffer");
        let pipelined = self.number(s, "pipelined");
        Some(Intake {
            body_memory,
            answer_memory,
            connections,
            body_pieces: body_pieces?,
            discard_time: discard_time?,
            head_bytes: head_bytes?,
            socket_buffer: socket_buffer?,
            pipelined: u32::try_from(pipelined?).ok()?,
        })
    }

    fn entry(&mut self, s: &Section) -> Option<Entry> {
        let listen = self.address(s, "listen");
        let admin = self.address(s, "admin");
        let tls = self.tls(s);
        let body_bytes = self.count(s, "body_bytes");
        let header_timeout = self.millis(s, "header_timeout");
        let body_timeout = self.millis(s, "body_timeout");
        let intake = self.intake(s);
        let connections = self.count(s, "connections");
        let drain_delay = self.millis(s, "drain_delay");
        let drain_grace = self.millis(s, "drain_grace");
        Some(Entry {
            listen: listen?,
            admin,
            tls,
            body_bytes: body_bytes?,
            header_timeout: header_timeout?,
            body_timeout: body_timeout?,
            intake: intake?,
            connections: connections?,
            drain_delay: drain_delay?,
            drain_grace: drain_grace?,
        })
    }

    fn sidecar(&mut self, s: &Section) -> Option<Sidecar> {
        let announce = self.address(s, "announce");
        let order = self.word(s, "order").map(|word| match word.as_str() {
            "even" => Order::Even,
            "fifo" => Order::Fifo,
            _ => Order::Short,
        });
        let memory_share = self.percent(s, "memory_share");
        let short_reserve = self.percent(s, "short_reserve");
        let running = self.count(s, "running");
        let waiting = self.count(s, "waiting");
        let drain_grace = self.millis(s, "drain_grace");
        Some(Sidecar {
            announce: announce?,
            order: order?,
            memory_share: memory_share?,
            short_reserve: short_reserve?,
            running: running?,
            waiting: waiting?,
            drain_grace: drain_grace?,
        })
    }

    fn replica(&mut self, s: &Section) -> Option<Replica> {
        let admin = self.address(s, "admin");
        let members = self.members(s);
        let founds = self.word(s, "founds").map(|word| word == "yes");
        let repairs = self.word(s, "repairs").map(|word| word == "yes");
        let operator_key = self.hash(s, "operator_key");
        let metrics = self.address(s, "metrics");
        let tls = self.tls(s);
        let stop_time = self.decimal(s, "stop_time").map(Duration::from_secs_f64);
        Some(Replica {
            admin: admin?,
            members: members.unwrap_or_default(),
            founds: founds?,
            repairs: repairs?,
            stop_time: stop_time?,
            operator_key,
            metrics,
            tls,
        })
    }

    fn gateway(&mut self, s: &Section) -> Option<Gateway> {
        let listen = self.address(s, "listen");
        let ready = self.address(s, "ready");
        let ready_connections = self.count(s, "ready_connections");
        let intake = self.intake(s);
        let slow_reader = self.millis(s, "slow_reader");
        let metrics = self.address(s, "metrics");
        let exchange = self.addresses(s, "exchange").unwrap_or_default();
        let exchange = with_port(exchange, self.port(s, "exchange_port"));
        let stale = self.millis(s, "stale");
        let retry_window = self.millis(s, "retry_window");
        let retry_percent = self.percent(s, "retry_percent");
        let retry_span = self.decimal(s, "retry_span").map(Duration::from_secs_f64);
        let retry_slack = self.decimal(s, "retry_slack");
        let retry_hosts = self.number(s, "retry_hosts");
        let memory_hold = self.millis(s, "memory_hold");
        let revocation = self.millis(s, "revocation");
        let retry_share = self.decimal(s, "retry_share");
        let stop_time = self.decimal(s, "stop_time").map(Duration::from_secs_f64);
        let drain_delay = self.millis(s, "drain_delay");
        let drain_grace = self.millis(s, "drain_grace");
        let settling = self.millis(s, "settling");
        let places = self.word(s, "places").map(|word| word == "yes");
        let shares = self.word(s, "shares").map(|word| word == "yes");
        let observed_pace = self.word(s, "observed_pace").map(|word| word == "yes");
        Some(Gateway {
            listen: listen?,
            ready: ready?,
            ready_connections: ready_connections?,
            intake: intake?,
            slow_reader: slow_reader?,
            metrics,
            exchange,
            stale: stale?,
            retry_window: retry_span.or(retry_window)?,
            retry_percent,
            retry_slack: retry_slack?,
            retry_hosts: u32::try_from(retry_hosts?).ok()?,
            memory_hold: memory_hold?,
            revocation,
            retry_share,
            stop_time,
            drain_delay: drain_delay?,
            drain_grace: drain_grace?,
            settling: settling?,
            places: places?,
            shares: shares?,
            observed_pace: observed_pace?,
        })
    }

    fn directory(&mut self, s: &Section) -> Option<Directory> {
        let listen = self.address(s, "listen");
        let body_memory = self.mebibytes(s, "body_memory");
        let body_pieces = self.count(s, "body_pieces");
        let discard_time = self.millis(s, "discard_time");
        let reading_memory = self.mebibytes(s, "reading_memory");
        let exchange = self.address(s, "exchange");
        let domains = self.names(s, "domains").unwrap_or_default();
        let deltas = self.word(s, "deltas").map(|word| word == "yes");
        let lease = self.millis(s, "lease");
        let reinstate = self.word(s, "reinstate").map(|word| word == "yes");
        Some(Directory {
            listen: listen?,
            body_memory,
            body_pieces: body_pieces?,
            discard_time: discard_time?,
            reading_memory,
            exchange,
            domains,
            deltas: deltas?,
            lease: lease?,
            reinstate: reinstate?,
        })
    }

    fn security(&mut self, s: &Section) -> Option<Security> {
        let ca = self.path(s, "ca");
        let certificate = self.path(s, "certificate");
        let key = self.path(s, "key");
        Some(Security {
            ca: ca?,
            certificate: certificate?,
            key: key?,
        })
    }

    fn log(&mut self, s: &Section) -> Option<Log> {
        let format = self.word(s, "format").map(|word| match word.as_str() {
            "json" => Format::Json,
            _ => Format::Text,
        });
        let output = self.word(s, "output").map(|word| match word.as_str() {
            "stdout" => Output::Stdout,
            _ => Output::Stderr,
        });
        let filter = self.parse(
            s,
            "filter",
            "write it as info,almondlock_node=debug",
            |text| log::check(text).map(|()| text.to_owned()),
        );
        let spans = self.path(s, "spans");
        Some(Log {
            format: format?,
            output: output?,
            filter: filter?,
            spans,
        })
    }

    fn metrics(&mut self, s: &Section) -> Option<Metrics> {
        let statsd = self.address(s, "statsd");
        let prefix = self.name::<almondlock_base::id::Service>(s, "prefix");
        Some(Metrics {
            statsd,
            prefix: prefix?.to_string(),
        })
    }
}

/// Checks over several keys.
impl Reader<'_> {
    fn roles(&mut self, sections: &[Section]) {
        let has = |name| sections.iter().find(|section| section.name == name);
        let Some(host) = has("host") else {
            let remedy = "add it, with name, domain, region and listen";
            self.problem(0, "[host]", "the section is missing", remedy);
            return;
        };
        if ["entry", "sidecar", "gateway", "replica"]
            .iter()
            .all(|role| has(role).is_none())
        {
            let remedy = "add [entry], [sidecar], [gateway] or [replica]";
            self.problem(0, "", "the process has no role", remedy);
        }
        match has("replica") {
            Some(replica) if host.get("data").is_none() => {
                let remedy = "add data = FOLDER to [host], on a disk of the host's own";
                let message = "a replica has nowhere to keep its state";
                self.problem(replica.line, "[host] data", message, remedy);
            }
            None if host.get("seeds").is_none() => {
                let remedy = "add seeds = IP:PORT, ... with the replicas' inner addresses";
                let message = "a process that is no replica knows nobody to fetch from";
                self.problem(host.line, "[host] seeds", message, remedy);
            }
            _ => {}
        }
    }

    fn listeners(&mut self, sections: &[Section]) {
        let mut seen: HashMap<SocketAddr, String> = HashMap::new();
        let values = sections.iter().flat_map(Section::values);
        for value in values.filter(|value| value.key.shape == Shape::Listen) {
            let Ok(address) = value.text.parse::<SocketAddr>() else {
                continue;
            };
            match seen.get(&address) {
                Some(other) if address.port() != 0 => {
                    let message = format!("{address} is taken by {other}");
                    let remedy = "give each listener an address of its own";
                    self.problem(value.line, &value.field(), &message, remedy);
                }
                _ => {
                    seen.insert(address, value.field());
                }
            }
        }
    }

    fn tls(&mut self, s: &Section) -> Option<Tls> {
        let certificate = self.path(s, "certificate");
        let key = self.path(s, "key");
        match (s.get("certificate"), s.get("key")) {
            (Some(value), None) | (None, Some(value)) => {
                let message = "certificate and key belong together";
                self.problem(value.line, &value.field(), message, "set both or neither");
            }
            _ => {}
        }
        Some(Tls {
            certificate: certificate?,
            key: key?,
        })
    }
}

/// The addresses, with another port if one is given.
fn with_port(mut addresses: Vec<SocketAddr>, port: Option<u16>) -> Vec<SocketAddr> {
    if let Some(port) = port {
        addresses
            .iter_mut()
            .for_each(|address| address.set_port(port));
    }
    addresses
}

/// Turns "a section that failed to read" into a failure, and leaves "no such
/// section" alone.
fn whole<T>(section: Option<Option<T>>) -> Option<Option<T>> {
    match section {
        Some(None) => None,
        Some(read) => Some(read),
        None => Some(None),
    }
}
