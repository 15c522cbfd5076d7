//! Tests of what clients get from a server that shuts down.

mod common;

use std::time::Instant;

use common::{after, pause, read, reply_after, run, serve, write};
use kumquatnotch_net::server::ServerOptions;
use monoio::net::TcpStream;

const GET: &str = "GET /x HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards against a close that never ends for a client that goes on sending on its connection: the
/// time in which late requests are answered ran anew after each reply.
#[test]
fn close_ends_although_a_client_goes_on_sending() {
    run(async {
        let (server, _) = serve(ServerOptions::default(), |_| reply_after(50, "whole"));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        let client = monoio::spawn(async move {
            loop {
                write(&mut stream, GET).await;
                let reply = read(&mut stream).await;
                if !reply.ends_with("whole") {
                    return reply;
                }
                pause(100).await;
            }
        });
        pause(200).await;
        let start = Instant::now();

        let closed = server.close(after(6_000)).await;

        assert!(closed);
        assert!(start.elapsed().as_millis() < 2_500, "{:?}", start.elapsed());
        assert_eq!(client.await, "");
    });
}

/// Guards against an answer that is written and lost: the server closed its socket, and data that
/// the client sent afterwards reset the connection with the rest of the answer still to be read.
#[test]
fn answer_reaches_a_slow_client_that_sends_on_after_the_close() {
    run(async {
        let body = "a".repeat(3 << 20);
        let length = body.len();
        let (server, _) = serve(ServerOptions::default(), move |_| reply_after(1, &body));
        let mut stream = TcpStream::connect_addr(server.address()).await.unwrap();
        write(&mut stream, GET).await;
        pause(100).await;
        let closer = server.clone();
        let close = monoio::spawn(async move { closer.close(after(5_000)).await });
        pause(1_200).await;

        write(&mut stream, GET).await;
        pause(100).await;
        let mut received = 0;
        loop {
            match read(&mut stream).await.len() {
                0 => break,
                count => received += count,
            }
        }

        assert!(received > length, "{received} of {length} bytes");
        assert!(close.await);
    });
}
