//! Starts and controls the built sender, and provides mock endpoints, a mock platform and clients for it.

use scalebarrow_fault_control::{
    CONTROL_FILE_VARIABLE, ControlFile, ControlWord, FULL_RATE, FolderFault, find_shim,
};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout for anything a test waits for. It is far longer than any step takes, so reaching it means
/// failure.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns a loopback address that no other party uses, so that concurrent tests and test runs do not
/// collide.
pub fn unique_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let (number, pid) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let (last_octet, port) = ((number % 256) as u8, 8081 + (number / 256) as u16);
    SocketAddr::from(([127, 100 + (pid % 100) as u8, (pid / 100 % 250) as u8, last_octet], port))
}

/// A received HTTP request or response.
#[derive(Debug, Clone)]
pub struct HttpMessage {
    /// The start line and the header lines.
    pub head: String,
    /// The body, empty if the head has no `Content-Length`.
    pub body: Vec<u8>,
    /// When the head had been received.
    pub received_at: Instant,
}

impl HttpMessage {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let headers = self.head.lines().filter_map(|line| line.split_once(':'));
        headers.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }

    /// The status code of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The webhook id of a call, empty if there is none.
    pub fn id(&self) -> String {
        self.header("Req-Id").unwrap_or_default().to_owned()
    }
}

/// Reads one message. Returns `None` if the connection ends before it is complete.
pub fn read_message(stream: &mut TcpStream) -> Option<HttpMessage> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        // Unlike `read`, `read_exact` retries after EINTR.
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let mut message =
        HttpMessage { head: String::from_utf8(head).unwrap(), body: Vec::new(), received_at: Instant::now() };
    let body_bytes = message.header("Content-Length").map_or(0, |length| length.parse().unwrap());
    message.body.resize(body_bytes, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a mock server does after it has read a request.
pub enum Action {
    /// Sends this response.
    Respond(&'static str),
    /// Sends this response, which the handler has built.
    RespondOwned(String),
    /// Sends this response and closes the connection.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Leaves the connection open and does not respond.
    NoResponse,
}

/// A response that reports success.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// A response that acknowledges notices.
pub const NO_CONTENT_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// Starts a server that calls `handler` for each request and does what it returns. The handler also gets
/// the number of the request, counted from 0 over all connections.
fn start_mock_server(
    address: SocketAddr, handler: impl Fn(usize, &HttpMessage) -> Action + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).unwrap();
    let (handler, count) = (Arc::new(handler), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (handler, count) = (handler.clone(), count.clone());
            thread::spawn(move || {
                while let Some(request) = read_message(&mut stream) {
                    let response = match handler(count.fetch_add(1, Ordering::SeqCst), &request) {
                        Action::Respond(text) => text.to_owned(),
                        Action::RespondOwned(text) => text,
                        Action::Close => return,
                        Action::RespondAndClose(text) => {
                            let _ = stream.write_all(text.as_bytes());
                            return;
                        }
                        Action::NoResponse => continue,
                    };
                    if stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A mock endpoint that handles each connection on a thread of its own.
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// The calls in the order in which they were received.
    pub calls: Receiver<HttpMessage>,
}

impl Endpoint {
    /// Starts an endpoint at a new address.
    pub fn start(handler: impl Fn(usize, &HttpMessage) -> Action + Send + Sync + 'static) -> Self {
        Self::start_at(unique_address(), handler)
    }

    /// Starts an endpoint at this address.
    pub fn start_at(
        address: SocketAddr, handler: impl Fn(usize, &HttpMessage) -> Action + Send + Sync + 'static,
    ) -> Self {
        let (call_sender, calls) = channel();
        let call_sender = Mutex::new(call_sender);
        start_mock_server(address, move |number, call| {
            let _ = call_sender.lock().unwrap().send(call.clone());
            handler(number, call)
        });
        Endpoint { address, calls }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> HttpMessage {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("no call was received")
    }
}

/// An entry of the endpoint list for an endpoint of destination 1.
pub fn endpoint_entry(name: &str, address: SocketAddr, destination_kind: &str, health: &str) -> String {
    endpoint_entry_for(1, name, address, destination_kind, health)
}

/// An entry of the endpoint list.
pub fn endpoint_entry_for(
    destination: u64, name: &str, address: SocketAddr, destination_kind: &str, health: &str,
) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"z","class":"{destination_kind}","block":{destination},"health":"{health}","share":50.0,"born_ms":0}}"#
    )
}

/// An endpoint list, or the changes since another version of it.
pub fn endpoint_list(version: u64, is_complete: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{is_complete},"hosts":[{}]}}"#, entries.join(","))
}

