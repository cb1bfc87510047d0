//! Stand-in engines for an experiment, each on a thread of its own, so that one
//! engine's work on a body of megabytes doesn't delay another's steps.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
};

use almondlock_standin::engine::{Config, Engine};
use ntex::rt::{DefaultRuntime, System};
use tokio::sync::oneshot;

/// Engines at most, to spare the machine.
pub const LIMIT: usize = 64;

/// Engines that run until dropped.
#[derive(Debug)]
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    // An engine's thread ends when its sender is dropped.
    stops: Vec<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts so many engines.
    pub fn start(count: usize, config: &Config) -> Result<Fleet, String> {
        let mut fleet = Fleet {
            addresses: Vec::new(),
            stops: Vec::new(),
            threads: Vec::new(),
        };
        for seed in 0..count.min(LIMIT) as u64 {
            let config = Config {
                seed: config.seed + seed,
                ..config.clone()
            };
            fleet.add(config)?;
        }
        Ok(fleet)
    }

    /// Where the engines listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    fn add(&mut self, config: Config) -> Result<(), String> {
        let (stop, stopped) = oneshot::channel::<()>();
        let (tell, told) = std::sync::mpsc::channel();
        let thread = thread::spawn(move || {
            let system = System::build().disable_signals().build(DefaultRuntime);
            system.block_on(async move {
                let engine = Engine::start(config);
                let address = engine.as_ref().map(|engine| engine.address());
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
