//! What the cases share: the processes of a small deployment, HTTP by hand, and the record.

use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const CANNOT_RUN: i32 = 2;

const CONTROL_PORT: u16 = 8229;
const FRONT_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const DIRECTORY_PORT: u16 = 8224;
const INTERNAL_PORT: u16 = 7340;

/// Values of the small deployment `lagon-mix`.
const CONTRACTS: &str = "base,drain,config,cost,retry,recover,engine,stream,tenants,rollout";
const ACK_MS: &str = "4000";
const GRACE_S: &str = "8";
const ZONES: [&str; 3] = ["pamplemousses", "triolet", "goodlands"];

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Lines of what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &str) -> io::Result<Self> {
        let file = File::create(format!("{folder}/record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{seconds:8.3}  {}", text.as_ref());
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(text.as_ref());
        println!("{}", text.as_ref());
    }
}

/// A machine of the deployment, with an address of its own.
pub struct Machine {
    number: u8,
    net: (u8, u8),
    replica: Option<Child>,
    gateway: Option<Child>,
}

/// The machines; ends all their processes when it is dropped.
pub struct Deployment {
    programs: PathBuf,
    folder: PathBuf,
    net: (u8, u8),
    pub machines: Vec<Machine>,
}

fn address(net: (u8, u8), number: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, net.0, net.1, number], port))
}

impl Deployment {
    /// Takes a loopback network whose ports are free, and starts a replica and a gateway on each of
    /// `count` machines.
    pub fn start(count: u8, record: &Record) -> io::Result<Self> {
        let programs = PathBuf::from("target/release");
        if !programs.join("daisyquay-platform-gateway").exists() {
            return Err(io::Error::other("the programs are not built"));
        }
        let net = free_network(count)?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let machines = (1..=count).map(|number| Machine {
            number,
            net,
            replica: None,
            gateway: None,
        });
        let mut deployment = Self {
            programs,
            folder,
            net,
            machines: machines.collect(),
        };
        for index in 0..usize::from(count) {
            deployment.start_replica(index)?;
            deployment.start_gateway(index)?;
        }
        record.line(format!(
            "started {count} machines in 127.{}.{}.0/24",
            net.0, net.1
        ));
        Ok(deployment)
    }

    fn command(&self, index: usize, program: &str) -> io::Result<Command> {
        let machine = &self.machines[index];
        let seeds: Vec<String> = self
            .machines
            .iter()
            .take(3)
            .map(|m| m.control().to_string())
            .collect();
        let log = File::options().create(true).append(true).open(
            self.folder
                .join(format!("{program}-{}.log", machine.number)),
        )?;
        let zone = ZONES[index % ZONES.len()];
        let mut command = Command::new(self.programs.join(program));
        command
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("DAISYQUAY_VM", format!("front-{zone}-{}", machine.number))
            .env("DAISYQUAY_DATA_CENTRE", zone)
            .env("DAISYQUAY_IP", machine.at(0).ip().to_string())
            .env("DAISYQUAY_SEEDS", seeds.join(","))
            .env("DAISYQUAY_INTERNAL_PORT", INTERNAL_PORT.to_string())
            .env("DAISYQUAY_PEER_KEY", "daisyquay-peers")
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        Ok(command)
    }

    pub fn start_replica(&mut self, index: usize) -> io::Result<()> {
        let data = self
            .folder
            .join(format!("data-{}", self.machines[index].number));
        let is_first = !data.exists();
        let mut command = self.command(index, "daisyquay-platform-replica")?;
        command
            .env(
                "DAISYQUAY_CONTROL",
                self.machines[index].control().to_string(),
            )
            .env("DAISYQUAY_DATA", data)
            .env("DAISYQUAY_FIRST_START", is_first.to_string())
            .env("DAISYQUAY_RESEND_MS", ACK_MS)
            .env("DAISYQUAY_TOLERATE", "1")
            .env("DAISYQUAY_DATA_CENTRES", ZONES.join(","));
        self.machines[index].replica = Some(command.spawn()?);
        Ok(())
    }

