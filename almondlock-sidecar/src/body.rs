//! Reads a request's body from the entry host in chunks, as fast as the
//! upstream takes them.

use almondlock_wire::{
    almondlock_capnp::source,
    attempt::{BODY_CHUNK, Head},
};
use futures::SinkExt;
use ntex::util::Bytes;

use crate::protocol::Feeder;

/// Sends the whole body to the upstream's connection. Stops early when the
/// entry host or the upstream is gone; the upstream then receives a body that
/// is shorter than announced and refuses it.
pub(crate) async fn feed_body(head: &Head, source: &source::Client, mut to: Feeder) {
    if !head.body.is_empty() {
        let _ = to.send(Ok(Bytes::copy_from_slice(&head.body))).await;
        return;
    }
    let mut offset = 0;
    while offset < head.body_length {
        let chunk = match read_chunk(source, offset, BODY_CHUNK as u64).await {
            Ok(chunk) if !chunk.is_empty() => chunk,
            Ok(_) => return,
            Err(error) => {
                let _ = to.send(Err(error)).await;
                return;
            }
        };
        offset += chunk.len() as u64;
        if to.send(Ok(chunk)).await.is_err() {
            return;
        }
    }
}

/// Reads `length` bytes of the body, starting at `offset`. Fails if the body
/// ends earlier.
pub(crate) async fn read_range(
    source: &source::Client,
    offset: u64,
    length: u64,
) -> Result<Vec<u8>, capnp::Error> {
    let end = offset.saturating_add(length);
    let mut text = Vec::new();
    let mut at = offset;
    while at < end {
        let limit = (end - at).min(BODY_CHUNK as u64);
        let chunk = read_chunk(source, at, limit).await?;
        if chunk.is_empty() {
            return Err(capnp::Error::failed(
                "the request body ended before the requested range".to_owned(),
            ));
        }
        at += chunk.len() as u64;
        text.extend_from_slice(&chunk);
    }
    Ok(text)
}

/// Reads at most `limit` bytes of the body, starting at `offset`.
async fn read_chunk(
    source: &source::Client,
    offset: u64,
    limit: u64,
) -> Result<Bytes, capnp::Error> {
    let mut request = source.read_request();
    request.get().set_offset(offset);
    request
        .get()
        .set_limit(u32::try_from(limit).unwrap_or(u32::MAX));
    let answer = request.send().promise.await?;
    Ok(Bytes::copy_from_slice(answer.get()?.get_chunk()?))
}
