//! Back pressure at a node: tells the pressure of its services with replies, and refuses statements of
//! its callers that the owner would refuse.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::clock::now_ms;
use crate::metrics::label_value;
use crate::name::Name;
use crate::node::Node;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::owner_directory::Owner;
use crate::owner_pressure::OwnerPressure;
use crate::pressure::ServicePressure;
use crate::pressure_table::Admission;
use crate::pressure_table::Arrival;
use crate::pressure_table::LocalRefusal;
use crate::pressure_table::PressureTable;
use crate::pressure_teller::PressureTeller;
use crate::refusal_history::RefusalHistory;
use crate::relay::Call;
use crate::relay::CallAction;
use crate::relay::CallReply;
use crate::sync::lock;

/// Shortest time between two log lines about the refusals of one level, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What this node did with the statements of one level.
#[derive(Clone, Debug, Default)]
struct LevelCounts {
    refused: BTreeMap<LocalRefusal, u64>,
    probes: u64,
    refused_since_log: u64,
    logged_at_ms: Option<u64>,
}

/// State of back pressure at a node.
#[derive(Default)]
pub(crate) struct BackPressure {
    table: Mutex<PressureTable>,
    refusals: Mutex<RefusalHistory>,
    overrides: Mutex<HashMap<Name, ServicePressure>>,
    own_teller: Mutex<PressureTeller>,
    counts: Mutex<BTreeMap<(Name, u32), LevelCounts>>,
}

impl Node {
    /// Returns the pressure of a service that this node owns; `None` for other services.
    pub(crate) fn owned_pressure(&self, name: &Name) -> Option<OwnerPressure> {
        let service = self.owned(name).filter(|service| service.has_valid_lease())?;
        let fencing_token = service.fencing_token();
        let given = lock(&self.back_pressure.overrides).get(name).cloned();
        let pressure = given.unwrap_or_else(|| service.pressure());
        Some(OwnerPressure { fencing_token, pressure })
    }

    /// Sets the pressure that this node tells as owner of a service, instead of the computed one;
    /// `None` ends that. Tests use it to have pressure without load.
    pub fn override_pressure(&self, service: &Name, pressure: Option<ServicePressure>) {
        let mut overrides = lock(&self.back_pressure.overrides);
        match pressure {
            Some(pressure) => overrides.insert(service.clone(), pressure),
            None => overrides.remove(service),
        };
    }

    /// Records the pressure of a service that this node owns, as if another owner had sent it with a
    /// reply: the callers of the owner's node are treated like those of other nodes.
    pub(crate) fn record_own_pressure(&self, service: &Name) {
        let current = self.owned_pressure(service);
        let told = lock(&self.back_pressure.own_teller).tell(service, current);
        self.record_pressure(service, self.settings.identity.address, told);
    }

    /// Records the pressure that came with a reply of an owner.
    pub fn record_pressure(&self, service: &Name, owner: SocketAddr, told: Option<OwnerPressure>) {
        let Some(told) = told else { return };
        let token = told.fencing_token;
        let mut table = lock(&self.back_pressure.table);
        if !table.record(now_ms(), service, owner, told, &mut rand::rng()) {
            drop(table);
            self.metrics.increment("pressure_of_former_owners");
            log::debug!(
                event = "pressure_dropped", service = &**service, peer = owner.to_string(),
                token = token; "the pressure belongs to an earlier ownership"
            );
        }
    }

    /// Records that the owner refused a call as busy, if it was under pressure: a later statement of
    /// the tenant and route counts as its retry.
    pub(crate) fn record_owner_refusal(&self, call: &Call, owner: SocketAddr, reply: &CallReply) {
        let CallReply::Refused(refusal) = reply else { return };
        if refusal.failure != Failure::Busy {
            return;
        }
        let table = lock(&self.back_pressure.table);
        let wait_ms = table.expected_wait_ms(now_ms(), &call.service, owner, call.priority);
        drop(table);
        if wait_ms > 0 {
            lock(&self.back_pressure.refusals).record(now_ms(), &call.tenant, &call.route);
        }
    }

    /// Returns whether a new call counts as a retry after a refusal.
    pub(crate) fn is_retry(&self, call: &Call) -> bool {
        lock(&self.back_pressure.refusals).match_retry(now_ms(), &call.tenant, &call.route)
    }

