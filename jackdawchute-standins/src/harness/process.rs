//! Processes of the `jackdawchute` binary.

use std::{
    ffi::OsStr,
    fs::File,
    net::SocketAddr,
    path::Path,
    process::{ExitStatus, Stdio},
};

use serde::Deserialize;
use tokio::{
    io::{AsyncBufReadExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
    time::timeout,
};

use super::DEADLINE;
use crate::{Error, Result};

/// The value of `event` in the line that a process prints once it listens.
const LISTENING: &str = "listening";

/// A signal that a test sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks for a graceful shutdown.
    Terminate,
    /// Pauses the process.
    Stop,
    /// Resumes a paused process.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "KILL",
            Self::Terminate => "TERM",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// The line with the process's addresses, printed once it listens.
#[derive(Clone, Debug, Deserialize)]
struct ListeningLine {
    event: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// A running process of the `jackdawchute` binary; it is killed when dropped.
#[derive(Debug)]
pub struct RunningProcess {
    id: u32,
    child: Child,
}

impl RunningProcess {
    /// Starts `program` with `arguments`; `output` and `errors` receive what it prints.
    ///
    /// # Errors
    /// The process did not start.
    pub fn start(
        program: &Path,
        arguments: &[&OsStr],
        output: Stdio,
        errors: Stdio,
    ) -> Result<Self> {
        let program_path = || program.display().to_string();
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(|cause| Error::Io("start process", program_path(), cause))?;
        let no_id = || Error::Invalid("start process", program_path(), "it has ended".into());
        let id = child.id().ok_or_else(no_id)?;
        Ok(Self { id, child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Returns the exit status; `None` while the process runs.
    ///
    /// # Errors
    /// The system could not report the status.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        let id = self.id.to_string();
        let status = self.child.try_wait();
        status.map_err(|cause| Error::Io("read process status", id, cause))
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The process has ended, or the signal could not be sent.
    pub async fn signal(&mut self, signal: Signal) -> Result<()> {
        let id = self.id.to_string();
        let failed = |cause: String| Error::Invalid("send signal", id.clone(), cause);
        if let Ok(Some(status)) = self.child.try_wait() {
            return Err(failed(status.to_string()));
        }
        let status = Command::new("kill")
            .arg(format!("-{}", signal.name()))
            .arg(&id)
            .status()
            .await
            .map_err(|cause| Error::Io("send signal", id.clone(), cause))?;
        if status.success() {
            Ok(())
        } else {
            Err(failed(status.to_string()))
        }
    }

    /// Waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    /// The process did not end before the deadline.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let id = self.id.to_string();
        match timeout(DEADLINE, self.child.wait()).await {
            Ok(status) => status.map_err(|cause| Error::Io("wait for process", id, cause)),
            Err(_) => Err(Error::Invalid(
                "wait for process",
                id,
                format!("still running after {} s", DEADLINE.as_secs()),
            )),
        }
    }
}

/// The process of an entry instance and the addresses that it listens on.
#[derive(Debug)]
pub struct EntryProcess {
    /// The address of its listener for callers.
    pub callers: SocketAddr,
    /// The address of its listener for operators.
    pub operators: SocketAddr,
    /// The address of its listener for peers.
    pub peers: SocketAddr,
    running: RunningProcess,
}

impl EntryProcess {
    /// Starts `program serve --settings SETTINGS` and waits until it listens; its log, which is its
    /// standard error, goes to `log`.
    ///
    /// # Errors
    /// The process did not start, or did not listen before the deadline.
    pub async fn start(program: &Path, settings: &Path, log: &Path) -> Result<Self> {
        let program_path = || program.display().to_string();
        let log_file =
            File::create(log).map_err(|cause| Error::Io("start process", program_path(), cause))?;
        let arguments = [
            "serve".as_ref(),
            "--settings".as_ref(),
            settings.as_os_str(),
        ];
        let mut running =
            RunningProcess::start(program, &arguments, Stdio::piped(), log_file.into())?;
        let no_pipe = || {
            Error::Invalid(
                "start process",
                program_path(),
                "its standard output is not piped".into(),
            )
        };
        let output = running.child.stdout.take().ok_or_else(no_pipe)?;
        let mut lines = BufReader::new(output).lines();
        let listening = timeout(DEADLINE, read_listening(&mut lines))
            .await
            .ok()
            .flatten()
            .ok_or_else(|| {
                let cause = std::fs::read_to_string(log).unwrap_or_default();
                Error::Invalid("wait for listeners", program_path(), cause)
            })?;
        tokio::spawn(discard_output(lines));
        Ok(Self {
            callers: listening.callers,
            operators: listening.operators,
            peers: listening.peers,
            running,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.running.id()
    }

    /// Returns the exit status; `None` while the process runs.
    ///
    /// # Errors
    /// The system could not report the status.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        self.running.exit_status()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The process has ended, or the signal could not be sent.
    pub async fn signal(&mut self, signal: Signal) -> Result<()> {
        self.running.signal(signal).await
    }

    /// Waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    /// The process did not end before the deadline.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        self.running.wait().await
    }
}

async fn read_listening(lines: &mut Lines<BufReader<ChildStdout>>) -> Option<ListeningLine> {
    while let Ok(Some(line)) = lines.next_line().await {
        let parsed = serde_json::from_str::<ListeningLine>(&line);
        if let Some(listening) = parsed.ok().filter(|line| line.event == LISTENING) {
            return Some(listening);
        }
    }
    None
}

/// Reads and discards further output, so that the process never blocks on a full pipe.
async fn discard_output(mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(_)) = lines.next_line().await {}
}
