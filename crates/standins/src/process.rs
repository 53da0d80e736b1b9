//! A controller as a process of a named program, so that programs of two versions
//! can work side by side on one site.
use std::io;
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
    settings: PathBuf,
    operator: PathBuf,
    child: Child,
}

impl ControllerProcess {
    /// Starts `program` with a settings file and an operators' file.
    pub fn start(program: &Path, settings: PathBuf, operator: PathBuf) -> io::Result<Self> {
        let child = spawn(program, &settings, &operator)?;
        Ok(ControllerProcess { settings, operator, child })
    }

    /// Ends the process without warning and starts `program` in its place, with the
    /// same settings. If that can't be started, the controller stays away.
    pub fn roll(&mut self, program: &Path) -> io::Result<()> {
        self.end()?;
        self.child = spawn(program, &self.settings, &self.operator)?;
        Ok(())
    }

    fn end(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.end();
    }
}

/// Its logs go where this process's go.
fn spawn(program: &Path, settings: &Path, operator: &Path) -> io::Result<Child> {
    let mut command = Command::new(program);
    command.arg("--config").arg(settings).arg("--operator-config").arg(operator);
    command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()
}
