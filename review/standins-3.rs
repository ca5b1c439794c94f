//! Stand-ins of the third review: the platform's store, workers, clients, and a proxy between entries and sides.
//! They use the standard library only. One program plays one case:
//!
//!     standins-3 CASE FOLDER      with TROUBLE=0 in the environment: the same without the disruption
//!
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }
    fn space(b: &[u8], at: &mut usize) {
        while *at < b.len() && b[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Str(key) = Self::value(b, at)? else { return None };
                            Self::space(b, at);
                            if *b.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            map.push((key, Self::value(b, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(b, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match *b.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Str(String::from_utf8(out).ok()?));
                        }
                        b'\\' => {
                            *at += 1;
                            match *b.get(*at)? {
                                b'n' => out.push(b'\n'),
                                b't' => out.push(b'\t'),
                                b'r' => out.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    let mut buffer = [0; 4];
                                    let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                                    out.extend_from_slice(text.as_bytes());
                                    *at += 4;
                                }
                                other => out.push(other),
                            }
                            *at += 1;
                        }
                        other => {
                            out.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                    *at += 1;
                }
                std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }
    fn num(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Num(value)) => *value as u64,
            _ => 0,
        }
    }
    fn text(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Json::Str(text)) => text,
            _ => "",
        }
    }
    fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let all = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= part.len() {
                true => out.push(SIGNS[(all >> (18 - 6 * place)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

type Answer = Option<(u16, String)>;
type Handler = Arc<dyn Fn(&Request) -> Answer + Send + Sync>;

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            return Some(end + 4);
        }
        let mut part = [0; 4096];
        let read = stream.read(&mut part).ok()?;
        if read == 0 {
            return None;
        }
        buffer.extend_from_slice(&part[..read]);
    }
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, HashMap<String, String>, String)> {
    let head_end = read_head(stream, buffer)?;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        let mut part = [0; 16384];
        let read = stream.read(&mut part).ok()?;
        if read == 0 {
            return None;
        }
        buffer.extend_from_slice(&part[..read]);
    }
    let body = String::from_utf8_lossy(&buffer[..length]).into_owned();
    buffer.drain(..length);
    Some((first, headers, body))
}

fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            // Many connections may come at once, so that each thread gets a small stack.
            let _ = thread::Builder::new().stack_size(256 * 1_024).spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some((first, headers, body)) = read_message(&mut stream, &mut buffer) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_owned();
                    let target = words.next().unwrap_or_default().to_owned();
                    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
                    let query = query.split('&').filter_map(|pair| pair.split_once('='));
                    let query = query.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
                    let request = Request { method, path: path.to_owned(), query, headers, body };
                    // No answer: the connection ends without one.
                    let Some((status, body)) = handler(&request) else { return };
                    let answer = format!(
                        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Makes one call on a connection of its own. Returns the status and the body; `None` without an answer in time.
fn call(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str, limit: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    let head = match headers.contains("Host:") {
        true => head.replacen(&format!("Host: {address}\r\n"), "", 1),
        false => head,
    };
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let (first, _, body) = read_message(&mut stream, &mut buffer)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}

// ---------------------------------------------------------------- Record

/// What was sent, answered and run, with the seconds since the start of the case.
#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    fn write(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((self.now(), text.into()));
    }
    fn save(&self, folder: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let text: String = lines.iter().map(|(at, line)| format!("{at:9.3} {line}\n")).collect();
        let _ = std::fs::write(format!("{folder}/record.txt"), text);
    }
}

// ---------------------------------------------------------------- Store

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64, u64)>,
    events: Vec<(u64, String, Option<(String, u64, u64)>)>,
    leases: HashMap<u64, (Instant, u64)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.2);
        self.items.insert(key.to_owned(), (value.to_owned(), revision, made, lease));
        self.events.push((revision, key.to_owned(), Some((value.to_owned(), made, lease))));
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.3 == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, lease)| lease.0 <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }
    fn item(&self, key: &str) -> Option<String> {
        let (value, revision, made, lease) = self.items.get(key)?;
        Some(format!(
            "{{\"privateKey\":{},\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease},\"at\":{}}}",
            quoted(key),
            self.revision
        ))
    }
}

