//! Replies that are no HTTP/1.1 messages, or none that can answer a request.
//!
//! Each is made of a sound reply: if its fault is overlooked, it is taken for that one, or for one
//! with other headers or another body.

use std::time::Duration;

use crate::scripted::Step;

/// Pause between two bytes that arrive one by one.
const BYTE_PAUSE: Duration = Duration::from_micros(200);

/// How the bytes of a reply arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// All at once.
    Whole,
    /// One by one.
    Bytewise,
}

/// A malformed reply.
#[derive(Clone, Copy, Debug)]
pub struct Malformed {
    /// What is wrong with it.
    pub name: &'static str,
    /// Its text, as [`fill`] takes it.
    text: &'static [u8],
}

impl Malformed {
    /// Returns the steps that send it, made of a sound reply with these headers and this body, and
    /// close the connection.
    pub fn steps(&self, headers: &[(&str, &str)], body: &[u8], pace: Pace) -> Vec<Step> {
        send_and_close(fill(self.text, headers, body), pace)
    }
}

/// Returns a reply with its headers in the place of `{head}`, its body in that of `{body}`, and the
/// length of that in the place of `{length}` and `{hex}`.
pub fn fill(text: &[u8], headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let lines: Vec<String> =
        headers.iter().map(|(name, value)| format!("{name}: {value}")).collect();
    let mut bytes = text.to_vec();
    replace(&mut bytes, b"{head}", lines.join("\r\n").as_bytes());
    replace(&mut bytes, b"{length}", body.len().to_string().as_bytes());
    replace(&mut bytes, b"{hex}", format!("{:x}", body.len()).as_bytes());
    replace(&mut bytes, b"{body}", body);
    bytes
}

/// Returns the steps that send `bytes` and close the connection.
pub fn send_and_close(bytes: Vec<u8>, pace: Pace) -> Vec<Step> {
    let mut steps = match pace {
        Pace::Whole => vec![Step::Send(bytes)],
        Pace::Bytewise => {
            let single = bytes.into_iter();
            single.flat_map(|byte| [Step::Send(vec![byte]), Step::Wait(BYTE_PAUSE)]).collect()
        }
    };
    steps.push(Step::Close);
    steps
}

fn replace(bytes: &mut Vec<u8>, token: &[u8], value: &[u8]) {
    if let Some(at) = bytes.windows(token.len()).position(|window| window == token) {
        bytes.splice(at..at + token.len(), value.iter().copied());
    }
}

/// Declares replies by their name and text.
macro_rules! malformed {
    ($($name:ident: $text:expr,)*) => {
        &[$(Malformed { name: stringify!($name), text: $text },)*]
    };
}

/// Replies whose status is none, or not one that answers a request.
pub const STATUSES: &[Malformed] = malformed! {
    no_message: b"\x16\x03\x01 no reply\r\n\r\n",
    status_000: b"HTTP/1.1 000 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_001: b"HTTP/1.1 001 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_099: b"HTTP/1.1 099 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_600: b"HTTP/1.1 600 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_700: b"HTTP/1.1 700 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_999: b"HTTP/1.1 999 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_600_in_chunks:
        b"HTTP/1.1 600 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n",
    status_600_to_the_end: b"HTTP/1.1 600 X\r\n{head}\r\n\r\n{body}",
    status_600_after_interim:
        b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 600 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_600_before_another:
        b"HTTP/1.1 600 X\r\n\r\nHTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_101: b"HTTP/1.1 101 X\r\n{head}\r\n\r\n{body}",
    status_101_before_another:
        b"HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_of_four_digits: b"HTTP/1.1 2000 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_of_two_digits: b"HTTP/1.1 20 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_of_letters: b"HTTP/1.1 OK X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    negative_status: b"HTTP/1.1 -20 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    status_with_a_sign: b"HTTP/1.1 +200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    no_status: b"HTTP/1.1 \r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    no_space_before_status: b"HTTP/1.1200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    two_spaces_before_status: b"HTTP/1.1  200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    tab_before_status: b"HTTP/1.1\t200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    text_after_status: b"HTTP/1.1 200X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    another_version: b"HTTP/1.2 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    another_protocol: b"HTTQ/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    lower_case_protocol: b"http/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    zero_in_reason: b"HTTP/1.1 200 X\0\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    control_in_reason: b"HTTP/1.1 200 X\x07\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    return_in_reason: b"HTTP/1.1 200 X\rY\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
};

