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
const TOLERANCE: Duration = Duration::from_millis(50);

/// How often the lead is read again at most to find one without a pause.
const MAX_READINGS: usize = 4;

/// How long the VM has been suspended since this process first asked.
pub fn suspended_time() -> Duration {
    static DETECTOR: Mutex<SuspensionDetector> = Mutex::new(SuspensionDetector::new());
    let mut detector = DETECTOR.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let before = detector.total;
    let total = detector.update(clock_offset, MAX_READINGS);
    if total > before {
        tracing::warn!(ms = (total - before).as_millis() as u64, "clock: this VM was suspended");
    }
    total
}

/// The lead of the boot clock over the steady one.
fn clock_offset() -> Duration {
    let steady = to_duration(clock_gettime(ClockId::Monotonic));
    to_duration(clock_gettime(ClockId::Boottime)).saturating_sub(steady)
}

fn to_duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// What the lead of the boot clock tells.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    baseline: Option<Duration>,
    total: Duration,
}

impl SuspensionDetector {
    /// Without a reading yet.
    pub const fn new() -> SuspensionDetector {
        SuspensionDetector { baseline: None, total: Duration::ZERO }
    }

    /// Reads the lead, up to `max_readings` times; how long the VM was suspended in all.
    ///
    /// A pause between the two clocks of a reading makes the lead seem larger, never
    /// smaller, so the least of a few readings counts.
    pub fn update(
        &mut self,
        mut read_offset: impl FnMut() -> Duration,
        max_readings: usize,
    ) -> Duration {
        let Some(baseline) = self.baseline else {
            self.baseline = (0..max_readings).map(|_| read_offset()).min();
            return self.total;
        };
        let mut smallest = read_offset();
        for _ in 1..max_readings {
            if smallest <= baseline + self.total + TOLERANCE {
                return self.total;
            }
            smallest = smallest.min(read_offset());
        }
        if smallest > baseline + self.total + TOLERANCE {
            self.total = smallest - baseline;
        }
        self.total
    }
}
