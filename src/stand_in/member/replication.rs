//! The flow of log entries from a primary to the other members.

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

/// Longest time between two messages to another member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// How long a sender waits for an answer before it connects anew.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls between members.
#[tarpc::service]
pub trait Replication {
    /// Holds the entries, unless the receiver has accepted a higher term.
    async fn append(request: AppendRequest) -> AppendReply;
}

#[derive(Clone)]
struct ReplicationServer {
    member: Arc<Member>,
}

impl Replication for ReplicationServer {
    async fn append(self, _: context::Context, request: AppendRequest) -> AppendReply {
        let reply = lock(&self.member.core).append(request, Instant::now());
        self.member.changed.notify_waiters();
        reply
    }
}

/// Starts receiving from, and sending to, the other members.
pub(super) async fn start(member: &Arc<Member>) -> std::io::Result<()> {
    let address = member.options.replication_address;
    let listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    member.tasks.spawn(receive(member.clone(), listener));
    for (_, address) in &member.options.others {
        member.tasks.spawn(send(member.clone(), *address));
    }
    Ok(())
}

async fn receive<Connections, Transport>(member: Arc<Member>, mut connections: Connections)
where
    Connections: StreamExt<Item = std::io::Result<Transport>> + Unpin,
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
            next = connections.next() => next,
        };
        let Some(Ok(transport)) = next else { continue };
        let server = ReplicationServer { member: member.clone() };
        let stop = member.stop.clone();
        member.tasks.spawn(async move {
            let requests = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::select! {
                () = stop.cancelled() => {}
                () = requests.for_each(|answer| answer) => {}
            }
        });
    }
}

async fn send(member: Arc<Member>, address: SocketAddr) {
    while !member.stop.is_cancelled() {
        tokio::select! {
            () = member.stop.cancelled() => return,
            () = send_until_broken(&member, address) => {}
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn send_until_broken(member: &Member, address: SocketAddr) {
    let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
    let Ok(Ok(transport)) = tokio::time::timeout(APPEND_TIMEOUT, connecting).await else {
        return;
    };
    let client = ReplicationClient::new(client::Config::default(), transport).spawn();
    let mut position = lock(&member.core).last_position();
    loop {
        let request = {
            let core = lock(&member.core);
            let lag_ms = member.receive_lag_ms.load(Ordering::Relaxed);
            let min_age = Duration::from_millis(lag_ms);
            core.is_primary().then(|| core.entries_after(position, Instant::now(), min_age))
        };
        if let Some(request) = request {
            let end = request.previous_position + request.entries.len() as u64;
            let answer = client.append(context::current(), request);
            let Ok(Ok(reply)) = tokio::time::timeout(APPEND_TIMEOUT, answer).await else {
                return;
            };
            position = follow(member, reply, end);
            if position < lock(&member.core).last_position()
                && member.receive_lag_ms.load(Ordering::Relaxed) == 0
            {
                continue;
            }
        }
        tokio::select! {
            () = member.changed.notified() => {}
            () = tokio::time::sleep(next_wait(member)) => {}
        }
    }
}

fn next_wait(member: &Member) -> Duration {
    match member.receive_lag_ms.load(Ordering::Relaxed) {
        0 => HEARTBEAT_INTERVAL,
        _ => Duration::from_millis(5),
    }
}

/// Returns the position from which to send next.
fn follow(member: &Member, reply: AppendReply, end: u64) -> u64 {
    lock(&member.core).observe_term(reply.accepted_term);
    match reply.is_held {
        true => end,
        false => reply.last_position.min(end.saturating_sub(1)),
    }
}
