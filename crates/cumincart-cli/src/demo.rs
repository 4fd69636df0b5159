//! The demo, which runs a small fleet in one process.

mod checks;
mod context;

use {
    crate::{error::CliError, exit, report::Report},
    context::{CheckContext, KEY, SERVICE},
    cumincart_fleet::{Deployment, Fleet, FleetOptions, fleet::OPERATOR_TOKEN},
    cumincart_runtime::{logging, signal},
    std::fmt::Write,
};

pub use checks::{CheckOutcome, InjectedFault};

/// The options of the demo.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemoOptions {
    /// Whether to run the scripted checks and exit.
    pub check: bool,
    /// A fault that breaks a promise, so that its check must fail.
    pub injected_fault: Option<InjectedFault>,
}

/// Runs the demo until it is interrupted or, with `check`, until all checks have run.
pub async fn run(options: DemoOptions) -> Result<Report, CliError> {
    let fleet = Fleet::spawn(Deployment::telvara(), FleetOptions::new(logging::discard())).await?;
    if options.check {
        let mut context = CheckContext { fleet, injected_fault: options.injected_fault };
        return Ok(report(&checks::run_all(&mut context).await?));
    }
    print!("{}", introduction(&fleet));
    signal::stop_requested().await.map_err(CliError::Signal)?;
    Ok(Report::success("", &()))
}

fn report(outcomes: &[CheckOutcome]) -> Report {
    let mut text = String::new();
    for outcome in outcomes {
        let word = if outcome.holds { "holds" } else { "FAILS" };
        writeln!(text, "{word}  {:<44} {}", outcome.promise, outcome.figure)
            .expect("writing to a string cannot fail");
    }
    let holds = outcomes.iter().all(|outcome| outcome.holds);
    let code = if holds { exit::SUCCESS } else { exit::FAILED };
    Report::success(text, &outcomes).with_code(code)
}

/// Returns the addresses of the instances and example shell commands.
fn introduction(fleet: &Fleet) -> String {
    let mut text =
        format!("The fleet of `{}` is running in this process.\n\nEntry instances:\n", fleet.deployment.name);
    for entry in &fleet.entries {
        let line = format!("  {:<24} {:<12} {}\n", entry.options.instance, entry.options.domain, entry.url());
        text.push_str(&line);
    }
    text.push_str("\nControl instances:\n");
    for (control, url) in fleet.controls.iter().zip(fleet.control_urls()) {
        let line = format!("  {:<24} {:<12} {url}\n", control.options.instance, control.options.domain);
        text.push_str(&line);
    }
    text.push_str(&examples(fleet));
    text
}

fn examples(fleet: &Fleet) -> String {
    let first = fleet.entries[0].url();
    let last = fleet.entries[fleet.entries.len() - 1].url();
    let control = &fleet.control_urls()[0];
    format!(
        "
Write through one entry instance, then read the value through another with the session token from the write response:

  curl -si {first}/v1/{SERVICE}/save-rule -H 'Authorization: Bearer {KEY}' \\
      -d '{{\"arguments\": {{\"number\": \"100\", \"target\": \"desk-1\"}}}}'
  curl -s {last}/v1/{SERVICE}/call-setup -H 'Authorization: Bearer {KEY}' \\
      -H 'Cumincart-Session: PASTE-THE-TOKEN' -d '{{\"arguments\": {{\"number\": \"100\"}}}}'

Inspect an entry instance, and the state confirmed by a quorum of control instances (only the control leader serves this
request):

  curl -s {first}/metrics
  curl -s {first}/dump -H 'Authorization: Bearer {OPERATOR_TOKEN}'
  curl -s {control}/v1/status -H 'Authorization: Bearer {OPERATOR_TOKEN}'

Press Ctrl-C to stop.
"
    )
}
