//! A caller's session at its entry node.

mod block;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::configuration::Consistency;
use crate::configuration::Route;
use crate::log_position::LogPosition;
use crate::name::Name;
use crate::node::Node;
use crate::node::refusal_for_unanswered;
use crate::outcome::Answer;
use crate::outcome::BlockState;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::relay::BeginTransaction;
use crate::relay::Call;
use crate::relay::CallAction;
use crate::relay::CallReply;
use crate::relay::ReadRequirement;
use crate::relay::RelayError;
use crate::session::block::Block;
use crate::session::block::OpenLane;
use crate::session_positions::SessionPositions;
use crate::statement::Access;
use crate::statement::DataStatement;
use crate::statement::PreparedShape;
use crate::statement::Statement;
use crate::statement::StatementBody;
use crate::statement::StatementKind;

/// Most values or prepared statements of one session: bounds its memory.
const MAX_SESSION_NAMES: usize = 1_000;

/// Part of a statement's time for which it may wait without being offered to a member, in
/// percent: the caller can still ask elsewhere in the rest.
const HOLD_PERCENT: u64 = 45;

/// Name that members are told for callers of public routes without a key.
const ANONYMOUS: &str = "public";

/// A caller's session.
pub struct Session {
    node: Arc<Node>,
    database: Name,
    credential: Name,
    values: BTreeMap<Name, Name>,
    prepared: HashMap<Name, PreparedShape>,
    own_commits: SessionPositions,
    block: Block,
}

/// Who asks, and by which route, as of one moment.
struct Admitted {
    route: Arc<Route>,
    tenant: Name,
}

/// What a statement ends with.
pub type StatementResult = Result<Answer, Refusal>;

impl Session {
    /// Opens a session.
    ///
    /// # Errors
    ///
    /// Returns why the caller is not admitted.
    pub fn open(node: Arc<Node>, database: Name, credential: Name) -> Result<Self, Refusal> {
        let session = Self {
            node,
            database,
            credential,
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            own_commits: SessionPositions::default(),
            block: Block::None,
        };
        session.admit()?;
        Ok(session)
    }

    fn admit(&self) -> Result<Admitted, Refusal> {
        let configuration = self.node.fresh_configuration()?.configuration;
        let Some(route) = configuration.routes.get(&self.database).cloned() else {
            return Err(Refusal::new(Failure::UnknownDatabase, "no route has this database"));
        };
        let tenant = match configuration.tenants_by_key.get(&self.credential) {
            Some(tenant) => tenant.name.clone(),
            None if route.is_public => ANONYMOUS.into(),
            None => {
                return Err(Refusal::new(Failure::Unauthenticated, "the key is not valid"));
            }
        };
        Ok(Admitted { route, tenant })
    }

    /// Returns the state of the transaction block.
    pub fn block_state(&self) -> BlockState {
        match self.block {
            Block::None => BlockState::Idle,
            Block::Unstarted { .. } | Block::Open(_) => BlockState::Open,
            Block::Failed => BlockState::Failed,
        }
    }

    /// Returns the longest pause that the caller may make now.
    pub fn idle_limit(&self) -> Option<Duration> {
        if self.block_state() == BlockState::Idle {
            return None;
        }
        let known = self.node.configuration.known()?;
        let limit_ms = known.configuration.transaction_idle_ms;
        (limit_ms > 0).then(|| Duration::from_millis(limit_ms))
    }

    /// Ends an open transaction without keeping its work.
    pub fn roll_back(&mut self) {
        if let Block::Open(lane) = std::mem::replace(&mut self.block, Block::None) {
            self.send_rollback(lane);
        }
    }

    /// Runs a statement.
    pub async fn execute(&mut self, statement: &Statement) -> StatementResult {
        let started_at_ms = now_ms();
        let ended = self.execute_kind(statement, started_at_ms).await;
        if let Err(refusal) = &ended {
            self.note_failure(statement, refusal, started_at_ms);
        }
        ended
    }

