//! The record of every start, one line each: `job task attempt`.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// An append-only file.
#[derive(Debug)]
pub struct Journal(Option<Mutex<File>>);

impl Journal {
    /// Opens the file, if there is to be one.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Self(path.map(open).transpose()?.map(Mutex::new)))
    }

    /// Records a start.
    pub fn record(&self, line: &str) {
        if let Some(file) = &self.0 {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = file.write_all(format!("{line}\n").as_bytes());
        }
    }
}
