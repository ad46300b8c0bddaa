//! Stand-ins for members that inject faults on request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;

use snipehead_core::clock::now_ms;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::CommandBody;
use snipehead_core::member::IdleInput;
use snipehead_core::member::MemberCommand;
use snipehead_core::member::MemberConnection;
use snipehead_core::member::MemberConnector;
use snipehead_core::member::MemberEntry;
use snipehead_core::member::MemberError;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberPromoter;
use snipehead_core::member::MemberReply;
use snipehead_core::member::MemberStatus;
use snipehead_core::member::PromotionError;
use snipehead_core::name::Name;
use snipehead_core::outcome::BlockState;
use snipehead_core::outcome::Failure;
use snipehead_core::outcome::Refusal;

/// Fault that is injected into the next data statement or commit that reaches a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The member runs it, and its answer is lost.
    AnswerLost,
    /// The member refuses it.
    Refused(Failure),
}

#[derive(Clone, Debug)]
struct MemberState {
    is_primary: bool,
    is_up: bool,
    incarnation: u64,
    term: u64,
    position: LogPosition,
    /// Position at which replication is stalled, if it is.
    stalled_at: Option<LogPosition>,
    executed: Vec<String>,
    latency_ms: u64,
    /// Whether orders to promote it have no effect.
    is_unpromotable: bool,
    /// Whether it sends some replies a second time, after later ones.
    repeats_replies: bool,
    faults: Vec<InjectedFault>,
}

/// A group of three members in memory. Replicas receive commits at once unless they are stalled.
pub struct StandInGroup {
    members: Mutex<HashMap<SocketAddr, (MemberEntry, MemberState)>>,
    promotions: Mutex<Vec<(String, u64)>>,
    /// Hosts and members that do not reach each other.
    cuts: Mutex<HashSet<(String, SocketAddr)>>,
    connections: AtomicU64,
    signatures: AtomicU64,
    /// Time until a promotion takes effect, in milliseconds.
    pub promotion_ms: AtomicU64,
    /// Whether orders to promote a member get no answer.
    pub are_orders_unanswered: AtomicBool,
    /// Whether orders to promote a member are refused.
    pub are_orders_refused: AtomicBool,
    /// Time until an order is sent, as for a connection that opens late, in milliseconds.
    pub order_delay_ms: AtomicU64,
    /// Number of orders that were begun, whether or not they were sent.
    pub orders_begun: AtomicU64,
    /// Time that a new connection takes, in milliseconds.
    pub connect_ms: AtomicU64,
}

impl StandInGroup {
    pub fn new(service: &str) -> Arc<Self> {
        let member = |number: u64| {
            let address: SocketAddr =
                format!("10.0.0.{number}:1").parse().expect("the address is valid");
            let entry = MemberEntry {
                key: MemberKey { id: format!("m{number}").into(), incarnation: number },
                service: service.into(),
                address,
                zone: "almaty-a".into(),
                slots: 3,
                is_draining: false,
                cold_ms: 0,
                claims_primary: number == 1,
            };
            let state = MemberState {
                is_primary: number == 1,
                is_up: true,
                incarnation: 1,
                term: 1,
                position: LogPosition::new(1, 0),
                stalled_at: None,
                executed: Vec::new(),
                latency_ms: 1,
                is_unpromotable: false,
                repeats_replies: false,
                faults: Vec::new(),
            };
            (address, (entry, state))
        };
        Arc::new(Self {
            members: Mutex::new((1..=3).map(member).collect()),
            promotions: Mutex::default(),
            cuts: Mutex::default(),
            connections: AtomicU64::new(0),
            signatures: AtomicU64::new(0),
            promotion_ms: AtomicU64::new(0),
            are_orders_unanswered: AtomicBool::new(false),
            are_orders_refused: AtomicBool::new(false),
            order_delay_ms: AtomicU64::new(0),
            orders_begun: AtomicU64::new(0),
            connect_ms: AtomicU64::new(0),
        })
    }

    pub fn entries(&self) -> Vec<MemberEntry> {
        let members = self.members.lock().expect("the mutex is not poisoned");
        let mut entries: Vec<MemberEntry> =
            members.values().map(|(entry, _)| entry.clone()).collect();
        entries.sort_by(|left, right| left.key.cmp(&right.key));
        entries
    }

    fn with_member<Result, Use>(&self, id: &str, using: Use) -> Result
    where
        Use: FnOnce(&mut MemberState) -> Result,
    {
        let mut members = self.members.lock().expect("the mutex is not poisoned");
        let found = members.values_mut().find(|(entry, _)| &*entry.key.id == id);
        using(&mut found.expect("a member has this name").1)
    }

    pub fn set_up(&self, id: &str, is_up: bool) {
        self.with_member(id, |member| member.is_up = is_up);
    }

