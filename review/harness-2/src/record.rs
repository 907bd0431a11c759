//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(), text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().expect("the record is not poisoned");
        let _ = file.write_all(line.as_bytes());
    }
}
