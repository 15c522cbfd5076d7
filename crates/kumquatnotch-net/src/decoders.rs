//! Decoders that reject what is no message as soon as that is certain.
//!
//! The decoders of `monoio-http` look at a head only when it is complete, and scan the line before
//! a chunk from its start after each read. A sender of other bytes would hold the reader until its
//! byte budget or its deadline is used up.

use std::io;

use bytes::BytesMut;
use http::StatusCode;
use monoio_codec::{Decoded, Decoder};
use monoio_http::{
    common::error::HttpError,
    h1::codec::decoder::{
        ChunkedBodyDecoder, DecodeError, DirectHeadDecoder, DirectWrapper, GenericHeadDecoder,
        RequestHeadDecoder,
    },
};

/// Maximum size of the head of a message, in bytes.
pub(crate) const HEAD_LIMIT: usize = 32 << 10;

/// Maximum size of the line before a chunk, in bytes.
const CHUNK_LINE_LIMIT: usize = 256;

/// Highest status of a reply (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// Start of each reply.
const REPLY_START: &[u8] = b"HTTP/1.";

/// End of each head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Decodes the heads of requests.
#[derive(Default)]
pub(crate) struct RequestHeads(GenericHeadDecoder<(), RequestHeadDecoder, DirectWrapper>);

/// Decodes the heads of replies.
#[derive(Default)]
pub(crate) struct ResponseHeads(DirectHeadDecoder);

impl Decoder for RequestHeads {
    type Item = <GenericHeadDecoder<(), RequestHeadDecoder, DirectWrapper> as Decoder>::Item;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, HttpError> {
        check_head(src)?;
        self.0.decode(src)
    }
}

impl Decoder for ResponseHeads {
    type Item = <DirectHeadDecoder as Decoder>::Item;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, HttpError> {
        let text = src.trim_ascii_start();
        let count = text.len().min(REPLY_START.len());
        if text[..count] != REPLY_START[..count] {
            return Err(DecodeError::Header.into());
        }
        check_head(src)?;
        let decoded = self.0.decode(src)?;
        match &decoded {
            Decoded::Some((head, _)) if !is_expected(head.status) => {
                Err(DecodeError::Header.into())
            }
            _ => Ok(decoded),
        }
    }
}

/// Whether a reply may have this status. No request asks for another protocol.
fn is_expected(status: StatusCode) -> bool {
    status.as_u16() <= MAX_STATUS && status != StatusCode::SWITCHING_PROTOCOLS
}

/// Error of a read beyond the size limit.
pub(crate) fn too_long() -> io::Error {
    io::ErrorKind::FileTooLarge.into()
}

/// Rejects a head beyond the limit, also one that has arrived whole in a large buffer, and one with a
/// line that does not end in a carriage return and a line feed.
///
/// The decoders take a line feed alone for the end of a line, and two for the end of the head, but
/// remove what they have decoded up to the next [`HEAD_END`]: the start of the body is lost.
fn check_head(src: &[u8]) -> Result<(), HttpError> {
    let limited = &src[..src.len().min(HEAD_LIMIT)];
    let end = limited.windows(HEAD_END.len()).position(|window| window == HEAD_END);
    if end.is_none() && src.len() >= HEAD_LIMIT {
        return Err(DecodeError::Io(too_long()).into());
    }
    let head = &limited[..end.unwrap_or(limited.len())];
    let mut previous = None;
    for byte in head {
        if *byte == b'\n' && previous != Some(b'\r') {
            return Err(DecodeError::Header.into());
        }
        previous = Some(*byte);
    }
    Ok(())
}

/// Decodes the chunks of a body.
pub(crate) struct ChunkDecoder {
    chunks: ChunkedBodyDecoder,
    /// Whether the line before the current chunk has been read.
    in_chunk: bool,
}

impl ChunkDecoder {
    /// Creates a decoder for a body that has not been read yet.
    pub(crate) fn new(chunks: ChunkedBodyDecoder) -> ChunkDecoder {
        ChunkDecoder { chunks, in_chunk: false }
    }
}

impl Decoder for ChunkDecoder {
    type Item = <ChunkedBodyDecoder as Decoder>::Item;
    type Error = DecodeError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, DecodeError> {
        // The decoder takes a line without a size for that of the last chunk.
        if !self.in_chunk && src.first() == Some(&b'\r') {
            return Err(DecodeError::Chunked);
        }
        let length = src.len();
        let decoded = self.chunks.decode(src)?;
        // The line is removed as soon as it is complete.
        self.in_chunk = match decoded {
            Decoded::Some(_) => false,
            _ => self.in_chunk || src.len() < length,
        };
        if !self.in_chunk && matches!(decoded, Decoded::Insufficient) && length > CHUNK_LINE_LIMIT {
            return Err(DecodeError::Chunked);
        }
        Ok(decoded)
    }
}
