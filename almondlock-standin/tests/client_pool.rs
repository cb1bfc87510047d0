//! The client hands out connections to many requests at once.

mod common;

use almondlock_standin::{
    client,
    service::{Config, Service},
};
use futures::future::join_all;

use crate::common::LIMIT;

// Requests to one address come a few turns of the runtime apart, so that some
// come while another one is connecting. They wait in the client's pool. With no
// limit set on the pool they were never woken, and their callers hung.
#[ntex::test]
async fn while_connecting() {
    let service = Service::start(Config::default()).unwrap();
    let url = format!("http://{}/status", service.address());
    let client = client::new().await.unwrap();
    let calls = join_all((0..20).map(|turns| {
        let call = client.get(&url);
        async move {
            for _ in 0..turns {
                tokio::task::yield_now().await;
            }
            call.send().await
        }
    }));
    let answers = tokio::time::timeout(LIMIT, calls).await;
    assert!(answers.expect("none hangs").iter().all(Result::is_ok));
    assert_eq!(service.total(), 20);
}
