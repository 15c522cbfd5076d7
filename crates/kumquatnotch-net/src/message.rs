//! Whole HTTP messages, as handlers and clients see them.

use std::str::FromStr;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use kumquatnotch_core::{Error, Result};
use serde::{Serialize, de::DeserializeOwned};

/// The header with the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The header with the number of a request, which its reply repeats.
///
/// A reply with another number belongs to another request: the connection has
/// got out of step and is closed instead of handing one caller's answer to the next.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The content type of JSON.
pub const JSON: &str = "application/json";
/// The content type of plain text.
pub const TEXT: &str = "text/plain; charset=utf-8";

/// A request with its whole body.
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
    /// Whether it is the first one on its connection.
    pub is_first: bool,
}

impl Request {
    /// A request without body.
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

    /// A `POST` of a body.
    pub fn post(target: &str, content_type: &'static str, body: impl Into<Bytes>) -> Request {
        let mut request = Request::new(Method::POST, target);
        request.headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        request.body = body.into();
        request
    }

    /// A `GET`.
    pub fn get(target: &str) -> Request {
        Request::new(Method::GET, target)
    }

    /// With a header more.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Request {
        // Values here are numbers and digests, which are always legal.
        if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }

    /// A field of the query, as it was written.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// The key that the caller presents.
    pub fn bearer(&self) -> Option<&str> {
        let value = self.headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    }

    /// The body, read as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(Error::bad_request)
    }

    /// The path and the query together.
    pub fn target(&self) -> String {
        if self.query.is_empty() {
            return self.path.clone();
        }
        format!("{}?{}", self.path, self.query)
    }
}

/// A reply with its whole body.
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
    /// A reply with a body.
    pub fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Reply { status, headers, body: body.into() }
    }

    /// A reply in JSON.
    pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
        match serde_json::to_vec(value) {
            Ok(body) => Reply::new(status, JSON, body),
            Err(error) => Reply::error(&Error::internal(error)),
        }
    }

    /// A reply in plain text.
    pub fn text(status: StatusCode, text: impl Into<String>) -> Reply {
        Reply::new(status, TEXT, text.into())
    }

    /// The reply that tells of `error`.
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

    /// A header, read as `T`.
    pub fn header<T: FromStr>(&self, name: &str) -> Option<T> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }

    /// The body, read as JSON.
    pub fn read_json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(Error::protocol)
    }
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
