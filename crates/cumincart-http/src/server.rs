//! A served HTTP address.

use {
    rocket::{
        Build, Config, Orbit, Rocket, Shutdown,
        config::LogLevel,
        data::{Limits, ToByteUnit},
        fairing::AdHoc,
    },
    std::{net::SocketAddr, sync::Mutex},
    tokio::{sync::oneshot, task::JoinHandle},
};

/// Why an HTTP address can't be served.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the HTTP address {address} can't be served: {reason}")]
#[diagnostic(
    code(cumincart::http::bind),
    help("check that the address is this machine's and that no other process uses it")
)]
pub struct HttpError {
    /// The address.
    pub address: SocketAddr,
    /// What was wrong.
    pub reason: String,
}

/// A served HTTP address.
#[derive(Debug)]
pub struct HttpServer {
    /// The address as bound.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// Drops every line of `rocket` and the other libraries that write through `log`.
struct DiscardLog;

impl log::Log for DiscardLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// Keeps `rocket` from installing its own logger, which writes a line for each request while another interface of
/// the same process starts.
fn discard_library_logs() {
    // An error says that the program has installed a logger of its own.
    let _ = log::set_logger(&DiscardLog);
}

/// The settings of an interface on this address; `body_limit_kib` bounds JSON bodies. Port 0 takes a free port.
pub fn config(address: SocketAddr, body_limit_kib: u64) -> Config {
    discard_library_logs();
    let mut config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        limits: Limits::default().limit("json", body_limit_kib.kibibytes()),
        ..Config::release_default()
    };
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config
}

impl HttpServer {
    /// Binds the address of the interface's settings and serves it.
    pub async fn bind(rocket: Rocket<Build>, address: SocketAddr) -> Result<Self, HttpError> {
        let (bound_sender, bound) = oneshot::channel();
        let rocket = rocket
            .attach(report_address(bound_sender))
            .ignite()
            .await
            .map_err(|error| http_error(address, &error))?;
        let shutdown = rocket.shutdown();
        let (failed_sender, failed) = oneshot::channel();
        let task = tokio::spawn(async move {
            if let Err(error) = rocket.launch().await {
                let _ = failed_sender.send(http_error(address, &error));
            }
        });
        match bound.await {
            Ok(address) => Ok(Self { address, shutdown, task }),
            Err(_) => Err(failed.await.unwrap_or(HttpError { address, reason: "it ended".to_owned() })),
        }
    }

    /// Ends the service after the answers that are on their way.
    pub async fn stop(self) {
        self.shutdown.notify();
        // An error says that the task is gone, which is the same.
        let _ = self.task.await;
    }

    /// Ends the service at once.
    pub fn kill(self) {
        self.task.abort();
    }
}

fn report_address(bound: oneshot::Sender<SocketAddr>) -> AdHoc {
    let bound = Mutex::new(Some(bound));
    AdHoc::on_liftoff("bound address", move |rocket: &Rocket<Orbit>| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = bound.lock().ok().and_then(|mut bound| bound.take());
        if let Some(sender) = sender {
            // Nobody waits any more: the caller of `bind` has gone.
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}

fn http_error(address: SocketAddr, error: &rocket::Error) -> HttpError {
    HttpError { address, reason: error.kind().to_string() }
}
