//! Stand-ins of the review: the platform's store, workers, clients and a starter of the project's processes, with the
//! scenarios of the cases. Standard library only; `build.sh` compiles this file.
//!
//! Usage: `standins CASE RECORD` from the root of the repository. Exit codes: 0 the rule held, 1 it was broken, 2 the
//! case could not run. `TROUBLE=0` leaves the disruption out.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
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
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(text).ok()?;
        let mut parser = Parser {
            text: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.text.len()).then_some(value)
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'t> {
    text: &'t [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.space();
        let is_next = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                    if self.eat(b'}') {
                        return Some(Json::Object(fields));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Json::List(list));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self
                    .text
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let digits = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                digits.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.eat(b'"') {
            return None;
        }
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let letter = char::from_u32(code)?;
                            bytes.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

struct Response {
    status: u16,
    body: String,
}

fn answer(status: u16, body: impl Into<String>) -> Response {
    Response {
        status,
        body: body.into(),
    }
}

fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, BTreeMap<String, String>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0_usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, body))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn serve<F>(address: SocketAddr, handler: F) -> std::io::Result<SocketAddr>
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, handler));
        }
    });
    Ok(address)
}

fn serve_connection<F>(stream: TcpStream, handler: Arc<F>)
where
    F: Fn(Request) -> Response,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs
                .map(|(name, value)| (decode(name), decode(value)))
                .collect(),
            headers,
            body,
        };
        let response = handler(request);
        let text = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Makes one call on a connection of its own, as the platform's balancer passes on new connections.
fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Type: application/json\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    writer.write_all(head.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some(Response {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with the milliseconds since the start.
struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    fn line(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} {}", text.as_ref());
    }

    fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

// ---------------------------------------------------------------- the platform's store

struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in the order of their revisions; the value is `None` for a removal.
    events: Vec<(u64, String, Option<(String, u64, u64)>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            made,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let event = Some((value.to_owned(), made, lease));
        self.events.push((self.revision, key.to_owned(), event));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    /// Removes the keys of leases that are over. Returns them.
    fn expire(&mut self) -> Vec<String> {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        let mut gone = Vec::new();
        for lease in over {
            self.leases.remove(&lease);
            gone.extend(self.keys_of(lease));
        }
        for key in &gone {
            self.revision += 1;
            self.remove(key);
        }
        gone
    }

    fn keys_of(&self, lease: u64) -> Vec<String> {
        self.items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect()
    }
}

fn item_json(key: &str, value: &str, revision: u64, made: u64, lease: u64) -> String {
    format!(
        "{{\"privateKey\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}}}"
    )
}

#[derive(Clone)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    address: SocketAddr,
}

impl Store {
    fn start(ip: &str, record: Arc<Record>) -> std::io::Result<Self> {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        state.0.lock().unwrap().next_lease = 77_000;
        let served = Arc::clone(&state);
        let address = serve(format!("{ip}:0").parse().unwrap(), move |request| {
            answer_store(&served, &request)
        })?;
        let expired = Arc::clone(&state);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let gone = expired.0.lock().unwrap().expire();
                for key in gone {
                    record.line(format!("store: the lease of {key} is over"));
                    expired.1.notify_all();
                }
            }
        });
        Ok(Self { state, address })
    }

    /// Writes a key as the operator does.
    fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn has(&self, key: &str) -> bool {
        self.state.0.lock().unwrap().items.contains_key(key)
    }
}

