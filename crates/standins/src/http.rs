//! A minimal HTTP/1.1 server with keep-alive, and a client for tests.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, FutureExt, select};
use kumquatnotch_core::LocalFuture;
use monoio::{
    io::{Splitable, sink::SinkExt, stream::Stream},
    net::TcpStream,
};
use monoio_http::{
    common::body::{Body, BodyExt},
    h1::{
        codec::{
            ClientCodec,
            decoder::{FillPayload, RequestDecoder},
            encoder::GenericEncoder,
        },
        payload::{FixedPayload, Payload},
    },
};
use serde::{Serialize, de::DeserializeOwned};

use crate::signal::Signal;

/// A request passed to a handler.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query string.
    pub query: String,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header, parsed as `T`.
    pub fn header<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }

    /// Returns the decoded value of a query parameter, parsed as `T`.
    pub fn field<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        let mut fields = form_urlencoded::parse(self.query.as_bytes());
        fields.find(|(key, _)| key == name)?.1.parse().ok()
    }

    /// Whether the query has no parameters but these.
    pub fn has_only_fields(&self, names: &[&str]) -> bool {
        let mut fields = form_urlencoded::parse(self.query.as_bytes());
        fields.all(|(key, _)| names.contains(&&*key))
    }

    /// Parses the body as JSON; the error is a reply with status 400.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| Reply::text(400, &error.to_string()))
    }
}

/// A handler's reaction to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Sends a response.
    Answer {
        /// The status.
        status: u16,
        /// The value of the `x-revision` header.
        revision: Option<u64>,
        /// The body.
        body: Bytes,
        /// Whether to close the connection afterwards.
        close: bool,
    },
    /// Closes the connection without a response.
    Close,
    /// Sends no response and keeps the connection open.
    Silence,
}

impl Reply {
    /// Returns a response without a body.
    pub fn status(status: u16) -> Reply {
        Reply::Answer { status, revision: None, body: Bytes::new(), close: false }
    }

    /// Returns a plain-text response.
    pub fn text(status: u16, text: &str) -> Reply {
        let body = Bytes::copy_from_slice(text.as_bytes());
        Reply::Answer { status, revision: None, body, close: false }
    }

    /// Returns a JSON response.
    pub fn json(status: u16, value: &impl Serialize) -> Reply {
        let body = serde_json::to_vec(value).expect("failed to serialize the response body");
        Reply::Answer { status, revision: None, body: body.into(), close: false }
    }
}

/// Handles the requests of a connection.
pub trait Handler {
    /// Handles `request`.
    fn handle(&self, request: Request) -> LocalFuture<'_, Reply>;

    /// Returns the headers of a response that is about to be sent.
    fn headers(&self) -> Vec<(&'static str, String)> {
        Vec::new()
    }
}

/// Serves one connection until it is closed or `stop` is triggered.
pub async fn serve(stream: TcpStream, handler: Rc<dyn Handler>, stop: &Signal) {
    let requests = std::pin::pin!(serve_requests(stream, handler));
    select(requests, stop.wait()).await;
}

async fn serve_requests(stream: TcpStream, handler: Rc<dyn Handler>) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut decoder = RequestDecoder::new(reader);
    let mut encoder = GenericEncoder::new(writer);
    while let Some(Ok(request)) = decoder.next().await {
        if decoder.fill_payload().await.is_err() {
            return;
        }
        let (parts, body) = request.into_parts();
        let Ok(body) = body.bytes().await else {
            return;
        };
        let request = Request {
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            query: parts.uri.query().unwrap_or_default().to_owned(),
            headers: parts.headers,
            body,
        };
        let (status, revision, body, close) = match handler.handle(request).await {
            Reply::Answer { status, revision, body, close } => (status, revision, body, close),
            Reply::Close => return,
            Reply::Silence => continue,
        };
        let mut response = http::Response::builder().status(status);
        if let Some(revision) = revision {
            response = response.header("x-revision", revision);
        }
        for (name, value) in handler.headers() {
            response = response.header(name, value);
        }
        let payload: Payload = match body.is_empty() {
            true => Payload::None,
            false => Payload::Fixed(FixedPayload::new(body)),
        };
        let Ok(response) = response.body(payload) else {
            return;
        };
        if encoder.send_and_flush(response).await.is_err() || close {
            return;
        }
    }
}

