//! Processes of the built program: started on a folder of their own, asked whether they are ready, signalled by their
//! ids, and measured from /proc.

use crate::error::Error;
use crate::guard::Guard;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use scalebarrow_fault_control::{CONTROL_FILE_VARIABLE, ControlFile, find_shim};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The platform takes a sender that is not ready by then for one that did not start.
pub const START_LIMIT: Duration = Duration::from_secs(30);
/// Between two looks whether a sender is ready.
const READY_LOOK: Duration = Duration::from_millis(2);
/// Memory that a sender takes at once, for the guard.
const FRESH_MEMORY: u64 = 8 << 20;

/// Memory of a process, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Memory {
    pub resident: u64,
    pub peak: u64,
}

/// The memory of a process; nothing where there is none of that id.
pub fn memory(id: u32) -> Option<Memory> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let field = |name: &str| {
        let value = status.lines().find_map(|l| l.strip_prefix(name))?;
        value.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kib| kib * 1024)
    };
    Some(Memory { resident: field("VmRSS:")?, peak: field("VmHWM:")? })
}

/// Seconds that a process has run on processors, and has waited for one while it could have run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessorTime {
    pub ran: f64,
    pub waited: f64,
}

/// The processor time of a process with all its threads; nothing where there is none of that id.
pub fn processor_time(id: u32) -> Option<ProcessorTime> {
    let mut nanos = [0, 0];
    for task in fs::read_dir(format!("/proc/{id}/task")).ok()?.flatten() {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        for (sum, field) in nanos.iter_mut().zip(text.split(' ')) {
            *sum += field.parse::<u64>().ok()?;
        }
    }
    let [ran, waited] = nanos.map(|nanos| nanos as f64 / 1e9);
    Some(ProcessorTime { ran, waited })
}

/// A folder that is removed with all it holds when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// A new one under the system's folder for such.
    pub fn new(name: &str) -> Result<Folder, Error> {
        let path = std::env::temp_dir().join(format!("scalebarrow-scale-{}-{name}", std::process::id()));
        fs::create_dir_all(path.join("state"))
            .map_err(|e| Error::Failed(format!("{}: {e}", path.display())))?;
        Ok(Folder(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One sender: a process of the built program, or the folder that one left behind.
pub struct Sender {
    pub listen: SocketAddr,
    program: PathBuf,
    folder: Folder,
    guard: Arc<Guard>,
    child: Option<Child>,
    log_level: &'static str,
    environment: Vec<(&'static str, PathBuf)>,
}

impl Sender {
    /// A sender with its configuration written, not yet started.
    pub fn prepare(
        program: &Path, name: &str, listen: SocketAddr, config: &str, guard: &Arc<Guard>,
    ) -> Result<Sender, Error> {
        let folder = Folder::new(name)?;
        fs::write(folder.path().join("config.json"), config)?;
        let (program, guard, environment) = (program.to_owned(), guard.clone(), Vec::new());
        Ok(Sender { listen, program, folder, guard, child: None, log_level: "warn", environment })
    }

    /// Logs everything from the next start on.
    pub fn log_everything(&mut self) {
        self.log_level = "debug";
    }

    /// Loads the fault shim into the process from the next start on. Returns its control.
    pub fn load_shim(&mut self) -> Result<ControlFile, Error> {
        let control = ControlFile::create(&self.folder.path().join("control"))?;
        let shim = find_shim(&std::path::absolute(&self.program)?)?;
        self.environment = vec![("LD_PRELOAD", shim), (CONTROL_FILE_VARIABLE, control.path().to_owned())];
        Ok(control)
    }

    /// Replaces the configuration; the process reads it at its start or with SIGHUP.
    pub fn write_config(&self, config: &str) -> Result<(), Error> {
        let (new, path) = (self.folder.path().join("config.new"), self.folder.path().join("config.json"));
        fs::write(&new, config)?;
        Ok(fs::rename(new, path)?)
    }

    /// Where it logs.
    pub fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Lines of its log that hold a text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = fs::read(self.folder.path().join("log")).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Starts the process.
    pub fn launch(&mut self) -> Result<(), Error> {
        self.guard.admit(FRESH_MEMORY)?;
        let log = File::options().create(true).append(true).open(self.folder.path().join("log"))?;
        let child = Command::new(&self.program)
            .args(["serve", "--log", self.log_level])
            .envs(self.environment.iter().map(|(name, value)| (*name, value)))
            .env("LB_CONFIG", self.folder.path().join("config.json"))
            .env("LB_STATE", self.state())
            .stderr(log)
            .spawn()
            .map_err(|e| Error::Input(format!("--program {}: {e}", self.program.display())))?;
        self.guard.add(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process and waits until it is ready. Returns how long that took.
    pub fn start(&mut self) -> Result<Duration, Error> {
        let began = Instant::now();
        self.launch()?;
        self.wait_ready(began)
    }

    /// Waits until a process that was launched is ready; it was launched at `began`.
    pub fn wait_ready(&mut self, began: Instant) -> Result<Duration, Error> {
        loop {
            if is_ready(self.listen) {
                return Ok(began.elapsed());
            }
            self.guard.check()?;
            let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                return Err(Error::Failed(format!(
                    "a sender ended before it was ready, {status}: {}",
                    self.log()
                )));
            }
            if began.elapsed() > START_LIMIT {
                return Err(Error::Broken(format!("a sender was not ready after {START_LIMIT:?}")));
            }
            std::thread::sleep(READY_LOOK);
        }
    }

    /// Signals the process by its id.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let Some(child) = &self.child else { return Ok(()) };
        kill(Pid::from_raw(child.id().cast_signed()), signal).map_err(|e| Error::Failed(e.to_string()))
    }

    /// Signals the process and waits for its end. Returns how long that took.
    pub fn end(&mut self, signal: Signal) -> Result<Duration, Error> {
        let began = Instant::now();
        // An id that was waited for may be another process's by now.
        if self.runs() {
            self.signal(signal)?;
        }
        if let Some(mut child) = self.child.take() {
            child.wait()?;
            self.guard.remove(child.id());
        }
        Ok(began.elapsed())
    }

    /// The process has not ended.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The process's id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn memory(&self) -> Memory {
        self.id().and_then(memory).unwrap_or_default()
    }

    /// Seconds that the process has run on a processor.
    pub fn processor_time(&self) -> f64 {
        self.processor().ran
    }

    pub fn processor(&self) -> ProcessorTime {
        self.id().and_then(processor_time).unwrap_or_default()
    }

    /// Bytes that its lasting folder holds.
    pub fn disk(&self) -> u64 {
        folder_size(&self.state())
    }

    /// The end of what it logged.
    pub fn log(&self) -> String {
        let text = fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }

    fn state(&self) -> PathBuf {
        self.folder.path().join("state")
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.end(Signal::SIGKILL);
    }
}

/// Bytes of all files under a folder. One that goes meanwhile counts as nothing.
fn folder_size(path: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(path) else { return 0 };
    let size = |entry: fs::DirEntry| match entry.metadata() {
        Ok(data) if data.is_dir() => folder_size(&entry.path()),
        Ok(data) => data.len(),
        Err(_) => 0,
    };
    entries.flatten().map(size).sum()
}

/// A sender answers that it is ready.
pub fn is_ready(at: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(at)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.ends_with(b" 200"))
    };
    ask().unwrap_or(false)
}