/// The platform's store.
#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    address: SocketAddr,
    /// While set, each call is refused with 503 and nothing is done.
    is_down: Arc<AtomicBool>,
}

impl Store {
    fn start(record: &Record) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 40, 1), 0)).expect("store");
        let store = Self {
            state: Arc::new((Mutex::new(StoreState { next_lease: 1_000, ..StoreState::default() }), Condvar::new())),
            address: listener.local_addr().unwrap(),
            is_down: Arc::default(),
        };
        let served = store.clone();
        let record = record.clone();
        serve(listener, Arc::new(move |request| served.answer(request, &record)));
        store
    }

    fn operator_put(&self, key: &str, text: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(text.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request, record: &Record) -> Answer {
        // An answer takes about 4 ms.
        thread::sleep(Duration::from_millis(4));
        let is_down = self.is_down.load(Ordering::SeqCst);
        if request.method == "POST" && request.path == "/mastknot/kv-txn" && request.body.contains("mastknot/targets/") {
            let key = request.body.split("mastknot/targets/").nth(1).and_then(|rest| rest.split('"').next());
            record.write(format!("store: write of targets/{} {}", key.unwrap_or("?"), if is_down { "refused 503" } else { "done" }));
        }
        if request.path == "/mastknot/kv-key" && request.query.get("privateKey").is_some_and(|key| key.contains("targets/")) {
            record.write(format!("store: read of {} {}", request.query["privateKey"], if is_down { "refused 503" } else { "answered" }));
        }
        if is_down {
            return Some((503, "{}".to_owned()));
        }
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.expire();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/mastknot/kv-key") => {
                let key = request.query.get("privateKey").cloned().unwrap_or_default();
                Some(state.item(&key).map_or((404, format!("{{\"at\":{}}}", state.revision)), |item| (200, item)))
            }
            ("GET", "/mastknot/kv-range") => {
                let prefix = request.query.get("pathPrefix").cloned().unwrap_or_default();
                let after = request.query.get("sinceRev").cloned().unwrap_or_default();
                let keys: Vec<String> =
                    state.items.keys().filter(|key| key.starts_with(&prefix) && **key > after).cloned().collect();
                let items: Vec<String> = keys.iter().filter_map(|key| state.item(key)).collect();
                Some((200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), state.revision)))
            }
            ("GET", "/mastknot/kv-watch") => {
                let prefix = request.query.get("pathPrefix").cloned().unwrap_or_default();
                let after: u64 = request.query.get("sinceRev").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query.get("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, value)| match value {
                            Some((value, made, lease)) => format!(
                                "{{\"privateKey\":{},\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}}}",
                                quoted(key)
                            ),
                            None => format!("{{\"privateKey\":{},\"revision\":{revision},\"gone\":true}}", quoted(key)),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return Some((200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision)));
                    }
                    state = changed.wait_timeout(state, left.min(Duration::from_millis(100))).unwrap().0;
                    state.expire();
                    if self.is_down.load(Ordering::SeqCst) {
                        return Some((503, "{}".to_owned()));
                    }
                }
            }
            ("POST", "/mastknot/kv-txn") => {
                let body = Json::parse(&request.body)?;
                let expected = body.list("expectedRev");
                let current = |key: &str| state.items.get(key).map_or(0, |item| item.1);
                if expected.iter().any(|row| current(row.text("privateKey")) != row.num("revision")) {
                    let items: Vec<String> =
                        expected.iter().filter_map(|row| state.item(row.text("privateKey"))).collect();
                    return Some((412, format!("{{\"items\":[{}],\"at\":{}}}", items.join(","), state.revision)));
                }
                let puts = body.list("put");
                if puts.iter().any(|put| put.num("lease") != 0 && !state.leases.contains_key(&put.num("lease"))) {
                    return Some((404, "{}".to_owned()));
                }
                if !puts.is_empty() || !body.list("remove").is_empty() {
                    state.revision += 1;
                }
                for put in puts {
                    state.put(put.text("privateKey"), put.text("value"), put.num("lease"));
                }
                for key in body.list("remove") {
                    if let Json::Str(key) = key {
                        state.remove(key);
                    }
                }
                changed.notify_all();
                Some((200, format!("{{\"revision\":{}}}", state.revision)))
            }
            ("POST", "/mastknot/kv-lease") => {
                let ttl = Json::parse(&request.body)?.num("ttl_ms").clamp(1_000, 600_000);
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (Instant::now() + Duration::from_millis(ttl), ttl));
                Some((200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}")))
            }
            ("POST", path) if path.starts_with("/mastknot/kv-keep/") => {
                let id: u64 = path.rsplit('/').next()?.parse().ok()?;
                let Some(lease) = state.leases.get_mut(&id) else { return Some((404, "{}".to_owned())) };
                lease.0 = Instant::now() + Duration::from_millis(lease.1);
                Some((200, format!("{{\"ttl_ms\":{}}}", lease.1)))
            }
            ("DELETE", path) if path.starts_with("/mastknot/kv-lease-end/") => {
                let id: u64 = path.rsplit('/').next()?.parse().ok()?;
                state.end_lease(id);
                changed.notify_all();
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

// ---------------------------------------------------------------- Worker

struct Run {
    attempt: u64,
    since: f64,
    ends: f64,
    cpu: u64,
    /// Time at which a stop takes effect.
    stops: Option<f64>,
    /// Its place in the list of starts.
    place: usize,
}

#[derive(Default)]
struct WorkerState {
    fence: u64,
    hold_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest attempt of each task that was stopped or ended here.
    over: HashMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_number: u64,
    used: u64,
}

/// A start that a worker carried out.
#[derive(Clone, Debug)]
struct Started {
    at: f64,
    worker: usize,
    task: String,
    attempt: u64,
    spec: String,
    ended: Option<(f64, &'static str)>,
    /// Capacity in use after the start, and the capacity that the worker has then.
    used: u64,
    capacity: u64,
}

/// A worker. `spec` of a task is "run MS cpu MILLIS": its time, and the capacity that it takes.
#[derive(Clone)]
struct Worker {
    index: usize,
    id: String,
    address: SocketAddr,
    control: SocketAddr,
    born_ms: u64,
    clock: Instant,
    max_hold_ms: u64,
    capacity: Arc<AtomicU64>,
    /// Whether it rejects what does not fit.
    guards: bool,
    state: Arc<(Mutex<WorkerState>, Condvar)>,
    starts: Arc<Mutex<Vec<Started>>>,
    record: Record,
}

impl Worker {
    fn start(index: usize, address: SocketAddr, control: SocketAddr, cpu: u64, guards: bool, starts: Arc<Mutex<Vec<Started>>>, record: &Record) -> Self {
        let listener = TcpListener::bind(address).expect("worker");
        let worker = Self {
            index,
            id: format!("i-w{index:02}"),
            address,
            control,
            born_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64,
            clock: Instant::now() - Duration::from_secs(100),
            max_hold_ms: 1_000,
            capacity: Arc::new(AtomicU64::new(cpu)),
            guards,
            state: Arc::default(),
            starts,
            record: record.clone(),
        };
        let served = worker.clone();
        serve(listener, Arc::new(move |request| served.answer(request)));
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ticking.tick();
            }
        });
        let beating = worker.clone();
        thread::spawn(move || beating.beat());
        worker
    }

    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }

    /// Sends heartbeats, each 1,500 ms.
    fn beat(&self) {
        // Workers do not beat in step.
        thread::sleep(Duration::from_millis(137 * self.index as u64 % 1_500));
        let mut number = 0;
        loop {
            number += 1;
            let cpu = self.capacity.load(Ordering::SeqCst);
            let body = format!(
                "{{\"service\":\"worker\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{cpu},\"memMb\":32768,\"gpu\":0}},\"labels\":[\"a\",\"r1-{}\"],\"clockMs\":{},\"seqNo\":{number},\"born\":{}}}",
                self.address, self.index / 3, self.clock_ms(), self.born_ms
            );
            let path = format!("/mastknot/instances/{}/heartbeat", self.id);
            let answer = call(self.control, "POST", &path, "Content-Type: application/json\r\n", &body, Duration::from_secs(1));
            self.record.write(format!("worker {} heartbeat {number} cpu {cpu}: {:?}", self.index, answer.map(|answer| answer.0)));
            thread::sleep(Duration::from_millis(1_500));
        }
    }

    fn end(&self, state: &mut WorkerState, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.used -= run.cpu;
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.attempt);
        state.last_number += 1;
        let number = state.last_number;
        state.finished.push((number, task.to_owned(), run.attempt, how));
        let at = self.record.now();
        let mut starts = self.starts.lock().unwrap();
        starts[run.place].ended = Some((at, how));
        drop(starts);
        self.record.write(format!("worker {} ends {task} attempt {} {how}", self.index, run.attempt));
        self.state.1.notify_all();
    }

    fn tick(&self) {
        let now = self.record.now();
        let clock = self.clock_ms();
        let mut state = self.state.0.lock().unwrap();
        let lapsed = clock > state.hold_until_ms;
        let mut over = Vec::new();
        for (task, run) in &state.running {
            if run.ends <= now {
                over.push((task.clone(), "done"));
            } else if run.stops.is_some_and(|at| at <= now) {
                over.push((task.clone(), "stopped"));
            } else if lapsed {
                over.push((task.clone(), "lapsed"));
            }
        }
        for (task, how) in over {
            self.end(&mut state, &task, how);
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        Some((409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock_ms())))
    }

    fn extend(&self, state: &mut WorkerState, until: u64) {
        state.hold_until_ms = state.hold_until_ms.max(until.min(self.clock_ms() + self.max_hold_ms));
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.headers.get("x-expect-instance").is_some_and(|id| *id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let body = Json::parse(&request.body)?;
        let token = body.num("fencingToken");
        let mut state = self.state.0.lock().unwrap();
        if token < state.fence {
            return self.refuse("fence");
        }
        state.fence = token;
        match request.path.as_str() {
            "/mastknot/run-start" => {
                let (task, attempt) = (body.text("task").to_owned(), body.num("attempt"));
                if state.running.get(&task).is_some_and(|run| run.attempt == attempt) {
                    return Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms())));
                }
                if body.num("deadlineMs") <= self.clock_ms() {
                    return self.refuse("late");
                }
                self.extend(&mut state, body.num("deadlineMs"));
                let is_old = state.over.get(&task).is_some_and(|over| attempt <= *over);
                if is_old || state.running.contains_key(&task) {
                    return self.refuse("old");
                }
                let spec = body.text("spec").to_owned();
                let words: Vec<&str> = spec.split(' ').collect();
                let run_ms: f64 = words.get(1).and_then(|text| text.parse().ok()).unwrap_or(100.0);
                let cpu: u64 = words.get(3).and_then(|text| text.parse().ok()).unwrap_or(100);
                let capacity = self.capacity.load(Ordering::SeqCst);
                if self.guards && state.used + cpu > capacity {
                    return self.refuse("room");
                }
                state.used += cpu;
                let now = self.record.now();
                let used = state.used;
                let mut starts = self.starts.lock().unwrap();
                let place = starts.len();
                starts.push(Started { at: now, worker: self.index, task: task.clone(), attempt, spec, ended: None, used, capacity });
                drop(starts);
                state.running.insert(task.clone(), Run { attempt, since: now, ends: now + run_ms / 1_000.0, cpu, stops: None, place });
                self.record.write(format!("worker {} starts {task} attempt {attempt}, {used} of {capacity} in use", self.index));
                Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms())))
            }
            "/mastknot/run-stop" => {
                let (task, attempt) = (body.text("task").to_owned(), body.num("attempt"));
                let stops = self.record.now() + 0.010;
                match state.running.get_mut(&task).filter(|run| run.attempt == attempt) {
                    Some(run) => {
                        run.stops.get_or_insert(stops);
                    }
                    None => {
                        let over = state.over.entry(task).or_default();
                        *over = (*over).max(attempt);
                    }
                }
                Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms())))
            }
            "/mastknot/hold" => {
                if body.num("deadlineMs") > 0 {
                    self.extend(&mut state, body.num("deadlineMs"));
                }
                let seen = body.num("lastSeen");
                state.finished.retain(|row| row.0 > seen);
                let until = Instant::now() + Duration::from_millis(body.num("waitMs").min(2_000));
                while state.finished.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
                let now = self.record.now();
                let running: Vec<String> = state
                    .running
                    .iter()
                    .map(|(task, run)| {
                        let percent = ((now - run.since) / (run.ends - run.since) * 100.0).clamp(0.0, 99.0) as u64;
                        format!("[\"{task}\",{},\"\",{percent},{}]", run.attempt, run.cpu)
                    })
                    .collect();
                let finished: Vec<String> = state
                    .finished
                    .iter()
                    .take(500)
                    .map(|(number, task, attempt, how)| format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]"))
                    .collect();
                Some((
                    200,
                    format!(
                        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
                        self.clock_ms(),
                        self.born_ms,
                        running.join(","),
                        finished.join(",")
                    ),
                ))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

// ---------------------------------------------------------------- Proxy between sides and entries

/// The cut between some entries and some sides, while it lasts.
#[derive(Clone, Default)]
struct Cut {
    is_on: Arc<AtomicBool>,
    entries: Arc<Mutex<HashSet<usize>>>,
    sides: Arc<Mutex<HashSet<usize>>>,
}

impl Cut {
    fn holds(&self, entry: usize, side: Option<usize>) -> bool {
        self.is_on.load(Ordering::SeqCst)
            && self.entries.lock().unwrap().contains(&entry)
            && side.is_some_and(|side| self.sides.lock().unwrap().contains(&side))
    }
}

/// Starts the proxy in front of the links of an entry. Which side has opened a connection is known from its name in
/// the first message. While a pair is cut, nothing is passed on, as if its packets were dropped.
fn start_proxy(entry: usize, upstream: SocketAddr, sides: usize, cut: &Cut) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 50, entry as u8 + 1), 0)).expect("proxy");
    let address = listener.local_addr().unwrap();
    let cut = cut.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(near) = stream else { continue };
            let Ok(far) = TcpStream::connect(upstream) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let side: Arc<Mutex<Option<usize>>> = Arc::default();
            for is_from_side in [true, false] {
                let (Ok(mut from), Ok(mut to)) = (near.try_clone(), far.try_clone()) else { continue };
                if !is_from_side {
                    std::mem::swap(&mut from, &mut to);
                }
                let (cut, side) = (cut.clone(), Arc::clone(&side));
                thread::spawn(move || {
                    let mut seen = Vec::new();
                    let mut part = [0; 16384];
                    loop {
                        let read = from.read(&mut part).unwrap_or(0);
                        if is_from_side && side.lock().unwrap().is_none() {
                            seen.extend_from_slice(&part[..read]);
                            let named = (0..sides).find(|index| {
                                let name = side_name(*index);
                                seen.windows(name.len()).any(|window| window == name.as_bytes())
                            });
                            *side.lock().unwrap() = named;
                        }
                        while cut.holds(entry, *side.lock().unwrap()) {
                            thread::sleep(Duration::from_millis(2));
                        }
                        if read == 0 || to.write_all(&part[..read]).is_err() {
                            let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
                            return;
                        }
                    }
                });
            }
        }
    });
    address
}

