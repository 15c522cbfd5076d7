//! Bytes of replies that are being read.
//!
//! A reply is held whole until it is complete, and a faulty sender may never complete it. With many
//! connections, replies within the size limit of each would take the memory of the process
//! together, which is then killed with all requests that it has passed on. Each reply may therefore
//! hold at most what is left of a total: the more are large, the less each may hold. Small replies
//! are always read.

use std::cell::Cell;

/// Maximum size of all large replies that are being read, in bytes: a fifth of the memory of the
/// smallest nodes. Their buffers may have twice that size.
const MAX_BYTES: usize = 32 << 20;

/// Size up to which a reply is always read, in bytes.
const SMALL_BYTES: usize = 64 << 10;

thread_local! {
    /// Bytes that all replies hold. A process serves on one thread.
    static HELD: Cell<usize> = const { Cell::new(0) };
}

/// What the current reply of a connection holds.
#[derive(Debug, Default)]
pub(crate) struct ReplyLease {
    held: Cell<usize>,
}

impl ReplyLease {
    /// Counts received bytes; returns false if there is too little room for them.
    pub(crate) fn count(&self, bytes: usize) -> bool {
        let held = self.held.get() + bytes;
        self.held.set(held);
        HELD.set(HELD.get() + bytes);
        held <= SMALL_BYTES || held <= MAX_BYTES.saturating_sub(HELD.get())
    }

    /// Gives back what the reply held: it is complete, or the next one follows.
    pub(crate) fn release(&self) {
        HELD.set(HELD.get() - self.held.replace(0));
    }
}

impl Drop for ReplyLease {
    fn drop(&mut self) {
        self.release();
    }
}
