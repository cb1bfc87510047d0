//! The plain service counts each call and answers it the same way.

mod common;

use almondlock_standin::{
    client,
    service::{Config, DELAY_HEADER, Service, answer},
};
use ntex::time::Millis;

#[ntex::test]
async fn counted() {
    let service = Service::start(Config::default()).unwrap();
    let client = client::new().await.unwrap();
    let url = format!("http://{}/payment?account=2", service.address());
    for _ in 0..2 {
        let response = client.post(&url).send_body("bid").await.unwrap();
        let body = response.body().await.unwrap();
        assert_eq!(
            body,
            answer("POST", "/payment?account=2", b"bid").as_bytes()
        );
    }
    assert_eq!(service.runs("POST", "/payment?account=2", b"bid"), 2);
    assert_eq!(service.runs("POST", "/payment?account=2", b"other"), 0);
    assert_eq!(service.total(), 2);
}

// A caller gives up on a slow call. The call ran nonetheless, and says so.
#[ntex::test]
async fn given_up() {
    let service = Service::start(Config::default()).unwrap();
    let client = client::new().await.unwrap();
    let url = format!("http://{}/notice", service.address());
    let call = client.post(&url).header(DELAY_HEADER, "60000");
    let call = call.timeout(Millis(200)).send_body("outage");
    assert!(call.await.is_err());
    assert_eq!(service.runs("POST", "/notice", b"outage"), 1);
}

#[ntex::test]
async fn killed() {
    let service = Service::start(Config::default()).unwrap();
    let client = client::new().await.unwrap();
    let url = format!("http://{}/status", service.address());
    assert!(client.get(&url).send().await.is_ok());
    service.kill();
    assert!(client.get(&url).send().await.is_err());
    service.revive().unwrap();
    assert!(client.get(&url).send().await.is_ok());
    assert_eq!(service.runs("GET", "/status", b""), 2);
}