// ---------------------------------------------------------------- The project's processes

fn side_name(index: usize) -> String {
    format!("side-z1-{index:02}")
}

fn entry_name(index: usize) -> String {
    format!("front-z1-{index:02}")
}

/// Returns ports of an address that are free. All are held until the last is known, so that they differ.
fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<u16> {
    let held: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind((ip, 0)).expect("free port")).collect();
    held.iter().map(|listener| listener.local_addr().unwrap().port()).collect()
}

struct Process {
    role: &'static str,
    settings: String,
    log: String,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) {
        let program = std::env::var("MASTKNOT_PLATFORM").unwrap_or("target/release/mastknot-platform".to_owned());
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        // The machines have 4,096 descriptors for a side and 4,100 for an entry.
        let child = Command::new("sh")
            .args(["-c", "ulimit -n 4096 && exec \"$0\" \"$1\"", &program, self.role])
            .env("MASTKNOT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the project's program"));
    }
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: entries, sides with their workers, and the store.
struct Bed {
    record: Record,
    store: Store,
    cut: Cut,
    fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
    entries: Vec<Process>,
    sides: Vec<Process>,
    workers: Vec<Worker>,
    starts: Arc<Mutex<Vec<Started>>>,
    folder: String,
}

const COMMON: &str = "region = \"r1\"\nzone = \"z1\"\nbootstrap = true\ninTolerance = false\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\ncommands = \"call\"\nseeds = []\n";
const TABLES: &str = "[zones]\nz1 = \"r1\"\n[bounds]\ncontactMs = 3000\nackTimeoutMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\ncancel_ms = 3000\nvisible_ms = 3000\nresendMs = 1300\n";

