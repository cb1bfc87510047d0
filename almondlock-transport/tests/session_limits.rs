//! What bounds a session.

mod common;

use std::{io, net::SocketAddr, time::Duration};

use almondlock_transport::{Dialer, Security, fault::Plan, listen};
use common::{hello, listen_with, soon};
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
};

/// Somebody sends a message of a few hundred kilobytes to a process that takes
/// 64 KiB. The session ends; the process goes on and serves the next session.
#[ntex::test]
async fn large_messages_end_the_session() {
    let config = listen::Config {
        limit: 64 * 1024,
        ..listen::Config::new(Security::Plain)
    };
    let (address, _task) = listen_with(config).await;
    let dialer = Dialer::new(Security::Plain);
    let link = dialer.dial(address).await.unwrap();
    assert!(soon(hello(&link, &"x".repeat(300_000))).await.is_err());
    let link = dialer.dial(address).await.unwrap();
    assert!(soon(hello(&link, "e1")).await.is_ok());
}

/// A host takes the connection and then says nothing, or doesn't even take it:
/// the dialling side gives up within its timeout instead of waiting for TCP's
/// minutes.
#[ntex::test]
async fn silent_hosts_time_out() {
    let own: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let remote = listener.local_addr().unwrap();
    let plan = Plan::new();
    plan.silence(own, remote);
    let mut dialer = Dialer::with_layer(Security::Plain, plan.site(own));
    dialer.timeout = Duration::from_millis(100);
    let error = soon(dialer.dial(remote)).await.err().unwrap();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
}

/// A host vanished without closing: nothing arrives on its session any more.
/// The listening side closes it after its idle span, so that such sessions
/// don't fill the table.
#[ntex::test]
async fn idle_sessions_are_closed() {
    let config = listen::Config {
        idle: Duration::from_millis(50),
        ..listen::Config::new(Security::Plain)
    };
    let (address, _task) = listen_with(config).await;
    let link = Dialer::new(Security::Plain).dial(address).await.unwrap();
    soon(link.closed()).await;
}

/// Connections beyond the limit are closed at once, and those within it live.
#[ntex::test]
async fn too_many_sessions() {
    let config = listen::Config {
        sessions: 1,
        ..listen::Config::new(Security::Plain)
    };
    let (address, _task) = listen_with(config).await;
    let link = Dialer::new(Security::Plain).dial(address).await.unwrap();
    soon(hello(&link, "e1")).await.unwrap();
    let mut second = TcpStream::connect(address).await.unwrap();
    let read = soon(second.read(&mut [0; 8])).await;
    assert!(matches!(read, Ok(0) | Err(_)));
    assert!(soon(hello(&link, "e1")).await.is_ok());
}

/// A stranger opens a connection and never finishes its handshake. The
/// listener must serve others meanwhile: handshakes run beside each other.
#[ntex::test]
async fn slow_handshakes_block_nobody() {
    let (address, _task) = listen_with(listen::Config::new(Security::Plain)).await;
    let _silent = TcpStream::connect(address).await.unwrap();
    let link = Dialer::new(Security::Plain).dial(address).await.unwrap();
    assert!(soon(hello(&link, "e1")).await.is_ok());
}
