//! The record of a run: what was sent, answered and run, with the time since the start.
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<std::fs::File>)>);

impl Record {
    pub fn create(path: &std::path::Path) -> std::io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(std::fs::File::create(path)?)))))
    }
    pub fn write(&self, line: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:8.3} {line}");
    }
    /// Writes a line, and prints it.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}
