//! Stand-in engines for an experiment, each on a thread of its own, so that one
//! engine's work on a body of megabytes doesn't delay another's steps. They can
//! announce themselves to sidecars, as real ones do, and so serve a running
//! system.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use almondlock_standin::{
    client,
    engine::{Config, Engine},
};
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};
use tokio::sync::oneshot;

/// Engines at most, to spare the machine.
pub const LIMIT: usize = 64;

/// How often an engine announces itself.
const ANNOUNCEMENT: Duration = Duration::from_secs(2);

/// Engines that run until dropped.
#[derive(Debug)]
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    // An engine's thread ends when its sender is dropped.
    stops: Vec<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts so many engines. Each announces itself to one of the sidecars, if
    /// there are any.
    pub fn start(count: usize, config: &Config, sidecars: &[SocketAddr]) -> Result<Fleet, String> {
        Fleet::start_failing(count, config, sidecars, count)
    }

    /// Like [`Fleet::start`], but of the engines only so many fail, if the configuration says
    /// that engines do.
    pub fn start_failing(
        count: usize,
        config: &Config,
        sidecars: &[SocketAddr],
        failing: usize,
    ) -> Result<Fleet, String> {
        let mut fleet = Fleet {
            addresses: Vec::new(),
            stops: Vec::new(),
            threads: Vec::new(),
        };
        for index in 0..count.min(LIMIT) {
            let config = Config {
                seed: config.seed + index as u64,
                failing: config.failing.filter(|_| index < failing),
                ..config.clone()
            };
            let sidecar = sidecars.iter().cycle().nth(index).copied();
            fleet.add(index, config, sidecar)?;
        }
        Ok(fleet)
    }

    /// Where the engines listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn add(
        &mut self,
        index: usize,
        config: Config,
        sidecar: Option<SocketAddr>,
    ) -> Result<(), String> {
        let (stop, stopped) = oneshot::channel::<()>();
        let (tell, told) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            let system = System::build().disable_signals().build(DefaultRuntime);
            system.block_on(async move {
                let engine = Engine::start(config.clone());
                let address = engine.as_ref().map(|engine| engine.address());
                if let (Ok(address), Some(sidecar)) = (&address, sidecar) {
                    let news = announcement(index, *address, &config);
                    ntex::rt::spawn(announce(sidecar, news));
                }
                let _ = tell.send(address.map_err(|error| error.to_string()));
                // Also ends, with an error, when the sender is dropped.
                let _ = stopped.await;
                if let Ok(engine) = engine {
                    engine.kill();
                }
            });
        });
        self.stops.push(stop);
        self.threads.push(thread);
        let address = told.recv().map_err(|error| error.to_string())??;
        self.addresses.push(address);
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stops.clear();
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so already.
            let _ = thread.join();
        }
    }
}

/// What an engine says of itself. Its speed is in real time: sidecars know
/// nothing of a faster clock.
fn announcement(index: usize, address: SocketAddr, config: &Config) -> Value {
    json!({
        "name": format!("bench-engine-{}", index + 1),
        "address": address,
        "kind": "engine",
        "model": config.model,
        "version": config.version,
        "capacity": config.memory,
        "slots": config.batch,
        "prefill_rate": config.prefill_rate * config.factor,
        "fenced": config.fenced,
        "resumable": true,
    })
}

async fn announce(sidecar: SocketAddr, news: Value) {
    let url = format!("http://{sidecar}/announce");
    let Ok(client) = client::new().await else {
        return;
    };
    loop {
        // A sidecar that isn't there yet hears it next time.
        let _ = client.post(&url).send_json(&news).await;
        tokio::time::sleep(ANNOUNCEMENT).await;
    }
}
