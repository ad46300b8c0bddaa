//! Accepts callers.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::session::CallerSession;
use super::startup;
use crate::traffic::context::TrafficContext;

/// Accepts callers until the daemon stops.
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
            // Out of descriptors, most likely; what is open goes on.
            Err(error) => {
                log::error!(event = "accept_failed", error = error.to_string(); "");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(context: Arc<TrafficContext>, stream: TcpStream) {
    let stop = context.stop.clone();
    let serving = async {
        let admitting = startup::admit(&context, stream);
        let admitted = tokio::time::timeout(context.startup_timeout, admitting).await;
        if let Ok(Some(caller)) = admitted {
            CallerSession::serve(context.clone(), caller).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = serving => {}
    }
}
