//! Promotion of a replica.

use {
    super::{
        login::{EndpointConnection, EndpointLogin, connect},
        statement::{StatementError, run_without_parameters},
    },
    cumincart_core::control::{PromotedState, PromotionError},
    cumincart_protocol::{
        endpoint_sql::{PROMOTE_SQL, TIMELINE_START_SQL},
        number::{LogPosition, Timeline},
        request::{Rows, Value},
    },
    std::time::Duration,
    tokio_postgres::Client,
};

/// The timeout of each state query, before and after the promotion statement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a promotion, slightly longer than the one in its SQL.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(5);

/// SQLSTATE `object_not_in_prerequisite_state`: the promoted endpoint is a primary already.
const NOT_IN_RECOVERY: &str = "55000";

/// Promotes the endpoint at `address`, unless it is a primary already, and returns its state afterwards.
pub async fn promote(address: &str, login: &EndpointLogin) -> Result<PromotedState, PromotionError> {
    let EndpointConnection { client, driver, .. } =
        connect(address, login).await.map_err(|()| PromotionError::NotReached)?;
    tokio::select! {
        result = promote_with(&client) => result,
        () = drive(driver) => Err(PromotionError::Unknown),
    }
}

/// Performs the connection's I/O and never returns: if the connection is lost, the client's calls fail by themselves.
async fn drive(driver: impl Future<Output = ()>) {
    driver.await;
    std::future::pending::<()>().await;
}

async fn promote_with(client: &Client) -> Result<PromotedState, PromotionError> {
    // The promotion has not been requested yet, so an error here leaves the endpoint unchanged.
    if let Some(state) = timeline_start(client).await.map_err(|_| PromotionError::NotReached)? {
        return Ok(state);
    }
    let result = tokio::time::timeout(PROMOTION_TIMEOUT, run_without_parameters(client, PROMOTE_SQL)).await;
    match result.map_err(|_| PromotionError::Unknown)? {
        Ok(_) => {}
        Err(StatementError::Refused { code, .. }) if code == NOT_IN_RECOVERY => {}
        Err(_) => return Err(PromotionError::Unknown),
    }
    timeline_start(client).await.ok().flatten().ok_or(PromotionError::Unknown)
}

/// Returns the start of a primary's timeline; `None` on a replica.
async fn timeline_start(client: &Client) -> Result<Option<PromotedState>, PromotionError> {
    let result =
        tokio::time::timeout(ANSWER_TIMEOUT, run_without_parameters(client, TIMELINE_START_SQL)).await;
    let rows = result.map_err(|_| PromotionError::Unknown)?.map_err(|_| PromotionError::Unknown)?;
    parse(&rows)
}

fn parse(rows: &Rows) -> Result<Option<PromotedState>, PromotionError> {
    let row = rows.rows.first().ok_or(PromotionError::Unknown)?;
    let [Value::Bool(in_recovery), Value::Int(timeline), Value::Int(start)] = row[..] else {
        return Err(PromotionError::Unknown);
    };
    if in_recovery {
        return Ok(None);
    }
    let (timeline, start) = (Timeline(timeline.unsigned_abs()), LogPosition(start.unsigned_abs()));
    Ok(Some(PromotedState { timeline, start }))
}
