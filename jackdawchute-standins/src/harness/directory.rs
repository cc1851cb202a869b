//! Temporary directories for settings and logs.

use std::{
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::{Error, Result};

/// The number of the next directory of this process, which is part of its name.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A directory for settings and logs.
///
/// It is removed when dropped, unless the thread is panicking, so that a failed test keeps its logs.
#[derive(Debug)]
pub struct TemporaryDirectory {
    path: PathBuf,
}

impl TemporaryDirectory {
    /// Creates a directory in the system's directory for temporary files.
    ///
    /// # Errors
    /// The directory could not be created.
    pub fn new() -> Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("jackdawchute-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)
            .map_err(|cause| Error::Io("create directory", path.display().to_string(), cause))?;
        Ok(Self { path })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes `text` to the file `name` in the directory and returns the file's path.
    ///
    /// # Errors
    /// The file could not be written.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.path.join(name);
        std::fs::write(&path, text)
            .map_err(|cause| Error::Io("write file", path.display().to_string(), cause))?;
        Ok(path)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.path.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
