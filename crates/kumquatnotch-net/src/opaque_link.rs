//! A connection that carries requests of others unchanged, one at a time.
//!
//! The other connections of this crate speak the tier's own protocol and number
//! their requests. Here the request is somebody else's: its head and body pass
//! through as they came, and what tells a reply from that to another request is
//! up to the user of the connection.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::FutureExt;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use kumquatnotch_core::{Clock, Error, Result, clock};
use monoio::{
    io::{OwnedWriteHalf, Splitable, sink::SinkExt},
    net::TcpStream,
};
use monoio_http::{common::body::HttpBody, h1::codec::encoder::GenericEncoder};

use crate::{
    message::{Reply, Request},
    reader::{ReadFault, ResponseReader},
    socket,
};

/// The headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How many replies to earlier requests are passed over before the one awaited.
///
/// A faulty replica sends a reply twice; each extra one stands before the next.
const MAX_REPLIES_READ: usize = 4;

/// A reply, and whether its connection can be used again.
#[derive(Debug)]
pub struct OpaqueReply {
    /// The reply, without the headers of the connection.
    pub reply: Reply,
    /// How long the connection may stay idle; `None` if it must be closed.
    pub idle_limit: Option<Duration>,
}

/// A connection that carries requests of others unchanged.
pub struct OpaqueLink {
    reader: ResponseReader,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

impl OpaqueLink {
    /// Opens a connection; replies may have bodies of up to `limit` bytes.
    pub async fn connect(
        address: SocketAddr,
        limit: usize,
        clock: &dyn Clock,
        deadline: Instant,
    ) -> Result<OpaqueLink> {
        let stream = clock::timeout_at(clock, deadline, socket::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(Error::ConnectFailed);
        };
        let (read, write) = stream.into_split();
        let reader = ResponseReader::new(read, limit);
        Ok(OpaqueLink { reader, encoder: GenericEncoder::new(write) })
    }

    /// Whether nothing has come while the connection was idle.
    ///
    /// Its end, or bytes that nobody asked for, would otherwise be taken for the
    /// reply to the next request.
    pub fn is_reusable(&mut self) -> bool {
        self.reader.peek().now_or_never().is_none()
    }

    /// Whether nothing of a reply has come, so that [`receive`](OpaqueLink::receive) can
    /// be dropped and called again for the same request.
    pub fn awaits_first_byte(&self) -> bool {
        self.reader.awaits_first_byte()
    }

    /// Sends a request.
    ///
    /// On an error a part of it may have arrived.
    pub async fn send(&mut self, request: &Request) -> Result<()> {
        let uri: Uri = request.target().parse().map_err(Error::internal)?;
        let body = if request.body.is_empty() { None } else { Some(request.body.clone()) };
        let mut message = http::Request::new(HttpBody::Ready(body));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = uri;
        *message.headers_mut() = request.headers.clone();
        if request.method == Method::POST || request.method == Method::PUT {
            // Without it, a body of no bytes would have no length at all.
            let length = HeaderValue::from(request.body.len());
            message.headers_mut().insert(header::CONTENT_LENGTH, length);
        }
        self.encoder.send_and_flush(message).await.map_err(|_| Error::ConnectionLost)
    }

    /// Reads the reply that belongs to the request sent last.
    ///
    /// Replies to earlier requests, which the other side sent late or twice, are
    /// passed over.
    pub async fn receive(&mut self, is_match: &dyn Fn(&Reply) -> bool) -> Result<OpaqueReply> {
        for _ in 0..MAX_REPLIES_READ {
            let answer = self.receive_any().await?;
            if is_match(&answer.reply) {
                return Ok(answer);
            }
        }
        Err(Error::protocol("only replies to other requests came"))
    }

    async fn receive_any(&mut self) -> Result<OpaqueReply> {
        loop {
            let (head, decoder) = self.reader.head().await.map_err(to_error)?;
            if head.status.is_informational() {
                continue;
            }
            let framed = has_length(&head.headers) || is_bodiless(head.status);
            let body = if framed {
                self.reader.body(&head.headers, decoder).await.map_err(to_error)?
            } else {
                self.reader.body_to_end().await.map_err(to_error)?
            };
            let idle_limit = if framed { idle_time(&head.headers) } else { None };
            let mut headers = head.headers;
            remove_hop_headers(&mut headers);
            return Ok(OpaqueReply {
                reply: Reply { status: head.status, headers, body },
                idle_limit,
            });
        }
    }
}

/// Removes the headers that concern one connection only.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed.iter().map(String::as_str).chain(HOP_HEADERS) {
        headers.remove(name);
    }
}

fn has_length(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

fn is_bodiless(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

/// The idle time of a connection that tells none.
const DEFAULT_IDLE: Duration = Duration::from_secs(10);

/// How long before its end a connection isn't used any more.
///
/// The other side closes it then, and a request that crosses the close is lost.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// How long a connection may stay idle by the headers of a reply.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    if text(header::CONNECTION).is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let advertised = text(header::HeaderName::from_static("keep-alive"))
        .into_iter()
        .flat_map(|value| value.split(','))
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse::<u64>().ok());
    let idle = advertised.map_or(DEFAULT_IDLE, Duration::from_secs);
    Some(idle.saturating_sub(IDLE_MARGIN))
}

fn to_error(fault: ReadFault) -> Error {
    match fault {
        ReadFault::Closed => Error::ConnectionLost,
        ReadFault::Malformed(detail) => Error::protocol(detail),
        ReadFault::TooLong => Error::protocol("the reply is too long"),
    }
}