/// Replies with a field whose name or value is none.
pub const FIELDS: &[Malformed] = malformed! {
    blank_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nbad name: x\r\ncontent-length: {length}\r\n\r\n{body}",
    blank_after_name: b"HTTP/1.1 200 X\r\n{head}\r\nname : x\r\ncontent-length: {length}\r\n\r\n{body}",
    blank_after_length: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length : {length}\r\n\r\n{body}",
    blank_before_name: b"HTTP/1.1 200 X\r\n{head}\r\n name: x\r\ncontent-length: {length}\r\n\r\n{body}",
    blank_before_first_name:
        b"HTTP/1.1 200 X\r\n name: x\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    tab_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nbad\tname: x\r\ncontent-length: {length}\r\n\r\n{body}",
    tab_after_name: b"HTTP/1.1 200 X\r\n{head}\r\nname\t: x\r\ncontent-length: {length}\r\n\r\n{body}",
    zero_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nna\0me: x\r\ncontent-length: {length}\r\n\r\n{body}",
    control_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nna\x01me: x\r\ncontent-length: {length}\r\n\r\n{body}",
    escape_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nna\x1bme: x\r\ncontent-length: {length}\r\n\r\n{body}",
    delete_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nna\x7fme: x\r\ncontent-length: {length}\r\n\r\n{body}",
    return_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nna\rme: x\r\ncontent-length: {length}\r\n\r\n{body}",
    control_in_length:
        b"HTTP/1.1 200 X\r\n{head}\r\ncontent\x01-length: 1\r\ncontent-length: {length}\r\n\r\n{body}",
    accents_in_name:
        b"HTTP/1.1 200 X\r\n{head}\r\nn\xc3\xa4me: x\r\ncontent-length: {length}\r\n\r\n{body}",
    separator_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nna(me: x\r\ncontent-length: {length}\r\n\r\n{body}",
    quote_in_name: b"HTTP/1.1 200 X\r\n{head}\r\nna\"me: x\r\ncontent-length: {length}\r\n\r\n{body}",
    empty_name: b"HTTP/1.1 200 X\r\n{head}\r\n: x\r\ncontent-length: {length}\r\n\r\n{body}",
    no_colon: b"HTTP/1.1 200 X\r\n{head}\r\nname\r\ncontent-length: {length}\r\n\r\n{body}",
    folded_value: b"HTTP/1.1 200 X\r\n{head}\r\nname: x\r\n y\r\ncontent-length: {length}\r\n\r\n{body}",
    zero_in_value: b"HTTP/1.1 200 X\r\n{head}\r\nname: x\0y\r\ncontent-length: {length}\r\n\r\n{body}",
    control_in_value: b"HTTP/1.1 200 X\r\n{head}\r\nname: \x01\r\ncontent-length: {length}\r\n\r\n{body}",
    delete_in_value: b"HTTP/1.1 200 X\r\n{head}\r\nname: \x7f\r\ncontent-length: {length}\r\n\r\n{body}",
    return_in_value: b"HTTP/1.1 200 X\r\n{head}\r\nname: x\ry\r\ncontent-length: {length}\r\n\r\n{body}",
    name_after_interim:
        b"HTTP/1.1 103 X\r\nbad name: x\r\n\r\nHTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
};

/// Replies whose head ends at another place for another reader.
pub const LINE_ENDS: &[Malformed] = malformed! {
    feeds_end_the_head:
        b"HTTP/1.1 200 X\r\ncontent-length: {length}\r\n{head}\n\nOTHER\r\n\r\n{body}",
    feed_ends_the_head:
        b"HTTP/1.1 200 X\r\ncontent-length: {length}\r\n{head}\r\n\nOTHER\r\n\r\n{body}",
    feed_and_line_end_the_head:
        b"HTTP/1.1 200 X\r\ncontent-length: {length}\r\n{head}\n\r\nOTHER\r\n\r\n{body}",
    feeds_end_the_head_before_another:
        b"HTTP/1.1 200 X\r\ncontent-length: {length}\n\nHTTP/1.1 200 X\r\n{head}\r\n\r\n{body}",
    feed_ends_the_status_line:
        b"HTTP/1.1 200 X\n{head}\r\ncontent-length: {length}\r\n\r\n{body}",
    feed_ends_a_field: b"HTTP/1.1 200 X\r\n{head}\ncontent-length: {length}\r\n\r\n{body}",
    feed_in_a_value:
        b"HTTP/1.1 200 X\r\n{head}\r\nname: x\nother: y\r\ncontent-length: {length}\r\n\r\n{body}",
    only_feeds: b"HTTP/1.1 200 X\ncontent-length: {length}\n{head}\n\n{body}",
    only_returns: b"HTTP/1.1 200 X\rcontent-length: {length}\r{head}\r\r{body}",
};

/// Replies whose length is none, or not the only one.
pub const LENGTHS: &[Malformed] = malformed! {
    two_lengths:
        b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\ncontent-length: 1\r\n\r\n{body}",
    length_twice:
        b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\ncontent-length: {length}\r\n\r\n{body}",
    list_of_lengths: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}, 7\r\n\r\n{body}",
    length_and_chunks: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}\r\n\
        transfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n",
    empty_length: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length:\r\n\r\n{body}",
    negative_length: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: -{length}\r\n\r\n{body}",
    length_with_a_sign: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: +{length}\r\n\r\n{body}",
    length_in_hex: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: 0x{hex}\r\n\r\n{body}",
    length_with_text: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}B\r\n\r\n{body}",
    length_with_point: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: {length}.0\r\n\r\n{body}",
    length_beyond_64_bits:
        b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: 18446744073709551616\r\n\r\n{body}",
    length_beyond_the_body: b"HTTP/1.1 200 X\r\n{head}\r\ncontent-length: 9{length}\r\n\r\n{body}",
    coding_twice: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\
        transfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r\n",
    list_of_codings: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked, chunked\r\n\r\n\
        {hex}\r\n{body}\r\n0\r\n\r\n",
    unknown_coding: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: x\r\n\r\n{body}",
    empty_coding: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding:\r\n\r\n{body}",
};

