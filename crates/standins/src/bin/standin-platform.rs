//! The stand-in platform as a process; it prints its address as one JSON line.

use argh::FromArgs;
use standins::{block_on, platform::PlatformServer};

/// The stand-in platform for tests.
#[derive(FromArgs)]
struct Options {
    /// the port; any if left out
    #[argh(option, default = "0")]
    port: u16,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options: Options = argh::from_env();
    block_on(async {
        let platform = PlatformServer::start(options.port)?;
        println!("{}", serde_json::json!({ "address": platform.address }));
        std::future::pending().await
    })
}
