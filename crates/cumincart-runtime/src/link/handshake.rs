//! The handshake: each side proves by an HMAC over both sides' fresh nonces that it knows the fleet secret.
//!
//! The secret itself never crosses the link. The handshake authenticates the peers; it neither hides nor signs what
//! follows, so links belong on a network that the operators control.

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

/// The shortest fleet secret that is accepted, in bytes.
pub const SECRET_MIN_BYTES: usize = 16;

const NONCE_BYTES: usize = 32;

/// The secret that all instances of the fleet share.
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
    /// A secret from its bytes; surrounding white space is not part of it.
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
    /// The envelope version that it speaks.
    pub version: u16,
    /// Its name.
    pub name: InstanceName,
    /// Its nonce.
    pub nonce: [u8; NONCE_BYTES],
}

/// The accepting side's answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Challenge {
    /// Its nonce.
    pub nonce: [u8; NONCE_BYTES],
    /// Its proof.
    pub proof: [u8; 32],
}

/// The connecting side's proof.
#[derive(Debug, Serialize, Deserialize)]
pub struct Proof {
    /// The proof.
    pub proof: [u8; 32],
}

/// Which side a proof speaks for; a proof can't be played back to its own maker.
#[derive(Debug, Clone, Copy)]
enum Side {
    Connecting,
    Accepting,
}

/// The first message of a connecting side.
pub fn hello(name: &InstanceName) -> Hello {
    Hello { version: PEER_VERSION, name: name.clone(), nonce: rand::rng().random() }
}

/// The accepting side's answer to a hello.
pub fn challenge(secret: &FleetSecret, hello: &Hello) -> Result<Challenge, LinkError> {
    if hello.version != PEER_VERSION {
        return Err(LinkError::Handshake { reason: "the peer speaks another version" });
    }
    let nonce = rand::rng().random();
    let proof = mac(secret, Side::Accepting, hello, &nonce).finalize().into_bytes().into();
    Ok(Challenge { nonce, proof })
}

/// Checks a challenge and gives the connecting side's proof.
pub fn prove(secret: &FleetSecret, hello: &Hello, challenge: &Challenge) -> Result<Proof, LinkError> {
    mac(secret, Side::Accepting, hello, &challenge.nonce)
        .verify_slice(&challenge.proof)
        .map_err(|_| LinkError::Handshake { reason: "the accepting side does not know the fleet secret" })?;
    let proof = mac(secret, Side::Connecting, hello, &challenge.nonce).finalize().into_bytes().into();
    Ok(Proof { proof })
}

/// Checks the connecting side's proof.
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
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.bytes).expect("an HMAC takes keys of any length");
    mac.update(label);
    mac.update(&hello.nonce);
    mac.update(nonce);
    mac.update(hello.name.as_str().as_bytes());
    mac
}
