//! Health checks for the platform, metrics and the dump for operators.

use {
    crate::engine::Engine,
    cumincart_http::operator::Operator,
    cumincart_runtime::metrics::{self, Metric},
    rocket::{
        Route, State, get,
        http::{ContentType, Status},
        routes,
        serde::json::Json,
    },
};

/// The routes of this file.
pub(crate) fn routes() -> Vec<Route> {
    routes![live, ready, show_metrics, dump]
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
    let revision =
        engine.inspect(|board, _| board.catalogue.revision).await.ok_or(Status::ServiceUnavailable)?;
    let text = metrics::render(&[Metric::gauge(
        "catalogue_revision",
        "The catalogue revision applied here",
        revision.0,
    )]);
    let content_type = ContentType::parse_flexible(metrics::CONTENT_TYPE).unwrap_or(ContentType::Plain);
    Ok((content_type, text))
}

#[get("/v1/dump")]
async fn dump(_operator: Operator, engine: &State<Engine>) -> Result<Json<u64>, Status> {
    let revision =
        engine.inspect(|board, _| board.catalogue.revision).await.ok_or(Status::ServiceUnavailable)?;
    Ok(Json(revision.0))
}
