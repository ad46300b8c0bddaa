//! Sessions of callers at their entry node.

mod kept_state;
mod transaction_block;

use std::sync::Arc;
use std::time::Duration;

use crate::clock::now_ms;
use crate::configuration::Consistency;
use crate::configuration::Route;
use crate::log_position::LogPosition;
use crate::name::Name;
use crate::name::is_field;
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
use crate::session::kept_state::KeptState;
use crate::session::transaction_block::RemoteTransaction;
use crate::session::transaction_block::TransactionBlock;
use crate::session_positions::SessionPositions;
use crate::statement::Access;
use crate::statement::DataStatement;
use crate::statement::Statement;
use crate::statement::StatementBody;
use crate::statement::StatementKind;

/// Share of a statement's timeout for which it may wait before it is sent to a member, in percent.
/// The caller can use the rest to try another entry host.
const MAX_QUEUE_PERCENT: u64 = 45;

/// Tenant name for callers of public routes that have no valid key.
const ANONYMOUS_TENANT: &str = "public";

/// A caller's session: session values, prepared statements, positions of its own writes, and
/// transaction block.
pub struct Session {
    node: Arc<Node>,
    database: Name,
    credential: Name,
    kept: KeptState,
    own_writes: SessionPositions,
    block: TransactionBlock,
}

/// Route and tenant of a request, by the configuration at the time of the request.
struct Authorization {
    route: Arc<Route>,
    tenant: Name,
}

/// Answer to a statement, or the reason why it failed.
pub type StatementResult = Result<Answer, Refusal>;

impl Session {
    /// Opens a session.
    ///
    /// # Errors
    ///
    /// Returns why the caller is not authorized.
    pub fn open(node: Arc<Node>, database: Name, credential: Name) -> Result<Self, Refusal> {
        let kept = KeptState::new(node.limits.clone(), ANONYMOUS_TENANT.into());
        let mut session = Self {
            node,
            database,
            credential,
            kept,
            own_writes: SessionPositions::default(),
            block: TransactionBlock::Idle,
        };
        let tenant = session.authorize()?.tenant;
        session.kept = KeptState::new(session.node.limits.clone(), tenant);
        Ok(session)
    }

    /// Returns the tenant for whom the session was opened.
    pub fn tenant(&self) -> &Name {
        self.kept.tenant()
    }

    /// Returns the bytes that a statement's call carries beside the statement's own text: the session
    /// values and a prepared shape.
    pub fn carried_bytes(&self, statement: &Statement) -> usize {
        self.kept.carried_bytes(statement)
    }

    fn authorize(&self) -> Result<Authorization, Refusal> {
        let configuration = self.node.fresh_configuration()?.configuration;
        let Some(route) = configuration.routes.get(&self.database).cloned() else {
            return Err(Refusal::new(Failure::UnknownDatabase, "no route leads to this database"));
        };
        let tenant = match configuration.tenants_by_key.get(&self.credential) {
            Some(tenant) if is_field(&tenant.name) => tenant.name.clone(),
            Some(_) => {
                let detail = "members cannot be told the name of the tenant";
                return Err(Refusal::new(Failure::Unauthenticated, detail));
            }
            None if route.is_public => ANONYMOUS_TENANT.into(),
            None => {
                return Err(Refusal::new(Failure::Unauthenticated, "the key is not valid"));
            }
        };
        Ok(Authorization { route, tenant })
    }

    /// Returns the state of the transaction block.
    pub fn block_state(&self) -> BlockState {
        match self.block {
            TransactionBlock::Idle => BlockState::Idle,
            TransactionBlock::Pending { .. } | TransactionBlock::Open(_) => BlockState::Open,
            TransactionBlock::Aborted { .. } | TransactionBlock::Failed => BlockState::Failed,
        }
    }

    /// Returns how long the session may stay idle in a transaction block; `None` if it is in none
    /// or there is no limit.
    pub fn idle_limit(&self) -> Option<Duration> {
        if self.block_state() == BlockState::Idle {
            return None;
        }
        let known = self.node.configuration.known()?;
        let limit_ms = match self.block {
            TransactionBlock::Aborted { .. } => self.node.aborted_idle_ms(),
            _ => known.configuration.transaction_idle_ms,
        };
        (limit_ms > 0).then(|| Duration::from_millis(limit_ms))
    }

