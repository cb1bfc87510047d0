//! Which address a request goes to.
//!
//! Towards a running system that is a plain round over its entry hosts. Towards
//! bare engines it is one of the baselines that almondlock is compared with:
//! random, or the least loaded by the engines' own lagging reports, counting
//! requests, without a thought for lengths or caches.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_http::{
    client::{Call, Client},
    upstream::Whole,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use serde::Deserialize;

/// Maximum size of an engine's report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// How a router chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each address in its turn.
    Round,
    /// Any address.
    Random,
    /// The one with the fewest requests by the last report.
    Least,
}

/// What an engine's report says.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
struct Report {
    running: u64,
    queued: u64,
}

/// Chooses addresses.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    targets: Vec<SocketAddr>,
    reports: Rc<RefCell<Vec<Report>>>,
    random: SmallRng,
    next: usize,
}

impl Router {
    /// A router over these addresses.
    pub fn new(policy: Policy, targets: Vec<SocketAddr>, seed: u64) -> Router {
        Router {
            policy,
            reports: Rc::new(RefCell::new(vec![Report::default(); targets.len()])),
            targets,
            random: SmallRng::seed_from_u64(seed),
            next: 0,
        }
    }

    /// The address for the next request; `None` only without any address.
    pub fn choose(&mut self) -> Option<SocketAddr> {
        let index = match self.policy {
            Policy::Round => {
                self.next += 1;
                (self.next - 1).checked_rem(self.targets.len())?
            }
            Policy::Random if self.targets.is_empty() => return None,
            Policy::Random => self.random.random_range(0..self.targets.len()),
            Policy::Least => self.least()?,
        };
        self.targets.get(index).copied()
    }

    fn least(&mut self) -> Option<usize> {
        let reports = self.reports.borrow();
        let load = |r: &Report| r.running + r.queued;
        let least = reports.iter().map(load).min()?;
        let equal = (0..reports.len()).filter(|&i| load(&reports[i]) == least);
        equal.choose(&mut self.random)
    }

    /// Asks for reports again and again, as long as the router is there.
    pub fn poll(&self, client: &Rc<Client>, every: Duration) {
        if self.policy != Policy::Least {
            return;
        }
        for (index, target) in self.targets.iter().enumerate() {
            let reports = Rc::downgrade(&self.reports);
            let (client, target) = (Rc::clone(client), *target);
            ntex::rt::spawn(async move {
                while reports.strong_count() > 0 {
                    if let Some(report) = fetch(&client, target).await
                        && let Some(reports) = reports.upgrade()
                    {
                        reports.borrow_mut()[index] = report;
                    }
                    tokio::time::sleep(every).await;
                }
            });
        }
    }
}

async fn fetch(client: &Client, target: SocketAddr) -> Option<Report> {
    let call = Call {
        method: "GET",
        path: "/engine/load",
        headers: &[],
        length: 0,
        may_reuse: true,
    };
    let mut answer = client.send(target, &call, Whole::new(&[])).await.ok()?;
    let body = answer.read_body(MAX_REPORT_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
