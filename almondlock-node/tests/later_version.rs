//! Two adjacent versions talk to each other.

mod fleet;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::{
    id::{Host, Incarnation},
    unit::Revision,
};
use almondlock_transport::{fault::Plan, listen};
use almondlock_wire::{
    almondlock_capnp::{node, spread},
    peer::{Peer, VERSION},
    spread::{Body, Delta, Fetch, Piece, Standing, Want},
};
use fleet::{process, until};
use tokio::{net::TcpListener, task::spawn_local};

/// The whole configuration, with a field that this version doesn't know.
const WHOLE: &str = r#"{"revision":5,"settings":{"a":"1"},"futures":{"b":2}}"#;

/// A source of the next version.
#[derive(Clone, Default)]
struct Later {
    wholes: Rc<Cell<u32>>,
}

impl node::Server for Later {
    async fn spread(
        self: Rc<Self>,
        _: node::SpreadParams,
        mut results: node::SpreadResults,
    ) -> Result<(), capnp::Error> {
        let spread = capnp_rpc::new_client((*self).clone());
        results.get().set_spread(spread);
        Ok(())
    }
}

impl spread::Server for Later {
    async fn fetch(
        self: Rc<Self>,
        params: spread::FetchParams,
        mut results: spread::FetchResults,
    ) -> Result<(), capnp::Error> {
        let body = match Fetch::read(params.get()?)?.want {
            Want::After(Revision(5)) => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                Body::Empty
            }
            Want::Snapshot(..) => {
                self.wholes.set(self.wholes.get() + 1);
                Body::Piece(Piece {
                    revision: Revision(5),
                    offset: 0,
                    total: WHOLE.len() as u64,
                    data: WHOLE.into(),
                })
            }
            _ => {
                let known = br#"{"setting":["a","1"]}"#.to_vec();
                Body::Changes(Revision(1), vec![known, br#"{"future":["b",2]}"#.to_vec()])
            }
        };
        let delta = Delta {
            body,
            newest: Revision(5),
            standing: Standing::Served(Duration::ZERO, Vec::new()),
            from: Peer {
                host: Host::new("later").map_err(almondlock_wire::error::Error::from)?,
                incarnation: Incarnation(1),
                version: VERSION + 1,
                revision: Revision(5),
            },
        };
        delta.write(results.get().init_delta());
        Ok(())
    }
}

async fn serve(later: Later) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = capnp_rpc::new_client(later);
    spawn_local(listen::serve(listener, node));
    address
}

/// The replicas were upgraded first. One of their changes is of a kind that
/// this process doesn't know: it can't apply it, and would be stuck before it
/// for ever. It asks for the whole, reads what it knows of that, and is past it.
#[ntex::test]
async fn an_unknown_change_is_passed() {
    let later = Later::default();
    let address = serve(later.clone()).await;
    let node = process("h1", "d1", &[address], &Plan::new()).await;
    until("it is ready", || node.is_recent()).await;
    let config = node.handle().view().get();
    assert_eq!(config.revision, Revision(5));
    assert_eq!(config.settings.get("a").map(String::as_str), Some("1"));
    assert_eq!(later.wholes.get(), 1);
}
