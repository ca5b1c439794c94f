//! The platform's metadata store: keys, ranges, watches, transactions and leases, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, answer, serve};
use crate::json::{Json, to_base64};

#[derive(Clone)]
struct Item {
    /// Value in base64, as it travels.
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    /// The item as it was written; `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    /// Serves the store at an address, until the returned switch is set.
    pub fn serve_at(&self, address: SocketAddr) -> std::io::Result<Arc<AtomicBool>> {
        let listener = TcpListener::bind(address)?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let (served, closed) = (self.clone(), Arc::clone(&is_closed));
        serve(listener, move |request| {
            let answer = served.handle(&request);
            // A closed address answers nothing: its connections break.
            if closed.load(Ordering::SeqCst) { None } else { answer }
        });
        Ok(is_closed)
    }

    /// Writes and removes keys in one transaction, as the operator does. Returns its revision.
    pub fn transact(&self, put: &[(&str, &str)], remove: &[&str]) -> u64 {
        let mut state = self.shared.state.lock().expect("store");
        let put = put.iter();
        let put = put.map(|(key, value)| (key.to_string(), to_base64(value.as_bytes()), 0));
        let put: Vec<(String, String, u64)> = put.collect();
        let remove: Vec<String> = remove.iter().map(|key| key.to_string()).collect();
        let revision = state.apply(&put, &remove);
        self.shared.changed.notify_all();
        revision
    }

    /// Returns the revision of the store.
    pub fn revision(&self) -> u64 {
        self.shared.state.lock().expect("store").revision
    }

    fn handle(&self, request: &Request) -> Option<Answer> {
        let mut state = self.shared.state.lock().expect("store");
        if state.expire_leases() {
            self.shared.changed.notify_all();
        }
        drop(state);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/mastknot/kv-key") => self.key(request),
            ("GET", "/mastknot/kv-range") => self.range(request),
            ("GET", "/mastknot/kv-watch") => self.watch(request),
            ("POST", "/mastknot/kv-txn") => self.transaction(request),
            ("POST", "/mastknot/kv-lease") => self.grant(request),
            ("POST", _) if path.starts_with("/mastknot/kv-keep/") => self.renew(path),
            ("DELETE", _) if path.starts_with("/mastknot/kv-lease-end/") => self.end_lease(path),
            _ => answer(404, ""),
        }
    }

    fn key(&self, request: &Request) -> Option<Answer> {
        let state = self.shared.state.lock().expect("store");
        let key = request.query("privateKey");
        match state.items.get(key) {
            Some(item) => answer(200, item.json(key)),
            None => answer(404, ""),
        }
    }

    fn range(&self, request: &Request) -> Option<Answer> {
        let state = self.shared.state.lock().expect("store");
        let (prefix, after) = (request.query("pathPrefix"), request.query("sinceRev"));
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = found.map(|(key, item)| item.json(key)).collect();
        let body = Json::object(&[
            ("items", Json::List(items)),
            ("more", Json::Bool(false)),
            ("at", Json::number(state.revision)),
        ]);
        answer(200, body)
    }

    fn watch(&self, request: &Request) -> Option<Answer> {
        let since: u64 = request.query("sinceRev").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let prefix = request.query("pathPrefix");
        let mut state = self.shared.state.lock().expect("store");
        loop {
            state.expire_leases();
            let events = state.events.iter();
            let events = events.filter(|event| event.revision > since);
            let events = events.filter(|event| event.key.starts_with(prefix));
            let events: Vec<Json> = events.map(Event::json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = Json::object(&[
                    ("events", Json::List(events)),
                    ("at", Json::number(state.revision)),
                ]);
                return answer(200, body);
            }
            let left = (until - now).min(Duration::from_millis(200));
            state = self.shared.changed.wait_timeout(state, left).expect("store").0;
        }
    }

    fn transaction(&self, request: &Request) -> Option<Answer> {
        let body = Json::parse(&request.body)?;
        let mut state = self.shared.state.lock().expect("store");
        let expected = body.get("expectedRev").as_list();
        let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = expected.iter().all(|row| {
            let key = row.get("privateKey").as_str().unwrap_or_default();
            row.get("revision").as_u64() == Some(revision_of(key))
        });
        if !holds {
            let keys = expected.iter().filter_map(|row| row.get("privateKey").as_str());
            let items = keys.filter_map(|key| Some(state.items.get(key)?.json(key)));
            let items = Json::List(items.collect());
            return answer(412, Json::object(&[("items", items)]));
        }
        let put = body.get("put").as_list().iter();
        let put = put.map(|row| {
            let text = |name: &str| row.get(name).as_str().unwrap_or_default().to_owned();
            (text("privateKey"), text("value"), row.get("lease").as_u64().unwrap_or(0))
        });
        let put: Vec<(String, String, u64)> = put.collect();
        let remove = body.get("remove").as_list().iter();
        let remove: Vec<String> = remove.filter_map(|key| key.as_str().map(str::to_owned)).collect();
        let is_operators = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        if put.iter().any(|(key, ..)| is_operators(key)) || remove.iter().any(|key| is_operators(key)) {
            return answer(403, "");
        }
        if put.iter().any(|(_, _, lease)| *lease != 0 && !state.leases.contains_key(lease)) {
            return answer(404, "");
        }
        let revision = state.apply(&put, &remove);
        self.shared.changed.notify_all();
        answer(200, Json::object(&[("revision", Json::number(revision))]))
    }

    fn grant(&self, request: &Request) -> Option<Answer> {
        let body = Json::parse(&request.body)?;
        let ttl = Duration::from_millis(body.get("ttl_ms").as_u64()?.clamp(1_000, 600_000));
        let mut state = self.shared.state.lock().expect("store");
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        let ttl_ms = Json::number(ttl.as_millis() as u64);
        answer(200, Json::object(&[("lease", Json::number(lease)), ("ttl_ms", ttl_ms)]))
    }

    fn renew(&self, path: &str) -> Option<Answer> {
        let id: u64 = path.rsplit('/').next()?.parse().unwrap_or(0);
        let mut state = self.shared.state.lock().expect("store");
        let Some((until, ttl)) = state.leases.get_mut(&id) else {
            return answer(404, "");
        };
        *until = Instant::now() + *ttl;
        let ttl_ms = Json::number(ttl.as_millis() as u64);
        answer(200, Json::object(&[("ttl_ms", ttl_ms)]))
    }

    fn end_lease(&self, path: &str) -> Option<Answer> {
        let id: u64 = path.rsplit('/').next()?.parse().unwrap_or(0);
        let mut state = self.shared.state.lock().expect("store");
        state.leases.remove(&id);
        state.remove_unleased();
        self.shared.changed.notify_all();
        answer(200, "{}")
    }
}

