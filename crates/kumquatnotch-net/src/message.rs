//! HTTP messages with complete bodies, as used by handlers and clients.

use std::{borrow::Cow, str::FromStr};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use kumquatnotch_core::{Error, Result};
use percent_encoding::{
    AsciiSet, NON_ALPHANUMERIC, PercentDecode, percent_decode_str, percent_encode,
};
use serde::{Serialize, de::DeserializeOwned};

/// Header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the id of a request, which the reply repeats.
///
/// A reply with a different id belongs to another request. The connection is then out of sync
/// and is closed, so that no caller receives the answer to another caller's request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Content type of JSON.
pub const JSON: &str = "application/json";
/// Content type of plain text.
pub const TEXT: &str = "text/plain; charset=utf-8";

/// Bytes that are encoded in a parameter of a query.
///
/// All but those that are never delimiters (RFC 3986, section 2.3), and slashes, which have no
/// meaning there.
const ENCODED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/');

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether this is the first request on its connection.
    pub is_first: bool,
}

impl Request {
    /// Creates a request without a body.
    pub fn new(method: Method, target: &str) -> Request {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            is_first: false,
        }
    }

    /// Creates a `POST` request.
    pub fn post(target: &str, content_type: &'static str, body: impl Into<Bytes>) -> Request {
        let mut request = Request::new(Method::POST, target);
        request.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        request.body = body.into();
        request
    }

    /// Creates a `GET` request.
    pub fn get(target: &str) -> Request {
        Request::new(Method::GET, target)
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Request {
        // Values here are numbers and digests, which are always valid.
        if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// Adds a parameter to the query; its value is encoded and may consist of any bytes.
    pub fn with_param(mut self, name: &str, value: impl AsRef<[u8]>) -> Request {
        let separator = if self.query.is_empty() { "" } else { "&" };
        let value = percent_encode(value.as_ref(), ENCODED);
        self.query = format!("{}{separator}{name}={value}", self.query);
        self
    }

    /// Returns a parameter of the query, decoded.
    ///
    /// A plus sign is itself, not a blank.
    pub fn query_param(&self, name: &str) -> Option<Cow<'_, str>> {
        self.query_value(name).map(PercentDecode::decode_utf8_lossy)
    }

    /// Returns the bytes of a parameter of the query, decoded.
    pub fn query_bytes(&self, name: &str) -> Option<Cow<'_, [u8]>> {
        self.query_value(name).map(Cow::from)
    }

    fn query_value(&self, name: &str) -> Option<PercentDecode<'_>> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode_str(value))
    }

    /// Returns the bearer token, which is the key of the caller.
    pub fn bearer(&self) -> Option<&str> {
        let value = self.headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(Error::bad_request)
    }

    /// Returns the request target: the path and the query.
    pub fn target(&self) -> String {
        if self.query.is_empty() {
            return self.path.clone();
        }
        format!("{}?{}", self.path, self.query)
    }
}

/// A reply with its complete body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Creates a reply with a body.
    pub fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Reply { status, headers, body: body.into() }
    }

    /// Creates a JSON reply.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
        match serde_json::to_vec(value) {
            Ok(body) => Reply::new(status, JSON, body),
            Err(error) => Reply::error(&Error::internal(error)),
        }
    }

    /// Creates a plain text reply.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Reply {
        Reply::new(status, TEXT, text.into())
    }

    /// Creates the reply that reports `error`.
    pub fn error(error: &Error) -> Reply {
        let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let retry = error.retry_after();
        let body = ErrorBody {
            error: ErrorDetail {
                code: error.code(),
                message: error.to_string(),
                not_run: error.is_not_run(),
                retry_after_ms: retry.map(|retry| retry.as_millis() as u64),
            },
        };
        let mut reply = Reply::json(status, &body);
        if let Some(retry) = retry {
            let seconds = retry.as_millis().div_ceil(1_000) as u64;
            reply.headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        reply
    }

    /// Returns a header, parsed as `T`.
    pub fn header<T: FromStr>(&self, name: &str) -> Option<T> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }

    /// Parses the body as JSON.
    pub fn read_json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(Error::protocol)
    }
}

/// Returns the value of a header for the log, where bytes that are no text are replaced.
pub fn log_text(value: &HeaderValue) -> Cow<'_, str> {
    String::from_utf8_lossy(value.as_bytes())
}

/// Whether a reply has no body, whatever its headers say (RFC 9112, section 6.3).
pub(crate) fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    method == Method::HEAD || bodiless.contains(&status)
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    code: u16,
    message: String,
    not_run: bool,
    retry_after_ms: Option<u64>,
}
