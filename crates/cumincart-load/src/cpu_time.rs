//! Processor time of processes, from Linux's `/proc`.

use std::{fs, io};

/// Ticks a second in which `/proc` counts, as Linux gives them to programs on every architecture.
const TICKS_PER_S: f64 = 100.0;

/// User and system time of a process in seconds; `process` is its id, or `self`.
pub fn cpu_time_s(process: &str) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The second field holds the name in parentheses and may contain spaces.
    let fields = stat.rsplit_once(')').map(|(_, fields)| fields).ok_or(io::ErrorKind::InvalidData)?;
    let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    let (user, system) = ticks(11).zip(ticks(12)).ok_or(io::ErrorKind::InvalidData)?;
    Ok((user + system) / TICKS_PER_S)
}
