//! The examples must be valid and complete, and match their README.

use {
    cumincart_config::{Source, parse_lists, read_control_settings, read_entry_settings},
    cumincart_protocol::lists::Lists,
    sha2::{Digest, Sha256},
    std::{fs, path::PathBuf},
    test_case::test_case,
};

fn folder(deployment: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "..", "..", "examples", deployment].iter().collect()
}

fn lists(deployment: &str) -> Lists {
    let read = |name| Source::read(&folder(deployment).join(name)).expect("the example can be read");
    parse_lists(&read("organisations.jsonc"), &read("plans.jsonc"))
        .map_err(|error| format!("{:?}", miette::Report::new(error)))
        .expect("the example is valid")
}

#[test_case("telvara", "pbx-organisations"; "telvara")]
#[test_case("association", "listings-ledger"; "association")]
fn the_lists_are_valid_and_have_the_deployments_sizes(deployment: &str, service: &str) {
    let lists = lists(deployment);
    let services: Vec<&str> = lists.plans.services.iter().map(|service| service.name.as_str()).collect();
    assert_eq!(services, [1, 2, 3].map(|number| format!("{service}-{number}")));
    assert_eq!(lists.organisations.organisations.len(), 8);
    for service in &lists.plans.services {
        assert!(service.routes.iter().any(|route| route.open));
        assert!(service.routes.iter().any(|route| route.transaction));
        assert!(service.routes.iter().any(|route| !route.repeatable && route.replicated));
        assert!(service.routes.iter().any(|route| route.max_staleness_ms > 0));
    }
}

#[test_case("telvara", "sofia-a"; "telvara")]
#[test_case("association", "pl-quay"; "association")]
fn the_settings_are_valid(deployment: &str, domain: &str) {
    let entry = read_entry_settings(&folder(deployment).join("entry.jsonc")).expect("the example is valid");
    let control =
        read_control_settings(&folder(deployment).join("control.jsonc")).expect("the example is valid");
    assert_eq!((entry.domain.as_str(), control.domain.as_str()), (domain, domain));
    let members: Vec<_> = control.members.iter().map(|member| member.peer_address.clone()).collect();
    assert_eq!(entry.control_addresses, members);
}

/// Compares the rows `| organisation | key id | `key` |` of the README's table with the digests in the list.
#[test_case("telvara"; "telvara")]
#[test_case("association"; "association")]
fn the_readmes_keys_match_the_digests_of_the_list(deployment: &str) {
    let text = fs::read_to_string(folder(deployment).join("README.md")).expect("the README can be read");
    let row = |line: &str| {
        let (ids, key) = line.strip_suffix("` |")?.split_once("| `")?;
        Some((ids.trim_matches(['|', ' ']).replace(" | ", "/"), hex::encode(Sha256::digest(key))))
    };
    let mut documented: Vec<_> = text.lines().filter_map(row).collect();
    let mut listed: Vec<_> = lists(deployment)
        .organisations
        .organisations
        .iter()
        .flat_map(|organisation| {
            organisation
                .keys
                .iter()
                .map(|key| (format!("{}/{}", organisation.name, key.id.as_str()), key.sha256.to_string()))
        })
        .collect();
    documented.sort();
    listed.sort();
    assert_eq!(documented, listed);
}
