//! Requests that are sent ahead on one connection.
//!
//! The HTTP library answers all requests that it has read of a connection before another
//! connection has its turn. Here the connections take turns request by request, and one that
//! goes on sending ahead is closed behind an answer.

use std::marker::PhantomData;

use ntex::{
    Middleware, Service, ServiceCtx, SharedCfg,
    http::{ConnectionType, Request, Response},
};
use tokio::task::yield_now;

use crate::connections::Connections;

/// Lets connections take turns. See the [module](self).
#[derive(Clone, Debug)]
pub struct Turns<B> {
    connections: Connections,
    /// Requests in a row that may have another one behind them.
    limit: u32,
    _body: PhantomData<fn() -> B>,
}

impl<B> Turns<B> {
    /// Closes a connection after `limit` requests in a row that had another one behind them.
    pub const fn new(connections: Connections, limit: u32) -> Turns<B> {
        Turns {
            connections,
            limit,
            _body: PhantomData,
        }
    }
}

impl<S, B> Middleware<S, SharedCfg> for Turns<B> {
    type Service = Paced<S, B>;

    fn create(&self, service: S, _: SharedCfg) -> Paced<S, B> {
        Paced {
            service,
            connections: self.connections.clone(),
            limit: self.limit,
            _body: PhantomData,
        }
    }
}

/// A service behind [`Turns`].
#[derive(Debug)]
pub struct Paced<S, B> {
    service: S,
    connections: Connections,
    limit: u32,
    _body: PhantomData<fn() -> B>,
}

impl<S, B> Service<Request> for Paced<S, B>
where
    S: Service<Request>,
    S::Response: Into<Response<B>>,
{
    type Response = Response<B>;
    type Error = S::Error;

    ntex::forward_ready!(service);
    ntex::forward_poll!(service);
    ntex::forward_shutdown!(service);

    async fn call(
        &self,
        request: Request,
        ctx: ServiceCtx<'_, Self>,
    ) -> Result<Response<B>, S::Error> {
        let Some(io) = request.io().cloned() else {
            return ctx.call(&self.service, request).await.map(Into::into);
        };
        if self.connections.ahead(&io) > 0 {
            yield_now().await;
        }
        let mut response: Response<B> = ctx.call(&self.service, request).await?.into();
        if self.connections.note_ahead(&io) >= self.limit {
            self.connections.count_pipelined();
            let head = response.head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        Ok(response)
    }
}
