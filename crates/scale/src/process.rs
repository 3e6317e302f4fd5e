//! Sender processes: each is started on a folder of its own, checked for readiness, signalled by its process
//! id, and measured from /proc.

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

/// The platform considers a start failed if the sender is not ready after this time.
pub const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How often it is checked whether a sender is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Memory that a sender uses right after its start, which the guard has to admit.
const START_MEMORY_BYTES: u64 = 8 << 20;

/// The memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Memory {
    /// Resident memory now.
    pub resident_bytes: u64,
    /// The most resident memory so far.
    pub peak_bytes: u64,
}

/// The memory of a process; `None` if there is no process with this id.
pub fn process_memory(process_id: u32) -> Option<Memory> {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let field = |name: &str| {
        let value = status.lines().find_map(|line| line.strip_prefix(name))?;
        value.trim().trim_end_matches(" kB").parse::<u64>().ok().map(|kib| kib * 1024)
    };
    Some(Memory { resident_bytes: field("VmRSS:")?, peak_bytes: field("VmHWM:")? })
}

/// The processor time of a process, over all its threads.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CpuTime {
    /// Seconds that it ran on a processor.
    pub running_secs: f64,
    /// Seconds that it could have run but waited for a processor.
    pub waiting_secs: f64,
}

/// The processor time of a process; `None` if there is no process with this id.
pub fn process_cpu_time(process_id: u32) -> Option<CpuTime> {
    let mut nanos = [0, 0];
    for task in fs::read_dir(format!("/proc/{process_id}/task")).ok()?.flatten() {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        for (sum, field) in nanos.iter_mut().zip(text.split(' ')) {
            *sum += field.parse::<u64>().ok()?;
        }
    }
    let [running_secs, waiting_secs] = nanos.map(|nanos| nanos as f64 / 1e9);
    Some(CpuTime { running_secs, waiting_secs })
}

/// A temporary folder, which is removed with its contents when this is dropped.
pub struct TempFolder(PathBuf);

