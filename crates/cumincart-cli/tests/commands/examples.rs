//! Tests that every example of every command runs and returns its documented exit code.

use {
    super::fake_control::{FakeControl, Files},
    cumincart_cli::commands::{COMMANDS, root},
    std::path::PathBuf,
};

#[tokio::test]
async fn every_example_returns_its_exit_code() {
    let control = FakeControl::bind(|_| None).await;
    let files = Files::write();
    let examples: PathBuf = [env!("CARGO_MANIFEST_DIR"), "..", "..", "examples"].iter().collect();
    for example in COMMANDS.iter().flat_map(|entry| entry.examples) {
        let arguments = example
            .arguments
            .replace("examples/", &format!("{}/", examples.display()))
            .replace("secrets/operator-token", "FILES/token")
            .replace("http://10.10.1.10:8090", &control.url)
            .replace("http://10.10.2.10:8090", &control.url)
            .replace("http://10.10.1.11:8080", &control.url);
        let output = files.run(&arguments).await;
        assert_eq!(output.code, example.code, "{}\n{}", example.arguments, output.stderr);
        assert!(!output.stdout.is_empty(), "{}", example.arguments);
    }
}

#[test]
fn the_signature_is_valid_and_every_command_but_the_demo_has_examples() {
    root().debug_assert();
    let without: Vec<String> = COMMANDS
        .iter()
        .filter(|entry| entry.examples.is_empty())
        .map(|entry| (entry.signature)().get_name().to_owned())
        .collect();
    assert_eq!(without, ["demo"]);
}
