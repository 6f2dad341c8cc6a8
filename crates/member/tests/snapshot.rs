//! The lease table survives a snapshot: encoded, written, read back after a restart, equal.

use pinetrestle_fleet::{Command, LeaseTable, MemberId, RequestId, Task};
use pinetrestle_member::wire;

#[test]
fn a_table_with_leases_encodes_and_decodes_whole() {
    let mut table = LeaseTable::new();
    for i in 0..64u64 {
        let ask = Command::Acquire {
            task: Task(format!("t{i}")),
            member: MemberId(i % 5 + 1),
            request: RequestId(i + 1),
            ttl_ms: 1_000,
            holding: None,
        };
        table.apply(i + 1, &ask);
    }
    let bytes = postcard::to_stdvec(&table).map_err(|e| e.to_string());
    let bytes = bytes.unwrap();
    assert!(bytes.len() > 64 * 8, "{} bytes for 64 leases", bytes.len());
    assert_eq!(wire::decode::<LeaseTable>(&wire::encode(&table)), Some(table));
}
