//! A one-shot signal that any number of tasks can wait for.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::future::{FutureExt, Shared};

/// A one-shot signal.
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
    /// Triggers the signal; has no effect if it is already triggered.
    pub fn trigger(&self) {
        self.sender.borrow_mut().take();
    }

    /// Whether the signal has been triggered.
    pub fn is_triggered(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Completes once the signal is triggered.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        self.receiver.clone().map(|_| ())
    }
}
