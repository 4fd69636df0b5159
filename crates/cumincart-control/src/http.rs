//! The HTTP interface: requests of operators, announcements of endpoints, health checks, metrics and the state dump.

mod announce;
mod catchers;
mod changes;
mod operations;
mod refusal;
mod status;

use {
    crate::engine::Engine,
    cumincart_http::{
        operator::OperatorToken,
        server::{HttpError, HttpServer, config},
    },
    std::net::SocketAddr,
};

/// The maximum size of a request body, in KiB. Both lists at the target size fit into it.
const BODY_LIMIT_KIB: u64 = 8 * 1024;

/// Binds the address and starts to serve the interface.
pub(crate) async fn bind(
    address: SocketAddr,
    engine: Engine,
    operator_token: OperatorToken,
) -> Result<HttpServer, HttpError> {
    let rocket = rocket::custom(config(address, BODY_LIMIT_KIB))
        .manage(engine)
        .manage(operator_token)
        .mount("/v1", changes::routes())
        .mount("/v1", status::routes())
        .mount("/", announce::routes())
        .mount("/", operations::routes())
        .register("/", catchers::catchers());
    HttpServer::bind(rocket, address).await
}
