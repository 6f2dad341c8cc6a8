//! Two front nodes of different deployments on one machine share no classes, tenants, limits or names, even
//! when one of them is reloaded with the other's configuration file.

use pinetrestle_node::config::DeploymentNames;
use pinetrestle_protocol::names::WireNames;
use pinetrestle_standins::{
    config_json, endpoint_list, entries, eventually, query, with_setting_aliases, Client, Discovery,
    FrontNode, Server, ServerBehavior,
};
use serde_json::{json, Value};
use std::io::Write;

const NODE: &str = env!("CARGO_BIN_EXE_pinetrestle-node");

/// A front node with its discovery service and three index servers.
struct Deployment {
    servers: Vec<Server>,
    _discovery: Discovery,
    front_node: FrontNode,
    config: Value,
}

impl Deployment {
    /// Starts a front node with these command line arguments and the configuration as edited by `change`.
    fn new(arguments: &str, change: impl FnOnce(&mut Value)) -> Deployment {
        let servers: Vec<Server> = (0..3).map(|_| Server::start(ServerBehavior::Serving)).collect();
        let discovery = Discovery::start(entries(&servers));
        let known = endpoint_list(1, &entries(&servers));
        let mut config = config_json("127.0.0.1:0", &discovery.address.to_string(), &known);
        change(&mut config);
        let front_node = FrontNode::start(&format!("{NODE} {arguments}"), &config);
        let deployment = Deployment { servers, _discovery: discovery, front_node, config };
        eventually("the front node serves", || {
            deployment.front_node.count_log_lines(&["msg=\"serving\""]) == 1
        });
        deployment
    }

    /// Sends a request and returns the status and the body of the response.
    fn send(&self, text: &str) -> (u16, Value) {
        let answer = Client::connect(self.front_node.address).send(text);
        (answer.status, answer.json())
    }
}

