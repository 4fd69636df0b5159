//! Fuzz tests of the parsers: no input may make them panic, and no nesting may overflow their stack.

use {
    cumincart_config::{
        Source, parse_lists,
        settings::{parse_control_settings, parse_entry_settings},
    },
    proptest::{
        collection::vec,
        prelude::{Just, Strategy, any, prop_oneof},
        test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner},
    },
    std::path::Path,
};

/// The fixed seed of every run. Running a failed test again reproduces the failure.
const SEED: u64 = 20_261_204;

const CASES: u32 = 1_000;

const VALID_PLANS: &str = r#"{"services": [{"name": "pbx", "routes": [{"name": "r", "access": "read",
    "statement": {"sql": "select $1 /* $2 */ '$3'", "parameters": ["organisation"]}}]}],
    "plans": [{"name": "p", "rate_per_s": 1.5, "burst": 2, "routes": [{"service": "pbx", "route": "r"}]}]}"#;

fn run<T: std::fmt::Debug>(strategy: impl Strategy<Value = T>, check: impl Fn(T)) {
    println!("seed {SEED}");
    let config = Config {
        cases: CASES,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&strategy, |value| {
        check(value);
        Ok::<(), TestCaseError>(())
    });
    result.expect("no input makes the parsers panic");
}

/// Parses a text with all parsers. If a parser rejects it, it must report problems at positions inside the text.
fn parse_all(text: &str) {
    let source = Source::new("fuzz", text);
    let lists =
        [parse_lists(&source, &source).err(), parse_lists(&source, &Source::new("plans", VALID_PLANS)).err()];
    let settings = [
        parse_entry_settings(&source, Path::new("")).err(),
        parse_control_settings(&source, Path::new("")).err(),
    ];
    for error in lists.into_iter().chain(settings).flatten() {
        assert!(!error.problems().is_empty());
        let inside = |problem: &cumincart_config::Problem| {
            problem.span.offset() + problem.span.len() <= problem.source.inner().len()
        };
        assert!(error.problems().iter().all(inside));
        let report = format!("{:?}", miette::Report::new(error));
        assert!(report.contains("cumincart::config::"));
    }
}

#[test]
fn any_bytes_are_accepted_or_rejected() {
    run(vec(any::<u8>(), 0..200), |bytes| parse_all(&String::from_utf8_lossy(&bytes)));
}

#[test]
fn any_sequence_of_json_tokens_is_accepted_or_rejected() {
    let token = prop_oneof![
        Just("{"),
        Just("}"),
        Just("["),
        Just("]"),
        Just(":"),
        Just(","),
        Just("\"name\""),
        Just("\"plans\""),
        Just("\"services\""),
        Just("\"routes\""),
        Just("\"statement\""),
        Just("\"sql\""),
        Just("\"$1 $$ '\""),
        Just("1"),
        Just("-1e400"),
        Just("null"),
        Just("true"),
        Just("// \n"),
        Just("/* "),
        Just("\"\\ud800\""),
        Just("\"é\""),
    ];
    run(vec(token, 0..60), |tokens| parse_all(&tokens.concat()));
}

#[test]
fn a_valid_list_with_some_bytes_changed_is_accepted_or_rejected() {
    let change = (0..VALID_PLANS.len(), any::<u8>());
    run(vec(change, 1..6), |changes| {
        let mut bytes = VALID_PLANS.as_bytes().to_vec();
        for (index, byte) in changes {
            bytes[index] = byte;
        }
        parse_all(&String::from_utf8_lossy(&bytes));
    });
}

#[test]
fn any_sql_is_accepted_or_rejected() {
    let piece = prop_oneof![
        Just("$1"),
        Just("$"),
        Just("$$"),
        Just("$a$"),
        Just("'"),
        Just("\\\""),
        Just("--"),
        Just("/*"),
        Just("*/"),
        Just("\\n"),
        Just("é"),
        Just("$99999999999"),
        Just(" "),
        Just("a"),
    ];
    run(vec(piece, 0..30), |pieces| {
        parse_all(&VALID_PLANS.replace("select $1 /* $2 */ '$3'", &pieces.concat()));
    });
}

#[test]
fn deep_nesting_is_rejected() {
    const DEPTH: usize = 100_000;
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        parse_all(&open.repeat(DEPTH));
        parse_all(&format!("{}1{}", open.repeat(DEPTH), close.repeat(DEPTH)));
        parse_all(&format!("{{\"organisations\": {}{}}}", open.repeat(500), close.repeat(500)));
    }
}
