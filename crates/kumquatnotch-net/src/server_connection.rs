//! The server side of one client connection.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{FutureExt, select_biased};
use http::{HeaderValue, Method, Response, StatusCode, Version, header, request::Parts};
use kumquatnotch_core::{Error, clock};
use monoio::{
    io::{
        OwnedWriteHalf, Splitable,
        sink::{Sink, SinkExt},
    },
    net::TcpStream,
};
use monoio_http::{common::body::HttpBody, h1::codec::encoder::GenericEncoder};

use crate::{
    body_budget::{self, BodyLease},
    message::{REQUEST_ID_HEADER, Reply, Request, is_bodiless},
    open_requests::OpenGuard,
    panics,
    reader::{Peek, ReadError, RequestReader},
    server::{Context, Work},
};

/// Maximum time for a client to read a reply after this end of the connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after a reply for which its client may still be reading it.
const REPLY_READ_TIME: Duration = Duration::from_secs(5);

/// Maximum time for a client that asked to close its connection to close its end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a request is worth a retry that was refused for lack of room for its body.
const BODY_RETRY_TIME: Duration = Duration::from_secs(1);

type Encoder = GenericEncoder<OwnedWriteHalf<TcpStream>>;

/// Counts a connection until it is dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(cell: &'a Cell<usize>) -> CountGuard<'a> {
        cell.set(cell.get() + 1);
        CountGuard(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves a connection until it is closed.
pub(crate) async fn serve(stream: TcpStream, context: Rc<Context>) {
    let _open = CountGuard::new(&context.open);
    let (read, write) = stream.into_split();
    let lease = BodyLease::new(context.options.max_body);
    let mut reader = RequestReader::with_lease(read, context.options.max_body, lease.clone());
    let mut encoder = Encoder::new(write);
    let mut replied_at = None;
    loop {
        match await_request(&mut reader, &context).await {
            Await::Request => {}
            Await::Drop => return,
            Await::Close => return close_idle(&mut encoder, replied_at, &context).await,
        }
        let open = context.requests.add(context.clock.now());
        let next =
            serve_request(&mut reader, &mut encoder, &context, &lease, replied_at.is_none(), &open)
                .await;
        lease.release();
        drop(open);
        match next {
            Next::Request => replied_at = Some(context.clock.now()),
            Next::AwaitClose => return await_close(&mut reader, &mut encoder, &context).await,
            Next::Close => return close(&mut reader, &mut encoder, &context).await,
            Next::End => return,
        }
    }
}

/// What happens to a connection that waited for a request.
enum Await {
    /// A request has begun to arrive.
    Request,
    /// It is dropped: the client has closed it, or it was idle for too long.
    Drop,
    /// It is closed in the shutdown of the server.
    Close,
}

/// What happens to a connection after a request.
enum Next {
    /// It waits for the next request.
    Request,
    /// The client asked to close it and has been sent the reply.
    AwaitClose,
    /// It is closed: the request could not be read and was refused.
    Close,
    /// It ends, as it broke.
    End,
}

/// Closes this end of a connection, and waits until the client has closed its end.
///
/// The client asked to close the connection and does so when it has received the reply, so
/// the time until then is the round trip to the client.
async fn await_close(reader: &mut RequestReader, encoder: &mut Encoder, context: &Context) {
    let clock = &*context.clock;
    let start = clock.now();
    let _ = Sink::<Response<HttpBody>>::close(encoder).await;
    let peek = clock::timeout_at(clock, start + CLOSE_TIMEOUT, reader.peek()).await;
    if matches!(peek, Ok(Peek::Closed)) {
        context.handler.record_round_trip(clock.now().saturating_duration_since(start));
    }
}

/// Closes this end of a connection, and discards what the client still sends.
///
/// Closing a socket with unread data resets the connection, and the reset can make the client
/// lose a reply that was sent before.
async fn close(reader: &mut RequestReader, encoder: &mut Encoder, context: &Context) {
    let _ = Sink::<Response<HttpBody>>::close(encoder).await;
    let deadline = context.clock.now() + DISCARD_TIMEOUT;
    let _ = clock::timeout_at(&*context.clock, deadline, reader.discard()).await;
}

/// Closes a connection that waits for a request in the shutdown of the server.
///
/// A reply that was sent a short time ago may still be on its way, so that the socket is closed
/// later. What the client sends until then is not read: it learns from the reset that a request
/// which crosses the close was not begun.
async fn close_idle(encoder: &mut Encoder, replied_at: Option<Instant>, context: &Context) {
    let clock = &*context.clock;
    if replied_at.is_none_or(|at| clock.now() >= at + REPLY_READ_TIME) {
        return;
    }
    let _ = Sink::<Response<HttpBody>>::close(encoder).await;
    clock::sleep(clock, DISCARD_TIMEOUT).await;
}

/// Waits for the first byte of a request.
async fn await_request(reader: &mut RequestReader, context: &Context) -> Await {
    let mut idle = clock::sleep(&*context.clock, context.options.idle_timeout).fuse();
    let mut linger_elapsed = pin!(context.linger_elapsed().fuse());
    let mut evicted = context.register_idle().fuse();
    let mut peek = pin!(reader.peek().fuse());
    select_biased! {
        peek = peek => if peek == Peek::Data { Await::Request } else { Await::Drop },
        _ = evicted => Await::Drop,
        () = linger_elapsed => Await::Close,
        () = idle => Await::Drop,
    }
}

/// Serves one request.
async fn serve_request(
    reader: &mut RequestReader,
    encoder: &mut Encoder,
    context: &Context,
    lease: &BodyLease,
    is_first: bool,
    open: &OpenGuard<'_>,
) -> Next {
    let deadline = context.clock.now() + context.options.transfer_timeout;
    let read = read_or_end(reader, encoder, context);
    let read = clock::timeout_at(&*context.clock, deadline, read).await;
    let result = match read {
        Ok(Ok(Some(request))) => Ok(request),
        Ok(Ok(None)) => Err(context.handler.refuse_unread()),
        Ok(Err(_)) if lease.is_refused() => {
            tracing::info!(
                bytes = body_budget::held_bytes(),
                "net: {} refused a request: too many bytes of bodies are in flight",
                context.options.name
            );
            // Otherwise, many chunked bodies that arrive together would all be refused.
            reader.free_buffer();
            lease.release();
            let retry_ms = BODY_RETRY_TIME.as_millis() as u64;
            Err(Reply::error(&Error::BodiesFull { retry_ms }))
        }
        Ok(Err(ReadError::Closed)) => return Next::End,
        Ok(Err(ReadError::Malformed(detail))) => Err(Reply::error(&Error::bad_request(detail))),
        Ok(Err(ReadError::TooLong)) => {
            let limit = context.options.max_body as u64;
            Err(Reply::error(&Error::BodyTooLarge { limit }))
        }
        Err(_) => {
            let error = Error::bad_request("the request did not arrive in time");
            Err(Reply::error(&error))
        }
    };
    let (mut request, keep_alive) = match result {
        Ok(request) => request,
        Err(reply) => {
            open.reply();
            return match send(encoder, reply, None, false, context).await {
                true => Next::Close,
                false => Next::End,
            };
        }
    };
    request.is_first = is_first;
    let request_id = request.headers.get(REQUEST_ID_HEADER).cloned();
    let method = request.method.clone();
    open.start(&context.handler.identity(&request));
    let work = panics::start(&*context.handler, request);
    let Some(reply) = run(work, reader, encoder, context).await else {
        return Next::End;
    };
    // A client that was asked to close the connection but sends another request is served:
    // if the connection were closed at once, the request would look lost in transit.
    let keep_open = keep_alive && context.drained.get().is_none();
    open.reply();
    let reply = without_unexpected_body(&method, reply);
    match send(encoder, reply, request_id, keep_open, context).await {
        true if keep_alive => Next::Request,
        true => Next::AwaitClose,
        false => Next::End,
    }
}

/// Reads a request like [`read_request`]; returns `None` if the open requests must end first.
async fn read_or_end(
    reader: &mut RequestReader,
    encoder: &mut Encoder,
    context: &Context,
) -> Result<Option<(Request, bool)>, ReadError> {
    let mut read = pin!(read_request(reader, encoder).fuse());
    let mut ended = pin!(context.ended().fuse());
    select_biased! {
        read = read => read.map(Some),
        () = ended => Ok(None),
    }
}

/// Reads a request; also returns whether the client keeps the connection alive.
async fn read_request(
    reader: &mut RequestReader,
    encoder: &mut Encoder,
) -> Result<(Request, bool), ReadError> {
    let (head, decoder): (Parts, _) = reader.head().await?;
    reader.reserve(&head.headers)?;
    if expects_continue(&head) {
        let interim = Response::builder().status(StatusCode::CONTINUE).body(HttpBody::Ready(None));
        // The builder has only valid input, so it does not fail.
        if let Ok(interim) = interim {
            encoder.send_and_flush(interim).await.map_err(|_| ReadError::Closed)?;
        }
    }
    let body = reader.body(&head.headers, decoder).await?;
    let keep_alive = keeps_alive(&head);
    let path = head.uri.path().to_owned();
    let query = head.uri.query().unwrap_or_default().to_owned();
    Ok((
        Request { method: head.method, path, query, headers: head.headers, body, is_first: false },
        keep_alive,
    ))
}

fn expects_continue(head: &Parts) -> bool {
    let value = head.headers.get(header::EXPECT);
    head.method != Method::GET
        && value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

fn keeps_alive(head: &Parts) -> bool {
    let connection = head.headers.get(header::CONNECTION).and_then(|value| value.to_str().ok());
    let connection = connection.unwrap_or_default().to_ascii_lowercase();
    match head.version {
        Version::HTTP_11 => !connection.contains("close"),
        _ => connection.contains("keep-alive"),
    }
}

/// Runs `work` until its reply; returns `None` if the client disconnected and the work was
/// dropped.
async fn run(
    work: Work<'_>,
    reader: &mut RequestReader,
    encoder: &mut Encoder,
    context: &Context,
) -> Option<Reply> {
    let Work { reply, detached } = work;
    let mut reply = reply.fuse();
    let mut disconnected = pin!(client_disconnected(reader).fuse());
    loop {
        let interim = context.options.interim_period.unwrap_or(Duration::MAX);
        let mut tick = pin!(
            async {
                match interim {
                    Duration::MAX => std::future::pending().await,
                    span => clock::sleep(&*context.clock, span).await,
                }
            }
            .fuse()
        );
        select_biased! {
            reply = reply => return Some(reply),
            () = disconnected => {
                if !detached {
                    return None;
                }
                return Some(reply.await);
            }
            () = tick => {
                // Without interim responses the client treats the connection as lost.
                if !send_interim(encoder).await && !detached {
                    return None;
                }
            }
        }
    }
}

/// Completes when the client has closed its end.
///
/// Once a client has sent its next request early, its disconnection can't be detected any more.
async fn client_disconnected(reader: &mut RequestReader) {
    if reader.peek().await == Peek::Data {
        std::future::pending::<()>().await;
    }
}

async fn send_interim(encoder: &mut Encoder) -> bool {
    let interim = Response::builder().status(StatusCode::PROCESSING).body(HttpBody::Ready(None));
    match interim {
        Ok(interim) => encoder.send_and_flush(interim).await.is_ok(),
        Err(_) => false,
    }
}

/// Removes the body of a reply that can't have one, which the client would read as the next reply.
fn without_unexpected_body(method: &Method, reply: Reply) -> Reply {
    match is_bodiless(method, reply.status) {
        true => Reply { body: Bytes::new(), ..reply },
        false => reply,
    }
}

/// Sends a reply; returns false if the connection broke.
///
/// Unless `keep_open` is set, the reply asks the client to close the connection.
async fn send(
    encoder: &mut Encoder,
    reply: Reply,
    request_id: Option<HeaderValue>,
    keep_open: bool,
    context: &Context,
) -> bool {
    let Reply { status, mut headers, body } = reply;
    if let Some(request_id) = request_id {
        headers.insert(REQUEST_ID_HEADER, request_id);
    }
    if !keep_open {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let body = if body.is_empty() { None } else { Some(body) };
    let mut response = Response::new(HttpBody::Ready(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let deadline = context.clock.now() + context.options.transfer_timeout;
    let sent = encoder.send_and_flush(response);
    matches!(clock::timeout_at(&*context.clock, deadline, sent).await, Ok(Ok(())))
}
