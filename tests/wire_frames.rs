//! Guards against frames that are accepted although they are forged, replayed or from another
//! connection, and against frames that panic the decoder.

use std::sync::Arc;

use pomelolink::membership::{Body, Member, Message, Status, Updates};
use pomelolink::peer::{Content, Datagram, Request};
use pomelolink::rollout::{BadVersion, Key};
use pomelolink::wire::{self, Codec, Error, ReplayFilter, Role, Session};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const OLD: &str = "the old key, 16 bytes or more";
const NEW: &str = "the new key, 16 bytes or more";

fn codec(node: &str, incarnation: u64, keys: &[&str]) -> Codec {
    let keys: Vec<Arc<str>> = keys.iter().map(|&key| key.into()).collect();
    Codec::new(node, incarnation, &keys)
}

fn datagram(updates: usize) -> Datagram {
    let member = |index: usize| Member {
        node: format!("entry-{index}").as_str().into(),
        address: ([10, 0, 0, index as u8], 7_000).into(),
        region: "turin".into(),
        failure_domain: "turin-2".into(),
        incarnation: 1_700_000_000_000,
        status: Status::Suspect,
    };
    let message = Message {
        node: "entry-1".into(),
        view_digest: 77,
        sequence: 5,
        body: Body::PingRequest(([10, 0, 0, 9], 7_000).into()),
        updates: Updates((0..updates).map(member).collect()),
    };
    Datagram { revision: 12, bad_versions_digest: 3, content: Content::Probe(message) }
}

fn bad_version(service: &str) -> BadVersion {
    let (service, version, name) = (service.into(), "chat-2".into(), "move".into());
    let key = Key { accepted_ms: 1_800_000_000_000, service, version, name };
    BadVersion { key, reason: "20 failing responses".into() }
}

/// Guards against a datagram that decodes to other content, is accepted twice or is accepted by its
/// own sender.
#[test]
fn datagram_is_accepted_once() {
    let (sender, receiver) = (codec("a", 1, &[NEW]), codec("b", 1, &[NEW]));
    let bytes = sender.seal(&datagram(6)).unwrap();
    let frame = receiver.open::<Datagram>(&bytes).unwrap();
    assert_eq!((frame.body, frame.incarnation), (datagram(6), 1));
    assert_eq!(receiver.open::<Datagram>(&bytes), Err(Error::Replay));
    assert_eq!(sender.open::<Datagram>(&bytes), Err(Error::Replay), "reflected to its sender");
}

/// Guards against nodes that reject each other while the key is rotated node by node.
#[test]
fn keys_can_be_rotated() {
    let stages: [&[&str]; 4] = [&[OLD], &[OLD, NEW], &[NEW, OLD], &[NEW]];
    for pair in stages.windows(2) {
        for (from, to) in [(pair[0], pair[1]), (pair[1], pair[0])] {
            let bytes = codec("a", 1, from).seal(&datagram(0)).unwrap();
            assert!(codec("b", 1, to).open::<Datagram>(&bytes).is_ok(), "{from:?} to {to:?}");
        }
    }
    let bytes = codec("a", 1, &[OLD]).seal(&datagram(0)).unwrap();
    assert_eq!(codec("b", 1, &[NEW]).open::<Datagram>(&bytes), Err(Error::Tag));
}

/// Guards against dropped frames that are counted under a wrong cause.
#[test]
fn drop_causes_are_distinct() {
    let (sender, receiver) = (codec("a", 1, &[NEW]), codec("b", 1, &[NEW]));
    let bytes = sender.seal(&datagram(1)).unwrap();
    let mut other_version = bytes.clone();
    other_version[0] = 2;
    let open = |bytes: &[u8]| receiver.open::<Datagram>(bytes).unwrap_err();
    assert_eq!(open(&other_version), Error::Version);
    assert_eq!(open(&[]), Error::Short);
    assert_eq!(open(&bytes[..40]), Error::Short);
    assert_eq!(open(&bytes[..bytes.len() - 1]), Error::Tag);
    assert_eq!(open(&vec![1; wire::DATAGRAM_BYTES + 1]), Error::Oversize);
    let long = bad_version(&"s".repeat(200));
    let versions = Datagram { content: Content::BadVersions(vec![long; 10]), ..datagram(0) };
    assert_eq!(sender.seal(&versions), Err(Error::Oversize));
    // A valid tag over a body of another type, with trailing bytes, or with too many updates.
    assert_eq!(open(&sender.seal(&"text").unwrap()), Error::Body);
    assert_eq!(open(&sender.seal(&(datagram(0), 1u8)).unwrap()), Error::Body);
    let many = (12u64, 3u64, 0u32, "entry-1", 77u64, 5u32, 0u32, vec![sample_member(); 7]);
    assert_eq!(open(&sender.seal(&many).unwrap()), Error::Body);
    let six = (12u64, 3u64, 0u32, "entry-1", 77u64, 5u32, 0u32, vec![sample_member(); 6]);
    assert!(receiver.open::<Datagram>(&sender.seal(&six).unwrap()).is_ok());
}

fn sample_member() -> Member {
    let Content::Probe(message) = datagram(1).content else { unreachable!() };
    message.updates.0[0].clone()
}

/// Guards against reordered frames that are dropped, and against late or repeated frames that are
/// accepted; compares the window with a list of all accepted counters.
#[test]
fn window_matches_reference() {
    let mut rng = SmallRng::seed_from_u64(11);
    let (mut replay, mut seen, mut highest) = (ReplayFilter::default(), Vec::new(), 5_000u64);
    assert_eq!(replay.accept(1, 1, highest), Ok(()));
    seen.push(highest);
    for _ in 0..20_000 {
        let jump = if rng.random_bool(0.01) { 3_000 } else { 20 };
        let counter =
            (highest + rng.random_range(0..=jump)).saturating_sub(rng.random_range(0..1_100));
        let is_new = counter + 1_024 > highest && !seen.contains(&counter);
        assert_eq!(replay.accept(1, 1, counter).is_ok(), is_new, "{counter} after {highest}");
        if is_new {
            seen.push(counter);
            highest = highest.max(counter);
            seen.retain(|&old| old + 1_024 > highest);
        }
    }
}

