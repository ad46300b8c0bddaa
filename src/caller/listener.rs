//! Accepts connections of callers.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::session::CallerSession;
use super::startup;
use crate::traffic::context::TrafficContext;
use snipehead_core::limits::connection_table::Phase;
use snipehead_core::limits::live_connections::LiveConnection;
use snipehead_core::limits::report::Applied;

/// Pause between two attempts to find room for a connection.
const ADMIT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of callers until the daemon stops.
pub async fn accept_callers(context: Arc<TrafficContext>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = context.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(live) = admit(&context).await else { return };
                let _ = stream.set_nodelay(true);
                context.sessions.spawn(serve(context.clone(), stream, live));
            }
            // Most likely, no file descriptors are left. Open connections are not affected.
            Err(error) => {
                log::error!(
                    event = "accept_failed", error = error.to_string();
                    "A connection from a caller could not be accepted; trying again in 50 ms."
                );
                tokio::time::sleep(ADMIT_PAUSE).await;
            }
        }
    }
}

/// Waits until there is room for a connection that has no session yet. Returns `None` when the daemon
/// stops.
async fn admit(context: &TrafficContext) -> Option<LiveConnection> {
    let mut has_waited = false;
    loop {
        if let Some((live, closed_other)) = context.limits.connections.admit() {
            if closed_other {
                context.limits.report.record(Applied::ClosedForOther);
            }
            return Some(live);
        }
        if !has_waited {
            context.limits.report.record(Applied::AcceptWait);
            has_waited = true;
        }
        tokio::select! {
            () = context.stop.cancelled() => return None,
            () = tokio::time::sleep(ADMIT_PAUSE) => {}
        }
    }
}

async fn serve(context: Arc<TrafficContext>, stream: TcpStream, live: LiveConnection) {
    let stop = context.stop.clone();
    let session = async {
        let authenticating = startup::authenticate(&context, stream);
        let authenticated = tokio::time::timeout(context.startup_timeout, authenticating).await;
        if let Ok(Some(caller)) = authenticated {
            // Sessions are limited when they are admitted, and are not closed for other connections.
            live.set_phase(Phase::Working);
            CallerSession::serve(context.clone(), caller).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = live.closed().cancelled() => {}
        () = session => {}
    }
}
