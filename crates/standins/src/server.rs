//! Accepts connections until the stand-in is stopped.

use std::{net::SocketAddr, rc::Rc};

use futures_util::future::{Either, select};
use monoio::net::{TcpListener, TcpStream};

use crate::{
    http::{self, Handler},
    signal::Signal,
};

/// Accepts the next connection; `None` once `stop` is triggered.
pub async fn accept(listener: &TcpListener, stop: &Signal) -> Option<TcpStream> {
    loop {
        let next = std::pin::pin!(listener.accept());
        match select(next, stop.wait()).await {
            Either::Left((Ok((stream, _)), _)) => return Some(stream),
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => return None,
        }
    }
}

/// Delay after a failed accept, for example because of too many open files.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

/// A running server, stopped on drop.
#[derive(Debug)]
pub struct ServerHandle {
    /// The address that it listens on.
    pub address: SocketAddr,
    stop: Rc<Signal>,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop.trigger();
    }
}

/// Serves `handler` on `listener` in tasks on the current runtime.
pub fn spawn(listener: TcpListener, handler: Rc<dyn Handler>) -> std::io::Result<ServerHandle> {
    let address = listener.local_addr()?;
    let stop = Rc::new(Signal::default());
    let handle = ServerHandle { address, stop: stop.clone() };
    monoio::spawn(async move {
        while let Some(stream) = accept(&listener, &stop).await {
            let (handler, stop) = (handler.clone(), stop.clone());
            monoio::spawn(async move { http::serve(stream, handler, &stop).await });
        }
    });
    Ok(handle)
}
