//! Ways to choose one of several replicas that may serve a read.
//!
//! "Two choices" is M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001; leaving stalled
//! endpoints out of the draw while most are healthy is the DataStax drivers' "Improved Client Request Routing for
//! Apache Cassandra", 2020.

/// A replica that may serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Whether it stands in another failure domain.
    pub distant: bool,
    /// Requests that this instance has under way or waiting there.
    pub load: usize,
    /// Whether it has requests under way and has not answered for a while.
    pub stalled: bool,
}

/// Chooses one of the candidates by its index, with the help of a random draw; none sends the read to the primary.
pub type ReplicaChoice = fn(&[Candidate], u64) -> Option<usize>;

/// Never a replica.
pub fn primary_only(_candidates: &[Candidate], _draw: u64) -> Option<usize> {
    None
}

/// Any replica.
pub fn random(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let count = u64::try_from(candidates.len()).ok()?;
    usize::try_from(draw.checked_rem(count)?).ok()
}

/// One of this failure domain before others; among them, the one with the least load.
pub fn least_in_flight(candidates: &[Candidate], _draw: u64) -> Option<usize> {
    let rank = |index: &usize| (candidates[*index].distant, candidates[*index].load);
    (0..candidates.len()).min_by_key(rank)
}

/// The one with less load of two drawn at random.
pub fn two_choices(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let everyone: Vec<usize> = (0..candidates.len()).collect();
    better_of_two(candidates, &everyone, draw, |candidate| candidate.load)
}

/// Two choices among the replicas that are not stalled.
pub fn two_choices_without_stalled(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let healthy = without_stalled(candidates);
    better_of_two(candidates, &healthy, draw, |candidate| candidate.load)
}

/// One of this failure domain before others, then the least load, among the replicas that are not stalled.
pub fn local_without_stalled(candidates: &[Candidate], _draw: u64) -> Option<usize> {
    let healthy = without_stalled(candidates);
    healthy.into_iter().min_by_key(|index| (candidates[*index].distant, candidates[*index].load))
}

/// Two choices among the replicas that are not stalled, where one in another failure domain counts as having one
/// request more.
pub fn two_choices_local(candidates: &[Candidate], draw: u64) -> Option<usize> {
    let healthy = without_stalled(candidates);
    let rank = |candidate: &Candidate| candidate.load + usize::from(candidate.distant);
    better_of_two(candidates, &healthy, draw, rank)
}

fn without_stalled(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).filter(|index| !candidates[*index].stalled).collect()
}

fn better_of_two(
    candidates: &[Candidate],
    among: &[usize],
    draw: u64,
    rank: impl Fn(&Candidate) -> usize,
) -> Option<usize> {
    let count = u64::try_from(among.len()).ok()?;
    let first = usize::try_from(draw.checked_rem(count)?).ok()?;
    if count == 1 {
        return Some(among[first]);
    }
    // The second draw uses the bits that the first left, over the others.
    let step = 1 + usize::try_from((draw >> 32) % (count - 1)).ok()?;
    let second = (first + step) % among.len();
    [among[first], among[second]].into_iter().min_by_key(|index| rank(&candidates[*index]))
}
