//! Front nodes of different deployments on one machine: nothing of one shows in the other, also where a new
//! configuration is the other deployment's.

use pinetrestle_node::config::DeploymentNames;
use pinetrestle_protocol::names::WireNames;
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, query, with_setting_aliases, Client, Discovery,
    FrontNode, Server, ServerBehavior,
};
use serde_json::{json, Value};
use std::io::Write;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

struct Deployment {
    servers: Vec<Server>,
    _discovery: Discovery,
    program: FrontNode,
    config: Value,
}

impl Deployment {
    fn new(arguments: &str, change: impl FnOnce(&mut Value)) -> Deployment {
        let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let known = endpoint_list(1, &entries(&servers));
        let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
        change(&mut config);
        let program = FrontNode::start(&format!("{NODE} {arguments}"), &config);
        let deployment = Deployment { servers, _discovery: discovery, program, config };
        eventually("it serves", || deployment.program.count_log_lines(&["msg=\"serving\""]) == 1);
        deployment
    }

    fn send(&self, text: &str) -> (u16, Value) {
        let answer = Client::connect(self.program.address).send(text);
        (answer.status, answer.json())
    }
}

/// The second deployment's classes, tenant, limits and deadlines.
fn other_settings(config: &mut Value) {
    config["name"] = json!("harbour-7");
    for (class, name) in ["berth", "manifest", "customs"].iter().enumerate() {
        config["settings"]["classes"][class]["name"] = json!(name);
        config["settings"]["classes"][class]["hard_limit"] = json!(700_000);
        config["settings"]["classes"][class]["aim"] = json!(300_000);
        config["settings"]["classes"][class]["effect"] = json!("fragile");
    }
    config["settings"]["projects"] = json!([{"name": "pier", "quota_per_s": 9.0, "share": 1.0}]);
    config["settings"]["permissions"]["max_retry_after"] = json!(90_000);
    config["settings"]["permissions"]["most_held"] = json!(7);
}

fn second_query(class: &str, shards: &[u32]) -> String {
    query(class, shards, 2000).1.replace("X-Customer: north", "X-Customer: pier")
}

#[test]
fn classes_tenants_and_limits_are_not_shared_between_deployments() {
    let (one, two) = (Deployment::new("", |_| {}), Deployment::new("", other_settings));
    assert_eq!(one.send(&query("all", &[0], 2000).1).0, 200);
    assert_eq!(two.send(&second_query("manifest", &[0])).0, 200);
    assert_eq!(one.send(&second_query("manifest", &[0])).1["reason"], "unknown_class");
    assert_eq!(two.send(&query("all", &[0], 2000).1).1["reason"], "unknown_class");
    assert_eq!(one.send(&second_query("all", &[0])).1["reason"], "unknown_tenant");
    // Limits, effects and deadlines: the same fault, each by its own settings.
    one.servers.iter().chain(&two.servers).for_each(|server| server.set_behavior(ServerBehavior::Silent));
    let begun = std::time::Instant::now();
    assert_eq!(two.send(&second_query("manifest", &[1])).0, 500, "its class may not be repeated");
    assert!(begun.elapsed().as_millis() < 900, "its deadline is 0.7 s");
    assert_eq!(one.send(&query("all", &[1], 1500).1).0, 503);
    let held = two.program.get("/stats").1 + &two.program.log_lines().join("\n");
    for word in ["\"any\"", "\"all\"", "\"steps\"", "node=n0"] {
        assert!(!held.contains(word), "{word} shows in the second");
    }
    let held = one.program.get("/stats").1 + &one.program.log_lines().join("\n");
    for word in ["berth", "manifest", "customs", "harbour-7"] {
        assert!(!held.contains(word), "{word} shows in the first");
    }
    assert!(one.servers.iter().flat_map(Server::received).all(|part| !part.attributes.contains("k=")));
}

