//! Health checks for the platform, metrics, and the state dump for operators.

use {
    crate::{engine::Engine, metrics::control_metrics},
    cumincart_core::control::dump::{self, Dump},
    cumincart_http::operator::Operator,
    cumincart_runtime::{link::traffic, metrics},
    rocket::{
        Route, State, get,
        http::{ContentType, Status},
        routes,
        serde::json::Json,
    },
};

/// Returns the routes of this module.
pub(crate) fn routes() -> Vec<Route> {
    routes![live, ready, show_metrics, show_dump]
}

#[get("/health/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/health/ready")]
async fn ready(engine: &State<Engine>) -> (Status, &'static str) {
    match engine.status().await {
        Ok(_) => (Status::Ok, "ready\n"),
        Err(_) => (Status::ServiceUnavailable, "not ready\n"),
    }
}

#[get("/metrics")]
async fn show_metrics(engine: &State<Engine>) -> Result<(ContentType, String), Status> {
    let dump = engine.inspect(dump::dump).await.ok_or(Status::ServiceUnavailable)?;
    let content_type = ContentType::parse_flexible(metrics::CONTENT_TYPE).unwrap_or(ContentType::Plain);
    Ok((content_type, metrics::render(&[control_metrics(&dump), traffic::metrics()].concat())))
}

#[get("/v1/dump")]
async fn show_dump(_operator: Operator, engine: &State<Engine>) -> Result<Json<Dump>, Status> {
    engine.inspect(dump::dump).await.map(Json).ok_or(Status::ServiceUnavailable)
}