/// Gives a configuration the name, classes, tenant, limits and deadlines of the second deployment.
fn use_second_settings(config: &mut Value) {
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

/// Returns a query of the second deployment's tenant.
fn second_query(class: &str, shards: &[u32]) -> String {
    query(class, shards, 2000).text.replace("X-Customer: north", "X-Customer: pier")
}

#[test]
fn classes_tenants_and_limits_are_not_shared_between_deployments() {
    let (first, second) = (Deployment::new("", |_| {}), Deployment::new("", use_second_settings));
    assert_eq!(first.send(&query("all", &[0], 2000).text).0, 200);
    assert_eq!(second.send(&second_query("manifest", &[0])).0, 200);
    assert_eq!(first.send(&second_query("manifest", &[0])).1["reason"], "unknown_class");
    assert_eq!(second.send(&query("all", &[0], 2000).text).1["reason"], "unknown_class");
    assert_eq!(first.send(&second_query("all", &[0])).1["reason"], "unknown_tenant");
    // Limits, effects and deadlines: the index servers of both stop answering, and each front node reacts by
    // its own settings.
    first
        .servers
        .iter()
        .chain(&second.servers)
        .for_each(|server| server.set_behavior(ServerBehavior::Silent));
    let started = std::time::Instant::now();
    assert_eq!(
        second.send(&second_query("manifest", &[1])).0,
        500,
        "a class with the effect `fragile` is not retried"
    );
    assert!(started.elapsed().as_millis() < 900, "the deadline of the class is 0.7 s");
    assert_eq!(first.send(&query("all", &[1], 1500).text).0, 503);
    let output = second.front_node.get("/stats").1 + &second.front_node.log_lines().join("\n");
    for word in ["\"any\"", "\"all\"", "\"steps\"", "node=n0"] {
        assert!(!output.contains(word), "{word} appears in the second deployment");
    }
    let output = first.front_node.get("/stats").1 + &first.front_node.log_lines().join("\n");
    for word in ["berth", "manifest", "customs", "harbour-7"] {
        assert!(!output.contains(word), "{word} appears in the first deployment");
    }
    assert!(first.servers.iter().flat_map(Server::received).all(|part| !part.attributes.contains("k=")));
}

#[test]
fn another_deployments_configuration_is_rejected_and_logged() {
    let (first, second) = (Deployment::new("", |_| {}), Deployment::new("", use_second_settings));
    let assert_unchanged = |deployment: &Deployment| {
        assert_eq!(deployment.send(&query("all", &[0], 2000).text).0, 200);
        assert_eq!(deployment.send(&second_query("manifest", &[0])).1["reason"], "unknown_class");
    };
    // The unchanged file of the second deployment is rejected for its name, which a reload cannot change.
    first.front_node.reload(Some(&second.config.to_string()));
    eventually("the configuration is rejected", || {
        first.front_node.count_log_lines(&["msg=\"configuration rejected\"", "key=name"]) == 1
    });
    assert_unchanged(&first);
    // The same file with the first deployment's name: its settings take effect only after a restart, so none
    // of them may be used before.
    let mut mixed = second.config.clone();
    mixed["name"] = first.config["name"].clone();
    first.front_node.reload(Some(&mixed.to_string()));
    eventually("everything but the settings is applied", || {
        first.front_node.count_log_lines(&["msg=\"configuration reloaded\"", "needs_restart=settings"]) == 1
    });
    assert_unchanged(&first);
    // The address of discovery did take effect: parts go to the servers that the second deployment's
    // discovery lists, under the settings of the first.
    eventually("the endpoint list of the second deployment's discovery is applied", || {
        let before = second.servers.iter().map(|server| server.received().len()).sum::<usize>();
        assert_unchanged(&first);
        second.servers.iter().map(|server| server.received().len()).sum::<usize>() > before
    });
    assert_eq!(second.send(&second_query("manifest", &[0])).0, 200, "the second deployment is unaffected");
}

#[test]
fn wire_names_and_settings_keys_are_read_from_files() {
    let file = |value: &Value| {
        let mut file = tempfile::NamedTempFile::new().expect("a file");
        file.write_all(value.to_string().as_bytes()).expect("written");
        file.into_temp_path()
    };
    // Only names between clients and the front node change: the stand-ins of index servers and discovery know
    // only the default names of the protocol.
    let wire_names = file(&json!({
        "h": {"id": "Trip-Id", "class": "Trip-Kind", "tenant": "Trip-Line", "deadline": "Trip-Waits-Ms"},
        "paths": {"ready": "/in", "health": "/alive", "load": "/figures"},
        "fan": {
            "parts": "legs", "shard": "leg", "weight": "part", "text": "ask",
            "whole": "complete", "hits": "found",
        },
    }));
    let setting_keys = file(
        &json!({"init": {"rename": {"deadline": "cut_off", "tenants": "lines"}, "words": {"safe": "any"}}}),
    );
    let arguments = format!("--names {} --words {}", wire_names.display(), setting_keys.display());
    let deployment = Deployment::new(&arguments, |config| {
        config["settings"] =
            with_setting_aliases(&config["settings"], &[("hard_limit", "cut_off"), ("projects", "lines")]);
        for class in 0..3 {
            config["settings"]["classes"][class]["effect"] = json!("any");
        }
    });
    eventually("the front node is ready at the renamed path", || deployment.front_node.get("/in").0 == 200);
    assert_eq!(deployment.front_node.get("/health/ready").0, 404);
    let with_renamed_fields = |text: &str| {
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
        let replace_all =
            |text: &str| pairs.iter().fold(text.to_owned(), |text, (from, to)| text.replace(from, to));
        let body = replace_all(body);
        let head = head.rsplit_once("Content-Length").expect("a length").0;
        format!("{}Content-Length: {}\r\n\r\n{body}", replace_all(head), body.len())
    };
    let (status, body) = deployment.send(&with_renamed_fields(&query("all", &[0, 1], 2000).text));
    assert_eq!((status, body["complete"].as_bool()), (200, Some(true)));
    assert_eq!(body["found"].as_array().map(Vec::len), Some(2));
    assert_eq!(
        deployment.send(&query("all", &[0], 2000).text).0,
        400,
        "the default names are unknown to this front node"
    );
    // A reloaded file is read with the same names of settings.
    deployment.front_node.reload(Some(&deployment.config.to_string()));
    eventually("the configuration is reloaded", || {
        deployment.front_node.count_log_lines(&["msg=\"configuration reloaded\""]) == 1
    });
}

#[test]
fn shipped_site_variants_have_valid_name_files() {
    let sites = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    for variant in ["vesna-pushed", "tagus-asked"] {
        let file = |name: &str| sites.join(variant).join(name);
        let names = DeploymentNames::from_files(Some(&file("real.json")), Some(&file("wire.json")))
            .expect("valid files");
        assert_ne!(*names.wire, WireNames::default());
    }
    let error = DeploymentNames::from_files(Some(&sites.join("vesna-pushed/vesna-pushed.toml")), None);
    assert!(error.expect_err("a file that is not JSON").to_string().contains("vesna-pushed.toml"));
}
