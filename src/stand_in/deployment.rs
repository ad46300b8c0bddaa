//! A deployment of stand-ins on the loopback interface, with the configuration for its daemons.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

use super::member::Member;
use super::member::MemberOptions;
use super::platform::PlatformStandIn;

/// User with which daemons connect to members.
pub const MEMBER_USER: &str = "snipehead";
/// Password with which daemons connect to members.
pub const MEMBER_PASSWORD: &str = "member-password";

/// Secret that the daemons of a deployment share.
pub const SHARED_SECRET: &str = "demo-secret-of-all-daemons";

/// Number of members in each group.
const MEMBERS_PER_GROUP: usize = 3;

/// Size and configuration of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of entry hosts, assigned to the data centres in turn.
    pub hosts: usize,
    /// Names of the groups.
    pub groups: Vec<String>,
    /// Names of the workspaces; each may use every group.
    pub workspaces: Vec<String>,
    /// Default limits in the fleet document.
    pub defaults: Value,
    /// Exceptions from the defaults in the fleet document.
    pub exceptions: Value,
}

impl DeploymentPlan {
    /// Returns the plan of a deployment with three data centres, three hosts, one group and one
    /// workspace.
    pub fn small() -> Self {
        let names = |prefix: &str| (1..=3).map(|index| format!("{prefix}{index}")).collect();
        Self {
            data_centres: names("dc"),
            hosts: 3,
            groups: vec!["dispatch".to_owned()],
            workspaces: vec!["families".to_owned()],
            defaults: json!({}),
            exceptions: json!([]),
        }
    }
}

/// Addresses on which one daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For requests that other daemons relay.
    pub relay: SocketAddr,
    /// For the state exchange between daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// The running stand-ins of a deployment. Its daemons are started separately.
pub struct Deployment {
    /// Stand-in for the platform.
    pub platform: PlatformStandIn,
    /// Members, by group.
    pub members: BTreeMap<String, Vec<Arc<Member>>>,
    /// SQL addresses of the members, by group.
    pub member_addresses: BTreeMap<String, Vec<SocketAddr>>,
    /// Addresses of the daemons, by host.
    pub hosts: BTreeMap<String, HostAddresses>,
    plan: DeploymentPlan,
}

/// First of the ports that [`free_address`] uses. All of them lie below the ephemeral ports, from
/// which the system chooses for outgoing connections.
const FIRST_PORT: u32 = 10_000;
/// Number of the ports that [`free_address`] uses.
const PORT_COUNT: u32 = 22_000;

/// Returns a loopback address with a port that is free now and is not an ephemeral port, so that no
/// outgoing connection can take it before it is bound.
///
/// # Errors
///
/// Returns an error if binding fails for another reason than that the port is in use.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(977);
    loop {
        let offset = start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).map_err(std::io::Error::other)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        match std::net::TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

