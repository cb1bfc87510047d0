//! A process that starts with nothing reaches a source's revision.

use std::time::Duration;

use almondlock_base::id::{Domain, Host, Incarnation, Region};
use almondlock_node::{Config, Node, Parts};
use almondlock_spread::view::View;
use almondlock_state::config::Change;
use almondlock_transport::Security;

fn config(host: &str, seeds: Vec<std::net::SocketAddr>) -> Config {
    Config {
        host: Host::new(host).unwrap(),
        domain: Domain::new("d1").unwrap(),
        region: Region::new("r1").unwrap(),
        incarnation: Incarnation(1),
        listen: "127.0.0.1:0".parse().unwrap(),
        seeds,
        security: Security::Plain,
    }
}

#[ntex::test]
async fn a_process_reaches_the_source() {
    let view = View::new();
    let change = Change::Setting("a".into(), Some("1".into()));
    view.extend(view.revision().next(), [change]);
    let parts = Parts {
        is_source: true,
        ..Parts::default()
    };
    let source = Node::start(config("source", vec![]), view.clone(), parts)
        .await
        .unwrap();
    let seeds = vec![source.address()];
    let below = Node::start(config("below", seeds), View::new(), Parts::default())
        .await
        .unwrap();
    tokio::time::timeout(Duration::from_secs(30), async {
        while !below.is_recent() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await
    .unwrap();
    assert_eq!(below.handle().view().get(), view.get());
}
