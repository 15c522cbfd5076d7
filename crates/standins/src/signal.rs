//! A signal that is given once and seen by every task that waits for it.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

/// A signal that is given once.
#[derive(Debug)]
pub struct Signal {
    sender: RefCell<Option<oneshot::Sender<()>>>,
    receiver: Shared<oneshot::Receiver<()>>,
}

impl Default for Signal {
    fn default() -> Signal {
        let (sender, receiver) = oneshot::channel();
        Signal { sender: RefCell::new(Some(sender)), receiver: receiver.shared() }
    }
}

impl Signal {
    /// Gives the signal; giving it again changes nothing.
    pub fn trigger(&self) {
        self.sender.borrow_mut().take();
    }

    /// Whether it was given.
    pub fn is_triggered(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Completes once it is given.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        self.receiver.clone().map(|_| ())
    }
}
