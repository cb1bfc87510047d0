//! Which relays a host listens to, and whom it tells while none answers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;

/// A relay that was not heard for this long is left for another. Four of its
/// usual sums.
pub const SILENCE: Duration = Duration::from_millis(160);
/// Relays that a host listens to at a time. One may be cut off from other hosts
/// and not know it.
const LISTENED: usize = 2;
/// Hosts that no relay named for this long are forgotten.
const FORGET: Duration = Duration::from_secs(4);

/// The relays, as one host hears them.
#[derive(Debug, Default)]
pub struct Relays {
    /// Listened to, and since when or when last heard.
    listened: Vec<(SocketAddr, Mono)>,
    /// The other hosts, and when a relay last named them.
    peers: HashMap<SocketAddr, Mono>,
    heard: Option<Mono>,
}

impl Relays {
    /// A sum came from a relay.
    pub fn hear(&mut self, now: Mono, from: SocketAddr, peers: &[SocketAddr]) {
        self.heard = Some(now);
        let listened = self.listened.iter_mut().find(|(relay, _)| *relay == from);
        if let Some((_, at)) = listened {
            *at = now;
        }
        self.peers.extend(peers.iter().map(|peer| (*peer, now)));
        self.peers.retain(|_, at| now.since(*at) < FORGET);
    }

    /// The relays to listen to from now on, out of all of them. `first` is any
    /// number: hosts with different ones begin at different relays.
    pub fn listen(&mut self, now: Mono, all: &[SocketAddr], first: u64) -> Vec<SocketAddr> {
        let silent = |at: Mono| now.since(at) >= SILENCE;
        let left: Vec<SocketAddr> = self.listened.iter().map(|(relay, _)| *relay).collect();
        self.listened
            .retain(|(relay, at)| all.contains(relay) && !silent(*at));
        // Those that were just left come last.
        let start = usize::try_from(first % all.len().max(1) as u64).unwrap_or(0);
        let mut next: Vec<SocketAddr> = all
            .iter()
            .cycle()
            .skip(start)
            .take(all.len())
            .copied()
            .collect();
        next.sort_by_key(|relay| left.contains(relay));
        for relay in next {
            let taken = self.listened.iter().any(|(other, _)| *other == relay);
            if self.listened.len() < LISTENED && !taken {
                self.listened.push((relay, now));
            }
        }
        self.listened.iter().map(|(relay, _)| *relay).collect()
    }

    /// Whom to tell directly: nobody while a relay is heard.
    pub fn alone(&self, now: Mono) -> Vec<SocketAddr> {
        match self.heard {
            Some(at) if now.since(at) >= SILENCE => self.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}
