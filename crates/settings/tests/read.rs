//! Tests of reading settings with canonical keys and with the aliases of a deployment, and of errors, which
//! contain the full path of the key.

use pinetrestle::interface::{Idempotency, ListDelivery, Micros};
use pinetrestle_settings::fields::{count, field, optional, text, Expected, FieldError, Parsed, Problem};
use pinetrestle_settings::{Deployment, KeyAliases};
use pinetrestle_standins::with_setting_aliases;
use serde_json::{json, Value};

/// Valid settings with canonical keys.
fn options() -> Value {
    json!({
        "fleet_size": 3, "discovery": "push", "quantum": 5000, "over_share_worth": 0.05,
        "classes": [
            {"name": "one", "aim": 800_000, "hard_limit": 3_000_000, "gain": 2.0, "late_worth": 0.1,
             "effect": "dedup", "dedup_window": 700_000, "aim_stretch": 1.5},
            {"name": "two", "aim": 900_000, "hard_limit": 4_000_000, "gain": 1.0, "late_worth": 0.3,
             "effect": "something new", "dedup_window": 0},
        ],
        "projects": [{"name": "north", "quota_per_s": 5.0}, {"name": "south", "quota_per_s": 2.5}],
        "clients": {"marks_retry": true}, "fees": {"waste": 0.03},
        "family_info": {"batch": 16, "positions": 6, "span": 2, "slabs": 18, "need_by_class": [0.75, 1.0],
            "class_floor": [0.75, 1.0], "partial_earns": [0.9, 0.8], "second_step": [0, 3]},
        "permissions": {"cancel": true, "may_duplicate": false, "retry_after": true,
            "max_retry_after": 500_000, "try_limit": 4, "most_held": 303,
            "conn_idle": 15_000_000, "connect_timeout": 250_000,
            "streams_per_conn": 32},
        "rules": {"cold_share": 0.29, "warm_within": 17_000_000, "tip_multiple": 3.0, "fall": 2_000_000,
            "must_ask_in": 10_000_000, "counted_over": 5_000_000, "extra_floor": 20,
            "extra_per_request": 0.2},
    })
}

#[test]
fn every_stated_key_is_read() {
    let deployment = pinetrestle_settings::read(&options()).expect("valid settings");
    let set = &deployment.settings;
    assert_eq!((set.fleet_size, set.cell_count, set.cells_per_shard, set.limits.max_batch), (3, 6, 2, 16));
    assert!(
        set.list_delivery == ListDelivery::Pushed && set.clients_mark_retries && !set.limits.allow_hedging
    );
    assert_eq!(set.tick, Micros(5000));
    assert_eq!(
        (set.classes[0].idempotency, set.classes[0].idempotency_window),
        (Idempotency::Keyed, Micros(700_000))
    );
    assert_eq!((set.classes[0].objective_work_factor, set.classes[0].complete_share), (1.5, 0.75));
    assert_eq!(
        set.classes[1].idempotency,
        Idempotency::NonIdempotent,
        "a class with an unknown effect is not idempotent"
    );
    assert_eq!((set.classes[1].second_step_parts, set.classes[1].partial_weight_share), (3, 0.8));
    assert_eq!(set.tenants[1].quota_per_s, 2.5);
    let budget = set.rules.retry_budget.expect("a retry budget");
    assert_eq!((budget.window, budget.min_retries, budget.retry_ratio), (Micros(5_000_000), 20.0, 0.2));
    assert_eq!((deployment.class("two"), deployment.class("three")), (Some(1), None));
    assert_eq!((deployment.tenant("south"), deployment.tenant("two")), (Some(1), None));
    let transport = &deployment.transport;
    assert_eq!((transport.shards, transport.max_parts_per_connection), (Some(18), Some(32)));
    assert_eq!(transport.server_idle_timeout, Some(Micros(15_000_000)));
    assert_eq!(transport.connect_timeout, Some(Micros(250_000)));
}

