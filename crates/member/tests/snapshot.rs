//! Tests that a lease table is unchanged after it is encoded for a snapshot and decoded.

use pinetrestle_fleet::{Command, LeaseTable, MemberId, RequestId, Task};
use pinetrestle_member::wire;

#[test]
fn encoded_lease_table_decodes_to_the_same_table() {
    let mut table = LeaseTable::new();
    for i in 0..64u64 {
        let acquire = Command::Acquire {
            task: Task(format!("t{i}")),
            member: MemberId(i % 5 + 1),
            request: RequestId(i + 1),
            ttl_ms: 1_000,
            held_token: None,
        };
        table.apply(i + 1, &acquire);
    }
    let bytes = postcard::to_stdvec(&table).map_err(|e| e.to_string());
    let bytes = bytes.unwrap();
    assert!(bytes.len() > 64 * 8, "{} bytes for 64 leases", bytes.len());
    assert_eq!(wire::decode::<LeaseTable>(&wire::encode(&table)), Some(table));
}
