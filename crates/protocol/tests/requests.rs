//! Tests of the HTTP request parser: any split of the bytes into reads gives the same requests or the same
//! error.

mod common;

use common::{byte_splits, RandomNumbers};
use pinetrestle_protocol::head::HttpError;
use pinetrestle_protocol::requests::{
    response_head, AmbiguousField, RequestParser, RequestProgress, RESERVED_READ_AHEAD_BYTES,
    UNRESERVED_BYTES, UNRESERVED_READ_AHEAD_BYTES,
};
use pinetrestle_protocol::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// An owned copy of the contents of a request.
#[derive(Debug, PartialEq)]
struct ParsedRequest {
    method: String,
    path: String,
    expires: Option<String>,
    body: Vec<u8>,
    keeps_alive: bool,
}

fn read(pieces: &[Vec<u8>]) -> (Vec<ParsedRequest>, Result<RequestProgress, HttpError>) {
    let mut requests = RequestParser::default();
    let mut parsed = Vec::new();
    let mut last = Ok(RequestProgress::Idle);
    for piece in pieces {
        requests.feed(piece);
        loop {
            last = requests.parse();
            match last {
                Ok(RequestProgress::Complete) => {}
                Ok(_) => break,
                Err(_) => return (parsed, last),
            }
            let request = requests.request().expect("a complete request");
            parsed.push(ParsedRequest {
                method: request.method().to_owned(),
                path: request.path().to_owned(),
                expires: request.field("X-Expires-In-Ms").expect("clear").map(str::to_owned),
                body: request.body.to_vec(),
                keeps_alive: request.keeps_alive(),
            });
            requests.finish_request();
        }
    }
    (parsed, last)
}

/// Parses many splits of `bytes` and asserts that the result does not depend on the split.
fn read_in_many_splits(bytes: &[u8]) -> (Vec<ParsedRequest>, Result<RequestProgress, HttpError>) {
    let mut splits = byte_splits(bytes).into_iter();
    let first = read(&splits.next().expect("the unsplit bytes"));
    for split in splits {
        assert_eq!(read(&split), first, "for the pieces {split:?}");
    }
    first
}

/// Parses `bytes`, asserts that they contain no valid request, and returns the error.
fn error(bytes: &[u8]) -> HttpError {
    let (parsed, end) = read_in_many_splits(bytes);
    assert_eq!(parsed, Vec::new());
    end.expect_err("invalid input gives an error")
}

#[test]
fn pipelined_requests_of_every_framing_are_parsed() {
    let bytes = b"POST /checkout HTTP/1.1\r\nHost: app.svc\r\nx-eXPIRES-in-ms:  480 \r\nContent-Length: 5\r\n\r\n\
        {\"a\"}\r\nPOST /b?x=1 HTTP/1.1\r\nTransfer-Encoding: CHUNKED\r\n\r\n3;note=1\r\nabc\r\n0a\r\n0123456789\r\n\
        0\r\nTrailer: yes\r\n\r\nGET /stats HTTP/1.1\r\nConnection: x, Close\r\n\r\nGET / HTTP/1.0\r\n\r\n";
    let (parsed, end) = read_in_many_splits(bytes);
    assert_eq!(end, Ok(RequestProgress::Idle));
    assert_eq!(parsed.len(), 4);
    assert_eq!(parsed[0].method, "POST");
    assert_eq!(parsed[0].path, "/checkout");
    assert_eq!(
        parsed[0].expires.as_deref(),
        Some("480"),
        "field names are case-insensitive, and white space around values is removed"
    );
    assert_eq!(parsed[0].body, b"{\"a\"}");
    assert!(parsed[0].keeps_alive);
    assert_eq!((parsed[1].path.as_str(), &parsed[1].body[..]), ("/b", &b"abc0123456789"[..]));
    assert!(!parsed[2].keeps_alive, "the client sent Connection: close");
    assert!(!parsed[3].keeps_alive, "HTTP/1.0 connections do not persist by default");
}

