//! Runs statements at members and says truthfully how they ended.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::log_position::LogPosition;
use crate::member::MemberCommand;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberReply;
use crate::name::Name;
use crate::outcome::Answer;
use crate::outcome::BlockState;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::relay::Call;
use crate::relay::CallAction;
use crate::relay::CallReply;
use crate::relay::ReadRequirement;
use crate::service::Granted;
use crate::service::OwnedService;
use crate::service::connection::PooledConnection;
use crate::service::lent::Lent;
use crate::service::lent::SlotGuard;
use crate::service::pool::Need;
use crate::service::pool::SlotRequest;
use crate::statement::Access;
use crate::statement::DataStatement;
use crate::statement::StatementBody;
use crate::sync::lock;

/// Most members that are tried for one statement: each of three, and one again.
const MAX_TRIES: u32 = 4;

/// Replicas that may lag before a statement waits for the primary: both of three members.
const LAGGING_LIMIT: u32 = 2;

/// Pause before a member that was busy is asked again.
pub(super) const BUSY_PAUSE: Duration = Duration::from_millis(5);

/// A call with its moments in this node's time.
pub(super) struct Running {
    pub(super) call: Call,
    pub(super) deadline_ms: u64,
    hold_until_ms: u64,
    pub(super) objective_at_ms: u64,
}

/// How one try ended.
pub(super) enum Tried {
    /// With this reply for the caller.
    Final(CallReply),
    /// Nothing ran; another try may succeed.
    Again {
        /// Member to avoid.
        except: Option<MemberKey>,
        /// What to tell when there is no other try.
        refusal: Refusal,
    },
}

pub(super) fn refused(failure: Failure, detail: &str) -> CallReply {
    CallReply::Refused(Refusal::new(failure, detail))
}

impl OwnedService {
    /// Runs a statement.
    pub async fn run(self: &Arc<Self>, call: Call) -> CallReply {
        let now_ms = now_ms();
        let running = Running {
            deadline_ms: now_ms + call.deadline_ms,
            hold_until_ms: now_ms + call.max_queue_ms.min(call.deadline_ms),
            objective_at_ms: now_ms + call.objective_ms,
            call,
        };
        match running.call.transaction {
            Some(number) => self.run_in_lane(number, running).await,
            None => self.run_new(running).await,
        }
    }

    async fn run_new(self: &Arc<Self>, running: Running) -> CallReply {
        if !self.is_open() {
            return CallReply::NotOwner { owner: None };
        }
        if running.call.starts_operation
            && let Some(reply) = self.refuse_beyond_rate(&running.call).await
        {
            return reply;
        }
        let mut except = None;
        let mut lagging = 0;
        let mut refusal = Refusal::new(Failure::Busy, "no member could take it in time");
        for _ in 0..MAX_TRIES {
            if now_ms() >= running.hold_until_ms {
                break;
            }
            let needs_primary = lagging >= LAGGING_LIMIT;
            match self.try_new(&running, except.take(), needs_primary).await {
                Tried::Final(reply) => return reply,
                Tried::Again { except: failed, refusal: latest } => {
                    if latest.failure == Failure::Busy {
                        tokio::time::sleep(BUSY_PAUSE).await;
                    }
                    lagging += u32::from(latest.failure == Failure::Lagging);
                    except = failed;
                    refusal = latest;
                }
            }
            if !self.is_open() {
                return CallReply::NotOwner { owner: None };
            }
        }
        CallReply::Refused(refusal)
    }

    async fn refuse_beyond_rate(&self, call: &Call) -> Option<CallReply> {
        let wait_ms = self.border.node.admit_operation(&call.tenant).await.err()?;
        self.border.metrics.record_refused(&call.tenant, "rate");
        log::debug!(
            event = "rate_refused", id = call.action.id(), tenant = &*call.tenant,
            wait_ms = wait_ms; ""
        );
        let detail = format!("tenant is beyond its rate; retry after {wait_ms} ms");
        Some(refused(Failure::Busy, &detail))
    }