    fn note_failure(&self, statement: &Statement, refusal: &Refusal, started_at_ms: u64) {
        let configuration = self.node.configuration.known();
        let tenant = configuration.as_ref().and_then(|known| {
            known.configuration.tenants_by_key.get(&self.credential).map(|t| t.name.clone())
        });
        let tenant = tenant.unwrap_or_else(|| "-".into());
        let route = configuration
            .as_ref()
            .and_then(|known| known.configuration.routes.get(&self.database).cloned());
        let service = route.map_or_else(|| "-".into(), |route| route.service.clone());
        let owner = self.node.owner_directory.owner(&service);
        self.node.metrics.record_failed(&tenant, refusal.failure);
        log::info!(
            event = "statement_failed", id = &*statement.id, database = &*self.database,
            service = &*service, owner = owner.map_or("-".into(), |owner| owner.node),
            tenant = &*tenant, code = refusal.failure.label(), reason = &*refusal.detail,
            configuration = configuration.map_or(0, |known| known.configuration.version),
            took_ms = now_ms().saturating_sub(started_at_ms); ""
        );
    }

    async fn execute_kind(&mut self, statement: &Statement, started_at_ms: u64) -> StatementResult {
        let ends_block = matches!(statement.kind, StatementKind::Commit | StatementKind::Rollback);
        if matches!(self.block, Block::Failed) && !ends_block {
            return Err(Refusal::new(Failure::Malformed, "the transaction has failed; end it"));
        }
        match &statement.kind {
            StatementKind::Set { name, value } => {
                self.check_room(self.values.len())?;
                self.values.insert(name.clone(), value.clone());
                Ok(Answer::local())
            }
            StatementKind::Prepare { name, shape } => {
                self.check_room(self.prepared.len())?;
                self.prepared.insert(name.clone(), shape.clone());
                Ok(Answer::local())
            }
            StatementKind::Deallocate { name } => match self.prepared.remove(name) {
                Some(_) => Ok(Answer::local()),
                None => Err(Refusal::new(Failure::UnknownPrepared, "no such prepared statement")),
            },
            StatementKind::Begin { is_read_only } => self.begin(&statement.id, *is_read_only),
            StatementKind::Rollback => self.end_without_work(),
            StatementKind::Commit => self.commit(statement, started_at_ms).await,
            StatementKind::Direct(access) => {
                let body = StatementBody::Text(statement.text.clone());
                let work = DataStatement { id: statement.id.clone(), access: *access, body };
                self.run(work, started_at_ms).await
            }
            StatementKind::Execute { name, arguments } => {
                let Some(shape) = self.prepared.get(name).cloned() else {
                    self.abandon_as_failed();
                    let detail = "no such prepared statement";
                    return Err(Refusal::new(Failure::UnknownPrepared, detail));
                };
                let access = shape.access;
                let body = StatementBody::Execute { shape, arguments: arguments.clone() };
                let work = DataStatement { id: statement.id.clone(), access, body };
                self.run(work, started_at_ms).await
            }
        }
    }

    fn check_room(&self, used: usize) -> Result<(), Refusal> {
        match used < MAX_SESSION_NAMES {
            true => Ok(()),
            false => Err(Refusal::new(Failure::TooLarge, "the session holds too many names")),
        }
    }

    fn begin(&mut self, id: &Name, is_read_only: bool) -> StatementResult {
        if !matches!(self.block, Block::None) {
            return Err(Refusal::new(Failure::Malformed, "a transaction is open already"));
        }
        self.admit()?;
        self.block = Block::Unstarted { id: id.clone(), is_read_only };
        Ok(Answer::local())
    }

    fn end_without_work(&mut self) -> StatementResult {
        match self.block {
            Block::None => Err(Refusal::new(Failure::Malformed, "no transaction is open")),
            _ => {
                self.roll_back();
                self.block = Block::None;
                Ok(Answer::local())
            }
        }
    }

    fn abandon_as_failed(&mut self) {
        if !matches!(self.block, Block::None) {
            self.roll_back();
            self.block = Block::Failed;
        }
    }

    fn send_rollback(&self, lane: OpenLane) {
        let call = Call {
            service: lane.route.service.clone(),
            tenant: lane.tenant.clone(),
            transaction: Some(lane.number),
            begin: None,
            action: CallAction::Rollback,
            values: Vec::new(),
            read_requirement: ReadRequirement::Primary,
            starts_operation: false,
            deadline_ms: lane.route.timeout_ms,
            max_queue_ms: 0,
            objective_ms: 0,
            priority: lane.route.priority,
        };
        let node = self.node.clone();
        // An owner that does not hear of it drops the transaction after its longest pause.
        self.node.tasks.spawn(async move {
            let _ = node.call_at(lane.owner, call).await;
        });
    }

    fn values(&self) -> Vec<(Name, Name)> {
        self.values.iter().map(|(name, value)| (name.clone(), value.clone())).collect()
    }

