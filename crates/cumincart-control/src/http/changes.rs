//! `POST /v1/changes`: an operator's change.

use {
    super::refusal::RefusalResponse,
    crate::engine::Engine,
    cumincart_http::operator::Operator,
    cumincart_protocol::{
        change::{Change, Outcome},
        excerpt::Excerpt,
    },
    rocket::{
        Route, State,
        http::Status,
        post, routes,
        serde::json::{self, Json},
    },
};

/// Returns the routes of this module.
pub(crate) fn routes() -> Vec<Route> {
    routes![change]
}

#[post("/changes", data = "<body>")]
async fn change(
    _operator: Operator,
    body: Result<Json<Change>, json::Error<'_>>,
    engine: &State<Engine>,
) -> Result<(Status, Json<Outcome>), RefusalResponse> {
    let change = match body {
        Ok(body) => body.into_inner(),
        Err(json::Error::Io(error)) => return Err(RefusalResponse::bad_request(error.to_string())),
        Err(json::Error::Parse(_, error)) => {
            let reason = error.to_string();
            let message = format!("the body is not a valid change: {}", Excerpt(&reason));
            return Err(RefusalResponse::bad_request(message));
        }
    };
    let outcome = engine.change(change).await?;
    let status = match outcome {
        Outcome::Accepted { .. } => Status::Ok,
        Outcome::Conflict { .. } => Status::Conflict,
    };
    Ok((status, Json(outcome)))
}
