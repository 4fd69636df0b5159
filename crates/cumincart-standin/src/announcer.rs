//! Sends a database's announcements to one control instance.

use {
    crate::database::Database,
    cumincart_protocol::announcement::Announcement,
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Time between two announcements.
const INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of one announcement.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the database to one control instance until the group is dropped or the list of control instances changes.
///
/// Sends nothing while the database is frozen, crashed or set not to announce.
pub async fn announce(
    database: Database,
    control: Arc<str>,
    mut closed: watch::Receiver<()>,
    mut targets: watch::Receiver<Vec<Arc<str>>>,
) {
    let client = reqwest::Client::new();
    let url = format!("{}/announce", control.trim_end_matches('/'));
    let mut interval = tokio::time::interval(INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = closed.changed() => return,
            _ = targets.changed() => return,
            _ = interval.tick() => {}
        }
        let faults = *database.faults().borrow();
        if faults.frozen || faults.crashed || faults.announcements_stopped {
            continue;
        }
        if post(&client, &url, &database.announcement()).await {
            database.count_announcement();
        }
    }
}

async fn post(client: &reqwest::Client, url: &str, announcement: &Announcement) -> bool {
    client.post(url).timeout(TIMEOUT).json(announcement).send().await.is_ok()
}
