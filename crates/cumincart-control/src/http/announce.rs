//! `POST /announce`: the announcement of an endpoint's state.

use {
    super::refusal::RefusalResponse,
    crate::engine::Engine,
    cumincart_protocol::announcement::Announcement,
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
            engine.announce(body.into_inner());
            Ok(Status::Accepted)
        }
        Err(json::Error::Io(error)) => Err(RefusalResponse::bad_request(error.to_string())),
        Err(json::Error::Parse(_, error)) => {
            Err(RefusalResponse::bad_request(format!("the body is not a valid announcement: {error}")))
        }
    }
}
