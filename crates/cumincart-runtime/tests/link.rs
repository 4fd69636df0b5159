//! Peer links over loopback: authentication, matching of answers, unreadable messages, lost links.

use {
    cumincart_protocol::{
        name::InstanceName,
        peer::{Envelope, PEER_MAX_BYTES, PEER_VERSION, PeerBody},
        refusal::{Refusal, RefusalCode},
    },
    cumincart_runtime::link::{
        LinkError,
        client::{CONNECT_TIMEOUTS, PeerLink},
        codec,
        handshake::{FleetSecret, challenge, check, hello, prove},
        server::{PeerServer, ReceivedMessage},
    },
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::{net::TcpListener, sync::mpsc},
};

const WAIT: Duration = Duration::from_secs(10);

fn secret(text: &str) -> FleetSecret {
    FleetSecret::new(text.as_bytes()).expect("the secret is long enough")
}

fn marked(number: usize) -> PeerBody {
    PeerBody::Refused(Refusal::not_run(RefusalCode::BadRequest, format!("message {number}")))
}

struct Bound {
    address: Arc<str>,
    received: mpsc::UnboundedReceiver<ReceivedMessage>,
    _server: PeerServer,
}

async fn bind(fleet_secret: &str) -> Bound {
    let (sender, received) = mpsc::unbounded_channel();
    let server = PeerServer::bind("127.0.0.1:0", "server".into(), secret(fleet_secret), sender)
        .await
        .expect("loopback can be bound");
    Bound { address: server.address.to_string().into(), received, _server: server }
}

/// Asks until the link is up; a link refuses messages while it connects.
async fn request_when_up(link: &PeerLink, body: PeerBody) -> Result<PeerBody, LinkError> {
    loop {
        match link.request(body.clone(), WAIT).await {
            Err(LinkError::Down) => tokio::task::yield_now().await,
            result => return result,
        }
    }
}

#[tokio::test]
async fn crossed_answers_reach_their_own_requests() {
    let mut bound = bind("a fleet secret of the test").await;
    let link = PeerLink::spawn(bound.address.clone(), "client".into(), secret("a fleet secret of the test"));
    let asked: Vec<_> = (0..20)
        .map(|number| {
            let link = link.clone();
            tokio::spawn(async move { request_when_up(&link, marked(number)).await })
        })
        .collect();
    let mut requests = Vec::new();
    while requests.len() < asked.len() {
        requests.push(bound.received.recv().await.expect("the server is open"));
    }
    for request in requests.into_iter().rev() {
        request.reply.send(request.body);
    }
    for (number, task) in asked.into_iter().enumerate() {
        let answer = task.await.expect("the task ends").expect("an answer comes");
        assert_eq!(answer, marked(number));
    }
}

#[tokio::test]
async fn a_second_answer_goes_to_whoever_listens_for_such() {
    let mut bound = bind("a fleet secret of the test").await;
    let (unasked, mut pushed) = mpsc::unbounded_channel();
    let secret = secret("a fleet secret of the test");
    let link = PeerLink::spawn_with(bound.address.clone(), "client".into(), secret, unasked);
    let asked = tokio::spawn(async move { (request_when_up(&link, marked(1)).await, link) });
    let request = bound.received.recv().await.expect("the server is open");
    request.reply.send(marked(2));
    let (answer, _link) = asked.await.expect("the task ends");
    assert_eq!(answer.expect("an answer comes"), marked(2));
    request.reply.send(marked(3));
    assert_eq!(pushed.recv().await, Some(marked(3)));
}

