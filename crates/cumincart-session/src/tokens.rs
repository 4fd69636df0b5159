//! Tokens of organisations' rates: from this instance's own share, or where a plan is too small for a share at every
//! instance, from the one in this failure domain that holds the domain's share.

use {
    crate::engine::Engine,
    cumincart_core::{
        entry::{Ticket, quota, quota::QuotaDecision},
        interactive::homes,
    },
    cumincart_protocol::{
        heartbeat::InstanceEntry,
        name::OrganisationName,
        peer::PeerBody,
        time::Instant,
        token::{TokenAnswer, TokenRequest},
    },
    std::time::Duration,
    tokio::time::timeout_at,
};

/// The longest wait for a token at another instance. One that is alive and has none by then refuses; one that says
/// nothing is passed over.
const HOME_WAIT: Duration = Duration::from_millis(300);

/// How much longer an answer is waited for: the way there and back within a failure domain, and a busy processor.
const WAY: Duration = Duration::from_millis(60);

impl Engine {
    /// Takes a token of the organisation's rate, or tells that none comes in time.
    pub(crate) async fn take_token(
        &self,
        organisation: &OrganisationName,
        start_by: Instant,
        priority: u32,
    ) -> bool {
        for home in self.token_homes(organisation) {
            let within = start_by.saturating_since(self.now()).min(HOME_WAIT);
            let request = TokenRequest {
                organisation: organisation.clone(),
                priority,
                within_ms: u64::try_from(within.as_millis()).unwrap_or(u64::MAX),
            };
            let link = self.link(&home.peer_address);
            match link.request(PeerBody::Token(request), within + WAY).await {
                Ok(PeerBody::TokenAnswer(TokenAnswer::Granted)) => return true,
                Ok(PeerBody::TokenAnswer(TokenAnswer::Refused)) => return false,
                // It is stopping or silent: the next one may serve.
                Ok(_) | Err(_) => self.avoid(&home.name),
            }
        }
        self.take_own_token(organisation, start_by, priority).await
    }

    /// The other instances that hold this failure domain's share of a small plan, best first; none where this one's own
    /// share serves.
    fn token_homes(&self, organisation: &OrganisationName) -> Vec<InstanceEntry> {
        let now = self.now();
        let state = self.lock();
        let freshness = &state.fleet.freshness;
        let instances = &freshness.instances;
        let plan = freshness.index.organisation(organisation).map(|entry| entry.limit);
        if plan.is_none_or(|plan| plan.is_divisible_among(instances.len() as u64)) {
            return Vec::new();
        }
        let homes = homes::token_homes(instances, &state.fleet.settings.domain, organisation);
        state.ways(now, homes, |home| self.link(&home.peer_address).is_up())
    }

    /// Takes a token of this instance's own share, or tells that none comes in time.
    async fn take_own_token(
        &self,
        organisation: &OrganisationName,
        start_by: Instant,
        priority: u32,
    ) -> bool {
        let (ticket, answered) = {
            let mut state = self.lock();
            let now = self.now();
            let (ticket, answered) = state.ticket();
            let quota = &mut state.fleet.quota;
            match quota::take_with_priority(quota, now, organisation, Ticket(ticket), start_by, priority) {
                QuotaDecision::Waiting => (ticket, answered),
                decision => {
                    state.drop_ticket(ticket);
                    return decision == QuotaDecision::Admitted;
                }
            }
        };
        match timeout_at(self.deadline(start_by), answered).await {
            Ok(Ok(granted)) => granted,
            _ => {
                let mut state = self.lock();
                state.drop_ticket(ticket);
                quota::cancel(&mut state.fleet.quota, Ticket(ticket));
                false
            }
        }
    }

    /// Takes a token for another instance.
    pub(crate) async fn give_token(&self, request: &TokenRequest) -> TokenAnswer {
        let now = self.now();
        if self.refuses_relays() || !self.lock().fleet.freshness.is_fresh(now) {
            return TokenAnswer::NotServed;
        }
        let start_by = now + Duration::from_millis(request.within_ms).min(HOME_WAIT);
        if self.take_own_token(&request.organisation, start_by, request.priority).await {
            TokenAnswer::Granted
        } else {
            TokenAnswer::Refused
        }
    }
}
