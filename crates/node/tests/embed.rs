//! A front node embedded in another program as a library: started, queried and stopped within that process.

use pinetrestle_node::counters::Counters;
use pinetrestle_node::{serve, Config};
use pinetrestle_standins::{config_json, endpoint_list, ReservedAddress};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

#[test]
fn an_embedded_node_serves_until_it_is_stopped() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        // The reservation is held until the end, so that no other process gets the port before the node
        // listens or after it stops.
        let reserved = ReservedAddress::reserve();
        let address = reserved.address;
        let mut file = config_json(&address.to_string(), "127.0.0.1:1", &endpoint_list(0, &[]));
        file["transport"] = serde_json::json!({"hand_over_ms": 50});
        let config = Config::from_json(&file).expect("a valid configuration");
        let counters = Rc::new(Counters::new(&config.deployment.classes));
        let (stop, stop_requested) = tokio::sync::oneshot::channel::<()>();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let node = tokio::task::spawn_local(serve(config, log, counters.clone(), async {
            // Stops the node when a stop is requested and also when the sender is dropped.
            let _ = stop_requested.await;
        }));
        let mut client = loop {
            match TcpStream::connect(address).await {
                Ok(client) => break client,
                Err(_) => tokio::task::yield_now().await,
            }
        };
        client.write_all(b"GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n").await.expect("written");
        let mut answer = String::new();
        client.read_to_string(&mut answer).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        drop(client);
        stop.send(()).expect("the node waits for the stop request");
        let ended = timeout(Duration::from_secs(10), node).await.expect("in time").expect("no panic");
        ended.expect("a graceful shutdown");
        assert_eq!(counters.connections.requests.get(), 1);
        assert!(TcpStream::connect(address).await.is_err(), "the listener is closed after the shutdown");
    });
}
