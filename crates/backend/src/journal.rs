//! Record of all task starts, one line each: `job task attempt`.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// Append-only record file; discards all records if there is no path.
#[derive(Debug)]
pub struct Journal(Option<Mutex<File>>);

impl Journal {
    /// Opens or creates the file. Without a path, nothing is recorded.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self(path.map(open).transpose()?.map(Mutex::new)))
    }

    /// Appends a line. Write errors are ignored.
    pub fn record(&self, line: &str) {
        if let Some(file) = &self.0 {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = file.write_all(format!("{line}\n").as_bytes());
        }
    }
}
