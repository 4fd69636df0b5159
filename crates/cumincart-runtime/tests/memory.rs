//! The account of a process: who is granted memory, who waits, and who is closed first.

use {
    cumincart_runtime::memory::{Account, Class, Holder, Purpose, SMALL_BYTES},
    std::time::Duration,
    test_case::test_case,
    tokio::time::timeout,
};

/// The memory of the process in these tests, in bytes.
const MEMORY_BYTES: usize = 100 * 1_024 * 1_024;

/// Longer than the time for which a holder waits before another one is closed for it.
const LONG: Duration = Duration::from_secs(30);

/// Returns whether the account has asked for a holder to be closed.
async fn is_asked_to_close(holder: &Holder) -> bool {
    timeout(Duration::ZERO, holder.closing().requested()).await.is_ok()
}

/// A level of the account in quarters of its limit.
fn quarters(account: &Account, count: usize) -> usize {
    account.counts().limit_bytes / 4 * count
}

#[test_case(Class::Unknown, Purpose::Read, 1)]
#[test_case(Class::Public, Purpose::Read, 2)]
#[test_case(Class::Known, Purpose::Read, 2)]
#[test_case(Class::Known, Purpose::Run, 3)]
#[test_case(Class::Working, Purpose::Read, 3)]
#[test_case(Class::Working, Purpose::Run, 4)]
fn a_class_is_granted_memory_up_to_its_level(class: Class, purpose: Purpose, expected: usize) {
    let account = Account::open(MEMORY_BYTES);
    let mut holder = account.hold(class);
    let connection_bytes = account.counts().held_bytes;
    let level_bytes = quarters(&account, expected) - connection_bytes;
    assert!(holder.try_resize(0, level_bytes, purpose));
    assert!(!holder.try_resize(0, level_bytes + 1, purpose));
    assert_eq!(account.counts().held_bytes, level_bytes + connection_bytes, "a refusal changes nothing");
    assert_eq!(account.counts().refusals, 1);
}

/// Guards against ordinary statements that are refused because others hold much.
#[test]
fn a_small_statement_is_always_granted() {
    let account = Account::open(MEMORY_BYTES);
    let mut large = account.hold(Class::Working);
    assert!(large.try_resize(0, quarters(&account, 4) - 2 * SMALL_BYTES, Purpose::Run));
    let mut small = account.hold(Class::Known);
    assert!(small.try_resize(0, SMALL_BYTES, Purpose::Run));
    // What a session keeps does not count against its next statement.
    let mut keeping = account.hold(Class::Known);
    assert!(keeping.try_resize(10 * SMALL_BYTES, SMALL_BYTES, Purpose::Run));
    assert!(!keeping.try_resize(0, 20 * SMALL_BYTES, Purpose::Run));
}

/// Guards against memory that stays held for a connection that is gone.
#[test]
fn a_dropped_holder_releases_everything() {
    let account = Account::open(MEMORY_BYTES);
    let mut holders: Vec<Holder> = (0..20).map(|_| account.hold(Class::Known)).collect();
    for holder in &mut holders {
        holder.resize(1_000_000);
    }
    drop(holders);
    let counts = account.counts();
    assert_eq!((counts.held_bytes, counts.holders), (0, 0));
}

/// Guards against clients with a credential or open work that are closed for those without.
#[test_case(&[(Class::Known, 9), (Class::Unknown, 1), (Class::Public, 5)], 1; "the lowest class")]
#[test_case(&[(Class::Known, 1), (Class::Known, 3), (Class::Known, 2)], 1; "the largest of a class")]
#[test_case(&[(Class::Working, 9), (Class::Known, 1)], 1; "open work last")]
#[tokio::test]
async fn the_worst_holder_is_closed_first(holders: &[(Class, usize)], expected: usize) {
    let account = Account::open(MEMORY_BYTES);
    let mut held = Vec::new();
    for (class, size) in holders {
        let mut holder = account.hold(*class);
        holder.resize(size * 100_000);
        held.push(holder);
    }
    let mut busy = account.hold(Class::Unknown);
    busy.set_busy(true);
    busy.resize(quarters(&account, 2));
    assert_eq!(account.counts().closed_for_memory, 1);
    for (index, holder) in held.iter().enumerate() {
        assert_eq!(is_asked_to_close(holder).await, index == expected, "holder {index}");
    }
    assert!(!is_asked_to_close(&busy).await, "what is at work is not closed");
}

/// Guards against a holder that waits although memory was released.
#[tokio::test]
async fn a_holder_waits_until_memory_is_released() {
    let account = Account::open(MEMORY_BYTES);
    let mut first = account.hold(Class::Known);
    first.resize(quarters(&account, 2));
    let mut second = account.hold(Class::Known);
    let waiting = tokio::spawn(async move {
        second.resize_when_free(0, 1_000_000, Purpose::Read).await;
        second
    });
    while account.counts().waits == 0 {
        tokio::task::yield_now().await;
    }
    first.resize(0);
    timeout(LONG, waiting).await.expect("it is granted").expect("it does not panic");
}

/// Guards against a holder that waits for ever for others that hold more and do nothing.
#[tokio::test]
async fn holders_that_hold_more_are_closed_for_one_that_waits() {
    let account = Account::open(MEMORY_BYTES);
    let mut stalled = account.hold(Class::Known);
    stalled.resize(quarters(&account, 2));
    let closing = tokio::spawn(async move {
        stalled.closing().requested().await;
    });
    let mut waiting = account.hold(Class::Known);
    timeout(LONG, waiting.resize_when_free(0, 1_000_000, Purpose::Read)).await.expect("it is granted");
    closing.await.expect("the stalled holder was asked to close");
}

#[tokio::test]
async fn a_place_is_taken_from_the_one_inactive_longest() {
    let account = Account::open(MEMORY_BYTES);
    let mut holders: Vec<Holder> = [Class::Known, Class::Unknown, Class::Unknown, Class::Working]
        .into_iter()
        .map(|class| account.hold(class))
        .collect();
    // The first one without a login is active again.
    holders[1].set_busy(true);
    holders[1].set_busy(false);
    let mut order = Vec::new();
    while account.close_longest_inactive() {
        for (index, holder) in holders.iter().enumerate() {
            if is_asked_to_close(holder).await {
                order.push(index);
            }
        }
    }
    assert_eq!(order, [2, 1, 0], "open work keeps its place");
}
