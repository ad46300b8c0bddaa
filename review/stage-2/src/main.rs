//! Stand-ins for the platform, members and clients, and the scripts of cases 6 to 10.

mod daemons;
mod json;
mod members;
mod platform;
mod record;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::daemons::Client;
use crate::daemons::Daemon;
use crate::daemons::Outcome;
use crate::daemons::SIGCONT;
use crate::daemons::SIGSTOP;
use crate::daemons::SIGTERM;
use crate::daemons::Writer;
use crate::daemons::free_address;
use crate::daemons::free_listener;
use crate::members::Group;
use crate::members::State;
use crate::platform::Cloud;
use crate::platform::Order;
use crate::platform::Reach;
use crate::platform::Store;
use crate::record::now_ms;

const SERVICE: &str = "huvo";

/// Time from an accepted order until the member leads, as at `koktem-lifts`.
const PROMOTE: Duration = Duration::from_millis(1_000);

type OnOrder = Box<dyn Fn(&Order) + Send + Sync>;

struct Stage {
    store: Store,
    cloud: Cloud,
    group: Group,
    daemons: Vec<Daemon>,
    folder: std::path::PathBuf,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Stage {
    /// Starts the platform, three members, and a daemon for each zone of `zones`.
    fn start(sync_replicas: usize, zones: &[&str], on_order: OnOrder) -> Result<Self, String> {
        let store = Store::default();
        let manifest = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"lepu\",\"pathPrefix\":\"/\",\
             \"kind\":\"primary\",\"timeoutMs\":800,\"sloMs\":150,\"priority\":1,\"service\":\"{SERVICE}\",\
             \"attempts\":2,\"public\":false}},{{\"name\":\"r-2\",\"host\":\"xapu\",\"pathPrefix\":\"/\",\
             \"kind\":\"bounded_staleness\",\"maxStalenessMs\":1500,\"timeoutMs\":2000,\"sloMs\":500,\
             \"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConns\":22,\"coldS\":0.0,\"coldPerS\":0.0,\
             \"syncReplicas\":{sync_replicas}}}],\"limits\":{{\"txIdleMs\":3000}},\
             \"tenants\":[{{\"name\":\"nypu\",\"apiKeys\":[\"k1\"],\"ratePerS\":100,\"burst\":100}}]}}"
        );
        store.put("op", "config", &manifest);
        let listener = free_listener();
        let store_address = listener.local_addr().map_err(|error| error.to_string())?;
        store.serve(listener);
        let addresses = [free_address(), free_address(), free_address()];
        let group = Group::start(SERVICE, sync_replicas, &store, addresses);
        let promoted = group.clone();
        let cloud = Cloud::serve(
            free_listener(),
            Box::new(move |order| {
                let status = promoted.promote(&order.member, PROMOTE);
                if status == 200 {
                    on_order(order);
                }
                status
            }),
        );
        let folder = std::env::temp_dir().join(format!("stage-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let peers: Vec<SocketAddr> = zones.iter().map(|_| free_address()).collect();
        let mut stage = Self { store, cloud, group, daemons: Vec::new(), folder };
        for (index, zone) in zones.iter().enumerate() {
            let cloud = stage.cloud.address;
            let daemon = Daemon::start(index, zone, &peers, store_address, cloud, &stage.folder)?;
            stage.daemons.push(daemon);
        }
        Ok(stage)
    }

    /// Waits until writes are acknowledged through each daemon.
    fn wait_until_served(&self) -> Result<(), String> {
        for daemon in &self.daemons {
            let mut writer = Writer::new("warm", &[daemon]);
            while writer.write().is_none() {
                if now_ms() > 20_000 {
                    return Err("no write was served in time".to_owned());
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // The service is handed over to the data centre of its primary.
        let until_ms = now_ms() + 8_000;
        while now_ms() < until_ms
            && self.owner().is_none_or(|owner| owner.name != self.daemons[0].name)
        {
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_millis(1_000));
        Ok(())
    }

    /// Returns the name of the daemon that owns the service, as its lease says.
    fn owner(&self) -> Option<&Daemon> {
        let leases = self.store.values("lease/");
        let lease = leases.iter().find_map(|lease| json::Json::parse(lease))?;
        let holder = lease.get("holder").text().to_owned();
        self.daemons.iter().find(|daemon| daemon.name == holder)
    }

    /// Writes every 50 ms for a time. Returns what was acknowledged.
    fn write_for(&self, writer: &mut Writer, ms: u64) -> Vec<daemons::Acknowledged> {
        let until_ms = now_ms() + ms;
        let mut acknowledged = Vec::new();
        while now_ms() < until_ms {
            acknowledged.extend(writer.write());
            thread::sleep(Duration::from_millis(50));
        }
        acknowledged
    }

    fn writer(&self, prefix: &'static str) -> Writer {
        Writer::new(prefix, &self.daemons.iter().collect::<Vec<_>>())
    }

    /// Returns the writes that were acknowledged before a promotion took effect and are not in the log
    /// of the member that was promoted: the rule LOST for a service with `syncReplicas`.
    fn lost(&self, acknowledged: &[daemons::Acknowledged]) -> Vec<String> {
        let state = self.group.state.lock().expect("not poisoned");
        let mut lost = Vec::new();
        for promotion in &state.promotions {
            for write in acknowledged.iter().filter(|write| write.at_ms < promotion.at_ms) {
                if !promotion.log.iter().any(|entry| entry.id == write.id) {
                    lost.push(format!(
                        "{} (acknowledged at {} ms) is not in the log of {}, promoted at {} ms",
                        write.id, write.at_ms, promotion.member, promotion.at_ms
                    ));
                }
            }
        }
        lost
    }
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes from three sessions at once while `disrupt` runs. Returns what was acknowledged.
fn write_during(stage: &Stage, disrupt: impl FnOnce()) -> Vec<daemons::Acknowledged> {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let writers: Vec<_> = ["u", "v", "w"]
            .into_iter()
            .map(|prefix| {
                let is_over = &is_over;
                scope.spawn(move || {
                    let mut writer = stage.writer(prefix);
                    let mut acknowledged = Vec::new();
                    while !is_over.load(Ordering::Relaxed) {
                        acknowledged.extend(writer.write());
                        sleep(25);
                    }
                    acknowledged
                })
            })
            .collect();
        disrupt();
        is_over.store(true, Ordering::Relaxed);
        writers.into_iter().flat_map(|writer| writer.join().unwrap_or_default()).collect()
    })
}

/// LOST: the owner's data centre is cut off from those of the primary and the synchronous replica.
fn cut_zone(has_trouble: bool) -> Result<Vec<String>, String> {
    let stage = Stage::start(1, &["c", "c"], Box::new(|_| {}))?;
    stage.wait_until_served()?;
    let acknowledged = write_during(&stage, || {
        sleep(1_000);
        if has_trouble {
            stage.group.set_deaf(2, true);
        }
        sleep(1_000);
        if has_trouble {
            // From the owner's data centre and that of the third member, the other two are gone.
            stage.group.set_state(0, State::Dark);
            stage.group.set_state(1, State::Dark);
            stage.group.set_deaf(2, false);
        }
        sleep(5_500);
        if has_trouble {
            stage.group.set_state(0, State::Up);
            stage.group.set_state(1, State::Up);
        }
        sleep(4_000);
    });
    finish(&stage, &acknowledged)
}

/// LOST: a draining replica has the log when the primary crashes.
fn draining_replica(has_trouble: bool) -> Result<Vec<String>, String> {
    let stage = Stage::start(1, &["a", "b", "c"], Box::new(|_| {}))?;
    stage.wait_until_served()?;
    let acknowledged = write_during(&stage, || {
        sleep(1_000);
        if has_trouble {
            stage.group.set_draining(1);
        }
        sleep(1_500);
        if has_trouble {
            stage.group.set_deaf(2, true);
        }
        sleep(1_000);
        if has_trouble {
            stage.group.set_state(0, State::Down);
        }
        sleep(4_000);
        if has_trouble {
            stage.group.set_state(0, State::Up);
            stage.group.set_deaf(2, false);
        }
        sleep(3_000);
    });
    finish(&stage, &acknowledged)
}

/// LOST: the order for the replica that has the log finds the platform down.
fn refused_order(has_trouble: bool) -> Result<Vec<String>, String> {
    let stage = Stage::start(1, &["a", "b", "c"], Box::new(|_| {}))?;
    stage.wait_until_served()?;
    let acknowledged = write_during(&stage, || {
        sleep(1_000);
        if has_trouble {
            stage.group.set_deaf(2, true);
        }
        sleep(1_000);
        if has_trouble {
            stage.cloud.set_reach(Reach::Refused);
            sleep(20);
            stage.group.set_state(0, State::Down);
        }
        sleep(1_400);
        if has_trouble {
            stage.cloud.set_reach(Reach::Served);
        }
        sleep(3_400);
        if has_trouble {
            stage.group.set_deaf(2, false);
            stage.group.set_state(0, State::Up);
        }
        sleep(2_600);
    });
    finish(&stage, &acknowledged)
}

fn finish(stage: &Stage, acknowledged: &[daemons::Acknowledged]) -> Result<Vec<String>, String> {
    stage.daemons.iter().for_each(Daemon::note_log);
    note!("client: {} writes were acknowledged", acknowledged.len());
    if acknowledged.len() < 50 {
        return Err("too few writes were acknowledged".to_owned());
    }
    Ok(stage.lost(acknowledged))
}

/// ONE: a stopped owner orders a promotion after another one has.
fn stale_order(has_trouble: bool) -> Result<Vec<String>, String> {
    let stage = Stage::start(0, &["a", "b", "c"], Box::new(|_| {}))?;
    stage.wait_until_served()?;
    let mut was_stopped = false;
    let acknowledged = write_during(&stage, || {
        sleep(2_000);
        if !has_trouble {
            sleep(15_000);
            return;
        }
        stage.group.wait_until_caught_up();
        stage.group.set_state(0, State::Dark);
        let dark_since_ms = now_ms();
        stage.cloud.set_reach(Reach::SilentFromOrder);
        // The first order gets no answer; the owner looks for its effect for 3.1 s and then checks the
        // members again before it repeats the order.
        let until_ms = now_ms() + 6_000;
        let first = loop {
            let first = stage.cloud.unanswered.lock().expect("not poisoned").first().cloned();
            match first {
                Some(order) => break order,
                None if now_ms() > until_ms => return,
                None => sleep(2),
            }
        };
        let Some(owner) = stage.daemons.iter().find(|daemon| daemon.name == first.holder) else {
            return;
        };
        was_stopped = true;
        sleep((first.at_ms + 3_300).saturating_sub(now_ms()));
        owner.signal(SIGSTOP);
        stage.cloud.set_reach(Reach::Served);
        sleep((dark_since_ms + 6_900).saturating_sub(now_ms()));
        stage.group.set_state(0, State::Up);
        sleep((first.at_ms + 3_300 + 3_950).saturating_sub(now_ms()));
        owner.signal(SIGCONT);
        sleep(3_000);
    });
    stage.daemons.iter().for_each(Daemon::note_log);
    note!("client: {} writes were acknowledged", acknowledged.len());
    if has_trouble && !was_stopped {
        return Err("no order was given".to_owned());
    }
    let orders = stage.cloud.orders.lock().expect("not poisoned");
    let mut broken = Vec::new();
    for (index, order) in orders.iter().enumerate() {
        let newer = orders[..index].iter().filter(|earlier| earlier.token > order.token).last();
        if let Some(newer) = newer {
            broken.push(format!(
                "{} sent token {} at {} ms, after {} had sent token {} at {} ms",
                order.holder, order.token, order.at_ms, newer.holder, newer.token, newer.at_ms
            ));
        }
    }
    Ok(broken)
}

/// STALE: a host that takes a service over is killed and acts as owner while the former one still does.
fn two_owners(has_trouble: bool) -> Result<Vec<String>, String> {
    let stage = Stage::start(0, &["a", "b", "c"], Box::new(|_| {}))?;
    stage.wait_until_served()?;
    let owner = stage.owner().ok_or("no owner")?;
    let mut booking = Client::connect(owner.callers, "lepu").ok_or("no session")?;
    booking.query("b1", "BEGIN");
    booking.query("b2", "STORE 1a4 x");
    if has_trouble {
        owner.signal(SIGTERM);
        let until_ms = now_ms() + 3_000;
        let successor = loop {
            match stage.owner().filter(|holder| holder.name != owner.name) {
                Some(successor) => break successor,
                None if now_ms() > until_ms => return Err("no handover".to_owned()),
                None => sleep(1),
            }
        };
        note!("store: the lease is now that of {}", successor.name);
        // The replica in the successor's data centre.
        stage.group.set_deaf(if successor.name.contains("-b-") { 1 } else { 2 }, true);
        successor.kill_and_restart(Duration::from_millis(300))?;
    }
    sleep(270);
    let outcome = booking.query("b3", "COMMIT");
    let committed_ms = now_ms();
    let Outcome::Done(position) = outcome else {
        stage.daemons.iter().for_each(Daemon::note_log);
        return Err("the commit was not acknowledged".to_owned());
    };
    let position = parse_position(&position);
    sleep(1_700);
    let others = stage.daemons.iter().filter(|daemon| daemon.name != owner.name);
    let mut sessions: Vec<Client> =
        others.filter_map(|daemon| Client::connect(daemon.callers, "xapu")).collect();
    let mut broken = Vec::new();
    let mut reads = 0;
    for round in 0..60 {
        for (number, session) in sessions.iter_mut().enumerate() {
            let sent_ms = now_ms();
            let id = format!("r{number}x{round}");
            if let Outcome::Done(read_at) = session.query(&id, "FETCH 1a4") {
                reads += 1;
                if parse_position(&read_at) < position && sent_ms > committed_ms + 1_500 {
                    broken.push(format!(
                        "{id} ran on a log up to {read_at} and lacks the commit {}.{}, acknowledged {} ms before",
                        position.0, position.1, sent_ms - committed_ms
                    ));
                }
            }
            sleep(10);
        }
    }
    stage.daemons.iter().for_each(Daemon::note_log);
    note!("client: {reads} reads succeeded");
    match reads {
        0 => Err("no read succeeded".to_owned()),
        _ => Ok(broken),
    }
}

fn parse_position(text: &str) -> (u64, u64) {
    let (term, number) = text.split_once('.').unwrap_or(("0", "0"));
    (term.parse().unwrap_or(0), number.parse().unwrap_or(0))
}

/// ONE: a former primary is used again although its successor leads.
fn former_primary(has_trouble: bool) -> Result<Vec<String>, String> {
    let ordered: Arc<Mutex<Option<(u64, String)>>> = Arc::default();
    let noted = ordered.clone();
    let stage = Stage::start(
        0,
        &["a", "b", "c"],
        Box::new(move |order| {
            let mut ordered = noted.lock().expect("not poisoned");
            ordered.get_or_insert((now_ms(), order.member.clone()));
        }),
    )?;
    stage.wait_until_served()?;
    let mut writer = stage.writer("w");
    let mut acknowledged = stage.write_for(&mut writer, 1_000);
    if has_trouble {
        let group = stage.group.clone();
        let ordered = ordered.clone();
        group.set_state(0, State::Dark);
        thread::spawn(move || {
            let (at_ms, member) = loop {
                if let Some(order) = ordered.lock().expect("not poisoned").clone() {
                    break order;
                }
                sleep(5);
            };
            let index = if member == "i-2" { 1 } else { 2 };
            // One member is dark at a time.
            sleep((at_ms + 150).saturating_sub(now_ms()));
            group.set_state(0, State::Up);
            sleep((at_ms + 300).saturating_sub(now_ms()));
            group.set_state(index, State::Dark);
            sleep((at_ms + 3_950).saturating_sub(now_ms()));
            group.set_state(index, State::Up);
        });
    }
    acknowledged.extend(stage.write_for(&mut writer, 12_000));
    stage.daemons.iter().for_each(Daemon::note_log);
    note!("client: {} writes were acknowledged", acknowledged.len());
    let state = stage.group.state.lock().expect("not poisoned");
    let mut broken = Vec::new();
    for commit in &state.commits {
        let Some(write) = acknowledged.iter().find(|write| write.id == commit.entry.id) else {
            continue;
        };
        let newer = state
            .promotions
            .iter()
            .find(|promotion| promotion.at_ms < commit.at_ms && promotion.term > commit.entry.term);
        if let Some(newer) = newer {
            let is_kept = state.members.iter().any(|member| member.log.contains(&commit.entry));
            broken.push(format!(
                "{} was committed at {} in term {} at {} ms and acknowledged, although {} has led term {} since {} ms; {}",
                write.id, commit.member, commit.entry.term, commit.at_ms, newer.member, newer.term, newer.at_ms,
                if is_kept { "it is in a log" } else { "it is in no log at the end" }
            ));
        }
    }
    Ok(broken)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (name, path) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0").then_some(false);
    let has_trouble = has_trouble.unwrap_or(true);
    let script = match name.as_str() {
        "cut-zone" => cut_zone,
        "stale-order" => stale_order,
        "two-owners" => two_owners,
        "draining-replica" => draining_replica,
        "refused-order" => refused_order,
        "former-primary" => former_primary,
        _ => {
            eprintln!("unknown script {name:?}");
            return ExitCode::from(2);
        }
    };
    note!(
        "script {name}, {}",
        if has_trouble { "with the disruption" } else { "without the disruption" }
    );
    daemons::limit_time(Duration::from_secs(100));
    let result = script(has_trouble);
    let code = match &result {
        Ok(broken) if broken.is_empty() => {
            note!("the rule held");
            0
        }
        Ok(broken) => {
            broken.iter().for_each(|line| note!("BROKEN: {line}"));
            1
        }
        Err(error) => {
            note!("the case could not run: {error}");
            2
        }
    };
    println!("{name}: exit code {code}, {} findings", result.map_or(0, |broken| broken.len()));
    record::write(&path);
    ExitCode::from(code)
}
