//! Connecting panics once. The address can be reached again after the usual pause.

mod common;

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use almondlock_transport::{Dialer, Layer, Pool, Security};
use common::{hello, listen, soon};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::sleep,
};

/// Panics on the first connection.
#[derive(Clone, Default)]
struct Faulty(Rc<Cell<bool>>);

impl Layer for Faulty {
    type Stream<S>
        = S
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static;

    async fn admit(&self, _: SocketAddr) -> io::Result<()> {
        assert!(self.0.replace(true), "the first connection");
        Ok(())
    }

    fn wrap<S>(&self, stream: S, _: SocketAddr) -> S
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        stream
    }
}

/// Guards against an address that every later request panics at, since they share the future
/// that has panicked.
#[ntex::test]
async fn reached_again() {
    let (address, _task) = listen(Security::Plain).await;
    let dialer = Dialer::with_layer(Security::Plain, Faulty::default());
    let pool = Pool::new(dialer, 1);
    assert!(soon(pool.get(address)).await.is_err());
    let begin = Instant::now();
    let link = loop {
        match soon(pool.get(address)).await {
            Ok(link) => break link,
            Err(error) => assert!(begin.elapsed() < Duration::from_secs(2), "{error}"),
        }
        sleep(Duration::from_millis(10)).await;
    };
    assert!(soon(hello(&link, "e1")).await.is_ok());
}
