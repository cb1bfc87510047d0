//! An HTTP client for loopback, as tests and load tools need it: any number of
//! connections, long timeouts, large bodies.

use ntex::{
    SharedCfg,
    client::{Client, Connector, error::ClientBuilderError},
    time::{Millis, Seconds},
};

/// How long an answer may take to start, and its body to end.
const TIMEOUT: Millis = Millis(120_000);

/// The largest body taken in one piece.
const BODY_LIMIT: usize = 64 << 20;

/// Connections at most. No limit would be 0, but with that the library's pool
/// never wakes a request that had to wait while another one was connecting to
/// the same address: it hangs for ever.
const CONNECTION_LIMIT: usize = 60_000;

/// How long an idle connection is kept. Less than a server of this library
/// keeps it, so that no request meets a connection about to be closed.
const KEEP_ALIVE: Seconds = Seconds(3);

/// Makes a client. It lives on the runtime it was made on.
///
/// The connector prepares for TLS although nothing here uses it, and panics
/// where two providers of cryptography are compiled in and none was chosen. So
/// one is chosen; if the process has one already, that one stays.
pub async fn new() -> Result<Client, ClientBuilderError> {
    let _ = rustls::crypto::ring::default_provider().install_default();
    let connector = Connector::new()
        .limit(CONNECTION_LIMIT)
        .keep_alive(KEEP_ALIVE);
    Client::builder()
        .connector::<&str>(connector)
        .response_timeout(TIMEOUT)
        .response_payload_timeout(TIMEOUT)
        .response_payload_limit(BODY_LIMIT)
        .build(SharedCfg::default())
        .await
}
