//! Connections to one home of a group.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::relay_message::RELAY_USER;
use crate::group::member_connection::ConnectOptions;
use crate::group::member_connection::MemberConnection;
use crate::group::member_control::MemberError;
use crate::sync::lock;

/// Longest time to connect to a home.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a home is left alone after it could not be reached.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// Idle connections kept to one home.
const MAX_IDLE: usize = 64;

/// Connections to one home for one group.
pub struct RelayPool {
    target: ConnectOptions,
    idle: Mutex<Vec<MemberConnection>>,
    avoided_until: Mutex<Option<Instant>>,
}

impl RelayPool {
    /// Creates an empty pool for the relay address of a home.
    pub fn new(address: SocketAddr, group: &str, secret: &str) -> Self {
        Self {
            target: ConnectOptions {
                address,
                user: RELAY_USER.to_owned(),
                password: secret.to_owned(),
                database: group.to_owned(),
                connect_timeout: CONNECT_TIMEOUT,
            },
            idle: Mutex::new(Vec::new()),
            avoided_until: Mutex::new(None),
        }
    }

    /// Returns the relay address of the home.
    pub fn address(&self) -> SocketAddr {
        self.target.address
    }

    /// Keeps a connection on which no lane is open, or on which one is being given back.
    pub fn keep(&self, connection: MemberConnection) {
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Returns whether the home could not be reached a short while ago.
    pub fn is_avoided(&self) -> bool {
        lock(&self.avoided_until).is_some_and(|until| Instant::now() < until)
    }

    /// Leaves the home alone for a while after it could not be reached.
    pub fn avoid(&self) {
        *lock(&self.avoided_until) = Some(Instant::now() + AVOID_TIME);
        lock(&self.idle).clear();
    }

    /// Returns a connection, and whether it was idle.
    ///
    /// # Errors
    ///
    /// Returns an error when the home cannot be reached in time or refuses the connection.
    pub async fn connect(&self) -> Result<(MemberConnection, bool), MemberError> {
        let idle = lock(&self.idle).pop();
        match idle {
            Some(connection) => Ok((connection, true)),
            None => Ok((MemberConnection::open(&self.target).await?, false)),
        }
    }
}
