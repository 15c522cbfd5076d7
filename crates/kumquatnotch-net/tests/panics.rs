//! Panics while requests are processed.

mod common;

use common::{exchange, pause, run, serve};
use http::StatusCode;
use kumquatnotch_net::{
    message::{Reply, Request},
    server::{ServerOptions, Work},
};

/// Panics at once, after a while, or not at all.
fn handle(request: Request) -> Work<'static> {
    match request.path.as_str() {
        "/now" => panic!("at once"),
        "/later" => Work::new(async {
            pause(5).await;
            panic!("later")
        }),
        _ => Work::ready(Reply::text(StatusCode::OK, "done")),
    }
}

/// Guards against one request that ends the process and with it all others.
#[test]
fn panic_ends_only_its_own_request() {
    run(async {
        let (server, _) = serve(ServerOptions::default(), handle);
        let get =
            |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");

        let mut replies = Vec::new();
        for path in ["/now", "/later", "/other"] {
            replies.push(exchange(server.address(), get(path)).await);
        }
        pause(20).await;

        assert!(replies[0].starts_with("HTTP/1.1 500 "), "{}", replies[0]);
        assert!(replies[1].starts_with("HTTP/1.1 500 "), "{}", replies[1]);
        assert!(!replies.iter().any(|reply| reply.contains("\"not_run\":true")), "{replies:?}");
        assert!(replies[2].starts_with("HTTP/1.1 200 "), "{}", replies[2]);
        assert_eq!(server.requests(), 0);
    });
}
