//! A connection that forwards third-party requests unchanged, one at a time.
//!
//! The other connections of this crate use the protocol of this tier and add a request id to
//! each request. Here the head and body of a request are passed through as received, and the
//! user of the connection decides which reply belongs to which request.

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
    reader::{MAX_INTERIM_REPLIES, ReadError, ResponseReader},
    socket,
};

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
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

/// Maximum number of replies read while waiting for the reply to a request.
///
/// A faulty replica may send a reply twice; the duplicate arrives before the next reply.
const MAX_REPLIES_READ: usize = 4;

/// A reply, and whether its connection can be reused.
#[derive(Debug)]
pub struct OpaqueReply {
    /// The reply, without hop-by-hop headers.
    pub reply: Reply,
    /// Maximum idle time of the connection; `None` if it must be closed.
    pub idle_limit: Option<Duration>,
}

/// A connection that forwards third-party requests unchanged.
pub struct OpaqueLink {
    reader: ResponseReader,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

impl OpaqueLink {
    /// Opens a connection; reply bodies may have up to `limit` bytes.
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

    /// Returns whether an idle connection can be reused.
    ///
    /// It can't be if the other side has closed it, or has sent unsolicited bytes, which would
    /// be mistaken for the reply to the next request.
    pub fn is_reusable(&mut self) -> bool {
        self.reader.peek().now_or_never().is_none()
    }

    /// Returns whether no byte of the reply has arrived, so that
    /// [`receive`](OpaqueLink::receive) can be dropped and called again for the same request.
    pub fn awaits_first_byte(&self) -> bool {
        self.reader.awaits_first_byte()
    }

    /// Sends a request.
    ///
    /// On an error, part of the request may have been delivered.
    pub async fn send(&mut self, request: &Request) -> Result<()> {
        let uri: Uri = request.target().parse().map_err(Error::internal)?;
        let body = if request.body.is_empty() { None } else { Some(request.body.clone()) };
        let mut message = http::Request::new(HttpBody::Ready(body));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = uri;
        *message.headers_mut() = request.headers.clone();
        if request.method == Method::POST || request.method == Method::PUT {
            // An empty body would otherwise be sent without a length.
            let length = HeaderValue::from(request.body.len());
            message.headers_mut().insert(header::CONTENT_LENGTH, length);
        }
        self.encoder.send_and_flush(message).await.map_err(|_| Error::ConnectionLost)
    }

    /// Reads the reply to the last request, for which `is_match` returns true.
    ///
    /// Late or duplicate replies to earlier requests are skipped.
    pub async fn receive(&mut self, is_match: &dyn Fn(&Reply) -> bool) -> Result<OpaqueReply> {
        for _ in 0..MAX_REPLIES_READ {
            let answer = self.receive_any().await?;
            if is_match(&answer.reply) {
                return Ok(answer);
            }
        }
        Err(Error::protocol("received only replies to other requests"))
    }

    async fn receive_any(&mut self) -> Result<OpaqueReply> {
        for _ in 0..=MAX_INTERIM_REPLIES {
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
        Err(Error::protocol("received only interim replies"))
    }
}

/// Removes the hop-by-hop headers.
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

/// Maximum idle time if the other side does not advertise one.
const DEFAULT_IDLE: Duration = Duration::from_secs(10);

/// Time before the end of the advertised idle time from which a connection is not reused.
///
/// The other side closes the connection at that end, and a request sent at the same moment is
/// lost.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Longest idle time that is taken from a reply.
const MAX_IDLE: Duration = Duration::from_secs(3_600);

/// Returns the maximum idle time of a connection, according to the headers of a reply.
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
    Some(idle.min(MAX_IDLE).saturating_sub(IDLE_MARGIN))
}

fn to_error(error: ReadError) -> Error {
    match error {
        ReadError::Closed => Error::ConnectionLost,
        ReadError::Malformed(detail) => Error::protocol(detail),
        ReadError::TooLong => Error::protocol("reply exceeds the size limit"),
    }
}
