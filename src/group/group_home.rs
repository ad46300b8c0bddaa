//! A group of which this daemon is a home, that is, to whose members it keeps connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::exclusive_connection::ConnectionRequest;
use super::exclusive_connection::Freshness;
use super::log_position::LogPosition;
use super::member_connection::ConnectOptions;
use super::member_connection::MemberConnection;
use super::member_control::MemberControl;
use super::prober::Prober;
use super::quorum::QuorumView;
use super::slot_pool::PoolUsage;
use super::slot_pool::SlotPool;
use super::sql_member_control::SqlMemberControl;
use crate::name::Name;
use crate::sync::lock;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// How long a member is not chosen after a connection to it failed.
const BACKOFF_TIME: Duration = Duration::from_millis(200);

/// Longest time between two checks of the members' state while a request waits for a suitable one.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A member of the group and how to connect to it.
#[derive(Clone)]
pub struct GroupMember {
    /// Unique name of the member within the group.
    pub name: Name,
    /// Address and credentials.
    pub connect_options: ConnectOptions,
    /// Whether it is being taken out of service. It then serves no reads as a replica, and its
    /// connections are closed after use.
    pub is_leaving: bool,
}

/// Options of a group that can change while it serves requests.
#[derive(Clone)]
pub struct GroupOptions {
    /// The members, in a fixed order; other types refer to them by index.
    pub members: Vec<GroupMember>,
    /// Largest number of connections, in use or idle, that this daemon keeps for requests.
    pub slots: usize,
    /// Longest wait for a majority to receive a write.
    pub acknowledge_timeout: Duration,
}

/// A group to whose members this daemon keeps connections.
pub struct GroupHome {
    name: Name,
    prober: Arc<Prober>,
    pool: Arc<SlotPool>,
    options: Mutex<Arc<GroupOptions>>,
    backoff_until: Mutex<Vec<Option<Instant>>>,
    /// Number of connections in use, by member.
    connections_in_use: Mutex<Vec<usize>>,
}

/// The member chosen for a request.
pub(super) struct ChosenMember {
    pub(super) member: usize,
    pub(super) is_replica: bool,
}

impl GroupHome {
    /// Starts probing the members of the group.
    pub fn start(name: Name, options: GroupOptions) -> Arc<Self> {
        let control = |member: &GroupMember| {
            Arc::new(SqlMemberControl::new(member.connect_options.clone()))
                as Arc<dyn MemberControl>
        };
        let controls: Vec<_> = options.members.iter().map(control).collect();
        let count = controls.len();
        let home = Arc::new(Self {
            name,
            prober: Prober::start(controls),
            pool: SlotPool::new(),
            options: Mutex::new(Arc::new(options)),
            backoff_until: Mutex::new(vec![None; count]),
            connections_in_use: Mutex::new(vec![0; count]),
        });
        home.pool.set_limit(home.options().slots);
        home
    }

    /// Replaces the options. The members, their order and their addresses must stay the same,
    /// because the prober is not restarted.
    pub fn set_options(&self, options: GroupOptions) {
        self.pool.set_limit(options.slots);
        for (index, member) in options.members.iter().enumerate() {
            if member.is_leaving {
                self.pool.close_idle(index);
            }
        }
        *lock(&self.options) = Arc::new(options);
    }

    /// Returns the current options.
    pub fn options(&self) -> Arc<GroupOptions> {
        lock(&self.options).clone()
    }

    /// Grants no more slots, stops probing and waits for the probe tasks to end.
    pub async fn stop(&self) {
        self.pool.set_limit(0);
        self.prober.stop().await;
    }

    /// Returns the prober of the group's members.
    pub fn prober(&self) -> &Arc<Prober> {
        &self.prober
    }

    /// Returns the pool of slots and idle connections.
    pub(super) fn pool(&self) -> &Arc<SlotPool> {
        &self.pool
    }

    /// Returns how many connections are in use and idle, and how many requests wait for one.
    pub fn usage(&self) -> PoolUsage {
        self.pool.usage()
    }

    /// Chooses the member for a request, or `None` while no member is suitable. Replicas marked in
    /// `skipped` are not chosen.
    pub(super) fn choose_member(
        &self,
        request: &ConnectionRequest,
        floor: LogPosition,
        skipped: &[bool],
    ) -> Option<ChosenMember> {
        let view = self.prober.view();
        let options = self.options();
        if request.may_use_replica {
            let replica = self.choose_replica(&view, &options, floor, skipped);
            if replica.is_some() {
                return replica;
            }
        }
        let primary = view.primary()?;
        (!self.is_backing_off(primary))
            .then_some(ChosenMember { member: primary, is_replica: false })
    }

