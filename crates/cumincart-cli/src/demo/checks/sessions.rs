//! Read-your-writes: a session sees its own write through any instance.

use {
    super::{Breakage, CheckOutcome, Scene},
    crate::demo::context::{KEY, read_extension, save_extension, text},
    cumincart_fleet::Caller,
};

const ROUNDS: usize = 100;

/// Writes through one instance and reads through the next, many times.
pub(super) async fn check(scene: &Scene) -> CheckOutcome {
    let mut caller = Caller::new(Some(KEY));
    let mut stale = 0;
    let mut unanswered = 0;
    let mut from_replica = 0;
    for round in 0..ROUNDS {
        let target = format!("desk-{round}");
        if save_extension(&mut caller, &scene.url(round), &target).await.rows().is_none() {
            unanswered += 1;
            continue;
        }
        if scene.breaks(Breakage::Sessions) {
            caller.forget_session();
        }
        let answered = read_extension(&mut caller, &scene.url(round + 1)).await;
        from_replica += usize::from(answered.from_replica);
        match answered.rows() {
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