    /// Rolls back the open transaction, if there is one, and leaves the transaction block.
    pub fn roll_back(&mut self) {
        if let TransactionBlock::Open(transaction) =
            std::mem::replace(&mut self.block, TransactionBlock::Idle)
        {
            self.send_rollback(transaction);
        }
    }

    /// Rolls back the open transaction on the node's own account. The caller learns the reason from
    /// the reply to its next statement.
    pub fn abort(&mut self, reason: &'static str) {
        if self.block_state() == BlockState::Open {
            self.roll_back();
            self.block = TransactionBlock::Aborted { reason };
        }
    }

    /// Runs a statement. A failure fails the open transaction, and is counted and logged.
    pub async fn execute(&mut self, statement: &Statement) -> StatementResult {
        let started_at_ms = now_ms();
        let result = self.execute_kind(statement, started_at_ms).await;
        if let Err(refusal) = &result {
            self.fail_block();
            self.record_failure(&statement.id, refusal, started_at_ms);
        }
        result
    }

    /// Refuses a statement that is not valid, which fails the open transaction.
    pub fn refuse_invalid(&mut self, id: &str) -> Refusal {
        let refusal = match self.check_block() {
            Ok(()) => Refusal::new(Failure::Malformed, "the statement is not valid"),
            Err(refusal) => refusal,
        };
        self.fail_block();
        self.record_failure(id, &refusal, now_ms());
        refusal
    }

    /// Refuses a statement for which there is no memory, which fails the open transaction.
    pub fn refuse_busy(&mut self, id: &str) -> Refusal {
        let detail = "no memory for the statement; retry after 200 ms";
        let refusal = match self.check_block() {
            Ok(()) => Refusal::new(Failure::Busy, detail),
            Err(refusal) => refusal,
        };
        self.fail_block();
        self.record_failure(id, &refusal, now_ms());
        refusal
    }