impl Item {
    fn json(&self, key: &str) -> Json {
        Json::object(&[
            ("privateKey", Json::text(key)),
            ("value", Json::text(self.value.clone())),
            ("revision", Json::number(self.revision)),
            ("made", Json::number(self.made)),
            ("lease", Json::number(self.lease)),
        ])
    }
}

impl Event {
    fn json(&self) -> Json {
        match &self.item {
            Some(item) => item.json(&self.key),
            None => Json::object(&[
                ("privateKey", Json::text(self.key.clone())),
                ("revision", Json::number(self.revision)),
                ("gone", Json::Bool(true)),
            ]),
        }
    }
}

impl State {
    /// Does all changes of one transaction under one revision, and returns it.
    fn apply(&mut self, put: &[(String, String, u64)], remove: &[String]) -> u64 {
        let remove = remove.iter().filter(|key| self.items.contains_key(*key));
        let remove: Vec<String> = remove.cloned().collect();
        if put.is_empty() && remove.is_empty() {
            return self.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        for key in remove {
            self.items.remove(&key);
            self.events.push(Event { key, revision, item: None });
        }
        for (key, value, lease) in put {
            let made = self.items.get(key).map_or(revision, |item| item.made);
            let item = Item { value: value.clone(), revision, made, lease: *lease };
            self.items.insert(key.clone(), item.clone());
            self.events.push(Event { key: key.clone(), revision, item: Some(item) });
        }
        revision
    }

    fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let before = self.leases.len();
        self.leases.retain(|_, (until, _)| *until > now);
        let is_expired = self.leases.len() < before;
        if is_expired {
            self.remove_unleased();
        }
        is_expired
    }

    fn remove_unleased(&mut self) {
        let leases = &self.leases;
        let items = self.items.iter();
        let gone = items.filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease));
        let gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        self.apply(&[], &gone);
    }
}
