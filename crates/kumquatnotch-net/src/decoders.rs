//! Decoders that limit the size of heads.
//!
//! The decoders of `monoio-http` panic on a header name of more than 64 KB. The byte budget of a
//! reader does not prevent that: the read that uses it up may return as much as the buffer holds.

use bytes::BytesMut;
use monoio_codec::{Decoded, Decoder};
use monoio_http::{
    common::error::HttpError,
    h1::codec::decoder::{
        DecodeError, DirectHeadDecoder, DirectWrapper, GenericHeadDecoder, RequestHeadDecoder,
    },
};

/// Maximum size of the head of a message, in bytes.
pub(crate) const HEAD_LIMIT: usize = 32 << 10;

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
        check_length(src)?;
        self.0.decode(src)
    }
}

impl Decoder for ResponseHeads {
    type Item = <DirectHeadDecoder as Decoder>::Item;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, HttpError> {
        check_length(src)?;
        self.0.decode(src)
    }
}

/// Rejects a head beyond the limit, also one that has arrived whole in a large buffer.
fn check_length(src: &[u8]) -> Result<(), HttpError> {
    if src.len() < HEAD_LIMIT {
        return Ok(());
    }
    let mut ends = src[..HEAD_LIMIT].windows(HEAD_END.len());
    if ends.any(|window| window == HEAD_END) {
        return Ok(());
    }
    Err(DecodeError::Header.into())
}
