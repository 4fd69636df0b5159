//! What a failure to open a connection tells of the endpoint.

use {
    cumincart_core::interactive::command::EndpointErrorKind, cumincart_session::driver::OpenFailure,
    test_case::test_case,
};

#[test_case(OpenFailure::Unreachable, false; "nobody answers")]
#[test_case(OpenFailure::Refused(EndpointErrorKind::Misrouted), false; "another endpoint has the address")]
#[test_case(OpenFailure::Refused(EndpointErrorKind::TooManyConnections), true; "it is full")]
#[test_case(OpenFailure::Refused(EndpointErrorKind::Busy), true; "it is busy")]
fn a_refusal_is_contact_only_from_the_endpoint_itself(failure: OpenFailure, is_endpoint_reached: bool) {
    assert_eq!(failure.is_endpoint_reached(), is_endpoint_reached);
}
