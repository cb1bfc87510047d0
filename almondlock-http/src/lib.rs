//! HTTP/1.1 message framing: how the end of a body is recognised, and how it is marked.
//!
//! A process between callers and upstreams tells its callers that an answer is complete. It
//! may do so only on evidence: the announced length, the last chunk, or, for a body that ends
//! with its connection, the content. What it has no evidence for it must break off in a way
//! that the caller notices.
//!
//! | module | does |
//! |---|---|
//! | [`upstream`] | one connection to an upstream, and reading answers from it |
//! | [`client`] | requests to any address, over connections that are kept |
//! | [`response`] | ending and breaking off streamed responses to callers |

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod client;
pub mod response;
mod syntax;
pub mod upstream;
