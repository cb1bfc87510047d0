//! Numbers and addresses that no other test has.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, AtomicU64, Ordering},
};

/// Returns a new host number. Hosts that share relays need different ones.
pub fn next_host() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns an unused address. Tests run at the same time, so no port is returned twice, and
/// ports lie below the range that the system hands out.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = 10_000 + (std::process::id() % 200) as u16 * 50;
    loop {
        let port = start + NEXT.fetch_add(1, Ordering::Relaxed);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}