#[test]
fn incomplete_requests_stay_partial() {
    for bytes in
        [&b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc"[..], b"GET / HTTP/1.1\r\nA: b\r\n", b"G"]
    {
        let (parsed, end) = read_in_many_splits(bytes);
        assert_eq!((parsed, end), (Vec::new(), Ok(RequestProgress::Partial)));
    }
}

#[test]
fn malformed_heads_give_typed_errors() {
    let cases: [(&[u8], HttpError); 24] = [
        (b"\x16\x03\x01\x02\x00\r\n\r\n", HttpError::BadStartLine),
        (b"GET\r\n\r\n", HttpError::BadStartLine),
        (b"get / HTTP/1.1\r\n\r\n", HttpError::BadStartLine),
        (b"GET / SPDY/3\r\n\r\n", HttpError::BadStartLine),
        (b"GET / HTTP/2.0\r\n\r\n", HttpError::BadVersion),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", HttpError::BadHeaderField),
        (b"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", HttpError::BadHeaderField),
        (b"GET / HTTP/1.1\r\nA : b\r\n\r\n", HttpError::BadHeaderField),
        (b"GET / HTTP/1.1\r\nA: b\x00c\r\n\r\n", HttpError::BadHeaderField),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", HttpError::BadContentLength),
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", HttpError::BadContentLength),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            HttpError::BadContentLength,
        ),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", HttpError::BadTransferCoding),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", HttpError::BadChunkedCoding),
        // Request smuggling: framing that another recipient may interpret differently.
        (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", HttpError::BadContentLength),
        (
            b"POST / HTTP/1.1\r\ntransfer-encoding: Chunked\r\ncontent-length: 0\r\n\r\n",
            HttpError::BadContentLength,
        ),
        (b"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", HttpError::BadContentLength),
        (b"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", HttpError::BadContentLength),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n", HttpError::BadTransferCoding),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n", HttpError::BadHeaderField),
        (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", HttpError::BadTransferCoding),
        (b"POST / HTTP/1.1\r\nA: b\nTransfer-Encoding: chunked\r\n\r\n", HttpError::BadHeaderField),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n 3\r\nabc\r\n", HttpError::BadChunkedCoding),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a\rb\r\nabc\r\n",
            HttpError::BadChunkedCoding,
        ),
    ];
    for (bytes, expected) in cases {
        assert_eq!(error(bytes), expected, "for {:?}", String::from_utf8_lossy(bytes));
        assert!((400..=505).contains(&expected.status()));
    }
}

#[test]
fn head_and_body_lengths_are_bounded() {
    let long_target = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(read(&[long_target.into_bytes()]).1, Err(HttpError::HeadTooLong));
    let unterminated = vec![b'a'; MAX_HEAD_BYTES + 1];
    assert_eq!(read(&[unterminated]).1, Err(HttpError::HeadTooLong));
    let too_many_fields = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(101));
    assert_eq!(read(&[too_many_fields.into_bytes()]).1, Err(HttpError::HeadTooLong));
    for length in [(MAX_BODY_BYTES + 1).to_string(), "9".repeat(40)] {
        let head = format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        assert_eq!(
            read(&[head.into_bytes()]).1,
            Err(HttpError::BodyTooLong),
            "the error is returned before the body is received"
        );
    }
    let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
    let chunked = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk.repeat(17));
    assert_eq!(read(&[chunked.into_bytes()]).1, Err(HttpError::BodyTooLong));
    let longest =
        format!("POST / HTTP/1.1\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n{}", "y".repeat(MAX_BODY_BYTES));
    let (parsed, end) = read(&[longest.into_bytes()]);
    assert_eq!((parsed[0].body.len(), end), (MAX_BODY_BYTES, Ok(RequestProgress::Idle)));
}

#[test]
fn pipelining_client_gets_backpressure() {
    let mut requests = RequestParser::default();
    assert!(requests.read_limit(UNRESERVED_READ_AHEAD_BYTES) > 0);
    while requests.read_limit(UNRESERVED_READ_AHEAD_BYTES) > 0 {
        requests.feed(&[b'a'; 4096]);
    }
    assert_eq!(requests.parse(), Err(HttpError::HeadTooLong));
}

#[test]
fn mutated_requests_never_panic_in_any_split() {
    let seeds: [&[u8]; 2] = [
        b"POST /q HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
        b"POST /q HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n",
    ];
    let mut numbers = RandomNumbers(7);
    let mut errors = 0;
    for round in 0..400 {
        let mut bytes = seeds[round % 2].to_vec();
        for _ in 0..1 + numbers.below(3) {
            let at = numbers.below(bytes.len());
            bytes[at] = numbers.below(256) as u8;
        }
        let unsplit = read(std::slice::from_ref(&bytes));
        let single: Vec<Vec<u8>> = bytes.chunks(1).map(<[u8]>::to_vec).collect();
        assert_eq!(read(&single), unsplit, "for {bytes:?}");
        errors += usize::from(unsplit.1.is_err());
    }
    assert!(errors > 50, "too few mutations made a request invalid: {errors}");
}

#[test]
fn response_head_contains_length_retry_after_and_connection() {
    let head = String::from_utf8(response_head(503, 12, Some(437_000), false)).expect("text");
    assert!(head.starts_with("HTTP/1.1 503 "));
    assert!(head.contains("Content-Length: 12\r\n") && head.contains("Retry-After: 0.437\r\n"));
    assert!(!head.contains("Connection") && head.ends_with("\r\n\r\n"));
    let head = String::from_utf8(response_head(200, 0, None, true)).expect("text");
    assert!(head.contains("Connection: close\r\n") && !head.contains("Retry-After"));
}