    /// Chooses the replica with the fewest connections in use among those that have applied the
    /// floor and on which less than half of the slots are in use.
    fn choose_replica(
        &self,
        view: &QuorumView,
        options: &GroupOptions,
        floor: LogPosition,
        skipped: &[bool],
    ) -> Option<ChosenMember> {
        let connections_in_use = lock(&self.connections_in_use).clone();
        let max_in_use = options.slots.div_ceil(2).max(1);
        let is_suitable = |member: &usize| {
            let status = view.status(*member).unwrap_or_default();
            view.is_reachable(*member)
                && !status.is_primary
                && status.applied >= floor
                && !options.members[*member].is_leaving
                && !skipped[*member]
                && !self.is_backing_off(*member)
                && connections_in_use[*member] < max_in_use
        };
        let members = (0..view.len()).filter(is_suitable);
        let member = members.min_by_key(|member| connections_in_use[*member])?;
        Some(ChosenMember { member, is_replica: true })
    }

    fn is_backing_off(&self, member: usize) -> bool {
        lock(&self.backoff_until)[member].is_some_and(|until| Instant::now() < until)
    }

    /// Excludes a member from the choice for a while after a connection to it failed, closes its
    /// idle connections and requests a probe.
    pub(super) fn back_off(&self, member: usize) {
        lock(&self.backoff_until)[member] = Some(Instant::now() + BACKOFF_TIME);
        self.pool.close_idle(member);
        self.prober.refresh();
    }

    /// Returns the log position that a request's reads must include, or `None` when a majority
    /// does not answer in time.
    pub(super) async fn read_floor(
        &self,
        request: &ConnectionRequest,
        deadline: Instant,
    ) -> Option<LogPosition> {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let fresh_floor = match request.freshness {
            Freshness::Floor => return Some(request.floor),
            Freshness::Latest => self.prober.floor(timeout).await,
            Freshness::Age(age_ms) => self.prober.floor_at_age(age_ms, timeout).await,
        };
        fresh_floor.map(|fresh_floor| fresh_floor.max(request.floor))
    }

    /// Returns an idle connection to a member, or opens a new one. Returns `None` when the member
    /// cannot be reached or refuses the connection.
    pub(super) async fn connect(&self, member: usize) -> Option<MemberConnection> {
        if let Some(connection) = self.pool.take_idle(member) {
            return Some(connection);
        }
        self.pool.evict_idle();
        let options = self.options().members[member].connect_options.clone();
        MemberConnection::open(&options).await.ok()
    }

    /// Waits until the members' state changes, at most for `RECHECK_INTERVAL` or until the
    /// deadline.
    pub(super) async fn wait_for_change(&self, deadline: Instant) {
        let mut changes = self.prober.changes();
        let remaining = deadline.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(remaining.min(RECHECK_INTERVAL), changes.changed()).await;
    }

    /// Returns the error for a request that got no slot in time.
    pub(super) fn no_capacity(&self) -> SqlError {
        let message = format!("not run: no connection to group {} became free in time", self.name);
        SqlError::new(sql_state::NO_CAPACITY, message).with_hint("Try again in 1 s.")
    }

    /// Returns the error for a request that no member could serve in time.
    pub(super) fn no_member(&self) -> SqlError {
        let message =
            format!("not run: no member of group {} could serve the request in time", self.name);
        SqlError::new(sql_state::NOT_RUN, message).with_hint("Try again in 1 s.")
    }

    /// Keeps a connection without session state for the next request, unless its member is being
    /// taken out of service.
    pub(super) fn keep_idle(&self, member: usize, connection: MemberConnection) {
        if !self.options().members[member].is_leaving {
            self.pool.keep_idle(member, connection);
        }
    }

    /// Counts a connection to a member that is granted to a request.
    pub(super) fn add_connection_in_use(&self, member: usize) {
        lock(&self.connections_in_use)[member] += 1;
    }

    /// Removes from the count a connection to a member that is no longer in use.
    pub(super) fn remove_connection_in_use(&self, member: usize) {
        lock(&self.connections_in_use)[member] -= 1;
    }
}
