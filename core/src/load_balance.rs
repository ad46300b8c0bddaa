//! Choice of a server by expected completion, from reports that may be old. It does no I/O.
//!
//! If many choosers compare the same old reports, all of them choose the server that was the least
//! loaded, which is then overloaded while others are idle. So a reported load is moved towards the
//! mean of all candidates with its age, the work that the chooser itself has placed is added in
//! full, and of many candidates with old reports only a random sample is compared.

use rand::Rng;

/// Number of candidates that are compared if there are more and some report is old: two are enough
/// to avoid the most loaded servers, and few enough that choosers seldom compare the same ones.
const SAMPLE: usize = 2;

/// Age up to which a report counts as present, in milliseconds: shorter than most statements take.
const FRESH_MS: u64 = 5;

/// Difference in expected completion, as a share of the smallest one, within which candidates count
/// as equal.
const TIE_SHARE: f64 = 0.01;

/// What is known of a server that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Work of others that it last reported, in units such as running statements.
    pub reported_load: f64,
    /// Age of that report, in milliseconds.
    pub report_age_ms: u64,
    /// Work of the chooser at it that the report does not include, in the same units.
    pub own_load: f64,
    /// Number of units that it works on at the same time.
    pub slots: f64,
    /// Time that it takes for a unit, in milliseconds.
    pub unit_ms: f64,
    /// Further cost of choosing it, in milliseconds of expected completion.
    pub extra_ms: f64,
}

impl Candidate {
    /// Returns how often it should be sampled in comparison with others.
    fn speed(&self) -> f64 {
        self.slots.max(f64::MIN_POSITIVE) / self.unit_ms.max(f64::MIN_POSITIVE)
    }

    /// Returns the expected completion of another unit of work, in milliseconds. `mean_utilization`
    /// is that of all candidates by their reports.
    fn expected_ms(&self, mean_utilization: f64, memory_ms: f64) -> f64 {
        let slots = self.slots.max(f64::MIN_POSITIVE);
        let trust = (-(self.report_age_ms as f64) / memory_ms.max(1.0)).exp();
        let reported = self.reported_load / slots;
        let estimated = mean_utilization + (reported - mean_utilization) * trust;
        self.unit_ms * (1.0 + estimated + self.own_load / slots) + self.extra_ms
    }
}

/// Returns the index of the candidate to choose, or `None` if there are none. `memory_ms` is the time
/// constant with which loads change: after it, little of a reported difference is left.
pub fn choose<Random>(
    candidates: &[Candidate],
    memory_ms: f64,
    random: &mut Random,
) -> Option<usize>
where
    Random: Rng,
{
    let all: Vec<usize> = (0..candidates.len()).collect();
    choose_among(candidates, &all, memory_ms, random)
}

/// Returns the indices of up to `count` candidates in the order in which they should be asked.
pub fn order<Random>(
    candidates: &[Candidate],
    count: usize,
    memory_ms: f64,
    random: &mut Random,
) -> Vec<usize>
where
    Random: Rng,
{
    let mut remaining: Vec<usize> = (0..candidates.len()).collect();
    let mut chosen = Vec::new();
    while chosen.len() < count
        && let Some(next) = choose_among(candidates, &remaining, memory_ms, random)
    {
        remaining.retain(|index| *index != next);
        chosen.push(next);
    }
    chosen
}

fn choose_among<Random>(
    candidates: &[Candidate],
    remaining: &[usize],
    memory_ms: f64,
    random: &mut Random,
) -> Option<usize>
where
    Random: Rng,
{
    let is_old = |index: &usize| candidates[*index].report_age_ms > FRESH_MS;
    let compared = match remaining.len() > SAMPLE && remaining.iter().any(is_old) {
        true => sample(candidates, remaining, random),
        false => remaining.to_vec(),
    };
    let slots: f64 = remaining.iter().map(|index| candidates[*index].slots).sum();
    let reported: f64 = remaining.iter().map(|index| candidates[*index].reported_load).sum();
    let mean_utilization = reported / slots.max(f64::MIN_POSITIVE);
    let expected: Vec<(usize, f64)> = compared
        .into_iter()
        .map(|index| (index, candidates[index].expected_ms(mean_utilization, memory_ms)))
        .collect();
    let best_ms = expected.iter().map(|(_, ms)| *ms).fold(f64::INFINITY, f64::min);
    let is_tied = |(_, ms): &&(usize, f64)| *ms <= best_ms * (1.0 + TIE_SHARE);
    let tied: Vec<usize> = expected.iter().filter(is_tied).map(|(index, _)| *index).collect();
    match tied.len() {
        0 => None,
        1 => Some(tied[0]),
        count => Some(tied[random.random_range(0..count)]),
    }
}

/// Returns `SAMPLE` different candidates, each with a probability by its speed.
fn sample<Random>(candidates: &[Candidate], remaining: &[usize], random: &mut Random) -> Vec<usize>
where
    Random: Rng,
{
    let mut left = remaining.to_vec();
    let mut sampled = Vec::with_capacity(SAMPLE);
    while sampled.len() < SAMPLE && !left.is_empty() {
        let total: f64 = left.iter().map(|index| candidates[*index].speed()).sum();
        let mut drawn = random.random::<f64>() * total;
        let position = left.iter().position(|index| {
            drawn -= candidates[*index].speed();
            drawn < 0.0
        });
        sampled.push(left.swap_remove(position.unwrap_or(left.len() - 1)));
    }
    sampled
}
