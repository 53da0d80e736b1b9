//! A controller as a process of a given program, so that two versions of the program
//! can run side by side on one site.
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use std::fs::File;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A new directory below the system's temporary directory, removed with its contents
/// when dropped.
#[derive(Debug)]
pub struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    /// Creates the directory.
    pub fn new() -> io::Result<Self> {
        let name = format!("gorseshore-site-{}-{:016x}", std::process::id(), fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(TemporaryDirectory(path))
    }

    /// Path of a file in the directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file into the directory; returns its path.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A controller process; killed when this is dropped.
#[derive(Debug)]
pub struct ControllerProcess {
    program: PathBuf,
    settings: PathBuf,
    operator_settings: PathBuf,
    /// File that its log is appended to; without one, it logs to this process's standard error.
    log: Option<PathBuf>,
    child: Child,
}

impl ControllerProcess {
    /// Starts `program` with a platform settings file and an operator settings file.
    pub fn start(
        program: &Path,
        settings: PathBuf,
        operator_settings: PathBuf,
        log: Option<PathBuf>,
    ) -> io::Result<Self> {
        let child = spawn(program, &settings, &operator_settings, log.as_deref())?;
        Ok(ControllerProcess { program: program.to_owned(), settings, operator_settings, log, child })
    }

    /// Stops the process with SIGSTOP, or continues it if `resume`.
    pub fn pause(&self, resume: bool) -> io::Result<()> {
        let signal = if resume { Signal::CONT } else { Signal::STOP };
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(io::Error::from)
    }

    /// Lines of its log that contain one of `words`.
    pub fn matching_log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = self.log.as_ref().and_then(|log| std::fs::read(log).ok()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }

    /// Starts the program again after its process was killed.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.operator_settings, self.log.as_deref())?;
        Ok(())
    }

    /// Kills the process and starts `program` in its place with the same settings. If
    /// `program` cannot be started, the controller stays down.
    pub fn replace(&mut self, program: &Path) -> io::Result<()> {
        self.kill()?;
        program.clone_into(&mut self.program);
        self.restart()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Spawns the program; it logs to the file `log` or to this process's standard error, and
/// is killed when this process exits.
fn spawn(program: &Path, settings: &Path, operator_settings: &Path, log: Option<&Path>) -> io::Result<Child> {
    let mut command = Command::new(program);
    command.arg("--config").arg(settings).arg("--operator-config").arg(operator_settings);
    if let Some(log) = log {
        command.stderr(File::options().create(true).append(true).open(log)?);
    }
    // SAFETY: between fork and exec the closure makes only a system call, which takes no lock.
    unsafe {
        command.pre_exec(|| set_parent_process_death_signal(Some(Signal::KILL)).map_err(io::Error::from));
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()
}
