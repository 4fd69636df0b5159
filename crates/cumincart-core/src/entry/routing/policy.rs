//! Load balancing policies for reads from replicas.
//!
//! "Two choices" is M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001. Skipping
//! stalled endpoints while most are healthy is the DataStax drivers' "Improved Client Request Routing for
//! Apache Cassandra", 2020.

/// A replica that may serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Whether it is in another failure domain than this instance.
    pub in_other_domain: bool,
    /// Requests that this instance has in flight or queued there.
    pub load: usize,
    /// Whether it has requests in flight and has not answered for a while.
    pub stalled: bool,
}

/// A policy: takes the candidates and a random number, returns the index of the chosen candidate. None sends
/// the read to the primary.
pub type ReplicaChoice = fn(&[Candidate], u64) -> Option<usize>;

/// Sends every read to the primary.
pub fn primary_only(_candidates: &[Candidate], _draw: u64) -> Option<usize> {
    None
}

/// Chooses a random replica.
pub fn random(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let count = u64::try_from(candidates.len()).ok()?;
    usize::try_from(draw.checked_rem(count)?).ok()
}

/// Chooses the least loaded replica, preferring those of this failure domain.
pub fn least_in_flight(candidates: &[Candidate], _draw: u64) -> Option<usize> {
    let rank = |index: &usize| (candidates[*index].in_other_domain, candidates[*index].load);
    (0..candidates.len()).min_by_key(rank)
}

/// Chooses the less loaded of two random replicas.
pub fn two_choices(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let all: Vec<usize> = (0..candidates.len()).collect();
    better_of_two(candidates, &all, draw, |candidate| candidate.load)
}

/// Chooses the less loaded of two random replicas that are not stalled.
pub fn two_choices_without_stalled(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let healthy = without_stalled(candidates);
    better_of_two(candidates, &healthy, draw, |candidate| candidate.load)
}

/// Chooses the least loaded replica that is not stalled, preferring those of this failure domain.
pub fn local_without_stalled(candidates: &[Candidate], _draw: u64) -> Option<usize> {
    let healthy = without_stalled(candidates);
    healthy.into_iter().min_by_key(|index| (candidates[*index].in_other_domain, candidates[*index].load))
}

/// Chooses the less loaded of two random replicas that are not stalled. A replica in another failure domain
/// counts as having one more request.
pub fn two_choices_local(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let healthy = without_stalled(candidates);
    let rank = |candidate: &Candidate| candidate.load + usize::from(candidate.in_other_domain);
    better_of_two(candidates, &healthy, draw, rank)
}

fn without_stalled(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).filter(|index| !candidates[*index].stalled).collect()
}

fn better_of_two(
    candidates: &[Candidate],
    eligible: &[usize],
    draw: u64,
    rank: impl Fn(&Candidate) -> usize,
) -> Option<usize> {
    let count = u64::try_from(eligible.len()).ok()?;
    let first = usize::try_from(draw.checked_rem(count)?).ok()?;
    if count == 1 {
        return Some(eligible[first]);
    }
    // The second choice uses the upper bits of the random number and excludes the first choice.
    let step = 1 + usize::try_from((draw >> 32) % (count - 1)).ok()?;
    let second = (first + step) % eligible.len();
    [eligible[first], eligible[second]].into_iter().min_by_key(|index| rank(&candidates[*index]))
}
