//! Performs the I/O that the failover state machine of one group asks for.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio_util::sync::CancellationToken;

use super::core::ControlCore;
use super::failover::FailoverAction;
use super::failover::FailoverCore;
use super::failover::FailoverInputs;
use super::failover::FailoverOutcome;
use crate::clock;
use crate::fleet::homes::homes_of;
use crate::group::group_home::GroupHome;
use crate::group::member_control::ControlReply;

/// Interval between two checks of a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait for each further response after a majority of the members has accepted a term.
const LATE_GRANT_TIMEOUT: Duration = Duration::from_millis(30);

/// Maximum time until another member holds the last write of a primary that stepped down.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Runs the failover of one group that this daemon is a home of.
pub struct FailoverDriver {
    group: String,
    host: String,
    incarnation: u64,
    home: Arc<GroupHome>,
    control: Rc<RefCell<ControlCore>>,
    failover: RefCell<FailoverCore>,
}

impl FailoverDriver {
    /// Creates the driver; `None` if the chart is invalid.
    pub fn new(
        group: &str,
        host: &str,
        incarnation: u64,
        home: Arc<GroupHome>,
        control: Rc<RefCell<ControlCore>>,
    ) -> Option<Rc<Self>> {
        let failover = FailoverCore::start().ok()?;
        Some(Rc::new(Self {
            group: group.to_owned(),
            host: host.to_owned(),
            incarnation,
            home,
            control,
            failover: RefCell::new(failover),
        }))
    }

    /// Monitors the group until `stop` is cancelled.
    pub async fn run(self: Rc<Self>, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let mut actions = self.check();
            while !actions.is_empty() {
                let mut next = Vec::new();
                for action in actions {
                    next.extend(self.perform(action).await);
                }
                actions = next;
            }
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Returns the home of the monitored group.
    pub fn home(&self) -> &Arc<GroupHome> {
        &self.home
    }

    /// Returns the current state of the failover.
    pub fn state(&self) -> String {
        self.failover.borrow().state().to_owned()
    }

    /// Requests a planned move of the primary, to any suitable member if `member` is empty.
    ///
    /// # Errors
    ///
    /// Returns the reason as text if the group has no such member.
    pub fn request_move(&self, member: &str) -> Result<(), String> {
        if member.is_empty() {
            self.failover.borrow_mut().request_move(None);
            return Ok(());
        }
        let options = self.home.options();
        let Some(index) = options.members.iter().position(|known| &*known.name == member) else {
            return Err(format!("group {} has no member \"{member}\"", self.group));
        };
        self.failover.borrow_mut().request_move(Some(index));
        Ok(())
    }

    fn leaving(&self) -> Vec<bool> {
        self.home.options().members.iter().map(|member| member.is_leaving).collect()
    }

    fn check(&self) -> Vec<FailoverAction> {
        let view = self.home.prober().view();
        if view.primary().is_none() {
            // Idle probes are so far apart that homes would see each other's attempts too late.
            self.home.prober().refresh();
        }
        let leaving = self.leaving();
        let control = self.control.borrow();
        let fleet = control.fleet();
        let homes = homes_of(&fleet, &self.group);
        let rank = homes.iter().position(|home| *home == self.host);
        let inputs = FailoverInputs {
            now_ms: clock::now_ms(),
            view: &view,
            failover_after_ms: fleet.limits_of_group(&self.group).failover_after_ms,
            rank: rank.unwrap_or(homes.len()) as u64,
            leaving: &leaving,
            is_unreachable_from_all_homes: control
                .is_unreachable_from_all_homes(&self.group, &homes),
        };
        self.failover.borrow_mut().step(&inputs)
    }

    async fn perform(&self, action: FailoverAction) -> Vec<FailoverAction> {
        let outcome = match action {
            FailoverAction::StepDown { member, term } => self.step_down(member, term).await,
            FailoverAction::RequestTerm { term } => self.request_term(term).await,
            FailoverAction::Promote { member, term } => self.promote(member, term).await,
            FailoverAction::Resume => {
                self.resume().await;
                return Vec::new();
            }
            FailoverAction::Report => return Vec::new(),
        };
        let view = self.home.prober().view();
        let leaving = self.leaving();
        self.failover.borrow_mut().handle_outcome(clock::now_ms(), &view, &leaving, outcome)
    }

    fn promoter_id(&self) -> String {
        format!("{}-{}", self.host, self.incarnation)
    }

    async fn step_down(&self, member: usize, term: u64) -> FailoverOutcome {
        log::info!(
            event = "step_down_requested", group = self.group, member = member, term = term;
            "the primary is asked to step down for a planned move"
        );
        let granted = self.home.prober().member(member).step_down(term).await;
        let Ok(ControlReply { is_granted: true, status }) = granted else {
            return FailoverOutcome::StepDownRefused;
        };
        let leaving = self.leaving();
        let deadline = tokio::time::Instant::now() + CATCH_UP_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let view = self.home.prober().view();
            let is_caught_up = (0..view.len()).any(|other| {
                let received = view.status(other).unwrap_or_default().received;
                other != member && !leaving[other] && received >= status.received
            });
            if is_caught_up {
                return FailoverOutcome::SteppedDown;
            }
            self.home.prober().refresh();
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        FailoverOutcome::StepDownRefused
    }

    async fn resume(&self) {
        let view = self.home.prober().view();
        if let Some(primary) = view.primary() {
            let _ = self.home.prober().member(primary).resume(view.highest_term()).await;
        }
    }

    async fn request_term(&self, term: u64) -> FailoverOutcome {
        log::info!(
            event = "term_requested", group = self.group, term = term;
            "the members are asked to accept a new term, so that one of them can be promoted"
        );
        let prober = self.home.prober();
        let count = prober.view().len();
        let promoter_id = self.promoter_id();
        let mut requests: FuturesUnordered<_> = (0..count)
            .map(|index| {
                let member = prober.member(index);
                let promoter_id = promoter_id.clone();
                async move { (index, member.accept_term(term, &promoter_id).await.ok()) }
            })
            .collect();
        let mut grants = vec![None; count];
        let majority = prober.view().majority();
        loop {
            let granted =
                grants.iter().flatten().filter(|grant: &&ControlReply| grant.is_granted).count();
            if granted + requests.len() < majority {
                return FailoverOutcome::TermGrants(grants);
            }
            let next = match granted >= majority {
                true => {
                    tokio::time::timeout(LATE_GRANT_TIMEOUT, requests.next()).await.ok().flatten()
                }
                false => requests.next().await,
            };
            let Some((index, grant)) = next else {
                return FailoverOutcome::TermGrants(grants);
            };
            grants[index] = grant;
        }
    }

    async fn promote(&self, member: usize, term: u64) -> FailoverOutcome {
        let name = self.home.options().members[member].name.clone();
        let promoted = self.home.prober().member(member).promote(term, &self.promoter_id()).await;
        self.home.prober().refresh();
        match promoted {
            Ok(grant) if grant.status.is_primary && grant.status.accepted_term == term => {
                log::info!(
                    event = "primary_promoted", group = self.group, member = &*name, term = term;
                    "the member was promoted to primary of the group"
                );
                FailoverOutcome::Promoted
            }
            _ => {
                log::warn!(
                    event = "promotion_failed", group = self.group, member = &*name, term = term;
                    "the member did not confirm its promotion; the group is checked again"
                );
                FailoverOutcome::PromotionFailed
            }
        }
    }
}
