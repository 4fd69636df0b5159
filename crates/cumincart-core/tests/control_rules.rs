//! Individual Raft rules that random faults rarely trigger, tested message by message.

use {
    cumincart_core::control::{Core, Effect, Input, Persist, Settings, Stored, step},
    cumincart_protocol::{
        number::{ControlTerm, Incarnation, LogIndex},
        replication::{
            Append, AppendAnswer, Ballot, Command, DiskId, Member, Members, Record, ReplicationBody,
            ReplicationMessage, VoteAnswer, VoteRequest,
        },
        time::Instant,
    },
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    test_case::test_case,
};

const SEED: u64 = 43;

/// One of three members; the test writes the messages of the other two.
struct Node {
    core: Core,
    stored: Stored,
    now_ms: u64,
}

fn member(number: u8) -> Member {
    let name = format!("control-{number}");
    Member {
        instance: name.as_str().into(),
        disk: DiskId(format!("disk-{number}").into()),
        peer_address: name.into(),
        domain: None,
    }
}

fn record(index: u64, term: u64) -> Record {
    Record { index: LogIndex(index), term: ControlTerm(term), command: Command::Open }
}

impl Node {
    fn open(stored: Stored) -> Self {
        let voters = (1..=3).map(member).collect();
        let settings = Settings {
            member: member(1),
            incarnation: Incarnation(1),
            first_members: Members { voters, ..Members::default() },
        };
        let core = Core::open(settings, stored.clone(), ChaCha20Rng::seed_from_u64(SEED));
        Self { core, stored, now_ms: 1_000 }
    }

    fn with_log(terms: &[u64]) -> Self {
        let records = terms.iter().zip(1..).map(|(term, index)| record(index, *term)).collect();
        let term = ControlTerm(terms.last().copied().unwrap_or_default());
        Self::open(Stored { ballot: Ballot { term, voted_for: None }, records, ..Stored::default() })
    }

    /// Restarts from the state that was persisted.
    fn restart(self) -> Self {
        Self::open(self.stored)
    }

    fn step(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        step(&mut self.core, Instant::from_millis(self.now_ms), input, &mut out);
        for effect in &out {
            match effect {
                Effect::Persist(Persist::Ballot(ballot)) => self.stored.ballot = ballot.clone(),
                Effect::Persist(Persist::Append(records)) => self.stored.records.extend_from_slice(records),
                Effect::Persist(Persist::TruncateFrom(index)) => {
                    self.stored.records.retain(|record| record.index < *index);
                }
                _ => {}
            }
        }
        out
    }

    fn receive(&mut self, from: u8, term: u64, body: ReplicationBody) -> Vec<Effect> {
        let sender = member(from);
        let term = ControlTerm(term);
        let message = ReplicationMessage {
            disk: sender.disk,
            peer_address: sender.peer_address,
            incarnation: Incarnation(1),
            domain: None,
            term,
            body,
        };
        self.step(Input::Replication(sender.instance, message))
    }

    /// Lets the election timeout pass and grants the vote of member 2, which makes the node the leader.
    fn elect(&mut self) {
        self.step(Input::Tick);
        self.now_ms += 1_000;
        self.step(Input::Tick);
        let next = self.core.election.ballot.term.next();
        let vote = VoteAnswer { term: next, granted: true };
        self.receive(2, next.0 - 1, ReplicationBody::PreVoteAnswer(vote.clone()));
        self.receive(2, next.0, ReplicationBody::VoteAnswer(vote));
        assert!(self.core.election.is_leader());
    }

    fn acknowledge(&mut self, from: u8, matched: u64) -> Vec<Effect> {
        let term = self.core.election.ballot.term.0;
        let answer = AppendAnswer { sent_at: Instant::ZERO, success: true, matched: LogIndex(matched) };
        self.receive(from, term, ReplicationBody::AppendAnswer(answer))
    }

    fn vote(&mut self, from: u8, term: u64, last_index: u64, last_term: u64) -> bool {
        let vote_request = VoteRequest {
            term: ControlTerm(term),
            last_index: LogIndex(last_index),
            last_term: ControlTerm(last_term),
        };
        let effects = self.receive(from, term, ReplicationBody::Vote(vote_request));
        effects.iter().any(|effect| match effect {
            Effect::Send(_, message) => {
                matches!(&message.body, ReplicationBody::VoteAnswer(answer) if answer.granted)
            }
            _ => false,
        })
    }
}

