//! The platform's balancer: asks entry instances whether they are ready and passes requests to those that are.

use {
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Time between two looks at an instance.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long an answer to a look may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A running balancer. Dropping it ends its looks.
#[derive(Debug)]
pub struct Balancer {
    urls: Arc<[Arc<str>]>,
    ready: Arc<Mutex<Vec<bool>>>,
    _closing: watch::Sender<()>,
}

impl Balancer {
    /// A balancer before entry instances that are all ready now.
    pub fn spawn(urls: Vec<Arc<str>>) -> Self {
        let ready = Arc::new(Mutex::new(vec![true; urls.len()]));
        let urls: Arc<[Arc<str>]> = urls.into();
        let (closing, closed) = watch::channel(());
        for index in 0..urls.len() {
            tokio::spawn(check(index, Arc::clone(&urls[index]), Arc::clone(&ready), closed.clone()));
        }
        Self { urls, ready, _closing: closing }
    }

    /// The chosen instance's base URL, or that of the next ready one.
    pub fn pick(&self, chosen: usize) -> Arc<str> {
        let ready = self.ready.lock().expect("nothing panics under this lock");
        let count = self.urls.len();
        let ring = (0..count).map(|step| (chosen + step) % count);
        let index = ring.into_iter().find(|index| ready[*index]).unwrap_or(chosen % count);
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
        let answer = client.get(format!("{url}/health/ready")).timeout(CHECK_TIMEOUT).send().await;
        let is_ready = answer.is_ok_and(|answer| answer.status().is_success());
        ready.lock().expect("nothing panics under this lock")[index] = is_ready;
    }
}
