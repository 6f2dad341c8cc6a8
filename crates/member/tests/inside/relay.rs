//! The list as the relay tells it on.

use super::*;
use pinetrestle_standins::{Ailing, Discovery, Telling};
use tokio::task::LocalSet;

fn entry(name: &str, status: &str) -> Value {
    json!({"name": name, "address": "127.0.0.1:1", "zone": "a", "group": 0, "status": status})
}

#[test]
fn a_closed_server_is_told_as_draining_and_one_that_is_not_up_stays_as_it_is() {
    let list = [entry("s0", "up"), entry("s1", "draining"), entry("s2", "up")];
    let closed = ["s0", "s1"].map(String::from).into();
    let told: Vec<Value> = overlaid(&list, &closed);
    let statuses: Vec<&str> = told.iter().filter_map(|e| e["status"].as_str()).collect();
    assert_eq!(statuses, ["draining", "draining", "up"]);
}

#[test]
fn lines_of_discovery_change_the_list_and_a_line_that_is_none_is_refused() {
    let mut list = BTreeMap::new();
    assert!(take(line(&[entry("s0", "up"), entry("s1", "up")], 1).as_bytes(), &mut list));
    let change = json!({"index": 2, "snapshot": false, "endpoints": [entry("s0", "removed")]}).to_string();
    assert!(take(change.as_bytes(), &mut list));
    assert_eq!(list.keys().collect::<Vec<_>>(), ["s1"]);
    assert!(!take(b"this is no list", &mut list));
    assert!(!take(b"{\"index\": 1}", &mut list));
}

/// Follows a discovery for a while; the names that stand in the list at its end, none while it is not trusted.
async fn followed(discovery: &Discovery, lasts: Duration) -> Option<Vec<String>> {
    let (list_tx, list) = watch::channel(None);
    let (listed_tx, _listed) = watch::channel(None);
    let log = Logger::root(slog::Discard, slog::o!());
    // It never ends by itself.
    let _ = tokio::time::timeout(lasts, follow(discovery.address, list_tx, listed_tx, log)).await;
    let names = |list: &Rc<Vec<Value>>| {
        list.iter().filter_map(|entry| entry["name"].as_str()).map(String::from).collect()
    };
    let list = list.borrow();
    list.as_ref().map(names)
}

#[tokio::test]
async fn an_indented_list_is_taken() {
    let discovery = Discovery::start(vec![entry("s0", "up"), entry("s1", "up")]);
    discovery.telling(Telling::Indented);
    let names = LocalSet::new().run_until(followed(&discovery, Duration::from_millis(500))).await;
    assert_eq!(names, Some(vec!["s0".to_owned(), "s1".to_owned()]));
}

#[tokio::test]
async fn a_watch_that_drips_is_not_believed_for_ever() {
    let discovery = Discovery::start(vec![entry("s0", "up")]);
    let ailing = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        // Its watch goes wrong, and nobody takes another call.
        discovery.telling(Telling::Nothing);
        discovery.ails(Ailing::Dripping);
    };
    let following = followed(&discovery, SILENCE + Duration::from_millis(1500));
    let (names, ()) = LocalSet::new().run_until(async { tokio::join!(following, ailing) }).await;
    assert_eq!(names, None);
}