    /// Cuts a host off from a member.
    pub fn cut(&self, host: &str, id: &str) {
        let entries = self.entries();
        let entry = entries.iter().find(|entry| &*entry.key.id == id);
        let address = entry.expect("a member has this name").address;
        let mut cuts = self.cuts.lock().expect("the mutex is not poisoned");
        cuts.insert((host.to_owned(), address));
    }

    fn is_cut(&self, host: &str, address: SocketAddr) -> bool {
        let cuts = self.cuts.lock().expect("the mutex is not poisoned");
        cuts.contains(&(host.to_owned(), address))
    }

    /// Closes a member's connections, as a restart of the member does.
    pub fn restart(&self, id: &str) {
        self.with_member(id, |member| member.incarnation += 1);
    }

    /// Starts a member anew under its name: it has lost its log, and lists another incarnation.
    pub fn start_anew(&self, id: &str) {
        self.with_member(id, |member| {
            member.incarnation += 1;
            (member.term, member.position) = (1, LogPosition::new(1, 0));
        });
        let mut members = self.members.lock().expect("the mutex is not poisoned");
        for (entry, _) in members.values_mut().filter(|(entry, _)| &*entry.key.id == id) {
            entry.key.incarnation += 10;
        }
    }

    pub fn stall_replication(&self, id: &str) {
        self.with_member(id, |member| member.stalled_at = Some(member.position));
    }

    /// Resumes the replication of a member, and starts it if it is down. It becomes a replica if
    /// another member is primary of a newer term.
    pub fn recover(&self, id: &str) {
        let newest = {
            let members = self.members.lock().expect("the mutex is not poisoned");
            let primaries = members.values().filter(|(_, state)| state.is_primary && state.is_up);
            primaries.max_by_key(|(_, state)| state.term).map(|(_, state)| state.clone())
        };
        self.with_member(id, |member| {
            member.stalled_at = None;
            if let Some(newest) =
                newest.filter(|newest| newest.term > member.term || !member.is_primary)
            {
                member.is_primary = member.is_primary && newest.term <= member.term;
                member.position = newest.position;
            }
            if !member.is_up {
                member.incarnation += 1;
                member.is_up = true;
            }
        });
    }

    /// Starts a former primary that still considers itself primary of its old term.
    pub fn restart_as_stale_primary(&self, id: &str) {
        self.with_member(id, |member| {
            member.incarnation += 1;
            member.is_up = true;
        });
    }

    pub fn set_unpromotable(&self, id: &str) {
        self.with_member(id, |member| member.is_unpromotable = true);
    }

    pub fn set_repeating(&self, id: &str, repeats_replies: bool) {
        self.with_member(id, |member| member.repeats_replies = repeats_replies);
    }

    /// Sets the time that a member takes for each exchange.
    pub fn set_latency(&self, id: &str, latency_ms: u64) {
        self.with_member(id, |member| member.latency_ms = latency_ms);
    }

    pub fn inject_fault(&self, id: &str, fault: InjectedFault) {
        self.with_member(id, |member| member.faults.push(fault));
    }

    /// Returns a signature that no other reply has, for the statement with an id.
    fn next_signature(&self, id: &Name) -> Name {
        let number = self.signatures.fetch_add(1, Ordering::Relaxed);
        format!("signature-{number}-of-{id}").into()
    }

    /// Returns the ids and texts of the statements that a member executed.
    pub fn executed(&self, id: &str) -> Vec<String> {
        self.with_member(id, |member| member.executed.clone())
    }

    pub fn promotions(&self) -> Vec<(String, u64)> {
        self.promotions.lock().expect("the mutex is not poisoned").clone()
    }

    pub fn primary(&self) -> Option<String> {
        let members = self.members.lock().expect("the mutex is not poisoned");
        let primaries = members.values().filter(|(_, state)| state.is_primary && state.is_up);
        primaries.max_by_key(|(_, state)| state.term).map(|(entry, _)| entry.key.id.to_string())
    }
}

/// Opens a host's connections to the members of a group.
pub struct StandInConnector {
    pub host: String,
    pub group: Arc<StandInGroup>,
}

#[async_trait]
impl MemberConnector for StandInConnector {
    async fn connect(
        &self,
        member: &MemberEntry,
        _: &str,
    ) -> Result<Box<dyn MemberConnection>, MemberError> {
        let connect_ms = self.group.connect_ms.load(Ordering::Acquire);
        if connect_ms > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(connect_ms)).await;
        }
        if self.group.is_cut(&self.host, member.address) {
            return Err(MemberError::Timeout);
        }
        let members = self.group.members.lock().expect("the mutex is not poisoned");
        let (_, state) = &members[&member.address];
        if !state.is_up {
            return Err(MemberError::Closed("refused".to_owned()));
        }
        self.group.connections.fetch_add(1, Ordering::Relaxed);
        let connection = StandInConnection {
            group: self.group.clone(),
            host: self.host.clone(),
            address: member.address,
            block: BlockState::Idle,
            writes: 0,
            incarnation: state.incarnation,
            replies: VecDeque::new(),
            sent: Vec::new(),
        };
        Ok(Box::new(connection))
    }
}