    pub fn start_gateway(&mut self, index: usize) -> io::Result<()> {
        let machine = &self.machines[index];
        let regions: Vec<String> = ZONES
            .iter()
            .map(|zone| format!("{zone}=mauritius-nord"))
            .collect();
        let mut command = self.command(index, "daisyquay-platform-gateway")?;
        command
            .env("DAISYQUAY_FRONT", machine.front().to_string())
            .env("DAISYQUAY_READY", machine.at(READY_PORT).to_string())
            .env(
                "DAISYQUAY_DIRECTORY",
                machine.at(DIRECTORY_PORT).to_string(),
            )
            .env("DAISYQUAY_GRACE_S", GRACE_S)
            .env("DAISYQUAY_REPEAT_RATIO", "0.9")
            .env("DAISYQUAY_REPEAT_SLACK", "58")
            .env("DAISYQUAY_REPEAT_WINDOW_S", "10")
            .env("DAISYQUAY_CONTRACTS", CONTRACTS)
            .env("DAISYQUAY_REGIONS", regions.join(","));
        self.machines[index].gateway = Some(command.spawn()?);
        Ok(())
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(Machine::control).collect()
    }

    /// An address for a stand-in on a machine of its own.
    pub fn stand_in(&self, number: u8) -> SocketAddr {
        address(self.net, 100 + number, 8080)
    }

    /// Waits until all gateways are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let is_ready = |machine: &Machine| {
                let answer = ask(machine.at(READY_PORT), "GET", "/-/readyz", &[], b"", SECOND);
                answer.is_ok_and(|answer| answer.status == 200)
            };
            if self.machines.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends an order to the machines in turn, as an operator does, until it has a clear response.
    pub fn order(&self, method: &str, path: &str, body: &str, record: &Record) -> Option<Answer> {
        for round in 0..20 {
            for control in self.controls() {
                let json = [("Content-Type", "application/json")];
                let answer = ask(control, method, path, &json, body.as_bytes(), SECOND);
                if let Ok(answer) = answer
                    && answer.status < 500
                {
                    record.line(format!(
                        "operator: {method} {path} at {control}: {}",
                        answer.status
                    ));
                    return Some(answer);
                }
            }
            thread::sleep(Duration::from_millis(50 * (round + 1)));
        }
        None
    }
}

pub const SECOND: Duration = Duration::from_secs(1);

