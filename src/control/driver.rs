//! The control thread: carries out what the decisions ask for.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

use super::core::Action;
use super::core::ControlCore;
use super::core::Event;
use super::daemon_life::DaemonLife;
use super::daemon_life::LifeAction;
use super::daemon_life::LifeSituation;
use super::failover_driver::FailoverDriver;
use super::home_manager::HomeManager;
use super::home_manager::map_address;
use super::operate::ChangeError;
use super::operate::ChangeReceipt;
use super::operate::ChangeRequest;
use super::operate::new_change;
use crate::clock;
use crate::fleet::change::Change;
use crate::fleet::change::Operation;
use crate::fleet::change_log::AppendOutcome;
use crate::fleet::change_log::ChangeLog;
use crate::fleet::homes::homes_of;
use crate::peer::pool::PeerPool;
use crate::peer::rpc::DaemonReport;
use crate::peer::rpc::ExchangeAnswer;
use crate::peer::rpc::ExchangeRequest;
use crate::peer::rpc::GroupReport;
use crate::peer::rpc::MemberReport;
use crate::peer::rpc::WorkspaceReport;
use crate::relay::relay_server::RelayServer;
use crate::settings::daemon_settings::DaemonSettings;
use crate::traffic::context::TrafficContext;
use crate::traffic::snapshot::Snapshot;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two measurements of demand.
const DEMAND_TICKS: u64 = 2;

/// How long a change waits for a majority of the daemons.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a write to the table is tried whose answer was lost.
const APPEND_TRIES: u32 = 3;

/// How often a change that holds on any version is tried when others come first.
const OVERTAKEN_TRIES: u32 = 8;

/// How long a planned change of primary may take.
const MOVE_TIMEOUT: Duration = Duration::from_secs(8);

/// Most changes read from the table at one time; fewer mean that its end was reached.
const READ_LIMIT: usize = 200;

/// What the control thread is asked.
enum Question {
    Exchange(ExchangeRequest, oneshot::Sender<ExchangeAnswer>),
    Report(oneshot::Sender<DaemonReport>),
    Change(ChangeRequest, oneshot::Sender<Result<ChangeReceipt, ChangeError>>),
    History(u64, oneshot::Sender<Vec<Change>>),
    MoveHere(String, String, oneshot::Sender<Result<String, String>>),
    MoveAnywhere(String, String, oneshot::Sender<Result<String, String>>),
    Reports(oneshot::Sender<Vec<(String, Option<DaemonReport>)>>),
    Drain,
}

/// Way to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    questions: mpsc::Sender<Question>,
}

