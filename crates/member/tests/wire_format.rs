//! Tests that the bytes on the wire and the JSON keys of the status report are those of the fleet's first
//! release. The constants were recorded with the code of that release, before its types were renamed.

use pinetrestle_member::status::{
    HaltView, LeaseView, NodeView, OwnTaskView, PresenceView, RecoveryView, ReleaseView, RolloutView,
    ServerView, SlotView, Status,
};
use pinetrestle_member::wire::{decode, encode, Action, Hello, Request, Response};

const STATUS_JSON: &str = concat!(
    r#"{"id":1,"role":"leader","leader":1,"term":3,"commit":20,"applied":19,"boot":2,"members":[1,2,3],"#,
    r#""leases":[{"task":"release","holder":2,"token":7,"renewal":4,"left_ms":900}],"#,
    r#""mine":[{"task":"release","want":true,"state":"idle","acting_ms":250}],"#,
    r#""rollout":{"revision":5,"node_limit":2,"server_limit":1,"good":"v1","halted":["h1","a reason"],"#,
    r#""release":{"id":"r1","from":"v1","to":"v2","way":"forward","stage":"running","passed":1,"failures":2},"#,
    r#""nodes":[{"id":3,"version":"v2","ready":true,"lost":false,"away":true,"slot":[11,true],"step":"going","#,
    r#""waits":"budget"}],"#,
    r#""servers":[{"name":"s0","zone":"a","up":true,"phase":"draining","told":6}],"agent":"keeps v1"},"#,
    r#""recovery":{"epoch":1,"stage":"normal","present":[[1,true,false],[2,false,true]],"members":3,"#,
    r#""gate":"let in"}}"#,
);

const STATUS_RESPONSE: &str = concat!(
    "0001066c6561646572010314130203010203010772656c65617365020704018407010772656c65617365010469646c6501fa0101050201",
    "02763101026831086120726561736f6e0102723102763102763207666f72776172640772756e6e696e6701020103027632010001010b01",
    "05676f696e6701066275646765740102733001610108647261696e696e670601086b656570732076310101066e6f726d616c0201010002",
    "000103066c657420696e",
);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

fn rollout() -> RolloutView {
    RolloutView {
        revision: 5,
        node_limit: 2,
        server_limit: 1,
        last_good_version: "v1".into(),
        halt: Some(HaltView { id: "h1".into(), reason: "a reason".into() }),
        release: Some(ReleaseView {
            id: "r1".into(),
            from: "v1".into(),
            to: "v2".into(),
            direction: "forward".into(),
            stage: "running".into(),
            passed: 1,
            failures: 2,
        }),
        nodes: vec![NodeView {
            id: 3,
            version: "v2".into(),
            ready: true,
            unreachable: false,
            unavailable: true,
            slot: Some(SlotView { index: 11, begun: true }),
            step: "going".into(),
            blocked_by: Some("budget".into()),
        }],
        servers: vec![ServerView {
            name: "s0".into(),
            zone: "a".into(),
            up: true,
            phase: "draining".into(),
            notified: 6,
        }],
        agent: Some("keeps v1".into()),
    }
}

fn status() -> Status {
    Status {
        id: 1,
        role: "leader".into(),
        leader: 1,
        term: 3,
        commit_index: 20,
        applied_index: 19,
        incarnation: 2,
        members: vec![1, 2, 3],
        leases: vec![LeaseView {
            task: "release".into(),
            holder: 2,
            token: 7,
            renewals: 4,
            remaining_ms: Some(900),
        }],
        own_tasks: vec![OwnTaskView {
            task: "release".into(),
            wanted: true,
            state: "idle".into(),
            may_act_ms: Some(250),
        }],
        rollout: Some(rollout()),
        recovery: Some(RecoveryView {
            epoch: 1,
            stage: "normal".into(),
            reports: vec![
                PresenceView { member: 1, serving: true, has_endpoint_list: false },
                PresenceView { member: 2, serving: false, has_endpoint_list: true },
            ],
            fleet_size: 3,
            admission: "let in".into(),
        }),
    }
}

#[test]
fn status_report_keeps_its_json_keys() {
    assert_eq!(serde_json::to_string(&status()).unwrap(), STATUS_JSON);
    assert_eq!(serde_json::from_str::<Status>(STATUS_JSON).unwrap(), status());
}

#[test]
fn status_response_keeps_its_bytes() {
    assert_eq!(hex(&encode(&Response::Status(Box::new(status())))), STATUS_RESPONSE);
    let Some(Response::Status(decoded)) = decode(&from_hex(STATUS_RESPONSE)) else {
        panic!("failed to decode the status response")
    };
    assert_eq!(*decoded, status());
}

#[test]
fn other_responses_keep_their_bytes() {
    assert_eq!(hex(&encode(&Response::Accepted)), "01");
    assert_eq!(hex(&encode(&Response::Applied(pinetrestle_rollout::Outcome::Unchanged))), "0201");
    assert_eq!(hex(&encode(&Response::Rejected("no".into()))), "03026e6f");
}

#[test]
fn hello_frames_and_actions_keep_their_bytes() {
    let wanted = Request::SetWanted { task: "t".into(), wanted: true };
    let resume = Request::Rollout(pinetrestle_rollout::Command::Resume { id: "g1".into() });
    assert_eq!(hex(&encode(&Hello::Peer(300))), "00ac02");
    assert_eq!(hex(&encode(&Hello::Command(Request::Status))), "0100");
    assert_eq!(hex(&encode(&Hello::Command(wanted))), "0101017401");
    assert_eq!(hex(&encode(&Hello::Command(resume))), "01020a026731");
    assert_eq!(hex(&encode(&Hello::Actions(4))), "0204");
    let action = Action { task: "t".into(), token: 9, seq: 300, sent_us: 1 };
    assert_eq!(hex(&encode(&action)), "017409ac0201");
}
