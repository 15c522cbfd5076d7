//! The command line.

use std::path::PathBuf;

use argh::FromArgs;
use kumquatnotch::config::settings::LogFormat;

/// Runs one node of a kumquatnotch query tier.
#[derive(FromArgs)]
#[argh(
    note = "The settings say who the node is, where it listens, and where the \
            platform's service is. What callers may reach is configured with \
            kumquatnotch-ctl, once for all nodes.\n\n\
            The first SIGTERM or SIGINT lets the node leave: it serves until the \
            entry advice given out has lapsed, ends what is in flight, and exits \
            with 0. A second one ends it at once.\n\n\
            If another process takes over its name or address, the node leaves in \
            the same way and exits with 5. Whoever runs it should then start it \
            again, with a name of its own if the other one still runs.\n\n\
            GET /healthz, /readyz, /status, /v1/config and /metrics at the address \
            for callers tell how it is.",
    example = "A settings file that works on one machine:\n\
               \n  [node]\n  name = \"n1\"\n  centre = \"amman\"\n  region = \"jordan\"\n\
               \n  [listen]\n  entry = \"127.0.0.1:7000\"\n  peer = \"127.0.0.1:7001\"\n\
               \n  [platform]\n  address = \"127.0.0.1:2379\"\n\
               \nCheck it, then run a node with it:\n\
               \n  {command_name} --settings n1.toml --check\
               \n  {command_name} --settings n1.toml",
    error_code(1, "The command line or the settings are wrong, or the node can't start."),
    error_code(3, "Requests were still in flight when the time to leave was over."),
    error_code(4, "A second signal came."),
    error_code(5, "Another process has the name or the address; start this one again.")
)]
pub struct Options {
    /// the settings file, in TOML
    #[argh(option)]
    pub settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,

    /// text or json, whatever the settings say
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