impl ControlHandle {
    async fn ask<Answer, Make>(&self, make: Make) -> Option<Answer>
    where
        Make: FnOnce(oneshot::Sender<Answer>) -> Question,
    {
        let (sender, receiver) = oneshot::channel();
        self.questions.send(make(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Answers another daemon.
    pub async fn exchange(&self, request: ExchangeRequest) -> Option<ExchangeAnswer> {
        self.ask(|sender| Question::Exchange(request, sender)).await
    }

    /// Reports on this daemon.
    pub async fn report(&self) -> Option<DaemonReport> {
        self.ask(Question::Report).await
    }

    /// Reports on all daemons; one that does not answer has none.
    pub async fn reports(&self) -> Vec<(String, Option<DaemonReport>)> {
        self.ask(Question::Reports).await.unwrap_or_default()
    }

    /// Makes a change of the configuration.
    ///
    /// # Errors
    ///
    /// Returns why it did not take place.
    pub async fn change(&self, request: ChangeRequest) -> Result<ChangeReceipt, ChangeError> {
        let answer = self.ask(|sender| Question::Change(request, sender)).await;
        let stopped = || Err(ChangeError::TableUnavailable("the daemon stops".to_owned()));
        answer.unwrap_or_else(stopped)
    }

    /// Returns changes after a version, oldest first.
    pub async fn history(&self, after_version: u64) -> Vec<Change> {
        let answer = self.ask(|sender| Question::History(after_version, sender)).await;
        answer.unwrap_or_default()
    }

    /// Moves a group's primary, if this daemon is a home of the group.
    ///
    /// # Errors
    ///
    /// Returns a sentence when it was not moved.
    pub async fn move_primary_here(&self, group: String, member: String) -> Result<String, String> {
        let answer = self.ask(|sender| Question::MoveHere(group, member, sender)).await;
        answer.unwrap_or_else(|| Err("the daemon stops".to_owned()))
    }

    /// Moves a group's primary by way of one of its homes.
    ///
    /// # Errors
    ///
    /// Returns a sentence when it was not moved.
    pub async fn move_primary(&self, group: String, member: String) -> Result<String, String> {
        let answer = self.ask(|sender| Question::MoveAnywhere(group, member, sender)).await;
        answer.unwrap_or_else(|| Err("the daemon stops".to_owned()))
    }

    /// Starts a planned stop of this daemon.
    pub async fn drain(&self) {
        let _ = self.questions.send(Question::Drain).await;
    }
}

/// What the control thread needs.
pub struct ControlParts {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Distinguishes this process from earlier ones on the same host.
    pub incarnation: u64,
    /// The log of changes.
    pub log: ChangeLog,
    /// Connections to other daemons.
    pub peers: Arc<PeerPool>,
    /// What callers' sessions share.
    pub traffic: Arc<TrafficContext>,
    /// Where the configuration is published.
    pub publisher: watch::Sender<Arc<Snapshot>>,
    /// Lends connections to other daemons.
    pub relay: Arc<RelayServer>,
    /// The traffic threads.
    pub runtime: tokio::runtime::Handle,
    /// Ends the daemon.
    pub stop: CancellationToken,
}

/// The control thread's state.
struct Driver {
    parts: ControlParts,
    core: Rc<RefCell<ControlCore>>,
    events: mpsc::UnboundedSender<Event>,
    homes: RefCell<HomeManager>,
    failovers: RefCell<HashMap<String, (Rc<FailoverDriver>, CancellationToken)>>,
    life: RefCell<DaemonLife>,
    is_stop_asked: RefCell<bool>,
    closes_idle: RefCell<bool>,
    lends: RefCell<bool>,
    demanded: RefCell<BTreeMap<String, u64>>,
    proposing: RefCell<bool>,
}

/// Creates the way to a control thread that is not running yet.
pub fn channel() -> (ControlHandle, ControlQuestions) {
    let (sender, receiver) = mpsc::channel(1_000);
    (ControlHandle { questions: sender }, ControlQuestions(receiver))
}

/// The control thread's end of its questions.
pub struct ControlQuestions(mpsc::Receiver<Question>);

/// Runs the control thread until the daemon has stopped.
///
/// # Panics
///
/// Panics when a state chart is broken, which a test of the charts rules out.
pub fn run(parts: ControlParts, questions: ControlQuestions) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be made");
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async move {
        let (events, received) = mpsc::unbounded_channel();
        let driver = Driver::new(parts, events);
        driver.run(questions.0, received).await;
    }));
}

impl Driver {
    fn new(parts: ControlParts, events: mpsc::UnboundedSender<Event>) -> Rc<Self> {
        let settings = parts.settings.clone();
        let core = ControlCore::new(&settings.name, parts.incarnation, clock::now_ms());
        let homes =
            HomeManager::new(settings.clone(), parts.traffic.clone(), parts.runtime.clone());
        let life = DaemonLife::start(settings.drain_notice_ms, settings.drain_timeout_ms)
            .expect("the chart of a daemon's life is sound");
        Rc::new(Self {
            parts,
            core: Rc::new(RefCell::new(core)),
            events,
            homes: RefCell::new(homes),
            failovers: RefCell::new(HashMap::new()),
            life: RefCell::new(life),
            is_stop_asked: RefCell::new(false),
            closes_idle: RefCell::new(false),
            lends: RefCell::new(true),
            demanded: RefCell::new(BTreeMap::new()),
            proposing: RefCell::new(false),
        })
    }

