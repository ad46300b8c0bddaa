//! The control thread: performs the I/O that the control state machine asks for.

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
use crate::control::daemon_lifecycle::DaemonLifecycle;
use crate::control::daemon_lifecycle::LifecycleAction;
use crate::control::daemon_lifecycle::LifecycleInputs;
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
use crate::platform::error::PlatformError;
use crate::relay::relay_server::RelayServer;
use crate::settings::daemon_settings::DaemonSettings;
use crate::traffic::context::TrafficContext;
use crate::traffic::snapshot::Snapshot;

/// Interval of the periodic timer.
const TICK: Duration = Duration::from_millis(50);

/// Number of ticks between two measurements of demand.
const DEMAND_TICKS: u64 = 2;

/// Maximum time that a committed change waits for a majority of the daemons to know it.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of attempts to append a change to the log when the table does not respond.
const MAX_APPEND_ATTEMPTS: u32 = 3;

/// Maximum number of attempts to commit a change that does not depend on a version, when other
/// changes take its version first.
const MAX_COMMIT_ATTEMPTS: u32 = 8;

/// Maximum time of a planned move of a primary.
const MOVE_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of changes that one read of the log returns, as in `ChangeLog::read_after`. A
/// shorter result means that the end of the log was reached.
const READ_PAGE_SIZE: usize = 200;

/// Resources that the control thread uses.
pub struct ControlContext {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Distinguishes this process from earlier ones on the same host.
    pub incarnation: u64,
    /// The log of configuration changes.
    pub log: ChangeLog,
    /// Client for calls to the other daemons.
    pub peers: Arc<PeerPool>,
    /// State shared by all caller sessions.
    pub traffic: Arc<TrafficContext>,
    /// Publishes the configuration to the caller sessions.
    pub publisher: watch::Sender<Arc<Snapshot>>,
    /// Lets other daemons use the member connections of this daemon's homes.
    pub relay: Arc<RelayServer>,
    /// Runtime of the threads that serve callers.
    pub runtime: tokio::runtime::Handle,
    /// Cancelled to stop the daemon.
    pub stop: CancellationToken,
}

/// State of the control thread.
struct Driver {
    context: ControlContext,
    core: Rc<RefCell<ControlCore>>,
    events: mpsc::UnboundedSender<Event>,
    homes: RefCell<HomeManager>,
    failovers: RefCell<HashMap<String, (Rc<FailoverDriver>, CancellationToken)>>,
    lifecycle: RefCell<DaemonLifecycle>,
    is_stop_requested: RefCell<bool>,
    is_draining: RefCell<bool>,
    accepts_relays: RefCell<bool>,
    /// Statements requested up to the last measurement of demand, by workspace.
    statement_counts: RefCell<BTreeMap<String, u64>>,
    /// Whether a proposed generation is being committed.
    is_proposing: RefCell<bool>,
}

/// Runs the control thread until the daemon has stopped.
///
/// # Panics
///
/// Panics if the thread's runtime cannot be built or the lifecycle chart is invalid. A test checks
/// the charts.
pub fn run(context: ControlContext, commands: CommandReceiver) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime of the control thread should build");
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async move {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let driver = Driver::new(context, events);
        driver.run(commands.0, event_receiver).await;
    }));
}

impl Driver {
    fn new(context: ControlContext, events: mpsc::UnboundedSender<Event>) -> Rc<Self> {
        let settings = context.settings.clone();
        let core = ControlCore::new(&settings.name, context.incarnation, clock::now_ms());
        let homes =
            HomeManager::new(settings.clone(), context.traffic.clone(), context.runtime.clone());
        let lifecycle = DaemonLifecycle::start(settings.drain_notice_ms, settings.drain_timeout_ms)
            .expect("the lifecycle chart should be valid");
        Rc::new(Self {
            context,
            core: Rc::new(RefCell::new(core)),
            events,
            homes: RefCell::new(homes),
            failovers: RefCell::new(HashMap::new()),
            lifecycle: RefCell::new(lifecycle),
            is_stop_requested: RefCell::new(false),
            is_draining: RefCell::new(false),
            accepts_relays: RefCell::new(true),
            statement_counts: RefCell::new(BTreeMap::new()),
            is_proposing: RefCell::new(false),
        })
    }

