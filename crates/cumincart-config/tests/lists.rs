//! Validation of the two lists: accepted input, and the message of every kind of problem.

use {
    cumincart_config::{ConfigError, Source, parse_lists},
    cumincart_protocol::lists::{Access, Lists, ParameterSource},
    miette::Diagnostic,
    test_case::test_case,
};

const DIGEST_A: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
const DIGEST_B: &str = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb";

/// A list of organisations that is valid together with [`PLANS`].
const ORGANISATIONS: &str = r#"{"organisations": [{"name": "clinic", "plan": "small"}]}"#;

/// A list of plans with one service of two routes and one plan.
const PLANS: &str = r#"{
  // Comments and a comma after the last element are allowed.
  "services": [{"name": "pbx", "routes": [
    {"name": "rules", "access": "read", "max_staleness_ms": 500},
    {"name": "calls", "access": "write"},
  ]}],
  "plans": [
    {"name": "small", "rate_per_s": 10.5, "burst": 20, "routes": [{"service": "pbx", "route": "rules"}]},
  ],
}"#;

fn parse(organisations: &str, plans: &str) -> Result<Lists, ConfigError> {
    parse_lists(&Source::new("organisations.jsonc", organisations), &Source::new("plans.jsonc", plans))
}

/// Returns every problem as `code|message|help|invalid text`.
fn problems(organisations: &str, plans: &str) -> Vec<String> {
    let error = parse(organisations, plans).expect_err("the lists are invalid");
    let format_problem = |problem: &cumincart_config::Problem| {
        let text = problem.source.inner();
        let range = problem.span.offset()..problem.span.offset() + problem.span.len();
        let code = problem.code().expect("each problem has a code").to_string();
        let help = problem.help().expect("each problem has a help line").to_string();
        format!("{}|{problem}|{help}|{}", code.replace("cumincart::config::", ""), &text[range])
    };
    error.problems().iter().map(format_problem).collect()
}