    /// Returns which member a statement needs, with the position that its log must include.
    fn need(
        &self,
        call: &Call,
        except: Option<MemberKey>,
        needs_primary: bool,
    ) -> Option<(Need, LogPosition)> {
        let standing = lock(&self.standing);
        let history = standing.history.as_ref()?;
        let writes = match (&call.begin, &call.action) {
            (Some(open), _) => !open.is_read_only,
            (None, CallAction::Run(work)) => work.access == Access::Write,
            (None, _) => true,
        };
        let found = match call.read_requirement {
            ReadRequirement::BoundedStaleness { max_staleness_ms, floor }
                if !writes && !needs_primary =>
            {
                let by_age = history.floor(now_ms(), max_staleness_ms);
                let own = floor.map(|floor| history.rebase(floor)).unwrap_or_default();
                let floor = by_age.max(own);
                (Need::Reader { floor, except }, floor)
            }
            _ => (Need::Primary, history.newest()),
        };
        Some(found)
    }

    async fn try_new(
        self: &Arc<Self>,
        running: &Running,
        except: Option<MemberKey>,
        needs_primary: bool,
    ) -> Tried {
        let call = &running.call;
        let Some((need, floor)) = self.need(call, except, needs_primary) else {
            return self.wait_for_primary(running).await;
        };
        let request = SlotRequest {
            need,
            tenant: call.tenant.clone(),
            objective_at_ms: running.objective_at_ms,
            priority: call.priority,
        };
        let Some(Granted { slot, grant }) = self.acquire(request, running.hold_until_ms).await
        else {
            return match self.is_open() {
                true => Tried::Final(refused(Failure::Busy, "no slot became free in time")),
                false => Tried::Final(CallReply::NotOwner { owner: None }),
            };
        };
        let is_primary = grant.is_primary;
        let mut connection = grant.connection;
        // A write on a connection that its member has closed would end in doubt.
        if connection.as_mut().is_some_and(|connection| connection.link.is_closed()) {
            connection = None;
            self.doubt(&grant.member.key, "an idle connection was closed");
        }
        let mut lent = match connection {
            Some(connection) => {
                Lent::new(self.clone(), grant.member.clone(), connection, grant.down)
            }
            None => {
                let connecting = self.border.connector.connect(&grant.member, &call.tenant).await;
                match connecting {
                    Ok(link) => {
                        self.border.metrics.record_connection();
                        let connection = PooledConnection::new(link, call.tenant.clone());
                        Lent::new(self.clone(), grant.member.clone(), connection, grant.down)
                    }
                    Err(error) => return self.connect_failed(&grant.member.key, &error),
                }
            }
        };
        if !self.has_valid_lease() {
            lent.give_back();
            return Tried::Final(CallReply::NotOwner { owner: None });
        }
        let shape = match &call.action {
            CallAction::Run(DataStatement {
                body: StatementBody::Execute { shape, .. }, ..
            }) => Some(shape.clone()),
            _ => None,
        };
        let commands = lent
            .connection()
            .map(|connection| connection.prepare_for(&call.values, shape.as_ref(), true))
            .unwrap_or_default();
        // The primary includes every position by definition.
        let floor = (!is_primary && floor != LogPosition::default()).then_some(floor);
        match &call.begin {
            Some(open) => self.open_lane(running, open, lent, slot, commands, floor).await,
            None => self.run_single(running, lent, slot, commands, floor).await,
        }
    }

    /// Waits for a primary to become known, for as long as the statement may take.
    async fn wait_for_primary(&self, running: &Running) -> Tried {
        while now_ms() < running.hold_until_ms {
            tokio::time::sleep(BUSY_PAUSE).await;
            if lock(&self.standing).history.is_some() {
                break;
            }
            if !self.is_open() {
                return Tried::Final(CallReply::NotOwner { owner: None });
            }
        }
        let refusal = Refusal::new(Failure::Busy, "the primary is not known yet");
        Tried::Again { except: None, refusal }
    }

    fn connect_failed(&self, member: &MemberKey, error: &MemberError) -> Tried {
        {
            let mut pool = lock(&self.pool);
            pool.connection_ended(member);
            pool.connection_refused(now_ms(), member);
        }
        log::info!(
            event = "member_connect_failed", service = &*self.name, member = &*member.id,
            error = error.to_string(); ""
        );
        match error {
            MemberError::Refused(refusal) if refusal.failure != Failure::WrongMember => {}
            _ => self.doubt(member, &error.to_string()),
        }
        let refusal = Refusal::new(Failure::Busy, "the member takes no connection");
        Tried::Again { except: Some(member.clone()), refusal }
    }

