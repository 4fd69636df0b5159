//! The order in which the engine's thread handles messages.

use {
    cumincart_control::inbox::{Inbox, Priority},
    tokio::sync::mpsc,
};

fn priority(message: &&str) -> Priority {
    match message.split('-').next() {
        Some("replication") => Priority::First,
        Some("tick") => Priority::FirstOnce,
        _ => Priority::InOrder,
    }
}

#[test]
fn what_keeps_the_leadership_overtakes_the_messages_of_a_fleet() {
    let (sender, receiver) = mpsc::unbounded_channel();
    for message in
        ["heartbeat-1", "tick-1", "heartbeat-2", "replication-1", "tick-2", "replication-2", "heartbeat-3"]
    {
        sender.send(message).expect("the queue is open");
    }
    let mut inbox = Inbox::new(receiver, priority);
    assert_eq!(inbox.blocking_recv(), Some("tick-1"));
    sender.send("tick-3").expect("the queue is open");
    drop(sender);
    let rest: Vec<&str> = std::iter::from_fn(|| inbox.blocking_recv()).collect();
    assert_eq!(
        rest,
        ["replication-1", "replication-2", "tick-3", "heartbeat-1", "heartbeat-2", "heartbeat-3"],
        "a tick that is waiting stands for later ones"
    );
}
