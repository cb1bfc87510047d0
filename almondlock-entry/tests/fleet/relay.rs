//! A link that can fall silent.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use super::LOCAL;

/// A link that can fall silent without an error: what is sent into it stays
/// there until it speaks again, and then still arrives.
pub struct Relay {
    pub address: SocketAddr,
    silent: tokio::sync::watch::Sender<bool>,
    accepted: Rc<Cell<u32>>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Relay {
        let listener = tokio::net::TcpListener::bind(LOCAL).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (silent, speaks) = tokio::sync::watch::channel(false);
        let accepted = Rc::new(Cell::new(0));
        let count = Rc::clone(&accepted);
        tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                count.set(count.get() + 1);
                let Ok(far) = tokio::net::TcpStream::connect(target).await else {
                    continue;
                };
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::task::spawn_local(pump(near_read, far_write, speaks.clone()));
                tokio::task::spawn_local(pump(far_read, near_write, speaks.clone()));
            }
        });
        Relay {
            address,
            silent,
            accepted,
        }
    }

    /// Connections made so far.
    pub fn accepted(&self) -> u32 {
        self.accepted.get()
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut silent: tokio::sync::watch::Receiver<bool>,
) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or_default();
        if silent.wait_for(|silent| !silent).await.is_err() {
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
