//! Hollow senders: many senders in one process, so that a run can have hundreds of them. Each runs the
//! program's own event loop in a thread of its own, on a folder and addresses of its own. To the list
//! service, receivers and clients they look like real sender processes, but the memory and processor time of
//! a single one cannot be measured.

use crate::error::Error;
use crate::guard::Guard;
use crate::process::{START_TIMEOUT, TempFolder, is_ready, process_cpu_time};
use bpaf::Bpaf;
use scalebarrow_sender::config::Config;
use scalebarrow_sender::driver;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The most hollow senders of one process.
pub const MAX_PER_PROCESS: usize = 140;
/// Memory that a process of hollow senders uses right after its start, which the guard has to admit.
const START_MEMORY_BYTES: u64 = 256 << 20;
/// How often it is checked whether a sender is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The stack of a sender's thread. The default of Linux for a main thread is far more than the event loop
/// needs.
const STACK_BYTES: usize = 1 << 20;

/// Options of `hollow`
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// A folder with a subfolder for each sender, which contains its configuration and state
    #[bpaf(positional("DIR"))]
    dir: PathBuf,
}

/// Runs all senders of a folder until SIGTERM, which each handles as a real sender does.
pub fn run(options: &Options) -> Result<(), Error> {
    let mut threads: Vec<JoinHandle<Result<(), Error>>> = Vec::new();
    let entries = fs::read_dir(&options.dir).map_err(|error| failed_at(&options.dir, error))?;
    for folder in entries.flatten().map(|entry| entry.path()).filter(|path| path.is_dir()) {
        let thread = std::thread::Builder::new().name("hollow".into()).stack_size(STACK_BYTES);
        threads.push(thread.spawn(move || serve(&folder))?);
    }
    for thread in threads {
        thread.join().map_err(|_| Error::Failed("a hollow sender panicked".into()))??;
    }
    Ok(())
}

/// Runs the sender of one folder.
fn serve(folder: &Path) -> Result<(), Error> {
    let path = folder.join("config.json");
    let config = Config::read(&path).map_err(Error::Input)?;
    driver::serve(config, &path, &folder.join("state")).map_err(|error| failed_at(folder, error))
}

fn failed_at(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::Failed(format!("{}: {error}", path.display()))
}

/// One hollow sender, before it is started.
#[derive(Debug, Clone)]
pub struct HollowSender {
    /// Its number among all senders of the run.
    pub number: u16,
    /// Where it listens for clients.
    pub listen_address: SocketAddr,
    /// Its configuration, as JSON.
    pub config: String,
}

/// The hollow senders of one process. The process is killed when this is dropped.
pub struct HollowSenders {
    folder: TempFolder,
    listen_addresses: Vec<SocketAddr>,
    guard: Arc<Guard>,
    child: Option<Child>,
}

impl HollowSenders {
    /// Creates their folders and writes their configurations. The process is not started yet.
    pub fn prepare(name: &str, senders: &[HollowSender], guard: &Arc<Guard>) -> Result<Self, Error> {
        let folder = TempFolder::new(name)?;
        // This subfolder is for a single sender; here each sender gets one of its own.
        fs::remove_dir(folder.path().join("state"))?;
        for sender in senders {
            let sender_folder = folder.path().join(sender.number.to_string());
            fs::create_dir_all(sender_folder.join("state"))?;
            fs::write(sender_folder.join("config.json"), &sender.config)?;
        }
        let listen_addresses = senders.iter().map(|sender| sender.listen_address).collect();
        Ok(HollowSenders { folder, listen_addresses, guard: guard.clone(), child: None })
    }

    /// Starts the process, which runs this program with the verb `hollow`.
    pub fn launch(&mut self) -> Result<(), Error> {
        self.guard.admit(START_MEMORY_BYTES)?;
        let log = File::create(self.folder.path().join("log"))?;
        let program = std::env::current_exe()?;
        let child = Command::new(program)
            .arg("hollow")
            .arg(self.folder.path())
            .env("RUST_LOG", "warn")
            .stderr(log)
            .spawn()?;
        self.guard.add_child(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Waits until all senders are ready.
    pub fn wait_until_ready(&mut self) -> Result<(), Error> {
        let began_at = Instant::now();
        for address in &self.listen_addresses {
            while !is_ready(*address) {
                self.guard.check()?;
                let exit_status = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
                if exit_status.is_some() || began_at.elapsed() > START_TIMEOUT {
                    let log = fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
                    return Err(Error::Failed(format!("hollow senders are not ready: {log}")));
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Seconds that the process has run on a processor, for all its senders together.
    pub fn cpu_secs(&self) -> f64 {
        self.child.as_ref().and_then(|child| process_cpu_time(child.id())).unwrap_or_default().running_secs
    }
}

impl Drop for HollowSenders {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
            self.guard.remove_child(child.id());
        }
    }
}
