//! `cumincart explain`: prints the log lines of one request from the logs of several processes, together with the lines
//! about state changes around that time.

use {
    super::Example,
    crate::{error::CliError, exit, report::Report},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    cumincart_runtime::logging::excerpt,
    serde::Serialize,
    serde_json::{Map, Value},
    std::{
        fs::File,
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        time::{Duration, SystemTime},
    },
};

/// The name of the command.
pub const NAME: &str = "explain";

const REQUEST: &str = "request";
const FILES: &str = "files";
const AROUND_MS: &str = "around-ms";

/// The examples in its help.
pub const EXAMPLES: &[Example] = &[Example {
    description: "Show the log lines of a request, and the state changes within a second of them",
    arguments: "explain 88997cdf9c28f93d examples/logs/entry-1.log examples/logs/control-1.log",
    code: exit::SUCCESS,
}];

/// Returns the signature of the command.
pub fn signature() -> Command {
    Command::new(NAME)
        .about("Show the log lines of one request from several processes, with the state changes around them")
        .arg(Arg::new(REQUEST).value_name("ID").required(true).help("The request id, as the client received it"))
        .arg(
            Arg::new(FILES)
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of entry and control instances in the JSON lines format, one per process"),
        )
        .arg(
            Arg::new(AROUND_MS)
                .long(AROUND_MS)
                .value_name("MS")
                .default_value("1000")
                .value_parser(value_parser!(u64))
                .help("The time before and after the request's lines for which state changes are shown, in milliseconds"),
        )
}

/// A log line in the timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct LogEntry {
    #[serde(skip)]
    timestamp: SystemTime,
    time: String,
    process: String,
    is_request: bool,
    fields: Map<String, Value>,
}

/// The merged log lines, as JSON.
#[derive(Debug, Default, Serialize)]
struct Timeline {
    entries: Vec<LogEntry>,
    /// The number of lines that are not valid log lines. A killed process can leave a truncated line.
    unreadable_lines: u64,
}

/// Runs the command. The exit code is 1 if no log contains the request.
pub fn run(matches: &ArgMatches) -> Result<Report, CliError> {
    let request: &String = matches.get_one(REQUEST).expect("clap requires it");
    let request = &*excerpt(request);
    let files: Vec<&PathBuf> = matches.get_many(FILES).into_iter().flatten().collect();
    let around = Duration::from_millis(*matches.get_one(AROUND_MS).expect("it has a default"));
    let mut timeline = Timeline::default();
    for path in &files {
        timeline.unreadable_lines += scan_log(path, |entry| {
            if entry.fields.get(REQUEST).and_then(Value::as_str) == Some(request) {
                timeline.entries.push(LogEntry { is_request: true, ..entry });
            }
        })?;
    }
    let first = timeline.entries.iter().map(|entry| entry.timestamp).min();
    let last = timeline.entries.iter().map(|entry| entry.timestamp).max();
    let (Some(first), Some(last)) = (first, last) else {
        let text = format!("no log contains the request {request}; {}", omitted_lines_hint());
        return Ok(Report::of_lines(&[text], &timeline).with_code(exit::FAILED));
    };
    let from = first.checked_sub(around).unwrap_or(SystemTime::UNIX_EPOCH);
    let until = last + around;
    for path in &files {
        scan_log(path, |entry| {
            if !entry.fields.contains_key(REQUEST) && (from..=until).contains(&entry.timestamp) {
                timeline.entries.push(entry);
            }
        })?;
    }
    timeline.entries.sort_by_key(|entry| entry.timestamp);
    let mut lines: Vec<String> = timeline.entries.iter().map(format_entry).collect();
    if timeline.unreadable_lines > 0 {
        lines.push(format!("{} unreadable lines were skipped", timeline.unreadable_lines));
    }
    Ok(Report::of_lines(&lines, &timeline))
}

fn omitted_lines_hint() -> &'static str {
    "log lines are limited under load: look for `lines_left_out` in the second in which the request failed"
}

/// Calls `on_entry` for every log line of a file. Returns the number of lines that are not valid log lines.
fn scan_log(path: &Path, mut on_entry: impl FnMut(LogEntry)) -> Result<u64, CliError> {
    let unreadable = |source: std::io::Error| CliError::LogFile {
        path: path.display().to_string(),
        reason: source.to_string(),
    };
    let process = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
    let mut reader = BufReader::new(File::open(path).map_err(unreadable)?);
    let (mut unreadable_lines, mut line) = (0, Vec::new());
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line).map_err(unreadable)? == 0 {
            return Ok(unreadable_lines);
        }
        match parse_line(&line, &process) {
            Some(entry) => on_entry(entry),
            None => unreadable_lines += u64::from(!line.trim_ascii().is_empty()),
        }
    }
}

fn parse_line(line: &[u8], process: &str) -> Option<LogEntry> {
    let mut fields: Map<String, Value> = serde_json::from_slice(line).ok()?;
    let time = fields.remove("ts")?.as_str()?.to_owned();
    let timestamp = humantime::parse_rfc3339(&time).ok()?;
    fields.remove("level");
    Some(LogEntry { timestamp, time, process: process.to_owned(), is_request: false, fields })
}

fn format_entry(entry: &LogEntry) -> String {
    let marker = if entry.is_request { '>' } else { ' ' };
    let message = entry.fields.get("msg").and_then(Value::as_str).unwrap_or_default();
    let others = entry.fields.iter().filter(|(name, _)| *name != "msg" && *name != REQUEST);
    let others: Vec<String> = others.map(|(name, value)| format!("{name}={value}")).collect();
    format!("{marker} {} {}: {message} {}", entry.time, entry.process, others.join(" ")).trim_end().to_owned()
}
