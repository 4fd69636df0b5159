//! The read-your-writes check: a session sees its own writes through any instance.

use {
    super::{CheckContext, CheckOutcome, InjectedFault},
    crate::demo::context::{KEY, read_extension, save_extension, text},
    cumincart_fleet::HttpClient,
};

const ROUNDS: usize = 100;

/// Repeatedly writes through one entry instance and reads the value through the next.
pub(super) async fn check(context: &CheckContext) -> CheckOutcome {
    let mut client = HttpClient::new(Some(KEY));
    let mut stale = 0;
    let mut unanswered = 0;
    let mut from_replica = 0;
    for round in 0..ROUNDS {
        let target = format!("desk-{round}");
        if save_extension(&mut client, &context.url(round), &target).await.rows().is_none() {
            unanswered += 1;
            continue;
        }
        if context.injects(InjectedFault::Sessions) {
            client.clear_session();
        }
        let response = read_extension(&mut client, &context.url(round + 1)).await;
        from_replica += usize::from(response.from_replica);
        match response.rows() {
            Some(rows) if rows.rows == [[text(&target)]] => {}
            Some(_) => stale += 1,
            None => unanswered += 1,
        }
    }
    CheckOutcome {
        promise: "a session reads its own writes",
        figure: format!(
            "{stale} stale and {unanswered} unanswered of {ROUNDS} reads through another instance \
             ({from_replica} served by replicas)"
        ),
        holds: stale == 0 && unanswered == 0,
    }
}
