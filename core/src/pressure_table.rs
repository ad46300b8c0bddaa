//! What this node knows of the load of owners, and which statements it refuses for it before they are
//! sent. It does no I/O.
//!
//! An owner refuses a statement that would wait beyond its objective. Nodes that know the expected
//! wait refuse it themselves, which saves the owner the message. What they know is some milliseconds
//! old and the same everywhere, so they probe at random times, and admit again step by step.

mod level_admission;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;

use crate::name::Name;
use crate::owner_pressure::OwnerPressure;
use crate::pressure_table::level_admission::LevelAdmission;
use crate::retry_budget::RetryBudget;

/// Age beyond which pressure is ignored, in milliseconds.
pub const MAX_PRESSURE_AGE_MS: u64 = 300;

/// Retries are limited once the expected wait exceeds the objective divided by this.
const RETRY_WAIT_DIVISOR: u64 = 2;

/// Why a node refuses a statement of its caller without sending it to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LocalRefusal {
    /// It would wait beyond its objective.
    ExpectedWait,
    /// Admission resumes step by step, and it is not among those that are admitted yet.
    Resuming,
    /// It is a retry, and first attempts have not earned another one.
    RetryBudget,
}

impl LocalRefusal {
    /// Returns the short name that is used in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::ExpectedWait => "expected_wait",
            Self::Resuming => "resuming",
            Self::RetryBudget => "retry_budget",
        }
    }
}

/// Whether a statement is sent to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is sent.
    Admit,
    /// It is sent although its level is refused, to find out whether the pressure has ended.
    Probe,
    /// It is refused at this node.
    Refuse {
        /// Why.
        reason: LocalRefusal,
        /// Wait that the owner expects for its level, in milliseconds.
        expected_wait_ms: u32,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A statement that a caller has sent to this node.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Service that runs it.
    pub service: &'a Name,
    /// Address of the owner that it would be sent to.
    pub owner: SocketAddr,
    /// Priority of its route.
    pub level: u32,
    /// Time left of its objective, in milliseconds.
    pub objective_left_ms: u64,
    /// Whether it counts as a retry after a refusal.
    pub is_retry: bool,
}

/// Pressure of one service as last told by its owner.
#[derive(Clone, Debug)]
struct KnownPressure {
    owner: SocketAddr,
    told: OwnerPressure,
    recorded_at_ms: u64,
    levels: BTreeMap<u32, LevelAdmission>,
}

impl KnownPressure {
    fn is_in_effect(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.recorded_at_ms) <= MAX_PRESSURE_AGE_MS
    }
}

/// Pressure of all services, by what their owners told this node.
#[derive(Clone, Debug, Default)]
pub struct PressureTable {
    services: HashMap<Name, KnownPressure>,
    budgets: HashMap<Name, BTreeMap<u32, RetryBudget>>,
}

impl PressureTable {
    /// Records the pressure that came with a reply of an owner. Returns false if it was dropped,
    /// because a later ownership is known.
    pub fn record<Generator>(
        &mut self,
        now_ms: u64,
        service: &Name,
        owner: SocketAddr,
        told: OwnerPressure,
        random: &mut Generator,
    ) -> bool
    where
        Generator: Rng,
    {
        if let Some(known) = self.services.get_mut(service)
            && known.is_in_effect(now_ms)
        {
            if told.fencing_token < known.told.fencing_token {
                return false;
            }
            if told.fencing_token == known.told.fencing_token && owner == known.owner {
                for (level, admission) in &mut known.levels {
                    admission.record_wait(now_ms, told.expected_wait_ms(*level), random);
                }
                known.told = told;
                known.recorded_at_ms = now_ms;
                return true;
            }
        }
        let levels = BTreeMap::new();
        let known = KnownPressure { owner, told, recorded_at_ms: now_ms, levels };
        self.services.insert(service.clone(), known);
        true
    }

    /// Decides whether a statement that arrives now is sent to the owner.
    pub fn admit<Generator>(
        &mut self,
        now_ms: u64,
        arrival: &Arrival<'_>,
        random: &mut Generator,
    ) -> Admission
    where
        Generator: Rng,
    {
        let Some(known) = self.services.get_mut(arrival.service) else { return Admission::Admit };
        if known.owner != arrival.owner || !known.is_in_effect(now_ms) {
            return Admission::Admit;
        }
        let expected_wait_ms = known.told.expected_wait_ms(arrival.level);
        let admission = known.levels.entry(arrival.level).or_default();
        let admitted = admission.admit(now_ms, arrival, expected_wait_ms, random);
        if admitted != Admission::Admit {
            return admitted;
        }
        // With a short wait, retries are served in time as well.
        let is_near_objective =
            u64::from(expected_wait_ms) * RETRY_WAIT_DIVISOR > arrival.objective_left_ms;
        let budgets = self.budgets.entry(arrival.service.clone()).or_default();
        let budget = budgets.entry(arrival.level).or_default();
        if !arrival.is_retry {
            budget.record_first_attempt();
        } else if is_near_objective && !budget.take_retry() {
            return level_admission::refuse(
                LocalRefusal::RetryBudget,
                expected_wait_ms,
                expected_wait_ms.into(),
                random,
            );
        }
        Admission::Admit
    }

    /// Returns the wait that the owner of a service expects for a level, in milliseconds; 0 if no
    /// pressure of this owner is in effect.
    pub fn expected_wait_ms(
        &self,
        now_ms: u64,
        service: &str,
        owner: SocketAddr,
        level: u32,
    ) -> u32 {
        let known = self.services.get(service);
        let in_effect = known.filter(|known| known.owner == owner && known.is_in_effect(now_ms));
        in_effect.map_or(0, |known| known.told.expected_wait_ms(level))
    }

    /// Returns the pressure in effect by service, in order of the names, for metrics and status.
    pub fn in_effect(&self, now_ms: u64) -> BTreeMap<Name, OwnerPressure> {
        let in_effect = self.services.iter().filter(|(_, known)| known.is_in_effect(now_ms));
        in_effect.map(|(service, known)| (service.clone(), known.told.clone())).collect()
    }
}
