//! Answers to heartbeats whose effects are applied together. An update that the core sends in answer to an earlier
//! heartbeat was lost if the instance's next heartbeat was handled in the same batch.

use cumincart_control::heartbeat_replies::HeartbeatReplies;

#[test]
fn an_answer_to_an_earlier_heartbeat_of_the_batch_is_sent() {
    let mut replies = HeartbeatReplies::default();
    let first = replies.register("entry-1".into(), "first");
    replies.forget_outdated();
    let second = replies.register("entry-1".into(), "second");
    assert_eq!(replies.reply(first), Some(&"second"));
    assert_eq!(replies.reply(second), Some(&"second"));
}

#[test]
fn earlier_tickets_are_forgotten_after_the_batch() {
    let mut replies = HeartbeatReplies::default();
    let first = replies.register("entry-1".into(), "first");
    let other = replies.register("entry-2".into(), "other");
    let second = replies.register("entry-1".into(), "second");
    replies.forget_outdated();
    assert_eq!(replies.reply(first), None);
    assert_eq!(replies.reply(second), Some(&"second"), "the last heartbeat may be answered again");
    assert_eq!(replies.reply(other), Some(&"other"));
}
