//! The command line of the load tool.

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    cumincart_load::{
        experiment,
        report::Report,
        run::{self, Argument, RunSettings},
    },
    miette::IntoDiagnostic,
    std::{path::PathBuf, sync::Arc, time::Duration},
};

fn command() -> Command {
    Command::new("cumincart-load")
        .about("Load and experiments with named measures and plots")
        .subcommand_required(true)
        .subcommand(experiment_command())
        .subcommand(run_command())
}

fn experiment_command() -> Command {
    Command::new("experiment")
        .about("Runs an experiment beside its baseline and prints its measures")
        .arg(Arg::new("name").required(true).value_parser(experiment::NAMES).help("The experiment"))
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .default_value("telvara")
                .value_parser(experiment::DEPLOYMENTS)
                .help("Whose sizes and lists to use"),
        )
        .args(common_arguments())
}

fn run_command() -> Command {
    let text = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(f64)).help(help)
    };
    Command::new("run")
        .about("Sends one route's requests to given entry instances and prints what became of them")
        .arg(
            text("entry", "An entry instance's base URL; may come several times")
                .required(true)
                .action(ArgAction::Append),
        )
        .arg(text("service", "The service").required(true))
        .arg(text("route", "The route").required(true))
        .arg(text("argument", "name=value; {id} stands for the request's id").action(ArgAction::Append))
        .arg(
            text("key-file", "The file with the key, unless the route is open")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(text("request-ids", "Give each request an id of its own").action(ArgAction::SetTrue))
        .arg(text("process", "The id of a process whose processor time to tell"))
        .arg(number("rate", "100", "Requests a second"))
        .arg(number("span-s", "10", "How long, in seconds"))
        .args(common_arguments())
}

fn common_arguments() -> [Arg; 2] {
    [
        Arg::new("seed")
            .long("seed")
            .default_value("1")
            .value_parser(value_parser!(u64))
            .help("Fixes arrivals and choices"),
        Arg::new("out")
            .long("out")
            .value_parser(value_parser!(PathBuf))
            .help("The folder for the JSON report and the SVG plots"),
    ]
}

fn string(matches: &ArgMatches, name: &str) -> Option<Arc<str>> {
    matches.get_one::<String>(name).map(|text| text.as_str().into())
}

fn strings<'a>(matches: &'a ArgMatches, name: &str) -> impl Iterator<Item = &'a str> {
    matches.get_many::<String>(name).into_iter().flatten().map(String::as_str)
}

fn seed(matches: &ArgMatches) -> u64 {
    matches.get_one("seed").copied().unwrap_or(1)
}

fn run_settings(matches: &ArgMatches) -> miette::Result<RunSettings> {
    let number = |name: &str| matches.get_one::<f64>(name).copied().unwrap_or_default();
    let key = match matches.get_one::<PathBuf>("key-file") {
        Some(path) => Some(std::fs::read_to_string(path).into_diagnostic()?.trim().into()),
        None => None,
    };
    let arguments = strings(matches, "argument").filter_map(|text| text.split_once('='));
    Ok(RunSettings {
        entries: strings(matches, "entry").map(Arc::from).collect(),
        key,
        service: string(matches, "service").unwrap_or_default(),
        route: string(matches, "route").unwrap_or_default(),
        arguments: arguments
            .map(|(name, value)| Argument { name: name.into(), value: value.into() })
            .collect(),
        request_ids: matches.get_flag("request-ids"),
        rate_per_s: number("rate"),
        span: Duration::from_secs_f64(number("span-s")),
        seed: seed(matches),
        process: string(matches, "process"),
    })
}

async fn report(name: &str, matches: &ArgMatches) -> miette::Result<Report> {
    if name == "run" {
        return run::run(&run_settings(matches)?).await.into_diagnostic();
    }
    let experiment = string(matches, "name").unwrap_or_default();
    let deployment = string(matches, "deployment").unwrap_or_default();
    Ok(experiment::run(&experiment, &deployment, seed(matches)).await?)
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else { return Ok(()) };
    let report = report(name, matches).await?;
    print!("{report}");
    if let Some(folder) = matches.get_one::<PathBuf>("out") {
        report.write(folder)?;
    }
    Ok(())
}
