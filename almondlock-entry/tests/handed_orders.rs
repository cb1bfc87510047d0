//! Orders to load reach the engine once, from the life they name, in time.

mod fleet;

use std::time::Duration;

use almondlock_base::id::{Incarnation, Model, Upstream, Version};
use almondlock_node::clock;
use almondlock_state::config::{Change, Order};
use fleet::{Fleet, eventually, fast};

fn order(fence: u64, issuer: Incarnation, late: bool) -> Change {
    let now = clock::wall();
    let until = if late {
        now
    } else {
        now + Duration::from_secs(600)
    };
    let order = Order {
        fence,
        issuer,
        model: Model::new("almond").unwrap(),
        version: Version::new("2").unwrap(),
        until,
    };
    Change::Order(Upstream::new("engine-1").unwrap(), Some(order))
}

/// Orders are delayed: one names an earlier life of the sidecar, one may no
/// longer be handed on. An engine that doesn't check fencing numbers would act
/// on both and unload what it serves; neither must reach it. The one that is
/// due does, once.
#[ntex::test]
async fn only_due() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    fleet.settle().await;
    let own = fleet.view.get().upstreams["engine-1"].incarnation;
    fleet.change(order(1, Incarnation(own.0 + 1_000), false));
    fleet.settle().await;
    fleet.change(order(2, own, true));
    fleet.settle().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(engine.seen().orders, 0);
    fleet.change(order(3, own, false));
    eventually(async || engine.seen().orders == 1).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(engine.seen().orders, 1);
}
