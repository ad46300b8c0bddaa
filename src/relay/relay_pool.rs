//! Relay connections to one home of a group, a daemon that keeps connections to the group's
//! members.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::relay_message::RELAY_USER;
use crate::group::member_connection::ConnectOptions;
use crate::group::member_connection::MemberConnection;
use crate::group::member_control::MemberError;
use crate::sync::lock;

/// Longest time to open a connection to a home.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a home is not tried after it could not be reached.
const BACKOFF_TIME: Duration = Duration::from_millis(500);

/// Largest number of idle connections kept to one home.
const MAX_IDLE: usize = 64;

/// Relay connections to one home for one group.
pub struct RelayPool {
    options: ConnectOptions,
    idle: Mutex<Vec<MemberConnection>>,
    backoff_until: Mutex<Option<Instant>>,
}

impl RelayPool {
    /// Creates an empty pool for the relay address of a home.
    pub fn new(address: SocketAddr, group: &str, secret: &str) -> Self {
        Self {
            options: ConnectOptions {
                address,
                user: RELAY_USER.to_owned(),
                password: secret.to_owned(),
                database: group.to_owned(),
                connect_timeout: CONNECT_TIMEOUT,
            },
            idle: Mutex::new(Vec::new()),
            backoff_until: Mutex::new(None),
        }
    }

    /// Returns the relay address of the home.
    pub fn address(&self) -> SocketAddr {
        self.options.address
    }

    /// Keeps a relay connection for reuse, or closes it if enough are idle. Either no connection to
    /// a member is in use on it, or the release has been sent.
    pub fn keep(&self, connection: MemberConnection) {
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Returns whether the home could not be reached recently, so that it is not tried yet.
    pub fn is_backing_off(&self) -> bool {
        lock(&self.backoff_until).is_some_and(|until| Instant::now() < until)
    }

    /// Excludes the home for a while after it could not be reached, and closes its idle
    /// connections.
    pub fn back_off(&self) {
        *lock(&self.backoff_until) = Some(Instant::now() + BACKOFF_TIME);
        lock(&self.idle).clear();
    }

    /// Returns a connection and whether it was idle before. Opens one when none is idle.
    ///
    /// # Errors
    ///
    /// Returns an error when the home cannot be reached in time or refuses the connection.
    pub async fn connect(&self) -> Result<(MemberConnection, bool), MemberError> {
        let idle = lock(&self.idle).pop();
        match idle {
            Some(connection) => Ok((connection, true)),
            None => Ok((MemberConnection::open(&self.options).await?, false)),
        }
    }
}
