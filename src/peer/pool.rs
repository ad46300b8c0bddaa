//! Client connections to other daemons.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Mutex;

use super::rpc::PeerRpcClient;

/// Client connections to other daemons, opened on first use and reopened after a failure.
pub struct PeerPool {
    secret: String,
    timeout: Duration,
    clients: Mutex<HashMap<SocketAddr, PeerRpcClient>>,
}

impl PeerPool {
    /// Creates a pool. `timeout` applies to each call unless the call gives its own.
    pub fn new(secret: &str, timeout: Duration) -> Self {
        Self { secret: secret.to_owned(), timeout, clients: Mutex::new(HashMap::new()) }
    }

    async fn client(&self, address: SocketAddr) -> Option<PeerRpcClient> {
        if let Some(client) = self.clients.lock().await.get(&address) {
            return Some(client.clone());
        }
        let transport =
            tarpc::serde_transport::tcp::connect(address, Bincode::default).await.ok()?;
        let client = PeerRpcClient::new(client::Config::default(), transport).spawn();
        let is_authenticated =
            client.authenticate(context::current(), self.secret.clone()).await.ok()?;
        if !is_authenticated {
            return None;
        }
        self.clients.lock().await.insert(address, client.clone());
        Some(client)
    }

    /// Makes a call; `None` if the daemon could not be reached, refused the secret or did not
    /// respond in time. The next call then opens a new connection.
    pub async fn call<Response, Call, ResponseFuture>(
        &self,
        address: SocketAddr,
        call: Call,
    ) -> Option<Response>
    where
        Call: FnOnce(PeerRpcClient, Context) -> ResponseFuture,
        ResponseFuture: Future<Output = Result<Response, RpcError>>,
    {
        self.call_with_timeout(address, self.timeout, call).await
    }

    /// Makes a call like [`Self::call`], with its own timeout.
    pub async fn call_with_timeout<Response, Call, ResponseFuture>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: Call,
    ) -> Option<Response>
    where
        Call: FnOnce(PeerRpcClient, Context) -> ResponseFuture,
        ResponseFuture: Future<Output = Result<Response, RpcError>>,
    {
        let attempt = async {
            let client = self.client(address).await?;
            call(client, context::current()).await.ok()
        };
        let response = tokio::time::timeout(timeout, attempt).await.ok().flatten();
        if response.is_none() {
            self.clients.lock().await.remove(&address);
        }
        response
    }
}