/// A response received by the client.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> io::Result<T> {
        serde_json::from_slice(&self.body).map_err(io::Error::other)
    }

    /// Returns the value of the `x-revision` header.
    pub fn revision(&self) -> Option<u64> {
        self.headers.get("x-revision")?.to_str().ok()?.parse().ok()
    }
}

/// A client of one address that keeps one connection alive between requests.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    /// Whether the connection is kept also after a response that asks to close it.
    stays_open: bool,
    idle: RefCell<Option<ClientCodec<TcpStream>>>,
}

impl Client {
    /// Creates a client of `address` whose requests time out after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Client {
        Client { address, timeout, stays_open: false, idle: RefCell::new(None) }
    }

    /// Keeps the connection until the server closes it, also if a response asks to close it.
    pub fn until_closed(self) -> Client {
        Client { stays_open: true, ..self }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the client keeps an idle connection.
    pub fn is_open(&self) -> bool {
        self.idle.borrow().is_some()
    }

    /// Sends a request with a JSON body.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> io::Result<Answer> {
        let body = serde_json::to_vec(body)?;
        self.send("POST", path, &[], body.into()).await
    }

    /// Sends a request without a body.
    pub async fn get(&self, path: &str) -> io::Result<Answer> {
        self.send("GET", path, &[], Bytes::new()).await
    }

    /// Sends a request; the connection is closed if its response is not read.
    ///
    /// Fails with `NotConnected` if no connection could be opened and with `TimedOut` after the
    /// timeout; any other error means that the connection broke.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> io::Result<Answer> {
        let mut request =
            http::Request::builder().method(method).uri(path).header("content-length", body.len());
        if !headers.iter().any(|(name, _)| *name == "host") {
            request = request.header("host", self.address.to_string());
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let payload: Payload = match body.is_empty() {
            true => Payload::None,
            false => Payload::Fixed(FixedPayload::new(body)),
        };
        let request = request.body(payload).map_err(io::Error::other)?;
        let exchange = std::pin::pin!(self.exchange(request));
        let timer = std::pin::pin!(monoio::time::sleep(self.timeout));
        match select(exchange, timer).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    async fn exchange(&self, request: http::Request<Payload>) -> io::Result<Answer> {
        let mut codec = match self.take_idle() {
            Some(codec) => codec,
            None => self.connect().await?,
        };
        codec.send_and_flush(request).await.map_err(io::Error::other)?;
        let response = match codec.next().await {
            Some(response) => response.map_err(io::Error::other)?,
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
        };
        let (parts, body) = response.into_parts();
        let mut content = Vec::new();
        {
            let mut body = body.with_io(&mut codec);
            while let Some(chunk) = body.next_data().await {
                content.extend_from_slice(&chunk.map_err(io::Error::other)?);
            }
        }
        let closes = parts.headers.get("connection").is_some_and(|value| value == "close");
        if !closes || self.stays_open {
            self.idle.replace(Some(codec));
        }
        let status = parts.status.as_u16();
        Ok(Answer { status, headers: parts.headers, body: content.into() })
    }

    /// Takes the idle connection, unless the server has closed it in the meantime.
    ///
    /// Sending on a connection that was closed earlier would look like a request interrupted
    /// in flight.
    fn take_idle(&self) -> Option<ClientCodec<TcpStream>> {
        let mut codec = self.idle.borrow_mut().take()?;
        let is_open = codec.next().now_or_never().is_none();
        is_open.then_some(codec)
    }

    async fn connect(&self) -> io::Result<ClientCodec<TcpStream>> {
        let refused = |_| io::ErrorKind::NotConnected;
        let stream = TcpStream::connect_addr(self.address).await.map_err(refused)?;
        stream.set_nodelay(true)?;
        Ok(ClientCodec::new(stream))
    }
}
