//! Requests that can't be taken: each is told a number, and nothing runs.

mod fleet;

use fleet::{Ask, Fleet, fast, text_of};
use ntex::http::Method;

struct Case {
    name: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    code: u16,
}

const KEY: (&str, &str) = ("Authorization", "Bearer acme-key");
const JSON: (&str, &str) = ("Content-Type", "application/json");
const GOOD: &str = r#"{"model":"almond","prompt":"hi","max_tokens":1}"#;
const TEXT: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "no key", path: TEXT, headers: &[JSON], body: GOOD, code: 1001 },
    Case { name: "wrong key", path: TEXT, headers: &[JSON, ("Authorization", "Bearer nobody")], body: GOOD, code: 1001 },
    Case { name: "other scheme", path: TEXT, headers: &[JSON, ("Authorization", "Basic YTpi")], body: GOOD, code: 1001 },
    Case { name: "two keys", path: TEXT, headers: &[JSON, KEY, ("Authorization", "Bearer bolt-key")], body: GOOD, code: 1007 },
    Case { name: "not json", path: TEXT, headers: &[JSON, KEY], body: "prompt=hi", code: 1003 },
    Case { name: "half a body", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"almond","#, code: 1003 },
    Case { name: "no prompt", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"almond"}"#, code: 1003 },
    Case { name: "no messages", path: CHAT, headers: &[JSON, KEY], body: GOOD, code: 1003 },
    Case { name: "member twice", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"almond","model":"x","prompt":"hi"}"#, code: 1003 },
    Case { name: "many answers", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"almond","prompt":"hi","n":2}"#, code: 1003 },
    Case { name: "odd stream", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"almond","prompt":"hi","stream":1}"#, code: 1003 },
    Case { name: "wrong type", path: TEXT, headers: &[KEY, ("Content-Type", "text/plain")], body: GOOD, code: 1011 },
    Case { name: "unknown model", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"walnut","prompt":"hi"}"#, code: 1005 },
    Case { name: "unknown adapter", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"almond+x","prompt":"hi"}"#, code: 1005 },
    Case { name: "no deadline", path: TEXT, headers: &[JSON, KEY, ("X-Almondlock-Deadline-Ms", "0")], body: GOOD, code: 1006 },
    Case { name: "a year", path: TEXT, headers: &[JSON, KEY, ("X-Almondlock-Deadline-Ms", "31536000000")], body: GOOD, code: 1006 },
    Case { name: "odd deadline", path: TEXT, headers: &[JSON, KEY, ("X-Almondlock-Deadline-Ms", "soon")], body: GOOD, code: 1006 },
    Case { name: "odd repeatable", path: TEXT, headers: &[JSON, KEY, ("X-Almondlock-Repeatable", "maybe")], body: GOOD, code: 1012 },
    Case { name: "empty key", path: TEXT, headers: &[JSON, KEY, ("Idempotency-Key", "")], body: GOOD, code: 1012 },
    Case { name: "two idempotency keys", path: TEXT, headers: &[JSON, KEY, ("Idempotency-Key", "a"), ("Idempotency-Key", "b")], body: GOOD, code: 1007 },
    Case { name: "unknown path", path: "/v1/other", headers: &[JSON, KEY], body: GOOD, code: 1010 },
    Case { name: "unknown service", path: "/services/none/x", headers: &[JSON, KEY], body: GOOD, code: 1009 },
    Case { name: "too long", path: TEXT, headers: &[JSON, KEY], body: r#"{"model":"almond","prompt":"hi","max_tokens":9000000}"#, code: 1014 },
];

#[ntex::test]
async fn refused() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    for case in CASES {
        let url = format!("http://{}{}", entry.address(), case.path);
        let mut request = fleet.client.request(Method::POST, url);
        for (name, value) in case.headers {
            request = request.header(*name, *value);
        }
        let response = request.send_body(case.body).await.unwrap();
        let header = response.header("x-almondlock-code");
        let header = header.and_then(|v| v.to_str().ok()?.parse::<u16>().ok());
        let (code, ran) = text_of(response).await.unwrap_err();
        assert_eq!((code, ran.as_str()), (case.code, "no"), "{}", case.name);
        assert_eq!(header, Some(case.code), "{}", case.name);
    }
    assert_eq!(engine.seen().arrived, 0);
}

/// A body larger than allowed is refused as soon as its length is known.
#[ntex::test]
async fn large_body() {
    let fleet = Fleet::new().await;
    let config = almondlock_entry::shared::Config {
        body_limit: 100_000,
        ..Default::default()
    };
    let entry = fleet.entry_with("entry-1", config).await;
    fleet.settle().await;
    let prompt = "x".repeat(200_000);
    let refused = text_of(fleet.complete(&entry, &Ask::new(&prompt)).await).await;
    assert_eq!(refused, Err((1004, "no".to_owned())));
}

/// An organisation's key opens nothing of another's: its rate and tokens are
/// its own, and one that is over its limit is told when to come back.
#[ntex::test]
async fn over_limit() {
    use almondlock_state::config::Change;
    let fleet = Fleet::new().await;
    fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    let Change::Organisation(name, Some(mut value)) = fleet::organisation("acme") else {
        unreachable!();
    };
    value.rate = 1;
    fleet.change(Change::Organisation(name, Some(value)));
    fleet.settle().await;
    let mut refusals = 0;
    for _ in 0..10 {
        let response = fleet.complete(&entry, &Ask::new("hi")).await;
        let wait = response.header("retry-after").cloned();
        if let Err((code, ran)) = text_of(response).await {
            assert_eq!((code, ran.as_str()), (2001, "no"));
            assert!(wait.is_some());
            refusals += 1;
        }
    }
    assert!(refusals > 0);
    let other = Ask {
        organisation: "bolt",
        ..Ask::new("hi")
    };
    text_of(fleet.complete(&entry, &other).await).await.unwrap();
}