impl Bed {
    fn new(entries: usize, sides: usize, cpu: u64, guards: bool, config: &str) -> Self {
        let record = Record::new();
        let folder = std::env::temp_dir().join(format!("mastknot-review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let folder = folder.display().to_string();
        let store = Store::start(&record);
        store.operator_put("op/config", config);
        let cut = Cut::default();
        let starts: Arc<Mutex<Vec<Started>>> = Arc::default();
        let mut bed = Self {
            record,
            store,
            cut,
            fronts: Vec::new(),
            readies: Vec::new(),
            entries: Vec::new(),
            sides: Vec::new(),
            workers: Vec::new(),
            starts,
            folder,
        };
        for index in 0..entries {
            bed.add_entry(index, sides);
        }
        for index in 0..sides {
            bed.add_side(index, cpu, guards);
        }
        bed.entries.iter_mut().chain(&mut bed.sides).for_each(Process::start);
        bed
    }

    fn process(&self, role: &'static str, name: &str, settings: &str) -> Process {
        let path = format!("{}/{name}.toml", self.folder);
        std::fs::write(&path, settings).expect("settings");
        Process { role, settings: path, log: format!("{}/{name}.log", self.folder), child: None }
    }

    fn platform(&self) -> String {
        format!("[platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistoryS = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n", self.store.address)
    }

    fn add_entry(&mut self, index: usize, sides: usize) {
        let ip = Ipv4Addr::new(127, 0, 10, index as u8 + 1);
        let ports = free_ports(ip, 4);
        let link = SocketAddr::from((ip, ports[0]));
        let proxy = start_proxy(index, link, sides, &self.cut);
        let name = entry_name(index);
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\nip = \"{ip}\"\nportRange = [{0},{0}]\nadvertisedLink = \"{proxy}\"\n{COMMON}[listen]\nfront = \"{ip}:{1}\"\nready = \"{ip}:{2}\"\ncontrol = \"{ip}:{3}\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n{TABLES}{4}",
            ports[0], ports[1], ports[2], ports[3], self.platform()
        );
        let process = self.process("entry", &name, &settings);
        self.entries.push(process);
        self.fronts.push(SocketAddr::from((ip, ports[1])));
        self.readies.push(SocketAddr::from((ip, ports[2])));
    }

    fn add_side(&mut self, index: usize, cpu: u64, guards: bool) {
        let ip = Ipv4Addr::new(127, 0, 20, index as u8 + 1);
        let ports = free_ports(ip, 3);
        let (app, control) = (SocketAddr::from((ip, ports[1])), SocketAddr::from((ip, ports[2])));
        let name = side_name(index);
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"side\"\nmachineClass = \"side\"\nserves = [\"side\"]\nip = \"{ip}\"\nportRange = [{0},{0}]\napp = \"{app}\"\nservice = \"worker\"\n{COMMON}[listen]\ncontrol = \"{control}\"\n[limits]\ncpuShare = 0.15\ncores = 1\nmemoryMb = 128\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 0\n{TABLES}{1}",
            ports[0], self.platform()
        );
        let process = self.process("side", &name, &settings);
        self.sides.push(process);
        self.workers.push(Worker::start(index, app, control, cpu, guards, Arc::clone(&self.starts), &self.record));
    }

