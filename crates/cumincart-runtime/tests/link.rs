//! Peer links over loopback: authentication, matching of answers, malformed messages and lost links.

use {
    cumincart_protocol::{
        catalogue::Catalogue,
        exchange::{Reply, Rows, TransactionState},
        heartbeat::{CatalogueUpdate, HeartbeatAnswer},
        name::InstanceName,
        number::{ControlTerm, Incarnation, LogIndex, Revision},
        peer::{Envelope, PEER_MAX_BYTES, PEER_VERSION, PeerBody},
        refusal::{Refusal, RefusalCode},
        relay::RelayAnswer,
        replication::{Append, DiskId, ReplicationBody, ReplicationMessage, VoteAnswer},
        time::Instant,
        verdict::Verdict,
    },
    cumincart_runtime::link::{
        LinkError,
        client::{CONNECT_TIMEOUTS, PeerLink},
        codec,
        handshake::{FleetSecret, challenge, check, hello, prove},
        server::{PeerServer, ReceivedMessage},
        traffic,
    },
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
    test_case::test_case,
    tokio::{net::TcpListener, sync::mpsc},
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn secret(text: &str) -> FleetSecret {
    FleetSecret::new(text.as_bytes()).expect("the secret is long enough")
}

fn numbered(number: usize) -> PeerBody {
    PeerBody::Refused(Refusal::not_run(RefusalCode::BadRequest, format!("message {number}")))
}

struct TestServer {
    address: Arc<str>,
    received: mpsc::UnboundedReceiver<ReceivedMessage>,
    _peer_server: PeerServer,
}

async fn bind(fleet_secret: &str) -> TestServer {
    let (sender, received) = mpsc::unbounded_channel();
    let server = PeerServer::bind("127.0.0.1:0", "server".into(), secret(fleet_secret), sender)
        .await
        .expect("loopback can be bound");
    TestServer { address: server.address.to_string().into(), received, _peer_server: server }
}

/// Sends a request, again until the link is up: a link rejects messages while it connects.
async fn request_when_up(link: &PeerLink, body: PeerBody) -> Result<PeerBody, LinkError> {
    loop {
        match link.request(body.clone(), TIMEOUT).await {
            Err(LinkError::Down) => tokio::task::yield_now().await,
            result => return result,
        }
    }
}

#[tokio::test]
async fn out_of_order_answers_reach_their_requests() {
    let mut server = bind("a fleet secret of the test").await;
    let link = PeerLink::spawn(server.address.clone(), "client".into(), secret("a fleet secret of the test"));
    let requests_sent: Vec<_> = (0..20)
        .map(|number| {
            let link = link.clone();
            tokio::spawn(async move { request_when_up(&link, numbered(number)).await })
        })
        .collect();
    let mut requests = Vec::new();
    while requests.len() < requests_sent.len() {
        requests.push(server.received.recv().await.expect("the server is open"));
    }
    for request in requests.into_iter().rev() {
        request.reply.send(request.body);
    }
    for (number, task) in requests_sent.into_iter().enumerate() {
        let answer = task.await.expect("the task ends").expect("the peer answers");
        assert_eq!(answer, numbered(number));
    }
}

#[tokio::test]
async fn a_second_answer_is_delivered_as_unsolicited() {
    let mut server = bind("a fleet secret of the test").await;
    let (unsolicited_sender, mut unsolicited) = mpsc::unbounded_channel();
    let secret = secret("a fleet secret of the test");
    let link = PeerLink::spawn_with(server.address.clone(), "client".into(), secret, unsolicited_sender);
    let requests_sent = tokio::spawn(async move { (request_when_up(&link, numbered(1)).await, link) });
    let request = server.received.recv().await.expect("the server is open");
    request.reply.send(numbered(2));
    let (answer, _link) = requests_sent.await.expect("the task ends");
    assert_eq!(answer.expect("the peer answers"), numbered(2));
    request.reply.send(numbered(3));
    assert_eq!(unsolicited.recv().await, Some(numbered(3)));
}

fn heartbeat_answer(revision: u64, update: CatalogueUpdate) -> PeerBody {
    PeerBody::HeartbeatAnswer(Box::new(HeartbeatAnswer {
        asked_at: Instant::ZERO,
        incarnation: Incarnation(1),
        control_term: ControlTerm(1),
        revision: Revision(revision),
        term_lease_ms: 1_500,
        freshness_lease_ms: 2_900,
        update,
        shares: Vec::new(),
        permits: Vec::new(),
        instances: None,
        control_addresses: None,
    }))
}

fn revision(body: &PeerBody) -> u64 {
    let PeerBody::HeartbeatAnswer(answer) = body else { panic!("{body:?}") };
    answer.revision.0
}

/// The writer does not run between the sends. Updates keep their order, and the lease overtakes them.
#[tokio::test]
async fn a_lease_does_not_wait_behind_updates_that_are_queued() {
    let mut server = bind("a fleet secret of the test").await;
    let (unsolicited_sender, mut unsolicited) = mpsc::unbounded_channel();
    let secret = secret("a fleet secret of the test");
    let link = PeerLink::spawn_with(server.address.clone(), "client".into(), secret, unsolicited_sender);
    let requests_sent = tokio::spawn(async move { (request_when_up(&link, numbered(1)).await, link) });
    let request = server.received.recv().await.expect("the server is open");
    for revision in 1..=200 {
        let update = CatalogueUpdate::Snapshot(Arc::new(Catalogue::default()));
        request.reply.send(heartbeat_answer(revision, update));
    }
    request.reply.send(heartbeat_answer(0, CatalogueUpdate::None));
    let (answer, _link) = requests_sent.await.expect("the task ends");
    let mut revisions = vec![revision(&answer.expect("the peer answers"))];
    while revisions.len() < 201 {
        revisions.push(revision(&unsolicited.recv().await.expect("the link is open")));
    }
    assert_eq!(revisions, (0..=200).collect::<Vec<_>>());
}

fn replication(term: u64, body: ReplicationBody) -> PeerBody {
    PeerBody::Replication(ReplicationMessage {
        disk: DiskId("disk-1".into()),
        peer_address: "127.0.0.1:1".into(),
        incarnation: Incarnation(1),
        term: ControlTerm(term),
        domain: None,
        body,
    })
}

#[tokio::test]
async fn a_vote_does_not_wait_behind_records_that_are_queued() {
    let mut server = bind("a fleet secret of the test").await;
    let link = PeerLink::spawn(server.address.clone(), "client".into(), secret("a fleet secret of the test"));
    let append = || {
        ReplicationBody::Append(Append {
            previous_index: LogIndex(1),
            previous_term: ControlTerm(1),
            records: Vec::new(),
            commit: LogIndex(1),
            sent_at: Instant::ZERO,
        })
    };
    for term in 1..=200 {
        link.send(replication(term, append()));
    }
    let granted = VoteAnswer { term: ControlTerm(9), granted: true };
    link.send(replication(0, ReplicationBody::VoteAnswer(granted)));
    let mut terms = Vec::new();
    while terms.len() < 201 {
        let received = server.received.recv().await.expect("the server is open");
        let PeerBody::Replication(message) = received.body else { panic!("{:?}", received.body) };
        terms.push(message.term.0);
    }
    assert_eq!(terms, (0..=200).collect::<Vec<_>>());
}

#[tokio::test]
async fn a_lost_link_fails_its_pending_request_and_reconnects() {
    let mut server = bind("a fleet secret of the test").await;
    let address = server.address.clone();
    let link = PeerLink::spawn(address.clone(), "client".into(), secret("a fleet secret of the test"));
    let waiting = {
        let link = link.clone();
        tokio::spawn(async move { request_when_up(&link, numbered(1)).await })
    };
    let request = server.received.recv().await.expect("the server is open");
    drop(server);
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
    let again = tokio::spawn(async move { request_when_up(&link, numbered(2)).await });
    let request = received.recv().await.expect("the server is open");
    request.reply.send(numbered(3));
    assert_eq!(again.await.expect("the task ends").expect("the peer answers"), numbered(3));
}

#[tokio::test]
async fn no_message_from_a_peer_with_another_secret_is_accepted() {
    let mut server = bind("a fleet secret of the test").await;
    let link =
        PeerLink::spawn(server.address.clone(), "client".into(), secret("another secret, just as long"));
    for _ in 0..50 {
        assert!(link.request(numbered(1), TIMEOUT).await.is_err());
    }
    assert!(server.received.try_recv().is_err());
}

#[test]
fn a_proof_is_valid_only_for_its_nonces_and_side() {
    let secret = secret("a fleet secret of the test");
    let first = hello(&InstanceName::from("client"));
    let second = hello(&InstanceName::from("client"));
    let answer = challenge(&secret, &first).expect("the versions agree");
    let proof = prove(&secret, &first, &answer).expect("the accepting side knows the secret");
    assert!(check(&secret, &first, &answer, &proof).is_ok());
    assert!(check(&secret, &second, &answer, &proof).is_err(), "a proof must not be valid for another hello");
    assert!(prove(&secret, &second, &answer).is_err(), "a challenge must not be valid for another hello");
    let other = challenge(&secret, &first).expect("the versions agree");
    assert!(
        check(&secret, &first, &other, &proof).is_err(),
        "a proof must not be valid for another challenge"
    );
}

#[test_case(b"", false; "empty")]
#[test_case(b"fifteen bytes!!", false; "too short")]
#[test_case(b"  fifteen bytes!!  ", false; "too short without white space")]
#[test_case(b"sixteen bytes!!!\n", true; "long enough with a line end")]
fn a_fleet_secret_has_a_minimum_length(bytes: &[u8], accepted: bool) {
    assert_eq!(FleetSecret::new(bytes).is_ok(), accepted);
}

fn encode(envelope: &Envelope) -> Vec<u8> {
    codec::encode(envelope).expect("the envelope is short enough")
}

fn envelope(version: u16) -> Envelope {
    Envelope { version, from: "client".into(), request: 7, body: numbered(1) }
}

#[test]
fn an_envelope_is_the_same_after_encoding_and_decoding() {
    let sent = envelope(PEER_VERSION);
    assert_eq!(codec::decode(&encode(&sent)).expect("the envelope is valid"), sent);
}

#[test_case(&encode(&envelope(PEER_VERSION + 1)), "its version is 4, expected 3"; "another version")]
#[test_case(&[encode(&envelope(PEER_VERSION)), vec![0]].concat(), "1 bytes of trailing data follow the envelope"; "trailing data")]
#[test_case(&vec![0; PEER_MAX_BYTES + 1], &format!("it has {} bytes, but at most {PEER_MAX_BYTES} are allowed", PEER_MAX_BYTES + 1); "too long")]
fn an_invalid_envelope_is_rejected(bytes: &[u8], reason: &str) {
    let error = codec::decode(bytes).expect_err("the envelope is invalid");
    assert!(error.to_string().contains(reason), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(41), ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode(&bytes);
    }

    #[test]
    fn decoding_a_corrupted_envelope_never_panics(at in any::<prop::sample::Index>(), flip in 1_u8..) {
        let mut bytes = encode(&envelope(PEER_VERSION));
        let index = at.index(bytes.len());
        bytes[index] ^= flip;
        let _ = codec::decode(&bytes);
    }
}

/// A peer that restarts after a power failure must be reached quickly. TCP retransmits the first packet only after one
/// second, so most attempts must end well before that.
#[test]
fn most_connection_attempts_time_out_before_tcp_retransmits() {
    const FIRST_RETRANSMISSION: Duration = Duration::from_secs(1);
    let short = CONNECT_TIMEOUTS.iter().filter(|limit| **limit <= FIRST_RETRANSMISSION / 3).count();
    assert!(2 * short > CONNECT_TIMEOUTS.len(), "{CONNECT_TIMEOUTS:?}");
}

#[tokio::test]
async fn a_peer_that_accepts_but_does_not_answer_is_tried_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let _link = PeerLink::spawn(address.into(), "client".into(), secret("a fleet secret of the test"));
    let _silent = listener.accept().await.expect("the link connects");
    listener.accept().await.expect("the link connects again");
}

