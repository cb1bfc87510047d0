//! The system under test: replicas and entry hosts as processes, upstreams in this one, and
//! links between them that can be harmed.

mod losses;
mod restarts;

use std::{
    cell::{Cell, OnceCell, RefCell},
    fs,
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use rustix::process::Signal;
use tokio::time::{Instant, sleep, timeout};

use super::{
    caller::Place,
    operator::{SLOTS, call},
    plan::{Act, DOMAINS, Fault},
    process::Process,
    proxy::Proxy,
    replicas::{Replica, Replicas},
    upstream::{Failing, Upstream},
    world::{ENGINES, PLAIN, World},
};

/// Ports, the same on every host: inner, loads, admin, control, callers, readiness.
const PORTS: [u16; 6] = [7301, 7302, 7303, 7304, 7305, 7306];
/// The second numbers of the addresses that runs take.
const BASES: std::ops::Range<u8> = 20..220;
/// A process that has ended is started again after this long.
const RESTART: Duration = Duration::from_millis(300);
/// Between two rounds of the balancer's questions, and how long one may take.
const BALANCE: Duration = Duration::from_millis(400);
const ASK: Duration = Duration::from_millis(200);
/// Questions that a host may miss until it gets no new connections.
const MISSES: u32 = 2;
/// An upstream that a part of a prompt has crashed is back after this long.
const RETURN: Duration = Duration::from_secs(2);
/// How often crashed upstreams are looked for.
const LOOK: Duration = Duration::from_millis(100);
/// All replicas that were killed at once are back after this long, at the most.
const BACK: Duration = Duration::from_secs(1);
/// How long a process that is told to stop may take.
pub const STOP: Duration = Duration::from_secs(8);
/// The fleet.
pub struct Fleet {
    world: Rc<World>,
    folder: PathBuf,
    program: PathBuf,
    base: u8,
    // Keeps other runs off these addresses.
    _claim: TcpListener,
    replicas: Replicas,
    /// Until when no other disk is lost: one on an empty disk has started.
    settled: Cell<Option<Instant>>,
    /// From upstreams and the operator to the replica in each place.
    pub control: Vec<Rc<Proxy>>,
    /// Entry hosts.
    pub hosts: Vec<Process>,
    /// From callers to each entry host.
    pub callers: Vec<Rc<Proxy>>,
    places: OnceCell<Rc<[Place]>>,
    upstreams: RefCell<Vec<Rc<Upstream>>>,
    /// Those whose place was taken.
    former: RefCell<Vec<Rc<Upstream>>>,
}

/// What entry hosts decide by under hard load.
const LOAD: &str = "places = yes\nshares = yes\nobserved_pace = yes\n";

impl Fleet {
    /// Starts all processes and upstreams.
    pub async fn start(world: &Rc<World>, program: &Path, folder: &Path) -> io::Result<Fleet> {
        let (base, claim) = claim()?;
        let mut fleet = Fleet {
            world: Rc::clone(world),
            folder: folder.to_owned(),
            program: program.to_owned(),
            base,
            _claim: claim,
            replicas: Replicas::default(),
            settled: Cell::default(),
            control: Vec::new(),
            hosts: Vec::new(),
            callers: Vec::new(),
            places: OnceCell::new(),
            upstreams: RefCell::default(),
            former: RefCell::default(),
        };
        for n in 0..world.size.replicas {
            let replica = fleet.replica(n);
            let own = SocketAddr::new(fleet.ip(1, replica.number), PORTS[3]);
            let link = Proxy::start((fleet.links(), 0).into(), own).await?;
            fleet.replicas.add(replica);
            fleet.control.push(link);
        }
        for replica in fleet.replicas.members() {
            fleet.write_replica(&replica, true)?;
            replica.process.start()?;
        }
        for n in 0..world.size.hosts {
            let file = fleet.write_host(n)?;
            let process = Process::new(format!("host-{n}"), program.to_owned(), file);
            process.start()?;
            let own = SocketAddr::new(fleet.host(n), PORTS[4]);
            fleet
                .callers
                .push(Proxy::start((fleet.links(), 0).into(), own).await?);
            fleet.hosts.push(process);
        }
        for n in 0..world.size.upstreams {
            let upstream = fleet.upstream(n, None, false).await?;
            fleet.upstreams.borrow_mut().push(upstream);
        }
        Ok(fleet)
    }

    /// The group is there: a replica that starts from now on doesn't found one.
    pub fn founded(&self) -> io::Result<()> {
        let mut replicas = self.replicas.present().into_iter();
        replicas.try_for_each(|replica| self.write_replica(&replica, false))
    }

    /// All settings name the replicas that are in their places now.
    fn rewrite(&self) -> io::Result<()> {
        self.founded()?;
        (0..self.world.size.hosts).try_for_each(|n| self.write_host(n).map(drop))
    }

    fn ip(&self, class: u8, n: usize) -> IpAddr {
        let last = u8::try_from(n + 1).unwrap_or(u8::MAX);
        Ipv4Addr::new(127, self.base, class, last).into()
    }

    /// One that has not started yet, at an address of its own.
    fn replica(&self, place: usize) -> Replica {
        let number = self.replicas.number();
        let name = format!("replica-{number}");
        let file = self.folder.join(format!("{name}.ini"));
        Replica {
            place,
            number,
            process: Process::new(name, self.program.clone(), file),
        }
    }

    /// Its folder.
    fn data(&self, replica: &Replica) -> PathBuf {
        self.folder.join(format!("data-{}", replica.number))
    }

    fn host(&self, n: usize) -> IpAddr {
        self.ip(2, n)
    }

    fn links(&self) -> IpAddr {
        self.ip(3, 0)
    }

    fn seeds(&self, port: u16) -> String {
        let members = self.replicas.members();
        let seeds = members.iter().take(3);
        let seeds = seeds.map(|seed| SocketAddr::new(self.ip(1, seed.number), port).to_string());
        seeds.collect::<Vec<_>>().join(", ")
    }

    fn write_replica(&self, replica: &Replica, founds: bool) -> io::Result<()> {
        let Replica { place, number, .. } = replica;
        let ip = self.ip(1, *number);
        let [inner, loads, admin, control, ..] = PORTS;
        let founds = if founds { "yes" } else { "no" };
        let text = format!(
            "[host]\nname = {ip}\ndomain = d-{place}\nregion = r\nlisten = {ip}:{inner}\n\
             seeds = {}\nfollow = 400\ndata = data-{number}\n\n\
             [replica]\nadmin = {ip}:{admin}\nfounds = {founds}\nrepairs = yes\n\n\
             [directory]\nlisten = {ip}:{control}\nexchange = {ip}:{loads}\n\n{LOG}",
            self.seeds(inner)
        );
        self.write(&replica.process.name, &text).map(drop)
    }

    fn write_host(&self, n: usize) -> io::Result<PathBuf> {
        let ip = self.host(n);
        let [inner, loads, _, _, callers, ready] = PORTS;
        let text = format!(
            "[host]\nname = host-{n}\ndomain = d-{}\nregion = r\nlisten = {ip}:{inner}\n\
             seeds = {}\nfollow = 400\n\n\
             [gateway]\nlisten = {ip}:{callers}\nready = {ip}:{ready}\nrevocation = 5000\n\
             retry_share = {}\nretry_slack = {}\nstop_time = {}\nmemory_hold = 4000\nexchange = {}\n{}\n{LOG}",
            n % self.world.size.replicas,
            self.seeds(inner),
            self.world.retries.0,
            self.world.retries.1,
            STOP.as_secs(),
            self.seeds(loads),
            if self.world.load { LOAD } else { "" }
        );
        self.write(&format!("host-{n}"), &text)
    }

    fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let file = self.folder.join(format!("{name}.ini"));
        fs::File::create(&file)?.write_all(text.as_bytes())?;
        Ok(file)
    }

    async fn upstream(
        &self,
        n: usize,
        name: Option<String>,
        moved: bool,
    ) -> io::Result<Rc<Upstream>> {
        let domain = n % DOMAINS;
        let kind = match (n < self.world.size.plain()) != moved {
            true => (PLAIN, SLOTS * 2, domain),
            false => (ENGINES, SLOTS, domain),
        };
        let control = self.control.iter().map(|link| link.address);
        Upstream::start(&self.world, self.links(), kind, control.collect(), name).await
    }

    fn present(&self, n: usize) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(n).cloned()
    }

    /// The entry hosts as callers know them.
    pub fn places(&self) -> Rc<[Place]> {
        let places = self.places.get_or_init(|| {
            let hosts = self.callers.iter().zip(&self.hosts);
            let places = hosts.map(|(link, process)| Place {
                address: link.address,
                life: Rc::clone(&process.life),
                is_in: Cell::new(true),
            });
            places.collect()
        });
        Rc::clone(places)
    }

    /// Looks which entry hosts are ready, as a balancer does: one that misses two questions in
    /// a row gets no new connections until it answers.
    pub async fn balance(&self) {
        let places = self.places();
        let mut misses = vec![0; places.len()];
        while !self.world.over.get() {
            for (n, place) in places.iter().enumerate() {
                let ready = SocketAddr::new(self.host(n), PORTS[5]);
                let answer = timeout(ASK, call(ready, "GET", "/readyz", "")).await;
                let is_ready = matches!(answer, Ok(Ok(answer)) if answer.status == 200);
                misses[n] = if is_ready { 0 } else { misses[n] + 1 };
                place.is_in.set(misses[n] < MISSES);
            }
            sleep(BALANCE).await;
        }
    }

    /// Does what a fault says, for as long as it says.
    pub async fn act(&self, fault: &Fault) -> io::Result<()> {
        let length = Duration::from_millis(fault.length);
        match fault.act {
            Act::KillHost(n) => self.kill(&self.hosts[n], length).await,
            Act::FreezeHost(n) => self.freeze(&self.hosts[n], length).await,
            Act::StopHost(n) => self.stop(&self.hosts[n]).await,
            Act::KillReplica(n) => self.kill(&self.replicas.at(n).process, length).await,
            Act::FreezeReplica(n) => self.freeze(&self.replicas.at(n).process, length).await,
            Act::StopReplica(n) => self.stop(&self.replicas.at(n).process).await,
            Act::WipeReplica(n) => self.wipe(n, length).await,
            Act::WipeAmongKilled(n) => self.wipe_among_killed(n, length).await,
            Act::TearReplica(n) => self.tear(n).await,
            Act::KillReplicas => self.kill_all_replicas(length.min(BACK)).await,
            Act::ReplaceReplica(n) => self.replace_replica(n, length).await,
            Act::MoveReplica(n) => self.move_replica(n, length).await,
            Act::Callers(n, link) => harm(&self.callers[n], link, length).await,
            Act::Control(n, link) => harm(&self.control[n], link, length).await,
            Act::Upstream(n, link) => match self.present(n) {
                Some(upstream) => harm(&upstream.link, link, length).await,
                None => Ok(()),
            },
            Act::Crash(n) => {
                self.present(n).iter().for_each(|upstream| upstream.crash());
                sleep(length).await;
                self.replace(n, None, false).await
            }
            Act::Restart(n) => self.restart(n, false).await,
            Act::Move(n) => self.restart(n, true).await,
            Act::KillAll => {
                self.kill_replicas();
                let hosts = self.hosts.iter();
                hosts.for_each(|process| process.signal(Signal::KILL));
                sleep(RESTART).await;
                self.start_replicas()?;
                self.hosts.iter().try_for_each(Process::start)
            }
            Act::Release(n) => {
                let old = self.present(n);
                self.replace(n, None, false).await?;
                sleep(length).await;
                old.iter().for_each(Upstream::leave);
                Ok(())
            }
            Act::Limit(n, limit) => {
                if let Some(upstream) = self.present(n) {
                    upstream.limit.set(Some(limit));
                    // Long enough for the limit to be judged.
                    sleep(length * 3).await;
                    upstream.limit.set(None);
                }
                Ok(())
            }
            Act::Garble(n) => {
                if let Some(upstream) = self.present(n) {
                    upstream.garbled.set(true);
                    sleep(length).await;
                    upstream.garbled.set(false);
                }
                Ok(())
            }
            Act::Pause(n, pause) => {
                if let Some(upstream) = self.present(n) {
                    upstream.pause.set(Some(pause));
                    sleep(length).await;
                    upstream.pause.set(None);
                }
                Ok(())
            }
            Act::Refuse(n) => self.fail_upstream(n, Failing::Refuses, length).await,
            Act::Fail(n) => self.fail_upstream(n, Failing::Fails, length).await,
            Act::Silent(n) => self.fail_upstream(n, Failing::Silent, length).await,
            Act::Slow(n) => {
                if let Some(upstream) = self.present(n) {
                    upstream.slow.set(true);
                    sleep(length).await;
                    upstream.slow.set(false);
                }
                Ok(())
            }
            Act::Aim(n) => {
                self.world.aimed.set(Some(n));
                sleep(length).await;
                self.world.aimed.set(None);
                Ok(())
            }
            // The operator's, or callers'.
            Act::Publish | Act::Storm(_) | Act::Revoke | Act::Evacuate(_) | Act::Greedy(_) => {
                Ok(())
            }
        }
    }

    /// Has an upstream fail all requests for a while.
    async fn fail_upstream(&self, n: usize, failing: Failing, length: Duration) -> io::Result<()> {
        if let Some(upstream) = self.present(n) {
            upstream.failing.set(Some(failing));
            sleep(length).await;
            upstream.failing.set(None);
        }
        Ok(())
    }

    async fn replace(&self, n: usize, name: Option<String>, moved: bool) -> io::Result<()> {
        let next = self.upstream(n, name, moved).await?;
        let old = std::mem::replace(&mut self.upstreams.borrow_mut()[n], next);
        self.former.borrow_mut().push(old);
        Ok(())
    }

    async fn kill(&self, process: &Process, length: Duration) -> io::Result<()> {
        process.kill().await;
        sleep(length).await;
        process.start()
    }

    async fn freeze(&self, process: &Process, length: Duration) -> io::Result<()> {
        process.signal(Signal::STOP);
        sleep(length).await;
        process.signal(Signal::CONT);
        Ok(())
    }

    async fn stop(&self, process: &Process) -> io::Result<()> {
        self.stop_only(process).await;
        sleep(RESTART).await;
        process.start()
    }

    /// Tells a process to stop, and kills it if it doesn't in time.
    async fn stop_only(&self, process: &Process) {
        process.signal(Signal::TERM);
        if !process.ended(STOP).await {
            let mut history = self.world.history.borrow_mut();
            history.unstopped.push(process.name.clone());
            process.signal(Signal::KILL);
        }
    }

    /// Puts others in the place of upstreams that a request has crashed: at once, or `late`.
    pub async fn replace_crashed(&self, late: bool) -> io::Result<()> {
        let after = if late { RETURN } else { RESTART };
        while !self.world.over.get() {
            sleep(LOOK).await;
            for n in 0..self.world.size.upstreams {
                let present = self.present(n);
                if present.is_some_and(|upstream| upstream.is_crashed(after)) {
                    self.replace(n, None, false).await?;
                }
            }
        }
        Ok(())
    }

    /// Starts processes that have ended by themselves, as whoever runs them would, and looks
    /// at what all of them take.
    pub async fn tend(&self) {
        while !self.world.over.get() {
            let replicas = self.replicas.present();
            let replicas = replicas.iter().map(|replica| &replica.process);
            for process in self.hosts.iter().chain(replicas) {
                process.look();
                if let Err(error) = process.start_failed() {
                    eprintln!("soak: {} not started again: {error}", process.name);
                }
            }
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// All links whole, all processes running.
    pub fn heal(&self) -> io::Result<()> {
        let links = self.callers.iter().chain(&self.control);
        links.for_each(|link| link.set(None));
        for upstream in &*self.upstreams.borrow() {
            upstream.link.set(None);
            upstream.limit.set(None);
            upstream.garbled.set(false);
            upstream.pause.set(None);
            upstream.failing.set(None);
        }
        let replicas = self.replicas.present();
        let replicas = replicas.iter().map(|replica| &replica.process);
        for process in self.hosts.iter().chain(replicas) {
            process.signal(Signal::CONT);
            process.start()?;
        }
        Ok(())
    }

    /// Tokens of memory that are set aside on engines.
    pub fn held(&self) -> u64 {
        let upstreams = self.upstreams.borrow();
        upstreams.iter().map(|upstream| upstream.held()).sum()
    }

    /// Stops all processes and says what they took.
    pub async fn end(&self) {
        let replicas = self.replicas.all();
        let replicas = replicas.iter().map(|replica| &replica.process);
        let all: Vec<&Process> = self.hosts.iter().chain(replicas).collect();
        futures::future::join_all(all.iter().map(|process| self.stop_only(process))).await;
        let mut history = self.world.history.borrow_mut();
        for process in all {
            let (memory_kb, descriptors) = process.largest.get();
            history.footprints.push(super::history::Footprint {
                process: process.name.clone(),
                memory_kb,
                descriptors,
            });
        }
    }
}

/// Addresses of this run's own, and what keeps other runs off them.
fn claim() -> io::Result<(u8, TcpListener)> {
    let claims = BASES.map(|base| {
        let listener = TcpListener::bind((Ipv4Addr::new(127, base, 9, 9), PORTS[0]))?;
        Ok::<_, io::Error>((base, listener))
    });
    let mut claims = claims.filter_map(Result::ok);
    claims
        .next()
        .ok_or_else(|| io::Error::other("no loopback addresses are free"))
}

const LOG: &str = "[log]\nformat = json\noutput = stdout\nfilter = warn,almondlock=info\n";

async fn harm(link: &Proxy, harm: super::plan::Link, length: Duration) -> io::Result<()> {
    link.set(Some(harm));
    sleep(length).await;
    link.set(None);
    Ok(())
}
