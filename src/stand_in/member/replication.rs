//! Replication of log entries from a primary to the other members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use tarpc::client;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;

use super::Member;
use super::core::AppendReply;
use super::core::AppendRequest;
use crate::sync::lock;

/// Maximum time between two requests to another member, and pause before a new connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for a connection or a response, after which the sender reconnects.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);

/// RPC interface between members. Messages are encoded by position, so the order of fields must not
/// change.
#[tarpc::service]
pub trait Replication {
    /// Appends log entries, unless the receiver has accepted a higher term or its log lacks the
    /// entry before them.
    async fn append(request: AppendRequest) -> AppendReply;
}

#[derive(Clone)]
struct ReplicationServer {
    member: Arc<Member>,
}

impl Replication for ReplicationServer {
    async fn append(self, _: context::Context, request: AppendRequest) -> AppendReply {
        let reply = lock(&self.member.core).append(request, Instant::now());
        self.member.state_changed.notify_waiters();
        reply
    }
}

/// Starts listening for log entries, and a sender for each of the other members.
pub(super) async fn start(member: &Arc<Member>) -> std::io::Result<()> {
    let address = member.options.replication_address;
    let listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    member.tasks.spawn(accept_connections(member.clone(), listener));
    for (_, address) in &member.options.replication_peers {
        member.tasks.spawn(replicate_to(member.clone(), *address));
    }
    Ok(())
}

async fn accept_connections<Incoming, Transport>(member: Arc<Member>, mut incoming: Incoming)
where
    Incoming: StreamExt<Item = std::io::Result<Transport>> + Unpin,
    Transport: tarpc::Transport<
            tarpc::Response<ReplicationResponse>,
            tarpc::ClientMessage<ReplicationRequest>,
        > + Send
        + 'static,
    Transport::Error: std::error::Error + Send + Sync + 'static,
{
    loop {
        let next = tokio::select! {
            () = member.stop.cancelled() => return,
            next = incoming.next() => next,
        };
        let Some(Ok(transport)) = next else { continue };
        let server = ReplicationServer { member: member.clone() };
        let stop = member.stop.clone();
        member.tasks.spawn(async move {
            let requests = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::select! {
                () = stop.cancelled() => {}
                () = requests.for_each(|response| response) => {}
            }
        });
    }
}

/// Replicates to one member, and reconnects after each error.
async fn replicate_to(member: Arc<Member>, address: SocketAddr) {
    while !member.stop.is_cancelled() {
        tokio::select! {
            () = member.stop.cancelled() => return,
            () = replicate_until_error(&member, address) => {}
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends log entries and heartbeats over one connection while this member is primary. Returns after
/// an error.
async fn replicate_until_error(member: &Member, address: SocketAddr) {
    let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    let Ok(Ok(transport)) = tokio::time::timeout(APPEND_TIMEOUT, connecting).await else {
        return;
    };
    let client = ReplicationClient::new(client::Config::default(), transport).spawn();
    let mut position = lock(&member.core).last_position();
    loop {
        let request = {
            let core = lock(&member.core);
            let lag_ms = member.send_lag_ms.load(Ordering::Relaxed);
            let min_age = Duration::from_millis(lag_ms);
            core.is_primary().then(|| core.entries_after(position, Instant::now(), min_age))
        };
        if let Some(request) = request {
            let end_position = request.previous_position + request.entries.len() as u64;
            let response = client.append(context::current(), request);
            let Ok(Ok(reply)) = tokio::time::timeout(APPEND_TIMEOUT, response).await else {
                return;
            };
            position = next_position(member, reply, end_position);
            if position < lock(&member.core).last_position()
                && member.send_lag_ms.load(Ordering::Relaxed) == 0
            {
                continue;
            }
        }
        tokio::select! {
            () = member.state_changed.notified() => {}
            () = tokio::time::sleep(poll_interval(member)) => {}
        }
    }
}

/// Returns the maximum time until the next request: short if a lag is set, since the end of the lag
/// is not signalled.
fn poll_interval(member: &Member) -> Duration {
    match member.send_lag_ms.load(Ordering::Relaxed) {
        0 => HEARTBEAT_INTERVAL,
        _ => Duration::from_millis(5),
    }
}

/// Accepts the term in a response and returns the position after which to send next. If the
/// receiver did not append the entries, that position is lower, until the logs have an entry in
/// common.
fn next_position(member: &Member, reply: AppendReply, end_position: u64) -> u64 {
    lock(&member.core).observe_term(reply.accepted_term);
    match reply.is_appended {
        true => end_position,
        false => reply.last_position.min(end_position.saturating_sub(1)),
    }
}
