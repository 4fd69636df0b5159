//! Patches of configurations: applied to the old configuration, a patch must give the new one.

use {
    cumincart_protocol::{
        lists::{Consistency, Database, Lists, Organisation, Plan},
        patch::{ListsPatch, TextPatch},
        sorted::SortedVec,
    },
    proptest::prelude::*,
    test_case::test_case,
};

#[test_case("", ""; "both empty")]
#[test_case("abc", "abc"; "equal")]
#[test_case("aaaa", "aa"; "shorter with the same characters")]
#[test_case("aa", "aaaaa"; "longer with the same characters")]
#[test_case("x\u{e4}y", "x\u{e5}y"; "characters that share a byte")]
fn a_text_patch_gives_the_new_text(old: &str, new: &str) {
    let patch = TextPatch::between(old, new);
    assert_eq!(patch.apply(old).as_deref(), Some(new));
}

#[test]
fn a_small_edit_of_a_long_text_is_small() {
    let long = "route ".repeat(10_000);
    let edited = format!("{long}timeout 5 {long}");
    let patch = TextPatch::between(&format!("{long}timeout 7 {long}"), &edited);
    assert_eq!(&*patch.middle, "5");
}

#[test]
fn a_patch_that_does_not_fit_is_rejected() {
    let patch = TextPatch::between("abcdef", "abcxdef");
    assert_eq!(patch.apply("ab"), None);
}

fn organisation(number: u8, plan: u8) -> Organisation {
    Organisation {
        name: format!("organisation-{number}").into(),
        plan: format!("plan-{plan}").into(),
        keys: Vec::new(),
    }
}

fn plan(number: u8, burst: u32) -> Plan {
    Plan { name: format!("plan-{number}").into(), routes: Vec::new(), rate_per_s: 5.0, burst, weight: 1 }
}

fn database(number: u8, timeout_ms: u64) -> Database {
    Database {
        name: format!("database-{number}").into(),
        service: "ledger".into(),
        consistency: Consistency::Linearizable,
        statement_timeout_ms: timeout_ms,
        objective_ms: 500,
        priority: 1,
        open: false,
    }
}

fn lists() -> impl Strategy<Value = Lists> {
    let pairs = || prop::collection::btree_map(0_u8..12, 0_u8..4, 0..10);
    (pairs(), pairs(), pairs(), 0_u64..5_000).prop_map(|(organisations, plans, databases, idle_ms)| {
        let mut lists = Lists::default();
        lists.organisations.organisations =
            organisations.into_iter().map(|(number, plan)| organisation(number, plan)).collect();
        lists.plans.plans = plans.into_iter().map(|(number, burst)| plan(number, burst.into())).collect();
        lists.interactive.databases =
            databases.into_iter().map(|(number, ms)| database(number, ms.into())).collect();
        lists.interactive.idle_transaction_ms = idle_ms;
        lists
    })
}

fn sorted(lists: &Lists) -> (SortedVec<Organisation>, SortedVec<Plan>, SortedVec<Database>, u64) {
    (
        lists.organisations.organisations.iter().cloned().collect(),
        lists.plans.plans.iter().cloned().collect(),
        lists.interactive.databases.clone(),
        lists.interactive.idle_transaction_ms,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(61), ..ProptestConfig::with_cases(1_000) })]

    #[test]
    fn any_text_patch_gives_the_new_text(old in "[ab\u{e4}\u{1f600}]{0,12}", new in "[ab\u{e4}\u{1f600}]{0,12}") {
        let patch = TextPatch::between(&old, &new);
        let patched = patch.apply(&old);
        prop_assert_eq!(patched.as_deref(), Some(new.as_str()));
    }

    #[test]
    fn any_lists_patch_gives_the_new_lists(old in lists(), new in lists()) {
        let patch = ListsPatch::between(&old, &new);
        prop_assert_eq!(sorted(&patch.apply(&old)), sorted(&new));
    }
}
