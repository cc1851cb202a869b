//! A process of the shipped binary.

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

/// The event that names a process's addresses.
const LISTENING: &str = "listening";

/// A signal that a test sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks for a graceful shutdown.
    Terminate,
    /// Pauses the process.
    Stop,
    /// Lets a paused process go on.
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

/// The line that a process prints once it listens.
#[derive(Clone, Debug, Deserialize)]
struct Listening {
    event: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

/// A running process of the shipped binary; it is killed when dropped.
#[derive(Debug)]
pub struct RunningProcess {
    id: u32,
    child: Child,
}

impl RunningProcess {
    /// Starts `program ARGUMENTS`; `output` and `errors` say where it writes.
    ///
    /// # Errors
    /// It did not start.
    pub fn start(
        program: &Path,
        arguments: &[&OsStr],
        output: Stdio,
        errors: Stdio,
    ) -> Result<Self> {
        let peer = || program.display().to_string();
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(|cause| Error::Io("start process", peer(), cause))?;
        let no_id = || Error::Invalid("start process", peer(), "it has ended".into());
        let id = child.id().ok_or_else(no_id)?;
        Ok(Self { id, child })
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    /// The system does not tell.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>> {
        let peer = self.id.to_string();
        let ended = self.child.try_wait();
        ended.map_err(|cause| Error::Io("look at process", peer, cause))
    }

    /// Sends a signal by the process's id.
    ///
    /// # Errors
    /// The process has ended, or the signal could not be sent.
    pub async fn signal(&mut self, signal: Signal) -> Result<()> {
        let peer = self.id.to_string();
        let ended = |cause: String| Error::Invalid("send signal", peer.clone(), cause);
        if let Ok(Some(status)) = self.child.try_wait() {
            return Err(ended(status.to_string()));
        }
        let status = Command::new("kill")
            .arg(format!("-{}", signal.name()))
            .arg(&peer)
            .status()
            .await
            .map_err(|cause| Error::Io("send signal", peer.clone(), cause))?;
        if status.success() {
            Ok(())
        } else {
            Err(ended(status.to_string()))
        }
    }

    /// Waits until it ends.
    ///
    /// # Errors
    /// It did not end before the deadline.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        let peer = self.id.to_string();
        match timeout(DEADLINE, self.child.wait()).await {
            Ok(status) => status.map_err(|cause| Error::Io("wait for process", peer, cause)),
            Err(_) => Err(Error::Invalid(
                "wait for process",
                peer,
                format!("still running after {} s", DEADLINE.as_secs()),
            )),
        }
    }
}

/// A running entry instance and its addresses.
#[derive(Debug)]
pub struct EntryProcess {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Where it listens for its peers.
    pub peers: SocketAddr,
    running: RunningProcess,
}

impl EntryProcess {
    /// Starts `program serve --settings SETTINGS` and waits until it listens; what it prints goes
    /// to `log`.
    ///
    /// # Errors
    /// It did not start, or ended before it listened.
    pub async fn start(program: &Path, settings: &Path, log: &Path) -> Result<Self> {
        let peer = || program.display().to_string();
        let log_file =
            File::create(log).map_err(|cause| Error::Io("start process", peer(), cause))?;
        let arguments = [
            "serve".as_ref(),
            "--settings".as_ref(),
            settings.as_os_str(),
        ];
        let mut running =
            RunningProcess::start(program, &arguments, Stdio::piped(), log_file.into())?;
        let no_pipe = || Error::Invalid("start process", peer(), "no output".into());
        let output = running.child.stdout.take().ok_or_else(no_pipe)?;
        let mut lines = BufReader::new(output).lines();
        let listening = timeout(DEADLINE, read_listening(&mut lines))
            .await
            .ok()
            .flatten()
            .ok_or_else(|| {
                let cause = std::fs::read_to_string(log).unwrap_or_default();
                Error::Invalid("wait until it listens", peer(), cause)
            })?;
        tokio::spawn(drain(lines));
        Ok(Self {
            callers: listening.callers,
            operators: listening.operators,
            peers: listening.peers,
            running,
        })
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.running.id()
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    /// The system does not tell.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>> {
        self.running.ended()
    }

    /// Sends a signal by the process's id.
    ///
    /// # Errors
    /// The process has ended, or the signal could not be sent.
    pub async fn signal(&mut self, signal: Signal) -> Result<()> {
        self.running.signal(signal).await
    }

    /// Waits until it ends.
    ///
    /// # Errors
    /// It did not end before the deadline.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        self.running.wait().await
    }
}

async fn read_listening(lines: &mut Lines<BufReader<ChildStdout>>) -> Option<Listening> {
    while let Ok(Some(line)) = lines.next_line().await {
        let parsed = serde_json::from_str::<Listening>(&line);
        if let Some(listening) = parsed.ok().filter(|line| line.event == LISTENING) {
            return Some(listening);
        }
    }
    None
}

/// Reads on, so that the process never waits for its reader.
async fn drain(mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(_)) = lines.next_line().await {}
}