    /// Returns the refusal of a call that has not been sent yet, if its owner would refuse it. A call
    /// of an open transaction, a COMMIT or a ROLLBACK is never refused here.
    pub(crate) fn refuse_locally(
        &self,
        call: &Call,
        owner: &Owner,
        is_retry: bool,
    ) -> Option<Refusal> {
        if call.transaction.is_some() || !matches!(call.action, CallAction::Run(_)) {
            return None;
        }
        let now_ms = now_ms();
        let arrival = Arrival {
            service: &call.service,
            owner: owner.address,
            level: call.priority,
            objective_left_ms: call.objective_ms.min(call.max_queue_ms),
            is_retry,
        };
        let admission = lock(&self.back_pressure.table).admit(now_ms, &arrival, &mut rand::rng());
        let (reason, expected_wait_ms, retry_after_ms) = match admission {
            Admission::Admit => return None,
            Admission::Probe => {
                let mut counts = lock(&self.back_pressure.counts);
                counts.entry((call.service.clone(), call.priority)).or_default().probes += 1;
                return None;
            }
            Admission::Refuse { reason, expected_wait_ms, retry_after_ms } => {
                (reason, expected_wait_ms, retry_after_ms)
            }
        };
        let mut refusals = lock(&self.back_pressure.refusals);
        match reason {
            LocalRefusal::RetryBudget => {
                refusals.undo_match(now_ms, &call.tenant, &call.route, retry_after_ms);
            }
            _ => refusals.record(now_ms, &call.tenant, &call.route),
        }
        drop(refusals);
        self.count_local_refusal(now_ms, call, owner, reason, expected_wait_ms);
        let detail = match reason {
            LocalRefusal::ExpectedWait => format!(
                "not run: the owner expects a wait of {expected_wait_ms} ms at level {}; retry after {retry_after_ms} ms",
                call.priority
            ),
            LocalRefusal::Resuming => format!(
                "not run: admission at level {} resumes step by step; retry after {retry_after_ms} ms",
                call.priority
            ),
            LocalRefusal::RetryBudget => format!(
                "not run: the owner is under pressure and retries are limited at level {}; retry after {retry_after_ms} ms",
                call.priority
            ),
        };
        Some(Refusal::new(Failure::Busy, &detail))
    }

    fn count_local_refusal(
        &self,
        now_ms: u64,
        call: &Call,
        owner: &Owner,
        reason: LocalRefusal,
        expected_wait_ms: u32,
    ) {
        let mut all = lock(&self.back_pressure.counts);
        let counts = all.entry((call.service.clone(), call.priority)).or_default();
        *counts.refused.entry(reason).or_default() += 1;
        counts.refused_since_log += 1;
        if counts.logged_at_ms.is_some_and(|logged| now_ms.saturating_sub(logged) < LOG_INTERVAL_MS)
        {
            return;
        }
        counts.logged_at_ms = Some(now_ms);
        let refused = std::mem::take(&mut counts.refused_since_log);
        log::info!(
            event = "refused_before_hop", id = call.action.id(), service = &*call.service,
            level = call.priority, owner = &*owner.node, reason = reason.label(),
            expected_wait_ms = expected_wait_ms, refused = refused;
            "statements that the owner would refuse are not sent to it"
        );
    }

    /// Appends the metrics of back pressure in text format, one per line.
    pub(crate) fn render_pressure_metrics(&self, text: &mut String) {
        for ((service, level), counts) in &*lock(&self.back_pressure.counts) {
            let labels = format!("service=\"{}\",level=\"{level}\"", label_value(service));
            for (reason, count) in &counts.refused {
                let reason = reason.label();
                let _ =
                    writeln!(text, "refused_before_hop{{{labels},reason=\"{reason}\"}} {count}");
            }
            let _ = writeln!(text, "pressure_probes{{{labels}}} {}", counts.probes);
        }
        let sources = [
            ("pressure_in_effect_ms", lock(&self.back_pressure.table).in_effect(now_ms())),
            ("pressure_told_ms", self.told_pressure()),
        ];
        for (metric, services) in sources {
            for (service, told) in services {
                let service = label_value(&service);
                for level in told.pressure.levels {
                    let _ = writeln!(
                        text,
                        "{metric}{{service=\"{service}\",level=\"{}\"}} {}",
                        level.level, level.expected_wait_ms
                    );
                }
            }
        }
    }

    /// Describes, in words for operators, the pressure that this node tells and that it acts on.
    pub(crate) fn pressure_report(&self) -> String {
        let mut text = String::new();
        let sources = [
            ("pressure told", self.told_pressure()),
            ("pressure in effect", lock(&self.back_pressure.table).in_effect(now_ms())),
        ];
        for (heading, services) in sources {
            for (service, told) in services {
                for level in told.pressure.levels {
                    let _ = writeln!(
                        text,
                        "{heading}: {}, level {}: wait of {} ms (ownership {})",
                        service.escape_debug(),
                        level.level,
                        level.expected_wait_ms,
                        told.fencing_token
                    );
                }
            }
        }
        for ((service, level), counts) in &*lock(&self.back_pressure.counts) {
            let refused: u64 = counts.refused.values().sum();
            let _ = writeln!(
                text,
                "refused before the hop: {}, level {level}: {refused} statements, {} probes",
                service.escape_debug(),
                counts.probes
            );
        }
        text
    }

    fn told_pressure(&self) -> BTreeMap<Name, OwnerPressure> {
        let owned: Vec<Name> = lock(&self.services).keys().cloned().collect();
        let told = owned.into_iter().filter_map(|name| {
            let pressure = self.owned_pressure(&name)?;
            Some((name, pressure))
        });
        told.collect()
    }
}
