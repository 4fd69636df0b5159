//! `POST /v1/<service>/<route>`: executes the statement of a route, alone or within a transaction.

use {
    super::{
        caller::{CheckedHeaders, SESSION_HEADER, TRANSACTION_HEADER, transaction_token},
        refusal::RefusalResponse,
    },
    crate::engine::Engine,
    cumincart_protocol::{
        excerpt::Excerpt,
        refusal::{Refusal, RefusalCode},
        request::{Argument, Call, CallerAnswer, Operation, Value},
    },
    rocket::{
        Request, Route, State,
        http::{ContentType, Status},
        post,
        response::{self, Responder, Response},
        routes,
        serde::json::{self, Json},
    },
    serde::Deserialize,
    std::{io::Cursor, sync::Arc},
};

/// Returns the routes of this module.
pub(crate) fn routes() -> Vec<Route> {
    routes![call]
}

/// The body of a call.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CallBody {
    #[serde(default)]
    sql: Option<Arc<str>>,
    #[serde(default)]
    parameters: Vec<Value>,
    #[serde(default)]
    arguments: serde_json::Map<String, serde_json::Value>,
}

impl CallBody {
    /// Creates the call of a route from this body.
    pub(crate) fn call(self, service: &str, route: &str) -> Result<Call, Refusal> {
        let mut arguments = Vec::with_capacity(self.arguments.len());
        for (name, value) in self.arguments {
            let value = serde_json::from_value(value).map_err(|_| invalid_argument(&name))?;
            arguments.push(Argument { name: name.into(), value });
        }
        Ok(Call {
            service: service.into(),
            route: route.into(),
            sql: self.sql,
            parameters: self.parameters,
            arguments,
        })
    }
}

fn invalid_argument(name: &str) -> Refusal {
    let name = Excerpt(name);
    let message = format!("the argument `{name}` must be a number, a string, true, false or null");
    Refusal::not_run(RefusalCode::BadRequest, message)
}

#[post("/<service>/<route>", data = "<body>")]
async fn call(
    service: &str,
    route: &str,
    headers: CheckedHeaders,
    body: Result<Json<CallBody>, json::Error<'_>>,
    engine: &State<Engine>,
) -> Result<AnswerResponse, RefusalResponse> {
    let headers = headers.0?;
    let call = read_body(body)?.call(service, route)?;
    let operation = match headers.transaction.clone() {
        Some(transaction) => Operation::Within(transaction, call),
        None => Operation::Run(call),
    };
    let answer = engine.execute_request(headers.request(operation)).await?;
    Ok(AnswerResponse(answer))
}

/// Returns the body, or a refusal with the reason why it is invalid.
pub(crate) fn read_body(body: Result<Json<CallBody>, json::Error<'_>>) -> Result<CallBody, Refusal> {
    match body {
        Ok(body) => Ok(body.into_inner()),
        Err(json::Error::Io(error)) => {
            let message = format!("the body could not be read: {error}");
            Err(Refusal::not_run(RefusalCode::BadRequest, message))
        }
        Err(json::Error::Parse(_, error)) => {
            let reason = error.to_string();
            let message = format!("the body is not a valid call: {}", Excerpt(&reason));
            Err(Refusal::not_run(RefusalCode::BadRequest, message))
        }
    }
}

/// The HTTP response with an answer for a caller.
#[derive(Debug)]
pub(crate) struct AnswerResponse(pub(crate) CallerAnswer);

impl<'r> Responder<'r, 'static> for AnswerResponse {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let answer = self.0;
        let body = serde_json::to_vec(&answer.rows).map_err(|_| Status::InternalServerError)?;
        let mut response = Response::build();
        response.header(ContentType::JSON).raw_header(SESSION_HEADER, answer.session.encode());
        response.raw_header("Cumincart-Served-By", if answer.from_replica { "replica" } else { "primary" });
        if let Some(transaction) = &answer.transaction {
            response.raw_header(TRANSACTION_HEADER, transaction_token(transaction));
        }
        response.sized_body(body.len(), Cursor::new(body)).ok()
    }
}
