//! The relays stop with the control replicas beside them, all at once or one
//! after the other. Entry hosts that no longer hear of each other pack their
//! work onto the same engines within a second.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use almondlock_gateway::exchange::{Digest, Gather, Peers};

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 9))
}

fn digest(host: u64) -> Digest {
    Digest {
        host,
        address: None,
        totals: Vec::new(),
    }
}

const START: Mono = Mono::from_millis(10_000);

#[test]
fn passed_on_once() {
    let mut gather = Gather::default();
    gather.tell(START, host(1), digest(1));
    gather.tell(START, host(2), digest(2));
    gather.tell(START, host(2), digest(2));
    let (news, hosts) = gather.take(START);
    assert_eq!((news.len(), hosts.len()), (2, 2));
    assert!(news.iter().all(|digest| digest.address.is_some()));
    let (news, hosts) = gather.take(START + Duration::from_millis(40));
    assert_eq!((news.len(), hosts.len()), (0, 2));
    let (_, hosts) = gather.take(START + Duration::from_secs(3));
    assert!(hosts.is_empty());
}

#[test]
fn direct_without_relays() {
    let mut peers = Peers::default();
    assert!(peers.alone(START).is_empty());
    let named = [(1, host(1)), (2, host(2))].map(|(n, address)| Digest {
        address: Some(address),
        ..digest(n)
    });
    peers.hear(START, 1, &named);
    assert!(peers.alone(START + Duration::from_millis(100)).is_empty());
    let alone = START + Duration::from_millis(200);
    assert_eq!(peers.alone(alone), [host(2)]);
    // A host that tells directly names nobody, and is no relay.
    peers.hear(alone, 1, &[digest(2)]);
    assert_eq!(peers.alone(alone), [host(2)]);
    peers.hear(alone, 1, &named);
    assert!(peers.alone(alone).is_empty());
}