struct StandInConnection {
    group: Arc<StandInGroup>,
    host: String,
    address: SocketAddr,
    block: BlockState,
    writes: u64,
    incarnation: u64,
    /// Replies that were not received yet.
    replies: VecDeque<MemberReply>,
    /// All replies, which may be repeated.
    sent: Vec<MemberReply>,
}

impl StandInConnection {
    /// Repeats an earlier reply before each third one. Which one varies.
    fn push(&mut self, reply: MemberReply, repeats: bool) {
        let number = self.sent.len();
        if repeats && number % 3 == 2 {
            let repeated = self.sent[number - 1 - (number / 3) % 3 % number].clone();
            self.replies.push_back(repeated);
        }
        self.sent.push(reply.clone());
        self.replies.push_back(reply);
    }

    /// Returns a reply without rows.
    fn reply(&self, result: Result<Name, Refusal>, position: LogPosition) -> MemberReply {
        MemberReply { rows: Vec::new(), result, block: self.block, position: Some(position) }
    }

    fn commit(&self) -> LogPosition {
        let mut members = self.group.members.lock().expect("the mutex is not poisoned");
        let term = members[&self.address].1.term;
        let position = LogPosition::new(term, members[&self.address].1.position.position + 1);
        for (address, (_, state)) in members.iter_mut() {
            let receives = state.is_up && state.stalled_at.is_none() && state.position < position;
            if *address == self.address || receives {
                state.position = position;
            }
        }
        position
    }

    fn handle(&mut self, command: &MemberCommand) -> Result<MemberReply, MemberError> {
        let (state, fault) = {
            let mut members = self.group.members.lock().expect("the mutex is not poisoned");
            let (_, state) = members.get_mut(&self.address).expect("the member is known");
            if !state.is_up || self.incarnation != state.incarnation {
                return Err(MemberError::Closed("the member closed the connection".to_owned()));
            }
            let is_fault_point =
                matches!(command, MemberCommand::Run { .. } | MemberCommand::Commit { .. });
            let fault = if is_fault_point && !state.faults.is_empty() {
                Some(state.faults.remove(0))
            } else {
                None
            };
            (state.clone(), fault)
        };
        if let Some(InjectedFault::Refused(failure)) = fault {
            let refusal = Refusal::new(failure, "injected fault");
            return Ok(self.reply(Err(refusal), state.position));
        }
        let reply = self.execute(command, &state)?;
        match fault {
            Some(InjectedFault::AnswerLost) => {
                Err(MemberError::Closed("the answer was lost".to_owned()))
            }
            _ => Ok(reply),
        }
    }

    fn record_execution(&self, text: String) {
        let mut members = self.group.members.lock().expect("the mutex is not poisoned");
        members.get_mut(&self.address).expect("the member is known").1.executed.push(text);
    }

