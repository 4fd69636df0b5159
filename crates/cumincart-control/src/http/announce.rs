//! `POST /announce`: the announcement of an endpoint's state.

use {
    super::refusal::RefusalResponse,
    crate::engine::Engine,
    cumincart_protocol::{announcement::Announcement, excerpt::Excerpt},
    rocket::{
        Route, State,
        http::Status,
        post, routes,
        serde::json::{self, Json},
    },
};

/// Returns the routes of this module.
pub(crate) fn routes() -> Vec<Route> {
    routes![announce]
}

#[post("/announce", data = "<body>")]
async fn announce(
    body: Result<Json<Announcement>, json::Error<'_>>,
    engine: &State<Engine>,
) -> Result<Status, RefusalResponse> {
    match body {
        Ok(body) => {
            let announcement = body.into_inner();
            announcement.check().map_err(|error| RefusalResponse::bad_request(error.to_string()))?;
            engine.announce(announcement);
            Ok(Status::Accepted)
        }
        Err(json::Error::Io(error)) => Err(RefusalResponse::bad_request(error.to_string())),
        Err(json::Error::Parse(_, error)) => {
            let reason = error.to_string();
            let message = format!("the body is not a valid announcement: {}", Excerpt(&reason));
            Err(RefusalResponse::bad_request(message))
        }
    }
}
