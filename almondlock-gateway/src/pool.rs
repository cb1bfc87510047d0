//! Connections that wait for their next request, by instance.
//!
//! A connection is used again only well within the time that its upstream
//! keeps it: a request that meets the close is lost on its way, and if it may
//! not be repeated, its caller is told that nobody knows whether it ran.

use std::{collections::HashMap, time::Duration};

use almondlock_base::{id::Upstream, time::Mono};

use crate::upstream::Connection;

/// A connection is idle no longer than this, if the upstream says nothing.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Upstreams close this much earlier than they say: their clock started when
/// they sent the answer, and a request takes time to arrive.
const CLOSE_MARGIN: Duration = Duration::from_millis(800);
/// A request that may not be repeated uses a connection only if it was active
/// this short a time ago, when it can hardly have gone silent meanwhile.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(500);
/// Idle connections kept for one instance.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Idle connections.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<Upstream, Vec<Connection>>,
}

impl Pool {
    /// Takes the connection that was used last. Those found closed are dropped.
    pub fn take(&mut self, now: Mono, instance: &Upstream, once: bool) -> Option<Connection> {
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

    /// Puts a connection back.
    pub fn put(&mut self, now: Mono, instance: &Upstream, mut connection: Connection) {
        connection.mark_idle(now);
        let idle = self.idle.entry(instance.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Drops the connections to an instance.
    pub fn forget(&mut self, instance: &Upstream) {
        self.idle.remove(instance);
    }

    /// Drops those that are too old to be used again, and those to instances
    /// that are gone.
    pub fn sweep<F>(&mut self, now: Mono, is_known: F)
    where
        F: Fn(&Upstream) -> bool,
    {
        self.idle.retain(|instance, idle| {
            idle.retain(|connection| now.since(connection.idle_since) < MAX_IDLE);
            is_known(instance) && !idle.is_empty()
        });
    }
}
