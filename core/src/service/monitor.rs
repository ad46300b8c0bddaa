//! Background tasks of an owned service that track its members and decide on its primary.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::admission_rules::AdmissionRules;
use crate::clock::now_ms;
use crate::failover::Decision;
use crate::failover::MemberView;
use crate::failover::decide;
use crate::failover::leaderless_since_ms;
use crate::failover::leads_newer_term;
use crate::member::MemberEntry;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::service::OwnedService;
use crate::service::probe::ProbeConnections;
use crate::sync::lock;

/// Interval between two checks of the members.
pub(super) const MONITOR_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks while there is no primary.
pub(super) const URGENT_INTERVAL: Duration = Duration::from_millis(25);

/// Time since the last reply after which an idle member is probed, in milliseconds.
const PROBE_IDLE_MS: u64 = 1_500;

/// Time without a reply after which a member with running statements is probed, in milliseconds:
/// longer than nearly all statements take.
const PROBE_BUSY_MS: u64 = 400;

/// Longest wait for a member that answers but does not report its log, as a busy one may, before a
/// primary is chosen among the others, in milliseconds.
const REPORT_LIMIT_MS: u64 = 1_000;

impl OwnedService {
    /// Applies changes of the member list and of the configuration until the service stops.
    pub(super) async fn discover(self: Arc<Self>) {
        let mut changes = self.context.configuration.changes();
        let mut reads = self.context.members.reads();
        reads.mark_changed();
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                changed = reads.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    if let Some((read_at_ms, entries)) = self.context.members.listed() {
                        lock(&self.state).known_members.apply(read_at_ms, &entries, &self.name);
                    }
                }
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            let usable = lock(&self.state).known_members.usable();
            self.apply_members(usable);
        }
    }

    fn apply_members(self: &Arc<Self>, entries: Vec<MemberEntry>) {
        let Some(known) = self.context.configuration.known() else { return };
        let configuration = known.configuration;
        lock(&self.state).rates.apply(now_ms(), &self.name, &configuration);
        let mut pool = lock(&self.pool);
        if let Some(limits) = configuration.services.get(&self.name) {
            pool.set_limits(limits.max_connections, limits.cold_per_s);
        }
        pool.set_admission_rules(AdmissionRules::of_service(&self.name, &configuration));
        let before: Vec<(MemberKey, bool)> =
            pool.members().iter().map(|(key, member)| (key.clone(), member.must_leave)).collect();
        let evacuated = |zone: &str| configuration.evacuated.contains(zone);
        let surplus = pool.set_members(now_ms(), entries, &evacuated);
        let after: Vec<(MemberKey, bool)> =
            pool.members().iter().map(|(key, member)| (key.clone(), member.must_leave)).collect();
        drop(pool);
        drop(surplus);
        if before != after {
            let members: Vec<String> = after
                .iter()
                .map(|(key, leaves)| format!("{}{}", key.id, if *leaves { "-leaving" } else { "" }))
                .collect();
            log::info!(
                event = "members_changed", service = &*self.name,
                configuration = configuration.version, members = members.join(","); ""
            );
            self.monitor_wakeup.notify_one();
        }
        self.dispatch();
    }

    /// Probes members, and adopts, replaces or moves the primary as `decide` says, until the
    /// service stops.
    pub(super) async fn monitor(self: Arc<Self>) {
        let mut probe_connections = ProbeConnections::default();
        let mut without_primary_since_ms = now_ms();
        let mut probing_since_ms = None;
        loop {
            let has_primary = lock(&self.pool).primary().is_some();
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = tokio::time::sleep(
                    if has_primary { MONITOR_INTERVAL } else { URGENT_INTERVAL }
                ) => {}
                () = self.monitor_wakeup.notified() => {}
            }
            if !self.has_valid_lease() {
                self.release_members();
                continue;
            }
            let due = self.members_due_for_probe();
            if !due.is_empty() {
                self.probe(&mut probe_connections, due).await;
                self.dispatch();
            }
            if self.resume_promotion(&mut probe_connections, without_primary_since_ms).await {
                continue;
            }
            self.renew_checkpoint().await;
            let (primary, mut views) = self.member_views();
            if primary.is_some() {
                without_primary_since_ms = now_ms();
            }
            let min_term = lock(&self.succession).min_term();
            if let Some(primary) = &primary
                && leads_newer_term(Some(primary), min_term, &views)
            {
                self.adopt_primary(primary).await;
                continue;
            }
            let choose = |views: &[MemberView]| {
                let known = primary.as_ref();
                decide(now_ms(), known, without_primary_since_ms, min_term, views)
            };
            let read_since_ms =
                leaderless_since_ms(primary.as_ref(), without_primary_since_ms, &views);
            let mut decision = choose(&views);
            probing_since_ms =
                (decision == Decision::Probe).then(|| probing_since_ms.unwrap_or_else(now_ms));
            if let Some(probing_since_ms) = probing_since_ms {
                self.probe_all(&mut probe_connections).await;
                views = self.views_reported_since(probing_since_ms);
                decision = choose(&views);
            }
            match decision {
                // A busy member may not have reported its log; the next check asks it again.
                Decision::Probe => {}
                Decision::Keep => {
                    if primary.as_ref().is_some_and(|primary| answers(primary, &views)) {
                        lock(&self.state).commit_protection.end_wait();
                    }
                    self.drop_demoted_primary(primary.as_ref(), &views);
                }
                Decision::Adopt(leader) => {
                    if self.adopt_primary(&leader).await {
                        self.record_primary_in_use().await;
                    }
                }
                Decision::Replace(_) => {
                    self.replace_primary(&mut probe_connections, primary.as_ref(), read_since_ms)
                        .await;
                    if lock(&self.state).commit_protection.is_waiting() {
                        self.probe_all(&mut probe_connections).await;
                    }
                }
                Decision::Move(successor) => {
                    self.move_primary(&mut probe_connections, primary.as_ref(), successor).await;
                }
            }
        }
    }

    /// Closes idle connections and rolls back idle transactions once the lease is no longer valid,
    /// so that the members are free for the next owner.
    fn release_members(&self) {
        let surplus = lock(&self.pool).take_all_idle();
        let transactions = lock(&self.idle_transactions).take_all();
        if !surplus.is_empty() || !transactions.is_empty() {
            log::warn!(
                event = "lease_no_longer_valid", service = &*self.name, token = self.fencing_token,
                connections = surplus.len(), transactions = transactions.len();
                "lease not renewed in time or given up; closing idle connections and transactions"
            );
        }
    }

    fn members_due_for_probe(&self) -> Vec<MemberEntry> {
        let now_ms = now_ms();
        let pool = lock(&self.pool);
        let is_due = |member: &crate::service::pool::PoolMember<_>| {
            if member.failing_since_ms.is_some() || member.status.is_none() {
                return true;
            }
            let last_reply_ms = member.answered_at_ms;
            match member.in_flight {
                0 => now_ms >= last_reply_ms + PROBE_IDLE_MS,
                _ => now_ms >= last_reply_ms.max(member.busy_since_ms) + PROBE_BUSY_MS,
            }
        };
        let due = pool.members().values().filter(|member| is_due(member));
        due.map(|member| (*member.entry).clone()).collect()
    }

    /// Returns the members after another probe. Those that have not reported their log since
    /// `probing_since_ms` are left out once that has taken too long, except for the primary in use.
    fn views_reported_since(&self, probing_since_ms: u64) -> Vec<MemberView> {
        let (primary, mut views) = self.member_views();
        if now_ms() >= probing_since_ms + REPORT_LIMIT_MS {
            views.retain(|view| {
                view.position_at_ms >= probing_since_ms || Some(&view.key) == primary.as_ref()
            });
        }
        views
    }

    /// Probes all members.
    async fn probe_all(self: &Arc<Self>, probe_connections: &mut ProbeConnections) {
        let entries: Vec<MemberEntry> = {
            let pool = lock(&self.pool);
            pool.members().values().map(|member| (*member.entry).clone()).collect()
        };
        self.probe(probe_connections, entries).await;
    }

    pub(super) fn member_views(&self) -> (Option<MemberKey>, Vec<MemberView>) {
        let pool = lock(&self.pool);
        let views = pool.members().iter().map(|(key, member)| MemberView {
            key: key.clone(),
            must_leave: member.must_leave,
            failing_since_ms: member.failing_since_ms,
            is_refused: member.is_refused,
            status: member.status,
            position: member.position,
            position_at_ms: member.position_at_ms,
            is_unpromotable: member.is_unpromotable,
        });
        (pool.primary().cloned(), views.collect())
    }

    /// Stops using a primary that reports that it is a replica, or that is no longer listed.
    fn drop_demoted_primary(self: &Arc<Self>, primary: Option<&MemberKey>, views: &[MemberView]) {
        let Some(primary) = primary else { return };
        let view = views.iter().find(|view| view.key == *primary);
        let is_demoted = view.is_none_or(|view| {
            view.failing_since_ms.is_none() && view.status.is_some_and(|status| !status.is_primary)
        });
        if is_demoted {
            self.use_primary(None);
            log::info!(
                event = "primary_lost", service = &*self.name, member = &*primary.id,
                is_listed = view.is_some(); ""
            );
        }
    }

    pub(super) fn status_of(&self, member: &MemberKey) -> Option<MemberStatus> {
        lock(&self.pool).members().get(member)?.status
    }

    pub(super) fn entry_of(&self, member: &MemberKey) -> Option<MemberEntry> {
        Some((*lock(&self.pool).members().get(member)?.entry).clone())
    }
}

fn answers(member: &MemberKey, views: &[MemberView]) -> bool {
    views.iter().any(|view| view.key == *member && view.failing_since_ms.is_none())
}
