//! Starts and controls the built sender.

use super::messages::{send_request, webhook_request};
use super::platform::Platform;
use super::{TEST_TIMEOUT, unique_address};
use scalebarrow_fault_control::{
    CONTROL_FILE_VARIABLE, ControlFile, ControlWord, FULL_RATE, FolderFault, find_shim,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A configuration with the event types `idem` (idempotent), `token` (tokened) and `once` (at-most-once),
/// each with a target latency of 2 s and a TTL of 8 s, and the destination kinds `plain`, and `bulk` with
/// up to three webhooks in a call.
pub fn config(listen_address: SocketAddr, discovery_address: SocketAddr, initial_list: &str) -> String {
    let event_type = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim-ms":2000.0,"deadline-ms":8000.0,"effect":"{effect}","group":"all","late-value":0.3,"repeat-window-ms":8000.0,"worth":1.0}}"#
        )
    };
    let types =
        [event_type("idem", "free"), event_type("token", "guarded"), event_type("once", "single_shot")]
            .join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen_address}","discovery":"{discovery_address}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3}},"known":{initial_list},
"settings":{{"caps":{{"cancelling":true,"conn-idle-ms":5000.0,"connect-timeout-ms":1000.0,"max-attempts":6,
"max-retry-after-ms":2000.0,"open-cap":300,"retry-after":false}},"classes":[{types}],
"family-info":{{"bundle-max":[1,3],"decay":"by_half","routes-apart":[false,true],"slots":40}},
"instances":1,"me":0,"membership-mode":"push","models":["plain","bulk"],"orgs":[],
"rules":{{"cold-from":0.28,"cold-ms":14000.0,"fall-multiple":1.5}},"weights":"nominal"}}}}"#
    )
}

/// Creates a folder for one program, with an empty folder `state` in it.
pub fn create_folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(path.join("state")).unwrap();
    path
}

