//! Authentication of datagrams.
//!
//! Without it, anyone who can reach the UDP port could declare members dead, or announce their own
//! endpoints and receive work. Operators would see members that flap or that nobody started. Each
//! datagram therefore carries an HMAC-SHA-256 over its content, keyed by the token that the
//! processes of the deployment share. A datagram without a valid code is ignored. A replayed
//! datagram contains sequence numbers that are already known, so it has no effect either.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use thiserror::Error;

/// Length of the transmitted code in bytes: half of SHA-256, a truncation that RFC 2104 allows.
pub const MAC_BYTES: usize = 16;

/// A datagram was not authenticated with this deployment's token.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AuthError {
    /// The datagram is too short to contain a code.
    #[error("the datagram is too short")]
    Short,
    /// The code is wrong.
    #[error("the datagram's authentication code is wrong")]
    Forged,
}

/// Signs and verifies datagrams with the shared key.
#[derive(Clone)]
pub struct Authenticator(Hmac<Sha256>);

impl Authenticator {
    /// Derives the key from the token that all processes of the deployment share.
    pub fn new(token: &str) -> Self {
        let keyed = Hmac::new_from_slice(token.as_bytes());
        Self(keyed.expect("HMAC takes keys of any length"))
    }

    /// Returns the content with the code prepended.
    pub fn sign(&self, content: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(MAC_BYTES + content.len());
        let code = self.0.clone().chain_update(content).finalize().into_bytes();
        datagram.extend_from_slice(&code[..MAC_BYTES]);
        datagram.extend_from_slice(content);
        datagram
    }

    /// Verifies the code and returns the content.
    ///
    /// # Errors
    ///
    /// [`AuthError`] if the datagram was not signed with the same token.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], AuthError> {
        let (code, content) = datagram.split_at_checked(MAC_BYTES).ok_or(AuthError::Short)?;
        let mac = self.0.clone().chain_update(content);
        mac.verify_truncated_left(code).map_err(|_| AuthError::Forged)?;
        Ok(content)
    }
}
