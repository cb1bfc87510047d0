//! What the kernel says of a process: memory, processor time, threads, and the
//! bytes of its connections.

use std::{
    collections::{HashMap, HashSet},
    error::Error,
    fs,
    process::Command,
    time::Duration,
};

/// Clock ticks of `/proc/PID/stat` in a second, the same on all Linux systems.
const TICKS: f64 = 100.0;
/// Headers of a segment: IPv4, TCP and its timestamps.
const HEADERS: u64 = 52;

/// One process at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// Resident memory, in KiB.
    pub resident: u64,
    /// Resident memory that is not a mapped file's, in KiB.
    pub anonymous: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time since its start.
    pub busy: Duration,
}

impl Sample {
    /// Of a process by its number.
    pub fn new(id: u32) -> Result<Sample, Box<dyn Error>> {
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        Ok(Sample {
            resident: field(&status, "VmRSS:")?,
            anonymous: field(&status, "RssAnon:")?,
            threads: field(&status, "Threads:")?,
            busy: busy(&stat)?,
        })
    }
}

fn field(status: &str, name: &str) -> Result<u64, Box<dyn Error>> {
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    let value = line.and_then(|l| l.split_whitespace().next());
    Ok(value.ok_or("a field of /proc is missing")?.parse()?)
}

fn busy(stat: &str) -> Result<Duration, Box<dyn Error>> {
    // The name may hold spaces; it ends with the last parenthesis.
    let (_, rest) = stat.rsplit_once(") ").ok_or("stat without a name")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks = |n: usize| -> Result<f64, Box<dyn Error>> {
        let field = fields.get(n).ok_or("stat is too short")?;
        Ok(field.parse::<f64>()?)
    };
    Ok(Duration::from_secs_f64((ticks(11)? + ticks(12)?) / TICKS))
}

/// Bytes that a process's inner connections moved, both ways.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Of the streams.
    pub stream: u64,
    /// With the headers of TCP and IP.
    pub wire: u64,
    /// Connections.
    pub links: u64,
}

/// One end of a connection: process, local and remote address.
type End = (u32, String, String);

/// The inner connections at one moment. Only those that `ss` shows count: what
/// was both opened and closed between two looks is not seen.
pub struct Links {
    ends: HashMap<End, Traffic>,
}

impl Links {
    /// Of all processes whose connections touch one of these ports.
    pub fn new(ports: &HashSet<u16>) -> Result<Links, Box<dyn Error>> {
        let output = Command::new("ss").arg("-tinpOH").output()?;
        if !output.status.success() {
            return Err("ss failed; it comes with iproute2".into());
        }
        let text = String::from_utf8_lossy(&output.stdout);
        let ends = text.lines().filter_map(|line| end(line, ports)).collect();
        Ok(Links { ends })
    }

    /// What moved since an earlier look, by process.
    pub fn since(&self, earlier: &Links) -> HashMap<u32, Traffic> {
        let mut moved: HashMap<u32, Traffic> = HashMap::new();
        for (end, now) in &self.ends {
            let before = earlier.ends.get(end).copied().unwrap_or_default();
            let sum = moved.entry(end.0).or_default();
            sum.stream += now.stream.saturating_sub(before.stream);
            sum.wire += now.wire.saturating_sub(before.wire);
            sum.links += now.links;
        }
        moved
    }
}

fn end(line: &str, ports: &HashSet<u16>) -> Option<(End, Traffic)> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (local, remote) = (*fields.get(3)?, *fields.get(4)?);
    if !inner(local, ports) && !inner(remote, ports) {
        return None;
    }
    let id = fields.get(5)?.split_once("pid=")?.1;
    let id = id.split(',').next()?.parse().ok()?;
    let value = |name: &str| -> u64 {
        let found = fields.iter().find_map(|f| f.strip_prefix(name));
        found.and_then(|v| v.parse().ok()).unwrap_or(0)
    };
    let stream = value("bytes_sent:") + value("bytes_received:");
    let segments = value("segs_out:") + value("segs_in:");
    let wire = stream + segments * HEADERS;
    let end = (id, local.to_owned(), remote.to_owned());
    let links = 1;
    let traffic = Traffic {
        stream,
        wire,
        links,
    };
    Some((end, traffic))
}

fn inner(address: &str, ports: &HashSet<u16>) -> bool {
    let port = address.rsplit_once(':').and_then(|(_, p)| p.parse().ok());
    port.is_some_and(|port: u16| ports.contains(&port))
}