/// Replies in chunks of which one is none.
pub const CHUNKS: &[Malformed] = malformed! {
    no_size: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n{body}",
    no_last_size:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n\r\n\r\n",
    no_last_chunk:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n",
    no_end: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n",
    half_an_end:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\n\r",
    text_at_the_end:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\r\n0\r\nxx",
    size_of_letters:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n{body}\r\n0\r\n\r\n",
    size_with_a_sign:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n+{hex}\r\n{body}\r\n0\r\n\r\n",
    negative_size:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n-{hex}\r\n{body}\r\n0\r\n\r\n",
    size_in_hex:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n0x{hex}\r\n{body}\r\n0\r\n\r\n",
    size_beyond_64_bits: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n\
        10000000000000000\r\n{body}\r\n0\r\n\r\n",
    size_beyond_all_limits: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n\
        10000000000000{hex}\r\n{body}\r\n0\r\n\r\n",
    size_below_the_data: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n\
        1\r\n{body}\r\n0\r\n\r\n",
    size_beyond_the_data: b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n\
        1{hex}\r\n{body}\r\n0\r\n\r\n",
    feed_after_size:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\n{body}\r\n0\r\n\r\n",
    feed_after_data:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}\n0\r\n\r\n",
    nothing_after_data:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\r\n{body}0\r\n\r\n",
    zero_after_size:
        b"HTTP/1.1 200 X\r\n{head}\r\ntransfer-encoding: chunked\r\n\r\n{hex}\0\r\n{body}\r\n0\r\n\r\n",
};

/// Returns all malformed replies.
pub fn all() -> impl Iterator<Item = &'static Malformed> + Clone {
    [STATUSES, FIELDS, LINE_ENDS, LENGTHS, CHUNKS].into_iter().flatten()
}
