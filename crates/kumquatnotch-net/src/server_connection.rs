//! The server side of one client connection.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

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
    message::{REQUEST_ID_HEADER, Reply, Request},
    panics,
    reader::{Peek, ReadError, RequestReader},
    server::{Context, Work},
};

/// Maximum time for which the rest of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time for a client that asked to close its connection to close its end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

type Encoder = GenericEncoder<OwnedWriteHalf<TcpStream>>;

/// Counts a connection or request until it is dropped.
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
    let mut reader = RequestReader::new(read, context.options.max_body);
    let mut encoder = Encoder::new(write);
    let mut is_first = true;
    while await_request(&mut reader, &context).await {
        let in_flight = CountGuard::new(&context.in_flight);
        let next = serve_request(&mut reader, &mut encoder, &context, is_first).await;
        drop(in_flight);
        match next {
            Next::Request => is_first = false,
            Next::AwaitClose => return await_close(&mut reader, &mut encoder, &context).await,
            Next::End => return,
        }
    }
}

/// What happens to a connection after a request.
enum Next {
    /// It waits for the next request.
    Request,
    /// The client asked to close it and has been sent the reply.
    AwaitClose,
    /// It ends: it broke, or the request could not be read.
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

/// Waits for the first byte of a request; returns false if the connection is to be closed.
async fn await_request(reader: &mut RequestReader, context: &Context) -> bool {
    let mut idle = clock::sleep(&*context.clock, context.options.idle_timeout).fuse();
    let mut linger_elapsed = pin!(context.linger_elapsed().fuse());
    let mut evicted = context.register_idle().fuse();
    let mut peek = pin!(reader.peek().fuse());
    select_biased! {
        peek = peek => peek == Peek::Data,
        _ = evicted => false,
        () = linger_elapsed => false,
        () = idle => false,
    }
}

/// Serves one request.
async fn serve_request(
    reader: &mut RequestReader,
    encoder: &mut Encoder,
    context: &Context,
    is_first: bool,
) -> Next {
    let deadline = context.clock.now() + context.options.transfer_timeout;
    let read = read_request(reader, encoder);
    let (mut request, keep_alive) = match clock::timeout_at(&*context.clock, deadline, read).await {
        Ok(Ok(request)) => request,
        Ok(Err(ReadError::Closed)) => return Next::End,
        Ok(Err(ReadError::Malformed(detail))) => {
            refuse(reader, encoder, context, Error::bad_request(detail)).await;
            return Next::End;
        }
        Ok(Err(ReadError::TooLong)) => {
            let limit = context.options.max_body as u64;
            refuse(reader, encoder, context, Error::BodyTooLarge { limit }).await;
            return Next::End;
        }
        Err(_) => {
            let error = Error::bad_request("the request did not arrive in time");
            refuse(reader, encoder, context, error).await;
            return Next::End;
        }
    };
    request.is_first = is_first;
    let request_id = request.headers.get(REQUEST_ID_HEADER).cloned();
    let work = panics::start(&*context.handler, request);
    let Some(reply) = run(work, reader, encoder, context).await else {
        return Next::End;
    };
    // A client that was asked to close the connection but sends another request is served:
    // if the connection were closed at once, the request would look lost in transit.
    let keep_open = keep_alive && !context.draining.get();
    match send(encoder, reply, request_id, keep_open, context).await {
        true if keep_alive => Next::Request,
        true => Next::AwaitClose,
        false => Next::End,
    }
}

/// Refuses a request that could not be read, and closes the connection.
async fn refuse(
    reader: &mut RequestReader,
    encoder: &mut Encoder,
    context: &Context,
    error: Error,
) {
    if send(encoder, Reply::error(&error), None, false, context).await {
        let _ = Sink::<Response<HttpBody>>::close(encoder).await;
        let deadline = context.clock.now() + DISCARD_TIMEOUT;
        let _ = clock::timeout_at(&*context.clock, deadline, reader.discard()).await;
    }
}

/// Reads a request; also returns whether the client keeps the connection alive.
async fn read_request(
    reader: &mut RequestReader,
    encoder: &mut Encoder,
) -> Result<(Request, bool), ReadError> {
    let (head, decoder): (Parts, _) = reader.head().await?;
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
