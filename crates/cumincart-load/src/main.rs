//! The load tool as a process.

use {
    clap::{Arg, Command, value_parser},
    cumincart_load::experiment,
    std::path::PathBuf,
};

fn command() -> Command {
    Command::new("cumincart-load")
        .about("Load and experiments with named measures and plots")
        .subcommand_required(true)
        .subcommand(
            Command::new("experiment")
                .about("Runs an experiment beside its baseline and prints its measures")
                .arg(Arg::new("name").required(true).help("The experiment").value_parser(experiment::NAMES))
                .arg(
                    Arg::new("deployment")
                        .long("deployment")
                        .default_value("telvara")
                        .value_parser(experiment::DEPLOYMENTS)
                        .help("Whose sizes and lists to use"),
                )
                .arg(
                    Arg::new("seed")
                        .long("seed")
                        .default_value("1")
                        .value_parser(value_parser!(u64))
                        .help("Fixes arrivals and choices"),
                )
                .arg(
                    Arg::new("out")
                        .long("out")
                        .value_parser(value_parser!(PathBuf))
                        .help("The folder for the JSON report and the SVG plots"),
                ),
        )
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = command().get_matches();
    let Some(("experiment", arguments)) = arguments.subcommand() else { return Ok(()) };
    let name = arguments.get_one::<String>("name").map_or("", String::as_str);
    let seed = arguments.get_one("seed").copied().unwrap_or(1);
    let deployment = arguments.get_one::<String>("deployment").map_or("", String::as_str);
    let report = experiment::run(name, deployment, seed).await?;
    print!("{report}");
    if let Some(folder) = arguments.get_one::<PathBuf>("out") {
        report.write(folder)?;
    }
    Ok(())
}
