//! The members of one service: a primary and its replicas, as the pages describe them. Commits reach
//! the replicas within milliseconds, and they apply them at once.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::note;
use crate::platform::Store;
use crate::record::now_ms;

/// Time for which a primary goes on after it can reach a newer one.
const STEP_DOWN_MS: u64 = 1_000;

/// Silence after which a member's entry is removed: three intervals of its reports.
const SILENCE_MS: u64 = 3_600;

const POLL: Duration = Duration::from_millis(2);

/// A commit in a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
}

/// How a member can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It runs.
    Up,
    /// It runs, but nothing reaches it or comes from it.
    Dark,
    /// Its process has ended: connections are refused.
    Down,
}

#[derive(Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: State,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// Whether it receives nothing from the primary.
    pub is_deaf: bool,
    pub is_draining: bool,
    /// Raised whenever its connections end.
    epoch: u64,
    seq: u64,
    born: u64,
    reported_at_ms: u64,
    sees_newer_since_ms: Option<u64>,
}

impl Member {
    fn position(&self) -> String {
        self.log.last().map_or("1.0".to_owned(), |last| format!("{}.{}", last.term, last.number))
    }
}

/// A promotion that has taken effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    pub at_ms: u64,
    pub member: String,
    pub term: u64,
    pub log: Vec<Entry>,
}

/// A commit at a member.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at_ms: u64,
    pub member: String,
    pub entry: Entry,
}

#[derive(Default)]
pub struct Everything {
    pub members: Vec<Member>,
    pub promotions: Vec<Promotion>,
    pub commits: Vec<Commit>,
    signatures: u64,
}

/// The members of a service.
#[derive(Clone)]
pub struct Group {
    pub service: String,
    pub state: Arc<Mutex<Everything>>,
    sync_replicas: usize,
    store: Store,
}

