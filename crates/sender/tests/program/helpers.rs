//! The built program, and stand-ins for those it speaks to: endpoints, the platform, clients.

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

/// Far more than anything here takes; a test that waits so long has failed.
pub const LONG: Duration = Duration::from_secs(15);

/// An address of its own for each party, so that tests and runs side by side do not meet.
pub fn address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let (own, pid) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let (host, port) = ((own % 256) as u8, 8081 + (own / 256) as u16);
    SocketAddr::from(([127, 100 + (pid % 100) as u8, (pid / 100 % 250) as u8, host], port))
}

/// One message as it came: the first line and header lines, and the body.
#[derive(Debug, Clone)]
pub struct Heard {
    pub head: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl Heard {
    pub fn field(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(':'));
        lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next()
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.field("Req-Id").unwrap_or_default().to_owned()
    }
}

/// Reads one message; nothing where the connection ends before.
pub fn hear(stream: &mut TcpStream) -> Option<Heard> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        // Unlike a plain read it goes on after an interruption.
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let mut heard = Heard { head: String::from_utf8(head).unwrap(), body: Vec::new(), at: Instant::now() };
    let size = heard.field("Content-Length").map_or(0, |l| l.parse().unwrap());
    heard.body.resize(size, 0);
    stream.read_exact(&mut heard.body).ok()?;
    Some(heard)
}

/// What a stand-in does with a message.
pub enum Deed {
    Say(&'static str),
    Tell(String),
    /// Says it and ends the connection.
    Last(&'static str),
    /// Ends the connection with no answer.
    Break,
    /// Keeps the connection and says nothing.
    Silence,
}

pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
pub const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// Listens and does what `deed` says for each message, by its number counted over all connections.
fn stand_in(at: SocketAddr, deed: impl Fn(usize, &Heard) -> Deed + Send + Sync + 'static) {
    let listener = TcpListener::bind(at).unwrap();
    let (deed, count) = (Arc::new(deed), Arc::new(AtomicUsize::new(0)));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (deed, count) = (deed.clone(), count.clone());
            thread::spawn(move || {
                while let Some(heard) = hear(&mut stream) {
                    let answer = match deed(count.fetch_add(1, Ordering::SeqCst), &heard) {
                        Deed::Say(text) => text.to_owned(),
                        Deed::Tell(text) => text,
                        Deed::Break => return,
                        Deed::Last(text) => {
                            let _ = stream.write_all(text.as_bytes());
                            return;
                        }
                        Deed::Silence => continue,
                    };
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// An endpoint at an address of its own. What it hears comes out of the channel.
pub struct Endpoint {
    pub at: SocketAddr,
    pub calls: Receiver<Heard>,
}

impl Endpoint {
    pub fn start(deed: impl Fn(usize, &Heard) -> Deed + Send + Sync + 'static) -> Self {
        Self::start_at(address(), deed)
    }

    pub fn start_at(at: SocketAddr, deed: impl Fn(usize, &Heard) -> Deed + Send + Sync + 'static) -> Self {
        let (tell, calls) = channel();
        let tell = Mutex::new(tell);
        stand_in(at, move |count, heard| {
            let _ = tell.lock().unwrap().send(heard.clone());
            deed(count, heard)
        });
        Endpoint { at, calls }
    }

    pub fn call(&self) -> Heard {
        self.calls.recv_timeout(LONG).expect("no call came")
    }
}

/// One line of the list, for destination 1.
pub fn host(name: &str, at: SocketAddr, kind: &str, health: &str) -> String {
    host_of(1, name, at, kind, health)
}

/// One line of the list.
pub fn host_of(dest: u64, name: &str, at: SocketAddr, kind: &str, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{at}","site":"z","class":"{kind}","block":{dest},"health":"{health}","share":50.0,"born_ms":0}}"#
    )
}

pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// The platform: its list, with watches that are held until there is news, and the notices it was sent.
pub struct Platform {
    pub at: SocketAddr,
    pub notices: Receiver<String>,
    news: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Platform {
    /// `whole` is the list; the first `deaf` notices are answered with an error.
    pub fn start(whole: String, deaf: usize) -> Self {
        let (at, (tell, notices)) = (address(), channel::<String>());
        let news = Arc::new((Mutex::new(Vec::<String>::new()), Condvar::new()));
        let (held, tell): (_, Mutex<Sender<String>>) = (news.clone(), Mutex::new(tell));
        let heard_notices = AtomicUsize::new(0);
        stand_in(at, move |_, heard| {
            if heard.head.starts_with("POST /v1/outcomes ") {
                let _ = tell.lock().unwrap().send(String::from_utf8(heard.body.clone()).unwrap());
                let bad = heard_notices.fetch_add(1, Ordering::SeqCst) < deaf;
                return Deed::Say(if bad {
                    "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n"
                } else {
                    NO_CONTENT
                });
            }
            let mut body = whole.clone();
            if let Some(watch) = heard.head.strip_prefix("GET /v1/endpoints?since=") {
                let number = |from: &str| from.split(|c: char| !c.is_ascii_digit()).next().unwrap().parse();
                let since: u64 = number(watch).unwrap();
                let wait: u64 = number(watch.split_once("timeout_ms=").unwrap().1).unwrap();
                let (waiting, wait) = (held.0.lock().unwrap(), Duration::from_millis(wait));
                let mut waiting = held.1.wait_timeout_while(waiting, wait, |w| w.is_empty()).unwrap().0;
                // With nothing to tell it is answered when its wait is over.
                body = if waiting.is_empty() { list(since, false, &[]) } else { waiting.remove(0) };
            }
            Deed::Tell(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
        });
        Platform { at, notices, news }
    }

    /// Answers the watch that stands, or the next, with this body.
    pub fn tell(&self, body: String) {
        self.news.0.lock().unwrap().push(body);
        self.news.1.notify_all();
    }

    pub fn notice(&self) -> String {
        self.notices.recv_timeout(LONG).expect("no notice came")
    }
}

/// A configuration: event types `idem`, `token` and `once`, wanted in 2 s and given up in 8 s; kinds `plain`, and
/// `bulk` with three in a call.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
    let event_type = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim-ms":2000.0,"deadline-ms":8000.0,"effect":"{effect}","group":"all","late-value":0.3,"repeat-window-ms":8000.0,"worth":1.0}}"#
        )
    };
    let types =
        [event_type("idem", "free"), event_type("token", "guarded"), event_type("once", "single_shot")]
            .join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3}},"known":{known},
"settings":{{"caps":{{"cancelling":true,"conn-idle-ms":5000.0,"connect-timeout-ms":1000.0,"max-attempts":6,
"max-retry-after-ms":2000.0,"open-cap":300,"retry-after":false}},"classes":[{types}],
"family-info":{{"bundle-max":[1,3],"decay":"by_half","routes-apart":[false,true],"slots":40}},
"instances":1,"me":0,"membership-mode":"push","models":["plain","bulk"],"orgs":[],
"rules":{{"cold-from":0.28,"cold-ms":14000.0,"fall-multiple":1.5}},"weights":"nominal"}}}}"#
    )
}

