//! The journal's file. Records are appended and synced; a rewrite replaces the file atomically by
//! renaming a new one.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rw_core::journal::{self, JournalError, MAGIC, Record};
use thiserror::Error;

const JOURNAL: &str = "journal";
const JOURNAL_NEW: &str = "journal.new";
const LOCK: &str = "lock";

/// An error of the journal's file. Records that are not on disk must not be acknowledged: the write
/// is repeated until it succeeds, or the process must stop.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file system operation failed.
    #[error("{step} {}: {source}", path.display())]
    Io {
        /// The failed operation, such as `open`.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The journal cannot be decoded, or a record cannot be encoded.
    #[error("{}: {source}", path.display())]
    Journal {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: JournalError,
    },
    /// The directory already holds a journal.
    #[error("{}: the journal already exists", path.display())]
    Exists {
        /// The file.
        path: PathBuf,
    },
    /// The lock file cannot be locked, as another process uses the directory.
    #[error("{}: the directory is in use by another process", path.display())]
    InUse {
        /// The lock file.
        path: PathBuf,
    },
}

/// An open journal, locked against other processes.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    buf: Vec<u8>,
    /// Length in bytes of the part that is synced.
    synced_len: u64,
    /// Whether the file may hold more than the synced part, because a write or sync failed.
    has_unsynced: bool,
    /// Number of bytes appended since the journal was opened or rewritten.
    appended_bytes: u64,
    _lock: File,
}

impl StoreError {
    /// Returns whether the failed operation may succeed later, as on a full disk.
    pub fn is_temporary(&self) -> bool {
        let Self::Io { source, .. } = self else {
            return false;
        };
        !matches!(
            source.kind(),
            io::ErrorKind::NotFound | io::ErrorKind::NotADirectory
        )
    }
}

fn io_error(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_path_buf();
    move |source| StoreError::Io { step, path, source }
}

impl Store {
    /// Returns whether the directory holds a journal.
    pub fn exists(dir: &Path) -> bool {
        dir.join(JOURNAL).exists()
    }

    /// Creates a journal with these records. Fails if the directory already holds one.
    pub fn create(dir: &Path, records: &[Record]) -> Result<Self, StoreError> {
        let path = dir.join(JOURNAL);
        if path.exists() {
            return Err(StoreError::Exists { path });
        }
        let lock = lock(dir)?;
        if let Err(e) = write_new(dir, records) {
            // Only the sync of the directory can fail once the journal has its name.
            let _ = fs::remove_file(&path);
            return Err(e);
        }
        Self::open_file(dir, lock)
    }

    /// Opens a journal and returns its records. A torn tail, left by a crash during an append, is
    /// truncated.
    pub fn open(dir: &Path) -> Result<(Self, Vec<Record>), StoreError> {
        let lock = lock(dir)?;
        let path = dir.join(JOURNAL);
        let buf = fs::read(&path).map_err(io_error("read", &path))?;
        let decoded = journal::decode(&buf).map_err(|source| StoreError::Journal {
            path: path.clone(),
            source,
        })?;
        let store = Self::open_file(dir, lock)?;
        if decoded.valid_len < buf.len() {
            log::warn!(bytes = buf.len() - decoded.valid_len; "torn tail of the journal truncated");
            let truncated = store
                .file
                .set_len(decoded.valid_len as u64)
                .and_then(|()| store.file.sync_all());
            truncated.map_err(io_error("cut", &path))?;
        }
        let store = Self {
            synced_len: decoded.valid_len as u64,
            ..store
        };
        Ok((store, decoded.records))
    }

    fn open_file(dir: &Path, lock: File) -> Result<Self, StoreError> {
        let path = dir.join(JOURNAL);
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(io_error("open", &path))?;
        let synced_len = file.metadata().map_err(io_error("open", &path))?.len();
        Ok(Self {
            path,
            file,
            buf: Vec::new(),
            synced_len,
            has_unsynced: false,
            appended_bytes: 0,
            _lock: lock,
        })
    }

    /// Returns the number of bytes appended since the journal was opened or rewritten.
    pub fn appended_bytes(&self) -> u64 {
        self.appended_bytes
    }

    /// Appends records and syncs them to disk. After an error the same records may be appended
    /// again.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        self.buf.clear();
        for record in records {
            journal::encode(record, &mut self.buf).map_err(|source| StoreError::Journal {
                path: self.path.clone(),
                source,
            })?;
        }
        let written = self.write_buffer();
        self.has_unsynced = written.is_err();
        written.map_err(io_error("append to", &self.path))?;
        self.synced_len += self.buf.len() as u64;
        self.appended_bytes += self.buf.len() as u64;
        Ok(())
    }

    /// Writes the buffer after the synced part and syncs it. What a failed write has left is cut
    /// off first: after a failed sync the system may have dropped any part of it.
    fn write_buffer(&mut self) -> io::Result<()> {
        if self.has_unsynced {
            self.file.set_len(self.synced_len)?;
        }
        self.file.write_all(&self.buf)?;
        self.file.sync_data()
    }

    /// Replaces the whole journal atomically with these records. After an error it has to be
    /// repeated before anything is appended.
    pub fn rewrite(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let dir = self
            .path
            .parent()
            .map(Path::to_path_buf)
            .unwrap_or_default();
        let (file, len) = write_new(&dir, records)?;
        self.file = file;
        self.synced_len = len;
        self.has_unsynced = false;
        self.appended_bytes = 0;
        Ok(())
    }
}

/// Takes the directory's lock, which is held until the returned file is dropped.
fn lock(dir: &Path) -> Result<File, StoreError> {
    let path = dir.join(LOCK);
    let file = File::create(&path).map_err(io_error("create", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(_) => Err(StoreError::InUse { path }),
    }
}

/// Writes a new journal beside the existing one, syncs it, and renames it over the existing one.
/// Returns the file, open for appending, and its length in bytes.
fn write_new(dir: &Path, records: &[Record]) -> Result<(File, u64), StoreError> {
    let path = dir.join(JOURNAL_NEW);
    let written = write_renamed(dir, &path, records);
    if written.is_err()
        && let Err(e) = fs::remove_file(&path)
        && e.kind() != io::ErrorKind::NotFound
    {
        log::warn!(step = "remove", file:% = path.display(), error:% = e;
            "incomplete journal not removed");
    }
    written
}

fn write_renamed(dir: &Path, path: &Path, records: &[Record]) -> Result<(File, u64), StoreError> {
    let mut buf = MAGIC.to_vec();
    for record in records {
        journal::encode(record, &mut buf).map_err(|source| StoreError::Journal {
            path: path.into(),
            source,
        })?;
    }
    // The handle is opened before the file takes the old one's place, so that nothing is left to
    // fail after that but the sync of the directory.
    let mut options = OpenOptions::new();
    let mut file = options
        .append(true)
        .create(true)
        .open(path)
        .map_err(io_error("create", path))?;
    file.set_len(0)
        .and_then(|()| file.write_all(&buf))
        .and_then(|()| file.sync_all())
        .map_err(io_error("write", path))?;
    fs::rename(path, dir.join(JOURNAL)).map_err(io_error("rename", path))?;
    let dir_file = File::open(dir).map_err(io_error("open", dir))?;
    dir_file.sync_all().map_err(io_error("sync", dir))?;
    Ok((file, buf.len() as u64))
}
