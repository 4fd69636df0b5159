//! Runs the scripts in `scenarios/` and compares their output. `docs/operators/scenarios.md` documents the commands.

use {
    cumincart_history::{
        checkers::{Guarantee, check_all},
        history::{ClientOperation, History, RequestOutcome},
        simulation::{Cut, Fault, Simulation},
    },
    cumincart_protocol::time::Instant,
    std::{error::Error, fmt::Write, path::Path, time::Duration},
    test_case::test_case,
};

type TestResult<T> = Result<T, Box<dyn Error>>;

/// Runs one script.
#[derive(Default)]
struct Runner {
    simulation: Option<Simulation>,
}

impl Runner {
    fn simulation(&mut self) -> TestResult<&mut Simulation> {
        self.simulation.as_mut().ok_or_else(|| "begin with `start seed=N`".into())
    }

    fn leader(&mut self) -> TestResult<usize> {
        self.simulation()?.leader().ok_or_else(|| "there is no control leader".into())
    }

    fn primary_changes(&mut self, service: usize) -> TestResult<String> {
        let history = self.simulation()?.history();
        let terms = history.terms.iter().filter(|term| term.service == service).count();
        Ok(format!("{}\n", terms.saturating_sub(1)))
    }

    fn fault(&mut self, fault: Fault, ms: u64) -> TestResult<()> {
        self.simulation()?.inject(fault, Duration::from_millis(ms));
        Ok(())
    }
}

