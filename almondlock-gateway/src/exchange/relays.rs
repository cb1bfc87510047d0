//! Chooses the relays that a host listens to, and the hosts that it reports to while no
//! relay answers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use almondlock_base::{id::Domain, time::Mono};

use super::message::{Introduction, Subscription};

/// A relay that is followed closely is left for another after this silence: four of its
/// usual sums where it has the most of them to send.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(160);
/// A relay that is listened to seldom is left after this silence: three of its usual
/// beacons.
const BEACON_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of relays that a host listens to. One of them may be cut off from other hosts
/// without knowing it.
const MAX_LISTENED: usize = 2;
/// Another relay is followed closely if it knows this number of times as many hosts.
const MORE_HOSTS_FACTOR: f64 = 1.2;
/// Relays in this host's failure domain and other hosts are forgotten if no introduction
/// named them for this time.
const INTRODUCTION_MAX_AGE: Duration = Duration::from_secs(4);

/// The relays as one host knows them.
#[derive(Debug, Default)]
pub struct Relays {
    /// The relays that the host listens to, each with the time at which it was last heard,
    /// or at which the host began to listen. The first one is followed closely.
    listened: Vec<(SocketAddr, Mono)>,
    /// Relays in this host's failure domain, by the time of their last introduction.
    near: HashMap<SocketAddr, Mono>,
    /// Other hosts, by the time at which a relay last named them.
    peers: HashMap<SocketAddr, Mono>,
    heard: Option<Mono>,
    /// Number of hosts that each relay knew when it was last heard.
    counts: HashMap<SocketAddr, u32>,
}

impl Relays {
    /// Records that a relay was heard that knows this number of hosts.
    pub fn receive(&mut self, now: Mono, from: SocketAddr, hosts: u32) {
        self.heard = Some(now);
        self.counts.insert(from, hosts);
        let listened = self.listened.iter_mut().find(|(relay, _)| *relay == from);
        if let Some((_, at)) = listened {
            *at = now;
        }
    }

    /// Takes in a relay's introduction. `own` is this host's failure domain.
    pub fn receive_introduction(
        &mut self,
        now: Mono,
        from: SocketAddr,
        own: &Domain,
        introduction: &Introduction,
    ) {
        self.heard = Some(now);
        if introduction.domain == *own {
            self.near.insert(from, now);
        }
        self.near
            .retain(|_, at| now.since(*at) < INTRODUCTION_MAX_AGE);
        self.peers
            .extend(introduction.peers.iter().map(|peer| (*peer, now)));
        self.peers
            .retain(|_, at| now.since(*at) < INTRODUCTION_MAX_AGE);
    }

    /// Chooses the relays to listen to from now on. The first is followed closely: one in
    /// this host's failure domain if there is one, since its sums are large and traffic
    /// between domains is charged for. `first` is an arbitrary number: hosts with different
    /// numbers begin at different relays.
    pub fn choose_relays(
        &mut self,
        now: Mono,
        all: &[SocketAddr],
        first: u64,
    ) -> Vec<(SocketAddr, Subscription)> {
        let left = self.remove_silent(now, all);
        for relay in self.order_relays(all, first, &left) {
            let taken = self.listened.iter().any(|(other, _)| *other == relay);
            if self.listened.len() < MAX_LISTENED && !taken {
                self.listened.push((relay, now));
            }
        }
        self.prefer_near(now, all, &left);
        self.prefer_more_hosts(now);
        let paces = [Subscription::Closely, Subscription::Seldom];
        let listened = self.listened.iter().zip(paces);
        listened.map(|((relay, _), pace)| (*relay, pace)).collect()
    }

    /// Leaves relays that are gone or silent, and returns them. One in this failure domain
    /// doesn't count as such until its next introduction: otherwise it would be taken back
    /// at once.
    fn remove_silent(&mut self, now: Mono, all: &[SocketAddr]) -> Vec<SocketAddr> {
        let bounds = [RELAY_TIMEOUT, BEACON_TIMEOUT];
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

    /// Follows the other relay closely if it knows far more hosts: the first one is cut off
    /// from some of them, though not from this host.
    fn prefer_more_hosts(&mut self, now: Mono) {
        let [(first, _), (other, _)] = self.listened[..] else {
            return;
        };
        if self.knows_far_fewer(first, other) {
            self.listened.swap(0, 1);
            self.listened[0].1 = now;
        }
    }

    /// Returns whether a relay knows far fewer hosts than another one.
    fn knows_far_fewer(&self, relay: SocketAddr, other: SocketAddr) -> bool {
        let count = |relay| self.counts.get(&relay).copied().map(f64::from);
        let counts = count(relay).zip(count(other));
        counts.is_some_and(|(known, more)| more > known * MORE_HOSTS_FACTOR)
    }

    /// Returns all relays in the order in which to take them. Those that were just left
    /// come last.
    fn order_relays(&self, all: &[SocketAddr], first: u64, left: &[SocketAddr]) -> Vec<SocketAddr> {
        let start = usize::try_from(first % all.len().max(1) as u64).unwrap_or(0);
        let turned = all.iter().cycle().skip(start).take(all.len());
        let mut order: Vec<SocketAddr> = turned.copied().collect();
        order.sort_by_key(|relay| (left.contains(relay), !self.near.contains_key(relay)));
        order
    }

    /// Follows a relay in this failure domain closely, unless it was just left for its
    /// silence or knows far fewer hosts.
    fn prefer_near(&mut self, now: Mono, all: &[SocketAddr], left: &[SocketAddr]) {
        let Some((first, _)) = self.listened.first().copied() else {
            return;
        };
        if self.near.contains_key(&first) {
            return;
        }
        let is_near = |relay: &SocketAddr| {
            self.near.contains_key(relay) && !self.knows_far_fewer(*relay, first)
        };
        if let Some(place) = self.listened.iter().position(|(relay, _)| is_near(relay)) {
            self.listened.swap(0, place);
            self.listened[0].1 = now;
            return;
        }
        let mut near = all.iter().filter(|relay| is_near(relay));
        if let Some(relay) = near.find(|relay| !left.contains(relay)).copied() {
            self.listened.insert(0, (relay, now));
            self.listened.truncate(MAX_LISTENED);
        }
    }

    /// Returns the hosts to report to directly: none while a relay is heard.
    pub fn direct_peers(&self, now: Mono) -> Vec<SocketAddr> {
        match self.heard {
            Some(at) if now.since(at) >= RELAY_TIMEOUT => self.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }
}
