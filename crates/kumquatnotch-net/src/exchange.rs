//! One request and its reply on a client connection.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::{Either, select};
use http::{HeaderValue, Uri, header, response::Parts};
use kumquatnotch_core::{Clock, Error, Result, clock};
use monoio::{
    io::{OwnedWriteHalf, Splitable, sink::SinkExt},
    net::TcpStream,
};
use monoio_http::{common::body::HttpBody, h1::codec::encoder::GenericEncoder};

use crate::{
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

    /// Sends `request` and reads its reply.
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
        self.encoder.send_and_flush(request).await.map_err(|_| Error::ConnectionLost)?;
        for _ in 0..=MAX_INTERIM_REPLIES {
            let head = read_head(&mut self.reader, silence_timeout, clock).await?;
            let (head, decoder) = head;
            if head.status.is_informational() {
                continue;
            }
            let body = self.reader.body(&head.headers, decoder).await.map_err(to_error)?;
            let Parts { status, headers, .. } = head;
            let reply = Reply { status, headers, body };
            check_request_id(&reply, request_id)?;
            let keep_alive = keeps_alive(&reply);
            return Ok(ExchangeResult { reply, keep_alive });
        }
        Err(Error::protocol("received only interim replies"))
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

async fn read_head(
    reader: &mut ResponseReader,
    silence_timeout: Option<Duration>,
    clock: &dyn Clock,
) -> Result<Head> {
    let head = reader.head();
    let Some(silence_timeout) = silence_timeout else {
        return head.await.map_err(to_error);
    };
    match select(std::pin::pin!(head), clock::sleep(clock, silence_timeout)).await {
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
