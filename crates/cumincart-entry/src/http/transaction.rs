//! `POST /v1/<service>/<route>/begin`, `/v1/transactions/commit` and `/v1/transactions/rollback`.

use {
    super::{
        call::{AnswerResponse, CallBody},
        caller::{CallerHeaders, CheckedHeaders, bad_request},
        refusal::RefusalResponse,
    },
    crate::engine::Engine,
    cumincart_protocol::{
        refusal::Refusal,
        request::{Operation, TransactionId},
    },
    rocket::{Route, State, post, routes},
};

/// Returns the routes of this module.
pub(crate) fn routes() -> Vec<Route> {
    routes![begin, commit, rollback]
}

#[post("/<service>/<route>/begin")]
async fn begin(
    service: &str,
    route: &str,
    headers: CheckedHeaders,
    engine: &State<Engine>,
) -> Result<AnswerResponse, RefusalResponse> {
    let headers = headers.0?;
    let call = CallBody::default().call(service, route)?;
    let answer = engine.execute_request(headers.request(Operation::Begin(call))).await?;
    Ok(AnswerResponse(answer))
}

#[post("/transactions/commit", rank = 1)]
async fn commit(headers: CheckedHeaders, engine: &State<Engine>) -> Result<AnswerResponse, RefusalResponse> {
    end(headers, engine, Operation::Commit).await
}

#[post("/transactions/rollback", rank = 1)]
async fn rollback(
    headers: CheckedHeaders,
    engine: &State<Engine>,
) -> Result<AnswerResponse, RefusalResponse> {
    end(headers, engine, Operation::Rollback).await
}

async fn end(
    headers: CheckedHeaders,
    engine: &Engine,
    operation: impl FnOnce(TransactionId) -> Operation,
) -> Result<AnswerResponse, RefusalResponse> {
    let headers = headers.0?;
    let transaction = required_transaction(&headers)?;
    let answer = engine.execute_request(headers.request(operation(transaction))).await?;
    Ok(AnswerResponse(answer))
}

fn required_transaction(headers: &CallerHeaders) -> Result<TransactionId, Refusal> {
    headers.transaction.clone().ok_or_else(|| bad_request("the header Cumincart-Transaction is missing"))
}
