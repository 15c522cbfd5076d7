//! Parameters in the targets of requests.

use http::Method;
use kumquatnotch_net::message::Request;
use yare::parameterized;

/// Guards against a value that ends its parameter, or is another one after decoding.
#[test]
fn value_of_any_bytes_is_read_as_it_was_set() {
    let bytes: Vec<u8> = (0..=255).collect();
    let request = Request::get("/x").with_param("one", "1&two=0#?").with_param("two", &bytes);

    let target = request.target();
    let received = Request::new(Method::GET, &target);

    assert!(target.parse::<http::Uri>().is_ok(), "{target}");
    assert_eq!(received.query_param("one").as_deref(), Some("1&two=0#?"));
    assert_eq!(received.query_bytes("two").as_deref(), Some(&bytes[..]));
}

#[parameterized(
    plain = { "a-b.c_d~e/f", "a-b.c_d~e/f" },
    blank = { "a b", "a%20b" },
    plus = { "a+b", "a%2Bb" },
    percent = { "%7E", "%257E" },
    accents = { "\u{e4}", "%C3%A4" },
)]
fn value_is_encoded_where_it_needs_to_be(value: &str, encoded: &str) {
    let request = Request::get("/x").with_param("one", value);

    assert_eq!(request.target(), format!("/x?one={encoded}"));
}

/// Guards against a value that other programs encode in another way.
#[parameterized(
    plus = { "one=a+b", Some("a+b") },
    lower_case = { "one=%c3%a4", Some("\u{e4}") },
    needlessly = { "one=%61", Some("a") },
    cut_short = { "one=a%2", Some("a%2") },
    no_text = { "one=%FF", Some("\u{fffd}") },
    empty = { "one=", Some("") },
    second = { "two=1&one=2&one=3", Some("2") },
    without_value = { "one", None },
    encoded_separator = { "two=1%26one=2", None },
)]
fn value_is_decoded(query: &str, value: Option<&str>) {
    let request = Request::get(&format!("/x?{query}"));

    assert_eq!(request.query_param("one").as_deref(), value);
}
