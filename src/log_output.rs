//! A writer that never blocks its callers: it keeps lines in memory, and a thread writes them out.
//!
//! A busy leader logs thousands of lines a second, and each write or wake-up of a thread costs more
//! than the line itself.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// The maximum size of the lines in memory, in bytes.
const PENDING_BYTES_MAX: usize = 1 << 20;
/// The largest write that a pipe takes as one, in bytes.
const ATOMIC_WRITE_MAX: usize = 4_096;
/// How long lines are collected before they are written.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// The lines that are not written yet.
#[derive(Debug, Default)]
struct Pending {
    lines: Mutex<Vec<u8>>,
    /// Notified when the first line is added.
    added: Condvar,
}

impl Pending {
    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        // A panic while the lock was held leaves whole lines and at most one cut short.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.lock())
    }

    fn wait_for_lines(&self) {
        let mut lines = self.lock();
        while lines.is_empty() {
            lines = self
                .added
                .wait(lines)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// A writer of lines that collects them in memory.
#[derive(Debug)]
pub(crate) struct CollectedOutput {
    pending: Arc<Pending>,
}

impl CollectedOutput {
    /// Starts the thread that writes the lines to `output`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(crate) fn start(mut output: impl Write + Send + 'static) -> io::Result<Self> {
        let pending = Arc::new(Pending::default());
        let lines = pending.clone();
        thread::Builder::new()
            .name("log output".to_owned())
            .spawn(move || loop {
                lines.wait_for_lines();
                thread::sleep(COLLECT_TIME);
                // There is nowhere to report that the log cannot be written.
                let _ = write_lines(&mut output, &lines.take());
            })?;
        Ok(Self { pending })
    }
}

impl Write for CollectedOutput {
    /// Adds one whole line.
    ///
    /// # Errors
    /// `WouldBlock` if too many lines wait; this one is dropped.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut lines = self.pending.lock();
        if lines.len() + line.len() > PENDING_BYTES_MAX {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let is_first = lines.is_empty();
        lines.extend_from_slice(line);
        if is_first {
            self.pending.added.notify_one();
        }
        Ok(line.len())
    }

    /// Writes the lines that wait, at the end of the process.
    fn flush(&mut self) -> io::Result<()> {
        write_lines(&mut io::stdout(), &self.pending.take())
    }
}

/// Writes lines, several at a time as long as they are not torn apart on a pipe.
fn write_lines(output: &mut impl Write, mut lines: &[u8]) -> io::Result<()> {
    while !lines.is_empty() {
        let atomic = &lines[..lines.len().min(ATOMIC_WRITE_MAX)];
        let is_end = |byte: &u8| *byte == b'\n';
        let last_end = atomic.iter().rposition(is_end);
        // A line that is longer than that is written by itself.
        let end = last_end.or_else(|| lines.iter().position(is_end));
        let (first, rest) = lines.split_at(end.map_or(lines.len(), |end| end + 1));
        output.write_all(first)?;
        output.flush()?;
        lines = rest;
    }
    Ok(())
}
