use super::*;

/// Signs and verifies the messages between entry VMs.
///
/// A sealed message contains the protocol version, its sender, the receiver's incarnation and a
/// sequence number. This prevents replay: a recorded message is rejected both by the same receiver
/// and by a later incarnation of it. A sender that does not know the receiver's incarnation learns
/// it from a [`PeerMessage::Introduce`] in the answer and seals the message again.
#[derive(Debug)]
pub struct PeerSeal {
    own: PeerName,
    keys: KeyRing,
    sequences: BTreeMap<VmId, u64>,
    incarnations: BTreeMap<VmId, Incarnation>,
    windows: BTreeMap<VmId, (Incarnation, ReplayWindow)>,
}

/// The reason why a message cannot be sealed or is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The message is larger than [`PeerSeal::MAX_BYTES`].
    #[error("The message has {found} bytes; at most {} are accepted.", PeerSeal::MAX_BYTES)]
    TooLarge {
        /// The size in bytes.
        found: usize,
    },
    /// The signature is missing or wrong, or there is no secret to sign with.
    #[error("The signature of the message is wrong; give all entry VMs the same peers' secrets.")]
    Signature,
    /// The message cannot be encoded or decoded.
    #[error("The message cannot be read: {cause}.")]
    Malformed {
        /// The error of the codec.
        cause: SmolStr,
    },
    /// The message is of another version of the protocol.
    #[error(
        "The message is of protocol version {found}; this program supports version {}.",
        PeerSeal::PROTOCOL
    )]
    Protocol {
        /// The version of the message.
        found: u32,
    },
    /// The message is for another VM or another incarnation of this one.
    #[error("The message from {from} is addressed to {to}, which is not this incarnation.")]
    Receiver {
        /// The sender.
        from: PeerName,
        /// The receiver that the message is addressed to.
        to: PeerName,
    },
    /// The message was received before, is too old to tell, or is from an older incarnation of its
    /// sender.
    #[error("The message {sequence} from {from} was received before or is too old.")]
    Replay {
        /// The sender.
        from: PeerName,
        /// The sequence number.
        sequence: u64,
    },
}

impl SealError {
    /// Returns the HTTP status with which the message is rejected.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::TooLarge { .. } => 413,
            Self::Signature => 401,
            Self::Malformed { .. } | Self::Protocol { .. } => 400,
            Self::Receiver { .. } | Self::Replay { .. } => 409,
        }
    }
}

/// The header of a sealed message, which the signature covers as well.
#[derive(Serialize, Deserialize)]
struct SealHead {
    protocol: u32,
    from: PeerName,
    to: PeerName,
    sequence: u64,
}

impl PeerSeal {
    /// The version of the protocol, raised whenever older programs could not read the messages.
    pub const PROTOCOL: u32 = 1;
    /// The maximum size of a sealed message.
    pub const MAX_BYTES: usize = 16 << 20;
    const PURPOSE: &str = "guavapass peer";

    /// Returns the seal of an incarnation of an entry VM.
    #[must_use]
    pub const fn new(own: PeerName, keys: KeyRing) -> Self {
        Self {
            own,
            keys,
            sequences: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            windows: BTreeMap::new(),
        }
    }

    /// Encodes and signs a message to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded or is too large, or if there is no secret.
    pub fn seal(&mut self, to: &VmId, message: &PeerMessage) -> Result<Bytes, SealError> {
        let sequence = self.sequences.entry(to.clone()).or_default();
        *sequence += 1;
        let sequence = *sequence;
        let incarnation = self.incarnations.get(to).copied().unwrap_or_default();
        let to = PeerName { vm: to.clone(), incarnation };
        let head = SealHead { protocol: Self::PROTOCOL, from: self.own.clone(), to, sequence };
        let encode_error = |error: rmp_serde::encode::Error| SealError::Malformed {
            cause: error.to_string().into(),
        };
        let mut bytes = rmp_serde::to_vec(&head).map_err(encode_error)?;
        rmp_serde::encode::write_named(&mut bytes, message).map_err(encode_error)?;
        let signature = self.keys.sign(Self::PURPOSE, &bytes).ok_or(SealError::Signature)?;
        bytes.extend_from_slice(&signature);
        if bytes.len() > Self::MAX_BYTES {
            return Err(SealError::TooLarge { found: bytes.len() });
        }
        Ok(bytes.into())
    }

    /// Verifies and decodes a message, and returns it with its sender.
    ///
    /// # Errors
    ///
    /// Fails if the message is not authentic, not addressed to this incarnation, or a replay.
    pub fn open(&mut self, bytes: &[u8]) -> Result<(PeerName, PeerMessage), SealError> {
        if bytes.len() > Self::MAX_BYTES {
            return Err(SealError::TooLarge { found: bytes.len() });
        }
        let split = bytes.len().checked_sub(KeyRing::SIGNATURE_BYTES);
        let (body, signature) = bytes.split_at(split.ok_or(SealError::Signature)?);
        if !self.keys.verify(Self::PURPOSE, body, signature) {
            return Err(SealError::Signature);
        }
        let decode_error = |error: rmp_serde::decode::Error| SealError::Malformed {
            cause: error.to_string().into(),
        };
        let mut reader = rmp_serde::Deserializer::new(body);
        let head = SealHead::deserialize(&mut reader).map_err(decode_error)?;
        if head.protocol != Self::PROTOCOL {
            return Err(SealError::Protocol { found: head.protocol });
        }
        self.check_receiver(&head)?;
        let message = rmp_serde::from_slice(reader.get_ref()).map_err(decode_error)?;
        self.check_sequence(&head)?;
        self.incarnations.insert(head.from.vm.clone(), head.from.incarnation);
        Ok((head.from, message))
    }

    /// Returns the answer to a message that was addressed to another incarnation of this VM, or to
    /// another VM that had this VM's address before. Returns none for any other error.
    pub fn introduce(&mut self, error: &SealError) -> Option<Bytes> {
        let SealError::Receiver { from, .. } = error else { return None };
        if from.vm == self.own.vm {
            return None;
        }
        let known = self.incarnations.entry(from.vm.clone()).or_insert(from.incarnation);
        *known = from.incarnation.max(*known);
        self.seal(&from.vm, &PeerMessage::Introduce).ok()
    }

    fn check_receiver(&self, head: &SealHead) -> Result<(), SealError> {
        if head.to == self.own && head.from.vm != self.own.vm {
            return Ok(());
        }
        Err(SealError::Receiver { from: head.from.clone(), to: head.to.clone() })
    }

    fn check_sequence(&mut self, head: &SealHead) -> Result<(), SealError> {
        let replay = || SealError::Replay { from: head.from.clone(), sequence: head.sequence };
        let initial = (head.from.incarnation, ReplayWindow::default());
        let (incarnation, window) = self.windows.entry(head.from.vm.clone()).or_insert(initial);
        let known = self.incarnations.get(&head.from.vm).copied().unwrap_or_default();
        if head.from.incarnation < (*incarnation).max(known) {
            return Err(replay());
        }
        if head.from.incarnation > *incarnation {
            (*incarnation, *window) = initial;
        }
        if window.accept(head.sequence) { Ok(()) } else { Err(replay()) }
    }
}