#[test]
fn a_vote_is_persisted_before_it_is_granted_and_holds_after_a_restart() {
    let mut node = Node::with_log(&[1]);
    assert!(node.vote(2, 5, 1, 1));
    let mut node = node.restart();
    assert!(!node.vote(3, 5, 1, 1), "two votes in one term");
    assert!(node.vote(2, 5, 1, 1), "the same candidate may ask again");
    assert!(node.vote(3, 6, 1, 1));
}

#[test_case(2, 4, false; "a longer log of an earlier term")]
#[test_case(2, 1, false; "a shorter log of the same term")]
#[test_case(2, 2, true; "the same log")]
#[test_case(3, 1, true; "a shorter log of a later term")]
fn a_vote_needs_a_log_that_is_up_to_date(last_term: u64, last_index: u64, granted: bool) {
    let mut node = Node::with_log(if last_index == 4 { &[1, 3] } else { &[1, 2] });
    assert_eq!(node.vote(2, 9, last_index, last_term), granted);
}

#[test]
fn a_record_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let mut node = Node::with_log(&[1, 2]);
    node.elect();
    node.acknowledge(2, 2);
    assert_eq!(node.core.log.commit, LogIndex(0), "a later leader may still replace record 2");
    node.acknowledge(2, 3);
    assert_eq!(node.core.log.commit, LogIndex(3));
}

#[test]
fn an_acknowledgement_counts_only_from_the_recorded_disk_of_a_member() {
    let mut node = Node::with_log(&[1]);
    node.elect();
    let answer = AppendAnswer { sent_at: Instant::ZERO, success: true, matched: LogIndex(2) };
    let message = ReplicationMessage {
        disk: DiskId("another disk".into()),
        peer_address: member(2).peer_address,
        incarnation: Incarnation(2),
        term: node.core.election.ballot.term,
        domain: None,
        body: ReplicationBody::AppendAnswer(answer),
    };
    node.step(Input::Replication(member(2).instance, message));
    assert_eq!(node.core.log.commit, LogIndex(0));
}

#[test]
fn a_follower_replaces_conflicting_records_and_persists_before_it_answers() {
    let mut node = Node::with_log(&[1, 2, 2]);
    let append = Append {
        previous_index: LogIndex(1),
        previous_term: ControlTerm(1),
        records: vec![record(2, 3)],
        commit: LogIndex(2),
        sent_at: Instant::from_millis(7),
    };
    let effects = node.receive(2, 3, ReplicationBody::Append(append));
    let position =
        |wanted: fn(&Effect) -> bool| effects.iter().position(wanted).expect("the effect is present");
    let truncated = position(|effect| matches!(effect, Effect::Persist(Persist::TruncateFrom(LogIndex(2)))));
    let appended = position(|effect| matches!(effect, Effect::Persist(Persist::Append(_))));
    let answered = position(|effect| matches!(effect, Effect::Send(..)));
    assert!(truncated < appended && appended < answered);
    assert_eq!(node.core.log.last_index(), LogIndex(2));
    assert_eq!(node.core.log.applied, LogIndex(2));
}

#[test]
fn a_follower_that_lacks_records_returns_its_last_index() {
    let mut node = Node::with_log(&[1]);
    let append = Append {
        previous_index: LogIndex(9),
        previous_term: ControlTerm(2),
        records: vec![record(10, 2)],
        commit: LogIndex(10),
        sent_at: Instant::from_millis(7),
    };
    let effects = node.receive(2, 2, ReplicationBody::Append(append));
    let answer = effects.iter().find_map(|effect| match effect {
        Effect::Send(_, message) => match &message.body {
            ReplicationBody::AppendAnswer(answer) => Some(answer.clone()),
            _ => None,
        },
        _ => None,
    });
    let expected = AppendAnswer { sent_at: Instant::from_millis(7), success: false, matched: LogIndex(1) };
    assert_eq!(answer, Some(expected));
    assert_eq!(node.core.log.commit, LogIndex(0));
}
