//! TCP proxy that holds back data between blocked endpoints.

use std::io;
use std::net::SocketAddr;

use ids::VmId;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::network::NetworkState;
use crate::network::network_state::EndpointName;

/// Size of the read buffer for each direction of a connection.
const CHUNK_BYTES: usize = 16 * 1024;

/// Size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Maximum length of the first frame of a peer link.
const FIRST_FRAME_LIMIT_BYTES: usize = 4 * 1024;

/// How the VM that opened a connection is identified.
#[derive(Clone, Debug)]
pub(crate) enum ConnectionOrigin {
    /// One VM opens all connections to the listener.
    Fixed(VmId),
    /// The first frame of a peer link contains the name of the VM, which is one of these.
    FirstFrame(Vec<VmId>),
}

/// Accepts connections and forwards them to an address until the runtime shuts down.
pub(crate) async fn forward_streams(
    listener: TcpListener,
    origin: ConnectionOrigin,
    to: (EndpointName, SocketAddr),
    state: watch::Receiver<NetworkState>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let epoch = state.borrow().epoch;
        let (origin, to, state) = (origin.clone(), to.clone(), state.clone());
        tokio::spawn(async move {
            // Both endpoints observe a failed connection themselves and report it.
            let _ = forward_stream(stream, &origin, to, state, epoch).await;
        });
    }
}

async fn forward_stream(
    mut inbound: TcpStream,
    origin: &ConnectionOrigin,
    (to, address): (EndpointName, SocketAddr),
    mut state: watch::Receiver<NetworkState>,
    epoch: u64,
) -> io::Result<()> {
    inbound.set_nodelay(true)?;
    let (from, first_frame) = read_origin(&mut inbound, origin).await?;
    NetworkState::wait_until_unblocked(&mut state, &from, &to, epoch).await;
    let mut outbound = TcpStream::connect(address).await?;
    outbound.set_nodelay(true)?;
    outbound.write_all(&first_frame).await?;
    let (inbound_reader, inbound_writer) = inbound.into_split();
    let (outbound_reader, outbound_writer) = outbound.into_split();
    let responses = forward_direction(
        outbound_reader,
        inbound_writer,
        &to,
        &from,
        state.clone(),
        epoch,
    );
    let requests = forward_direction(inbound_reader, outbound_writer, &from, &to, state, epoch);
    tokio::try_join!(requests, responses)?;
    Ok(())
}

/// Forwards one direction of a connection until the sender closes it.
async fn forward_direction(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    from: &str,
    to: &str,
    mut state: watch::Receiver<NetworkState>,
    epoch: u64,
) -> io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = reader.read(&mut buf).await?;
        NetworkState::wait_until_unblocked(&mut state, from, to, epoch).await;
        if count == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buf[..count]).await?;
    }
}

/// Returns the VM that opened a connection, and the bytes that were read from it to identify the VM.
async fn read_origin(
    stream: &mut TcpStream,
    origin: &ConnectionOrigin,
) -> io::Result<(VmId, Vec<u8>)> {
    let names = match origin {
        ConnectionOrigin::Fixed(vm) => return Ok((vm.clone(), Vec::new())),
        ConnectionOrigin::FirstFrame(names) => names,
    };
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut frame).await?;
    let length = frame
        .iter()
        .fold(0, |length, byte| length << 8 | usize::from(*byte));
    if length > FIRST_FRAME_LIMIT_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    frame.resize(LENGTH_PREFIX_BYTES + length, 0);
    stream.read_exact(&mut frame[LENGTH_PREFIX_BYTES..]).await?;
    let name = names.iter().find(|name| contains_string(&frame, name));
    let name = name.ok_or(io::ErrorKind::InvalidData)?;
    Ok((name.clone(), frame))
}

/// Reports whether bytes contain a string with its length as a one-byte prefix, as `prost` encodes short strings.
fn contains_string(bytes: &[u8], text: &str) -> bool {
    let mut encoded = vec![u8::try_from(text.len()).unwrap_or(u8::MAX)];
    encoded.extend(text.as_bytes());
    bytes.windows(encoded.len()).any(|window| window == encoded)
}
