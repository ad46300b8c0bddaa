//! A group whose connections this daemon holds.

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

/// How long a member is left alone after a connection to it failed.
const AVOID_TIME: Duration = Duration::from_millis(200);

/// Longest pause before the view is looked at again while no member fits.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A member of the group and how to reach it.
#[derive(Clone)]
pub struct GroupMember {
    /// Name of the member.
    pub name: Name,
    /// Where and as whom to connect.
    pub connect_options: ConnectOptions,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

/// What may change of a group while it is served.
#[derive(Clone)]
pub struct GroupOptions {
    /// The members.
    pub members: Vec<GroupMember>,
    /// Connections that this daemon may use for requests.
    pub slots: usize,
    /// Longest wait for a majority to hold a write.
    pub acknowledge_timeout: Duration,
}

/// A group whose connections this daemon holds.
pub struct GroupHome {
    name: Name,
    prober: Arc<Prober>,
    pool: Arc<SlotPool>,
    options: Mutex<Arc<GroupOptions>>,
    avoided_until: Mutex<Vec<Option<Instant>>>,
    in_flight: Mutex<Vec<usize>>,
}

/// What a request runs on.
pub(super) struct Target {
    pub(super) member: usize,
    pub(super) is_replica: bool,
}

impl GroupHome {
    /// Starts to watch the group.
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
            avoided_until: Mutex::new(vec![None; count]),
            in_flight: Mutex::new(vec![0; count]),
        });
        home.pool.set_limit(home.options().slots);
        home
    }

    /// Takes changed options; the members' names and addresses must be the same.
    pub fn set_options(&self, options: GroupOptions) {
        self.pool.set_limit(options.slots);
        for (index, member) in options.members.iter().enumerate() {
            if member.is_leaving {
                self.pool.close_idle(index);
            }
        }
        *lock(&self.options) = Arc::new(options);
    }

    /// Returns the present options.
    pub fn options(&self) -> Arc<GroupOptions> {
        lock(&self.options).clone()
    }

    /// Stops watching and waits for the tasks.
    pub async fn stop(&self) {
        self.pool.set_limit(0);
        self.prober.stop().await;
    }

    /// Returns the group's watcher.
    pub fn prober(&self) -> &Arc<Prober> {
        &self.prober
    }

    /// Returns the connections and who waits for them.
    pub(super) fn pool(&self) -> &Arc<SlotPool> {
        &self.pool
    }

    /// Returns what the connections are doing.
    pub fn usage(&self) -> PoolUsage {
        self.pool.usage()
    }

    /// Chooses the member for a request, or none while no member fits.
    pub(super) fn choose(
        &self,
        request: &ConnectionRequest,
        floor: LogPosition,
        skipped: &[bool],
    ) -> Option<Target> {
        let view = self.prober.view();
        let options = self.options();
        if request.may_use_replica {
            let replica = self.choose_replica(&view, &options, floor, skipped);
            if replica.is_some() {
                return replica;
            }
        }
        let primary = view.primary()?;
        (!self.is_avoided(primary)).then_some(Target { member: primary, is_replica: false })
    }

    /// Chooses the replica with the least work among those that show the floor.
    fn choose_replica(
        &self,
        view: &QuorumView,
        options: &GroupOptions,
        floor: LogPosition,
        skipped: &[bool],
    ) -> Option<Target> {
        let in_flight = lock(&self.in_flight).clone();
        let most_for_one = options.slots.div_ceil(2).max(1);
        let fits = |member: &usize| {
            let status = view.status(*member).unwrap_or_default();
            view.is_reachable(*member)
                && !status.is_primary
                && status.applied >= floor
                && !options.members[*member].is_leaving
                && !skipped[*member]
                && !self.is_avoided(*member)
                && in_flight[*member] < most_for_one
        };
        let members = (0..view.len()).filter(fits);
        let member = members.min_by_key(|member| in_flight[*member])?;
        Some(Target { member, is_replica: true })
    }

    fn is_avoided(&self, member: usize) -> bool {
        lock(&self.avoided_until)[member].is_some_and(|until| Instant::now() < until)
    }

    /// Leaves a member alone for a while after a connection to it failed.
    pub(super) fn avoid(&self, member: usize) {
        lock(&self.avoided_until)[member] = Some(Instant::now() + AVOID_TIME);
        self.pool.close_idle(member);
        self.prober.refresh();
    }

    pub(super) async fn floor_for(
        &self,
        request: &ConnectionRequest,
        deadline: Instant,
    ) -> Option<LogPosition> {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let fresh = match request.freshness {
            Freshness::Floor => return Some(request.floor),
            Freshness::Latest => self.prober.floor(timeout).await,
            Freshness::Age(age_ms) => self.prober.floor_of_age(age_ms, timeout).await,
        };
        fresh.map(|fresh| fresh.max(request.floor))
    }

    pub(super) async fn connect(&self, member: usize) -> Option<MemberConnection> {
        if let Some(connection) = self.pool.take_idle(member) {
            return Some(connection);
        }
        self.pool.make_room();
        let target = self.options().members[member].connect_options.clone();
        MemberConnection::open(&target).await.ok()
    }

    pub(super) async fn wait_for_change(&self, deadline: Instant) {
        let mut changes = self.prober.changes();
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left.min(RECHECK_INTERVAL), changes.changed()).await;
    }

    pub(super) fn no_capacity(&self) -> SqlError {
        let message = format!("not run: no connection to group {} came free in time", self.name);
        SqlError::new(sql_state::NO_CAPACITY, message).with_hint("Try again in 1 s.")
    }

    pub(super) fn no_member(&self) -> SqlError {
        let message =
            format!("not run: no member of group {} could take the request in time", self.name);
        SqlError::new(sql_state::NOT_RUN, message).with_hint("Try again in 1 s.")
    }

    /// Keeps a connection whose state is known for the next request, unless its member takes none.
    pub(super) fn keep_idle(&self, member: usize, connection: MemberConnection) {
        if !self.options().members[member].is_leaving {
            self.pool.keep_idle(member, connection);
        }
    }

    /// Counts a request that starts to run on a member.
    pub(super) fn start_work(&self, member: usize) {
        lock(&self.in_flight)[member] += 1;
    }

    /// Counts a request that has ended on a member.
    pub(super) fn end_work(&self, member: usize) {
        lock(&self.in_flight)[member] -= 1;
    }
}
