//! What happened to a request, for operators: `GET /v1/explain/ID`.
//!
//! On a listener of its own, which callers don't reach: it tells of every
//! organisation's requests, though nothing of what stood in them.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
};

use almondlock_base::Code;
use ntex::{
    server::Server,
    web::{self, App, HttpRequest, HttpResponse, HttpServer},
};

use crate::{failure::Failure, shared::Shared};

/// Serves operators' questions about requests.
pub fn serve(address: SocketAddr, shared: Arc<Shared>) -> io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let factory = async move || {
        App::new()
            .state(Arc::clone(&shared))
            .route("/v1/explain/{id}", web::get().to(explain))
            .route("/v1/entry", web::get().to(entry))
    };
    let server = HttpServer::new(factory).workers(1).disable_signals();
    Ok(server.listen(listener)?.run())
}

type State = web::types::State<Arc<Shared>>;

async fn explain(request: HttpRequest, shared: State) -> HttpResponse {
    let id = request.match_info().get("id").unwrap_or_default();
    match shared.journal().get(id) {
        Some(record) => HttpResponse::Ok().json(record),
        None => {
            Failure::with_message(Code::UnknownRoute, "no such request here lately").to_response(id)
        }
    }
}

async fn entry(shared: State) -> HttpResponse {
    let peer = shared.handle.peer();
    HttpResponse::Ok().json(&serde_json::json!({
        "host": peer.host,
        "incarnation": peer.incarnation.to_string(),
        "revision": peer.revision,
        "active": shared.active(),
        "stopping": shared.is_stopping(),
        "refusals": shared.refusals(),
    }))
}