    /// Waits until each entry is ready; returns whether all are.
    fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let is_ready = |address: &SocketAddr| {
                call(*address, "GET", "/mastknot/ready", "", "", Duration::from_secs(1)).is_some_and(|answer| answer.0 == 200)
            };
            if self.readies.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    fn wait_until(&self, at: f64) {
        let left = at - self.record.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    fn finish(mut self, case: &str, verdict: i32, summary: &str) -> i32 {
        self.record.write(summary.to_owned());
        self.entries.iter_mut().chain(&mut self.sides).for_each(Process::kill);
        self.record.save(case);
        if std::env::var("KEEP").is_ok() {
            println!("logs: {}", self.folder);
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        println!("{summary}");
        verdict
    }
}

fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Identifiers of jobs, the same in each run.
fn job_ids(seed: u64, count: usize) -> Vec<String> {
    let mut state = seed;
    let mut next = || {
        state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut value = state;
        value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        value ^ (value >> 31)
    };
    (0..count).map(|_| format!("{:016x}", next())).collect()
}

/// Three queues with priorities, as the small deployments have them.
const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-one\",\"host\":\"one.example\",\"pathPrefix\":\"/one/\",\"kind\":\"unsafe\",\"timeoutMs\":120000,\"sloMs\":60,\"priority\":0,\"service\":\"worker\",\"maxAttempts\":2,\"stretch\":1.6},{\"name\":\"r-two\",\"host\":\"one.example\",\"pathPrefix\":\"/two/\",\"kind\":\"unsafe\",\"timeoutMs\":120000,\"sloMs\":60,\"priority\":2,\"service\":\"worker\",\"maxAttempts\":4,\"stretch\":1.6},{\"name\":\"r-three\",\"host\":\"one.example\",\"pathPrefix\":\"/three/\",\"kind\":\"unsafe\",\"timeoutMs\":120000,\"sloMs\":60,\"priority\":1,\"service\":\"worker\",\"maxAttempts\":2,\"stretch\":1.6}],\"services\":[{\"name\":\"worker\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":GUARDS,\"headroom\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

fn config(guards: bool) -> String {
    CONFIG.replace("GUARDS", if guards { "true" } else { "false" })
}

/// The body of a best-effort job of steps that run one after the other, with one task each.
fn chain_body(steps: usize, run_ms: u64, cpu: u64) -> String {
    let steps: Vec<String> = (0..steps)
        .map(|step| {
            let after = if step == 0 { String::new() } else { format!(",\"sinceRev\":[{}]", step - 1) };
            format!("{{\"count\":1,\"cpu\":{cpu},\"memMb\":16,\"estRuntimeMs\":{run_ms}{after}}}")
        })
        .collect();
    format!("{{\"spec\":\"run {run_ms} cpu {cpu}\",\"bestEffort\":true,\"steps\":[{}]}}", steps.join(","))
}

fn submit(bed: &Bed, entry: usize, queue: &'static str, id: &str, body: String, deadline_ms: u64, answers: &Arc<Mutex<HashMap<String, (f64, Option<u16>)>>>) {
    let (address, record, id, answers) = (bed.fronts[entry], bed.record.clone(), id.to_owned(), Arc::clone(answers));
    thread::spawn(move || {
        let headers = format!("Host: one.example\r\nContent-Type: application/json\r\nX-Deadline-Ms: {deadline_ms}\r\n");
        record.write(format!("client POST /{queue}/{id} at entry {entry}"));
        let answer = call(address, "POST", &format!("/{queue}/{id}"), &headers, &body, Duration::from_millis(deadline_ms));
        record.write(format!("client POST /{queue}/{id} at entry {entry}: {answer:?}"));
        answers.lock().unwrap().insert(id, (record.now(), answer.map(|answer| answer.0)));
    });
}

include!("standins-3-cases.rs");

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("standins-3 CASE FOLDER");
        std::process::exit(2);
    };
    std::process::exit(play(case, folder));
}
