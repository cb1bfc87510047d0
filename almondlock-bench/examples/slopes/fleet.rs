//! The processes of one run, with the stand-in engines behind them.

use std::{
    error::Error,
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use almondlock_standin::engine::{self, Engine};
use serde_json::json;
use tokio::{task::JoinHandle, time::sleep};

use crate::client::{Api, CALLER_KEY, OPERATOR_KEY};

/// Control replicas, one in each failure domain.
const REPLICAS: usize = 3;
/// Stand-in engines; announced upstreams share them.
const ENGINES: usize = 4;
/// How often an upstream announces itself.
const ANNOUNCEMENT: Duration = Duration::from_secs(2);
/// How long the parts may take to find each other.
const PATIENCE: Duration = Duration::from_secs(60);
/// The first port that is tried, below the range that the system hands out.
const FIRST_PORT: u16 = 30_000;
/// What the processes do just after their start is not measured.
const SETTLE: Duration = Duration::from_secs(5);

/// How large a fleet is.
pub struct Shape {
    /// The daemon's binary.
    pub program: PathBuf,
    /// Sidecar processes, each with one upstream.
    pub sidecars: usize,
    /// Entry hosts.
    pub entries: usize,
}

impl Shape {
    /// All processes of the system.
    pub fn processes(&self) -> usize {
        self.sidecars + self.entries + REPLICAS
    }
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside an upstream.
    Sidecar,
    /// Keeps the replicated log.
    Replica,
}

impl Role {
    /// All of them.
    pub const ALL: [Role; 3] = [Role::Entry, Role::Sidecar, Role::Replica];

    /// As it stands in the CSV file.
    pub fn name(self) -> &'static str {
        match self {
            Role::Entry => "entry",
            Role::Sidecar => "sidecar",
            Role::Replica => "replica",
        }
    }
}

/// A process of the system, ended with this value.
pub struct Process {
    /// Its role.
    pub role: Role,
    /// Its inner address.
    pub inner: SocketAddr,
    child: Child,
}

impl Process {
    /// The system's number for it.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running fleet.
pub struct Fleet {
    /// Its size.
    pub shape: Shape,
    /// Its processes, which end before their folder goes.
    pub processes: Vec<Process>,
    /// Where callers' requests go.
    pub entries: Vec<SocketAddr>,
    /// The operators' and callers' client.
    pub api: Api,
    announcing: Vec<JoinHandle<()>>,
    _engines: Vec<engine::Handle>,
    _folder: Folder,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.announcing.iter().for_each(JoinHandle::abort);
    }
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // A few kilobytes stay behind at worst.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What is needed to start processes.
struct Starter<'a> {
    program: &'a Path,
    folder: &'a Path,
    members: &'a [(SocketAddr, SocketAddr)],
    ports: Ports,
}

impl Fleet {
    /// Starts all processes and waits until requests are served.
    pub async fn start(shape: Shape) -> Result<Fleet, Box<dyn Error>> {
        let folder = std::env::temp_dir().join(format!("almondlock-slopes-{}", std::process::id()));
        fs::create_dir(&folder)?;
        let folder = Folder(folder);
        let mut ports = Ports { next: FIRST_PORT };
        let members: Vec<_> = (0..REPLICAS)
            .map(|_| (ports.draw(), ports.draw()))
            .collect();
        let mut starter = Starter {
            program: &shape.program,
            folder: &folder.0,
            members: &members,
            ports,
        };
        let mut processes = Vec::new();
        for n in 0..REPLICAS {
            processes.push(starter.replica(n)?);
        }
        let api = Api::new(members.iter().map(|(_, admin)| *admin).collect()).await?;
        configure(&api).await?;
        let engines = engines()?;
        let mut announcing = Vec::new();
        for n in 0..shape.sidecars {
            let (process, announce) = starter.sidecar(n)?;
            processes.push(process);
            let body = announcement(n, engines[n % ENGINES].address());
            announcing.push(repeat(api.clone(), announce, body));
        }
        let mut entries = Vec::new();
        for n in 0..shape.entries {
            let (process, listen) = starter.entry(n)?;
            processes.push(process);
            entries.push(listen);
        }
        let fleet = Fleet {
            shape,
            processes,
            entries,
            api,
            announcing,
            _engines: engines,
            _folder: folder,
        };
        fleet.ready().await?;
        Ok(fleet)
    }