/// How long the test's network holds back a new connection: within the first timeout of the handshake.
const HANDSHAKE_DELAY: Duration = Duration::from_millis(150);

/// Starts a server behind a network that holds back new connections.
async fn bind_behind_slow_network(fleet_secret: &str) -> (TestServer, Arc<str>) {
    let server = bind(fleet_secret).await;
    let network = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = network.local_addr().expect("the listener is bound").to_string();
    let target = server.address.clone();
    tokio::spawn(async move {
        while let Ok((mut client, _)) = network.accept().await {
            let target = target.clone();
            tokio::spawn(async move {
                tokio::time::sleep(HANDSHAKE_DELAY).await;
                let mut server = tokio::net::TcpStream::connect(&*target).await?;
                tokio::io::copy_bidirectional(&mut client, &mut server).await
            });
        }
    });
    (server, address.into())
}

#[tokio::test]
async fn a_request_that_timed_out_before_the_link_was_open_is_never_sent() {
    let (mut server, address) = bind_behind_slow_network("a fleet secret of the test").await;
    let link = PeerLink::spawn(address, "client".into(), secret("a fleet secret of the test"));
    assert!(link.is_usable(), "requests wait for a link that is being opened");
    let timed_out = link.request(numbered(1), HANDSHAKE_DELAY / 3).await;
    assert!(matches!(timed_out, Err(LinkError::Lost)), "{timed_out:?}");
    let second = tokio::spawn(async move { request_when_up(&link, numbered(2)).await });
    let received = server.received.recv().await.expect("the server is open");
    assert_eq!(received.body, numbered(2), "a request ran that its sender had given up");
    received.reply.send(numbered(3));
    assert_eq!(second.await.expect("the task does not panic").expect("the request is answered"), numbered(3));
}

