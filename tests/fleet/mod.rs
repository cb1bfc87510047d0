//! A fleet of separate processes: the two programs as they are shipped, on
//! loopback ports, with stand-in engines in the test itself.
#![allow(dead_code)]

pub mod gateway;

use std::{
    cell::RefCell,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use almondlock_standin::engine::{self, Engine};
use ntex::client::{Client, ClientResponse};
use serde_json::{Value, json};

pub const CALLER_KEY: &str = "acme-key";
pub const OPERATOR_KEY: &str = "operator-key";
/// How long a test waits for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Ports are drawn from below the range that the system hands out by itself,
/// so that nothing takes one between drawing and use.
fn port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = 10_000 + (std::process::id() % 200) as u16 * 50;
    loop {
        let port = start + NEXT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port()))
}

/// What a process is given.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits {
    /// Files and sockets that it may have open, if not as many as the test.
    pub descriptors: Option<u32>,
    /// Nobody reads its standard output.
    pub unread: bool,
}

/// A process of the system, ended with the test.
pub struct Process {
    pub name: String,
    file: PathBuf,
    limits: Limits,
    child: RefCell<Option<Child>>,
}

impl Process {
    fn new(name: &str, file: PathBuf) -> Process {
        Process::with_limits(name, file, Limits::default())
    }

    fn with_limits(name: &str, file: PathBuf, limits: Limits) -> Process {
        let process = Process {
            name: name.to_owned(),
            file,
            limits,
            child: RefCell::default(),
        };
        process.start();
        process
    }

    pub fn start(&self) {
        let log = fs::File::create(self.file.with_extension("log")).unwrap();
        let program = env!("CARGO_BIN_EXE_almondlockd");
        let mut command = match self.limits.descriptors {
            None => Command::new(program),
            Some(count) => {
                let mut shell = Command::new("sh");
                let script = format!("ulimit -n {count}; exec \"$0\" \"$@\"");
                shell.arg("-c").arg(script).arg(program);
                shell
            }
        };
        let child = command
            .arg("run")
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(match self.limits.unread {
                true => Stdio::piped(),
                false => Stdio::null(),
            })
            .stderr(log)
            .spawn();
        self.child.replace(Some(child.unwrap()));
    }

    /// Its process id while it was not ended by this test.
    pub fn id(&self) -> Option<u32> {
        self.child.borrow().as_ref().map(Child::id)
    }