    async fn ready(&self) -> Result<(), Box<dyn Error>> {
        tokio::time::timeout(PATIENCE, async {
            while self.api.upstreams().await < self.shape.sidecars {
                sleep(Duration::from_millis(200)).await;
            }
            for entry in &self.entries {
                while !self.api.is_ready(*entry).await {
                    sleep(Duration::from_millis(200)).await;
                }
            }
        })
        .await
        .map_err(|_| "the processes didn't find each other in time")?;
        sleep(SETTLE).await;
        Ok(())
    }
}

impl Starter<'_> {
    fn replica(&mut self, n: usize) -> Result<Process, Box<dyn Error>> {
        let members: Vec<String> = (self.members.iter().enumerate())
            .map(|(n, (inner, admin))| format!("control-{n}@{inner}@{admin}"))
            .collect();
        let (inner, admin) = self.members[n];
        let section = format!(
            "data = data-{n}\n[replica]\nadmin = {admin}\nmembers = {}\noperator_key = {}\n",
            members.join(", "),
            almondlock_state::operator::hash_key(OPERATOR_KEY),
        );
        self.process(Role::Replica, &format!("control-{n}"), n, inner, &section)
    }

    fn sidecar(&mut self, n: usize) -> Result<(Process, SocketAddr), Box<dyn Error>> {
        let (inner, announce) = (self.ports.draw(), self.ports.draw());
        let section = format!("[sidecar]\nannounce = {announce}\n");
        let process = self.process(Role::Sidecar, &format!("host-{n}"), n, inner, &section)?;
        Ok((process, announce))
    }

    fn entry(&mut self, n: usize) -> Result<(Process, SocketAddr), Box<dyn Error>> {
        let (inner, listen) = (self.ports.draw(), self.ports.draw());
        let section = format!("[entry]\nlisten = {listen}\ndrain_delay = 0\n");
        let process = self.process(Role::Entry, &format!("entry-{n}"), n, inner, &section)?;
        Ok((process, listen))
    }

    fn process(
        &self,
        role: Role,
        name: &str,
        n: usize,
        inner: SocketAddr,
        section: &str,
    ) -> Result<Process, Box<dyn Error>> {
        let seeds: Vec<String> = self.members.iter().map(|(a, _)| a.to_string()).collect();
        let text = format!(
            "[host]\nname = {name}\ndomain = domain-{}\nregion = r\nlisten = {inner}\n\
             seeds = {}\n{section}",
            n % REPLICAS,
            seeds.join(", "),
        );
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, text)?;
        let child = Command::new(self.program)
            .arg("run")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(file.with_extension("log"))?)
            .spawn()?;
        Ok(Process { role, inner, child })
    }
}

struct Ports {
    next: u16,
}

impl Ports {
    fn draw(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from(([127, 0, 0, 1], self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}

async fn configure(api: &Api) -> Result<(), Box<dyn Error>> {
    let hash = almondlock_state::operator::hash_key(CALLER_KEY);
    let intents = [
        json!({"intent": "add-organisation", "name": "acme"}),
        json!({"intent": "add-key", "organisation": "acme", "hash": hash}),
        json!({"intent": "add-model", "name": "almond", "version": "1", "context": 2_000_000}),
    ];
    for (n, intent) in intents.into_iter().enumerate() {
        let change = api.change(n, intent);
        tokio::time::timeout(PATIENCE, change).await?;
    }
    Ok(())
}

fn engines() -> Result<Vec<engine::Handle>, Box<dyn Error>> {
    let config = engine::Config {
        factor: 20.0,
        ..engine::Config::default()
    };
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        engines.push(Engine::start(config.clone())?);
    }
    Ok(engines)
}

fn announcement(n: usize, address: SocketAddr) -> serde_json::Value {
    let config = engine::Config::default();
    json!({
        "name": format!("upstream-{n}"),
        "address": address,
        "kind": "engine",
        "model": "almond",
        "version": "1",
        "capacity": config.memory,
        "slots": config.batch,
        "prefill_rate": config.prefill_rate,
        "fenced": true,
        "resumable": true,
    })
}

fn repeat(api: Api, announce: SocketAddr, body: serde_json::Value) -> JoinHandle<()> {
    tokio::task::spawn_local(async move {
        loop {
            api.announce(announce, &body).await;
            sleep(ANNOUNCEMENT).await;
        }
    })
}
