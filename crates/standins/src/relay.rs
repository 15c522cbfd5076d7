//! A TCP relay that injects faults into a link between two processes: it can stall, delay,
//! silence or close the connections.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::future::select;
use kumquatnotch_core::LocalFuture;
use monoio::{
    io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable},
    net::{TcpListener, TcpStream},
};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};

use crate::{
    http::{Handler, Reply, Request},
    listen, listen_with_small_window,
    server::{self, ServerHandle},
    signal::Signal,
};

/// Interval at which a cut link checks whether it has been restored.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size of the read buffer, in bytes.
const BUFFER_SIZE: usize = 16 * 1024;

/// Send buffer of a link with a small receive window, in bytes.
const SMALL_SEND_BUFFER: usize = 8 * 1024;

/// A change of a link; omitted fields keep their current values.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkChange {
    /// The number of the link; all links of the process if omitted.
    pub link: Option<usize>,
    /// Holds back data from the listener to the upstream.
    pub cut_up: Option<bool>,
    /// Holds back data from the upstream to the listener.
    pub cut_down: Option<bool>,
    /// Discards all further data on the connections that are open now; new ones work.
    pub silence: bool,
    /// Closes the connections that are open now.
    pub close: bool,
    /// Delay added to each chunk, in milliseconds.
    pub delay_ms: Option<u64>,
}

/// The addresses that a relay process listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayPorts {
    /// The control address, where faults are set.
    pub control: SocketAddr,
    /// The addresses of the links, by number.
    pub links: Vec<SocketAddr>,
}

/// A running relay, stopped on drop.
pub struct Relay {
    /// The addresses that it listens on.
    pub ports: RelayPorts,
    links: Rc<Links>,
    stop: Rc<Signal>,
    _control: ServerHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.trigger();
        self.links.apply(&LinkChange { close: true, ..LinkChange::default() });
    }
}

/// The state of one link.
#[derive(Default)]
struct Link {
    cut_up: Cell<bool>,
    cut_down: Cell<bool>,
    delay: Cell<Duration>,
    opened: Cell<u64>,
    first_live: Cell<u64>,
    close: RefCell<Rc<Signal>>,
    /// Size of the send buffer towards the upstream, if it is limited.
    send_buffer: Option<usize>,
}

struct Links(Vec<Rc<Link>>);

impl Relay {
    /// Starts a link to each upstream on the given port; zero selects a free port.
    pub fn start(control: u16, links: &[(u16, SocketAddr)]) -> io::Result<Relay> {
        let listen_for = |(port, upstream): &(u16, SocketAddr)| Ok((listen(*port)?, *upstream));
        Relay::forward(control, links.iter().map(listen_for).collect::<io::Result<_>>()?, None)
    }

    /// Starts a link to one upstream, with a receive window so small that a long message blocks
    /// its sender until the upstream reads it.
    pub fn with_small_window(port: u16, upstream: SocketAddr) -> io::Result<Relay> {
        let links = vec![(listen_with_small_window(port)?, upstream)];
        Relay::forward(0, links, Some(SMALL_SEND_BUFFER))
    }

    fn forward(
        control: u16,
        links: Vec<(TcpListener, SocketAddr)>,
        send_buffer: Option<usize>,
    ) -> io::Result<Relay> {
        let stop: Rc<Signal> = Rc::default();
        let mut states = Vec::new();
        let mut addresses = Vec::new();
        for (listener, upstream) in links {
            let link = Rc::new(Link { send_buffer, ..Link::default() });
            addresses.push(listener.local_addr()?);
            states.push(link.clone());
            let stop = stop.clone();
            monoio::spawn(async move {
                while let Some(stream) = server::accept(&listener, &stop).await {
                    monoio::spawn(forward_connection(stream, upstream, link.clone()));
                }
            });
        }
        let links = Rc::new(Links(states));
        let control = server::spawn(listen(control)?, links.clone())?;
        let ports = RelayPorts { control: control.address, links: addresses };
        Ok(Relay { ports, links, stop, _control: control })
    }

    /// Changes one link or all.
    pub fn apply(&self, change: &LinkChange) {
        self.links.apply(change);
    }
}

impl Links {
    fn apply(&self, change: &LinkChange) {
        let chosen = |number: usize| change.link.is_none_or(|link| link == number);
        for (_, link) in self.0.iter().enumerate().filter(|(number, _)| chosen(*number)) {
            link.cut_up.set(change.cut_up.unwrap_or(link.cut_up.get()));
            link.cut_down.set(change.cut_down.unwrap_or(link.cut_down.get()));
            link.delay.set(change.delay_ms.map_or(link.delay.get(), Duration::from_millis));
            if change.silence {
                link.first_live.set(link.opened.get());
            }
            if change.close {
                link.close.replace(Rc::default()).trigger();
            }
        }
    }
}

impl Handler for Links {
    fn handle(&self, request: Request) -> LocalFuture<'_, Reply> {
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/standin/faults") => match request.json::<LinkChange>() {
                Ok(change) => {
                    self.apply(&change);
                    Reply::status(204)
                }
                Err(reply) => reply,
            },
            _ => Reply::status(404),
        };
        Box::pin(async { reply })
    }
}

/// Forwards one connection until either side ends it or a change closes it.
async fn forward_connection(down: TcpStream, upstream: SocketAddr, link: Rc<Link>) {
    let number = link.opened.get();
    link.opened.set(number + 1);
    let close = link.close.borrow().clone();
    let Ok(up) = connect(upstream, link.send_buffer) else {
        return;
    };
    let _ = (down.set_nodelay(true), up.set_nodelay(true));
    let (down_reader, down_writer) = down.into_split();
    let (up_reader, up_writer) = up.into_split();
    let upward = pump(down_reader, up_writer, &link, number, |link| link.cut_up.get());
    let back = pump(up_reader, down_writer, &link, number, |link| link.cut_down.get());
    let (upward, back) = (std::pin::pin!(upward), std::pin::pin!(back));
    select(select(upward, back), close.wait()).await;
}

/// Connects to an upstream on this machine, which takes no time.
fn connect(upstream: SocketAddr, send_buffer: Option<usize>) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(upstream), Type::STREAM, Some(Protocol::TCP))?;
    if let Some(size) = send_buffer {
        socket.set_send_buffer_size(size)?;
    }
    socket.connect(&upstream.into())?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

async fn pump(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRent,
    link: &Link,
    number: u64,
    is_cut: impl Fn(&Link) -> bool,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let (count, back) = from.read(buffer).await;
        buffer = back;
        match count {
            Ok(count) if count > 0 => buffer.truncate(count),
            _ => return,
        }
        monoio::time::sleep(link.delay.get()).await;
        // Data held back by a cut is sent once the link is restored, like a TCP
        // retransmission; dropping it would leave a gap in the stream, which no network does.
        while is_cut(link) {
            monoio::time::sleep(CUT_POLL_INTERVAL).await;
        }
        if number >= link.first_live.get() {
            let (written, back) = to.write_all(buffer).await;
            buffer = back;
            if written.is_err() {
                return;
            }
        }
        buffer.resize(BUFFER_SIZE, 0);
    }
}
