//! Open-loop sending: requests are sent when they are due, whether or not earlier ones have completed.

use {
    crate::summary::{Outcome, Sample},
    std::{future::Future, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Sends one request at each due time and waits for all of them. `send` is called with the index of the request.
///
/// Returns the samples in the order of the due times.
pub async fn run<F, R>(due: &[Duration], send: F) -> Vec<Sample>
where
    F: Fn(usize) -> R,
    R: Future<Output = Outcome> + Send + 'static,
{
    let start = Instant::now();
    let mut requests = JoinSet::new();
    for (index, due) in due.iter().copied().enumerate() {
        sleep_until(start + due).await;
        let request = send(index);
        requests.spawn(async move {
            let outcome = request.await;
            let latency = (start + due).elapsed();
            (index, Sample { due, latency, outcome })
        });
    }
    let mut samples = requests.join_all().await;
    samples.sort_by_key(|(index, _)| *index);
    samples.into_iter().map(|(_, sample)| sample).collect()
}
