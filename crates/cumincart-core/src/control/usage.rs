//! Usage reports: the leader gathers what entry instances have counted, closes each accounting window, fixes its counts
//! in the log and reports them to the platform.
//!
//! A window's counts are fixed before they are sent, so that a later leader repeats exactly them. Each leader sends them
//! under its own election term as fence.

mod gathered;

use {
    self::gathered::Gathered,
    super::{Core, Effect, failover, replicate},
    cumincart_protocol::{
        heartbeat::Heartbeat,
        number::{ControlTerm, LogIndex},
        replication::Command,
        sorted::SortedVec,
        time::Instant,
        usage::{FixedUsage, OrganisationCount, UsageWindow, WindowNumber, WindowOutcome},
    },
    std::time::Duration,
};

/// How long after a window's end its counts are expected to be complete, in milliseconds: two heartbeats, and the time in
/// which the outcome of a statement that began in the window is usually known.
pub const SETTLE_MS: u64 = 1_500;

/// How long after a window's end it is closed without the counts of instances that have not reported, in milliseconds. It
/// leaves time for a change of leader before the report is due.
pub const CLOSE_AFTER_MS: u64 = 3_000;

/// How long a new leader waits for full reports before it closes a window without them, in milliseconds: the time in which
/// instances find it and send two heartbeats.
pub const FULL_REPORTS_MS: u64 = 3_000;

/// The number of closed windows that are kept for operators and for leaders that repeat a report.
pub const RETAINED_WINDOWS: usize = 16;

/// The delay before a report is repeated after the first failure, in milliseconds.
pub const RETRY_MIN_MS: u64 = 200;

/// The longest delay before a report is repeated, in milliseconds.
pub const RETRY_MAX_MS: u64 = 2_000;

/// How long the result of a call is awaited, in milliseconds. The runtime ends each call well before.
pub const CALL_LOST_AFTER_MS: u64 = 5_000;

/// When usage is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The length of accounting windows, in milliseconds.
    pub window_ms: u64,
    /// How long after a window's end its report is due, in milliseconds.
    pub late_ms: u64,
    /// How long a new leader waits before it reports, in milliseconds, so that holders don't take turns in less.
    pub takeover_ms: u64,
}

/// A call that reports a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageCall {
    /// The window.
    pub window: WindowNumber,
    /// The fencing token: the election term of the leader that calls.
    pub fence: ControlTerm,
    /// The requests of each organisation, in order of their names.
    pub counts: Vec<OrganisationCount>,
}

/// The result of a call that reports a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UsageAnswer {
    /// The platform has accepted the report.
    Accepted,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The platform refused the call, or no answer came; it may have accepted the report.
    Failed,
}

/// The state of usage reports.
#[derive(Debug, Default)]
pub struct Usage {
    /// When usage is reported; none if it is not.
    pub policy: Option<Policy>,
    /// The last closed windows; replicated.
    pub windows: SortedVec<UsageWindow>,
    gathered: Gathered,
    /// The last record that the leader has proposed.
    proposed: LogIndex,
    calls: Calls,
}

/// The calls of one leadership.
#[derive(Debug, Default)]
struct Calls {
    /// The window of the call in progress, and when it was made.
    in_progress: Option<(WindowNumber, Instant)>,
    failures: u32,
    retry_at: Instant,
    /// Whether the platform has seen a higher fencing token, so that this leader makes no more calls.
    is_fenced: bool,
    /// Outcomes that no record of the log holds yet.
    outcomes: Vec<(WindowNumber, WindowOutcome)>,
}

impl Usage {
    /// Restores the windows of a snapshot.
    pub fn open(windows: SortedVec<UsageWindow>) -> Self {
        Self { windows, ..Self::default() }
    }

    /// Returns the last closed windows, with the outcomes that are known here.
    pub fn current_windows(&self) -> SortedVec<UsageWindow> {
        let with_outcome =
            |window: &UsageWindow| UsageWindow { outcome: self.outcome(window), ..window.clone() };
        self.windows.iter().map(with_outcome).collect()
    }