#[test]
fn absent_optional_keys_take_neutral_defaults() {
    let mut options = options();
    for key in ["clients", "fees", "over_share_worth"] {
        options.as_object_mut().expect("an object").remove(key);
    }
    for (group, key) in
        [("rules", "counted_over"), ("permissions", "streams_per_conn"), ("family_info", "slabs")]
    {
        options[group].as_object_mut().expect("an object").remove(key);
    }
    let Deployment { settings, transport, .. } =
        pinetrestle_settings::read(&options).expect("valid settings");
    assert!(!settings.clients_mark_retries && settings.rules.retry_budget.is_none());
    assert_eq!((settings.wasted_work_cost, settings.over_quota_weight_share), (0.0, 1.0));
    assert_eq!((transport.shards, transport.max_parts_per_connection), (None, None));
}

#[test]
fn an_error_contains_the_full_path_of_its_key() {
    let cases = [
        ("/fleet_size", json!(-1), "fleet_size"),
        ("/classes/1/aim", json!("soon"), "classes[1].aim"),
        ("/classes/0/name", json!(7), "classes[0].name"),
        ("/projects/1/quota_per_s", Value::Null, "projects[1].quota_per_s"),
        ("/family_info/second_step", json!([0]), "family_info.second_step"),
        ("/family_info/span", json!(1.5), "family_info.span"),
        ("/permissions/cancel", json!(1), "permissions.cancel"),
        ("/permissions/conn_idle", json!("long"), "permissions.conn_idle"),
        ("/rules/fall", Value::Null, "rules.fall"),
        ("/clients/marks_retry", json!("yes"), "clients.marks_retry"),
        ("/fees/waste", json!([]), "fees.waste"),
    ];
    for (pointer, value, key) in cases {
        let mut options = options();
        *options.pointer_mut(pointer).expect("the key is present") = value;
        let error = pinetrestle_settings::read(&options).expect_err(key);
        assert_eq!(error.key, key, "{error}");
        assert!(error.to_string().contains(&format!("'{key}'")));
    }
}

/// The settings of [`options`] with the aliases of another deployment, and the wire description that contains
/// the aliases.
fn aliased_settings_and_wire_description() -> (Value, Value) {
    let renamed = [
        ("hard_limit", "deadline", "gives_up_after"),
        ("projects", "tenants", "depots"),
        ("permissions", "limits", "bounds"),
        ("try_limit", "max_attempts", "tries"),
        ("slabs", "shards", "bins"),
        ("extra_floor", "rules.budget_free", "spare"),
    ];
    let mut wire =
        json!({"init": {"rename": {}, "words": {"safe": "harmless", "keyed": "by_key", "unsafe": "once"}}});
    for (_, simulator_key, alias) in renamed {
        wire["init"]["rename"][simulator_key] = alias.into();
    }
    let mut aliased =
        with_setting_aliases(&options(), &renamed.map(|(canonical, _, alias)| (canonical, alias)));
    aliased["classes"][0]["effect"] = "by_key".into();
    (aliased, wire)
}

#[test]
fn aliased_settings_read_like_those_with_canonical_keys() {
    let (aliased_options, wire) = aliased_settings_and_wire_description();
    assert!(pinetrestle_settings::read(&aliased_options).is_err(), "the keys are not canonical");
    let aliases = KeyAliases::from_wire_description(&wire).expect("valid aliases");
    let (aliased, canonical) = (aliases.read(&aliased_options), pinetrestle_settings::read(&options()));
    assert_eq!(
        format!("{:?}", aliased.expect("valid settings")),
        format!("{:?}", canonical.expect("valid settings"))
    );
    let no_aliases = KeyAliases::default();
    assert!(no_aliases.read(&options()).is_ok() && no_aliases.read(&aliased_options).is_err());
}

#[test]
fn errors_name_the_key_as_the_settings_spell_it() {
    let (mut aliased_options, wire) = aliased_settings_and_wire_description();
    aliased_options["classes"][1]["gives_up_after"] = "soon".into();
    let aliases = KeyAliases::from_wire_description(&wire).expect("valid aliases");
    let error = aliases.read(&aliased_options).expect_err("an error");
    assert_eq!(error.key, "classes[1].gives_up_after");
    for (bad, key) in [
        (json!({}), "init"),
        (json!({"init": {"rename": 3}}), "init.rename"),
        (json!({"init": {"rename": {"deadline": 3}}}), "init.rename.deadline"),
    ] {
        assert_eq!(KeyAliases::from_wire_description(&bad).expect_err("an error").key, key);
    }
}

