//! Checks the codes of connection close reasons, as logged, against the on-call page that explains them.

use pinetrestle_node::close_reason::CloseReason;
use pinetrestle_protocol::frames::FrameError;
use pinetrestle_protocol::head::HttpError;

#[test]
fn each_close_reason_has_a_unique_code_that_the_on_call_page_explains() {
    let page = include_str!("../../../docs/on-call.md");
    let mut codes: Vec<&str> = CloseReason::NODE_REASONS.iter().map(|reason| reason.code()).collect();
    codes.extend(HttpError::ALL.iter().map(|error| error.code()));
    codes.extend(FrameError::ALL.iter().map(|error| error.code()));
    for code in &codes {
        assert!(page.contains(&format!("`{code}`")), "{code} is not explained on the on-call page");
    }
    let count = codes.len();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), count, "two reasons share a code");
}
