//! Which relays a host listens to, and whom it tells while none answers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use almondlock_base::{id::Domain, time::Mono};

use super::message::{Introduction, Subscription};

/// A relay that is followed closely and was not heard for this long is left for
/// another. Four of its usual sums where it has most of them to send.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(160);
/// The same of one that is listened to seldom: three of its usual sums.
const SILENCE_SELDOM: Duration = Duration::from_millis(1_500);
/// Relays that a host listens to at a time. One may be cut off from other hosts
/// and not know it.
const LISTENED: usize = 2;
/// Of the relay that is followed closely another one takes the place if it knows so
/// many times as many hosts.
const FAR_MORE: f64 = 1.2;
/// Hosts that no relay named for this long are forgotten.
const FORGET: Duration = Duration::from_secs(4);

/// The relays, as one host hears them.
#[derive(Debug, Default)]
pub struct Relays {
    /// Listened to, and since when or when last heard. The first one closely.
    listened: Vec<(SocketAddr, Mono)>,
    /// Relays in this host's failure domain, and when they last said so.
    near: HashMap<SocketAddr, Mono>,
    /// The other hosts, and when a relay last named them.
    peers: HashMap<SocketAddr, Mono>,
    heard: Option<Mono>,
    /// How many hosts each relay knew when it was last heard.
    counts: HashMap<SocketAddr, u32>,
}

impl Relays {
    /// A relay was heard that knows so many hosts.
    pub fn receive(&mut self, now: Mono, from: SocketAddr, hosts: u32) {
        self.heard = Some(now);
        self.counts.insert(from, hosts);
        let listened = self.listened.iter_mut().find(|(relay, _)| *relay == from);
        if let Some((_, at)) = listened {
            *at = now;
        }
    }

    /// A relay told where it is. `own` is this host's failure domain.
    pub fn receive_introduction(
        &mut self,
        now: Mono,
        from: SocketAddr,
        own: &Domain,
        told: &Introduction,
    ) {
        self.heard = Some(now);
        if told.domain == *own {
            self.near.insert(from, now);
        }
        self.near.retain(|_, at| now.since(*at) < FORGET);
        self.peers
            .extend(told.peers.iter().map(|peer| (*peer, now)));
        self.peers.retain(|_, at| now.since(*at) < FORGET);
    }

    /// The relays to listen to from now on, out of all of them. The first is
    /// followed closely: one in this host's failure domain if there is one, since
    /// its sums are large and what crosses domains is paid for. `first` is any
    /// number: hosts with different ones begin at different relays.
    pub fn choose_relays(
        &mut self,
        now: Mono,
        all: &[SocketAddr],
        first: u64,
    ) -> Vec<(SocketAddr, Subscription)> {
        let left = self.leave(now, all);
        for relay in self.order(all, first, &left) {
            let taken = self.listened.iter().any(|(other, _)| *other == relay);
            if self.listened.len() < LISTENED && !taken {
                self.listened.push((relay, now));
            }
        }
        self.prefer_near(now, all, &left);
        self.prefer_far_more(now);
        let paces = [Subscription::Closely, Subscription::Seldom];
        let listened = self.listened.iter().zip(paces);
        listened.map(|((relay, _), pace)| (*relay, pace)).collect()
    }

    /// Leaves relays that are gone or silent, and gives them. A near one counts as
    /// near again once it has said so: until then it would be taken back at once.
    fn leave(&mut self, now: Mono, all: &[SocketAddr]) -> Vec<SocketAddr> {
        let bounds = [RELAY_TIMEOUT, SILENCE_SELDOM];
        let listened = std::mem::take(&mut self.listened).into_iter().zip(bounds);
        let (kept, left): (Vec<_>, Vec<_>) = listened
            .partition(|((relay, at), bound)| all.contains(relay) && now.since(*at) < *bound);
        self.listened = kept.into_iter().map(|(listened, _)| listened).collect();
        let left: Vec<SocketAddr> = left.into_iter().map(|((relay, _), _)| relay).collect();
        self.near.retain(|relay, _| !left.contains(relay));
        self.counts
            .retain(|relay, _| all.contains(relay) && !left.contains(relay));
        left
    }

    /// Follows the other relay closely if that knows far more hosts: the first one is cut
    /// off from some, though not from this host.
    fn prefer_far_more(&mut self, now: Mono) {
        let [(first, _), (other, _)] = self.listened[..] else {
            return;
        };
        if self.knows_far_less(first, other) {
            self.listened.swap(0, 1);
            self.listened[0].1 = now;
        }
    }

    /// Whether a relay knows far fewer hosts than another one.
    fn knows_far_less(&self, relay: SocketAddr, other: SocketAddr) -> bool {
        let count = |relay| self.counts.get(&relay).copied().map(f64::from);
        let counts = count(relay).zip(count(other));
        counts.is_some_and(|(known, more)| more > known * FAR_MORE)
    }

    /// All relays in the order in which to take them. Those that were just left come
    /// last.
    fn order(&self, all: &[SocketAddr], first: u64, left: &[SocketAddr]) -> Vec<SocketAddr> {
        let start = usize::try_from(first % all.len().max(1) as u64).unwrap_or(0);
        let turned = all.iter().cycle().skip(start).take(all.len());
        let mut order: Vec<SocketAddr> = turned.copied().collect();
        order.sort_by_key(|relay| (left.contains(relay), !self.near.contains_key(relay)));
        order
    }

    /// Follows a near relay closely, unless it was just left for its silence or knows far
    /// fewer hosts.
    fn prefer_near(&mut self, now: Mono, all: &[SocketAddr], left: &[SocketAddr]) {
        let Some((first, _)) = self.listened.first().copied() else {
            return;
        };
        if self.near.contains_key(&first) {
            return;
        }
        let is_near = |relay: &SocketAddr| {
            self.near.contains_key(relay) && !self.knows_far_less(*relay, first)
        };
        if let Some(place) = self.listened.iter().position(|(relay, _)| is_near(relay)) {
            self.listened.swap(0, place);
            self.listened[0].1 = now;
            return;
        }
        let mut near = all.iter().filter(|relay| is_near(relay));
        if let Some(relay) = near.find(|relay| !left.contains(relay)).copied() {
            self.listened.insert(0, (relay, now));
            self.listened.truncate(LISTENED);
        }
    }

    /// Whom to tell directly: nobody while a relay is heard.
    pub fn direct_peers(&self, now: Mono) -> Vec<SocketAddr> {
        match self.heard {
            Some(at) if now.since(at) >= RELAY_TIMEOUT => self.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}
