//! Opening connections.

use {
    super::prepared::Fixed,
    std::{future::Future, pin::Pin, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
    tokio_postgres::{Client, Config, NoTls},
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

/// An open connection: the client's half, and the future that moves bytes for it.
pub(super) struct Connected {
    pub client: Client,
    pub driver: Pin<Box<dyn Future<Output = ()> + Send>>,
    lost: bool,
}

impl Connected {
    /// Ends when the connection is lost.
    pub async fn lost(&mut self) {
        if !self.lost {
            (&mut self.driver).await;
            self.lost = true;
        }
    }

    /// Whether the connection is known to be lost.
    pub fn is_lost(&self) -> bool {
        self.lost || self.client.is_closed()
    }
}

/// Connects, logs in and prepares the fixed statements within the login's timeout.
pub(super) async fn open(address: &str, login: &EndpointLogin) -> Result<(Connected, Fixed), ()> {
    let deadline = Instant::now() + login.connect_timeout;
    let mut connected = connect(address, login).await?;
    let Connected { client, driver, .. } = &mut connected;
    let fixed = tokio::select! {
        biased;
        prepared = timeout_at(deadline, Fixed::prepare(client)) => prepared.map_err(|_| ())?.map_err(|_| ())?,
        () = driver => return Err(()),
    };
    Ok((connected, fixed))
}

/// Connects and logs in within the login's timeout; any failure leaves nothing behind at the endpoint.
pub(super) async fn connect(address: &str, login: &EndpointLogin) -> Result<Connected, ()> {
    let (host, port) = address.rsplit_once(':').ok_or(())?;
    let mut config = Config::new();
    config.host(host.trim_matches(['[', ']'])).port(port.parse().map_err(|_| ())?);
    config.user(&*login.user).dbname(&*login.database).application_name("cumincart");
    if let Some(password) = &login.password {
        config.password(password.as_bytes());
    }
    let attempt = tokio::time::timeout(login.connect_timeout, config.connect(NoTls));
    let (client, connection) = attempt.await.map_err(|_| ())?.map_err(|_| ())?;
    let driver = async move {
        // The client's calls report the loss with what was in flight.
        let _ = connection.await;
    };
    Ok(Connected { client, driver: Box::pin(driver), lost: false })
}
