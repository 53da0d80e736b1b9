//! A controller as a process of a named program, so that programs of two versions
//! can work side by side on one site.
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use std::fs::File;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A folder of its own among the temporary ones, removed with everything in it when
/// it is dropped.
#[derive(Debug)]
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Makes it.
    pub fn new() -> io::Result<Self> {
        let name = format!("gorseshore-site-{}-{:016x}", std::process::id(), fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(TemporaryFolder(path))
    }

    /// The path of a file in it.
    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file into it; its path.
    pub fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.0.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running controller. Its process ends when this is dropped.
#[derive(Debug)]
pub struct ControllerProcess {
    program: PathBuf,
    settings: PathBuf,
    operator: PathBuf,
    /// Where its logs go; with this process's without one.
    log: Option<PathBuf>,
    child: Child,
}

impl ControllerProcess {
    /// Starts `program` with a settings file and an operators' file.
    pub fn start(
        program: &Path,
        settings: PathBuf,
        operator: PathBuf,
        log: Option<PathBuf>,
    ) -> io::Result<Self> {
        let child = spawn(program, &settings, &operator, log.as_deref())?;
        Ok(ControllerProcess { program: program.to_owned(), settings, operator, log, child })
    }

    /// Stops the process where it stands, or (`on`) lets it go on.
    pub fn pause(&self, on: bool) -> io::Result<()> {
        let signal = if on { Signal::CONT } else { Signal::STOP };
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(io::Error::from)
    }

    /// Lines of its log with one of these words.
    pub fn logged(&self, words: &[&str]) -> Vec<String> {
        let text = self.log.as_ref().and_then(|log| std::fs::read(log).ok()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }

    /// Starts the program again after its end.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.operator, self.log.as_deref())?;
        Ok(())
    }

    /// Ends the process without warning and starts `program` in its place, with the
    /// same settings. If that can't be started, the controller stays away.
    pub fn roll(&mut self, program: &Path) -> io::Result<()> {
        self.end()?;
        program.clone_into(&mut self.program);
        self.start_again()
    }

    /// Ends the process without warning.
    pub fn end(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.end();
    }
}

/// Its logs go to a file, or where this process's go. It ends with this process.
fn spawn(program: &Path, settings: &Path, operator: &Path, log: Option<&Path>) -> io::Result<Child> {
    let mut command = Command::new(program);
    command.arg("--config").arg(settings).arg("--operator-config").arg(operator);
    if let Some(log) = log {
        command.stderr(File::options().create(true).append(true).open(log)?);
    }
    // SAFETY: between fork and exec only a system call is made, which takes no lock.
    unsafe {
        command.pre_exec(|| set_parent_process_death_signal(Some(Signal::KILL)).map_err(io::Error::from));
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()
}
