//! CPU time of processes, read from `/proc` on Linux.

use std::{fs, io};

/// The number of clock ticks per second in `/proc` (`USER_HZ`); 100 on every Linux architecture.
const TICKS_PER_S: f64 = 100.0;

/// Returns the user and system CPU time of a process in seconds. `process` is a process id or `self`.
pub fn cpu_time_s(process: &str) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The second field is the name in parentheses, which may contain spaces.
    let fields = stat.rsplit_once(')').map(|(_, fields)| fields).ok_or(io::ErrorKind::InvalidData)?;
    let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    let (user, system) = ticks(11).zip(ticks(12)).ok_or(io::ErrorKind::InvalidData)?;
    Ok((user + system) / TICKS_PER_S)
}
