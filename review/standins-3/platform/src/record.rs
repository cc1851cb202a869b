//! The record of what was sent, answered and run, with one clock for all stand-ins.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static BEGAN: OnceLock<Instant> = OnceLock::new();
static OUTPUT: OnceLock<Mutex<File>> = OnceLock::new();

/// Begins the record in a file.
pub fn begin(path: &str) -> std::io::Result<()> {
    BEGAN.get_or_init(Instant::now);
    let file = File::create(path)?;
    let _ = OUTPUT.set(Mutex::new(file));
    Ok(())
}

/// Returns the seconds since the record began.
pub fn now() -> f64 {
    BEGAN.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Adds a line with the time.
pub fn line(text: &str) {
    let text = format!("{:8.3} s  {text}\n", now());
    if let Some(output) = OUTPUT.get() {
        if let Ok(mut file) = output.lock() {
            let _ = file.write_all(text.as_bytes());
        }
    }
}

#[macro_export]
macro_rules! note {
    ($($part:tt)*) => { $crate::record::line(&format!($($part)*)) };
}
