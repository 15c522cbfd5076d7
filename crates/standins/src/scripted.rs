//! An HTTP server with scripted responses.
//!
//! Stands in for misbehaving replicas: the script receives each request and returns the
//! exact bytes, pauses and closures to play on the connection, which need not form a valid
//! response. A server that responds early plays steps as soon as it has the head of a request,
//! and reads the body only then; its receive window is so small that a long body blocks its
//! sender.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use monoio::{
    io::{AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable, stream::Stream},
    net::{TcpListener, TcpStream},
};
use monoio_http::{
    common::body::BodyExt,
    h1::{
        codec::decoder::{FillPayload, RequestDecoder},
        payload::Payload,
    },
};

use crate::{http::Request, listen, listen_with_small_window, server, signal::Signal};

/// A step of the response to a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes when the next response on the connection is due, before that one.
    Late(Vec<u8>),
    /// Sends these bytes again and again, with this pause between them, until the peer closes.
    Repeat(Vec<u8>, Duration),
    /// Sends nothing for this time.
    Wait(Duration),
    /// Sends nothing more and keeps the connection open.
    Silence,
    /// Closes the connection.
    Close,
}

/// Returns a step that sends a complete response with a `content-length` header.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Step {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    Step::Send(bytes)
}

type Script = dyn Fn(&Request) -> Vec<Step>;
type Observer = dyn Fn(&Request);

struct Shared {
    /// Returns the steps to play before the body of a request is read.
    early: Box<Script>,
    script: Box<Script>,
    observer: RefCell<Option<Box<Observer>>>,
    requests: RefCell<Vec<Request>>,
    disconnects: Cell<u32>,
    repeated: Cell<u64>,
}

impl Shared {
    fn count_disconnect(&self) {
        self.disconnects.set(self.disconnects.get() + 1);
    }
}

/// A scripted server, stopped on drop.
pub struct Scripted {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Rc<Shared>,
    stop: Rc<Signal>,
}

impl Drop for Scripted {
    fn drop(&mut self) {
        self.stop.trigger();
    }
}

impl Scripted {
    /// Starts a server on a free port of the loopback address.
    pub fn start(script: impl Fn(&Request) -> Vec<Step> + 'static) -> io::Result<Scripted> {
        Scripted::serve(listen(0)?, Box::new(|_| Vec::new()), Box::new(script))
    }

    /// Starts a server that responds early to the requests for whose head `early` returns steps.
    ///
    /// It plays them, then reads the body, and does not run the script.
    pub fn start_early(
        early: impl Fn(&Request) -> Vec<Step> + 'static,
        script: impl Fn(&Request) -> Vec<Step> + 'static,
    ) -> io::Result<Scripted> {
        Scripted::serve(listen_with_small_window(0)?, Box::new(early), Box::new(script))
    }

    fn serve(
        listener: TcpListener,
        early: Box<Script>,
        script: Box<Script>,
    ) -> io::Result<Scripted> {
        let address = listener.local_addr()?;
        let shared = Rc::new(Shared {
            early,
            script,
            observer: RefCell::default(),
            requests: RefCell::default(),
            disconnects: Cell::new(0),
            repeated: Cell::new(0),
        });
        let stop = Rc::new(Signal::default());
        monoio::spawn(accept(listener, shared.clone(), stop.clone()));
        Ok(Scripted { address, shared, stop })
    }

