//! Accepting connections until a stand-in is stopped.

use std::{net::SocketAddr, rc::Rc};

use futures_util::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};

use crate::{
    http::{self, Handler},
    signal::Signal,
};

/// Accepts the next connection; `None` once `stop` is given.
pub async fn accept(listener: &TcpListener, stop: &Signal) -> Option<TcpStream> {
    loop {
        let next = std::pin::pin!(listener.accept());
        match select(next, stop.wait()).await {
            Either::Left((Ok((stream, _)), _)) => return Some(stream),
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => return None,
        }
    }
}

/// The pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

/// A stand-in that serves until this is dropped.
#[derive(Debug)]
pub struct Serving {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Rc<Signal>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.stop.give();
    }
}

/// Serves `handler` on `listener` in tasks of the current runtime.
pub fn spawn(listener: TcpListener, handler: Rc<dyn Handler>) -> std::io::Result<Serving> {
    let address = listener.local_addr()?;
    let stop = Rc::new(Signal::default());
    let serving = Serving { address, stop: stop.clone() };
    monoio::spawn(async move {
        while let Some(stream) = accept(&listener, &stop).await {
            let (handler, stop) = (handler.clone(), stop.clone());
            monoio::spawn(async move { http::serve(stream, handler, &stop).await });
        }
    });
    Ok(serving)
}
