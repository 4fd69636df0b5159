//! The rate check: an organisation gets no more than its rate and burst across all instances.

use {
    super::{CheckContext, CheckOutcome, InjectedFault},
    crate::demo::context::{SERVICE, text},
    cumincart_fleet::{FleetError, HttpClient},
    cumincart_protocol::{refusal::RefusalCode, verdict::Verdict},
    std::time::{Duration, Instant},
};

const SMALL_KEY: &str = "example-only-lozenets-accountants-2026";
const PLAN: &str = "small";
const DURATION: Duration = Duration::from_secs(3);
const EXCESS_RATE_FACTOR: f64 = 10.0;

/// The number of calls per outcome.
#[derive(Debug, Default)]
struct CallCounts {
    admitted: u32,
    over_rate: u32,
    other: u32,
    /// Calls refused as over rate with a verdict other than `not_run`.
    wrong_verdict: u32,
}

/// Calls all entry instances concurrently, as fast as possible, with the key of an organisation on a small plan.
pub(super) async fn check(context: &CheckContext) -> Result<CheckOutcome, FleetError> {
    let lists = context.fleet.deployment.lists()?;
    let plan = lists.plans.plans.iter().find(|plan| plan.name.as_str() == PLAN);
    let (rate_per_s, burst) = plan.map_or((0.0, 0), |plan| (plan.rate_per_s, plan.burst));
    if context.injects(InjectedFault::Rate) {
        let mut raised_lists = lists.clone();
        for plan in &mut raised_lists.plans.plans {
            plan.rate_per_s *= EXCESS_RATE_FACTOR;
        }
        context.fleet.apply(raised_lists).await?;
        context.fleet.wait_until_serving().await?;
    }
    let started_at = Instant::now();
    let clients: Vec<_> = (0..context.fleet.entries.len())
        .map(|number| tokio::spawn(call_until_deadline(context.url(number), started_at + DURATION)))
        .collect();
    let mut total = CallCounts::default();
    for client in clients {
        let Ok(counts) = client.await else { continue };
        total.admitted += counts.admitted;
        total.over_rate += counts.over_rate;
        total.other += counts.other;
        total.wrong_verdict += counts.wrong_verdict;
    }
    let elapsed = started_at.elapsed();
    let limit = f64::from(burst) + rate_per_s * elapsed.as_secs_f64();
    Ok(CheckOutcome {
        promise: "no organisation gets more than its rate",
        figure: format!(
            "{} admitted in {:.2} s (limit {:.0}), {} refused as over rate, {} with other outcomes",
            total.admitted,
            elapsed.as_secs_f64(),
            limit.floor(),
            total.over_rate,
            total.other
        ),
        holds: f64::from(total.admitted) <= limit
            && total.admitted > 0
            && total.over_rate > 0
            && total.wrong_verdict == 0,
    })
}

async fn call_until_deadline(url: String, deadline: Instant) -> CallCounts {
    let mut client = HttpClient::new(Some(SMALL_KEY));
    let mut counts = CallCounts::default();
    while Instant::now() < deadline {
        let response = client.call(&url, SERVICE, "extension", &[("extension", text("12"))]).await;
        match response.refusal() {
            None if response.rows().is_some() => counts.admitted += 1,
            Some(refusal) if refusal.code == RefusalCode::OverRate => {
                counts.over_rate += 1;
                counts.wrong_verdict += u32::from(refusal.verdict != Verdict::NotRun);
            }
            _ => counts.other += 1,
        }
    }
    counts
}
