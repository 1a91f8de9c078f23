//! Rejection of unauthenticated and invalid input.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wire::Acknowledge;
use wire::DropCounters;
use wire::IncomingMessage;
use wire::LinkError;
use wire::LinkSettings;
use wire::Notice;
use wire::PeerListener;
use wire::Secret;

use crate::forwarder::Forwarder;
use crate::link_pair::accept;
use crate::link_pair::connect;
use crate::link_pair::identity;
use crate::link_pair::open_through_forwarder;
use crate::link_pair::secret;
use crate::raw_peer::RawPeer;

/// Size of the length prefix of a frame in bytes.
const LENGTH_BYTES: usize = 4;

/// Length of the message authentication code of a frame in bytes.
const MAC_BYTES: usize = 16;

fn settings() -> LinkSettings {
    LinkSettings {
        max_frame_bytes: 4096,
        ..LinkSettings::default()
    }
}

fn counts(counters: &DropCounters) -> [u64; 4] {
    [
        counters.malformed(),
        counters.oversized(),
        counters.unauthenticated(),
        counters.unsupported_version(),
    ]
}

#[test]
fn short_secret_is_refused_and_none_is_printed() {
    let error = Secret::new(b"too short").unwrap_err();
    insta::assert_snapshot!(error);
    assert_eq!(format!("{:?}", secret(1)), "Secret(..)");
}

#[tokio::test]
async fn different_secret_is_rejected_by_both_ends() {
    let secrets = [&secret(1), &secret(2)];
    let pair = open_through_forwarder(Forwarder::default(), secrets, &settings()).await;
    assert!(matches!(pair.connected, Err(LinkError::Unauthenticated)));
    assert!(matches!(pair.accepted, Err(LinkError::Unauthenticated)));
    assert_eq!(counts(&pair.counters), [0, 0, 1, 0]);
}

#[tokio::test]
async fn authenticated_invalid_input_and_other_versions_are_counted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counters = Arc::default();
    let (secret, settings) = (secret(1), settings());
    let accepting = || accept(&listener, &secret, &settings, &counters);

    let (_, opened) = tokio::join!(RawPeer::connect(addr, &[1; 32], 2), accepting());
    assert!(matches!(
        opened,
        Err(LinkError::VersionMismatch { ours: 1, theirs: 2 })
    ));
    assert_eq!(counts(&counters), [0, 0, 0, 1]);

    let (mut peer, opened) = tokio::join!(RawPeer::connect(addr, &[1; 32], 1), accepting());
    let (link, _incoming) = opened.unwrap();
    peer.send(&[0xff; 50]).await;
    link.closed().await;
    assert_eq!(counts(&counters), [1, 0, 0, 1]);

    let (mut peer, opened) = tokio::join!(RawPeer::connect(addr, &[1; 32], 1), accepting());
    let (link, _incoming) = opened.unwrap();
    peer.send(&[0; 5000]).await;
    link.closed().await;
    assert_eq!(counts(&counters), [1, 1, 0, 1]);
}

#[tokio::test]
async fn corrupted_packets_with_a_valid_mac_are_handled() {
    let recorded = Arc::new(Mutex::new(Vec::new()));
    let recorder = recorded.clone();
    let forwarder = Forwarder::new(move |_, frame| {
        recorder.lock().unwrap().push(frame.clone());
        frame
    });
    let (arrived, _) = send_notices_through(forwarder, 3).await;
    assert_eq!(arrived, first_ids(3));
    let frames = recorded.lock().unwrap().clone();
    let packet = &frames[2][LENGTH_BYTES + MAC_BYTES..];

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (secret, settings, counters) = (secret(1), settings(), Arc::default());
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut damaged = packet.to_vec();
        for _ in 0..=seed % 3 {
            let position = rng.random_range(0..damaged.len());
            damaged[position] = rng.random();
        }
        damaged.truncate(rng.random_range(1..=damaged.len()));
        let (mut peer, opened) = tokio::join!(
            RawPeer::connect(addr, &[1; 32], 1),
            accept(&listener, &secret, &settings, &counters)
        );
        let (link, _incoming) = opened.unwrap();
        peer.send(&damaged).await;
        peer.send(&[0xff; 50]).await;
        link.closed().await;
    }
    assert!(counters.malformed() >= 100, "{counters:?}");
    assert_eq!(counters.unauthenticated(), 0);
}

#[tokio::test]
async fn random_bytes_never_open_a_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let counters = Arc::default();
    let (secret, settings) = (secret(1), settings());
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut bytes: Vec<u8> = (0..rng.random_range(0..200))
            .map(|_| rng.random())
            .collect();
        if seed % 2 == 0 {
            bytes.splice(0..0, (bytes.len() as u32).to_be_bytes());
        }
        let send = async {
            let mut stream = TcpStream::connect(addr).await.unwrap();
            let _ = stream.write_all(&bytes).await;
        };
        let ((), opened) = tokio::join!(send, accept(&listener, &secret, &settings, &counters));
        assert!(opened.is_err(), "seed {seed}");
    }
    assert!(counters.malformed() > 0 && counters.oversized() > 0);
}

