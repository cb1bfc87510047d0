//! Who may ask the replicas what.
#![allow(clippy::unwrap_used)]

mod backend;

use almondlock_base::Code;
use almondlock_control::admin::Failure;
use backend::{Memory, ask, get, post, start, undo};
use ntex::http::Method;
use serde_json::{Value, json};

fn number(code: Code) -> Option<String> {
    Some(code.number().to_string())
}

fn set_operator(name: &str, key: &str) -> Value {
    let hash = almondlock_state::operator::hash_key(key);
    json!({"number": name, "intent": "set-operator", "name": name, "hash": hash, "role": "viewer"})
}

/// No key, a wrong key, and a key of too low a role: each has its code, in the
/// header and in the body, and changes nothing.
#[ntex::test]
async fn refused() {
    let memory = Memory::new();
    let address = start(&memory);
    let (status, code, body) = ask(address, None, Method::GET, "/v1/plans", &Value::Null).await;
    assert_eq!((status, code), (401, number(Code::Unauthenticated)));
    assert_eq!(
        (&body["error"]["code"], &body["error"]["ran"]),
        (&json!(1001), &json!("no"))
    );
    let (status, ..) = get(address, "nobody", "/v1/organisations").await;
    assert_eq!(status, 401);
    let add = json!({"number": "1", "intent": "add-organisation", "name": "acme"});
    let (status, code, _) = post(address, "viewer", "/v1/plans", &add).await;
    assert_eq!((status, code), (403, number(Code::Forbidden)));
    let (status, code, _) = post(address, "operator", "/v1/plans", &set_operator("eve", "k")).await;
    assert_eq!((status, code), (403, number(Code::Forbidden)));
    assert_eq!(memory.machine.lock().unwrap().plans().iter().count(), 0);
}

/// An administrator adds an operator; somebody with the role `operator` can
/// neither confirm that plan nor undo it, and can't get round it by undoing the
/// undoing.
#[ntex::test]
async fn undo_of_undo() {
    let memory = Memory::new();
    let address = start(&memory);
    let (status, _, body) = post(address, "admin", "/v1/plans", &set_operator("eve", "k")).await;
    assert_eq!((status, &body["plan"]["id"]), (200, &json!(1)));
    let (status, ..) = post(address, "operator", "/v1/plans/1/confirm", &Value::Null).await;
    assert_eq!(status, 403);
    let (status, ..) = post(address, "admin", "/v1/plans/1/confirm", &Value::Null).await;
    assert_eq!(status, 200);
    let (status, ..) = post(address, "operator", "/v1/plans/1/undo", &undo("u1")).await;
    assert_eq!(status, 403);
    let (status, _, body) = post(address, "admin", "/v1/plans/1/undo", &undo("u2")).await;
    assert_eq!((status, &body["plan"]["id"]), (200, &json!(2)));
    post(address, "admin", "/v1/plans/2/confirm", &Value::Null).await;
    assert_eq!(
        get(address, "k", "/v1/plans").await.0,
        401,
        "her key is gone at once"
    );
    let again = json!({"number": "u3", "intent": "undo", "plan": 2});
    assert_eq!(post(address, "operator", "/v1/plans", &again).await.0, 403);
}

/// A replica that doesn't lead names the leader; one without a quorum says so,
/// and that a change may have been made. Its status is still shown, as not
/// current.
#[ntex::test]
async fn cut_off() {
    let memory = Memory::new();
    let address = start(&memory);
    let leader = "10.0.0.9:7001".parse().unwrap();
    memory.fault.lock().unwrap().failure = Some(Failure::NotLeader(Some(leader)));
    let (status, code, body) = get(address, "viewer", "/v1/plans").await;
    assert_eq!((status, code), (421, number(Code::NotLeader)));
    assert_eq!(body["error"]["leader"], json!("10.0.0.9:7001"));
    memory.fault.lock().unwrap().failure = Some(Failure::NoQuorum);
    let (status, _, body) = get(address, "viewer", "/v1/history").await;
    assert_eq!((status, &body["error"]["ran"]), (503, &json!("unknown")));
    let (status, _, body) = get(address, "viewer", "/v1/status").await;
    assert_eq!((status, &body["current"]), (200, &json!(false)));
    assert_eq!(get(address, "nobody", "/v1/status").await.0, 401);
}

/// Bodies that are too large or no JSON, unknown paths, unknown plans.
#[ntex::test]
async fn hostile() {
    let memory = Memory::new();
    let address = start(&memory);
    let large = json!({"number": "x".repeat(100_000)});
    let (status, code, _) = post(address, "operator", "/v1/plans", &large).await;
    assert_eq!((status, code), (413, number(Code::BodyTooLarge)));
    let (status, code, _) = post(address, "operator", "/v1/plans", &json!([1])).await;
    assert_eq!((status, code), (400, number(Code::UnreadableBody)));
    let odd = json!({"number": "1", "intent": "drain", "upstream": "a b", "reason": ""});
    assert_eq!(post(address, "operator", "/v1/plans", &odd).await.0, 400);
    for path in ["/", "/v1/nothing", "/v1/plans/1/burn/2"] {
        assert_eq!(
            get(address, "viewer", path).await.1,
            number(Code::UnknownRoute),
            "{path}"
        );
    }
    for id in ["7", "x", "-1", "99999999999999999999999"] {
        let (status, code, _) = get(address, "viewer", &format!("/v1/plans/{id}")).await;
        assert_eq!((status, code), (404, number(Code::UnknownPlan)), "{id}");
    }
}