impl TempFolder {
    /// Creates a folder with an empty subfolder `state` for a sender's state.
    pub fn new(name: &str) -> Result<TempFolder, Error> {
        let path = std::env::temp_dir().join(format!("scalebarrow-scale-{}-{name}", std::process::id()));
        fs::create_dir_all(path.join("state"))
            .map_err(|error| Error::Failed(format!("{}: {error}", path.display())))?;
        Ok(TempFolder(path))
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One sender with its folder, which stays when its process ends, so that the next process finds its state.
pub struct SenderProcess {
    /// Where it listens for clients.
    pub listen_address: SocketAddr,
    program: PathBuf,
    folder: TempFolder,
    guard: Arc<Guard>,
    child: Option<Child>,
    log_level: &'static str,
    environment: Vec<(&'static str, PathBuf)>,
}

impl SenderProcess {
    /// Creates the folder of a sender and writes its configuration. The process is not started yet.
    pub fn prepare(
        program: &Path, name: &str, listen_address: SocketAddr, config: &str, guard: &Arc<Guard>,
    ) -> Result<SenderProcess, Error> {
        let folder = TempFolder::new(name)?;
        fs::write(folder.path().join("config.json"), config)?;
        let (program, guard, environment) = (program.to_owned(), guard.clone(), Vec::new());
        Ok(SenderProcess {
            listen_address,
            program,
            folder,
            guard,
            child: None,
            log_level: "warn",
            environment,
        })
    }

    /// Lets processes log at debug level, from the next start on.
    pub fn enable_debug_log(&mut self) {
        self.log_level = "debug";
    }

    /// Loads the fault shim into processes, from the next start on. Returns the file that controls it.
    pub fn load_shim(&mut self) -> Result<ControlFile, Error> {
        let control = ControlFile::create(&self.folder.path().join("control"))?;
        let shim = find_shim(&std::path::absolute(&self.program)?)?;
        self.environment = vec![("LD_PRELOAD", shim), (CONTROL_FILE_VARIABLE, control.path().to_owned())];
        Ok(control)
    }

    /// Replaces the configuration, which the process reads at its start and at SIGHUP.
    pub fn write_config(&self, config: &str) -> Result<(), Error> {
        let (new_path, path) =
            (self.folder.path().join("config.new"), self.folder.path().join("config.json"));
        fs::write(&new_path, config)?;
        Ok(fs::rename(new_path, path)?)
    }

    /// The path of its log file.
    pub fn log_path(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// The lines of its log that contain a text.
    pub fn log_lines_with(&self, text: &str) -> Vec<String> {
        let log = fs::read(self.folder.path().join("log")).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Starts the process, and does not wait until it is ready.
    pub fn launch(&mut self) -> Result<(), Error> {
        self.guard.admit(START_MEMORY_BYTES)?;
        let log = File::options().create(true).append(true).open(self.folder.path().join("log"))?;
        let child = Command::new(&self.program)
            .args(["serve", "--log", self.log_level])
            .envs(self.environment.iter().map(|(name, value)| (*name, value)))
            .env("LB_CONFIG", self.folder.path().join("config.json"))
            .env("LB_STATE", self.state_path())
            .stderr(log)
            .spawn()
            .map_err(|error| Error::Input(format!("--program {}: {error}", self.program.display())))?;
        self.guard.add_child(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Starts the process and waits until it is ready. Returns how long that took.
    pub fn start(&mut self) -> Result<Duration, Error> {
        let began_at = Instant::now();
        self.launch()?;
        self.wait_until_ready(began_at)
    }

    /// Waits until the process that was launched at `began_at` is ready. Returns how long that took.
    pub fn wait_until_ready(&mut self, began_at: Instant) -> Result<Duration, Error> {
        loop {
            if is_ready(self.listen_address) {
                return Ok(began_at.elapsed());
            }
            self.guard.check()?;
            let exit_status = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = exit_status {
                return Err(Error::Failed(format!(
                    "a sender exited before it was ready, {status}: {}",
                    self.log_tail()
                )));
            }
            if began_at.elapsed() > START_TIMEOUT {
                return Err(Error::Broken(format!("a sender was not ready after {START_TIMEOUT:?}")));
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
    }

    /// Sends a signal to the process, if there is one.
    pub fn send_signal(&self, signal: Signal) -> Result<(), Error> {
        let Some(child) = &self.child else { return Ok(()) };
        kill(Pid::from_raw(child.id().cast_signed()), signal)
            .map_err(|error| Error::Failed(error.to_string()))
    }

    /// Sends a signal to the process and waits until it has ended. Returns how long that took.
    pub fn signal_and_wait(&mut self, signal: Signal) -> Result<Duration, Error> {
        let began_at = Instant::now();
        // The id of a process that was waited for may already belong to another process.
        if self.is_running() {
            self.send_signal(signal)?;
        }
        if let Some(mut child) = self.child.take() {
            child.wait()?;
            self.guard.remove_child(child.id());
        }
        Ok(began_at.elapsed())
    }

    /// Whether there is a process that has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The id of the process, if there is one.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The memory of the process; zero if there is none.
    pub fn memory(&self) -> Memory {
        self.process_id().and_then(process_memory).unwrap_or_default()
    }

    /// Seconds that the process has run on a processor.
    pub fn cpu_secs(&self) -> f64 {
        self.cpu_time().running_secs
    }

    /// The processor time of the process; zero if there is none.
    pub fn cpu_time(&self) -> CpuTime {
        self.process_id().and_then(process_cpu_time).unwrap_or_default()
    }

    /// The size of its state folder.
    pub fn state_bytes(&self) -> u64 {
        folder_bytes(&self.state_path())
    }

    /// The last three lines of its log.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(3).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" | ")
    }

    fn state_path(&self) -> PathBuf {
        self.folder.path().join("state")
    }
}

impl Drop for SenderProcess {
    fn drop(&mut self) {
        let _ = self.signal_and_wait(Signal::SIGKILL);
    }
}

/// The size of all files under a folder. A file that is removed meanwhile counts as empty.
fn folder_bytes(path: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(path) else { return 0 };
    let entry_bytes = |entry: fs::DirEntry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => folder_bytes(&entry.path()),
        Ok(metadata) => metadata.len(),
        Err(_) => 0,
    };
    entries.flatten().map(entry_bytes).sum()
}

/// Whether the sender at an address answers that it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let request_readiness = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut status_line_start = [0; 12];
        stream.read_exact(&mut status_line_start)?;
        Ok(status_line_start.ends_with(b" 200"))
    };
    request_readiness().unwrap_or(false)
}
