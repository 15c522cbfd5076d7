//! Size-limited reading of HTTP/1.1 messages from a connection.
//!
//! The decoders of `monoio-http` buffer a head or chunk until its end, without a size limit.
//! This module gives each message a byte budget and fails reads beyond it, so that a sender
//! can't make the process buffer more than that.

use std::{cell::Cell, io, rc::Rc};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header};
use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::{AsyncReadRent, OwnedReadHalf, stream::Stream},
    net::TcpStream,
};
use monoio_http::{
    common::error::HttpError,
    h1::{
        FramedRead,
        codec::decoder::{ChunkedBodyDecoder, DecodeError, FixedBodyDecoder, PayloadDecoder},
    },
};

use crate::{
    body_budget::BodyLease,
    decoders::{ChunkDecoder, HEAD_LIMIT, RequestHeads, ResponseHeads, too_long},
    reply_budget::ReplyLease,
};

/// Maximum number of interim replies before a reply.
///
/// Reading them never waits while more have arrived, so that no timer of this thread would fire
/// while a sender floods the connection with them.
pub(crate) const MAX_INTERIM_REPLIES: usize = 1_000;

/// Maximum size of the buffer that a connection keeps between two messages, in bytes.
const MAX_IDLE_BUFFER: usize = 64 << 10;

/// Bytes allowed in addition to the length of a body, for chunk framing.
const FRAMING_ALLOWANCE: usize = 64 << 10;

/// Reads requests.
pub(crate) type RequestReader = MessageReader<RequestHeads>;

/// Reads responses.
pub(crate) type ResponseReader = MessageReader<ResponseHeads>;

type BodyDecoder = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The connection was closed or lost.
    Closed,
    /// The message is not valid HTTP/1.1.
    Malformed(String),
    /// The message exceeds the size limit.
    TooLong,
}

/// Result of waiting for the next byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peek {
    /// Data is available.
    Data,
    /// The connection was closed by the other side or lost.
    Closed,
}

/// Reads messages from one connection.
pub(crate) struct MessageReader<D> {
    framed: FramedRead<Bounded, D>,
    budget: Rc<Cell<usize>>,
    limit: usize,
    lease: Lease,
}

/// What counts the bytes of the current message.
#[derive(Clone)]
enum Lease {
    Body(Rc<BodyLease>),
    Reply(Rc<ReplyLease>),
}

impl MessageReader<ResponseHeads> {
    /// Creates a reader of replies with bodies of up to `limit` bytes.
    pub(crate) fn new(half: OwnedReadHalf<TcpStream>, limit: usize) -> ResponseReader {
        MessageReader::with(half, limit, Lease::Reply(Rc::default()))
    }
}

impl MessageReader<RequestHeads> {
    /// Creates a reader of requests with bodies of up to `limit` bytes while the lease has room.
    pub(crate) fn with_lease(
        half: OwnedReadHalf<TcpStream>,
        limit: usize,
        lease: Rc<BodyLease>,
    ) -> RequestReader {
        MessageReader::with(half, limit, Lease::Body(lease))
    }
}

impl<D: Default> MessageReader<D> {
    fn with(half: OwnedReadHalf<TcpStream>, limit: usize, lease: Lease) -> MessageReader<D> {
        let budget = Rc::new(Cell::new(HEAD_LIMIT));
        let input = Bounded { half, budget: budget.clone(), lease: lease.clone() };
        MessageReader { framed: FramedRead::new(input, D::default()), budget, limit, lease }
    }
}

impl<D> MessageReader<D> {
    /// Waits for the first byte of a message, or the end of the connection.
    ///
    /// Dropping this future loses no data: with the epoll driver, a read that has not completed
    /// has not consumed any bytes, and it starts with an empty buffer.
    pub(crate) async fn peek(&mut self) -> Peek {
        self.start_message();
        let buffer = self.framed.read_buffer();
        if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER {
            self.free_buffer();
        }
        match self.framed.peek_data().await {
            Ok(data) if !data.is_empty() => Peek::Data,
            _ => Peek::Closed,
        }
    }

    /// Reads a head, and returns it with the decoder for its body.
    pub(crate) async fn head<H>(&mut self) -> Result<(H, BodyDecoder), ReadError>
    where
        FramedRead<Bounded, D>: Stream<Item = Result<(H, BodyDecoder), HttpError>>,
    {
        self.start_message();
        match self.framed.next().await {
            Some(Ok(head)) => Ok(head),
            Some(Err(error)) => Err(read_error(error)),
            None => Err(ReadError::Closed),
        }
    }

    /// Sets the limits for the next message.
    fn start_message(&self) {
        self.budget.set(HEAD_LIMIT);
        if let Lease::Reply(lease) = &self.lease {
            lease.release();
        }
    }

    /// Takes room for the body that follows a head, if its length is known.
    ///
    /// If there is none, the lease tells so.
    pub(crate) fn reserve(&self, headers: &HeaderMap) -> Result<(), ReadError> {
        let length = self.body_length(headers)?;
        match &self.lease {
            Lease::Body(lease) if !lease.reserve(length.unwrap_or(0)) => Err(ReadError::Closed),
            _ => Ok(()),
        }
    }

