//! Whether a failure to open a connection shows that the endpoint is reachable.

use {
    cumincart_core::interactive::command::EndpointErrorKind, cumincart_session::driver::OpenFailure,
    test_case::test_case,
};

#[test_case(OpenFailure::Unreachable, false; "no answer")]
#[test_case(OpenFailure::Refused(EndpointErrorKind::Misrouted), false; "another endpoint at the address")]
#[test_case(OpenFailure::Refused(EndpointErrorKind::TooManyConnections), true; "no free connection")]
#[test_case(OpenFailure::Refused(EndpointErrorKind::Busy), true; "busy")]
fn only_a_refusal_by_the_endpoint_itself_shows_that_it_is_reachable(
    failure: OpenFailure,
    is_endpoint_reached: bool,
) {
    assert_eq!(failure.is_endpoint_reached(), is_endpoint_reached);
}
