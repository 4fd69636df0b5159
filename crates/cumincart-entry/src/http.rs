//! The HTTP interface: requests of callers, health checks of the platform, metrics and the state dump.

mod call;
mod caller;
mod catchers;
mod operations;
mod refusal;
mod transaction;

use {
    crate::engine::Engine,
    cumincart_http::{
        operator::OperatorToken,
        server::{HttpError, HttpServer, config},
    },
    std::net::SocketAddr,
};

/// The maximum size of a request body, in KiB.
const BODY_LIMIT_KIB: u64 = 256;

/// Binds the address and starts to serve the interface.
pub(crate) async fn bind(
    address: SocketAddr,
    engine: Engine,
    operator_token: OperatorToken,
) -> Result<HttpServer, HttpError> {
    let rocket = rocket::custom(config(address, BODY_LIMIT_KIB))
        .manage(engine)
        .manage(operator_token)
        .mount("/v1", call::routes())
        .mount("/v1", transaction::routes())
        .mount("/", operations::routes())
        .register("/", catchers::catchers());
    HttpServer::bind(rocket, address).await
}