/// A command that runs the program on the configuration and the state in this folder.
fn command(folder: &Path, subcommand: &str) -> Command {
    // `SCALEBARROW` runs the tests against another build of the program.
    let default_program = || env!("CARGO_BIN_EXE_scalebarrow").into();
    let program = std::env::var_os("SCALEBARROW").unwrap_or_else(default_program);
    // The file `descriptors`, if there is one, holds the limit of open descriptors.
    let mut command = Command::new("sh");
    let limit = folder.join("descriptors");
    command.args(["-c", r#"[ ! -f "$0" ] || ulimit -n "$(cat "$0")"; exec "$@""#]).arg(limit).arg(program);
    let control = folder.join("control");
    if control.exists() {
        let shim = find_shim(Path::new(env!("CARGO_BIN_EXE_scalebarrow"))).unwrap();
        command.env("LD_PRELOAD", shim).env(CONTROL_FILE_VARIABLE, control);
    }
    command
        .arg(subcommand)
        .env("LB_CONFIG", folder.join("config.json"))
        .env("LB_STATE", folder.join("state"));
    command
}

/// Runs a subcommand on a configuration and waits until it exits.
pub fn run_to_exit(subcommand: &str, config: &str) -> Output {
    let folder = create_folder();
    std::fs::write(folder.join("config.json"), config).unwrap();
    command(&folder, subcommand).output().unwrap()
}

/// A running sender.
pub struct Program {
    /// The address at which it accepts webhooks.
    pub listen_address: SocketAddr,
    /// Holds its configuration, its state and its log.
    pub folder: PathBuf,
    child: Child,
}

impl Program {
    /// Starts the program for a platform. `initial_list` is the endpoint list in its configuration; each pair
    /// of `changes` replaces text in the configuration.
    pub fn start(platform: &Platform, initial_list: &str, changes: &[(&str, &str)]) -> Self {
        Self::start_in(create_folder(), platform, initial_list, changes)
    }

    /// The same, with the fault shim preloaded.
    pub fn start_with_shim(platform: &Platform, initial_list: &str, changes: &[(&str, &str)]) -> Self {
        let folder = create_folder();
        ControlFile::create(&folder.join("control")).unwrap();
        Self::start_in(folder, platform, initial_list, changes)
    }

    fn start_in(folder: PathBuf, platform: &Platform, initial_list: &str, changes: &[(&str, &str)]) -> Self {
        let listen_address = unique_address();
        let base = config(listen_address, platform.address, initial_list);
        let config = changes.iter().fold(base, |config, (from, to)| {
            assert!(config.contains(from), "{from} is not in the configuration");
            config.replace(from, to)
        });
        std::fs::write(folder.join("config.json"), config).unwrap();
        let child = Self::spawn(&folder, listen_address);
        Program { listen_address, folder, child }
    }

    /// Starts the process without waiting until it is ready.
    fn launch(folder: &Path) -> Child {
        // The log is kept, so that it can be read after a test has failed.
        let log = std::fs::File::options().create(true).append(true).open(folder.join("log")).unwrap();
        command(folder, "serve").args(["--log", "debug"]).stderr(log).spawn().unwrap()
    }

    /// Starts the process and waits until it is ready.
    fn spawn(folder: &Path, listen_address: SocketAddr) -> Child {
        let child = Self::launch(folder);
        let started_at = Instant::now();
        // The program listens only once it is ready.
        while TcpStream::connect(listen_address).is_err() {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "the program does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(
            send_request(listen_address, b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap().status(),
            200
        );
        child
    }

    /// Runs a second process on the same folder, with another address for clients, until it exits.
    pub fn run_second_process(&self) -> Output {
        let config = std::fs::read_to_string(self.folder.join("config.json")).unwrap();
        let config = config.replace(&self.listen_address.to_string(), &unique_address().to_string());
        std::fs::write(self.folder.join("second.json"), config).unwrap();
        let mut command = command(&self.folder, "serve");
        let mut child = command
            .env("LB_CONFIG", self.folder.join("second.json"))
            .stderr(std::process::Stdio::piped())
            .spawn()
            .unwrap();
        let started_at = Instant::now();
        while child.try_wait().unwrap().is_none() && started_at.elapsed() < TEST_TIMEOUT {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        child.wait_with_output().unwrap()
    }

    /// The id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn send_signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    /// Stops the process (SIGSTOP) while `action` runs, so that it handles all of its effects in one
    /// iteration of its event loop.
    pub fn while_stopped<T>(&self, action: impl FnOnce() -> T) -> T {
        self.send_signal("STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&path).unwrap().contains(") T ") {
            thread::sleep(Duration::from_millis(1));
        }
        let result = action();
        // Not every system delivers over loopback within the call that sends.
        thread::sleep(Duration::from_millis(50));
        self.send_signal("CONT");
        result
    }

    /// Replaces text in the configuration file.
    pub fn edit_config(&self, from: &str, to: &str) {
        let path = self.folder.join("config.json");
        let old = std::fs::read_to_string(&path).unwrap();
        assert!(old.contains(from), "{from} is not in the configuration");
        std::fs::write(path, old.replace(from, to)).unwrap();
    }

    /// Replaces text in the configuration file and makes the program reload it (SIGHUP).
    pub fn edit_and_reload_config(&self, from: &str, to: &str) {
        self.edit_config(from, to);
        self.send_signal("HUP");
    }

    /// The log of all processes that ran on this folder.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap()
    }

    /// Waits until the log contains this text `occurrences` times.
    pub fn wait_for_log(&self, text: &str, occurrences: usize) {
        let started_at = Instant::now();
        while self.log().matches(text).count() < occurrences {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "{text} was not logged");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sets the offset of the program's wall clock from the system's.
    pub fn step_wall_clock(&self, seconds: f64) {
        ControlFile::open(&self.folder.join("control")).unwrap().set_wall_clock_offset(seconds).unwrap();
    }

    /// Delays the program after each reading of its clock, by up to `max_delay`.
    pub fn delay_clock_reads(&self, max_delay: Duration) {
        let control = ControlFile::open(&self.folder.join("control")).unwrap();
        control.set(ControlWord::HoldUpMicros, max_delay.as_micros() as u64).unwrap();
        control.set(ControlWord::HoldUpRate, FULL_RATE).unwrap();
    }

    /// Makes writes to the state folder fail, or succeed again.
    pub fn inject_folder_fault(&self, fault: FolderFault) {
        let control = ControlFile::open(&self.folder.join("control")).unwrap();
        control.set(ControlWord::FolderFault, fault as u64).unwrap();
    }

    /// Appends an incomplete record to the program's journal, as a kill during a write leaves it.
    pub fn append_partial_record(&self) {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap().map(|file| file.unwrap().path());
        let is_segment = |path: &PathBuf| path.to_string_lossy().contains("segment-");
        let last_segment = files.filter(is_segment).max().unwrap();
        let mut segment = std::fs::File::options().append(true).open(last_segment).unwrap();
        segment.write_all(b"half a record").unwrap();
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts the program again on the same folder after it was killed.
    pub fn start_again(&mut self) {
        self.child = Self::spawn(&self.folder, self.listen_address);
    }

    /// Kills the process (SIGKILL) unless it has exited, and starts the program again on the same folder.
    pub fn kill_and_restart(&mut self) {
        self.kill();
        self.start_again();
    }

    /// The number of descriptors the process has open.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Sets the limit of open descriptors: to the configured 256 if `allowed`, else so low that no further
    /// descriptor can be opened.
    pub fn allow_new_descriptors(&self, allowed: bool) {
        let fd_folder = format!("/proc/{}/fd", self.child.id());
        let open_descriptors: Vec<usize> = std::fs::read_dir(fd_folder)
            .unwrap()
            .map(|file| file.unwrap().file_name().to_str().unwrap().parse().unwrap())
            .collect();
        // A new descriptor gets the lowest free number, and the limit is on that number.
        let first_free = (0..).find(|number| !open_descriptors.contains(number)).unwrap();
        let (pid, limit) = (self.child.id().to_string(), if allowed { 256 } else { first_free });
        let nofile_option = format!("--nofile={limit}:");
        assert!(Command::new("prlimit").args(["--pid", &pid, &nofile_option]).status().unwrap().success());
    }

    /// Kills the process, starts the program again and sends it a signal after a delay, whether or not it
    /// is ready. Then waits until it exits.
    pub fn restart_and_signal(&mut self, signal: &str, delay: Duration) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = Self::launch(&self.folder);
        thread::sleep(delay);
        let started_at = Instant::now();
        self.send_signal(signal);
        self.child.wait().unwrap();
        assert!(started_at.elapsed() < Duration::from_millis(3700), "{:?}", started_at.elapsed());
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Opens a client connection.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen_address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    /// Submits a webhook for destination 1 over a new connection and returns the status of the response.
    pub fn submit_webhook(&self, event_type: &str, id: &str, ttl_ms: u64, body: &[u8]) -> u16 {
        send_request(self.listen_address, &webhook_request(event_type, id, ttl_ms, body)).unwrap().status()
    }

    /// The peak resident memory of the process.
    pub fn peak_memory_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    /// The total size of the files in the state folder.
    pub fn state_bytes(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap();
        files.map(|file| file.unwrap().metadata().unwrap().len()).sum()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Either fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
