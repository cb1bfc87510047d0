//! Telling sidecars that this host lives, for as long as it holds anything
//! there: the leases on engine memory are renewed, and end by themselves when
//! the host is gone or cut off.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::id::Upstream;
use almondlock_node::{Handle, links::Links};
use tokio::time::{sleep, timeout};

use crate::attempt::sidecar_of;

/// Renewals that fit into a lease: two may be lost.
const RENEWALS: u32 = 3;
/// How long one may take.
const TIMEOUT: Duration = Duration::from_secs(1);

type Place = (SocketAddr, Upstream);

/// Where this thread holds engine memory.
#[derive(Clone, Default)]
pub struct Debts {
    // Invariant: every count is above zero.
    places: Rc<RefCell<HashMap<Place, usize>>>,
}

/// Something held at a sidecar, for as long as this lives.
pub struct Debt {
    debts: Debts,
    place: Place,
}

impl Debts {
    /// Counts something held at a sidecar.
    pub fn owe(&self, address: SocketAddr, upstream: &Upstream) -> Debt {
        let place = (address, upstream.clone());
        *self.places.borrow_mut().entry(place.clone()).or_default() += 1;
        Debt {
            debts: self.clone(),
            place,
        }
    }

    /// Renews until the thread ends, several times in a lease.
    pub async fn renew(self, links: Links, handle: Handle, lease: Duration) {
        loop {
            sleep(lease / RENEWALS).await;
            let places: Vec<Place> = self.places.borrow().keys().cloned().collect();
            let all = places.iter().map(|place| {
                let renewal = one(&links, &handle, place);
                async move {
                    let _ = timeout(TIMEOUT, renewal).await;
                }
            });
            futures::future::join_all(all).await;
        }
    }
}

async fn one(links: &Links, handle: &Handle, place: &Place) -> Result<(), capnp::Error> {
    let session = links.get(place.0).await;
    let session = session.map_err(|e| capnp::Error::disconnected(e.to_string()))?;
    let mut request = sidecar_of(&session, &place.1).renew_request();
    let peer = handle.peer();
    let mut params = request.get();
    params.set_owner(peer.host.as_str());
    params.set_incarnation(peer.incarnation.0);
    peer.write(params.init_from());
    request.send().promise.await?;
    Ok(())
}

impl Drop for Debt {
    fn drop(&mut self) {
        let mut places = self.debts.places.borrow_mut();
        if let Some(count) = places.get_mut(&self.place) {
            *count -= 1;
            if *count == 0 {
                places.remove(&self.place);
            }
        }
    }
}