    fn need(&self, route: &Route) -> ReadRequirement {
        match route.consistency {
            Consistency::Primary => ReadRequirement::Primary,
            Consistency::Bounded { max_staleness_ms } => {
                ReadRequirement::BoundedStaleness { max_staleness_ms, floor: None }
            }
            Consistency::ReadOwnWrites { max_staleness_ms } => {
                let floor = self.own_commits.position(&route.service);
                ReadRequirement::BoundedStaleness { max_staleness_ms, floor }
            }
        }
    }

    /// Runs a data statement, alone or in the open transaction.
    async fn run(&mut self, work: DataStatement, started_at_ms: u64) -> StatementResult {
        let access = work.access;
        match std::mem::replace(&mut self.block, Block::None) {
            Block::None => self.run_single(work, started_at_ms).await,
            Block::Unstarted { id, is_read_only } => {
                let open = BeginTransaction { id, is_read_only };
                self.run_first(open, CallAction::Run(work), access, started_at_ms).await
            }
            Block::Open(lane) => {
                self.run_next(lane, CallAction::Run(work), access, started_at_ms).await
            }
            Block::Failed => {
                self.block = Block::Failed;
                Err(Refusal::new(Failure::Malformed, "the transaction has failed; end it"))
            }
        }
    }

    fn call_for(&self, admitted: &Admitted, action: CallAction, started_at_ms: u64) -> Call {
        let route = &admitted.route;
        let spent_ms = now_ms().saturating_sub(started_at_ms);
        Call {
            service: route.service.clone(),
            tenant: admitted.tenant.clone(),
            transaction: None,
            begin: None,
            action,
            values: self.values(),
            read_requirement: self.need(route),
            starts_operation: true,
            deadline_ms: route.timeout_ms.saturating_sub(spent_ms),
            max_queue_ms: (route.timeout_ms * HOLD_PERCENT / 100).saturating_sub(spent_ms),
            objective_ms: route.objective_ms.saturating_sub(spent_ms),
            priority: route.priority,
        }
    }

    async fn run_single(&mut self, work: DataStatement, started_at_ms: u64) -> StatementResult {
        let admitted = self.admit()?;
        let is_write = work.access == Access::Write;
        let call = self.call_for(&admitted, CallAction::Run(work), started_at_ms);
        let (reply, _) = self.node.call(call).await;
        match reply {
            CallReply::Done { answer, .. } => {
                if is_write {
                    self.note_commit(&admitted.route.service, answer.position);
                }
                self.note_served(&admitted.tenant, &admitted.route, started_at_ms);
                Ok(answer)
            }
            CallReply::Refused(refusal) => Err(refusal),
            CallReply::NotOwner { .. } => {
                Err(Refusal::new(Failure::Busy, "the owner of the service is changing"))
            }
        }
    }

    async fn run_first(
        &mut self,
        open: BeginTransaction,
        action: CallAction,
        access: Access,
        started_at_ms: u64,
    ) -> StatementResult {
        self.block = Block::Failed;
        let admitted = self.admit()?;
        let mut call = self.call_for(&admitted, action, started_at_ms);
        call.begin = Some(open);
        let (reply, owner) = self.node.call(call).await;
        match (reply, owner) {
            (CallReply::Done { answer, transaction: Some(number) }, Some(owner)) => {
                self.note_served(&admitted.tenant, &admitted.route, started_at_ms);
                self.block = Block::Open(OpenLane {
                    number,
                    owner,
                    tenant: admitted.tenant,
                    route: admitted.route,
                    has_written: access == Access::Write,
                });
                Ok(answer)
            }
            (CallReply::Done { answer, transaction: None }, _) => {
                self.block = Block::None;
                Ok(answer)
            }
            (CallReply::Refused(refusal), _) => Err(refusal),
            _ => Err(Refusal::new(Failure::Aborted, "the owner of the service is changing")),
        }
    }

