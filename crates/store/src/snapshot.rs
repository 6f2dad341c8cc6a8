//! The snapshot file, which holds a single record and is replaced atomically.

use crate::error::StoreError;
use crate::file_system::{append_all, FileSystem, OsFileSystem};
use crate::record::{decode, encode};
use std::io;
use std::path::Path;

/// Name of the snapshot file.
const SNAPSHOT_FILE: &str = "snapshot";
/// Name of the file that a new snapshot is written to before it is renamed to [`SNAPSHOT_FILE`].
const TEMPORARY_FILE: &str = "snapshot.tmp";

/// A snapshot of the application state that the log describes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Sequence number of the last record that the snapshot covers. The caller chooses the numbering; the
    /// store does not compare it with the log.
    pub last_sequence: u64,
    /// The state in the encoding of the caller.
    pub payload: Vec<u8>,
}

/// Replaces the snapshot in `dir` atomically. After a crash, either the old or the new snapshot is in place.
///
/// # Errors
/// [`StoreError::FileSystem`]. If the rename or the sync of the directory failed, either the old or the new
/// snapshot is in place; after any other failure, it is the old one.
pub fn write_snapshot(dir: &Path, snapshot: &Snapshot) -> Result<(), StoreError> {
    write_snapshot_with_fs(&OsFileSystem, dir, snapshot)
}

/// Replaces the snapshot in `dir` like [`write_snapshot`], using the given file system.
///
/// # Errors
/// The errors of [`write_snapshot`].
pub fn write_snapshot_with_fs(
    fs: &dyn FileSystem,
    dir: &Path,
    snapshot: &Snapshot,
) -> Result<(), StoreError> {
    let mut bytes = Vec::new();
    encode(snapshot.last_sequence, &snapshot.payload, &mut bytes);
    let temporary = dir.join(TEMPORARY_FILE);
    let temporary_error = |error| StoreError::file_system(&temporary, error);
    let mut file = fs.create(&temporary).map_err(temporary_error)?;
    append_all(&mut *file, &bytes).map_err(temporary_error)?;
    file.sync().map_err(temporary_error)?;
    let path = dir.join(SNAPSHOT_FILE);
    fs.rename(&temporary, &path).map_err(|error| StoreError::file_system(&path, error))?;
    fs.sync_dir(dir).map_err(|error| StoreError::file_system(dir, error))
}

/// Reads the snapshot in `dir`. Returns `None` if there is none.
///
/// # Errors
/// [`StoreError::FileSystem`] if the file cannot be read. [`StoreError::SnapshotCorrupt`] if the snapshot is
/// incomplete or fails its checksum; a crash can't cause that, because snapshots are replaced atomically.
pub fn read_snapshot(dir: &Path) -> Result<Option<Snapshot>, StoreError> {
    read_snapshot_with_fs(&OsFileSystem, dir)
}

/// Reads the snapshot in `dir` like [`read_snapshot`], using the given file system.
///
/// # Errors
/// The errors of [`read_snapshot`].
pub fn read_snapshot_with_fs(fs: &dyn FileSystem, dir: &Path) -> Result<Option<Snapshot>, StoreError> {
    let path = dir.join(SNAPSHOT_FILE);
    let bytes = match fs.read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StoreError::file_system(&path, error)),
    };
    match decode(&bytes) {
        Some(record) if record.encoded_bytes == bytes.len() => {
            Ok(Some(Snapshot { last_sequence: record.sequence, payload: record.payload.to_vec() }))
        }
        _ => Err(StoreError::SnapshotCorrupt { path }),
    }
}
