//! A watch over the memory of child processes, which ends one that uses more than its
//! machine has.

use std::{
    fs,
    net::SocketAddr,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

/// How often it looks.
const PERIOD: Duration = Duration::from_millis(50);

/// A process to watch.
#[derive(Clone, Debug)]
pub struct Watched {
    pub name: String,
    pub id: u32,
    /// Bytes that its machine has.
    pub memory: u64,
    /// Its listeners: bytes that wait in the kernel for it count as well.
    pub listeners: Vec<SocketAddr>,
}

/// The most that a process used.
#[derive(Clone, Debug, Default)]
pub struct Peak {
    pub name: String,
    /// Bytes, with those that wait in the kernel.
    pub bytes: u64,
    /// Of these, the ones in the kernel at that moment.
    pub queued: u64,
    pub connections: usize,
    /// It used more than its machine has, and was ended.
    pub ended: bool,
}

/// The watch, on a thread of its own.
pub struct Watch {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Peak>>,
}

impl Watch {
    /// Begins to watch.
    pub fn begin(processes: Vec<Watched>) -> Watch {
        let over = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&over);
        let thread = std::thread::spawn(move || {
            let named = |process: &Watched| Peak {
                name: process.name.clone(),
                ..Peak::default()
            };
            let mut peaks: Vec<Peak> = processes.iter().map(named).collect();
            while !told.load(Ordering::Relaxed) {
                let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
                for (process, peak) in processes.iter().zip(&mut peaks) {
                    look(process, &sockets, peak);
                }
                std::thread::sleep(PERIOD);
            }
            peaks
        });
        Watch { over, thread }
    }

    /// Returns the peaks.
    pub fn end(self) -> Vec<Peak> {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

fn look(process: &Watched, sockets: &str, peak: &mut Peak) {
    if peak.ended {
        return;
    }
    let Some(resident) = resident(process.id) else {
        return;
    };
    let (queued, connections) = queues(sockets, &process.listeners);
    let bytes = resident + queued;
    if bytes > peak.bytes {
        (peak.bytes, peak.queued) = (bytes, queued);
    }
    peak.connections = peak.connections.max(connections);
    if bytes > process.memory {
        peak.ended = true;
        let id = process.id.to_string();
        let _ = Command::new("kill").args(["-KILL", &id]).status();
    }
}

/// Bytes of a process that are in memory.
pub fn resident(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").trim().parse().ok()?;
    Some(kilobytes * 1024)
}

/// Bytes that wait in the kernel on connections of these listeners, and how many there are.
fn queues(sockets: &str, listeners: &[SocketAddr]) -> (u64, usize) {
    let (mut bytes, mut connections) = (0, 0);
    for line in sockets.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queues, ..] = fields[..] else {
            continue;
        };
        let port = local.rsplit(':').next();
        let port = port.and_then(|port| u16::from_str_radix(port, 16).ok());
        // 0A is a listener, whose queues count connections.
        if state == "0A" || !listeners.iter().any(|l| Some(l.port()) == port) {
            continue;
        }
        // 01 is an established connection.
        connections += usize::from(state == "01");
        if let Some((sent, received)) = queues.split_once(':') {
            let number = |text| u64::from_str_radix(text, 16).unwrap_or(0);
            bytes += number(sent) + number(received);
        }
    }
    (bytes, connections)
}
