//! A daemon as a process.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A daemon as a process; it is killed when the value is dropped.
pub struct DaemonProcess {
    child: Child,
    log_file: PathBuf,
}

impl DaemonProcess {
    /// Starts a daemon with settings that are written to `folder`.
    pub fn start(folder: &Path, host: &str, settings: &serde_json::Value) -> Self {
        let settings_file = folder.join(format!("{host}.json"));
        let mut file = File::create(&settings_file).expect("settings can be written");
        file.write_all(settings.to_string().as_bytes()).expect("settings can be written");
        let log_file = folder.join(format!("{host}.log"));
        let log = File::options().create(true).append(true).open(&log_file).expect("log opens");
        let child = Command::new(env!("CARGO_BIN_EXE_snipeheadd"))
            .arg(&settings_file)
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        Self { child, log_file }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("a process id");
        let _ = kill_process(pid, signal);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process until `thaw`.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the process to end.
    pub async fn ended(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// Returns what the daemon has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}
