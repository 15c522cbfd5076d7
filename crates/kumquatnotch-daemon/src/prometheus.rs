//! The Prometheus recorder, whose metrics the daemon serves on its own HTTP endpoint.

use std::time::Duration;

use kumquatnotch_core::{Error, Result};
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// Bucket bounds of duration histograms, in seconds.
const TIME_BUCKETS: [f64; 16] =
    [0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02, 0.03, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0];

/// Bucket bounds of coverage histograms.
const COVERAGE_BUCKETS: [f64; 8] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 1.0];

/// Interval at which histogram samples are aggregated into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the global recorder and returns a function that renders its metrics.
pub fn install() -> Result<Box<dyn Fn() -> String>> {
    let recorder = builder().map_err(Error::internal)?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(Error::internal)?;
    monoio::spawn(upkeep_task(handle.clone()));
    Ok(Box::new(move || handle.render()))
}

fn builder() -> Result<PrometheusBuilder, BuildError> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &TIME_BUCKETS)?
        .set_buckets_for_metric(Matcher::Suffix("_coverage".to_owned()), &COVERAGE_BUCKETS)
}

/// Periodically aggregates histogram samples, which would otherwise accumulate in memory
/// between scrapes.
async fn upkeep_task(handle: PrometheusHandle) {
    loop {
        monoio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}
