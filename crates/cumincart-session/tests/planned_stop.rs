//! A planned stop answers what it has taken, and refuses the rest before it is sent on: over time limits, durations,
//! moments of sending and paths.

#[allow(dead_code)]
#[path = "transactions/fleet.rs"]
mod fleet;
#[allow(dead_code)]
#[path = "transactions/group.rs"]
mod group;

use {
    cumincart_core::{interactive::failure::FailureCode, stop_schedule::StopSchedule},
    cumincart_session::session::Session,
    fleet::{BOUNDED_DATABASE, Fleet, GRACE, KEYS, PRIMARY_DATABASE, begin, commit, read, write},
    std::time::{Duration, Instant},
    test_case::test_case,
    tokio::time::sleep,
};

/// How much later than planned something may happen on a busy machine.
const TOLERANCE: Duration = Duration::from_millis(250);

/// How long statements run at their endpoint, in milliseconds.
const DURATIONS_MS: [u64; 4] = [5, 900, 2_500, 4_500];

/// When statements are sent, counted from the request to stop, in milliseconds.
const MOMENTS_MS: [u64; 7] = [0, 1_000, 2_400, 2_700, 3_300, 4_000, 4_700];

/// What a client sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sends {
    Read,
    Write,
    /// A statement of an open transaction.
    InTransaction,
    /// The commit of a transaction that has written.
    Commit,
}

struct Sent {
    id: String,
    at: Duration,
    takes: Duration,
    answered_at: Duration,
    code: Option<FailureCode>,
}

async fn send(session: &mut Session, sends: Sends, id: &str) -> Option<FailureCode> {
    let answer = match sends {
        Sends::Read => read(session, id).await,
        Sends::Write | Sends::InTransaction => write(session, id).await,
        Sends::Commit => commit(session, id).await,
    };
    answer.result.err().map(|failure| failure.code)
}

/// Sends statements at all moments around the stop of an instance. Returns what became of them once the process would have
/// ended, and whether a statement was still without an answer then.
async fn send_around_stop(fleet: &Fleet, sends: Sends, stops_owner: bool) -> (Vec<Sent>, usize) {
    let database = if sends == Sends::Read { BOUNDED_DATABASE } else { PRIMARY_DATABASE };
    let mut clients = Vec::new();
    let mut sessions = Vec::new();
    for moment_ms in MOMENTS_MS {
        for takes_ms in DURATIONS_MS {
            let mut session = fleet.open_session(database, KEYS[0]).await.expect("the session is opened");
            if matches!(sends, Sends::InTransaction | Sends::Commit) {
                begin(&mut session, false).await;
                let first = write(&mut session, &format!("first-{moment_ms}-{takes_ms}")).await;
                assert!(first.result.is_ok(), "{first:?}");
            }
            sessions.push((session, moment_ms, takes_ms));
        }
    }
    let stop_at = Instant::now();
    let stopped = if stops_owner { fleet.stop_owner() } else { fleet.stop_entry() };
    for (mut session, moment_ms, takes_ms) in sessions {
        clients.push(tokio::spawn(async move {
            sleep(Duration::from_millis(moment_ms)).await;
            let id = format!("takes-{takes_ms}-{moment_ms}-{sends:?}");
            let at = stop_at.elapsed();
            let code = send(&mut session, sends, &id).await;
            Sent { id, at, takes: Duration::from_millis(takes_ms), answered_at: stop_at.elapsed(), code }
        }));
    }
    stopped.await.expect("the stop does not panic");
    assert!(stop_at.elapsed() < GRACE, "the process is killed: {:?}", stop_at.elapsed());
    let mut sent = Vec::new();
    let mut unanswered = 0;
    for client in clients {
        if !stops_owner && !client.is_finished() {
            unanswered += 1;
            client.abort();
            continue;
        }
        sent.push(client.await.expect("the client does not panic"));
    }
    (sent, unanswered)
}

