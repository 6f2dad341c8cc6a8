//! What the tests with several processes share: ports, the mesh of proxies, the wall clock.
#![allow(dead_code)]

pub mod fleet;
pub mod front;

use pinetrestle_faultnet::{Fault, Proxy};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// Free ports from `base` on, held until dropped: below the kernel's range for port 0 (where the proxies bind), so that
/// no proxy of a seed played beside this one takes a port between its check and its use.
pub fn ports(base: u64, count: usize) -> Vec<(TcpListener, SocketAddr)> {
    let mut found = Vec::new();
    let mut port = base;
    while found.len() < count && port < 32_700 {
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            let addr = listener.local_addr().unwrap();
            found.push((listener, addr));
        }
        port += 1;
    }
    assert_eq!(found.len(), count, "no free ports from {base}");
    found
}

/// Microseconds of the wall clock since 1970.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

/// Sends a process a signal, as `-STOP`.
pub fn signal(pid: u32, name: &str) -> bool {
    Command::new("kill").args([name, &pid.to_string()]).status().is_ok_and(|s| s.success())
}

/// A fault proxy for each direction between each two members.
pub struct Mesh(pub BTreeMap<(u64, u64), Proxy>);

impl Mesh {
    /// No proxies: members dial each other directly.
    pub fn none() -> Mesh {
        Mesh(BTreeMap::new())
    }

    pub async fn start(addrs: &BTreeMap<u64, SocketAddr>, seed: u64) -> Mesh {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut proxies = BTreeMap::new();
        for &from in addrs.keys() {
            for (&to, &target) in addrs.iter().filter(|(to, _)| **to != from) {
                let name = format!("{from}->{to}");
                let listen = "127.0.0.1:0".parse().unwrap();
                let seed = seed ^ (from << 8 | to);
                let proxy = Proxy::start(&name, listen, target, seed, log.clone()).await.unwrap();
                proxies.insert((from, to), proxy);
            }
        }
        Mesh(proxies)
    }

    /// Sets `fault` on the links that `cut` names.
    pub fn set(&self, cut: impl Fn(u64, u64) -> bool, fault: Fault) {
        for (&(from, to), proxy) in &self.0 {
            if cut(from, to) {
                proxy.set(fault);
            }
        }
    }

    /// The `peers` and `dial` keys of member `from`'s file.
    pub fn keys(&self, addrs: &BTreeMap<u64, SocketAddr>, from: u64) -> String {
        let peers: Vec<String> =
            addrs.iter().map(|(id, addr)| format!("{{ id: {id}, addr: \"{addr}\" }}")).collect();
        let dial: Vec<String> = addrs
            .keys()
            .filter_map(|&to| Some((to, self.0.get(&(from, to))?)))
            .map(|(to, proxy)| format!("{{ id: {to}, addr: \"{}\" }}", proxy.addr()))
            .collect();
        format!("peers: [{}], dial: [{}]", peers.join(", "), dial.join(", "))
    }
}
