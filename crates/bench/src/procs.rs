//! Processes of the system, started and ended by the bench.

use standin::fixture::SETTINGS_VARIABLE;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};

/// Longest wait for a process that was told to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(90);

/// A process that the bench started. It is killed when this is dropped.
#[derive(Debug)]
pub struct Proc {
    /// Its name.
    pub name: String,
    child: Child,
}

/// RequestKind is sent to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Stop gracefully.
    Term,
    /// End at once.
    Kill,
    /// Pause.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Read the settings again.
    Hangup,
}

impl Proc {
    /// Starts the binary's `command` with a settings file; its log goes beside it.
    pub fn start(binary: &Path, command: &str, name: &str, settings: &Path) -> io::Result<Self> {
        let mut run = Command::new(binary);
        run.arg(command).arg("--settings").arg(settings);
        Self::spawn(run, name, settings)
    }

    /// Starts a gateway, whose settings file is named by a variable.
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

    /// The process's id, while it runs.
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
            // SAFETY: kill takes plain numbers; the id is of our own child, which
            // has not been waited for, so it can't be another process's yet.
            unsafe { libc::kill(id as libc::pid_t, number) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end.
    pub async fn wait(&mut self) -> io::Result<ExitStatus> {
        match tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await {
            Ok(status) => status,
            Err(_) => Err(io::Error::other(format!("{} doesn't end", self.name))),
        }
    }

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::Kill);
        self.wait().await
    }

    /// Stops the process gracefully and waits for its end.
    pub async fn stop(&mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::Term);
        self.wait().await
    }
}

/// Output of a command that has ended.
#[derive(Debug, Clone)]
pub struct Output {
    /// The exit code.
    pub code: Option<i32>,
    /// RequestKind it printed.
    pub stdout: String,
    /// RequestKind it complained of.
    pub stderr: String,
}

/// Runs one of the operators' commands to its end.
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

/// Builds the shipped binary as this bench was built, and gives its path.
pub async fn build_binary() -> io::Result<PathBuf> {
    let here = std::env::current_exe()?;
    // Tests stand one folder below the programs.
    let dir = here.ancestors().skip(1).find(|d| !d.ends_with("deps"));
    let dir = dir.ok_or_else(|| io::Error::other("no folder"))?;
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
        Err(io::Error::other("the shipped binary can't be built"))
    }
}