/// Guards against a restarted sender that is rejected, frames from before a restart that are
/// accepted, and a number of senders that grows without bound.
#[test]
fn restart_starts_a_new_window() {
    let mut replay = ReplayFilter::default();
    assert_eq!(replay.accept(1, 10, 900_000), Ok(()));
    assert_eq!(replay.accept(1, 11, 0), Ok(()), "the restarted sender counts from 0");
    assert_eq!(replay.accept(1, 10, 900_001), Err(Error::Incarnation));
    assert_eq!(replay.accept(1, 11, 0), Err(Error::Replay));
    assert_eq!(replay.accept(1, u64::MAX, u64::MAX), Ok(()));
    assert_eq!(replay.accept(1, u64::MAX, u64::MAX - 1_023), Ok(()));
    assert_eq!(replay.accept(1, u64::MAX, u64::MAX - 1_024), Err(Error::Replay));
    for sender in 2..5_000 {
        assert_eq!(replay.accept(sender, 1, 0), Ok(()));
    }
    assert_eq!(replay.senders(), 1_024);
}

/// Guards against a node that is still rejected after it has raised its incarnation above the one
/// its peers know; it starts too low when its clock goes backwards.
#[test]
fn raised_incarnation_is_accepted() {
    let receiver = codec("b", 1, &[NEW]);
    receiver.open::<Datagram>(&codec("a", 50, &[NEW]).seal(&datagram(0)).unwrap()).unwrap();
    let restarted = codec("a", 20, &[NEW]);
    let bytes = restarted.seal(&datagram(0)).unwrap();
    assert_eq!(receiver.open::<Datagram>(&bytes), Err(Error::Incarnation));
    restarted.raise_incarnation(51);
    assert!(receiver.open::<Datagram>(&restarted.seal(&datagram(0)).unwrap()).is_ok());
}

/// Guards against a frame that is accepted on another connection, in the other direction, as a
/// datagram or out of order.
#[test]
fn sessions_are_separate() {
    let (client, server) = (Arc::new(codec("a", 1, &[NEW])), Arc::new(codec("b", 1, &[NEW])));
    let session = |codec: &Arc<Codec>, role, nonces: [u8; 2]| {
        Session::new(codec.clone(), role, [nonces[0]; 16], [nonces[1]; 16])
    };
    let mut sending = session(&client, Role::Client, [1, 2]);
    let frames = [0, 1].map(|known| sending.seal(&Request::PullConfig { known }).unwrap());
    let mut receiving = session(&server, Role::Server, [1, 2]);
    assert_eq!(receiving.open::<Request>(&frames[1]).unwrap_err(), Error::Replay, "a gap");
    assert!(receiving.open::<Request>(&frames[0]).is_ok());
    assert_eq!(receiving.open::<Request>(&frames[0]).unwrap_err(), Error::Replay);
    let mut later = session(&server, Role::Server, [1, 3]);
    assert_eq!(later.open::<Request>(&frames[0]).unwrap_err(), Error::Tag);
    assert_eq!(sending.open::<Request>(&frames[0]).unwrap_err(), Error::Tag, "reflected");
    assert_eq!(server.open::<Request>(&frames[0]).unwrap_err(), Error::Tag, "as a datagram");
}

/// Guards against a mutated frame that is accepted or panics the decoder.
#[test]
fn mutated_frames_are_errors() {
    let (sender, receiver) = (codec("a", 1, &[NEW]), codec("b", 1, &[NEW, OLD]));
    let mut rng = SmallRng::seed_from_u64(12);
    let mut accepted = 0;
    for round in 0..100_000 {
        let original = sender.seal(&datagram(round % 7)).unwrap();
        let mut bytes = original.clone();
        mutate(&mut bytes, &mut rng);
        if bytes != original && receiver.open::<Datagram>(&bytes).is_ok() {
            accepted += 1;
        }
    }
    assert_eq!(accepted, 0);
}

/// Guards against a mutated body that panics the decoder; another release can send such a body with
/// a valid tag.
#[test]
fn mutated_bodies_are_errors() {
    let mut rng = SmallRng::seed_from_u64(13);
    let version = bad_version("chat");
    let versions = Datagram { content: Content::BadVersions(vec![version; 3]), ..datagram(0) };
    let mut decoded = 0;
    for round in 0..200_000 {
        let body = if round % 8 == 7 { &versions } else { &datagram(round % 7) };
        let mut bytes = postcard::to_allocvec(body).unwrap();
        mutate(&mut bytes, &mut rng);
        decoded += usize::from(postcard::from_bytes::<Datagram>(&bytes).is_ok());
        let _ = postcard::from_bytes::<Request>(&bytes);
    }
    assert!(
        decoded > 1_000,
        "too few mutated bodies decode, so the mutations do not reach past the first bytes"
    );
}

fn mutate(bytes: &mut Vec<u8>, rng: &mut SmallRng) {
    for _ in 0..rng.random_range(1..4) {
        let position = rng.random_range(0..bytes.len().max(1));
        match rng.random_range(0..4) {
            0 if !bytes.is_empty() => bytes[position] ^= 1 << rng.random_range(0..8),
            1 if !bytes.is_empty() => bytes[position] = rng.random(),
            2 => bytes.truncate(position),
            _ => bytes.insert(position.min(bytes.len()), rng.random()),
        }
    }
}
