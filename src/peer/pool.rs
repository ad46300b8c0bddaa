//! Connections to other daemons.

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

/// Connections to other daemons, opened on first use and again after a failure.
pub struct PeerPool {
    secret: String,
    timeout: Duration,
    clients: Mutex<HashMap<SocketAddr, PeerRpcClient>>,
}

impl PeerPool {
    /// Creates a pool; no call waits longer than `timeout`.
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
        let is_admitted =
            client.authenticate(context::current(), self.secret.clone()).await.ok()?;
        if !is_admitted {
            return None;
        }
        self.clients.lock().await.insert(address, client.clone());
        Some(client)
    }

    /// Makes a call; `None` when no answer came in time.
    pub async fn call<Answer, Call, Answering>(
        &self,
        address: SocketAddr,
        call: Call,
    ) -> Option<Answer>
    where
        Call: FnOnce(PeerRpcClient, Context) -> Answering,
        Answering: Future<Output = Result<Answer, RpcError>>,
    {
        self.call_within(address, self.timeout, call).await
    }

    /// Makes a call that may take longer than others.
    pub async fn call_within<Answer, Call, Answering>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: Call,
    ) -> Option<Answer>
    where
        Call: FnOnce(PeerRpcClient, Context) -> Answering,
        Answering: Future<Output = Result<Answer, RpcError>>,
    {
        let calling = async {
            let client = self.client(address).await?;
            call(client, context::current()).await.ok()
        };
        let answer = tokio::time::timeout(timeout, calling).await.ok().flatten();
        if answer.is_none() {
            self.clients.lock().await.remove(&address);
        }
        answer
    }
}
