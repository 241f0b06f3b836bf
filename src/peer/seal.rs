use super::*;

/// Signs and checks the messages between entry VMs.
///
/// A sealed message names its protocol version, its sender, the receiver's incarnation and a
/// sequence number, so that a recorded message can be sent again neither to the same receiver nor
/// to a later incarnation of it. A sender that does not know the receiver's incarnation learns it
/// from an [`PeerMessage::Introduce`] in the answer and seals the message again.
#[derive(Debug)]
pub struct PeerSeal {
    own: PeerName,
    keys: KeyRing,
    sequences: BTreeMap<VmId, u64>,
    incarnations: BTreeMap<VmId, Incarnation>,
    windows: BTreeMap<VmId, (Incarnation, ReplayWindow)>,
}

/// Why a message of a peer is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The message is too large.
    #[error("The message has {found} bytes; at most {} are accepted.", PeerSeal::MAX_BYTES)]
    TooLarge {
        /// Its size.
        found: usize,
    },
    /// The signature is missing or wrong.
    #[error("The signature of the message is wrong; give all entry VMs the same peers' secrets.")]
    Signature,
    /// The message cannot be read.
    #[error("The message cannot be read: {cause}.")]
    Malformed {
        /// The cause.
        cause: SmolStr,
    },
    /// The message is of another protocol.
    #[error("The message is of protocol {found}; this program speaks {}.", PeerSeal::PROTOCOL)]
    Protocol {
        /// The number that was read.
        found: u32,
    },
    /// The message is for another VM or another incarnation of this one.
    #[error("The message from {from} is for {to}.")]
    Receiver {
        /// The sender.
        from: PeerName,
        /// The receiver that it names.
        to: PeerName,
    },
    /// The message was seen before, or is from an older incarnation of its sender.
    #[error("The message {sequence} from {from} is a repeat or too old.")]
    Replay {
        /// The sender.
        from: PeerName,
        /// Its number.
        sequence: u64,
    },
}

impl SealError {
    /// Returns the HTTP status of the answer to the message.
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

/// What precedes the message under the signature.
#[derive(Serialize, Deserialize)]
struct SealHead {
    protocol: u32,
    from: PeerName,
    to: PeerName,
    sequence: u64,
}

impl PeerSeal {
    /// The number of the protocol; it changes when older programs could not read the messages.
    pub const PROTOCOL: u32 = 1;
    /// The largest message.
    pub const MAX_BYTES: usize = 16 << 20;
    const PURPOSE: &str = "guavapass peer";

    /// Returns the seal of one start of an entry VM.
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

    /// Returns the bytes of a message to a peer.
    ///
    /// # Errors
    ///
    /// Returns why the message cannot be sent.
    pub fn seal(&mut self, to: &VmId, message: &PeerMessage) -> Result<Bytes, SealError> {
        let sequence = self.sequences.entry(to.clone()).or_default();
        *sequence += 1;
        let sequence = *sequence;
        let incarnation = self.incarnations.get(to).copied().unwrap_or_default();
        let to = PeerName { vm: to.clone(), incarnation };
        let head = SealHead { protocol: Self::PROTOCOL, from: self.own.clone(), to, sequence };
        let unwritten = |error: rmp_serde::encode::Error| SealError::Malformed {
            cause: error.to_string().into(),
        };
        let mut bytes = rmp_serde::to_vec(&head).map_err(unwritten)?;
        rmp_serde::encode::write_named(&mut bytes, message).map_err(unwritten)?;
        let signature = self.keys.sign(Self::PURPOSE, &bytes).ok_or(SealError::Signature)?;
        bytes.extend_from_slice(&signature);
        if bytes.len() > Self::MAX_BYTES {
            return Err(SealError::TooLarge { found: bytes.len() });
        }
        Ok(bytes.into())
    }

    /// Returns the sender and the message.
    ///
    /// # Errors
    ///
    /// Returns why the message is not accepted.
    pub fn open(&mut self, bytes: &[u8]) -> Result<(PeerName, PeerMessage), SealError> {
        if bytes.len() > Self::MAX_BYTES {
            return Err(SealError::TooLarge { found: bytes.len() });
        }
        let split = bytes.len().checked_sub(KeyRing::SIGNATURE_BYTES);
        let (body, signature) = bytes.split_at(split.ok_or(SealError::Signature)?);
        if !self.keys.verify(Self::PURPOSE, body, signature) {
            return Err(SealError::Signature);
        }
        let unread = |error: rmp_serde::decode::Error| SealError::Malformed {
            cause: error.to_string().into(),
        };
        let mut reader = rmp_serde::Deserializer::new(body);
        let head = SealHead::deserialize(&mut reader).map_err(unread)?;
        if head.protocol != Self::PROTOCOL {
            return Err(SealError::Protocol { found: head.protocol });
        }
        self.check_receiver(&head)?;
        let message = rmp_serde::from_slice(reader.get_ref()).map_err(unread)?;
        self.check_sequence(&head)?;
        self.incarnations.insert(head.from.vm.clone(), head.from.incarnation);
        Ok((head.from, message))
    }

    /// Returns the answer to a message that was meant for another start of this VM, or for another
    /// VM that had its address; none if the message is not to be answered.
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
        let fresh = (head.from.incarnation, ReplayWindow::default());
        let (incarnation, window) = self.windows.entry(head.from.vm.clone()).or_insert(fresh);
        let known = self.incarnations.get(&head.from.vm).copied().unwrap_or_default();
        if head.from.incarnation < (*incarnation).max(known) {
            return Err(replay());
        }
        if head.from.incarnation > *incarnation {
            (*incarnation, *window) = fresh;
        }
        if window.accept(head.sequence) { Ok(()) } else { Err(replay()) }
    }
}
