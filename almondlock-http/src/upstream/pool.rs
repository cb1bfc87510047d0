//! Idle connections to upstreams, by instance.
//!
//! A connection is reused only well within the time for which its upstream keeps it open. A
//! request that meets the close is lost in transit, and if it may not be repeated, its
//! caller is told that nobody knows whether it ran.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;

use super::Connection;

/// Maximum time for which a connection is kept idle, whatever the upstream says.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Margin before the time at which an upstream closes an idle connection: its clock started
/// when it sent the answer, and a request takes time to arrive.
const CLOSE_MARGIN: Duration = Duration::from_millis(800);
/// Maximum idle time of a connection for a request that may not be repeated. Within it the
/// connection can hardly have gone silent.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(500);
/// Maximum number of idle connections per instance.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Idle connections. `K` identifies an instance.
#[derive(Debug)]
pub struct Pool<K> {
    idle: HashMap<K, Vec<Connection>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Pool<K> {
        Pool {
            idle: HashMap::new(),
        }
    }
}

impl<K> Pool<K>
where
    K: Clone + Eq + Hash,
{
    /// Takes the most recently used connection, and drops connections that were closed.
    /// With `once`, the request may not be repeated, so that an older connection isn't
    /// used.
    pub fn take(&mut self, now: Mono, instance: &K, once: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(instance)?;
        while let Some(mut connection) = idle.pop() {
            let age = now.since(connection.idle_since);
            let kept = connection.idle_timeout.unwrap_or(MAX_IDLE).min(MAX_IDLE);
            if age > kept.saturating_sub(CLOSE_MARGIN) || !connection.is_clean() {
                continue;
            }
            if once && age > MAX_IDLE_UNREPEATABLE {
                return None;
            }
            return Some(connection);
        }
        None
    }

    /// Adds a connection whose answer was read to its end.
    pub fn put(&mut self, now: Mono, instance: &K, mut connection: Connection) {
        connection.mark_idle(now);
        let idle = self.idle.entry(instance.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Drops all connections to an instance.
    pub fn forget(&mut self, instance: &K) {
        self.idle.remove(instance);
    }

    /// Drops connections that are too old to be reused or whose instance is gone.
    pub fn sweep<F>(&mut self, now: Mono, is_known: F)
    where
        F: Fn(&K) -> bool,
    {
        self.idle.retain(|instance, idle| {
            idle.retain(|connection| now.since(connection.idle_since) < MAX_IDLE);
            is_known(instance) && !idle.is_empty()
        });
    }
}
