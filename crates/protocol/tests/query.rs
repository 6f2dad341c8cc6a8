//! Tests of the header values of queries, and of the bodies of queries and answers.

use pinetrestle_protocol::names::BodyKeys;
use pinetrestle_protocol::query::{
    encode_answer_body, parse_expiry, parse_idempotency_key, parse_query_body, parse_query_id, QueryError,
    RequestedPart,
};

#[test]
fn query_body_is_parsed_with_its_optional_fields() {
    let body = br#"{"slices":[{"slice":3,"mass":0.5,"micros":9000,"term":"00ff"},{"slice":9,"mass":0.5}],
        "filter":"c4\u00e9","more":1}"#;
    let query = parse_query_body(body, &BodyKeys::default(), 10).expect("a valid query");
    let part = |shard, work_hint_us| RequestedPart { shard, weight: 0.5, work_hint_us };
    assert_eq!(query.parts, vec![part(3, Some(9000)), part(9, None)]);
    assert_eq!(query.text, "c4é");
}

#[test]
fn malformed_query_bodies_give_typed_errors() {
    let cases = [
        (r#"{"slices":"#, QueryError::Json),
        ("\u{1}", QueryError::Json),
        (r#"[]"#, QueryError::Parts),
        (r#"{"slices":[]}"#, QueryError::Parts),
        (r#"{"slices":[{"mass":1.0}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":-1,"mass":1.0}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":1}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":1,"mass":-0.5}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":1,"mass":7}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":1,"mass":1.0,"micros":-4}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":10,"mass":1.0}]}"#, QueryError::Shard),
        (r#"{"slices":[{"slice":99999999999,"mass":1.0}]}"#, QueryError::Shard),
        (r#"{"slices":[{"slice":1,"mass":0.5},{"slice":1,"mass":0.5}]}"#, QueryError::DuplicateShard),
        (r#"{"slices":[{"slice":1,"mass":0.5},{"slice":2,"mass":0.4}]}"#, QueryError::Weights),
        (r#"{"slices":[{"slice":1,"mass":0.0}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":1,"mass":1.0},{"slice":2,"mass":0}]}"#, QueryError::Part),
        (r#"{"slices":[{"slice":1,"mass":1.0}],"filter":7}"#, QueryError::Text),
    ];
    for (body, expected) in cases {
        assert_eq!(parse_query_body(body.as_bytes(), &BodyKeys::default(), 10), Err(expected), "for {body}");
    }
    assert_eq!(parse_query_body(&[0xff, 0xfe], &BodyKeys::default(), 10), Err(QueryError::Json));
}

#[test]
fn query_id_is_visible_ascii_without_a_dot() {
    assert_eq!(parse_query_id(Some("9b1f03aa5c7e2d41")), Ok("9b1f03aa5c7e2d41"));
    let too_long = "a".repeat(65);
    for invalid in
        [None, Some(""), Some("a b"), Some("a\nb"), Some("\u{e9}"), Some("q.3"), Some(too_long.as_str())]
    {
        assert_eq!(parse_query_id(invalid), Err(QueryError::Id), "for {invalid:?}");
    }
}

#[test]
fn idempotency_key_is_visible_ascii_without_a_comma_and_may_be_required() {
    assert_eq!(
        (parse_idempotency_key(None, false), parse_idempotency_key(None, true)),
        (Ok(None), Err(QueryError::IdempotencyKey))
    );
    for is_required in [true, false] {
        assert_eq!(
            parse_idempotency_key(Some("a2b9acad9eb94871=="), is_required),
            Ok(Some("a2b9acad9eb94871=="))
        );
        let too_long = "a".repeat(129);
        for invalid in ["", "a b", "a,b", "a\nb", "\u{e9}", &too_long] {
            assert_eq!(
                parse_idempotency_key(Some(invalid), is_required),
                Err(QueryError::IdempotencyKey),
                "for {invalid:?}"
            );
        }
    }
}

#[test]
fn expiry_is_a_number_of_milliseconds_up_to_an_hour() {
    assert_eq!(parse_expiry(Some("480")), Ok(480_000));
    assert_eq!(parse_expiry(Some("0")), Ok(0));
    for invalid in
        [None, Some(""), Some("-1"), Some("1.5"), Some("soon"), Some("3600001"), Some("99999999999999999999")]
    {
        assert_eq!(parse_expiry(invalid), Err(QueryError::Expiry), "for {invalid:?}");
    }
}

#[test]
fn decoding_an_encoded_answer_gives_the_same_values() {
    let values = [(3, "5be2a07c19f04d63"), (4, "a\"b\\c\n\t\u{1}é\u{1f600}"), (5, "")];
    let body = encode_answer_body(&BodyKeys::default(), false, values.into_iter());
    let decoded: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(decoded["entire"], false);
    for (index, (shard, value)) in values.into_iter().enumerate() {
        assert_eq!(decoded["items"][index]["slice"], shard);
        assert_eq!(decoded["items"][index]["body"], value);
    }
    let empty: serde_json::Value =
        serde_json::from_slice(&encode_answer_body(&BodyKeys::default(), true, [].into_iter()))
            .expect("JSON");
    assert_eq!(empty, serde_json::json!({"entire": true, "items": []}));
}