impl Group {
    /// Starts three members, the first of which is the primary.
    pub fn start(
        service: &str,
        sync_replicas: usize,
        store: &Store,
        addresses: [SocketAddr; 3],
    ) -> Self {
        let group = Self {
            service: service.to_owned(),
            state: Arc::default(),
            sync_replicas,
            store: store.clone(),
        };
        for (index, address) in addresses.into_iter().enumerate() {
            group.state.lock().expect("not poisoned").members.push(Member {
                id: format!("i-{}", index + 1),
                address,
                zone: ["a", "b", "c"][index].to_owned(),
                state: State::Up,
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                is_deaf: false,
                is_draining: false,
                epoch: 0,
                seq: 0,
                born: 1,
                reported_at_ms: 0,
                sees_newer_since_ms: None,
            });
            let served = group.clone();
            thread::spawn(move || served.serve(index));
        }
        let replicating = group.clone();
        thread::spawn(move || {
            loop {
                replicating.replicate();
                thread::sleep(POLL);
            }
        });
        let reporting = group.clone();
        thread::spawn(move || {
            loop {
                reporting.report();
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        group
    }

    /// Writes the members' entries in the store. One that is not reachable writes nothing.
    pub fn report(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        let now_ms = now_ms();
        for member in &mut state.members {
            if member.state != State::Up {
                if now_ms > member.reported_at_ms + SILENCE_MS {
                    self.store.delete("servers", &member.id);
                }
                continue;
            }
            member.reported_at_ms = now_ms;
            member.seq += 1;
            let (role, drain) = (
                if member.is_primary { "primary" } else { "replica" },
                if member.is_draining { "draining" } else { "ready" },
            );
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\
                 \"state\":\"{drain}\",\"coldMs\":0,\"dbRole\":\"{role}\",\"seq\":{},\"born\":{}}}",
                self.service, member.address, member.zone, member.seq, member.born
            );
            self.store.put("servers", &member.id, &entry);
        }
    }

    pub fn set_state(&self, index: usize, to: State) {
        let mut state = self.state.lock().expect("not poisoned");
        let leads =
            state.members.iter().filter(|other| other.is_primary && other.state == State::Up);
        let newest = leads.map(|other| other.term).max().unwrap_or(0);
        let member = &mut state.members[index];
        note!("member {}: {:?} -> {to:?}", member.id, member.state);
        if member.state == State::Down && to == State::Up && newest > member.term {
            member.is_primary = false;
        }
        if member.state == State::Down {
            member.born += 1;
        }
        member.state = to;
        member.epoch += 1;
        member.sees_newer_since_ms = None;
    }

    /// Waits until each replica has every commit of the primary, for a second at most.
    pub fn wait_until_caught_up(&self) {
        for _ in 0..1_000 {
            let state = self.state.lock().expect("not poisoned");
            let numbers: Vec<Option<u64>> = state
                .members
                .iter()
                .map(|member| member.log.last().map(|last| last.number))
                .collect();
            if numbers.iter().all(|number| *number == numbers[0]) {
                return;
            }
            drop(state);
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        let mut state = self.state.lock().expect("not poisoned");
        let member = &mut state.members[index];
        note!("member {}: receives {}", member.id, if is_deaf { "nothing" } else { "again" });
        member.is_deaf = is_deaf;
    }

    pub fn set_draining(&self, index: usize) {
        let mut state = self.state.lock().expect("not poisoned");
        let member = &mut state.members[index];
        note!("member {}: reports that it is draining", member.id);
        member.is_draining = true;
        drop(state);
        self.report();
    }

    /// Carries out an order: the member leads the next term after a while. Returns the status.
    pub fn promote(&self, id: &str, after: Duration) -> u16 {
        let state = self.state.lock().expect("not poisoned");
        let Some(index) = state.members.iter().position(|member| member.id == id) else {
            return 409;
        };
        let member = &state.members[index];
        if member.state == State::Down {
            return 409;
        }
        let newest = state.members.iter().filter(|member| member.is_primary).map(|m| m.term).max();
        if member.is_primary && Some(member.term) == newest {
            return 200;
        }
        drop(state);
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(after);
            let mut state = group.state.lock().expect("not poisoned");
            let term = state.members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
            let member = &mut state.members[index];
            if member.state == State::Down || member.is_primary {
                return;
            }
            (member.is_primary, member.term) = (true, term);
            let (at_ms, member) = (now_ms(), member.id.clone());
            let log = state.members[index].log.clone();
            note!(
                "member {member}: leads term {term} from now on, with a log up to {}",
                state.members[index].position()
            );
            state.promotions.push(Promotion { at_ms, member, term, log });
        });
        200
    }

    /// Passes commits on to the replicas, and lets former primaries step down.
    fn replicate(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        let now_ms = now_ms();
        let lead = state
            .members
            .iter()
            .enumerate()
            .filter(|(_, member)| member.is_primary && member.state == State::Up)
            .max_by_key(|(_, member)| member.term)
            .map(|(index, member)| (index, member.term, member.log.clone()));
        let Some((lead, term, log)) = lead else { return };
        for (index, member) in state.members.iter_mut().enumerate() {
            if index == lead || member.state != State::Up || member.is_deaf || member.term > term {
                continue;
            }
            if member.is_primary {
                let since_ms = *member.sees_newer_since_ms.get_or_insert(now_ms);
                if now_ms < since_ms + STEP_DOWN_MS {
                    continue;
                }
                note!(
                    "member {}: steps down, since it reaches the primary of term {term}",
                    member.id
                );
                member.is_primary = false;
            }
            let lost: Vec<String> = member
                .log
                .iter()
                .filter(|entry| !log.contains(entry))
                .map(|entry| format!("{}({}.{})", entry.id, entry.term, entry.number))
                .collect();
            if !lost.is_empty() {
                note!("member {}: rolls back {}", member.id, lost.join(" "));
            }
            let known =
                member.log.iter().zip(&log).take_while(|(mine, theirs)| mine == theirs).count();
            member.log.truncate(known);
            member.log.extend_from_slice(&log[known..]);
            member.term = term;
        }
    }

    fn serve(&self, index: usize) {
        let address = self.state.lock().expect("not poisoned").members[index].address;
        let mut listener = None;
        let mut was_dark = false;
        loop {
            match self.state.lock().expect("not poisoned").members[index].state {
                State::Down => listener = None,
                State::Dark => was_dark = true,
                State::Up => {
                    if listener.is_none() {
                        listener = TcpListener::bind(address).ok();
                        if let Some(socket) = &listener {
                            let _ = socket.set_nonblocking(true);
                        }
                    }
                    while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                        // What came while nothing reached the member is lost.
                        if !was_dark {
                            let group = self.clone();
                            thread::spawn(move || group.serve_connection(index, stream));
                        }
                    }
                    was_dark = false;
                }
            }
            thread::sleep(POLL);
        }
    }