#[tokio::test]
async fn a_link_that_could_not_be_opened_is_not_usable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback can be bound");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    drop(listener);
    let link = PeerLink::spawn(address.into(), "client".into(), secret("a fleet secret of the test"));
    while link.is_usable() {
        tokio::task::yield_now().await;
    }
    let refused = link.request(numbered(1), TIMEOUT).await;
    assert!(matches!(refused, Err(LinkError::Down)), "{refused:?}");
}

/// Returns a message with a text of this length.
fn long(text_bytes: usize) -> PeerBody {
    PeerBody::Refused(Refusal::not_run(RefusalCode::BadRequest, "x".repeat(text_bytes)))
}

/// Guards against a request that breaks its link because it is too long, so that the other requests on it are lost.
#[tokio::test]
async fn a_request_that_is_too_long_fails_alone_as_not_sent() {
    let mut server = bind("a fleet secret of the test").await;
    let link = PeerLink::spawn(server.address.clone(), "client".into(), secret("a fleet secret of the test"));
    let other = link.clone();
    let other = tokio::spawn(async move { request_when_up(&other, numbered(1)).await });
    let held = server.received.recv().await.expect("the server is open");
    for _ in 0..2 {
        let refused = link.request(long(PEER_MAX_BYTES), TIMEOUT).await;
        assert!(matches!(refused, Err(LinkError::TooLong)), "{refused:?}");
    }
    link.send(long(PEER_MAX_BYTES));
    held.reply.send(numbered(2));
    assert_eq!(other.await.expect("the task ends").expect("the link stays up"), numbered(2));
    let longest = tokio::spawn(async move { link.request(long(PEER_MAX_BYTES - 1_000), TIMEOUT).await });
    let received = server.received.recv().await.expect("the server is open");
    assert_eq!(received.body, long(PEER_MAX_BYTES - 1_000));
    assert_eq!(too_long("refusal"), 3);
    received.reply.send(received.body);
    let answer = longest.await.expect("the task ends").expect("the longest messages pass");
    assert_eq!(answer, long(PEER_MAX_BYTES - 1_000));
}

