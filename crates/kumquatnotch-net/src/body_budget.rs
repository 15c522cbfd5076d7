//! Bytes of request bodies in flight.
//!
//! A body is held whole until its request is answered. The servers of a process admit bodies only
//! up to a total size, because a process that exceeds its memory is killed with all requests that
//! it has passed on. A body with a length is admitted before it arrives, and a chunked one as it
//! arrives.

use std::{cell::Cell, rc::Rc};

/// Maximum size of all bodies in flight, in bytes: a quarter of the memory of a node.
///
/// One body of the maximum size of its server is admitted in any case.
const MAX_BYTES: usize = 64 << 20;

/// Bytes that a chunked body takes at a time.
const STEP_BYTES: usize = 64 << 10;

/// How often a received byte of a chunked body is in memory: in the read buffer and in the body.
const CHUNKED_COPIES: usize = 2;

thread_local! {
    /// Bytes that all requests hold. A process serves on one thread.
    static HELD: Cell<usize> = const { Cell::new(0) };
}

/// What the body of the current request of a connection holds.
#[derive(Debug)]
pub(crate) struct BodyLease {
    limit: usize,
    held: Cell<usize>,
    /// Size of what was received of a body without a length; `None` for other bodies.
    received: Cell<Option<usize>>,
    is_refused: Cell<bool>,
}

impl BodyLease {
    /// Creates a lease for a connection to a server that accepts bodies of up to `max_body` bytes.
    pub(crate) fn new(max_body: usize) -> Rc<BodyLease> {
        let one_body = CHUNKED_COPIES * (max_body + 2 * STEP_BYTES);
        Rc::new(BodyLease {
            limit: MAX_BYTES.max(one_body),
            held: Cell::new(0),
            received: Cell::new(None),
            is_refused: Cell::new(false),
        })
    }

    /// Takes room for a body; returns false if there is too little.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        if bytes > self.limit.saturating_sub(HELD.get()) {
            self.is_refused.set(bytes > 0);
            return bytes == 0;
        }
        HELD.set(HELD.get() + bytes);
        self.held.set(self.held.get() + bytes);
        true
    }

    /// Starts to count the bytes of a body without a length.
    pub(crate) fn start_counting(&self) {
        self.received.set(Some(0));
    }

    /// Stops to count bytes: those that follow belong to the next request.
    pub(crate) fn stop_counting(&self) {
        self.received.set(None);
    }

    /// Counts received bytes; returns false if there is too little room for them.
    pub(crate) fn count(&self, bytes: usize) -> bool {
        let Some(received) = self.received.get() else {
            return true;
        };
        let received = received + CHUNKED_COPIES * bytes;
        self.received.set(Some(received));
        let missing = received.saturating_sub(self.held.get());
        missing == 0 || self.reserve(missing.next_multiple_of(STEP_BYTES))
    }

    /// Whether there was too little room for the current body.
    pub(crate) fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    /// Gives back what the request held.
    pub(crate) fn release(&self) {
        HELD.set(HELD.get() - self.held.replace(0));
        self.received.set(None);
        self.is_refused.set(false);
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.release();
    }
}

/// Returns the number of bytes that all requests hold.
pub(crate) fn held_bytes() -> usize {
    HELD.get()
}
