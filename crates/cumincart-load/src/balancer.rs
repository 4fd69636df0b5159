//! A load balancer, in place of the platform's: checks the readiness of entry instances and selects a ready one.

use {
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Interval between two readiness checks of an instance.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A running load balancer. Dropping it stops the readiness checks.
#[derive(Debug)]
pub struct Balancer {
    urls: Arc<[Arc<str>]>,
    ready: Arc<Mutex<Vec<bool>>>,
    _closing: watch::Sender<()>,
}

impl Balancer {
    /// Starts a balancer for these entry instances; each counts as ready until its first check.
    pub fn spawn(urls: Vec<Arc<str>>) -> Self {
        let ready = Arc::new(Mutex::new(vec![true; urls.len()]));
        let urls: Arc<[Arc<str>]> = urls.into();
        let (closing, closed) = watch::channel(());
        for index in 0..urls.len() {
            tokio::spawn(check(index, Arc::clone(&urls[index]), Arc::clone(&ready), closed.clone()));
        }
        Self { urls, ready, _closing: closing }
    }

    /// Returns the base URL of the preferred instance if it is ready, else that of the next ready one. Returns the
    /// preferred one if none is ready.
    pub fn pick(&self, preferred: usize) -> Arc<str> {
        let ready = self.ready.lock().expect("nothing panics under this lock");
        let count = self.urls.len();
        let candidates = (0..count).map(|step| (preferred + step) % count);
        let index = candidates.into_iter().find(|index| ready[*index]).unwrap_or(preferred % count);
        Arc::clone(&self.urls[index])
    }
}

async fn check(index: usize, url: Arc<str>, ready: Arc<Mutex<Vec<bool>>>, mut closed: watch::Receiver<()>) {
    let client = reqwest::Client::new();
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            _ = interval.tick() => {}
        }
        let response = client.get(format!("{url}/health/ready")).timeout(CHECK_TIMEOUT).send().await;
        let is_ready = response.is_ok_and(|response| response.status().is_success());
        ready.lock().expect("nothing panics under this lock")[index] = is_ready;
    }
}
