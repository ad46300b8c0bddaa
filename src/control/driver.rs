//! The control thread: carries out what the decisions ask for.

mod commits;
mod moves;
mod reports;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::control::core::Action;
use crate::control::core::ControlCore;
use crate::control::core::Event;
use crate::control::daemon_life::DaemonLife;
use crate::control::daemon_life::LifeAction;
use crate::control::daemon_life::LifeSituation;
use crate::control::failover_driver::FailoverDriver;
use crate::control::handle::CommandReceiver;
use crate::control::handle::ControlCommand;
use crate::control::home_manager::HomeManager;
use crate::control::home_manager::map_address;
use crate::fleet::change::Change;
use crate::fleet::change_log::ChangeLog;
use crate::group::group_home::GroupHome;
use crate::peer::pool::PeerPool;
use crate::peer::rpc::ExchangeRequest;
use crate::peer::rpc::PeerRpcClient;
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

/// What the control thread needs.
pub struct ControlContext {
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
    parts: ControlContext,
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

/// Runs the control thread until the daemon has stopped.
///
/// # Panics
///
/// Panics when a state chart is broken, which a test of the charts rules out.
pub fn run(parts: ControlContext, questions: CommandReceiver) {
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
    fn new(parts: ControlContext, events: mpsc::UnboundedSender<Event>) -> Rc<Self> {
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
        mut questions: mpsc::Receiver<ControlCommand>,
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
            let requested_at_ms = clock::now_ms();
            let after = changes.last().map_or(after_version, |change| change.version);
            let Ok(more) = self.parts.log.read_after(after).await else {
                return;
            };
            let is_end = more.len() < READ_LIMIT;
            changes.extend(more);
            if is_end {
                let _ = self.events.send(Event::TableRead { requested_at_ms, changes });
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
        let requested_at_ms = clock::now_ms();
        let call =
            |client: PeerRpcClient, context| async move { client.exchange(context, request).await };
        if let Some(Some(response)) = self.parts.peers.call(address, call).await {
            let _ = self.events.send(Event::PeerResponded {
                peer,
                requested_at_ms,
                response: Box::new(response),
            });
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
        let snapshot = Snapshot { fleet, is_draining: *self.closes_idle.borrow() || is_out };
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
        self.parts.traffic.lease.set_expires_at_ms(core.lease_expires_at_ms(now_ms));
        self.parts.traffic.limiter.set_allowances(&core.allowances());
    }

    fn measure_demand(self: Rc<Self>) {
        let interval_s = (TICK * DEMAND_TICKS as u32).as_secs_f64();
        let workspaces = self.parts.traffic.limiter.workspaces();
        for (name, limiter) in workspaces.iter() {
            let total = limiter.meter.statements_requested();
            let before = self.demanded.borrow_mut().insert(name.to_string(), total).unwrap_or(0);
            let demand_per_s = total.saturating_sub(before) as f64 / interval_s;
            let event = Event::Demand { workspace: name.to_string(), demand_per_s };
            self.clone().step(event);
        }
    }

    fn note_unreached(self: Rc<Self>) {
        let homes = self.homes.borrow();
        let is_unreached = |home: &GroupHome| home.prober().view().primary().is_none();
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
            has_lease: self.parts.traffic.lease.is_valid(),
            is_stop_asked: *self.is_stop_asked.borrow(),
            sessions: self.parts.traffic.sessions.len(),
            lent: self.parts.relay.lent_connections(),
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

    fn answer(self: Rc<Self>, question: ControlCommand) {
        match question {
            ControlCommand::Exchange(request, answer) => {
                let now_ms = clock::now_ms();
                let _ = answer.send(self.core.borrow_mut().handle_exchange(now_ms, &request));
                self.publish_limits();
            }
            ControlCommand::Report(answer) => {
                let _ = answer.send(self.report());
            }
            ControlCommand::Reports(answer) => {
                tokio::task::spawn_local(self.reports(answer));
            }
            ControlCommand::Change(request, answer) => {
                tokio::task::spawn_local(self.change(request, answer));
            }
            ControlCommand::History(after_version, answer) => {
                let core = self.core.borrow();
                let later = core.changes().filter(|change| change.version > after_version);
                let _ = answer.send(later.cloned().collect());
            }
            ControlCommand::MoveHere(group, member, answer) => {
                tokio::task::spawn_local(async move {
                    let _ = answer.send(self.move_here(&group, &member).await);
                });
            }
            ControlCommand::MoveAnywhere(group, member, answer) => {
                tokio::task::spawn_local(async move {
                    let _ = answer.send(self.move_anywhere(group, member).await);
                });
            }
            ControlCommand::Drain => drop(self.is_stop_asked.replace(true)),
        }
    }
}