    fn execute(
        &mut self,
        command: &MemberCommand,
        state: &MemberState,
    ) -> Result<MemberReply, MemberError> {
        let signed = |id: &Name| Ok(self.group.next_signature(id));
        let done: Result<Name, Refusal> = Ok("-".into());
        let read_only = || Err(Refusal::new(Failure::ReadOnly, "the member is a replica"));
        let lagging =
            |floor: &Option<LogPosition>| floor.is_some_and(|floor| state.position < floor);
        let lagging_refusal =
            || Err(Refusal::new(Failure::Lagging, "the log lacks the required position"));
        match command {
            MemberCommand::Begin { is_read_only, floor, .. } => {
                if lagging(floor) {
                    return Ok(self.reply(lagging_refusal(), state.position));
                }
                if !is_read_only && !state.is_primary {
                    return Ok(self.reply(read_only(), state.position));
                }
                self.block = BlockState::Open;
                Ok(self.reply(done, state.position))
            }
            MemberCommand::Run { id, body, floor, .. } => {
                let CommandBody::Text(text) = body else {
                    return Err(MemberError::Protocol(
                        "the stand-in runs only statements given as text".to_owned(),
                    ));
                };
                if lagging(floor) {
                    return Ok(self.reply(lagging_refusal(), state.position));
                }
                let is_write = text.starts_with("STORE");
                if is_write && !state.is_primary {
                    return Ok(self.reply(read_only(), state.position));
                }
                self.record_execution(format!("{id} {text}"));
                self.writes += u64::from(is_write);
                let commits = is_write && self.block == BlockState::Idle;
                let position = if commits { self.commit() } else { state.position };
                let reply = self.reply(signed(id), position);
                let row = reply.result.as_ref().ok().filter(|_| !is_write);
                Ok(MemberReply { rows: row.cloned().into_iter().collect(), ..reply })
            }
            MemberCommand::Commit { id } => {
                self.record_execution(format!("{id} COMMIT"));
                self.block = BlockState::Idle;
                let has_written = std::mem::take(&mut self.writes) > 0;
                let position = if has_written { self.commit() } else { state.position };
                Ok(self.reply(signed(id), position))
            }
            MemberCommand::Reset => {
                self.block = BlockState::Idle;
                self.writes = 0;
                Ok(self.reply(done, state.position))
            }
            MemberCommand::StepDown { .. } => {
                let mut members = self.group.members.lock().expect("the mutex is not poisoned");
                members.get_mut(&self.address).expect("the member is known").1.is_primary = false;
                drop(members);
                Ok(MemberReply { rows: vec!["status".into()], ..self.reply(done, state.position) })
            }
            MemberCommand::Status => {
                Ok(MemberReply { rows: vec!["status".into()], ..self.reply(done, state.position) })
            }
            MemberCommand::Set { .. } | MemberCommand::Prepare { .. } => {
                Ok(self.reply(done, state.position))
            }
        }
    }
}

#[async_trait]
impl MemberConnection for StandInConnection {
    async fn send(&mut self, commands: &[MemberCommand]) -> Result<(), MemberError> {
        let (latency_ms, repeats) = {
            let members = self.group.members.lock().expect("the mutex is not poisoned");
            let state = &members[&self.address].1;
            (state.latency_ms, state.repeats_replies)
        };
        tokio::time::sleep(Duration::from_millis(latency_ms)).await;
        if self.group.is_cut(&self.host, self.address) {
            return Err(MemberError::Timeout);
        }
        for command in commands {
            let reply = self.handle(command)?;
            self.push(reply, repeats);
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<MemberReply, MemberError> {
        self.replies.pop_front().ok_or(MemberError::Timeout)
    }

    fn take_input(&mut self) -> IdleInput {
        let members = self.group.members.lock().expect("the mutex is not poisoned");
        match (self.incarnation == members[&self.address].1.incarnation, self.replies.pop_front()) {
            (false, _) => IdleInput::Closed,
            (true, Some(reply)) => IdleInput::Reply(reply),
            (true, None) => IdleInput::Nothing,
        }
    }

    fn decode_status(&self, reply: &MemberReply) -> Option<MemberStatus> {
        let members = self.group.members.lock().expect("the mutex is not poisoned");
        let state = &members[&self.address].1;
        Some(MemberStatus {
            is_primary: state.is_primary,
            term: state.term,
            position: reply.position?,
        })
    }
}

/// Promotes members of a group.
pub struct StandInPromoter(pub Arc<StandInGroup>);

#[async_trait]
impl MemberPromoter for StandInPromoter {
    async fn promote(
        &self,
        _: &str,
        member: &str,
        fencing_token: u64,
        send_before_ms: u64,
    ) -> Result<(), PromotionError> {
        self.0.orders_begun.fetch_add(1, Ordering::AcqRel);
        let delay_ms = self.0.order_delay_ms.load(Ordering::Acquire);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        if now_ms() >= send_before_ms {
            return Err(PromotionError::NotDone("it is too late".to_owned()));
        }
        let promotions = &self.0.promotions;
        promotions
            .lock()
            .expect("the mutex is not poisoned")
            .push((member.to_owned(), fencing_token));
        if self.0.are_orders_refused.load(Ordering::Acquire) {
            return Err(PromotionError::NotDone("refused".to_owned()));
        }
        let delay = Duration::from_millis(self.0.promotion_ms.load(Ordering::Acquire));
        let (group, member) = (self.0.clone(), member.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            group.make_primary(&member);
        });
        match self.0.are_orders_unanswered.load(Ordering::Acquire) {
            true => Err(PromotionError::Unknown("no answer".to_owned())),
            false => Ok(()),
        }
    }
}

impl StandInGroup {
    /// Makes a member the primary of a new term. Other members keep the role that they had.
    fn make_primary(&self, member: &str) {
        let mut members = self.members.lock().expect("the mutex is not poisoned");
        let term = members.values().map(|(_, state)| state.term).max().unwrap_or(0) + 1;
        for (entry, state) in members.values_mut() {
            if &*entry.key.id == member && !state.is_unpromotable {
                state.is_primary = true;
                state.term = term;
            }
        }
    }
}
