//! Orders with old fencing numbers are refused, or taken where the engine
//! doesn't check.

mod common;

use almondlock_standin::engine::Config;
use serde_json::json;
use yare::parameterized;

use crate::common::{config, get, post, start};

#[parameterized(
    checks = { true, 409, "2" },
    ignores = { false, 200, "1" },
)]
#[test_macro(ntex::test)]
async fn delayed(fenced: bool, status: u16, version: &str) {
    let config = Config {
        fenced,
        load_time: std::time::Duration::ZERO,
        ..config()
    };
    let engine = start(config);
    let order = |version: &str, fence: u64| json!({ "kind": "load", "model": "almond", "version": version, "fence": fence });
    let newer = post(engine.address(), "/engine/orders", order("2", 7)).await;
    assert_eq!(newer.0, 200);
    ntex::time::sleep(ntex::time::Millis(20)).await;
    let older = post(engine.address(), "/engine/orders", order("1", 6)).await;
    assert_eq!(older.0, status);
    ntex::time::sleep(ntex::time::Millis(20)).await;
    let health = get(engine.address(), "/engine/health").await;
    assert_eq!(health["models"]["almond"], version);
    assert_eq!(health["fence"], 7);
}

#[ntex::test]
async fn unloaded() {
    let engine = start(config());
    let order = json!({ "kind": "unload", "model": "almond", "fence": 1 });
    assert_eq!(post(engine.address(), "/engine/orders", order).await.0, 200);
    let role = json!({ "kind": "role", "role": "decode", "fence": 1 });
    assert_eq!(post(engine.address(), "/engine/orders", role).await.0, 200);
    let body = json!({ "model": "almond", "prompt": "a menu" });
    assert_eq!(post(engine.address(), "/v1/completions", body).await.0, 404);
    assert_eq!(
        get(engine.address(), "/engine/health").await["role"],
        "decode"
    );
}