    async fn run_single(
        self: &Arc<Self>,
        running: &Running,
        mut lent: Lent,
        slot: SlotGuard,
        mut commands: Vec<MemberCommand>,
        floor: Option<LogPosition>,
    ) -> Tried {
        let CallAction::Run(work) = &running.call.action else {
            lent.give_back();
            return Tried::Final(refused(Failure::Malformed, "no transaction is open"));
        };
        let id = work.id.clone();
        let is_read = work.access == Access::Read;
        commands.push(MemberCommand::Run { id: id.clone(), body: work.body.clone(), floor });
        let member = lent.member.key.clone();
        let exchanged = lent.exchange(&commands, running.deadline_ms, is_read).await;
        drop(slot);
        let reply = match last_reply(exchanged, &commands) {
            Ok(reply) => reply,
            Err(error) if is_read => {
                let refusal = Refusal::new(Failure::Aborted, &format!("member {error}"));
                return Tried::Again { except: Some(member), refusal };
            }
            Err(error) => {
                self.log_doubtful(&id, &member, &error);
                let detail = format!("write may have run: member {error}");
                return Tried::Final(refused(Failure::InDoubt, &detail));
            }
        };
        let result = self.settle(&reply, !is_read);
        match result {
            Ok(answer) => {
                lent.give_back();
                Tried::Final(CallReply::Done { answer, transaction: None })
            }
            Err(refusal) => self.single_failed(refusal, is_read, &reply, lent),
        }
    }

    pub(super) fn single_failed(
        &self,
        refusal: Refusal,
        is_read: bool,
        reply: &MemberReply,
        lent: Lent,
    ) -> Tried {
        let member = lent.member.key.clone();
        if reply.block == BlockState::Idle && refusal.failure != Failure::UnknownPrepared {
            lent.give_back();
        }
        let except = match refusal.failure {
            Failure::Lagging => {
                lock(&self.pool).lagged(now_ms(), &member);
                Some(member)
            }
            Failure::ReadOnly | Failure::WrongMember => {
                self.doubt(&member, refusal.failure.label());
                None
            }
            Failure::Failed if is_read => Some(member),
            failure if failure.was_not_executed() => None,
            _ => return Tried::Final(CallReply::Refused(refusal)),
        };
        Tried::Again { except, refusal }
    }

    /// Turns a member's reply into an answer; a commit counts as acknowledged from here on.
    pub(super) fn settle(&self, reply: &MemberReply, is_commit: bool) -> Result<Answer, Refusal> {
        let signature: Name = reply.result.clone()?;
        if is_commit {
            let Some(position) = reply.position else {
                return Err(Refusal::new(Failure::InDoubt, "the member told no log position"));
            };
            if !self.has_valid_lease() {
                return Err(Refusal::new(Failure::InDoubt, "ran, but the owner has changed since"));
            }
            if let Some(history) = lock(&self.standing).history.as_mut() {
                history.acknowledge(now_ms(), position);
            }
        }
        Ok(Answer { rows: reply.rows.clone(), signature, position: reply.position })
    }

    pub(super) fn log_doubtful(&self, id: &str, member: &MemberKey, error: &MemberError) {
        log::warn!(
            event = "outcome_unknown", id = id, service = &*self.name, member = &*member.id,
            token = self.fencing_token, error = error.to_string(); ""
        );
    }
}

/// Returns the reply to the last command, if all before it succeeded.
pub(super) fn last_reply(
    exchanged: Result<Vec<MemberReply>, MemberError>,
    commands: &[MemberCommand],
) -> Result<MemberReply, MemberError> {
    let mut replies = exchanged?;
    let last = replies.pop().filter(|_| replies.len() + 1 == commands.len());
    let Some(last) = last else {
        return Err(MemberError::Protocol("a reply is missing".to_owned()));
    };
    match replies.iter().find_map(|reply| reply.result.as_ref().err()) {
        Some(refusal) => Err(MemberError::Refused(refusal.clone())),
        None => Ok(last),
    }
}
