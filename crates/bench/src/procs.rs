//! Processes of the system under test, started and stopped by the bench.

use standin::fixture::SETTINGS_VARIABLE;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};

/// Timeout for a process to exit after a signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(90);

/// A child process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Proc {
    /// Name of the process.
    pub name: String,
    child: Child,
}

/// Signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Graceful stop.
    Term,
    /// Immediate end.
    Kill,
    /// Pause.
    Pause,
    /// Continuation after a pause.
    Resume,
    /// Reload of the settings.
    Hangup,
}

impl Proc {
    /// Starts a `command` of the binary with a settings file; the log is written next to that
    /// file.
    pub fn start(binary: &Path, command: &str, name: &str, settings: &Path) -> io::Result<Self> {
        let mut run = Command::new(binary);
        run.arg(command).arg("--settings").arg(settings);
        Self::spawn(run, name, settings)
    }

    /// Starts a gateway, which receives its settings file in an environment variable.
    pub fn start_gateway(binary: &Path, name: &str, settings: &Path) -> io::Result<Self> {
        let mut run = Command::new(binary);
        run.arg("gateway").env(SETTINGS_VARIABLE, settings);
        Self::spawn(run, name, settings)
    }

    fn spawn(mut run: Command, name: &str, settings: &Path) -> io::Result<Self> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))?;
        let child = run
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Process ID, while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let number = match signal {
            Signal::Term => libc::SIGTERM,
            Signal::Kill => libc::SIGKILL,
            Signal::Pause => libc::SIGSTOP,
            Signal::Resume => libc::SIGCONT,
            Signal::Hangup => libc::SIGHUP,
        };
        if let Some(id) = self.child.id() {
            // SAFETY: kill takes plain numbers. The ID belongs to our own child, which has not
            // been reaped, so it cannot have been reused.
            unsafe { libc::kill(id as libc::pid_t, number) };
        }
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to exit.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        match tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await {
            Ok(status) => status,
            Err(_) => Err(io::Error::other(format!(
                "{} did not exit in time",
                self.name
            ))),
        }
    }

    /// Kills the process and waits for it to exit.
    pub async fn kill(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::Kill);
        self.wait().await
    }

    /// Stops the process gracefully and waits for it to exit.
    pub async fn stop(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::Term);
        self.wait().await
    }
}

/// Output of a command that has exited.
#[derive(Debug, Clone)]
pub struct Output {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Runs an operator command to completion.
pub async fn run_command(binary: &Path, args: &[&str]) -> io::Result<Output> {
    let out = Command::new(binary)
        .args(args)
        .stdin(Stdio::null())
        .output()
        .await?;
    Ok(Output {
        code: out.status.code(),
        stdout: String::from_utf8_lossy(&out.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&out.stderr).into_owned(),
    })
}

/// Builds the arbutusquay binary in the same profile as this program and returns its path.
pub async fn build_binary() -> io::Result<PathBuf> {
    let here = std::env::current_exe()?;
    // Test binaries are in the subdirectory `deps`.
    let dir = here.ancestors().skip(1).find(|d| !d.ends_with("deps"));
    let dir = dir.ok_or_else(|| io::Error::other("can't determine the build directory"))?;
    let release = dir.file_name().is_some_and(|n| n == "release");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--quiet", "-p", "arbutusquay"]);
    if release {
        build.arg("--release");
    }
    let status = build
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()
        .await?;
    let binary = dir.join("arbutusquay");
    if status.success() && binary.exists() {
        Ok(binary)
    } else {
        Err(io::Error::other("failed to build the arbutusquay binary"))
    }
}
