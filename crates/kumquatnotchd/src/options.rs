//! The command line.

use std::path::PathBuf;

use argh::FromArgs;
use kumquatnotch::config::settings::LogFormat;

/// Runs one node of a kumquatnotch query tier.
#[derive(FromArgs)]
#[argh(
    note = "The settings define the identity of the node, its listen addresses, and \
            the address of the platform's store. The services that callers may use \
            are configured with kumquatnotch-ctl, once for all nodes.\n\n\
            On the first SIGTERM or SIGINT the node shuts down gracefully: it serves \
            until the entry advice given to callers has expired, completes the \
            requests in flight, and exits with 0. On the second one it exits at \
            once.\n\n\
            If another process has the name or address of the node, the node leaves \
            in the same way and exits with 5. It should then be started again, under \
            a different name if the other process is still running.\n\n\
            GET /healthz, /readyz, /status, /v1/config and /metrics at the address \
            for callers report the state of the node.",
    example = "A minimal settings file for a single machine:\n\
               \n  [node]\n  name = \"n1\"\n  centre = \"amman\"\n  region = \"jordan\"\n\
               \n  [listen]\n  entry = \"127.0.0.1:7000\"\n  peer = \"127.0.0.1:7001\"\n\
               \n  [platform]\n  address = \"127.0.0.1:2379\"\n\
               \nValidate it, then run a node with it:\n\
               \n  {command_name} --settings n1.toml --check\
               \n  {command_name} --settings n1.toml",
    error_code(1, "The command line or the settings are invalid, or the node failed to start."),
    error_code(3, "Requests were still in flight when the shutdown timed out."),
    error_code(4, "A second signal was received."),
    error_code(5, "Another process has the name or the address; restart this one.")
)]
pub struct Options {
    /// path of the settings file, in TOML
    #[argh(option)]
    pub settings: PathBuf,

    /// validate the settings and exit
    #[argh(switch)]
    pub check: bool,

    /// log format, text or json; overrides the settings
    #[argh(option, from_str_fn(parse_format))]
    pub log_format: Option<LogFormat>,
}

fn parse_format(text: &str) -> Result<LogFormat, String> {
    match text {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err("expected text or json".to_owned()),
    }
}
