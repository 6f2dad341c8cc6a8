//! A fleet of one member under faults of its machine: a full disk, and an address that is in use. The member
//! starts or recovers without a restart once the fault is over. While its disk is full, it rejects requests.
//! Also a peer that sends frames without a pause.

mod common;

use common::reserve_ports;
use pinetrestle_member::client;
use pinetrestle_member::wire::{self, Hello, Request, Response};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time to wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The process of a member, which is killed when the value is dropped.
struct MemberProcess(Child);

impl Drop for MemberProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn request_status(addr: SocketAddr) -> Option<Response> {
    client::request(addr, Request::Status, Duration::from_secs(2)).await.ok()
}

async fn is_leader(addr: SocketAddr) -> bool {
    matches!(request_status(addr).await, Some(Response::Status(status)) if status.leader == 1)
}

/// Waits until the condition is true. Panics if that takes longer than [`WAIT_LIMIT`], or if the member's
/// process ends.
macro_rules! wait_until {
    ($what:literal, $member:expr, $condition:expr) => {
        let end = Instant::now() + WAIT_LIMIT;
        while !$condition {
            assert!(Instant::now() < end, "timed out while waiting until {}", $what);
            let ended = $member.0.try_wait().expect("can query the process");
            assert!(ended.is_none(), "the member has ended while waiting until {}: {ended:?}", $what);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
}

/// Starts the only member of a fleet on `addr`, with its data in `dir`, from a shell that runs `prelude`
/// first.
fn start(dir: &Path, addr: SocketAddr, prelude: &str) -> MemberProcess {
    let file = dir.join("m1.json5");
    let text = format!(
        "{{ id: 1, peers: [{{ id: 1, addr: \"{addr}\" }}], data_dir: \"{}\", tick_ms: 20, election_ticks: 10, \
         heartbeat_ticks: 2, lease_ms: 1000, tasks: [\"rebuild-index\"], act_ms: 20, snapshot_every: 100000 }}",
        dir.join("data").display()
    );
    std::fs::write(&file, text).expect("can write the file");
    let program = env!("CARGO_BIN_EXE_pinetrestle");
    let line = format!("{prelude} exec {program} fleet up --config {}", file.display());
    let child = Command::new("/bin/sh")
        .args(["-c", &line])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("can start the shell");
    MemberProcess(child)
}

/// Removes the limit on the size of the files that the member writes.
fn remove_file_size_limit(member: &MemberProcess) {
    let pid = member.0.id().to_string();
    let status = Command::new("prlimit").args(["--pid", &pid, "--fsize=unlimited"]).status();
    assert!(status.expect("can run prlimit").success());
}

#[tokio::test]
async fn member_starts_once_its_address_is_free() {
    let dir = tempfile::tempdir().expect("can create a temporary directory");
    let held = reserve_ports(30_000 + u64::from(std::process::id()) % 1000, 1);
    let addr = held[0].1;
    let mut member = start(dir.path(), addr, "");
    // Longer than the program takes until its first attempt to bind the address.
    tokio::time::sleep(Duration::from_millis(1000)).await;
    drop(held);
    wait_until!("it leads", member, is_leader(addr).await);
}

#[tokio::test]
async fn member_with_a_full_disk_steps_down_and_recovers() {
    let dir = tempfile::tempdir().expect("can create a temporary directory");
    let held = reserve_ports(31_000 + u64::from(std::process::id()) % 1000, 1);
    let addr = held[0].1;
    drop(held);
    // A full disk is simulated by a limit of a few kilobytes on the size of the process's files. With its
    // signal ignored, writes beyond the limit fail.
    let mut member = start(dir.path(), addr, "trap '' XFSZ; ulimit -S -f 6;");
    wait_until!("it leads", member, is_leader(addr).await);
    wait_until!(
        "it rejects requests because its disk is full",
        member,
        matches!(request_status(addr).await, Some(Response::Rejected(_)))
    );
    // The member keeps running and rejecting requests as long as the fault lasts.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    wait_until!(
        "it still rejects requests",
        member,
        matches!(request_status(addr).await, Some(Response::Rejected(_)))
    );
    remove_file_size_limit(&member);
    wait_until!("it leads again", member, is_leader(addr).await);
}

#[tokio::test]
async fn member_whose_disk_is_full_at_the_start_rejects_requests_until_it_can_write() {
    let dir = tempfile::tempdir().expect("can create a temporary directory");
    let held = reserve_ports(29_000 + u64::from(std::process::id()) % 1000, 1);
    let addr = held[0].1;
    drop(held);
    let mut member = start(dir.path(), addr, "trap '' XFSZ; ulimit -S -f 0;");
    wait_until!(
        "it rejects requests",
        member,
        matches!(request_status(addr).await, Some(Response::Rejected(_)))
    );
    remove_file_size_limit(&member);
    wait_until!("it leads", member, is_leader(addr).await);
}

/// Writes small frames of a peer without a pause until the connection ends or `end`.
fn flood_with_peer_frames(addr: SocketAddr, end: Instant) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_write_timeout(Some(Duration::from_millis(100)))?;
    let hello = wire::encode(&Hello::Peer(2));
    stream.write_all(&(hello.len() as u32).to_be_bytes())?;
    stream.write_all(&hello)?;
    // Frames of one byte, which is no Raft message.
    let frames = [0, 0, 0, 1, 0xff].repeat(16 * 1024);
    let mut position = 0;
    while Instant::now() < end {
        match stream.write(&frames[position..]) {
            Ok(count) => position = (position + count) % frames.len(),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Guards against a peer whose frames are read without an end, so that the member serves nobody else.
#[tokio::test]
async fn member_responds_while_a_peer_sends_frames_without_a_pause() {
    let dir = tempfile::tempdir().expect("can create a temporary directory");
    let held = reserve_ports(28_000 + u64::from(std::process::id()) % 1000, 1);
    let addr = held[0].1;
    drop(held);
    let mut member = start(dir.path(), addr, "");
    wait_until!("it leads", member, is_leader(addr).await);
    let end = Instant::now() + Duration::from_secs(3);
    let floods: Vec<_> =
        (0..4).map(|_| std::thread::spawn(move || flood_with_peer_frames(addr, end))).collect();
    while Instant::now() < end {
        let asked_at = Instant::now();
        let response = request_status(addr).await;
        let took = asked_at.elapsed();
        assert!(matches!(response, Some(Response::Status(status)) if status.leader == 1), "{took:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for flood in floods {
        let _ = flood.join().expect("the flood ends");
    }
}

/// Opens a connection, sends `hello` and then the beginning of a frame of 4 MiB. Returns the open connection.
fn stop_within_a_frame(addr: SocketAddr, hello: &Hello) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_write_timeout(Some(Duration::from_millis(100)))?;
    let hello = wire::encode(hello);
    stream.write_all(&(hello.len() as u32).to_be_bytes())?;
    stream.write_all(&hello)?;
    stream.write_all(&(wire::MAX_FRAME_BYTES as u32).to_be_bytes())?;
    let _ = stream.write_all(&vec![0; wire::MAX_FRAME_BYTES / 2]);
    Ok(stream)
}

/// Guards against peers that stop in the middle of long frames, and against connections that say nothing, which
/// take memory and descriptors without an end.
#[tokio::test]
async fn member_responds_within_bounded_memory_while_peers_stop_within_frames() {
    let dir = tempfile::tempdir().expect("can create a temporary directory");
    let held = reserve_ports(26_000 + u64::from(std::process::id()) % 1000, 1);
    let addr = held[0].1;
    drop(held);
    let mut member = start(dir.path(), addr, "");
    wait_until!("it leads", member, is_leader(addr).await);
    let stopped = std::thread::spawn(move || {
        let silent: Vec<_> = (0..200).map(|_| TcpStream::connect(addr)).collect();
        let within_frame: Vec<_> =
            (0..100).map(|peer| stop_within_a_frame(addr, &Hello::Peer(1000 + peer))).collect();
        std::thread::sleep(Duration::from_secs(1));
        (silent, within_frame)
    });
    while !stopped.is_finished() {
        let response = request_status(addr).await;
        assert!(matches!(response, Some(Response::Status(status)) if status.leader == 1));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let descriptors =
        std::fs::read_dir(format!("/proc/{}/fd", member.0.id())).expect("its descriptors").count();
    assert!(descriptors < 120, "{descriptors} descriptors while 300 connections are held");
    let status = std::fs::read_to_string(format!("/proc/{}/status", member.0.id())).expect("its status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak memory");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 64 * 1024, "{peak} kB");
}
