//! What is known of the effect of an order to promote a member. Performs no input or output.

use crate::log_position::LogPosition;
use crate::member::MemberStatus;

/// Longest time from the end of the call that orders a promotion until the promotion takes effect, if
/// it does, in milliseconds: installations state 300 to 1,000 ms.
pub const EFFECT_LIMIT_MS: u64 = 2_500;

/// Effect of an order to promote a member, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// The member leads the term that the order was to begin, or a newer one.
    Taken,
    /// The order has had no effect and will have none.
    None,
    /// The member may lead a new term, now or later.
    Open,
}

/// An order to promote a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromotionOrder {
    /// Least term that the member leads once the order has taken effect.
    pub min_term: u64,
    /// Log position of the member before the order.
    pub held: LogPosition,
    /// Time at which the call ended, in milliseconds.
    pub given_at_ms: u64,
    /// Whether the platform accepted the order. If not, it gave no answer.
    pub is_accepted: bool,
}

impl PromotionOrder {
    /// Returns the time from which on an accepted order has taken effect or will not.
    pub fn effect_until_ms(&self) -> u64 {
        self.given_at_ms.saturating_add(EFFECT_LIMIT_MS)
    }

    /// Judges the effect by a status that the same incarnation of the member was asked for at
    /// `asked_at_ms`; `None` if it did not report one. A member that does not answer may lead the new
    /// term, and one that holds less than before has lost its memory of it.
    pub fn effect(&self, asked_at_ms: u64, status: Option<MemberStatus>) -> OrderEffect {
        let Some(status) = status else { return OrderEffect::Open };
        if status.is_primary && status.term >= self.min_term {
            return OrderEffect::Taken;
        }
        let is_proof = self.is_accepted
            && asked_at_ms >= self.effect_until_ms()
            && status.term < self.min_term
            && status.position >= self.held;
        match is_proof {
            true => OrderEffect::None,
            false => OrderEffect::Open,
        }
    }
}
