//! The environment of an experiment: a fleet, a load balancer and the organisations that send requests.

use {
    super::{ExperimentError, setup},
    crate::{
        balancer::Balancer,
        plot::{Curve, Point},
        sender::send_traffic,
        summary::{Outcome, Sample},
        traffic::{Organisation, ScheduledRequest, TrafficSettings, generate, organisations},
    },
    cumincart_fleet::{Deployment, Fleet, FleetOptions},
    cumincart_protocol::{lists::Route, refusal::RefusalCode},
    cumincart_runtime::logging,
    std::time::Duration,
};

/// The duration of the warm-up, in which rate shares and connections settle before the measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// The time step of curves over time.
const CURVE_STEP: Duration = Duration::from_millis(250);

/// A running fleet and the organisations that send requests to it.
#[derive(Debug)]
pub struct Environment {
    /// The fleet.
    pub fleet: Fleet,
    /// The organisations of the deployment.
    pub organisations: Vec<Organisation>,
    /// The balancer that selects entry instances.
    pub balancer: Balancer,
}

impl Environment {
    /// Starts a fleet of three control instances and two entry instances in each failure domain.
    pub async fn start(deployment: Deployment, recording: bool) -> Result<Self, ExperimentError> {
        let organisations = organisations(&deployment).map_err(setup)?;
        let options = FleetOptions { recording, ..FleetOptions::new(logging::discard()) };
        let fleet = Fleet::spawn(deployment, options).await.map_err(setup)?;
        let balancer = Balancer::spawn(fleet.entries.iter().map(|entry| entry.url().into()).collect());
        Ok(Self { fleet, organisations, balancer })
    }

    /// Generates traffic with the same load factor for all organisations.
    pub fn traffic(
        &self,
        seed: u64,
        span: Duration,
        load: f64,
        includes_route: fn(&str, &Route) -> bool,
    ) -> Vec<ScheduledRequest> {
        let settings = TrafficSettings {
            seed,
            span,
            entries: self.fleet.entries.len(),
            skewed: false,
            includes_route,
            load_factors: vec![load; self.organisations.len()],
        };
        generate(&self.organisations, &settings)
    }

    /// Sends traffic of the same kind, but from another seed, that is not measured.
    pub async fn warm_up(&self, seed: u64, settings: &TrafficSettings) {
        let settings = TrafficSettings { seed: seed ^ (1 << 32), span: WARM_UP, ..settings.clone() };
        self.send_traffic(&generate(&self.organisations, &settings)).await;
    }

    /// Sends the traffic through the balancer.
    pub async fn send_traffic(&self, traffic: &[ScheduledRequest]) -> Vec<Sample> {
        send_traffic(&self.organisations, &self.balancer, traffic).await
    }
}

/// Includes every route of every service.
pub fn any_route(_service: &str, _route: &Route) -> bool {
    true
}

/// Returns whether a request was refused because its organisation was over its rate.
pub fn is_over_rate(sample: &Sample) -> bool {
    matches!(&sample.outcome, Outcome::Refused(refusal) if refusal.code == RefusalCode::OverRate)
}

/// Returns a share in per cent, or 0 if `whole` is 0.
pub fn per_cent(part: usize, whole: usize) -> f64 {
    if whole == 0 { 0.0 } else { 100.0 * part as f64 / whole as f64 }
}

/// Returns the curve of requests per second that satisfy `counts`, by the time at which they were due.
pub fn rate_curve(name: &str, samples: &[Sample], counts: impl Fn(&Sample) -> bool) -> Curve {
    let step_s = CURVE_STEP.as_secs_f64();
    let mut points: Vec<Point> = Vec::new();
    for sample in samples {
        let index = (sample.due.as_secs_f64() / step_s) as usize;
        while points.len() <= index {
            points.push(Point { x: (points.len() as f64 + 0.5) * step_s, y: 0.0 });
        }
        if counts(sample) {
            points[index].y += 1.0 / step_s;
        }
    }
    Curve { name: name.to_owned(), points }
}
