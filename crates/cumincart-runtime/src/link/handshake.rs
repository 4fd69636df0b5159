//! The handshake of a peer link: each side proves that it knows the fleet secret by an HMAC over the nonces of both
//! sides.
//!
//! The secret itself is never sent. The handshake authenticates the peers, but the messages after it are neither
//! encrypted nor signed, so links must run over a network that the operators control.

use {
    super::LinkError,
    cumincart_protocol::{name::InstanceName, peer::PEER_VERSION},
    hmac::{Hmac, KeyInit, Mac},
    rand::RngExt,
    serde::{Deserialize, Serialize},
    sha2::Sha256,
    std::fmt,
    zeroize::Zeroizing,
};

/// The minimum length of a fleet secret, in bytes.
pub const SECRET_MIN_BYTES: usize = 16;

const NONCE_BYTES: usize = 32;

/// The secret shared by all instances of the fleet.
#[derive(Clone)]
pub struct FleetSecret {
    bytes: Zeroizing<Vec<u8>>,
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

impl FleetSecret {
    /// Creates a secret from its bytes, without surrounding ASCII white space.
    pub fn new(bytes: &[u8]) -> Result<Self, LinkError> {
        let trimmed = bytes.trim_ascii();
        if trimmed.len() < SECRET_MIN_BYTES {
            return Err(LinkError::Handshake { reason: "the fleet secret is shorter than 16 bytes" });
        }
        Ok(Self { bytes: Zeroizing::new(trimmed.to_vec()) })
    }
}

/// The connecting side's first message.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The envelope version that the connecting side uses.
    pub version: u16,
    /// The connecting side's instance name.
    pub name: InstanceName,
    /// The connecting side's nonce.
    pub nonce: [u8; NONCE_BYTES],
}

/// The accepting side's answer to [`Hello`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Challenge {
    /// The accepting side's nonce.
    pub nonce: [u8; NONCE_BYTES],
    /// The accepting side's HMAC.
    pub proof: [u8; 32],
}

/// The connecting side's last message.
#[derive(Debug, Serialize, Deserialize)]
pub struct Proof {
    /// The connecting side's HMAC.
    pub proof: [u8; 32],
}

/// The side that a proof belongs to. It is part of the HMAC, so a proof can't be replayed to the side that made it.
#[derive(Debug, Clone, Copy)]
enum Side {
    Connecting,
    Accepting,
}

/// Creates the connecting side's first message.
pub fn hello(name: &InstanceName) -> Hello {
    Hello { version: PEER_VERSION, name: name.clone(), nonce: rand::rng().random() }
}

/// Creates the accepting side's answer to a hello.
pub fn challenge(secret: &FleetSecret, hello: &Hello) -> Result<Challenge, LinkError> {
    if hello.version != PEER_VERSION {
        return Err(LinkError::Handshake { reason: "the peer uses another protocol version" });
    }
    let nonce = rand::rng().random();
    let proof = mac(secret, Side::Accepting, hello, &nonce).finalize().into_bytes().into();
    Ok(Challenge { nonce, proof })
}

/// Verifies a challenge and creates the connecting side's proof.
pub fn prove(secret: &FleetSecret, hello: &Hello, challenge: &Challenge) -> Result<Proof, LinkError> {
    mac(secret, Side::Accepting, hello, &challenge.nonce)
        .verify_slice(&challenge.proof)
        .map_err(|_| LinkError::Handshake { reason: "the accepting side does not know the fleet secret" })?;
    let proof = mac(secret, Side::Connecting, hello, &challenge.nonce).finalize().into_bytes().into();
    Ok(Proof { proof })
}

/// Verifies the connecting side's proof.
pub fn check(
    secret: &FleetSecret,
    hello: &Hello,
    challenge: &Challenge,
    proof: &Proof,
) -> Result<(), LinkError> {
    mac(secret, Side::Connecting, hello, &challenge.nonce)
        .verify_slice(&proof.proof)
        .map_err(|_| LinkError::Handshake { reason: "the connecting side does not know the fleet secret" })
}

fn mac(secret: &FleetSecret, side: Side, hello: &Hello, nonce: &[u8; NONCE_BYTES]) -> Hmac<Sha256> {
    let label: &[u8] = match side {
        Side::Connecting => b"cumincart connecting",
        Side::Accepting => b"cumincart accepting",
    };
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.bytes).expect("HMAC accepts keys of any length");
    mac.update(label);
    mac.update(&hello.nonce);
    mac.update(nonce);
    mac.update(hello.name.as_str().as_bytes());
    mac
}