    fn record_failure(&self, id: &str, refusal: &Refusal, started_at_ms: u64) {
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
            event = "statement_failed", id = id, database = &*self.database,
            service = &*service, owner = owner.map_or("-".into(), |owner| owner.node),
            tenant = &*tenant, code = refusal.failure.label(), reason = &*refusal.detail,
            configuration = configuration.map_or(0, |known| known.configuration.version),
            took_ms = now_ms().saturating_sub(started_at_ms); ""
        );
    }

    async fn execute_kind(&mut self, statement: &Statement, started_at_ms: u64) -> StatementResult {
        if !matches!(statement.kind, StatementKind::Commit | StatementKind::Rollback) {
            self.check_block()?;
        }
        match &statement.kind {
            StatementKind::Set { name, value } => {
                self.kept.set(name, value)?;
                Ok(Answer::local())
            }
            StatementKind::Prepare { name, shape } => {
                self.kept.prepare(name, shape)?;
                Ok(Answer::local())
            }
            StatementKind::Deallocate { name } => {
                self.kept.deallocate(name)?;
                Ok(Answer::local())
            }
            StatementKind::Begin { is_read_only } => self.begin(&statement.id, *is_read_only),
            StatementKind::Rollback => self.execute_rollback(),
            StatementKind::Commit => self.commit(statement, started_at_ms).await,
            StatementKind::Direct(access) => {
                let body = StatementBody::Text(statement.text.clone());
                let data_statement =
                    DataStatement { id: statement.id.clone(), access: *access, body };
                self.run(data_statement, started_at_ms).await
            }
            StatementKind::Execute { name, arguments } => {
                let Some(shape) = self.kept.prepared(name).cloned() else {
                    let detail = "no such prepared statement";
                    return Err(Refusal::new(Failure::UnknownPrepared, detail));
                };
                let access = shape.access;
                let body = StatementBody::Execute { shape, arguments: arguments.clone() };
                let data_statement = DataStatement { id: statement.id.clone(), access, body };
                self.run(data_statement, started_at_ms).await
            }
        }
    }

    /// Refuses statements other than the end of a transaction that was rolled back.
    fn check_block(&mut self) -> Result<(), Refusal> {
        match self.block {
            TransactionBlock::Aborted { reason } => {
                self.block = TransactionBlock::Failed;
                Err(Refusal::new(Failure::Aborted, reason))
            }
            TransactionBlock::Failed => {
                let detail = "the transaction has failed; roll it back";
                Err(Refusal::new(Failure::Malformed, detail))
            }
            _ => Ok(()),
        }
    }

    fn begin(&mut self, id: &Name, is_read_only: bool) -> StatementResult {
        if !matches!(self.block, TransactionBlock::Idle) {
            return Err(Refusal::new(Failure::Malformed, "a transaction is open already"));
        }
        self.authorize()?;
        self.block = TransactionBlock::Pending { id: id.clone(), is_read_only };
        Ok(Answer::local())
    }

    fn execute_rollback(&mut self) -> StatementResult {
        match self.block {
            TransactionBlock::Idle => {
                Err(Refusal::new(Failure::Malformed, "no transaction is open"))
            }
            _ => {
                self.roll_back();
                self.block = TransactionBlock::Idle;
                Ok(Answer::local())
            }
        }
    }

    fn fail_block(&mut self) {
        if !matches!(self.block, TransactionBlock::Idle) {
            self.roll_back();
            self.block = TransactionBlock::Failed;
        }
    }

    fn send_rollback(&self, transaction: RemoteTransaction) {
        let call = Call {
            service: transaction.route.service.clone(),
            route: transaction.route.name.clone(),
            tenant: transaction.tenant.clone(),
            transaction: Some(transaction.id),
            begin: None,
            action: CallAction::Rollback,
            values: Vec::new(),
            read_requirement: ReadRequirement::Primary,
            starts_operation: false,
            deadline_ms: transaction.route.timeout_ms,
            max_queue_ms: 0,
            objective_ms: 0,
            priority: transaction.route.priority,
        };
        let node = self.node.clone();
        // If the rollback is lost, the owner drops the transaction once its idle limit has passed.
        self.node.tasks.spawn(async move {
            let _ = node.call_at(transaction.owner, call).await;
        });
    }

    fn read_requirement(&self, route: &Route) -> ReadRequirement {
        match route.consistency {
            Consistency::Primary => ReadRequirement::Primary,
            Consistency::Bounded { max_staleness_ms } => {
                ReadRequirement::BoundedStaleness { max_staleness_ms, floor: None }
            }
            Consistency::ReadOwnWrites { max_staleness_ms } => {
                let floor = self.own_writes.position(&route.service);
                ReadRequirement::BoundedStaleness { max_staleness_ms, floor }
            }
        }
    }

    /// Runs a data statement, by itself or in the transaction block.
    async fn run(&mut self, statement: DataStatement, started_at_ms: u64) -> StatementResult {
        let access = statement.access;
        match std::mem::replace(&mut self.block, TransactionBlock::Idle) {
            TransactionBlock::Idle => self.run_single(statement, started_at_ms).await,
            TransactionBlock::Pending { id, is_read_only } => {
                let begin = BeginTransaction { id, is_read_only };
                self.start_transaction(begin, CallAction::Run(statement), access, started_at_ms)
                    .await
            }
            TransactionBlock::Open(transaction) => {
                self.continue_transaction(
                    transaction,
                    CallAction::Run(statement),
                    access,
                    started_at_ms,
                )
                .await
            }
            TransactionBlock::Aborted { .. } | TransactionBlock::Failed => {
                self.block = TransactionBlock::Failed;
                Err(Refusal::new(Failure::Malformed, "the transaction has failed; roll it back"))
            }
        }
    }

    fn new_call(
        &self,
        authorization: &Authorization,
        action: CallAction,
        started_at_ms: u64,
    ) -> Call {
        let route = &authorization.route;
        let spent_ms = now_ms().saturating_sub(started_at_ms);
        Call {
            service: route.service.clone(),
            route: route.name.clone(),
            tenant: authorization.tenant.clone(),
            transaction: None,
            begin: None,
            action,
            values: self.kept.values(),
            read_requirement: self.read_requirement(route),
            starts_operation: true,
            deadline_ms: route.timeout_ms.saturating_sub(spent_ms),
            max_queue_ms: (route.timeout_ms.saturating_mul(MAX_QUEUE_PERCENT) / 100)
                .saturating_sub(spent_ms),
            objective_ms: route.objective_ms.saturating_sub(spent_ms),
            priority: route.priority,
        }
    }

    async fn run_single(
        &mut self,
        statement: DataStatement,
        started_at_ms: u64,
    ) -> StatementResult {
        let authorization = self.authorize()?;
        let is_write = statement.access == Access::Write;
        let call = self.new_call(&authorization, CallAction::Run(statement), started_at_ms);
        let (reply, _) = self.node.call(call).await;
        match reply {
            CallReply::Done { answer, .. } => {
                if is_write {
                    self.record_commit(&authorization.route.service, answer.position);
                }
                self.record_served(&authorization.tenant, &authorization.route, started_at_ms);
                Ok(answer)
            }
            CallReply::Refused(refusal) => Err(refusal),
            CallReply::NotOwner { .. } => {
                Err(Refusal::new(Failure::Busy, "the owner of the service is changing"))
            }
        }
    }

    async fn start_transaction(
        &mut self,
        begin: BeginTransaction,
        action: CallAction,
        access: Access,
        started_at_ms: u64,
    ) -> StatementResult {
        self.block = TransactionBlock::Failed;
        let authorization = self.authorize()?;
        let mut call = self.new_call(&authorization, action, started_at_ms);
        call.begin = Some(begin);
        let (reply, owner) = self.node.call(call).await;
        match (reply, owner) {
            (CallReply::Done { answer, transaction: Some(id) }, Some(owner)) => {
                self.record_served(&authorization.tenant, &authorization.route, started_at_ms);
                self.block = TransactionBlock::Open(RemoteTransaction {
                    id,
                    owner,
                    tenant: authorization.tenant,
                    route: authorization.route,
                    has_written: access == Access::Write,
                });
                Ok(answer)
            }
            (CallReply::Done { answer, transaction: None }, _) => {
                self.block = TransactionBlock::Idle;
                Ok(answer)
            }
            (CallReply::Refused(refusal), _) => Err(refusal),
            _ => Err(Refusal::new(Failure::Aborted, "the owner of the service is changing")),
        }
    }

    async fn continue_transaction(
        &mut self,
        mut transaction: RemoteTransaction,
        action: CallAction,
        access: Access,
        started_at_ms: u64,
    ) -> StatementResult {
        self.block = TransactionBlock::Failed;
        if let Err(refusal) = self.check_key(&transaction) {
            self.send_rollback(transaction);
            return Err(refusal);
        }
        let call = self.transaction_call(&transaction, action, started_at_ms);
        let reply = self.node.call_at(transaction.owner, call.clone()).await;
        match reply {
            Ok(CallReply::Done { answer, transaction: Some(id) }) => {
                self.record_served(&transaction.tenant, &transaction.route, started_at_ms);
                transaction.id = id;
                transaction.has_written |= access == Access::Write;
                self.block = TransactionBlock::Open(transaction);
                Ok(answer)
            }
            Ok(CallReply::Refused(refusal)) => Err(refusal),
            Ok(_) => Err(Refusal::new(Failure::Aborted, "the transaction was rolled back")),
            Err(error) => Err(refusal_for_unanswered(&call, &error.to_string())
                .unwrap_or_else(|| Refusal::new(Failure::Aborted, &error.to_string()))),
        }
    }

    fn transaction_call(
        &self,
        transaction: &RemoteTransaction,
        action: CallAction,
        started_at_ms: u64,
    ) -> Call {
        let spent_ms = now_ms().saturating_sub(started_at_ms);
        Call {
            service: transaction.route.service.clone(),
            route: transaction.route.name.clone(),
            tenant: transaction.tenant.clone(),
            transaction: Some(transaction.id),
            begin: None,
            action,
            values: self.kept.values(),
            read_requirement: ReadRequirement::Primary,
            starts_operation: false,
            deadline_ms: transaction.route.timeout_ms.saturating_sub(spent_ms),
            max_queue_ms: transaction.route.timeout_ms.saturating_sub(spent_ms),
            objective_ms: transaction.route.objective_ms.saturating_sub(spent_ms),
            priority: transaction.route.priority,
        }
    }

    /// Checks that the caller's key has not been withdrawn since the transaction started. A public
    /// route needs no key. The route of the transaction stays the same.
    fn check_key(&self, transaction: &RemoteTransaction) -> Result<(), Refusal> {
        if transaction.route.is_public {
            return Ok(());
        }
        let configuration = self.node.fresh_configuration()?.configuration;
        match configuration.tenants_by_key.get(&self.credential) {
            Some(tenant) if tenant.name == transaction.tenant => Ok(()),
            _ => Err(Refusal::new(
                Failure::Unauthenticated,
                "the key was withdrawn; the transaction was rolled back",
            )),
        }
    }

    async fn commit(&mut self, statement: &Statement, started_at_ms: u64) -> StatementResult {
        let action = CallAction::Commit { id: statement.id.clone() };
        match std::mem::replace(&mut self.block, TransactionBlock::Idle) {
            TransactionBlock::Idle => {
                Err(Refusal::new(Failure::Malformed, "no transaction is open"))
            }
            TransactionBlock::Aborted { .. } | TransactionBlock::Failed => Err(Refusal::new(
                Failure::Aborted,
                "the transaction has failed and was rolled back",
            )),
            TransactionBlock::Pending { id, is_read_only } => {
                let begin = BeginTransaction { id, is_read_only };
                let result =
                    self.start_transaction(begin, action, Access::Read, started_at_ms).await;
                self.block = TransactionBlock::Idle;
                result
            }
            TransactionBlock::Open(transaction) => {
                let result = self.commit_transaction(transaction, action, started_at_ms).await;
                self.block = TransactionBlock::Idle;
                result
            }
        }
    }

    async fn commit_transaction(
        &mut self,
        transaction: RemoteTransaction,
        action: CallAction,
        started_at_ms: u64,
    ) -> StatementResult {
        if let Err(refusal) = self.check_key(&transaction) {
            self.send_rollback(transaction);
            return Err(refusal);
        }
        let call = self.transaction_call(&transaction, action, started_at_ms);
        match self.node.call_at(transaction.owner, call).await {
            Ok(CallReply::Done { answer, .. }) => {
                if transaction.has_written {
                    self.record_commit(&transaction.route.service, answer.position);
                }
                self.record_served(&transaction.tenant, &transaction.route, started_at_ms);
                Ok(answer)
            }
            Ok(CallReply::Refused(refusal)) => Err(refusal),
            Ok(CallReply::NotOwner { .. }) => {
                Err(Refusal::new(Failure::Aborted, "the transaction was rolled back"))
            }
            Err(RelayError::NotSent(reason)) => {
                Err(Refusal::new(Failure::Aborted, &format!("never committed: {reason}")))
            }
            Err(error) if transaction.has_written => {
                let detail = format!("commit may have run: {error}");
                Err(Refusal::new(Failure::InDoubt, &detail))
            }
            Err(error) => Err(Refusal::new(
                Failure::Aborted,
                &format!("nothing was written; the commit was not confirmed: {error}"),
            )),
        }
    }

    fn record_commit(&mut self, service: &Name, position: Option<LogPosition>) {
        if let Some(position) = position {
            self.own_writes.record(service, position);
        }
    }

    fn record_served(&self, tenant: &Name, route: &Route, started_at_ms: u64) {
        let latency_ms = now_ms().saturating_sub(started_at_ms);
        self.node.metrics.record_served(tenant, &route.name, latency_ms);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.roll_back();
    }
}