    /// Calls `observer` with each request that is read whole, also after an early response.
    pub fn observe(&self, observer: impl Fn(&Request) + 'static) {
        self.shared.observer.replace(Some(Box::new(observer)));
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<Request> {
        self.shared.requests.borrow().clone()
    }

    /// Number of connections that the peer closed while a response was being played or a body
    /// was being read.
    pub fn disconnects(&self) -> u32 {
        self.shared.disconnects.get()
    }

    /// Number of bytes sent by [`Step::Repeat`], including those in the buffers of the kernel.
    pub fn repeated_bytes(&self) -> u64 {
        self.shared.repeated.get()
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>, stop: Rc<Signal>) {
    while let Some(stream) = server::accept(&listener, &stop).await {
        let (shared, stop) = (shared.clone(), stop.clone());
        monoio::spawn(async move {
            let served = std::pin::pin!(serve(stream, shared));
            select(served, stop.wait()).await;
        });
    }
}

async fn serve(stream: TcpStream, shared: Rc<Shared>) {
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut decoder = RequestDecoder::new(reader);
    let mut late = Vec::new();
    let mut next = read_head(&mut decoder).await;
    while let Some((head, body)) = next {
        let early = (shared.early)(&head);
        let is_early = !early.is_empty();
        if !play(&mut writer, early, &mut late, &shared.repeated).await {
            return;
        }
        let Some(request) = read_body(&mut decoder, head, body).await else {
            shared.count_disconnect();
            return;
        };
        if let Some(observer) = &*shared.observer.borrow() {
            observer(&request);
        }
        let steps = if is_early { Vec::new() } else { (shared.script)(&request) };
        shared.requests.borrow_mut().push(request);
        // Reads ahead while the response is played, to notice that the peer closes the
        // connection or pipelines the next request.
        let played = std::pin::pin!(play(&mut writer, steps, &mut late, &shared.repeated));
        let next_head = std::pin::pin!(read_head(&mut decoder));
        next = match select(played, next_head).await {
            Either::Left((true, next_head)) => next_head.await,
            Either::Left((false, _)) => return,
            Either::Right((Some(head), played)) => played.await.then_some(head),
            Either::Right((None, _)) => {
                shared.count_disconnect();
                return;
            }
        };
    }
}

type Decoder = RequestDecoder<OwnedReadHalf<TcpStream>>;

/// Reads the head of the next request; `None` once the connection is closed.
async fn read_head(decoder: &mut Decoder) -> Option<(Request, Payload)> {
    let (parts, payload) = decoder.next().await?.ok()?.into_parts();
    let head = Request {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body: Bytes::new(),
    };
    Some((head, payload))
}

/// Reads the body that belongs to `head`; `None` if the connection is closed before its end.
async fn read_body(decoder: &mut Decoder, head: Request, payload: Payload) -> Option<Request> {
    decoder.fill_payload().await.ok()?;
    Some(Request { body: payload.bytes().await.ok()?, ..head })
}

/// Plays the steps; returns false if the connection is to be closed.
async fn play(
    writer: &mut OwnedWriteHalf<TcpStream>,
    steps: Vec<Step>,
    late: &mut Vec<u8>,
    repeated: &Cell<u64>,
) -> bool {
    let is_due = !steps.is_empty() && !late.is_empty();
    if is_due && writer.write_all(std::mem::take(late)).await.0.is_err() {
        return false;
    }
    for step in steps {
        match step {
            Step::Late(bytes) => late.extend(bytes),
            Step::Send(bytes) => {
                if writer.write_all(bytes).await.0.is_err() {
                    return false;
                }
            }
            Step::Repeat(bytes, pause) => return repeat(writer, bytes, pause, repeated).await,
            Step::Wait(time) => monoio::time::sleep(time).await,
            Step::Silence => std::future::pending().await,
            Step::Close => return false,
        }
    }
    true
}

/// Sends bytes again and again until the peer closes; returns false.
async fn repeat(
    writer: &mut OwnedWriteHalf<TcpStream>,
    mut bytes: Vec<u8>,
    pause: Duration,
    repeated: &Cell<u64>,
) -> bool {
    loop {
        let (result, sent) = writer.write_all(bytes).await;
        bytes = sent;
        let Ok(count) = result else { return false };
        repeated.set(repeated.get() + count as u64);
        if !pause.is_zero() {
            monoio::time::sleep(pause).await;
        }
    }
}