impl Deployment {
    /// Starts the platform and the members of all groups.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(plan: DeploymentPlan) -> std::io::Result<Self> {
        let mut groups = BTreeMap::new();
        for group in &plan.groups {
            groups.insert(group.clone(), start_group(None).await?);
        }
        Self::start_with_groups(plan, groups).await
    }

    /// Starts the platform, for members that are already running.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_with_groups(
        plan: DeploymentPlan,
        groups: BTreeMap<String, StartedGroup>,
    ) -> std::io::Result<Self> {
        let platform = PlatformStandIn::start(free_address()?).await?;
        let mut members = BTreeMap::new();
        let mut member_addresses = BTreeMap::new();
        for (group, (group_members, addresses)) in groups {
            members.insert(group.clone(), group_members);
            member_addresses.insert(group, addresses);
        }
        let mut hosts = BTreeMap::new();
        for index in 0..plan.hosts {
            let addresses = HostAddresses {
                caller: free_address()?,
                relay: free_address()?,
                peer: free_address()?,
                operator: free_address()?,
            };
            hosts.insert(host_name(index), addresses);
        }
        Ok(Self { platform, members, member_addresses, hosts, plan })
    }

    /// Returns the data centre of the host or member with the given index.
    pub fn data_centre(&self, index: usize) -> &str {
        &self.plan.data_centres[index % self.plan.data_centres.len()]
    }

    /// Returns the fleet document that describes the deployment.
    pub fn fleet_document(&self) -> Value {
        let host = |(index, (name, addresses)): (usize, (&String, &HostAddresses))| {
            json!({
                "name": name,
                "data_centre": self.data_centre(index),
                "peer_address": addresses.peer.to_string(),
                "relay_address": addresses.relay.to_string(),
                "operator_address": addresses.operator.to_string(),
            })
        };
        let group = |(name, addresses): (&String, &Vec<SocketAddr>)| {
            let member = |(index, address): (usize, &SocketAddr)| {
                json!({
                    "name": member_name(index),
                    "data_centre": self.data_centre(index),
                    "address": address.to_string(),
                })
            };
            let members: Vec<Value> = addresses.iter().enumerate().map(member).collect();
            json!({ "name": name, "members": members })
        };
        let workspace = |name: &String| json!({ "name": name, "groups": self.plan.groups });
        json!({
            "defaults": self.plan.defaults,
            "exceptions": self.plan.exceptions,
            "entry_hosts": self.hosts.iter().enumerate().map(host).collect::<Vec<_>>(),
            "groups": self.member_addresses.iter().map(group).collect::<Vec<_>>(),
            "workspaces": self.plan.workspaces.iter().map(workspace).collect::<Vec<_>>(),
        })
    }

    /// Returns the settings of the daemon on a host.
    pub fn daemon_settings(&self, host: &str) -> Value {
        let addresses = self.hosts[host];
        let index = self.hosts.keys().position(|name| name == host).unwrap_or(0);
        json!({
            "name": host,
            "data_centre": self.data_centre(index),
            "caller_address": addresses.caller.to_string(),
            "relay_address": addresses.relay.to_string(),
            "peer_address": addresses.peer.to_string(),
            "operator_address": addresses.operator.to_string(),
            "platform_address": self.platform.address().to_string(),
            "member_user": MEMBER_USER,
            "member_password": MEMBER_PASSWORD,
            "shared_secret": SHARED_SECRET,
        })
    }

    /// Returns the names of the hosts.
    pub fn host_names(&self) -> Vec<String> {
        self.hosts.keys().cloned().collect()
    }

    /// Returns the member of a group with the given index.
    pub fn member(&self, group: &str, index: usize) -> &Arc<Member> {
        &self.members[group][index]
    }

    /// Stops the members and the platform.
    pub async fn stop(&self) {
        for member in self.members.values().flatten() {
            member.stop().await;
        }
        self.platform.stop().await;
    }
}

/// Returns the name of the host with the given index.
pub fn host_name(index: usize) -> String {
    format!("host{:02}", index + 1)
}

/// Returns the name of the member with the given index.
pub fn member_name(index: usize) -> String {
    format!("m{}", index + 1)
}

/// Addresses to which the members of a group send log entries, by index of the sender and of the
/// receiver. They may be those of proxies.
pub type ReplicationRoutes = Vec<Vec<SocketAddr>>;

/// Members of a group and their SQL addresses.
pub type StartedGroup = (Vec<Arc<Member>>, Vec<SocketAddr>);

/// Starts the members of a group, the first as primary. `addresses` holds the replication addresses
/// of the members and the routes between them; by default members connect directly.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn start_group(
    addresses: Option<(Vec<SocketAddr>, ReplicationRoutes)>,
) -> std::io::Result<StartedGroup> {
    let (replication_addresses, routes) = match addresses {
        Some(given) => given,
        None => {
            let direct_addresses = (0..MEMBERS_PER_GROUP)
                .map(|_| free_address())
                .collect::<std::io::Result<Vec<_>>>()?;
            (direct_addresses.clone(), vec![direct_addresses; MEMBERS_PER_GROUP])
        }
    };
    let mut members = Vec::new();
    let mut sql_addresses = Vec::new();
    for index in 0..MEMBERS_PER_GROUP {
        let sql_address = free_address()?;
        let replication_peers = (0..MEMBERS_PER_GROUP)
            .filter(|other| *other != index)
            .map(|other| (member_name(other), routes[index][other]))
            .collect();
        let options = MemberOptions {
            name: member_name(index),
            sql_address,
            replication_address: replication_addresses[index],
            replication_peers,
            user: MEMBER_USER.to_owned(),
            password: MEMBER_PASSWORD.to_owned(),
            max_connections: 1_000,
            starts_as_primary: index == 0,
        };
        members.push(Member::start(options).await?);
        sql_addresses.push(sql_address);
    }
    Ok((members, sql_addresses))
}
