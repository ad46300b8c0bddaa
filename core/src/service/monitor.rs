//! Keeps a service's members known and its primary in place.

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
use crate::service::probe::ProbeLinks;
use crate::service::probe::SYSTEM_TENANT;
use crate::sync::lock;

/// Time between two looks at the members.
const TICK: Duration = Duration::from_millis(100);

/// Time between two looks while the primary is not settled.
const URGENT_TICK: Duration = Duration::from_millis(25);

/// Time without any answer after which a member at rest is probed, in milliseconds.
const PROBE_IDLE_MS: u64 = 1_500;

/// Time without any answer after which a member at work is probed, in milliseconds: longer than
/// nearly all statements.
const PROBE_BUSY_MS: u64 = 400;

/// Longest wait for running work at a primary before a planned change, in milliseconds.
const SETTLE_LIMIT_MS: u64 = 400;

/// Longest wait for a successor to catch up before a planned change, in milliseconds.
const CATCH_UP_LIMIT_MS: u64 = 1_000;

/// Longest wait for a designated member to lead, in milliseconds; then the order is repeated.
const PROMOTION_LIMIT_MS: u64 = 2_500;

/// Entries of members that vanish from a list are kept for this many reads: entries lapse while
/// the store is away and come back within seconds.
const MISSING_READS: u32 = 3;

impl OwnedService {
    /// Follows the list of members.
    pub(super) async fn discover(self: Arc<Self>) {
        let mut known: Vec<(MemberEntry, u32)> = Vec::new();
        let mut changes = self.border.configuration.changes();
        let mut reads = self.border.members.reads();
        reads.mark_changed();
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                changed = reads.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    if let Some(entries) = self.border.members.entries() {
                        known = merge(known, &entries, &self.name);
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
        let Some(known) = self.border.configuration.known() else { return };
        let configuration = known.configuration;
        lock(&self.standing).rates.apply(now_ms(), &self.name, &configuration);
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
            self.attention.notify_one();
        }
        self.pump();
    }