fn plans_with_route(route: &str) -> String {
    format!(r#"{{"services": [{{"name": "pbx", "routes": [{route}]}}], "plans": []}}"#)
}

fn plans_with_plan(plan: &str) -> String {
    format!(
        r#"{{"services": [{{"name": "pbx", "routes": [{{"name": "rules", "access": "read"}}]}}], "plans": [{plan}]}}"#
    )
}

#[test]
fn valid_lists_are_read_with_defaults() {
    let lists = parse(ORGANISATIONS, PLANS).expect("the lists are valid");
    let routes = &lists.plans.services[0].routes;
    assert_eq!(
        (routes[0].access, routes[0].max_staleness_ms, routes[0].deadline_ms),
        (Access::Read, 500, 2_000)
    );
    assert!(!routes[1].repeatable && !routes[1].open && routes[1].statement.is_none());
    assert_eq!((lists.plans.plans[0].rate_per_s, lists.plans.plans[0].weight), (10.5, 1));
    assert!(lists.organisations.organisations[0].keys.is_empty());
}

#[test]
fn a_fixed_statement_binds_the_organisation_and_callers_values() {
    let plans = plans_with_route(
        r#"{"name": "r", "access": "read", "statement":
            {"sql": "select '$9', \"$8\", $$ $7 $$ /* $6 */ from t where o = $1 and n = $2 -- $5",
             "parameters": ["organisation", {"caller": "number"}]}}"#,
    );
    let lists = parse(r#"{"organisations": []}"#, &plans).expect("the lists are valid");
    let statement = lists.plans.services[0].routes[0].statement.as_ref().expect("there is a statement");
    let expected = [ParameterSource::Organisation, ParameterSource::Caller("number".into())];
    assert_eq!(statement.parameters, expected);
}

#[test_case(r"select E'it\\'s $2', $1"; "escape string")]
#[test_case(r"select e'\\\\', $1, '$2'"; "escaped backslash")]
#[test_case(r"select 'it''s $2', $1"; "doubled quote")]
#[test_case(r"select name'$2', $1"; "string after a word")]
#[test_case(r"select a$2, $1"; "dollar in a name")]
#[test_case(r"select $a$ $2 $$ $3 $a$, $1"; "dollar quotes with a tag")]
#[test_case(r"select $1 /* $2 /* $3 */ $4 */"; "nested comment")]
#[test_case(r"select $1 -- $2"; "comment to the end of the line")]
#[test_case(r"select 'é', $1::text"; "cast and characters beyond ASCII")]
fn only_parameters_outside_of_strings_names_and_comments_count(sql: &str) {
    let plans = plans_with_route(&format!(
        r#"{{"name": "r", "access": "read", "statement": {{"sql": "{sql}", "parameters": ["organisation"]}}}}"#
    ));
    let found = parse(r#"{"organisations": []}"#, &plans).map_err(|error| format!("{:?}", error.problems()));
    assert!(found.is_ok(), "{found:?}");
}

#[test]
fn the_schema_field_is_allowed_in_the_outermost_object() {
    let organisations = r#"{"$schema": "../schemas/organisations.schema.json", "organisations": []}"#;
    parse(organisations, PLANS).expect("the lists are valid");
}

#[test_case("{", "syntax|invalid JSON with comments: unterminated object|use strict JSON; comments and trailing commas are allowed|{"; "unterminated")]
#[test_case("", "syntax|invalid JSON with comments: the file is empty|use strict JSON; comments and trailing commas are allowed|"; "empty")]
#[test_case("{'organisations': []}", "syntax|invalid JSON with comments: single-quoted strings are not allowed|use strict JSON; comments and trailing commas are allowed|'"; "single quotes")]
#[test_case("[]", "type_mismatch|the list of organisations must be an object, but is an array|write an object here|[]"; "not an object")]
#[test_case(r#"{"organisations": {}}"#, "type_mismatch|`organisations` must be an array, but is an object|write an array here|{}"; "not an array")]
#[test_case("{}", "missing_field|missing field `organisations` in the list of organisations|add `\"organisations\": …` to this object|{"; "missing list")]
#[test_case(r#"{"organisations": [], "organisatons": []}"#, "unknown_field|unknown field `organisatons` in the list of organisations|did you mean `organisations`?|\"organisatons\""; "unknown field near a known one")]
#[test_case(r#"{"organisations": [], "organisations": []}"#, "repeated_field|duplicate field `organisations` in the list of organisations|keep one of the two|\"organisations\""; "repeated field")]
#[test_case(r#"{"organisations": [{"name": "clinic", "plan": "small", "colour": 1}]}"#, "unknown_field|unknown field `colour` in an organisation|the fields are `name`, `plan`, `keys`|\"colour\""; "unknown field")]
#[test_case(r#"{"organisations": [{"name": 5, "plan": "small"}]}"#, "type_mismatch|`name` must be a string, but is a number|write a string here|5"; "name not a string")]
#[test_case(r#"{"organisations": [{"name": "a clinic", "plan": "small"}]}"#, "bad_name|`a clinic` is not a valid name for an organisation|use 1 to 64 ASCII letters, digits, `-`, `_` and `.`|\"a clinic\""; "bad name")]
#[test_case(r#"{"organisations": [{"name": "", "plan": "small"}]}"#, "bad_name|`` is not a valid name for an organisation|use 1 to 64 ASCII letters, digits, `-`, `_` and `.`|\"\""; "empty name")]
#[test_case("{\"organisations\": [\n{\"name\": \"a\", \"plan\": \"small\"},\n{\"name\": \"a\", \"plan\": \"small\"}]}", "duplicate_name|the organisation `a` is declared twice|it was first declared on line 2: rename or remove one of the two|\"a\""; "duplicate organisation")]
#[test_case(r#"{"organisations": [{"name": "a", "plan": "smal"}]}"#, "unknown_plan|organisation `a` is on plan `smal`, which does not exist|did you mean `small`?|\"smal\""; "unknown plan near a known one")]
#[test_case(r#"{"organisations": [{"name": "a", "plan": "enterprise"}]}"#, "unknown_plan|organisation `a` is on plan `enterprise`, which does not exist|the plans are `small`|\"enterprise\""; "unknown plan")]
fn a_problem_in_the_organisations_is_reported(organisations: &str, expected: &str) {
    assert_eq!(problems(organisations, PLANS), [expected]);
}

#[test_case("K1", DIGEST_A, "k1", DIGEST_B, None; "two valid keys")]
#[test_case("k1", DIGEST_A, "k1", DIGEST_B, Some("duplicate_name|the key `k1` is declared twice|it was first declared on line 1: rename or remove one of the two|\"k1\""); "key id twice")]
#[test_case("k1", DIGEST_A, "k2", DIGEST_A, Some("duplicate_key|the key `k2` has the same digest as the key `k1` of organisation `a`|each key belongs to one organisation: create another with `cumincart key new`, or remove one of the two|\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\""); "digest twice")]
#[test_case("k1", DIGEST_A, "k2", "BB", Some("bad_digest|the digest of the key `k2` is not 64 lower-case hexadecimal digits|write the SHA-256 digest that `cumincart key new` printed, never the key itself|\"BB\""); "digest not hexadecimal")]
fn keys_are_unique_over_all_organisations(
    id_a: &str,
    digest_a: &str,
    id_b: &str,
    digest_b: &str,
    expected: Option<&str>,
) {
    let organisations = format!(
        r#"{{"organisations": [{{"name": "a", "plan": "small", "keys": [{{"id": "{id_a}", "sha256": "{digest_a}"}}]}}, {{"name": "b", "plan": "small", "keys": [{{"id": "{id_b}", "sha256": "{digest_b}"}}]}}]}}"#
    );
    match expected {
        None => assert!(parse(&organisations, PLANS).is_ok()),
        Some(expected) => assert_eq!(problems(&organisations, PLANS), [expected]),
    }
}

#[test_case(r#"{"name": "r", "access": "raed"}"#, "unknown_value|`raed` is not a valid value of `access`|did you mean `read`?|\"raed\""; "unknown access")]
#[test_case(r#"{"name": "r", "access": "read", "open": 1}"#, "type_mismatch|`open` must be true or false, but is a number|write true or false here|1"; "flag not a boolean")]
#[test_case(r#"{"name": "r", "access": "read", "deadline_ms": 0}"#, "out_of_range|`deadline_ms` must be a whole number from 1 to 600000, but is 0|leave the field out for the ordinary deadline of 2000 ms|0"; "deadline zero")]
#[test_case(r#"{"name": "r", "access": "read", "deadline_ms": 1.5}"#, "out_of_range|`deadline_ms` must be a whole number from 1 to 600000, but is 1.5|leave the field out for the ordinary deadline of 2000 ms|1.5"; "deadline not whole")]
#[test_case(r#"{"name": "r", "access": "read", "max_staleness_ms": -1}"#, "out_of_range|`max_staleness_ms` must be a whole number from 0 to 86400000, but is -1|0 makes the read see all that was acknowledged before it|-1"; "staleness negative")]
#[test_case(r#"{"name": "r", "access": "read", "transaction": true}"#, "route_conflict|route `r`: a read route can't allow transactions|set `access` to `write`, or remove `transaction`|true"; "transaction on a read")]
#[test_case(r#"{"name": "r", "access": "read", "replicated": true}"#, "route_conflict|route `r`: a read route has nothing to replicate|remove `replicated`|true"; "replicated read")]
#[test_case(r#"{"name": "r", "access": "write", "max_staleness_ms": 5}"#, "route_conflict|route `r`: a write route can't accept stale data|remove `max_staleness_ms`|5"; "staleness on a write")]
#[test_case(r#"{"name": "r", "access": "write", "open": true, "statement": {"sql": "select 1"}}"#, "route_conflict|route `r`: an open write route must be repeatable, because request ids of unrelated callers can collide|set `repeatable` to true if running it twice does no harm, or remove `open`|true"; "open write not repeatable")]
#[test_case(r#"{"name": "r", "access": "write", "open": true, "repeatable": true, "transaction": true, "statement": {"sql": "select 1"}}"#, "route_conflict|route `r`: an open route can't allow transactions|remove `transaction` or `open`|true"; "open transaction")]
#[test_case(r#"{"name": "r", "access": "read", "open": true}"#, "route_conflict|route `r`: an open route must have a fixed statement|add `statement`, or remove `open`|true"; "open without a statement")]
#[test_case(r#"{"name": "r", "access": "read", "open": true, "statement": {"sql": "select $1", "parameters": ["organisation"]}}"#, "route_conflict|route `r`: requests on an open route have no organisation to bind|remove the parameter `organisation`, or remove `open`|[\"organisation\"]"; "organisation on an open route")]
#[test_case(r#"{"name": "r", "access": "read", "statement": {"sql": "select $2, $1", "parameters": ["organisation"]}}"#, "undeclared_parameter|route `r`: the SQL uses `$2`, but the number of declared parameters is 1|add the value's source to `parameters`, or change the number in the SQL|\"select $2, $1\""; "parameter not declared")]
#[test_case(r#"{"name": "r", "access": "read", "statement": {"sql": "select 1", "parameters": ["organisation"]}}"#, "unused_parameter|route `r`: parameter 1 is declared, but the SQL does not use `$1`|use the parameter in the SQL, or remove it from `parameters`|[\"organisation\"]"; "parameter not used")]
#[test_case(r#"{"name": "r", "access": "read", "statement": {"sql": "select $1", "parameters": ["number"]}}"#, "unknown_value|`number` is not a valid value of a parameter|write \"organisation\", or {\"caller\": \"number\"} for a value from the caller|\"number\""; "parameter not a source")]
#[test_case(r#"{"name": "r", "access": "read", "statement": {"parameters": []}}"#, "missing_field|missing field `sql` in a statement|add `\"sql\": …` to this object|{"; "statement without SQL")]
#[test_case("{\"name\": \"r\", \"access\": \"read\"},\n{\"name\": \"r\", \"access\": \"read\"}", "duplicate_name|the route `r` is declared twice|it was first declared on line 1: rename or remove one of the two|\"r\""; "duplicate route")]
fn a_problem_in_a_route_is_reported(route: &str, expected: &str) {
    assert_eq!(problems(r#"{"organisations": []}"#, &plans_with_route(route)), [expected]);
}

#[test_case(r#"{"name": "p", "rate_per_s": -1, "burst": 1, "routes": []}"#, "out_of_range|`rate_per_s` must be a number from 0.001 to 1000000000, but is -1|to shut an organisation out, remove its keys or the routes of its plan|-1"; "rate negative")]
#[test_case(r#"{"name": "p", "rate_per_s": 1e999, "burst": 1, "routes": []}"#, "out_of_range|`rate_per_s` must be a number from 0.001 to 1000000000, but is 1e999|to shut an organisation out, remove its keys or the routes of its plan|1e999"; "rate not finite")]
#[test_case(r#"{"name": "p", "rate_per_s": 1, "burst": 0, "routes": []}"#, "out_of_range|`burst` must be a whole number from 1 to 1000000000, but is 0|a burst of 1 admits single requests only|0"; "burst zero")]
#[test_case(r#"{"name": "p", "rate_per_s": 1, "burst": -4, "routes": []}"#, "out_of_range|`burst` must be a whole number from 1 to 1000000000, but is -4|a burst of 1 admits single requests only|-4"; "burst negative")]
#[test_case(r#"{"name": "p", "rate_per_s": 1, "burst": 1, "weight": 0, "routes": []}"#, "out_of_range|`weight` must be a whole number from 1 to 1000, but is 0|1 is the ordinary weight; 2 gets twice the part of a busy endpoint|0"; "weight zero")]
#[test_case(r#"{"name": "p", "rate_per_s": 1, "routes": []}"#, "missing_field|missing field `burst` in a plan|add `\"burst\": …` to this object|{"; "burst missing")]
#[test_case(r#"{"name": "p", "rate_per_s": "1", "burst": 1, "routes": []}"#, "type_mismatch|`rate_per_s` must be a number, but is a string|write a number here|\"1\""; "rate not a number")]
#[test_case(r#"{"name": "p", "rate_per_s": 1, "burst": 1, "routes": [{"service": "pxb", "route": "rules"}]}"#, "unknown_service|plan `p` names service `pxb`, which does not exist|did you mean `pbx`?|\"pxb\""; "unknown service")]
#[test_case(r#"{"name": "p", "rate_per_s": 1, "burst": 1, "routes": [{"service": "pbx", "route": "records"}]}"#, "unknown_route|plan `p` names route `records`, which service `pbx` does not have|its routes are `rules`|\"records\""; "unknown route")]
#[test_case(r#"{"name": "p", "rate_per_s": 1, "burst": 1, "routes": [{"service": "pbx", "route": "rules"}, {"route": "rules", "service": "pbx"}]}"#, "repeated_route|plan `p` names route `rules` of service `pbx` twice|keep one of the two|{\"route\": \"rules\", \"service\": \"pbx\"}"; "route twice")]
#[test_case("{\"name\": \"p\", \"rate_per_s\": 1, \"burst\": 1, \"routes\": []},\n{\"name\": \"p\", \"rate_per_s\": 1, \"burst\": 1, \"routes\": []}", "duplicate_name|the plan `p` is declared twice|it was first declared on line 1: rename or remove one of the two|\"p\""; "duplicate plan")]
fn a_problem_in_a_plan_is_reported(plan: &str, expected: &str) {
    assert_eq!(problems(r#"{"organisations": []}"#, &plans_with_plan(plan)), [expected]);
}

#[test]
fn a_service_declared_twice_is_reported() {
    let plans =
        r#"{"services": [{"name": "pbx", "routes": []}, {"name": "pbx", "routes": []}], "plans": []}"#;
    let expected = "duplicate_name|the service `pbx` is declared twice|it was first declared on line 1: rename or remove one of the two|\"pbx\"";
    assert_eq!(problems(r#"{"organisations": []}"#, plans), [expected]);
}

#[test]
fn a_service_cannot_have_the_reserved_name() {
    let plans = r#"{"services": [{"name": "transactions", "routes": []}], "plans": []}"#;
    let expected = "reserved_name|a service can't be named `transactions`: callers end transactions under this name|choose another name for the service|\"transactions\"";
    assert_eq!(problems(r#"{"organisations": []}"#, plans), [expected]);
}

#[test]
fn every_problem_of_both_files_is_reported_at_once() {
    let organisations = r#"{"organisations": [
        {"name": "a b", "plan": "none", "keys": [{"id": "k", "sha256": "x"}]},
        {"plan": "p"}]}"#;
    let plans = r#"{"services": [{"name": "pbx", "routes": [{"name": "r", "access": "reed", "open": 3, "colour": 1}]}],
        "plans": [{"name": "p", "rate_per_s": -1, "burst": 0, "routes": [{"service": "pbx", "route": "q"}]}]}"#;
    let found = problems(organisations, plans);
    let codes: Vec<&str> = found.iter().map(|line| line.split('|').next().unwrap_or_default()).collect();
    let expected = [
        "bad_name",
        "unknown_plan",
        "bad_digest",
        "missing_field",
        "unknown_value",
        "type_mismatch",
        "unknown_field",
        "out_of_range",
        "out_of_range",
        "unknown_route",
    ];
    assert_eq!(codes, expected);
}

#[test]
fn plans_of_organisations_are_not_checked_if_the_list_of_plans_is_not_json() {
    let found = problems(ORGANISATIONS, "{");
    assert_eq!(found.len(), 1);
    assert!(found[0].starts_with("syntax|"));
}
