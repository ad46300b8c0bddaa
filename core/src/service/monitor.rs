//! Background tasks of an owned service: tracking its members, and failover of its primary.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::commit_history::CommitHistory;
use crate::failover::Decision;
use crate::failover::MemberView;
use crate::failover::decide;
use crate::member::MemberCommand;
use crate::member::MemberEntry;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::name::Name;
use crate::service::OwnedService;
use crate::service::probe::ProbeConnections;
use crate::service::probe::SYSTEM_TENANT;
use crate::sync::lock;

/// Interval between two checks of the members.
const MONITOR_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks while there is no primary.
const URGENT_INTERVAL: Duration = Duration::from_millis(25);

/// Time since the last reply after which an idle member is probed, in milliseconds.
const PROBE_IDLE_MS: u64 = 1_500;

/// Time without a reply after which a member with running statements is probed, in milliseconds:
/// longer than nearly all statements take.
const PROBE_BUSY_MS: u64 = 400;

/// Longest wait for running statements and open transactions of a primary before a planned move, in
/// milliseconds. New work at the primary has to wait meanwhile.
const DRAIN_LIMIT_MS: u64 = 400;

/// Longest wait for a successor to catch up before a planned move, in milliseconds.
const CATCH_UP_LIMIT_MS: u64 = 1_000;

/// Longest wait for a promoted member to become primary, in milliseconds. After it a new decision
/// is made, which repeats the promotion if it is still due.
const PROMOTION_LIMIT_MS: u64 = 2_500;

/// Number of successive reads of the member list for which a member that is missing from it is
/// kept: entries expire while the store is unreachable and come back within seconds.
const MAX_MISSED_READS: u32 = 3;

