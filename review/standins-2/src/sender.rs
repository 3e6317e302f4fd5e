//! A sender as the operators start it: by the `run` command of the deploy file, with a folder that outlives
//! its process.

use crate::Failure;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// A temporary folder that is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create(case: &str) -> Result<TemporaryFolder, Failure> {
        let path = std::env::temp_dir().join(format!("scalebarrow-review-{case}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(path.join("state"))?;
        fs::create_dir_all(path.join("tmp"))?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The `run` command of the deploy file.
fn run_command() -> Result<String, Failure> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next()).map(str::to_owned);
    command.ok_or_else(|| Failure("deploy/balancer.toml has no run command".into()))
}

pub struct Sender {
    pub listen: SocketAddr,
    folder: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Sender {
    /// A sender that is not started yet.
    pub fn new(listen: SocketAddr, folder: &Path, config: &str, record: &Record) -> Result<Sender, Failure> {
        fs::write(folder.join("config.json"), config)?;
        Ok(Sender { listen, folder: folder.to_owned(), record: record.clone(), child: None })
    }

    /// Starts the process, and returns once the shell has become the sender's program.
    pub fn start(&mut self) -> Result<(), Failure> {
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_CONFIG", self.folder.join("config.json"))
            .env("LB_STATE", self.folder.join("state"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let program = PathBuf::from(format!("/proc/{}/exe", child.id()));
        self.child = Some(child);
        let began_at = Instant::now();
        while !fs::read_link(&program).is_ok_and(|path| path.to_string_lossy().contains("scalebarrow")) {
            if began_at.elapsed() > Duration::from_secs(5) {
                return Err(Failure("the sender's program did not start".into()));
            }
        }
        self.record.add("sender: its process was started");
        Ok(())
    }

    /// Starts the process and waits until it answers `GET /ready` with 200.
    pub fn start_and_wait(&mut self) -> Result<(), Failure> {
        self.start()?;
        self.wait_until_ready()
    }

    /// Waits until the sender answers `GET /ready` with 200.
    pub fn wait_until_ready(&mut self) -> Result<(), Failure> {
        let began_at = Instant::now();
        while began_at.elapsed() < Duration::from_secs(30) {
            if let Some(status) = self.exit_status()? {
                return Err(Failure(format!("the sender ended before it was ready: {status}")));
            }
            if self.is_ready() {
                self.record.add("sender: it is ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(Failure("the sender was not ready after 30 s".into()))
    }

    fn is_ready(&self) -> bool {
        use std::io::Write;
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let request = b"GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n";
        stream.write_all(request).is_ok()
            && crate::http::read_message(&mut stream, Duration::from_secs(2))
                .is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: i32) {
        if let Some(child) = &self.child {
            let name = if signal == SIGKILL { "SIGKILL" } else { "SIGTERM" };
            // The process was not waited for yet, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
            self.record.add(&format!("platform: {name} was sent to the sender"));
        }
    }

    /// How the process ended, if it has.
    pub fn exit_status(&mut self) -> Result<Option<std::process::ExitStatus>, Failure> {
        Ok(match &mut self.child {
            Some(child) => child.try_wait()?,
            None => None,
        })
    }

    /// Kills the process, if it has not ended, and waits for its end.
    pub fn kill(&mut self) {
        if !matches!(self.exit_status(), Ok(Some(_))) {
            self.signal(SIGKILL);
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}
