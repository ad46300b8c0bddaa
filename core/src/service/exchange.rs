//! Exchanges commands and replies with members, and reports replies that do not fit.

use crate::clock::now_ms;
use crate::member::MemberCommand;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberReply;
use crate::reply_mismatch::Mismatch;
use crate::service::OwnedService;
use crate::service::matched_connection::MatchedConnection;
use crate::sync::lock;

impl OwnedService {
    /// Sends commands to a member and returns their replies in order.
    ///
    /// # Errors
    ///
    /// See [`MatchedConnection::exchange`].
    pub(super) async fn exchange(
        &self,
        member: &MemberKey,
        connection: &mut MatchedConnection,
        commands: &[MemberCommand],
    ) -> Result<Vec<MemberReply>, MemberError> {
        let repeats = connection.repeats();
        let replied = connection.exchange(commands).await;
        let id = commands.last().map_or("-", MemberCommand::id);
        if connection.repeats() > repeats {
            self.report_mismatch(member, id, Mismatch::Repeated);
        }
        match &replied {
            Ok(replies) => {
                for refusal in replies.iter().filter_map(|reply| reply.result.as_ref().err()) {
                    self.context.metrics.record_member_failure(refusal.failure);
                }
            }
            // Members that are busy or behind fail often without repeating anything.
            Err(MemberError::Mismatched(Mismatch::Unproven)) => {
                self.context.metrics.increment("member_replies_unproven");
            }
            Err(MemberError::Mismatched(mismatch)) => self.report_mismatch(member, id, *mismatch),
            Err(_) => {}
        }
        replied
    }

    /// Logs and counts that fewer slots of a member are used after a busy reply.
    pub(super) fn report_lowered_slots(&self, member: &MemberKey, lowered: Option<usize>) {
        let Some(usable) = lowered else { return };
        self.context.metrics.increment("member_slots_lowered");
        log::debug!(
            event = "member_slots_lowered", service = &*self.name, member = &*member.id,
            usable = usable;
            "the member replied that it is busy; further slots are used again step by step"
        );
    }

    /// Logs that a member became much slower than the others or fails many more statements, or that
    /// it no longer does.
    pub(super) fn report_outlier(&self, member: &MemberKey) {
        let now_ms = now_ms();
        let mut pool = lock(&self.pool);
        let Some(is_outlier) = pool.outlier_change(now_ms, member) else { return };
        let service_ratio = pool.service_times().member_ratio(now_ms, member);
        let failure_share = pool.failure_share(now_ms, member);
        drop(pool);
        log::info!(
            event = "member_outlier_changed", service = &*self.name, member = &*member.id,
            is_outlier = is_outlier, service_ratio = format!("{service_ratio:.2}"),
            failure_share = format!("{failure_share:.2}");
            "an outlier gets few reads until its statements are like those of the others again"
        );
    }

    /// Logs and counts a reply of a member that is not that of the command that waits for one. `id` is
    /// that of the statement which noticed it.
    pub(super) fn report_mismatch(&self, member: &MemberKey, id: &str, mismatch: Mismatch) {
        self.context.metrics.record_mismatch(mismatch.label());
        log::warn!(
            event = "member_reply_mismatched", id = id, service = &*self.name,
            member = &*member.id, reason = mismatch.label(); ""
        );
    }
}
