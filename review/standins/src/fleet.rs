//! A small deployment on loopback addresses: replicas and entry hosts as processes of the
//! project, started with the command of the deploy file.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http::{self, Answer};

pub const STOP: i32 = 19;
pub const CONT: i32 = 18;
pub const TERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The ports that every machine has: inner, exchange, control, callers, readiness, metrics. A
/// run whose ports are taken adds a multiple of 10 to each.
const PORTS: [u16; 6] = [7340, 7355, 8229, 8227, 8220, 9464];

type Ports = [u16; 6];
/// Zones. The core machines are spread over them in this order.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// A process of the project.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    ports: Ports,
    program: PathBuf,
    file: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) -> io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file.with_extension("log"))?;
        let errors: File = log.try_clone()?;
        let child = Command::new(&self.program)
            .arg("run")
            .arg(&self.file)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&mut self, signal: i32) {
        if let Some(child) = &mut self.child
            && matches!(child.try_wait(), Ok(None))
        {
            let id = i32::try_from(child.id()).unwrap_or(0);
            assert!(id > 0);
            // Only a child of this program, which has not been waited for.
            unsafe { kill(id, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it has ended by itself.
    #[must_use]
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    pub fn at(&self, port: usize) -> SocketAddr {
        (self.ip, self.ports[port]).into()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Fleet {
    pub folder: PathBuf,
    pub base: u8,
    pub cores: Vec<Process>,
    pub fronts: Vec<Process>,
    ports: Ports,
    _claim: TcpListener,
    program: PathBuf,
}

impl Fleet {
    /// Starts this many replicas, three at least, and this many entry hosts.
    pub fn start(root: &Path, cores: usize, fronts: usize) -> io::Result<Fleet> {
        let program = root.join("target/release/almondlockd");
        if !program.exists() {
            return Err(io::Error::other("target/release/almondlockd isn't built"));
        }
        let (base, ports, claim) = claim()?;
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Fleet {
            folder,
            base,
            cores: Vec::new(),
            fronts: Vec::new(),
            ports,
            _claim: claim,
            program,
        };
        for n in 0..cores {
            let core = fleet.core(n, ZONES[n % ZONES.len()], true)?;
            fleet.cores.push(core);
        }
        for n in 0..fronts {
            let front = fleet.front(n)?;
            fleet.fronts.push(front);
        }
        for process in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
            process.start()?;
        }
        Ok(fleet)
    }

    pub fn ip(&self, class: u8, n: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base, class, u8::try_from(n + 1).unwrap_or(255))
    }

    fn seeds(&self, port: u16) -> String {
        let seeds = (0..3).map(|n| SocketAddr::from((self.ip(1, n), port)).to_string());
        seeds.collect::<Vec<_>>().join(",")
    }

    /// A core machine, its settings as `platform/core.ini` has them.
    fn core(&self, n: usize, zone: &str, bootstrap: bool) -> io::Result<Process> {
        let ip = self.ip(1, n);
        let [inner, exchange, control, _, _, metrics] = self.ports;
        let data = self.folder.join(format!("data-{n}"));
        fs::create_dir_all(&data)?;
        let text = format!(
            "[host]\nname = {ip}\ndomain = {zone}\nregion = r\nlisten = {ip}:{inner}\n\
             seeds = {seeds}\nseed_port = {inner}\nfollow = 400\ndata = {data}\n\n\
             [replica]\nadmin = {ip}:{exchange}\nfounds = {founds}\nrepairs = yes\n\
             metrics = {ip}:{metrics}\n\n\
             [directory]\nlisten = {ip}:{control}\nexchange = {ip}:{exchange}\ndeltas = yes\n\
             domains = {zones}\n\n\
             [log]\nformat = json\noutput = stdout\nfilter = warn,almondlock=info\n",
            seeds = self.seeds(control),
            data = data.display(),
            founds = if bootstrap { "yes" } else { "no" },
            zones = ZONES.join(","),
        );
        self.process(format!("core-{n}"), ip, &text)
    }

    /// A front machine, its settings as `platform/front.ini` has them.
    fn front(&self, n: usize) -> io::Result<Process> {
        let ip = self.ip(2, n);
        let [inner, exchange, control, callers, ready, metrics] = self.ports;
        let text = format!(
            "[host]\nname = front-{n}\ndomain = {zone}\nregion = r\nlisten = {ip}:{inner}\n\
             seeds = {seeds}\nseed_port = {inner}\nfollow = 400\n\n\
             [gateway]\nlisten = {ip}:{callers}\nready = {ip}:{ready}\nmetrics = {ip}:{metrics}\n\
             revocation = 5000\nretry_share = 0.2\nstop_time = 8\nmemory_hold = 4000\n\
             settling = 1100\nplaces = yes\nexchange = {seeds}\nexchange_port = {exchange}\n\n\
             [log]\nformat = json\noutput = stdout\nfilter = warn,almondlock=info\n",
            zone = ZONES[n % ZONES.len()],
            seeds = self.seeds(control),
        );
        self.process(format!("front-{n}"), ip, &text)
    }

    fn process(&self, name: String, ip: Ipv4Addr, text: &str) -> io::Result<Process> {
        let file = self.folder.join(format!("{name}.ini"));
        File::create(&file)?.write_all(text.as_bytes())?;
        Ok(Process {
            name,
            ip,
            ports: self.ports,
            program: self.program.clone(),
            file,
            child: None,
        })
    }

    /// The system runs: core machines that start from now on don't bootstrap.
    pub fn founded(&self) -> io::Result<()> {
        (0..self.cores.len())
            .try_for_each(|n| self.core(n, ZONES[n % ZONES.len()], false).map(drop))
    }

    /// One more core machine, in the zone of another one. It isn't started yet.
    pub fn newcomer(&mut self, beside: usize) -> io::Result<usize> {
        let n = self.cores.len();
        let core = self.core(n, ZONES[beside % ZONES.len()], false)?;
        self.cores.push(core);
        Ok(n)
    }

    /// Kills a core machine's process and empties its disk.
    pub fn wipe(&mut self, n: usize) -> io::Result<()> {
        self.cores[n].kill();
        let data = self.folder.join(format!("data-{n}"));
        fs::remove_dir_all(&data)?;
        fs::create_dir_all(&data)
    }

    /// The newest version that a node reads back, or why there is none.
    pub fn read(&self, n: usize) -> Result<u64, String> {
        let mut at = self.cores[n].at(2);
        for _ in 0..3 {
            let wait = Duration::from_secs(1);
            let answer = http::call(at, "GET", "/api/config", &[], "", wait);
            let answer = answer.map_err(|error| format!("{:?}", error.kind()))?;
            if answer.status == 307 {
                let to = answer
                    .header("location")
                    .and_then(|to| to.strip_prefix("http://")?.split('/').next()?.parse().ok());
                at = to.ok_or("no location")?;
                continue;
            }
            if answer.status != 200 {
                return Err(answer.status.to_string());
            }
            let digits = answer.body.split("\"version\":").nth(1).unwrap_or_default();
            let end = digits.find(|c: char| !c.is_ascii_digit()).unwrap_or(0);
            return digits[..end].parse().map_err(|_| "unreadable".to_owned());
        }
        Err("redirected too often".to_owned())
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(|core| core.at(2)).collect()
    }

    /// Sends an order as the operator does: a second for each call, two redirects followed, on
    /// to another node after a failure. Returns the clear answer and when it came.
    pub fn order(&self, method: &str, path: &str, body: &str, until: Instant) -> Option<Answer> {
        self.order_from(0, method, path, body, until)
    }

    /// The same, beginning with this core machine.
    pub fn order_from(
        &self,
        first: usize,
        method: &str,
        path: &str,
        body: &str,
        until: Instant,
    ) -> Option<Answer> {
        let mut turn = first;
        while Instant::now() < until {
            let controls = self.controls();
            let mut at = controls[turn % controls.len()];
            turn += 1;
            for _ in 0..3 {
                let sent = http::call(at, method, path, &[], body, Duration::from_secs(1));
                match sent {
                    Ok(answer) if answer.status == 307 => {
                        let next = answer.header("location").and_then(|to| {
                            let to = to.strip_prefix("http://")?;
                            to.split('/').next()?.parse().ok()
                        });
                        match next {
                            Some(next) => at = next,
                            None => break,
                        }
                    }
                    Ok(answer) if answer.status < 500 => return Some(answer),
                    _ => break,
                }
            }
            sleep(Duration::from_millis(100));
        }
        None
    }

    /// The place of the core machine that leads, as the others' redirects tell.
    pub fn leader(&self) -> Option<usize> {
        for (n, core) in self.cores.iter().enumerate() {
            let wait = Duration::from_secs(1);
            let Ok(answer) = http::call(core.at(2), "GET", "/api/config", &[], "", wait) else {
                continue;
            };
            if answer.status == 200 {
                return Some(n);
            }
            let to = answer.header("location").unwrap_or_default();
            let found = self
                .cores
                .iter()
                .position(|core| to.contains(&core.at(2).to_string()));
            if found.is_some() {
                return found;
            }
        }
        None
    }

    pub fn is_ready(&self, front: usize) -> bool {
        let wait = Duration::from_millis(500);
        let answer = http::call(self.fronts[front].at(4), "GET", "/readyz", &[], "", wait);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn end(mut self) {
        for process in self.cores.iter_mut().chain(&mut self.fronts) {
            process.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

/// Addresses of this run's own, and ports that are free there.
fn claim() -> io::Result<(u8, Ports, TcpListener)> {
    for offset in (0..200).step_by(10) {
        let ports = PORTS.map(|port| port + offset);
        for base in 30..220_u8 {
            let free = |class: u8| {
                let ip = Ipv4Addr::new(127, base, class, 1);
                ports
                    .iter()
                    .all(|port| TcpListener::bind((ip, *port)).is_ok())
            };
            let own = Ipv4Addr::new(127, base, 9, 9);
            if let Ok(claim) = TcpListener::bind((own, PORTS[0]))
                && free(1)
                && free(2)
            {
                return Ok((base, ports, claim));
            }
        }
    }
    Err(io::Error::other("no loopback addresses are free"))
}
