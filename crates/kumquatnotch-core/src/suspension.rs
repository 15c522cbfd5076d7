//! Detection of VM suspensions.
//!
//! The monotonic clock of the system does not advance while the VM is suspended. A resumed
//! node would therefore treat an expired lease, confirmation or request as current: it would
//! forward a booking whose caller has given up, and advise callers to use nodes that have
//! ended. The boot-time clock includes suspended time, so the growth of its offset from the
//! monotonic clock is the time for which the VM was suspended.

use std::{sync::Mutex, time::Duration};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Largest growth of the clock offset that does not count as a suspension.
///
/// The two clocks are read one after the other, and the process may be preempted in between;
/// an offset that appears to grow is read again.
const TOLERANCE: Duration = Duration::from_millis(50);

/// Maximum number of offset readings per update, to obtain one without a preemption.
const MAX_READINGS: usize = 4;

/// Returns the total time for which the VM was suspended since the first call in this process.
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

/// Returns the offset of the boot-time clock from the monotonic clock.
fn clock_offset() -> Duration {
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    to_duration(clock_gettime(ClockId::Boottime)).saturating_sub(monotonic)
}

fn to_duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Derives the suspended time from readings of the clock offset.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    baseline: Option<Duration>,
    total: Duration,
}

impl SuspensionDetector {
    /// Creates a detector that takes its first reading as the baseline.
    pub const fn new() -> SuspensionDetector {
        SuspensionDetector { baseline: None, total: Duration::ZERO }
    }

    /// Reads the offset up to `max_readings` times and returns the total suspended time.
    ///
    /// A preemption between the two clock reads makes the offset appear larger, never smaller,
    /// so the smallest of several readings is used.
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
