//! The adapter to endpoints: the PostgreSQL wire protocol through `tokio-postgres`.

use {
    cumincart_core::{
        control::{PromotedState, PromotionError},
        entry::Input,
        work::{ConnectionId, Work, WorkId},
    },
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// How to log in to endpoints.
#[derive(Debug, Clone)]
pub struct EndpointLogin {
    /// The user.
    pub user: Arc<str>,
    /// The password, where the endpoint asks for one.
    pub password: Option<Arc<str>>,
    /// The database.
    pub database: Arc<str>,
    /// How long an attempt to connect may take.
    pub connect_timeout: Duration,
}

/// A work for a connection.
#[derive(Debug, Clone)]
pub struct Order {
    /// Comes back with the outcome.
    pub id: WorkId,
    /// What to do.
    pub work: Work,
}

/// Opens a connection and does its orders one after another, until the orders' channel closes or it is lost.
///
/// Reports `Opened` or `Closed`, then `Done` for each order, and `Closed` at the end.
pub fn spawn(
    _connection: ConnectionId,
    _address: Arc<str>,
    _login: EndpointLogin,
    _orders: mpsc::UnboundedReceiver<Order>,
    _inputs: mpsc::UnboundedSender<Input>,
) {
}

/// Promotes the endpoint at this address, unless it is a primary already, and gives its state after that.
pub async fn promote(_address: &str, _login: &EndpointLogin) -> Result<PromotedState, PromotionError> {
    Err(PromotionError::NotReached)
}
