//! Changes of the primary of an owned service: adoption, replacement, planned moves and promotions.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::commit_history::CommitHistory;
use crate::commit_protection::CommitEvidence;
use crate::commit_protection::Verdict;
use crate::failover::MemberView;
use crate::member::MemberCommand;
use crate::member::MemberEntry;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::member::PromotionError;
use crate::promotion_order::OrderEffect;
use crate::promotion_order::PromotionOrder;
use crate::service::OwnedService;
use crate::service::matched_connection::MatchedConnection;
use crate::service::monitor::MONITOR_INTERVAL;
use crate::service::monitor::URGENT_INTERVAL;
use crate::service::probe::ProbeConnections;
use crate::service::probe::ProbeResult;
use crate::service::probe::SYSTEM_TENANT;
use crate::succession::Leadership;
use crate::succession::PendingStep;
use crate::sync::lock;
use crate::term_start::TermStart;

/// Longest wait for running statements and open transactions of a primary before a planned move, in
/// milliseconds. New work at the primary has to wait meanwhile.
const DRAIN_LIMIT_MS: u64 = 400;

/// Longest wait for a successor to catch up before a planned move, in milliseconds.
const CATCH_UP_LIMIT_MS: u64 = 1_000;

/// Pause after the store did not record a change of primary.
const RECORD_RETRY: Duration = Duration::from_millis(200);

/// Pause after an order to promote a member that was not carried out.
const ORDER_RETRY: Duration = Duration::from_millis(200);

/// Result of an order to promote a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PromotionResult {
    /// The member is primary.
    Promoted,
    /// The order was not carried out, or is known to have no effect.
    NotDone,
    /// The order may still take effect, or may have taken effect unseen.
    Unknown,
}

impl OwnedService {
    /// Starts to use a member that reports that it is primary. Its term is recorded before it serves,
    /// so that no later owner uses the primary of an earlier term. Returns false if it could not be.
    pub(super) async fn adopt_primary(self: &Arc<Self>, leader: &MemberKey) -> bool {
        let Some(status) = self.status_of(leader) else { return false };
        self.use_primary(None);
        // From here on no commit is acknowledged.
        let Some((status, is_current)) = self.status_for_adoption(leader, status).await else {
            return false;
        };
        if self.must_record(status.term)
            && !self.record_served(leader, status.term, status.position).await
        {
            tokio::time::sleep(RECORD_RETRY).await;
            return false;
        }
        {
            let mut state = lock(&self.state);
            let former = state.history.take();
            let adopted = CommitHistory::adopt(former, status.term, status.position, is_current);
            state.history = Some(adopted);
        }
        {
            let mut succession = lock(&self.succession);
            succession.set_served_term(status.term);
            succession.set_term_start(TermStart { term: status.term, position: status.position });
        }
        self.settle_commit_loss(leader);
        self.use_primary(Some(leader));
        lock(&self.pool).set_primary_paused(false);
        log::info!(
            event = "primary_adopted", service = &*self.name, member = &*leader.id,
            term = status.term, position = status.position.to_string(),
            token = self.fencing_token; ""
        );
        self.dispatch();
        true
    }

    /// Returns the status to adopt a primary by, and whether it is known to be later than every
    /// acknowledged commit. If the last one lacks some, the member is asked again. Returns `None` if
    /// it then fails or no longer leads that term.
    async fn status_for_adoption(
        self: &Arc<Self>,
        leader: &MemberKey,
        last: MemberStatus,
    ) -> Option<(MemberStatus, bool)> {
        let lacks_commits = lock(&self.state)
            .history
            .as_ref()
            .is_some_and(|history| history.exceeds(last.term, last.position));
        if !lacks_commits {
            return Some((last, false));
        }
        match self.probe_anew(self.entry_of(leader)?).await {
            ProbeResult::Reported(status) => {
                let leads = status.is_primary && status.term == last.term;
                leads.then_some((status, true))
            }
            ProbeResult::Busy => Some((last, false)),
            ProbeResult::Replaced | ProbeResult::Failed(_) => None,
        }
    }

    /// Ends the wait for acknowledged commits. Reports those that are lost, if the member that serves
    /// now was promoted without them.
    fn settle_commit_loss(&self, leader: &MemberKey) {
        let loss = {
            let mut state = lock(&self.state);
            state.commit_protection.end_wait();
            let loss = state.pending_loss.take().filter(|loss| loss.member == leader.id);
            state.last_loss = loss.clone().or(state.last_loss.take());
            loss
        };
        let Some(loss) = loss else { return };
        self.context.metrics.increment("promotions_with_lost_commits");
        self.context.metrics.add("commits_lost_by_promotions", loss.max_commits());
        log::warn!(
            event = "promotion_lost_commits", service = &*self.name, member = &*leader.id,
            acknowledged = loss.acknowledged.to_string(), held = loss.held.to_string(),
            max_commits = loss.max_commits(), token = self.fencing_token;
            "no member that answered had every acknowledged commit"
        );
    }

