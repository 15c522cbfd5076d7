//! Memory of a server while many large bodies come at once.
//!
//! Alone in its file, because memory is measured for the whole process.

mod common;

use std::{cell::Cell, fs, net::SocketAddr, rc::Rc};

use common::{pause, read, reply_after, run, serve};
use futures_util::future::join_all;
use kumquatnotch_net::server::ServerOptions;
use monoio::{io::AsyncWriteRentExt, net::TcpStream};

const UPLOADS: usize = 50;
const BODY_BYTES: usize = 8 << 20;
const PIECE_BYTES: usize = 64 << 10;
/// Maximum growth in MiB: less than half of the memory of a node.
const MAX_GROWTH: u64 = 128;

/// Returns a line of the status of this process, in MiB.
fn memory(name: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim_start_matches(':').trim().trim_end_matches(" kB").parse::<u64>().unwrap() >> 10
}

async fn send(stream: &mut TcpStream, piece: Vec<u8>) -> Option<Vec<u8>> {
    let (result, piece) = stream.write_all(piece).await;
    result.is_ok().then_some(piece)
}

/// Uploads a body, with its length or as one chunk, and returns the start of the answer.
async fn upload(stream: &mut TcpStream, is_chunked: bool) -> String {
    let framing = match is_chunked {
        true => format!("transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"),
        false => format!("content-length: {BODY_BYTES}\r\n\r\n"),
    };
    let mut is_sent =
        send(stream, format!("POST /x HTTP/1.1\r\nhost: x\r\n{framing}").into_bytes())
            .await
            .is_some();
    let mut piece = Some(vec![b'a'; PIECE_BYTES]);
    for _ in 0..BODY_BYTES / PIECE_BYTES {
        piece = match piece {
            Some(piece) => send(stream, piece).await,
            None => break,
        };
        // The other side answers early to a body that it refuses.
        pause(0).await;
    }
    is_sent &= piece.is_some();
    if is_sent && is_chunked {
        send(stream, b"\r\n0\r\n\r\n".to_vec()).await;
    }
    read(stream).await
}

async fn upload_at_once(address: SocketAddr, is_chunked: bool) -> (Vec<TcpStream>, Vec<String>) {
    let uploads = (0..UPLOADS).map(|_| async move {
        let mut stream = TcpStream::connect_addr(address).await.unwrap();
        let answer = upload(&mut stream, is_chunked).await;
        (stream, answer)
    });
    join_all(uploads).await.into_iter().unzip()
}

/// Guards against a node that is killed for its memory, with all that it has passed on, because
/// many callers send large bodies at once.
#[test]
fn bodies_in_flight_are_bounded_in_memory() {
    run(async {
        let options = ServerOptions { max_body: BODY_BYTES, ..ServerOptions::default() };
        let largest = Rc::new(Cell::new(0));
        let seen = largest.clone();
        let (server, _handler) = serve(options, move |request| {
            seen.set(seen.get().max(request.body.len()));
            reply_after(300, "ok")
        });
        let before = memory("VmRSS");

        let mut open = Vec::new();
        for is_chunked in [false, true, true, true, false] {
            let (streams, answers) = upload_at_once(server.address(), is_chunked).await;
            // Connections that stay open must not keep room for their last body.
            open.extend(streams);
            let growth = memory("VmHWM") - before;
            let count = |status: &str| {
                let prefix = format!("HTTP/1.1 {status} ");
                answers.iter().filter(|answer| answer.starts_with(&prefix)).count()
            };
            let (served, refused) = (count("200"), count("503"));
            println!(
                "chunked: {is_chunked}, served: {served}, refused: {refused}, growth: {growth} MiB"
            );

            assert!(growth <= MAX_GROWTH, "grew by {growth} MiB");
            assert!(served > 0, "{answers:?}");
            assert_eq!(served + refused, UPLOADS, "{answers:?}");
            let refusals = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 503 "));
            for refusal in refusals {
                assert!(refusal.contains("retry-after: "), "{refusal}");
                assert!(refusal.contains("\"not_run\":true"), "{refusal}");
            }
        }
        assert_eq!(largest.get(), BODY_BYTES);
    });
}
