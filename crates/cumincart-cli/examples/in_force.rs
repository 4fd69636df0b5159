//! Measures how long `apply --wait` takes until an edit of the lists is in force everywhere, with three control and
//! six entry instances in one process.
//!
//! `cargo run --release -p cumincart-cli --example in_force -- EDITS`

use {
    cumincart_cli::{execute, exit},
    cumincart_fleet::{Deployment, Fleet, FleetOptions, fleet::OPERATOR_TOKEN},
    cumincart_runtime::logging,
    std::{env, error::Error, ffi::OsString, fs, time::Instant},
    tempfile::TempDir,
};

const DEFAULT_EDITS: usize = 50;

/// The key that the edits alternately withdraw and add again.
const KEY_ID: &str = "\"trakia-taxi-2026\"";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let edits = env::args().nth(1).map_or(Ok(DEFAULT_EDITS), |text| text.parse())?;
    let fleet = Fleet::spawn(Deployment::telvara(), FleetOptions::new(logging::discard())).await?;
    let folder = TempDir::new()?;
    let file = |name: &str| folder.path().join(name);
    fs::write(file("token"), OPERATOR_TOKEN)?;
    fs::write(file("plans"), &*fleet.deployment.plans)?;
    let line = format!(
        "cumincart apply --wait --organisations {} --plans {} --token-file {} --control {}",
        file("organisations").display(),
        file("plans").display(),
        file("token").display(),
        fleet.control_urls().join(",")
    );
    let whole = fleet.deployment.organisations.to_string();
    let without_key: String =
        whole.lines().filter(|line| !line.contains(KEY_ID)).map(|line| format!("{line}\n")).collect();
    let mut waited_ms = Vec::with_capacity(edits);
    for edit in 0..edits {
        fs::write(file("organisations"), if edit % 2 == 0 { &without_key } else { &whole })?;
        let started = Instant::now();
        let output = execute(line.split(' ').map(OsString::from)).await;
        waited_ms.push(started.elapsed().as_millis());
        if output.code != exit::SUCCESS {
            return Err(format!("edit {edit}: {output:?}").into());
        }
    }
    let first_ms = waited_ms[0];
    waited_ms.sort_unstable();
    let at = |per_cent: usize| waited_ms[(edits - 1) * per_cent / 100];
    println!(
        "{edits} edits in force everywhere: median {} ms, p99 {} ms, greatest {} ms; the first {first_ms} ms",
        at(50),
        at(99),
        at(100)
    );
    Ok(())
}