/// An empty folder of its own.
pub fn folder() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let own = format!("{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(own);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(path.join("state")).unwrap();
    path
}

fn command(folder: &Path, sub: &str) -> Command {
    // Another build of the program can be set against the same tests.
    let built = || env!("CARGO_BIN_EXE_scalebarrow").into();
    let program = std::env::var_os("SCALEBARROW").unwrap_or_else(built);
    // A file beside its state says how many descriptors the system allows it.
    let mut command = Command::new("sh");
    let limit = folder.join("descriptors");
    command.args(["-c", r#"[ ! -f "$0" ] || ulimit -n "$(cat "$0")"; exec "$@""#]).arg(limit).arg(program);
    let control = folder.join("control");
    if control.exists() {
        let shim = find_shim(Path::new(env!("CARGO_BIN_EXE_scalebarrow"))).unwrap();
        command.env("LD_PRELOAD", shim).env(CONTROL_FILE_VARIABLE, control);
    }
    command.arg(sub).env("LB_CONFIG", folder.join("config.json")).env("LB_STATE", folder.join("state"));
    command
}

/// Runs a sub-command on a configuration to its end.
pub fn run(sub: &str, config: &str) -> Output {
    let folder = folder();
    std::fs::write(folder.join("config.json"), config).unwrap();
    command(&folder, sub).output().unwrap()
}

/// The program, serving.
pub struct Program {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    child: Child,
}

impl Program {
    /// Starts it on a platform's list, with changes to the configuration as (from, to).
    pub fn start(platform: &Platform, known: &str, changes: &[(&str, &str)]) -> Self {
        Self::start_in(folder(), platform, known, changes)
    }

    /// The same, with the fault shim loaded into it.
    pub fn start_with_shim(platform: &Platform, known: &str, changes: &[(&str, &str)]) -> Self {
        let folder = folder();
        ControlFile::create(&folder.join("control")).unwrap();
        Self::start_in(folder, platform, known, changes)
    }

    fn start_in(folder: PathBuf, platform: &Platform, known: &str, changes: &[(&str, &str)]) -> Self {
        let listen = address();
        let plain = config(listen, platform.at, known);
        let config = changes.iter().fold(plain, |c, (from, to)| {
            assert!(c.contains(from), "{from} is not in the configuration");
            c.replace(from, to)
        });
        std::fs::write(folder.join("config.json"), config).unwrap();
        let child = Self::spawn(&folder, listen);
        Program { listen, folder, child }
    }

    fn launch(folder: &Path) -> Child {
        // What it logs is kept beside its state, to be read after a test has failed.
        let log = std::fs::File::options().create(true).append(true).open(folder.join("log")).unwrap();
        command(folder, "serve").args(["--log", "debug"]).stderr(log).spawn().unwrap()
    }

    fn spawn(folder: &Path, listen: SocketAddr) -> Child {
        let child = Self::launch(folder);
        let since = Instant::now();
        // It listens only once it is ready.
        while TcpStream::connect(listen).is_err() {
            assert!(since.elapsed() < LONG, "it does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(say(listen, b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap().status(), 200);
        child
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    /// Holds it still while `happens` does, so that it sees all of that in one turn.
    pub fn stalled<T>(&self, happens: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&path).unwrap().contains(") T ") {
            thread::sleep(Duration::from_millis(1));
        }
        let got = happens();
        // What was sent has to arrive: not every system's loopback hands it over within the call that sends it.
        thread::sleep(Duration::from_millis(50));
        self.signal("CONT");
        got
    }

    /// Replaces text in its configuration.
    pub fn write_config(&self, from: &str, to: &str) {
        let path = self.folder.join("config.json");
        let old = std::fs::read_to_string(&path).unwrap();
        assert!(old.contains(from), "{from} is not in the configuration");
        std::fs::write(path, old.replace(from, to)).unwrap();
    }

    /// Replaces text in its configuration and has it read again.
    pub fn reconfigure(&self, from: &str, to: &str) {
        self.write_config(from, to);
        self.signal("HUP");
    }

    /// What it has logged, since its first start on this folder.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap()
    }

    /// Waits until so many lines of its log hold that text.
    pub fn logged(&self, text: &str, lines: usize) {
        let since = Instant::now();
        while self.log().matches(text).count() < lines {
            assert!(since.elapsed() < LONG, "{text} is not logged");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Steps the wall clock that it sees, from what the system's says.
    pub fn step_wall_clock(&self, seconds: f64) {
        ControlFile::open(&self.folder.join("control")).unwrap().set_wall_clock_offset(seconds).unwrap();
    }

    /// Holds it up behind each reading of its clock, for so long at most.
    pub fn hold_up(&self, most: Duration) {
        let control = ControlFile::open(&self.folder.join("control")).unwrap();
        control.set(ControlWord::HoldUpMicros, most.as_micros() as u64).unwrap();
        control.set(ControlWord::HoldUpRate, FULL_RATE).unwrap();
    }

    /// Has writes to its folder fail, or go through again.
    pub fn fail_folder(&self, fault: FolderFault) {
        let control = ControlFile::open(&self.folder.join("control")).unwrap();
        control.set(ControlWord::FolderFault, fault as u64).unwrap();
    }

    /// Leaves an unfinished record at the end of its journal, as a kill within a write does.
    pub fn tear_journal(&self) {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap().map(|file| file.unwrap().path());
        let is_segment = |path: &PathBuf| path.to_string_lossy().contains("segment-");
        let last = files.filter(is_segment).max().unwrap();
        let mut segment = std::fs::File::options().append(true).open(last).unwrap();
        segment.write_all(b"half a record").unwrap();
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts it again on the same folder after it was killed.
    pub fn relaunch(&mut self) {
        self.child = Self::spawn(&self.folder, self.listen);
    }

    /// Kills it outright and starts it again on the same folder.
    pub fn restart(&mut self) {
        self.kill();
        self.relaunch();
    }

    /// Descriptors that it holds now.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Has the system allow it no descriptor more than it holds, or as many as the configuration tells.
    pub fn allow_descriptors(&self, more: bool) {
        let folder = format!("/proc/{}/fd", self.child.id());
        let held: Vec<usize> = std::fs::read_dir(folder)
            .unwrap()
            .map(|file| file.unwrap().file_name().to_str().unwrap().parse().unwrap())
            .collect();
        // The system counts from the lowest number that is free.
        let next = (0..).find(|number| !held.contains(number)).unwrap();
        let (pid, allowed) = (self.child.id().to_string(), if more { 256 } else { next });
        let limit = format!("--nofile={allowed}:");
        assert!(Command::new("prlimit").args(["--pid", &pid, &limit]).status().unwrap().success());
    }

    /// Ends it, starts it again on the same folder, and signals it after a moment, ready or not.
    pub fn interrupt(&mut self, signal: &str, after: Duration) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = Self::launch(&self.folder);
        thread::sleep(after);
        let since = Instant::now();
        self.signal(signal);
        self.child.wait().unwrap();
        assert!(since.elapsed() < Duration::from_millis(3700), "{:?}", since.elapsed());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }

    /// Hands in a webhook for destination 1 over a connection of its own and returns the answer's status.
    pub fn hand_in(&self, event_type: &str, id: &str, ms: u64, body: &[u8]) -> u16 {
        say(self.listen, &hand_in(event_type, id, ms, body)).unwrap().status()
    }

    /// The most memory that the process had so far, in bytes.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    pub fn state_size(&self) -> u64 {
        let files = std::fs::read_dir(self.folder.join("state")).unwrap();
        files.map(|f| f.unwrap().metadata().unwrap().len()).sum()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The bytes of a webhook handed in for destination 1.
pub fn hand_in(event_type: &str, id: &str, ms: u64, body: &[u8]) -> Vec<u8> {
    hand_in_for(1, event_type, id, ms, body)
}

/// The bytes of a webhook handed in.
pub fn hand_in_for(dest: u64, event_type: &str, id: &str, ms: u64, body: &[u8]) -> Vec<u8> {
    let size = body.len();
    let head = format!(
        "POST /{event_type} HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline: {ms}m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest={dest}\r\nContent-Length: {size}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes over a connection of their own and reads one answer.
pub fn say(to: SocketAddr, bytes: &[u8]) -> Option<Heard> {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    // The answer may come, and the connection end, before all is written.
    let _ = stream.write_all(bytes);
    hear(&mut stream)
}

/// A socket for which the other side's system holds tens of KB at most: small segments, and a small window.
fn narrow_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(1024).unwrap();
    socket.set_tcp_mss(88).unwrap();
    socket
}

/// A client to which few answers can be sent before it reads them.
pub fn narrow_client(listen: SocketAddr) -> TcpStream {
    let socket = narrow_socket();
    socket.connect(&listen.into()).unwrap();
    socket.into()
}

/// More clients than the program looks at in one turn. What comes after their requests is there, but not seen yet.
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// What a configuration has to be changed to for so many.
    pub const ROOM: (&str, &str) = ("\"sockets\":256", "\"sockets\":1000");
    const SIZE: usize = 300;

    /// They connect and say nothing yet.
    pub fn connect(program: &Program) -> Self {
        let (before, since) = (program.descriptors(), Instant::now());
        let mut crowd = Vec::new();
        while crowd.len() < Self::SIZE {
            // Fewer than the system lets wait to be accepted: one more would have to ask again after a second.
            crowd.extend((0..50).map(|_| program.connect()));
            // Others may end meanwhile: it need not be all of them.
            while program.descriptors() < before + crowd.len() - 20 {
                assert!(since.elapsed() < LONG, "they are not accepted");
                thread::sleep(Duration::from_millis(1));
            }
        }
        // Their first events, which only say that they can be written to, are over.
        thread::sleep(Duration::from_millis(20));
        Crowd(crowd)
    }

    pub fn speak(&mut self) {
        for client in &mut self.0 {
            client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        }
    }
}

/// The connection ends as it should: nothing more comes, and no reset.
pub fn ends(mut stream: TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(0))
}

/// A reset: what the other side sent last may be lost with it.
pub fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// An endpoint in the test's own hands: nothing is accepted, heard or answered by itself.
pub struct Manual(TcpListener);

impl Manual {
    pub fn start(at: SocketAddr) -> Self {
        Manual(TcpListener::bind(at).unwrap())
    }

    /// Room for one connection that nobody has accepted: the next one waits, and asks again after a second.
    pub fn narrow(at: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&at.into()).unwrap();
        socket.listen(0).unwrap();
        Manual(socket.into())
    }

    /// Takes in a few KB at a time: the other side cannot send a long call at once.
    pub fn slow(at: SocketAddr) -> Self {
        let socket = narrow_socket();
        socket.bind(&at.into()).unwrap();
        socket.listen(8).unwrap();
        Manual(socket.into())
    }

    /// No connection waits to be accepted.
    pub fn is_left_alone(&self) -> bool {
        self.0.set_nonblocking(true).unwrap();
        self.0.accept().is_err()
    }

    pub fn accept(&self) -> TcpStream {
        self.0.set_nonblocking(true).unwrap();
        let since = Instant::now();
        let stream = loop {
            match self.0.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(since.elapsed() < LONG, "no connection came: {e}"),
            }
            thread::sleep(Duration::from_millis(1));
        };
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }
}

/// Waits until what was last sent from an endpoint, or its end, has reached the program's side of their only connection:
/// on a busy machine the system may take longer over that than the call that sends.
pub fn arrived(endpoint: SocketAddr) {
    let SocketAddr::V4(at) = endpoint else { panic!("{endpoint} is no address of these tests") };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port());
    let still = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // Established, and nothing to read.
        fields.get(2) == Some(&remote.as_str()) && fields[3] == "01" && fields[4].ends_with(":00000000")
    };
    let since = Instant::now();
    while std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(still) {
        assert!(since.elapsed() < LONG, "nothing arrives from {endpoint}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// What stand-ins saw, and the rules that hold whatever crosses: each webhook that was taken on ends once, by its
/// delivery or by a notice, and one that may run once is not sent again after it may have run.
#[derive(Default)]
pub struct Ledger {
    taken: Vec<String>,
    ran: Vec<String>,
    good: Vec<String>,
}

impl Ledger {
    pub fn taken(&mut self, program: &Program, event_type: &str, id: &str, ms: u64) {
        assert_eq!(program.hand_in(event_type, id, ms, b""), 202, "{id}");
        self.taken.push(id.to_owned());
    }

    /// It was answered 202 by other means.
    pub fn took(&mut self, id: &str) {
        self.taken.push(id.to_owned());
    }

    /// A call came whole: from now on it may have run.
    pub fn heard(&mut self, stream: &mut TcpStream) -> Heard {
        let heard = hear(stream).expect("no call came");
        self.ran.push(heard.id());
        heard
    }

    /// It was answered as delivered while its time was not over.
    pub fn good(&mut self, id: &str) {
        self.good.push(id.to_owned());
    }

    /// A call comes over a new connection and is answered as delivered.
    pub fn delivered(&mut self, endpoint: &Manual, id: &str) -> TcpStream {
        let mut line = endpoint.accept();
        assert_eq!(self.heard(&mut line).id(), id);
        line.write_all(OK.as_bytes()).unwrap();
        self.good(id);
        line
    }

    /// Waits for what is owed. Ids of webhooks that may run once begin with `once`.
    pub fn check(self, platform: &Platform) {
        let mut told: Vec<String> = Vec::new();
        while self.taken.iter().any(|id| !told.contains(id) && !self.good.contains(id)) {
            let notice = platform.notices.recv_timeout(LONG);
            let notice =
                notice.unwrap_or_else(|_| panic!("no final answer: {:?}, told {told:?}", self.taken));
            told.extend(notice.lines().filter_map(|l| l.split('"').nth(3)).map(str::to_owned));
        }
        assert!(!self.good.iter().any(|id| told.contains(id)), "delivered and given up: {told:?}");
        assert!(told.iter().all(|id| self.taken.contains(id)), "{told:?} of {:?}", self.taken);
        for id in self.ran.iter().filter(|id| id.starts_with("once")) {
            assert_eq!(self.ran.iter().filter(|r| *r == id).count(), 1, "{id} went out twice");
        }
    }
}
