//! Sampling of the primaries' log points, which reads with bounded staleness require.

use {
    crate::{engine::Engine, slot_request::SlotRequest},
    cumincart_core::interactive::{
        command::Command,
        positions::LogPoint,
        routing::{self, Target},
        session::SessionState,
    },
    cumincart_protocol::{
        lists::Database,
        name::{OrganisationName, ServiceName},
        time::Instant,
    },
    std::time::Duration,
};

/// The age at which the latest log point of a primary is refreshed while reads require one, in milliseconds: well below
/// the usual staleness bounds.
const POINT_REFRESH_AGE_MS: u64 = 500;

/// How long log points are refreshed after the last read that required one, in milliseconds.
const POINT_REFRESH_DEMAND_MS: u64 = 3_000;

/// The timeout of a refresh.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(600);

impl Engine {
    /// Requests a log point from each primary whose point reads with bounded staleness have recently required, unless
    /// the latest sample is recent enough or a refresh is already running.
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
        if let Some(organisation) = self.any_organisation(&database.service) {
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
                // `exchange` records the log point or the endpoint's reachability.
                let _ = slot.exchange(vec![Command::Status], deadline).await;
            }
        }
        self.lock().positions(&database.service).is_refreshing = false;
    }

    /// Returns the first organisation for which a connection to the service's endpoints can be opened. A connection can
    /// only be opened on behalf of an organisation.
    fn any_organisation(&self, service: &ServiceName) -> Option<OrganisationName> {
        let catalogue = self.lock().catalogue();
        let entry = catalogue.group(service)?.endpoints.iter().next()?;
        let mut names =
            catalogue.lists.organisations.organisations.iter().map(|organisation| &organisation.name);
        names.find(|name| self.check_destination(service, entry, name).is_ok()).cloned()
    }

    /// Returns the log point that a read arriving at this instant requires, or `None` if only the primary may serve it.
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