    /// Returns whether a connection from an epoch still exists; `None` while nothing reaches the member.
    fn is_connected(&self, index: usize, epoch: u64) -> Option<bool> {
        let state = self.state.lock().expect("not poisoned");
        let member = &state.members[index];
        (member.state != State::Dark).then_some(member.state == State::Up && member.epoch == epoch)
    }

    fn serve_connection(&self, index: usize, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        let epoch = self.state.lock().expect("not poisoned").members[index].epoch;
        let mut session = Session::default();
        let mut input: Vec<u8> = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            match self.is_connected(index, epoch) {
                Some(false) => return,
                None => {
                    thread::sleep(POLL);
                    continue;
                }
                Some(true) => {}
            }
            if let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&input[..end]).into_owned();
                input.drain(..end + 2);
                let Some(answer) = self.answer(index, epoch, &mut session, &line) else { return };
                if self.is_connected(index, epoch) != Some(true) {
                    continue;
                }
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            match stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(read) => input.extend_from_slice(&buffer[..read]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return,
            }
        }
    }

    /// Answers one line. Returns `None` if the connection ends.
    fn answer(
        &self,
        index: usize,
        epoch: u64,
        session: &mut Session,
        line: &str,
    ) -> Option<String> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        if word == "STARTUP" {
            let state = self.state.lock().expect("not poisoned");
            let member = &state.members[index];
            let mut fields = rest.split(' ');
            let is_service = fields.next() == Some(&self.service);
            let is_member = fields.nth(1).is_none_or(|id| id == member.id);
            return Some(match is_service && is_member {
                true => format!("READY I {}\r\n", member.position()),
                false => format!("ERROR WRONGNODE {}\r\n", member.id),
            });
        }
        if word != "QUERY" {
            return None;
        }
        let (id, text) = rest.split_once(' ')?;
        let result = self.run(index, epoch, session, id, text)?;
        let state = self.state.lock().expect("not poisoned");
        let position = state.members[index].position();
        let lines = match &result {
            Ok(lines) => lines.clone(),
            Err(error) => {
                if session.block == 'T' && !error.starts_with("BUSY") {
                    session.block = 'E';
                }
                format!("ERROR {error}\r\n")
            }
        };
        if id != "-" {
            note!(
                "member {}: QUERY {id} {text} -> {}",
                state.members[index].id,
                lines.trim_end().replace("\r\n", " / ")
            );
        }
        Some(format!("{lines}READY {} {position}\r\n", session.block))
    }

    fn run(
        &self,
        index: usize,
        epoch: u64,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<Result<String, String>> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("SYNCPOS ") {
            let (floor, rest) = rest.split_once(' ')?;
            text = rest;
            let state = self.state.lock().expect("not poisoned");
            let (term, number) = floor.split_once('.')?;
            let floor: (u64, u64) = (term.parse().ok()?, number.parse().ok()?);
            let last = state.members[index].log.last();
            if last.map_or((1, 0), |last| (last.term, last.number)) < floor {
                return Some(Err("LAGGING behind".to_owned()));
            }
        }
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        let leads = self.state.lock().expect("not poisoned").members[index].is_primary;
        let unsigned = Ok("COMPLETE -\r\n".to_owned());
        Some(match verb {
            "STATUS" | "STEPDOWN" => {
                let mut state = self.state.lock().expect("not poisoned");
                let member = &mut state.members[index];
                if verb == "STEPDOWN" && rest.parse().is_ok_and(|term: u64| term > member.term) {
                    member.is_primary = false;
                }
                let role = if member.is_primary { "primary" } else { "replica" };
                let (term, position) = (member.term, member.position());
                Ok(format!("DATA {role} {term} {position} 0 0 0 1\r\nCOMPLETE -\r\n"))
            }
            "RESET" | "DEALLOC" | "SET" => unsigned,
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ')?;
                session.prepared.insert(name.to_owned(), shape.to_owned());
                unsigned
            }
            _ if session.block == 'E' && verb != "ROLLBACK" && verb != "COMMIT" => {
                Err("MALFORMED the transaction failed".to_owned())
            }
            "BEGIN" => {
                if !leads && rest != "FETCH" {
                    return Some(Err(format!("READONLY {}", index + 1)));
                }
                session.block = 'T';
                unsigned
            }
            "ROLLBACK" => {
                session.block = 'I';
                session.writes.clear();
                unsigned
            }
            "COMMIT" => {
                session.block = 'I';
                let writes = std::mem::take(&mut session.writes);
                match writes.is_empty() {
                    true => Ok(format!("COMPLETE {}\r\n", self.signature())),
                    false => return self.commit(index, epoch, &writes.join("+")),
                }
            }
            "FETCH" => Ok(format!("DATA {rest}\r\nCOMPLETE {}\r\n", self.signature())),
            "STORE" | "EXECUTE" => {
                let shape = session.prepared.get(rest.split(' ').next()?);
                let reads = verb == "EXECUTE" && shape.is_some_and(|it| it.starts_with("FETCH"));
                if verb == "EXECUTE" && shape.is_none() {
                    return Some(Err("NOSTMT no such name".to_owned()));
                }
                if reads {
                    Ok(format!("DATA {rest}\r\nCOMPLETE {}\r\n", self.signature()))
                } else if !leads {
                    Err(format!("READONLY {}", index + 1))
                } else if session.block == 'T' {
                    session.writes.push(id.to_owned());
                    Ok(format!("COMPLETE {}\r\n", self.signature()))
                } else {
                    return self.commit(index, epoch, id);
                }
            }
            _ => Err("MALFORMED unknown".to_owned()),
        })
    }

    fn signature(&self) -> String {
        let mut state = self.state.lock().expect("not poisoned");
        state.signatures += 1;
        format!("7.{:x}.c.90e1c4d2", state.signatures)
    }

    /// Commits at a primary. The answer comes once enough replicas have received it; `None` if the
    /// connection ends before.
    fn commit(&self, index: usize, epoch: u64, id: &str) -> Option<Result<String, String>> {
        let entry = {
            let mut state = self.state.lock().expect("not poisoned");
            let member = &mut state.members[index];
            if !member.is_primary {
                return Some(Err(format!("READONLY {}", index + 1)));
            }
            let number = member.log.last().map_or(0, |last| last.number) + 1;
            let entry = Entry { term: member.term, number, id: id.to_owned() };
            member.log.push(entry.clone());
            let commit =
                Commit { at_ms: now_ms(), member: member.id.clone(), entry: entry.clone() };
            state.commits.push(commit);
            entry
        };
        loop {
            let received = {
                let state = self.state.lock().expect("not poisoned");
                let others = state.members.iter().enumerate().filter(|(other, _)| *other != index);
                others.filter(|(_, other)| other.log.contains(&entry)).count()
            };
            if received >= self.sync_replicas {
                return Some(Ok(format!("COMPLETE {}\r\n", self.signature())));
            }
            if self.is_connected(index, epoch) == Some(false) {
                return None;
            }
            thread::sleep(POLL);
        }
    }
}

/// What a member keeps of one connection.
struct Session {
    block: char,
    prepared: HashMap<String, String>,
    writes: Vec<String>,
}

impl Default for Session {
    fn default() -> Self {
        Self { block: 'I', prepared: HashMap::new(), writes: Vec::new() }
    }
}