/// The script commands. Instances, failure domains, endpoints and keys are numbered from 0.
#[derive(goldenscript::Command)]
enum Command {
    /// Starts a simulation without random faults.
    Start {
        #[arg(key)]
        seed: u64,
    },
    /// Advances the virtual clock.
    Run {
        #[arg(key)]
        ms: u64,
    },
    /// Isolates a failure domain from the others.
    CutDomain {
        #[arg(key)]
        domain: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Drops all messages in one direction between two failure domains.
    CutOneWay {
        #[arg(key)]
        from: usize,
        #[arg(key)]
        to: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Kills an entry instance.
    KillEntry {
        #[arg(key)]
        entry: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Requests a planned stop of an entry instance.
    StopEntry {
        #[arg(key)]
        entry: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Kills a control instance.
    KillControl {
        #[arg(key)]
        control: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Replaces the disk of a control instance with an empty one.
    LoseControlDisk {
        #[arg(key)]
        control: usize,
    },
    /// Kills the control leader.
    KillLeader {
        #[arg(key)]
        ms: u64,
    },
    /// Freezes the process of the control leader.
    FreezeLeader {
        #[arg(key)]
        ms: u64,
    },
    /// Crashes a service's primary.
    CrashPrimary {
        #[arg(key)]
        service: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Increases an endpoint's replication lag.
    LagEndpoint {
        #[arg(key)]
        endpoint: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Takes a failure domain out of service.
    TakeDomainOut {
        #[arg(key)]
        domain: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Withdraws a key.
    WithdrawKey {
        #[arg(key)]
        key: usize,
        #[arg(key)]
        ms: u64,
    },
    /// Makes two operators apply lists on the same base revision.
    RaceOperators,
    /// Prints the number of primary changes of a service.
    PrimaryChanges {
        #[arg(key)]
        service: usize,
    },
    /// Prints whether all gaps between acknowledged writes of a service are shorter than a limit.
    WritePause {
        #[arg(key)]
        service: usize,
        #[arg(key)]
        limit_ms: u64,
    },
    /// Ends the simulation and prints the violations.
    Check,
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> TestResult<String> {
        match *command {
            Command::Start { seed } => self.simulation = Some(Simulation::without_faults(seed, None)),
            Command::Run { ms } => {
                let simulation = self.simulation()?;
                simulation.run_until(simulation.now() + Duration::from_millis(ms));
            }
            Command::CutDomain { domain, ms } => self.fault(Fault::CutDomain(domain), ms)?,
            Command::CutOneWay { from, to, ms } => self.fault(Fault::CutOneWay(Cut { from, to }), ms)?,
            Command::KillEntry { entry, ms } => self.fault(Fault::KillEntry(entry), ms)?,
            Command::StopEntry { entry, ms } => self.fault(Fault::StopEntry(entry), ms)?,
            Command::KillControl { control, ms } => self.fault(Fault::KillControl(control), ms)?,
            Command::LoseControlDisk { control } => self.fault(Fault::LoseControlDisk(control), 0)?,
            Command::KillLeader { ms } => {
                let leader = self.leader()?;
                self.fault(Fault::KillControl(leader), ms)?;
            }
            Command::FreezeLeader { ms } => {
                let leader = self.leader()?;
                self.fault(Fault::FreezeControl(leader), ms)?;
            }
            Command::CrashPrimary { service, ms } => {
                let primary = self.simulation()?.primary_of(service).ok_or("there is no primary")?;
                self.fault(Fault::CrashEndpoint(primary), ms)?;
            }
            Command::LagEndpoint { endpoint, ms } => self.fault(Fault::LagEndpoint(endpoint), ms)?,
            Command::TakeDomainOut { domain, ms } => self.fault(Fault::TakeDomainOut(domain), ms)?,
            Command::WithdrawKey { key, ms } => self.fault(Fault::WithdrawKey(key), ms)?,
            Command::RaceOperators => self.simulation()?.race_operators(),
            Command::PrimaryChanges { service } => return self.primary_changes(service),
            Command::WritePause { service, limit_ms } => {
                return Ok(write_pause(self.simulation()?.history(), service, limit_ms));
            }
            Command::Check => return self.check(),
        }
        Ok(String::new())
    }
}

impl Runner {
    fn check(&mut self) -> TestResult<String> {
        let simulation = self.simulation.take().ok_or("begin with `start seed=N`")?;
        let history = simulation.into_history();
        let violations = check_all(&history);
        // The liveness check expects a run of fixed length with random faults, which a scenario is not.
        let broken: Vec<_> = violations.iter().filter(|one| one.guarantee != Guarantee::Liveness).collect();
        if broken.is_empty() {
            return Ok("every promise holds\n".to_owned());
        }
        let mut text = String::new();
        for violation in broken {
            writeln!(text, "{:?}: {}", violation.guarantee, violation.details)?;
        }
        Ok(text)
    }
}

/// Reports whether the longest gap between two acknowledged writes of a service is below a limit.
fn write_pause(history: &History, service: usize, limit_ms: u64) -> String {
    let acknowledged = history.requests.iter().filter(|request| {
        let is_write =
            matches!(request.operation, ClientOperation::Put { .. } | ClientOperation::Record { .. });
        is_write
            && request.service == service
            && matches!(request.outcome, Some(RequestOutcome::Answered { .. }))
    });
    let mut times: Vec<Instant> = acknowledged.filter_map(|request| request.answered_at).collect();
    times.sort_unstable();
    let longest = times.windows(2).map(|pair| pair[1].saturating_since(pair[0])).max().unwrap_or_default();
    if longest < Duration::from_millis(limit_ms) {
        return format!("always less than {limit_ms} ms between two acknowledged writes\n");
    }
    format!("{} ms without an acknowledged write, limit {limit_ms} ms\n", longest.as_millis())
}

#[test_case("accepted-then-restarted")]
#[test_case("control-instance-isolated-for-long")]
#[test_case("entry-instance-dies-in-transactions")]
#[test_case("failure-domain-cut-off-and-out")]
#[test_case("failure-domain-out-and-in-twice")]
#[test_case("key-withdrawn-during-a-cut")]
#[test_case("leader-frozen-with-old-leases")]
#[test_case("operators-race")]
#[test_case("primary-cut-off-with-its-domain")]
#[test_case("primary-dies")]
#[test_case("primary-dies-twice")]
#[test_case("replica-falls-behind")]
#[test_case("second-loss-after-a-repair")]
#[test_case("every-control-disk-lost-in-turn")]
#[test_case("rolling-restart")]
fn scenario_output_matches(name: &str) -> TestResult<()> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    Ok(goldenscript::run(&mut Runner::default(), path)?)
}
