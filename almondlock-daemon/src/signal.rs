//! Waiting for the order to stop.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM.
pub(crate) async fn stop() -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
