//! Client for the platform's RPC interface.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Mutex;

use super::Platform;
use super::error::PlatformError;
use super::rpc::HostEntry;
use super::rpc::PlatformRpcClient;
use super::rpc::Row;
use super::rpc::WriteOutcome;

/// A [`Platform`] reached over RPC. Connects on first use, and reconnects after a transport error
/// or a timeout.
pub struct RpcPlatform {
    address: SocketAddr,
    timeout: Duration,
    connection: Mutex<Option<PlatformRpcClient>>,
}

impl RpcPlatform {
    /// Creates a client. `timeout` limits connecting and each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, connection: Mutex::new(None) }
    }

    async fn connect(&self) -> Result<PlatformRpcClient, PlatformError> {
        let mut connection = self.connection.lock().await;
        if let Some(client) = connection.as_ref() {
            return Ok(client.clone());
        }
        let connecting = tarpc::serde_transport::tcp::connect(self.address, Bincode::default);
        let transport = tokio::time::timeout(self.timeout, connecting)
            .await
            .map_err(|_| unavailable("connecting timed out"))?
            .map_err(|error| unavailable(&error.to_string()))?;
        let client = PlatformRpcClient::new(client::Config::default(), transport).spawn();
        *connection = Some(client.clone());
        Ok(client)
    }

    async fn call<Answer, Call, CallFuture>(&self, call: Call) -> Result<Answer, PlatformError>
    where
        Call: FnOnce(PlatformRpcClient, Context) -> CallFuture,
        CallFuture: Future<Output = Result<Result<Answer, String>, RpcError>>,
    {
        let client = self.connect().await?;
        let answer = tokio::time::timeout(self.timeout, call(client, context::current())).await;
        match answer {
            Ok(Ok(Ok(answer))) => Ok(answer),
            Ok(Ok(Err(reason))) => Err(PlatformError::Unavailable(reason)),
            Ok(Err(error)) => {
                *self.connection.lock().await = None;
                Err(unavailable(&error.to_string()))
            }
            Err(_) => {
                *self.connection.lock().await = None;
                Err(unavailable("the call timed out"))
            }
        }
    }
}

fn unavailable(reason: &str) -> PlatformError {
    PlatformError::Unavailable(reason.to_owned())
}

#[async_trait]
impl Platform for RpcPlatform {
    async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let key = key.to_owned();
        self.call(|client, context| async move { client.read(context, key).await }).await
    }

    async fn read_after(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Row>, PlatformError> {
        let (prefix, after) = (prefix.to_owned(), after.to_owned());
        self.call(|client, context| async move {
            client.read_after(context, prefix, after, limit).await
        })
        .await
    }

    async fn write(
        &self,
        key: &str,
        expected_version: u64,
        value: String,
    ) -> Result<WriteOutcome, PlatformError> {
        let key = key.to_owned();
        self.call(|client, context| async move {
            client.write(context, key, expected_version, value).await
        })
        .await
    }

    async fn put_object(&self, name: &str, content: String) -> Result<(), PlatformError> {
        let name = name.to_owned();
        self.call(|client, context| async move { client.put_object(context, name, content).await })
            .await
    }

    async fn get_object(&self, name: &str) -> Result<Option<String>, PlatformError> {
        let name = name.to_owned();
        self.call(|client, context| async move { client.get_object(context, name).await }).await
    }

    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        self.call(|client, context| async move { client.hosts(context).await }).await
    }
}
