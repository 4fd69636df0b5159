//! Tokens of organisations' rates. They come from this instance's own share, or, if a plan's rate is too small to be
//! split over all instances, from the instance that owns the share of this failure domain.

use {
    crate::engine::Engine,
    cumincart_core::{
        entry::{Ticket, quota, quota::QuotaDecision},
        interactive::ownership,
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

/// The maximum wait for a token at another instance. An instance that has no token by then refuses; one that doesn't
/// answer is ejected and the next owner is asked.
const TOKEN_WAIT_MAX: Duration = Duration::from_millis(300);

/// The extra time to wait for an answer: a round trip within a failure domain, and scheduling delay on a busy
/// processor.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(60);

impl Engine {
    /// Takes a token of the organisation's rate. Returns `false` if none is available in time.
    pub(crate) async fn take_token(
        &self,
        organisation: &OrganisationName,
        start_by: Instant,
        priority: u32,
    ) -> bool {
        for owner in self.remote_token_owners(organisation) {
            let within = start_by.saturating_since(self.now()).min(TOKEN_WAIT_MAX);
            let request = TokenRequest {
                organisation: organisation.clone(),
                priority,
                within_ms: u64::try_from(within.as_millis()).unwrap_or(u64::MAX),
            };
            let link = self.link(&owner.peer_address);
            match link.request(PeerBody::Token(request), within + NETWORK_ALLOWANCE).await {
                Ok(PeerBody::TokenAnswer(TokenAnswer::Granted)) => return true,
                Ok(PeerBody::TokenAnswer(TokenAnswer::Refused)) => return false,
                // The instance is stopping or doesn't answer: try the next one.
                Ok(_) | Err(_) => self.eject(&owner.name),
            }
        }
        self.take_own_token(organisation, start_by, priority).await
    }

    /// Returns the other instances to ask for a token before this instance's own share is used, in order of preference.
    /// The list is empty if the organisation's plan is large enough to be split over all instances.
    fn remote_token_owners(&self, organisation: &OrganisationName) -> Vec<InstanceEntry> {
        let now = self.now();
        let state = self.lock();
        let freshness = &state.core.freshness;
        let instances = &freshness.instances;
        let plan = freshness.index.organisation(organisation).map(|entry| entry.limit);
        if plan.is_none_or(|plan| plan.is_divisible_among(instances.len() as u64)) {
            return Vec::new();
        }
        let owners = ownership::token_owners(instances, &state.core.settings.domain, organisation);
        state.preferred_owners(now, owners, |owner| self.link(&owner.peer_address).is_usable())
    }

    /// Takes a token of this instance's own share. Returns `false` if none is available in time.
    async fn take_own_token(
        &self,
        organisation: &OrganisationName,
        start_by: Instant,
        priority: u32,
    ) -> bool {
        let (ticket, receiver) = {
            let mut state = self.lock();
            let now = self.now();
            let (ticket, receiver) = state.ticket();
            let quota = &mut state.core.quota;
            match quota::acquire_with_priority(quota, now, organisation, Ticket(ticket), start_by, priority) {
                QuotaDecision::Waiting => (ticket, receiver),
                decision => {
                    state.drop_ticket(ticket);
                    return decision == QuotaDecision::Admitted;
                }
            }
        };
        match timeout_at(self.deadline(start_by), receiver).await {
            Ok(Ok(granted)) => granted,
            _ => {
                let mut state = self.lock();
                state.drop_ticket(ticket);
                quota::cancel(&mut state.core.quota, Ticket(ticket));
                false
            }
        }
    }

    /// Grants or refuses a token of this instance's own share to another instance.
    pub(crate) async fn grant_token(&self, request: &TokenRequest) -> TokenAnswer {
        let now = self.now();
        if self.refuses_relays() || !self.lock().core.freshness.is_fresh(now) {
            return TokenAnswer::NotServed;
        }
        let start_by = now + Duration::from_millis(request.within_ms).min(TOKEN_WAIT_MAX);
        if self.take_own_token(&request.organisation, start_by, request.priority).await {
            TokenAnswer::Granted
        } else {
            TokenAnswer::Refused
        }
    }
}
