//! A listener with a bootstrap interface that answers `hello`.

#![allow(dead_code)]

use std::{future::Future, net::SocketAddr, time::Duration};

use almondlock_transport::{Link, Security, listen};
use almondlock_wire::almondlock_capnp::node;
use tokio::{net::TcpListener, task::JoinHandle};

struct Server;

impl node::Server for Server {
    async fn hello(
        self: std::rc::Rc<Self>,
        params: node::HelloParams,
        mut results: node::HelloResults,
    ) -> Result<(), capnp::Error> {
        let from = params.get()?.get_from()?;
        results.get().set_from(from)
    }
}

/// Listens with the usual limits.
pub(crate) async fn listen(security: Security) -> (SocketAddr, JoinHandle<()>) {
    listen_with(listen::Config::new(security)).await
}

/// Listens; aborting the task ends every session.
pub(crate) async fn listen_with(config: listen::Config) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node: node::Client = capnp_rpc::new_client(Server);
    let serve = listen::serve_with(listener, config, move |_, _| node.clone());
    (address, tokio::task::spawn_local(serve))
}

/// Says hello with a host's name and returns the name in the answer.
pub(crate) async fn hello(link: &Link, host: &str) -> Result<String, capnp::Error> {
    let mut request = link.node().hello_request();
    request.get().init_from().set_host(host);
    let answer = request.send().promise.await?;
    Ok(answer.get()?.get_from()?.get_host()?.to_string()?)
}

/// Waits, but not for ever.
pub(crate) async fn soon<F>(future: F) -> F::Output
where
    F: Future,
{
    let limit = Duration::from_secs(30);
    tokio::time::timeout(limit, future).await.unwrap()
}
