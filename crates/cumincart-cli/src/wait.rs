//! Waits until a change is in force on all entry instances.

use {
    crate::{client::ControlClient, error::CliError},
    cumincart_protocol::{
        name::InstanceName,
        number::Revision,
        operator_api::{InstanceBody, StatusBody},
    },
    indicatif::{ProgressBar, ProgressStyle},
    serde::Serialize,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The initial interval between two polls of the status. It doubles after each poll.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum interval between two polls of the status.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// On which entry instances a revision is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct InForce {
    /// Instances that confirmed the revision.
    pub confirmed: Vec<InstanceName>,
    /// Instances that did not confirm the revision and whose lease has expired. They refuse every request that
    /// needs a key.
    pub lease_ran_out: Vec<InstanceName>,
    /// Instances that did not confirm the revision and still hold a lease.
    pub waiting: Vec<WaitingInstance>,
    /// The remaining time until all leases that an earlier leader granted to instances not listed here have expired.
    pub earlier_leases_left_ms: u64,
}

/// An instance that may still use an earlier revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WaitingInstance {
    /// The instance.
    pub instance: InstanceName,
    /// The last revision that it confirmed.
    pub revision: Revision,
    /// The remaining time of its lease.
    pub lease_left_ms: u64,
}

impl InForce {
    /// Classifies the instances of a status by whether `revision` is in force there.
    pub fn from_status(status: &StatusBody, revision: Revision) -> Self {
        let earlier_leases_left_ms = status.earlier_leases_left_ms;
        let mut in_force = Self { earlier_leases_left_ms, ..Self::default() };
        for instance in &status.instances {
            in_force.add(instance, revision);
        }
        in_force
    }

    fn add(&mut self, instance: &InstanceBody, revision: Revision) {
        let name = instance.instance.clone();
        if instance.revision >= revision {
            self.confirmed.push(name);
        } else if instance.lease_left_ms == 0 {
            self.lease_ran_out.push(name);
        } else {
            self.waiting.push(WaitingInstance {
                instance: name,
                revision: instance.revision,
                lease_left_ms: instance.lease_left_ms,
            });
        }
    }

    /// Returns whether no instance can use an earlier revision any more.
    pub fn is_everywhere(&self) -> bool {
        self.waiting.is_empty() && self.earlier_leases_left_ms == 0
    }

    /// Returns the state as human-readable text.
    pub fn text(&self) -> String {
        let summary = if self.is_everywhere() { "in force everywhere" } else { "not in force everywhere" };
        let mut lines = vec![format!("{summary}; instances that confirmed it: {}", self.confirmed.len())];
        for instance in &self.lease_ran_out {
            lines.push(format!(
                "{instance} has not confirmed it; its lease has expired, so it refuses requests that need a key"
            ));
        }
        for waiting in &self.waiting {
            lines.push(format!(
                "{} has not confirmed it: it is at revision {}, and its lease expires in {} ms",
                waiting.instance, waiting.revision, waiting.lease_left_ms
            ));
        }
        if self.earlier_leases_left_ms > 0 {
            lines.push(format!(
                "instances that are not listed may hold leases granted by an earlier leader for another {} ms",
                self.earlier_leases_left_ms
            ));
        }
        lines.join("\n")
    }
}

/// Polls the status until `revision` is in force everywhere or `timeout` expires, and returns the last state.
pub async fn wait_until_in_force(
    client: &ControlClient,
    revision: Revision,
    timeout: Duration,
) -> Result<InForce, CliError> {
    let deadline = Instant::now() + timeout;
    let bar = progress_bar(revision);
    let mut poll_interval = MIN_POLL_INTERVAL;
    loop {
        let status = client.status().await?;
        let in_force = InForce::from_status(&status, revision);
        bar.set_length(u64::try_from(status.instances.len()).unwrap_or(u64::MAX));
        bar.set_position(u64::try_from(in_force.confirmed.len()).unwrap_or(u64::MAX));
        if in_force.is_everywhere() || Instant::now() + poll_interval >= deadline {
            bar.finish_and_clear();
            return Ok(in_force);
        }
        sleep(poll_interval).await;
        poll_interval = MAX_POLL_INTERVAL.min(poll_interval * 2);
    }
}

/// Creates a progress bar on standard error, which is shown only on a terminal.
fn progress_bar(revision: Revision) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} instances")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    ProgressBar::new(0).with_style(style).with_message(format!("revision {revision}"))
}