fn answer_store(shared: &(Mutex<StoreState>, Condvar), request: &Request) -> Response {
    let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
    let mut state = shared.0.lock().unwrap();
    match (request.method.as_str(), path.as_slice()) {
        ("GET", ["mastknot", "kv-key"]) => {
            let key = query("privateKey");
            match state.items.get(&key) {
                Some(item) => {
                    let body = item_json(&key, &item.value, item.revision, item.made, item.lease);
                    answer(
                        200,
                        format!("{},\"at\":{}}}", body.trim_end_matches('}'), state.revision),
                    )
                }
                None => answer(404, "{}"),
            }
        }
        ("GET", ["mastknot", "kv-range"]) => {
            let (prefix, after) = (query("pathPrefix"), query("sinceRev"));
            let items = state.items.iter();
            let items = items
                .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
            let items: Vec<String> = items
                .map(|(key, item)| {
                    item_json(key, &item.value, item.revision, item.made, item.lease)
                })
                .collect();
            answer(
                200,
                format!(
                    "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
                    items.join(","),
                    state.revision
                ),
            )
        }
        ("GET", ["mastknot", "kv-watch"]) => {
            let prefix = query("pathPrefix");
            let since: u64 = query("sinceRev").parse().unwrap_or(0);
            let until =
                Instant::now() + Duration::from_millis(query("waitMs").parse().unwrap_or(0));
            loop {
                let events = state
                    .events
                    .iter()
                    .filter(|(revision, key, _)| *revision > since && key.starts_with(&prefix));
                let events: Vec<String> = events
                    .map(|(revision, key, value)| match value {
                        Some((value, made, lease)) => {
                            item_json(key, value, *revision, *made, *lease)
                        }
                        None => format!(
                            "{{\"privateKey\":\"{key}\",\"revision\":{revision},\"gone\":true}}"
                        ),
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return answer(
                        200,
                        format!(
                            "{{\"events\":[{}],\"at\":{}}}",
                            events.join(","),
                            state.revision
                        ),
                    );
                }
                state = shared.1.wait_timeout(state, left).unwrap().0;
            }
        }
        ("POST", ["mastknot", "kv-lease"]) => {
            let Some(ttl) = Json::parse(&request.body).and_then(|body| body.get("ttl_ms").number())
            else {
                return answer(400, "{}");
            };
            let ttl = ttl.clamp(1_000, 600_000);
            state.next_lease += 1;
            let lease = state.next_lease;
            let time = Duration::from_millis(ttl);
            state.leases.insert(lease, (time, Instant::now() + time));
            answer(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
        }
        ("POST", ["mastknot", "kv-keep", lease]) => {
            let lease = lease.parse::<u64>().ok();
            match lease.and_then(|lease| state.leases.get_mut(&lease)) {
                Some((time, until)) => {
                    *until = Instant::now() + *time;
                    answer(200, format!("{{\"ttl_ms\":{}}}", time.as_millis()))
                }
                None => answer(404, "{}"),
            }
        }
        ("DELETE", ["mastknot", "kv-lease-end", lease]) => {
            let lease: u64 = lease.parse().unwrap_or(0);
            if state.leases.remove(&lease).is_none() {
                return answer(404, "{}");
            }
            for key in state.keys_of(lease) {
                state.revision += 1;
                state.remove(&key);
            }
            shared.1.notify_all();
            answer(200, "{}")
        }
        ("POST", ["mastknot", "kv-txn"]) => {
            let Some(body) = Json::parse(&request.body) else {
                return answer(400, "{}");
            };
            let expected = body.get("expectedRev").list();
            let revision_of = |state: &StoreState, key: &str| {
                state.items.get(key).map_or(0, |item| item.revision)
            };
            let is_as_expected = expected.iter().all(|row| {
                row.get("revision").number()
                    == Some(revision_of(&state, row.get("privateKey").text()))
            });
            if !is_as_expected {
                let items = expected.iter().filter_map(|row| {
                    let key = row.get("privateKey").text();
                    let item = state.items.get(key)?;
                    Some(item_json(
                        key,
                        &item.value,
                        item.revision,
                        item.made,
                        item.lease,
                    ))
                });
                let items: Vec<String> = items.collect();
                return answer(412, format!("{{\"items\":[{}]}}", items.join(",")));
            }
            let puts = body.get("put").list();
            let removed = body.get("remove").list();
            let leases = puts
                .iter()
                .filter_map(|put| put.get("lease").number())
                .filter(|lease| *lease != 0);
            if leases
                .into_iter()
                .any(|lease| !state.leases.contains_key(&lease))
            {
                return answer(404, "{}");
            }
            if !puts.is_empty() || !removed.is_empty() {
                state.revision += 1;
            }
            for put in puts {
                let (key, value) = (
                    put.get("privateKey").text().to_owned(),
                    put.get("value").text().to_owned(),
                );
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return answer(403, "{}");
                }
                state.put(&key, &value, put.get("lease").number().unwrap_or(0));
            }
            for key in removed {
                state.remove(key.text());
            }
            shared.1.notify_all();
            answer(200, format!("{{\"revision\":{}}}", state.revision))
        }
        _ => answer(404, "{}"),
    }
}

// ---------------------------------------------------------------- workers

const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes; the pages allow `stopTimeoutMs`, 50 ms.
const STOP_MS: u64 = 20;

struct Running {
    cpu: u64,
    begun_ms: u64,
    ends_ms: u64,
    how: &'static str,
}

#[derive(Default)]
struct WorkerState {
    token: u64,
    hold_until_ms: u64,
    running: BTreeMap<(String, u64), Running>,
    fences: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

/// A start or an end of a run, as a worker saw it.
#[derive(Clone, Debug)]
struct Seen {
    at_ms: u64,
    worker: String,
    task: String,
    attempt: u64,
    /// `start`, or how the run ended.
    what: &'static str,
}

/// One life of a worker.
#[derive(Clone, Copy)]
struct Incarnation {
    number: u64,
    started: Instant,
}

/// A worker that follows the pages on holds, fencing tokens, attempts, capacity and ends. The `spec` of a job is the run
/// time of its tasks in milliseconds, separated by commas for each step; each task asks the same room, `task_cpu`.
#[derive(Clone)]
struct Worker {
    /// The id of the first incarnation; later ones have other ids.
    id: String,
    incarnation: Arc<Mutex<Incarnation>>,
    /// Whether nothing listens at the address, because the worker has crashed.
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    address: SocketAddr,
    /// Start time that the worker names in all that it says of itself; `None` where workers have a new id instead.
    born: Option<u64>,
    cpu: u64,
    task_cpu: u64,
    /// Time by which a worker that drains leaves, on its clock; 0 while it is ready.
    leaves_ms: Arc<AtomicU64>,
    /// Time in the record at which a side first acknowledged that the worker drains; 0 before.
    acknowledged_ms: Arc<AtomicU64>,
    has_ended: Arc<AtomicBool>,
    state: Arc<(Mutex<WorkerState>, Condvar)>,
    seen: Arc<Mutex<Vec<Seen>>>,
    record: Arc<Record>,
}

impl Worker {
    fn start(
        ip: &str,
        id: &str,
        born: Option<u64>,
        cpu: u64,
        task_cpu: u64,
        seen: Arc<Mutex<Vec<Seen>>>,
        record: Arc<Record>,
    ) -> std::io::Result<Self> {
        let mut worker = Self {
            id: id.to_owned(),
            incarnation: Arc::new(Mutex::new(Incarnation {
                number: 0,
                started: Instant::now(),
            })),
            is_down: Arc::default(),
            connections: Arc::default(),
            address: format!("{ip}:0").parse().unwrap(),
            born,
            cpu,
            task_cpu,
            leaves_ms: Arc::default(),
            acknowledged_ms: Arc::default(),
            has_ended: Arc::default(),
            state: Arc::default(),
            seen,
            record,
        };
        // Runs end at their time whether or not anybody calls.
        let ended = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                ended.advance(&mut ended.state.0.lock().unwrap());
            }
        });
        let listener = TcpListener::bind(worker.address)?;
        worker.address = listener.local_addr()?;
        let served = worker.clone();
        thread::spawn(move || served.listen(listener));
        Ok(worker)
    }

    /// Serves calls. While the worker is down its connections are closed and new ones are refused.
    fn listen(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(Ordering::Relaxed) {
                listener = None;
                thread::sleep(Duration::from_millis(1));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let accepted = listener.as_ref().map(|listener| {
                let _ = listener.set_nonblocking(true);
                listener.accept()
            });
            let Some(Ok((stream, _))) = accepted else {
                thread::sleep(Duration::from_micros(300));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().push(copy);
            }
            let worker = self.clone();
            thread::spawn(move || {
                serve_connection(stream, Arc::new(move |request| worker.answer(&request)))
            });
        }
    }

    /// Returns the id of the present incarnation.
    fn name(&self) -> String {
        match self.incarnation.lock().unwrap().number {
            0 => self.id.clone(),
            number => format!("{}{}", self.id, char::from(b'a' + number as u8)),
        }
    }

    /// Ends the worker with all that runs on it, and starts another incarnation at the same address after a time.
    fn crash(&self, downtime: Duration) {
        self.is_down.store(true, Ordering::Relaxed);
        {
            let mut state = self.state.0.lock().unwrap();
            let ended = std::mem::take(&mut *state);
            for (task, attempt) in ended.running.into_keys() {
                self.note(&task, attempt, "ended with its worker");
            }
        }
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(format!("{}: crashes", self.name()));
        thread::sleep(downtime);
        {
            let mut incarnation = self.incarnation.lock().unwrap();
            incarnation.number += 1;
            incarnation.started = Instant::now();
        }
        self.is_down.store(false, Ordering::Relaxed);
        self.record
            .line(format!("{}: is up at the same address", self.name()));
    }

    fn clock_ms(&self) -> u64 {
        1_000
            + self
                .incarnation
                .lock()
                .unwrap()
                .started
                .elapsed()
                .as_millis() as u64
    }

    fn note(&self, task: &str, attempt: u64, what: &'static str) {
        let at_ms = self.record.ms();
        self.record
            .line(format!("{}: {what} {task} attempt {attempt}", self.id));
        let seen = Seen {
            at_ms,
            worker: self.id.clone(),
            task: task.to_owned(),
            attempt,
            what,
        };
        self.seen.lock().unwrap().push(seen);
    }

    /// Ends what is due, by its work or by the end of the hold.
    fn advance(&self, state: &mut WorkerState) {
        let now = self.clock_ms();
        let is_lapsed = state.hold_until_ms <= now;
        let due: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|(_, run)| is_lapsed || run.ends_ms <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, attempt) in due {
            let Some(run) = state.running.remove(&(task.clone(), attempt)) else {
                continue;
            };
            let how = if run.ends_ms <= now {
                run.how
            } else {
                "lapsed"
            };
            let fence = state.fences.entry(task.clone()).or_default();
            *fence = (*fence).max(attempt);
            state.next_end += 1;
            let number = state.next_end;
            state.finished.push((number, task.clone(), attempt, how));
            self.note(&task, attempt, how);
        }
    }

    /// Ends the worker and all that runs on it. It answers nothing any more.
    fn end(&self) {
        let mut state = self.state.0.lock().unwrap();
        self.has_ended.store(true, Ordering::Relaxed);
        let running = std::mem::take(&mut state.running);
        for (task, attempt) in running.into_keys() {
            self.note(&task, attempt, "ended with its worker");
        }
    }

    fn answer(&self, request: &Request) -> Response {
        if self.has_ended.load(Ordering::Relaxed) {
            // Nothing listens any more.
            return answer(503, "{}");
        }
        if request
            .headers
            .get("x-expect-instance")
            .is_some_and(|expected| *expected != self.name())
        {
            return answer(421, "{}");
        }
        let Some(body) = Json::parse(&request.body) else {
            return answer(400, "{}");
        };
        let token = body.get("fencingToken").number().unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        self.advance(&mut state);
        if token < state.token {
            return self.conflict("fence");
        }
        state.token = token;
        match request.path.as_str() {
            "/mastknot/run-start" => self.run_start(&mut state, &body),
            "/mastknot/run-stop" => {
                let (task, attempt) = (
                    body.get("task").text().to_owned(),
                    body.get("attempt").number().unwrap_or(0),
                );
                let now = self.clock_ms();
                match state.running.get_mut(&(task.clone(), attempt)) {
                    Some(run) if run.how == "stopped" => {}
                    Some(run) => {
                        run.ends_ms = now + STOP_MS;
                        run.how = "stopped";
                    }
                    None => {
                        let fence = state.fences.entry(task).or_default();
                        *fence = (*fence).max(attempt);
                    }
                }
                answer(200, format!("{{\"clockMs\":{now}}}"))
            }
            "/mastknot/hold" => {
                if let Some(until) = body.get("deadlineMs").number() {
                    self.extend_hold(&mut state, until);
                }
                let seen = body.get("lastSeen").number().unwrap_or(0);
                state.finished.retain(|(number, ..)| *number > seen);
                let until = Instant::now()
                    + Duration::from_millis(body.get("waitMs").number().unwrap_or(0).min(2_000));
                loop {
                    self.advance(&mut state);
                    if !state.finished.is_empty() || Instant::now() >= until {
                        return answer(200, self.view(&state));
                    }
                    state = self
                        .state
                        .1
                        .wait_timeout(state, Duration::from_millis(2))
                        .unwrap()
                        .0;
                }
            }
            _ => answer(404, "{}"),
        }
    }

    fn conflict(&self, reason: &str) -> Response {
        answer(
            409,
            format!(
                "{{\"clockMs\":{},\"reason\":\"{reason}\"}}",
                self.clock_ms()
            ),
        )
    }

    fn extend_hold(&self, state: &mut WorkerState, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms() + MAX_HOLD_MS);
        state.hold_until_ms = state.hold_until_ms.max(until_ms);
    }

    fn run_start(&self, state: &mut WorkerState, body: &Json) -> Response {
        let (task, attempt) = (
            body.get("task").text().to_owned(),
            body.get("attempt").number().unwrap_or(0),
        );
        let now = self.clock_ms();
        let deadline = body.get("deadlineMs").number().unwrap_or(0);
        if deadline <= now {
            return self.conflict("late");
        }
        self.extend_hold(state, deadline);
        if state.running.contains_key(&(task.clone(), attempt)) {
            return answer(200, format!("{{\"clockMs\":{now}}}"));
        }
        if state
            .fences
            .get(&task)
            .is_some_and(|fence| attempt <= *fence)
        {
            return self.conflict("old");
        }
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        if used + self.task_cpu > self.cpu {
            return self.conflict("room");
        }
        let step: usize = task
            .split('.')
            .nth(2)
            .and_then(|step| step.parse().ok())
            .unwrap_or(0);
        let times: Vec<u64> = body
            .get("spec")
            .text()
            .split(',')
            .filter_map(|time| time.parse().ok())
            .collect();
        let Some(time) = times.get(step).or(times.last()).copied() else {
            return answer(400, "{}");
        };
        let run = Running {
            cpu: self.task_cpu,
            begun_ms: now,
            ends_ms: now + time,
            how: "done",
        };
        state.running.insert((task.clone(), attempt), run);
        self.note(&task, attempt, "start");
        answer(200, format!("{{\"clockMs\":{now}}}"))
    }

    fn view(&self, state: &WorkerState) -> String {
        let now = self.clock_ms();
        let running = state.running.iter().map(|((task, attempt), run)| {
            let percent = 100 * (now - run.begun_ms) / (run.ends_ms - run.begun_ms).max(1);
            format!(
                "[\"{task}\",{attempt},\"\",{},{}]",
                percent.min(99),
                run.cpu
            )
        });
        let running: Vec<String> = running.collect();
        let finished = state.finished.iter().take(500);
        let finished = finished.map(|(number, task, attempt, how)| {
            format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]")
        });
        let finished: Vec<String> = finished.collect();
        format!(
            "{{\"clockMs\":{now},{}\"running\":[{}],\"finished\":[{}]}}",
            self.born_field(),
            running.join(","),
            finished.join(",")
        )
    }

    /// Sends heartbeats to the side on this machine, the first one at once.
    fn report(&self, control: SocketAddr, every: Duration, zone: &str, rack: usize) {
        let (worker, zone) = (self.clone(), zone.to_owned());
        thread::spawn(move || {
            let first = worker.incarnation.lock().unwrap().number;
            for number in 1_u64.. {
                let is_over = worker.incarnation.lock().unwrap().number != first;
                if is_over || worker.has_ended.load(Ordering::Relaxed) {
                    return;
                }
                if worker.is_down.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                let leaves_ms = worker.leaves_ms.load(Ordering::Relaxed);
                let state = match leaves_ms {
                    0 => "\"ready\"".to_owned(),
                    _ => format!(
                        "\"draining\",\"remainingMs\":{}",
                        leaves_ms.saturating_sub(worker.clock_ms())
                    ),
                };
                let body = worker.heartbeat(&zone, rack, &state, number);
                let taken = worker.send_heartbeat(control, &body);
                let is_taken = taken.is_some_and(|taken| taken.status == 200);
                if is_taken && leaves_ms != 0 {
                    worker.record.line(format!(
                        "{}: its heartbeat \"draining\" was acknowledged",
                        worker.id
                    ));
                    let acknowledged = worker.acknowledged_ms.load(Ordering::Relaxed);
                    if acknowledged == 0 {
                        worker
                            .acknowledged_ms
                            .store(worker.record.ms(), Ordering::Relaxed);
                    }
                }
                thread::sleep(every);
            }
        });
    }

    fn born_field(&self) -> String {
        self.born
            .map_or(String::new(), |born| format!("\"born\":{born},"))
    }

    fn heartbeat(&self, zone: &str, rack: usize, state: &str, number: u64) -> String {
        format!(
            "{{\"service\":\"svc\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":{state},\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":32768,\"gpu\":0}},\
             \"labels\":[\"a\",\"r1-{rack}\"],\"clockMs\":{},{}\"seqNo\":{number}}}",
            self.address,
            self.cpu,
            self.clock_ms(),
            self.born_field()
        )
    }

    fn send_heartbeat(&self, control: SocketAddr, body: &str) -> Option<Response> {
        let path = format!("/mastknot/instances/{}/heartbeat", self.name());
        let headers = [("Host", control.to_string())];
        call(
            control,
            "POST",
            &path,
            &headers,
            body,
            Duration::from_secs(1),
        )
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

// ---------------------------------------------------------------- the project's processes

struct Process {
    name: String,
    child: Child,
}

impl Process {
    fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
    }

    fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the processor time that the process has used so far, in milliseconds.
    fn cpu_ms(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |field: usize| {
            fields
                .get(field)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        // Fields 14 and 15 of the line, in ticks of 10 ms: time in the program and in the kernel for it.
        (ticks(11) + ticks(12)) * 10
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

const LINK_PORT: u16 = 7_720;
const FRONT_PORT: u16 = 8_161;
const CONTROL_PORT: u16 = 8_166;
const READY_PORT: u16 = 8_167;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HOST: &str = "nony24.example";

/// A deployment: the store, the entries, and the sides with their workers. Each machine has a loopback address.
struct Bed {
    record: Arc<Record>,
    folder: PathBuf,
    net: String,
    zones: Vec<String>,
    store: Store,
    entries: Vec<Process>,
    sides: Vec<Process>,
    workers: Vec<Worker>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Bed {
    fn start(
        record: Arc<Record>,
        zones: &[&str],
        entries: usize,
        sides: usize,
        cpu: u64,
        task_cpu: u64,
        names_born: bool,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("mastknot-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let net = free_net().ok_or("no free loopback network")?;
        let store = Store::start(&format!("{net}.1"), Arc::clone(&record)).map_err(text)?;
        let mut bed = Self {
            record,
            folder,
            net,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            store,
            entries: Vec::new(),
            sides: Vec::new(),
            workers: Vec::new(),
            seen: Arc::default(),
        };
        bed.store.put("op/config", CONFIG);
        for side in 0..sides {
            bed.start_worker(side, cpu, task_cpu, names_born)?;
            bed.start_side(side)?;
        }
        for side in 0..sides {
            // The sides listen by now, so that each heartbeat is acknowledged.
            thread::sleep(Duration::from_millis(if side == 0 { 200 } else { 0 }));
            bed.workers[side].report(bed.control(side), HEARTBEAT, bed.zone(side), side / 3);
        }
        for entry in 0..entries {
            let ip = bed.entry_ip(entry);
            let listen = format!(
                "front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\ncontrol = \"{ip}:{CONTROL_PORT}\"\n"
            );
            let process = bed.spawn(
                "entry",
                &format!("front-{entry}"),
                &ip,
                entry,
                "",
                &listen,
                "0.25",
                260,
            )?;
            bed.entries.push(process);
        }
        for entry in 0..entries {
            bed.wait_ready(entry)?;
        }
        Ok(bed)
    }

    fn start_worker(
        &mut self,
        side: usize,
        cpu: u64,
        task_cpu: u64,
        names_born: bool,
    ) -> Result<(), String> {
        let (seen, record) = (Arc::clone(&self.seen), Arc::clone(&self.record));
        let id = format!("i-7f3a91{side:02}");
        let born = names_born.then(unix_ms);
        let worker = Worker::start(&self.side_ip(side), &id, born, cpu, task_cpu, seen, record);
        self.workers
            .push(worker.map_err(|error| error.to_string())?);
        Ok(())
    }

    fn start_side(&mut self, side: usize) -> Result<(), String> {
        let ip = self.side_ip(side);
        let listen = format!("control = \"{ip}:{CONTROL_PORT}\"\n");
        let app = format!(
            "app = \"{}\"\nservice = \"svc\"\n",
            self.workers[side].address
        );
        let process = self.spawn(
            "side",
            &format!("side-{side}"),
            &ip,
            side,
            &app,
            &listen,
            "0.15",
            128,
        )?;
        self.sides.push(process);
        Ok(())
    }

    fn entry_ip(&self, entry: usize) -> String {
        format!("{}.{}", self.net, 10 + entry)
    }

    fn side_ip(&self, side: usize) -> String {
        format!("{}.{}", self.net, 100 + side)
    }

    fn zone(&self, machine: usize) -> &str {
        &self.zones[machine % self.zones.len()]
    }

    fn front(&self, entry: usize) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.entry_ip(entry))
            .parse()
            .unwrap()
    }

    fn control(&self, side: usize) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.side_ip(side))
            .parse()
            .unwrap()
    }

    #[allow(clippy::too_many_arguments)]
    fn spawn(
        &self,
        role: &str,
        name: &str,
        ip: &str,
        machine: usize,
        app: &str,
        listen: &str,
        share: &str,
        memory: u32,
    ) -> Result<Process, String> {
        let seeds = format!("\"{}:{CONTROL_PORT}\"", self.entry_ip(0));
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|zone| format!("{zone} = \"windhoek\"\n"))
            .collect();
        let class = if role == "entry" { "front" } else { "side" };
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nip = \"{ip}\"\nzone = \"{}\"\n\
             region = \"windhoek\"\nportRange = [{LINK_PORT},7735]\nseeds = [{seeds}]\nbootstrap = true\n\
             inTolerance = false\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeatMs = 1500\ncommands = \"call\"\n{app}\
             [zones]\n{}[listen]\n{listen}[limits]\ncpuShare = {share}\ncores = 1\nmemoryMb = {memory}\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n[bounds]\nseedLagS = 3\ncontactMs = 3000\nackTimeoutMs = 4000\n\
             drainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\nmaxHoldMs = 1000\nstopTimeoutMs = 50\ncancel_ms = 3000\n\
             resendMs = 1300\n[platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             historyS = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            self.zone(machine),
            zones.concat(),
            self.store.address
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new("target/release/mastknot-platform")
            .arg(role)
            .env("MASTKNOT_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|error| error.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("target/release/mastknot-platform: {error}"))?;
        self.record
            .line(format!("{name}: started, process {}", child.id()));
        Ok(Process {
            name: name.to_owned(),
            child,
        })
    }

    fn is_ready(&self, entry: usize) -> bool {
        let address: SocketAddr = format!("{}:{READY_PORT}", self.entry_ip(entry))
            .parse()
            .unwrap();
        let headers = [("Host", address.to_string())];
        let reply = call(
            address,
            "GET",
            "/mastknot/ready",
            &headers,
            "",
            Duration::from_secs(1),
        );
        reply.is_some_and(|reply| reply.status == 200)
    }

    fn wait_ready(&self, entry: usize) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready(entry) {
            if Instant::now() > until {
                return Err(format!("front-{entry} is not ready in time"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(format!("front-{entry}: ready"));
        Ok(())
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.entries.clear();
        self.sides.clear();
        match std::env::var("KEEP_LOGS") {
            Ok(_) => eprintln!("logs are in {}", self.folder.display()),
            Err(_) => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Finds a loopback network in which the ports of the first machines are free.
fn free_net() -> Option<String> {
    let start = std::process::id();
    (0..200)
        .map(|offset| start.wrapping_add(offset))
        .find_map(|number| {
            let net = format!("127.{}.{}", 20 + number / 250 % 200, 1 + number % 250);
            let is_free = |host: u32| {
                let ports = [LINK_PORT, FRONT_PORT, CONTROL_PORT, 9_464];
                ports
                    .into_iter()
                    .all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
            };
            [10, 11, 100, 101].into_iter().all(is_free).then_some(net)
        })
}

/// The operator's configuration, of the form that the pages show; one queue has the time for jobs of some seconds.
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-73hh2b9","host":"nony24.example","pathPrefix":"/pule252/","kind":"unsafe","timeoutMs":20000,"sloMs":60,"priority":0,"service":"svc","maxAttempts":4,"stretch":1.6},
{"name":"r-d3zji9n","host":"nony24.example","pathPrefix":"/pufi791/","kind":"unsafe","timeoutMs":1500,"sloMs":60,"priority":2,"service":"svc","maxAttempts":4,"stretch":1.6},
{"name":"r-wrr6x73","host":"nony24.example","pathPrefix":"/lohu930/","kind":"unsafe","timeoutMs":1500,"sloMs":60,"priority":1,"service":"svc","maxAttempts":2,"stretch":1.6}],
"services":[{"name":"svc","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":true,"headroom":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn submit(
    front: SocketAddr,
    prefix: &str,
    id: &str,
    body: &str,
    deadline_ms: u64,
) -> Option<Response> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Deadline-Ms", deadline_ms.to_string()),
    ];
    call(
        front,
        "POST",
        &format!("{prefix}{id}"),
        &headers,
        body,
        Duration::from_millis(deadline_ms),
    )
}

// ---------------------------------------------------------------- case 1

const CANCEL_MS: u64 = 3_000;
const STOP_TIMEOUT_MS: u64 = 50;

/// Ten clients of one zone hand in a job each. Half of them move to the other zone: their open connections stay with
/// their node, and new ones reach the node of the other zone. Two of them cancel their jobs from there.
fn cancels(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let bed = Bed::start(
        Arc::clone(record),
        &["wdh-a", "wdh-b"],
        2,
        4,
        16_000,
        1_600,
        true,
    )?;
    thread::sleep(Duration::from_secs(4));
    let body = "{\"spec\":\"4500,300\",\"bestEffort\":true,\"steps\":[\
                {\"count\":2,\"cpu\":1600,\"memMb\":64,\"estRuntimeMs\":4500},\
                {\"count\":2,\"cpu\":1600,\"memMb\":64,\"estRuntimeMs\":300,\"sinceRev\":[0]}]}";
    let jobs: Vec<String> = (0..10)
        .map(|number| format!("5c0e7a21d94b36f{number}"))
        .collect();
    let clients = jobs.iter().map(|job| {
        let (record, job, front) = (Arc::clone(record), job.clone(), bed.front(0));
        thread::spawn(move || {
            record.line(format!("client of {job}: POST to front-0"));
            let reply = submit(front, "/pule252/", &job, body, 15_000);
            let seen = reply.map_or("no answer".to_owned(), |reply| {
                format!("{} {}", reply.status, reply.body)
            });
            record.line(format!("client of {job}: POST answered {seen}"));
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_millis(1_000));
    let new_front = if has_trouble { 1 } else { 0 };
    if has_trouble {
        record.line("clients of the last five jobs have moved to zone wdh-b");
    }
    let mut acknowledged = BTreeMap::new();
    for job in &jobs[8..] {
        let headers = [("Host", HOST.to_owned())];
        record.line(format!("client of {job}: DELETE to front-{new_front}"));
        let front = bed.front(new_front);
        let reply = call(
            front,
            "DELETE",
            &format!("/pule252/{job}"),
            &headers,
            "",
            Duration::from_secs(4),
        );
        let Some(reply) = reply else {
            return Err("a cancel got no answer".to_owned());
        };
        record.line(format!("client of {job}: DELETE answered {}", reply.status));
        if reply.status == 410 || reply.status / 100 == 2 {
            acknowledged.insert(job.clone(), record.ms());
        }
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let seen = bed.seen.lock().unwrap().clone();
    let mut is_broken = false;
    for (job, at_ms) in &acknowledged {
        for start in seen
            .iter()
            .filter(|seen| seen.what == "start" && seen.task.starts_with(job.as_str()))
        {
            if start.at_ms > at_ms + CANCEL_MS {
                is_broken = true;
                record.line(format!(
                    "UNASKED: {} started on {} {} ms after the cancelling of its job was acknowledged",
                    start.task,
                    start.worker,
                    start.at_ms - at_ms
                ));
            }
            let is_end = |seen: &&Seen| {
                seen.what != "start" && seen.task == start.task && seen.attempt == start.attempt
            };
            let ended = seen
                .iter()
                .find(is_end)
                .map_or(record.ms(), |end| end.at_ms);
            if start.at_ms <= at_ms + CANCEL_MS && ended > at_ms + CANCEL_MS + STOP_TIMEOUT_MS {
                is_broken = true;
                record.line(format!(
                    "UNASKED: {} ran until {} ms after that acknowledgement",
                    start.task,
                    ended - at_ms
                ));
            }
        }
    }
    let done = |job: &String| {
        seen.iter()
            .any(|seen| seen.what == "done" && seen.task.starts_with(&format!("{job}.0.1.")))
    };
    if acknowledged.len() < 2 || !jobs[..8].iter().all(done) {
        return Err("not all jobs were served, or a cancel was not acknowledged".to_owned());
    }
    Ok(is_broken)
}

// ---------------------------------------------------------------- case 2

/// Three entries and eleven sides serve jobs of four tasks of 0.9 s. A machine with a worker is added. Its worker starts
/// before the side listens, crashes half a second later and is back as another incarnation a second after that. Then the
/// side stands still for 1.2 s.
fn added_machine(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    const ADDED: usize = 11;
    let flag =
        |name: &str| std::env::var(name).map_or(has_trouble, |value| has_trouble && value != "0");
    let (crashes, freezes) = (flag("CRASH"), flag("FREEZE"));
    let mut bed = Bed::start(
        Arc::clone(record),
        &["z1", "z2", "z3"],
        3,
        ADDED,
        32_000,
        3_100,
        false,
    )?;
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = (0..3).map(|entry| bed.front(entry)).collect();
    let (over, traffic_record) = (Arc::clone(&is_over), Arc::clone(record));
    let traffic = thread::spawn(move || {
        let mut clients = Vec::new();
        for number in 0..300_usize {
            if over.load(Ordering::Relaxed) {
                break;
            }
            let (front, record) = (fronts[number % 3], Arc::clone(&traffic_record));
            clients.push(thread::spawn(move || {
                let body = "{\"spec\":\"900\",\"bestEffort\":true,\"steps\":[\
                            {\"count\":4,\"cpu\":3100,\"memMb\":64,\"estRuntimeMs\":900}]}";
                let id = format!("e21d94b3{number:08x}");
                let reply = submit(front, "/pufi791/", &id, body, 1_500);
                let seen = reply.map_or("no answer".to_owned(), |reply| {
                    format!("{} {}", reply.status, reply.body)
                });
                record.line(format!("client of {id}: POST answered {seen}"));
            }));
            thread::sleep(Duration::from_millis(60));
        }
        clients.into_iter().for_each(|client| drop(client.join()));
    });
    thread::sleep(Duration::from_secs(2));
    bed.start_worker(ADDED, 32_000, 3_100, false)?;
    let (worker, control) = (bed.workers[ADDED].clone(), bed.control(ADDED));
    let zone = bed.zone(ADDED).to_owned();
    record.line(format!("{}: starts on a machine that is added", worker.id));
    worker.report(control, HEARTBEAT, &zone, ADDED / 3);
    thread::sleep(Duration::from_millis(100));
    bed.start_side(ADDED)?;
    thread::sleep(Duration::from_millis(400));
    if crashes {
        worker.crash(Duration::from_millis(1_000));
        worker.report(control, HEARTBEAT, &zone, ADDED / 3);
    } else {
        thread::sleep(Duration::from_millis(1_000));
    }
    thread::sleep(Duration::from_millis(200));
    if freezes {
        bed.sides[ADDED].signal("-STOP");
        record.line(format!("side-{ADDED}: stands still"));
        thread::sleep(Duration::from_millis(1_200));
        bed.sides[ADDED].signal("-CONT");
        record.line(format!("side-{ADDED}: wakes"));
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    thread::sleep(Duration::from_millis(500));
    let seen = bed.seen.lock().unwrap().clone();
    if !seen
        .iter()
        .any(|seen| seen.what == "start" && seen.worker == worker.id)
    {
        return Err("nothing ran on the added machine".to_owned());
    }
    Ok(has_run_twice(record, &seen))
}

/// Returns whether a task ran twice at the same time, and records each case.
fn has_run_twice(record: &Record, seen: &[Seen]) -> bool {
    let mut is_broken = false;
    for start in seen.iter().filter(|seen| seen.what == "start") {
        let earlier = seen.iter().filter(|other| {
            other.what == "start"
                && other.task == start.task
                && other.attempt != start.attempt
                && other.at_ms <= start.at_ms
        });
        for other in earlier {
            let is_end = |end: &&Seen| {
                end.what != "start" && end.task == other.task && end.attempt == other.attempt
            };
            let ended = seen
                .iter()
                .find(is_end)
                .map_or(record.ms(), |end| end.at_ms);
            if ended > start.at_ms {
                is_broken = true;
                record.line(format!(
                    "TWICE: {} ran on {} and on {} for {} ms at the same time",
                    start.task,
                    other.worker,
                    start.worker,
                    ended - start.at_ms
                ));
            }
        }
    }
    is_broken
}

// ---------------------------------------------------------------- case 3

/// The part of a core that an entry's machine has, in percent (`cpuShare` in the settings). A process that uses all of it
/// without any request does not hand back the processor.
const CPU_SHARE_PERCENT: u64 = 25;
/// Time between two jobs of the usual traffic, which takes about 70 percent of the workers.
const USUAL_GAP: Duration = Duration::from_micros(32_000);
/// Time between two jobs of a burst: 1.8 times the usual traffic.
const BURST_GAP: Duration = Duration::from_micros(17_800);

/// Five entries and eighteen sides serve their usual traffic. One entry is stopped with SIGTERM and does not come back.
/// Around the time at which its key in the store goes, the traffic is 1.8 times the usual for four seconds. Then the
/// traffic ends, and the processor time of the other entries is read for fifteen seconds without any request.
fn removal(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    const REMOVED: usize = 4;
    const ENTRIES: usize = 5;
    let mut bed = Bed::start(
        Arc::clone(record),
        &["wdh-a", "wdh-b", "wdh-c"],
        ENTRIES,
        18,
        3_200,
        1_600,
        true,
    )?;
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<SocketAddr> = (0..ENTRIES).map(|entry| bed.front(entry)).collect();
    let taken_out = Arc::new(AtomicBool::new(false));
    let is_over = Arc::new(AtomicBool::new(false));
    let is_burst = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let traffic = {
        let (out, over, burst) = (
            Arc::clone(&taken_out),
            Arc::clone(&is_over),
            Arc::clone(&is_burst),
        );
        let answers = Arc::clone(&answers);
        thread::spawn(move || {
            let mut sent = 0_u64;
            let mut next = Instant::now();
            while !over.load(Ordering::Relaxed) && sent < 3_000 {
                next += if burst.load(Ordering::Relaxed) {
                    BURST_GAP
                } else {
                    USUAL_GAP
                };
                thread::sleep(next.saturating_duration_since(Instant::now()));
                let usable = if out.load(Ordering::Relaxed) {
                    ENTRIES - 1
                } else {
                    ENTRIES
                };
                let front = fronts[sent as usize % usable];
                sent += 1;
                let id = format!("7a21d94b{sent:08x}");
                let answers = Arc::clone(&answers);
                thread::spawn(move || {
                    let body = "{\"spec\":\"400\",\"bestEffort\":true,\"steps\":[\
                                {\"count\":2,\"cpu\":1600,\"memMb\":64,\"estRuntimeMs\":400}]}";
                    let reply = submit(front, "/lohu930/", &id, body, 1_500);
                    let status = reply.map_or(0, |reply| reply.status);
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                });
            }
            sent
        })
    };
    record.line("the usual traffic begins");
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        // The platform sends no new connections to an entry that it stops.
        taken_out.store(true, Ordering::Relaxed);
        let entry = &mut bed.entries[REMOVED];
        record.line(format!("{}: SIGTERM", entry.name));
        entry.signal("-TERM");
        let until = Instant::now() + Duration::from_secs(6);
        while !entry.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        if !entry.has_ended() {
            return Err("the entry did not end within its grace time".to_owned());
        }
        record.line(format!("{}: ended, and is not started again", entry.name));
    } else {
        thread::sleep(Duration::from_millis(2_300));
    }
    thread::sleep(Duration::from_millis(2_500));
    record.line("the burst begins: 1.8 times the usual traffic");
    is_burst.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    is_burst.store(false, Ordering::Relaxed);
    record.line("the burst ends");
    thread::sleep(Duration::from_secs(3));
    if has_trouble && bed.store.has("mastknot/entries/front-4") {
        return Err("the key of the removed entry is still in the store".to_owned());
    }
    is_over.store(true, Ordering::Relaxed);
    let sent = traffic.join().unwrap_or(0);
    record.line(format!("the traffic ends after {sent} jobs"));
    thread::sleep(Duration::from_secs(8));
    record.line(format!(
        "answers by status (0: none): {:?}",
        answers.lock().unwrap()
    ));
    let remaining = if has_trouble { ENTRIES - 1 } else { ENTRIES };
    let before: Vec<u64> = bed.entries[..remaining]
        .iter()
        .map(Process::cpu_ms)
        .collect();
    let from = Instant::now();
    thread::sleep(Duration::from_secs(15));
    let mut is_broken = false;
    for (entry, before) in bed.entries[..remaining].iter().zip(before) {
        let passed_ms = from.elapsed().as_millis() as u64;
        let share = (entry.cpu_ms() - before) * 100 / passed_ms;
        record.line(format!(
            "{}: {share} percent of a core in {passed_ms} ms without any request",
            entry.name
        ));
        if share >= CPU_SHARE_PERCENT {
            is_broken = true;
            record.line(format!(
                "Fault: {} does not hand back the processor",
                entry.name
            ));
        }
    }
    Ok(is_broken)
}

// ---------------------------------------------------------------- seen beside the cases, rule TWICE

const DRAIN_MS: u64 = 2_000;
const DRAINED: usize = 0;

/// Time between the answer to a worker's `leave` and its end: the only time that the pages allow for the end of runs.
const END_MS: u64 = STOP_TIMEOUT_MS;

/// Three entries and eleven sides serve jobs whose tasks take some seconds. One worker drains, serves on, says that it
/// leaves and ends, as in a planned end; its tasks end with it. `END_MS` in the environment sets another time for that.
fn leaving(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let end_ms = std::env::var("END_MS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(END_MS);
    let bed = Bed::start(
        Arc::clone(record),
        &["wdh-a", "wdh-b", "wdh-c"],
        3,
        11,
        16_000,
        1_600,
        false,
    )?;
    thread::sleep(Duration::from_secs(4));
    let worker = bed.workers[DRAINED].clone();
    let body = "{\"spec\":\"3600\",\"bestEffort\":true,\"steps\":[\
                {\"count\":4,\"cpu\":1600,\"memMb\":64,\"estRuntimeMs\":3600}]}";
    let clients = (0..12_usize).map(|number| {
        let (record, front) = (Arc::clone(record), bed.front(number % 3));
        thread::spawn(move || {
            let id = format!("1d94b36f8a7c{number:04x}");
            let reply = submit(front, "/pule252/", &id, body, 15_000);
            let seen = reply.map_or("no answer".to_owned(), |reply| {
                format!("{} {}", reply.status, reply.body)
            });
            record.line(format!("client of {id}: POST answered {seen}"));
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_millis(200));
    if has_trouble {
        worker
            .leaves_ms
            .store(worker.clock_ms() + 3_000, Ordering::Relaxed);
        let until = Instant::now() + Duration::from_secs(3);
        while worker.acknowledged_ms.load(Ordering::Relaxed) == 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        let acknowledged_ms = worker.acknowledged_ms.load(Ordering::Relaxed);
        if acknowledged_ms == 0 {
            return Err("the heartbeat of the draining worker was not acknowledged".to_owned());
        }
        let left = (acknowledged_ms + DRAIN_MS + 100).saturating_sub(record.ms());
        thread::sleep(Duration::from_millis(left));
        record.line(format!("{}: leaves", worker.id));
        let path = format!("/mastknot/instances/{}/leave", worker.id);
        let born = worker
            .born
            .map_or(String::new(), |born| format!("{{\"born\":{born}}}"));
        let headers = [("Host", bed.control(DRAINED).to_string())];
        let reply = call(
            bed.control(DRAINED),
            "POST",
            &path,
            &headers,
            &born,
            Duration::from_secs(4),
        );
        record.line(format!(
            "{}: leave answered {}",
            worker.id,
            reply.map_or(0, |reply| reply.status)
        ));
        thread::sleep(Duration::from_millis(end_ms));
        worker.end();
        record.line(format!("{}: has ended", worker.id));
    }
    for client in clients {
        let _ = client.join();
    }
    let seen = bed.seen.lock().unwrap().clone();
    let has_run = seen
        .iter()
        .any(|seen| seen.what == "start" && seen.worker == worker.id);
    if !has_run {
        return Err("nothing ran on the worker that leaves".to_owned());
    }
    Ok(has_run_twice(record, &seen))
}

// ---------------------------------------------------------------- seen beside the cases, rule DRAIN

/// Two entries and three sides serve short jobs. One heartbeat of another writer reaches a side. Later the worker there
/// drains, serves on and leaves, as in a planned end.
fn foreign_heartbeat(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let bed = Bed::start(
        Arc::clone(record),
        &["wdh-a", "wdh-b"],
        2,
        3,
        16_000,
        1_600,
        false,
    )?;
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let fronts = [bed.front(0), bed.front(1)];
    let over = Arc::clone(&is_over);
    let traffic = thread::spawn(move || {
        let mut answers: BTreeMap<u16, u64> = BTreeMap::new();
        for number in 0..1_000_u64 {
            if over.load(Ordering::Relaxed) {
                break;
            }
            let body = "{\"spec\":\"100\",\"bestEffort\":true,\"steps\":[\
                        {\"count\":6,\"cpu\":1600,\"memMb\":64,\"estRuntimeMs\":100}]}";
            let id = format!("94b36f8a{number:08x}");
            let reply = submit(fronts[number as usize % 2], "/lohu930/", &id, body, 1_500);
            *answers
                .entry(reply.map_or(0, |reply| reply.status))
                .or_default() += 1;
            thread::sleep(Duration::from_millis(20));
        }
        answers
    });
    thread::sleep(Duration::from_secs(2));
    let worker = bed.workers[DRAINED].clone();
    if has_trouble {
        // `version` is a number in place of a text, and `clockMs` is missing.
        let whole = worker.heartbeat(bed.zone(DRAINED), 0, "\"ready\"", 900_000);
        let clock = format!(
            "\"clockMs\":{},",
            Json::parse(whole.as_bytes())
                .and_then(|body| body.get("clockMs").number())
                .unwrap_or(0)
        );
        let body = whole
            .replace("\"version\":\"v1\"", "\"version\":7")
            .replace(&clock, "");
        let reply = worker.send_heartbeat(bed.control(DRAINED), &body);
        let status = reply.map_or("no answer".to_owned(), |reply| reply.status.to_string());
        record.line(format!(
            "another writer: heartbeat for {} answered {status}: {body}",
            worker.id
        ));
    }
    thread::sleep(Duration::from_secs(2));
    worker
        .leaves_ms
        .store(worker.clock_ms() + 7_000, Ordering::Relaxed);
    record.line(format!("{}: drains from its next heartbeat on", worker.id));
    let until = Instant::now() + Duration::from_secs(4);
    while worker.acknowledged_ms.load(Ordering::Relaxed) == 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    let acknowledged_ms = worker.acknowledged_ms.load(Ordering::Relaxed);
    if acknowledged_ms == 0 {
        return Err("the heartbeat of the draining worker was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(DRAIN_MS + 3_000));
    is_over.store(true, Ordering::Relaxed);
    let answers = traffic.join().unwrap_or_default();
    record.line(format!("answers by status (0: none): {answers:?}"));
    let seen = bed.seen.lock().unwrap().clone();
    let starts = |from_ms: u64| {
        let of_worker = seen
            .iter()
            .filter(|seen| seen.what == "start" && seen.worker == worker.id);
        of_worker.filter(|seen| seen.at_ms > from_ms).count()
    };
    if starts(0) == 0 {
        return Err("the worker had no work".to_owned());
    }
    let late = starts(acknowledged_ms + DRAIN_MS);
    record.line(format!(
        "{late} starts on {} later than drainMs after the acknowledgement",
        worker.id
    ));
    if late > 0 {
        record.line("DRAIN: tasks are started on the draining worker");
    }
    Ok(late > 0)
}

// ---------------------------------------------------------------- main

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(file) = File::create(path) else {
        eprintln!("the record can't be written");
        std::process::exit(2);
    };
    let record = Arc::new(Record {
        started: Instant::now(),
        file: Mutex::new(file),
    });
    record.line(format!("case {case}, trouble {has_trouble}"));
    let result = match case.as_str() {
        "cancels" => cancels(&record, has_trouble),
        "added" => added_machine(&record, has_trouble),
        "removal" => removal(&record, has_trouble),
        "heartbeat" => foreign_heartbeat(&record, has_trouble),
        "leaving" => leaving(&record, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    let code = match result {
        Ok(false) => {
            record.line("the rule held");
            0
        }
        Ok(true) => {
            record.line("the rule was broken");
            1
        }
        Err(problem) => {
            record.line(format!("could not run: {problem}"));
            2
        }
    };
    std::process::exit(code);
}
