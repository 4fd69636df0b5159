//! Tokens of organisations' rates. They come from this instance's own share, or, if a plan's rate is too small to be
//! split over all instances, from the instance that owns the share of this failure domain. If that one has none, it
//! borrows one from the owners in other failure domains, so that the shares of all of them serve as one while the control
//! leader can't move them.

use {
    crate::{
        engine::Engine,
        metrics::{Lent, LoanLabels, TokenRefusal},
        state::State,
    },
    cumincart_core::{
        entry::{
            Ticket,
            quota::{self, QuotaDecision, RefusalCause},
        },
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

/// The time to wait for the answer to a loan: a round trip between regions, and scheduling delay on a busy processor.
const LOAN_WAIT: Duration = Duration::from_millis(80);

impl TokenRefusal {
    /// Returns the text of a refusal for this cause.
    pub(crate) fn text(self, organisation: &OrganisationName) -> String {
        match self {
            Self::OverLimit => format!("{organisation} asks for more than the rate of its plan"),
            Self::NoToken => format!("no token of the rate of {organisation} came in time"),
            Self::HolderUnreachable => {
                format!("the instances that hold the rate of {organisation} don't answer or have no lease")
            }
            Self::NoLease => format!("this instance has no lease on the rate of {organisation}"),
        }
    }
}

impl Engine {
    /// Takes a token of the organisation's rate.
    ///
    /// # Errors
    ///
    /// Why none is available in time.
    pub(crate) async fn take_token(
        &self,
        organisation: &OrganisationName,
        start_by: Instant,
        priority: u32,
    ) -> Result<(), TokenRefusal> {
        let mut is_holder_silent = false;
        for owner in self.remote_token_owners(organisation) {
            let within = start_by.saturating_since(self.now()).min(TOKEN_WAIT_MAX);
            let request = TokenRequest {
                organisation: organisation.clone(),
                priority,
                within_ms: u64::try_from(within.as_millis()).unwrap_or(u64::MAX),
                loan: false,
                explains: true,
            };
            let link = self.link(&owner.peer_address);
            match link.request(PeerBody::Token(request), within + NETWORK_ALLOWANCE).await {
                Ok(PeerBody::TokenAnswer(TokenAnswer::Granted)) => return Ok(()),
                Ok(PeerBody::TokenAnswer(TokenAnswer::Refused)) => return Err(TokenRefusal::NoToken),
                Ok(PeerBody::TokenAnswer(TokenAnswer::OverLimit)) => return Err(TokenRefusal::OverLimit),
                // The instance is stopping or doesn't answer: try the next one.
                Ok(_) | Err(_) => {
                    is_holder_silent = true;
                    self.eject(&owner.name);
                }
            }
        }
        self.take_own_token(organisation, start_by, priority).await.map_err(|cause| match cause {
            TokenRefusal::NoToken if is_holder_silent => TokenRefusal::HolderUnreachable,
            cause => cause,
        })
    }

    /// Returns the other instances to ask for a token before this instance's own share is used, in order of preference.
    /// The list is empty if the organisation's plan is large enough to be split over all instances.
    fn remote_token_owners(&self, organisation: &OrganisationName) -> Vec<InstanceEntry> {
        let now = self.now();
        let state = self.lock();
        if !is_small_plan(&state, organisation) {
            return Vec::new();
        }
        let instances = &state.core.freshness.instances;
        let owners = ownership::token_owners(instances, &state.core.settings.domain, organisation);
        state.preferred_owners(now, owners, |owner| self.link(&owner.peer_address).is_usable())
    }

    /// Takes a token of this instance's own share, or borrows one for a small plan.
    ///
    /// # Errors
    ///
    /// Why none is available in time.
    async fn take_own_token(
        &self,
        organisation: &OrganisationName,
        start_by: Instant,
        priority: u32,
    ) -> Result<(), TokenRefusal> {
        let (decision, ticket, receiver) = {
            let mut state = self.lock();
            let now = self.now();
            let (ticket, receiver) = state.ticket();
            let quota = &mut state.core.quota;
            let decision =
                quota::acquire_with_priority(quota, now, organisation, Ticket(ticket), start_by, priority);
            if decision != QuotaDecision::Waiting {
                state.drop_ticket(ticket);
            }
            (decision, ticket, receiver)
        };
        if decision == QuotaDecision::Admitted {
            return Ok(());
        }
        if decision == QuotaDecision::Waiting {
            let wait = timeout_at(self.deadline(start_by), receiver);
            tokio::pin!(wait);
            let borrowed = tokio::select! {
                biased;
                answer = &mut wait => return self.finish_wait(organisation, ticket, matches!(answer, Ok(Ok(true)))),
                borrowed = self.borrow_token(organisation, start_by, priority) => borrowed,
            };
            let granted = borrowed || matches!(wait.await, Ok(Ok(true)));
            return self.finish_wait(organisation, ticket, granted);
        }
        if self.borrow_token(organisation, start_by, priority).await {
            return Ok(());
        }
        Err(self.token_refusal(organisation))
    }

    /// Removes a request from the queue for a token, in case it still waits there.
    fn finish_wait(
        &self,
        organisation: &OrganisationName,
        ticket: u64,
        granted: bool,
    ) -> Result<(), TokenRefusal> {
        let mut state = self.lock();
        state.drop_ticket(ticket);
        quota::cancel(&mut state.core.quota, Ticket(ticket));
        drop(state);
        if granted { Ok(()) } else { Err(self.token_refusal(organisation)) }
    }

    fn token_refusal(&self, organisation: &OrganisationName) -> TokenRefusal {
        let now = self.now();
        match quota::refusal_cause(&self.lock().core.quota, now, organisation) {
            RefusalCause::NoLease => TokenRefusal::NoLease,
            RefusalCause::OverLimit => TokenRefusal::OverLimit,
            RefusalCause::NoToken => TokenRefusal::NoToken,
        }
    }

    /// Borrows a token of a small plan from the owners in other failure domains, one after the other. Returns `false` if
    /// none has a token to spare.
    async fn borrow_token(&self, organisation: &OrganisationName, start_by: Instant, priority: u32) -> bool {
        for lender in self.token_lenders(organisation) {
            let now = self.now();
            let left = start_by.saturating_since(now);
            if left.is_zero() || !quota::may_borrow(&self.lock().core.quota, now, organisation) {
                return false;
            }
            let request = TokenRequest {
                organisation: organisation.clone(),
                priority,
                within_ms: 0,
                loan: true,
                explains: true,
            };
            let link = self.link(&lender.peer_address);
            let answer = link.request(PeerBody::Token(request), left.min(LOAN_WAIT)).await;
            let granted = matches!(answer, Ok(PeerBody::TokenAnswer(TokenAnswer::Granted)));
            let lent = if granted { Lent::Yes } else { Lent::No };
            self.metrics().token_loans.get_or_create(&LoanLabels { lent }).inc();
            if granted {
                return true;
            }
        }
        let now = self.now();
        quota::on_no_loan(&mut self.lock().core.quota, now, organisation);
        false
    }

    fn token_lenders(&self, organisation: &OrganisationName) -> Vec<InstanceEntry> {
        let now = self.now();
        let state = self.lock();
        if !is_small_plan(&state, organisation) || !quota::may_borrow(&state.core.quota, now, organisation) {
            return Vec::new();
        }
        let instances = &state.core.freshness.instances;
        let lenders = ownership::token_lenders(instances, &state.core.settings.domain, organisation);
        let is_usable = |lender: &&InstanceEntry| self.link(&lender.peer_address).is_usable();
        lenders.into_iter().filter(is_usable).cloned().collect()
    }

    /// Grants or refuses a token of this instance's own share to another instance.
    pub(crate) async fn grant_token(&self, request: &TokenRequest) -> TokenAnswer {
        let now = self.now();
        if self.is_stopping() || !self.lock().core.freshness.is_fresh(now) {
            return TokenAnswer::NotServed;
        }
        if request.loan {
            let lent = quota::lend(&mut self.lock().core.quota, now, &request.organisation);
            return if lent { TokenAnswer::Granted } else { TokenAnswer::Refused };
        }
        let start_by = now + Duration::from_millis(request.within_ms).min(TOKEN_WAIT_MAX);
        match self.take_own_token(&request.organisation, start_by, request.priority).await {
            Ok(()) => TokenAnswer::Granted,
            Err(TokenRefusal::OverLimit) if request.explains => TokenAnswer::OverLimit,
            Err(_) => TokenAnswer::Refused,
        }
    }
}

/// Whether the organisation's plan is too small to be split over all instances.
fn is_small_plan(state: &State, organisation: &OrganisationName) -> bool {
    let freshness = &state.core.freshness;
    let plan = freshness.index.organisation(organisation).map(|entry| entry.limit);
    plan.is_some_and(|plan| ownership::has_token_owners(&freshness.instances, plan))
}
