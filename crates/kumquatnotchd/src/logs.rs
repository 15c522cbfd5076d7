//! Logging to standard error.

use kumquatnotch::{
    config::settings::{LogFormat, LogSettings},
    core::{Error, Result},
};
use tracing_subscriber::EnvFilter;

/// The filter that applies if the settings contain none.
const DEFAULT_FILTER: &str = "info";

/// Installs the global log subscriber.
pub fn install(format: LogFormat, settings: &LogSettings) -> Result<()> {
    let filter = settings.filter.as_deref().unwrap_or(DEFAULT_FILTER);
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| Error::BadSettings { detail: format!("log.filter: {error}") })?;
    // The prefix of each message names the component, so the module path is omitted.
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false);
    let installed = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    installed.map_err(Error::internal)
}