    async fn run(
        self: Rc<Self>,
        mut questions: mpsc::Receiver<Question>,
        mut events: mpsc::UnboundedReceiver<Event>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut count = 0;
        loop {
            tokio::select! {
                () = self.parts.stop.cancelled() => break,
                Some(question) = questions.recv() => self.clone().answer(question),
                Some(event) = events.recv() => self.clone().step(event),
                _ = ticks.tick() => {
                    count += 1;
                    if count % DEMAND_TICKS == 0 {
                        self.clone().measure_demand();
                    }
                    self.clone().note_unreached();
                    self.clone().step(Event::Tick);
                    self.clone().live();
                }
            }
        }
        let failovers: Vec<_> = self.failovers.borrow_mut().drain().collect();
        failovers.iter().for_each(|(_, (_, stop))| stop.cancel());
        let homes = self.homes.borrow().homes().clone();
        for home in homes.values() {
            home.stop().await;
        }
    }

    fn step(self: Rc<Self>, event: Event) {
        let now_ms = clock::now_ms();
        let actions = self.core.borrow_mut().step(now_ms, event);
        self.publish_limits();
        for action in actions {
            self.clone().carry_out(action);
        }
    }

    fn carry_out(self: Rc<Self>, action: Action) {
        match action {
            Action::ReadTable { after_version } => {
                tokio::task::spawn_local(self.read_table(after_version));
            }
            Action::Exchange { peer, request } => {
                tokio::task::spawn_local(self.exchange(peer, *request));
            }
            Action::ProposeGeneration { hosts, version } => {
                tokio::task::spawn_local(self.propose(hosts, version));
            }
            Action::Publish => self.publish(),
        }
    }

    async fn read_table(self: Rc<Self>, after_version: u64) {
        let mut changes: Vec<Change> = Vec::new();
        loop {
            let asked_at_ms = clock::now_ms();
            let after = changes.last().map_or(after_version, |change| change.version);
            let Ok(more) = self.parts.log.read_after(after).await else {
                return;
            };
            let is_end = more.len() < READ_LIMIT;
            changes.extend(more);
            if is_end {
                let _ = self.events.send(Event::TableRead { asked_at_ms, changes });
                return;
            }
        }
    }

    fn peer_address(&self, peer: &str) -> Option<std::net::SocketAddr> {
        let fleet = self.core.borrow().fleet();
        let address = &fleet.host(peer)?.peer_address;
        map_address(&self.parts.settings, address)
    }

    async fn exchange(self: Rc<Self>, peer: String, request: ExchangeRequest) {
        let Some(address) = self.peer_address(&peer) else {
            return;
        };
        let asked_at_ms = clock::now_ms();
        let call = |client: crate::peer::rpc::PeerRpcClient, context| async move {
            client.exchange(context, request).await
        };
        if let Some(Some(answer)) = self.parts.peers.call(address, call).await {
            let _ =
                self.events.send(Event::Answered { peer, asked_at_ms, answer: Box::new(answer) });
        }
    }

    async fn propose(self: Rc<Self>, hosts: BTreeMap<String, u64>, version: u64) {
        if self.proposing.replace(true) {
            return;
        }
        let request = ChangeRequest {
            operation: Operation::StartGeneration { hosts },
            expected_version: Some(version),
            who: format!("daemon {}", self.parts.settings.name),
            why: "the daemons in service changed".to_owned(),
        };
        // Another daemon that came first has most likely proposed the same.
        if let Err(error) = self.commit(&request).await {
            log::debug!(event = "generation_not_started", reason = error.to_string(); "");
        }
        self.proposing.replace(false);
    }

    /// Appends a change to the log and applies it here.
    async fn commit(self: &Rc<Self>, request: &ChangeRequest) -> Result<u64, ChangeError> {
        let mut tries = 0;
        loop {
            tries += 1;
            let fleet = self.core.borrow().fleet();
            if let Some(expected) = request.expected_version
                && expected != fleet.version
            {
                return Err(self.overtaken(expected + 1));
            }
            fleet.check(&request.operation).map_err(ChangeError::Invalid)?;
            let change = new_change(request, fleet.version);
            match self.append(&change).await? {
                AppendOutcome::Committed => {
                    log::info!(
                        event = "change_committed",
                        version = change.version,
                        who = change.who,
                        what = change.operation.to_string();
                        ""
                    );
                    let version = change.version;
                    self.clone().step(Event::Committed(change));
                    return Ok(version);
                }
                AppendOutcome::Taken(winner) => {
                    let is_conditional = request.expected_version.is_some();
                    let lost = ChangeError::Overtaken {
                        version: winner.version,
                        who: winner.who.clone(),
                        what: winner.operation.to_string(),
                    };
                    self.clone().step(Event::Committed(*winner));
                    if is_conditional || tries >= OVERTAKEN_TRIES {
                        return Err(lost);
                    }
                }
            }
        }
    }

