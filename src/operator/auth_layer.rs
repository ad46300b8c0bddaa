//! Authenticates operators by the fleet's shared secret.

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

/// Path of the load balancer's readiness check, which needs no secret.
const READY_PATH: &str = "/ready";

/// Layer that passes only readiness checks and requests with the fleet's secret as bearer token.
#[derive(Clone)]
pub struct OperatorAuthLayer {
    expected: Arc<str>,
}

impl OperatorAuthLayer {
    /// Creates a layer that expects the given secret.
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

/// Service created by [`OperatorAuthLayer`].
#[derive(Clone)]
pub struct OperatorAuth<Inner> {
    inner: Inner,
    expected: Arc<str>,
}

impl<Inner> OperatorAuth<Inner> {
    fn is_authorized<Body>(&self, request: &HttpRequest<Body>) -> bool {
        if request.uri().path() == READY_PATH && request.method().as_str() == "GET" {
            return true;
        }
        let header = request.headers().get("authorization").map(|value| value.as_bytes());
        header.is_some_and(|header| header.ct_eq(self.expected.as_bytes()).into())
    }
}

type ResponseFuture<Error> = Pin<Box<dyn Future<Output = Result<HttpResponse, Error>> + Send>>;

impl<Inner, Body> Service<HttpRequest<Body>> for OperatorAuth<Inner>
where
    Inner: Service<HttpRequest<Body>, Response = HttpResponse>,
    Inner::Future: Send + 'static,
    Inner::Error: Send + 'static,
{
    type Response = HttpResponse;
    type Error = Inner::Error;
    type Future = ResponseFuture<Inner::Error>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<Body>) -> Self::Future {
        if self.is_authorized(&request) {
            return Box::pin(self.inner.call(request));
        }
        let mut response =
            HttpResponse::new(HttpBody::from("the fleet's secret is missing or not valid"));
        *response.status_mut() = http::StatusCode::UNAUTHORIZED;
        Box::pin(async move { Ok(response) })
    }
}
