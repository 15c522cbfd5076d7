//! A connection that forwards third-party requests unchanged, one at a time.
//!
//! The other connections of this crate use the protocol of this tier and add a request id to
//! each request. Here the head and body of a request are passed through as received, and an
//! [`Echo`] says which reply belongs to the request.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use kumquatnotch_core::{Clock, Error, LocalFuture, Result, clock};
use monoio::{
    io::{OwnedWriteHalf, Splitable, sink::SinkExt},
    net::TcpStream,
};
use monoio_http::{common::body::HttpBody, h1::codec::encoder::GenericEncoder};

use crate::{
    duplex::{self, Sending},
    message::{Reply, Request, is_bodiless},
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

/// The header in which the other side repeats the identity of a request.
#[derive(Clone, Debug)]
pub struct Echo {
    /// Name of the header.
    pub name: HeaderName,
    /// The identity.
    pub identity: HeaderValue,
}

impl Echo {
    /// Whether a reply belongs to the request with this identity.
    ///
    /// A reply without one is accepted, since the reply to each earlier request on this connection
    /// had one: a late copy of it can be told apart.
    fn matches(&self, reply: &Reply) -> bool {
        reply.headers.get(&self.name).is_none_or(|echoed| echoed == self.identity)
    }

    /// Whether a copy of a reply can be told from the replies to later requests.
    fn identifies(&self, reply: &Reply) -> bool {
        reply.headers.contains_key(&self.name)
    }
}

/// A reply, and its connection if that can be reused.
pub struct OpaqueReply {
    /// The reply, without hop-by-hop headers.
    pub reply: Reply,
    /// The connection; `None` if it was closed.
    pub kept: Option<KeptLink>,
}

/// A connection that can be reused after a reply.
pub struct KeptLink {
    /// The connection.
    pub link: OpaqueLink,
    /// Maximum idle time of the connection.
    pub idle_limit: Duration,
}

/// A connection that forwards third-party requests unchanged.
///
/// No request is outstanding on it. Sending one takes the connection, and only an [`Exchange`] that
/// has sent its request whole and read its reply whole gives it back. A connection that was given
/// up half way can therefore not be used for another request, which the other side would read as
/// the rest of the first one.
pub struct OpaqueLink {
    reader: ResponseReader,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
}

/// A request that is being sent, and its reply.
///
/// Completes with the reply. Dropping it closes the connection.
pub struct Exchange {
    work: LocalFuture<'static, Result<OpaqueReply>>,
    is_sent: Rc<Cell<bool>>,
}

impl Exchange {
    /// Whether the request was sent whole.
    pub fn is_sent(&self) -> bool {
        self.is_sent.get()
    }
}

impl Future for Exchange {
    type Output = Result<OpaqueReply>;

    fn poll(mut self: Pin<&mut Exchange>, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.work.as_mut().poll(context)
    }
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

    /// Sends a request and reads its reply, which `echo` identifies if it is given.
    ///
    /// The reply may arrive while the request is being sent. The rest of the request is then not
    /// sent, and the connection is closed. On an error, part of the request may have been
    /// delivered.
    pub fn exchange(self, request: &Request, echo: Option<Echo>) -> Exchange {
        let is_sent = Rc::new(Cell::new(false));
        let message = build_message(request);
        let sent = is_sent.clone();
        let work = Box::pin(async move { self.run(message?, echo, &sent).await });
        Exchange { work, is_sent }
    }

    async fn run(
        mut self,
        message: http::Request<HttpBody>,
        echo: Option<Echo>,
        is_sent: &Cell<bool>,
    ) -> Result<OpaqueReply> {
        let OpaqueLink { reader, encoder } = &mut self;
        let method = message.method().clone();
        let send = async {
            let sent = encoder.send_and_flush(message).await;
            is_sent.set(sent.is_ok());
            sent
        };
        let receive = receive(reader, &method, echo.as_ref());
        let (reply, sending) = duplex::read_while_sending(send, receive).await?;
        let ReceivedReply { reply, end, idle_limit } = reply;
        if sending == Sending::Failed && end == ReplyEnd::Closed {
            // The error was reported to the sender, so that the reader can't tell a reset from the
            // end of the reply.
            return Err(Error::ConnectionLost);
        }
        let is_identified = echo.is_none_or(|echo| echo.identifies(&reply));
        let is_reusable = sending == Sending::Complete && is_identified && self.is_reusable();
        let idle_limit = idle_limit.filter(|_| is_reusable);
        let kept = idle_limit.map(|idle_limit| KeptLink { link: self, idle_limit });
        Ok(OpaqueReply { reply, kept })
    }
}

/// How the end of a reply was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyEnd {
    /// The reply says how long it is.
    Framed,
    /// The other side closed the connection.
    Closed,
}

/// A reply as it was read.
struct ReceivedReply {
    reply: Reply,
    end: ReplyEnd,
    /// Maximum idle time of the connection; `None` if it must be closed.
    idle_limit: Option<Duration>,
}

fn build_message(request: &Request) -> Result<http::Request<HttpBody>> {
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
    Ok(message)
}

/// Reads the reply to the last request.
///
/// Late or duplicate replies to earlier requests are skipped.
async fn receive(
    reader: &mut ResponseReader,
    method: &Method,
    echo: Option<&Echo>,
) -> Result<ReceivedReply> {
    for _ in 0..MAX_REPLIES_READ {
        let received = receive_any(reader, method).await?;
        if echo.is_none_or(|echo| echo.matches(&received.reply)) {
            return Ok(received);
        }
    }
    Err(Error::protocol("received only replies to other requests"))
}

async fn receive_any(reader: &mut ResponseReader, method: &Method) -> Result<ReceivedReply> {
    for _ in 0..=MAX_INTERIM_REPLIES {
        let (head, decoder) = reader.head().await.map_err(to_error)?;
        if head.status.is_informational() {
            continue;
        }
        let is_bodiless = is_bodiless(method, head.status);
        let is_framed = is_bodiless || has_length(&head.headers);
        let body = if is_bodiless {
            Bytes::new()
        } else if is_framed {
            reader.body(&head.headers, decoder).await.map_err(to_error)?
        } else {
            reader.body_to_end().await.map_err(to_error)?
        };
        let end = if is_framed { ReplyEnd::Framed } else { ReplyEnd::Closed };
        let idle_limit = if is_framed { idle_time(&head.headers) } else { None };
        let mut headers = head.headers;
        remove_hop_headers(&mut headers);
        let reply = Reply { status: head.status, headers, body };
        return Ok(ReceivedReply { reply, end, idle_limit });
    }
    Err(Error::protocol("received only interim replies"))
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
