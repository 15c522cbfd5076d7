//! Runs a relay as a process and prints its addresses as one line of JSON.

use std::net::SocketAddr;

use argh::FromArgs;
use standins::{block_on, relay::Relay};

/// Run a TCP relay that injects faults into links, for tests.
#[derive(FromArgs)]
struct Options {
    /// the control port for faults; any free port if omitted
    #[argh(option, default = "0")]
    control: u16,
    /// a link as PORT=ADDRESS; may be repeated
    #[argh(option, from_str_fn(read_link))]
    link: Vec<(u16, SocketAddr)>,
}

fn read_link(text: &str) -> Result<(u16, SocketAddr), String> {
    let (port, upstream) = text.split_once('=').ok_or("expected PORT=ADDRESS")?;
    let port = port.parse().map_err(|_| "the port is not a valid port number")?;
    let upstream = upstream.parse().map_err(|_| "the address is not a valid socket address")?;
    Ok((port, upstream))
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options: Options = argh::from_env();
    block_on(async {
        let relay = Relay::start(options.control, &options.link)?;
        println!("{}", serde_json::to_string(&relay.ports)?);
        std::future::pending().await
    })
}