/// Guards against an answer that breaks its link because it is too long, and against a request that has run and is
/// reported as not run.
#[tokio::test]
async fn an_answer_that_is_too_long_becomes_a_refusal_of_its_request_alone() {
    let mut server = bind("a fleet secret of the test").await;
    let link = PeerLink::spawn(server.address.clone(), "client".into(), secret("a fleet secret of the test"));
    let first = link.clone();
    let first = tokio::spawn(async move { request_when_up(&first, numbered(1)).await });
    let first_received = server.received.recv().await.expect("the server is open");
    let second = tokio::spawn(async move { link.request(numbered(2), TIMEOUT).await });
    let second_received = server.received.recv().await.expect("the server is open");
    let answer = RelayAnswer::Replies(vec![Reply {
        result: Ok(Rows { rows: vec!["x".repeat(PEER_MAX_BYTES).into()], confirmation: "proof".into() }),
        state: TransactionState::Idle,
        point: None,
    }]);
    first_received.reply.send(PeerBody::RelayAnswer(Box::new(answer)));
    second_received.reply.send(numbered(3));
    let answer = first.await.expect("the task ends").expect("the link stays up");
    let PeerBody::Refused(refusal) = answer else { panic!("the answer passes") };
    assert_eq!(refusal.verdict, Verdict::Unknown, "it may have run");
    assert_eq!(too_long("relay_answer"), 1);
    assert_eq!(second.await.expect("the task ends").expect("the link stays up"), numbered(3));
}

/// Returns how many messages of a kind were too long to be sent. Only one test sends such messages of a kind.
fn too_long(kind: &str) -> u64 {
    let traffic = traffic::snapshot();
    traffic.iter().filter(|traffic| traffic.kind == kind).map(|traffic| traffic.too_long).sum()
}