    fn overtaken(&self, version: u64) -> ChangeError {
        let core = self.core.borrow();
        let winner = core.changes().find(|change| change.version == version);
        ChangeError::Overtaken {
            version,
            who: winner.map_or_else(|| "nobody yet".to_owned(), |change| change.who.clone()),
            what: winner.map_or_else(
                || format!("the configuration has version {}", version - 1),
                |change| change.operation.to_string(),
            ),
        }
    }

    /// Appends a change; a lost answer is asked for again, which the change's id makes safe.
    async fn append(&self, change: &Change) -> Result<AppendOutcome, ChangeError> {
        let mut reason = String::new();
        for _ in 0..APPEND_TRIES {
            match self.parts.log.append(change).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => reason = error.to_string(),
            }
        }
        Err(ChangeError::TableUnavailable(reason))
    }

    async fn change(
        self: Rc<Self>,
        request: ChangeRequest,
        answer: oneshot::Sender<Result<ChangeReceipt, ChangeError>>,
    ) {
        let outcome = match self.commit(&request).await {
            Ok(version) => Ok(self.await_acceptance(version).await),
            Err(error) => Err(error),
        };
        let _ = answer.send(outcome);
    }

    async fn await_acceptance(&self, version: u64) -> ChangeReceipt {
        let deadline = tokio::time::Instant::now() + ACCEPT_TIMEOUT;
        while !self.core.borrow().is_accepted(version) && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let core = self.core.borrow();
        ChangeReceipt {
            version,
            is_accepted: core.is_accepted(version),
            in_force_on: core.hosts_at(version),
            hosts: core.fleet().hosts().len() as u64,
        }
    }

    fn publish(self: Rc<Self>) {
        let (fleet, slots) = {
            let core = self.core.borrow();
            (core.fleet(), core.home_slots())
        };
        self.homes.borrow_mut().apply(&fleet, &slots);
        self.renew_failovers();
        let lendable = match *self.lends.borrow() {
            true => self.homes.borrow().homes().clone(),
            false => HashMap::new(),
        };
        self.parts.relay.set_homes(lendable);
        let is_out = fleet.is_host_out(&self.parts.settings.name);
        let snapshot = Snapshot { fleet, closes_idle: *self.closes_idle.borrow() || is_out };
        self.parts.publisher.send_replace(Arc::new(snapshot));
    }

    fn renew_failovers(&self) {
        let homes = self.homes.borrow().homes().clone();
        let mut failovers = self.failovers.borrow_mut();
        failovers.retain(|name, (driver, stop)| {
            let stays = homes.get(name).is_some_and(|home| Arc::ptr_eq(home, driver.home()));
            if !stays {
                stop.cancel();
            }
            stays
        });
        for (name, home) in homes {
            if failovers.contains_key(&name) {
                continue;
            }
            let host = &self.parts.settings.name;
            let core = self.core.clone();
            let driver = FailoverDriver::new(&name, host, self.parts.incarnation, home, core);
            if let Some(driver) = driver {
                let stop = CancellationToken::new();
                tokio::task::spawn_local(driver.clone().run(stop.clone()));
                failovers.insert(name, (driver, stop));
            }
        }
    }

    fn publish_limits(&self) {
        let core = self.core.borrow();
        let now_ms = clock::now_ms();
        self.parts.traffic.standing.set_until(core.standing_until_ms(now_ms));
        self.parts.traffic.limiter.set_allowances(&core.allowances());
    }

    fn measure_demand(self: Rc<Self>) {
        let interval_s = (TICK * DEMAND_TICKS as u32).as_secs_f64();
        let workspaces = self.parts.traffic.limiter.workspaces();
        for (name, limiter) in workspaces.iter() {
            let total = limiter.meter.demanded();
            let before = self.demanded.borrow_mut().insert(name.to_string(), total).unwrap_or(0);
            let demand_per_s = total.saturating_sub(before) as f64 / interval_s;
            let event = Event::Demand { workspace: name.to_string(), demand_per_s };
            self.clone().step(event);
        }
    }

    fn note_unreached(self: Rc<Self>) {
        let homes = self.homes.borrow();
        let is_unreached =
            |home: &crate::group::group_home::GroupHome| home.prober().view().primary().is_none();
        let unreached: Vec<String> = homes
            .homes()
            .iter()
            .filter(|(_, home)| is_unreached(home))
            .map(|(name, _)| name.clone())
            .collect();
        drop(homes);
        self.step(Event::Unreached(unreached));
    }

    fn live(self: Rc<Self>) {
        let situation = LifeSituation {
            now_ms: clock::now_ms(),
            is_standing: self.parts.traffic.standing.is_standing(),
            is_stop_asked: *self.is_stop_asked.borrow(),
            sessions: self.parts.traffic.sessions.len(),
            lent: self.parts.relay.lent(),
        };
        let actions = self.life.borrow_mut().step(&situation);
        for action in actions {
            let state = self.life.borrow().state().to_owned();
            log::info!(event = "daemon_state", state = state, action = format!("{action:?}"); "");
            match action {
                LifeAction::Report => {}
                LifeAction::LeaveGeneration => self.clone().step(Event::Leave),
                LifeAction::CloseIdle => {
                    self.closes_idle.replace(true);
                    self.clone().publish();
                }
                LifeAction::CloseHomes => {
                    self.lends.replace(false);
                    self.clone().publish();
                }
                LifeAction::Exit => self.parts.stop.cancel(),
            }
        }
    }

    fn answer(self: Rc<Self>, question: Question) {
        match question {
            Question::Exchange(request, answer) => {
                let now_ms = clock::now_ms();
                let _ = answer.send(self.core.borrow_mut().answer(now_ms, &request));
                self.publish_limits();
            }
            Question::Report(answer) => {
                let _ = answer.send(self.report());
            }
            Question::Reports(answer) => {
                tokio::task::spawn_local(self.reports(answer));
            }
            Question::Change(request, answer) => {
                tokio::task::spawn_local(self.change(request, answer));
            }
            Question::History(after_version, answer) => {
                let core = self.core.borrow();
                let later = core.changes().filter(|change| change.version > after_version);
                let _ = answer.send(later.cloned().collect());
            }
            Question::MoveHere(group, member, answer) => {
                tokio::task::spawn_local(async move {
                    let _ = answer.send(self.move_here(&group, &member).await);
                });
            }
            Question::MoveAnywhere(group, member, answer) => {
                tokio::task::spawn_local(async move {
                    let _ = answer.send(self.move_anywhere(group, member).await);
                });
            }
            Question::Drain => drop(self.is_stop_asked.replace(true)),
        }
    }

    async fn move_here(&self, group: &str, member: &str) -> Result<String, String> {
        let driver = self.failovers.borrow().get(group).map(|(driver, _)| driver.clone());
        let driver = driver.ok_or_else(|| format!("this daemon is no home of group {group}"))?;
        let before = driver.home().prober().view().primary();
        driver.ask_move(member)?;
        let deadline = tokio::time::Instant::now() + MOVE_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            let view = driver.home().prober().view();
            let options = driver.home().options();
            let name = |index: usize| options.members[index].name.to_string();
            if let Some(primary) = view.primary()
                && (Some(primary) != before || name(primary) == member)
            {
                return Ok(name(primary));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(format!("the primary of group {group} did not move in time"))
    }

    async fn move_anywhere(&self, group: String, member: String) -> Result<String, String> {
        let fleet = self.core.borrow().fleet();
        let mut last = format!("group {group} has no home");
        for home in homes_of(&fleet, &group) {
            if home == self.parts.settings.name {
                return self.move_here(&group, &member).await;
            }
            let Some(address) = self.peer_address(&home) else {
                continue;
            };
            let (group, member) = (group.clone(), member.clone());
            let call = |client: crate::peer::rpc::PeerRpcClient,
                        mut context: tarpc::context::Context| {
                context.deadline = std::time::Instant::now() + MOVE_TIMEOUT;
                async move { client.move_primary(context, group, member).await }
            };
            match self.parts.peers.call_within(address, MOVE_TIMEOUT, call).await {
                Some(answer) => return answer,
                None => last = format!("home {home} gives no answer"),
            }
        }
        Err(last)
    }

    async fn reports(self: Rc<Self>, answer: oneshot::Sender<Vec<(String, Option<DaemonReport>)>>) {
        let own = self.parts.settings.name.clone();
        let others = self.core.borrow().other_hosts();
        let asking = others.into_iter().map(|peer| {
            let driver = self.clone();
            async move {
                let Some(address) = driver.peer_address(&peer) else {
                    return (peer, None);
                };
                let call = |client: crate::peer::rpc::PeerRpcClient, context| async move {
                    client.report(context).await
                };
                let report = driver.parts.peers.call(address, call).await.flatten();
                (peer, report)
            }
        });
        let mut reports = futures::future::join_all(asking).await;
        reports.push((own, Some(self.report())));
        reports.sort_by(|left, right| left.0.cmp(&right.0));
        let _ = answer.send(reports);
    }

    fn report(&self) -> DaemonReport {
        let core = self.core.borrow();
        let now_ms = clock::now_ms();
        let failovers = self.failovers.borrow();
        let groups = failovers.iter().map(|(name, (driver, _))| group_report(name, driver, &core));
        let workspaces = self.parts.traffic.limiter.workspaces();
        let workspace = |(name, limiter): (&crate::name::Name, &Arc<_>)| {
            let limiter: &Arc<crate::limit::rate_limiter::WorkspaceLimiter> = limiter;
            WorkspaceReport {
                name: name.to_string(),
                share_ppm: core.share_ppm(name),
                reading: limiter.meter.reading(),
            }
        };
        DaemonReport {
            host: self.parts.settings.name.clone(),
            data_centre: self.parts.settings.data_centre.clone(),
            incarnation: self.parts.incarnation,
            version: core.fleet().version,
            state: self.life.borrow().state().to_owned(),
            is_table_reachable: core.is_table_reachable(now_ms),
            lease_left_ms: core.standing_until_ms(now_ms).saturating_sub(now_ms),
            generation: core.generation(),
            callers: self.parts.traffic.cancels.len() as u64,
            groups: groups.collect(),
            workspaces: workspaces.iter().map(workspace).collect(),
        }
    }
}