/// A mock platform. It serves the endpoint list, holds each watch until there is a change or its wait is
/// over, and receives notices.
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// The bodies of the notices in the order in which they were received.
    pub notices: Receiver<String>,
    /// Responses to the next watches.
    watch_bodies: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Platform {
    /// Serves `full_list`. The first `rejected_notices` notices are answered with an error.
    pub fn start(full_list: String, rejected_notices: usize) -> Self {
        let (address, (notice_sender, notices)) = (unique_address(), channel::<String>());
        let watch_bodies = Arc::new((Mutex::new(Vec::<String>::new()), Condvar::new()));
        let (shared, notice_sender): (_, Mutex<Sender<String>>) =
            (watch_bodies.clone(), Mutex::new(notice_sender));
        let notice_count = AtomicUsize::new(0);
        start_mock_server(address, move |_, request| {
            if request.head.starts_with("POST /v1/outcomes ") {
                let _ = notice_sender.lock().unwrap().send(String::from_utf8(request.body.clone()).unwrap());
                let rejected = notice_count.fetch_add(1, Ordering::SeqCst) < rejected_notices;
                return Action::Respond(if rejected {
                    "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n"
                } else {
                    NO_CONTENT_RESPONSE
                });
            }
            let mut body = full_list.clone();
            if let Some(watch) = request.head.strip_prefix("GET /v1/endpoints?since=") {
                let number = |text: &str| text.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse();
                let since_version: u64 = number(watch).unwrap();
                let wait_ms: u64 = number(watch.split_once("timeout_ms=").unwrap().1).unwrap();
                let (queued, wait) = (shared.0.lock().unwrap(), Duration::from_millis(wait_ms));
                let mut queued =
                    shared.1.wait_timeout_while(queued, wait, |bodies| bodies.is_empty()).unwrap().0;
                // A watch without changes is answered when its wait is over.
                body = if queued.is_empty() {
                    endpoint_list(since_version, false, &[])
                } else {
                    queued.remove(0)
                };
            }
            Action::RespondOwned(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
        });
        Platform { address, notices, watch_bodies }
    }

    /// Answers the open watch, or the next one, with this body.
    pub fn answer_watch(&self, body: String) {
        self.watch_bodies.0.lock().unwrap().push(body);
        self.watch_bodies.1.notify_all();
    }

    /// Waits for the next notice.
    pub fn next_notice(&self) -> String {
        self.notices.recv_timeout(TEST_TIMEOUT).expect("no notice was received")
    }
}

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

/// A request that submits a webhook for destination 1.
pub fn webhook_request(event_type: &str, id: &str, ttl_ms: u64, body: &[u8]) -> Vec<u8> {
    webhook_request_for(1, event_type, id, ttl_ms, body)
}

/// A request that submits a webhook.
pub fn webhook_request_for(
    destination: u64, event_type: &str, id: &str, ttl_ms: u64, body: &[u8],
) -> Vec<u8> {
    let body_len = body.len();
    let head = format!(
        "POST /{event_type} HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline: {ttl_ms}m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\nContent-Length: {body_len}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes over a new connection and reads one response.
pub fn send_request(address: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    // The response may be received, and the connection closed, before all bytes are written.
    let _ = stream.write_all(bytes);
    read_message(&mut stream)
}

/// A socket to which the peer can send only tens of KB before this side reads: it has a small segment size
/// and a small receive window.
fn small_window_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket.set_tcp_mss(88).unwrap();
    socket
}

/// A client to which only a few responses can be sent before it reads them.
pub fn connect_with_small_window(listen_address: SocketAddr) -> TcpStream {
    let socket = small_window_socket();
    socket.connect(&listen_address.into()).unwrap();
    socket.into()
}

/// More clients than the program handles in one iteration of its event loop. Events behind their requests
/// are ready, but handled only in a later iteration.
pub struct ManyClients(Vec<TcpStream>);

impl ManyClients {
    /// The change of the configuration that allows so many clients.
    pub const CONFIG_CHANGE: (&str, &str) = ("\"sockets\":256", "\"sockets\":1000");
    const COUNT: usize = 300;

    /// Connects the clients without sending anything.
    pub fn connect(program: &Program) -> Self {
        let (initial_descriptors, started_at) = (program.descriptor_count(), Instant::now());
        let mut clients = Vec::new();
        while clients.len() < Self::COUNT {
            // Fewer than the listener's accept queue holds: a connect beyond that is retried by TCP only
            // after a second.
            clients.extend((0..50).map(|_| program.connect()));
            // Other connections may be closed meanwhile, hence the margin.
            while program.descriptor_count() < initial_descriptors + clients.len() - 20 {
                assert!(started_at.elapsed() < TEST_TIMEOUT, "the clients are not accepted");
                thread::sleep(Duration::from_millis(1));
            }
        }
        // Lets the program handle the first event of each connection, which only reports that it is
        // writable.
        thread::sleep(Duration::from_millis(20));
        ManyClients(clients)
    }

    /// Sends one request from each client.
    pub fn send_requests(&mut self) {
        for client in &mut self.0 {
            client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        }
    }
}

/// Whether the connection ends with an orderly close: no further data and no reset.
pub fn is_closed_cleanly(mut stream: TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(0))
}

/// Closes the connection with a reset, which may discard what the peer sent last.
pub fn reset_connection(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// An endpoint that the test operates itself: it accepts, reads and responds only when the test does so.
pub struct ManualEndpoint(TcpListener);

impl ManualEndpoint {
    /// Starts an endpoint at this address.
    pub fn start(address: SocketAddr) -> Self {
        ManualEndpoint(TcpListener::bind(address).unwrap())
    }

    /// Starts an endpoint whose accept queue holds one connection. A connect beyond that is retried by TCP
    /// after a second.
    pub fn start_with_short_accept_queue(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&address.into()).unwrap();
        socket.listen(0).unwrap();
        ManualEndpoint(socket.into())
    }

    /// Starts an endpoint that takes in a few KB at a time, so that the sender cannot write a long call at
    /// once.
    pub fn start_with_small_window(address: SocketAddr) -> Self {
        let socket = small_window_socket();
        socket.bind(&address.into()).unwrap();
        socket.listen(8).unwrap();
        ManualEndpoint(socket.into())
    }

    /// Whether no connection is waiting to be accepted.
    pub fn has_no_pending_connection(&self) -> bool {
        self.0.set_nonblocking(true).unwrap();
        self.0.accept().is_err()
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        self.0.set_nonblocking(true).unwrap();
        let started_at = Instant::now();
        let stream = loop {
            match self.0.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(started_at.elapsed() < TEST_TIMEOUT, "no connection was opened: {e}"),
            }
            thread::sleep(Duration::from_millis(1));
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }
}

/// Waits until the last bytes sent by an endpoint, or the close of its connection, have reached the sender.
/// On a busy machine this may take longer than the call that sends. The endpoint must have only one
/// connection.
pub fn wait_until_received(endpoint: SocketAddr) {
    let SocketAddr::V4(ipv4) = endpoint else { panic!("{endpoint} is not an IPv4 address") };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(ipv4.ip().octets()), ipv4.port());
    let is_idle = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // State ESTABLISHED with an empty receive queue.
        fields.get(2) == Some(&remote.as_str()) && fields[3] == "01" && fields[4].ends_with(":00000000")
    };
    let started_at = Instant::now();
    while std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(is_idle) {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "nothing was received from {endpoint}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Checks the delivery guarantees: each accepted webhook gets one final answer, by delivery or by a notice,
/// and an at-most-once webhook is not sent again once it may have run.
#[derive(Default)]
pub struct DeliveryChecker {
    /// Ids of the webhooks that were answered with 202.
    accepted: Vec<String>,
    /// The webhook id of each call that was received in full, so that the webhook may have run.
    called: Vec<String>,
    /// Ids of the webhooks that an endpoint reported as delivered before their TTL was over.
    delivered: Vec<String>,
}

impl DeliveryChecker {
    /// Submits a webhook, which must be accepted.
    pub fn submit(&mut self, program: &Program, event_type: &str, id: &str, ttl_ms: u64) {
        assert_eq!(program.submit_webhook(event_type, id, ttl_ms, b""), 202, "{id}");
        self.accepted.push(id.to_owned());
    }

    /// Records a webhook that the test submitted itself and that was answered with 202.
    pub fn add_accepted(&mut self, id: &str) {
        self.accepted.push(id.to_owned());
    }

    /// Reads one call, whose webhook may have run from then on.
    pub fn read_call(&mut self, stream: &mut TcpStream) -> HttpMessage {
        let call = read_message(stream).expect("no call was received");
        self.called.push(call.id());
        call
    }

    /// Records a webhook that was reported as delivered before its TTL was over.
    pub fn add_delivered(&mut self, id: &str) {
        self.delivered.push(id.to_owned());
    }

    /// Accepts a connection, reads the call for this webhook and reports it as delivered.
    pub fn deliver_next(&mut self, endpoint: &ManualEndpoint, id: &str) -> TcpStream {
        let mut connection = endpoint.accept();
        assert_eq!(self.read_call(&mut connection).id(), id);
        connection.write_all(OK_RESPONSE.as_bytes()).unwrap();
        self.add_delivered(id);
        connection
    }

    /// Waits until each accepted webhook has its final answer, then checks the guarantees. Ids of
    /// at-most-once webhooks begin with `once`.
    pub fn check_final_answers(self, platform: &Platform) {
        let mut notified: Vec<String> = Vec::new();
        while self.accepted.iter().any(|id| !notified.contains(id) && !self.delivered.contains(id)) {
            let notice = platform.notices.recv_timeout(TEST_TIMEOUT);
            let notice = notice
                .unwrap_or_else(|_| panic!("no final answer: {:?}, notified {notified:?}", self.accepted));
            notified.extend(notice.lines().filter_map(|line| line.split('"').nth(3)).map(str::to_owned));
        }
        assert!(
            !self.delivered.iter().any(|id| notified.contains(id)),
            "delivered and given up: {notified:?}"
        );
        assert!(notified.iter().all(|id| self.accepted.contains(id)), "{notified:?} of {:?}", self.accepted);
        for id in self.called.iter().filter(|id| id.starts_with("once")) {
            assert_eq!(self.called.iter().filter(|called| *called == id).count(), 1, "{id} was sent twice");
        }
    }
}
