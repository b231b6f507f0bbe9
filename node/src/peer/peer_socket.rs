//! Requests and responses over one UDP socket.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use futures_lite::FutureExt;
use jujuberoad::ids::Nonce;
use jujuberoad::ids::RouterId;
use jujuberoad::peer::MAX_FRAME_BYTES;
use jujuberoad::peer::PEER_VERSION;
use jujuberoad::peer::PeerFrame;
use jujuberoad::peer::PeerMessage;
use smol::channel;
use smol::channel::Sender;
use smol::net::UdpSocket;

use super::PeerHandler;

/// Sends frames to peers, matches responses to pending requests and passes all other
/// messages to a handler.
pub struct PeerSocket {
    own_id: RouterId,
    socket: UdpSocket,
    pending: Mutex<HashMap<Nonce, PendingRequest>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

struct PendingRequest {
    peer: SocketAddr,
    sender: Sender<PeerMessage>,
}

impl PeerSocket {
    /// Binds a socket to `address`; frames carry `own_id` as their sender.
    pub async fn bind(own_id: RouterId, address: SocketAddr) -> std::io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            own_id,
            socket: UdpSocket::bind(address).await?,
            pending: Mutex::default(),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
        }))
    }

    /// Returns the total number of bytes sent and received.
    pub fn traffic_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed) + self.received_bytes.load(Ordering::Relaxed)
    }

    /// Sends a request to `peer` and waits for the response; returns `None` if `deadline`
    /// passes first.
    pub async fn send_request(
        &self,
        peer: SocketAddr,
        message: PeerMessage,
        deadline: Instant,
    ) -> Option<PeerMessage> {
        let exchange = fastrand::u64(..);
        let (sender, receiver) = channel::bounded(1);
        let pending = PendingRequest { peer, sender };
        self.pending
            .lock()
            .expect("pending lock")
            .insert(exchange, pending);
        self.send(peer, exchange, message).await;
        let timer = async {
            smol::Timer::at(deadline).await;
            None
        };
        let response = async { receiver.recv().await.ok() }.or(timer).await;
        self.pending.lock().expect("pending lock").remove(&exchange);
        response
    }

    /// Sends the response to the request with the id `exchange`.
    pub async fn send_response(&self, peer: SocketAddr, exchange: Nonce, message: PeerMessage) {
        self.send(peer, exchange, message).await;
    }

    /// Sends a message without a response to `peer`.
    pub async fn send_one_way(&self, peer: SocketAddr, message: PeerMessage) {
        self.send(peer, 0, message).await;
    }

    /// Encodes a message without a response, to be sent to several peers; returns `None` if it
    /// exceeds [`MAX_FRAME_BYTES`], because receivers would cut it off.
    pub fn encode_one_way(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        let frame = PeerFrame {
            version: PEER_VERSION,
            sender: self.own_id.clone(),
            exchange: 0,
            message: message.clone(),
        };
        let bytes = postcard::to_stdvec(&frame).ok()?;
        (bytes.len() <= MAX_FRAME_BYTES).then_some(bytes)
    }

    /// Sends a frame that [`Self::encode_one_way`] has returned.
    pub async fn send_frame(&self, peer: SocketAddr, frame: &[u8]) {
        // A failed send is treated like a lost datagram.
        if let Ok(sent) = self.socket.send_to(frame, peer).await {
            self.sent_bytes.fetch_add(sent as u64, Ordering::Relaxed);
        }
    }

    /// Receives frames forever and passes those that are no response to `handler`.
    pub async fn run(self: Arc<Self>, handler: Arc<dyn PeerHandler>) {
        let mut buffer = vec![0; MAX_FRAME_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.received_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
            let Ok(frame) = postcard::from_bytes::<PeerFrame>(&buffer[..length]) else {
                continue;
            };
            if frame.version != PEER_VERSION {
                continue;
            }
            if !frame.message.is_response() {
                handler.handle_request(&self, frame, from);
                continue;
            }
            self.deliver_response(frame, from);
        }
    }

    fn deliver_response(&self, frame: PeerFrame, from: SocketAddr) {
        let mut pending = self.pending.lock().expect("pending lock");
        let is_expected = pending
            .get(&frame.exchange)
            .is_some_and(|request| request.peer == from);
        if !is_expected {
            return;
        }
        if let Some(request) = pending.remove(&frame.exchange) {
            let _ = request.sender.try_send(frame.message);
        }
    }

    async fn send(&self, peer: SocketAddr, exchange: Nonce, message: PeerMessage) {
        let sender = self.own_id.clone();
        let frame = PeerFrame {
            version: PEER_VERSION,
            sender,
            exchange,
            message,
        };
        let Ok(bytes) = postcard::to_stdvec(&frame) else {
            return;
        };
        // A failed send is treated like a lost datagram: the request times out.
        if let Ok(sent) = self.socket.send_to(&bytes, peer).await {
            self.sent_bytes.fetch_add(sent as u64, Ordering::Relaxed);
        }
    }
}
