//! The project's processes, started with the command and the templates of the deploy file, on
//! loopback addresses of their own, and the operator's side.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio, id},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    template::{Fields, render},
};

const CONTROL: u16 = 8229;
const FRONT: u16 = 8227;
const READY: u16 = 8220;
const INTERNAL: [u16; 2] = [7340, 7355];
const METRICS: u16 = 9464;
/// The program of the deploy file.
const PROGRAM: &str = "target/release/almondlockd";
const ZONES: [&str; 3] = ["mladost-hall", "lozenets-hall", "obelya-hall"];
/// Time that an operator waits for a call.
const CALL: Duration = Duration::from_secs(1);

/// The class of a machine. Its number is the third one of its address.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Core = 1,
    Front = 2,
}

struct Machine {
    class: Class,
    place: usize,
    child: Option<Child>,
}

/// A deployment with three cores and two fronts.
pub struct Fleet {
    base: u8,
    folder: PathBuf,
    machines: Vec<Machine>,
    /// The cores that the operator's list names.
    cores: Vec<usize>,
    record: Record,
}

impl Fleet {
    /// Takes free addresses and a new folder. Nothing runs yet.
    pub fn new(record: &Record) -> io::Result<Fleet> {
        let first = (id() % 150) as u8 + 40;
        let mut bases = (0..150).map(|n| (first - 40 + n) % 150 + 40);
        let base = bases.find(|base| is_free(*base));
        let base = base.ok_or_else(|| io::Error::other("no free addresses"))?;
        let folder = std::env::temp_dir().join(format!("almondlock-trial-{}", id()));
        fs::create_dir_all(&folder)?;
        let cores = (0..3).map(|place| (Class::Core, place));
        let fronts = (0..2).map(|place| (Class::Front, place));
        let machines = cores.chain(fronts).map(|(class, place)| Machine {
            class,
            place,
            child: None,
        });
        Ok(Fleet {
            base,
            folder,
            machines: machines.collect(),
            cores: vec![0, 1, 2],
            record: record.clone(),
        })
    }