    async fn run(
        self: Rc<Self>,
        mut commands: mpsc::Receiver<ControlCommand>,
        mut events: mpsc::UnboundedReceiver<Event>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut count = 0;
        loop {
            tokio::select! {
                () = self.context.stop.cancelled() => break,
                Some(command) = commands.recv() => self.clone().handle_command(command),
                Some(event) = events.recv() => self.clone().step(event),
                _ = ticks.tick() => {
                    count += 1;
                    if count % DEMAND_TICKS == 0 {
                        self.clone().measure_demand();
                    }
                    self.clone().report_unreachable_primaries();
                    self.clone().step(Event::Tick);
                    self.clone().step_lifecycle();
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
        self.publish_lease_and_allowances();
        for action in actions {
            self.clone().perform(action);
        }
    }

    fn perform(self: Rc<Self>, action: Action) {
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
            let page = match self.context.log.read_after(after).await {
                Ok(page) => page,
                // The table is read again in a second, and the lease expires meanwhile.
                Err(PlatformError::Unavailable(_)) => return,
                Err(error @ PlatformError::Unreadable(_)) => {
                    log::warn!(
                        event = "change_log_unreadable", after = after, error = error.to_string();
                        "the lease is not renewed by reads of a log that cannot be read to its end"
                    );
                    return;
                }
            };
            let is_end = page.len() < READ_PAGE_SIZE;
            changes.extend(page);
            if is_end {
                let _ = self.events.send(Event::TableRead { requested_at_ms, changes });
                return;
            }
        }
    }

    fn peer_address(&self, peer: &str) -> Option<std::net::SocketAddr> {
        let fleet = self.core.borrow().fleet();
        let address = &fleet.host(peer)?.peer_address;
        map_address(&self.context.settings, address)
    }

    async fn exchange(self: Rc<Self>, peer: String, request: ExchangeRequest) {
        let Some(address) = self.peer_address(&peer) else {
            return;
        };
        let requested_at_ms = clock::now_ms();
        let call =
            |client: PeerRpcClient, context| async move { client.exchange(context, request).await };
        if let Some(Some(response)) = self.context.peers.call(address, call).await {
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
        self.update_failovers();
        let relayed_homes = match *self.accepts_relays.borrow() {
            true => self.homes.borrow().homes().clone(),
            false => HashMap::new(),
        };
        self.context.relay.set_homes(relayed_homes);
        let is_out = fleet.is_host_out(&self.context.settings.name);
        let snapshot = Snapshot { fleet, is_draining: *self.is_draining.borrow() || is_out };
        self.context.publisher.send_replace(Arc::new(snapshot));
    }

    fn update_failovers(&self) {
        let homes = self.homes.borrow().homes().clone();
        let mut failovers = self.failovers.borrow_mut();
        failovers.retain(|name, (driver, stop)| {
            let is_kept = homes.get(name).is_some_and(|home| Arc::ptr_eq(home, driver.home()));
            if !is_kept {
                stop.cancel();
            }
            is_kept
        });
        for (name, home) in homes {
            if failovers.contains_key(&name) {
                continue;
            }
            let host = &self.context.settings.name;
            let core = self.core.clone();
            let driver = FailoverDriver::new(&name, host, self.context.incarnation, home, core);
            if let Some(driver) = driver {
                let stop = CancellationToken::new();
                tokio::task::spawn_local(driver.clone().run(stop.clone()));
                failovers.insert(name, (driver, stop));
            }
        }
    }

    fn publish_lease_and_allowances(&self) {
        let core = self.core.borrow();
        let now_ms = clock::now_ms();
        self.context.traffic.lease.set_expires_at_ms(core.lease_expires_at_ms(now_ms));
        self.context.traffic.limiter.set_allowances(&core.allowances());
    }

    fn measure_demand(self: Rc<Self>) {
        let interval_s = (TICK * DEMAND_TICKS as u32).as_secs_f64();
        let workspaces = self.context.traffic.limiter.workspaces();
        for (name, limiter) in workspaces.iter() {
            let total = limiter.meter.statements_requested();
            let previous_total =
                self.statement_counts.borrow_mut().insert(name.to_string(), total).unwrap_or(0);
            let demand_per_s = total.saturating_sub(previous_total) as f64 / interval_s;
            let event = Event::Demand { workspace: name.to_string(), demand_per_s };
            self.clone().step(event);
        }
    }

    fn report_unreachable_primaries(self: Rc<Self>) {
        let homes = self.homes.borrow();
        let is_unreachable = |home: &GroupHome| home.prober().view().primary().is_none();
        let unreachable_primaries: Vec<String> = homes
            .homes()
            .iter()
            .filter(|(_, home)| is_unreachable(home))
            .map(|(name, _)| name.clone())
            .collect();
        drop(homes);
        self.step(Event::PrimariesUnreachable(unreachable_primaries));
    }

    fn step_lifecycle(self: Rc<Self>) {
        let inputs = LifecycleInputs {
            now_ms: clock::now_ms(),
            has_lease: self.context.traffic.lease.is_valid(),
            is_stop_requested: *self.is_stop_requested.borrow(),
            sessions: self.context.traffic.sessions.len(),
            relayed: self.context.relay.lent_connections(),
        };
        let actions = self.lifecycle.borrow_mut().step(&inputs);
        for action in actions {
            let state = self.lifecycle.borrow().state().to_owned();
            log::info!(
                event = "lifecycle_state_entered",
                state = state,
                action = format!("{action:?}");
                "the daemon entered the state {state}"
            );
            match action {
                LifecycleAction::Report => {}
                LifecycleAction::LeaveGeneration => self.clone().step(Event::Leave),
                LifecycleAction::DrainSessions => {
                    self.is_draining.replace(true);
                    self.clone().publish();
                }
                LifecycleAction::StopRelaying => {
                    self.accepts_relays.replace(false);
                    self.clone().publish();
                }
                LifecycleAction::Exit => self.context.stop.cancel(),
            }
        }
    }

    fn handle_command(self: Rc<Self>, command: ControlCommand) {
        match command {
            ControlCommand::Exchange(request, reply) => {
                let now_ms = clock::now_ms();
                let _ = reply.send(self.core.borrow_mut().handle_exchange(now_ms, &request));
                self.publish_lease_and_allowances();
            }
            ControlCommand::Report(reply) => {
                let _ = reply.send(self.report());
            }
            ControlCommand::Reports(reply) => {
                tokio::task::spawn_local(self.reports(reply));
            }
            ControlCommand::Change(request, reply) => {
                tokio::task::spawn_local(self.change(request, reply));
            }
            ControlCommand::History(after_version, reply) => {
                let core = self.core.borrow();
                let later = core.changes().filter(|change| change.version > after_version);
                let _ = reply.send(later.cloned().collect());
            }
            ControlCommand::MovePrimaryAsHome(group, member, reply) => {
                tokio::task::spawn_local(async move {
                    let _ = reply.send(self.move_primary_as_home(&group, &member).await);
                });
            }
            ControlCommand::MovePrimaryViaHome(group, member, reply) => {
                tokio::task::spawn_local(async move {
                    let _ = reply.send(self.move_primary_via_home(group, member).await);
                });
            }
            ControlCommand::Drain => drop(self.is_stop_requested.replace(true)),
        }
    }
}