#[tokio::test]
async fn a_lost_link_tells_the_request_that_waited_and_opens_again() {
    let mut bound = bind("a fleet secret of the test").await;
    let address = bound.address.clone();
    let link = PeerLink::spawn(address.clone(), "client".into(), secret("a fleet secret of the test"));
    let waiting = {
        let link = link.clone();
        tokio::spawn(async move { request_when_up(&link, marked(1)).await })
    };
    let request = bound.received.recv().await.expect("the server is open");
    drop(bound);
    assert!(matches!(waiting.await.expect("the task ends"), Err(LinkError::Lost)));
    drop(request);

    let (sender, mut received) = mpsc::unbounded_channel();
    let _server = loop {
        let secret = secret("a fleet secret of the test");
        match PeerServer::bind(&address, "server".into(), secret, sender.clone()).await {
            Ok(server) => break server,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let again = tokio::spawn(async move { request_when_up(&link, marked(2)).await });
    let request = received.recv().await.expect("the server is open");
    request.reply.send(marked(3));
    assert_eq!(again.await.expect("the task ends").expect("an answer comes"), marked(3));
}

#[tokio::test]
async fn a_peer_with_another_secret_gets_no_message_through() {
    let mut bound = bind("a fleet secret of the test").await;
    let link =
        PeerLink::spawn(bound.address.clone(), "client".into(), secret("another secret, just as long"));
    for _ in 0..50 {
        assert!(link.request(marked(1), WAIT).await.is_err());
    }
    assert!(bound.received.try_recv().is_err());
}

#[test]
fn a_proof_holds_only_for_its_own_nonces_and_side() {
    let secret = secret("a fleet secret of the test");
    let first = hello(&InstanceName::from("client"));
    let second = hello(&InstanceName::from("client"));
    let answer = challenge(&secret, &first).expect("the versions agree");
    let proof = prove(&secret, &first, &answer).expect("the accepting side knows the secret");
    assert!(check(&secret, &first, &answer, &proof).is_ok());
    assert!(check(&secret, &second, &answer, &proof).is_err(), "a proof must not hold for another hello");
    assert!(prove(&secret, &second, &answer).is_err(), "a challenge must not hold for another hello");
    let other = challenge(&secret, &first).expect("the versions agree");
    assert!(check(&secret, &first, &other, &proof).is_err(), "a proof must not hold for another challenge");
}

#[test_case(b"", false; "empty")]
#[test_case(b"fifteen bytes!!", false; "too short")]
#[test_case(b"  fifteen bytes!!  ", false; "too short without white space")]
#[test_case(b"sixteen bytes!!!\n", true; "long enough with a line end")]
fn a_fleet_secret_has_a_least_length(bytes: &[u8], accepted: bool) {
    assert_eq!(FleetSecret::new(bytes).is_ok(), accepted);
}

fn envelope(version: u16) -> Envelope {
    Envelope { version, from: "client".into(), request: 7, body: marked(1) }
}

#[test]
fn an_envelope_comes_back_as_it_went() {
    let sent = envelope(PEER_VERSION);
    assert_eq!(codec::decode(&codec::encode(&sent)).expect("it was encoded here"), sent);
}

#[test_case(&codec::encode(&envelope(PEER_VERSION + 1)), "its version is 4, not 3"; "another version")]
#[test_case(&[codec::encode(&envelope(PEER_VERSION)), vec![0]].concat(), "bytes are left over"; "bytes left over")]
#[test_case(&vec![0; PEER_MAX_BYTES + 1], "it is too long"; "too long")]
fn a_bad_envelope_is_refused(bytes: &[u8], reason: &str) {
    let error = codec::decode(bytes).expect_err("the envelope is bad");
    assert!(error.to_string().contains(reason), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode(&bytes);
    }

    #[test]
    fn a_damaged_envelope_never_makes_the_decoder_panic(at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let mut bytes = codec::encode(&envelope(PEER_VERSION));
        let index = at.index(bytes.len());
        bytes[index] ^= flip;
        let _ = codec::decode(&bytes);
    }
}

/// Pattern: a peer that comes back after a loss of power. TCP sends its first packet again only after a second, which must not
/// be what most attempts wait for.
#[test]
fn most_attempts_to_connect_end_before_tcp_would_send_again() {
    const FIRST_RETRANSMISSION: Duration = Duration::from_secs(1);
    let short = CONNECT_TIMEOUTS.iter().filter(|limit| **limit <= FIRST_RETRANSMISSION / 3).count();
    assert!(2 * short > CONNECT_TIMEOUTS.len(), "{CONNECT_TIMEOUTS:?}");
}

#[tokio::test]
async fn a_peer_that_accepts_and_says_nothing_is_tried_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound").to_string();
    let _link = PeerLink::spawn(address.into(), "client".into(), secret("a fleet secret of the test"));
    let _silent = listener.accept().await.expect("the first attempt comes");
    listener.accept().await.expect("the second attempt comes");
}
