//! Requests that are skipped behind stored ones: counted in any split, and followed by requests that are parsed.

use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::requests::{RequestParser, RequestProgress, RequestSkipper, SkipEnd};
use pinetrestle_protocol::MAX_BODY_BYTES;

const WITHOUT_BODY: &str = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const WITH_BODY: &str = "\r\nPOST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &str =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n";
const CLOSING: &str = "POST /a HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx";

/// Returns a parser that stores a complete request, and behind it `stored`.
fn parser_with(stored: &str) -> RequestParser {
    let mut parser = RequestParser::default();
    parser.feed(format!("{WITHOUT_BODY}{stored}").as_bytes());
    assert_eq!(parser.parse(), Ok(RequestProgress::Complete));
    parser
}

/// Takes all complete requests, two at once, and returns their number.
fn count(skipper: &mut RequestSkipper) -> usize {
    std::iter::from_fn(|| Some(skipper.take_requests(2)).filter(|taken| *taken > 0)).sum()
}

/// Guards against requests that are lost or counted twice where the skipping begins or reads end.
#[test]
fn each_request_is_either_parsed_or_counted_wherever_the_skipping_begins() {
    let further = [WITHOUT_BODY, WITH_BODY, CHUNKED, WITHOUT_BODY, CHUNKED, WITH_BODY].concat();
    for stored_bytes in 0..=further.len() {
        for read_bytes in [1, 7, further.len()] {
            let (stored, skipped) = further.split_at(stored_bytes);
            let mut parser = parser_with(stored);
            let mut skipper = parser.skip_further_requests();
            skipped.as_bytes().chunks(read_bytes).for_each(|bytes| skipper.skip(bytes));
            let mut parsed = 0;
            parser.finish_request();
            while parser.parse() == Ok(RequestProgress::Complete) {
                parser.finish_request();
                parsed += 1;
            }
            assert!(parser.is_empty(), "{stored_bytes}, {read_bytes}");
            assert_eq!(parsed + count(&mut skipper), 6, "{stored_bytes}, {read_bytes}");
            assert_eq!((skipper.end(), skipper.is_within_body()), (None, false));
        }
    }
}

#[test]
fn a_head_that_is_not_complete_is_handed_back() {
    let mut parser = parser_with("GET /b HT");
    let mut skipper = parser.skip_further_requests();
    skipper.skip(b"TP/1.1\r\nHo");
    parser.finish_request();
    assert!(parser.is_empty());
    parser.feed(&skipper.into_partial_head());
    parser.feed(b"st: b\r\n\r\n");
    assert_eq!(parser.parse(), Ok(RequestProgress::Complete));
    assert_eq!(parser.request().expect("a request").path(), "/b");
}

#[test]
fn a_body_that_is_not_complete_is_known() {
    let mut skipper = parser_with("").skip_further_requests();
    skipper.skip(b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel");
    assert!(skipper.is_within_body() && skipper.requests() == 0);
    skipper.skip(b"lo");
    assert!(!skipper.is_within_body() && skipper.requests() == 1);
}

#[test]
fn nothing_is_counted_after_the_end() {
    let too_long = format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1);
    let long_head = format!("GET /a HTTP/1.1\r\nA: {}", "a".repeat(5000));
    for (last, requests, end) in [
        (CLOSING, 2, SkipEnd::Close),
        ("no request\r\n\r\n", 1, SkipEnd::Malformed(HttpError::BadStartLine)),
        (&too_long, 1, SkipEnd::Malformed(HttpError::BodyTooLong)),
        (&long_head, 1, SkipEnd::Malformed(HttpError::HeadTooLong)),
        ("GET /a HTTP/1.0\r\n\r\n", 2, SkipEnd::Close),
    ] {
        let mut skipper = parser_with("").skip_further_requests();
        skipper.skip(format!("{WITH_BODY}{last}").as_bytes());
        skipper.skip(WITHOUT_BODY.repeat(3).as_bytes());
        assert_eq!((skipper.requests(), skipper.end()), (requests, Some(end)), "{last}");
        // The same end among the stored bytes is left to the parser, and nothing behind it is counted.
        let mut parser = parser_with(last);
        let mut skipper = parser.skip_further_requests();
        skipper.skip(WITHOUT_BODY.repeat(3).as_bytes());
        assert_eq!(skipper.requests(), 0, "{last}");
        assert_eq!(parser.buffered_after_request(), last.len(), "{last}");
    }
}
