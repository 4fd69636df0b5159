//! The primaries' points: kept fresh where reads need one.

use {
    crate::{engine::Engine, slot_request::SlotRequest},
    cumincart_core::interactive::{
        command::Command,
        positions::LogPoint,
        routing::{self, Target},
        session::SessionState,
    },
    cumincart_protocol::{lists::Database, name::OrganisationName, time::Instant},
    std::time::Duration,
};

/// The age at which the newest point of a primary is refreshed while reads need one, in milliseconds: well under the
/// ages that reads usually accept.
const POINT_REFRESH_AGE_MS: u64 = 500;

/// How long after a read needed a point it is kept fresh, in milliseconds.
const POINT_REFRESH_DEMAND_MS: u64 = 3_000;

/// How long a refresh may take.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(600);

impl Engine {
    /// Asks primaries for their points where reads need one and none has come with other answers.
    pub(crate) fn refresh_points(&self) {
        let now = self.now();
        let catalogue = self.lock().catalogue();
        for database in &catalogue.lists.interactive.databases {
            if routing::staleness_bound(database.consistency).is_none() {
                continue;
            }
            let mut state = self.lock();
            let known = state.positions(&database.service);
            let is_needed =
                now.saturating_since(known.required_at) < Duration::from_millis(POINT_REFRESH_DEMAND_MS);
            let is_old = known
                .positions
                .last_sent_at()
                .is_none_or(|at| now.saturating_since(at) >= Duration::from_millis(POINT_REFRESH_AGE_MS));
            if !is_needed || !is_old || known.is_refreshing {
                continue;
            }
            known.is_refreshing = true;
            drop(state);
            tokio::spawn(self.clone().refresh_point(database.clone()));
        }
    }

    async fn refresh_point(self, database: Database) {
        let now = self.now();
        if let Some(organisation) = self.any_organisation() {
            let request = SlotRequest {
                database: &database,
                organisation: &organisation,
                target: Target::Primary,
                tried: &[],
                arrived_at: now,
                start_by: now + REFRESH_TIMEOUT,
            };
            let deadline = tokio::time::Instant::now() + REFRESH_TIMEOUT;
            if let Ok(mut slot) = self.acquire_slot(&request).await
                && slot.connect(&organisation, &SessionState::default(), deadline).await.is_ok()
            {
                // Its point is learned with the reply; a failure is noted with the endpoint's contact.
                let _ = slot.exchange(vec![Command::Status], deadline).await;
            }
        }
        self.lock().positions(&database.service).is_refreshing = false;
    }

    fn any_organisation(&self) -> Option<OrganisationName> {
        let catalogue = self.lock().catalogue();
        catalogue.lists.organisations.organisations.first().map(|organisation| organisation.name.clone())
    }

    /// The point that a read of this moment needs, where replicas may serve it.
    pub(crate) fn required_point(
        &self,
        database: &Database,
        arrived_at: Instant,
        committed: Option<LogPoint>,
    ) -> Option<LogPoint> {
        let age = routing::staleness_bound(database.consistency)?;
        let mut state = self.lock();
        let catalogue = state.catalogue();
        let group = catalogue.group(&database.service)?;
        let known = state.positions(&database.service);
        known.required_at = arrived_at;
        let point = known.positions.covering(arrived_at - age)?;
        let committed = committed.map(|committed| committed.without_lost(&group.term_starts));
        Some(committed.map_or(point, |committed| committed.max(point)))
    }
}
