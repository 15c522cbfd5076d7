//! State and services shared by the modules of the holder.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use kumquatnotch_core::{
    Clock, Error, Result, Targets,
    document::Documents,
    marks::{Mark, MarkKind, Marks},
    random::Random,
    registry::Registry,
    services,
};
use kumquatnotch_policy::{
    choice::Choice, containment::Containment, hedge::Hedge, limit::Limit, queue::WaitQueue,
    replica::Warmup, retry::Retry,
};

use crate::{Decisions, HolderOptions, meters::Meters, table::Table};

/// State, policies and external services of a holder.
pub struct Core {
    pub options: HolderOptions,
    pub clock: Rc<dyn Clock>,
    pub random: Random,
    pub targets: Rc<dyn Targets>,
    pub documents: Rc<dyn Documents>,
    pub marks: Rc<dyn Marks>,
    pub table: RefCell<Table>,
    pub choice: Box<dyn Choice>,
    pub warmup: Box<dyn Warmup>,
    pub hedge: RefCell<Box<dyn Hedge>>,
    pub retry: RefCell<Box<dyn Retry>>,
    pub containment: RefCell<Box<dyn Containment>>,
    pub new_limit: fn() -> Box<dyn Limit>,
    pub new_queue: fn() -> Box<dyn WaitQueue>,
    pub meters: Meters,
    pub serial: Cell<u64>,
    /// Total time by which background ticks were late.
    pub stall_time: Cell<Duration>,
}

impl Core {
    pub fn try_new(
        options: HolderOptions,
        decisions: Decisions,
        registry: &Registry,
    ) -> Result<Rc<Core>> {
        let table = Table::new(&options);
        Ok(Rc::new(Core {
            options,
            clock: registry.find(services::CLOCK)?,
            random: registry.find(services::RANDOM)?,
            targets: registry.find(services::TARGETS)?,
            documents: registry.find(services::DOCUMENTS)?,
            marks: registry.find(services::MARKS)?,
            table: RefCell::new(table),
            choice: decisions.choice,
            warmup: decisions.warmup,
            hedge: RefCell::new(decisions.hedge),
            retry: RefCell::new(decisions.retry),
            containment: RefCell::new(decisions.containment),
            new_limit: decisions.limit,
            new_queue: decisions.queue,
            meters: Meters::default(),
            serial: Cell::new(0),
            stall_time: Cell::default(),
        }))
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the next id of a slot or waiter; ids increase.
    pub fn next_serial(&self) -> u64 {
        let serial = self.serial.get() + 1;
        self.serial.set(serial);
        serial
    }

    /// Applies the current document if it has changed.
    pub fn refresh_document(&self) -> Result<()> {
        let document = self.documents.current().ok_or(Error::NotReady)?;
        let removed =
            self.table.borrow_mut().apply_document(&document, &self.options, self.new_limit);
        for name in &removed {
            tracing::info!(target = %name, "holder: target was removed or its address changed");
            self.targets.disconnect(name);
        }
        Ok(())
    }

    /// Sets a mark on all nodes for `span`.
    pub fn set_mark(&self, kind: MarkKind, span: Duration) {
        self.marks.set(Mark { kind, left_ms: span.as_millis() as u64 });
    }
}
