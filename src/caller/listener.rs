//! Accepts connections of callers.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::session::CallerSession;
use super::startup;
use crate::traffic::context::TrafficContext;

/// Accepts connections of callers until the daemon stops.
pub async fn accept_callers(context: Arc<TrafficContext>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = context.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                context.sessions.spawn(serve(context.clone(), stream));
            }
            // Most likely, no file descriptors are left. Open connections are not affected.
            Err(error) => {
                log::error!(
                    event = "accept_failed", error = error.to_string();
                    "A connection from a caller could not be accepted; trying again in 50 ms."
                );
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(context: Arc<TrafficContext>, stream: TcpStream) {
    let stop = context.stop.clone();
    let session = async {
        let authenticating = startup::authenticate(&context, stream);
        let authenticated = tokio::time::timeout(context.startup_timeout, authenticating).await;
        if let Ok(Some(caller)) = authenticated {
            CallerSession::serve(context.clone(), caller).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = session => {}
    }
}
