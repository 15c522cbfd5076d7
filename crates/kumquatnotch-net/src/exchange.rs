//! One request and its reply on a client connection.

use std::{
    cell::Cell,
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use http::{HeaderValue, Uri, header, response::Parts};
use kumquatnotch_core::{Clock, Error, Result};
use monoio::{
    io::{OwnedWriteHalf, Splitable, sink::SinkExt},
    net::TcpStream,
};
use monoio_http::{common::body::HttpBody, h1::codec::encoder::GenericEncoder};

use crate::{
    duplex::{self, Sending},
    message::{REQUEST_ID_HEADER, Reply, Request},
    reader::{MAX_INTERIM_REPLIES, Peek, ReadError, ResponseReader},
};

/// The read and write halves of a client connection.
pub(crate) struct ClientStream {
    reader: ResponseReader,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    address: SocketAddr,
}

/// A reply, and whether the connection can be reused.
pub(crate) struct ExchangeResult {
    pub(crate) reply: Reply,
    pub(crate) keep_alive: bool,
}

impl ClientStream {
    /// Wraps a connection; reply bodies may have up to `limit` bytes.
    pub(crate) fn new(stream: TcpStream, address: SocketAddr, limit: usize) -> ClientStream {
        let (read, write) = stream.into_split();
        let reader = ResponseReader::new(read, limit);
        ClientStream { reader, encoder: GenericEncoder::new(write), address }
    }

    /// Completes when an idle connection must no longer be used.
    ///
    /// That is when the other side closes it, or sends unsolicited bytes: a late or duplicate
    /// reply would be mistaken for the reply to the next request.
    pub(crate) async fn wait_closed(&mut self) -> Peek {
        self.reader.peek().await
    }

    /// Sends `request` and reads its reply, which may arrive while the request is being sent.
    ///
    /// `silence_timeout` is set if the other side is a node of this tier. Nodes send interim
    /// responses periodically while they process a request, so a connection without any
    /// response for that time is lost.
    pub(crate) async fn exchange(
        &mut self,
        request: Request,
        request_id: u64,
        silence_timeout: Option<Duration>,
        clock: &dyn Clock,
    ) -> Result<ExchangeResult> {
        let request = self.build_request(request, request_id)?;
        let ClientStream { reader, encoder, .. } = self;
        let sent_at = Cell::new(None);
        let send = async {
            let sent = encoder.send_and_flush(request).await;
            sent_at.set(Some(clock.now()));
            sent
        };
        let silence = silence_timeout.map(|timeout| Silence { timeout, sent_at: &sent_at, clock });
        let read = receive(reader, request_id, silence);
        let (exchanged, sending) = duplex::read_while_sending(send, read).await?;
        let keep_alive = exchanged.keep_alive && sending == Sending::Complete;
        Ok(ExchangeResult { keep_alive, ..exchanged })
    }

    fn build_request(&self, request: Request, request_id: u64) -> Result<http::Request<HttpBody>> {
        let uri: Uri = request.target().parse().map_err(Error::internal)?;
        let body = if request.body.is_empty() { None } else { Some(request.body) };
        let mut message = http::Request::new(HttpBody::Ready(body));
        *message.method_mut() = request.method;
        *message.uri_mut() = uri;
        *message.headers_mut() = request.headers;
        let headers = message.headers_mut();
        let host = HeaderValue::from_str(&self.address.to_string()).map_err(Error::internal)?;
        headers.insert(header::HOST, host);
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
        headers.insert(REQUEST_ID_HEADER, HeaderValue::from(request_id));
        Ok(message)
    }
}

type Head = (Parts, monoio_http::h1::codec::decoder::PayloadDecoder<Fixed, Chunked>);
type Fixed = monoio_http::h1::codec::decoder::FixedBodyDecoder;
type Chunked = monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

/// Detects that a connection to a node is silent.
#[derive(Clone, Copy)]
struct Silence<'a> {
    timeout: Duration,
    /// When the request was sent; until then, the other side sends no interim responses.
    sent_at: &'a Cell<Option<Instant>>,
    clock: &'a dyn Clock,
}

impl Silence<'_> {
    /// Completes when there was no response since `start` for too long.
    async fn wait(self, start: Instant) {
        loop {
            let now = self.clock.now();
            let since = self.sent_at.get().map_or(now, |sent_at| sent_at.max(start));
            let end = since + self.timeout;
            if now >= end {
                return;
            }
            self.clock.sleep_until(end).await;
        }
    }
}

/// Reads the reply to a request.
async fn receive(
    reader: &mut ResponseReader,
    request_id: u64,
    silence: Option<Silence<'_>>,
) -> Result<ExchangeResult> {
    for _ in 0..=MAX_INTERIM_REPLIES {
        let (head, decoder) = read_head(reader, silence).await?;
        if head.status.is_informational() {
            continue;
        }
        let body = reader.body(&head.headers, decoder).await.map_err(to_error)?;
        let Parts { status, headers, .. } = head;
        let reply = Reply { status, headers, body };
        check_request_id(&reply, request_id)?;
        let keep_alive = keeps_alive(&reply);
        return Ok(ExchangeResult { reply, keep_alive });
    }
    Err(Error::protocol("received only interim replies"))
}

async fn read_head(reader: &mut ResponseReader, silence: Option<Silence<'_>>) -> Result<Head> {
    let head = reader.head();
    let Some(silence) = silence else {
        return head.await.map_err(to_error);
    };
    match select(pin!(head), pin!(silence.wait(silence.clock.now()))).await {
        Either::Left((head, _)) => head.map_err(to_error),
        Either::Right(_) => Err(Error::ConnectionSilent),
    }
}

fn to_error(error: ReadError) -> Error {
    match error {
        ReadError::Closed => Error::ConnectionLost,
        ReadError::Malformed(detail) => Error::protocol(detail),
        ReadError::TooLong => Error::protocol("reply exceeds the size limit"),
    }
}

/// Checks that the request id of a reply, if present, is that of its request.
fn check_request_id(reply: &Reply, request_id: u64) -> Result<()> {
    match reply.header::<u64>(REQUEST_ID_HEADER) {
        Some(other) if other != request_id => Err(Error::protocol(format!(
            "received the reply to request {other} instead of request {request_id}"
        ))),
        _ => Ok(()),
    }
}

fn keeps_alive(reply: &Reply) -> bool {
    let connection: String = reply.header("connection").unwrap_or_default();
    !connection.eq_ignore_ascii_case("close")
}
