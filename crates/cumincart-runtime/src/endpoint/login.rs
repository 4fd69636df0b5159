//! Connecting and logging in to endpoints.

use {
    super::prepared::PreparedStatements,
    std::{future::Future, pin::Pin, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
    tokio_postgres::{Client, Config, NoTls},
};

/// The credentials for endpoints.
#[derive(Debug, Clone)]
pub struct EndpointLogin {
    /// The user name.
    pub user: Arc<str>,
    /// The password, if the endpoint requires one.
    pub password: Option<Arc<str>>,
    /// The database name.
    pub database: Arc<str>,
    /// The timeout of a connection attempt.
    pub connect_timeout: Duration,
}

/// An open connection: the client, and the future that performs its I/O.
pub(super) struct EndpointConnection {
    pub client: Client,
    pub driver: Pin<Box<dyn Future<Output = ()> + Send>>,
    is_lost: bool,
}

impl EndpointConnection {
    /// Waits until the connection is lost.
    pub async fn lost(&mut self) {
        if !self.is_lost {
            (&mut self.driver).await;
            self.is_lost = true;
        }
    }

    /// Returns whether the connection is known to be lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost || self.client.is_closed()
    }
}

/// Connects, logs in and prepares the statements, within the login's timeout.
pub(super) async fn open(
    address: &str,
    login: &EndpointLogin,
) -> Result<(EndpointConnection, PreparedStatements), ()> {
    let deadline = Instant::now() + login.connect_timeout;
    let mut connection = connect(address, login).await?;
    let EndpointConnection { client, driver, .. } = &mut connection;
    let statements = tokio::select! {
        biased;
        prepared = timeout_at(deadline, PreparedStatements::prepare(client)) => prepared.map_err(|_| ())?.map_err(|_| ())?,
        () = driver => return Err(()),
    };
    Ok((connection, statements))
}

/// Connects and logs in within the login's timeout. A failed attempt leaves no connection at the endpoint.
pub(super) async fn connect(address: &str, login: &EndpointLogin) -> Result<EndpointConnection, ()> {
    let (host, port) = address.rsplit_once(':').ok_or(())?;
    let mut config = Config::new();
    config.host(host.trim_matches(['[', ']'])).port(port.parse().map_err(|_| ())?);
    config.user(&*login.user).dbname(&*login.database).application_name("cumincart");
    if let Some(password) = &login.password {
        config.password(password.as_bytes());
    }
    let attempt = tokio::time::timeout(login.connect_timeout, config.connect(NoTls));
    let (client, io) = attempt.await.map_err(|_| ())?.map_err(|_| ())?;
    let driver = async move {
        // The pending calls of the client report the loss of the connection.
        let _ = io.await;
    };
    Ok(EndpointConnection { client, driver: Box::pin(driver), is_lost: false })
}