fn check(fleet: &Fleet, sends: Sends, limit: Duration, sent: &[Sent]) {
    let schedule = StopSchedule::of_grace(GRACE);
    for Sent { id, at, takes, answered_at, code } in sent {
        let context = format!("{id}: sent at {at:?}, answered at {answered_at:?} with {code:?}");
        let has_arrived = fleet.group.endpoint_of(id).is_some();
        assert!(*answered_at <= *at + limit + TOLERANCE && *answered_at <= GRACE, "{context}");
        let must_be_taken = *at + TOLERANCE <= schedule.takes_until(limit);
        let ends_in_time = *takes + TOLERANCE <= limit && *at + *takes + TOLERANCE <= schedule.answer_by();
        if must_be_taken && ends_in_time {
            assert_eq!(*code, None, "{context}: it could be served");
        }
        if *at > schedule.takes_until(limit) + TOLERANCE {
            assert!(!has_arrived, "{context}: it is sent on");
        }
        // A refusal promises that nothing is kept.
        let is_promise = matches!(code, Some(FailureCode::Busy | FailureCode::Aborted));
        if is_promise && matches!(sends, Sends::Write | Sends::Commit) {
            assert!(!has_arrived, "{context}: it is sent on and refused");
        }
        if code.is_some() && has_arrived {
            let over_at = schedule.answer_by().min(*at + limit);
            assert!(*answered_at + TOLERANCE >= over_at, "{context}: it had time left");
        }
    }
}

/// Guards against statements that a planned stop takes and cuts, and against those that it refuses without need.
#[test_case(Sends::Read, 3_000; "reads with a limit of three seconds")]
#[test_case(Sends::Write, 3_000; "writes with a limit of three seconds")]
#[test_case(Sends::InTransaction, 3_000; "statements of transactions with a limit of three seconds")]
#[test_case(Sends::Commit, 3_000; "commits with a limit of three seconds")]
#[test_case(Sends::Write, 1_000; "writes with a limit of a second")]
#[test_case(Sends::Write, 20_000; "writes with a limit beyond the stop")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_stopping_instance_takes_is_answered(sends: Sends, limit_ms: u64) {
    let fleet = Fleet::start_for_stop(false, limit_ms).await;
    let (sent, unanswered) = send_around_stop(&fleet, sends, false).await;
    assert_eq!(unanswered, 0, "statements are cut");
    assert!(sent.len() == MOMENTS_MS.len() * DURATIONS_MS.len());
    check(&fleet, sends, Duration::from_millis(limit_ms), &sent);
}

/// Guards against exchanges of other instances that a planned stop of the owner of their connections cuts.
#[test_case(Sends::Write; "writes")]
#[test_case(Sends::InTransaction; "statements of transactions")]
#[test_case(Sends::Commit; "commits")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_stopping_owner_takes_is_answered(sends: Sends) {
    let limit = Duration::from_secs(3);
    let fleet = Fleet::start_for_stop(true, 3_000).await;
    let (sent, _) = send_around_stop(&fleet, sends, true).await;
    for Sent { id, at, answered_at, code, .. } in &sent {
        assert!(*answered_at <= *at + limit + TOLERANCE, "{id}: sent at {at:?}, answered at {answered_at:?}");
        let is_promise = matches!(code, Some(FailureCode::Busy | FailureCode::Aborted));
        let has_arrived = fleet.group.endpoint_of(id).is_some();
        assert!(!(is_promise && has_arrived && sends != Sends::InTransaction), "{id}: {code:?}");
    }
}

/// Guards against a session that is refused though its statement could be served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_session_is_opened_while_its_statements_can_be_served() {
    let fleet = Fleet::start_for_stop(false, 1_000).await;
    let stop_at = Instant::now();
    let stopped = fleet.stop_entry();
    // A session that lasts keeps the stop from ending early.
    let mut lasting = fleet.open_session(PRIMARY_DATABASE, KEYS[0]).await.expect("the session is opened");
    begin(&mut lasting, false).await;
    let schedule = StopSchedule::of_grace(GRACE);
    let until = schedule.takes_until(Duration::from_secs(1));
    sleep(until - TOLERANCE - stop_at.elapsed()).await;
    let mut session = fleet.open_session(PRIMARY_DATABASE, KEYS[0]).await.expect("the session is opened");
    assert!(write(&mut session, "last").await.result.is_ok());
    sleep((until + TOLERANCE).saturating_sub(stop_at.elapsed())).await;
    assert!(fleet.open_session(PRIMARY_DATABASE, KEYS[0]).await.is_err(), "it is refused at once");
    drop(lasting);
    drop(session);
    stopped.await.expect("the stop does not panic");
}