    /// Returns how the report of a window ended, as known here; none while it may still be sent.
    pub fn outcome(&self, window: &UsageWindow) -> Option<WindowOutcome> {
        let known = self.calls.outcomes.iter().find(|(number, _)| *number == window.window);
        window.outcome.or(known.map(|(_, outcome)| *outcome))
    }
}

/// Forgets what an earlier leadership has gathered.
pub fn on_elected(usage: &mut Usage) {
    usage.gathered = Gathered::default();
    usage.calls = Calls::default();
    usage.proposed = LogIndex::default();
}

/// Gathers the counts of a heartbeat.
pub fn on_heartbeat(core: &mut Core, now: Instant, heartbeat: &Heartbeat) {
    let (Some(policy), Some(report)) = (core.usage.policy, &heartbeat.usage) else { return };
    if !core.election.is_leader() {
        return;
    }
    core.usage.gathered.record(now, heartbeat, report);
    let next = core.usage.windows.iter().next_back().map(|last| last.window.saturating_add(1));
    let Some((next, offset)) = next.zip(core.usage.gathered.offset(now)) else { return };
    // Full reports repeat what closed windows have counted.
    core.usage.gathered.drop_before(&heartbeat.instance, offset, next.saturating_mul(policy.window_ms));
}

/// Closes a window and reports windows when they are due.
pub fn on_tick(core: &mut Core, now: Instant, out: &mut Vec<Effect>) {
    let Some(policy) = core.usage.policy else { return };
    if !failover::is_established_leader(core) {
        return;
    }
    let Some(offset) = core.usage.gathered.offset(now) else { return };
    let unix_ms = offset.unix_ms(now);
    close_when_due(core, now, policy, unix_ms, out);
    report_when_due(core, now, policy, unix_ms, out);
}

/// Handles the result of a call.
pub fn on_answer(
    core: &mut Core,
    now: Instant,
    call: &UsageCall,
    answer: UsageAnswer,
    out: &mut Vec<Effect>,
) {
    let is_expected = core.election.is_leader()
        && core.election.ballot.term == call.fence
        && core.usage.calls.in_progress.is_some_and(|(window, _)| window == call.window);
    if !is_expected {
        return;
    }
    let calls = &mut core.usage.calls;
    calls.in_progress = None;
    match answer {
        UsageAnswer::Accepted => {
            calls.failures = 0;
            let requests: u64 = call.counts.iter().map(|count| count.requests).sum();
            let organisations = call.counts.len();
            end_window(core, call.window, WindowOutcome::Reported);
            let message = format!(
                "usage: window {} reported, {requests} requests of {organisations} organisations",
                call.window
            );
            out.push(Effect::Log(message.into()));
        }
        UsageAnswer::Fenced => {
            calls.is_fenced = true;
            let message = format!(
                "usage: window {} refused, a holder with a higher fence has reported; no more reports in term {}",
                call.window, call.fence
            );
            out.push(Effect::Log(message.into()));
        }
        UsageAnswer::Failed => delay_retry(calls, now),
    }
}

/// Applies the record that fixes a window.
pub(super) fn on_fixed(core: &mut Core, fixed: &FixedUsage) {
    let usage = &mut core.usage;
    for (window, outcome) in &fixed.outcomes {
        if let Some(window) = usage.windows.get_mut(window) {
            window.outcome = Some(*outcome);
        }
        usage.calls.outcomes.retain(|(known, _)| known != window);
    }
    let is_next = usage.windows.iter().next_back().is_none_or(|last| last.window < fixed.window.window);
    if !is_next {
        return;
    }
    usage.windows.insert(fixed.window.clone());
    let excess = usage.windows.len().saturating_sub(RETAINED_WINDOWS);
    let oldest_kept = usage.windows.iter().nth(excess).map(|window| window.window).unwrap_or_default();
    usage.windows.retain(|window| window.window >= oldest_kept);
}

