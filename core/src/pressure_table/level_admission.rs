//! Admission of the statements of one level of a service. It does no I/O.

use rand::Rng;

use crate::pressure_table::Admission;
use crate::pressure_table::Arrival;
use crate::pressure_table::LocalRefusal;

/// Shortest mean interval between two probes, in milliseconds. Twice the expected wait is added to it:
/// with 91 entry nodes, 100 ms alone would be 910 probes a second at one owner that serves 1,200.
const PROBE_INTERVAL_MS: u64 = 100;

/// Longest mean interval between two probes, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 2_000;

/// Shortest and longest time over which admission resumes, in milliseconds; each node draws its own.
/// The longest is the age up to which pressure is believed, so that a node that hears nothing more
/// refuses nothing after it.
const MIN_RESUME_MS: u64 = 150;
const MAX_RESUME_MS: u64 = 300;

/// Share of the statements that are admitted as soon as the pressure has ended.
const INITIAL_SHARE: f64 = 0.1;

/// Shortest time after which a refused caller should retry, in milliseconds, before the random spread.
const MIN_RETRY_MS: u64 = 50;

/// Longest time after which a refused caller should retry, in milliseconds, before the random spread.
const MAX_RETRY_MS: u64 = 1_000;

/// Refusal of a level that is in force.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Longest objective of the refused statements, in milliseconds.
    objective_ms: u64,
    next_probe_at_ms: u64,
}

/// Return to full admission after a limit.
#[derive(Clone, Copy, Debug)]
struct Resumption {
    /// Longest objective of the statements that were refused, in milliseconds.
    objective_ms: u64,
    started_at_ms: u64,
    length_ms: u64,
}

/// State of one level.
#[derive(Clone, Debug, Default)]
pub(super) struct LevelAdmission {
    limit: Option<Limit>,
    resumption: Option<Resumption>,
}

impl LevelAdmission {
    /// Records the wait that the owner expects. Admission begins to resume if it is short enough for
    /// statements that were refused.
    pub(super) fn record_wait<Generator>(
        &mut self,
        now_ms: u64,
        expected_wait_ms: u32,
        random: &mut Generator,
    ) where
        Generator: Rng,
    {
        if let Some(limit) = self.limit
            && u64::from(expected_wait_ms) <= limit.objective_ms
        {
            self.limit = None;
            self.resumption = Some(Resumption {
                objective_ms: limit.objective_ms,
                started_at_ms: now_ms,
                length_ms: random.random_range(MIN_RESUME_MS..=MAX_RESUME_MS),
            });
        }
    }

    /// Decides by the expected wait whether a statement is sent to the owner.
    pub(super) fn admit<Generator>(
        &mut self,
        now_ms: u64,
        arrival: &Arrival<'_>,
        expected_wait_ms: u32,
        random: &mut Generator,
    ) -> Admission
    where
        Generator: Rng,
    {
        let wait_ms = u64::from(expected_wait_ms);
        let objective_ms = arrival.objective_left_ms;
        if wait_ms > objective_ms {
            return self.limit(now_ms, arrival, expected_wait_ms, random);
        }
        match self.resumption {
            Some(resumption) if now_ms >= resumption.started_at_ms + resumption.length_ms => {
                self.resumption = None;
            }
            Some(resumption) if objective_ms <= resumption.objective_ms => {
                let elapsed_ms = now_ms.saturating_sub(resumption.started_at_ms);
                let progress = elapsed_ms as f64 / resumption.length_ms as f64;
                let share = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress;
                if !random.random_bool(share.clamp(0.0, 1.0)) {
                    let left_ms = resumption.length_ms - elapsed_ms;
                    return refuse(LocalRefusal::Resuming, expected_wait_ms, left_ms, random);
                }
            }
            _ => {}
        }
        Admission::Admit
    }

    fn limit<Generator>(
        &mut self,
        now_ms: u64,
        arrival: &Arrival<'_>,
        expected_wait_ms: u32,
        random: &mut Generator,
    ) -> Admission
    where
        Generator: Rng,
    {
        let objective_ms = arrival.objective_left_ms;
        self.resumption.take_if(|resumption| resumption.objective_ms <= objective_ms);
        let limit = self.limit.get_or_insert_with(|| Limit {
            objective_ms,
            next_probe_at_ms: now_ms + probe_interval_ms(expected_wait_ms, random),
        });
        limit.objective_ms = limit.objective_ms.max(objective_ms);
        // First attempts are preferred as probes, but a node may see nothing but retries.
        let retry_delay_ms = if arrival.is_retry { PROBE_INTERVAL_MS } else { 0 };
        if now_ms >= limit.next_probe_at_ms + retry_delay_ms {
            limit.next_probe_at_ms = now_ms + probe_interval_ms(expected_wait_ms, random);
            return Admission::Probe;
        }
        refuse(LocalRefusal::ExpectedWait, expected_wait_ms, expected_wait_ms.into(), random)
    }
}

/// Returns the time until the next probe, in milliseconds: half to one and a half of the mean, so that
/// nodes that heard of the pressure at the same moment probe at different times.
fn probe_interval_ms<Generator>(expected_wait_ms: u32, random: &mut Generator) -> u64
where
    Generator: Rng,
{
    let mean_ms = (PROBE_INTERVAL_MS + 2 * u64::from(expected_wait_ms)).min(MAX_PROBE_INTERVAL_MS);
    random.random_range(mean_ms / 2..=mean_ms * 3 / 2)
}

/// Returns a refusal whose caller should retry after `wait_ms` and up to as long again.
pub(super) fn refuse<Generator>(
    reason: LocalRefusal,
    expected_wait_ms: u32,
    wait_ms: u64,
    random: &mut Generator,
) -> Admission
where
    Generator: Rng,
{
    let base_ms = wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    let retry_after_ms = random.random_range(base_ms..=base_ms * 2);
    Admission::Refuse { reason, expected_wait_ms, retry_after_ms }
}
