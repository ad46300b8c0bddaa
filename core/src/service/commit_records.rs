//! What the lease of an owned service records about its commits, and what follows from it.

use std::sync::Arc;

use crate::clock::now_ms;
use crate::commit_checkpoint::CheckpointStep;
use crate::commit_checkpoint::CommitCheckpoint;
use crate::commit_history::CommitHistory;
use crate::commit_protection::CommitEvidence;
use crate::failover::MemberView;
use crate::log_position::LogPosition;
use crate::member::MemberKey;
use crate::service::OwnedService;
use crate::service::probe::ProbeResult;
use crate::succession::Leadership;
use crate::sync::lock;
use crate::term_start::TermStart;

/// Pause after a checkpoint could not be recorded, in milliseconds.
const CHECKPOINT_RETRY_MS: u64 = 1_000;

impl OwnedService {
    /// Returns the number of synchronous replicas that the configuration states, if it is known and
    /// names the service.
    fn configured_sync_replicas(&self) -> Option<usize> {
        let known = self.context.configuration.known()?;
        Some(known.configuration.services.get(&self.name)?.sync_replicas)
    }

    /// Returns the number of synchronous replicas that each commit has from now on, as far as that is
    /// certain; `None` if the configuration is not known.
    fn sync_replicas_in_force(&self) -> Option<usize> {
        let configured = self.configured_sync_replicas()?;
        let limit_ms = self.context.apply_limit_ms;
        Some(lock(&self.state).sync_replicas.observe(now_ms(), configured, limit_ms))
    }

    /// Returns the members that may have, or may receive, commits.
    fn possible_holders(&self) -> Vec<MemberKey> {
        lock(&self.state).known_members.possible_holders()
    }

    /// Returns whether a later owner could go wrong if a member served as primary of a term without a
    /// further record.
    pub(super) fn must_record(&self, term: u64) -> bool {
        let sync_replicas = self.sync_replicas_in_force().unwrap_or(0);
        let checkpoint = self.leadership().checkpoint;
        let is_covered = sync_replicas == 0
            || checkpoint
                .is_some_and(|known| known.covers(sync_replicas, &self.possible_holders()));
        lock(&self.succession).must_record(term) || !is_covered
    }

    /// Records that a member, whose log ended at `position`, serves as primary of a term and that no
    /// promotion is pending. Returns whether that is stored.
    pub(super) async fn record_served(
        &self,
        primary: &MemberKey,
        term: u64,
        position: LogPosition,
    ) -> bool {
        let recorded = self.leadership();
        let is_same_term = recorded.term == term && recorded.pending_promotion.is_none();
        let checkpoint = match self.sync_replicas_in_force() {
            None | Some(0) => recorded.checkpoint.clone(),
            Some(sync_replicas) => {
                let of_term = recorded.checkpoint.as_ref().filter(|_| is_same_term);
                let holders = self.possible_holders();
                Some(CommitCheckpoint::serving(of_term, position, sync_replicas, holders))
            }
        };
        let start = lock(&self.succession).term_start().filter(|start| start.term == term);
        let term_start = Some(start.unwrap_or(TermStart { term, position }));
        let served = Leadership::served(primary.id.clone(), term);
        let leadership = Leadership { checkpoint, term_start, ..served };
        recorded == leadership || self.record_leadership(leadership).await
    }

    /// Records the primary in use, if the record differs.
    pub(super) async fn record_primary_in_use(&self) {
        let history = lock(&self.state).history.as_ref().map(|known| (known.term(), known.base()));
        let primary = lock(&self.pool).primary().cloned();
        if let (Some((term, position)), Some(primary)) = (history, primary) {
            self.record_served(&primary, term, position).await;
        }
    }

    /// Records where the commits are, if that has changed while the primary serves.
    pub(super) async fn renew_checkpoint(self: &Arc<Self>) {
        let Some(sync_replicas) = self.sync_replicas_in_force() else { return };
        let (term, from_ms) = {
            let state = lock(&self.state);
            (state.history.as_ref().map(CommitHistory::term), state.record_checkpoint_from_ms)
        };
        let primary = lock(&self.pool).primary().cloned();
        let (Some(term), Some(primary)) = (term, primary) else { return };
        let recorded = self.leadership();
        let is_settled = recorded.pending_promotion.is_none() && recorded.term == term;
        let is_protected = recorded.checkpoint.is_some() || sync_replicas > 0;
        if !is_settled || !is_protected || now_ms() < from_ms {
            return;
        }
        let holders = self.possible_holders();
        let (_, views) = self.member_views();
        let has_base = |base: LogPosition| {
            let has = |key: &MemberKey| {
                views.iter().any(|view| view.key == *key && view.position >= base)
            };
            holders.iter().all(has)
        };
        let step =
            CommitCheckpoint::step(recorded.checkpoint.as_ref(), sync_replicas, &holders, has_base);
        let checkpoint = match step {
            CheckpointStep::Keep => return,
            CheckpointStep::Remove => None,
            CheckpointStep::Renew => {
                let Some(base) = self.read_primary_position(&primary, term).await else { return };
                Some(CommitCheckpoint::new(base, sync_replicas, holders))
            }
        };
        let leadership = Leadership { checkpoint: checkpoint.clone(), ..recorded };
        let is_recorded = self.record_leadership(leadership).await;
        if !is_recorded {
            lock(&self.state).record_checkpoint_from_ms = now_ms() + CHECKPOINT_RETRY_MS;
        }
        log::info!(
            event = "checkpoint_changed", service = &*self.name, is_recorded = is_recorded,
            checkpoint = format!("{checkpoint:?}"); ""
        );
    }

    /// Returns a position that includes every commit of the primary in use so far, which is asked for it.
    /// Returns `None` if it does not answer or no longer leads.
    async fn read_primary_position(
        self: &Arc<Self>,
        primary: &MemberKey,
        term: u64,
    ) -> Option<LogPosition> {
        let ProbeResult::Reported(status) = self.probe_anew(self.entry_of(primary)?).await else {
            return None;
        };
        let newest = lock(&self.state).history.as_ref().map(CommitHistory::newest)?;
        (status.is_primary && status.term == term).then(|| status.position.max(newest))
    }

    /// Returns what is known of the acknowledged commits, for logs that were reported since
    /// `read_since_ms`.
    pub(super) fn commit_evidence(
        &self,
        members: &[MemberView],
        read_since_ms: u64,
    ) -> CommitEvidence {
        let sync_replicas = self.configured_sync_replicas();
        let checkpoint = self.leadership().checkpoint;
        let term_start = lock(&self.succession).term_start();
        let state = lock(&self.state);
        let history = state.history.as_ref();
        let is_known = |key: &MemberKey| members.iter().any(|member| member.key.id == key.id);
        let missing = state.known_members.missing().into_iter();
        CommitEvidence {
            acknowledged: history.and_then(CommitHistory::acknowledged),
            adopted: history.map(CommitHistory::base),
            sync_replicas,
            checkpoint,
            term_start,
            may_return: missing.filter(|key| !is_known(key)).collect(),
            read_since_ms,
        }
    }
}