    pub fn ip(&self, class: u8, place: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base, class, place as u8 + 1)
    }

    pub fn control(&self, place: usize) -> SocketAddr {
        (self.ip(Class::Core as u8, place), CONTROL).into()
    }

    pub fn front(&self, place: usize) -> SocketAddr {
        (self.ip(Class::Front as u8, place), FRONT).into()
    }

    fn ready(&self, place: usize) -> SocketAddr {
        (self.ip(Class::Front as u8, place), READY).into()
    }

    fn fields(&self, class: Class, place: usize, bootstrap: bool) -> Fields {
        let ip = self.ip(class as u8, place);
        let seeds = self.cores.iter().map(|n| self.control(*n).to_string());
        let seeds: Vec<String> = seeds.collect();
        let mut fields = Fields {
            zones: ZONES.map(str::to_owned).to_vec(),
            ..Fields::default()
        };
        let mut set = |name, value: String| {
            fields.values.insert(name, value);
        };
        set("ip", ip.to_string());
        set("zone", ZONES[place % 3].to_owned());
        set("region", "sofia".to_owned());
        set("seeds", seeds.join(","));
        set("internalPorts.0", INTERNAL[0].to_string());
        set("internalPorts.1", INTERNAL[1].to_string());
        set("bounds.revokeMs", "5000".to_owned());
        set("bounds.retryRatio", "0.2".to_owned());
        set("bounds.retrySlack", "104".to_owned());
        set("bounds.retryWindowS", "10".to_owned());
        set("bounds.graceS", "8".to_owned());
        set("bounds.freeMs", "4000".to_owned());
        match class {
            Class::Core => {
                let data = self.folder.join(format!("data-{place}"));
                set("nodeName", format!("core-{place}"));
                set("limits.memoryMb", "256".to_owned());
                set("limits.maxFds", "4096".to_owned());
                set("dataDir", data.display().to_string());
                set("bootstrap", bootstrap.to_string());
                set("listen.control", self.control(place).to_string());
            }
            Class::Front => {
                set("nodeName", format!("front-{place}"));
                set("limits.memoryMb", "260".to_owned());
                set("limits.maxFds", "4100".to_owned());
                set("listen.front", self.front(place).to_string());
                set("listen.ready", self.ready(place).to_string());
            }
        }
        fields
    }

    /// Starts all processes. `bootstrap` is true at the first start only.
    pub fn start(&mut self, bootstrap: bool) -> io::Result<()> {
        for n in 0..self.machines.len() {
            self.start_machine(n, bootstrap)?;
        }
        self.record.write("platform: all processes started");
        Ok(())
    }

    fn start_machine(&mut self, n: usize, bootstrap: bool) -> io::Result<()> {
        let (class, place) = (self.machines[n].class, self.machines[n].place);
        let settings = self.write_settings(class, place, bootstrap)?;
        let log = settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .arg("run")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.machines[n].child = Some(child);
        Ok(())
    }

    /// Writes the settings file of a process, as the platform does at its start and whenever the
    /// settings change.
    fn write_settings(&self, class: Class, place: usize, bootstrap: bool) -> io::Result<PathBuf> {
        let (kind, template) = match class {
            Class::Core => ("core", "platform/core.ini"),
            Class::Front => ("front", "platform/front.ini"),
        };
        let text = fs::read_to_string(template)?;
        let settings = self.folder.join(format!("{kind}-{place}.ini"));
        fs::write(
            &settings,
            render(&text, &self.fields(class, place, bootstrap)),
        )?;
        Ok(settings)
    }

    /// Replaces a core by an empty one at another address: the new one starts, and after `overlap`
    /// the old one gets SIGTERM.
    pub fn replace(&mut self, old: usize, new: usize, overlap: Duration) -> io::Result<()> {
        self.add_core(new)?;
        sleep(overlap);
        self.signal(Class::Core, old, "TERM")?;
        self.remove_core(old)
    }

    /// Starts a core with an empty disk.
    pub fn add_core(&mut self, place: usize) -> io::Result<()> {
        let known = self.place(place);
        let n = known.unwrap_or(self.machines.len());
        if known.is_none() {
            self.machines.push(Machine {
                class: Class::Core,
                place,
                child: None,
            });
        }
        self.start_machine(n, false)?;
        if !self.cores.contains(&place) {
            self.cores.push(place);
        }
        let address = self.control(place);
        self.record.write(&format!(
            "platform: core {address} started, its disk is empty"
        ));
        Ok(())
    }

    /// Waits until a core that was told to stop has ended.
    pub fn remove_core(&mut self, place: usize) -> io::Result<()> {
        let n = self.place(place);
        if let Some(mut child) = n.and_then(|n| self.machines[n].child.take()) {
            child.wait()?;
        }
        self.cores.retain(|core| *core != place);
        let address = self.control(place);
        self.record
            .write(&format!("platform: core {address} has ended and is gone"));
        Ok(())
    }

    /// A core loses its disk: its process is killed and its folder emptied.
    pub fn lose_disk(&mut self, place: usize) -> io::Result<()> {
        let n = self.place(place);
        if let Some(mut child) = n.and_then(|n| self.machines[n].child.take()) {
            child.kill()?;
            child.wait()?;
        }
        fs::remove_dir_all(self.folder.join(format!("data-{place}")))?;
        let address = self.control(place);
        self.record.write(&format!(
            "platform: core {address} is down and has lost its disk"
        ));
        Ok(())
    }

    fn place(&self, place: usize) -> Option<usize> {
        let mut machines = self.machines.iter();
        machines.position(|m| m.class == Class::Core && m.place == place)
    }

    /// The core that takes a configuration itself and redirects nobody. `text` is one that it
    /// has, so that nothing changes.
    pub fn leader(&self, text: &str) -> Option<usize> {
        let mut cores = self.cores.iter().copied();
        cores.find(|place| {
            let to = self.control(*place);
            let headers = format!("host: {to}\r\nconnection: close\r\n");
            let answer = http::call(to, ("PUT", "/api/config"), &headers, text, CALL);
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Reads the configuration at every core. Returns the highest version that was read.
    pub fn read(&self) -> Option<u64> {
        let answers = self.cores.iter().map(|place| {
            let to = self.control(*place);
            let answer = call_control(to, ("GET", "/api/config"), "").ok()?;
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            self.record.write(&format!(
                "operator: read at {to} answered {}",
                answer.status()
            ));
            let rest = text.strip_prefix("{\"version\":")?;
            rest.split(',').next()?.parse().ok()
        });
        let versions: Vec<Option<u64>> = answers.collect();
        versions.into_iter().flatten().max()
    }

    /// Sends a signal to a process.
    pub fn signal(&self, class: Class, place: usize, signal: &str) -> io::Result<()> {
        let mut machines = self.machines.iter();
        let machine = machines.find(|m| m.class == class && m.place == place && m.child.is_some());
        let child = machine.and_then(|machine| machine.child.as_ref());
        let child = child.ok_or_else(|| io::Error::other("no such process"))?;
        let line = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").args(["-c", &line]).status()?;
        self.record.write(&format!(
            "platform: SIG{signal} to {} {place}",
            match class {
                Class::Core => "core",
                Class::Front => "front",
            }
        ));
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal wasn't sent")),
        }
    }

    /// The settings of a front have changed: its file is written anew, and it gets SIGHUP.
    pub fn change_settings(&self, place: usize) -> io::Result<()> {
        self.write_settings(Class::Front, place, false)?;
        self.signal(Class::Front, place, "HUP")
    }

    /// Kills all processes at the same moment.
    pub fn kill(&mut self) {
        let mut children: Vec<Child> = Vec::new();
        for machine in &mut self.machines {
            children.extend(machine.child.take());
        }
        for child in &mut children {
            // It may have ended by itself.
            let _ = child.kill();
        }
        for child in &mut children {
            let _ = child.wait();
        }
        self.record.write("platform: all processes killed");
    }

    /// Returns the processes that have ended by themselves.
    pub fn ended(&mut self) -> usize {
        let mut ended = 0;
        for machine in &mut self.machines {
            if let Some(child) = &mut machine.child {
                ended += usize::from(!matches!(child.try_wait(), Ok(None)));
            }
        }
        ended
    }

    /// Publishes a configuration: sent to one control after the other until it is
    /// acknowledged.
    pub fn publish(&self, text: &str, allowed: Duration) -> bool {
        let until = Instant::now() + allowed;
        while Instant::now() < until {
            for place in self.cores.iter().copied() {
                let answer = call_control(self.control(place), ("PUT", "/api/config"), text);
                if let Ok(answer) = answer
                    && answer.status() == 200
                {
                    self.record.write("operator: configuration acknowledged");
                    return true;
                }
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until every front says that it is ready.
    pub fn wait_ready(&self, allowed: Duration) -> bool {
        let until = Instant::now() + allowed;
        while Instant::now() < until {
            let is_ready = |place| {
                let host = format!("host: {}\r\n", self.ready(place));
                let answer = http::call(self.ready(place), ("GET", "/readyz"), &host, "", CALL);
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            if (0..2).all(is_ready) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill();
        if std::env::var_os("KEEP").is_none() {
            // What is left of a temporary folder harms nobody.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Calls a control and follows a 307 twice.
pub fn call_control(
    to: SocketAddr,
    (method, path): (&str, &str),
    body: &str,
) -> io::Result<Message> {
    let mut to = to;
    for _ in 0..3 {
        let headers =
            format!("host: {to}\r\nconnection: close\r\ncontent-type: application/json\r\n");
        let answer = http::call(to, (method, path), &headers, body, CALL)?;
        let next = answer.get("location").filter(|_| answer.status() == 307);
        let next = next.and_then(|url| url.strip_prefix("http://"));
        let next = next.and_then(|rest| rest.split('/').next()?.parse().ok());
        match next {
            Some(next) => to = next,
            None => return Ok(answer),
        }
    }
    Err(io::Error::other("redirected too often"))
}

/// Whether all ports of these addresses are free.
fn is_free(base: u8) -> bool {
    let ports = [CONTROL, FRONT, READY, INTERNAL[0], INTERNAL[1], METRICS];
    let hosts = [(1, 1), (1, 2), (1, 3), (2, 1), (2, 2)];
    hosts.iter().all(|(class, place)| {
        let ip = Ipv4Addr::new(127, base, *class, *place);
        ports
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
    })
}
