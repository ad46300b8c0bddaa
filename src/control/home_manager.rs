//! Starts and stops the group homes of this daemon. A home holds connections to a group's members;
//! a daemon that is no home of the group relays its requests to one that is.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::fleet_document::Member;
use crate::fleet::homes::homes_of;
use crate::fleet::state::Fleet;
use crate::group::exclusive_connection::SharedProvider;
use crate::group::group_home::GroupHome;
use crate::group::group_home::GroupMember;
use crate::group::group_home::GroupOptions;
use crate::group::local_provider::LocalProvider;
use crate::group::member_connection::ConnectOptions;
use crate::relay::relay_provider::RelayProvider;
use crate::settings::daemon_settings::DaemonSettings;
use crate::traffic::context::TrafficContext;

/// Timeout for connecting to a member.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which a home that is being stopped checks whether its last requests have ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The running homes of this daemon, and its relays to the homes of all other groups.
pub struct HomeManager {
    settings: Arc<DaemonSettings>,
    traffic: Arc<TrafficContext>,
    runtime: tokio::runtime::Handle,
    homes: HashMap<String, Arc<GroupHome>>,
    relays: HashMap<String, Arc<RelayProvider>>,
}

impl HomeManager {
    /// Creates a manager without homes. `runtime` is that of the threads that serve callers.
    pub fn new(
        settings: Arc<DaemonSettings>,
        traffic: Arc<TrafficContext>,
        runtime: tokio::runtime::Handle,
    ) -> Self {
        Self { settings, traffic, runtime, homes: HashMap::new(), relays: HashMap::new() }
    }

    /// Returns the running homes by group.
    pub fn homes(&self) -> &HashMap<String, Arc<GroupHome>> {
        &self.homes
    }

    /// Starts, updates and stops homes according to the configuration and to `slots`, the
    /// connection quotas by group, and updates the connection providers of all groups.
    pub fn apply(&mut self, fleet: &Fleet, slots: &BTreeMap<String, u64>) {
        self.stop_removed(fleet, slots);
        for (name, count) in slots {
            self.start_or_update(fleet, name, *count as usize);
        }
        self.update_providers(fleet);
    }

    fn stop_removed(&mut self, fleet: &Fleet, slots: &BTreeMap<String, u64>) {
        let is_removed = |name: &String, home: &Arc<GroupHome>| {
            !slots.contains_key(name) || !has_same_members(&self.settings, fleet, name, home)
        };
        let removed: Vec<String> = self
            .homes
            .iter()
            .filter(|(name, home)| is_removed(name, home))
            .map(|(name, _)| name.clone())
            .collect();
        for name in removed {
            if let Some(home) = self.homes.remove(&name) {
                self.runtime.spawn(stop_when_idle(home));
            }
        }
    }

    fn start_or_update(&mut self, fleet: &Fleet, name: &str, slots: usize) {
        let Some(options) = home_options(&self.settings, fleet, name, slots) else {
            return;
        };
        if let Some(home) = self.homes.get(name) {
            home.set_options(options);
            return;
        }
        let _entered = self.runtime.enter();
        let home = GroupHome::start(name.into(), options);
        self.homes.insert(name.to_owned(), home);
    }

    fn update_providers(&mut self, fleet: &Fleet) {
        let mut providers: HashMap<String, SharedProvider> = HashMap::new();
        for group in fleet.groups() {
            let provider: SharedProvider = match self.homes.get(&group.name) {
                Some(home) => Arc::new(LocalProvider(home.clone())),
                None => self.relay_provider(fleet, &group.name),
            };
            providers.insert(group.name.clone(), provider);
        }
        self.traffic.providers.replace(providers);
    }

    fn relay_provider(&mut self, fleet: &Fleet, group: &str) -> SharedProvider {
        let address = |host: &String| {
            let address = &fleet.host(host)?.relay_address;
            map_address(&self.settings, address)
        };
        let own = self.settings.name.as_str();
        let mut homes = homes_of(fleet, group);
        homes.retain(|home| home != own);
        // Homes in the same data centre are preferred.
        homes.sort_by_key(|home| fleet.data_centre_of_host(home) != self.settings.data_centre);
        let addresses: Vec<SocketAddr> = homes.iter().filter_map(address).collect();
        let relay = self
            .relays
            .entry(group.to_owned())
            .or_insert_with(|| Arc::new(RelayProvider::new(group, &self.settings.shared_secret)));
        relay.set_homes(addresses);
        relay.clone()
    }

    /// Stops all homes and waits until they have ended.
    pub async fn stop(&mut self) {
        for (_, home) in self.homes.drain() {
            home.stop().await;
        }
    }
}

async fn stop_when_idle(home: Arc<GroupHome>) {
    let mut options = (*home.options()).clone();
    options.slots = 0;
    home.set_options(options);
    while home.usage().in_use > 0 {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    home.stop().await;
}

/// Translates an address of the fleet's document by the daemon's address map. `None` if the result
/// is not an address.
pub fn map_address(settings: &DaemonSettings, address: &str) -> Option<SocketAddr> {
    let mapped = settings.address_map.get(address).map(|mapped| mapped.as_str());
    mapped.unwrap_or(address).parse().ok()
}

fn home_options(
    settings: &DaemonSettings,
    fleet: &Fleet,
    name: &str,
    slots: usize,
) -> Option<GroupOptions> {
    let group = fleet.group(name)?;
    let member = |member: &Member| {
        Some(GroupMember {
            name: member.name.as_str().into(),
            connect_options: ConnectOptions {
                address: map_address(settings, &member.address)?,
                user: settings.member_user.clone(),
                password: settings.member_password.clone(),
                database: name.to_owned(),
                connect_timeout: CONNECT_TIMEOUT,
            },
            is_leaving: fleet.is_member_leaving(name, member),
        })
    };
    let limits = fleet.limits_of_group(name);
    Some(GroupOptions {
        members: group.members.iter().map(member).collect::<Option<Vec<_>>>()?,
        slots,
        acknowledge_timeout: Duration::from_millis(limits.acknowledge_timeout_ms),
    })
}

fn has_same_members(
    settings: &DaemonSettings,
    fleet: &Fleet,
    name: &str,
    home: &GroupHome,
) -> bool {
    let Some(next) = home_options(settings, fleet, name, 1) else {
        return false;
    };
    let present = home.options();
    let identity = |member: &GroupMember| (member.name.clone(), member.connect_options.address);
    next.members.iter().map(identity).eq(present.members.iter().map(identity))
}
