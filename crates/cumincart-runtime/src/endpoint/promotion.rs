//! Promoting a replica.

use {
    super::{
        login::{Connected, EndpointLogin, connect},
        statement::{Failure, run_plain},
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

/// How long an endpoint may take to answer before its first promotion order, and again after it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a promotion may take; a little more than the time that its SQL allows.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(5);

/// SQLSTATE: the promotion of what is a primary already.
const NOT_IN_RECOVERY: &str = "55000";

/// Promotes the endpoint at this address, unless it is a primary already, and gives its state after that.
pub async fn promote(address: &str, login: &EndpointLogin) -> Result<PromotedState, PromotionError> {
    let Connected { client, driver, .. } =
        connect(address, login).await.map_err(|()| PromotionError::NotReached)?;
    tokio::select! {
        result = promote_on(&client) => result,
        () = driven_for_ever(driver) => Err(PromotionError::Unknown),
    }
}

/// Moves the connection's bytes; the calls on the client end by themselves when it is lost.
async fn driven_for_ever(driver: impl Future<Output = ()>) {
    driver.await;
    std::future::pending::<()>().await;
}

async fn promote_on(client: &Client) -> Result<PromotedState, PromotionError> {
    // Nothing was ordered yet: a failure here leaves the endpoint as it was.
    if let Some(state) = timeline_start(client).await.map_err(|_| PromotionError::NotReached)? {
        return Ok(state);
    }
    let ordered = tokio::time::timeout(PROMOTION_TIMEOUT, run_plain(client, PROMOTE_SQL)).await;
    match ordered.map_err(|_| PromotionError::Unknown)? {
        Ok(_) => {}
        Err(Failure::Refused { code, .. }) if code == NOT_IN_RECOVERY => {}
        Err(_) => return Err(PromotionError::Unknown),
    }
    timeline_start(client).await.ok().flatten().ok_or(PromotionError::Unknown)
}

/// The start of a primary's timeline; none on a replica.
async fn timeline_start(client: &Client) -> Result<Option<PromotedState>, PromotionError> {
    let asked = tokio::time::timeout(ANSWER_TIMEOUT, run_plain(client, TIMELINE_START_SQL)).await;
    let rows = asked.map_err(|_| PromotionError::Unknown)?.map_err(|_| PromotionError::Unknown)?;
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
