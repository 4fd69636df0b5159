//! Rates: an organisation gets no more than its rate and burst over all instances together.

use {
    super::{Breakage, CheckOutcome, Scene},
    crate::demo::context::{SERVICE, text},
    cumincart_fleet::{Caller, FleetError},
    cumincart_protocol::{refusal::RefusalCode, verdict::Verdict},
    std::time::{Duration, Instant},
};

const SMALL_KEY: &str = "example-only-lozenets-accountants-2026";
const PLAN: &str = "small";
const DURATION: Duration = Duration::from_secs(3);
const BROKEN_FACTOR: f64 = 10.0;

/// What one caller saw.
#[derive(Debug, Default)]
struct Seen {
    admitted: u32,
    over_rate: u32,
    other: u32,
    refused_but_run: u32,
}

/// Lets a small organisation call through all instances at once as fast as it can.
pub(super) async fn check(scene: &Scene) -> Result<CheckOutcome, FleetError> {
    let lists = scene.fleet.deployment.lists()?;
    let plan = lists.plans.plans.iter().find(|plan| plan.name.as_str() == PLAN);
    let (rate_per_s, burst) = plan.map_or((0.0, 0), |plan| (plan.rate_per_s, plan.burst));
    if scene.breaks(Breakage::Rate) {
        let mut generous = lists.clone();
        for plan in &mut generous.plans.plans {
            plan.rate_per_s *= BROKEN_FACTOR;
        }
        scene.fleet.apply(generous).await?;
        scene.fleet.wait_until_serving().await?;
    }
    let begun = Instant::now();
    let callers: Vec<_> = (0..scene.fleet.entries.len())
        .map(|number| tokio::spawn(call_until(scene.url(number), begun + DURATION)))
        .collect();
    let mut sum = Seen::default();
    for caller in callers {
        let Ok(seen) = caller.await else { continue };
        sum.admitted += seen.admitted;
        sum.over_rate += seen.over_rate;
        sum.other += seen.other;
        sum.refused_but_run += seen.refused_but_run;
    }
    let took = begun.elapsed();
    let bound = f64::from(burst) + rate_per_s * took.as_secs_f64();
    Ok(CheckOutcome {
        promise: "no organisation gets more than its rate",
        figure: format!(
            "{} admitted in {:.2} s (limit {:.0}), {} refused as over rate, {} with another outcome",
            sum.admitted,
            took.as_secs_f64(),
            bound.floor(),
            sum.over_rate,
            sum.other
        ),
        holds: f64::from(sum.admitted) <= bound
            && sum.admitted > 0
            && sum.over_rate > 0
            && sum.refused_but_run == 0,
    })
}

async fn call_until(url: String, end: Instant) -> Seen {
    let mut caller = Caller::new(Some(SMALL_KEY));
    let mut seen = Seen::default();
    while Instant::now() < end {
        let answered = caller.call(&url, SERVICE, "extension", &[("extension", text("12"))]).await;
        match answered.refusal() {
            None if answered.rows().is_some() => seen.admitted += 1,
            Some(refusal) if refusal.code == RefusalCode::OverRate => {
                seen.over_rate += 1;
                seen.refused_but_run += u32::from(refusal.verdict != Verdict::NotRun);
            }
            _ => seen.other += 1,
        }
    }
    seen
}
