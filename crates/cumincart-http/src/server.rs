//! An HTTP server on one address.

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

/// An error of starting an HTTP server.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("can't serve the HTTP address {address}: {reason}")]
#[diagnostic(
    code(cumincart::http::bind),
    help("check that the address belongs to this machine and that no other process uses it")
)]
pub struct HttpError {
    /// The address.
    pub address: SocketAddr,
    /// Why it can't be served.
    pub reason: String,
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    /// The bound address.
    pub address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<()>,
}

/// Discards the log lines of `rocket` and of the other libraries that use `log`.
struct DiscardLog;

impl log::Log for DiscardLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// Prevents `rocket` from installing its own logger, which would write a line for each request while another interface
/// of the same process starts.
fn discard_library_logs() {
    // An error means that the program has already installed a logger.
    let _ = log::set_logger(&DiscardLog);
}

/// Returns the Rocket configuration for an interface on `address`, with JSON bodies limited to `body_limit_kib`. Port 0
/// binds a free port.
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
    /// Binds the address of the interface's configuration and starts to serve it.
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
            Err(_) => Err(failed
                .await
                .unwrap_or(HttpError { address, reason: "the server ended before it was bound".to_owned() })),
        }
    }

    /// Stops the server after the requests in progress are answered.
    pub async fn stop(self) {
        self.shutdown.notify();
        // An error means that the task has already ended.
        let _ = self.task.await;
    }

    /// Stops the server immediately.
    pub fn kill(self) {
        self.task.abort();
    }
}

/// Returns a fairing that reports the bound address when the server has started.
fn report_address(bound: oneshot::Sender<SocketAddr>) -> AdHoc {
    let bound = Mutex::new(Some(bound));
    AdHoc::on_liftoff("bound address", move |rocket: &Rocket<Orbit>| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = bound.lock().ok().and_then(|mut bound| bound.take());
        if let Some(sender) = sender {
            // An error means that the future of `bind` was dropped.
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}

fn http_error(address: SocketAddr, error: &rocket::Error) -> HttpError {
    HttpError { address, reason: error.kind().to_string() }
}
