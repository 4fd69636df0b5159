//! Updates of the list of entry instances.

use {
    cumincart_protocol::{
        heartbeat::InstanceEntry,
        instances::{InstancesUpdate, digest},
        number::Incarnation,
        sorted::SortedVec,
    },
    proptest::prelude::*,
};

fn entry((name, incarnation): (u8, u64)) -> InstanceEntry {
    InstanceEntry {
        name: format!("entry-{name}").as_str().into(),
        incarnation: Incarnation(incarnation),
        domain: "quay".into(),
        peer_address: format!("10.0.0.{name}:1").into(),
    }
}

fn lists() -> impl Strategy<Value = SortedVec<InstanceEntry>> {
    let items = prop::collection::vec((0_u8..20, 1_u64..4), 0..20);
    items.prop_map(|items| items.into_iter().map(entry).collect())
}

proptest! {
    #[test]
    fn changes_turn_one_list_into_the_other(from in lists(), to in lists()) {
        let mut instances = from.clone();
        InstancesUpdate::between(&from, &to).apply(&mut instances);
        prop_assert_eq!(&instances, &to);
        prop_assert_eq!(digest(&instances), digest(&to));
    }

    #[test]
    fn digests_are_equal_only_for_equal_lists(one in lists(), other in lists()) {
        prop_assert_eq!(digest(&one) == digest(&other), one == other);
    }
}

#[test]
fn a_restart_of_one_instance_updates_one_entry() {
    let before: SortedVec<InstanceEntry> = (0..60).map(|name| entry((name, 1))).collect();
    let mut after = before.clone();
    after.insert(entry((7, 2)));
    let update = InstancesUpdate::between(&before, &after);
    assert_eq!(update, InstancesUpdate::Changes { ended: Vec::new(), joined: vec![entry((7, 2))] });
}
