//! A directory that lasts as long as its cell.

use std::{
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::{Error, Result};

/// Tells apart the directories of one process.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// A directory for settings and logs; removed when dropped, unless the test fails.
#[derive(Debug)]
pub struct TemporaryDirectory {
    path: PathBuf,
}

impl TemporaryDirectory {
    /// Creates an empty directory.
    ///
    /// # Errors
    /// The system refused it.
    pub fn new() -> Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("jackdawchute-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)
            .map_err(|cause| Error::Io("create directory", path.display().to_string(), cause))?;
        Ok(Self { path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    /// The system refused it.
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
