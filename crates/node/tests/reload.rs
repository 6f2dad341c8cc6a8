//! A new configuration while the program serves: SIGHUP with good, broken and missing files.

use pinetrestle_standins::{
    config_json, entries, entry, eventually, list, query, Discovery, Doing, Program, Server,
};
use serde_json::{json, Value};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

struct Stage {
    servers: Vec<Server>,
    discovery: Discovery,
    config: Value,
    program: Program,
}

impl Stage {
    fn new() -> Stage {
        let servers: Vec<Server> = (0..6).map(|_| Server::start(Doing::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let known = list(1, &entries(&servers));
        let config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
        let program = Program::started(NODE, &config);
        let stage = Stage { servers, discovery, config, program };
        eventually("a watch stands", || stage.program.stats()["discovery"]["lists"].as_u64() >= Some(1));
        stage
    }

    fn with(&self, change: impl FnOnce(&mut Value)) -> String {
        let mut config = self.config.clone();
        change(&mut config);
        config.to_string()
    }

    fn serves(&self) {
        let answer =
            pinetrestle_standins::Client::to(self.program.address).send(&query("all", &[0, 1, 2], 2000).1);
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    fn stat(&self, group: &str, name: &str) -> u64 {
        self.program.stats()[group][name].as_u64().expect("a count")
    }
}

#[test]
fn another_discovery_is_watched_before_the_old_watch_is_left() {
    let stage = Stage::new();
    // The version there is lower than the one already known; its list lacks a server and has a new one.
    for _ in 0..3 {
        stage.discovery.tell(entries(&stage.servers));
    }
    eventually("the old one is up to date", || stage.stat("discovery", "lists") >= 2);
    let fresh = Server::start(Doing::Serving);
    let mut lines = entries(&stage.servers);
    lines[0] = entry("s9", &fresh.address.to_string(), 0);
    lines.remove(3);
    let other = Discovery::start(lines);
    stage.program.reload(Some(&stage.with(|file| file["discovery"] = json!(other.address.to_string()))));
    eventually("it is watched", || other.watches() == 1);
    eventually("the old watch is left", || {
        let peer = format!("peer={}", stage.discovery.address);
        stage.program.count(&["side=discovery", &peer, "reason=asked_anew"]) == 1
    });
    eventually("its list is in force", || {
        stage.serves();
        !fresh.seen().is_empty()
    });
    let before = stage.servers[0].seen().len() + stage.servers[3].seen().len();
    for _ in 0..4 {
        stage.serves();
    }
    assert_eq!(stage.servers[0].seen().len() + stage.servers[3].seen().len(), before, "no longer listed");
    assert_eq!(stage.stat("discovery", "lost"), 0, "no moment without a watch");
    assert_eq!(stage.stat("own", "reloads"), 1);
}

#[test]
fn the_old_watch_still_tells_while_the_new_discovery_is_not_there_yet() {
    let stage = Stage::new();
    let late = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    stage.program.reload(Some(&stage.with(|file| file["discovery"] = json!(late.to_string()))));
    eventually("it is asked and refuses", || {
        stage.program.count(&["side=discovery", &format!("peer={late}"), "reason=connect_refused"]) > 0
    });
    // What the old one has to tell still counts.
    let lists = stage.stat("discovery", "lists");
    let fresh = Server::start(Doing::Serving);
    let mut lines = entries(&stage.servers);
    lines[0] = entry("s9", &fresh.address.to_string(), 0);
    lines.remove(3);
    stage.discovery.tell(lines.clone());
    eventually("the old one is heard", || stage.stat("discovery", "lists") > lists);
    eventually("its list is in force", || {
        stage.serves();
        !fresh.seen().is_empty()
    });
    let other = Discovery::start_at(&late.to_string(), lines);
    eventually("the new one is watched once it is there", || other.watches() > 0);
    stage.serves();
}

#[test]
fn a_file_that_is_no_good_leaves_everything_as_it_was() {
    let stage = Stage::new();
    let other = Discovery::start(entries(&stage.servers));
    let elsewhere = json!(other.address.to_string());
    let bad = [
        (Some("{\"name\":".to_owned()), "key=RELAY_CONFIG"),
        (Some("[]".to_owned()), "key=RELAY_CONFIG"),
        (Some(stage.with(|file| file["discovery"] = json!("nowhere"))), "key=discovery"),
        (
            Some(stage.with(|file| file["settings"]["rules"]["fall"] = json!("long"))),
            "key=settings.rules.fall",
        ),
        (Some(stage.with(|file| file["transport"] = json!({"linger": 1}))), "key=transport.linger"),
        (Some(stage.with(|file| file["listen"] = json!("127.0.0.1:9"))), "key=listen"),
        (Some(stage.with(|file| file["name"] = json!("n9"))), "key=name"),
        (None, "key=RELAY_CONFIG"),
    ];
    for (place, (text, key)) in bad.into_iter().enumerate() {
        // Each of them would send it elsewhere if it were taken.
        let text = text.map(|text| match serde_json::from_str::<Value>(&text) {
            Ok(mut file) if file.is_object() && file["discovery"] != "nowhere" => {
                file["discovery"] = elsewhere.clone();
                file.to_string()
            }
            _ => text,
        });
        stage.program.reload(text.as_deref());
        eventually("it is refused", || stage.stat("own", "reloads_refused") == place as u64 + 1);
        eventually("the log names the key", || stage.program.count(&["configuration kept", key]) > 0);
        stage.serves();
    }
    assert_eq!((other.watches(), stage.stat("own", "reloads")), (0, 0));
    assert_eq!(stage.discovery.watches(), 1, "the old watch stands");
    // A good file is taken after all of them.
    stage.program.reload(Some(&stage.with(|file| file["discovery"] = elsewhere.clone())));
    eventually("it is watched", || other.watches() == 1);
}

#[test]
fn what_can_change_does_and_what_cannot_is_named() {
    let stage = Stage::new();
    let mut rests = pinetrestle_standins::Client::to(stage.program.address);
    assert_eq!(rests.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    stage.program.reload(Some(&stage.with(|file| {
        file["transport"] = json!({"client_idle_ms": 50});
        file["settings"]["permissions"]["try_limit"] = json!(1);
    })));
    eventually("it is taken, the settings wait", || {
        stage.program.count(&["configuration taken", "waits_for_a_restart=settings"]) == 1
    });
    assert_eq!(rests.send("GET /health/live HTTP/1.1\r\n\r\n").status, 200);
    let begun = Instant::now();
    assert!(rests.is_ended(), "it may rest no longer than this now");
    assert!(begun.elapsed() < Duration::from_secs(5));
    stage.serves();
}

#[test]
fn sighup_is_harmless_early_twice_and_during_a_stop() {
    let mut stage = Stage::new();
    let text = stage.with(|_| {});
    for _ in 0..5 {
        stage.program.reload(Some(&text));
    }
    eventually("taken", || stage.stat("own", "reloads") >= 1);
    stage.program.terminate();
    stage.program.reload(Some(&text));
    assert_eq!(stage.program.wait(), Some(0), "it ends by SIGTERM, in good order");
}