impl OwnedService {
    /// Applies changes of the member list and of the configuration until the service stops.
    pub(super) async fn discover(self: Arc<Self>) {
        let mut known: Vec<(MemberEntry, u32)> = Vec::new();
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
                    if let Some(entries) = self.context.members.entries() {
                        known = merge_entries(known, &entries, &self.name);
                    }
                }
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            self.apply_members(known.iter().map(|(entry, _)| entry.clone()).collect());
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
    pub(super) async fn monitor(self: Arc<Self>, pending_promotion: Option<Name>) {
        let mut probe_connections = ProbeConnections::default();
        let mut pending = pending_promotion;
        let mut without_primary_since_ms = now_ms();
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
            if let Some(member) = pending.take() {
                pending = self.resume_promotion(&mut probe_connections, member).await;
                continue;
            }
            let (primary, views) = self.member_views();
            if primary.is_some() {
                without_primary_since_ms = now_ms();
            }
            let served_term = self.served_term();
            match decide(now_ms(), primary.as_ref(), without_primary_since_ms, served_term, &views)
            {
                Decision::Keep => self.drop_demoted_primary(primary.as_ref(), &views),
                Decision::Adopt(leader) => self.adopt_primary(&leader),
                Decision::Replace(successor) => {
                    self.replace_primary(&mut probe_connections, primary.as_ref(), successor).await;
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

    fn member_views(&self) -> (Option<MemberKey>, Vec<MemberView>) {
        let pool = lock(&self.pool);
        let views = pool.members().iter().map(|(key, member)| MemberView {
            key: key.clone(),
            must_leave: member.must_leave,
            failing_since_ms: member.failing_since_ms,
            is_refused: member.is_refused,
            status: member.status,
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

    fn status_of(&self, member: &MemberKey) -> Option<MemberStatus> {
        lock(&self.pool).members().get(member)?.status
    }

    fn entry_of(&self, member: &MemberKey) -> Option<MemberEntry> {
        Some((*lock(&self.pool).members().get(member)?.entry).clone())
    }

    /// Starts to use a member that reports that it is primary.
    fn adopt_primary(self: &Arc<Self>, leader: &MemberKey) {
        let Some(status) = self.status_of(leader) else { return };
        {
            let mut state = lock(&self.state);
            let is_same_term = state.history.as_ref().is_some_and(|history| {
                history.term() == status.term && history.newest() <= status.position
            });
            if !is_same_term {
                state.history = Some(CommitHistory::new(status.term, status.position));
            }
        }
        self.use_primary(Some(leader));
        lock(&self.pool).set_primary_paused(false);
        log::info!(
            event = "primary_adopted", service = &*self.name, member = &*leader.id,
            term = status.term, position = status.position.to_string(),
            token = self.fencing_token; ""
        );
        self.dispatch();
    }

    /// Replaces a primary that does not answer. If another node can still reach it, the service is
    /// handed over to that node instead.
    async fn replace_primary(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        primary: Option<&MemberKey>,
        successor: MemberKey,
    ) {
        if let Some(entry) = primary.and_then(|primary| self.entry_of(primary)) {
            let found = self.context.node.find_node_reaching(&self.name, entry.address).await;
            if let Some(node) = found {
                self.context.node.request_handover(
                    &self.name,
                    Some(node),
                    "that node can reach the primary",
                );
                tokio::time::sleep(MONITOR_INTERVAL).await;
                return;
            }
        }
        if !self.has_valid_lease() {
            return;
        }
        self.use_primary(None);
        self.promote(probe_connections, primary, &successor).await;
    }

    /// Changes the primary in use. Transactions that wrote at the former one are rolled back.
    fn use_primary(self: &Arc<Self>, primary: Option<&MemberKey>) {
        lock(&self.pool).set_primary(now_ms(), primary.cloned());
        self.roll_back_revoked();
    }

    /// Moves the role of primary away from a member that must leave: pauses new work there, waits
    /// for running work to end, rolls back the transactions that are still open, waits for the
    /// successor to catch up, and promotes it.
    async fn move_primary(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        primary: Option<&MemberKey>,
        successor: MemberKey,
    ) {
        log::info!(
            event = "primary_move_started", service = &*self.name, to = &*successor.id,
            from = primary.map_or("-", |primary| &*primary.id); ""
        );
        // A successor that is far behind is found out before any work has to wait for it.
        if !self.wait_for_catch_up(probe_connections, &successor).await {
            return;
        }
        lock(&self.pool).set_primary_paused(true);
        let drain_until_ms = now_ms() + DRAIN_LIMIT_MS;
        while now_ms() < drain_until_ms && self.has_work_at(primary) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        lock(&self.pool).revoke_write_permits();
        self.roll_back_revoked();
        if self.wait_for_catch_up(probe_connections, &successor).await {
            self.use_primary(None);
            self.promote(probe_connections, primary, &successor).await;
        }
        lock(&self.pool).set_primary_paused(false);
        self.dispatch();
    }

    /// Waits until a successor's log includes every commit that is acknowledged now. Returns false
    /// if it does not in time, or if the successor is no longer listed.
    async fn wait_for_catch_up(
        &self,
        probe_connections: &mut ProbeConnections,
        successor: &MemberKey,
    ) -> bool {
        let newest = lock(&self.state).history.as_ref().map(CommitHistory::newest);
        let catch_up_until_ms = now_ms() + CATCH_UP_LIMIT_MS;
        loop {
            let Some(entry) = self.entry_of(successor) else { return false };
            self.probe(probe_connections, vec![entry]).await;
            let position = self.status_of(successor).map(|status| status.position);
            if position >= newest {
                return true;
            }
            if now_ms() >= catch_up_until_ms || !self.has_valid_lease() {
                log::info!(
                    event = "primary_move_postponed", service = &*self.name, to = &*successor.id,
                    position = format!("{position:?}"), needed = format!("{newest:?}"); ""
                );
                return false;
            }
            tokio::time::sleep(URGENT_INTERVAL).await;
        }
    }

    /// Returns whether statements are running, or transactions that may write are open, at the
    /// primary.
    fn has_work_at(&self, primary: Option<&MemberKey>) -> bool {
        let Some(primary) = primary else { return false };
        let in_flight =
            lock(&self.pool).members().get(primary).map_or(0, |member| member.in_flight);
        in_flight > 0 || self.idle_writers(primary) > 0
    }

    /// Records and orders a promotion and waits until the member is primary. Then it demotes the
    /// former primary in the background.
    async fn promote(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        former: Option<&MemberKey>,
        successor: &MemberKey,
    ) {
        // The successor may be a former primary that still reports that it is primary, so only a
        // newer term shows that the promotion has taken effect.
        let former_term = self.newest_term();
        let recorded =
            self.context.node.record_promotion(&self.name, Some(successor.id.clone())).await;
        if !self.has_valid_lease() {
            return;
        }
        log::warn!(
            event = "promotion_ordered", service = &*self.name, member = &*successor.id,
            from = former.map_or("-", |former| &*former.id), token = self.fencing_token,
            is_recorded = recorded; ""
        );
        let is_promoted =
            self.promote_and_wait(probe_connections, successor, former_term + 1).await;
        if !is_promoted {
            return;
        }
        self.adopt_primary(successor);
        let term = self.status_of(successor).map(|status| status.term);
        if let (Some(former), Some(term)) = (former.and_then(|key| self.entry_of(key)), term) {
            self.tasks.spawn(self.clone().demote_former_primary(former, term));
        }
        let _ = self.context.node.record_promotion(&self.name, None).await;
    }

    /// Returns the newest term that this owner has served, or 0 if it has had no primary yet.
    fn served_term(&self) -> u64 {
        lock(&self.state).history.as_ref().map_or(0, CommitHistory::term)
    }

    /// Returns the newest term that a member has reported or that this owner has served.
    fn newest_term(&self) -> u64 {
        let served = self.served_term();
        let pool = lock(&self.pool);
        let reported = pool.members().values().filter_map(|member| Some(member.status?.term));
        reported.max().unwrap_or(0).max(served)
    }

    /// Orders a promotion and waits until the member reports that it is primary in `min_term` or a
    /// newer term. Returns whether it did so in time.
    async fn promote_and_wait(
        &self,
        probe_connections: &mut ProbeConnections,
        successor: &MemberKey,
        min_term: u64,
    ) -> bool {
        let ordered =
            self.context.promoter.promote(&self.name, &successor.id, self.fencing_token).await;
        if let Err(error) = ordered {
            log::warn!(
                event = "promotion_unconfirmed", service = &*self.name, member = &*successor.id,
                error = error; ""
            );
        }
        let deadline_at_ms = now_ms() + PROMOTION_LIMIT_MS;
        while now_ms() < deadline_at_ms && self.has_valid_lease() {
            let Some(entry) = self.entry_of(successor) else { break };
            self.probe(probe_connections, vec![entry]).await;
            let status = self.status_of(successor);
            if status.is_some_and(|status| status.is_primary && status.term >= min_term) {
                return true;
            }
            tokio::time::sleep(URGENT_INTERVAL).await;
        }
        false
    }

    /// Completes a promotion that a former owner recorded, by ordering it once more if the member
    /// is listed, and clears the record. Returns the member again while the list of members is
    /// still empty.
    async fn resume_promotion(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        member: Name,
    ) -> Option<Name> {
        let pool_keys: Vec<MemberKey> = lock(&self.pool).members().keys().cloned().collect();
        if pool_keys.is_empty() {
            return Some(member);
        }
        let Some(key) = pool_keys.into_iter().find(|key| key.id == member) else {
            let _ = self.context.node.record_promotion(&self.name, None).await;
            return None;
        };
        log::info!(event = "promotion_resumed", service = &*self.name, member = &*member; "");
        // The promotion may have taken effect already, so the newest term is accepted.
        let min_term = self.newest_term();
        if self.promote_and_wait(probe_connections, &key, min_term).await {
            self.adopt_primary(&key);
        }
        let _ = self.context.node.record_promotion(&self.name, None).await;
        None
    }

    async fn demote_former_primary(self: Arc<Self>, former: MemberEntry, term: u64) {
        let sending = async {
            let mut connection = self.context.connector.connect(&former, SYSTEM_TENANT).await?;
            connection.exchange(&[MemberCommand::StepDown { term }]).await
        };
        let sent = tokio::time::timeout(Duration::from_millis(500), sending).await;
        let result = match sent {
            Ok(Ok(_)) => "answered".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        log::info!(
            event = "step_down_attempted", service = &*self.name, member = &*former.key.id,
            term = term, result = result; ""
        );
    }
}

/// Merges the entries of a service in a newly read list into the known ones. Members that are
/// missing from it stay for `MAX_MISSED_READS` reads, unless they are draining.
fn merge_entries(
    known: Vec<(MemberEntry, u32)>,
    read: &[MemberEntry],
    service: &Name,
) -> Vec<(MemberEntry, u32)> {
    let mut merged: Vec<(MemberEntry, u32)> = read
        .iter()
        .filter(|entry| entry.service == *service)
        .map(|entry| (entry.clone(), 0))
        .collect();
    for (entry, misses) in known {
        let is_listed = merged.iter().any(|(listed, _)| listed.key.id == entry.key.id);
        if !is_listed && !entry.is_draining && misses < MAX_MISSED_READS {
            merged.push((entry, misses + 1));
        }
    }
    merged
}