    async fn run_next(
        &mut self,
        mut lane: OpenLane,
        action: CallAction,
        access: Access,
        started_at_ms: u64,
    ) -> StatementResult {
        self.block = Block::Failed;
        if let Err(refusal) = self.check_key(&lane) {
            self.send_rollback(lane);
            return Err(refusal);
        }
        let call = self.lane_call(&lane, action, started_at_ms);
        let reply = self.node.call_at(lane.owner, call.clone()).await;
        match reply {
            Ok(CallReply::Done { answer, transaction: Some(number) }) => {
                self.note_served(&lane.tenant, &lane.route, started_at_ms);
                lane.number = number;
                lane.has_written |= access == Access::Write;
                self.block = Block::Open(lane);
                Ok(answer)
            }
            Ok(CallReply::Refused(refusal)) => Err(refusal),
            Ok(_) => Err(Refusal::new(Failure::Aborted, "the transaction was rolled back")),
            Err(error) => Err(refusal_for_unanswered(&call, &error.to_string())
                .unwrap_or_else(|| Refusal::new(Failure::Aborted, &error.to_string()))),
        }
    }

    fn lane_call(&self, lane: &OpenLane, action: CallAction, started_at_ms: u64) -> Call {
        let spent_ms = now_ms().saturating_sub(started_at_ms);
        Call {
            service: lane.route.service.clone(),
            tenant: lane.tenant.clone(),
            transaction: Some(lane.number),
            begin: None,
            action,
            values: self.values(),
            read_requirement: ReadRequirement::Primary,
            starts_operation: false,
            deadline_ms: lane.route.timeout_ms.saturating_sub(spent_ms),
            max_queue_ms: lane.route.timeout_ms.saturating_sub(spent_ms),
            objective_ms: lane.route.objective_ms.saturating_sub(spent_ms),
            priority: lane.route.priority,
        }
    }

    /// Checks that the caller's key is still valid; the route of the transaction stays as it was.
    fn check_key(&self, lane: &OpenLane) -> Result<(), Refusal> {
        if lane.route.is_public {
            return Ok(());
        }
        let configuration = self.node.fresh_configuration()?.configuration;
        match configuration.tenants_by_key.get(&self.credential) {
            Some(tenant) if tenant.name == lane.tenant => Ok(()),
            _ => Err(Refusal::new(Failure::Unauthenticated, "the key was withdrawn; rolled back")),
        }
    }

    async fn commit(&mut self, statement: &Statement, started_at_ms: u64) -> StatementResult {
        let action = CallAction::Commit { id: statement.id.clone() };
        match std::mem::replace(&mut self.block, Block::None) {
            Block::None => Err(Refusal::new(Failure::Malformed, "no transaction is open")),
            Block::Failed => Err(Refusal::new(Failure::Aborted, "the transaction had failed")),
            Block::Unstarted { id, is_read_only } => {
                let open = BeginTransaction { id, is_read_only };
                let ended = self.run_first(open, action, Access::Read, started_at_ms).await;
                self.block = Block::None;
                ended
            }
            Block::Open(lane) => {
                let ended = self.commit_lane(lane, action, started_at_ms).await;
                self.block = Block::None;
                ended
            }
        }
    }

    async fn commit_lane(
        &mut self,
        lane: OpenLane,
        action: CallAction,
        started_at_ms: u64,
    ) -> StatementResult {
        if let Err(refusal) = self.check_key(&lane) {
            self.send_rollback(lane);
            return Err(refusal);
        }
        let call = self.lane_call(&lane, action, started_at_ms);
        match self.node.call_at(lane.owner, call).await {
            Ok(CallReply::Done { answer, .. }) => {
                if lane.has_written {
                    self.note_commit(&lane.route.service, answer.position);
                }
                self.note_served(&lane.tenant, &lane.route, started_at_ms);
                Ok(answer)
            }
            Ok(CallReply::Refused(refusal)) => Err(refusal),
            Ok(CallReply::NotOwner { .. }) => {
                Err(Refusal::new(Failure::Aborted, "the transaction was rolled back"))
            }
            Err(RelayError::NotSent(reason)) => {
                Err(Refusal::new(Failure::Aborted, &format!("never committed: {reason}")))
            }
            Err(error) if lane.has_written => {
                let detail = format!("commit may have run: {error}");
                Err(Refusal::new(Failure::InDoubt, &detail))
            }
            Err(error) => Err(Refusal::new(Failure::Aborted, &format!("only read: {error}"))),
        }
    }

    fn note_commit(&mut self, service: &Name, position: Option<LogPosition>) {
        if let Some(position) = position {
            self.own_commits.record(service, position);
        }
    }

    fn note_served(&self, tenant: &Name, route: &Route, started_at_ms: u64) {
        let latency_ms = now_ms().saturating_sub(started_at_ms);
        self.node.metrics.record_served(tenant, &route.name, latency_ms);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.roll_back();
    }
}
