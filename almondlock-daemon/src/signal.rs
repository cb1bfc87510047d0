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

/// Takes SIGHUP, which would otherwise end the process. Settings are looked at
/// again at the next start.
pub(crate) async fn hang_up() {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => return tracing::error!(%error, "SIGHUP can't be waited for"),
    };
    while hang_up.recv().await.is_some() {
        tracing::info!("told that settings changed");
    }
}
