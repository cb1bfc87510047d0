//! Plans through the operators' API.
#![allow(clippy::unwrap_used)]

mod backend;

use almondlock_base::Code;
use almondlock_state::{api::HASH_DIGITS, operator::hash_key};
use backend::{Memory, get, post, start, undo};
use serde_json::{Value, json};

/// Propose, look, confirm, see the change and who made it; undo.
#[ntex::test]
async fn whole_way() {
    let memory = Memory::new();
    let address = start(&memory);
    let add = json!({
        "number": "n1", "intent": "add-organisation", "name": "acme", "limits": {"share": 3}
    });
    let (status, _, body) = post(address, "operator", "/v1/plans", &add).await;
    assert_eq!((status, &body["plan"]["state"]), (200, &json!("proposed")));
    let (_, _, body) = get(address, "viewer", "/v1/organisations").await;
    assert_eq!(body["organisations"], json!({}));
    let (_, _, body) = post(address, "operator", "/v1/plans/1/confirm", &Value::Null).await;
    assert_eq!(
        (&body["plan"]["state"], &body["in_force"]),
        (&json!("done"), &json!(true))
    );
    let (_, _, body) = get(address, "viewer", "/v1/organisations").await;
    assert_eq!(body["organisations"]["acme"]["share"], json!(3));
    let (_, _, body) = get(address, "viewer", "/v1/history?limit=1").await;
    assert_eq!(body["records"][0]["event"], json!("done"));
    assert_eq!(
        post(address, "operator", "/v1/plans/1/undo", &undo("n2"))
            .await
            .0,
        200
    );
    post(address, "operator", "/v1/plans/2/confirm", &Value::Null).await;
    let (_, _, body) = get(address, "viewer", "/v1/status").await;
    let seen = (&body["organisations"], &body["current"], &body["revision"]);
    assert_eq!(seen, (&json!(0), &json!(true), &json!(2)));
}

/// The answers to a proposal and to its confirmation are lost. Sent again under
/// the same number both are answered, and the change is made once; another
/// change under that number is the one that is refused.
#[ntex::test]
async fn lost_answer() {
    let memory = Memory::new();
    let address = start(&memory);
    let add = json!({"number": "n1", "intent": "add-organisation", "name": "acme"});
    memory.fault.lock().unwrap().silent = true;
    assert_eq!(post(address, "operator", "/v1/plans", &add).await.0, 503);
    memory.fault.lock().unwrap().silent = false;
    let (status, _, body) = post(address, "operator", "/v1/plans", &add).await;
    assert_eq!((status, &body["plan"]["id"]), (200, &json!(1)));
    let other = json!({"number": "n1", "intent": "add-organisation", "name": "rival"});
    let (status, code, _) = post(address, "admin", "/v1/plans", &other).await;
    assert_eq!(
        (status, code),
        (409, Some(Code::Conflict.number().to_string()))
    );
    for _ in 0..2 {
        let (status, ..) = post(address, "operator", "/v1/plans/1/confirm", &Value::Null).await;
        assert_eq!(status, 200);
    }
    assert_eq!(memory.machine.lock().unwrap().config().revision.0, 1);
}

/// Hashes of keys are shown by their first digits only, to nobody in whole.
#[ntex::test]
async fn hidden_hashes() {
    let memory = Memory::new();
    let address = start(&memory);
    let key = hash_key("secret");
    let add = json!({"number": "1", "intent": "add-organisation", "name": "acme"});
    post(address, "operator", "/v1/plans", &add).await;
    post(address, "operator", "/v1/plans/1/confirm", &Value::Null).await;
    let add = json!({"number": "2", "intent": "add-key", "organisation": "acme", "hash": key});
    post(address, "operator", "/v1/plans", &add).await;
    post(address, "operator", "/v1/plans/2/confirm", &Value::Null).await;
    let (_, _, body) = get(address, "admin", "/v1/organisations").await;
    let shown = body["organisations"]["acme"]["keys"][0]
        .as_str()
        .unwrap()
        .to_owned();
    assert_eq!(shown, key[..HASH_DIGITS]);
    let set = json!({
        "number": "3", "intent": "set-operator", "name": "eve", "hash": hash_key("eve"), "role": "viewer"
    });
    post(address, "admin", "/v1/plans", &set).await;
    post(address, "admin", "/v1/plans/3/confirm", &Value::Null).await;
    let paths = [
        "operators",
        "plans",
        "plans/2",
        "plans/3",
        "history",
        "status",
    ];
    for path in paths {
        let (status, _, body) = get(address, "admin", &format!("/v1/{path}")).await;
        assert_eq!(status, 200, "{path}");
        for secret in [&key, &hash_key("eve"), &hash_key("admin")] {
            assert!(!body.to_string().contains(secret), "{path}");
        }
    }
}

/// A watch answers when the revision moves, and when its wait is over.
#[ntex::test]
async fn long_poll() {
    let memory = Memory::new();
    let address = start(&memory);
    let (_, _, body) = get(address, "viewer", "/v1/watch?after=0&wait=20").await;
    assert_eq!(body["revision"], json!(0));
    let waiting =
        ntex::rt::spawn(
            async move { get(address, "viewer", "/v1/watch?after=0&wait=30000").await },
        );
    let add = json!({"number": "1", "intent": "add-organisation", "name": "acme"});
    post(address, "operator", "/v1/plans", &add).await;
    post(address, "operator", "/v1/plans/1/confirm", &Value::Null).await;
    let (_, _, body) = waiting.await.unwrap();
    assert_eq!(body["revision"], json!(1));
    assert_eq!(
        get(address, "nobody", "/v1/watch?after=0&wait=30000")
            .await
            .0,
        401
    );
}
