//! Admits operators by the fleet's secret.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::HttpResponse;
use subtle::ConstantTimeEq;
use tower::Layer;
use tower::Service;

/// Path at which the balancer asks whether the daemon is ready; open to all.
const READY_PATH: &str = "/ready";

/// Admits requests that carry the fleet's secret as a bearer token.
#[derive(Clone)]
pub struct OperatorAuthLayer {
    expected: Arc<str>,
}

impl OperatorAuthLayer {
    /// Creates a layer for a secret.
    pub fn new(secret: &str) -> Self {
        Self { expected: format!("Bearer {secret}").into() }
    }
}

impl<Inner> Layer<Inner> for OperatorAuthLayer {
    type Service = OperatorAuth<Inner>;

    fn layer(&self, inner: Inner) -> Self::Service {
        OperatorAuth { inner, expected: self.expected.clone() }
    }
}

/// A service behind an [`OperatorAuthLayer`].
#[derive(Clone)]
pub struct OperatorAuth<Inner> {
    inner: Inner,
    expected: Arc<str>,
}

impl<Inner> OperatorAuth<Inner> {
    fn admits<Body>(&self, request: &HttpRequest<Body>) -> bool {
        if request.uri().path() == READY_PATH && request.method().as_str() == "GET" {
            return true;
        }
        let given = request.headers().get("authorization").map(|value| value.as_bytes());
        given.is_some_and(|given| given.ct_eq(self.expected.as_bytes()).into())
    }
}

type Answering<Error> = Pin<Box<dyn Future<Output = Result<HttpResponse, Error>> + Send>>;

impl<Inner, Body> Service<HttpRequest<Body>> for OperatorAuth<Inner>
where
    Inner: Service<HttpRequest<Body>, Response = HttpResponse>,
    Inner::Future: Send + 'static,
    Inner::Error: Send + 'static,
{
    type Response = HttpResponse;
    type Error = Inner::Error;
    type Future = Answering<Inner::Error>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<Body>) -> Self::Future {
        if self.admits(&request) {
            return Box::pin(self.inner.call(request));
        }
        let mut refusal = HttpResponse::new(HttpBody::from("the operator's secret is not valid"));
        *refusal.status_mut() = http::StatusCode::UNAUTHORIZED;
        Box::pin(async move { Ok(refusal) })
    }
}
