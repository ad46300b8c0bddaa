//! What the lease of an owned service records about its commits, and what follows from it.

use crate::clock::now_ms;
use crate::commit_checkpoint::CommitCheckpoint;
use crate::commit_history::CommitHistory;
use crate::commit_protection::CommitEvidence;
use crate::failover::MemberView;
use crate::member::MemberKey;
use crate::service::OwnedService;
use crate::succession::Leadership;
use crate::sync::lock;
use crate::sync_replicas::SyncReplicas;

/// Pause after a checkpoint could not be recorded, in milliseconds.
const CHECKPOINT_RETRY_MS: u64 = 1_000;

impl OwnedService {
    /// Returns the number of synchronous replicas that the configuration states, if it is known and
    /// names the service.
    fn configured_sync_replicas(&self) -> Option<usize> {
        let known = self.context.configuration.known()?;
        Some(known.configuration.services.get(&self.name)?.sync_replicas)
    }

    /// Returns what to record while a member serves as primary of a term and no promotion is pending.
    fn served_leadership(&self, primary: &MemberKey, term: u64) -> Leadership {
        let configured = self.configured_sync_replicas();
        let recorded = self.leadership();
        let mut state = lock(&self.state);
        let limit_ms = self.context.apply_limit_ms;
        let sync_replicas =
            configured.map_or(0, |number| state.sync_replicas.observe(now_ms(), number, limit_ms));
        let holders = state.known_members.possible_holders();
        let checkpoint =
            CommitCheckpoint::serving(recorded.checkpoint.as_ref(), sync_replicas, holders);
        Leadership { checkpoint, ..Leadership::served(primary.id.clone(), term) }
    }

    /// Returns whether a later owner could go wrong if a member served as primary of a term without a
    /// further record.
    pub(super) fn must_record(&self, primary: &MemberKey, term: u64) -> bool {
        let checkpoint = self.served_leadership(primary, term).checkpoint;
        lock(&self.succession).must_record(term) || self.leadership().checkpoint != checkpoint
    }

    /// Records that a member serves as primary of a term and that no promotion is pending. Returns
    /// whether that is stored.
    pub(super) async fn record_served(&self, primary: &MemberKey, term: u64) -> bool {
        let leadership = self.served_leadership(primary, term);
        self.leadership() == leadership || self.record_leadership(leadership).await
    }

    /// Records the primary in use, if the record differs.
    pub(super) async fn record_primary_in_use(&self) {
        let served_term = lock(&self.state).history.as_ref().map(CommitHistory::term);
        let primary = lock(&self.pool).primary().cloned();
        if let (Some(term), Some(primary)) = (served_term, primary) {
            self.record_served(&primary, term).await;
        }
    }

    /// Records where the commits are, if that has changed while the primary serves.
    pub(super) async fn renew_checkpoint(&self) {
        let (term, from_ms) = {
            let state = lock(&self.state);
            (state.history.as_ref().map(CommitHistory::term), state.record_checkpoint_from_ms)
        };
        let primary = lock(&self.pool).primary().cloned();
        let (Some(term), Some(primary)) = (term, primary) else { return };
        let recorded = self.leadership();
        let is_unprotected =
            recorded.checkpoint.is_none() && self.configured_sync_replicas() == Some(0);
        if recorded.pending_promotion.is_some() || recorded.term != term || now_ms() < from_ms {
            return;
        }
        if is_unprotected {
            lock(&self.state).sync_replicas = SyncReplicas::default();
            return;
        }
        let leadership = self.served_leadership(&primary, term);
        if recorded.checkpoint == leadership.checkpoint {
            return;
        }
        let checkpoint = leadership.checkpoint.clone();
        let is_recorded = self.record_leadership(leadership).await;
        if !is_recorded {
            lock(&self.state).record_checkpoint_from_ms = now_ms() + CHECKPOINT_RETRY_MS;
        }
        log::info!(
            event = "checkpoint_changed", service = &*self.name, is_recorded = is_recorded,
            checkpoint = format!("{checkpoint:?}"); ""
        );
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
        let state = lock(&self.state);
        let history = state.history.as_ref();
        let is_known = |key: &MemberKey| members.iter().any(|member| member.key.id == key.id);
        let missing = state.known_members.missing().into_iter();
        CommitEvidence {
            acknowledged: history.and_then(CommitHistory::acknowledged),
            adopted: history.map(CommitHistory::base),
            sync_replicas,
            checkpoint,
            may_return: missing.filter(|key| !is_known(key)).collect(),
            read_since_ms,
        }
    }
}