    /// Returns what the lease records about the primary.
    pub(super) fn leadership(&self) -> Leadership {
        lock(&self.succession).recorded().clone()
    }

    /// Records what the next owner must know about the primary. Returns whether it is stored.
    pub(super) async fn record_leadership(&self, leadership: Leadership) -> bool {
        let term = leadership.term;
        let is_recorded = self.context.node.record_leadership(&self.name, leadership.clone()).await;
        let mut succession = lock(&self.succession);
        match is_recorded {
            true => succession.set_recorded(leadership),
            false => succession.set_unconfirmed(term),
        }
        is_recorded
    }

    /// Replaces a primary that does not answer, or that was recorded by a former owner and is not
    /// found. If another node can still reach it, the service is handed over to that node instead.
    pub(super) async fn replace_primary(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        primary: Option<&MemberKey>,
        read_since_ms: u64,
    ) {
        if !lock(&self.succession).may_order(now_ms()) {
            return;
        }
        if let Some(entry) = self.unreachable_primary(primary) {
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
        let Some(successor) = self.choose_successor(primary, read_since_ms) else { return };
        self.use_primary(None);
        self.promote(probe_connections, primary, &successor).await;
    }

    /// Returns the successor of a lost primary that may be promoted now. If there is none, the caller
    /// probes the members again.
    fn choose_successor(
        &self,
        primary: Option<&MemberKey>,
        read_since_ms: u64,
    ) -> Option<MemberKey> {
        let (_, views) = self.member_views();
        let evidence = self.commit_evidence(&views, read_since_ms);
        let limit_ms = self.context.promotion_wait_ms;
        let mut state = lock(&self.state);
        let was_waiting = state.commit_protection.is_waiting();
        let verdict =
            state.commit_protection.choose(now_ms(), limit_ms, &evidence, &views, primary);
        let (successor, loss) = match &verdict {
            Verdict::Complete(successor) => (Some(successor.clone()), None),
            Verdict::Incomplete(successor, loss) => (Some(successor.clone()), Some(loss.clone())),
            Verdict::Wait | Verdict::Nobody => (None, None),
        };
        state.pending_loss = loss;
        drop(state);
        if let Verdict::Complete(key) = &verdict {
            self.report_missing_proof(key, &views, &evidence);
        }
        if verdict == Verdict::Wait && !was_waiting {
            let logs = views.iter().map(|view| match view.answers() {
                true => format!("{}={}", view.key.id, view.position),
                false => format!("{}=unread", view.key.id),
            });
            log::warn!(
                event = "promotion_waits_for_commits", service = &*self.name,
                logs = logs.collect::<Vec<_>>().join(","),
                acknowledged = format!("{:?}", evidence.acknowledged),
                adopted = format!("{:?}", evidence.adopted),
                sync_replicas = format!("{:?}", evidence.sync_replicas),
                checkpoint = format!("{:?}", evidence.checkpoint),
                may_return = format!("{:?}", evidence.may_return), limit_ms = limit_ms; ""
            );
        }
        successor
    }

    /// Reports a promotion of a member that may lack acknowledged commits, although none is known.
    fn report_missing_proof(
        &self,
        successor: &MemberKey,
        views: &[MemberView],
        evidence: &CommitEvidence,
    ) {
        let view = views.iter().find(|view| view.key == *successor);
        if !evidence.is_protected() || view.is_none_or(|view| evidence.is_complete(views, view)) {
            return;
        }
        self.context.metrics.increment("promotions_without_proof");
        log::warn!(
            event = "promotion_without_proof", service = &*self.name, member = &*successor.id,
            checkpoint = format!("{:?}", evidence.checkpoint), token = self.fencing_token;
            "members that may have had later commits are gone"
        );
    }

    /// Returns the primary in use, or else the recorded one, if this node does not reach it.
    fn unreachable_primary(&self, primary: Option<&MemberKey>) -> Option<MemberEntry> {
        let recorded = self.leadership().primary;
        let pool = lock(&self.pool);
        let mut members = pool.members().iter();
        let (_, member) = match primary {
            Some(primary) => members.find(|(key, _)| *key == primary),
            None => members.find(|(key, _)| Some(&key.id) == recorded.as_ref()),
        }?;
        let is_unreachable = member.failing_since_ms.is_some() || member.status.is_none();
        is_unreachable.then(|| (*member.entry).clone())
    }

    /// Changes the primary in use. Transactions that wrote at the former one are rolled back.
    pub(super) fn use_primary(self: &Arc<Self>, primary: Option<&MemberKey>) {
        lock(&self.pool).set_primary(now_ms(), primary.cloned());
        self.roll_back_revoked();
    }

    /// Moves the role of primary away from a member that must leave: pauses new work there, waits
    /// for running work to end, rolls back the transactions that are still open, waits for the
    /// successor to catch up, and promotes it.
    pub(super) async fn move_primary(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        primary: Option<&MemberKey>,
        successor: MemberKey,
    ) {
        if !lock(&self.succession).may_order(now_ms()) {
            return;
        }
        log::info!(
            event = "primary_move_started", service = &*self.name, to = &*successor.id,
            from = primary.map_or("-", |primary| &*primary.id); ""
        );
        // A successor that is far behind, or a store that would not record the promotion, is found out
        // before any work has to wait and any transaction is rolled back.
        if !self.wait_for_catch_up(probe_connections, &successor).await
            || !self.record_leadership(self.leadership()).await
        {
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
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        successor: &MemberKey,
    ) -> bool {
        let newest = lock(&self.state).history.as_ref().map(CommitHistory::newest);
        let catch_up_until_ms = now_ms() + CATCH_UP_LIMIT_MS;
        loop {
            let Some(entry) = self.entry_of(successor) else { return false };
            self.probe(probe_connections, vec![entry]).await;
            let status = self.status_of(successor);
            let position = status.map(|status| status.position);
            let start = lock(&self.succession).term_start();
            let is_aligned = status
                .zip(start)
                .is_none_or(|(status, start)| start.is_aligned(status.term, status.position));
            if position >= newest && is_aligned {
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
        let reported_term = self.newest_reported_term();
        let held = self.status_of(successor).map(|status| status.position).unwrap_or_default();
        let (former_leadership, leadership) = {
            let succession = lock(&self.succession);
            let promotion = succession.promotion_of(&successor.id, reported_term);
            let (term, position) = (promotion.pending_term, held);
            let term_start = Some(TermStart { term, position });
            (succession.recorded().clone(), Leadership { term_start, ..promotion })
        };
        let term = leadership.pending_term;
        if !self.record_leadership(leadership).await {
            log::warn!(
                event = "promotion_not_recorded", service = &*self.name, member = &*successor.id,
                term = term, token = self.fencing_token;
                "the promotion is not ordered, since a later owner would not know of it"
            );
            tokio::time::sleep(RECORD_RETRY).await;
            return;
        }
        if !self.has_valid_lease() {
            return;
        }
        log::warn!(
            event = "promotion_ordered", service = &*self.name, member = &*successor.id,
            from = former.map_or("-", |former| &*former.id), term = term,
            token = self.fencing_token; ""
        );
        match self.promote_and_wait(probe_connections, successor, term).await {
            PromotionResult::Promoted => self.complete_promotion(former, successor).await,
            PromotionResult::NotDone => {
                self.record_leadership(former_leadership).await;
            }
            PromotionResult::Unknown => {}
        }
    }

    /// Uses a member that was promoted, demotes the former primary in the background, and records
    /// that no promotion is pending.
    async fn complete_promotion(
        self: &Arc<Self>,
        former: Option<&MemberKey>,
        successor: &MemberKey,
    ) {
        if !self.adopt_primary(successor).await {
            return;
        }
        let term = self.status_of(successor).map(|status| status.term);
        if let (Some(former), Some(term)) = (former.and_then(|key| self.entry_of(key)), term) {
            self.tasks.spawn(self.clone().demote_former_primary(former, term));
        }
        self.record_primary_in_use().await;
    }

    fn newest_reported_term(&self) -> u64 {
        let pool = lock(&self.pool);
        let reported = pool.members().values().filter_map(|member| Some(member.status?.term));
        reported.max().unwrap_or(0)
    }

    /// Orders a promotion and waits until the member reports that it is primary in `min_term` or a
    /// newer term.
    async fn promote_and_wait(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        successor: &MemberKey,
        min_term: u64,
    ) -> PromotionResult {
        let held = self.status_of(successor).map(|status| status.position).unwrap_or_default();
        let ordered = self
            .context
            .promoter
            .promote(&self.name, &successor.id, self.fencing_token, self.valid_until_ms())
            .await;
        if let Err(error) = &ordered {
            log::warn!(
                event = "promotion_unconfirmed", service = &*self.name, member = &*successor.id,
                error = error.to_string(); ""
            );
        }
        if matches!(ordered, Err(PromotionError::NotDone(_))) {
            lock(&self.pool).mark_unpromotable(successor);
            tokio::time::sleep(ORDER_RETRY).await;
            return PromotionResult::NotDone;
        }
        let given_at_ms = now_ms();
        lock(&self.succession).set_ordered(given_at_ms);
        let order = PromotionOrder { min_term, held, given_at_ms, is_accepted: ordered.is_ok() };
        while now_ms() < order.effect_until_ms() && self.has_valid_lease() {
            let Some(entry) = self.entry_of(successor) else { break };
            self.probe(probe_connections, vec![entry]).await;
            let effect = order.effect(given_at_ms, self.status_of(successor));
            if effect == OrderEffect::Taken {
                return PromotionResult::Promoted;
            }
            tokio::time::sleep(URGENT_INTERVAL).await;
        }
        self.judge_late(successor, &order).await
    }

    /// Judges an order that has not been seen to take effect in time, by a status that the member
    /// is asked for now.
    async fn judge_late(
        self: &Arc<Self>,
        successor: &MemberKey,
        order: &PromotionOrder,
    ) -> PromotionResult {
        if !self.has_valid_lease() {
            return PromotionResult::Unknown;
        }
        let asked_at_ms = now_ms();
        let status = match self.entry_of(successor) {
            Some(entry) => match self.probe_anew(entry).await {
                ProbeResult::Reported(status) => Some(status),
                ProbeResult::Busy | ProbeResult::Replaced | ProbeResult::Failed(_) => None,
            },
            None => None,
        };
        // A member that started anew is listed as another one.
        let status = status.filter(|_| self.entry_of(successor).is_some());
        let effect = order.effect(asked_at_ms, status);
        log::warn!(
            event = "promotion_not_seen", service = &*self.name, member = &*successor.id,
            effect = format!("{effect:?}"), accepted = order.is_accepted,
            status = format!("{status:?}"); ""
        );
        if effect != OrderEffect::Taken && order.is_accepted {
            lock(&self.pool).mark_unpromotable(successor);
        }
        match effect {
            OrderEffect::Taken => PromotionResult::Promoted,
            OrderEffect::None => PromotionResult::NotDone,
            OrderEffect::Open => PromotionResult::Unknown,
        }
    }

    /// Completes a promotion that is recorded, by using the member if it leads its new term or by
    /// ordering it once more, while no primary is in use. Returns false if there is none to complete
    /// or another member must be promoted in its place.
    pub(super) async fn resume_promotion(
        self: &Arc<Self>,
        probe_connections: &mut ProbeConnections,
        read_since_ms: u64,
    ) -> bool {
        let (primary, views) = self.member_views();
        let (leadership, is_confirmed, step) = {
            let succession = lock(&self.succession);
            let leadership = succession.recorded().clone();
            (leadership, succession.is_confirmed(), succession.pending_step(now_ms(), &views))
        };
        if leadership.pending_promotion.is_none() || primary.is_some() {
            return false;
        }
        let key = match step {
            PendingStep::Leave => return views.is_empty(),
            PendingStep::Adopt(key) => {
                self.complete_promotion(None, &key).await;
                return true;
            }
            PendingStep::Order(key) => key,
        };
        if !self.is_known_complete(&key, &views, read_since_ms) {
            return false;
        }
        let term = leadership.min_pending_term();
        // A later owner must find the order that is given now.
        if !is_confirmed && !self.record_leadership(leadership).await {
            tokio::time::sleep(RECORD_RETRY).await;
            return true;
        }
        log::info!(
            event = "promotion_resumed", service = &*self.name, member = &*key.id, term = term; ""
        );
        // The promotion may have taken effect already, so the recorded term is accepted.
        let result = self.promote_and_wait(probe_connections, &key, term).await;
        if result == PromotionResult::Promoted {
            self.complete_promotion(None, &key).await;
        }
        true
    }

    /// Returns whether a member is known to have every acknowledged commit, where synchronous replicas
    /// protect some; elsewhere its log must only be aligned with the newest term.
    fn is_known_complete(&self, key: &MemberKey, views: &[MemberView], read_since_ms: u64) -> bool {
        let evidence = self.commit_evidence(views, read_since_ms);
        let view = views.iter().find(|view| view.key == *key);
        view.is_some_and(|view| match evidence.is_protected() {
            true => evidence.is_complete(views, view),
            false => evidence.is_aligned(view),
        })
    }

    async fn demote_former_primary(self: Arc<Self>, former: MemberEntry, term: u64) {
        let sending = async {
            let connected = self.context.connector.connect(&former, SYSTEM_TENANT).await?;
            let mut connection = MatchedConnection::new(connected);
            self.exchange(&former.key, &mut connection, &[MemberCommand::StepDown { term }]).await
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
