//! Runs a stand-in database group as a process: prints the databases' addresses and runs until interrupted.

use {
    clap::{Arg, Command, value_parser},
    cumincart_protocol::name::{DomainName, ServiceName},
    cumincart_standin::{group::Group, settings::GroupSettings},
    std::{sync::Arc, time::Duration},
};

fn command() -> Command {
    Command::new("cumincart-standin")
        .about("Runs a stand-in database group on 127.0.0.1")
        .arg(Arg::new("service").long("service").default_value("service").help("The service's name"))
        .arg(
            Arg::new("domain")
                .long("domain")
                .num_args(1..)
                .default_values(["a", "b", "c"])
                .help("The failure domain of each database; the first one is the primary's"),
        )
        .arg(
            Arg::new("port")
                .long("port")
                .default_value("0")
                .value_parser(value_parser!(u16))
                .help("The first database's port, the others follow; 0 takes free ones"),
        )
        .arg(
            Arg::new("lag-ms")
                .long("lag-ms")
                .default_value("20")
                .value_parser(value_parser!(u64))
                .help("Replication lag in milliseconds"),
        )
        .arg(
            Arg::new("announce-to")
                .long("announce-to")
                .num_args(0..)
                .help("Base URLs of control instances, such as http://127.0.0.1:7000"),
        )
        .arg(
            Arg::new("load").long("load").num_args(0..).help("Statements to run on the primary at the start"),
        )
}

fn settings(arguments: &clap::ArgMatches) -> GroupSettings {
    let strings = |name: &str| arguments.get_many::<String>(name).into_iter().flatten();
    let domains: Vec<_> = strings("domain").map(|domain| DomainName::from(domain.as_str())).collect();
    let service = strings("service").next().map_or("service", String::as_str);
    let mut settings = GroupSettings::new(ServiceName::from(service), &domains);
    settings.lag = Duration::from_millis(arguments.get_one("lag-ms").copied().unwrap_or_default());
    settings.announce_to = strings("announce-to").map(|url| Arc::from(url.as_str())).collect();
    settings.recording = false;
    let first_port: u16 = arguments.get_one("port").copied().unwrap_or_default();
    if first_port != 0 {
        for (database, port) in settings.databases.iter_mut().zip(first_port..) {
            database.port = port;
        }
    }
    settings
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let arguments = command().get_matches();
    let group = Group::spawn(settings(&arguments)).await?;
    for sql in arguments.get_many::<String>("load").into_iter().flatten() {
        group.execute_on_primary(sql, Vec::new())?;
    }
    for database in group.databases() {
        println!("{} {}", database.endpoint(), database.address());
    }
    let interrupted = tokio::signal::ctrl_c().await;
    drop(group);
    interrupted.map_err(|error| miette::miette!("can't wait for the interrupt: {error}"))
}