/// Sends `count` notices, with the request ids `0`, `1` and so on, through a forwarder. Returns the
/// ids that arrive before the link closes, and the counters of the accepting end.
async fn send_notices_through(
    forwarder: Forwarder,
    count: usize,
) -> (Vec<String>, Arc<DropCounters>) {
    let secret = secret(1);
    let pair = open_through_forwarder(forwarder, [&secret, &secret], &settings()).await;
    let Ok((_right, mut incoming)) = pair.accepted else {
        return (Vec::new(), pair.counters);
    };
    let Ok((left, _left_incoming)) = pair.connected else {
        return (Vec::new(), pair.counters);
    };
    for number in 0..count {
        let request_ids = vec![number.to_string()];
        let acknowledge = Acknowledge { request_ids };
        left.notify(Notice::Acknowledge(acknowledge)).unwrap();
    }
    let mut arrived = Vec::new();
    while arrived.len() < count {
        match incoming.recv().await {
            Some(IncomingMessage::Notice(Notice::Acknowledge(mut acknowledge))) => {
                arrived.append(&mut acknowledge.request_ids);
            }
            Some(other) => panic!("{other:?}"),
            None => break,
        }
    }
    (arrived, pair.counters)
}

fn first_ids(count: usize) -> Vec<String> {
    (0..count).map(|number| number.to_string()).collect()
}

#[tokio::test]
async fn repeated_dropped_and_reordered_frames_close_the_link() {
    let repeat = Forwarder::new(|number, frame| match number {
        6 => frame.repeat(2),
        _ => frame,
    });
    let drop_one = Forwarder::new(|number, frame| match number {
        6 => Vec::new(),
        _ => frame,
    });
    let kept = Mutex::new(Vec::new());
    let swap = Forwarder::new(move |number, frame| match number {
        6 => std::mem::replace(&mut *kept.lock().unwrap(), frame),
        7 => [frame, std::mem::take(&mut *kept.lock().unwrap())].concat(),
        _ => frame,
    });
    for forwarder in [repeat, drop_one, swap] {
        let (arrived, counters) = send_notices_through(forwarder, 20).await;
        assert!(arrived.len() < 20 && arrived == first_ids(arrived.len()));
        assert_eq!(counts(&counters), [0, 0, 1, 0]);
    }
    let (arrived, counters) = send_notices_through(Forwarder::default(), 20).await;
    assert_eq!(arrived, first_ids(20));
    assert_eq!(counts(&counters), [0; 4]);
}

#[tokio::test]
async fn modified_frames_are_rejected() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (modified_frame, position, bit) =
            (rng.random_range(0..8), rng.random::<u16>(), seed % 8);
        let forwarder = Forwarder::new(move |number, mut frame| {
            if number == modified_frame {
                // The length is left unchanged: if it grew, the receiver would only wait for more bytes.
                let index = 4 + usize::from(position) % (frame.len() - 4);
                frame[index] ^= 1 << bit;
            }
            frame
        });
        let (arrived, counters) = send_notices_through(forwarder, 20).await;
        assert!(arrived.len() < 20, "seed {seed}");
        assert_eq!(arrived, first_ids(arrived.len()), "seed {seed}");
        assert_eq!(counts(&counters).iter().sum::<u64>(), 1, "seed {seed}");
    }
}

#[tokio::test]
async fn replayed_connection_is_rejected() {
    let recorded = Arc::new(Mutex::new(Vec::new()));
    let recorder = recorded.clone();
    let forwarder = Forwarder::new(move |_, frame| {
        recorder.lock().unwrap().extend_from_slice(&frame);
        frame
    });
    let (arrived, _) = send_notices_through(forwarder, 3).await;
    assert_eq!(arrived, first_ids(3));
    let bytes = recorded.lock().unwrap().clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    stream.write_all(&bytes).await.unwrap();
    let counters = Arc::default();
    let opened = accept(&listener, &secret(1), &settings(), &counters).await;
    assert!(matches!(opened, Err(LinkError::Unauthenticated)));
    assert_eq!(counts(&counters), [0, 0, 1, 0]);
}

#[tokio::test]
async fn handshake_with_a_silent_peer_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let settings = LinkSettings {
        handshake_timeout: Duration::from_millis(50),
        ..settings()
    };
    let opened = accept(&listener, &secret(1), &settings, &Arc::default()).await;
    assert!(matches!(opened, Err(LinkError::Timeout(_))));
}

#[tokio::test]
async fn listener_accepts_links_despite_silent_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let settings = LinkSettings {
        handshake_timeout: Duration::from_millis(500),
        ..settings()
    };
    let local = identity("vm-2");
    let counters = Arc::default();
    let mut listener = PeerListener::new(listener, secret(1), local, settings.clone(), counters);
    let accepting = tokio::spawn(async move { listener.accept().await });
    let mut silent = Vec::new();
    for _ in 0..300 {
        silent.push(TcpStream::connect(addr).await.unwrap());
    }
    let secret = secret(1);
    let connected = loop {
        if let Ok((link, _)) = connect(addr, &secret, &settings).await {
            break link;
        }
    };
    let (accepted, _) = accepting.await.unwrap();
    assert_eq!(
        (&*accepted.peer().vm, &*connected.peer().vm),
        ("vm-1", "vm-2")
    );
}
