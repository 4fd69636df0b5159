//! Health checks for the platform, metrics and the dump for operators.

use {
    crate::engine::Engine,
    cumincart_http::operator::Operator,
    cumincart_runtime::metrics::{self, Metric, MetricKind},
    rocket::{
        Route, State, get,
        http::{ContentType, Status},
        routes,
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
    match engine.inspect(|board, now| board.freshness.is_fresh(now)).await {
        Some(true) => (Status::Ok, "ready\n"),
        _ => (Status::ServiceUnavailable, "not ready\n"),
    }
}

#[get("/metrics")]
async fn show_metrics(engine: &State<Engine>) -> Result<(ContentType, String), Status> {
    let revision =
        engine.inspect(|board, _| board.freshness.revision()).await.ok_or(Status::ServiceUnavailable)?;
    let text = metrics::render(&[Metric {
        name: "catalogue_revision",
        help: "The catalogue revision in force here",
        kind: MetricKind::Gauge,
        value: revision.0,
    }]);
    let content_type = ContentType::parse_flexible(metrics::CONTENT_TYPE).unwrap_or(ContentType::Plain);
    Ok((content_type, text))
}

#[get("/dump")]
async fn dump(_operator: Operator, engine: &State<Engine>) -> Result<(ContentType, String), Status> {
    let text = engine
        .inspect(|board, _| format!("{:?}", board.freshness.revision()))
        .await
        .ok_or(Status::ServiceUnavailable)?;
    Ok((ContentType::JSON, text))
}
