//! Hollow senders: many in one process, each in a thread of its own that runs the program's own event loop on a folder and
//! addresses of its own. List service, receivers and clients meet them as they meet real processes; memory and processor
//! time of one alone cannot be told.

use crate::error::Error;
use crate::guard::Guard;
use crate::process::{Folder, START_LIMIT, is_ready, processor_time};
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

/// Hollow senders of one process at most.
pub const MOST_TOGETHER: usize = 140;
/// Memory that they take at once, for the guard.
const FRESH_MEMORY: u64 = 256 << 20;
const LOOK: Duration = Duration::from_millis(5);
/// Linux's own figure for a main thread is far more than the event loop needs.
const STACK: usize = 1 << 20;

/// What `hollow` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// A folder that holds one for each sender, with its configuration and state
    #[bpaf(positional("DIR"))]
    dir: PathBuf,
}

/// Serves until SIGTERM, which all senders take as the program does.
pub fn run(options: &Options) -> Result<(), Error> {
    let mut threads: Vec<JoinHandle<Result<(), Error>>> = Vec::new();
    let entries = fs::read_dir(&options.dir).map_err(|e| at(&options.dir, e))?;
    for folder in entries.flatten().map(|entry| entry.path()).filter(|path| path.is_dir()) {
        let thread = std::thread::Builder::new().name("hollow".into()).stack_size(STACK);
        threads.push(thread.spawn(move || serve(&folder))?);
    }
    for thread in threads {
        thread.join().map_err(|_| Error::Failed("a hollow sender failed".into()))??;
    }
    Ok(())
}

fn serve(folder: &Path) -> Result<(), Error> {
    let path = folder.join("config.json");
    let config = Config::read(&path).map_err(Error::Input)?;
    driver::serve(config, &path, &folder.join("state")).map_err(|e| at(folder, e))
}

fn at(path: &Path, error: impl std::fmt::Display) -> Error {
    Error::Failed(format!("{}: {error}", path.display()))
}

/// One of them, before it is started.
#[derive(Debug, Clone)]
pub struct HollowSender {
    /// Its place among all senders.
    pub me: u16,
    pub listen: SocketAddr,
    pub config: String,
}

/// Hollow senders that share a process.
pub struct HollowSenders {
    folder: Folder,
    listen: Vec<SocketAddr>,
    guard: Arc<Guard>,
    child: Option<Child>,
}

impl HollowSenders {
    /// Writes their configurations.
    pub fn prepare(name: &str, senders: &[HollowSender], guard: &Arc<Guard>) -> Result<Self, Error> {
        let folder = Folder::new(name)?;
        // Made for a single sender; here each has one of its own.
        fs::remove_dir(folder.path().join("state"))?;
        for sender in senders {
            let own = folder.path().join(sender.me.to_string());
            fs::create_dir_all(own.join("state"))?;
            fs::write(own.join("config.json"), &sender.config)?;
        }
        let listen = senders.iter().map(|sender| sender.listen).collect();
        Ok(HollowSenders { folder, listen, guard: guard.clone(), child: None })
    }

    /// Starts the process: this program again.
    pub fn launch(&mut self) -> Result<(), Error> {
        self.guard.admit(FRESH_MEMORY)?;
        let log = File::create(self.folder.path().join("log"))?;
        let program = std::env::current_exe()?;
        let child = Command::new(program)
            .arg("hollow")
            .arg(self.folder.path())
            .env("RUST_LOG", "warn")
            .stderr(log)
            .spawn()?;
        self.guard.add(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Waits until all are ready.
    pub fn wait_ready(&mut self) -> Result<(), Error> {
        let began = Instant::now();
        for at in &self.listen {
            while !is_ready(*at) {
                self.guard.check()?;
                let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
                if ended.is_some() || began.elapsed() > START_LIMIT {
                    let log = fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
                    return Err(Error::Failed(format!("hollow senders are not ready: {log}")));
                }
                std::thread::sleep(LOOK);
            }
        }
        Ok(())
    }

    /// Processor time of all of them together.
    pub fn processor_time(&self) -> f64 {
        self.child.as_ref().and_then(|child| processor_time(child.id())).unwrap_or_default().ran
    }
}

impl Drop for HollowSenders {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
            self.guard.remove(child.id());
        }
    }
}
