//! Which request may run: its key, its plan, its route and its statement.

use {
    super::Board,
    cumincart_protocol::{
        lists::Route,
        name::{OrganisationName, ServiceName},
        refusal::{Refusal, RefusalCode},
        request::{Call, CallerRequest, Statement},
        time::Instant,
    },
};

/// A call that its key and plan allow.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The organisation; none on an open route.
    pub organisation: Option<OrganisationName>,
    /// The organisation's weight.
    pub weight: u32,
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: Route,
    /// The statement, with its parameters bound.
    pub statement: Statement,
}

/// Checks a call against the lists. Takes nothing from the organisation's rate.
pub fn admit(
    _board: &Board,
    _now: Instant,
    _request: &CallerRequest,
    _call: &Call,
) -> Result<Admitted, Refusal> {
    Err(Refusal::not_run(RefusalCode::Internal, "not built yet"))
}
