//! The time for which this VM was suspended.
//!
//! The steady clock of the system stands still while a VM is suspended, though time goes
//! by for everyone else. A node that wakes would take an old lease, an old confirmation or
//! an old request for fresh: it would pass on a booking whose caller has given up, and
//! advise callers to use nodes that have ended. The boot clock goes on, so the lead that it
//! gains over the steady clock tells for how long the VM stood still.

use std::{sync::Mutex, time::Duration};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// What the lead may differ by between two readings without a suspension.
///
/// The two clocks are read one after the other, and the process may be put aside in
/// between; a lead that seems to grow is read again.
const NOISE: Duration = Duration::from_millis(50);

/// How often the lead is read again at most to find one without a pause.
const READINGS: usize = 4;

/// How long the VM has been suspended since this process first asked.
pub fn suspended() -> Duration {
    static SUSPENSION: Mutex<Suspension> = Mutex::new(Suspension::new());
    let mut suspension = SUSPENSION.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let before = suspension.total;
    let total = suspension.note(lead, READINGS);
    if total > before {
        tracing::warn!(ms = (total - before).as_millis() as u64, "clock: this VM was suspended");
    }
    total
}

/// The lead of the boot clock over the steady one.
fn lead() -> Duration {
    let steady = duration(clock_gettime(ClockId::Monotonic));
    duration(clock_gettime(ClockId::Boottime)).saturating_sub(steady)
}

fn duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// What the lead of the boot clock tells.
#[derive(Debug, Default)]
pub struct Suspension {
    first: Option<Duration>,
    total: Duration,
}

impl Suspension {
    /// Without a reading yet.
    pub const fn new() -> Suspension {
        Suspension { first: None, total: Duration::ZERO }
    }

    /// Reads the lead, up to `readings` times; how long the VM was suspended in all.
    ///
    /// A pause between the two clocks of a reading makes the lead seem larger, never
    /// smaller, so the least of a few readings counts.
    pub fn note(&mut self, mut lead: impl FnMut() -> Duration, readings: usize) -> Duration {
        let Some(first) = self.first else {
            self.first = (0..readings).map(|_| lead()).min();
            return self.total;
        };
        let mut least = lead();
        for _ in 1..readings {
            if least <= first + self.total + NOISE {
                return self.total;
            }
            least = least.min(lead());
        }
        if least > first + self.total + NOISE {
            self.total = least - first;
        }
        self.total
    }
}
