//! Authentication of datagrams.
//!
//! Without it anyone who can reach the UDP port could declare members dead or announce endpoints
//! of their own and be sent work. One would notice members that flap or that no operator started.
//! Each datagram therefore carries an HMAC-SHA-256 over its content, keyed by the token that the
//! processes of the deployment share; a datagram without the right one changes nothing.
//! A replayed datagram carries numbers that are already known, and changes nothing either.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use thiserror::Error;

/// Bytes of the code that are sent: half of SHA-256, which RFC 2104 allows.
pub const CODE: usize = 16;

/// A datagram was not sealed with this deployment's token.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SealError {
    /// It is too short to hold a code.
    #[error("the datagram is too short")]
    Short,
    /// Its code is wrong.
    #[error("the datagram's authentication code is wrong")]
    Forged,
}

/// The key with which datagrams are sealed.
#[derive(Clone)]
pub struct Seal(Hmac<Sha256>);

impl Seal {
    /// Makes the key from the token that all processes of the deployment share.
    pub fn new(token: &str) -> Self {
        let keyed = Hmac::new_from_slice(token.as_bytes());
        Self(keyed.expect("HMAC takes keys of any length"))
    }

    /// Puts the code before the content.
    pub fn seal(&self, content: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(CODE + content.len());
        let code = self.0.clone().chain_update(content).finalize().into_bytes();
        datagram.extend_from_slice(&code[..CODE]);
        datagram.extend_from_slice(content);
        datagram
    }

    /// Checks the code and gives the content.
    ///
    /// # Errors
    ///
    /// [`SealError`] if the datagram was not sealed with the same token.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], SealError> {
        let (code, content) = datagram.split_at_checked(CODE).ok_or(SealError::Short)?;
        let mac = self.0.clone().chain_update(content);
        mac.verify_truncated_left(code).map_err(|_| SealError::Forged)?;
        Ok(content)
    }
}