#[test]
fn error_messages_contain_the_key_and_the_problem() {
    let cases = [
        (Problem::Missing, "field 'rules.fall' is missing"),
        (Problem::WrongType(Expected::Integer), "field 'rules.fall' is not an integer"),
        (Problem::WrongType(Expected::Count), "field 'rules.fall' is not a non-negative integer"),
        (Problem::WrongType(Expected::Number), "field 'rules.fall' is not a number"),
        (Problem::WrongType(Expected::Text), "field 'rules.fall' is not a string"),
        (Problem::WrongType(Expected::Boolean), "field 'rules.fall' is not a boolean"),
        (Problem::WrongType(Expected::List), "field 'rules.fall' is not an array"),
        (Problem::WrongType(Expected::Object), "field 'rules.fall' is not an object"),
        (Problem::OutOfRange, "field 'rules.fall' is out of range"),
        (Problem::NoNumberForClass(2), "field 'rules.fall' has no number for class 2"),
        (Problem::NotAString, "field 'rules.fall' is not a string"),
        (Problem::from("must be more than 0"), "field 'rules.fall' must be more than 0"),
    ];
    for (problem, message) in cases {
        let error = FieldError::new("fall", problem).within("rules");
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn each_invalid_value_is_reported_as_the_right_problem() {
    let cases = [
        ("/fleet_size", json!(-1), Problem::WrongType(Expected::Count)),
        ("/fleet_size", json!(1_u64 << 32), Problem::OutOfRange),
        ("/classes/1/aim", json!("soon"), Problem::WrongType(Expected::Integer)),
        ("/projects/1/quota_per_s", Value::Null, Problem::Missing),
        ("/family_info/second_step", json!([0]), Problem::NoNumberForClass(1)),
        ("/permissions/cancel", json!(1), Problem::WrongType(Expected::Boolean)),
        ("/classes", json!({}), Problem::WrongType(Expected::List)),
    ];
    for (pointer, value, problem) in cases {
        let mut options = options();
        *options.pointer_mut(pointer).expect("the key is present") = value;
        let error = pinetrestle_settings::read(&options).expect_err(pointer);
        assert_eq!(error.problem, problem, "{error}");
    }
    let not_a_string = json!({"init": {"rename": {"deadline": 3}}});
    assert_eq!(
        KeyAliases::from_wire_description(&not_a_string).expect_err("an error").problem,
        Problem::NotAString
    );
    let not_an_object = json!({"init": {"words": []}});
    let error = KeyAliases::from_wire_description(&not_an_object).expect_err("an error");
    assert_eq!((error.key.as_str(), error.problem), ("init.words", Problem::WrongType(Expected::Object)));
}

#[test]
fn an_error_of_a_callers_check_keeps_its_message() {
    let unchanged = [("name", true), ("listen", false)];
    let (key, _) = unchanged.iter().find(|(_, same)| !same).expect("a changed key");
    let error: FieldError = FieldError::new(key, "can't change while the program runs");
    assert_eq!(error.to_string(), "field 'listen' can't change while the program runs");
    let sockets = 10;
    let error = FieldError::new("client_connections", format!("leaves no room: limits.sockets is {sockets}"));
    let error = error.within("transport");
    assert_eq!(error.key, "transport.client_connections");
    assert_eq!(error.problem, Problem::Invalid("leaves no room: limits.sockets is 10".to_owned()));
}

#[test]
fn field_readers_read_any_json_and_empty_aliases_report_a_missing_key() {
    let file = json!({"limits": {"sockets": 64}, "name": 3});
    let sockets: Parsed<Option<u64>> = optional(field(&file, "limits").expect("limits"), "sockets", count);
    assert_eq!(sockets, Ok(Some(64)));
    assert_eq!(text(&file, "name").expect_err("not a string").to_string(), "field 'name' is not a string");
    let aliases = KeyAliases::from_wire_description(&json!({"init": {}})).expect("valid aliases");
    let read: Parsed<Deployment> = aliases.read(&json!({}));
    assert_eq!(read.expect_err("no settings").key, "family_info");
    assert_eq!(KeyAliases::default().read(&json!({})).expect_err("no settings").key, "family_info");
}