    /// Returns the length of a body, if its head tells one.
    fn body_length(&self, headers: &HeaderMap) -> Result<Option<usize>, ReadError> {
        check_framing(headers)?;
        match content_length(headers) {
            Some(length) if length > self.limit as u64 => Err(ReadError::TooLong),
            length => Ok(length.map(|length| length as usize)),
        }
    }

    /// Reads the body that follows a head.
    pub(crate) async fn body(
        &mut self,
        headers: &HeaderMap,
        decoder: BodyDecoder,
    ) -> Result<Bytes, ReadError> {
        self.body_length(headers)?;
        self.budget.set(self.limit + FRAMING_ALLOWANCE);
        match decoder {
            PayloadDecoder::None => Ok(Bytes::new()),
            PayloadDecoder::Fixed(mut decoder) => match self.framed.next_with(&mut decoder).await {
                Some(Ok(body)) => Ok(body),
                Some(Err(error)) => Err(read_error(error.into())),
                None => Err(ReadError::Closed),
            },
            PayloadDecoder::Streamed(decoder) => {
                let Lease::Body(lease) = self.lease.clone() else {
                    return self.chunks(decoder).await;
                };
                lease.start_counting();
                let body = self.chunks(decoder).await;
                lease.stop_counting();
                body
            }
        }
    }

    async fn chunks(&mut self, decoder: ChunkedBodyDecoder) -> Result<Bytes, ReadError> {
        let mut decoder = ChunkDecoder::new(decoder);
        let mut body = BytesMut::new();
        loop {
            match self.framed.next_with(&mut decoder).await {
                Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Ok(None)) => return Ok(body.freeze()),
                Some(Err(error)) => return Err(read_error(error.into())),
                None => return Err(ReadError::Closed),
            }
            if body.len() > self.limit {
                return Err(ReadError::TooLong);
            }
        }
    }

    /// Reads a body without a length, which ends where the connection is closed.
    ///
    /// Fails if the connection is reset: the bytes received until then are an incomplete body.
    pub(crate) async fn body_to_end(&mut self) -> Result<Bytes, ReadError> {
        self.budget.set(self.limit + FRAMING_ALLOWANCE);
        let mut body = BytesMut::new();
        loop {
            match self.framed.peek_data().await {
                Ok([]) => return Ok(body.freeze()),
                Ok(_) => body.unsplit(self.framed.read_buffer_mut().split()),
                Err(error) => return Err(read_error(error.into())),
            }
            if body.len() > self.limit {
                return Err(ReadError::TooLong);
            }
        }
    }

    /// Frees what has arrived of a message that will not be read.
    pub(crate) fn free_buffer(&mut self) {
        *self.framed.read_buffer_mut() = BytesMut::new();
    }

    /// Reads and discards incoming data, up to the maximum body size.
    ///
    /// Closing a connection with unread data resets it, and the reset can make the client lose
    /// the reply with the error.
    pub(crate) async fn discard(&mut self) {
        let mut budget = self.limit;
        while self.peek().await == Peek::Data {
            let count = self.framed.read_buffer().len();
            self.framed.read_buffer_mut().clear();
            if count > budget {
                return;
            }
            budget -= count;
        }
    }
}

fn read_error(error: HttpError) -> ReadError {
    match error {
        HttpError::IOError(error) | HttpError::H1DecodeError(DecodeError::Io(error))
            if error.kind() == too_long().kind() =>
        {
            ReadError::TooLong
        }
        HttpError::IOError(_) | HttpError::H1DecodeError(DecodeError::Io(_)) => ReadError::Closed,
        HttpError::H1DecodeError(DecodeError::UnexpectedEof) => ReadError::Closed,
        error => ReadError::Malformed(error.to_string()),
    }
}

/// Returns the body length from the `Content-Length` header.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Rejects heads with ambiguous framing, which allow request smuggling.
///
/// With two lengths, two codings, or a length and chunks, this process and an intermediary could
/// disagree about where the message ends. The rest of one caller's message would then be mistaken for
/// the request of another caller.
fn check_framing(headers: &HeaderMap) -> Result<(), ReadError> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    if lengths + codings > 1 {
        return Err(ReadError::Malformed("ambiguous body length".to_owned()));
    }
    // The decoders take a body of any other coding to be empty, and its bytes for the next message.
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if codings.any(|coding| !coding.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        return Err(ReadError::Malformed("unknown transfer coding".to_owned()));
    }
    Ok(())
}

/// Input that fails once its byte budget is used up.
pub(crate) struct Bounded {
    half: OwnedReadHalf<TcpStream>,
    budget: Rc<Cell<usize>>,
    lease: Lease,
}

impl Bounded {
    fn spend(&self, result: io::Result<usize>) -> io::Result<usize> {
        let count = result?;
        self.budget.set(self.budget.get().saturating_sub(count));
        match &self.lease {
            Lease::Body(lease) if !lease.count(count) => Err(io::ErrorKind::OutOfMemory.into()),
            Lease::Reply(lease) if !lease.count(count) => Err(too_long()),
            _ => Ok(count),
        }
    }
}

impl AsyncReadRent for Bounded {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.get() == 0 {
            return (Err(too_long()), buf);
        }
        let (result, buf) = self.half.read(buf).await;
        (self.spend(result), buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if self.budget.get() == 0 {
            return (Err(too_long()), buf);
        }
        let (result, buf) = self.half.readv(buf).await;
        (self.spend(result), buf)
    }
}