/// Proposes the record that fixes the next window, once its counts are complete or can't be awaited any longer.
fn close_when_due(core: &mut Core, now: Instant, policy: Policy, unix_ms: u64, out: &mut Vec<Effect>) {
    if core.usage.proposed > core.log.applied {
        return;
    }
    let last = core.usage.windows.iter().next_back().map(|last| last.window);
    let oldest_due = unix_ms.saturating_sub(policy.late_ms) / policy.window_ms;
    let Some(offset) = core.usage.gathered.offset(now) else { return };
    let first = core.usage.gathered.first_start_ms(offset).unwrap_or(unix_ms) / policy.window_ms;
    let window = last.map_or(first, |last| last.saturating_add(1)).max(oldest_due);
    let start_ms = window.saturating_mul(policy.window_ms);
    let end_ms = start_ms.saturating_add(policy.window_ms);
    if unix_ms < end_ms.saturating_add(SETTLE_MS) {
        return;
    }
    let gathered = &core.usage.gathered;
    let missing: Vec<&str> = core
        .runs
        .known
        .iter()
        .filter(|run| !gathered.has_reported_until(run, offset, end_ms))
        .map(|run| run.instance.as_str())
        .collect();
    let is_new_leader =
        now.saturating_since(core.replication.elected_at()) < Duration::from_millis(FULL_REPORTS_MS);
    if !missing.is_empty() && (is_new_leader || unix_ms < end_ms.saturating_add(CLOSE_AFTER_MS)) {
        return;
    }
    if let Some(last) = last.filter(|last| last.saturating_add(1) < window) {
        let message = format!("usage: windows {} to {} can't be reported in time", last + 1, window - 1);
        out.push(Effect::Log(message.into()));
    }
    if !missing.is_empty() {
        let message =
            format!("usage: window {window} is closed without the counts of {}", missing.join(", "));
        out.push(Effect::Log(message.into()));
    }
    let counts = core.usage.gathered.counts(offset, start_ms, end_ms).into_items().collect();
    core.usage.gathered.drop_all_before(offset, end_ms);
    let window = UsageWindow { window, fence: core.election.ballot.term, counts, outcome: None };
    let outcomes = core.usage.calls.outcomes.clone();
    let command = Command::FixUsage(Box::new(FixedUsage { window, outcomes }));
    core.usage.proposed = replicate::propose(core, now, command, out);
}

/// Makes the call that reports the oldest window that is not reported yet.
fn report_when_due(core: &mut Core, now: Instant, policy: Policy, unix_ms: u64, out: &mut Vec<Effect>) {
    if let Some((_, called_at)) = core.usage.calls.in_progress {
        if now.saturating_since(called_at) < Duration::from_millis(CALL_LOST_AFTER_MS) {
            return;
        }
        core.usage.calls.in_progress = None;
        delay_retry(&mut core.usage.calls, now);
    }
    let takeover = Duration::from_millis(policy.takeover_ms);
    let is_taking_over = now.saturating_since(core.replication.elected_at()) < takeover;
    loop {
        let open = core.usage.windows.iter().find(|window| core.usage.outcome(window).is_none());
        let Some(window) = open else { return };
        let number = window.window;
        let end_ms = number.saturating_add(1).saturating_mul(policy.window_ms);
        if unix_ms >= end_ms.saturating_add(policy.late_ms) {
            end_window(core, number, WindowOutcome::Missed);
            out.push(Effect::Log(format!("usage: window {number} was not reported in time").into()));
            continue;
        }
        if core.usage.calls.is_fenced || is_taking_over || now < core.usage.calls.retry_at {
            return;
        }
        let call =
            UsageCall { window: number, fence: core.election.ballot.term, counts: window.counts.clone() };
        core.usage.calls.in_progress = Some((number, now));
        out.push(Effect::ReportUsage(call));
        return;
    }
}

fn end_window(core: &mut Core, window: WindowNumber, outcome: WindowOutcome) {
    core.usage.calls.outcomes.push((window, outcome));
}

fn delay_retry(calls: &mut Calls, now: Instant) {
    let delay_ms = RETRY_MIN_MS.saturating_mul(1 << calls.failures.min(8)).min(RETRY_MAX_MS);
    calls.failures = calls.failures.saturating_add(1);
    calls.retry_at = now + Duration::from_millis(delay_ms);
}
