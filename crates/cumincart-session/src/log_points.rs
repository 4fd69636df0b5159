//! Sampling of the primaries' log points, which reads with bounded staleness require. In each failure domain one instance,
//! and a second one if it is lost, samples a primary for all.

use {
    crate::{
        engine::Engine,
        metrics::{PointLabels, PointSource},
        slot_request::SlotRequest,
    },
    cumincart_core::interactive::{
        command::Command,
        ownership,
        positions::LogPoint,
        routing::{self, Target},
        session::SessionState,
    },
    cumincart_protocol::{
        heartbeat::InstanceEntry,
        lists::Database,
        name::{EndpointName, OrganisationName, ServiceName},
        peer::PeerBody,
        relay::{RelayAnswer, RelayRequest, SampledPoint},
        sorted::SortedVec,
        time::Instant,
    },
    std::time::Duration,
};

/// The age at which the latest log point of a primary is refreshed while reads require one, in milliseconds: well below
/// the usual staleness bounds.
const POINT_REFRESH_AGE_MS: u64 = 500;

/// The minimum interval between two refreshes of a service, in milliseconds. A primary that is too busy to answer is not
/// asked at each tick.
const POINT_REFRESH_INTERVAL_MS: u64 = 250;

/// How long log points are refreshed after the last read that required one, in milliseconds.
const POINT_REFRESH_DEMAND_MS: u64 = 3_000;

/// The timeout of a refresh.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(600);

/// The timeout of a request to another instance of the failure domain: a round trip, and scheduling delay on a busy
/// processor.
const SAMPLER_TIMEOUT: Duration = Duration::from_millis(100);

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
            if !is_needed || !is_old || known.is_refreshing || now < known.next_refresh_at {
                continue;
            }
            known.is_refreshing = true;
            known.next_refresh_at = now + Duration::from_millis(POINT_REFRESH_INTERVAL_MS);
            drop(state);
            tokio::spawn(self.clone().refresh_point(database.clone()));
        }
    }

    async fn refresh_point(self, database: Database) {
        let source = if self.ask_samplers(&database.service).await {
            PointSource::Instance
        } else if self.sample_primary(&database).await {
            PointSource::Endpoint
        } else {
            PointSource::None
        };
        self.metrics().points.get_or_create(&PointLabels { source }).inc();
        self.lock().positions(&database.service).is_refreshing = false;
    }

    /// Samples the log point of a service's primary. Returns whether it answered.
    async fn sample_primary(&self, database: &Database) -> bool {
        let now = self.now();
        let Some(organisation) = self.any_organisation(&database.service) else { return false };
        let request = SlotRequest {
            database,
            organisation: &organisation,
            target: Target::Primary,
            tried: &[],
            arrived_at: now,
            start_by: now + REFRESH_TIMEOUT,
        };
        let deadline = tokio::time::Instant::now() + REFRESH_TIMEOUT;
        let Ok(mut slot) = self.acquire_slot(&request).await else { return false };
        // `exchange` records the log point or the endpoint's reachability.
        slot.connect(&organisation, &SessionState::default(), deadline).await.is_ok()
            && slot.exchange(vec![Command::Status], deadline).await.is_ok()
    }

    /// Asks the instances that sample the service's primary for this failure domain, in order of preference. Returns
    /// whether one of them had a recent log point.
    async fn ask_samplers(&self, service: &ServiceName) -> bool {
        let (Some(primary), Some(organisation)) = (self.primary_of(service), self.any_organisation(service))
        else {
            return false;
        };
        let timeout_ms = u64::try_from(SAMPLER_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
        let request = RelayRequest {
            service: service.clone(),
            endpoint: primary,
            organisation,
            kept: 0,
            values: SortedVec::new(),
            prepared: None,
            commands: vec![Command::Status],
            priority: 0,
            start_within_ms: timeout_ms,
            answer_within_ms: timeout_ms,
            accepts_point: true,
        };
        for sampler in self.samplers(service) {
            let asked_at = self.now();
            let link = self.link(&sampler.peer_address);
            // A sampler without a recent point, one that is slow and one of a build that shares no points are passed over.
            // None of them is ejected: it may still serve relays and tokens, which wait longer.
            if let Ok(PeerBody::RelayAnswer(answer)) =
                link.request(PeerBody::Relay(Box::new(request.clone())), SAMPLER_TIMEOUT).await
                && let RelayAnswer::Point(sampled) = *answer
                && self.record_sampled(service, asked_at, &sampled)
            {
                return true;
            }
        }
        false
    }

    /// Returns the instances to ask for a log point before the primary is asked, in order of preference. The list is
    /// empty if this instance samples the primary itself.
    fn samplers(&self, service: &ServiceName) -> Vec<InstanceEntry> {
        let now = self.now();
        let state = self.lock();
        let domain = &state.core.settings.domain;
        let samplers = ownership::samplers(&state.core.freshness.instances, domain, service);
        state.preferred_owners(now, samplers, |sampler| self.link(&sampler.peer_address).is_usable())
    }

    fn primary_of(&self, service: &ServiceName) -> Option<EndpointName> {
        let catalogue = self.lock().catalogue();
        catalogue.group(service)?.primary.clone()
    }

    /// Records another instance's log point. Returns whether it is of the term that this instance knows, and newer than
    /// what it has, or whether the latest one is recent enough to be shared, so that the sampler is about to get a newer.
    fn record_sampled(&self, service: &ServiceName, asked_at: Instant, sampled: &SampledPoint) -> bool {
        let mut state = self.lock();
        let known = state.positions(service);
        if known.term != sampled.term {
            return false;
        }
        known.positions.record_shared(asked_at, sampled.age_ms, sampled.point)
            || known.positions.shared(asked_at).is_some()
    }

    /// Returns the latest log point of a service's primary for another instance, if it is recent, and keeps it refreshed.
    pub(crate) fn sampled_point(
        &self,
        service: &ServiceName,
        primary: &EndpointName,
    ) -> Option<SampledPoint> {
        let now = self.now();
        let mut state = self.lock();
        let catalogue = state.catalogue();
        let group = catalogue.group(service).filter(|group| group.primary.as_ref() == Some(primary))?;
        let known = state.positions(service);
        known.required_at = now;
        let (point, age_ms) = known.positions.shared(now)?;
        (known.term == group.term).then_some(SampledPoint { term: known.term, point, age_ms })
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
