//! Metrics of the holder.

use std::{cell::RefCell, time::Duration};

use kumquatnotch_core::{collections::HashMap, document::Class, ids::TenantName};
use metrics::{Counter, Histogram, counter, histogram};

/// The metrics of a holder.
///
/// The handles are cached, as a lookup by labels allocates on each call.
pub struct Meters {
    histograms: RefCell<HashMap<(TenantName, Class), Histograms>>,
    /// Calls sent to targets.
    pub calls: Counter,
    /// Hedged calls, sent because the first call is late.
    pub hedges: Counter,
    /// Retries of failed calls.
    pub retries: Counter,
    /// Calls shed by targets.
    pub sheds: Counter,
    /// Requests refused for lack of capacity.
    pub refusals: Counter,
    /// Crashes of targets with calls in flight.
    pub crashes: Counter,
    /// Connections that stopped responding.
    pub silent_connections: Counter,
}

#[derive(Clone)]
struct Histograms {
    wait: Histogram,
    service: Histogram,
}

impl Default for Meters {
    fn default() -> Meters {
        Meters {
            histograms: RefCell::default(),
            calls: counter!("kumquatnotch_holder_calls_total"),
            hedges: counter!("kumquatnotch_holder_hedges_total"),
            retries: counter!("kumquatnotch_holder_retries_total"),
            sheds: counter!("kumquatnotch_holder_sheds_total"),
            refusals: counter!("kumquatnotch_holder_refusals_total"),
            crashes: counter!("kumquatnotch_holder_crashes_total"),
            silent_connections: counter!("kumquatnotch_holder_silent_connections_total"),
        }
    }
}

impl Meters {
    /// Records how long a call of this tenant and class waited for a slot.
    pub fn record_wait(&self, tenant: &TenantName, class: Class, span: Duration) {
        self.histograms(tenant, class).wait.record(span.as_secs_f64());
    }

    /// Records how long a target took to answer a call of this tenant and class.
    pub fn record_service(&self, tenant: &TenantName, class: Class, span: Duration) {
        self.histograms(tenant, class).service.record(span.as_secs_f64());
    }

    fn histograms(&self, tenant: &TenantName, class: Class) -> Histograms {
        let mut histograms = self.histograms.borrow_mut();
        let entry = histograms.entry((tenant.clone(), class)).or_insert_with(|| {
            let labels = [("tenant", tenant.to_string()), ("class", class.as_str().to_owned())];
            Histograms {
                wait: histogram!("kumquatnotch_holder_wait_seconds", &labels),
                service: histogram!("kumquatnotch_holder_service_seconds", &labels),
            }
        });
        entry.clone()
    }
}
