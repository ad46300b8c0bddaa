//! Snapshots of services and their members, for metrics and status.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::admission::level_counters::LevelCounters;
use crate::commit_protection::CommitLoss;
use crate::metrics::label_value;
use crate::name::Name;
use crate::pressure::LevelPressure;

/// Snapshot of a service.
#[derive(Clone, Debug)]
pub struct ServiceSummary {
    /// Name of the service.
    pub name: Name,
    /// Whether new operations are accepted.
    pub is_open: bool,
    /// Number of statements that wait for a slot.
    pub waiting: usize,
    /// Number of open transactions.
    pub transactions: usize,
    /// Members of the service.
    pub members: Vec<MemberSummary>,
    /// Acknowledged commits lost by the last promotion under this owner that lost any.
    pub last_loss: Option<CommitLoss>,
    /// Counters of each level.
    pub levels: BTreeMap<u32, LevelCounters>,
    /// Expected wait of each level at which statements wait.
    pub pressure: Vec<LevelPressure>,
}

impl ServiceSummary {
    /// Describes each problem of the service: a missing primary, members that do not answer.
    pub fn problems(&self) -> Vec<String> {
        let service = self.name.escape_debug();
        let mut problems = Vec::new();
        if !self.members.iter().any(|member| member.is_primary) {
            problems.push(format!("service {service} has no primary"));
        }
        let failing = self.members.iter().filter(|member| member.is_failing);
        problems.extend(failing.map(|member| {
            format!("member {} of {service} does not answer", member.id.escape_debug())
        }));
        problems
    }

    /// Describes the last promotion that lost acknowledged commits, if there was one.
    pub fn loss_report(&self) -> Option<String> {
        let loss = self.last_loss.as_ref()?;
        Some(format!(
            "service {}: the promotion of {} lost up to {} acknowledged commits ({} acknowledged, {} held)",
            self.name.escape_debug(),
            loss.member.escape_debug(),
            loss.max_commits(),
            loss.acknowledged,
            loss.held
        ))
    }

    /// Appends the metrics in text format, one per line.
    pub fn render_metrics(&self, text: &mut String) {
        let service = label_value(&self.name);
        let open = u8::from(self.is_open);
        let _ = writeln!(text, "service_open{{service=\"{service}\"}} {open}");
        let _ = writeln!(text, "service_waiting{{service=\"{service}\"}} {}", self.waiting);
        let transactions = self.transactions;
        let _ = writeln!(text, "service_transactions{{service=\"{service}\"}} {transactions}");
        for (level, counters) in &self.levels {
            counters.render_metrics(text, &service, *level);
        }
        for LevelPressure { level, expected_wait_ms } in &self.pressure {
            let labels = format!("service=\"{service}\",level=\"{level}\"");
            let _ = writeln!(text, "admission_expected_wait_ms{{{labels}}} {expected_wait_ms}");
        }
        for member in &self.members {
            let labels = format!("service=\"{service}\",member=\"{}\"", label_value(&member.id));
            let is_primary = u8::from(member.is_primary);
            let _ = writeln!(text, "member_is_primary{{{labels}}} {is_primary}");
            let is_failing = u8::from(member.is_failing);
            let _ = writeln!(text, "member_is_failing{{{labels}}} {is_failing}");
            let _ = writeln!(text, "member_slots_in_use{{{labels}}} {}", member.in_flight);
            let _ = writeln!(text, "member_slots_usable{{{labels}}} {}", member.usable_slots);
            let _ = writeln!(text, "member_service_ratio{{{labels}}} {:.2}", member.service_ratio);
            let _ = writeln!(text, "member_failure_share{{{labels}}} {:.2}", member.failure_share);
            let _ = writeln!(text, "member_connections{{{labels}}} {}", member.connections);
            let evicted = member.evicted_connections;
            let _ = writeln!(text, "member_connections_evicted{{{labels}}} {evicted}");
        }
    }
}

/// Snapshot of a member.
#[derive(Clone, Debug)]
pub struct MemberSummary {
    /// Name of the member.
    pub id: Name,
    /// Whether the owner uses it as primary.
    pub is_primary: bool,
    /// Whether it is suspected of having failed and has not answered a probe since.
    pub is_failing: bool,
    /// Number of running statements.
    pub in_flight: usize,
    /// Number of slots that the owner uses at most at present.
    pub usable_slots: usize,
    /// Its service times divided by those of the other members.
    pub service_ratio: f64,
    /// Share of its recent statements that failed.
    pub failure_share: f64,
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections that this owner closed to make room for those of other tenants.
    pub evicted_connections: u64,
}