    /// Probes members and replaces the primary when it must be.
    pub(super) async fn monitor(self: Arc<Self>, pending_promotion: Option<Name>) {
        let mut links = ProbeLinks::default();
        let mut pending = pending_promotion;
        let mut without_primary_since_ms = now_ms();
        loop {
            let is_settled = lock(&self.pool).primary().is_some();
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = tokio::time::sleep(if is_settled { TICK } else { URGENT_TICK }) => {}
                () = self.attention.notified() => {}
            }
            if !self.has_valid_lease() {
                self.let_go();
                continue;
            }
            let due = self.due_probes();
            if !due.is_empty() {
                self.probe(&mut links, due).await;
                self.pump();
            }
            if let Some(member) = pending.take() {
                pending = self.resume_promotion(&mut links, member).await;
                continue;
            }
            let (known, views) = self.views();
            if known.is_some() {
                without_primary_since_ms = now_ms();
            }
            let served_term = self.served_term();
            match decide(now_ms(), known.as_ref(), without_primary_since_ms, served_term, &views) {
                Decision::Keep => self.drop_deposed(known.as_ref(), &views),
                Decision::Adopt(leader) => self.adopt(&leader),
                Decision::Replace(successor) => {
                    self.replace(&mut links, known.as_ref(), successor).await;
                }
                Decision::Move(successor) => {
                    self.move_primary(&mut links, known.as_ref(), successor).await;
                }
            }
        }
    }

    /// Leaves the members to the next owner once the lease has lapsed.
    fn let_go(&self) {
        let surplus = lock(&self.pool).take_all_idle();
        let lanes = std::mem::take(&mut *lock(&self.lanes));
        if !surplus.is_empty() || !lanes.is_empty() {
            log::warn!(
                event = "lease_lapsed", service = &*self.name, token = self.fencing_token,
                connections = surplus.len(), transactions = lanes.len();
                "the store has not confirmed the lease"
            );
        }
    }

    fn due_probes(&self) -> Vec<MemberEntry> {
        let now_ms = now_ms();
        let pool = lock(&self.pool);
        let is_due = |member: &crate::service::pool::PoolMember<_>| {
            if member.failing_since_ms.is_some() || member.status.is_none() {
                return true;
            }
            let quiet_since_ms = member.answered_at_ms;
            match member.in_flight {
                0 => now_ms >= quiet_since_ms + PROBE_IDLE_MS,
                _ => now_ms >= quiet_since_ms.max(member.busy_since_ms) + PROBE_BUSY_MS,
            }
        };
        let due = pool.members().values().filter(|member| is_due(member));
        due.map(|member| (*member.entry).clone()).collect()
    }

    fn views(&self) -> (Option<MemberKey>, Vec<MemberView>) {
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

    /// Stops using a primary that says it leads no more.
    fn drop_deposed(&self, known: Option<&MemberKey>, views: &[MemberView]) {
        let Some(known) = known else { return };
        let view = views.iter().find(|view| view.key == *known);
        let is_deposed = view.is_none_or(|view| {
            view.failing_since_ms.is_none() && view.status.is_some_and(|status| !status.is_primary)
        });
        if is_deposed {
            lock(&self.pool).set_primary(None);
            log::info!(
                event = "primary_lost", service = &*self.name, member = &*known.id,
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

    /// Starts to use a member that leads.
    fn adopt(self: &Arc<Self>, leader: &MemberKey) {
        let Some(status) = self.status_of(leader) else { return };
        {
            let mut standing = lock(&self.standing);
            let is_same_term = standing.history.as_ref().is_some_and(|history| {
                history.term() == status.term && history.newest() <= status.position
            });
            if !is_same_term {
                standing.history = Some(CommitHistory::new(status.term, status.position));
            }
        }
        {
            let mut pool = lock(&self.pool);
            pool.set_primary(Some(leader.clone()));
            pool.hold_primary(false);
        }
        log::info!(
            event = "primary_adopted", service = &*self.name, member = &*leader.id,
            term = status.term, position = status.position.to_string(),
            token = self.fencing_token; ""
        );
        self.pump();
    }

    /// Replaces a primary that does not answer, unless another node reaches it.
    async fn replace(
        self: &Arc<Self>,
        links: &mut ProbeLinks,
        known: Option<&MemberKey>,
        successor: MemberKey,
    ) {
        if let Some(entry) = known.and_then(|known| self.entry_of(known)) {
            let found = self.border.node.find_node_reaching(&self.name, entry.address).await;
            if let Some(node) = found {
                self.border.node.request_handover(
                    &self.name,
                    Some(node),
                    "primary is reached from there",
                );
                tokio::time::sleep(TICK).await;
                return;
            }
        }
        if !self.has_valid_lease() {
            return;
        }
        lock(&self.pool).set_primary(None);
        self.promote(links, known, &successor).await;
    }

    /// Moves the lead away from a primary that must leave.
    async fn move_primary(
        self: &Arc<Self>,
        links: &mut ProbeLinks,
        known: Option<&MemberKey>,
        successor: MemberKey,
    ) {
        log::info!(
            event = "primary_move_started", service = &*self.name, to = &*successor.id,
            from = known.map_or("-", |known| &*known.id); ""
        );
        lock(&self.pool).hold_primary(true);
        let settled_by_ms = now_ms() + SETTLE_LIMIT_MS;
        while now_ms() < settled_by_ms && self.primary_in_flight(known) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let newest = lock(&self.standing).history.as_ref().map(CommitHistory::newest);
        let caught_up_by_ms = now_ms() + CATCH_UP_LIMIT_MS;
        while let Some(entry) = self.entry_of(&successor) {
            self.probe(links, vec![entry]).await;
            let position = self.status_of(&successor).map(|status| status.position);
            if position >= newest {
                break;
            }
            if now_ms() >= caught_up_by_ms || !self.has_valid_lease() {
                log::info!(
                    event = "primary_move_put_off", service = &*self.name, to = &*successor.id,
                    position = format!("{position:?}"), needed = format!("{newest:?}"); ""
                );
                lock(&self.pool).hold_primary(false);
                self.pump();
                return;
            }
            tokio::time::sleep(URGENT_TICK).await;
        }
        lock(&self.pool).set_primary(None);
        self.promote(links, known, &successor).await;
        lock(&self.pool).hold_primary(false);
        self.pump();
    }

    fn primary_in_flight(&self, known: Option<&MemberKey>) -> usize {
        let pool = lock(&self.pool);
        known.and_then(|key| pool.members().get(key)).map_or(0, |member| member.in_flight)
    }

    /// Orders a promotion and waits until the member leads.
    async fn promote(
        self: &Arc<Self>,
        links: &mut ProbeLinks,
        former: Option<&MemberKey>,
        successor: &MemberKey,
    ) {
        // A former primary may say that it leads until the order takes effect.
        let former_term = self.newest_term();
        let recorded =
            self.border.node.record_promotion(&self.name, Some(successor.id.clone())).await;
        if !self.has_valid_lease() {
            return;
        }
        log::warn!(
            event = "promotion_ordered", service = &*self.name, member = &*successor.id,
            from = former.map_or("-", |former| &*former.id), token = self.fencing_token,
            is_recorded = recorded; ""
        );
        let led = self.order_and_wait(links, successor, former_term + 1).await;
        if !led {
            return;
        }
        self.adopt(successor);
        let _ = self.border.node.record_promotion(&self.name, None).await;
        let term = self.status_of(successor).map(|status| status.term);
        if let (Some(former), Some(term)) = (former.and_then(|key| self.entry_of(key)), term) {
            self.tasks.spawn(self.clone().step_down(former, term));
        }
    }

    /// Returns the newest term that this owner has served; 0 if it has served none.
    fn served_term(&self) -> u64 {
        lock(&self.standing).history.as_ref().map_or(0, CommitHistory::term)
    }

    /// Returns the newest term that any member has told, or that this owner has served.
    fn newest_term(&self) -> u64 {
        let served = self.served_term();
        let pool = lock(&self.pool);
        let told = pool.members().values().filter_map(|member| Some(member.status?.term));
        told.max().unwrap_or(0).max(served)
    }

    /// Orders a promotion and waits until the member leads `least_term` or a newer one.
    async fn order_and_wait(
        &self,
        links: &mut ProbeLinks,
        successor: &MemberKey,
        least_term: u64,
    ) -> bool {
        let ordered =
            self.border.promoter.promote(&self.name, &successor.id, self.fencing_token).await;
        if let Err(error) = ordered {
            log::warn!(
                event = "promotion_unconfirmed", service = &*self.name, member = &*successor.id,
                error = error; ""
            );
        }
        let leads_by_ms = now_ms() + PROMOTION_LIMIT_MS;
        while now_ms() < leads_by_ms && self.has_valid_lease() {
            let Some(entry) = self.entry_of(successor) else { break };
            self.probe(links, vec![entry]).await;
            let status = self.status_of(successor);
            if status.is_some_and(|status| status.is_primary && status.term >= least_term) {
                return true;
            }
            tokio::time::sleep(URGENT_TICK).await;
        }
        false
    }

    /// Sees an order through that a former owner gave. Returns the order if it is still open.
    async fn resume_promotion(
        self: &Arc<Self>,
        links: &mut ProbeLinks,
        member: Name,
    ) -> Option<Name> {
        let pool_keys: Vec<MemberKey> = lock(&self.pool).members().keys().cloned().collect();
        if pool_keys.is_empty() {
            return Some(member);
        }
        let Some(key) = pool_keys.into_iter().find(|key| key.id == member) else {
            let _ = self.border.node.record_promotion(&self.name, None).await;
            return None;
        };
        log::info!(event = "promotion_resumed", service = &*self.name, member = &*member; "");
        // The order may have taken effect already.
        let least_term = self.newest_term();
        if self.order_and_wait(links, &key, least_term).await {
            self.adopt(&key);
        }
        let _ = self.border.node.record_promotion(&self.name, None).await;
        None
    }

    async fn step_down(self: Arc<Self>, former: MemberEntry, term: u64) {
        let telling = async {
            let mut link = self.border.connector.connect(&former, SYSTEM_TENANT).await?;
            link.exchange(&[MemberCommand::StepDown { term }]).await
        };
        let told = tokio::time::timeout(Duration::from_millis(500), telling).await;
        let result = match told {
            Ok(Ok(_)) => "done".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        log::info!(
            event = "former_primary_told", service = &*self.name, member = &*former.key.id,
            term = term, result = result; ""
        );
    }
}

/// Merges a newly read list into the known one.
fn merge(
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
        if !is_listed && !entry.is_draining && misses < MISSING_READS {
            merged.push((entry, misses + 1));
        }
    }
    merged
}
