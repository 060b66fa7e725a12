//! A minimal HTTP client for tests: one connection per request, no retries.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The maximum time for one [`call`], including the connection and the response body.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request over a new connection and returns the response without reading its body.
///
/// # Errors
///
/// Fails if the connection cannot be opened or the response head cannot be read.
pub async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>> {
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("cannot connect to {address}"))?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let host = address.to_string().parse().expect("an address is a valid header value");
    request.headers_mut().insert(HOST, host);
    Ok(sender.send_request(request).await?)
}

/// Sends a request and reads the complete response body.
///
/// # Errors
///
/// Fails if the exchange fails, takes longer than [`CALL_TIMEOUT`] or returns no 2xx status.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Bytes> {
    let request = Request::builder().method(&method).uri(path).body(Full::new(body.into()))?;
    let exchange = async {
        let response = send(address, request).await?;
        let status = response.status();
        let bytes = response.into_body().collect().await?.to_bytes();
        ensure!(
            status.is_success(),
            "{method} {path}: {status}: {}",
            String::from_utf8_lossy(&bytes)
        );
        Ok(bytes)
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .with_context(|| format!("{method} {path}"))?
}

/// Sends a GET request.
///
/// # Errors
///
/// Fails as [`call`] does.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes> {
    call(address, Method::GET, path, Bytes::new()).await
}

/// Sends a PUT request.
///
/// # Errors
///
/// Fails as [`call`] does.
pub async fn put(address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Result<Bytes> {
    call(address, Method::PUT, path, body).await
}
