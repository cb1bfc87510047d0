//! Responses to callers, and how they are broken off.

use std::{future::pending, io};

use ntex::{io::IoRef, util::Bytes};

/// Ends a response in the middle of its body by closing the connection. Otherwise the HTTP
/// library would write the error's own response into the unfinished body, where the caller
/// could take it for a part of the body.
pub async fn abort<T>(io: Option<IoRef>, error: io::Error) -> Option<(io::Result<Bytes>, T)> {
    match io {
        Some(io) => {
            io.close();
            pending().await
        }
        // Without a connection there is no caller to mislead.
        None => {
            tracing::warn!(%error, "response failed midway and has no connection to close");
            None
        }
    }
}
