//! The snapshot, replaced as a whole.

use crate::disk::{append_all, Disk, SystemDisk};
use crate::record::{decode, encode};
use crate::with_path;
use std::io;
use std::path::Path;

/// A snapshot read back: the last log sequence it covers and its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The sequence of the last record whose effect the snapshot holds.
    pub covers: u64,
    /// What the owner wrote.
    pub payload: Vec<u8>,
}

/// Replaces the snapshot in `dir` atomically: a crash leaves the old one or the new one, never a mix.
///
/// # Errors
/// From the file system; the old snapshot stands then.
pub fn write_snapshot(dir: &Path, snapshot: &Snapshot) -> io::Result<()> {
    write_snapshot_on(&SystemDisk, dir, snapshot)
}

/// The same on a file system of the caller's.
///
/// # Errors
/// As [`write_snapshot`].
pub fn write_snapshot_on(disk: &dyn Disk, dir: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let tmp = dir.join("snapshot.tmp");
    let mut bytes = Vec::new();
    encode(snapshot.covers, &snapshot.payload, &mut bytes);
    let mut file = disk.create(&tmp).map_err(|e| with_path(e, &tmp))?;
    append_all(&mut *file, &bytes).and_then(|()| file.sync()).map_err(|e| with_path(e, &tmp))?;
    let path = dir.join("snapshot");
    disk.rename(&tmp, &path).map_err(|e| with_path(e, &path))?;
    disk.sync_dir(dir).map_err(|e| with_path(e, dir))
}

/// Reads the snapshot in `dir`: `None` if there is none. A snapshot that fails its check is an error, since
/// it was written whole or not at all.
///
/// # Errors
/// From the file system, or `InvalidData` naming the file.
pub fn read_snapshot(dir: &Path) -> io::Result<Option<Snapshot>> {
    read_snapshot_on(&SystemDisk, dir)
}

/// The same on a file system of the caller's.
///
/// # Errors
/// As [`read_snapshot`].
pub fn read_snapshot_on(disk: &dyn Disk, dir: &Path) -> io::Result<Option<Snapshot>> {
    let path = dir.join("snapshot");
    let bytes = match disk.read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(with_path(e, &path)),
    };
    match decode(&bytes) {
        Some((covers, payload, len)) if len == bytes.len() => {
            Ok(Some(Snapshot { covers, payload: payload.to_vec() }))
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{}: fails its checksum; restore it from a peer", path.display()),
        )),
    }
}