impl Machine {
    fn at(&self, port: u16) -> SocketAddr {
        address(self.net, self.number, port)
    }

    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL_PORT)
    }

    pub fn front(&self) -> SocketAddr {
        self.at(FRONT_PORT)
    }

    /// Memory of the gateway in MB; `None` if it does not run.
    pub fn gateway_memory_mb(&self) -> Option<f64> {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.gateway.as_ref()?.id()))
                .ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024.0)
    }

    pub fn kill_gateway(&mut self) {
        if let Some(mut child) = self.gateway.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_gateway(&self) -> bool {
        self.gateway.is_some()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for mut child in [machine.gateway.take(), machine.replica.take()]
                .into_iter()
                .flatten()
            {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn free_network(count: u8) -> io::Result<(u8, u8)> {
    let seed = std::process::id();
    for attempt in 0..200_u32 {
        let pick = seed
            .wrapping_mul(2_654_435_761)
            .wrapping_add(attempt * 7919);
        let net = ((pick % 200 + 20) as u8, (pick / 256 % 250 + 1) as u8);
        let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, DIRECTORY_PORT]
            .into_iter()
            .chain(INTERNAL_PORT..INTERNAL_PORT + 4);
        let is_free = ports.into_iter().all(|port| {
            (1..=count).all(|number| TcpListener::bind(address(net, number, port)).is_ok())
        });
        let has_udp =
            (1..=count).all(|n| UdpSocket::bind(address(net, n, INTERNAL_PORT + 3)).is_ok());
        if is_free && has_udp {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free network"))
}

/// A message that was read.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads lines up to an empty one; returns the first and the headers, or `None` at the end.
pub fn read_head(
    reader: &mut impl BufRead,
) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a whole answer with a length or in chunks.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let Some((first, headers)) = read_head(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = Vec::new();
    if let Some(length) = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
    {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if headers
        .get("transfer-encoding")
        .is_some_and(|text| text.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// Writes a request with a length.
pub fn write_request(
    stream: &mut impl Write,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Makes one request over a connection of its own.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let host = to.to_string();
    let mut all = vec![("Host", host.as_str())];
    all.extend_from_slice(headers);
    write_request(&mut stream, method, path, &all, body)?;
    read_answer(&mut BufReader::new(stream))
}

/// A request at a runner, with its body unread.
pub struct Arrival<'a> {
    pub method: String,
    pub path: String,
    pub id: String,
    pub headers: HashMap<String, String>,
    pub length: usize,
    pub reader: &'a mut BufReader<TcpStream>,
    pub stream: &'a TcpStream,
}

pub type Serve = dyn Fn(&mut Arrival) -> io::Result<bool> + Send + Sync;

/// A sound runner: says that it lives, and serves one request at a time on a connection.
pub struct Runner {
    pub id: String,
    is_stopped: Arc<AtomicBool>,
}

impl Runner {
    /// `serve` answers a request and returns whether the connection stays open.
    pub fn start(
        id: &str,
        service: &'static str,
        address: SocketAddr,
        slots: u32,
        controls: Vec<SocketAddr>,
        serve: Arc<Serve>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let own_id = id.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serve, id) = (serve.clone(), own_id.clone());
                thread::spawn(move || serve_connection(stream, &id, &*serve));
            }
        });
        let (own_id, stopped) = (id.to_owned(), is_stopped.clone());
        thread::spawn(move || beat(&own_id, service, address, slots, &controls, &stopped));
        Ok(Self {
            id: id.to_owned(),
            is_stopped,
        })
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

pub fn now_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

fn beat(
    id: &str,
    service: &str,
    address: SocketAddr,
    slots: u32,
    controls: &[SocketAddr],
    is_stopped: &AtomicBool,
) {
    let born = now_ms();
    let seq = AtomicU64::new(0);
    while !is_stopped.load(Ordering::Relaxed) {
        let seq = seq.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"pamplemousses","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"seq":{seq},"born":{born}}}"#
        );
        let path = format!("/-/Instances.Heartbeat/{id}");
        let json = [("Content-Type", "application/json")];
        let is_acknowledged = |control: &SocketAddr| {
            let answer = ask(*control, "POST", &path, &json, body.as_bytes(), SECOND);
            answer.is_ok_and(|answer| answer.status / 100 == 2)
        };
        let has_ack = controls.iter().any(is_acknowledged);
        thread::sleep(Duration::from_millis(if has_ack { 1200 } else { 300 }));
    }
}

fn serve_connection(stream: TcpStream, id: &str, serve: &Serve) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(16 * 1024, stream.try_clone()?);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let attempt = headers.get("x-attempt-id").cloned().unwrap_or_default();
        let length = headers
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let is_other = headers
            .get("x-expect-instance")
            .is_some_and(|named| named != id);
        if is_other || attempt.is_empty() {
            io::copy(&mut (&mut reader).take(length as u64), &mut io::sink())?;
            let status = if is_other {
                "421 Misdirected Request"
            } else {
                "400 Bad Request"
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            );
            (&stream).write_all(answer.as_bytes())?;
            continue;
        }
        let mut arrival = Arrival {
            method,
            path,
            id: attempt,
            headers,
            length,
            reader: &mut reader,
            stream: &stream,
        };
        if !serve(&mut arrival)? {
            break;
        }
    }
    Ok(())
}

/// Answers with success, with the receipt and a body of the request's own.
pub fn succeed(arrival: &mut Arrival, runner: &str) -> io::Result<()> {
    let body = format!("{runner} {} {}", arrival.method, arrival.path);
    let answer = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: {runner}.{id}\r\nContent-Length: {length}\r\n\r\n{body}",
        id = arrival.id,
        length = body.len()
    );
    arrival.stream.write_all(answer.as_bytes())
}
