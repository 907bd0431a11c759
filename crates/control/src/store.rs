//! The journal's file: appended and synced, or written anew and renamed.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rw_core::journal::{self, JournalError, MAGIC, Record};
use thiserror::Error;

const JOURNAL: &str = "journal";
const JOURNAL_NEW: &str = "journal.new";
const LOCK: &str = "lock";

/// A failure of the journal's file. The process must stop: nothing may be acknowledged after it.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file system failed.
    #[error("{step} {}: {source}", path.display())]
    Io {
        /// What was being done.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file's contents are wrong.
    #[error("{}: {source}", path.display())]
    Journal {
        /// The file.
        path: PathBuf,
        /// Why.
        source: JournalError,
    },
    /// There is a journal already.
    #[error("{}: a journal is there already", path.display())]
    Exists {
        /// The file.
        path: PathBuf,
    },
    /// Another process uses the folder.
    #[error("{}: the folder is in use by another process", path.display())]
    InUse {
        /// The lock file.
        path: PathBuf,
    },
}

/// An open journal.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    buf: Vec<u8>,
    /// Bytes appended since the journal was opened or written anew.
    appended: u64,
    _lock: File,
}

fn io_error(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_path_buf();
    move |source| StoreError::Io { step, path, source }
}

impl Store {
    /// Whether the folder holds a journal.
    pub fn exists(folder: &Path) -> bool {
        folder.join(JOURNAL).exists()
    }

    /// Makes a journal with these records.
    pub fn create(folder: &Path, records: &[Record]) -> Result<Self, StoreError> {
        let path = folder.join(JOURNAL);
        if path.exists() {
            return Err(StoreError::Exists { path });
        }
        let lock = lock(folder)?;
        write_new(folder, records)?;
        Self::open_file(folder, lock)
    }

    /// Opens a journal and reads its records; a torn tail is cut off.
    pub fn open(folder: &Path) -> Result<(Self, Vec<Record>), StoreError> {
        let lock = lock(folder)?;
        let path = folder.join(JOURNAL);
        let buf = fs::read(&path).map_err(io_error("read", &path))?;
        let decoded = journal::decode(&buf).map_err(|source| StoreError::Journal {
            path: path.clone(),
            source,
        })?;
        let store = Self::open_file(folder, lock)?;
        if decoded.valid_len < buf.len() {
            log::warn!(bytes = buf.len() - decoded.valid_len; "torn tail of the journal cut off");
            let cut = store
                .file
                .set_len(decoded.valid_len as u64)
                .and_then(|()| store.file.sync_all());
            cut.map_err(io_error("cut", &path))?;
        }
        Ok((store, decoded.records))
    }

    fn open_file(folder: &Path, lock: File) -> Result<Self, StoreError> {
        let path = folder.join(JOURNAL);
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(io_error("open", &path))?;
        Ok(Self {
            path,
            file,
            buf: Vec::new(),
            appended: 0,
            _lock: lock,
        })
    }

    /// Bytes appended since the journal was opened or written anew.
    pub fn appended(&self) -> u64 {
        self.appended
    }

    /// Appends records and syncs them.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        self.buf.clear();
        for record in records {
            journal::encode(record, &mut self.buf).map_err(|source| StoreError::Journal {
                path: self.path.clone(),
                source,
            })?;
        }
        self.appended += self.buf.len() as u64;
        let written = self
            .file
            .write_all(&self.buf)
            .and_then(|()| self.file.sync_data());
        written.map_err(io_error("append to", &self.path))
    }

    /// Replaces the whole journal.
    pub fn rewrite(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let folder = self
            .path
            .parent()
            .map(Path::to_path_buf)
            .unwrap_or_default();
        write_new(&folder, records)?;
        self.file = OpenOptions::new()
            .append(true)
            .open(&self.path)
            .map_err(io_error("open", &self.path))?;
        self.appended = 0;
        Ok(())
    }
}

fn lock(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK);
    let file = File::create(&path).map_err(io_error("create", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(_) => Err(StoreError::InUse { path }),
    }
}

/// Writes a journal beside the old one, syncs it and puts it in the old one's place.
fn write_new(folder: &Path, records: &[Record]) -> Result<(), StoreError> {
    let path = folder.join(JOURNAL_NEW);
    let mut buf = MAGIC.to_vec();
    for record in records {
        journal::encode(record, &mut buf).map_err(|source| StoreError::Journal {
            path: path.clone(),
            source,
        })?;
    }
    let mut file = File::create(&path).map_err(io_error("create", &path))?;
    file.write_all(&buf)
        .and_then(|()| file.sync_all())
        .map_err(io_error("write", &path))?;
    fs::rename(&path, folder.join(JOURNAL)).map_err(io_error("rename", &path))?;
    let dir = File::open(folder).map_err(io_error("open", folder))?;
    dir.sync_all().map_err(io_error("sync", folder))
}
