//! The hops of one request, written by two processes, join to one tree.

mod fleet;

use std::collections::HashMap;

use almondlock_standin::answer;
use fleet::{Fleet, eventually, fast};
use serde_json::Value;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER: &str = "00f067aa0ba902b7";

fn text<'a>(hop: &'a Value, field: &str) -> &'a str {
    hop[field].as_str().unwrap_or_default()
}

/// A caller sends a request that may not be repeated, with a trace of its own.
/// Whoever looks for where its time went must find every hop, each below the
/// one that caused it, from the caller's span down to the upstream.
#[ntex::test]
async fn one_tree() {
    let fleet = Fleet::start().await;
    let _sidecar = fleet.sidecar("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    let warm = Some(Ok(answer::whole("warm", 8)));
    eventually(async || fleet.text(&entry, "warm", &[]).await == warm).await;
    let traceparent = format!("00-{TRACE}-{CALLER}-01");
    let headers = [
        ("traceparent", traceparent.as_str()),
        ("Idempotency-Key", "traced"),
    ];
    let whole = Some(Ok(answer::whole("traced", 8)));
    assert_eq!(fleet.text(&entry, "traced", &headers).await, whole);
    let hops = || -> HashMap<String, Value> {
        let all = ["entry-1", "host-engine-1"].map(|host| fleet.hops(host));
        let ours = all
            .into_iter()
            .flatten()
            .filter(|hop| text(hop, "trace") == TRACE);
        ours.map(|hop| (text(&hop, "name").to_owned(), hop))
            .collect()
    };
    let names = ["entry", "claim", "choice", "attempt", "sidecar", "upstream"];
    eventually(async || {
        let hops = hops();
        names.iter().all(|name| hops.contains_key(*name))
    })
    .await;
    let hops = hops();
    assert_eq!(text(&hops["entry"], "parent"), CALLER);
    for (below, above) in [
        ("claim", "entry"),
        ("choice", "entry"),
        ("attempt", "entry"),
        ("sidecar", "attempt"),
        ("upstream", "sidecar"),
    ] {
        let (parent, span) = (text(&hops[below], "parent"), text(&hops[above], "span"));
        assert_eq!(parent, span, "{below} below {above}");
    }
}