#[test]
fn another_deployments_configuration_is_rejected_and_logged() {
    let (one, two) = (Deployment::new("", |_| {}), Deployment::new("", other_settings));
    let assert_unchanged = |deployment: &Deployment| {
        assert_eq!(deployment.send(&query("all", &[0], 2000).1).0, 200);
        assert_eq!(deployment.send(&second_query("manifest", &[0])).1["reason"], "unknown_class");
    };
    // Unchanged: it has another name and another address.
    one.program.reload(Some(&two.config.to_string()));
    eventually("it is rejected", || {
        one.program.count_log_lines(&["msg=\"configuration rejected\"", "key=name"]) == 1
    });
    assert_unchanged(&one);
    // With this deployment's name: its settings wait for a restart, and none of them is used until then.
    let mut mixed = two.config.clone();
    mixed["name"] = one.config["name"].clone();
    one.program.reload(Some(&mixed.to_string()));
    eventually("it is applied except for its settings", || {
        one.program.count_log_lines(&["msg=\"configuration reloaded\"", "needs_restart=settings"]) == 1
    });
    assert_unchanged(&one);
    // Its discovery is in force now, as stated: parts go to the servers it lists, under this deployment's settings.
    eventually("the other discovery's endpoint list is applied", || {
        let before = two.servers.iter().map(|server| server.received().len()).sum::<usize>();
        assert_unchanged(&one);
        two.servers.iter().map(|server| server.received().len()).sum::<usize>() > before
    });
    assert_eq!(two.send(&second_query("manifest", &[0])).0, 200, "the other deployment is unchanged");
}

#[test]
fn wire_names_and_settings_keys_are_read_from_files() {
    let file = |value: &Value| {
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        file.write_all(value.to_string().as_bytes()).expect("written");
        file.into_temp_path()
    };
    // The stand-ins of index servers and discovery use the protocol page's names, so those stay.
    let names = file(&json!({
        "h": {"id": "Trip-Id", "class": "Trip-Kind", "tenant": "Trip-Line", "deadline": "Trip-Waits-Ms"},
        "paths": {"ready": "/in", "health": "/alive", "load": "/figures"},
        "fan": {"parts": "legs", "shard": "leg", "weight": "part", "text": "ask", "whole": "complete", "hits": "found"},
    }));
    let words = file(
        &json!({"init": {"rename": {"deadline": "cut_off", "tenants": "lines"}, "words": {"safe": "any"}}}),
    );
    let arguments = format!("--names {} --words {}", names.display(), words.display());
    let deployment = Deployment::new(&arguments, |config| {
        config["settings"] =
            with_setting_aliases(&config["settings"], &[("hard_limit", "cut_off"), ("projects", "lines")]);
        for class in 0..3 {
            config["settings"]["classes"][class]["effect"] = json!("any");
        }
    });
    eventually("ready, at its path", || deployment.program.get("/in").0 == 200);
    assert_eq!(deployment.program.get("/health/ready").0, 404);
    let translated = |text: &str| {
        let pairs = [
            ("X-Trace-Id", "Trip-Id"),
            ("X-Qos", "Trip-Kind"),
            ("X-Customer", "Trip-Line"),
            ("X-Expires-In-Ms", "Trip-Waits-Ms"),
            ("\"slices\"", "\"legs\""),
            ("\"slice\"", "\"leg\""),
            ("\"mass\"", "\"part\""),
            ("\"filter\"", "\"ask\""),
        ];
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        let all = |text: &str| pairs.iter().fold(text.to_owned(), |text, (from, to)| text.replace(from, to));
        let body = all(body);
        let head = head.rsplit_once("Content-Length").expect("a length").0;
        format!("{}Content-Length: {}\r\n\r\n{body}", all(head), body.len())
    };
    let (status, body) = deployment.send(&translated(&query("all", &[0, 1], 2000).1));
    assert_eq!((status, body["complete"].as_bool()), (200, Some(true)));
    assert_eq!(body["found"].as_array().map(Vec::len), Some(2));
    assert_eq!(
        deployment.send(&query("all", &[0], 2000).1).0,
        400,
        "the protocol page's names are unknown here"
    );
    // A reload is read by the same names.
    deployment.program.reload(Some(&deployment.config.to_string()));
    eventually("it is applied", || {
        deployment.program.count_log_lines(&["msg=\"configuration reloaded\""]) == 1
    });
}

#[test]
fn shipped_site_variants_have_valid_name_files() {
    let sites = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    for variant in ["vesna-pushed", "tagus-asked"] {
        let file = |name: &str| sites.join(variant).join(name);
        let names = DeploymentNames::from_files(Some(&file("real.json")), Some(&file("wire.json")))
            .expect("good files");
        assert_ne!(*names.wire, WireNames::default());
    }
    let error = DeploymentNames::from_files(Some(&sites.join("vesna-pushed/vesna-pushed.toml")), None);
    assert!(error.expect_err("no JSON").to_string().contains("vesna-pushed.toml"));
}
