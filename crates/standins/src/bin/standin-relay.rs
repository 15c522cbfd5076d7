//! The relay as a process; it prints its ports as one JSON line.

use std::net::SocketAddr;

use argh::FromArgs;
use standins::{block_on, relay::Relay};

/// A relay that cuts links in tests.
#[derive(FromArgs)]
struct Options {
    /// the port for faults; any if left out
    #[argh(option, default = "0")]
    control: u16,
    /// a link as PORT=ADDRESS; may be given again
    #[argh(option, from_str_fn(read_link))]
    link: Vec<(u16, SocketAddr)>,
}

fn read_link(text: &str) -> Result<(u16, SocketAddr), String> {
    let (port, upstream) = text.split_once('=').ok_or("expected PORT=ADDRESS")?;
    let port = port.parse().map_err(|_| "the port can't be read")?;
    let upstream = upstream.parse().map_err(|_| "the address can't be read")?;
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