fn group_report(name: &str, driver: &FailoverDriver, core: &ControlCore) -> GroupReport {
    let view = driver.home().prober().view();
    let options = driver.home().options();
    let usage = driver.home().usage();
    let last =
        (0..view.len()).filter_map(|index| view.status(index)).map(|status| status.held).max();
    let last = last.unwrap_or_default();
    let fleet = core.fleet();
    let data_centre = |member: &str| {
        let members = fleet.group(name).map(|group| group.members.as_slice()).unwrap_or_default();
        let found = members.iter().find(|known| known.name == member);
        found.map(|known| known.data_centre.clone()).unwrap_or_default()
    };
    let member = |(index, known): (usize, &crate::group::group_home::HomeMember)| {
        let status = view.status(index).unwrap_or_default();
        MemberReport {
            name: known.name.to_string(),
            data_centre: data_centre(&known.name),
            is_reachable: view.is_reachable(index),
            is_leaving: known.is_leaving,
            applied: status.applied.to_string(),
            behind: last.position.saturating_sub(status.applied.position),
        }
    };
    GroupReport {
        name: name.to_owned(),
        primary: view.primary().map(|index| options.members[index].name.to_string()),
        term: view.highest_term(),
        members: options.members.iter().enumerate().map(member).collect(),
        slots: usage.limit as u64,
        in_use: usage.in_use as u64,
        waiting: usage.waiting as u64,
        failover_state: driver.state(),
    }
}