    /// Ends it at once, without a word.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    fn signal(&self, signal: &str) {
        let id = self.child.borrow().as_ref().unwrap().id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Stops it in its tracks: it neither answers nor closes connections.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Its exit status, once it has ended.
    pub fn status(&self) -> Option<i32> {
        let mut child = self.child.borrow_mut();
        let ended = child.as_mut()?.try_wait().unwrap();
        ended.map(|status| status.code().unwrap_or(-1))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- {}\n{}", self.name, self.log());
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Three replicas in three failure domains, and what the test adds.
pub struct Fleet {
    pub replicas: Vec<Process>,
    // Dropped after the processes that write there.
    folder: tempfile::TempDir,
    members: Vec<(SocketAddr, SocketAddr)>,
    /// Where each replica takes heartbeats.
    pub directories: Vec<SocketAddr>,
    pub client: Client,
    number: std::cell::Cell<u32>,
}

/// An entry host process.
pub struct Entry {
    pub process: Process,
    pub address: SocketAddr,
    pub admin: SocketAddr,
}

/// A sidecar process with its stand-in engine.
pub struct Sidecar {
    pub process: Process,
    pub engine: engine::Handle,
    announcing: tokio::task::JoinHandle<()>,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

impl Fleet {
    pub async fn start() -> Fleet {
        let members: Vec<_> = (0..3).map(|_| (address(), address())).collect();
        let client = Client::builder().disable_timeout();
        let mut fleet = Fleet {
            folder: tempfile::tempdir().unwrap(),
            members,
            directories: (0..3).map(|_| address()).collect(),
            replicas: Vec::new(),
            client: client.build(ntex::SharedCfg::default()).await.unwrap(),
            number: std::cell::Cell::new(0),
        };
        for n in 0..3 {
            let process = fleet.replica(n);
            fleet.replicas.push(process);
        }
        fleet
            .change(json!({"intent": "add-organisation", "name": "acme"}))
            .await;
        let hash = almondlock_state::operator::hash_key(CALLER_KEY);
        fleet
            .change(json!({"intent": "add-key", "organisation": "acme", "hash": hash}))
            .await;
        fleet
            .change(json!({"intent": "add-model", "name": "almond", "version": "1", "context": 2_000_000}))
            .await;
        fleet
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.folder.path().join(format!("{name}.ini"));
        fs::write(&file, text).unwrap();
        file
    }

    fn host(&self, name: &str, domain: &str, listen: SocketAddr) -> String {
        let seeds: Vec<String> = self.members.iter().map(|(a, _)| a.to_string()).collect();
        let seeds = seeds.join(", ");
        format!(
            "[log]\nspans = {name}.spans\n[host]\nname = {name}\ndomain = {domain}\nregion = r\n\
             listen = {listen}\nseeds = {seeds}\n"
        )
    }

    fn replica(&self, n: usize) -> Process {
        let members: Vec<String> = (self.members.iter().enumerate())
            .map(|(n, (inner, admin))| format!("control-{n}@{inner}@{admin}"))
            .collect();
        let members = members.join(", ");
        let (inner, admin) = self.members[n];
        let key = almondlock_state::operator::hash_key(OPERATOR_KEY);
        let name = format!("control-{n}");
        let host = self.host(&name, &format!("domain-{n}"), inner);
        let text = format!(
            "{host}data = data-{n}\nmemory = 256\n[replica]\nadmin = {admin}\nmembers = {members}\n\
             operator_key = {key}\n[directory]\nlisten = {}\n",
            self.directories[n]
        );
        let file = self.write(&name, &text);
        Process::new(&name, file)
    }

    pub async fn entry(&self, name: &str) -> Entry {
        self.entry_with(name, "").await
    }

    /// Starts an entry host, with more settings for `[host]`.
    pub async fn entry_with(&self, name: &str, more: &str) -> Entry {
        let (listen, admin) = (address(), address());
        let host = self.host(name, "domain-0", address());
        let text =
            format!("{host}{more}[entry]\nlisten = {listen}\nadmin = {admin}\ndrain_delay = 200\n");
        let file = self.write(name, &text);
        let entry = Entry {
            process: Process::new(name, file),
            address: listen,
            admin,
        };
        let ready = async || {
            let url = format!("http://{listen}/readyz");
            let answer = self.client.get(url).send().await;
            answer.is_ok_and(|r| r.status().is_success())
        };
        eventually(ready).await;
        entry
    }

    pub async fn sidecar(&self, name: &str, config: engine::Config) -> Sidecar {
        let engine = Engine::start(config.clone()).unwrap();
        let (process, announcing) = self.sidecar_of(name, engine.address(), &config).await;
        Sidecar {
            process,
            engine,
            announcing,
        }
    }

    /// Starts the sidecar of an engine at an address, which is announced there.
    pub async fn sidecar_of(
        &self,
        name: &str,
        engine: SocketAddr,
        config: &engine::Config,
    ) -> (Process, tokio::task::JoinHandle<()>) {
        let announce = address();
        let host = self.host(&format!("host-{name}"), "domain-1", address());
        let text = format!("{host}[sidecar]\nannounce = {announce}\n");
        let file = self.write(&format!("host-{name}"), &text);
        let announcement = json!({
            "name": name,
            "address": engine,
            "kind": "engine",
            "model": "almond",
            "version": "1",
            "capacity": config.memory,
            "slots": config.batch,
            "prefill_rate": config.prefill_rate * config.factor,
            "fenced": true,
            "resumable": true,
        });
        let client = self.client.clone();
        let url = format!("http://{announce}/announce");
        let announcing = tokio::task::spawn_local(async move {
            loop {
                let _ = client.post(&url).send_json(&announcement).await;
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        });
        let process = Process::new(&format!("host-{name}"), file);
        let registered = async || {
            let upstreams = self.ask("/v1/upstreams").await;
            upstreams.is_some_and(|u| u.to_string().contains(name))
        };
        eventually(registered).await;
        (process, announcing)
    }

    /// The hops that a host's process has written so far.
    pub fn hops(&self, host: &str) -> Vec<Value> {
        let file = self.folder.path().join(format!("{host}.spans"));
        let text = fs::read_to_string(file).unwrap_or_default();
        let hops = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        hops.collect()
    }

    /// Asks the operators' API, whichever replica answers.
    pub async fn ask(&self, path: &str) -> Option<Value> {
        for (_, admin) in &self.members {
            let url = format!("http://{admin}{path}");
            let request = self.client.get(url).timeout(ntex::time::Seconds(3));
            let request = request.header("Authorization", format!("Bearer {OPERATOR_KEY}"));
            if let Ok(response) = request.send().await
                && response.status().is_success()
                && let Ok(value) = response.json::<Value>().await
            {
                return Some(value);
            }
        }
        None
    }

    async fn post(&self, path: &str, body: &Value) -> Option<Value> {
        for n in 0..self.members.len() {
            if let Some(value) = self.post_to(n, path, body).await {
                return Some(value);
            }
        }
        None
    }

    /// Posts to one replica; only the leader accepts.
    async fn post_to(&self, n: usize, path: &str, body: &Value) -> Option<Value> {
        let url = format!("http://{}{path}", self.members[n].1);
        let request = self.client.post(url).timeout(ntex::time::Seconds(5));
        let request = request.header("Authorization", format!("Bearer {OPERATOR_KEY}"));
        let response = request.send_json(body).await.ok()?;
        let accepted = response.status().is_success();
        let value = response.json::<Value>().await.ok()?;
        accepted.then_some(value)
    }

    /// Proposes a change to one replica, without confirming it. Whether it was accepted, as
    /// it is by the leader.
    pub async fn propose(&self, n: usize) -> bool {
        let number = self.number.replace(self.number.get() + 1);
        let body = json!({
            "intent": "set-setting", "name": "probe", "value": "1",
            "number": format!("change-{number}"),
        });
        self.post_to(n, "/v1/plans", &body).await.is_some()
    }

    /// Proposes a change and confirms its plan; asked again under the same
    /// number until it is accepted.
    pub async fn change(&self, intent: Value) -> Value {
        let number = self.number.replace(self.number.get() + 1);
        let mut body = intent;
        body["number"] = json!(format!("change-{number}"));
        let plan = std::cell::RefCell::new(None);
        eventually(async || {
            let answer = self.post("/v1/plans", &body).await;
            plan.replace(answer);
            plan.borrow().is_some()
        })
        .await;
        let id = plan.borrow().as_ref().unwrap()["plan"]["id"].clone();
        let path = format!("/v1/plans/{}/confirm", id.to_string().trim_matches('"'));
        eventually(async || self.post(&path, &json!({})).await.is_some()).await;
        plan.take().unwrap()
    }

    /// Sends a completion; `None` when the connection fails.
    pub async fn complete(
        &self,
        entry: &Entry,
        prompt: &str,
        tokens: u64,
        headers: &[(&str, &str)],
    ) -> Option<ClientResponse> {
        let url = format!("http://{}/v1/completions", entry.address);
        let mut request = self
            .client
            .post(url)
            .header("Authorization", format!("Bearer {CALLER_KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = json!({"model": "almond", "prompt": prompt, "max_tokens": tokens});
        request.send_json(&body).await.ok()
    }

    /// A completion's text, or its code and what it says of running.
    pub async fn text(
        &self,
        entry: &Entry,
        prompt: &str,
        headers: &[(&str, &str)],
    ) -> Option<Result<String, (u64, String)>> {
        let response = self.complete(entry, prompt, 8, headers).await?;
        let value: Value = response.json().await.ok()?;
        let text = value["choices"][0]["text"].as_str().map(str::to_owned);
        Some(text.ok_or_else(|| {
            let error = &value["error"];
            let ran = error["ran"].as_str().unwrap_or_default().to_owned();
            (error["code"].as_u64().unwrap_or_default(), ran)
        }))
    }
}

/// Waits until something is so.
pub async fn eventually<F>(check: F)
where
    F: AsyncFn() -> bool,
{
    let waited = tokio::time::timeout(PATIENCE, async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    waited.await.expect("it came about in time");
}

/// An engine that answers fast.
pub fn fast() -> engine::Config {
    engine::Config {
        factor: 20.0,
        ..engine::Config::default()
    }
}
