//! Traits for the file-system calls that the store makes, so that tests can make each of them fail.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// A file that is open for appending.
pub trait AppendFile: Debug + Send {
    /// Appends bytes from the start of `bytes` and returns how many were written, which may be fewer than
    /// all.
    ///
    /// # Errors
    /// Same as `write(2)`. Some of the bytes may have been written despite the error.
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Makes the content of the file durable.
    ///
    /// # Errors
    /// Same as `fdatasync(2)`. After an error, the data written since the last successful sync may be lost
    /// even if a later sync succeeds, because the kernel may have marked the unwritten pages clean.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    /// Same as `ftruncate(2)`.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// The file-system calls that the store makes.
pub trait FileSystem: Debug + Send + Sync {
    /// Creates a directory and all missing parent directories.
    ///
    /// # Errors
    /// Same as `mkdir(2)`.
    fn create_dir_all(&self, dir: &Path) -> io::Result<()>;

    /// Opens a file for appending and creates it if it does not exist.
    ///
    /// # Errors
    /// Same as `open(2)`.
    fn open_append(&self, path: &Path) -> io::Result<Box<dyn AppendFile>>;

    /// Creates an empty file that is open for appending. An existing file is truncated.
    ///
    /// # Errors
    /// Same as `open(2)`.
    fn create(&self, path: &Path) -> io::Result<Box<dyn AppendFile>>;

    /// Reads the entire content of a file.
    ///
    /// # Errors
    /// Same as `open(2)` and `read(2)`.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Renames a file and replaces an existing file at `to`.
    ///
    /// # Errors
    /// Same as `rename(2)`.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Makes the creation and renaming of files in a directory durable.
    ///
    /// # Errors
    /// Same as `open(2)` and `fsync(2)`.
    fn sync_dir(&self, dir: &Path) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsFileSystem;

impl AppendFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.write(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}

impl FileSystem for OsFileSystem {
    fn create_dir_all(&self, dir: &Path) -> io::Result<()> {
        fs::create_dir_all(dir)
    }

    fn open_append(&self, path: &Path) -> io::Result<Box<dyn AppendFile>> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Box::new(file))
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn AppendFile>> {
        // `OpenOptions` rejects `append` together with `truncate`, so the file is truncated after it was
        // opened.
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        file.set_len(0)?;
        Ok(Box::new(file))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_dir(&self, dir: &Path) -> io::Result<()> {
        File::open(dir).and_then(|dir| dir.sync_all())
    }
}

/// Appends all of `bytes`, continuing after short writes and interrupted calls.
///
/// # Errors
/// Same as [`AppendFile::append`], and [`io::ErrorKind::WriteZero`] if a call writes no bytes.
pub(crate) fn append_all(file: &mut dyn AppendFile, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match file.append(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
