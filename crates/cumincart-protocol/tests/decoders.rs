//! Decoders of input from outside the system: session tokens from callers and announcements from endpoints. Any input
//! must give a value or an error without a panic, and an encoded value must decode to itself.

use {
    cumincart_protocol::{
        announcement::Announcement,
        number::{LogPosition, Term},
        peer::{PEER_MAX_BYTES, PeerBody},
        refusal::{Refusal, RefusalCode},
        request::{CallerAnswer, Rows, Value},
        session::{SESSION_MAX_BYTES, SESSION_VERSION, SeenPoints, Session, SessionError, TermPoint},
        verdict::Verdict,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    test_case::test_case,
};

const SEED: u64 = 20_261_204;

fn config() -> ProptestConfig {
    println!("proptest seed {SEED}");
    ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::with_cases(2_000) }
}

fn point() -> impl Strategy<Value = TermPoint> {
    (any::<u64>(), any::<u64>())
        .prop_map(|(term, position)| TermPoint { term: Term(term), position: LogPosition(position) })
}

fn session() -> impl Strategy<Value = Session> {
    let seen = ("[a-z][a-z0-9-]{0,20}", point(), point()).prop_map(|(service, write, read)| SeenPoints {
        service: service.into(),
        write,
        read,
    });
    proptest::collection::vec(seen, 0..8).prop_map(|seen| Session { seen: seen.into_iter().collect() })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_session_decodes_to_itself(session in session()) {
        prop_assert_eq!(Session::decode(&session.encode()), Ok(session));
    }

    #[test]
    fn a_token_with_a_changed_character_never_decodes_to_another_session(
        session in session(),
        at in any::<prop::sample::Index>(),
        character in "[A-Za-z0-9_-]",
    ) {
        let mut damaged = session.encode();
        let index = at.index(damaged.len());
        damaged.replace_range(index..=index, &character);
        if let Ok(decoded) = Session::decode(&damaged) {
            prop_assert_eq!(decoded, session);
        }
    }

    #[test]
    fn no_text_makes_the_token_decoder_panic(text in any::<String>()) {
        let _ = Session::decode(&text);
    }

    #[test]
    fn no_token_characters_make_the_decoder_panic(text in "[A-Za-z0-9_-]{0,400}") {
        let _ = Session::decode(&text);
    }

    #[test]
    fn no_bytes_make_the_announcement_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = serde_json::from_slice::<Announcement>(&bytes);
    }
}

// Guards against a token that the system issues and then refuses, because it grows with each service that its session has
// used.
#[test]
fn a_token_of_a_session_that_has_used_many_services_is_accepted() {
    let point = TermPoint { term: Term(u64::MAX), position: LogPosition(u64::MAX) };
    let seen =
        |number: usize| SeenPoints { service: format!("{number:0>64}").into(), write: point, read: point };
    let session = Session { seen: (0..250).map(seen).collect() };
    assert_eq!(Session::decode(&session.encode()), Ok(session));
}

#[test_case(&"A".repeat(SESSION_MAX_BYTES + 1), SessionError::TooLong; "too long")]
#[test_case("", SessionError::Malformed; "empty")]
#[test_case("not base64!", SessionError::Malformed; "not base64")]
#[test_case("AgAAAAA", SessionError::Version(SESSION_VERSION + 1); "another version")]
#[test_case("AQ", SessionError::Malformed; "too short for a checksum")]
#[test_case("AQAAAAH_", SessionError::Checksum; "a wrong checksum")]
fn a_bad_token_is_rejected_with_its_reason(token: &str, error: SessionError) {
    assert_eq!(Session::decode(token), Err(error));
}

#[test]
fn an_announcement_with_an_unknown_field_is_rejected() {
    let text = r#"{"endpoint": "pbx-1", "service": "pbx", "address": "127.0.0.1:5432", "domain": "sofia-a",
        "role": "primary", "timeline": 1, "position": 1, "slots": 5, "connection_limit": 30, "rank": 1}"#;
    let error = serde_json::from_str::<Announcement>(text).expect_err("`rank` is not a field");
    assert!(error.to_string().contains("unknown field `rank`"), "{error}");
}

// Guards against an answer that is longer than what instances accept from each other: the link was closed, and all
// requests in progress on it ended with an unknown outcome.
#[test]
fn a_forwarded_answer_beyond_the_limit_becomes_a_refusal_that_says_what_ran() {
    let answer = |bytes: usize| CallerAnswer {
        rows: Rows { rows: vec![vec![Value::Text("x".repeat(bytes).into())]], ..Rows::default() },
        session: Session::default(),
        transaction: None,
        from_replica: false,
    };
    let small = Ok(answer(1_000));
    assert_eq!(PeerBody::forward_answer(small.clone()), PeerBody::ForwardAnswer(Box::new(small)));
    let PeerBody::ForwardAnswer(result) = PeerBody::forward_answer(Ok(answer(PEER_MAX_BYTES))) else {
        panic!("it is not the answer to a forwarded request");
    };
    let refusal = result.expect_err("the answer is too long");
    assert_eq!((refusal.verdict, refusal.code), (Verdict::Ran, RefusalCode::Internal));
}

// Guards against error messages of any length, which endpoints fill with the values of a statement.
#[test]
fn a_forwarded_refusal_beyond_the_limit_keeps_its_verdict_and_code() {
    let refusal = Refusal::unknown(RefusalCode::ConnectionLost, "m".repeat(PEER_MAX_BYTES));
    let PeerBody::ForwardAnswer(result) = PeerBody::forward_answer(Err(refusal)) else {
        panic!("it is not the answer to a forwarded request");
    };
    let refusal = result.expect_err("it is a refusal");
    assert_eq!((refusal.verdict, refusal.code), (Verdict::Unknown, RefusalCode::ConnectionLost));
    assert!(refusal.message.len() < 1_000);
}

// Guards against announcements that make the replicated state longer than what instances accept from each other.
#[test_case("endpoint"; "the endpoint")]
#[test_case("service"; "the service")]
#[test_case("domain"; "the failure domain")]
#[test_case("address"; "the address")]
fn an_announcement_with_a_text_of_any_length_is_refused(field: &str) {
    let announcement = |text: String| {
        let mut value = serde_json::json!({
            "endpoint": "pbx-1", "service": "pbx", "address": "127.0.0.1:5432", "domain": "sofia-a",
            "role": "primary", "timeline": 1, "position": 1, "slots": 5, "connection_limit": 30
        });
        value[field] = text.into();
        serde_json::from_value::<Announcement>(value).expect("it is an announcement")
    };
    assert_eq!(announcement("ж".repeat(512)).check(), Ok(()));
    for bytes in [0, 1 << 20] {
        let error = announcement("x".repeat(bytes)).check().expect_err("the length is not allowed");
        assert_eq!((error.field, error.bytes), (field, bytes));
    }
}