#[test]
fn repeated_or_non_utf8_field_is_ambiguous() {
    for head in ["X-Expires-In-Ms: 1\r\nx-expires-in-ms: 1", "X-Expires-In-Ms: \u{e9}"] {
        let mut requests = RequestParser::default();
        let mut bytes = format!("POST /q HTTP/1.1\r\n{head}\r\n\r\n").into_bytes();
        if let Some(at) = bytes.iter().position(|byte| *byte == 0xc3) {
            bytes.remove(at); // Leaves the second byte of a two-byte UTF-8 sequence.
        }
        requests.feed(&bytes);
        assert_eq!(requests.parse(), Ok(RequestProgress::Complete));
        let request = requests.request().expect("a complete request");
        assert_eq!(request.field("X-Expires-In-Ms"), Err(AmbiguousField));
        assert_eq!(request.field("X-Other"), Ok(None));
    }
}

/// Guards against a client that keeps a connection busy with empty lines: they are limited as the head is.
#[test]
fn empty_lines_before_a_request_count_toward_the_limit_of_the_head() {
    let mut parser = RequestParser::default();
    for _ in 0..2 {
        parser.feed(&b"\r\n".repeat(MAX_HEAD_BYTES / 2));
        assert_eq!(parser.parse(), Ok(RequestProgress::Idle));
        // A request in between starts the count again.
        parser.feed(b"GET / HTTP/1.1\r\n\r\n");
        assert_eq!(parser.parse(), Ok(RequestProgress::Complete));
        parser.finish_request();
    }
    parser.feed(&b"\r\n".repeat(MAX_HEAD_BYTES / 2));
    assert_eq!(parser.parse(), Ok(RequestProgress::Idle));
    parser.feed(b"\r\n");
    assert_eq!(parser.parse(), Err(HttpError::HeadTooLong));
}

/// Guards against a peer that sends chunk extensions without an end: they may not exceed the data by much.
#[test]
fn chunk_extensions_are_limited_beside_the_data() {
    let mut parser = RequestParser::default();
    parser.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    let extension = "x".repeat(200);
    // The data pays for the extension.
    for _ in 0..200 {
        parser.feed(format!("c8;{extension}\r\n{}\r\n", "a".repeat(200)).as_bytes());
        assert_eq!(parser.parse(), Ok(RequestProgress::Partial));
    }
    let chunks = (0..100).take_while(|_| {
        parser.feed(format!("1;{extension}\r\na\r\n").as_bytes());
        parser.parse().is_ok()
    });
    assert_eq!(chunks.count(), 80);
    assert_eq!(parser.parse(), Err(HttpError::BadChunkedCoding));
}

/// Guards against clients whose requests are stored without a reservation of the memory.
#[test]
fn only_long_requests_need_a_reservation() {
    let length = |bytes: usize| format!("Content-Length: {bytes}");
    for (field, body, expected) in [
        (length(0), 0, 0),
        (length(UNRESERVED_BYTES - 200), 100, 0),
        (length(MAX_BODY_BYTES), 100, 0),
        (length(MAX_BODY_BYTES), UNRESERVED_BYTES / 2, MAX_BODY_BYTES),
        ("Transfer-Encoding: chunked".to_owned(), 100, 0),
        ("Transfer-Encoding: chunked".to_owned(), 6000, MAX_BODY_BYTES),
    ] {
        let mut parser = RequestParser::default();
        let is_chunked = field.starts_with('T');
        parser.feed(format!("POST / HTTP/1.1\r\n{field}\r\n\r\n").as_bytes());
        if is_chunked {
            parser.feed(b"ffff\r\n");
        }
        parser.feed(&vec![b' '; body]);
        parser.parse().expect("a valid request");
        let head = if expected == 0 { 0..=0 } else { expected..=expected + 200 };
        assert!(head.contains(&parser.reservation()), "{field}, {body}: {}", parser.reservation());
        let may_store = body + parser.read_limit(UNRESERVED_READ_AHEAD_BYTES);
        assert!(
            expected > 0 || may_store <= UNRESERVED_BYTES,
            "{field}, {body}: {may_store} without a reservation"
        );
    }
    let mut parser = RequestParser::default();
    parser.feed(format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(UNRESERVED_BYTES)).as_bytes());
    assert_eq!(parser.parse(), Ok(RequestProgress::Partial));
    assert_eq!(parser.reservation(), MAX_HEAD_BYTES + MAX_BODY_BYTES);
}

#[test]
fn bytes_after_a_complete_request_are_limited_and_its_body_can_be_released() {
    let mut parser = RequestParser::default();
    let body = "b".repeat(MAX_BODY_BYTES);
    parser.feed(format!("POST / HTTP/1.1\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n{body}").as_bytes());
    assert_eq!(parser.parse(), Ok(RequestProgress::Complete));
    parser.release_body();
    parser.feed(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(parser.buffered_after_request(), 18);
    assert_eq!(parser.read_limit(UNRESERVED_READ_AHEAD_BYTES), UNRESERVED_READ_AHEAD_BYTES - 18);
    assert_eq!(parser.read_limit(RESERVED_READ_AHEAD_BYTES), RESERVED_READ_AHEAD_BYTES - 18);
    parser.finish_request();
    assert_eq!(parser.parse(), Ok(RequestProgress::Complete));
    assert_eq!(parser.request().expect("a request").method(), "GET");
}
